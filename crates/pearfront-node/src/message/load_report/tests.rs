//! Tests of decoding load reports.

use super::*;
use test_case::test_case;

fn node_settings() -> NodeSettings {
    let report = ["utilization", "backlog"].map(str::to_string).to_vec();
    NodeSettings { report, ..NodeSettings::default() }
}

// A report with a missing value would shift the other values.
#[test_case("TEXT inflight=7, queue=2, util=0.61", Some(vec![0.61, 2.0]); "in the order of the settings")]
#[test_case("TEXT utilization=0.5,backlog=0", Some(vec![0.5, 0.0]); "by the settings' names")]
#[test_case("", Some(vec![]); "a server that has just started has none yet")]
#[test_case("TEXT util=0.61", None; "a figure is missing")]
#[test_case("TEXT util=NaN, queue=2", None; "no number")]
#[test_case("TEXT util=-1, queue=2", None; "below zero")]
#[test_case("util=0.61, queue=2", None; "no text form")]
fn load_reports(text: &str, expected: Option<Vec<f64>>) {
    assert_eq!(decode_report(text, &node_settings()).ok(), expected);
}
