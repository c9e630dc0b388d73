use super::*;

#[test]
fn a_repeat_within_the_window_has_no_effect_and_one_after_it_has() {
    let mut repeats = DedupKeys::default();
    assert!(repeats.work_through(7, 0.0, 5000.0));
    assert!(!repeats.work_through(7, 4999.0, 5000.0));
    assert!(repeats.work_through(8, 5001.0, 5000.0));
    assert!(repeats.work_through(7, 5001.0, 5000.0));
    assert!(repeats.knows(7, 10_000.0) && !repeats.knows(7, 10_001.0));
}
