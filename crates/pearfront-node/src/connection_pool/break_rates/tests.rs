use super::*;

#[test]
fn what_breaks_kept_and_new_connections_alike_is_not_laid_to_the_keeping() {
    let rates = BreakRates::default();
    rates.record(true, true);
    assert!(rates.is_higher_when_kept());
    rates.record(false, true);
    assert!(!rates.is_higher_when_kept());
    (0..100).for_each(|_| rates.record(false, false));
    assert!(rates.is_higher_when_kept());
    (0..50).for_each(|_| rates.record(true, false));
    assert!(!rates.is_higher_when_kept());
}
