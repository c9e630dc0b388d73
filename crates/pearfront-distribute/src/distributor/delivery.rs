//! Delivery to nodes: the rate-limited queue of nodes that are behind, and heartbeats.

use super::{Action, Distributor};
use crate::catalog::Catalog;
use crate::message::{ToSubscriber, Update};
use pearfront_codec::encode;

/// The order in which queued nodes are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Priority {
    Restriction,
    Delta,
    Snapshot,
}

impl Distributor {
    /// Time, ms, until the rate limit admits the first node of the queue.
    pub(super) fn budget_wait(&self) -> f64 {
        let need = match self.send_queue.first() {
            Some((Priority::Snapshot, ..)) => self.times.burst_bytes / 2.0,
            Some((Priority::Delta, ..)) => 1.0,
            _ => return 0.0,
        };
        ((need - self.send_budget) / self.times.bytes_per_s * 1000.0).max(1.0)
    }

    /// Queues a node for what it lacks, or raises its priority.
    pub(super) fn enqueue(&mut self, name: &str, restricts: bool) {
        let (Some(catalog), Some(node)) = (&self.catalog, self.nodes.get_mut(name)) else { return };
        if node.link.is_none() || !node.registered || node.first_missing.is_none() {
            return;
        }
        let restricts = restricts && node.version.is_some();
        if node.in_flight.is_some() && !(restricts && node.restriction_in_flight.is_none()) {
            return;
        }
        let priority = if restricts {
            Priority::Restriction
        } else if catalog.needs_full(&node.services, node.version, &node.new_services) {
            Priority::Snapshot
        } else {
            Priority::Delta
        };
        let queued = node.queued;
        if queued.is_some_and(|(queued, _)| queued <= priority) {
            return;
        }
        self.last_ticket += 1;
        node.queued = Some((priority, self.last_ticket));
        self.send_queue.insert((priority, self.last_ticket, name.into()));
        if let Some((priority, ticket)) = queued {
            self.send_queue.remove(&(priority, ticket, name.into()));
        }
    }

    /// Takes a node out of the queue.
    pub(super) fn dequeue(&mut self, name: &str) {
        let Some(node) = self.nodes.get_mut(name) else { return };
        if let Some((priority, ticket)) = node.queued.take() {
            self.send_queue.remove(&(priority, ticket, name.into()));
        }
    }

    /// Sends from the queue: restrictions always, deltas while any budget is left, snapshots while half the burst is left.
    pub(super) fn send_queued(&mut self, now: f64) {
        let elapsed = (now - self.budget_updated_at).max(0.0);
        self.send_budget =
            (self.send_budget + elapsed * self.times.bytes_per_s / 1000.0).min(self.times.burst_bytes);
        self.budget_updated_at = now;
        while let Some((priority, _, name)) = self.send_queue.first() {
            let may_send = match priority {
                Priority::Restriction => true,
                Priority::Delta => self.send_budget > 0.0,
                Priority::Snapshot => self.send_budget >= self.times.burst_bytes / 2.0,
            };
            if !may_send {
                return;
            }
            let (priority, name) = (*priority, name.clone());
            self.dequeue(&name);
            let idle = self.nodes.get(&name).is_some_and(|node| node.in_flight.is_none());
            if idle && (priority != Priority::Restriction || self.send_budget > 0.0) {
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

    /// Sends a node everything that it lacks, as deltas or full services.
    fn send_update(&mut self, name: &str, now: f64) {
        let age = self.age(now).unwrap_or_default();
        let (Some(catalog), Some(node)) = (&self.catalog, self.nodes.get_mut(name)) else { return };
        let Some(link) = node.link else { return };
        let (from, to, session) = (node.version, catalog.version(), node.session);
        let full = catalog.needs_full(&node.services, from, &node.new_services);
        let services = catalog.updates_for(&node.services, from, &node.new_services);
        node.in_flight = Some(to);
        let message = ToSubscriber::Update { session, update: Update { from, to, services }, age };
        let bytes = self.send_to_node(link, &message, false);
        self.send_budget -= bytes as f64;
        self.counts.updates += 1;
        self.counts.update_bytes += bytes;
        if full {
            self.counts.snapshots += 1;
            self.counts.snapshot_bytes += bytes;
        }
    }

    /// Sends restrictions ahead of an update that has to wait or is in flight.
    fn send_restrictions(&mut self, name: &str) {
        let (Some(catalog), Some(node)) = (&self.catalog, self.nodes.get_mut(name)) else { return };
        let (Some(link), Some(version)) =
            (node.link.filter(|_| node.restriction_in_flight.is_none()), node.version)
        else {
            return;
        };
        let (services, to, session) =
            (node.services.iter().cloned().collect(), catalog.version(), node.session);
        let all = catalog.restrictions(&services, version.max(node.restricted_to));
        if all.is_empty() {
            return;
        }
        node.restriction_in_flight = Some(to);
        let bytes = self.send_to_node(link, &ToSubscriber::Restrict { session, to, all }, true);
        self.send_budget -= bytes as f64;
        self.counts.restrictions += 1;
        self.counts.restriction_bytes += bytes;
    }

    /// Sends heartbeats that are due, and closes links to nodes that have been silent for too long.
    pub(super) fn send_heartbeats(&mut self, now: f64) {
        while self.heartbeat_queue.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, name, session)) = self.heartbeat_queue.pop_front() else { return };
            let Some(node) = self.nodes.get_mut(&name).filter(|node| node.session == session) else {
                continue;
            };
            let Some(link) = node.link else { continue };
            if now - node.last_received >= self.times.close_after_ms {
                self.link_closed(link, now);
                self.actions.push(Action::Close { link });
                continue;
            }
            let own_version = self.catalog.as_ref().map(Catalog::version);
            let up_to_date = node.first_missing.is_none() && node.in_flight.is_none();
            let unchanged = node.version.zip(own_version).filter(|_| up_to_date);
            // A link delivers in order, so the node has that version before anything sent later reaches it.
            node.version = unchanged.map(|(_, to)| to).or(node.version);
            let age = self.age(now).unwrap_or_default();
            let bytes = self.send_to_node(link, &ToSubscriber::Heartbeat { session, unchanged, age }, true);
            self.counts.heartbeats += 1;
            self.counts.heartbeat_bytes += bytes;
            self.heartbeat_queue.push_back((now + self.times.heartbeat_ms, name, session));
        }
    }
}
