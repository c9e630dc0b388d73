//! Delivery to nodes: the queue of those that are behind, rate limited, and beats.

use super::{Action, Distributor};
use crate::catalog::Catalog;
use crate::message::{ToSubscriber, Update};
use pearfront_codec::encode;

/// The order in which queued nodes are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Priority {
    Narrows,
    Delta,
    Snapshot,
}

impl Distributor {
    /// How long, ms, until the first of those queued may go.
    pub(super) fn wait_for_room(&self) -> f64 {
        let need = match self.ready.first() {
            Some((Priority::Snapshot, ..)) => self.times.burst_bytes / 2.0,
            Some((Priority::Delta, ..)) => 1.0,
            _ => return 0.0,
        };
        ((need - self.room) / self.times.bytes_per_s * 1000.0).max(1.0)
    }

    /// Queues a node for what it lacks, or moves it ahead where that has become more urgent.
    pub(super) fn enqueue(&mut self, name: &str, narrows: bool) {
        let (Some(catalog), Some(node)) = (&self.catalog, self.nodes.get_mut(name)) else { return };
        if node.link.is_none() || !node.known || node.behind.is_none() {
            return;
        }
        let narrows = narrows && node.has.is_some();
        if node.sent.is_some() && !(narrows && node.restricting.is_none()) {
            return;
        }
        let priority = if narrows {
            Priority::Narrows
        } else if catalog.needs_full(&node.services, node.has, &node.new_services) {
            Priority::Snapshot
        } else {
            Priority::Delta
        };
        let old = node.queued;
        if old.is_some_and(|(old, _)| old <= priority) {
            return;
        }
        self.ticket += 1;
        node.queued = Some((priority, self.ticket));
        self.ready.insert((priority, self.ticket, name.into()));
        if let Some((priority, ticket)) = old {
            self.ready.remove(&(priority, ticket, name.into()));
        }
    }

    /// Takes a node out of the queue.
    pub(super) fn dequeue(&mut self, name: &str) {
        let Some(node) = self.nodes.get_mut(name) else { return };
        if let Some((priority, ticket)) = node.queued.take() {
            self.ready.remove(&(priority, ticket, name.into()));
        }
    }

    /// Sends what is due: restrictions always, deltas while the rate allows, snapshots with room to spare.
    pub(super) fn send_ready(&mut self, now: f64) {
        let passed = (now - self.filled).max(0.0);
        self.room = (self.room + passed * self.times.bytes_per_s / 1000.0).min(self.times.burst_bytes);
        self.filled = now;
        while let Some((priority, _, name)) = self.ready.first() {
            let may = match priority {
                Priority::Narrows => true,
                Priority::Delta => self.room > 0.0,
                Priority::Snapshot => self.room >= self.times.burst_bytes / 2.0,
            };
            if !may {
                return;
            }
            let (priority, name) = (*priority, name.clone());
            self.dequeue(&name);
            let free = self.nodes.get(&name).is_some_and(|node| node.sent.is_none());
            if free && (priority != Priority::Narrows || self.room > 0.0) {
                self.send_update(&name, now);
            } else {
                self.send_restrictions(&name);
                self.enqueue(&name, false);
            }
        }
    }

    /// Sends a message to a node and returns its length.
    fn send_to_node(&mut self, link: u64, message: &ToSubscriber, urgent: bool) -> u64 {
        let bytes = encode(message);
        let length = bytes.len();
        self.actions.push(Action::Send { link, bytes, urgent });
        length as u64
    }

    /// Sends a node all that it lacks, as a delta or with whole services.
    fn send_update(&mut self, name: &str, now: f64) {
        let age = self.age(now).unwrap_or_default();
        let (Some(catalog), Some(node)) = (&self.catalog, self.nodes.get_mut(name)) else { return };
        let Some(link) = node.link else { return };
        let (from, to, session) = (node.has, catalog.version(), node.session);
        let whole = catalog.needs_full(&node.services, from, &node.new_services);
        let services = catalog.updates_for(&node.services, from, &node.new_services);
        node.sent = Some(to);
        let message = ToSubscriber::Update { session, update: Update { from, to, services }, age };
        let bytes = self.send_to_node(link, &message, false);
        self.room -= bytes as f64;
        self.counts.updates += 1;
        self.counts.update_bytes += bytes;
        if whole {
            self.counts.snapshots += 1;
            self.counts.snapshot_bytes += bytes;
        }
    }

    /// Sends restrictions ahead of an update that has to wait, or is under way.
    fn send_restrictions(&mut self, name: &str) {
        let (Some(catalog), Some(node)) = (&self.catalog, self.nodes.get_mut(name)) else { return };
        let (Some(link), Some(has)) = (node.link.filter(|_| node.restricting.is_none()), node.has) else {
            return;
        };
        let (services, to, session) =
            (node.services.iter().cloned().collect(), catalog.version(), node.session);
        let all = catalog.restrictions(&services, has.max(node.restricted));
        if all.is_empty() {
            return;
        }
        node.restricting = Some(to);
        let bytes = self.send_to_node(link, &ToSubscriber::Restrict { session, to, all }, true);
        self.room -= bytes as f64;
        self.counts.restricts += 1;
        self.counts.restrict_bytes += bytes;
    }

    /// Sends the beats that are due, and gives up nodes that were silent for too long.
    pub(super) fn send_beats(&mut self, now: f64) {
        while self.beats.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, name, session)) = self.beats.pop_front() else { return };
            let Some(node) = self.nodes.get_mut(&name).filter(|node| node.session == session) else {
                continue;
            };
            let Some(link) = node.link else { continue };
            if now - node.heard >= self.times.close_after_ms {
                self.link_closed(link, now);
                self.actions.push(Action::Close { link });
                continue;
            }
            let own = self.catalog.as_ref().map(Catalog::version);
            let even = node.behind.is_none() && node.sent.is_none();
            let unchanged = node.has.zip(own).filter(|_| even);
            // What is sent after it comes after it.
            node.has = unchanged.map(|(_, to)| to).or(node.has);
            let age = self.age(now).unwrap_or_default();
            let bytes = self.send_to_node(link, &ToSubscriber::Heartbeat { session, unchanged, age }, true);
            self.counts.beats += 1;
            self.counts.beat_bytes += bytes;
            self.beats.push_back((now + self.times.heartbeat_ms, name, session));
        }
    }
}
