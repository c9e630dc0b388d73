//! A distributor: all services in memory, fed by whoever leads among the voters; its nodes with what each has. It has no say.
//! To each node one update is under way at most, made from the newest state when it can go; what narrows goes first.

use crate::catalog::Catalog;
use crate::dial::{Dial, Peer, Step, order};
use crate::message::{FromVoter, Line, No, Report, ToDistributor, ToSubscriber, ToVoter, Update, Who};
use crate::service::ChangeSet;
use crate::times::{MOST_SUBSCRIBERS, SETS_AT_ONCE, Times};
use pearfront_codec::encode;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[derive(Debug, Clone, PartialEq)]
pub enum Out {
    /// Open a link to that voter; what is sent over it goes in order.
    OpenVoter {
        link: u64,
        to: String,
    },
    SendVoter {
        link: u64,
        message: ToVoter,
    },
    CloseVoter {
        link: u64,
    },
    /// To the node at that link; what is `urgent` goes between two pieces of what is not.
    Send {
        link: u64,
        bytes: Vec<u8>,
        urgent: bool,
    },
    Close {
        link: u64,
    },
}

/// What it did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    pub sets: u64,
    pub updates: u64,
    pub update_bytes: u64,
    /// Updates that hold a service whole.
    pub snapshots: u64,
    pub snapshot_bytes: u64,
    pub restricts: u64,
    pub restrict_bytes: u64,
    pub beats: u64,
    pub beat_bytes: u64,
    pub lost: u64,
    pub reports: u64,
}

/// In what order updates go.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Class {
    Narrows,
    Delta,
    Snapshot,
}

/// A node that subscribed.
struct Subscription {
    who: Who,
    session: u64,
    link: Option<u64>,
    services: Vec<String>,
    fresh: BTreeSet<String>,
    /// What it has in force, and what is under way.
    has: Option<u64>,
    sent: Option<u64>,
    /// The last version that concerns it, and the first that it has not in force for certain.
    latest: u64,
    behind: Option<u64>,
    /// What narrowed is there up to that version, or is under way.
    restricted: u64,
    restricting: Option<u64>,
    refused: Option<(u64, String)>,
    heard: f64,
    /// The voters know of it, or it had something before it came here.
    known: bool,
    queued: Option<(Class, u64)>,
}

impl Subscription {
    fn line(&self) -> Line {
        let lags = match (self.has, self.sent) {
            (Some(_), _) => self.behind.map(|behind| behind - 1),
            // One that has nothing and can't take what there is decides nothing, and is shown.
            (None, None) if self.refused.is_some() => Some(0),
            (None, sent) => sent,
        };
        let refused = self.refused.clone();
        Line { life: self.who.life, session: self.session, lags, refused, linked: self.link.is_some() }
    }
}

/// The way to the voters' leader.
struct Above {
    dial: Dial,
    /// The age that was told of the newest version, and when.
    current: Option<f64>,
    echo: u64,
    in_force: Option<u64>,
    /// Number of the last report, when it was sent; one that is under way.
    number: u64,
    under_way: Option<f64>,
    taken: Option<u64>,
    /// When the last one was sent that was taken.
    answered: f64,
    registered: bool,
    /// When the last report was sent, whose version it said.
    said: (f64, Option<u64>),
    /// Nodes of whom something is to be told; those in the report that is under way.
    changed: BTreeSet<String>,
    telling: BTreeSet<String>,
}

pub struct Distributor {
    installation: String,
    me: Who,
    times: Times,
    catalog: Option<Catalog>,
    above: Above,
    nodes: BTreeMap<String, Subscription>,
    links: BTreeMap<u64, String>,
    /// Who wants what.
    interest: BTreeMap<String, BTreeSet<String>>,
    ready: BTreeSet<(Class, u64, String)>,
    ticket: u64,
    /// Bytes that may go now.
    room: f64,
    filled: f64,
    /// Nodes in the order in which they are due for a beat, and in which they were lost.
    beats: VecDeque<(f64, String, u64)>,
    lost: VecDeque<(f64, String, u64)>,
    counts: Counts,
    out: Vec<Out>,
}

