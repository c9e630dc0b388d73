use super::*;

// If "never" were only some days ahead, a node that has run longer would run rounds continuously
// and time out every attempt.
#[test]
fn never_is_still_far_away_after_years() {
    let clock = Clock::start();
    let years = 10.0 * 365.0 * 24.0 * 3_600_000.0;
    assert!(
        clock.instant_at(NEVER_MS) > clock.instant_at(years)
            && clock.instant_at(years) > clock.instant_at(years - 1.0)
    );
}
