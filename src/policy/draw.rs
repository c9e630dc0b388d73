//! The draw of the paper: which servers may have a request, and which of them it goes to.

use super::Balancer;
use super::attempts::RetryScope;
use super::servers::CANDIDATES_MIN;
use crate::interface::DedupScope;
use crate::sliding_window::DEFAULT_SPAN_MS;
use crate::state::{Request, Server};
use rand::distr::weighted::WeightedIndex;
use rand::prelude::Distribution;
use std::rc::Rc;

/// The power of the paper's draw; each step from 1 to 12 improved the results.
const DRAW_POWER: f64 = 12.0;
/// Share of the ready servers that may be ejected; beyond it the fault is not the servers' own.
const EJECTED_SHARE_MAX: f64 = 0.6;
/// Share of a cold server's limit that is used: requests differ in work, and nodes in load.
const COLD_LIMIT_SHARE: f64 = 0.5;

impl Balancer {
    /// Draws a server by the paper's weights, and returns its load estimate with it.
    pub(super) fn draw(&mut self, request: &Request, scope: RetryScope) -> Option<(Rc<Server>, f64)> {
        let mut candidates = Vec::new();
        if self.probes_per_draw > 0 {
            candidates = self.candidates(request, &scope, |_, _| true);
            candidates.retain(|server| {
                server.probe_answered_at.get() >= server.probed_at.get().max(request.probed_at.get())
            });
        }
        if candidates.is_empty() {
            let size = self.subset_size().min(self.ready_servers.len()).max(1);
            let rate = self.first_attempts.total(self.now).0 / DEFAULT_SPAN_MS / size as f64;
            candidates =
                self.candidates(request, &scope, |balancer, server| balancer.has_cold_credit(server, rate));
        } else {
            // While a cold server becomes overloaded, it has been sent what it served by then and what it still holds.
            let multiple = (self.settings.overload_multiple - 1.0).max(0.0) * COLD_LIMIT_SHARE;
            let limit = multiple * self.settings.overload_window / self.usual_duration(request);
            let waiting = self.concurrent_arrivals(request);
            candidates.retain(|server| {
                self.capacity_share(server) >= 1.0 || self.wins_cold_slot(request, server, limit, waiting)
            });
        }
        let estimates = self.estimates(&candidates);
        let weights = WeightedIndex::new(estimates.iter().map(|estimate| estimate.powf(-DRAW_POWER)));
        let drawn = weights.ok()?.sample(&mut self.rng.0);
        Some((candidates.get(drawn)?.clone(), estimates[drawn]))
    }

    /// The servers of this node's subset that may have the request.
    pub(super) fn candidates(
        &mut self,
        request: &Request,
        scope: &RetryScope,
        extra: impl Fn(&Self, &Server) -> bool,
    ) -> Vec<Rc<Server>> {
        let size = self.subset_size();
        let attempts = request.attempts.borrow();
        let ejected = |server: &Rc<Server>| server.health(request.profile).is_ejected(self.now);
        let limit = self.ready_servers.len() as f64 * EJECTED_SHARE_MAX;
        let fault_is_shared =
            self.ready_servers.iter().filter(|server| ejected(server)).count() as f64 > limit;
        let in_scope = |server: &Rc<Server>| match (scope, self.profile(request).dedup_scope) {
            (Some(first), DedupScope::Zone) => first.entry.get().zone == server.entry.get().zone,
            (Some(first), DedupScope::Cell) => first.entry.get().cell == server.entry.get().cell,
            _ => true,
        };
        let eligible = |server: &Rc<Server>| {
            in_scope(server)
                && self.now >= server.backoff_until.get()
                && (fault_is_shared && !server.connect_failed.get() || !ejected(server))
                && !attempts.iter().any(|attempt| Rc::ptr_eq(&attempt.server, server))
                && extra(self, server)
        };
        // Requests would be lost in learning about each further server; a few are enough to probe.
        let mut subset = if self.probes_per_draw > 0 { self.subset(size, |_| true) } else { Vec::new() };
        subset.retain(&eligible);
        match (self.probes_per_draw, subset.len()) {
            (0, _) => self.subset(size, eligible),
            (_, 0..CANDIDATES_MIN) => self.subset(CANDIDATES_MIN, eligible),
            _ => subset,
        }
    }

    /// Share of its capacity that a server has at least, by the time since its start.
    pub(super) fn capacity_share(&self, server: &Server) -> f64 {
        let warmed = (self.now - server.started_at.get()) / self.settings.warm_up_time;
        (self.settings.cold_capacity_share + (1.0 - self.settings.cold_capacity_share) * warmed.max(0.0))
            .min(1.0)
    }

    /// How many requests of all nodes wait like this one: as many as have arrived since it did.
    fn concurrent_arrivals(&mut self, request: &Request) -> f64 {
        (self.send_rate() * self.settings.node_count * (self.now - request.arrived_at.get())).max(1.0)
    }

    /// Whether the request is among those that a cold server may take, which could take `limit` if it were warm. All
    /// nodes see at the same time that it has room for all that waits there, so a random number decides which requests
    /// are sent.
    fn wins_cold_slot(&self, request: &Request, server: &Server, limit: f64, waiting: f64) -> bool {
        let load = server.reported_load.get().unwrap_or(0.0).max(f64::from(server.in_flight.get()));
        let room = (limit * self.capacity_share(server)).max(1.0) - load;
        (request.cold_lottery.get() + server.order_key * self.ready_servers.len() as f64).fract() * waiting
            < room
    }

    /// Whether a cold server has credit for one more attempt. It gets only its share of what warm servers can take, or
    /// all nodes together would overload it.
    fn has_cold_credit(&self, server: &Server, rate: f64) -> bool {
        let capacity = self.capacity_share(server);
        let refill = rate * COLD_LIMIT_SHARE * self.settings.overload_multiple * capacity;
        let limit = (refill * self.settings.overload_window).max(1.0);
        let credit = server.cold_credit.get() + refill * (self.now - server.credit_updated_at.get());
        server.cold_credit.set(credit.min(limit));
        server.credit_updated_at.set(self.now);
        capacity >= 1.0 || server.cold_credit.get() >= 1.0
    }
}
