//! Small runs of the measurements on real sockets: results that must hold on any machine. Times are not judged; a run whose rig
//! was late is void and repeated.

use pearfront_emulator::void_plays::{PLAYS, Play, in_time};
use pearfront_scale::Point;
use pearfront_scale::measure::chain::{self, Quantile};
use pearfront_scale::measure::hollow;
use std::path::Path;

/// Lateness at the 99th percentile, ms, above which a call may fail because of the machine alone: a deadline is 3 s.
const LATE: f64 = 250.0;

fn node() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_pearfront-node"))
}

fn played(play: impl Fn(&mut Point) -> Result<(), String>) -> Point {
    let point = in_time(PLAYS, |_| {
        let mut point = Point::default();
        play(&mut point)?;
        let late = point.figures["rig_late_ms_p99"];
        Ok(if late > LATE { Play::Void(format!("{late:.0} ms late")) } else { Play::InTime(point) })
    });
    point.unwrap()
}

#[test]
fn hollow_processes_and_real_nodes_agree_and_know_of_one_that_is_killed() {
    let point = played(|point| hollow::by_members(point, 4, 2.0, node()));
    let figure = |name: &str| point.figures.get(name).copied();
    assert!(figure("killed_known_all_ms").is_some(), "{point:?}");
    // Six members: each link counts at both ends, besides two sockets per member and a few connections being set up.
    assert!(figure("hollow_descriptors").is_some_and(|held| (2.0..20.0).contains(&held)), "{point:?}");
    assert!(figure("bytes_a_second").is_some_and(|bytes| bytes > 0.0), "{point:?}");
}

#[test]
fn every_call_comes_through_a_chain_of_nodes() {
    let point = played(|point| chain::by_depth(point, 3, 2.0, 1, Quantile::Median, node()));
    assert_eq!(point.figures["failed"], 0.0, "{point:?}");
    assert!(point.figures["calls"] > 50.0 && point.figures["added_ms_p50"].is_finite(), "{point:?}");
}
