use super::*;

#[test]
fn what_was_read_ahead_is_given_out_in_its_order_and_then_the_end() {
    let ahead = ReadAhead::default();
    ahead.reads.set(true);
    let mut to = [0; 3];
    assert!(ahead.has_room() && ahead.give_out(&mut to).is_none());
    ahead.take_in(Ok(b"some"));
    ahead.take_in(Ok(b"thing"));
    ahead.take_in(Ok(b""));
    assert!(ahead.has_ended() && !ahead.has_room());
    let mut all = Vec::new();
    while let Some(Ok(count)) = ahead.give_out(&mut to)
        && count > 0
    {
        all.extend_from_slice(&to[..count]);
    }
    assert_eq!((all.as_slice(), ahead.has_bytes()), (b"something".as_slice(), false));
}

#[test]
fn a_connection_that_broke_is_told_behind_its_bytes() {
    let ahead = ReadAhead::default();
    ahead.take_in(Ok(b"a"));
    ahead.take_in(Err(io::ErrorKind::ConnectionReset.into()));
    assert_eq!(ahead.give_out(&mut [0; 4]).unwrap().unwrap(), 1);
    let end = ahead.give_out(&mut [0; 4]).unwrap().unwrap_err();
    assert_eq!(end.kind(), io::ErrorKind::ConnectionReset);
}

#[test]
fn no_more_is_read_ahead_than_fits() {
    let ahead = ReadAhead::default();
    ahead.reads.set(true);
    ahead.take_in(Ok(&[0; MOST]));
    assert!(!ahead.has_room());
    ahead.give_out(&mut [0; 1]);
    assert!(ahead.has_room());
}
