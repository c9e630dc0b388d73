//! Attempts: whether a request may have one more, sending it, and how it ended.

use super::Balancer;
use super::health::EJECTION_FAILURES;
use super::load::IDLE_REQUESTS;
use crate::interface::{AttemptOutcome, DecisionWriter, Effect};
use crate::state::{Attempt, Request, Server};
use std::rc::Rc;

pub(super) const SHARE_LIMIT_MAX: f64 = 1.0; // Share of the time left that an attempt may take: first and most.
const SHARE_LIMIT_MIN: f64 = 0.3; // The same at the least: servers must stay at work.
const SHARE_LIMIT_SHRINK: f64 = 0.1; // Share by which the reach shrinks with a late answer.
const SHARE_LIMIT_GROWTH: f64 = 0.01; // Share by which it grows with an answer in time: some one in ten may be late.
const SHARE_LIMIT_POWER_BETTER: f64 = 0.5; // Power of the reach for requests above mean worth.
const SHARE_LIMIT_POWER_OTHERS: f64 = 2.0; // Power of the reach for the others.
const LATE_SHARE: f64 = 0.6; // Share of the reach that an attempt was to take for its lateness to count.
const RETRY_RATIO: f64 = 0.2; // Further attempts as a share of first ones, if all recent ones succeed.
const RETRIES_FREE: f64 = 2.0; // Further attempts free in each span: a lone failure may always be retried.

/// Whose group a request's further attempts are held to, if any.
pub(super) type RetryScope = Option<Rc<Server>>;

impl Balancer {
    /// The only gate to a further attempt: to which servers may the request go, if to any?
    pub(super) fn retry_scope(&self, request: &Request) -> Option<RetryScope> {
        let attempts = request.attempts.borrow();
        if attempts.len() >= request.settings.max_attempts || request.not_replayable.get() {
            return None;
        }
        let Some(first) = attempts.iter().find(|attempt| !attempt.never_ran()) else {
            return Some(None);
        };
        let profile = self.profile(request);
        match profile.effect {
            Effect::NonIdempotent => None,
            Effect::Idempotent => Some(None),
            // Past the window its servers no longer know the mark, and the request would run twice.
            Effect::Keyed if self.now >= first.sent_at + profile.dedup_window => None,
            Effect::Keyed => Some(Some(first.server.clone())),
        }
    }

    /// Sends the request by the paper's draw among the servers that may have it; false if there is none.
    pub(super) fn send_attempt(
        &mut self,
        request: &Rc<Request>,
        worth: Option<f64>,
        out: &mut impl DecisionWriter,
    ) -> bool {
        let Some(scope) = self.retry_scope(request) else { return false };
        let first = request.attempts.borrow().is_empty();
        let may_repeat = !request.never_ran();
        if !first && (self.fails_everywhere(request) || !self.within_retry_budget(may_repeat)) {
            return false;
        }
        let Some((server, estimate)) = self.draw(request, scope) else { return false };
        // Share of the time left that a server of this estimate will take, by what recent ones took.
        let time_left = (request.arrived_at.get() + self.profile(request).latency_target - self.now)
            .max(f64::MIN_POSITIVE);
        let expected_share = self.usual_duration(request) * estimate
            / self.drawn_estimates.mean_with_prior(self.now, 1.0, 1.0)
            / time_left;
        // What room there is under overload is for the better ones.
        let power = |better| if better { SHARE_LIMIT_POWER_BETTER } else { SHARE_LIMIT_POWER_OTHERS };
        let power = worth.map(|worth| power(self.is_above_mean_worth(worth)));
        let idle = server.reported_load.get().is_some_and(|load| load < IDLE_REQUESTS);
        if power.is_some_and(|power| !idle && expected_share >= self.share_limit.powf(power)) {
            return false;
        }
        if first {
            self.schedule_slow_mark(request);
            self.first_attempts.add(self.now, 1.0);
            if let Some(admitted) = self.admitted.get_mut(request.customer) {
                admitted.add(self.now, 1.0);
            }
        } else {
            self.risky_retries.add(self.now, f64::from(u8::from(may_repeat)));
            self.extra_attempts.add(self.now, 1.0);
        }
        self.drawn_estimates.add(self.now, estimate);
        if server.in_flight.replace(server.in_flight.get() + 1) == 0 {
            server.busy_since.set(self.now);
        }
        server.cold_credit.set(server.cold_credit.get() - 1.0);
        // After its ejection it gets one attempt, and the next when that was served.
        let health = server.health(request.profile);
        health
            .on_trial
            .set(health.failures.get() >= EJECTION_FAILURES && self.now >= health.ejected_until.get());
        self.window.in_flight.change(self.now, request.window_weight());
        out.attempt(request.id, server.entry.get().address, request.deadline.get() - self.now);
        let usual = self.usual_duration(request) * self.overdue_factor();
        let at = self.now + usual * server.slowness.get().min(2.0);
        request.attempts.borrow_mut().push(Attempt::new(server, self.now, expected_share));
        self.review_at(request, at);
        true
    }

    /// Is there budget for an attempt beyond the first? `further` if the request may run twice by it.
    fn within_retry_budget(&mut self, may_repeat: bool) -> bool {
        let now = self.now;
        // Further attempts follow the share of recent attempts that were served, or retries would feed a jam.
        let served = self.successes.mean_with_prior(now, 1.0, 1.0);
        let allowed = RETRIES_FREE + RETRY_RATIO * served * self.first_attempts.total(now).0;
        let budget =
            self.settings.retry_budget_free + self.settings.retry_budget_ratio * self.received.total(now).0;
        (!may_repeat || self.risky_retries.total(now).1 < allowed)
            && self.extra_attempts.total(now).1 + 1.0 <= budget
    }

    /// Records how an attempt ended and returns its server; none if that attempt is not out.
    pub(super) fn record_end(
        &mut self,
        request: &Request,
        attempt: usize,
        outcome: AttemptOutcome,
    ) -> Option<Rc<Server>> {
        let mut attempts = request.attempts.borrow_mut();
        let attempt = attempts.get_mut(attempt).filter(|attempt| attempt.is_out())?;
        attempt.outcome = Some(outcome);
        // A late answer from where it was to be quick is chance, not crowding.
        let late = self.now - request.arrived_at.get() > self.profile(request).latency_target;
        if late && attempt.expected_share > LATE_SHARE * self.share_limit {
            self.share_limit = (self.share_limit * (1.0 - SHARE_LIMIT_SHRINK)).max(SHARE_LIMIT_MIN);
        } else if outcome == AttemptOutcome::Served && !late {
            self.share_limit = (self.share_limit * (1.0 + SHARE_LIMIT_GROWTH)).min(SHARE_LIMIT_MAX);
        }
        attempt.server.in_flight.set(attempt.server.in_flight.get() - 1);
        self.window.in_flight.change(self.now, -request.window_weight());
        Some(attempt.server.clone())
    }
}
