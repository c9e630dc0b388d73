//! Regression tests for faults found in a review of the whole path of a request: pipelined requests, body limits and early
//! answers.

use super::deadline::{End, all_within, answered_within, on_one_connection, takes_nothing, takes_slowly};
use super::stalled_connections::{answered_or_reset_within, short_behind_a_body};
use super::without_cancels;
use crate::stand_ins::{Behavior, Node, Server, config, head, in_time};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{scope, sleep, spawn};
use std::time::{Duration, Instant};
use test_case::test_case;

/// Time that the client of a short request waits, and how much later an answer counts as lost.
const TIME: Duration = Duration::from_millis(600);
const LOST_AFTER: Duration = Duration::from_millis(500);
const MB: usize = 1_000_000;

// More of a body has arrived than is read ahead: a request behind it is in the node's kernel and must still be answered in
// time.
#[test_case(2 * MB, false; "without a server")]
#[test_case(5 * MB, true; "with a server that hangs")]
fn a_short_request_behind_a_body_longer_than_is_read_ahead_is_answered_in_time(length: usize, hangs: bool) {
    in_time(|| {
        let (address, _listener) = takes_nothing();
        short_behind_a_body(
            Node::start(&config(if hangs { std::slice::from_ref(&address) } else { &[] })),
            length,
        )
    });
}

// The same when other bodies or a small limit leave no room to read ahead.
#[test]
fn a_short_request_behind_a_body_without_room_to_read_ahead_is_answered_in_time() {
    in_time(|| {
        let mut config = config(&[]);
        config["limits"]["memory_mb"] = json!(1);
        short_behind_a_body(Node::start(&config), 200_000)
    });
}

// A short request lies further behind an open one than the node looks ahead.
#[test]
fn a_short_request_behind_more_than_is_looked_at_is_answered_or_shut_unread_in_time() {
    const LENGTH: usize = 300_000;
    in_time(|| {
        let server = Server::start(Behavior::NoAnswer);
        on_one_connection(
            Node::start(&config(&[server.address])),
            |client| {
                client.send(&[head("read", "3", 0), head("pay", "3", LENGTH)].concat(), &vec![b'x'; LENGTH]);
                client.send(&head("read", "0.6", 0), b"");
            },
            |client| answered_or_reset_within(&client.stream, 3, TIME + LOST_AFTER),
        )
    });
}

/// A server that answers a GET after one pause, and a POST with a body of this length after another.
fn answers_late(length: usize, pauses: [Duration; 2]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    spawn(move || {
        for mut stream in listener.incoming().flatten() {
            spawn(move || {
                let (mut seen, mut chunk) = (Vec::new(), vec![0; 64 * 1024]);
                while let Ok(count) = stream.read(&mut chunk)
                    && count > 0
                {
                    seen.extend_from_slice(&chunk[..count]);
                    let Some(end) = seen.windows(4).position(|four| four == b"\r\n\r\n") else { continue };
                    let is_post = seen.starts_with(b"POST");
                    if seen.len() == end + 4 + if is_post { length } else { 0 } {
                        sleep(pauses[usize::from(is_post)]);
                        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                        seen.clear();
                    }
                }
            });
        }
    });
    address
}

// More data than is looked at lies behind a request, but no further request: each of the two has its own deadline.
#[test]
fn a_large_body_behind_a_request_has_its_whole_time() {
    const LENGTH: usize = 1_200_000;
    const PAUSES: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(900)];
    in_time(|| {
        let node = Node::start(&config(&[answers_late(LENGTH, PAUSES)]));
        let mut client = node.client();
        client.send(&[head("read", "3", 0), head("pay", "3", LENGTH)].concat(), &vec![b'x'; LENGTH]);
        let statuses = [(); 2].map(|()| client.answer().map(|answer| answer.status()));
        if statuses == [Some(200); 2] { Ok(()) } else { Err(format!("{statuses:?}")) }
    });
}

// Many small requests at once, more than the node's kernel holds: none may be refused because it is not visible for a moment.
#[test_case(800; "more than the kernel surely holds")]
#[test_case(1500; "more than it does")]
#[test_case(3000; "more than is looked at")]
fn a_long_row_of_small_requests_is_served(count: usize) {
    in_time(|| {
        let server = Server::start(Behavior::Serve(b"fine".to_vec()));
        let node = Node::start(&config(&[server.address]));
        let mut client = node.client();
        client.send(&(0..count).map(|_| head("read", "30", 0)).collect::<String>(), b"");
        let statuses = (0..count).map(|_| client.answer().map(|answer| answer.status()));
        let lost: Vec<_> = statuses.enumerate().filter(|(_, status)| *status != Some(200)).collect();
        if lost.is_empty() { Ok(()) } else { Err(format!("{lost:?} of {count}")) }
    });
}

