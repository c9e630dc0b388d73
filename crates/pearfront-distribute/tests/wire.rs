//! Encoding, bounds and framing of messages.

use pearfront_distribute::{
    FrameAssembler, ProcessId, ToDistributor, ToSubscriber, decode, encode, split_frames,
};
use std::collections::BTreeSet;

fn subscribe() -> ToDistributor {
    ToDistributor::Subscribe {
        installation: "shop".into(),
        process: ProcessId { name: "n1".into(), incarnation: 7 },
        session: 1,
        held: Some(4),
        services: vec!["cart".into(), "user".into()],
        new_services: BTreeSet::from(["user".to_string()]),
    }
}

#[test]
fn a_corrupt_or_truncated_message_is_not_decoded() {
    let bytes = encode(&subscribe());
    assert_eq!(decode(&bytes), Some(subscribe()));
    for index in 0..bytes.len() {
        let mut spoilt = bytes.clone();
        spoilt[index] ^= 1;
        assert_eq!(decode::<ToDistributor>(&spoilt), None);
        assert_eq!(decode::<ToDistributor>(&bytes[..index]), None);
    }
}

#[test]
fn messages_out_of_bounds_are_not_decoded() {
    let ToDistributor::Subscribe { installation, process, session, held, new_services, .. } = subscribe()
    else {
        panic!()
    };
    let services = vec!["cart".to_string(); 1025];
    let many = ToDistributor::Subscribe { installation, process, session, held, services, new_services };
    assert_eq!(decode::<ToDistributor>(&encode(&many)), None);
    let long = ToDistributor::Refuse { session: 1, version: 1, reason: "x".repeat(257) };
    assert_eq!(decode::<ToDistributor>(&encode(&long)), None);
    let heartbeat = ToSubscriber::Heartbeat { session: 1, unchanged: None, age: f64::NAN };
    assert_eq!(decode::<ToSubscriber>(&encode(&heartbeat)), None);
}

#[test]
fn a_message_split_into_frames_is_reassembled() {
    let mut lane = FrameAssembler::default();
    for length in [0_usize, 1, 16 * 1024, 16 * 1024 + 1, 100_000] {
        let message: Vec<u8> = (0..length).map(|index| index as u8).collect();
        let frames = split_frames(&message);
        assert_eq!(frames.len(), length.div_ceil(16 * 1024).max(1));
        let (last, first) = frames.split_last().unwrap();
        assert!(first.iter().all(|frame| lane.push(frame) == Ok(None)));
        assert_eq!(lane.push(last), Ok(Some(message)));
    }
    assert!(lane.push(&[]).is_err() && lane.push(&[7, 1]).is_err());
}
