//! Regression tests for waits that never ended and answers that were truncated on a client's connection.

use super::deadline::{End, all_within, answered_within, on_one_connection, over};
use crate::stand_ins::{
    Behavior, Client, ESTABLISHED, Node, Platform, Server, config, head, in_table, in_time,
};
use serde_json::json;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};
use test_case::test_case;

/// Time that the client of a short request waits, and how much later an answer counts as lost.
const TIME: Duration = Duration::from_millis(600);
const LOST_AFTER: Duration = Duration::from_millis(500);

/// Checks that within this time there are this many answers, or the connection was reset with unread requests.
pub fn answered_or_reset_within(stream: &TcpStream, count: usize, time: Duration) -> Result<(), String> {
    let begun = Instant::now();
    let mut all = Vec::new();
    while begun.elapsed() < time {
        let (more, end) = all_within(stream, Duration::from_millis(20));
        all.extend(more);
        let answers = String::from_utf8_lossy(&all).matches("HTTP/1.1 ").count();
        if answers == count || end == End::Reset {
            return Ok(());
        }
    }
    let answers = String::from_utf8_lossy(&all).matches("HTTP/1.1 ").count();
    Err(format!("{answers} of {count} answers after {time:?}, and the connection stands"))
}

// A short request further behind than the node looks ahead: the request before it used to keep its full time.
#[test_case(50_000, 1; "behind a long body")]
#[test_case(0, 150; "behind many heads")]
fn a_short_request_far_behind_a_long_one_is_answered_or_shut_unread_in_its_time(length: usize, count: usize) {
    in_time(|| {
        let server = Server::start(Behavior::NoAnswer);
        let mut all = head("read", "3", 0).into_bytes();
        for _ in 0..count {
            all.extend(head("pay", "3", length).into_bytes());
            all.extend(vec![b'x'; length]);
        }
        all.extend(head("read", "0.6", 0).into_bytes());
        on_one_connection(
            Node::start(&config(&[server.address])),
            |client| client.send("", &all),
            |client| answered_or_reset_within(&client.stream, count + 2, TIME + LOST_AFTER),
        )
    });
}

/// Sends a request of 3 s with a body that its server does not read, and a short one behind it.
pub fn short_behind_a_body(node: Node, length: usize) -> Result<(), String> {
    on_one_connection(
        node,
        |client| {
            client.send(&head("pay", "3", length), &vec![b'x'; length]);
            client.send(&head("read", "0.6", 0), b"");
        },
        |client| answered_or_reset_within(&client.stream, 2, TIME + LOST_AFTER),
    )
}

// The same behind a body that no server reads: while it is read, nothing behind it is examined.
#[test]
fn a_short_request_behind_a_body_that_is_not_taken_is_answered_or_shut_unread_in_its_time() {
    const LENGTH: usize = 300_000;
    in_time(|| short_behind_a_body(Node::start(&config(&[])), LENGTH));
}

// Some clients send a line end after the last request. Closing with it unread causes a reset, which discards what the client
// has not read of its answer.
#[test_case(""; "with nothing behind it")]
#[test_case("\r\n"; "with a line end behind it")]
fn the_last_answer_on_a_connection_comes_whole(behind: &str) {
    const LENGTH: usize = 1_000_000;
    let server = Server::start(Behavior::Serve(vec![b'x'; LENGTH]));
    let node = Node::start(&config(&[server.address]));
    let mut client = node.client_with_buffer(16 * 1024);
    let request = head("read", "3", 0).replace("Host:", "Connection: close\r\nHost:");
    client.send(&request, behind.as_bytes());
    sleep(TIME);
    let length = client.answer().map(|answer| answer.body.len());
    assert_eq!(length, Some(LENGTH));
    over(node);
}

// The node examined only the start of this line, and so determined another end of the body than hyper: what hyper waited for
// was never read.
#[test_case(0, 0; "short lines")]
#[test_case(300, 0; "much white space before the coding")]
#[test_case(0, 300; "many zeros before a size")]
fn a_body_in_chunks_with_a_long_line_is_served_in_its_time(spaces: usize, zeros: usize) {
    in_time(|| {
        let server = Server::start(Behavior::Serve(b"fine".to_vec()));
        let node = Node::start(&config(&[server.address]));
        let mut client = node.client();
        let coding = format!("Transfer-Encoding: {}chunked", " ".repeat(spaces));
        let body = format!("{}7\r\na\r\n\r\nbc\r\n0\r\n\r\n", "0".repeat(zeros));
        client.send(&head("pay", "0.6", 0).replace("Content-Length: 0", &coding), body.as_bytes());
        answered_within(&client.stream, 1, TIME + LOST_AFTER)?;
        match server.requests().iter().map(|request| request.body.len()).collect::<Vec<_>>()[..] {
            [7] => Ok(()),
            ref other => Err(format!("{other:?}")),
        }
    });
}

