//! Load of servers: probes, the reports that they bring, and the load estimate of each server.

use super::Balancer;
use crate::interface::{Address, DecisionWriter, ReportField};
use crate::sliding_window::DEFAULT_SPAN_MS;
use crate::state::{Request, Server};
use rand::prelude::Rng;
use std::rc::Rc;

/// The paper's share of evenly drawn probes: servers under load must be seen again too.
const EVEN_PROBE_SHARE: f64 = 0.5;
/// Lowest estimate, as a share of the mean estimate (from the design page).
const ESTIMATE_FLOOR: f64 = 0.2;
/// Least mean that the step for an own attempt is taken of: a tenth of a core or of a waiting request.
const STEP_MIN: f64 = 0.1;
/// Probes per second at the least: an idle node sees all its servers within a minute.
const PROBE_RATE_MIN: f64 = 0.2;
/// Points that a tier's probes may cost; with the price of a probe this gives probes per request.
const PROBE_SPEND: f64 = 0.002;
/// Probes per request at the most, where they cost almost nothing.
const PROBES_PER_REQUEST_MAX: f64 = 0.3;
/// Share of the latency target that a draw waits for answers to its probes.
pub(super) const PROBE_WAIT_SHARE: f64 = 0.05;
/// Longest time that reports lag behind where nothing is wrong with them.
const REPORT_LAG_MS: f64 = 1000.0;
/// Time for which reports of being idle are ignored of a server that was proven not to be.
const DISTRUST_MS: f64 = 20_000.0;
/// Least estimate, in requests, of a loaded server that sends no report.
const UNREPORTED_LOAD_MIN: f64 = 1.0;
/// Requests that the first connection to a server counts as.
const NEW_CONNECTION_LOAD: f64 = 1.0;
/// Requests outstanding below which a server always gets another one.
pub(super) const IDLE_REQUESTS: f64 = 0.5;
/// Share by which each point of the cross-zone price raises the estimate of a server in another zone.
const ZONE_MARGIN: f64 = 26.0;

impl Balancer {
    /// Takes in the answer to a probe: the server's load report, and the round trip in ms.
    pub fn probe_answered(&mut self, address: Address, succeeded: bool, report: &[f64], round_trip: f64) {
        let Some(server) = self.servers.get(&address).cloned() else { return };
        server.probe_answered_at.set(self.now);
        let highest =
            || self.ready_servers.iter().filter_map(|server| server.reported_load.get()).fold(0.0, f64::max);
        let reported = self.load_from_report(report);
        // It reports that it holds nothing although it has held a request of this node for longer than reports may
        // lag.
        let claims_idle = succeeded
            && self.settings.report.contains(&ReportField::Outstanding)
            && reported.is_some_and(|load| load < IDLE_REQUESTS);
        if claims_idle && server.in_flight.get() > 0 && self.now - server.busy_since.get() > REPORT_LAG_MS {
            server.distrust_idle_until.set(self.now + DISTRUST_MS);
        }
        server.reported_load.set(match reported {
            _ if !succeeded => Some(highest()),
            // A report known to be false counts as none.
            Some(_) if claims_idle && self.now < server.distrust_idle_until.get() => None,
            Some(estimate) => Some(estimate),
            None if self.settings.report.is_empty() => Some(round_trip),
            // A cold server has nothing to report yet. A warm one is too busy to report, and must not attract traffic
            // by that.
            None => (self.capacity_share(&server) >= 1.0).then(|| highest().max(UNREPORTED_LOAD_MIN)),
        });
    }

    /// The load in a report, by the most informative field that it has.
    fn load_from_report(&self, report: &[f64]) -> Option<f64> {
        [ReportField::Outstanding, ReportField::Utilization, ReportField::Backlog].iter().find_map(|wanted| {
            let index = self.settings.report.iter().position(|field| field == wanted)?;
            report.get(index).copied()
        })
    }

