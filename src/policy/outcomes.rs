//! How requests fare, by profile and by customer: some fail or are slow wherever they go.

use super::Balancer;
use crate::state::{Recent, Request};
use std::rc::Weak;

const RETRY_SUCCESS_LEAST: f64 = 0.3; // Share of retries after an error to be served, or none is sent.
const SLOW: f64 = 2.0; // Usual durations after which a request counts as slow: one in ten by chance.
pub(super) const FARE_SPAN_MS: f64 = 5_000.0; // Span over which it counts how a profile fares.
const HOPELESS: f64 = 0.4; // Share answered in time below which a profile is sent for trial only.
const WELL: f64 = 0.6; // Share at which it is sent again, or another profile fares well.
const FARE_PRIOR: f64 = 2.0; // Requests that its failures are averaged with: a few are chance.

impl Balancer {
    /// Sets from when on a request counts as slow: never while its body is arriving.
    pub(super) fn schedule_slow_mark(&mut self, request: &Request) {
        let long = (SLOW * self.usual_duration(request)).min(self.profile(request).latency_target);
        request.due.set(if request.limit.get().is_finite() { self.now + long } else { f64::INFINITY });
    }

    /// Records whether a request was answered in time, once: at its latency target if none has come by then.
    pub(super) fn record_timeliness(&mut self, request: &Request, timely: bool) {
        if request.attempts.borrow().is_empty() || request.told.replace(true) {
            return;
        }
        let now = self.now;
        self.fares[request.profile].timely.add(now, f64::from(u8::from(timely)));
        let others = self.fares.iter_mut().enumerate().filter(|(place, _)| *place != request.profile);
        let best = others.map(|(_, fare)| fare.timely.mean_beside(now, 1.0, 1.0)).fold(0.0, f64::max);
        let fare = &mut self.fares[request.profile];
        let was = fare.hopeless;
        let share = fare.timely.mean_beside(now, FARE_PRIOR, if was { HOPELESS } else { 1.0 });
        fare.hopeless = share < if was { WELL } else { HOPELESS } && best > WELL;
        if fare.hopeless != was {
            fare.timely = Recent::new(FARE_SPAN_MS);
        }
        if fare.hopeless {
            // Those that are out hold places for as long as their clients wait: others may have them.
            let held: Vec<_> = self.due.values().filter_map(Weak::upgrade).collect();
            let alike = held.iter().filter(|other| other.profile == request.profile);
            alike.for_each(|other| self.exclude_from_window(other));
        }
    }

    /// Do requests of this customer that got an error get one from other servers too? Then no server is at
    /// fault, and a retry is in vain.
    pub(super) fn fails_everywhere(&mut self, request: &Request) -> bool {
        let now = self.now;
        request.errors() > 0 && self.retry_success(request).mean_beside(now, 1.0, 1.0) < RETRY_SUCCESS_LEAST
    }

    /// Share of retries after an error that succeed, for its customer; without customers, for all.
    pub(super) fn retry_success(&mut self, request: &Request) -> &mut Recent {
        let place = request.customer.min(self.again.len() - 1);
        &mut self.again[place]
    }

    /// A request that is slow by itself says nothing of its servers and takes no place in the window.
    fn exclude_from_window(&mut self, request: &Request) {
        let out = request.attempts.borrow().iter().filter(|attempt| attempt.is_out()).count();
        self.window.out.change(self.now, -request.load() * out as f64);
        request.apart.set(true);
    }
}
