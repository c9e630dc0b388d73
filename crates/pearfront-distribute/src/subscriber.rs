//! A node's side: the configuration in force, the distributor it comes from, and its age. A received update stays pending
//! until the node calls `apply_pending` between two rounds of its decisions; it then takes effect as a whole or not at all.

use crate::connector::{Connector, ConnectorAction, Peer, rank_peers};
use crate::message::{ProcessId, Rejection, ToDistributor, ToSubscriber, Update};
use crate::service::{Restriction, RestrictionKind, ServerState, Service, ServiceUpdate};
use crate::times::{MAX_REASON_BYTES, Times};
use std::collections::{BTreeMap, BTreeSet};

/// What the owner of the subscriber has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Open a link to that distributor; it delivers messages in order.
    Open {
        link: u64,
        to: String,
    },
    Send {
        link: u64,
        message: ToDistributor,
    },
    Close {
        link: u64,
    },
}

/// One version of all subscribed services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    pub version: u64,
    pub services: BTreeMap<String, Service>,
}

/// The configuration that a received update makes, not yet in force.
struct PendingUpdate {
    config: Config,
    /// The age that came with the update, and when it came.
    reported_age: (f64, f64),
}

/// A subscriber's state; messages and the time come in, `Action`s go out.
pub struct Subscriber {
    installation: String,
    own_id: ProcessId,
    times: Times,
    connector: Connector,
    session: u64,
    subscribed: Vec<String>,
    /// Subscribed services of which nothing is held yet.
    new_services: BTreeSet<String>,
    current: Option<Config>,
    pending: Option<PendingUpdate>,
    /// Restrictions ahead of the current version, and the version up to which they go.
    early_restrictions: Option<(u64, Vec<Restriction>)>,
    /// The last age that came, and when: that long before, the current version was known to be the newest.
    reported_age: Option<(f64, f64)>,
    /// Why the last distributor refused to serve this node; cleared once one serves it.
    pub last_rejection: Option<Rejection>,
    left: bool,
    actions: Vec<Action>,
}

impl Subscriber {
    /// A subscriber that holds nothing yet; it prefers the distributors nearest to its zone and region.
    pub fn new(
        installation: &str,
        own_id: ProcessId,
        (zone, region): (&str, &str),
        distributors: &[Peer],
        subscribed: Vec<String>,
        times: Times,
        (seed, now): (u64, f64),
    ) -> Self {
        let peers =
            rank_peers(&own_id.name, zone, region, distributors).into_iter().map(|peer| peer.name.clone());
        let connector = Connector::new(peers.collect(), times, seed, now);
        Self {
            installation: installation.into(),
            own_id,
            times,
            connector,
            session: 0,
            new_services: subscribed.iter().cloned().collect(),
            subscribed,
            current: None,
            pending: None,
            early_restrictions: None,
            reported_age: None,
            last_rejection: None,
            left: false,
            actions: Vec::new(),
        }
    }

    /// Actions since the last call, to be done in this order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    // ---- state ----

    /// The version in force; `restrictions` apply on top of it.
    pub fn config(&self) -> Option<&Config> {
        self.current.as_ref()
    }

    /// Restrictions that are in force ahead of the next version.
    pub fn restrictions(&self) -> &[Restriction] {
        self.early_restrictions.as_ref().map_or(&[], |(_, all)| all)
    }

    /// A service as it is to be used now: the version in force with the restrictions applied.
    pub fn service(&self, name: &str) -> Option<Service> {
        let mut service = self.current.as_ref()?.services.get(name)?.clone();
        for restriction in self.restrictions().iter().filter(|restriction| restriction.service == name) {
            apply_restriction(&mut service, restriction);
        }
        Some(service)
    }

    /// Time, ms, since the current version was known to be the newest; none if there was none yet.
    pub fn age(&self, now: f64) -> Option<f64> {
        self.reported_age.map(|(age, at)| age + now - at)
    }

