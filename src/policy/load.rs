//! The load table: probes, the reports that they bring, and each server's estimate.

use super::Balancer;
use crate::interface::{Address, DecisionWriter, ReportField};
use crate::ring::SPAN;
use crate::state::{Request, Server};
use rand::prelude::Rng;
use std::rc::Rc;

const ALPHA: f64 = 0.5; // The paper's share of even probes: loaded servers must be seen again too.
const FLOOR: f64 = 0.2; // Lowest estimate, as a share of the table's mean (from the design page).
const STEP_UNIT: f64 = 0.1; // Least mean that a step is taken of: a tenth of a core or of a waiting request.
const PROBE_RATE_LEAST: f64 = 0.2; // Probes/s at the least: idle nodes see servers within a minute.
const PROBE_SPEND: f64 = 0.002; // Points that a tier's probes may cost; the price gives probes per request.
const PROBES_MOST: f64 = 0.3; // Most probes per request, where they are almost free.
pub(super) const PROBE_WAIT: f64 = 0.05; // Share of the latency target that a draw waits for answers.
const REPORT_LAG_MS: f64 = 1000.0; // Most that reports lag where nothing is wrong with them.
const DISTRUST_MS: f64 = 20_000.0; // So long no idle report is believed of a server proven not idle.
const UNREPORTED: f64 = 1.0; // Least estimate, requests, of a loaded server without a report.
const NEW_CONNECTION: f64 = 1.0; // Requests that the first connection to a server counts as.
pub(super) const IDLE: f64 = 0.5; // Requests held below which a server always takes one.
const ZONE_MARGIN: f64 = 26.0; // Share that raises an away server's estimate by each point of crossing.

impl Balancer {
    /// Takes in a probe's answer: the server's load report, and its round trip.
    pub fn probe_answered(&mut self, address: Address, good: bool, report: &[f64], took: f64) {
        let Some(server) = self.known.get(&address).cloned() else { return };
        server.seen.set(self.now);
        let highest = || self.table.iter().filter_map(|server| server.estimate.get()).fold(0.0, f64::max);
        let told = self.load_in(report);
        // It says that it holds nothing while it has held a request of ours for longer than a report may lag.
        let idle = good
            && self.settings.report.contains(&ReportField::Outstanding)
            && told.is_some_and(|held| held < IDLE);
        if idle && server.out.get() > 0 && self.now - server.taken.get() > REPORT_LAG_MS {
            server.untrue.set(self.now + DISTRUST_MS);
        }
        server.estimate.set(match told {
            _ if !good => Some(highest()),
            // What is known to be untrue counts as unheard.
            Some(_) if idle && self.now < server.untrue.get() => None,
            Some(estimate) => Some(estimate),
            None if self.settings.report.is_empty() => Some(took),
            // A cold one has nothing to report yet; a warm one is too busy to, and may not win traffic.
            None => (self.warm_share(&server) >= 1.0).then(|| highest().max(UNREPORTED)),
        });
    }

    /// The load in a report, by the most telling field that it has.
    fn load_in(&self, report: &[f64]) -> Option<f64> {
        [ReportField::Outstanding, ReportField::Utilization, ReportField::Backlog].iter().find_map(|wanted| {
            let place = self.settings.report.iter().position(|field| field == wanted)?;
            report.get(place).copied()
        })
    }

    /// Load estimates of these servers: the report, or the others' mean, and a step for each own attempt out.
    pub(super) fn estimates(&self, servers: &[Rc<Server>]) -> Vec<f64> {
        let heard = || servers.iter().filter_map(|server| server.estimate.get());
        let mean = heard().sum::<f64>() / (heard().count() as f64).max(1.0);
        let step = mean.max(STEP_UNIT);
        let counted = self.settings.report.contains(&ReportField::Outstanding);
        let raised = |server: &Rc<Server>| {
            let (report, out) = (server.estimate.get().unwrap_or(mean), f64::from(server.out.get()));
            if counted {
                // Requests held have a size: the own ones are among them, a cold or small server bears fewer.
                let connection = if server.heard.get() > 0.0 { 0.0 } else { NEW_CONNECTION };
                (report.max(out) + connection + 1.0) * server.slowness.get()
                    / (server.line.get().weight * self.warm_share(server))
            } else {
                report + step * server.slowness.get() * (out + 1.0)
            }
        };
        let mut estimates: Vec<f64> = servers.iter().map(raised).collect();
        let floor = FLOOR * estimates.iter().sum::<f64>() / (estimates.len() as f64).max(1.0);
        // Crossing has a price: others count as busier than home by a margin that grows with it.
        let margin = 1.0 + ZONE_MARGIN * self.settings.cross_zone_price;
        for (estimate, server) in estimates.iter_mut().zip(servers) {
            let away = server.line.get().zone != self.settings.zone;
            *estimate = estimate.max(floor) * if away { margin } else { 1.0 };
        }
        estimates
    }

    /// Sends the probe that is due by the Poisson timer, and draws the time of the next.
    pub(super) fn probe_on_timer(&mut self, out: &mut impl DecisionWriter) {
        if self.now < self.next_probe {
            return;
        }
        if self.next_probe > 0.0 && !self.table.is_empty() {
            let size = self.subset_size();
            let subset = self.subset(size, |_| true);
            let target = self.probe_target(&subset);
            subset[target].probed.set(self.now);
            out.probe(subset[target].line.get().address);
        }
        let each = (PROBE_SPEND / self.settings.probe_price.max(1e-9)).min(PROBES_MOST);
        let rate = (self.first_attempts.total(self.now).0 / SPAN * 1000.0 * each).max(PROBE_RATE_LEAST);
        self.next_probe = self.now - (1.0 - self.chance.0.random::<f64>()).ln() / rate * 1000.0;
    }

    /// Where a probe goes: an even draw, or the lowest estimate.
    fn probe_target(&mut self, servers: &[Rc<Server>]) -> usize {
        if self.chance.0.random::<f64>() < ALPHA {
            return self.chance.0.random_range(0..servers.len());
        }
        let estimates = self.estimates(servers);
        (0..estimates.len()).min_by(|a, b| estimates[*a].total_cmp(&estimates[*b])).unwrap_or(0)
    }

    /// Probes the servers that the request may be drawn to, the paper's way: even draws and lowest estimates.
    pub(super) fn probe_candidates(&mut self, request: &Rc<Request>, out: &mut impl DecisionWriter) {
        let mut candidates = self.candidates(request, &None, |_, _| true);
        for _ in 0..self.asks.min(candidates.len()) {
            let target = self.probe_target(&candidates);
            let server = candidates.swap_remove(target);
            if server.probed.replace(self.now) < self.now {
                out.probe(server.line.get().address);
            }
        }
        request.asked.set(self.now);
        request.lot.set(self.chance.0.random());
        self.review_at(request, self.now + PROBE_WAIT * self.profile(request).latency_target);
    }

    /// Mean utilisation that the servers of this node's subset report, if that is what they report.
    pub(super) fn mean_utilisation(&mut self) -> Option<f64> {
        if self.settings.report.first() != Some(&ReportField::Utilization) {
            return None;
        }
        let size = self.subset_size();
        let subset = self.subset(size, |_| true);
        let estimates = || subset.iter().filter_map(|server| server.estimate.get());
        (estimates().count() > 0).then(|| estimates().sum::<f64>() / estimates().count() as f64)
    }
}
