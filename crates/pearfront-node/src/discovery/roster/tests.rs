use super::*;
use std::net::{Ipv4Addr, SocketAddrV4};

fn line(id: &str, port: u16, started: Option<f64>) -> Line {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
    Line {
        id: id.into(),
        address,
        standing: ServerState::Ready,
        cell: 0,
        zone: 0,
        make: 0,
        size: 1.0,
        started,
    }
}

fn update(roster: &mut Roster, whole: bool, lines: Vec<Line>) -> (Vec<(u16, ServerState)>, Vec<u16>) {
    let (told, stale) = roster.update(List { version: 1, whole, lines, dropped: Vec::new() });
    let told = told.iter().map(|line| (line.address.port(), line.standing)).collect();
    (told, stale.iter().map(SocketAddr::port).collect())
}

// Two servers that change places: neither address may end as gone.
#[test]
fn a_server_that_moves_has_gone_from_its_old_place_first() {
    let mut roster = Roster::default();
    update(&mut roster, true, vec![line("a", 1, None), line("b", 2, None)]);
    let (told, stale) = update(&mut roster, false, vec![line("a", 2, None), line("b", 1, None)]);
    let (gone, ready) = (ServerState::Gone, ServerState::Ready);
    assert_eq!(told, [(1, gone), (2, gone), (2, ready), (1, ready)]);
    assert_eq!(stale, [1, 2]);
}

// Connections from before a restart are dead, however quiet they look.
#[test]
fn connections_are_stale_after_a_new_start_and_after_the_end() {
    let mut roster = Roster::default();
    update(&mut roster, true, vec![line("a", 1, None), line("b", 2, Some(5.0)), line("c", 3, None)]);
    assert!(update(&mut roster, false, vec![line("b", 2, Some(5.0))]).1.is_empty());
    assert_eq!(update(&mut roster, false, vec![line("b", 2, Some(6.0))]).1, [2]);
    assert_eq!(update(&mut roster, true, vec![line("b", 2, Some(6.0))]).1, [1, 3]);
    assert!(roster.is_ready("127.0.0.1:2".parse().unwrap()));
    let draining = Line { standing: ServerState::Draining, ..line("b", 2, Some(6.0)) };
    update(&mut roster, false, vec![draining]);
    assert!(!roster.is_ready("127.0.0.1:2".parse().unwrap()));
    let gone = Line { standing: ServerState::Gone, ..line("b", 2, Some(6.0)) };
    assert_eq!(update(&mut roster, false, vec![gone]), (vec![(2, ServerState::Gone)], vec![2]));
}

// A new server where another has gone is cold and has no history, whoever of the two is told first and also if
// a whole list hides the change; what is told of the old one later must not take it down.
#[test]
fn a_new_server_at_the_address_of_another_is_a_new_one() {
    let (gone, ready) = (ServerState::Gone, ServerState::Ready);
    let old = |standing| Line { standing, ..line("old", 1, None) };
    for (whole, lines) in [
        (false, vec![old(gone), line("new", 1, None)]),
        (false, vec![line("new", 1, None), old(gone)]),
        (true, vec![line("new", 1, None)]),
    ] {
        let mut roster = Roster::default();
        update(&mut roster, true, vec![old(ready)]);
        assert_eq!(update(&mut roster, whole, lines), (vec![(1, gone), (1, ready)], vec![1]));
        for later in [old(ServerState::Draining), old(gone)] {
            assert_eq!(update(&mut roster, false, vec![later]), (vec![], vec![]));
        }
        assert!(roster.is_ready("127.0.0.1:1".parse().unwrap()));
        // What comes last in a list holds.
        let lines = vec![line("new", 1, None), Line { standing: gone, ..line("new", 1, None) }];
        assert_eq!(update(&mut roster, false, lines).0, [(1, gone)]);
    }
}
