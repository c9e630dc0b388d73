//! Admission: which queued requests are sent, and when. Called once a round by the balancer.

use super::Balancer;
use super::load::PROBE_WAIT_SHARE;
use crate::interface::DecisionWriter;
use crate::sliding_window::DEFAULT_SPAN_MS;
use crate::state::{Request, Server};
use std::rc::Rc;

/// Share of the latency target after which a queued request probes again.
const REPROBE_SHARE: f64 = 0.1;
/// Share of its latency target that a request is queued at the most.
const QUEUE_TIME_SHARE: f64 = 0.25;
/// Power by which worth falls where the usual duration exceeds the time left.
const TIMELY_POWER: f64 = 3.0;

impl Balancer {
    /// Puts the request into the admission queue.
    pub(super) fn enqueue(&mut self, request: &Rc<Request>) {
        let is_new = !request.queued.replace(true);
        if is_new {
            self.queue.push(request.clone());
        }
        // It may stay for longer than when it was last looked at: there may be no ready server any more.
        let until = self.queued_until(request);
        if is_new || until > self.now {
            self.review_at(request, until);
        }
    }

    /// Until when the request may stay in the queue.
    fn queued_until(&self, request: &Request) -> f64 {
        let max_share = if self.ready_servers.is_empty() { f64::INFINITY } else { QUEUE_TIME_SHARE };
        self.answer_deadline(request)
            .min(request.arrived_at.get() + max_share * self.profile(request).latency_target)
    }

    /// Admits queued requests, those of the highest worth first, while the window has room.
    pub(super) fn admit(&mut self, out: &mut impl DecisionWriter) {
        if self.queue.is_empty() {
            return;
        }
        let queued = std::mem::take(&mut self.queue).into_iter().filter(|request| !request.closed.get());
        let mut ranked: Vec<_> = queued.map(|request| (self.worth(&request), request)).collect();
        ranked.sort_by(|(a, one), (b, other)| {
            b.total_cmp(a).then(one.arrived_at.get().total_cmp(&other.arrived_at.get()))
        });
        // Only servers that accept requests count as capacity: a lost zone's requests would come on top of the others'
        // own and overload them.
        let accepts =
            |server: &&Rc<Server>| !server.health.borrow().iter().all(|own| own.is_ejected(self.now));
        let accepting = self.ready_servers.iter().filter(accepts);
        let own_share = accepting.map(|server| self.capacity_share(server)).sum::<f64>().max(1.0)
            / self.settings.node_count;
        let utilization = self.mean_utilization();
        self.window.limit_to_share(self.now, own_share, utilization);
        for (worth, request) in ranked {
            // A profile that is hardly ever answered in time on any server would hold the places of all others: one
            // request of it is out at a time.
            let timeliness = &self.timeliness[request.profile];
            let trial_out = timeliness.trial_only
                && timeliness.trial.upgrade().is_some_and(|request| !request.closed.get());
            if self.settings.tier == 0 && trial_out {
                self.give_up(&request, out);
                continue;
            }
            let probes_first = self.probes_per_draw > 0;
            if probes_first
                && self.now >= request.probed_at.get() + REPROBE_SHARE * self.profile(&request).latency_target
            {
                self.probe_candidates(&request, out);
            }
            let probe_wait_end =
                request.probed_at.get() + PROBE_WAIT_SHARE * self.profile(&request).latency_target;
            let unanswered = |server: &Rc<Server>| server.probe_answered_at.get() < server.probed_at.get();
            let waits =
                probes_first && self.now < probe_wait_end && self.ready_servers.iter().any(unanswered);
            let may_send = !waits && (probes_first || self.settings.tier > 0 || self.has_room(worth));
            if may_send && self.send_attempt(&request, probes_first.then_some(worth), out) {
                request.queued.set(false);
                self.timeliness[request.profile].trial = Rc::downgrade(&request);
            } else if !waits && self.now >= self.queued_until(&request) {
                self.give_up(&request, out);
            } else {
                self.queue.push(request);
            }
        }
    }

    /// Whether the window has room for a request of this worth.
    fn has_room(&mut self, worth: f64) -> bool {
        let better = self.is_above_mean_worth(worth);
        self.window.has_room(self.now, better)
    }

    /// Whether it is above the mean worth of recently considered requests.
    pub(super) fn is_above_mean_worth(&mut self, worth: f64) -> bool {
        self.worths.add(self.now, worth);
        worth > self.worths.mean(self.now) * (1.0 + f64::EPSILON.sqrt())
    }

    /// What serving the request gains for each unit of work.
    fn worth(&mut self, request: &Request) -> f64 {
        let within_quota = self.within_quota(request.customer);
        let excess = if within_quota { 1.0 } else { self.settings.over_quota_gain };
        // A request that will hardly be answered in time is worth little more than nothing, however short the queue
        // is.
        let time_left = request.arrived_at.get() + self.profile(request).latency_target - self.now;
        let timely_chance = (time_left / self.usual_duration(request)).clamp(0.0, 1.0).powf(TIMELY_POWER);
        let work = if request.settings.gain_per_work { 1.0 } else { self.usual_duration(request) };
        excess * timely_chance * self.profile(request).gain / work
    }

    /// Whether the customer is within this node's share of its quota. The quota holds over all nodes, and clients
    /// retry: so the share is measured by what this node admitted.
    fn within_quota(&mut self, customer: usize) -> bool {
        let Some(recent) = self.admitted.get_mut(customer) else { return true };
        recent.total(self.now).0
            <= self.settings.quotas[customer] / self.settings.node_count * DEFAULT_SPAN_MS / 1000.0
    }
}
