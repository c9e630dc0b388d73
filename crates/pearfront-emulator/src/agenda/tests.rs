use super::*;

#[test]
fn entries_come_by_time_and_then_in_their_order() {
    let mut agenda = Agenda::default();
    for (at, what) in [(5.0, 'c'), (1.0, 'a'), (5.0, 'd'), (3.0, 'b')] {
        agenda.put(at, what);
    }
    let mut all = String::new();
    while let Some((_, what)) = agenda.next(5.0) {
        all.push(what);
    }
    assert_eq!(all, "abcd");
}
