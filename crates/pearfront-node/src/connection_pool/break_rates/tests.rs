//! Tests of the break rates of reused and new connections.

use super::*;

#[test]
fn breaks_of_reused_and_new_connections_alike_are_not_blamed_on_reuse() {
    let rates = BreakRates::default();
    rates.record(true, true);
    assert!(rates.is_higher_when_reused());
    rates.record(false, true);
    assert!(!rates.is_higher_when_reused());
    (0..100).for_each(|_| rates.record(false, false));
    assert!(rates.is_higher_when_reused());
    (0..50).for_each(|_| rates.record(true, false));
    assert!(!rates.is_higher_when_reused());
}