    /// Load estimates of these servers: the report, or the mean of the others', and a step for each own attempt that
    /// is out.
    pub(super) fn estimates(&self, servers: &[Rc<Server>]) -> Vec<f64> {
        let reported_loads = || servers.iter().filter_map(|server| server.reported_load.get());
        let mean = reported_loads().sum::<f64>() / (reported_loads().count() as f64).max(1.0);
        let step = mean.max(STEP_MIN);
        let reports_outstanding = self.settings.report.contains(&ReportField::Outstanding);
        let estimate_of = |server: &Rc<Server>| {
            let (report, in_flight) =
                (server.reported_load.get().unwrap_or(mean), f64::from(server.in_flight.get()));
            if reports_outstanding {
                // Requests outstanding are absolute numbers: this node's own are among them, and a cold or small
                // server can take fewer.
                let connection_load =
                    if server.last_served_at.get() > 0.0 { 0.0 } else { NEW_CONNECTION_LOAD };
                (report.max(in_flight) + connection_load + 1.0) * server.slowness.get()
                    / (server.entry.get().weight * self.capacity_share(server))
            } else {
                report + step * server.slowness.get() * (in_flight + 1.0)
            }
        };
        let mut estimates: Vec<f64> = servers.iter().map(estimate_of).collect();
        let floor = ESTIMATE_FLOOR * estimates.iter().sum::<f64>() / (estimates.len() as f64).max(1.0);
        // Sending to another zone has a price: its servers count as busier than the own zone's by a margin that grows
        // with it.
        let margin = 1.0 + ZONE_MARGIN * self.settings.cross_zone_price;
        for (estimate, server) in estimates.iter_mut().zip(servers) {
            let other_zone = server.entry.get().zone != self.settings.zone;
            *estimate = estimate.max(floor) * if other_zone { margin } else { 1.0 };
        }
        estimates
    }

    /// Sends the probe that is due by the Poisson timer, and draws the time of the next one.
    pub(super) fn probe_on_timer(&mut self, out: &mut impl DecisionWriter) {
        if self.now < self.next_probe_at {
            return;
        }
        if self.next_probe_at > 0.0 && !self.ready_servers.is_empty() {
            let size = self.subset_size();
            let subset = self.subset(size, |_| true);
            let target = self.probe_target(&subset);
            subset[target].probed_at.set(self.now);
            out.probe(subset[target].entry.get().address);
        }
        let probes_per_request =
            (PROBE_SPEND / self.settings.probe_price.max(1e-9)).min(PROBES_PER_REQUEST_MAX);
        let rate = (self.first_attempts.total(self.now).0 / DEFAULT_SPAN_MS * 1000.0 * probes_per_request)
            .max(PROBE_RATE_MIN);
        self.next_probe_at = self.now - (1.0 - self.rng.0.random::<f64>()).ln() / rate * 1000.0;
    }

    /// The server that a probe goes to: evenly drawn, or the one of the lowest estimate.
    fn probe_target(&mut self, servers: &[Rc<Server>]) -> usize {
        if self.rng.0.random::<f64>() < EVEN_PROBE_SHARE {
            return self.rng.0.random_range(0..servers.len());
        }
        let estimates = self.estimates(servers);
        (0..estimates.len()).min_by(|a, b| estimates[*a].total_cmp(&estimates[*b])).unwrap_or(0)
    }

    /// Probes servers that the request may be sent to, chosen as in the paper: evenly drawn, or of the lowest
    /// estimate.
    pub(super) fn probe_candidates(&mut self, request: &Rc<Request>, out: &mut impl DecisionWriter) {
        let mut candidates = self.candidates(request, &None, |_, _| true);
        for _ in 0..self.probes_per_draw.min(candidates.len()) {
            let target = self.probe_target(&candidates);
            let server = candidates.swap_remove(target);
            if server.probed_at.replace(self.now) < self.now {
                out.probe(server.entry.get().address);
            }
        }
        request.probed_at.set(self.now);
        request.cold_lottery.set(self.rng.0.random());
        self.review_at(request, self.now + PROBE_WAIT_SHARE * self.profile(request).latency_target);
    }

    /// Mean utilization that the servers of this node's subset report, if that is what they report.
    pub(super) fn mean_utilization(&mut self) -> Option<f64> {
        if self.settings.report.first() != Some(&ReportField::Utilization) {
            return None;
        }
        let size = self.subset_size();
        let subset = self.subset(size, |_| true);
        let estimates = || subset.iter().filter_map(|server| server.reported_load.get());
        (estimates().count() > 0).then(|| estimates().sum::<f64>() / estimates().count() as f64)
    }
}
