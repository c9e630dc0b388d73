//! Server health: failures and slowness, ejection, and attempts that are overdue.

use super::Balancer;
use super::servers::LIST_RETRY_MS;
use crate::interface::{AttemptOutcome, DecisionWriter};
use crate::ring::SPAN;
use crate::state::{Attempt, Health, Request, Server};
use std::rc::Rc;

pub(super) const EJECTION_FAILURES: u32 = 3; // Consecutive failures that eject a server; an error may do.
const TRIAL_REQUESTS: f64 = 40.0; // Requests that a node sends between two trials of a server at the least.
const SHARED_FAULT: f64 = 0.7; // Share of attempts served below which errors come from the tier behind.
const EJECTION_FIRST_MS: f64 = 1000.0; // First ejection: about a short stall; it doubles up to the longest.
const EJECTION_LONGEST_MS: f64 = 8000.0; // Longest ejection: a returned server must be found soon.
const FULL_REST: f64 = 4.0; // Usual durations that a full server rests: its queue should be down by then.
const SILENT_MS: f64 = 3000.0; // Silence after which a server that answers again may have restarted.
const OVERDUE: f64 = 8.0; // Usual durations after which an attempt is overdue: tails are long.
const LOSSY: f64 = 0.05; // Share of recent attempts never answered from which on answers are being lost.
const OVERDUE_LOSSY: f64 = 4.0; // `OVERDUE` while they are: what is out for so long is mostly lost.
const SLOWNESS_PRIOR: f64 = 3.0; // Samples of equal durations that a server's slowness is averaged with.

impl Balancer {
    /// Records what an ended attempt says of its server, its profile and the whole tier.
    pub(super) fn record_outcome(
        &mut self,
        server: &Rc<Server>,
        request: &Request,
        ending: AttemptOutcome,
        took: f64,
    ) {
        let now = self.now;
        let usual = self.usual_duration(request);
        let lost = matches!(ending, AttemptOutcome::TimedOut | AttemptOutcome::Cancelled)
            && took > self.overdue_factor() * usual;
        if lost || ending == AttemptOutcome::Served {
            self.lost.add(now, f64::from(u8::from(lost)));
        }
        // A server that loses its answers looks idle: they count with the time they were out.
        if ending != AttemptOutcome::Served && took > OVERDUE * usual {
            self.record_slowness(server, took / usual);
        }
        server.unreached.set(ending == AttemptOutcome::ConnectFailed);
        // The list that a node starts with may be old: one that is still to ask for it asks now.
        if server.unreached.get() && self.ask_pause <= LIST_RETRY_MS && self.next_ask.is_finite() {
            (self.next_ask, self.ask_pause) = (now, 2.0 * LIST_RETRY_MS);
        }
        // Does it help to send a request that got an error again? Some get one wherever they go.
        let before = request.errors() - usize::from(ending == AttemptOutcome::Error);
        if before > 0 && matches!(ending, AttemptOutcome::Error | AttemptOutcome::Served) {
            self.retry_success(request).add(now, f64::from(u8::from(ending == AttemptOutcome::Served)));
        }
        // An error that most servers give now comes from the tier behind: it says nothing of this one.
        let behind = !self.settings.last_tier && self.endings.mean_beside(now, 1.0, 1.0) < SHARED_FAULT;
        match ending {
            AttemptOutcome::Served => {
                self.endings.add(now, 1.0);
                server.record_success(request.profile, now, self.settings.warm_up_time);
                self.window.served(request.profile, now, took);
                self.record_timeliness(request, true);
                self.record_slowness(server, took / usual);
                if self.settings.tier == 0 {
                    let target = self.profile(request).latency_target;
                    self.window.follow(request.profile, now, took, target);
                }
            }
            AttemptOutcome::Error if self.fails_everywhere(request) => {}
            AttemptOutcome::Error if behind => self.endings.add(now, 0.0),
            AttemptOutcome::Error
            | AttemptOutcome::TimedOut
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::ConnectionLost => {
                self.endings.add(now, 0.0);
                self.record_failure(server, request.profile, ending == AttemptOutcome::Error);
            }
            AttemptOutcome::Full => server.rest_until.set(now + FULL_REST * self.usual_duration(request)),
            AttemptOutcome::Cancelled | AttemptOutcome::NeverSent => {}
        }
        if matches!(ending, AttemptOutcome::Error | AttemptOutcome::TimedOut | AttemptOutcome::ConnectionLost)
        {
            self.record_timeliness(request, false);
        }
        // A trial ends with its attempt, however that ended.
        server.health(request.profile).on_trial.set(false);
    }

