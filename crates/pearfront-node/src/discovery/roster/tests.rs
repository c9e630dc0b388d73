//! Tests of applying lists: moved, restarted and replaced servers.

use super::*;
use std::net::{Ipv4Addr, SocketAddrV4};

fn entry(id: &str, port: u16, started: Option<f64>) -> ServerEntry {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
    ServerEntry {
        id: id.into(),
        address,
        state: ServerState::Ready,
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
    let (changes, stale) = roster.update(ServerList { version: 1, is_full, entries, invalid: Vec::new() });
    let changes = changes.iter().map(|entry| (entry.address.port(), entry.state)).collect();
    (changes, stale.iter().map(SocketAddr::port).collect())
}

// Two servers that swap addresses: neither address may end up as gone.
#[test]
fn a_server_that_moves_leaves_its_old_address_first() {
    let mut roster = Roster::default();
    update(&mut roster, true, vec![entry("a", 1, None), entry("b", 2, None)]);
    let (changes, stale) = update(&mut roster, false, vec![entry("a", 2, None), entry("b", 1, None)]);
    let (gone, ready) = (ServerState::Gone, ServerState::Ready);
    assert_eq!(changes, [(1, gone), (2, gone), (2, ready), (1, ready)]);
    assert_eq!(stale, [1, 2]);
}

// Connections from before a restart are dead, even if they look idle.
#[test]
fn connections_are_stale_after_a_restart_and_after_the_end() {
    let mut roster = Roster::default();
    update(&mut roster, true, vec![entry("a", 1, None), entry("b", 2, Some(5.0)), entry("c", 3, None)]);
    assert!(update(&mut roster, false, vec![entry("b", 2, Some(5.0))]).1.is_empty());
    assert_eq!(update(&mut roster, false, vec![entry("b", 2, Some(6.0))]).1, [2]);
    assert_eq!(update(&mut roster, true, vec![entry("b", 2, Some(6.0))]).1, [1, 3]);
    assert!(roster.is_ready("127.0.0.1:2".parse().unwrap()));
    let draining = ServerEntry { state: ServerState::Draining, ..entry("b", 2, Some(6.0)) };
    update(&mut roster, false, vec![draining]);
    assert!(!roster.is_ready("127.0.0.1:2".parse().unwrap()));
    let gone = ServerEntry { state: ServerState::Gone, ..entry("b", 2, Some(6.0)) };
    assert_eq!(update(&mut roster, false, vec![gone]), (vec![(2, ServerState::Gone)], vec![2]));
}

// A new server at the address of one that left is cold and has no history, whichever of the two is listed
// first, and also if a full list hides the change. Late changes of the old server must not take the new one
// down.
#[test]
fn a_new_server_at_the_address_of_another_has_no_history() {
    let (gone, ready) = (ServerState::Gone, ServerState::Ready);
    let old = |state| ServerEntry { state, ..entry("old", 1, None) };
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
        // The last entry in a list wins.
        let entries = vec![entry("new", 1, None), ServerEntry { state: gone, ..entry("new", 1, None) }];
        assert_eq!(update(&mut roster, false, entries).0, [(1, gone)]);
    }
}
