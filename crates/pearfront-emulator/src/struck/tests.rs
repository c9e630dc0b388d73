use super::*;

#[test]
fn troubles_overlap_and_end_one_by_one() {
    let struck = Struck::default();
    struck.strike(0, What::Slow, 0.5);
    struck.strike(1, What::Slow, 0.1);
    struck.strike(2, What::FastErrors, 0.4);
    assert_eq!((struck.pace(), struck.spared(What::FastErrors)), (0.05, 0.6));
    assert!(struck.spare(1) && !struck.spare(1));
    assert_eq!((struck.pace(), struck.has(What::FastErrors), struck.idle(30.0)), (0.5, true, 30_000.0));
}