// The same with a length that the node did not find: it took everything that followed for the body, and the requests in it had
// no deadline.
#[test_case(0; "little")]
#[test_case(300; "much")]
fn white_space_before_a_length_hides_no_request_behind_the_body(spaces: usize) {
    in_time(|| {
        let server = Server::start(Behavior::NoAnswer);
        let length = format!("Content-Length: {}", " ".repeat(spaces));
        let first = head("pay", "0.6", 5).replace("Content-Length: ", &length);
        let all = [first.as_str(), "hello", &head("read", "3", 0), &head("read", "0.6", 0)].concat();
        on_one_connection(
            Node::start(&config(&[server.address])),
            |client| client.send(&all, b""),
            |client| answered_or_reset_within(&client.stream, 3, TIME + LOST_AFTER),
        )
    });
}

// A request whose deadline has already passed, behind a long one, is due at once, like one with no time left.
#[test_case("0"; "none")]
#[test_case("-0.1"; "less than none")]
fn a_request_of_no_time_behind_a_long_one_is_answered_or_shut_unread_at_once(left: &str) {
    in_time(|| {
        let server = Server::start(Behavior::NoAnswer);
        on_one_connection(
            Node::start(&config(&[server.address])),
            |client| client.send(&[head("read", "3", 0), head("read", left, 0)].concat(), b""),
            |client| answered_or_reset_within(&client.stream, 2, LOST_AFTER),
        )
    });
}

// A client stops in the middle of a body that its server does not read: it must get an error within 3 s of its last byte.
#[test]
fn a_body_that_stops_while_its_server_takes_nothing_is_given_up_in_time() {
    const OWED: Duration = Duration::from_secs(3);
    in_time(|| {
        let (address, _listener) = super::deadline::takes_nothing();
        let node = Node::start(&config(&[address]));
        let mut client = node.client();
        client.send(&head("pay", "6", 12 * 1024 * 1024), b"");
        // Until the node has read all that it can forward.
        client.stream.set_write_timeout(Some(Duration::from_millis(300))).unwrap();
        while client.stream.write_all(&[b'x'; 16 * 1024]).is_ok() {}
        answered_within(&client.stream, 1, OWED)
    });
}

/// Bytes that the node has sent to this client and that its kernel still holds.
fn sent_and_not_read(client: &TcpStream) -> u64 {
    let words = format!(
        "{} {} {ESTABLISHED} ",
        in_table(client.peer_addr().unwrap()),
        in_table(client.local_addr().unwrap())
    );
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let line = table.split_once(&words).expect("an open connection").1;
    u64::from_str_radix(line.split(':').next().unwrap(), 16).unwrap()
}

// A draining node used to cut off a client that had read nothing for 0.2 s, while it had an answer that the kernel had not
// accepted.
#[test]
fn a_client_that_pauses_with_its_reading_in_a_drain_gets_its_answers_whole() {
    const LENGTH: usize = 60_000;
    const PAUSE: Duration = Duration::from_millis(2500);
    // Number of checks, 50 ms apart, whether the kernel has accepted a whole answer.
    const LOOKS: usize = 10;
    let server = Server::start(Behavior::Serve(vec![b'x'; LENGTH]));
    let node = Node::start_for_operators(config(&[server.address]));
    let mut client = node.client_with_buffer(16 * 1024);
    let (mut count, mut held, mut is_taken) = (0, 0, true);
    // Until the kernel does not accept a whole answer.
    while is_taken {
        client.send(&head("read", "60", 0), b"");
        count += 1;
        server.wait_for(&format!("request {count}"));
        let before = held;
        is_taken = (0..LOOKS).any(|_| {
            sleep(Duration::from_millis(50));
            held = sent_and_not_read(&client.stream);
            // Part of the first answers is already in the client's kernel.
            count <= 2 || held >= before + LENGTH as u64
        });
    }
    assert_eq!(node.call("PUT /_lameduck/on"), 200);
    sleep(PAUSE);
    let whole =
        (0..count).take_while(|_| client.answer().is_some_and(|answer| answer.body.len() == LENGTH)).count();
    assert_eq!(whole, count);
}

