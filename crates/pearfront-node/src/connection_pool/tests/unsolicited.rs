//! Tests of data that a server sends without being asked: it meets no message.

use super::*;
use std::io::Read;
use std::net::{Shutdown, TcpStream};
use test_case::test_case;

/// Blocks until the connection's kernel has something to read, which the runtime then has not noticed.
fn wait_for_data(stream: &TrackedStream) {
    while stream.is_quiet() {
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// What a server does between the choice of its connection and the first byte of a message.
#[derive(Clone, Copy)]
enum LateEvent {
    Answers,
    Closes,
}

impl LateEvent {
    fn happen(self, mut accepted: &TcpStream) {
        match self {
            Self::Answers => {
                accepted.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother").unwrap();
            }
            Self::Closes => accepted.shutdown(Shutdown::Write).unwrap(),
        }
    }
}

// A second answer that arrived between the choice of a connection and the first byte written to it was taken for the
// answer to that message.
#[test_case(LateEvent::Answers, true; "a second answer on a reused connection")]
#[test_case(LateEvent::Answers, false; "an answer on a new connection")]
#[test_case(LateEvent::Closes, true; "the end of a reused connection")]
#[test_case(LateEvent::Closes, false; "the end of a new connection")]
fn nothing_is_written_behind_unsolicited_data(event: LateEvent, reused: bool) {
    let (listener, server, pool) = start_pool();
    crate::test_support::run(async {
        let mut connection = pool.connection(server).await.unwrap();
        let mut accepted = listener.accept().unwrap().0;
        if reused {
            pool.release(server, connection);
            while !pool.idle.borrow().contains_key(&server) {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            tokio::time::sleep(QUIET_PERIOD).await;
            connection = pool.connection(server).await.unwrap();
        }
        event.happen(&accepted);
        wait_for_data(&connection.stream);
        let answer =
            connection.request_whole(Request::get("/read/it").body(empty_body()).unwrap(), 100).await;
        assert_eq!((answer.is_err(), connection.was_stale()), (true, reused));
        drop(connection);
        let mut received = Vec::new();
        // The connection is reset, as the answer was not read.
        let _ = accepted.read_to_end(&mut received);
        assert_eq!(received, b"");
    });
}

fn empty_body() -> crate::message::Body {
    Either::Left(http_body_util::Full::default())
}

// A connection that was awaited to the end of its quiet period, and on which data came meanwhile, is not used.
#[test]
fn an_awaited_connection_with_unsolicited_data_is_not_used() {
    let (listener, server, pool) = start_pool();
    run_with_paused_clock(async {
        let mut accepted = Vec::new();
        let mut connections = Vec::new();
        for _ in 0..MAX_RESTING {
            connections.push(pool.open_connection(server).await.unwrap());
            accepted.push(listener.accept().unwrap().0);
        }
        connections.into_iter().for_each(|connection| pool.release(server, connection));
        while pool.idle.borrow().get(&server).map_or(0, Vec::len) < MAX_RESTING {
            tokio::task::yield_now().await;
        }
        let write_all = async {
            tokio::task::yield_now().await;
            accepted.iter_mut().for_each(|server| server.write_all(b"HTTP/1.1 200 OK\r\n\r\n").unwrap());
        };
        let (connection, ()) = tokio::join!(pool.connection(server), write_all);
        assert!(!connection.unwrap().reused);
        assert_eq!(pool.counters.connections_unsolicited.value(), MAX_RESTING as u64);
        assert_eq!(pool.counters.connections_reused.value(), 0);
    });
}

/// Serves one request on the server's side of a connection, if one comes.
fn serve_one(mut accepted: TcpStream) {
    let mut bytes = [0; 1024];
    if accepted.read(&mut bytes).is_ok_and(|count| count > 0) {
        let _ = accepted.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nours");
    }
}

// A request whose idle connection turned out unusable in the very moment of the write is sent on another one.
#[test_case(LateEvent::Answers; "a second answer")]
#[test_case(LateEvent::Closes; "the end")]
fn a_request_goes_on_another_connection_behind_unsolicited_data(event: LateEvent) {
    let (listener, server, pool) = start_pool();
    crate::test_support::run(async {
        let connection = pool.connection(server).await.unwrap();
        let accepted = listener.accept().unwrap().0;
        std::thread::spawn(move || serve_one(listener.accept().unwrap().0));
        let stream = connection.stream.clone();
        pool.release(server, connection);
        tokio::time::sleep(2 * QUIET_PERIOD).await;
        let permit = || {
            event.happen(&accepted);
            wait_for_data(&stream);
            Some(Rc::new(Unlimited))
        };
        let request = request();
        let attempt = pool.attempt(server, &request, pending(), pending(), permit, pending()).await;
        assert_eq!(attempt.end, ConnectionEnd::Served);
        let Either::Left(body) = attempt.reply.unwrap().body else { panic!("the body is short") };
        assert_eq!(http_body_util::BodyExt::collect(body).await.unwrap().to_bytes(), "ours");
        assert_eq!((pool.counters.connections_reused.value(), pool.counters.connections.value()), (1, 2));
    });
}
