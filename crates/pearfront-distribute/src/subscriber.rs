//! A node's side: what it has in force, whom it has it from, and how old it is. What comes is put by until the node says that
//! it may be taken (`apply`), between two rounds of its decisions; then it is in force whole or not at all.

use crate::dial::{Dial, Peer, Step, rank_peers};
use crate::message::{ProcessId, Rejection, ToDistributor, ToSubscriber, Update};
use crate::service::{Restriction, RestrictionKind, ServerState, Service, ServiceUpdate};
use crate::times::{LONGEST_REASON, Times};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Open a link to that distributor; what is sent over it goes in order.
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

/// What is in force: one version of all services that are subscribed to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Config {
    pub version: u64,
    pub services: BTreeMap<String, Service>,
}

/// An update that waits to be taken, or what it was to become and was refused.
struct Coming {
    config: Config,
    /// The age that was told with it, and when.
    told: (f64, f64),
}

pub struct Subscriber {
    installation: String,
    me: ProcessId,
    times: Times,
    dial: Dial,
    session: u64,
    interest: Vec<String>,
    /// Services that nothing is held of yet.
    new_services: BTreeSet<String>,
    held: Option<Config>,
    coming: Option<Coming>,
    /// What narrowed ahead of the version that is held, and up to where.
    narrowed: Option<(u64, Vec<Restriction>)>,
    /// The age that was told, and when; then what is held was the newest so long before.
    told: Option<(f64, f64)>,
    /// Why the last distributor did not serve.
    pub last_rejection: Option<Rejection>,
    left: bool,
    actions: Vec<Action>,
}

impl Subscriber {
    pub fn new(
        installation: &str,
        me: ProcessId,
        (zone, region): (&str, &str),
        distributors: &[Peer],
        interest: Vec<String>,
        times: Times,
        (seed, now): (u64, f64),
    ) -> Self {
        let order =
            rank_peers(&me.name, zone, region, distributors).into_iter().map(|peer| peer.name.clone());
        let dial = Dial::new(order.collect(), times, seed, now);
        Self {
            installation: installation.into(),
            me,
            times,
            dial,
            session: 0,
            new_services: interest.iter().cloned().collect(),
            interest,
            held: None,
            coming: None,
            narrowed: None,
            told: None,
            last_rejection: None,
            left: false,
            actions: Vec::new(),
        }
    }

    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    // ---- what may be read ----

    /// The version that is in force, whole. What `restrictions` says goes above it.
    pub fn config(&self) -> Option<&Config> {
        self.held.as_ref()
    }

    /// What narrowed since, ahead of the next version.
    pub fn restrictions(&self) -> &[Restriction] {
        self.narrowed.as_ref().map_or(&[], |(_, all)| all)
    }

    /// A service as it is to be used now: as in force, and less what narrowed since.
    pub fn service(&self, name: &str) -> Option<Service> {
        let mut service = self.held.as_ref()?.services.get(name)?.clone();
        for one in self.restrictions().iter().filter(|one| one.service == name) {
            restrict(&mut service, one);
        }
        Some(service)
    }

    /// Time, ms, since what is held was the newest for certain; none if nothing ever was.
    pub fn age(&self, now: f64) -> Option<f64> {
        self.told.map(|(age, at)| age + now - at)
    }

    /// Has it been without word for so long that the node has to be careful?
    pub fn is_stale(&self, now: f64) -> bool {
        self.age(now).is_none_or(|age| age >= self.times.stale_after_ms)
    }

    /// Whom it has it from, if there is a link that is not doubted.
    pub fn current_distributor(&self, now: f64) -> Option<&str> {
        self.dial.link().filter(|_| !self.dial.is_doubted(now)).map(|(_, to)| to)
    }

    pub fn session(&self) -> u64 {
        self.session
    }

    pub fn has_pending_update(&self) -> bool {
        self.coming.is_some()
    }

    pub fn due(&self) -> f64 {
        if self.left { f64::INFINITY } else { self.dial.due() }
    }

    // ---- what comes in ----

    pub fn tick(&mut self, now: f64) {
        if self.left {
            return;
        }
        for step in self.dial.tick(now) {
            match step {
                Step::Open { link, to } => {
                    self.actions.push(Action::Open { link, to });
                    self.subscribe();
                }
                Step::Close { link } => self.actions.push(Action::Close { link }),
                Step::Beat => {
                    let session = self.session;
                    self.send(ToDistributor::Heartbeat { session });
                }
            }
        }
    }

    /// That link could not be had, or has ended.
    pub fn link_closed(&mut self, link: u64, now: f64) {
        self.dial.over(link, true, now);
    }

    /// Other services from now on.
    pub fn set_services(&mut self, interest: Vec<String>) {
        let before: BTreeSet<String> = self.interest.drain(..).collect();
        self.new_services.retain(|name| interest.contains(name));
        self.new_services.extend(interest.iter().filter(|name| !before.contains(*name)).cloned());
        if let Some(held) = &mut self.held {
            held.services.retain(|name, _| interest.contains(name));
        }
        self.interest = interest;
        self.subscribe();
    }

