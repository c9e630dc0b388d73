//! The plan that CI measures, and what a result says: no figure in here depends on the machine.

use pearfront_scale::Point;
use pearfront_scale::plan::{Plan, Series};
use pearfront_scale::rank::Result as Outcome;
use pearfront_scale::show;

fn plan() -> Plan {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../rehearsals/scale/small.toml");
    Plan::parse(&std::fs::read_to_string(path).unwrap()).unwrap()
}

fn measured(series: &Series, seed: u64) -> Vec<Point> {
    series.sizes.iter().map(|size| series.measure.run(*size, series.seconds, seed).unwrap()).collect()
}

/// All figures but those of the machine.
fn counted(points: &[Point]) -> Vec<(String, f64)> {
    let machine = |name: &str| name.contains("cpu") || name.contains("memory");
    let figures = points.iter().flat_map(|point| point.figures.clone());
    figures.filter(|(name, _)| !machine(name)).collect()
}

#[test]
fn each_measurement_says_the_same_each_time() {
    for series in plan().series {
        let (one, other) = (measured(&series, 1), measured(&series, 1));
        assert_eq!(counted(&one), counted(&other), "{:?}", series.measure);
        assert!(!counted(&one).is_empty(), "{:?}", series.measure);
    }
}

#[test]
fn the_small_plan_has_a_table_and_the_same_ranking_each_time() {
    let plan = plan();
    let measured = plan.series.iter().map(|series| measured(series, 1)).collect();
    let outcome = Outcome { plan, measured };
    let page = show::markdown(&outcome).unwrap();
    for row in outcome.rows().unwrap() {
        assert!(page.contains(&row.row.name), "{page}");
        assert!(row.at_target.is_finite() && row.fit.points == 2, "{row:?}");
    }
    let ranking = outcome.ranking().unwrap();
    let names: Vec<&str> = ranking.iter().map(|place| place.name.as_str()).collect();
    // A line of the list is some 170 bytes, and a fleet's largest service grows with it; the two bounds are of the code.
    assert_eq!(names, ["one whole list", "members in one list", "renewals"]);
    assert!((900.0..1000.0).contains(&ranking[0].fails_at), "{ranking:?}");
    assert_eq!((ranking[1].fails_at, ranking[2].fails_at), (4096.0, 4096.0));
}

#[test]
fn nobody_is_given_up_in_a_healthy_service_and_membership_agrees() {
    for series in plan().series {
        for point in measured(&series, 1) {
            let figure = |name: &str| point.figures.get(name).copied();
            assert!(
                figure("given_up").is_none_or(|given_up| given_up == 0.0),
                "{:?} {point:?}",
                series.measure
            );
            assert!(figure("agreed").is_none_or(|agreed| agreed == 1.0), "{:?} {point:?}", series.measure);
            for what in ["rack", "zone", "back", "healing", "join"] {
                let cost = figure(&format!("{what}_bytes"));
                let agreed = figure(&format!("{what}_agreed_ms"));
                assert_eq!(cost.is_some(), agreed.is_some(), "{what} {point:?}");
            }
            // Nobody is told of what it does not call, and each is served again.
            assert!(figure("again_bytes_a_node").is_none_or(|bytes| bytes < 100.0), "{point:?}");
            assert!(figure("standing_bytes_a_second").is_none_or(|bytes| bytes < 1000.0), "{point:?}");
            assert!(figure("held").is_none_or(|held| held == point.size), "{point:?}");
        }
    }
}
