//! A client that closes or cancels has gone: no attempt begins for it, whatever the node was busy with when it went. What is
//! at the node's end of the connection counts, not when the node came to look: a node on little of a core stands still
//! again and again, so one is stopped here while both orders of a crossing become known at once.

use super::{Leaving, leave};
use crate::stand_ins::{Act, Caller, ESTABLISHED, Node, Server};
use crate::stand_ins::{config, entry, head, in_table, in_time, list, wait_for_table};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};
use test_case::test_case;

/// No attempt begins for a client that has been gone for longer.
const AT_MOST: Duration = Duration::from_millis(100);

/// A node's file where no attempt is called off and a connection may come up late.
fn patient(servers: &[SocketAddr]) -> Value {
    let mut config = super::without_cancels(&config(servers));
    config["settings"]["limits"]["connect_timeout"] = json!(60e9);
    config["settings"]["limits"]["probes"] = json!(false);
    config
}

/// Has seen all that was there to be seen: two calls behind one another, on a connection of their own.
fn look_twice(node: &Node) {
    let mut caller = node.caller();
    (0..2).for_each(|_| assert_eq!(caller.ask("GET /up HTTP/1.1\r\n\r\n", b"").status(), 200));
}

// The connection is up, and behind it the client went, before a node that stood still saw either. The attempt is ready to
// be written then, by a task that comes before the one which sees the client's end.
#[test_case("pay", 0, Leaving::Closes; "closed")]
#[test_case("read", 0, Leaving::ClosesBehindMore; "closed with bytes unread")]
#[test_case("pay", 0, Leaving::EndsSendingBehindMore; "only its sending, with bytes unread")]
#[test_case("book", 0, Leaving::ResetsBehindMore; "reset with bytes unread")]
#[test_case("pay", 1000, Leaving::Closes; "closed behind a body")]
fn a_connection_that_is_up_right_before_the_leaving_brings_nothing(
    profile: &str,
    length: usize,
    how: Leaving,
) {
    const CONNECTING: &str = "02";
    let (address, listener, queued) = Server::vanished();
    let node = Node::start(&patient(&[address]));
    let mut caller = node.caller();
    caller.send(&head(profile, "60", length), &vec![b'x'; length]);
    wait_for_table(&format!("{} {CONNECTING} ", in_table(address)), true);
    node.signal("-STOP");
    node.wait_until_stopped();
    drop(queued);
    let came = Arc::new(Mutex::new(Vec::new()));
    let seen = came.clone();
    spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let seen = seen.clone();
            spawn(move || {
                let mut bytes = Vec::new();
                let _ = stream.read_to_end(&mut bytes);
                seen.lock().unwrap().push(bytes.len());
            });
        }
    });
    // The kernel asks again after a second.
    wait_for_table(&format!("{} {ESTABLISHED} ", in_table(address)), true);
    let _open = leave(caller, "", b"", how);
    sleep(AT_MOST);
    node.signal("-CONT");
    look_twice(&node);
    let counters = node.end();
    assert_eq!((counters["client_left"], counters["shot_never_sent"]), (1, 1), "{counters:?}");
    assert!(came.lock().unwrap().iter().all(|length| *length == 0), "{came:?}");
}

/// Sends jobs that are held, and leaves in the moment in which the list lets them go. What came to the server, and how long
/// after its client had gone.
fn leave_as_the_list_comes(callers: usize) -> Result<(), String> {
    let server = Server::start(Act::Honour(Vec::new()));
    let node = Node::start(&patient(&[]));
    let hold = |number: usize| {
        let mut caller = node.caller();
        let head = head(["pay", "read", "book"][number % 3], "60", 0);
        caller.send(&head, b"");
        let id = head.split_once("X-Trace-Id: ").unwrap().1.split_once('\r').unwrap().0.to_string();
        (id, caller)
    };
    let held: Vec<(String, Caller)> = (0..callers).map(hold).collect();
    look_twice(&node);
    node.discovery.publish(2, list(2, true, &[entry("s0", server.address, "Ready")]));
    let mut gone = BTreeMap::new();
    for (id, caller) in held {
        drop(caller);
        gone.insert(id, Instant::now());
    }
    node.discovery.wait_for(2);
    look_twice(&node);
    let counters = node.end();
    let late = |job: &crate::stand_ins::Message| {
        let after = job.came?.saturating_duration_since(gone[&job.headers["x-trace-id"]]);
        (after > AT_MOST).then_some(after)
    };
    let jobs = server.jobs();
    let late: Vec<_> = jobs.iter().filter_map(late).collect();
    if counters["taken"] != callers as u64 {
        return Err(format!("{} of {callers} taken", counters["taken"]));
    }
    let most = late.iter().max();
    if late.is_empty() {
        Ok(())
    } else {
        Err(format!("{} of {} late, most {most:?}", late.len(), jobs.len()))
    }
}

// A thousand in three plays: each leaves in the moment in which its job may go, and what was begun for it later than that
// counts. Most of the jobs are let go in one round, and the last of them waits for all others.
#[test]
fn a_thousand_callers_that_leave_as_their_jobs_may_go_have_none_begun_a_tenth_of_a_second_later() {
    (0..3).for_each(|_| in_time(|| leave_as_the_list_comes(334)));
}

/// A node that asks its servers what they hold before it draws one.
fn asking(servers: &[SocketAddr]) -> Value {
    let mut config = super::without_cancels(&config(servers));
    config["settings"]["report"]["fields"] = json!(["outstanding"]);
    config
}

// While servers are asked before a draw: the answers come behind the leaving, or never.
#[test_case(true; "answered")]
#[test_case(false; "silent to its end")]
fn a_job_whose_servers_are_asked_ends_with_its_caller(answered: bool) {
    let server = Server::start(Act::HoldProbes);
    let node = Node::start(&asking(&[server.address]));
    let mut caller = node.caller();
    caller.send(&head("pay", "60", 0), b"");
    server.wait_for("probe 1");
    leave(caller, "", b"", Leaving::ClosesBehindMore);
    if answered {
        server.go_on();
    } else {
        // The question ends by itself, and its connection with it.
        server.wait_for("probe over 1");
    }
    look_twice(&node);
    let counters = node.end();
    server.go_on();
    assert_eq!((server.jobs().len(), counters["client_left"], counters["shots"]), (0, 1, 0), "{counters:?}");
    assert_eq!(counters["probes_failed"] > 0, !answered, "{counters:?}");
}

// The same with the caller there: a question that is silent to its end holds its job up, and no more than that.
#[test]
fn a_job_whose_servers_are_silent_when_asked_goes_all_the_same() {
    let server = Server::start(Act::HoldProbes);
    let node = Node::start(&asking(&[server.address]));
    assert_eq!(node.caller().ask(&head("pay", "60", 0), b"").status(), 200);
    assert!(server.has("probe 1"), "it was not asked");
    server.go_on();
    node.end();
}