/// Growth of the node's peak memory, KiB, while this many clients behave like this and no server reads their bodies.
fn grown_by(clients: usize, behavior: impl Fn(TcpStream) + Sync) -> usize {
    let node = Node::start(&config(&[]));
    let before = node.peak_memory();
    scope(|scope| {
        for _ in 0..clients {
            let (stream, behavior) = (TcpStream::connect(node.address).unwrap(), &behavior);
            scope.spawn(move || behavior(stream));
        }
    });
    node.peak_memory() - before
}

// Read-ahead data must count with the memory that it occupies, however small the pieces are.
#[test]
fn a_body_in_tiny_chunks_takes_no_more_memory_than_is_counted() {
    // A fifth of half of what 192 MB leave for bodies, plus buffers.
    const MOST_KB: usize = 192 * 1024 * 3 / 10 / 2 / 5 + 1024;
    let grown = grown_by(1, |mut stream| {
        let chunked = head("pay", "60", 0).replace("Content-Length: 0", "Transfer-Encoding: chunked");
        stream.set_write_timeout(Some(Duration::from_secs(1))).unwrap();
        let _ = stream.write_all(chunked.as_bytes());
        let _ = stream.write_all(&b"1\r\nx\r\n".repeat(MB));
        sleep(Duration::from_secs(5));
    });
    assert!(grown < MOST_KB, "{grown} KiB");
}

// A piece of a few bytes used to keep the whole 8 KiB buffer into which it was read.
#[test]
fn a_body_in_small_segments_takes_no_more_memory_than_is_counted() {
    const CLIENTS: usize = 4;
    const EACH_KB: usize = 4 * 1024;
    let grown = grown_by(CLIENTS, |mut stream| {
        stream.set_nodelay(true).unwrap();
        let _ = stream.write_all(head("pay", "60", MB).as_bytes());
        let begun = Instant::now();
        while begun.elapsed() < Duration::from_millis(2000) && stream.write_all(&[b'x'; 400]).is_ok() {
            sleep(Duration::from_millis(1));
        }
    });
    assert!(grown < CLIENTS * EACH_KB, "{grown} KiB");
}

/// A server that sends the first part of a large answer after the head, and the rest after the whole body.
fn answers_early(length: usize, first: usize, answer: usize) -> SocketAddr {
    let address = Server::unused_address();
    let listener = TcpListener::bind(address).unwrap();
    spawn(move || {
        for mut stream in listener.incoming().flatten() {
            spawn(move || {
                let (mut seen, mut chunk) = (Vec::new(), vec![0; 64 * 1024]);
                let mut begun = None;
                while let Ok(count) = stream.read(&mut chunk)
                    && count > 0
                {
                    seen.extend_from_slice(&chunk[..count]);
                    let Some(end) = seen.windows(4).position(|four| four == b"\r\n\r\n") else { continue };
                    if !seen.starts_with(b"POST /pay") {
                        seen.clear();
                        let _ = stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                    } else if begun.is_none() {
                        begun = Some(());
                        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {answer}\r\n\r\n");
                        let _ = stream.write_all(&[head.as_bytes(), &vec![b'y'; first]].concat());
                    }
                    if seen.len() == end + 4 + length {
                        let _ = stream.write_all(&vec![b'y'; answer - first]);
                        seen.clear();
                        begun = None;
                    }
                }
            });
        }
    });
    address
}

// A server that answers before it has the whole body used to have its answer truncated, because the rest of the body was
// withheld.
#[test_case(100_000; "and goes on when it has it")]
#[test_case(300_000; "and needs none of it")]
fn a_large_answer_that_begins_before_its_body_has_come_is_whole(first: usize) {
    const LENGTH: usize = 400_000;
    const ANSWER: usize = 300_000;
    in_time(|| {
        let node = Node::start(&config(&[answers_early(LENGTH, first, ANSWER)]));
        let mut client = node.client();
        let body = vec![b'x'; LENGTH];
        client.send(&head("pay", "3", LENGTH), &body[..LENGTH / 2]);
        sleep(Duration::from_millis(300));
        // The answer has begun.
        let begun = client.take(1000).len();
        let _ = client.stream.write_all(&body[LENGTH / 2..]);
        let rest = client.take(ANSWER - 1000).len();
        if begun + rest == ANSWER { Ok(()) } else { Err(format!("{} of {ANSWER} bytes", begun + rest)) }
    });
}

