use super::*;
use crate::streaming::MAX_BUFFERED_BYTES;

#[test]
fn room_is_given_back_and_never_overdrawn() {
    // Of 62 descriptors 24 are fixed and 7 the last resort.
    let room = Capacity::new(62, 1.0);
    // 0.3 MiB of bodies: four of the largest.
    let bodies: Vec<RequestReservation> = std::iter::from_fn(|| room.job(MAX_BUFFERED_BYTES)).collect();
    assert_eq!(bodies.len(), 4);
    drop(bodies);
    // 31 connections: fifteen jobs that each need two. One more would leave an attempt without any.
    let small: Vec<RequestReservation> = std::iter::from_fn(|| room.job(0)).collect();
    assert_eq!(small.len(), 15);
    drop(small);
    let places: Vec<ConnectionSlot> = (0..31).map(|_| room.take_slot()).collect();
    assert!(!room.has_slot() && room.has_reserve_slot());
    drop(places);
    assert!(room.has_slot());
    assert_eq!((room.to_string().as_str(), room.bytes.get()), ("connections_open=0 jobs_held=0", 0));
}

// Two processes of one node must not use more than one may.
#[test]
fn limits_count_over_all_processes_of_a_node() {
    let room = Capacity::new(162, 1.0);
    let (alone, bytes) = (room.most_open.get(), room.most_bytes.get());
    let other = |connections, bytes| Usage { connections, bytes };
    room.set_others(&[other(0, 0)]);
    let part = room.most_open.get();
    assert!(part * 2 <= alone - FIXED && room.most_bytes.get() <= bytes.div_ceil(2));
    // The other one holds more than its part, from when it was alone.
    room.set_others(&[other(alone - 10, bytes)]);
    assert!(room.most_open.get() <= 10 && room.most_bytes.get() == 0);
    room.set_others(&[]);
    assert_eq!((room.most_open.get(), room.most_bytes.get()), (alone, bytes));
}

// Bodies that are read ahead of servers that take nothing must not keep out the requests that come behind them, nor one another.
#[test]
fn bodies_read_ahead_leave_room_to_requests_and_to_one_another() {
    const CHUNK: usize = 16 * 1024;
    let room = Capacity::new(1024, 64.0);
    let half = room.most_bytes.get() / 2;
    let read_all = || -> Vec<ReservedBytes> {
        let mut held = 0;
        let next = || room.read_ahead(held, CHUNK).inspect(|_| held += CHUNK);
        std::iter::from_fn(next).collect()
    };
    let bodies: Vec<Vec<ReservedBytes>> = (0..100).map(|_| read_all()).collect();
    let part = |body: &Vec<ReservedBytes>| body.len() * CHUNK;
    assert!(part(&bodies[0]).abs_diff(half / 5) <= CHUNK, "{} of {half}", part(&bodies[0]));
    assert!(part(&bodies[9]) >= CHUNK, "nothing is left for the tenth");
    assert!(bodies.iter().map(part).sum::<usize>() <= half);
    assert!(room.job(MAX_BUFFERED_BYTES).is_some());
    drop(bodies);
    assert_eq!(room.bytes.get(), 0);
}