    /// Has the version in force gone unconfirmed for so long that the node has to treat it as stale?
    pub fn is_stale(&self, now: f64) -> bool {
        self.age(now).is_none_or(|age| age >= self.times.stale_after_ms)
    }

    /// The distributor it is linked to, unless the link is suspect.
    pub fn current_distributor(&self, now: f64) -> Option<&str> {
        self.connector.current_link().filter(|_| !self.connector.is_suspect(now)).map(|(_, to)| to)
    }

    /// Number of the current subscription.
    pub fn session(&self) -> u64 {
        self.session
    }

    /// Is there an update for `apply_pending`?
    pub fn has_pending_update(&self) -> bool {
        self.pending.is_some()
    }

    /// When `tick` has to be called at the latest, ms.
    pub fn due(&self) -> f64 {
        if self.left { f64::INFINITY } else { self.connector.due() }
    }

    // ---- input ----

    /// Opens, probes or closes the link as the time requires.
    pub fn tick(&mut self, now: f64) {
        if self.left {
            return;
        }
        for action in self.connector.tick(now) {
            match action {
                ConnectorAction::Open { link, to } => {
                    self.actions.push(Action::Open { link, to });
                    self.subscribe();
                }
                ConnectorAction::Close { link } => self.actions.push(Action::Close { link }),
                ConnectorAction::Heartbeat => {
                    let session = self.session;
                    self.send(ToDistributor::Heartbeat { session });
                }
            }
        }
    }

    /// A link could not be opened, or has ended.
    pub fn link_closed(&mut self, link: u64, now: f64) {
        self.connector.drop_link(link, true, now);
    }

    /// Replaces the subscribed services.
    pub fn set_services(&mut self, subscribed: Vec<String>) {
        let previous: BTreeSet<String> = self.subscribed.drain(..).collect();
        self.new_services.retain(|name| subscribed.contains(name));
        self.new_services.extend(subscribed.iter().filter(|name| !previous.contains(*name)).cloned());
        if let Some(current) = &mut self.current {
            current.services.retain(|name, _| subscribed.contains(name));
        }
        self.subscribed = subscribed;
        self.subscribe();
    }

    /// The node shuts down.
    pub fn leave(&mut self) {
        let session = self.session;
        self.send(ToDistributor::Leave { session });
        self.left = true;
    }

    /// Begins a new session with what is subscribed and held. Messages of the last session are void.
    fn subscribe(&mut self) {
        self.session += 1;
        self.pending = None;
        let message = ToDistributor::Subscribe {
            installation: self.installation.clone(),
            process: self.own_id.clone(),
            session: self.session,
            held: self.current.as_ref().map(|current| current.version),
            services: self.subscribed.clone(),
            new_services: self.new_services.clone(),
        };
        self.send(message);
    }

    fn send(&mut self, message: ToDistributor) {
        if let Some((link, _)) = self.connector.current_link() {
            self.actions.push(Action::Send { link, message });
        }
    }

    /// Handles a message that came over a link.
    pub fn receive(&mut self, link: u64, message: ToSubscriber, now: f64) {
        if !self.connector.is_current(link) || self.left {
            return;
        }
        self.connector.message_received(now);
        match message {
            ToSubscriber::Update { session, update, age } if session == self.session => {
                self.update_received(update, (age, now));
            }
            ToSubscriber::Restrict { session, to, all } if session == self.session => {
                self.restrictions_received(to, all)
            }
            ToSubscriber::Heartbeat { session, unchanged, age } if session == self.session => {
                self.heartbeat_received(unchanged, age, now);
            }
            ToSubscriber::Rejected { session, reason } if session == self.session => {
                self.last_rejection = Some(reason);
                self.connector.drop_link(link, true, now);
                self.actions.push(Action::Close { link });
            }
            _ => {}
        }
    }

