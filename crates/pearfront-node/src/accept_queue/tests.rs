use super::*;

fn at(opened: Instant, ms: u64) -> Instant {
    opened + Duration::from_millis(ms)
}

#[test]
fn a_connection_accepted_at_once_is_new_and_the_next_ones_may_be_as_old() {
    let opened = Instant::now();
    let queue = AcceptQueue::new(100, opened);
    queue.accepted(at(opened, 50), None);
    assert_eq!(queue.earliest(), opened);
    queue.found_nothing();
    queue.accepted(at(opened, 700), None);
    queue.accepted(at(opened, 900), None);
    assert_eq!((queue.earliest(), queue.waiting_since()), (at(opened, 700), at(opened, 700)));
}

#[test]
fn connections_may_have_arrived_as_soon_as_accepting_was_suspended() {
    let opened = Instant::now();
    let queue = AcceptQueue::new(100, opened);
    queue.found_nothing();
    queue.suspend(at(opened, 100));
    queue.suspend(at(opened, 300));
    queue.accepted(at(opened, 400), None);
    assert_eq!(queue.earliest(), at(opened, 100));
}

// A queue that is never empty, with one accept per millisecond: no connection has waited for more
// others than the queue holds, and none is assumed to have arrived later than it can have.
#[test]
fn connections_that_the_queue_could_not_hold_arrived_later() {
    const MAX_WAITING: usize = 100;
    let opened = Instant::now();
    let queue = AcceptQueue::new(MAX_WAITING, opened);
    for number in 1..1000_usize {
        queue.accepted(at(opened, number as u64), None);
        let can_have_arrived = at(opened, number.saturating_sub(MAX_WAITING + 1) as u64);
        assert!(queue.earliest() <= can_have_arrived, "{number}");
        assert!(
            queue.earliest() + Duration::from_millis(CHECKPOINT_STEP as u64) >= can_have_arrived,
            "{number}"
        );
    }
}

// In a queue that is never empty and drains slowly, a connection that had just arrived was assumed
// to be as old as the queue is long.
#[test]
fn the_age_that_the_kernel_reports_holds_for_later_connections() {
    let opened = Instant::now();
    let queue = AcceptQueue::new(100, opened);
    queue.accepted(at(opened, 500), Some(at(opened, 400)));
    queue.accepted(at(opened, 600), None);
    assert_eq!((queue.earliest(), queue.waiting_since()), (at(opened, 400), at(opened, 400)));
}

// The last poll before a process stall found nothing, and the next connection after it was assumed
// to be new.
#[test]
fn connections_from_a_process_stall_are_as_old_as_the_kernel_reports() {
    let opened = Instant::now();
    let queue = AcceptQueue::new(100, opened);
    queue.found_nothing();
    queue.accepted(at(opened, 2000), Some(at(opened, 300)));
    assert_eq!(queue.earliest(), at(opened, 300));
}

// The same if accepting was suspended right after the stall for want of a slot: that is not when
// the queue was last empty.
#[test]
fn connections_from_before_a_suspension_are_as_old_as_the_kernel_reports() {
    let opened = Instant::now();
    let queue = AcceptQueue::new(100, opened);
    queue.found_nothing();
    queue.suspend(at(opened, 2000));
    queue.accepted(at(opened, 2010), Some(at(opened, 300)));
    assert_eq!(queue.earliest(), at(opened, 300));
}

// The previous process died, and the connections it left had waited longer than a serving process
// leaves any.
#[test]
fn connections_left_by_another_process_are_as_old_as_the_kernel_reports() {
    let started = Instant::now();
    let queue = AcceptQueue::new(100, at(started, 1000));
    queue.accepted(at(started, 1500), Some(started));
    assert_eq!(queue.earliest(), started);
    queue.accepted(at(started, 1500), Some(at(started, 200)));
    assert_eq!(queue.earliest(), at(started, 200));
}
