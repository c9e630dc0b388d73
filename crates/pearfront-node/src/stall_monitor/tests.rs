//! Tests of the stall monitor: what is read after a stall may have arrived at its beginning.

use super::StallMonitor;
use std::cell::Cell;
use tokio::time::Instant;

fn stall_monitor() -> StallMonitor {
    let never = (f64::NEG_INFINITY, f64::NEG_INFINITY);
    StallMonitor { start: Instant::now(), last_tick: Cell::new(0.0), last_stall: Cell::new(never) }
}

#[test]
fn a_running_process_has_read_what_arrived() {
    let stall_monitor = stall_monitor();
    stall_monitor.tick(50.0);
    stall_monitor.tick(100.0);
    assert_eq!(stall_monitor.earliest_arrival(120.0), 70.0);
}

#[test]
fn after_a_stall_all_of_it_counts_whether_or_not_a_tick_saw_it() {
    let stall_monitor = stall_monitor();
    stall_monitor.tick(50.0);
    assert_eq!(stall_monitor.earliest_arrival(2000.0), 50.0);
    stall_monitor.tick(2000.0);
    assert_eq!(stall_monitor.earliest_arrival(2010.0), 50.0);
    stall_monitor.tick(2060.0);
    assert_eq!(stall_monitor.earliest_arrival(2060.0), 2010.0);
}

#[test]
fn what_was_read_before_a_stall_arrived_when_it_was_read() {
    let stall_monitor = stall_monitor();
    stall_monitor.tick(50.0);
    stall_monitor.tick(2000.0);
    assert_eq!(
        [40.0, 60.0, 2010.0].map(|time| stall_monitor.stall_began(time)),
        [None, Some(50.0), Some(50.0)]
    );
}

#[test]
fn stalls_in_close_succession_are_one() {
    let stall_monitor = stall_monitor();
    [50.0, 350.0, 380.0].into_iter().for_each(|at| stall_monitor.tick(at));
    assert_eq!(stall_monitor.stall_began(600.0), Some(50.0));
    stall_monitor.tick(600.0);
    assert_eq!(stall_monitor.stall_began(610.0), Some(50.0));
    [650.0, 700.0, 1000.0].into_iter().for_each(|at| stall_monitor.tick(at));
    assert_eq!(stall_monitor.stall_began(1010.0), Some(700.0));
}
