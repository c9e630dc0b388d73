//! The life of a request, from its arrival to its final answer.

use super::Balancer;
use crate::interface::{AttemptOutcome, DecisionWriter, DedupScope, Effect, Profile, Settings};
use crate::sliding_window::DEFAULT_SPAN_MS;
use crate::state::Request;
use rand::prelude::Rng;
use std::cell::Cell;
use std::rc::{Rc, Weak};

/// Advised pause before a client retries, as a share of the latency target.
const ADVICE_SHARE: f64 = 0.25;

impl Balancer {
    /// Takes in a request under the settings in force.
    pub fn request_received(&mut self, id: u32, profile: usize, customer: usize, deadline: f64) {
        self.request_received_under(&self.settings.clone(), id, profile, customer, deadline);
    }

    /// Takes in a request under these settings, which need no longer be the ones in force.
    pub fn request_received_under(
        &mut self,
        settings: &Rc<Settings>,
        id: u32,
        settings_profile: usize,
        customer: usize,
        deadline: f64,
    ) {
        let (now, profile) = (self.now, self.profile_index(&settings.profiles[settings_profile].name));
        let (settings, probed_at) = (settings.clone(), Cell::new(f64::NEG_INFINITY));
        let (arrived_at, deadline) = (Cell::new(now), Cell::new(deadline));
        let request = Request {
            id,
            settings,
            settings_profile,
            profile,
            customer,
            arrived_at,
            deadline,
            probed_at,
            ..Request::default()
        };
        let request = Rc::new(request);
        self.received.add(now, 1.0);
        self.requests.insert(id, request.clone());
        self.to_decide.push(request);
    }

    /// The last byte of a request's body has arrived: its times, and those of its attempt, count from now on.
    pub fn body_received(&mut self, id: u32, deadline: f64) {
        let Some(request) = self.requests.get(&id).cloned() else { return };
        request.arrived_at.set(self.now);
        request.deadline.set(deadline);
        for attempt in request.attempts.borrow_mut().iter_mut().filter(|attempt| attempt.is_out()) {
            attempt.sent_at = self.now;
            self.window.in_flight.change(self.now, request.window_weight());
        }
        self.schedule_slow_mark(&request);
        self.to_decide.push(request);
    }

    /// A request's body is being streamed and is not buffered: there can be no further attempt.
    pub fn body_not_replayable(&mut self, id: u32) {
        self.requests.get(&id).iter().for_each(|request| request.not_replayable.set(true));
    }

    /// An attempt has ended after `took` ms; `done` if the client has its answer by it.
    pub fn attempt_ended(&mut self, id: u32, attempt: usize, outcome: AttemptOutcome, took: f64, done: bool) {
        let Some(request) = self.requests.get(&id).cloned() else { return };
        let Some(server) = self.record_end(&request, attempt, outcome) else { return };
        self.record_outcome(&server, &request, outcome, took);
        request.closed.set(done || request.closed.get());
        self.to_decide.push(request);
    }

    /// The client has closed its connection: attempts that are still out for its request are cancelled.
    pub fn client_left(&mut self, id: u32) {
        let Some(request) = self.requests.get(&id) else { return };
        request.closed.set(true);
        self.to_decide.push(request.clone());
    }

    /// The node shuts down at that time: every request that it still holds is answered before.
    pub fn shutdown_at(&mut self, at: f64) {
        self.shutdown_time = at;
        let open_requests: Vec<_> = self.reviews.values().filter_map(Weak::upgrade).collect();
        open_requests.iter().for_each(|request| self.review_at(request, at));
    }

    /// Takes the next step for a request: records that it is slow, answers it, queues it or sends it.
    pub(super) fn decide(&mut self, request: &Rc<Request>, out: &mut impl DecisionWriter) {
        if self.now >= request.slow_at.get() {
            self.record_timeliness(request, false);
        }
        if request.closed.get() {
            return self.settle(request, out);
        }
        if self.now >= self.answer_deadline(request) {
            return self.give_up(request, out);
        }
        if request.queued.get() || self.settings.tier == 0 && request.attempts.borrow().is_empty() {
            return self.enqueue(request);
        }
        if request.attempts.borrow().iter().all(|attempt| !attempt.is_out()) {
            if self.send_attempt(request, None, out) {
                return;
            }
            let may_retry = request.never_ran() && self.retry_scope(request).is_some();
            return if may_retry { self.enqueue(request) } else { self.give_up(request, out) };
        }
        self.check_overdue(request, out);
    }

    /// The last moment for an answer of the node's own: two rounds before the deadline, so that it leaves in time.
    pub(super) fn answer_deadline(&self, request: &Request) -> f64 {
        request.deadline.get().min(self.shutdown_time) - 2.0 * self.settings.round_interval
    }

    /// Looks at the request again at that time, or earlier if it counts as slow or must be answered by then.
    pub(super) fn review_at(&mut self, request: &Rc<Request>, at: f64) {
        let at = if self.now < request.slow_at.get() { at.min(request.slow_at.get()) } else { at };
        let at = at.min(self.answer_deadline(request)).clamp(0.0, self.now + DEFAULT_SPAN_MS);
        self.reviews.insert((at.to_bits(), request.id), Rc::downgrade(request));
    }

    /// Whether the client may be told that a retry does no harm.
    fn may_reject(&self, request: &Request) -> bool {
        let Profile { effect, dedup_scope: group, .. } = self.profile(request);
        let harmless = *effect == Effect::Idempotent || *effect == Effect::Keyed && *group == DedupScope::All;
        harmless || request.never_ran()
    }

    /// Rejects the request where a retry does no harm, and fails it otherwise.
    pub(super) fn give_up(&mut self, request: &Rc<Request>, out: &mut impl DecisionWriter) {
        if self.may_reject(request) {
            // Clients that are given the same time would all come back at once, so the advice is spread.
            let retry_after =
                ADVICE_SHARE * self.profile(request).latency_target * self.rng.0.random_range(0.5..1.5);
            out.reject(request.id, retry_after.min(self.settings.max_retry_after));
        } else {
            out.fail(request.id);
        }
        request.closed.set(true);
        self.settle(request, out);
    }

    /// Cancels what is still out for a closed request, and forgets the request when nothing is.
    fn settle(&mut self, request: &Rc<Request>, out: &mut impl DecisionWriter) {
        let attempts = request.attempts.borrow();
        let still_out = || attempts.iter().enumerate().filter(|(_, attempt)| attempt.is_out());
        if !request.settled.replace(true) && request.settings.may_cancel {
            still_out().for_each(|(number, _)| out.cancel(request.id, number as u16));
        }
        if still_out().next().is_none() {
            self.requests.remove(&request.id);
        }
    }
}
