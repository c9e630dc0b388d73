//! What is read behind a stop may have come at its beginning.

use super::Pulse;
use std::cell::Cell;
use tokio::time::Instant;

fn pulse() -> Pulse {
    let never = (f64::NEG_INFINITY, f64::NEG_INFINITY);
    Pulse { start: Instant::now(), last: Cell::new(0.0), stop: Cell::new(never) }
}

#[test]
fn a_process_that_runs_has_read_what_came() {
    let pulse = pulse();
    pulse.beat(50.0);
    pulse.beat(100.0);
    assert_eq!(pulse.awake_since(120.0), 70.0);
}

#[test]
fn behind_a_stop_all_of_it_counts_whether_or_not_it_was_seen() {
    let pulse = pulse();
    pulse.beat(50.0);
    assert_eq!(pulse.awake_since(2000.0), 50.0);
    pulse.beat(2000.0);
    assert_eq!(pulse.awake_since(2010.0), 50.0);
    pulse.beat(2060.0);
    assert_eq!(pulse.awake_since(2060.0), 2010.0);
}

#[test]
fn what_was_read_before_a_stop_came_when_it_was_read() {
    let pulse = pulse();
    pulse.beat(50.0);
    pulse.beat(2000.0);
    assert_eq!([40.0, 60.0, 2010.0].map(|time| pulse.stopped_at(time)), [None, Some(50.0), Some(50.0)]);
}

#[test]
fn stops_that_follow_one_another_closely_are_one() {
    let pulse = pulse();
    [50.0, 350.0, 380.0].into_iter().for_each(|at| pulse.beat(at));
    assert_eq!(pulse.stopped_at(600.0), Some(50.0));
    pulse.beat(600.0);
    assert_eq!(pulse.stopped_at(610.0), Some(50.0));
    [650.0, 700.0, 1000.0].into_iter().for_each(|at| pulse.beat(at));
    assert_eq!(pulse.stopped_at(1010.0), Some(700.0));
}