impl Distributor {
    pub fn new(
        installation: &str,
        me: Who,
        (zone, region): (&str, &str),
        voters: &[Peer],
        times: Times,
        (seed, now): (u64, f64),
    ) -> Self {
        let order = order(&me.name, zone, region, voters).into_iter().map(|peer| peer.name.clone()).collect();
        let above = Above {
            dial: Dial::new(order, times, seed, now),
            current: None,
            echo: 0,
            in_force: None,
            number: 0,
            under_way: None,
            taken: None,
            answered: now,
            registered: false,
            said: (f64::NEG_INFINITY, None),
            changed: BTreeSet::new(),
            telling: BTreeSet::new(),
        };
        Self {
            installation: installation.into(),
            me,
            times,
            catalog: None,
            above,
            nodes: BTreeMap::new(),
            links: BTreeMap::new(),
            interest: BTreeMap::new(),
            ready: BTreeSet::new(),
            ticket: 0,
            room: times.burst,
            filled: now,
            beats: VecDeque::new(),
            lost: VecDeque::new(),
            counts: Counts::default(),
            out: Vec::new(),
        }
    }

    pub fn take_out(&mut self) -> Vec<Out> {
        std::mem::take(&mut self.out)
    }

    // ---- what may be read ----

    pub fn catalog(&self) -> Option<&Catalog> {
        self.catalog.as_ref()
    }

