//! Subscriptions: the nodes that are served, the services of each, and the version it has in force.

use super::delivery::Priority;
use super::{Action, Distributor};
use crate::message::{NodeStatus, ProcessId, Rejection, ToDistributor, ToSubscriber};
use crate::times::MAX_SUBSCRIBERS;
use pearfront_codec::encode;
use std::collections::BTreeSet;

/// A subscribed node.
pub(super) struct Subscription {
    pub(super) process: ProcessId,
    pub(super) session: u64,
    pub(super) link: Option<u64>,
    pub(super) services: Vec<String>,
    pub(super) new_services: BTreeSet<String>,
    /// The version that it has in force.
    pub(super) version: Option<u64>,
    /// The version of the update that is in flight.
    pub(super) in_flight: Option<u64>,
    /// The last version that changed one of its services.
    pub(super) newest_relevant: u64,
    /// The first version that is not known to be in force there.
    pub(super) first_missing: Option<u64>,
    /// The version up to which it has acknowledged restrictions.
    pub(super) restricted_to: u64,
    /// The version up to which restrictions are in flight.
    pub(super) restriction_in_flight: Option<u64>,
    pub(super) refused: Option<(u64, String)>,
    pub(super) last_received: f64,
    /// May it be served: do the voters know of it, or did it hold a version before it came here?
    pub(super) registered: bool,
    pub(super) queued: Option<(Priority, u64)>,
}

impl Subscription {
    /// The node's status for a report.
    pub(super) fn status(&self) -> NodeStatus {
        let lagging_version = match (self.version, self.in_flight) {
            (Some(_), _) => self.first_missing.map(|first_missing| first_missing - 1),
            // A node without any version that rejected the first one makes no decisions; it is reported to be seen.
            (None, None) if self.refused.is_some() => Some(0),
            (None, in_flight) => in_flight,
        };
        let refused = self.refused.clone();
        NodeStatus {
            incarnation: self.process.incarnation,
            session: self.session,
            lagging_version,
            refused,
            linked: self.link.is_some(),
        }
    }
}

impl Distributor {
    /// The link to a node has ended.
    pub fn link_closed(&mut self, link: u64, now: f64) {
        let Some(name) = self.node_by_link.remove(&link) else { return };
        let Some(node) = self.nodes.get_mut(&name).filter(|node| node.link == Some(link)) else { return };
        node.link = None;
        self.counts.nodes_lost += 1;
        self.lost_nodes.push_back((now + self.times.gone_after_ms, name.clone(), node.session));
        self.upstream.changed_nodes.insert(name.clone());
        self.dequeue(&name);
    }