    /// The node ends.
    pub fn leave(&mut self) {
        let session = self.session;
        self.send(ToDistributor::Leave { session });
        self.left = true;
    }

    /// Says what is wanted and what is held. What was on its way is void.
    fn subscribe(&mut self) {
        self.session += 1;
        self.coming = None;
        let message = ToDistributor::Subscribe {
            installation: self.installation.clone(),
            process: self.me.clone(),
            session: self.session,
            held: self.held.as_ref().map(|held| held.version),
            services: self.interest.clone(),
            new_services: self.new_services.clone(),
        };
        self.send(message);
    }

    fn send(&mut self, message: ToDistributor) {
        if let Some((link, _)) = self.dial.link() {
            self.actions.push(Action::Send { link, message });
        }
    }

    pub fn receive(&mut self, link: u64, message: ToSubscriber, now: f64) {
        if !self.dial.is(link) || self.left {
            return;
        }
        self.dial.heard(now);
        match message {
            ToSubscriber::Update { session, update, age } if session == self.session => {
                self.updated(update, (age, now));
            }
            ToSubscriber::Restrict { session, to, all } if session == self.session => self.restrict(to, all),
            ToSubscriber::Heartbeat { session, unchanged, age } if session == self.session => {
                self.beat(unchanged, age, now);
            }
            ToSubscriber::Rejected { session, reason } if session == self.session => {
                self.last_rejection = Some(reason);
                self.dial.over(link, true, now);
                self.actions.push(Action::Close { link });
            }
            _ => {}
        }
    }

    fn updated(&mut self, update: Update, told: (f64, f64)) {
        let held = self.held.as_ref().map(|held| held.version);
        self.dial.serves();
        self.last_rejection = None;
        // A gap, or something older than what is held: never a guess.
        let fits = update.from == held && held.is_none_or(|held| update.to >= held);
        if !fits {
            return self.subscribe();
        }
        let mut services = self.held.as_ref().map(|held| held.services.clone()).unwrap_or_default();
        for (name, update) in update.services {
            if !self.interest.contains(&name) {
                continue;
            }
            if update == ServiceUpdate::Removed {
                services.remove(&name);
            } else {
                services.entry(name).or_default().update(update);
            }
        }
        self.coming = Some(Coming { config: Config { version: update.to, services }, told });
    }

    /// Takes what has come, if `check` can; a node that can't keeps what it had and says why. To be called between two rounds
    /// of decisions; true if something else is in force now.
    pub fn apply_pending(&mut self, check: impl FnOnce(&Config) -> Result<(), String>) -> bool {
        let Some(Coming { config, told }) = self.coming.take() else { return false };
        let (session, version) = (self.session, config.version);
        if let Err(mut reason) = check(&config) {
            let end = (0..=LONGEST_REASON.min(reason.len())).rev().find(|at| reason.is_char_boundary(*at));
            reason.truncate(end.unwrap_or_default());
            self.send(ToDistributor::Refuse { session, version, reason });
            return false;
        }
        self.held = Some(config);
        self.told = Some(told);
        self.new_services.clear();
        self.narrowed.take_if(|(upto, _)| *upto <= version);
        self.send(ToDistributor::Acknowledge { session, version });
        true
    }

    fn restrict(&mut self, to: u64, all: Vec<Restriction>) {
        let session = self.session;
        if self.held.as_ref().is_some_and(|held| to > held.version) {
            // What came before stays in force until an update takes its place.
            let before = self.narrowed.take().map(|(_, all)| all).unwrap_or_default();
            let kept = before.into_iter().filter(|one| !all.contains(one)).collect::<Vec<_>>();
            self.narrowed = Some((to, [all, kept].concat()));
        }
        self.send(ToDistributor::AcknowledgeRestrictions { session, version: to });
    }

    fn beat(&mut self, unchanged: Option<(u64, u64)>, age: f64, now: f64) {
        let Some((from, to)) = unchanged else { return };
        let Some(held) = &mut self.held else { return };
        if self.coming.is_none() && self.new_services.is_empty() && held.version == from && to >= from {
            held.version = to;
            self.narrowed.take_if(|(upto, _)| *upto <= to);
            self.told = Some((age, now));
            self.dial.serves();
            self.last_rejection = None;
        }
    }
}

fn restrict(service: &mut Service, one: &Restriction) {
    let lower = |limit: &mut Option<u32>, to: u32| *limit = Some(limit.map_or(to, |limit| limit.min(to)));
    match (&one.server, one.kind) {
        (None, RestrictionKind::Removed) => service.servers.clear(),
        (None, RestrictionKind::Limit(to)) => lower(&mut service.options.limit, to),
        (None, RestrictionKind::Drain) => {
            service.servers.values_mut().for_each(|server| server.state = ServerState::Draining);
        }
        (Some(name), kind) => match (service.servers.get_mut(name), kind) {
            (None, _) => {}
            (Some(_), RestrictionKind::Removed) => drop(service.servers.remove(name)),
            (Some(server), RestrictionKind::Drain) => server.state = ServerState::Draining,
            (Some(server), RestrictionKind::Limit(to)) => lower(&mut server.limit, to),
        },
    }
}
