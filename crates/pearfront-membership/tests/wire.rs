//! The decoder and the handling of truncated, changed, foreign, outdated and duplicate packets.

use pearfront_membership::{
    Action, DecodeError, Identity, MAX_DATAGRAM_BYTES, Membership, State, Status, Times, decode,
};
use proptest::prelude::*;
use std::net::SocketAddr;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7000))
}

fn new_core(number: u8, installation: &str, seeds: Vec<SocketAddr>) -> Membership {
    let identity = Identity {
        installation: installation.into(),
        name: format!("n{number}"),
        zone: "z".into(),
        address: address(number),
        life: u64::from(number) + 100,
        last_incarnation: 0,
    };
    Membership::new(identity, seeds, Times::default(), u64::from(number), 0.0).expect("a name that fits")
}

fn bytes(out: Vec<Action>) -> Vec<Vec<u8>> {
    let sent = |out| match out {
        Action::Datagram { bytes, .. } | Action::Frame { bytes, .. } => Some(bytes),
        _ => None,
    };
    out.into_iter().filter_map(sent).collect()
}

/// Two members that know each other, and a datagram of the second.
fn pair() -> (Membership, Membership, Vec<u8>) {
    let (mut one, mut other) = (new_core(1, "shop", vec![]), new_core(2, "shop", vec![address(1)]));
    other.tick(0.0);
    for join in bytes(other.take_actions()) {
        one.receive_bytes(&join, 1.0).expect("a join");
    }
    for view in bytes(one.take_actions()) {
        other.receive_bytes(&view, 2.0).expect("a view");
    }
    assert_eq!((one.state(), other.state()), (&State::Member, &State::Member));
    other.tick(300.0);
    let ping = bytes(other.take_actions()).into_iter().find(|bytes| bytes.len() < MAX_DATAGRAM_BYTES);
    (one, other, ping.expect("a ping"))
}

#[test]
fn packet_of_another_installation_is_dropped_and_counted() {
    let (mut one, _, ping) = pair();
    assert_eq!(decode(&ping, "other").err(), Some(DecodeError::OtherInstallation));
    let mut outsider = new_core(3, "other", vec![address(1)]);
    outsider.tick(0.0);
    let join = bytes(outsider.take_actions()).remove(0);
    assert_eq!(one.receive_bytes(&join, 10.0), Err(DecodeError::OtherInstallation));
    assert_eq!((one.counts().elsewhere, one.members().count()), (1, 1));
}

#[test]
fn duplicate_datagram_is_no_sign_of_life() {
    let (mut one, _, ping) = pair();
    one.receive_bytes(&ping, 300.0).expect("whole");
    let heard = one.member("n2").expect("known").last_heard;
    for again in 1..50 {
        one.receive_bytes(&ping, 300.0 + 100.0 * f64::from(again)).expect("whole");
    }
    assert_eq!(one.member("n2").expect("known").last_heard, heard);
    assert!(one.counts().outdated >= 49);
}

#[test]
fn datagram_of_an_ended_process_does_not_bring_it_back() {
    let (mut one, _, ping) = pair();
    one.process_ended("n2", 102, 400.0);
    assert_eq!(one.member("n2").expect("known").status, Status::Ended);
    one.receive_bytes(&ping, 500.0).expect("whole");
    assert_eq!(one.member("n2").expect("known").status, Status::Ended);
    // Proof of the end of another run does not end this one.
    let (mut one, ..) = pair();
    one.process_ended("n2", 999, 400.0);
    assert_eq!(one.member("n2").expect("known").status, Status::Alive);
}

// The seeds may include the process's own address, also in a form that leads back to it.
#[test]
fn process_that_receives_its_own_join_keeps_joining() {
    let mut one = new_core(1, "shop", vec![address(9)]);
    one.tick(0.0);
    let join = bytes(one.take_actions()).remove(0);
    one.receive_bytes(&join, 1.0).expect("its own join");
    assert_eq!((one.state(), one.members().count()), (&State::Joining, 0));
    assert!(bytes(one.take_actions()).is_empty());
}

proptest! {
    #[test]
    fn decoder_survives_arbitrary_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..1400)) {
        let mut framed = vec![b'p', b'm', 1];
        framed.extend(crc32c::crc32c(&bytes).to_le_bytes());
        framed.extend(&bytes);
        // Arbitrary content also behind a correct header and checksum.
        let _ = decode(&framed, "shop");
        prop_assert!(decode(&bytes, "shop").is_err());
    }

    #[test]
    fn changed_or_truncated_packet_is_refused(at in 0usize..2000, bit in 0u8..8, cut in any::<bool>()) {
        let (mut one, _, ping) = pair();
        let mut changed = ping.clone();
        if cut {
            changed.truncate(at % ping.len());
        } else {
            changed[at % ping.len()] ^= 1 << bit;
        }
        let before = one.view_checksum();
        prop_assert!(one.receive_bytes(&changed, 300.0).is_err());
        prop_assert_eq!(one.view_checksum(), before);
    }
}
