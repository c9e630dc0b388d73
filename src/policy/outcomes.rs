//! How requests fare, by profile and by customer: some fail or are slow wherever they go.

use super::Balancer;
use crate::state::{RecentSamples, Request};
use std::rc::Weak;

const RETRY_SUCCESS_MIN: f64 = 0.3; // Share of retries after an error to be served, or none is sent.
const SLOW_FACTOR: f64 = 2.0; // Usual durations after which a request counts as slow: one in ten by chance.
pub(super) const TIMELINESS_SPAN_MS: f64 = 5_000.0; // Span over which it counts how a profile fares.
const TRIAL_ONLY_SHARE: f64 = 0.4; // Share answered in time below which a profile is sent for trial only.
const HEALTHY_SHARE: f64 = 0.6; // Share at which it is sent again, or another profile fares well.
const TIMELINESS_PRIOR: f64 = 2.0; // Requests that its failures are averaged with: a few are chance.

impl Balancer {
    /// Sets from when on a request counts as slow: never while its body is arriving.
    pub(super) fn schedule_slow_mark(&mut self, request: &Request) {
        let slow_after =
            (SLOW_FACTOR * self.usual_duration(request)).min(self.profile(request).latency_target);
        request.slow_at.set(if request.deadline.get().is_finite() {
            self.now + slow_after
        } else {
            f64::INFINITY
        });
    }

    /// Records whether a request was answered in time, once: at its latency target if none has come by then.
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
            // Those that are out hold places for as long as their clients wait: others may have them.
            let open_requests: Vec<_> = self.reviews.values().filter_map(Weak::upgrade).collect();
            let same_profile = open_requests.iter().filter(|other| other.profile == request.profile);
            same_profile.for_each(|other| self.exclude_from_window(other));
        }
    }

    /// Do requests of this customer that got an error get one from other servers too? Then no server is at
    /// fault, and a retry is in vain.
    pub(super) fn fails_everywhere(&mut self, request: &Request) -> bool {
        let now = self.now;
        request.errors() > 0 && self.retry_success(request).mean_with_prior(now, 1.0, 1.0) < RETRY_SUCCESS_MIN
    }

    /// Share of retries after an error that succeed, for its customer; without customers, for all.
    pub(super) fn retry_success(&mut self, request: &Request) -> &mut RecentSamples {
        let index = request.customer.min(self.retry_successes.len() - 1);
        &mut self.retry_successes[index]
    }

    /// A request that is slow by itself says nothing of its servers and takes no place in the window.
    fn exclude_from_window(&mut self, request: &Request) {
        let out = request.attempts.borrow().iter().filter(|attempt| attempt.is_out()).count();
        self.window.in_flight.change(self.now, -request.window_weight() * out as f64);
        request.excluded_from_window.set(true);
    }
}
