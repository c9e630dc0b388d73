//! Pipelined requests on a connection: each is answered by its deadline, or its connection is reset by then with the request
//! unread, so that the client may retry it, whatever happens to the answer before it.

use super::deadline::{End, all_within, answered_within, drips, on_one_connection, over};
use crate::stand_ins::{Behavior, Client, Node, Server, config, head, in_time, in_time_by};
use serde_json::json;
use std::io::Read;
use std::thread::sleep;
use std::time::{Duration, Instant};
use test_case::test_case;

/// Time that the client of a short request waits, and the delay of that request after the long one.
const TIME: Duration = Duration::from_millis(400);
const LATER: Duration = Duration::from_millis(100);
/// Tolerated machine delay where the node answers 4 ms before the deadline.
const MARGIN: Duration = Duration::from_millis(3);
/// Size of an answer that is streamed, bytes.
const LARGE: usize = 200_000;

/// Sends a long request, and a little later one with this deadline.
fn long_and_later(client: &mut Client, time: &str) {
    client.send(&head("read", "3", 0), b"");
    sleep(LATER);
    client.send(&head("read", time, 0), b"");
}

// A short request behind an answer that does not finish is not read: its connection is reset by its deadline.
#[test_case(0, Duration::ZERO; "that stalls")]
#[test_case(100, Duration::from_millis(50); "that drips")]
#[test_case(20, Duration::from_millis(250); "that drips slowly")]
fn a_request_behind_an_answer_without_an_end_is_shut_unread_in_its_time(drip: usize, pause: Duration) {
    in_time(|| {
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", LARGE + 1000);
        let node = Node::start(&config(&[drips(answer, LARGE, pause, drip)]));
        on_one_connection(
            node,
            |client| long_and_later(client, "0.4"),
            |client| match all_within(&client.stream, TIME) {
                (all, End::Reset) if all.len() >= LARGE / 2 => Ok(()),
                (all, end) => Err(format!("{} bytes, {end:?}", all.len())),
            },
        )
    });
}

// Behind an answer that finishes in time, the request is answered on the same connection.
#[test]
fn a_request_behind_an_answer_that_comes_to_its_end_is_answered() {
    const DRIPS: usize = 4;
    in_time(|| {
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", LARGE + DRIPS);
        let node = Node::start(&config(&[drips(answer, LARGE, Duration::from_millis(50), DRIPS)]));
        let is_whole =
            |client: &mut Client| client.answer().is_some_and(|answer| answer.body.len() == LARGE + DRIPS);
        on_one_connection(
            node,
            |client| long_and_later(client, "3"),
            |client| {
                let are_whole = (0..2).all(|_| is_whole(client));
                are_whole.then_some(()).ok_or_else(|| "no whole answer".into())
            },
        )
    });
}

// Many requests in one write, none of which can be served: the last one is also answered in time.
#[test]
fn many_requests_in_one_write_are_all_answered_before_their_time_is_over() {
    const COUNT: usize = 40;
    in_time_by(MARGIN, || {
        let server = Server::start(Behavior::NoAnswer);
        let all: String = (0..COUNT).map(|_| head("read", "0.4", 0)).collect();
        on_one_connection(
            Node::start(&config(&[server.address])),
            |client| client.send(&all, b""),
            |client| answered_within(&client.stream, COUNT, TIME),
        )
    });
}

// With rounds of the decision module longer than a request's deadline, the connection's own timer must answer, before the
// deadline.
#[test]
fn a_request_that_the_module_does_not_answer_is_answered_before_its_time_is_over() {
    in_time_by(MARGIN, || {
        let server = Server::start(Behavior::NoAnswer);
        let mut config = config(&[server.address]);
        config["settings"]["round"] = json!(1_000_000_000);
        let node = Node::start(&config);
        let (mut first, mut second) = (node.client(), node.client());
        first.send(&head("read", "9", 0), b"");
        sleep(LATER);
        let sent = Instant::now();
        second.send(&head("read", "0.4", 0), b"");
        answered_within(&second.stream, 1, TIME)?;
        if sent.elapsed() < TIME / 2 {
            return Err(format!("answered by the module, {:?}", sent.elapsed()));
        }
        drop(first);
        over(node);
        Ok(())
    });
}

// When a server aborts an answer, the connection used to stay open for the unread requests behind it.
#[test]
fn a_request_behind_an_answer_that_its_server_breaks_off_is_shut_unread_at_once() {
    in_time(|| {
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", LARGE + 1000);
        let first = [answer.as_bytes(), &vec![b'x'; LARGE]].concat();
        let server = Server::start(Behavior::Raw(first, b"x".to_vec()));
        let node = Node::start(&config(&[server.address]));
        let mut client = node.client();
        client.send(&[head("read", "9", 0), head("read", "9", 0)].concat(), b"");
        // Data that the client has not read is lost in the reset.
        (&client.stream).read_exact(&mut vec![0; LARGE]).unwrap();
        sleep(LATER);
        server.release();
        let (rest, end) = all_within(&client.stream, TIME);
        if end == End::Reset && !rest.is_empty() {
            Ok(())
        } else {
            Err(format!("{} bytes, {end:?}", LARGE + rest.len()))
        }
    });
}
