//! Tests of the admission window: how many requests may be in flight as answers come in.

use pearfront::window::{AdmissionWindow, MAX_PER_SERVER};

/// Answers a request every `every` ms, of two profiles in turn, each after `took(at, profile)` ms; returns the
/// window's size at the time `until`.
fn window_after(every: f64, until: f64, took: impl Fn(f64, usize) -> f64) -> f64 {
    let mut window = AdmissionWindow::new();
    (0..2).for_each(|_| window.add_profile());
    window.start(1.0);
    let mut now = 0.0;
    while now < until {
        for profile in 0..2 {
            now += every / 2.0;
            window.in_flight.value = window.size();
            window.record_served(profile, now, took(now, profile));
            window.adjust(profile, now, took(now, profile), 4000.0);
            window.limit_to_share(now, 1.0, None);
        }
    }
    window.size()
}

#[test]
fn a_server_whose_requests_take_long_when_uncrowded_may_have_more_in_flight() {
    let most = window_after(100.0, 20_000.0, |_, _| 1000.0);
    assert!((20.0..=27.0).contains(&most), "{most} where 20 are in flight at this rate");
}

#[test]
fn short_requests_leave_few_in_flight() {
    let most = window_after(100.0, 20_000.0, |_, _| 100.0);
    assert!(most <= MAX_PER_SERVER, "{most}");
}

#[test]
fn what_slows_all_requests_is_crowding_and_admits_no_more() {
    let most = window_after(400.0, 40_000.0, |at, _| if at < 15_000.0 { 300.0 } else { 1200.0 });
    assert!(most <= MAX_PER_SERVER, "{most}");
}

#[test]
fn a_profile_that_is_slow_by_itself_does_not_shrink_the_window() {
    let slow = |at: f64, profile: usize| if at > 15_000.0 && profile == 1 { 9000.0 } else { 1000.0 };
    let most = window_after(200.0, 40_000.0, slow);
    assert!(most >= 16.5, "{most}, where it was 16 without");
}

#[test]
fn busy_servers_get_no_larger_window() {
    let mut window = AdmissionWindow::new();
    window.add_profile();
    (0..200).for_each(|at| window.record_served(0, f64::from(at) * 50.0, 1000.0));
    let mut bounded = |busy| {
        window.start(9.0);
        window.limit_to_share(10_000.0, 1.0, busy);
        window.size()
    };
    assert_eq!([bounded(Some(1.0)), bounded(None) - bounded(Some(0.2))], [MAX_PER_SERVER, 0.0]);
}

#[test]
fn one_request_in_a_hundred_of_thirty_times_the_work_does_not_shrink_the_window() {
    let heavy =
        |at: f64, _: usize| if ((at / 100.0).round() as u64).is_multiple_of(100) { 30_000.0 } else { 1000.0 };
    let most = window_after(100.0, 30_000.0, heavy);
    assert!(most >= 20.0, "{most} where 20 are in flight at this rate");
}

#[test]
fn a_lasting_change_to_the_heavy_profile_is_admitted() {
    let mut window = AdmissionWindow::new();
    (0..2).for_each(|_| window.add_profile());
    window.start(1.0);
    // Nine in ten requests are light, and nine in ten heavy after 15 s; the durations of each kind stay the same.
    for number in 0..800 {
        let now = f64::from(number) * 50.0;
        let heavy = (number % 10 == 0) == (now < 15_000.0);
        let took = if heavy { 1200.0 } else { 300.0 };
        window.in_flight.value = window.size();
        window.record_served(usize::from(heavy), now, took);
        window.adjust(usize::from(heavy), now, took, 4000.0);
        window.limit_to_share(now, 1.0, None);
    }
    assert!(window.size() >= 22.0, "{} where 22 are in flight", window.size());
}
