//! A stepped wall clock makes no cold server warm, and none cold for an hour.

use super::{MAX_NOTICE_DELAY_MS, WallClock};
use test_case::test_case;

const HOUR: f64 = 3_600_000.0;
/// Unix time at the node's start.
const BEGAN: f64 = 1_800_000_000_000.0;

// Steps at 10 s, then a server that starts at 20 s by the stepped clock, and one at 5 s by the one before.
#[test_case(HOUR; "an hour ahead")]
#[test_case(-HOUR; "an hour back")]
#[test_case(7000.0; "seconds ahead")]
#[test_case(-7000.0; "seconds back")]
fn starts_are_where_they_were_whenever_they_were_stamped(step: f64) {
    let wall = WallClock::default();
    wall.observe(BEGAN, 0.0);
    wall.observe(BEGAN + 5000.0, 5000.0);
    wall.observe(BEGAN + 21_000.0 + step, 21_000.0);
    let after = wall.start_of("after", BEGAN + 20_000.0 + step, 21_000.0, Some(15_000.0));
    let before = wall.start_of("before", BEGAN + 5000.0, 21_000.0, None);
    // Never earlier, and no later than the moment.
    assert!((20_000.0..=21_100.0).contains(&after), "{after}");
    assert!((5000.0..=21_100.0).contains(&before), "{before}");
}

#[test]
fn what_was_made_of_a_start_stays() {
    let wall = WallClock::default();
    wall.observe(BEGAN, 0.0);
    let reported = wall.start_of("a", BEGAN + 1000.0, 2000.0, None);
    wall.observe(BEGAN + HOUR, 3000.0);
    assert_eq!((reported, wall.start_of("a", BEGAN + 1000.0, 3000.0, None)), (1000.0, 1000.0));
}

// A clock that was wrong from the start: the list that did not have it bounds what can be.
#[test]
fn a_start_that_no_list_had_before_is_recent() {
    let wall = WallClock::default();
    wall.observe(BEGAN + HOUR, 0.0);
    assert_eq!(
        wall.start_of("new", BEGAN + 60_000.0, 61_000.0, Some(60_000.0)),
        60_000.0 - MAX_NOTICE_DELAY_MS
    );
    assert_eq!(wall.start_of("ahead", BEGAN + 2.0 * HOUR, 61_000.0, None), 61_000.0);
}
