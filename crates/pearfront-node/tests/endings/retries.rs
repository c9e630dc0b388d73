//! Retries whose connection is established late: the conditions under which they were allowed must still hold when they are
//! sent.

use crate::stand_ins::{Behavior, Node, Server, config, entry, head, list};
use serde_json::json;
use std::thread::sleep;
use std::time::Duration;

/// Window in which the group discards repeats of a keyed request, ms.
const WINDOW: u64 = 300;
/// How long the second server stays unreachable; the kernel retries the connection 1 s after the first attempt.
const SHUT: Duration = Duration::from_millis(600);

// A keyed request may have run. Its retry is decided within the window, but its connection is established after it.
#[test]
fn a_keyed_request_is_not_repeated_on_a_connection_that_comes_up_behind_the_window() {
    let first = Server::start(Behavior::Raw(Vec::new(), b"HTTP/1.1 2".to_vec()));
    let (second, listener, queued) = Server::unreachable();
    let mut file = config(&[first.address]);
    file["settings"]["profiles"][1]["window"] = json!(WINDOW * 1_000_000);
    file["settings"]["limits"]["connect_timeout"] = json!(4_000_000_000_u64);
    file["settings"]["limits"]["probes"] = json!(false);
    let node = Node::start(&file);
    let mut client = node.client();
    client.send(&head("book", "4", 0), b"");
    first.wait_for("request 1");
    node.discovery.publish(2, list(2, false, &[entry("s1", second, "Ready")]));
    node.discovery.wait_for(2);
    first.release();
    sleep(SHUT);
    queued.iter().for_each(|_| drop(listener.accept().unwrap()));
    drop(queued);
    let second = Server::on_listener(listener.into(), second, Behavior::Serve(Vec::new()));
    let status = client.answer().expect("an answer").status();
    node.end();
    assert_eq!(second.requests().len(), 0, "a request was sent again behind its window");
    assert_ne!(status, 200);
}
