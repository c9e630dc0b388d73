//! Answers that a peer sends a second time, some milliseconds late: none may meet the next message on its connection.

use crate::stand_ins::{Message, Node, RepeatingPeer, config, head, list, response};
use serde_json::json;
use std::sync::Barrier;
use std::thread;
use std::time::Duration;
use test_case::test_case;

/// Requests that each client sends, one after the other.
const REQUESTS: usize = 30;

/// Answers a request with its id once `batch` requests wait.
fn answer_in_batches(message: &Message, batch: &Barrier) -> Vec<u8> {
    batch.wait();
    response("200 OK", message.headers["x-trace-id"].as_bytes())
}

/// Sends requests one after the other; returns how many were served with the answer to something else.
fn count_foreign(node: &Node) -> usize {
    let mut client = node.client();
    let is_foreign = |_: &usize| {
        let request = head("read", "5", 0);
        let answer = client.ask(&request, b"");
        let id = String::from_utf8_lossy(&answer.body);
        answer.status() == 200 && !request.contains(&format!("X-Trace-Id: {id}\r\n"))
    };
    (0..REQUESTS).filter(is_foreign).count()
}

// A late copy of an answer was taken for the answer to another client's request once eight connections to one server
// had just become free: the next request did not wait for the end of their quiet period.
#[test_case(4; "few connections")]
#[test_case(24; "many connections")]
fn a_late_copy_of_an_answer_meets_no_other_request(clients: usize) {
    let batch = Barrier::new(clients);
    let server = RepeatingPeer::start(move |message| answer_in_batches(message, &batch));
    let mut config = config(&[server.address]);
    // Beyond the first tier there is no admission window: all requests are sent at once.
    config["settings"]["tier"] = json!(1);
    config["settings"]["limits"]["probes"] = json!(false);
    let node = Node::start(&config);
    let foreign: usize = thread::scope(|scope| {
        let all: Vec<_> = (0..clients).map(|_| scope.spawn(|| count_foreign(&node))).collect();
        all.into_iter().map(|client| client.join().unwrap()).sum()
    });
    let counters = node.end();
    let messages = server.messages();
    assert_eq!((foreign, server.copies()), (0, 0), "foreign answers and copies of {messages}, {counters:?}");
    assert_eq!(counters["served"], (clients * REQUESTS) as u64, "{counters:?}");
}

// The same for lists: the next call went out right behind a list, and a late copy of that was taken for its answer. From
// then on each call had the list of the one before it.
#[test_case("pushed"; "pushed")]
#[test_case("on_request"; "asked")]
fn a_late_copy_of_a_list_meets_no_other_call(mode: &str) {
    const PLAYED: Duration = Duration::from_secs(2);
    const INTERVAL: Duration = Duration::from_millis(20);
    let discovery = RepeatingPeer::start(|call| {
        thread::sleep(INTERVAL);
        let (_, rest) = call.start.split_once("from=").unwrap();
        let version: u64 = rest.split('&').next().unwrap().parse().unwrap();
        response("200 OK", list(version + 1, false, &[]).to_string().as_bytes())
    });
    let mut config = config(&[]);
    config["settings"]["discovery"] = json!(mode);
    let node = Node::start_in(&config, |node| {
        node.env("ROUTER_DISCOVERY", discovery.address.to_string());
    });
    thread::sleep(PLAYED);
    node.end();
    assert!(discovery.messages() > 2, "{} calls", discovery.messages());
    assert_eq!(discovery.copies(), 0, "of {} calls", discovery.messages());
}
