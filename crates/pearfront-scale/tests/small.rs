//! Runs the small plan that CI measures and checks its figures and ranking, except those that depend on the machine.

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

/// All figures except processor time and memory, which depend on the machine.
fn deterministic_figures(points: &[Point]) -> Vec<(String, f64)> {
    let depends_on_machine = |name: &str| name.contains("cpu") || name.contains("memory");
    let figures = points.iter().flat_map(|point| point.figures.clone());
    figures.filter(|(name, _)| !depends_on_machine(name)).collect()
}

#[test]
fn measurements_are_deterministic() {
    for series in plan().series {
        let (one, other) = (measured(&series, 1), measured(&series, 1));
        assert_eq!(deterministic_figures(&one), deterministic_figures(&other), "{:?}", series.measure);
        assert!(!deterministic_figures(&one).is_empty(), "{:?}", series.measure);
    }
}

#[test]
fn small_plan_gives_a_table_and_the_expected_ranking() {
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
    // A list line is some 170 bytes, and the largest service grows with the fleet; the other two rows fail at hard limits of
    // the code.
    assert_eq!(names, ["one whole list", "members in one list", "renewals"]);
    assert!((900.0..1000.0).contains(&ranking[0].fails_at), "{ranking:?}");
    assert_eq!((ranking[1].fails_at, ranking[2].fails_at), (4096.0, 4096.0));
}

#[test]
fn healthy_service_gives_up_no_request_and_membership_agrees() {
    for series in plan().series {
        for point in measured(&series, 1) {
            let figure = |name: &str| point.figures.get(name).copied();
            assert!(
                figure("given_up").is_none_or(|given_up| given_up == 0.0),
                "{:?} {point:?}",
                series.measure
            );
            assert!(figure("agreed").is_none_or(|agreed| agreed == 1.0), "{:?} {point:?}", series.measure);
            for event in ["rack", "zone", "back", "healing", "join"] {
                let cost = figure(&format!("{event}_bytes"));
                let agreed = figure(&format!("{event}_agreed_ms"));
                assert_eq!(cost.is_some(), agreed.is_some(), "{event} {point:?}");
            }
            // On reconnect, nodes get no data about services that they do not call, and every node is served again.
            assert!(figure("again_bytes_a_node").is_none_or(|bytes| bytes < 100.0), "{point:?}");
            assert!(figure("standing_bytes_a_second").is_none_or(|bytes| bytes < 1000.0), "{point:?}");
            assert!(figure("held").is_none_or(|held| held == point.size), "{point:?}");
        }
    }
}