    /// Consecutive failures eject a server: quick errors would otherwise win traffic by a low estimate.
    fn record_failure(&mut self, server: &Server, profile: usize, error: bool) {
        let now = self.now;
        let rate = self.first_attempts.total(now).0 / now.clamp(1000.0, SPAN);
        // Who probes sees at once that a failing server is idle; with few requests each trial loses much.
        let pause = if self.asks > 0 { TRIAL_REQUESTS / rate.max(f64::MIN_POSITIVE) } else { 0.0 };
        server.failing_since.set(server.failing_since.get().min(now));
        for (place, health) in server.health.borrow().iter().enumerate() {
            let whole = self.asks > 0 && (server.unreached.get() || error && place == profile);
            let strikes = health.strikes.get() + if whole { EJECTION_FAILURES } else { 1 };
            health.strikes.set(strikes);
            if health.on_trial.replace(false) || strikes >= EJECTION_FAILURES && now >= health.back_at.get() {
                let time =
                    (health.aside.get() * 2.0).clamp(EJECTION_FIRST_MS, EJECTION_LONGEST_MS).max(pause);
                health.aside.set(time);
                health.back_at.set(now + time);
                let [a, b, c, d, ..] = server.line.get().address;
                self.notes.push(format!("server {a}.{b}.{c}.{d} aside for {time:.0} ms, profile {place}"));
            }
        }
    }

    /// Records how slow a server is beside the others; with few samples it counts as nearly equal to them.
    fn record_slowness(&mut self, server: &Server, relative: f64) {
        let mut recent = server.relative.borrow_mut();
        recent.add(self.now, relative);
        server.slowness.set(recent.mean_beside(self.now, SLOWNESS_PRIOR, 1.0));
    }

    /// Usual durations after which an attempt is overdue; fewer while answers are being lost.
    pub(super) fn overdue_factor(&mut self) -> f64 {
        if self.lost.mean(self.now) > LOSSY { OVERDUE_LOSSY } else { OVERDUE }
    }

    /// Records attempts that are overdue, and sends a second copy where one is allowed.
    pub(super) fn check_overdue(&mut self, request: &Rc<Request>, out: &mut impl DecisionWriter) {
        let overdue = self.overdue_factor();
        let usual = self.usual_duration(request) * overdue;
        let mut next = f64::INFINITY;
        let mut late = None;
        // No server can be late with a request that has not come whole.
        let counts = |attempt: &&mut Attempt| request.load() > 0.0 && attempt.is_out() && !attempt.overdue;
        for attempt in request.attempts.borrow_mut().iter_mut().filter(counts) {
            let at = attempt.sent + usual * attempt.server.slowness.get().min(2.0);
            if at > self.now {
                next = next.min(at);
                continue;
            }
            attempt.overdue = true;
            // A server that has answered others since is not silent: its request is long, a copy is waste.
            if overdue < OVERDUE || attempt.server.heard.get() < attempt.sent {
                late = Some(attempt.server.clone());
            }
        }
        late.iter().for_each(|server| self.record_failure(server, request.profile, false));
        if late.is_none() || !request.rules.may_hedge || !self.send_attempt(request, None, out) {
            self.review_at(request, next);
        }
    }
}

impl Server {
    /// A success: failures before it no longer count.
    pub(super) fn record_success(&self, profile: usize, now: f64, cold_time: f64) {
        // Silent long enough to have restarted: it is cold until the list says better.
        let silent = now - self.failing_since.get() > SILENT_MS && now - self.started.get() > cold_time;
        let health = self.health(profile);
        if silent && self.health.borrow().iter().all(|health| health.strikes.get() >= EJECTION_FAILURES) {
            self.restarted(now, now);
        }
        health.strikes.set(0);
        health.aside.set(0.0);
        self.heard.set(now);
        self.failing_since.set(f64::INFINITY);
    }
}

impl Health {
    /// Is it ejected, or out on the one attempt that may end its ejection?
    pub(super) fn is_ejected(&self, now: f64) -> bool {
        self.strikes.get() >= EJECTION_FAILURES && (now < self.back_at.get() || self.on_trial.get())
    }
}
