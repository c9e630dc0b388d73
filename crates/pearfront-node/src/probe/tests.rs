//! Tests which servers are probed, and which probes count as failed.

use super::*;
use crate::test_support::{TestNode, run};
use hyper::StatusCode;
use pearfront::interface::ServerState;
use std::future::pending;
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
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
