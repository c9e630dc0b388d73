//! The one gate for what a rule binds: each first attempt, repeat, probe, close of a client's connection and start passes
//! here. It looks for itself, at the act, and trusts nothing that was decided before; what it refuses does not happen. Behind
//! the act it looks again, and counts what broke a rule all the same.

use crate::client_connection::ClientConnection;
use crate::clock::Clock;
use crate::counters::Counters;
use crate::discovery::Discovery;
use crate::dispatcher::OpenRequest;
use crate::lease::WRITE_DELAY_MARGIN_MS;
use crate::lifecycle::Lifecycle;
use crate::logger::InfoLimiter;
use crate::tracked_stream::WritePermit;
use pearfront::interface::{DedupScope, Effect};
use std::net::SocketAddr;
use std::rc::Rc;

/// How long a permit to write lasts, ms: what is told of the time left is that old by then.
const PERMIT_LIFETIME_MS: f64 = 100.0;
/// Lines a second of the log.
const LOG_LINES_PER_S: u32 = 10;

/// Why something does not happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The request has its answer, or its client has left.
    Over,
    /// Nothing is left of the time that its client waits.
    TooLate,
    /// The list has the server as draining or gone, or is too old to say.
    NoLease,
    /// An earlier attempt may have run, and the request may not run twice.
    MayHaveRun,
    /// The same, and the window or group in which repeats are dropped has been left.
    OutsideWindow,
    /// The permit is too old: the process stood still behind it.
    Stale,
}

pub struct Guard {
    discovery: Rc<Discovery>,
    clock: Clock,
    book: Rc<Counters>,
    refusal_log: InfoLimiter,
    violation_log: InfoLimiter,
}

impl Guard {
    pub fn new(discovery: Rc<Discovery>, clock: Clock, book: Rc<Counters>) -> Rc<Self> {
        Rc::new(Self {
            discovery,
            clock,
            book,
            refusal_log: InfoLimiter::new(LOG_LINES_PER_S),
            violation_log: InfoLimiter::new(LOG_LINES_PER_S),
        })
    }

    /// Is what it refuses left undone? A build that is to show that the soak finds a broken guard answers no.
    pub const fn is_enforced() -> bool {
        !cfg!(feature = "broken-guard")
    }

    /// A permit to write an attempt: the `place`-th of its request.
    pub fn permit_attempt(
        self: &Rc<Self>,
        held: &Rc<OpenRequest>,
        index: usize,
        server: SocketAddr,
    ) -> Option<Rc<Permit>> {
        let now = self.clock.now();
        let permit = Permit {
            guard: self.clone(),
            held: held.clone(),
            index,
            server,
            granted_at: now,
            remaining_ms: held.time_left(now),
        };
        match self.enforced(permit.refusal(now)) {
            None => Some(Rc::new(permit)),
            Some(refusal) => {
                self.log_refusal(held, server, refusal);
                None
            }
        }
    }

    fn enforced(&self, refusal: Option<Refusal>) -> Option<Refusal> {
        refusal.filter(|_| Self::is_enforced())
    }

    fn log_refusal(&self, held: &OpenRequest, server: SocketAddr, refusal: Refusal) {
        self.book.guard_refused.add();
        self.refusal_log.info(|| format!("request {}: attempt on {server} refused, {refusal:?}", held.id()));
    }

    /// May the server be probed? Not one that the list has as draining or gone.
    pub fn permits_probe(&self, server: SocketAddr) -> bool {
        let is_allowed = self.discovery.is_ready(server) || !Self::is_enforced();
        if !is_allowed {
            self.book.guard_refused.add();
        }
        is_allowed
    }

    /// A client's connection is closed: no request that was read on it may be without its answer, unless the client has ended
    /// it.
    pub fn check_close(&self, client: &ClientConnection, why: &str) {
        if client.has_open_request() && !client.is_answered_early() && !client.stream.has_ended() {
            self.book.violations_close.add();
            self.violation_log
                .info(|| format!("violation: a connection with an open request is closed, {why}"));
        }
    }

