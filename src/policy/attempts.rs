//! Attempts: whether a request may have another one, sending it, and recording how it ended.

use super::Balancer;
use super::health::EJECTION_FAILURES;
use super::load::IDLE_REQUESTS;
use crate::interface::{AttemptOutcome, DecisionWriter, Effect};
use crate::state::{Attempt, Request, Server};
use std::rc::Rc;

/// Share of the time left that an attempt may be expected to take: at the start, and at the most.
pub(super) const SHARE_LIMIT_MAX: f64 = 1.0;
/// The same at the least: servers must be kept busy.
const SHARE_LIMIT_MIN: f64 = 0.3;
/// Share by which the limit shrinks with a late answer.
const SHARE_LIMIT_SHRINK: f64 = 0.1;
/// Share by which it grows with an answer in time: about one answer in ten may be late.
const SHARE_LIMIT_GROWTH: f64 = 0.01;
/// Power of the limit for requests above mean worth.
const SHARE_LIMIT_POWER_BETTER: f64 = 0.5;
/// Power of the limit for all other requests.
const SHARE_LIMIT_POWER_OTHERS: f64 = 2.0;
/// Share of the limit that an attempt was expected to take at the least for its lateness to count.
const LATE_SHARE: f64 = 0.6;
/// Retries as a share of first attempts, if all recent attempts succeed.
const RETRY_RATIO: f64 = 0.2;
/// Retries that are always allowed in each span: a lone failure may always be retried.
const RETRIES_FREE: f64 = 2.0;

/// The server whose deduplication scope a request's retries are limited to, if any.
pub(super) type RetryScope = Option<Rc<Server>>;

impl Balancer {
    /// The servers that the request may be sent to, none if it may not be sent. Every attempt passes this check.
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
            // Past the window servers no longer know the idempotency key, and the request would run twice.
            Effect::Keyed if self.now >= first.sent_at + profile.dedup_window => None,
            Effect::Keyed => Some(Some(first.server.clone())),
        }
    }

    /// Sends the request to a server drawn from those that may have it; false if there is none.
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
        // Share of the time left that a server with this estimate is expected to take, judged by recent attempts.
        let time_left = (request.arrived_at.get() + self.profile(request).latency_target - self.now)
            .max(f64::MIN_POSITIVE);
        let expected_share = self.usual_duration(request) * estimate
            / self.drawn_estimates.mean_with_prior(self.now, 1.0, 1.0)
            / time_left;
        // Under overload the room that is left is for requests above mean worth.
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
        // A server whose ejection has ended gets one attempt, and the next one when that was served.
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

    /// Whether the budget allows an attempt beyond the first. `may_repeat`: the request may run twice by it.
    fn within_retry_budget(&mut self, may_repeat: bool) -> bool {
        let now = self.now;
        // Retries follow the share of recent attempts that were served, or they would feed an overload.
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
        // A late answer of an attempt that was expected to be quick is chance, not crowding.
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
