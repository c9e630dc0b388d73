use super::*;
use What::{GiveUp, Renew, Take};
use test_case::test_case;

const NEVER: f64 = f64::INFINITY;

#[test_case(&[(Take(1), 0.0, 1.0), (Renew(1), 2.0, 3.0), (GiveUp(1), 4.0, 5.0), (Take(2), 6.0, 7.0)] => true; "one after another")]
#[test_case(&[(Take(1), 0.0, 1.0), (Take(3), 5.0, 6.0)] => true; "a lease that ran out, and one that nobody heard of")]
#[test_case(&[(Take(2), 0.0, 1.0), (Take(1), 2.0, 3.0)] => false; "a token that is not above the one before it")]
#[test_case(&[(Take(1), 0.0, 1.0), (Take(1), 2.0, 3.0)] => false; "a token given twice")]
#[test_case(&[(Take(1), 0.0, 1.0), (Take(2), 2.0, 3.0), (Renew(1), 4.0, 5.0)] => false; "a renewal after another has it")]
#[test_case(&[(Take(1), 0.0, 1.0), (Take(2), 2.0, 5.0), (Renew(1), 4.0, 6.0)] => true; "a renewal that may have come before it")]
#[test_case(&[(Take(1), 0.0, 1.0), (GiveUp(1), 2.0, 3.0), (Renew(1), 4.0, 5.0)] => false; "a renewal after it was given up")]
#[test_case(&[(Take(1), 0.0, 1.0), (GiveUp(1), 2.0, NEVER), (Renew(1), 4.0, 5.0)] => true; "a word that nobody heard")]
#[test_case(&[(Renew(1), 0.0, 1.0)] => false; "a renewal of what nobody has")]
#[test_case(&[(Renew(1), 0.0, 9.0), (Take(1), 5.0, 6.0)] => true; "answers that overtake each other")]
#[test_case(&[(GiveUp(4), 0.0, 1.0), (Take(4), 2.0, 3.0)] => false; "given up before it was given")]
fn a_history_is_one_places_or_not(calls: &[(What, f64, f64)]) -> bool {
    let calls: Vec<Call> =
        calls.iter().map(|(what, from, to)| Call { what: *what, from: *from, to: *to }).collect();
    linearizable(&calls).is_ok()
}

// Forty that wait all the while must not make it look at every order of them.
#[test]
fn many_that_wait_at_once_are_no_hindrance() {
    let takes = (1..=40).map(|token| Call { what: Take(token), from: 0.0, to: 10.0 * token as f64 });
    let renews = (1..=40).map(|token| Call {
        what: Renew(token),
        from: 10.0 * token as f64 + 1.0,
        to: 10.0 * token as f64 + 2.0,
    });
    assert_eq!(linearizable(&takes.chain(renews).collect::<Vec<_>>()), Ok(()));
}
