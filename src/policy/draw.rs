//! The paper's draw: which servers may have a request, and which of them it goes to.

use super::Balancer;
use super::attempts::RetryScope;
use super::servers::CANDIDATES_LEAST;
use crate::interface::DedupScope;
use crate::ring::SPAN;
use crate::state::{Request, Server};
use rand::distr::weighted::WeightedIndex;
use rand::prelude::Distribution;
use std::rc::Rc;

const K: f64 = 12.0; // The paper's power of the draw: each step from 1 to 12 gained.
const EJECTED_MOST: f64 = 0.6; // Share of the table that may be ejected; beyond it the fault is shared.
const COLD_LIMIT_PART: f64 = 0.5; // Share of the cold limit that is used: work differs, and so do nodes.

impl Balancer {
    /// Draws a server by the paper's weights, and tells its estimate.
    pub(super) fn draw(&mut self, request: &Request, scope: RetryScope) -> Option<(Rc<Server>, f64)> {
        let mut candidates = Vec::new();
        if self.asks > 0 {
            candidates = self.candidates(request, &scope, |_, _| true);
            candidates.retain(|server| server.seen.get() >= server.probed.get().max(request.asked.get()));
        }
        if candidates.is_empty() {
            let size = self.subset_size().min(self.table.len()).max(1);
            let rate = self.first_attempts.total(self.now).0 / SPAN / size as f64;
            candidates = self.candidates(request, &scope, |me, server| me.has_cold_credit(server, rate));
        } else {
            // In the time in which a cold one falls over it is sent what it did and what it holds at the end.
            let multiple = (self.settings.overload_multiple - 1.0).max(0.0) * COLD_LIMIT_PART;
            let most = multiple * self.settings.overload_window / self.usual_duration(request);
            let waiting = self.similar_waiting(request);
            candidates.retain(|server| {
                self.warm_share(server) >= 1.0 || self.wins_cold_place(request, server, most, waiting)
            });
        }
        let estimates = self.estimates(&candidates);
        let weights = WeightedIndex::new(estimates.iter().map(|estimate| estimate.powf(-K)));
        let place = weights.ok()?.sample(&mut self.chance.0);
        Some((candidates.get(place)?.clone(), estimates[place]))
    }

    /// The servers of this node's subset that may have the request.
    pub(super) fn candidates(
        &mut self,
        request: &Request,
        scope: &RetryScope,
        more: impl Fn(&Self, &Server) -> bool,
    ) -> Vec<Rc<Server>> {
        let size = self.subset_size();
        let attempts = request.attempts.borrow();
        let ejected = |server: &Rc<Server>| server.health(request.profile).is_ejected(self.now);
        let most = self.table.len() as f64 * EJECTED_MOST;
        let shared = self.table.iter().filter(|server| ejected(server)).count() as f64 > most;
        let within = |server: &Rc<Server>| match (scope, self.profile(request).dedup_scope) {
            (Some(first), DedupScope::Zone) => first.line.get().zone == server.line.get().zone,
            (Some(first), DedupScope::Cell) => first.line.get().cell == server.line.get().cell,
            _ => true,
        };
        let fits = |server: &Rc<Server>| {
            within(server)
                && self.now >= server.rest_until.get()
                && (shared && !server.unreached.get() || !ejected(server))
                && !attempts.iter().any(|attempt| Rc::ptr_eq(&attempt.server, server))
                && more(self, server)
        };
        // Each further server would have to be met, and learned of by requests lost; a few are enough to ask.
        let mut kept = if self.asks > 0 { self.subset(size, |_| true) } else { Vec::new() };
        kept.retain(&fits);
        match (self.asks, kept.len()) {
            (0, _) => self.subset(size, fits),
            (_, 0..CANDIDATES_LEAST) => self.subset(CANDIDATES_LEAST, fits),
            _ => kept,
        }
    }

    /// Share of its capacity that a server has at least, by the time since its start.
    pub(super) fn warm_share(&self, server: &Server) -> f64 {
        let warmed = (self.now - server.started.get()) / self.settings.warm_up_time;
        (self.settings.cold_capacity_share + (1.0 - self.settings.cold_capacity_share) * warmed.max(0.0))
            .min(1.0)
    }

    /// How many requests of all nodes wait as this one does: as many as came since it.
    fn similar_waiting(&mut self, request: &Request) -> f64 {
        (self.send_rate() * self.settings.node_count * (self.now - request.arrived.get())).max(1.0)
    }

    /// Is the request among those that a cold server may take, which could take `most` if it were warm? All
    /// nodes see at once that it has room, for all that waits there: a random number decides which are sent.
    fn wins_cold_place(&self, request: &Request, server: &Server, most: f64, waiting: f64) -> bool {
        let held = server.estimate.get().unwrap_or(0.0).max(f64::from(server.out.get()));
        let room = (most * self.warm_share(server)).max(1.0) - held;
        (request.lot.get() + server.place * self.table.len() as f64).fract() * waiting < room
    }

    /// Has a cold server credit for one more attempt? It takes only its share of what warm ones bear, or all
    /// nodes together overload it.
    fn has_cold_credit(&self, server: &Server, rate: f64) -> bool {
        let warm = self.warm_share(server);
        let refill = rate * COLD_LIMIT_PART * self.settings.overload_multiple * warm;
        let most = (refill * self.settings.overload_window).max(1.0);
        let credit = server.cold_credit.get() + refill * (self.now - server.credit_at.get());
        server.cold_credit.set(credit.min(most));
        server.credit_at.set(self.now);
        warm >= 1.0 || server.cold_credit.get() >= 1.0
    }
}
