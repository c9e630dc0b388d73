use super::*;

#[test]
fn troubles_overlap_and_end_one_by_one() {
    let active_troubles = ActiveTroubles::default();
    active_troubles.apply_trouble(0, What::Slow, 0.5);
    active_troubles.apply_trouble(1, What::Slow, 0.1);
    active_troubles.apply_trouble(2, What::FastErrors, 0.4);
    assert_eq!(
        (active_troubles.speed_factor(), active_troubles.unaffected_share(What::FastErrors)),
        (0.05, 0.6)
    );
    assert!(active_troubles.end_trouble(1) && !active_troubles.end_trouble(1));
    assert_eq!(
        (active_troubles.speed_factor(), active_troubles.has(What::FastErrors), active_troubles.idle(30.0)),
        (0.5, true, 30_000.0)
    );
}
