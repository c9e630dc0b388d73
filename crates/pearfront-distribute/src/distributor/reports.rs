//! Reports to the voters: which nodes subscribe here, and how far each lags.

use super::Distributor;
use super::subscriptions::Subscription;
use crate::message::{Report, ToVoter};

impl Distributor {
    /// Can a report be sent: is there a catalog, a link to a voter, and no report in flight?
    pub(super) fn can_report(&self) -> bool {
        self.catalog.is_some()
            && self.upstream.connector.current_link().is_some()
            && self.upstream.report_sent_at.is_none()
    }

    /// When the next report is due: after `report_interval_ms` if something changed, else in place of a heartbeat.
    pub(super) fn report_at(&self) -> f64 {
        let (at, version) = self.upstream.last_report;
        let up_to_date = self.upstream.changed_nodes.is_empty() && version == self.version();
        at + if up_to_date { self.times.heartbeat_ms } else { self.times.report_interval_ms }
    }

    /// Sends a report if one is due: changes since the last accepted one, or everything.
    pub(super) fn report_if_due(&mut self, now: f64) {
        if !self.can_report() || now < self.report_at() {
            return;
        }
        let upstream = &mut self.upstream;
        let changed_nodes = std::mem::take(&mut upstream.changed_nodes);
        // Without an accepted report to build on, everything is sent, including what an unanswered report contained.
        let names: Vec<String> = match upstream.accepted_report {
            Some(_) => changed_nodes.iter().cloned().collect(),
            None => self.nodes.keys().cloned().collect(),
        };
        let status = |name: String| {
            let status = self.nodes.get(&name).map(Subscription::status);
            (name, status)
        };
        let nodes = names.into_iter().map(status).collect();
        upstream.reported_nodes = changed_nodes;
        upstream.report_number += 1;
        upstream.report_sent_at = Some(now);
        self.counts.reports += 1;
        let (number, base, heartbeat_echo) =
            (upstream.report_number, upstream.accepted_report, upstream.heartbeat_echo);
        let version = self.version().unwrap_or_default();
        self.upstream.last_report = (now, Some(version));
        self.send_voter(ToVoter::Report(Report { number, base, heartbeat_echo, version, nodes }));
    }

    /// The last report was accepted: its nodes are registered with the voters and may be served.
    pub(super) fn report_accepted(&mut self) {
        let upstream = &mut self.upstream;
        let Some(sent) = upstream.report_sent_at.take() else { return };
        let was_full = upstream.accepted_report.is_none();
        upstream.accepted_report = Some(upstream.report_number);
        upstream.last_accepted_sent_at = upstream.last_accepted_sent_at.max(sent);
        upstream.registered = true;
        let reported = std::mem::take(&mut upstream.reported_nodes);
        let names: Vec<String> =
            if was_full { self.nodes.keys().cloned().collect() } else { reported.into_iter().collect() };
        for name in names {
            let Some(node) = self.nodes.get_mut(&name).filter(|node| !node.registered) else { continue };
            // The node subscribed, possibly again, after that report was sent: the next one registers it.
            if self.upstream.changed_nodes.contains(&name) {
                continue;
            }
            node.registered = true;
            self.enqueue(&name, false);
        }
    }

    /// Has no report been accepted for so long that it has to count as cut off from the voters?
    pub(super) fn is_isolated(&self, now: f64) -> bool {
        self.upstream.registered && now - self.upstream.last_accepted_sent_at >= self.times.isolated_after_ms
    }

    /// While cut off from the voters, serves nodes that can't be registered with them.
    pub(super) fn serve_unregistered(&mut self, now: f64) {
        if !self.is_isolated(now) {
            return;
        }
        let is_waiting = |node: &Subscription| !node.registered && node.link.is_some();
        let names: Vec<String> =
            self.nodes.iter().filter(|(_, node)| is_waiting(node)).map(|(name, _)| name.clone()).collect();
        for name in names {
            if let Some(node) = self.nodes.get_mut(&name) {
                node.registered = true;
            }
            self.enqueue(&name, false);
        }
    }
}
