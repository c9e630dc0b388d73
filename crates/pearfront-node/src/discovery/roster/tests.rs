use super::*;
use std::net::{Ipv4Addr, SocketAddrV4};

fn entry(id: &str, port: u16, started: Option<f64>) -> ServerEntry {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
    ServerEntry {
        id: id.into(),
        address,
        standing: ServerState::Ready,
        cell: 0,
        zone: 0,
        machine_type: 0,
        weight: 1.0,
        started,
    }
}

fn update(
    roster: &mut Roster,
    is_full: bool,
    entries: Vec<ServerEntry>,
) -> (Vec<(u16, ServerState)>, Vec<u16>) {
    let (told, stale) = roster.update(ServerList { version: 1, is_full, entries, invalid: Vec::new() });
    let told = told.iter().map(|entry| (entry.address.port(), entry.standing)).collect();
    (told, stale.iter().map(SocketAddr::port).collect())
}

// Two servers that change places: neither address may end as gone.
#[test]
fn a_server_that_moves_has_gone_from_its_old_place_first() {
    let mut roster = Roster::default();
    update(&mut roster, true, vec![entry("a", 1, None), entry("b", 2, None)]);
    let (told, stale) = update(&mut roster, false, vec![entry("a", 2, None), entry("b", 1, None)]);
    let (gone, ready) = (ServerState::Gone, ServerState::Ready);
    assert_eq!(told, [(1, gone), (2, gone), (2, ready), (1, ready)]);
    assert_eq!(stale, [1, 2]);
}

// Connections from before a restart are dead, however quiet they look.
#[test]
fn connections_are_stale_after_a_new_start_and_after_the_end() {
    let mut roster = Roster::default();
    update(&mut roster, true, vec![entry("a", 1, None), entry("b", 2, Some(5.0)), entry("c", 3, None)]);
    assert!(update(&mut roster, false, vec![entry("b", 2, Some(5.0))]).1.is_empty());
    assert_eq!(update(&mut roster, false, vec![entry("b", 2, Some(6.0))]).1, [2]);
    assert_eq!(update(&mut roster, true, vec![entry("b", 2, Some(6.0))]).1, [1, 3]);
    assert!(roster.is_ready("127.0.0.1:2".parse().unwrap()));
    let draining = ServerEntry { standing: ServerState::Draining, ..entry("b", 2, Some(6.0)) };
    update(&mut roster, false, vec![draining]);
    assert!(!roster.is_ready("127.0.0.1:2".parse().unwrap()));
    let gone = ServerEntry { standing: ServerState::Gone, ..entry("b", 2, Some(6.0)) };
    assert_eq!(update(&mut roster, false, vec![gone]), (vec![(2, ServerState::Gone)], vec![2]));
}

// A new server where another has gone is cold and has no history, whoever of the two is told first and also if
// a whole list hides the change; what is told of the old one later must not take it down.
#[test]
fn a_new_server_at_the_address_of_another_is_a_new_one() {
    let (gone, ready) = (ServerState::Gone, ServerState::Ready);
    let old = |standing| ServerEntry { standing, ..entry("old", 1, None) };
    for (is_full, entries) in [
        (false, vec![old(gone), entry("new", 1, None)]),
        (false, vec![entry("new", 1, None), old(gone)]),
        (true, vec![entry("new", 1, None)]),
    ] {
        let mut roster = Roster::default();
        update(&mut roster, true, vec![old(ready)]);
        assert_eq!(update(&mut roster, is_full, entries), (vec![(1, gone), (1, ready)], vec![1]));
        for later in [old(ServerState::Draining), old(gone)] {
            assert_eq!(update(&mut roster, false, vec![later]), (vec![], vec![]));
        }
        assert!(roster.is_ready("127.0.0.1:1".parse().unwrap()));
        // What comes last in a list holds.
        let entries = vec![entry("new", 1, None), ServerEntry { standing: gone, ..entry("new", 1, None) }];
        assert_eq!(update(&mut roster, false, entries).0, [(1, gone)]);
    }
}
