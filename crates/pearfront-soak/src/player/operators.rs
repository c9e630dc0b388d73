//! Operators' calls at a node's `admin` address, and what `GET /up` says behind them.

use super::{Player, Process};
use crate::clock;
use crate::http::Connection;
use crate::record::{OperatorCall, Record};
use crate::role::Order;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// How long an operator waits for an answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
/// The front sends new connections for so long after `GET /up` says no, which it asks this often.
const FRONT_SENDS: Duration = Duration::from_millis(200);
const FRONT_ASKS: Duration = Duration::from_millis(100);
/// So long after a call to drain `GET /up` is asked whether it says no, and clients what they still hold: 4 s, and some slack.
const LOOKED_AT: Duration = Duration::from_millis(4300);
/// So long after the end of a drain it has to say yes.
const YES_DUE: Duration = Duration::from_millis(2000);

impl Player {
    /// Has the node's process drain for so long, and take clients again.
    pub(super) async fn drain_node(&self, node: usize, drains_for: Duration) {
        let Some(process) = self.current(node) else { return };
        let begun = Instant::now();
        self.call_operators(node, &process, OperatorCall::DrainOn).await;
        sleep(FRONT_ASKS + FRONT_SENDS).await;
        self.front_sends(node, &process, false);
        if drains_for > LOOKED_AT {
            sleep_until(begun + LOOKED_AT).await;
            self.ask_up(node, &process).await;
            let count = Order::CountIdle { node, process: process.number };
            self.clients.borrow().iter().for_each(|client| client.order(&count));
        }
        sleep_until(begun + drains_for).await;
        self.call_operators(node, &process, OperatorCall::DrainOff).await;
        let due = Instant::now() + YES_DUE;
        while !self.ask_up(node, &process).await && Instant::now() < due {
            sleep(FRONT_ASKS).await;
        }
        self.front_sends(node, &process, true);
    }

    /// Clients make new connections to the node from now on, or none; where its process ends, that decides.
    fn front_sends(&self, node: usize, process: &Rc<Process>, yes: bool) {
        let is_current = self.current(node).is_some_and(|current| Rc::ptr_eq(&current, process));
        if is_current {
            self.connects(node, yes);
        }
    }

    async fn call_operators(&self, node: usize, process: &Process, call: OperatorCall) {
        let path = match call {
            OperatorCall::DrainOn => "PUT /_lameduck/on",
            OperatorCall::DrainOff => "PUT /_lameduck/off",
        };
        let at = clock::now();
        let status = ask(process.admin, path).await;
        let process = process.number;
        self.recorder.write(&Record::Operator { node, process, call, at, status });
    }

    /// Does the node say that it takes clients?
    async fn ask_up(&self, node: usize, process: &Process) -> bool {
        let at = clock::now();
        let status = ask(self.nodes[node].listen, "GET /up").await;
        self.recorder.write(&Record::Up { node, process: process.number, at, status });
        status == Some(200)
    }
}

/// The status of the answer to a call without a body, if one comes in time.
async fn ask(address: SocketAddrV4, call: &str) -> Option<u16> {
    let head = format!("{call} HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    let answer = async {
        let mut connection = Connection::new(TcpStream::connect(address).await.ok()?);
        connection.write(head.as_bytes()).await.ok()?;
        connection.head().await
    };
    timeout(CALL_TIMEOUT, answer).await.ok()?.map(|answer| answer.status())
}