// A body that was completed at the moment its attempt began was not reported to the attempt, which then had no time-out of its
// own.
#[test]
fn an_attempt_that_begins_with_the_end_of_its_body_ends_with_its_time() {
    const COUNT: usize = 40;
    const SIDE_BY_SIDE: usize = 4;
    in_time(|| {
        let server = Server::start(Behavior::NoAnswer);
        let node = Node::start(&without_cancels(&config(&[server.address])));
        for length in 0..COUNT {
            let length = 70_000 + 8_000 * length;
            let mut clients: Vec<_> = (0..SIDE_BY_SIDE).map(|_| node.client()).collect();
            for client in &mut clients {
                client.send(&head("pay", "0.3", length), &vec![b'x'; length]);
            }
            for client in clients {
                answered_within(&client.stream, 1, TIME + LOST_AFTER)?;
            }
        }
        sleep(TIME);
        let counters = node.end();
        let open = counters["attempts"] - counters["attempt_timed_out"];
        if open == 0 { Ok(()) } else { Err(format!("{counters:?}")) }
    });
}

// A server that reads a body slowly but without a pause must not count as one that reads nothing.
#[test_case(192; "with room to read ahead")]
#[test_case(4; "with little room to read ahead")]
fn a_body_that_is_taken_slowly_without_a_pause_is_not_given_up(memory_mb: usize) {
    const LENGTH: usize = 6 * MB;
    let mut config = config(&[takes_slowly(Duration::from_millis(60))]);
    config["limits"]["memory_mb"] = json!(memory_mb);
    let node = Node::start(&config);
    let client = node.client();
    let mut sending = client.stream.try_clone().unwrap();
    spawn(move || sending.write_all(&[head("pay", "60", LENGTH).as_bytes(), &vec![b'x'; LENGTH]].concat()));
    let begun = Instant::now();
    let (mut all, mut end) = (Vec::new(), End::Open);
    while all.is_empty() && end == End::Open && begun.elapsed() < Duration::from_secs(12) {
        (all, end) = all_within(&client.stream, Duration::from_millis(50));
    }
    let all = String::from_utf8_lossy(&all);
    assert!(all.is_empty() && end == End::Open, "{end:?} after {:?}: {all}", begun.elapsed());
}

// A long body waits in the kernel while it is read slowly; more of it than a kernel was assumed to hold.
#[test]
fn a_long_body_that_is_taken_too_slowly_has_its_answer_in_time() {
    const LENGTH: usize = 30 * MB;
    in_time(|| {
        let node = Node::start(&config(&[takes_slowly(Duration::from_millis(2))]));
        let mut client = node.client();
        let begun = Instant::now();
        client.send(&head("pay", "0.6", LENGTH), &vec![b'x'; LENGTH]);
        println!("written after {:?}", begun.elapsed());
        let ended = answered_within(&client.stream, 1, TIME + LOST_AFTER);
        println!("answered after {:?}", begun.elapsed());
        ended
    });
}

// A server resets in the middle of a body: the request behind it must be answered in time.
#[test]
fn a_short_request_behind_a_body_whose_server_resets_is_answered_in_time() {
    in_time(|| {
        let address = Server::unused_address();
        let listener = TcpListener::bind(address).unwrap();
        spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let _ = stream.read(&mut [0; 1000]);
                let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
        });
        short_behind_a_body(Node::start(&config(&[address])), 5 * MB)
    });
}

// An invalid request with an unbuffered body: the request behind it used to be read and dropped when the connection ended.
#[test]
fn a_request_behind_a_large_body_that_is_refused_is_answered_or_shut_unread() {
    const LENGTH: usize = 200_000;
    in_time(|| {
        let server = Server::start(Behavior::Serve(b"fine".to_vec()));
        let node = Node::start(&config(&[server.address]));
        let mut client = node.client();
        let refused = head("pay", "3", LENGTH).replace("/pay/", "/unknown/");
        let all = [refused.as_bytes(), &vec![b'x'; LENGTH], head("read", "0.6", 0).as_bytes()].concat();
        client.send("", &all);
        answered_or_reset_within(&client.stream, 2, TIME + LOST_AFTER)
    });
}