// In a drain the last answer announces the end of the connection. A request that crosses it is not read, and the reset it
// caused discarded what the client had not read of that answer.
#[test_case(false; "with nothing behind it")]
#[test_case(true; "with a request that crosses it")]
fn the_last_answer_in_a_drain_comes_whole(crosses: bool) {
    const LENGTH: usize = 1_000_000;
    let server = Server::start(Behavior::Hold(vec![b'x'; LENGTH]));
    let node = Node::start_for_operators(config(&[server.address]));
    let mut client = node.client_with_buffer(16 * 1024);
    client.send(&head("read", "5", 0), b"");
    server.wait_for("request 1");
    assert_eq!(node.call("PUT /_lameduck/on"), 200);
    sleep(2 * TIME);
    server.release();
    // The answer's head has been sent by then.
    let first = String::from_utf8(client.take(100)).unwrap();
    assert!(first.contains("connection: close\r\n"), "{first}");
    if crosses {
        client.send(&head("read", "5", 0), b"");
    }
    sleep(TIME);
    let length = client.take(usize::MAX).len();
    assert!(length >= LENGTH, "{length} bytes");
}

// A request with a slow body behind one that is being answered is due only from its last byte on; the one before it used to be
// ended as if that byte had arrived.
#[test_case(5_000; "short")]
#[test_case(50_000; "longer than what is looked at")]
fn a_request_does_not_make_way_for_one_whose_body_is_still_coming(length: usize) {
    in_time(|| {
        let server = Server::start(Behavior::Hold(b"fine".to_vec()));
        let node = Node::start(&config(&[server.address]));
        let mut client = node.client();
        let body = vec![b'x'; length];
        let (begun, rest) = body.split_at(length * 9 / 10);
        client.send(&[head("read", "3", 0), head("pay", "0.6", length)].concat(), begun);
        sleep(2 * TIME);
        server.release();
        let status = client.answer().map(|answer| answer.status());
        client.stream.write_all(rest).unwrap();
        let behind = client.answer().map(|answer| answer.status());
        match (status, behind) {
            (Some(200), Some(200)) => Ok(()),
            other => Err(format!("{other:?}")),
        }
    });
}

// Clients that request small answers and read none: their next request is read but its answer is not begun, so they counted as
// busy and were never cut off. Others must be accepted once the stalled ones are given up.
#[test]
fn clients_that_read_none_of_their_small_answers_do_not_keep_others_out() {
    const STALLED: Duration = Duration::from_secs(15 + 5);
    const EACH: usize = 100;
    let server = Server::start(Behavior::Serve(vec![b'x'; 60_000]));
    let mut config = config(&[server.address]);
    config["limits"]["sockets"] = json!(48);
    let node = Node::start(&config);
    let crowd: Vec<TcpStream> = (0..24)
        .map(|_| {
            let mut stream = node.client_with_buffer(16 * 1024).stream;
            // A connection that is reset unread has no answer.
            let _ = stream.write_all((0..EACH).map(|_| head("read", "60", 0)).collect::<String>().as_bytes());
            // Until no more of them are begun.
            loop {
                let before = server.requests().len();
                sleep(Duration::from_millis(80));
                if server.requests().len() == before {
                    return stream;
                }
            }
        })
        .collect();
    let begun = Instant::now();
    let mut last = None;
    while begun.elapsed() < STALLED {
        sleep(Duration::from_millis(500));
        let mut other = node.client();
        if other.stream.write_all(head("read", "0.6", 0).as_bytes()).is_ok() {
            last = other.answer().map(|answer| answer.status());
        }
        if last == Some(200) {
            drop(crowd);
            return;
        }
    }
    panic!("still kept out after {:?}: {last:?}", begun.elapsed());
}

// A process that ends leaves new connections to its successor, also if that one is stopped: then nobody accepts them.
#[test_case(false; "and runs")]
#[test_case(true; "and stands still")]
fn what_comes_in_a_hand_over_is_answered_whatever_the_next_process_does(stands_still: bool) {
    in_time(|| {
        let server = Server::start(Behavior::Serve(b"fine".to_vec()));
        let platform = Platform::new();
        let config = config(&[server.address]);
        let old = platform.start(&config);
        old.wait_for_call("GET /_ready", 200);
        let new = platform.start(&config);
        new.wait_for_call("GET /_ready", 200);
        if stands_still {
            new.signal("-STOP");
            new.wait_until_stopped();
            sleep(Duration::from_secs(1));
        }
        old.signal("-TERM");
        sleep(Duration::from_millis(300));
        let mut client = old.client();
        client.send(&head("read", "0.6", 0), b"");
        answered_within(&client.stream, 1, TIME + LOST_AFTER)
    });
}

