//! Server health: failures and slowness, ejection of servers, and attempts that are overdue.

use super::Balancer;
use super::servers::LIST_RETRY_MS;
use crate::interface::{AttemptOutcome, DecisionWriter};
use crate::sliding_window::DEFAULT_SPAN_MS;
use crate::state::{Attempt, Health, Request, Server};
use std::rc::Rc;

/// Consecutive failures that eject a server; a single error may count for as many.
pub(super) const EJECTION_FAILURES: u32 = 3;
/// Requests that a node sends between two trials of a server at the least.
const TRIAL_REQUESTS: f64 = 40.0;
/// Share of attempts served below which errors are taken to come from the tier behind.
const SHARED_FAULT_SHARE: f64 = 0.7;
/// First ejection: about a short stall. It doubles up to the longest.
const EJECTION_FIRST_MS: f64 = 1000.0;
/// Longest ejection: a server that works again must be found soon.
const EJECTION_LONGEST_MS: f64 = 8000.0;
/// Usual durations for which a full server gets nothing: its queue should be down by then.
const FULL_BACKOFF_FACTOR: f64 = 4.0;
/// Time without success after which a server that answers again may have restarted.
const SILENT_MS: f64 = 3000.0;
/// Usual durations after which an attempt is overdue: the distribution has a long tail.
const OVERDUE_FACTOR: f64 = 8.0;
/// Share of recent attempts that were never answered from which on answers are taken to get lost.
const LOSSY_SHARE: f64 = 0.05;
/// `OVERDUE_FACTOR` while answers get lost: what is out for so long is mostly lost.
const OVERDUE_FACTOR_LOSSY: f64 = 4.0;
/// Samples of equal durations that a server's slowness is averaged with.
const SLOWNESS_PRIOR: f64 = 3.0;

impl Balancer {
    /// Records what the outcome of an attempt says about its server, its profile and the whole tier.
    pub(super) fn record_outcome(
        &mut self,
        server: &Rc<Server>,
        request: &Request,
        outcome: AttemptOutcome,
        took: f64,
    ) {
        let now = self.now;
        let usual_duration = self.usual_duration(request);
        let lost = matches!(outcome, AttemptOutcome::TimedOut | AttemptOutcome::Cancelled)
            && took > self.overdue_factor() * usual_duration;
        if lost || outcome == AttemptOutcome::Served {
            self.lost_answers.add(now, f64::from(u8::from(lost)));
        }
        // A server that loses its answers looks idle: such attempts count with the time they were out.
        if outcome != AttemptOutcome::Served && took > OVERDUE_FACTOR * usual_duration {
            self.record_slowness(server, took / usual_duration);
        }
        server.connect_failed.set(outcome == AttemptOutcome::ConnectFailed);
        // The list that a node starts with may be out of date: a node that has yet to ask for the current one asks
        // now.
        if server.connect_failed.get()
            && self.list_retry_pause <= LIST_RETRY_MS
            && self.next_list_request.is_finite()
        {
            (self.next_list_request, self.list_retry_pause) = (now, 2.0 * LIST_RETRY_MS);
        }
        // Whether retries after an error help: some requests get an error on every server.
        let errors_before = request.errors() - usize::from(outcome == AttemptOutcome::Error);
        if errors_before > 0 && matches!(outcome, AttemptOutcome::Error | AttemptOutcome::Served) {
            self.retry_success(request).add(now, f64::from(u8::from(outcome == AttemptOutcome::Served)));
        }
        // An error that most servers give at the moment comes from the tier behind, and says nothing about this
        // server.
        let fault_is_behind =
            !self.settings.last_tier && self.successes.mean_with_prior(now, 1.0, 1.0) < SHARED_FAULT_SHARE;
        match outcome {
            AttemptOutcome::Served => {
                self.successes.add(now, 1.0);
                server.record_success(request.profile, now, self.settings.warm_up_time);
                self.window.record_served(request.profile, now, took);
                self.record_timeliness(request, true);
                self.record_slowness(server, took / usual_duration);
                if self.settings.tier == 0 {
                    let target = self.profile(request).latency_target;
                    self.window.adjust(request.profile, now, took, target);
                }
            }
            AttemptOutcome::Error if self.fails_everywhere(request) => {}
            AttemptOutcome::Error if fault_is_behind => self.successes.add(now, 0.0),
            AttemptOutcome::Error
            | AttemptOutcome::TimedOut
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::ConnectionLost => {
                self.successes.add(now, 0.0);
                self.record_failure(server, request.profile, outcome == AttemptOutcome::Error);
            }
            AttemptOutcome::Full => {
                server.backoff_until.set(now + FULL_BACKOFF_FACTOR * self.usual_duration(request))
            }
            AttemptOutcome::Cancelled | AttemptOutcome::NeverSent => {}
        }
        if matches!(
            outcome,
            AttemptOutcome::Error | AttemptOutcome::TimedOut | AttemptOutcome::ConnectionLost
        ) {
            self.record_timeliness(request, false);
        }
        // A trial ends with its attempt, whatever the outcome.
        server.health(request.profile).on_trial.set(false);
    }

