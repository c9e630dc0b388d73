//! System calls that fail as Linux documents, injected by the soak's shim, and a process that is stopped for a while.

use crate::stand_ins::{Behavior, Node, Server, config, head};
use pearfront_soak::shim::{Control, Fault, build};
use std::path::PathBuf;
use std::process::Command;
use std::thread::sleep;
use std::time::Duration;
use test_case::test_case;

/// Requests per run, one after another.
const REQUESTS: usize = 400;

struct Shim {
    folder: PathBuf,
    library: PathBuf,
    control: Control,
}

impl Shim {
    fn new(name: &str, seed: u64) -> Self {
        let folder = std::env::temp_dir().join(format!("pearfront-shim-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let library = build(&folder).unwrap();
        let control = Control::new(folder.join("control"), seed).unwrap();
        Self { folder, library, control }
    }

    fn start(&self, config: &serde_json::Value) -> Node {
        Node::start_in(config, |command| self.load(command))
    }

    fn load(&self, command: &mut Command) {
        command.env("LD_PRELOAD", &self.library).env("FAULT_SHIM", &self.control.path);
    }
}

impl Drop for Shim {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.folder).unwrap();
    }
}

// Operators' calls had no answer and no log line if reading them failed in this way.
#[test_case(Fault::Interrupted, 50_000; "interrupted")]
#[test_case(Fault::Short, 200_000; "short")]
#[test_case(Fault::NoBuffers, 50_000; "no buffers")]
fn no_operators_call_is_lost_by_a_call_that_may_be_repeated(fault: Fault, per_million: u32) {
    const CALLS: usize = 100;
    let shim = Shim::new(&format!("operators-{fault:?}"), 11);
    let node = Node::start_for_operators_in(config(&[]), |command| shim.load(command));
    assert_eq!(node.call("GET /_ready"), 200);
    shim.control.set(fault, per_million).unwrap();
    let answered = (0..CALLS).filter(|_| node.call("GET /_ready") == 200).count();
    shim.control.set(fault, 0).unwrap();
    node.end();
    assert_eq!(answered, CALLS, "{:?}", shim.control.counts());
}

// System calls fail or are cut short at this rate: each request is answered, on a kept connection that stays open.
#[test_case(Fault::Interrupted, 50_000; "interrupted")]
#[test_case(Fault::Short, 200_000; "short")]
#[test_case(Fault::NoBuffers, 50_000; "no buffers")]
fn no_request_is_lost_by_a_call_that_may_be_repeated(fault: Fault, per_million: u32) {
    let shim = Shim::new(&format!("{fault:?}"), 7);
    let server = Server::start(Behavior::Serve(b"fine".to_vec()));
    let node = shim.start(&config(&[server.address]));
    let mut client = node.client();
    shim.control.set(fault, per_million).unwrap();
    for _ in 0..REQUESTS {
        assert_eq!(client.ask(&head("pay", "5", 0), b"").status(), 200);
    }
    shim.control.set(fault, 0).unwrap();
    let counts = shim.control.counts();
    assert!(counts[fault as usize] > 10, "{counts:?}");
    let counters = node.end();
    assert_eq!((counters["attempt_served"], counters["failed"]), (REQUESTS as u64, 0));
}

// One in three of the first socket calls fails: the process still starts.
#[test]
fn a_start_outlasts_sockets_that_can_not_be_had() {
    for seed in 1..=10 {
        let shim = Shim::new("start", seed);
        shim.control.set(Fault::Socket, 300_000).unwrap();
        let node = shim.start(&config(&[]));
        shim.control.set(Fault::Socket, 0).unwrap();
        node.end();
    }
}

/// How long the process is stopped, and how long its client waits, ms.
const STOPPED: u64 = 1200;
const WAITS: u64 = 3000;
/// By how much the time announced to a server may exceed the remaining time, ms.
const SLACK: u64 = 200;

// The deadline of a request that arrives while the process is stopped counts from its arrival, not from when it is read or its
// connection is accepted.
#[test_case(false; "on an open connection")]
#[test_case(true; "on a new connection")]
fn a_server_is_not_told_of_time_that_passed_while_the_process_stood_still(is_new: bool) {
    let server = Server::start(Behavior::Serve(Vec::new()));
    let node = Node::start(&config(&[server.address]));
    let mut client = node.client();
    assert_eq!(client.ask(&head("read", "3", 0), b"").status(), 200);
    // The process must have been running for a moment.
    sleep(Duration::from_millis(200));
    node.signal("-STOP");
    node.wait_until_stopped();
    if is_new {
        client = node.client();
    }
    client.send(&head("read", "3", 0), b"");
    sleep(Duration::from_millis(STOPPED));
    node.signal("-CONT");
    assert_eq!(client.answer().unwrap().status(), 200);
    node.end();
    let told: f64 = server.requests()[1].headers["x-expires-in"].parse().unwrap();
    assert!(told * 1000.0 <= (WAITS - STOPPED + SLACK) as f64, "told {told} s");
}