    fn update_received(&mut self, update: Update, reported_age: (f64, f64)) {
        let current = self.current.as_ref().map(|current| current.version);
        self.connector.mark_healthy();
        self.last_rejection = None;
        // After a gap, or an update to an older version, subscribes again instead of guessing.
        let fits = update.from == current && current.is_none_or(|current| update.to >= current);
        if !fits {
            return self.subscribe();
        }
        let mut services = self.current.as_ref().map(|current| current.services.clone()).unwrap_or_default();
        for (name, update) in update.services {
            if !self.subscribed.contains(&name) {
                continue;
            }
            if update == ServiceUpdate::Removed {
                services.remove(&name);
            } else {
                services.entry(name).or_default().update(update);
            }
        }
        self.pending = Some(PendingUpdate { config: Config { version: update.to, services }, reported_age });
    }

    /// Puts the pending update in force if `check` accepts it; otherwise keeps the current version and sends the reason. Call
    /// it between two rounds of decisions. True if another version is in force now.
    pub fn apply_pending(&mut self, check: impl FnOnce(&Config) -> Result<(), String>) -> bool {
        let Some(PendingUpdate { config, reported_age }) = self.pending.take() else { return false };
        let (session, version) = (self.session, config.version);
        if let Err(mut reason) = check(&config) {
            let end = (0..=MAX_REASON_BYTES.min(reason.len())).rev().find(|at| reason.is_char_boundary(*at));
            reason.truncate(end.unwrap_or_default());
            self.send(ToDistributor::Refuse { session, version, reason });
            return false;
        }
        self.current = Some(config);
        self.reported_age = Some(reported_age);
        self.new_services.clear();
        self.early_restrictions.take_if(|(up_to, _)| *up_to <= version);
        self.send(ToDistributor::Acknowledge { session, version });
        true
    }

    fn restrictions_received(&mut self, to: u64, all: Vec<Restriction>) {
        let session = self.session;
        if self.current.as_ref().is_some_and(|current| to > current.version) {
            // Earlier restrictions stay in force until an update contains them.
            let previous = self.early_restrictions.take().map(|(_, all)| all).unwrap_or_default();
            let remaining =
                previous.into_iter().filter(|restriction| !all.contains(restriction)).collect::<Vec<_>>();
            self.early_restrictions = Some((to, [all, remaining].concat()));
        }
        self.send(ToDistributor::AcknowledgeRestrictions { session, version: to });
    }

    fn heartbeat_received(&mut self, unchanged: Option<(u64, u64)>, age: f64, now: f64) {
        let Some((from, to)) = unchanged else { return };
        let Some(current) = &mut self.current else { return };
        if self.pending.is_none() && self.new_services.is_empty() && current.version == from && to >= from {
            current.version = to;
            self.early_restrictions.take_if(|(up_to, _)| *up_to <= to);
            self.reported_age = Some((age, now));
            self.connector.mark_healthy();
            self.last_rejection = None;
        }
    }
}

fn apply_restriction(service: &mut Service, restriction: &Restriction) {
    let lower_limit =
        |limit: &mut Option<u32>, to: u32| *limit = Some(limit.map_or(to, |limit| limit.min(to)));
    match (&restriction.server, restriction.kind) {
        (None, RestrictionKind::Removed) => service.servers.clear(),
        (None, RestrictionKind::Limit(to)) => lower_limit(&mut service.options.limit, to),
        (None, RestrictionKind::Drain) => {
            service.servers.values_mut().for_each(|server| server.state = ServerState::Draining);
        }
        (Some(name), kind) => match (service.servers.get_mut(name), kind) {
            (None, _) => {}
            (Some(_), RestrictionKind::Removed) => drop(service.servers.remove(name)),
            (Some(server), RestrictionKind::Drain) => server.state = ServerState::Draining,
            (Some(server), RestrictionKind::Limit(to)) => lower_limit(&mut server.limit, to),
        },
    }
}
