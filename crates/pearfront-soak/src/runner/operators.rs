//! Operators' calls at a node's `admin` address, and the checks of `GET /up` after them.

use super::{Process, Runner};
use crate::clock;
use crate::http::Connection;
use crate::record::{OperatorCall, Record};
use crate::role::Order;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// How long an operator waits for an answer to a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
/// The load balancer in front of the nodes goes on sending new connections for this time after `GET /up` says not ready, and
/// calls it at this interval.
const FRONT_STOP_DELAY: Duration = Duration::from_millis(200);
const FRONT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// When after the call to drain `GET /up` has to say not ready, and clients count their idle connections: 4 s and some slack.
const DRAIN_CHECK_DELAY: Duration = Duration::from_millis(4300);
/// How long after the end of a drain `GET /up` may take to say ready.
const READY_TIMEOUT: Duration = Duration::from_millis(2000);

impl Runner {
    /// Drains the node's process for this time, and ends the drain.
    pub(super) async fn drain_node(&self, node: usize, drain_duration: Duration) {
        let Some(process) = self.current(node) else { return };
        let begun = Instant::now();
        self.call_admin(node, &process, OperatorCall::DrainOn).await;
        sleep(FRONT_CHECK_INTERVAL + FRONT_STOP_DELAY).await;
        self.set_front_connections(node, &process, false);
        if drain_duration > DRAIN_CHECK_DELAY {
            sleep_until(begun + DRAIN_CHECK_DELAY).await;
            self.check_up(node, &process).await;
            let count = Order::CountIdle { node, process: process.number };
            self.clients.borrow().iter().for_each(|client| client.order(&count));
        }
        sleep_until(begun + drain_duration).await;
        self.call_admin(node, &process, OperatorCall::DrainOff).await;
        let due = Instant::now() + READY_TIMEOUT;
        while !self.check_up(node, &process).await && Instant::now() < due {
            sleep(FRONT_CHECK_INTERVAL).await;
        }
        self.set_front_connections(node, &process, true);
    }

    /// Lets clients open new connections to the node, or forbids it; no effect once the process is no longer the node's current
    /// one, since the fault that ends it decides then.
    fn set_front_connections(&self, node: usize, process: &Rc<Process>, allowed: bool) {
        let is_current = self.current(node).is_some_and(|current| Rc::ptr_eq(&current, process));
        if is_current {
            self.allow_connections(node, allowed);
        }
    }

    async fn call_admin(&self, node: usize, process: &Process, call: OperatorCall) {
        let path = match call {
            OperatorCall::DrainOn => "PUT /_lameduck/on",
            OperatorCall::DrainOff => "PUT /_lameduck/off",
        };
        let at = clock::now();
        let status = call_status(process.admin, path).await;
        let process = process.number;
        self.recorder.write(&Record::Operator { node, process, call, at, status });
    }

    /// Whether the node says that it is ready; the answer is recorded.
    async fn check_up(&self, node: usize, process: &Process) -> bool {
        let at = clock::now();
        let status = call_status(self.nodes[node].listen, "GET /up").await;
        self.recorder.write(&Record::Up { node, process: process.number, at, status });
        status == Some(200)
    }
}

/// The status of the answer to a call without a body, if one comes within `CALL_TIMEOUT`.
async fn call_status(address: SocketAddrV4, call: &str) -> Option<u16> {
    let head = format!("{call} HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    let answer = async {
        let mut connection = Connection::new(TcpStream::connect(address).await.ok()?);
        connection.write(head.as_bytes()).await.ok()?;
        connection.head().await
    };
    timeout(CALL_TIMEOUT, answer).await.ok()?.map(|answer| answer.status())
}
