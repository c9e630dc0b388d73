//! Tests which servers are probed, and which probes count as failed.

use super::*;
use crate::test_support::{TestNode, run};
use hyper::StatusCode;
use pearfront::interface::ServerState;
use std::future::pending;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

// A server that began to drain while its connection was being established was not asked: only the guard's
// counter shows that.
#[test_case(Failure::Refused, false; "not asked")]
#[test_case(Failure::NoConnection, true; "no connection")]
#[test_case(Failure::Broken, true; "broken")]
#[test_case(Failure::Status(StatusCode::SERVICE_UNAVAILABLE), true; "status")]
#[test_case(Failure::TooLate, true; "too late")]
fn only_a_server_that_was_asked_counts_as_failed(failure: Failure, concerns_server: bool) {
    assert_eq!(failure.concerns_server(), concerns_server);
}

/// On a busy machine a probe may be late.
const MAX_PROBES: usize = 20;

/// Answers each probe with 200, and counts the bytes read.
async fn serve(listener: TcpListener, bytes_read: Rc<Cell<usize>>) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut bytes = [0; 1024];
        let count = stream.read(&mut bytes).await.unwrap();
        bytes_read.set(bytes_read.get() + count);
        if count > 0 {
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.unwrap();
            spawn_local(async move {
                let _kept = stream;
                pending::<()>().await
            });
        }
    }
}

// A ready server is probed. If the server began to drain after the probe was decided on, no byte is written
// to it, and that does not count as a failure.
#[test_case(ServerState::Ready, true; "ready")]
#[test_case(ServerState::Draining, false; "draining")]
#[test_case(ServerState::Gone, false; "gone")]
fn only_a_ready_server_is_probed(state: ServerState, is_probed: bool) {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = listener.local_addr().unwrap();
        let bytes_read = Rc::new(Cell::new(0));
        spawn_local(serve(listener, bytes_read.clone()));
        let node = TestNode::new(server);
        node.list_server(2, server, ServerState::Ready);
        node.list_server(3, server, state);
        for _ in 0..MAX_PROBES {
            node.prober.clone().probe([0; 6], server).await;
            if bytes_read.get() > 0 {
                break;
            }
        }
        assert_eq!(bytes_read.get() > 0, is_probed);
        let refused = node.counters.guard_refused.value();
        assert_eq!(refused, if is_probed { 0 } else { node.counters.probes.value() });
        assert!(is_probed || node.counters.probes_failed.value() == 0);
    });
}

/// Answers the probes of one connection; counts those that come while a copy of the last answer may be on its way.
async fn serve_connection(mut stream: TcpStream, early: Rc<Cell<usize>>) {
    let (mut bytes, mut answered_at) = ([0; 1024], None::<Instant>);
    while stream.read(&mut bytes).await.is_ok_and(|count| count > 0) {
        let is_early = answered_at.is_some_and(|at| at.elapsed() < LATEST_COPY);
        early.set(early.get() + usize::from(is_early));
        answered_at = Some(Instant::now());
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await.unwrap();
    }
}

/// How late a server may send an answer a second time.
const LATEST_COPY: Duration = Duration::from_millis(6);

// A probe took the late copy of an earlier answer for its own, once many connections to one server had just become
// free.
#[test]
fn probes_at_once_go_where_no_late_copy_can_be_on_its_way() {
    const AT_ONCE: usize = 20;
    const ROUNDS: usize = 5;
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = listener.local_addr().unwrap();
        let early = Rc::new(Cell::new(0));
        let counted = early.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(serve_connection(stream, counted.clone()));
            }
        });
        let node = TestNode::new(server);
        node.list_server(2, server, ServerState::Ready);
        for _ in 0..ROUNDS {
            let probe = |_| spawn_local(node.prober.clone().probe([0; 6], server));
            for probe in (0..AT_ONCE).map(probe).collect::<Vec<_>>() {
                probe.await.unwrap();
            }
        }
        assert_eq!(early.get(), 0);
        assert!(node.counters.connections_reused.value() > 0);
    });
}
