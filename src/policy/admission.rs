//! Admission: which queued requests are sent, and when.

use super::Balancer;
use super::load::PROBE_WAIT;
use crate::interface::DecisionWriter;
use crate::ring::SPAN;
use crate::state::{Request, Server};
use std::rc::Rc;

const PROBE_AGAIN: f64 = 0.1; // Share of the latency target after which a queued request probes again.
const QUEUE_MOST: f64 = 0.25; // Share of its latency target that a request is queued at the most.
const TIMELY_POWER: f64 = 3.0; // Power at which worth falls where the usual duration exceeds the time left.

impl Balancer {
    /// Queues the request for admission.
    pub(super) fn enqueue(&mut self, request: &Rc<Request>) {
        let is_new = !request.waiting.replace(true);
        if is_new {
            self.waiting.push(request.clone());
        }
        // It may be held for longer than when it was looked at last: the table has become empty.
        let until = self.queued_until(request);
        if is_new || until > self.now {
            self.review_at(request, until);
        }
    }

    /// Until when the request may be queued.
    fn queued_until(&self, request: &Request) -> f64 {
        let hold = if self.table.is_empty() { f64::INFINITY } else { QUEUE_MOST };
        self.answer_by(request).min(request.arrived.get() + hold * self.profile(request).latency_target)
    }

    /// Admits queued requests, the highest worth first, while the window has room.
    pub(super) fn admit(&mut self, out: &mut impl DecisionWriter) {
        if self.waiting.is_empty() {
            return;
        }
        let waiting = std::mem::take(&mut self.waiting).into_iter().filter(|request| !request.closed.get());
        let mut ranked: Vec<_> = waiting.map(|request| (self.worth(&request), request)).collect();
        ranked.sort_by(|(a, x), (b, y)| b.total_cmp(a).then(x.arrived.get().total_cmp(&y.arrived.get())));
        // A lost zone's requests would come on top of the others' own and tip them: capacity is by server.
        let works = |server: &&Rc<Server>| !server.health.borrow().iter().all(|own| own.is_ejected(self.now));
        let up = self.table.iter().filter(works);
        let part = up.map(|server| self.warm_share(server)).sum::<f64>().max(1.0) / self.settings.node_count;
        let busy = self.mean_utilisation();
        self.window.bound(self.now, part, busy);
        for (worth, request) in ranked {
            // What is hardly ever answered in time, wherever it goes, would hold the places of all others.
            let fare = &self.fares[request.profile];
            let tried = fare.hopeless && fare.trial.upgrade().is_some_and(|request| !request.closed.get());
            if self.settings.tier == 0 && tried {
                self.give_up(&request, out);
                continue;
            }
            let asks = self.asks > 0;
            if asks && self.now >= request.asked.get() + PROBE_AGAIN * self.profile(&request).latency_target {
                self.probe_candidates(&request, out);
            }
            let patience = request.asked.get() + PROBE_WAIT * self.profile(&request).latency_target;
            let silent = |server: &Rc<Server>| server.seen.get() < server.probed.get();
            let waits = asks && self.now < patience && self.table.iter().any(silent);
            let open = !waits && (asks || self.settings.tier > 0 || self.has_room(worth));
            if open && self.send_attempt(&request, asks.then_some(worth), out) {
                request.waiting.set(false);
                self.fares[request.profile].trial = Rc::downgrade(&request);
            } else if !waits && self.now >= self.queued_until(&request) {
                self.give_up(&request, out);
            } else {
                self.waiting.push(request);
            }
        }
    }

    fn has_room(&mut self, worth: f64) -> bool {
        let better = self.is_above_mean_worth(worth);
        self.window.has_room(self.now, better)
    }

    /// Is it above the mean worth of recently considered requests?
    pub(super) fn is_above_mean_worth(&mut self, worth: f64) -> bool {
        self.worths.add(self.now, worth);
        worth > self.worths.mean(self.now) * (1.0 + f64::EPSILON.sqrt())
    }

    /// What serving the request gains for each unit of work.
    fn worth(&mut self, request: &Request) -> f64 {
        let within = self.within_quota(request.customer);
        let excess = if within { 1.0 } else { self.settings.over_quota_gain };
        // What will hardly be answered in time is worth little more than nothing, however short the queue.
        let left = request.arrived.get() + self.profile(request).latency_target - self.now;
        let chance = (left / self.usual_duration(request)).clamp(0.0, 1.0).powf(TIMELY_POWER);
        let work = if request.rules.gain_per_work { 1.0 } else { self.usual_duration(request) };
        excess * chance * self.profile(request).gain / work
    }

    /// Is the customer within this node's share of its quota? It holds over all nodes, and clients retry: the
    /// share is measured by what this node admitted.
    fn within_quota(&mut self, customer: usize) -> bool {
        let Some(recent) = self.admitted.get_mut(customer) else { return true };
        recent.total(self.now).0 <= self.settings.quotas[customer] / self.settings.node_count * SPAN / 1000.0
    }
}
