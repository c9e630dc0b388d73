//! Data and requests that must not be lost when a connection is shut down, reset or closed.

use crate::stand_ins::{Behavior, Client, ESTABLISHED, Node, Platform, Server};
use crate::stand_ins::{config, head, in_table, list, wait_for_table};
use rustix::process::{Pid, PidfdFlags, PidfdGetfdFlags, pidfd_getfd, pidfd_open};
use socket2::{Domain, SockRef, Socket, Type};
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::thread::sleep;
use std::time::Duration;

/// A node's open connections, in both directions.
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

// A reset discards small writes that the kernel delays. Therefore none of the connections to clients, servers, discovery and
// operators may delay them.
#[test]
fn no_connection_holds_back_small_writes() {
    const KINDS: usize = 4;
    let server = Server::start(Behavior::NoAnswer);
    let mut config = config(&[server.address]);
    config["settings"]["limits"]["probes"] = serde_json::json!(false);
    let node = Node::start_for_operators(config);
    node.discovery.publish(2, list(2, false, &[]));
    node.discovery.wait_for(2);
    let (mut client, mut operator) = (node.client(), node.operator());
    client.send(&head("pay", "60", 0), b"");
    server.wait_for("request 1");
    operator.send("GET /_ready HTT", b"");
    // Each connection has been accepted once its data has been read.
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

// A client that stops reading its answer: its connection is closed, and so is the server's, since nobody waits for the rest.
#[test]
fn an_answer_that_is_not_taken_ends_with_both_connections() {
    let server = Server::start(Behavior::Serve(vec![b'x'; 32 * 1024 * 1024]));
    let node = Node::start(&config(&[server.address]));
    let mut client = node.client();
    client.send(&head("read", "60", 0), b"");
    server.wait_for("request 1");
    let (own, at_node) = (client.stream.local_addr().unwrap(), client.stream.peer_addr().unwrap());
    wait_for_table(&format!("{} {} {ESTABLISHED} ", in_table(at_node), in_table(own)), false);
    server.wait_for("closed 1");
    let counters = node.end();
    assert_eq!((counters["flows"], counters["taken"]), (1, 1), "{counters:?}");
}

/// Drains a node with idle clients and stops it while it closes them; then sends a request on each connection that is still
/// open. Returns how many had no answer, or `None` if the node was not stopped in between.
fn ask_while_it_closes(clients: usize) -> Option<usize> {
    const UP: &str = "GET /up HTTP/1.1\r\n\r\n";
    let node = Node::start_for_operators(config(&[]));
    let mut all: Vec<_> = (0..clients).map(|_| node.client()).collect();
    all.iter_mut().for_each(|client| assert_eq!(client.ask(UP, b"").status(), 200));
    assert_eq!(node.call("PUT /_lameduck/on"), 200);
    let is_open = |client: &Client| {
        let peeked = SockRef::from(&client.stream).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
    };
    all.iter().for_each(|client| client.stream.set_nonblocking(true).unwrap());
    loop {
        node.signal("-STOP");
        node.wait_until_stopped();
        let open = all.iter().filter(|client| is_open(client)).count();
        if open < clients {
            break;
        }
        node.signal("-CONT");
        sleep(Duration::from_millis(2));
    }
    all.retain(is_open);
    all.iter().for_each(|client| client.stream.set_nonblocking(false).unwrap());
    all.iter_mut().for_each(|client| client.send(UP, b""));
    node.signal("-CONT");
    let lost = all.iter_mut().filter_map(|client| client.answer().is_none().then_some(())).count();
    node.end();
    (!all.is_empty()).then_some(lost)
}

// A request that arrives after its connection was chosen to be closed, but before the shutdown, is answered: the last check for
// unread bytes comes right before the shutdown. The node has one thread, so stopping it between those two can lose one
// connection at most.
#[test]
fn a_request_that_comes_before_the_shutdown_is_answered() {
    const PLAYS: usize = 40;
    const IN_THE_MIDDLE: usize = 3;
    let lost: Vec<usize> = (0..PLAYS).filter_map(|_| ask_while_it_closes(300)).take(IN_THE_MIDDLE).collect();
    assert_eq!(lost.len(), IN_THE_MIDDLE, "of {PLAYS} plays");
    assert!(lost.iter().all(|lost| *lost <= 1), "{lost:?}");
}

// A connection that is busy throughout a drain stays in use once the drain is cancelled, or its client is told that it ends:
// requests on it must not remain unread.
#[test]
fn a_request_behind_a_drain_that_was_taken_back_is_answered() {
    let server = Server::start(Behavior::Hold(b"fine".to_vec()));
    let node = Node::start_for_operators(config(&[server.address]));
    let mut client = node.client();
    client.send(&head("read", "10", 0), b"");
    server.wait_for("request 1");
    assert_eq!(node.call("PUT /_lameduck/on"), 200);
    // Longer than a drain reads requests on connections that stay open.
    sleep(Duration::from_secs(2));
    assert_eq!(node.call("PUT /_lameduck/off"), 200);
    server.release();
    let answer = client.answer().unwrap();
    assert_eq!(answer.status(), 200);
    let is_last = answer.headers.get("connection").is_some_and(|word| word == "close");
    let mut next = if is_last { node.client() } else { client };
    next.stream.set_read_timeout(Some(Duration::from_millis(1100))).unwrap();
    next.send(&head("read", "0.6", 0), b"");
    assert_eq!(next.answer().map(|answer| answer.status()), Some(200), "never read");
    node.end();
}

// The next process became ready and died while this one ended: connections to their shared socket were accepted by neither for
// 1.6 s.
#[test]
fn a_process_that_ends_takes_what_waits_for_a_next_one_that_died() {
    const LOST: Duration = Duration::from_millis(1000);
    let server = Server::start(Behavior::Hold(Vec::new()));
    let (platform, config) = (Platform::new(), config(&[server.address]));
    let old = platform.start(&config);
    old.wait_for_call("GET /_ready", 200);
    // Without a client the process would have exited earlier.
    let mut first = old.client();
    first.send(&head("pay", "3", 0), b"");
    server.wait_for("request 1");
    let new = platform.start(&config);
    new.wait_for_call("GET /_ready", 200);
    old.signal("-TERM");
    // From then on no more connections are expected.
    sleep(Duration::from_millis(700));
    new.kill();
    let mut client = old.client();
    client.stream.set_read_timeout(Some(LOST)).unwrap();
    client.send(&head("read", "0.5", 0), b"");
    let answer = client.answer();
    server.release();
    old.wait_for_end();
    assert!(answer.is_some(), "no answer after {LOST:?} to a request of 0.5 s");
}

// Late in a drain, a new connection was closed before its first request, which came 10 ms later; so was the connection on which
// the client, following the protocol, retried.
#[test]
fn a_connection_opened_late_in_a_drain_has_its_first_request_answered() {
    let server = Server::start(Behavior::Serve(Vec::new()));
    let node = Node::start_for_operators(config(&[server.address]));
    assert_eq!(node.call("PUT /_lameduck/on"), 200);
    sleep(Duration::from_millis(2300));
    let asks = |_| {
        let mut client = node.client();
        sleep(Duration::from_millis(10));
        client.send(&head("read", "1", 0), b"");
        client.answer().map(|answer| answer.status())
    };
    let answers: Vec<_> = (0..10).map(|client| asks(client).or_else(|| asks(client))).collect();
    node.end();
    assert_eq!(answers, [Some(200); 10]);
}
