use super::*;

// With a "never" of days a node that has run for longer would play rounds without end and time out every attempt.
#[test]
fn a_wake_that_never_comes_is_far_away_after_years_too() {
    let clock = Clock::start();
    let years = 10.0 * 365.0 * 24.0 * 3_600_000.0;
    assert!(
        clock.instant_at(NEVER_MS) > clock.instant_at(years)
            && clock.instant_at(years) > clock.instant_at(years - 1.0)
    );
}
