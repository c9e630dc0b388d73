//! Probes: one small call to a server whose answer, a load report where the deployment has them, goes to the
//! decision module. Used by `dispatcher` and `lease_monitor`.

use crate::clock::Clock;
use crate::connection_pool::ConnectionPool;
use crate::counters::Counters;
use crate::discovery::Discovery;
use crate::dispatcher::EventQueue;
use crate::guard::Guard;
use crate::logger::{InfoLimiter, WarnLimiter};
use crate::message;
use crate::runtime_settings::SharedSettings;
use bytes::Bytes;
use hyper::http::response;
use pearfront::interface::Address;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Longest time a probe may take: far above a round trip and a short wait, far below what a request may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest body of a load report, bytes.
const MAX_REPORT_BYTES: usize = 4 * 1024;
/// Most failed probes that are logged per second.
pub const LOGGED_FAILURES_PER_S: u32 = 2;

/// Why a probe brought no load report. The names are printed in log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Failure {
    /// No connection was established.
    NoConnection,
    /// The server was draining or gone once the connection was open; nothing was sent.
    Refused,
    /// The connection ended without a complete answer.
    Broken,
    /// The server answered with this status.
    Status(hyper::StatusCode),
    /// No connection or no answer in time.
    TooLate,
}

impl Failure {
    /// Does the failure concern the server? A server that was never asked has not failed.
    fn concerns_server(self) -> bool {
        self != Self::Refused
    }
}

/// Probes servers, and passes the answers to the decision module and to discovery.
pub struct Prober {
    pub pool: Rc<ConnectionPool>,
    pub event_queue: Rc<EventQueue>,
    pub settings: Rc<SharedSettings>,
    pub counters: Rc<Counters>,
    pub discovery: Rc<Discovery>,
    pub guard: Rc<Guard>,
    pub clock: Clock,
    pub invalid_reports: WarnLimiter,
    pub failure_log: InfoLimiter,
    /// Probes that wait for an answer.
    pub outstanding: Cell<usize>,
}

impl Prober {
    /// Is a descriptor free for one more connection?
    pub fn has_room(&self) -> bool {
        self.pool.has_room()
    }

    /// Is a probe waiting for its answer?
    pub fn has_outstanding(&self) -> bool {
        self.outstanding.get() > 0
    }

    /// Probes the server at this address once.
    pub async fn probe(self: Rc<Self>, address: Address, server: SocketAddr) {
        self.counters.probes.add();
        let (started, at) = (Instant::now(), self.clock.now());
        self.outstanding.set(self.outstanding.get() + 1);
        let answer = timeout(PROBE_TIMEOUT, self.exchange(server)).await.unwrap_or(Err(Failure::TooLate));
        self.outstanding.set(self.outstanding.get() - 1);
        let took_ms = started.elapsed().as_secs_f64() * 1000.0;
        if answer.is_ok() {
            self.discovery.confirm(server, at);
        }
        let report = match answer {
            Err(failure) => {
                if failure.concerns_server() {
                    self.counters.probes_failed.add();
                }
                self.failure_log
                    .info(|| format!("probe of {server} failed after {took_ms:.0} ms: {failure:?}"));
                None
            }
            Ok(Ok(report)) => Some(report),
            // The server is up, and its last known load stays.
            Ok(Err(problem)) => return self.drop_report(&problem),
        };
        self.event_queue.push(move |balancer| {
            balancer.probe_answered(address, report.is_some(), &report.unwrap_or_default(), took_ms);
        });
    }

    /// The server's load report; empty where the deployment has none.
    async fn exchange(&self, server: SocketAddr) -> Result<Result<Vec<f64>, String>, Failure> {
        let (head, body) = self.request(server).await?;
        let report = || {
            message::decode_report(&String::from_utf8_lossy(&body), &self.settings.current().node_settings)
        };
        match head.status {
            hyper::StatusCode::OK if self.settings.current().node_settings.load_reports => Ok(report()),
            hyper::StatusCode::OK => Ok(Ok(Vec::new())),
            status => Err(Failure::Status(status)),
        }
    }

    /// The server's answer to one call, on the first connection that is not stale.
    async fn request(&self, server: SocketAddr) -> Result<(response::Parts, Bytes), Failure> {
        loop {
            let mut connection = self.pool.connection(server).await.map_err(|()| Failure::NoConnection)?;
            if !self.guard.permits_probe(server) {
                self.pool.release(server, connection);
                return Err(Failure::Refused);
            }
            let call = message::encode_probe(server, self.settings.current().node_settings.load_reports);
            match connection.request_whole(call, MAX_REPORT_BYTES).await {
                Ok(answer) => {
                    self.pool.release(server, connection);
                    return Ok(answer);
                }
                Err(()) if connection.was_stale() => {}
                Err(()) => return Err(Failure::Broken),
            }
        }
    }

    /// Counts an invalid load report and logs a warning.
    pub fn drop_report(&self, problem: &str) {
        self.counters.reports_dropped.add();
        self.invalid_reports.warn(format_args!("load report dropped: {problem}"));
    }
}

#[cfg(test)]
mod tests;
