//! Time until a newly started process is ready, for each behaviour of discovery. `make bench-readiness` measures the whole
//! distribution; here each case runs once.

use crate::stand_ins::{Behavior, Discovery, Node, Platform, Server, config, head, in_time};
use std::time::{Duration, Instant};
use test_case::test_case;

/// Maximum time to readiness; the requirement for nine in ten restarted processes is 10 s on a fifth of a core.
const AT_MOST: Duration = Duration::from_secs(3);

/// Maximum for a process without another one to wait for: well below the longest wait for a list.
const ALONE: Duration = Duration::from_millis(1500);

fn there(_: &Discovery) {}

fn is_down(discovery: &Discovery) {
    discovery.reset_open_connections(true);
}

fn within(begun: Instant) -> Result<(), String> {
    let took = begun.elapsed();
    if took <= AT_MOST { Ok(()) } else { Err(format!("ready after {took:?}")) }
}

// Alone, a process is ready and serves from the list in its configuration, without waiting for discovery.
#[test_case(there; "there")]
#[test_case(Discovery::stop_answering; "silent")]
#[test_case(is_down; "down")]
fn a_process_alone_is_ready_and_serves_whatever_discovery_does(before: fn(&Discovery)) {
    let server = Server::start(Behavior::Serve(Vec::new()));
    in_time(|| {
        let begun = Instant::now();
        let node = Node::start_with(&config(&[server.address]), before);
        assert_eq!(node.client().ask(&head("read", "5", 0), b"").status(), 200);
        let took = within(begun);
        node.end();
        took
    });
}

fn nobody(_: &Platform) {}

fn hangs_up(platform: &Platform) {
    platform.greet_next_process("");
}

// No other process serves the listener, or it ends before it sends anything: queued clients depend on this process alone, so it
// must not wait for a list.
#[test_case(nobody; "nobody else")]
#[test_case(hangs_up; "one that hangs up")]
fn a_process_that_is_alone_on_a_shared_listener_waits_for_no_list(other: fn(&Platform)) {
    let server = Server::start(Behavior::Serve(Vec::new()));
    in_time(|| {
        let platform = Platform::new();
        other(&platform);
        let begun = Instant::now();
        let node = platform.start_with(&config(&[server.address]), Discovery::stop_answering);
        node.wait_for_call("GET /_ready", 200);
        let took = begun.elapsed();
        node.end();
        if took < ALONE { Ok(()) } else { Err(format!("ready after {took:?}")) }
    });
}

// The process that it was to replace ends before this one is ready: from then on it is alone and must not wait for a list.
#[test]
fn a_process_whose_other_ends_waits_for_no_list() {
    let server = Server::start(Behavior::Serve(Vec::new()));
    in_time(|| {
        let platform = Platform::new();
        let old = platform.start(&config(&[server.address]));
        old.wait_for_call("GET /_ready", 200);
        let new = platform.start_with(&config(&[server.address]), Discovery::stop_answering);
        platform.wait_until_asked();
        let begun = Instant::now();
        old.kill();
        new.wait_for_call("GET /_ready", 200);
        let took = begun.elapsed();
        new.end();
        if took < ALONE { Ok(()) } else { Err(format!("ready {took:?} after the other's end")) }
    });
}

// If another process may serve the same listener, the list comes first, but the wait is bounded: with a predecessor and without
// one.
#[test_case(there, false; "there")]
#[test_case(Discovery::stop_answering, false; "silent")]
#[test_case(is_down, false; "down")]
#[test_case(there, true; "there, in a hand-over")]
#[test_case(Discovery::stop_answering, true; "silent, in a hand-over")]
#[test_case(is_down, true; "down, in a hand-over")]
fn a_process_on_a_shared_listener_is_ready_whatever_discovery_does(before: fn(&Discovery), hand_over: bool) {
    let server = Server::start(Behavior::Serve(Vec::new()));
    in_time(|| {
        let platform = Platform::new();
        let old = hand_over.then(|| platform.start(&config(&[server.address])));
        old.iter().for_each(|old| old.wait_for_call("GET /_ready", 200));
        let begun = Instant::now();
        let new = platform.start_with(&config(&[server.address]), before);
        new.wait_for_call("GET /_ready", 200);
        let took = within(begun);
        old.into_iter().for_each(|old| drop(old.end()));
        assert_eq!(new.client().ask(&head("read", "5", 0), b"").status(), 200);
        new.end();
        took
    });
}
