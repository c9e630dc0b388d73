//! Reports to the voters: which nodes are here, and how far each lags.

use super::Distributor;
use super::subscriptions::Subscription;
use crate::message::{Report, ToVoter};

impl Distributor {
    /// Can a report be sent: is there a catalog, a link to a voter, and no report under way?
    pub(super) fn has_to_report(&self) -> bool {
        self.catalog.is_some() && self.upstream.dial.link().is_some() && self.upstream.under_way.is_none()
    }

    /// When the next report is due: soon where there is something to tell, else as a beat.
    pub(super) fn report_at(&self) -> f64 {
        let (at, version) = self.upstream.said;
        let even = self.upstream.changed.is_empty() && version == self.version();
        at + if even { self.times.heartbeat_ms } else { self.times.report_interval_ms }
    }

    /// Sends the report that is due: what changed since the last acknowledged one, or all.
    pub(super) fn report_if_due(&mut self, now: f64) {
        if !self.has_to_report() || now < self.report_at() {
            return;
        }
        let upstream = &mut self.upstream;
        let changed = std::mem::take(&mut upstream.changed);
        // What was under way and was not answered is told again, with all the rest.
        let names: Vec<String> = match upstream.taken {
            Some(_) => changed.iter().cloned().collect(),
            None => self.nodes.keys().cloned().collect(),
        };
        let line = |name: String| {
            let line = self.nodes.get(&name).map(Subscription::line);
            (name, line)
        };
        let nodes = names.into_iter().map(line).collect();
        upstream.telling = changed;
        upstream.number += 1;
        upstream.under_way = Some(now);
        self.counts.reports += 1;
        let (number, base, heartbeat_echo) = (upstream.number, upstream.taken, upstream.heartbeat_echo);
        let version = self.version().unwrap_or_default();
        self.upstream.said = (now, Some(version));
        self.send_voter(ToVoter::Report(Report { number, base, heartbeat_echo, version, nodes }));
    }

    /// The last report was acknowledged: the nodes in it are known to the voters and may be served.
    pub(super) fn report_acknowledged(&mut self) {
        let upstream = &mut self.upstream;
        let Some(sent) = upstream.under_way.take() else { return };
        let all = upstream.taken.is_none();
        upstream.taken = Some(upstream.number);
        upstream.answered = upstream.answered.max(sent);
        upstream.registered = true;
        let told = std::mem::take(&mut upstream.telling);
        let names: Vec<String> =
            if all { self.nodes.keys().cloned().collect() } else { told.into_iter().collect() };
        for name in names {
            let Some(node) = self.nodes.get_mut(&name).filter(|node| !node.known) else { continue };
            // It came, or came anew, since that was sent.
            if self.upstream.changed.contains(&name) {
                continue;
            }
            node.known = true;
            self.enqueue(&name, false);
        }
    }

    /// Has it had no acknowledgement for so long that the voters hold it for cut off?
    pub(super) fn is_alone(&self, now: f64) -> bool {
        self.upstream.registered && now - self.upstream.answered >= self.times.isolated_after_ms
    }

    /// Serves nodes that the voters can't be told of while it is cut off from them.
    pub(super) fn serve_alone(&mut self, now: f64) {
        if !self.is_alone(now) {
            return;
        }
        let waits = |node: &Subscription| !node.known && node.link.is_some();
        let names: Vec<String> =
            self.nodes.iter().filter(|(_, node)| waits(node)).map(|(name, _)| name.clone()).collect();
        for name in names {
            if let Some(node) = self.nodes.get_mut(&name) {
                node.known = true;
            }
            self.enqueue(&name, false);
        }
    }
}
