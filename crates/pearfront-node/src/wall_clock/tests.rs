//! Tests of stepped wall clocks: they must not make a cold server look warm, nor a warm one cold for an hour.

use super::{MAX_NOTICE_DELAY_MS, WallClock};
use test_case::test_case;

const HOUR_MS: f64 = 3_600_000.0;
/// Unix time at the node's start.
const START_UNIX_MS: f64 = 1_800_000_000_000.0;

// The clock steps at 10 s; then come a server that started at 20 s by the stepped clock, and one that started
// at 5 s by the clock before.
#[test_case(HOUR_MS; "an hour ahead")]
#[test_case(-HOUR_MS; "an hour back")]
#[test_case(7000.0; "seconds ahead")]
#[test_case(-7000.0; "seconds back")]
fn starts_are_right_before_and_after_a_step(step: f64) {
    let wall = WallClock::default();
    wall.observe(START_UNIX_MS, 0.0);
    wall.observe(START_UNIX_MS + 5000.0, 5000.0);
    wall.observe(START_UNIX_MS + 21_000.0 + step, 21_000.0);
    let after = wall.start_of("after", START_UNIX_MS + 20_000.0 + step, 21_000.0, Some(15_000.0));
    let before = wall.start_of("before", START_UNIX_MS + 5000.0, 21_000.0, None);
    // Never earlier than the start, and no later than now.
    assert!((20_000.0..=21_100.0).contains(&after), "{after}");
    assert!((5000.0..=21_100.0).contains(&before), "{before}");
}

#[test]
fn a_computed_start_does_not_change() {
    let wall = WallClock::default();
    wall.observe(START_UNIX_MS, 0.0);
    let reported = wall.start_of("a", START_UNIX_MS + 1000.0, 2000.0, None);
    wall.observe(START_UNIX_MS + HOUR_MS, 3000.0);
    assert_eq!((reported, wall.start_of("a", START_UNIX_MS + 1000.0, 3000.0, None)), (1000.0, 1000.0));
}

// A clock that was wrong from the start: the list without the server limits how early it can have started.
#[test]
fn a_start_that_no_list_showed_before_is_recent() {
    let wall = WallClock::default();
    wall.observe(START_UNIX_MS + HOUR_MS, 0.0);
    assert_eq!(
        wall.start_of("new", START_UNIX_MS + 60_000.0, 61_000.0, Some(60_000.0)),
        60_000.0 - MAX_NOTICE_DELAY_MS
    );
    assert_eq!(wall.start_of("ahead", START_UNIX_MS + 2.0 * HOUR_MS, 61_000.0, None), 61_000.0);
}