    pub fn version(&self) -> Option<u64> {
        self.catalog.as_ref().map(Catalog::version)
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Nodes that it has a link to.
    pub fn linked(&self) -> usize {
        self.links.len()
    }

    /// Time, ms, since what it has was the newest for certain.
    pub fn age(&self, now: f64) -> Option<f64> {
        self.above.current.map(|at| now - at)
    }

    /// What is in force everywhere, as the voters said last.
    pub fn in_force(&self) -> Option<u64> {
        self.above.in_force
    }

    /// Nodes that wait for something to be sent.
    pub fn waiting(&self) -> usize {
        self.ready.len()
    }

    pub fn due(&self) -> f64 {
        let beat = self.beats.front().map_or(f64::INFINITY, |(at, ..)| *at);
        let lost = self.lost.front().map_or(f64::INFINITY, |(at, ..)| *at);
        let pump = if self.ready.is_empty() { f64::INFINITY } else { self.filled + self.wait_for_room() };
        let report = if self.has_to_report() { self.report_at() } else { f64::INFINITY };
        self.above.dial.due().min(beat).min(lost).min(pump).min(report)
    }

    /// How long until the first of those that wait may go.
    fn wait_for_room(&self) -> f64 {
        let need = match self.ready.first() {
            Some((Class::Snapshot, ..)) => self.times.burst / 2.0,
            Some((Class::Delta, ..)) => 1.0,
            _ => return 0.0,
        };
        ((need - self.room) / self.times.rate * 1000.0).max(1.0)
    }

    // ---- voters ----

    pub fn tick(&mut self, now: f64) {
        for step in self.above.dial.tick(now) {
            match step {
                Step::Open { link, to } => {
                    self.out.push(Out::OpenVoter { link, to });
                    self.begin_above();
                }
                Step::Close { link } => self.out.push(Out::CloseVoter { link }),
                Step::Beat => self.beat_above(),
            }
        }
        self.beat(now);
        self.forget_lost(now);
        self.serve_alone(now);
        self.pump(now);
        self.report(now);
    }

    fn begin_above(&mut self) {
        (self.above.under_way, self.above.taken) = (None, None);
        self.above.telling.clear();
        let (installation, who, version) = (self.installation.clone(), self.me.clone(), self.version());
        self.send_voter(ToVoter::Follow { installation, who, version });
    }

    /// A report is a beat; one that waits for an answer says what it has.
    fn beat_above(&mut self) {
        if !self.has_to_report() {
            let version = self.version().unwrap_or_default();
            self.send_voter(ToVoter::Followed { version });
        }
    }

    fn send_voter(&mut self, message: ToVoter) {
        if let Some((link, _)) = self.above.dial.link() {
            self.out.push(Out::SendVoter { link, message });
        }
    }

    /// That link could not be had, or has ended.
    pub fn voter_closed(&mut self, link: u64, now: f64) {
        self.above.dial.over(link, true, now);
    }

    pub fn voter_heard(&mut self, link: u64, message: FromVoter, now: f64) {
        if !self.above.dial.is(link) {
            return;
        }
        self.above.dial.heard(now);
        match message {
            FromVoter::Elsewhere { leader } => {
                self.above.dial.over(link, false, now);
                self.out.push(Out::CloseVoter { link });
                self.above.dial.hint(leader, now);
            }
            FromVoter::No { .. } => {
                self.above.dial.over(link, true, now);
                self.out.push(Out::CloseVoter { link });
            }
            FromVoter::Whole { catalog } => self.whole(&catalog, now),
            FromVoter::Sets { to, sets } => self.sets(to, sets, now),
            FromVoter::Beat { number, version, in_force } => {
                self.above.dial.serves();
                (self.above.echo, self.above.in_force) = (number, in_force);
                if self.version().is_some_and(|own| own >= version) {
                    self.above.current = Some(now);
                }
            }
            FromVoter::ReportTaken { number } if number == self.above.number => self.taken(),
            FromVoter::ReportAll => (self.above.under_way, self.above.taken) = (None, None),
            _ => {}
        }
        self.pump(now);
        self.report(now);
    }

    fn whole(&mut self, bytes: &[u8], now: f64) {
        let Some(catalog) = Catalog::decode(bytes) else { return };
        // What its nodes have must never be newer than what it has.
        if self.version().is_some_and(|own| catalog.version() < own) {
            return;
        }
        let version = catalog.version();
        self.catalog = Some(catalog);
        for name in self.nodes.keys().cloned().collect::<Vec<_>>() {
            self.place(&name);
        }
        self.above.current = Some(now);
        self.send_voter(ToVoter::Followed { version });
    }

    fn sets(&mut self, to: u64, sets: Vec<ChangeSet>, now: f64) {
        let count = sets.len();
        let first = (to + 1).saturating_sub(count as u64);
        for (version, set) in (first..).zip(sets) {
            let touched: Vec<String> = set.services.keys().cloned().collect();
            let Some(catalog) = &mut self.catalog else { return };
            if version <= catalog.version() {
                continue;
            }
            if !catalog.follow(set, version) {
                // A gap: everything anew, by a new link.
                let Some((link, _)) = self.above.dial.link() else { return };
                self.above.dial.over(link, false, now);
                return self.out.push(Out::CloseVoter { link });
            }
            let narrows = catalog.is_narrowing(version);
            self.counts.sets += 1;
            self.touched(&touched, version, narrows);
        }
        if count < SETS_AT_ONCE {
            self.above.current = Some(now);
        }
        self.send_voter(ToVoter::Followed { version: to });
    }

    /// Those whom a set concerns are behind from now on.
    fn touched(&mut self, services: &[String], version: u64, narrows: bool) {
        let names: BTreeSet<String> =
            services.iter().filter_map(|service| self.interest.get(service)).flatten().cloned().collect();
        for name in names {
            let Some(node) = self.nodes.get_mut(&name) else { continue };
            node.latest = version;
            node.behind.get_or_insert(version);
            self.above.changed.insert(name.clone());
            self.queue(&name, narrows);
        }
    }

    // ---- reports ----

    fn has_to_report(&self) -> bool {
        self.catalog.is_some() && self.above.dial.link().is_some() && self.above.under_way.is_none()
    }

    /// Soon where there is something to tell, else as a beat.
    fn report_at(&self) -> f64 {
        let (at, version) = self.above.said;
        let even = self.above.changed.is_empty() && version == self.version();
        at + if even { self.times.beat } else { self.times.report }
    }

    fn report(&mut self, now: f64) {
        if !self.has_to_report() || now < self.report_at() {
            return;
        }
        let above = &mut self.above;
        let changed = std::mem::take(&mut above.changed);
        // What was under way and was not answered is told again, with all the rest.
        let names: Vec<String> = match above.taken {
            Some(_) => changed.iter().cloned().collect(),
            None => self.nodes.keys().cloned().collect(),
        };
        let line = |name: String| {
            let line = self.nodes.get(&name).map(Subscription::line);
            (name, line)
        };
        let nodes = names.into_iter().map(line).collect();
        above.telling = changed;
        above.number += 1;
        above.under_way = Some(now);
        self.counts.reports += 1;
        let (number, after, echo) = (above.number, above.taken, above.echo);
        let version = self.version().unwrap_or_default();
        self.above.said = (now, Some(version));
        self.send_voter(ToVoter::Report(Report { number, after, echo, version, nodes }));
    }

    fn taken(&mut self) {
        let above = &mut self.above;
        let Some(sent) = above.under_way.take() else { return };
        let all = above.taken.is_none();
        above.taken = Some(above.number);
        above.answered = above.answered.max(sent);
        above.registered = true;
        let told = std::mem::take(&mut above.telling);
        let names: Vec<String> =
            if all { self.nodes.keys().cloned().collect() } else { told.into_iter().collect() };
        for name in names {
            let Some(node) = self.nodes.get_mut(&name).filter(|node| !node.known) else { continue };
            // It came, or came anew, since that was sent.
            if self.above.changed.contains(&name) {
                continue;
            }
            node.known = true;
            self.queue(&name, false);
        }
    }

    /// Is it without the voters for so long that they hold it for cut off?
    fn is_alone(&self, now: f64) -> bool {
        self.above.registered && now - self.above.answered >= self.times.alone
    }

    /// Nodes that the voters can't be told of are served all the same.
    fn serve_alone(&mut self, now: f64) {
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
            self.queue(&name, false);
        }
    }

