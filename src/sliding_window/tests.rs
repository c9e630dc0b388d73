use super::{SlidingWindow, TimeWeightedLevel};

#[test]
fn a_level_counts_for_as_long_as_it_lasted() {
    let mut level = TimeWeightedLevel::<4>::new(400.0);
    level.change(100.0, 2.0);
    level.change(200.0, 2.0);
    assert_eq!(level.mean(300.0), (2.0 * 100.0 + 4.0 * 100.0) / 400.0);
    assert_eq!(level.value, 4.0);
}

#[test]
fn a_level_that_did_not_change_for_long_is_its_own_mean() {
    let mut level = TimeWeightedLevel::<10>::new(1000.0);
    level.change(130.0, 3.0);
    assert!((level.mean(5150.0) - 3.0).abs() < 0.2, "{}", level.mean(5150.0));
    level.change(5150.0, -3.0);
    assert!(level.mean(5650.0) < 2.0, "{}", level.mean(5650.0));
}

#[test]
fn forgets_what_is_older_than_its_span() {
    let mut sliding_window = SlidingWindow::<4>::new(400.0);
    sliding_window.add(0.0, 5.0);
    sliding_window.add(150.0, 7.0);
    assert_eq!(sliding_window.total(399.0), (2.0, 12.0));
    assert_eq!(sliding_window.total(400.0), (1.0, 7.0));
    assert_eq!(sliding_window.total(9000.0), (0.0, 0.0));
}