    /// Removes nodes whose link ended `gone_after_ms` ago: they are with another distributor by now, or gone.
    pub(super) fn remove_lost_nodes(&mut self, now: f64) {
        while self.lost_nodes.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, name, session)) = self.lost_nodes.pop_front() else { return };
            if self.nodes.get(&name).is_some_and(|node| node.session == session && node.link.is_none()) {
                self.remove(&name);
            }
        }
    }

    /// Removes a subscription and everything that refers to it.
    fn remove(&mut self, name: &str) {
        self.dequeue(name);
        let Some(node) = self.nodes.remove(name) else { return };
        if let Some(link) = node.link {
            self.node_by_link.remove(&link);
        }
        self.unsubscribe(name, &node.services);
        self.upstream.changed_nodes.insert(name.into());
    }

    /// Removes the node from the subscribers of these services.
    fn unsubscribe(&mut self, name: &str, services: &[String]) {
        for service in services {
            let Some(names) = self.subscribers.get_mut(service) else { continue };
            names.remove(name);
            if names.is_empty() {
                self.subscribers.remove(service);
            }
        }
    }

    /// Handles a message of the node at that link.
    pub fn receive(&mut self, link: u64, message: ToDistributor, now: f64) {
        if let ToDistributor::Subscribe { installation, process, session, held, services, new_services } =
            message
        {
            self.subscribe(link, (&installation, process, session), held, (services, new_services), now);
        } else if let Some(name) = self.node_by_link.get(&link).cloned() {
            self.receive_from_subscriber(&name, message, now);
        }
        self.send_queued(now);
        self.report_if_due(now);
    }

    /// A node subscribes, possibly again: it is rejected, or replaces its former subscription.
    fn subscribe(
        &mut self,
        link: u64,
        (installation, process, session): (&str, ProcessId, u64),
        held: Option<u64>,
        (services, new_services): (Vec<String>, BTreeSet<String>),
        now: f64,
    ) {
        let own_version = self.version();
        let reason = if installation != self.installation {
            Some(Rejection::WrongInstallation)
        } else if own_version.is_none() || held > own_version {
            Some(Rejection::Behind { version: own_version.unwrap_or_default() })
        } else if self.node_by_link.len() >= MAX_SUBSCRIBERS && !self.node_by_link.contains_key(&link) {
            Some(Rejection::Full)
        } else {
            None
        };
        if let Some(reason) = reason {
            let bytes = encode(&ToSubscriber::Rejected { session, reason });
            return self.actions.push(Action::Send { link, bytes, urgent: false });
        }
        let name = process.name.clone();
        let before =
            self.nodes.get(&name).map(|node| (node.link, node.registered && node.process == process));
        if let Some((Some(old), _)) = before
            && old != link
        {
            self.node_by_link.remove(&old);
            self.actions.push(Action::Close { link: old });
        }
        let registered =
            held.is_some() || before.is_some_and(|(_, registered)| registered) || self.is_isolated(now);
        self.remove(&name);
        self.node_by_link.insert(link, name.clone());
        for service in &services {
            self.subscribers.entry(service.clone()).or_default().insert(name.clone());
        }
        let node = Subscription {
            process,
            session,
            link: Some(link),
            services,
            new_services,
            version: held,
            in_flight: None,
            newest_relevant: 0,
            first_missing: None,
            restricted_to: 0,
            restriction_in_flight: None,
            refused: None,
            last_received: now,
            registered,
            queued: None,
        };
        self.nodes.insert(name.clone(), node);
        self.heartbeat_queue.push_back((now + self.times.heartbeat_ms, name.clone(), session));
        self.resync(&name);
    }

    /// Recomputes how far a subscription is behind the catalog, and queues it for what it lacks.
    pub(super) fn resync(&mut self, name: &str) {
        let (Some(catalog), Some(node)) = (&self.catalog, self.nodes.get_mut(name)) else { return };
        node.newest_relevant =
            node.services.iter().map(|service| catalog.version_of(service)).max().unwrap_or_default();
        node.first_missing = match node.version {
            None => Some(1),
            // The removal of a service may be forgotten by now, so an older version always needs an update.
            Some(version) => (node.newest_relevant > version
                || !node.new_services.is_empty()
                || version < catalog.version())
            .then_some(version + 1),
        };
        self.upstream.changed_nodes.insert(name.into());
        self.enqueue(name, false);
    }

    /// Handles a message of a known subscriber; messages of another session are ignored.
    fn receive_from_subscriber(&mut self, name: &str, message: ToDistributor, now: f64) {
        let Some(node) = self.nodes.get_mut(name) else { return };
        node.last_received = now;
        let current_session = node.session;
        match message {
            ToDistributor::Acknowledge { session, version } if session == current_session => {
                self.update_acknowledged(name, version)
            }
            ToDistributor::Refuse { session, version, reason } if session == current_session => {
                self.update_refused(name, version, reason);
            }
            ToDistributor::AcknowledgeRestrictions { session, version } if session == current_session => {
                self.restriction_acknowledged(name, version)
            }
            ToDistributor::Leave { session } if session == current_session => self.remove(name),
            _ => {}
        }
    }

    /// The node rejected that update: it is not sent again until one of its services changes.
    fn update_refused(&mut self, name: &str, version: u64, reason: String) {
        let Some(node) = self.nodes.get_mut(name) else { return };
        if node.in_flight.take_if(|in_flight| *in_flight == version).is_none() {
            return;
        }
        node.refused = Some((version, reason));
        let newer_exists = node.newest_relevant > version;
        self.upstream.changed_nodes.insert(name.into());
        if newer_exists {
            self.enqueue(name, false);
        }
    }

    /// The node has those restrictions in force.
    fn restriction_acknowledged(&mut self, name: &str, version: u64) {
        let Some(node) = self.nodes.get_mut(name) else { return };
        if node.restriction_in_flight.take_if(|in_flight| *in_flight == version).is_none() {
            return;
        }
        node.restricted_to = node.restricted_to.max(version);
        if self.lacks_restrictions(name) {
            self.enqueue(name, true);
        }
    }

    /// The node has that update in force.
    fn update_acknowledged(&mut self, name: &str, version: u64) {
        let Some(node) = self.nodes.get_mut(name) else { return };
        if node.in_flight.take_if(|in_flight| *in_flight == version).is_none() {
            return;
        }
        node.version = Some(version);
        node.new_services.clear();
        node.refused = None;
        node.first_missing = (node.newest_relevant > version).then_some(version + 1);
        self.upstream.changed_nodes.insert(name.into());
        if node.first_missing.is_some() {
            let restricts = self.lacks_restrictions(name);
            self.enqueue(name, restricts);
        }
    }

    /// Is there a restriction that the node has not acknowledged?
    fn lacks_restrictions(&self, name: &str) -> bool {
        let (Some(catalog), Some(node)) = (&self.catalog, self.nodes.get(name)) else { return false };
        let services = node.services.iter().cloned().collect();
        node.version.is_some_and(|version| {
            !catalog.restrictions(&services, version.max(node.restricted_to)).is_empty()
        })
    }
}
