use super::*;

#[test]
fn an_act_under_an_old_token_is_refused_and_a_token_of_two_is_found() {
    let mut receiver = Receiver::default();
    let mut take = |at, who, token| receiver.take(Act { at, who, token });
    assert!(take(1.0, 0, 3) && take(2.0, 1, 4) && !take(3.0, 0, 3) && take(4.0, 1, 4));
    assert!(take(5.0, 2, 4));
    assert_eq!((receiver.refused, receiver.turns.len(), receiver.broken.len()), (1, 2, 1));
    assert_eq!(receiver.gap_after(1.5), Some(0.5));
}
