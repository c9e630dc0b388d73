use super::*;

#[test]
fn a_void_play_is_played_again_and_a_failed_one_is_not() {
    let mut played = 0;
    let shown = in_time(3, |number| {
        played += 1;
        Ok(if number < 3 { Play::Void("late".into()) } else { Play::InTime(number) })
    });
    assert_eq!((shown, played), (Ok(3), 3));
    let failed = in_time(3, |_| -> Result<Play<()>, String> { Err("no such program".into()) });
    assert_eq!(failed, Err("no such program".to_string()));
}

#[test]
fn void_plays_alone_are_no_verdict() {
    let late = in_time(2, |_| Ok(Play::<()>::Void("9 ms late".into())));
    assert_eq!(late, Err("void in each of 2 plays: 9 ms late".to_string()));
}
