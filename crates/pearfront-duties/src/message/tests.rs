use super::*;
use crate::{decode, encode};

fn request() -> LeaseRequest {
    let want = Want {
        duty: "export".into(),
        max_holders: 1,
        lease: 8000.0,
        outlives_process: true,
        min_interval: 0.0,
        rank: Rank::default(),
    };
    let (held, releases, orders) = (vec![("a".into(), 3)], Vec::new(), Vec::new());
    let from = ProcessId { name: "n0".into(), life: 7 };
    LeaseRequest { from, number: 1, last_answered: 0, held, wants: vec![want], releases, orders, list: false }
}

#[test]
fn message_decodes_only_if_intact() {
    let bytes = encode(&request());
    assert_eq!(decode(&bytes), Some(request()));
    for byte in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[byte] ^= 1;
        assert_eq!(decode::<LeaseRequest>(&damaged), None);
        assert_eq!(decode::<LeaseRequest>(&bytes[..byte]), None);
    }
}

#[test]
fn out_of_bounds_requests_are_refused() {
    for invalidate in [
        |request: &mut LeaseRequest| request.wants[0].lease = f64::NAN,
        |request: &mut LeaseRequest| request.wants[0].lease = 1.0,
        |request: &mut LeaseRequest| request.wants[0].max_holders = 0,
        |request: &mut LeaseRequest| request.wants[0].duty = String::new(),
        |request: &mut LeaseRequest| request.held = vec![("a".into(), 1); 300],
    ] {
        let mut request = request();
        invalidate(&mut request);
        assert_eq!(decode::<LeaseRequest>(&encode(&request)), None);
    }
}
