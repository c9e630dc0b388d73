use super::*;

#[test]
fn entries_come_by_time_and_then_in_their_order() {
    let mut event_queue = EventQueue::default();
    for (at, what) in [(5.0, 'c'), (1.0, 'a'), (5.0, 'd'), (3.0, 'b')] {
        event_queue.put(at, what);
    }
    let mut all = String::new();
    while let Some((_, what)) = event_queue.next(5.0) {
        all.push(what);
    }
    assert_eq!(all, "abcd");
}
