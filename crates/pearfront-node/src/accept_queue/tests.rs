use super::*;

fn at(opened: Instant, ms: u64) -> Instant {
    opened + Duration::from_millis(ms)
}

#[test]
fn what_is_waited_for_comes_when_it_is_accepted_and_the_rest_may_have_come_right_behind_it() {
    let opened = Instant::now();
    let queue = AcceptQueue::since(100, opened);
    queue.accepted(at(opened, 50), None);
    assert_eq!(queue.earliest(), opened);
    queue.found_nothing();
    queue.accepted(at(opened, 700), None);
    queue.accepted(at(opened, 900), None);
    assert_eq!((queue.earliest(), queue.of_waiting()), (at(opened, 700), at(opened, 700)));
}

#[test]
fn what_comes_while_nobody_accepts_may_have_come_from_the_beginning_of_that() {
    let opened = Instant::now();
    let queue = AcceptQueue::since(100, opened);
    queue.found_nothing();
    queue.looks_away(at(opened, 100));
    queue.looks_away(at(opened, 300));
    queue.accepted(at(opened, 400), None);
    assert_eq!(queue.earliest(), at(opened, 100));
}

// A queue that is never empty, one accepted each millisecond: none has waited for more than the queue holds, and none is
// taken to have come later than it may have.
#[test]
fn what_the_queue_could_not_hold_came_later() {
    const MOST: usize = 100;
    let opened = Instant::now();
    let queue = AcceptQueue::since(MOST, opened);
    for number in 1..1000_usize {
        queue.accepted(at(opened, number as u64), None);
        let can_have_come = at(opened, number.saturating_sub(MOST + 1) as u64);
        assert!(queue.earliest() <= can_have_come, "{number}");
        assert!(queue.earliest() + Duration::from_millis(STEP as u64) >= can_have_come, "{number}");
    }
}

// A queue that is never empty, from which few are accepted: what came in a moment ago was taken for as old as the queue is long.
#[test]
fn what_the_kernel_says_of_one_holds_for_those_behind_it() {
    let opened = Instant::now();
    let queue = AcceptQueue::since(100, opened);
    queue.accepted(at(opened, 500), Some(at(opened, 400)));
    queue.accepted(at(opened, 600), None);
    assert_eq!((queue.earliest(), queue.of_waiting()), (at(opened, 400), at(opened, 400)));
}

// The last look before a stop of the process found nothing, and behind it the next connection was taken for a new one.
#[test]
fn what_came_while_the_process_stood_still_is_as_old_as_the_kernel_says() {
    let opened = Instant::now();
    let queue = AcceptQueue::since(100, opened);
    queue.found_nothing();
    queue.accepted(at(opened, 2000), Some(at(opened, 300)));
    assert_eq!(queue.earliest(), at(opened, 300));
}

// The same where the process looked away right behind the stop, as it had no place: that is not when the queue was empty last.
#[test]
fn what_came_before_the_process_looked_away_is_as_old_as_the_kernel_says() {
    let opened = Instant::now();
    let queue = AcceptQueue::since(100, opened);
    queue.found_nothing();
    queue.looks_away(at(opened, 2000));
    queue.accepted(at(opened, 2010), Some(at(opened, 300)));
    assert_eq!(queue.earliest(), at(opened, 300));
}

// The process before died, and what it left waited for longer than a process that serves leaves anything.
#[test]
fn what_was_left_by_others_is_as_old_as_the_kernel_says() {
    let started = Instant::now();
    let queue = AcceptQueue::since(100, at(started, 1000));
    queue.accepted(at(started, 1500), Some(started));
    assert_eq!(queue.earliest(), started);
    queue.accepted(at(started, 1500), Some(at(started, 200)));
    assert_eq!(queue.earliest(), at(started, 200));
}
