//! How many jobs may be out, as answers come in.

use pearfront::window::{AdmissionWindow, MAX_PER_SERVER};

/// Answers each `every` ms of `took(at, profile)` ms, two profiles in turn; then the most that may be out.
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
fn a_server_that_holds_jobs_long_by_itself_may_have_more_in_hand() {
    let most = window_after(100.0, 20_000.0, |_, _| 1000.0);
    assert!((20.0..=27.0).contains(&most), "{most} where 20 are in hand at this rate");
}

#[test]
fn short_jobs_leave_few_in_hand() {
    let most = window_after(100.0, 20_000.0, |_, _| 100.0);
    assert!(most <= MAX_PER_SERVER, "{most}");
}

#[test]
fn what_lengthens_all_jobs_is_crowding_and_lets_in_no_more() {
    let most = window_after(400.0, 40_000.0, |at, _| if at < 15_000.0 { 300.0 } else { 1200.0 });
    assert!(most <= MAX_PER_SERVER, "{most}");
}

#[test]
fn a_profile_that_is_slow_by_itself_closes_nothing() {
    let slow = |at: f64, profile: usize| if at > 15_000.0 && profile == 1 { 9000.0 } else { 1000.0 };
    let most = window_after(200.0, 40_000.0, slow);
    assert!(most >= 16.5, "{most}, where it was 16 without");
}

#[test]
fn servers_that_are_busy_all_the_time_gain_nothing_by_more() {
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
fn a_job_in_a_hundred_that_costs_thirty_times_the_work_closes_nothing() {
    let heavy =
        |at: f64, _: usize| if ((at / 100.0).round() as u64).is_multiple_of(100) { 30_000.0 } else { 1000.0 };
    let most = window_after(100.0, 30_000.0, heavy);
    assert!(most >= 20.0, "{most} where 20 are in hand at this rate");
}

#[test]
fn a_mix_that_turns_to_the_heavy_profile_for_good_is_let_in() {
    let mut window = AdmissionWindow::new();
    (0..2).for_each(|_| window.add_profile());
    window.start(1.0);
    // Nine in ten are light, and after 15 s nine in ten heavy; each takes what it always did.
    for number in 0..800 {
        let now = f64::from(number) * 50.0;
        let heavy = (number % 10 == 0) == (now < 15_000.0);
        let took = if heavy { 1200.0 } else { 300.0 };
        window.in_flight.value = window.size();
        window.record_served(usize::from(heavy), now, took);
        window.adjust(usize::from(heavy), now, took, 4000.0);
        window.limit_to_share(now, 1.0, None);
    }
    assert!(window.size() >= 22.0, "{} where 22 are in hand", window.size());
}