/// An unbuffered answer, and a body of which the kernels hold only a part, bytes.
const LARGE_ANSWER: usize = 100_000;
const LARGE_BODY: usize = 24 * 1024 * 1024;

/// A large request of which a server reads only the head, and answers completely after this pause. Returns both connections.
fn answered_behind_its_head(pause: Duration) -> (Node, Client, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config = config(&[listener.local_addr().unwrap()]);
    config["settings"]["limits"]["probes"] = json!(false);
    let node = Node::start(&config);
    let client = node.client();
    let mut sending = client.stream.try_clone().unwrap();
    spawn(move || {
        let _ = sending.write_all(head("book", "5", LARGE_BODY).as_bytes());
        let _ = sending.write_all(&vec![b'x'; LARGE_BODY]);
    });
    let mut server = listener.accept().unwrap().0;
    server.read_exact(&mut [0; 100]).unwrap();
    sleep(pause);
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE_ANSWER}\r\n\r\n");
    server.write_all(&[answer.as_bytes(), &vec![b'y'; LARGE_ANSWER]].concat()).unwrap();
    (node, client, server)
}

// A server answers completely and reads only the request's head: the node's connection to it must end although no data moves on
// it any more.
#[test]
fn a_connection_whose_server_leaves_a_body_unread_ends_behind_the_answer() {
    const UNTIL_NOTHING_MOVES: Duration = Duration::from_secs(1);
    const LONGEST_OPEN: Duration = Duration::from_secs(8);
    let (node, mut client, server) = answered_behind_its_head(UNTIL_NOTHING_MOVES);
    assert_eq!(client.answer().map(|answer| answer.body.len()), Some(LARGE_ANSWER));
    let ends = (in_table(server.peer_addr().unwrap()), in_table(server.local_addr().unwrap()));
    let is_open = || {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        table.contains(&format!("{} {} {ESTABLISHED} ", ends.0, ends.1))
    };
    let begun = Instant::now();
    while is_open() && begun.elapsed() < LONGEST_OPEN {
        sleep(Duration::from_millis(20));
    }
    assert!(!is_open(), "still open after {LONGEST_OPEN:?}");
    node.kill();
}

// A server begins a large answer before it has the whole body, then reads the body: the answer must arrive complete.
#[test]
fn a_large_answer_that_begins_ahead_of_the_bodys_end_comes_whole() {
    let (node, mut client, mut server) = answered_behind_its_head(Duration::ZERO);
    let reading = spawn(move || std::io::copy(&mut server, &mut std::io::sink()));
    assert_eq!(client.answer().map(|answer| answer.body.len()), Some(LARGE_ANSWER));
    node.kill();
    let _ = reading.join().unwrap();
}

/// A client for which the node's kernel buffers little, so that the node itself holds the rest.
fn client_with_small_buffer(node: &Node) -> TcpStream {
    const SEGMENT: u32 = 536;
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4 * 1024).unwrap();
    socket.set_tcp_mss(SEGMENT).unwrap();
    socket.connect(&node.address.into()).unwrap();
    socket.into()
}

// A server aborts an answer that its client has not fully read: the node counted that as closing a connection with an open
// request. Of several lengths, some end where the kernel accepts no more.
#[test]
fn an_answer_that_its_server_breaks_off_counts_as_no_close_over_an_open_request() {
    const SHORTEST: usize = 68 * 1024;
    const STEP: usize = 4 * 1024;
    const COUNT: usize = 12;
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config = config(&[listener.local_addr().unwrap()]);
    config["settings"]["limits"]["probes"] = json!(false);
    let node = Node::start(&config);
    for length in (0..COUNT).map(|number| SHORTEST + number * STEP) {
        let mut client = client_with_small_buffer(&node);
        client.write_all(head("read", "60", 0).as_bytes()).unwrap();
        let mut server = listener.accept().unwrap().0;
        assert!(server.read(&mut [0; 4096]).unwrap() > 0);
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", length + 1);
        server.write_all(&[answer.as_bytes(), &vec![b'y'; length]].concat()).unwrap();
        drop(server);
        // Read slowly, so that the kernel is full most of the time.
        while client.read(&mut [0; 1024]).is_ok_and(|count| count > 0) {
            sleep(Duration::from_millis(1));
        }
    }
    let counters = node.end();
    assert_eq!((counters["flows_broken"], counters["violations_close"]), (COUNT as u64, 0));
}
