use super::*;
use std::time::Duration;

fn at(opened: Instant, ms: u64) -> Instant {
    opened + Duration::from_millis(ms)
}

#[test]
fn data_read_at_once_arrived_when_it_was_read() {
    let opened = Instant::now();
    let arrival = Arrival::new(opened);
    arrival.found_nothing();
    arrival.record_read(at(opened, 700), 100, None);
    assert_eq!(arrival.earliest(), at(opened, 700));
}

#[test]
fn data_read_late_may_have_arrived_right_after_the_last_empty_read() {
    let opened = Instant::now();
    let arrival = Arrival::new(opened);
    arrival.record_read(at(opened, 50), 100, None);
    assert_eq!(arrival.earliest(), opened);
    arrival.found_nothing();
    arrival.record_read(at(opened, 100), 100, None);
    arrival.record_read(at(opened, 900), 100, Some(MAX_UNREAD_BYTES as u64));
    assert_eq!(arrival.earliest(), at(opened, 100));
}

#[test]
fn data_may_have_arrived_as_soon_as_reading_was_suspended() {
    let opened = Instant::now();
    let arrival = Arrival::new(opened);
    arrival.found_nothing();
    arrival.suspend(at(opened, 100));
    arrival.suspend(at(opened, 300));
    assert_eq!(arrival.unread_since(), at(opened, 100));
    arrival.record_read(at(opened, 400), 1, None);
    assert_eq!(arrival.earliest(), at(opened, 100));
}

// Data beyond what the kernels can hold had not been sent yet.
#[test]
fn data_beyond_the_kernel_buffers_arrived_later() {
    let opened = Instant::now();
    let arrival = Arrival::new(opened);
    arrival.record_read(at(opened, 100), 1, Some(MAX_UNREAD_BYTES as u64 + 1));
    assert_eq!((arrival.earliest(), arrival.last_empty_at()), (at(opened, 100), opened));
    arrival.record_read(at(opened, 200), MAX_UNREAD_BYTES, None);
    assert_eq!(arrival.earliest(), at(opened, 100));
    arrival.record_read(at(opened, 300), MAX_UNREAD_BYTES, None);
    assert_eq!(arrival.earliest(), at(opened, 200));
}