    /// Consecutive failures eject a server: quick errors would otherwise attract traffic by a low load estimate.
    fn record_failure(&mut self, server: &Server, profile: usize, error: bool) {
        let now = self.now;
        let rate = self.first_attempts.total(now).0 / now.clamp(1000.0, DEFAULT_SPAN_MS);
        // Nodes that probe see at once that a failing server is idle; with few requests each trial would lose many of
        // them.
        let min_ejection =
            if self.probes_per_draw > 0 { TRIAL_REQUESTS / rate.max(f64::MIN_POSITIVE) } else { 0.0 };
        server.failing_since.set(server.failing_since.get().min(now));
        for (index, health) in server.health.borrow().iter().enumerate() {
            let ejects_at_once =
                self.probes_per_draw > 0 && (server.connect_failed.get() || error && index == profile);
            let failures = health.failures.get() + if ejects_at_once { EJECTION_FAILURES } else { 1 };
            health.failures.set(failures);
            if health.on_trial.replace(false)
                || failures >= EJECTION_FAILURES && now >= health.ejected_until.get()
            {
                let ejection_time = (health.ejection_time.get() * 2.0)
                    .clamp(EJECTION_FIRST_MS, EJECTION_LONGEST_MS)
                    .max(min_ejection);
                health.ejection_time.set(ejection_time);
                health.ejected_until.set(now + ejection_time);
                let [a, b, c, d, ..] = server.entry.get().address;
                self.log_lines
                    .push(format!("server {a}.{b}.{c}.{d} aside for {ejection_time:.0} ms, profile {index}"));
            }
        }
    }

    /// Records how slow a server is compared with the others; with few samples it counts as nearly equal to them.
    fn record_slowness(&mut self, server: &Server, relative: f64) {
        let mut samples = server.relative_durations.borrow_mut();
        samples.add(self.now, relative);
        server.slowness.set(samples.mean_with_prior(self.now, SLOWNESS_PRIOR, 1.0));
    }

    /// Usual durations after which an attempt is overdue; fewer while answers get lost.
    pub(super) fn overdue_factor(&mut self) -> f64 {
        if self.lost_answers.mean(self.now) > LOSSY_SHARE { OVERDUE_FACTOR_LOSSY } else { OVERDUE_FACTOR }
    }

    /// Records attempts that are overdue, and sends a hedge where one is allowed.
    pub(super) fn check_overdue(&mut self, request: &Rc<Request>, out: &mut impl DecisionWriter) {
        let overdue_factor = self.overdue_factor();
        let usual_duration = self.usual_duration(request) * overdue_factor;
        let mut next = f64::INFINITY;
        let mut late = None;
        // No server can be late with a request that has not arrived completely.
        let is_watched =
            |attempt: &&mut Attempt| request.window_weight() > 0.0 && attempt.is_out() && !attempt.overdue;
        for attempt in request.attempts.borrow_mut().iter_mut().filter(is_watched) {
            let at = attempt.sent_at + usual_duration * attempt.server.slowness.get().min(2.0);
            if at > self.now {
                next = next.min(at);
                continue;
            }
            attempt.overdue = true;
            // A server that has served others since is not silent: this request takes long, and a hedge would be
            // wasted.
            if overdue_factor < OVERDUE_FACTOR || attempt.server.last_served_at.get() < attempt.sent_at {
                late = Some(attempt.server.clone());
            }
        }
        late.iter().for_each(|server| self.record_failure(server, request.profile, false));
        if late.is_none() || !request.settings.may_hedge || !self.send_attempt(request, None, out) {
            self.review_at(request, next);
        }
    }
}

impl Server {
    /// Records a success: failures before it no longer count.
    pub(super) fn record_success(&self, profile: usize, now: f64, warm_up_time: f64) {
        // Silent for long enough to have restarted: the server counts as cold until the list states its start.
        let silent = now - self.failing_since.get() > SILENT_MS && now - self.started_at.get() > warm_up_time;
        let health = self.health(profile);
        if silent && self.health.borrow().iter().all(|health| health.failures.get() >= EJECTION_FAILURES) {
            self.reset_after_restart(now, now);
        }
        health.failures.set(0);
        health.ejection_time.set(0.0);
        self.last_served_at.set(now);
        self.failing_since.set(f64::INFINITY);
    }
}

impl Health {
    /// Whether it is ejected, or the one attempt that may end its ejection is out.
    pub(super) fn is_ejected(&self, now: f64) -> bool {
        self.failures.get() >= EJECTION_FAILURES && (now < self.ejected_until.get() || self.on_trial.get())
    }
}
