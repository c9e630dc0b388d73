//! What a connection still owes when it is shut down, reset or closed.

use crate::stand_ins::{Act, ESTABLISHED, Node, Server};
use crate::stand_ins::{config, head, in_table, list, wait_for_table};
use rustix::process::{Pid, PidfdFlags, PidfdGetfdFlags, pidfd_getfd, pidfd_open};
use socket2::{Domain, Socket, Type};
use std::mem::MaybeUninit;
use std::thread::sleep;
use std::time::Duration;

/// The connections that a node has open, whichever side made them.
fn connections(node: &Node) -> Vec<Socket> {
    let process = pidfd_open(Pid::from_raw(node.pid() as i32).unwrap(), PidfdFlags::empty()).unwrap();
    let open = std::fs::read_dir(format!("/proc/{}/fd", node.pid())).unwrap();
    let numbers = open.filter_map(|entry| entry.ok()?.file_name().to_str()?.parse().ok());
    let sockets = numbers.filter_map(|number| pidfd_getfd(&process, number, PidfdGetfdFlags::empty()).ok());
    let is_connection = |socket: &Socket| {
        let kind = (socket.domain().ok(), socket.r#type().ok());
        kind == (Some(Domain::IPV4), Some(Type::STREAM)) && socket.peer_addr().is_ok()
    };
    sockets.map(Socket::from).filter(is_connection).collect()
}

// Small writes that the system holds back go with a reset. The client's, the server's, discovery's and the operators'
// connection: none holds any back.
#[test]
fn no_connection_holds_back_small_writes() {
    const KINDS: usize = 4;
    let server = Server::start(Act::Silence);
    let mut config = config(&[server.address]);
    config["settings"]["limits"]["probes"] = serde_json::json!(false);
    let node = Node::start_for_operators(config);
    node.discovery.publish(2, list(2, false, &[]));
    node.discovery.wait_for(2);
    let (mut caller, mut operator) = (node.caller(), node.operator());
    caller.send(&head("pay", "60", 0), b"");
    server.wait_for("job 1");
    operator.send("GET /_ready HTT", b"");
    // Each has been let in once what came on it has been read.
    let is_read = |socket: &Socket| socket.peek(&mut [MaybeUninit::uninit()]).is_err();
    let all = (0..4000).find_map(|_| {
        sleep(Duration::from_millis(5));
        let all = connections(&node);
        (all.len() >= KINDS && all.iter().all(is_read)).then_some(all)
    });
    for connection in all.expect("four connections") {
        let ends = (connection.local_addr().unwrap(), connection.peer_addr().unwrap());
        assert!(connection.tcp_nodelay().unwrap(), "{:?}", ends.0.as_socket().zip(ends.1.as_socket()));
    }
    node.kill();
}

// A client that takes nothing of its answer any more: its connection is closed, and the server's, whose rest nobody waits for.
#[test]
fn an_answer_that_is_not_taken_ends_with_both_connections() {
    let server = Server::start(Act::Honour(vec![b'x'; 32 * 1024 * 1024]));
    let node = Node::start(&config(&[server.address]));
    let mut caller = node.caller();
    caller.send(&head("read", "60", 0), b"");
    server.wait_for("job 1");
    let (own, at_node) = (caller.stream.local_addr().unwrap(), caller.stream.peer_addr().unwrap());
    wait_for_table(&format!("{} {} {ESTABLISHED} ", in_table(at_node), in_table(own)), false);
    server.wait_for("closed 1");
    let counters = node.end();
    assert_eq!((counters["flows"], counters["taken"]), (1, 1), "{counters:?}");
}
