//! Subscriptions: the nodes that are served, what each wants and what it has in force.

use super::delivery::Priority;
use super::{Action, Distributor};
use crate::message::{NodeStatus, ProcessId, Rejection, ToDistributor, ToSubscriber};
use crate::times::MOST_SUBSCRIBERS;
use pearfront_codec::encode;
use std::collections::BTreeSet;

/// A node that has subscribed.
pub(super) struct Subscription {
    pub(super) process: ProcessId,
    pub(super) session: u64,
    pub(super) link: Option<u64>,
    pub(super) services: Vec<String>,
    pub(super) new_services: BTreeSet<String>,
    /// What it has in force, and what is under way.
    pub(super) has: Option<u64>,
    pub(super) sent: Option<u64>,
    /// The last version that concerns it, and the first that it has not in force for certain.
    pub(super) latest: u64,
    pub(super) behind: Option<u64>,
    /// What narrowed is there up to that version, or is under way.
    pub(super) restricted: u64,
    pub(super) restricting: Option<u64>,
    pub(super) refused: Option<(u64, String)>,
    pub(super) heard: f64,
    /// The voters know of it, or it had something before it came here.
    pub(super) known: bool,
    pub(super) queued: Option<(Priority, u64)>,
}

impl Subscription {
    /// The node's line in a report.
    pub(super) fn line(&self) -> NodeStatus {
        let lagging_version = match (self.has, self.sent) {
            (Some(_), _) => self.behind.map(|behind| behind - 1),
            // One that has nothing and can't take what there is decides nothing, and is shown.
            (None, None) if self.refused.is_some() => Some(0),
            (None, sent) => sent,
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
        let Some(name) = self.links.remove(&link) else { return };
        let Some(node) = self.nodes.get_mut(&name).filter(|node| node.link == Some(link)) else { return };
        node.link = None;
        self.counts.lost += 1;
        self.lost.push_back((now + self.times.gone_after_ms, name.clone(), node.session));
        self.upstream.changed.insert(name.clone());
        self.dequeue(&name);
    }

    /// Removes nodes whose link ended long ago: they are another distributor's by now, or gone.
    pub(super) fn forget_lost(&mut self, now: f64) {
        while self.lost.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, name, session)) = self.lost.pop_front() else { return };
            if self.nodes.get(&name).is_some_and(|node| node.session == session && node.link.is_none()) {
                self.remove(&name);
            }
        }
    }

    /// Removes a subscription and all that refers to it.
    fn remove(&mut self, name: &str) {
        self.dequeue(name);
        let Some(node) = self.nodes.remove(name) else { return };
        if let Some(link) = node.link {
            self.links.remove(&link);
        }
        self.drop_interest(name, &node.services);
        self.upstream.changed.insert(name.into());
    }

    /// Removes the node from the subscribers of these services.
    fn drop_interest(&mut self, name: &str, services: &[String]) {
        for service in services {
            let Some(names) = self.interest.get_mut(service) else { continue };
            names.remove(name);
            if names.is_empty() {
                self.interest.remove(service);
            }
        }
    }

    /// A message of the node at that link.
    pub fn receive(&mut self, link: u64, message: ToDistributor, now: f64) {
        if let ToDistributor::Subscribe { installation, process, session, held, services, new_services } =
            message
        {
            self.subscribe(link, (&installation, process, session), held, (services, new_services), now);
        } else if let Some(name) = self.links.get(&link).cloned() {
            self.subscriber_heard(&name, message, now);
        }
        self.send_ready(now);
        self.report_if_due(now);
    }

    /// A node subscribes, possibly anew: it is refused, or takes the place of its former subscription.
    fn subscribe(
        &mut self,
        link: u64,
        (installation, process, session): (&str, ProcessId, u64),
        held: Option<u64>,
        (services, new_services): (Vec<String>, BTreeSet<String>),
        now: f64,
    ) {
        let own = self.version();
        let reason = if installation != self.installation {
            Some(Rejection::WrongInstallation)
        } else if own.is_none() || held > own {
            Some(Rejection::Behind { version: own.unwrap_or_default() })
        } else if self.links.len() >= MOST_SUBSCRIBERS && !self.links.contains_key(&link) {
            Some(Rejection::Full)
        } else {
            None
        };
        if let Some(reason) = reason {
            let bytes = encode(&ToSubscriber::Rejected { session, reason });
            return self.actions.push(Action::Send { link, bytes, urgent: false });
        }
        let name = process.name.clone();
        let before = self.nodes.get(&name).map(|node| (node.link, node.known && node.process == process));
        if let Some((Some(old), _)) = before
            && old != link
        {
            self.links.remove(&old);
            self.actions.push(Action::Close { link: old });
        }
        let known = held.is_some() || before.is_some_and(|(_, known)| known) || self.is_alone(now);
        self.remove(&name);
        self.links.insert(link, name.clone());
        for service in &services {
            self.interest.entry(service.clone()).or_default().insert(name.clone());
        }
        let node = Subscription {
            process,
            session,
            link: Some(link),
            services,
            new_services,
            has: held,
            sent: None,
            latest: 0,
            behind: None,
            restricted: 0,
            restricting: None,
            refused: None,
            heard: now,
            known,
            queued: None,
        };
        self.nodes.insert(name.clone(), node);
        self.beats.push_back((now + self.times.heartbeat_ms, name.clone(), session));
        self.resume(&name);
    }

    /// Sets how far a subscription is behind the catalog, and queues it for what it lacks.
    pub(super) fn resume(&mut self, name: &str) {
        let (Some(catalog), Some(node)) = (&self.catalog, self.nodes.get_mut(name)) else { return };
        node.latest =
            node.services.iter().map(|service| catalog.version_of(service)).max().unwrap_or_default();
        node.behind = match node.has {
            None => Some(1),
            // A service that went may be forgotten by now.
            Some(has) => (node.latest > has || !node.new_services.is_empty() || has < catalog.version())
                .then_some(has + 1),
        };
        self.upstream.changed.insert(name.into());
        self.enqueue(name, false);
    }

    /// A message of a subscriber.
    fn subscriber_heard(&mut self, name: &str, message: ToDistributor, now: f64) {
        let Some(node) = self.nodes.get_mut(name) else { return };
        node.heard = now;
        let current = node.session;
        match message {
            ToDistributor::Acknowledge { session, version } if session == current => {
                self.update_acknowledged(name, version)
            }
            ToDistributor::Refuse { session, version, reason } if session == current => {
                self.update_refused(name, version, reason);
            }
            ToDistributor::AcknowledgeRestrictions { session, version } if session == current => {
                self.restriction_acknowledged(name, version)
            }
            ToDistributor::Leave { session } if session == current => self.remove(name),
            _ => {}
        }
    }

    /// The node could not apply that update: it is not sent again until something newer concerns the node.
    fn update_refused(&mut self, name: &str, version: u64, reason: String) {
        let Some(node) = self.nodes.get_mut(name) else { return };
        if node.sent.take_if(|sent| *sent == version).is_none() {
            return;
        }
        node.refused = Some((version, reason));
        let again = node.latest > version;
        self.upstream.changed.insert(name.into());
        if again {
            self.enqueue(name, false);
        }
    }

    /// The node has those restrictions in force.
    fn restriction_acknowledged(&mut self, name: &str, version: u64) {
        let Some(node) = self.nodes.get_mut(name) else { return };
        if node.restricting.take_if(|sent| *sent == version).is_none() {
            return;
        }
        node.restricted = node.restricted.max(version);
        if self.lacks_restrictions(name) {
            self.enqueue(name, true);
        }
    }

    /// The node has that update in force.
    fn update_acknowledged(&mut self, name: &str, version: u64) {
        let Some(node) = self.nodes.get_mut(name) else { return };
        if node.sent.take_if(|sent| *sent == version).is_none() {
            return;
        }
        node.has = Some(version);
        node.new_services.clear();
        node.refused = None;
        node.behind = (node.latest > version).then_some(version + 1);
        self.upstream.changed.insert(name.into());
        if node.behind.is_some() {
            let narrows = self.lacks_restrictions(name);
            self.enqueue(name, narrows);
        }
    }

    /// Is there a restriction that the node has not acknowledged?
    fn lacks_restrictions(&self, name: &str) -> bool {
        let (Some(catalog), Some(node)) = (&self.catalog, self.nodes.get(name)) else { return false };
        let services = node.services.iter().cloned().collect();
        node.has.is_some_and(|has| !catalog.restrictions(&services, has.max(node.restricted)).is_empty())
    }
}
