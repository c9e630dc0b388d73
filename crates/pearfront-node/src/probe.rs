//! Probes: one small call to a server, whose answer the load table gets.

use crate::clock::Clock;
use crate::connection_pool::ConnectionPool;
use crate::counters::Counters;
use crate::discovery::Discovery;
use crate::dispatcher::EventQueue;
use crate::guard::Guard;
use crate::logger::{InfoLimiter, WarnLimiter};
use crate::message;
use crate::runtime_settings::SharedSettings;
use pearfront::interface::Address;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Longest a probe may take: far above a round trip and a small wait, far below what a request may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest body of a load report, bytes.
const MAX_REPORT_BYTES: usize = 4 * 1024;
/// Failed probes that are logged in a second, at the most.
pub const LOGGED_FAILURES_PER_S: u32 = 2;

/// Why a probe says nothing of its server's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Failure {
    /// No connection came up.
    NoConnection,
    /// Its server drained or was gone once the connection stood.
    Refused,
    /// The connection ended without a whole answer.
    Broken,
    /// It answered with this status.
    Status(hyper::StatusCode),
    /// Neither a connection nor an answer in time.
    TooLate,
}

impl Failure {
    /// Does it tell of the server? One that was never asked has not failed.
    fn concerns_server(self) -> bool {
        self != Self::Refused
    }
}

/// Probes servers, and tells the module and discovery what they answer.
pub struct Prober {
    pub pool: Rc<ConnectionPool>,
    pub inbox: Rc<EventQueue>,
    pub settings: Rc<SharedSettings>,
    pub book: Rc<Counters>,
    pub discovery: Rc<Discovery>,
    pub guard: Rc<Guard>,
    pub clock: Clock,
    pub invalid_reports: WarnLimiter,
    pub failure_log: InfoLimiter,
    /// Probes that wait for an answer.
    pub outstanding: Cell<usize>,
}

impl Prober {
    /// Is there a descriptor for one more connection?
    pub fn has_room(&self) -> bool {
        self.pool.has_room()
    }

    /// Does a probe wait for its answer?
    pub fn has_outstanding(&self) -> bool {
        self.outstanding.get() > 0
    }

    /// Probes the server at this address once.
    pub async fn probe(self: Rc<Self>, address: Address, server: SocketAddr) {
        self.book.probes.add();
        let (started, at) = (Instant::now(), self.clock.now());
        self.outstanding.set(self.outstanding.get() + 1);
        let answer = timeout(PROBE_TIMEOUT, self.exchange(server)).await.unwrap_or(Err(Failure::TooLate));
        self.outstanding.set(self.outstanding.get() - 1);
        let took = started.elapsed().as_secs_f64() * 1000.0;
        if answer.is_ok() {
            self.discovery.confirm(server, at);
        }
        let report = match answer {
            Err(failure) => {
                if failure.concerns_server() {
                    self.book.probes_failed.add();
                }
                self.failure_log.info(|| format!("probe of {server} failed after {took:.0} ms: {failure:?}"));
                None
            }
            Ok(Ok(report)) => Some(report),
            // The server is well, and what was known of it stays.
            Ok(Err(problem)) => return self.drop_report(&problem),
        };
        self.inbox.push(move |balancer| {
            balancer.probe_answered(address, report.is_some(), &report.unwrap_or_default(), took);
        });
    }

    /// The server's load report, empty where there are none.
    async fn exchange(&self, server: SocketAddr) -> Result<Result<Vec<f64>, String>, Failure> {
        let mut link = self.pool.link(server).await.map_err(|()| Failure::NoConnection)?;
        if !self.guard.permits_probe(server) {
            self.pool.keep_link(server, link);
            return Err(Failure::Refused);
        }
        let call = message::encode_probe(server, self.settings.current().node_settings.load_reports);
        let (head, body) = link.ask(call, MAX_REPORT_BYTES).await.map_err(|()| Failure::Broken)?;
        self.pool.keep_link(server, link);
        let report = || {
            message::decode_report(&String::from_utf8_lossy(&body), &self.settings.current().node_settings)
        };
        match head.status {
            hyper::StatusCode::OK if self.settings.current().node_settings.load_reports => Ok(report()),
            hyper::StatusCode::OK => Ok(Ok(Vec::new())),
            status => Err(Failure::Status(status)),
        }
    }

    /// Counts a load report that can't be read, and warns of it.
    pub fn drop_report(&self, problem: &str) {
        self.book.reports_dropped.add();
        self.invalid_reports.warn(format_args!("load report dropped: {problem}"));
    }
}

#[cfg(test)]
mod tests;
