use super::*;
use crate::{decode, encode};

fn ask() -> LeaseRequest {
    let want = Want {
        duty: "export".into(),
        max_holders: 1,
        lease: 8000.0,
        outlives_process: true,
        min_interval: 0.0,
        rank: Rank::default(),
    };
    let (holds, over, orders) = (vec![("a".into(), 3)], Vec::new(), Vec::new());
    let from = ProcessId { name: "n0".into(), life: 7 };
    LeaseRequest { from, number: 1, answered: 0, holds, wants: vec![want], over, orders, list: false }
}

#[test]
fn a_message_comes_back_whole_or_not_at_all() {
    let bytes = encode(&ask());
    assert_eq!(decode(&bytes), Some(ask()));
    for place in 0..bytes.len() {
        let mut spoilt = bytes.clone();
        spoilt[place] ^= 1;
        assert_eq!(decode::<LeaseRequest>(&spoilt), None);
        assert_eq!(decode::<LeaseRequest>(&bytes[..place]), None);
    }
}

#[test]
fn what_is_out_of_bounds_is_not_taken() {
    for spoil in [
        |ask: &mut LeaseRequest| ask.wants[0].lease = f64::NAN,
        |ask: &mut LeaseRequest| ask.wants[0].lease = 1.0,
        |ask: &mut LeaseRequest| ask.wants[0].max_holders = 0,
        |ask: &mut LeaseRequest| ask.wants[0].duty = String::new(),
        |ask: &mut LeaseRequest| ask.holds = vec![("a".into(), 1); 300],
    ] {
        let mut ask = ask();
        spoil(&mut ask);
        assert_eq!(decode::<LeaseRequest>(&encode(&ask)), None);
    }
}