    /// The process ends with so many requests that have no answer.
    pub fn record_unanswered(&self, requests: usize) {
        (0..requests).for_each(|_| self.book.violations_close.add());
    }

    /// The process says that it is ready to serve, once: nothing is served before, nor after its end began.
    pub fn mark_ready(&self, lifecycle: &Lifecycle) {
        if lifecycle.is_ending() {
            self.book.guard_refused.add();
            if Self::is_enforced() {
                return;
            }
            self.book.violations_start.add();
        }
        lifecycle.set_ready();
    }
}

/// A permit to write one attempt, good for a moment.
pub struct Permit {
    guard: Rc<Guard>,
    held: Rc<OpenRequest>,
    index: usize,
    server: SocketAddr,
    granted_at: f64,
    /// What is left to the client, ms, when it was granted: the server is told so much.
    pub remaining_ms: f64,
}

impl Permit {
    /// Has the request's client ended its connection?
    pub fn client_has_left(&self) -> bool {
        self.held.client_has_left()
    }

    fn refusal(&self, now: f64) -> Option<Refusal> {
        if !self.held.is_open() {
            Some(Refusal::Over)
        } else if self.held.time_left(now) <= 0.0 {
            Some(Refusal::TooLate)
        } else if !self.guard.discovery.may_send(self.server) {
            Some(Refusal::NoLease)
        } else if now - self.granted_at > PERMIT_LIFETIME_MS {
            Some(Refusal::Stale)
        } else {
            self.repeat_refusal(now)
        }
    }

    /// Why the request may not run again, if it may have run.
    fn repeat_refusal(&self, now: f64) -> Option<Refusal> {
        let earlier = self.held.first_that_may_have_run(self.index)?;
        let profile = self.held.profile();
        match profile.effect {
            Effect::Idempotent => None,
            Effect::NonIdempotent => Some(Refusal::MayHaveRun),
            Effect::Keyed => {
                let place = self.guard.discovery.location_of(self.server);
                let within = match profile.dedup_scope {
                    DedupScope::All => true,
                    DedupScope::Zone => {
                        place.zip(earlier.location).is_some_and(|(own, first)| own.zone == first.zone)
                    }
                    DedupScope::Cell => {
                        place.zip(earlier.location).is_some_and(|(own, first)| own.cell == first.cell)
                    }
                };
                (!within || now >= earlier.written_at + profile.dedup_window)
                    .then_some(Refusal::OutsideWindow)
            }
        }
    }

    /// What broke a rule although it was looked at: the process was held up for longer than the rules allow for.
    fn violation(&self, now: f64) -> Option<&'static str> {
        if self.guard.discovery.is_overdue(self.server, now) {
            Some("sent behind the grace of a drain")
        } else if self.held.time_left(now) + WRITE_DELAY_MARGIN_MS < self.remaining_ms {
            Some("a server was told of more time than is left")
        } else if self.repeat_refusal(now - WRITE_DELAY_MARGIN_MS).is_some() {
            Some("sent again although it may have run")
        } else {
            None
        }
    }
}

impl WritePermit for Permit {
    fn may_write(&self) -> bool {
        if self.held.client_has_left() {
            return false;
        }
        let refusal = self.guard.enforced(self.refusal(self.guard.clock.now()));
        refusal.inspect(|refusal| self.guard.log_refusal(&self.held, self.server, *refusal)).is_none()
    }

    fn written(&self) {
        let now = self.guard.clock.now();
        self.held.record_written(self.index, now);
        if let Some(violation) = self.violation(now) {
            let book = &self.guard.book;
            let count = if self.index == 0 { &book.violations_send } else { &book.violations_repeat };
            count.add();
            let line = || format!("violation: request {} to {}: {violation}", self.held.id(), self.server);
            self.guard.violation_log.info(line);
        }
    }
}
