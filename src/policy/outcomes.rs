//! How requests end, by profile and by customer: some fail or are slow on every server, and say nothing about one.

use super::Balancer;
use crate::state::{RecentSamples, Request};
use std::rc::Weak;

/// Share of retries after an error that must be served, or none is sent.
const RETRY_SUCCESS_MIN: f64 = 0.3;
/// Usual durations after which a request counts as slow: one in ten does by chance.
const SLOW_FACTOR: f64 = 2.0;
/// Span over which the share of a profile's requests answered in time is measured.
pub(super) const TIMELINESS_SPAN_MS: f64 = 5_000.0;
/// Share answered in time below which a profile is sent for trial only.
const TRIAL_ONLY_SHARE: f64 = 0.4;
/// Share at which it is sent normally again, and above which another profile counts as healthy.
const HEALTHY_SHARE: f64 = 0.6;
/// Requests that a profile's failures are averaged with: a few may fail by chance.
const TIMELINESS_PRIOR: f64 = 2.0;

impl Balancer {
    /// Sets when a request counts as slow: never while its body is still arriving.
    pub(super) fn schedule_slow_mark(&mut self, request: &Request) {
        let slow_after =
            (SLOW_FACTOR * self.usual_duration(request)).min(self.profile(request).latency_target);
        request.slow_at.set(if request.deadline.get().is_finite() {
            self.now + slow_after
        } else {
            f64::INFINITY
        });
    }

    /// Records once whether a request was answered in time: at its latency target if no answer has come by then.
    pub(super) fn record_timeliness(&mut self, request: &Request, in_time: bool) {
        if request.attempts.borrow().is_empty() || request.timeliness_recorded.replace(true) {
            return;
        }
        let now = self.now;
        self.timeliness[request.profile].answered_in_time.add(now, f64::from(u8::from(in_time)));
        let others = self.timeliness.iter_mut().enumerate().filter(|(index, _)| *index != request.profile);
        let best = others
            .map(|(_, timeliness)| timeliness.answered_in_time.mean_with_prior(now, 1.0, 1.0))
            .fold(0.0, f64::max);
        let timeliness = &mut self.timeliness[request.profile];
        let was_trial_only = timeliness.trial_only;
        let share = timeliness.answered_in_time.mean_with_prior(
            now,
            TIMELINESS_PRIOR,
            if was_trial_only { TRIAL_ONLY_SHARE } else { 1.0 },
        );
        timeliness.trial_only =
            share < if was_trial_only { HEALTHY_SHARE } else { TRIAL_ONLY_SHARE } && best > HEALTHY_SHARE;
        if timeliness.trial_only != was_trial_only {
            timeliness.answered_in_time = RecentSamples::new(TIMELINESS_SPAN_MS);
        }
        if timeliness.trial_only {
            // Those that are out hold places for as long as their clients wait: other profiles may have these places.
            let open_requests: Vec<_> = self.reviews.values().filter_map(Weak::upgrade).collect();
            let same_profile = open_requests.iter().filter(|other| other.profile == request.profile);
            same_profile.for_each(|other| self.exclude_from_window(other));
        }
    }

    /// Whether requests of this customer that got an error get one from other servers too. Then no server is at fault,
    /// and a retry is useless.
    pub(super) fn fails_everywhere(&mut self, request: &Request) -> bool {
        let now = self.now;
        request.errors() > 0 && self.retry_success(request).mean_with_prior(now, 1.0, 1.0) < RETRY_SUCCESS_MIN
    }

    /// Share of retries after an error that succeed, for the request's customer; without customers, for all.
    pub(super) fn retry_success(&mut self, request: &Request) -> &mut RecentSamples {
        let index = request.customer.min(self.retry_successes.len() - 1);
        &mut self.retry_successes[index]
    }

    /// Takes a request out of the admission window: it is slow by itself, which says nothing about its servers.
    fn exclude_from_window(&mut self, request: &Request) {
        let out = request.attempts.borrow().iter().filter(|attempt| attempt.is_out()).count();
        self.window.in_flight.change(self.now, -request.window_weight() * out as f64);
        request.excluded_from_window.set(true);
    }
}
