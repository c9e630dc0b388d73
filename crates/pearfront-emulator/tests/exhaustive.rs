//! Bounded model checking of three voters within a few steps; `make prove-consensus` goes deeper.

use pearfront_emulator::cores::exhaustive::{Bounds, check};
use test_case::test_case;

const BOUNDS: Bounds = Bounds {
    depth: 40,
    states: 12_000,
    terms: 2,
    proposals: 3,
    crashes: 0,
    led: false,
    forgets: false,
    all_forgot: false,
};

#[test_case(BOUNDS; "elections from nothing")]
#[test_case(Bounds { led: true, ..BOUNDS }; "a leader, grants, and another election")]
#[test_case(Bounds { led: true, crashes: 1, ..BOUNDS }; "a crash that loses what was not synced")]
#[test_case(Bounds { led: true, crashes: 1, forgets: true, ..BOUNDS }; "one that forgets everything is found out")]
fn no_reachable_state_breaks_an_invariant(bounds: Bounds) {
    let found = check(&bounds);
    assert_eq!(found.broken, None);
    assert!(found.depth >= 3 && found.states >= 1000, "{found:?}");
}

// Three voters whose disks all lost synced data begin the same term again; the check has to find that.
#[test]
fn voters_that_all_lost_their_data_are_found_to_break_an_invariant() {
    let found = check(&Bounds { led: true, all_forgot: true, proposals: 0, ..BOUNDS });
    let (what, steps) = found.broken.expect("found");
    assert!(what.starts_with("two leaders in term 1") && steps.len() >= 5, "{what}: {steps:?}");
}
