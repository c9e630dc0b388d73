use super::*;
use crate::{decode, encode};

fn ask() -> Ask {
    let want = Want {
        duty: "export".into(),
        most: 1,
        lease: 8000.0,
        outlives: true,
        once_per: 0.0,
        standing: Standing::default(),
    };
    let (holds, over, orders) = (vec![("a".into(), 3)], Vec::new(), Vec::new());
    let from = Who { name: "n0".into(), life: 7 };
    Ask { from, number: 1, answered: 0, holds, wants: vec![want], over, orders, list: false }
}

#[test]
fn a_message_comes_back_whole_or_not_at_all() {
    let bytes = encode(&ask());
    assert_eq!(decode(&bytes), Some(ask()));
    for place in 0..bytes.len() {
        let mut spoilt = bytes.clone();
        spoilt[place] ^= 1;
        assert_eq!(decode::<Ask>(&spoilt), None);
        assert_eq!(decode::<Ask>(&bytes[..place]), None);
    }
}

#[test]
fn what_is_out_of_bounds_is_not_taken() {
    for spoil in [
        |ask: &mut Ask| ask.wants[0].lease = f64::NAN,
        |ask: &mut Ask| ask.wants[0].lease = 1.0,
        |ask: &mut Ask| ask.wants[0].most = 0,
        |ask: &mut Ask| ask.wants[0].duty = String::new(),
        |ask: &mut Ask| ask.holds = vec![("a".into(), 1); 300],
    ] {
        let mut ask = ask();
        spoil(&mut ask);
        assert_eq!(decode::<Ask>(&encode(&ask)), None);
    }
}
