//! A cancelled drain: clients' connections that are still open are served as before it.

use crate::stand_ins::{Behavior, Client, Node, Server, config, entry, head, list};
use socket2::SockRef;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::thread::sleep;
use std::time::Duration;
use test_case::test_case;

/// Longer than the 2 s after the start of a drain in which a client's connection may still carry new requests.
const DRAINED: Duration = Duration::from_millis(2300);
/// Time that a client waits, and when its answer counts as lost: 0.5 s later.
const TIME: &str = "1";
const LOST: Duration = Duration::from_millis(1500);
/// Long enough for a connection to be accepted, and less than the time for which a new one is left alone.
const ACCEPTED: Duration = Duration::from_millis(50);
/// Larger than what is buffered of a body or an answer, bytes.
const LARGE: usize = 300_000;

/// What is in progress on a client's connection from before a drain until the drain is cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Across {
    Attempt,
    /// A request for which there is no server.
    Held,
    Body,
    Answer,
    /// Nothing: the connection was opened right before the drain was cancelled.
    Nothing,
}

impl Across {
    fn server(self) -> Server {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE}\r\n\r\n");
        Server::start(match self {
            Across::Answer => {
                Behavior::Raw([head.as_bytes(), &[b'x'; LARGE / 2]].concat(), vec![b'x'; LARGE / 2])
            }
            Across::Attempt => Behavior::Hold(Vec::new()),
            _ => Behavior::Serve(Vec::new()),
        })
    }

    /// Starts the request that lasts throughout the drain.
    fn begin(self, client: &mut Client, server: &Server) {
        match self {
            Across::Nothing => return,
            Across::Body => client.send(&head("pay", "60", LARGE), &[b'x'; LARGE / 3]),
            _ => client.send(&head("pay", "60", 0), b""),
        }
        if matches!(self, Across::Attempt | Across::Answer) {
            server.wait_for("request 1");
        }
        if self == Across::Answer {
            client.stream.peek(&mut [0]).unwrap();
        }
    }

    fn send_more(self, client: &mut Client) {
        if self == Across::Body {
            client.send("", &[b'x'; LARGE / 3]);
        }
    }
}

/// Whether the node has neither closed the connection nor written to it.
fn is_open_and_silent(client: &Client) -> bool {
    client.stream.set_nonblocking(true).unwrap();
    let peeked = SockRef::from(&client.stream).peek(&mut [MaybeUninit::uninit()]);
    client.stream.set_nonblocking(false).unwrap();
    peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

/// Sends a request as clients do: if the node has closed the connection, once more on a new one.
fn ask_in_time(node: &Node, client: &mut Client) -> u16 {
    client.stream.set_read_timeout(Some(LOST)).unwrap();
    client.send(&head("read", TIME, 0), b"");
    let answer = client.answer();
    if answer.is_none() && is_open_and_silent(client) {
        println!("no answer after {LOST:?}, on a connection that the node keeps open");
        return 0;
    }
    answer.unwrap_or_else(|| node.client().ask(&head("read", TIME, 0), b"")).status()
}

// A request on a connection that was in use while a drain was cancelled was never read: it reached no server and had no answer.
#[test_case(Across::Attempt; "its request is at a server")]
#[test_case(Across::Held; "its request is held")]
#[test_case(Across::Body; "its body is on its way")]
#[test_case(Across::Answer; "its answer is on its way")]
#[test_case(Across::Nothing; "it has just been opened")]
fn a_connection_that_outlives_a_drain_taken_back_is_read_again(across: Across) {
    let (server, next) = (across.server(), Server::start(Behavior::Serve(Vec::new())));
    let known = if across == Across::Held { Vec::new() } else { vec![server.address] };
    let node = Node::start_for_operators(config(&known));
    let mut client = node.client();
    across.begin(&mut client, &server);
    assert_eq!(node.call("PUT /_lameduck/on"), 200);
    sleep(DRAINED / 2);
    across.send_more(&mut client);
    sleep(DRAINED / 2);
    if across == Across::Nothing {
        client = node.client();
        sleep(ACCEPTED);
    }
    assert_eq!(node.call("PUT /_lameduck/off"), 200);
    across.send_more(&mut client);
    server.release();
    node.discovery.publish(2, list(2, true, &[entry("next", next.address, "Ready")]));
    node.discovery.wait_for(2);
    if across != Across::Nothing {
        assert_eq!(client.answer().expect("an answer to the request before").status(), 200);
    }
    let status = ask_in_time(&node, &mut client);
    node.end();
    assert_eq!(status, 200);
}

// Requests that arrived while the process was stopped were lost when it resumed in a drain: their connections were closed
// before the runtime had reported the data.
#[test]
fn requests_that_came_while_a_draining_process_stood_still_are_answered() {
    const CLIENTS: usize = 20;
    let server = Server::start(Behavior::Serve(Vec::new()));
    let node = Node::start_for_operators(config(&[server.address]));
    let mut clients: Vec<Client> = (0..CLIENTS).map(|_| node.client()).collect();
    clients.iter_mut().for_each(|client| assert_eq!(client.ask(&head("read", TIME, 0), b"").status(), 200));
    assert_eq!(node.call("PUT /_lameduck/on"), 200);
    node.signal("-STOP");
    node.wait_until_stopped();
    clients.iter_mut().for_each(|client| client.send(&head("read", "9", 0), b""));
    sleep(DRAINED);
    node.signal("-CONT");
    let answered = clients.iter_mut().filter_map(Client::answer).count();
    node.end();
    assert_eq!(answered, CLIENTS);
}

// In a drain, the end of reading looked into a body that no server read, and its request then had no deadline any more.
#[test]
fn a_body_that_is_not_taken_has_its_answer_in_time_in_a_drain() {
    const LONG: Duration = Duration::from_millis(3500);
    let node = Node::start_for_operators(config(&[]));
    let mut client = node.client();
    client.send(&head("pay", "3", LARGE), &vec![b'x'; LARGE]);
    assert_eq!(node.call("PUT /_lameduck/on"), 200);
    client.stream.set_read_timeout(Some(LONG)).unwrap();
    let status = client.answer().map(|answer| answer.status());
    node.end();
    assert_eq!(status, Some(503));
}

// A request was answered before its body had been read: requests behind that body were never read after the drain was
// cancelled.
#[test]
fn a_request_behind_a_body_that_outlives_a_drain_and_its_answer_is_answered() {
    let node = Node::start_for_operators(config(&[]));
    let mut client = node.client();
    client.send(&head("pay", "2.6", LARGE), &vec![b'x'; LARGE]);
    assert_eq!(node.call("PUT /_lameduck/on"), 200);
    sleep(DRAINED);
    assert_eq!(node.call("PUT /_lameduck/off"), 200);
    assert_eq!(client.answer().map(|answer| answer.status()), Some(503));
    let status = ask_in_time(&node, &mut client);
    node.end();
    assert_eq!(status, 503);
}