    // ---- nodes ----

    /// That link to a node has ended.
    pub fn closed(&mut self, link: u64, now: f64) {
        let Some(name) = self.links.remove(&link) else { return };
        let Some(node) = self.nodes.get_mut(&name).filter(|node| node.link == Some(link)) else { return };
        node.link = None;
        self.counts.lost += 1;
        self.lost.push_back((now + self.times.silence, name.clone(), node.session));
        self.above.changed.insert(name.clone());
        self.unqueue(&name);
    }

    /// Those that were lost long ago are somebody else's by now, or gone.
    fn forget_lost(&mut self, now: f64) {
        while self.lost.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, name, session)) = self.lost.pop_front() else { return };
            if self.nodes.get(&name).is_some_and(|node| node.session == session && node.link.is_none()) {
                self.remove(&name);
            }
        }
    }

    fn remove(&mut self, name: &str) {
        self.unqueue(name);
        let Some(node) = self.nodes.remove(name) else { return };
        if let Some(link) = node.link {
            self.links.remove(&link);
        }
        self.uninterest(name, &node.services);
        self.above.changed.insert(name.into());
    }

    fn uninterest(&mut self, name: &str, services: &[String]) {
        for service in services {
            let Some(names) = self.interest.get_mut(service) else { continue };
            names.remove(name);
            if names.is_empty() {
                self.interest.remove(service);
            }
        }
    }

    pub fn heard(&mut self, link: u64, message: ToDistributor, now: f64) {
        if let ToDistributor::Subscribe { installation, who, session, held, services, fresh } = message {
            self.subscribe(link, (&installation, who, session), held, (services, fresh), now);
        } else if let Some(name) = self.links.get(&link).cloned() {
            self.word(&name, message, now);
        }
        self.pump(now);
        self.report(now);
    }

    fn subscribe(
        &mut self,
        link: u64,
        (installation, who, session): (&str, Who, u64),
        held: Option<u64>,
        (services, fresh): (Vec<String>, BTreeSet<String>),
        now: f64,
    ) {
        let own = self.version();
        let why = if installation != self.installation {
            Some(No::Installation)
        } else if own.is_none() || held > own {
            Some(No::Behind { version: own.unwrap_or_default() })
        } else if self.links.len() >= MOST_SUBSCRIBERS && !self.links.contains_key(&link) {
            Some(No::Full)
        } else {
            None
        };
        if let Some(why) = why {
            let bytes = encode(&ToSubscriber::No { session, why });
            return self.out.push(Out::Send { link, bytes, urgent: false });
        }
        let name = who.name.clone();
        let before = self.nodes.get(&name).map(|node| (node.link, node.known && node.who == who));
        if let Some((Some(old), _)) = before
            && old != link
        {
            self.links.remove(&old);
            self.out.push(Out::Close { link: old });
        }
        let known = held.is_some() || before.is_some_and(|(_, known)| known) || self.is_alone(now);
        self.remove(&name);
        self.links.insert(link, name.clone());
        for service in &services {
            self.interest.entry(service.clone()).or_default().insert(name.clone());
        }
        let node = Subscription {
            who,
            session,
            link: Some(link),
            services,
            fresh,
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
        self.beats.push_back((now + self.times.beat, name.clone(), session));
        self.place(&name);
    }

    /// How far behind is it, seen from what there is now? Then it is sent what it lacks.
    fn place(&mut self, name: &str) {
        let (Some(catalog), Some(node)) = (&self.catalog, self.nodes.get_mut(name)) else { return };
        node.latest =
            node.services.iter().map(|service| catalog.version_of(service)).max().unwrap_or_default();
        node.behind = match node.has {
            None => Some(1),
            // A service that went may be forgotten by now.
            Some(has) => {
                (node.latest > has || !node.fresh.is_empty() || has < catalog.version()).then_some(has + 1)
            }
        };
        self.above.changed.insert(name.into());
        self.queue(name, false);
    }

    fn word(&mut self, name: &str, message: ToDistributor, now: f64) {
        let Some(node) = self.nodes.get_mut(name) else { return };
        node.heard = now;
        let current = node.session;
        match message {
            ToDistributor::Acknowledge { session, version } if session == current => {
                self.acknowledged(name, version)
            }
            ToDistributor::Refuse { session, version, reason } if session == current => {
                self.refused(name, version, reason);
            }
            ToDistributor::Restricted { session, version } if session == current => {
                self.restricted(name, version)
            }
            ToDistributor::Leave { session } if session == current => self.remove(name),
            _ => {}
        }
    }

    fn refused(&mut self, name: &str, version: u64, reason: String) {
        let Some(node) = self.nodes.get_mut(name) else { return };
        if node.sent.take_if(|sent| *sent == version).is_none() {
            return;
        }
        node.refused = Some((version, reason));
        let again = node.latest > version;
        self.above.changed.insert(name.into());
        if again {
            self.queue(name, false);
        }
    }

    fn restricted(&mut self, name: &str, version: u64) {
        let Some(node) = self.nodes.get_mut(name) else { return };
        if node.restricting.take_if(|sent| *sent == version).is_none() {
            return;
        }
        node.restricted = node.restricted.max(version);
        if self.lacks_restrictions(name) {
            self.queue(name, true);
        }
    }

    fn acknowledged(&mut self, name: &str, version: u64) {
        let Some(node) = self.nodes.get_mut(name) else { return };
        if node.sent.take_if(|sent| *sent == version).is_none() {
            return;
        }
        node.has = Some(version);
        node.fresh.clear();
        node.refused = None;
        node.behind = (node.latest > version).then_some(version + 1);
        self.above.changed.insert(name.into());
        if node.behind.is_some() {
            let narrows = self.lacks_restrictions(name);
            self.queue(name, narrows);
        }
    }

    fn lacks_restrictions(&self, name: &str) -> bool {
        let (Some(catalog), Some(node)) = (&self.catalog, self.nodes.get(name)) else { return false };
        let services = node.services.iter().cloned().collect();
        node.has.is_some_and(|has| !catalog.restrictions(&services, has.max(node.restricted)).is_empty())
    }

    // ---- sending ----

    /// Puts it into the queue, or further ahead in it.
    fn queue(&mut self, name: &str, narrows: bool) {
        let (Some(catalog), Some(node)) = (&self.catalog, self.nodes.get_mut(name)) else { return };
        if node.link.is_none() || !node.known || node.behind.is_none() {
            return;
        }
        let narrows = narrows && node.has.is_some();
        if node.sent.is_some() && !(narrows && node.restricting.is_none()) {
            return;
        }
        let class = if narrows {
            Class::Narrows
        } else if catalog.needs_whole(&node.services, node.has, &node.fresh) {
            Class::Snapshot
        } else {
            Class::Delta
        };
        let old = node.queued;
        if old.is_some_and(|(old, _)| old <= class) {
            return;
        }
        self.ticket += 1;
        node.queued = Some((class, self.ticket));
        self.ready.insert((class, self.ticket, name.into()));
        if let Some((class, ticket)) = old {
            self.ready.remove(&(class, ticket, name.into()));
        }
    }

    fn unqueue(&mut self, name: &str) {
        let Some(node) = self.nodes.get_mut(name) else { return };
        if let Some((class, ticket)) = node.queued.take() {
            self.ready.remove(&(class, ticket, name.into()));
        }
    }

    /// Sends what may go: what narrows always, deltas as long as there is room, snapshots while there is much.
    fn pump(&mut self, now: f64) {
        let passed = (now - self.filled).max(0.0);
        self.room = (self.room + passed * self.times.rate / 1000.0).min(self.times.burst);
        self.filled = now;
        while let Some((class, _, name)) = self.ready.first() {
            let may = match class {
                Class::Narrows => true,
                Class::Delta => self.room > 0.0,
                Class::Snapshot => self.room >= self.times.burst / 2.0,
            };
            if !may {
                return;
            }
            let (class, name) = (*class, name.clone());
            self.unqueue(&name);
            let free = self.nodes.get(&name).is_some_and(|node| node.sent.is_none());
            if free && (class != Class::Narrows || self.room > 0.0) {
                self.send_update(&name, now);
            } else {
                self.send_restrictions(&name);
                self.queue(&name, false);
            }
        }
    }

    fn send(&mut self, link: u64, message: &ToSubscriber, urgent: bool) -> u64 {
        let bytes = encode(message);
        let length = bytes.len();
        self.out.push(Out::Send { link, bytes, urgent });
        length as u64
    }

    fn send_update(&mut self, name: &str, now: f64) {
        let age = self.age(now).unwrap_or_default();
        let (Some(catalog), Some(node)) = (&self.catalog, self.nodes.get_mut(name)) else { return };
        let Some(link) = node.link else { return };
        let (from, to, session) = (node.has, catalog.version(), node.session);
        let whole = catalog.needs_whole(&node.services, from, &node.fresh);
        let services = catalog.update(&node.services, from, &node.fresh);
        node.sent = Some(to);
        let message = ToSubscriber::Update { session, update: Update { from, to, services }, age };
        let bytes = self.send(link, &message, false);
        self.room -= bytes as f64;
        self.counts.updates += 1;
        self.counts.update_bytes += bytes;
        if whole {
            self.counts.snapshots += 1;
            self.counts.snapshot_bytes += bytes;
        }
    }

    /// What narrowed goes ahead of an update that has to wait, or is under way.
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
        let bytes = self.send(link, &ToSubscriber::Restrict { session, to, all }, true);
        self.room -= bytes as f64;
        self.counts.restricts += 1;
        self.counts.restrict_bytes += bytes;
    }

    /// Tells those that are due that it is there, and that nothing has changed; gives up those that were silent.
    fn beat(&mut self, now: f64) {
        while self.beats.front().is_some_and(|(at, ..)| *at <= now) {
            let Some((_, name, session)) = self.beats.pop_front() else { return };
            let Some(node) = self.nodes.get_mut(&name).filter(|node| node.session == session) else {
                continue;
            };
            let Some(link) = node.link else { continue };
            if now - node.heard >= self.times.give_up {
                self.closed(link, now);
                self.out.push(Out::Close { link });
                continue;
            }
            let own = self.catalog.as_ref().map(Catalog::version);
            let even = node.behind.is_none() && node.sent.is_none();
            let through = node.has.zip(own).filter(|_| even);
            // What is sent after it comes after it.
            node.has = through.map(|(_, to)| to).or(node.has);
            let age = self.age(now).unwrap_or_default();
            let bytes = self.send(link, &ToSubscriber::Beat { session, through, age }, true);
            self.counts.beats += 1;
            self.counts.beat_bytes += bytes;
            self.beats.push_back((now + self.times.beat, name, session));
        }
    }
}
