//! Evaluation and ranking of rows on synthetic points, and validation of plans.

use pearfront_scale::Point;
use pearfront_scale::plan::Plan;
use pearfront_scale::rank::Result as Outcome;
use pearfront_scale::show;
use test_case::test_case;

const PLAN: &str = r#"
name = "made up"
fleet = 1000

[[series]]
measure = "decision"
by = "servers"
sizes = [10, 20, 40]
seconds = 1

[[series.rows]]
name = "fails at half"
figure = "cost"
unit = "us"
form = "linear"
at = 100
budget = 50
grows = true
carried_by = "x"

[[series.rows]]
name = "holds"
figure = "cost"
unit = "us"
form = "linear"
at = 100
budget = 200
grows = true
carried_by = "x"

[[series.rows]]
name = "bounded"
figure = "cost"
unit = "us"
form = "linear"
at = 100
bound = 25
grows = true
carried_by = "x"

[[series.rows]]
name = "fails everywhere"
figure = "cost"
unit = "us"
form = "linear"
at = 100
budget = 50
carried_by = "x"

[[stated]]
name = "nobody does it"
figure = 0
unit = "s"
budget = 5
fails_at = 2
how = "nothing carries it"
carried_by = "nothing"
"#;

fn outcome() -> Outcome {
    let points = [10.0, 20.0, 40.0].map(|size| {
        let mut point = Point { size, ..Point::default() };
        point.set("cost", size);
        point
    });
    Outcome { plan: Plan::parse(PLAN).unwrap(), measured: vec![points.to_vec()] }
}

#[test]
fn rows_are_ranked_by_the_fleet_size_at_which_they_fail() {
    let outcome = outcome();
    let ranking = outcome.ranking().unwrap();
    let order: Vec<_> = ranking.iter().map(|place| (place.name.as_str(), place.fails_at.round())).collect();
    assert_eq!(
        order,
        [("fails everywhere", 1.0), ("nobody does it", 2.0), ("bounded", 250.0), ("fails at half", 500.0)]
    );
}

#[test]
fn row_reports_its_extrapolation_factor() {
    let outcome = outcome();
    let rows = outcome.rows().unwrap();
    assert_eq!((rows[0].at_target.round(), rows[0].fit.extrapolated(rows[0].row.at)), (100.0, 2.5));
}

#[test]
fn row_without_its_figure_is_an_error() {
    let mut outcome = outcome();
    outcome.measured[0][1].figures.clear();
    let error = outcome.rows().unwrap_err();
    assert!(error.contains("1 of 3") && error.contains("cost"), "{error}");
}

#[test]
fn rows_with_void_points_are_listed_but_not_ranked() {
    let mut outcome = outcome();
    outcome.measured[0].truncate(1);
    assert!(outcome.rows().unwrap().is_empty());
    assert_eq!(outcome.void().len(), 4);
    let names: Vec<String> = outcome.ranking().unwrap().into_iter().map(|place| place.name).collect();
    assert_eq!(names, ["nobody does it"]);
    assert_eq!(show::markdown(&outcome).unwrap().matches("void").count(), 4);
}

#[test]
fn result_survives_a_json_round_trip() {
    let outcome = outcome();
    let text = serde_json::to_string(&outcome).unwrap();
    assert_eq!(serde_json::from_str::<Outcome>(&text).unwrap(), outcome);
}

#[test_case("fleet = 1000", "fleet = 0", "fleet"; "no fleet")]
#[test_case("sizes = [10, 20, 40]", "sizes = [10]", "two or more"; "one size")]
#[test_case("sizes = [10, 20, 40]", "sizes = [10, 10]", "above the one before"; "equal sizes")]
#[test_case("seconds = 1", "seconds = 0", "above 0"; "no time")]
#[test_case("grows = true", "grow = true", "unknown field"; "an unknown key")]
#[test_case("form = \"linear\"", "form = \"straight\"", "unknown variant"; "an unknown form")]
fn invalid_plan_is_rejected(from: &str, to: &str, expected: &str) {
    let error = Plan::parse(&PLAN.replacen(from, to, 1)).unwrap_err();
    assert!(error.contains(expected), "{error}");
}
