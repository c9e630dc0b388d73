//! The guard: every first attempt, repeat, probe, close of a client connection and readiness announcement
//! passes here. It checks the rules itself at the moment of the act and relies on no earlier decision; what
//! it refuses does not happen. After the act it checks again and counts a violation if a rule was broken all
//! the same.

use crate::client_connection::ClientConnection;
use crate::clock::Clock;
use crate::connection_pool::AttemptPermit;
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

/// How long a write permit lasts, ms: the time left that the server is told is that old by then.
const PERMIT_LIFETIME_MS: f64 = 100.0;
/// Most lines written to the log per second.
const LOG_LINES_PER_S: u32 = 10;

/// Why an attempt is refused. The names are printed in log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The request has been answered, or its client has left.
    Over,
    /// The request's deadline has passed.
    TooLate,
    /// The list shows the server as draining or gone, or is too old to tell.
    NoLease,
    /// An earlier attempt may have run, and the request may not run twice.
    MayHaveRun,
    /// An earlier attempt may have run, and the window or group within which servers drop repeats does not
    /// apply any more.
    OutsideWindow,
    /// The permit is too old: the process was stalled after it was granted.
    Stale,
}

/// Checks the rules of the protocol at each act, and counts refusals and violations.
pub struct Guard {
    discovery: Rc<Discovery>,
    clock: Clock,
    counters: Rc<Counters>,
    refusal_log: InfoLimiter,
    violation_log: InfoLimiter,
}

impl Guard {
    pub fn new(discovery: Rc<Discovery>, clock: Clock, counters: Rc<Counters>) -> Rc<Self> {
        Rc::new(Self {
            discovery,
            clock,
            counters,
            refusal_log: InfoLimiter::new(LOG_LINES_PER_S),
            violation_log: InfoLimiter::new(LOG_LINES_PER_S),
        })
    }

    /// Are refusals enforced? Not in the build that shows that the soak finds a broken guard.
    pub const fn is_enforced() -> bool {
        !cfg!(feature = "broken-guard")
    }

    /// Grants a permit to write attempt number `index` of a request.
    pub fn permit_attempt(
        self: &Rc<Self>,
        request: &Rc<OpenRequest>,
        index: usize,
        server: SocketAddr,
    ) -> Option<Rc<Permit>> {
        let now = self.clock.now();
        let permit = Permit {
            guard: self.clone(),
            request: request.clone(),
            index,
            server,
            granted_at: now,
            remaining_ms: request.time_left(now),
        };
        match self.enforced(permit.refusal(now)) {
            None => Some(Rc::new(permit)),
            Some(refusal) => {
                self.log_refusal(request, server, refusal);
                None
            }
        }
    }

    fn enforced(&self, refusal: Option<Refusal>) -> Option<Refusal> {
        refusal.filter(|_| Self::is_enforced())
    }

    fn log_refusal(&self, request: &OpenRequest, server: SocketAddr, refusal: Refusal) {
        self.counters.guard_refused.add();
        self.refusal_log
            .info(|| format!("request {}: attempt on {server} refused, {refusal:?}", request.id()));
    }

    /// May the server be probed? Not if the list shows it as draining or gone.
    pub fn permits_probe(&self, server: SocketAddr) -> bool {
        let is_allowed = self.discovery.is_ready(server) || !Self::is_enforced();
        if !is_allowed {
            self.counters.guard_refused.add();
        }
        is_allowed
    }

    /// Checks the close of a client's connection: no request read on it may be left without an answer, unless
    /// the client ended it.
    pub fn check_close(&self, client: &ClientConnection, why: &str) {
        if client.has_open_request() && !client.is_answered_early() && !client.stream.has_ended() {
            self.counters.violations_close.add();
            self.violation_log
                .info(|| format!("violation: a connection with an open request is closed, {why}"));
        }
    }

    /// Counts the requests that are left without an answer when the process ends.
    pub fn record_unanswered(&self, requests: usize) {
        (0..requests).for_each(|_| self.counters.violations_close.add());
    }

    /// Marks the node as ready. Nothing is served before that, nor once the process has begun to end.
    pub fn mark_ready(&self, lifecycle: &Lifecycle) {
        if lifecycle.is_ending() {
            self.counters.guard_refused.add();
            if Self::is_enforced() {
                return;
            }
            self.counters.violations_start.add();
        }
        lifecycle.set_ready();
    }
}

/// A permit to write one attempt; valid for a short time.
pub struct Permit {
    guard: Rc<Guard>,
    request: Rc<OpenRequest>,
    index: usize,
    server: SocketAddr,
    granted_at: f64,
    /// Time left to the request's deadline when the permit was granted, ms; the server is told this.
    remaining_ms: f64,
}

impl AttemptPermit for Permit {
    fn remaining_ms(&self) -> f64 {
        self.remaining_ms
    }

    fn client_has_left(&self) -> bool {
        self.request.client_has_left()
    }
}

impl Permit {
    fn refusal(&self, now: f64) -> Option<Refusal> {
        if !self.request.is_open() {
            Some(Refusal::Over)
        } else if self.request.time_left(now) <= 0.0 {
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
        let earlier = self.request.first_that_may_have_run(self.index)?;
        let profile = self.request.profile();
        match profile.effect {
            Effect::Idempotent => None,
            Effect::NonIdempotent => Some(Refusal::MayHaveRun),
            Effect::Keyed => {
                let location = self.guard.discovery.location_of(self.server);
                let within = match profile.dedup_scope {
                    DedupScope::All => true,
                    DedupScope::Zone => {
                        location.zip(earlier.location).is_some_and(|(own, first)| own.zone == first.zone)
                    }
                    DedupScope::Cell => {
                        location.zip(earlier.location).is_some_and(|(own, first)| own.cell == first.cell)
                    }
                };
                (!within || now >= earlier.written_at + profile.dedup_window)
                    .then_some(Refusal::OutsideWindow)
            }
        }
    }

    /// The rule that was broken in spite of the check: the process was held up for longer than the rules
    /// allow for.
    fn violation(&self, now: f64) -> Option<&'static str> {
        if self.guard.discovery.is_overdue(self.server, now) {
            Some("sent behind the grace of a drain")
        } else if self.request.time_left(now) + WRITE_DELAY_MARGIN_MS < self.remaining_ms {
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
        if self.request.client_has_left() {
            return false;
        }
        let refusal = self.guard.enforced(self.refusal(self.guard.clock.now()));
        refusal.inspect(|refusal| self.guard.log_refusal(&self.request, self.server, *refusal)).is_none()
    }

    fn written(&self) {
        let now = self.guard.clock.now();
        self.request.record_written(self.index, now);
        if let Some(violation) = self.violation(now) {
            let counters = &self.guard.counters;
            let count = if self.index == 0 { &counters.violations_send } else { &counters.violations_repeat };
            count.add();
            let line = || format!("violation: request {} to {}: {violation}", self.request.id(), self.server);
            self.guard.violation_log.info(line);
        }
    }
}
