//! Seeded simulation of configuration distribution: the production cores of voters (with the replicated log below them),
//! distributors and nodes; ordered links that are slow, stall, are cut in one direction and end; and writers that retry a
//! change until it is answered. Invariants checked after every step: a node has one committed version, never an older one
//! after a newer one; nothing is *in force everywhere* while a node decides under less; at most one update is in flight to
//! a node. Used by `pearfront prove distribute` and the tests.

use crate::event_queue::EventQueue;
use pearfront_consensus::{Action, Entry, Message, PersistentState, Record, Voter, recover};
use pearfront_distribute::{
    Catalog, ChangeSet, Config, Distributor, DistributorAction, FromVoter, Outcome, Peer, ProcessId,
    Registry, RegistryAction, Server, ServerState, Service, ServiceChange, Subscriber, SubscriberAction,
    Times, ToDistributor, ToSubscriber, ToVoter, decode, encode,
};
use rand::prelude::{IndexedRandom, Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

/// Period without faults at the end, ms, in which all must converge.
pub const QUIET: f64 = 20_000.0;
/// A sync of a voter's disk, ms.
const SYNC: (f64, f64) = (0.2, 3.0);
/// Applied entries after which a voter takes a snapshot.
const SNAPSHOT: u64 = 100;
/// Delay, ms, after which data lost on a link is retransmitted; and the retry interval, ms, of a link that is cut.
const AGAIN: (f64, f64) = (200.0, 400.0);
const RETRY: f64 = 50.0;
/// Time-out, ms, after which a writer without an answer retries its change elsewhere.
const WRITER: f64 = 800.0;
/// Most heartbeats and similar messages queued on one link: those of two seconds and a few more.
const MOST_URGENT: usize = 12;
/// Rounding tolerance, ms, of times that are added up in different orders.
const ROUNDING: f64 = 1e-6;
const REGIONS: usize = 3;

/// The faults of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Script {
    /// Faults of all kinds, one after another.
    Storm,
    /// One distributor after another is killed, paused, cut off in one direction or stalled, each time from a settled state.
    Distributors,
    /// One region is cut off from the others for two minutes.
    Region,
    /// All voters are down for half a minute.
    Voters,
    /// All nodes start at once, without any version.
    Cold,
    /// All nodes lose their links at once and hold a version.
    Warm,
}

#[derive(Debug, Clone)]
pub struct Plan {
    pub voters: usize,
    pub distributors: usize,
    pub nodes: usize,
    pub services: usize,
    /// Services that a node calls.
    pub interest: usize,
    pub servers: usize,
    pub length: f64,
    /// Mean time between two changes, ms.
    pub change_every: f64,
    pub loss: f64,
    /// Data folders come back in an older state, one at a time.
    pub disks: bool,
    /// Some changes are refused by nodes.
    pub refusals: bool,
    /// Time without messages, ms, after which a node counts as gone. Faults of a single process end earlier.
    pub silence: f64,
    pub script: Script,
}

impl Plan {
    pub fn storm(disks: bool) -> Self {
        Self {
            voters: 3,
            distributors: 4,
            nodes: 12,
            services: 10,
            interest: 3,
            servers: 5,
            length: 70_000.0,
            change_every: 150.0,
            loss: 0.01,
            disks,
            refusals: true,
            silence: 12_000.0,
            script: Script::Storm,
        }
    }

    pub fn of(script: Script, distributors: usize, nodes: usize) -> Self {
        let length = match script {
            Script::Storm | Script::Distributors => 120_000.0,
            Script::Region => 200_000.0,
            Script::Voters => 80_000.0,
            Script::Cold | Script::Warm => 60_000.0,
        };
        let loss = 0.001;
        let (refusals, services, interest) = (false, 60, 10);
        let silence = Times::default().gone_after_ms;
        Self {
            voters: 5,
            distributors,
            nodes,
            length,
            loss,
            refusals,
            services,
            interest,
            silence,
            script,
            ..Self::storm(false)
        }
    }
}

#[derive(Debug, Clone, Default)]
pub struct Findings {
    pub broken: Option<String>,
    pub versions: u64,
    pub refused_sets: u64,
    pub said_again: u64,
    pub node_refusals: u64,
    pub updates: u64,
    pub snapshots: u64,
    pub restricts: u64,
    pub restricted: u64,
    pub forgot: u64,
    /// Times from a change's acceptance until each node that it concerns has it in force, ms.
    pub in_force: Vec<f64>,
    /// Times from its acceptance until the voters know that it is in force everywhere, ms.
    pub known: Vec<f64>,
    /// Mean bytes received and sent per node and second over the whole run.
    pub node_bytes: f64,
    /// Most bytes that one distributor sent, and that one node received, in one second after the fault.
    pub most_distributor_bytes: u64,
    pub most_node_bytes: u64,
    /// Time from the end of the fault until all nodes had the newest version, ms.
    pub whole_after: Option<f64>,
    pub spent_distributors: Duration,
    pub spent_nodes: Duration,
}

impl Findings {
    /// Adds the counts of another run, and takes the higher of each maximum.
    pub fn add(&mut self, other: &Self) {
        self.versions += other.versions;
        self.refused_sets += other.refused_sets;
        self.said_again += other.said_again;
        self.node_refusals += other.node_refusals;
        self.updates += other.updates;
        self.snapshots += other.snapshots;
        self.restricts += other.restricts;
        self.forgot += other.forgot;
        self.node_bytes += other.node_bytes;
        self.most_distributor_bytes = self.most_distributor_bytes.max(other.most_distributor_bytes);
        self.most_node_bytes = self.most_node_bytes.max(other.most_node_bytes);
        self.spent_nodes += other.spent_nodes;
        self.spent_distributors += other.spent_distributors;
    }
}

enum Event {
    Datagram {
        to: usize,
        message: Message,
    },
    /// The first message queued in that lane arrives.
    Arrive {
        link: u64,
        up: bool,
        urgent: bool,
    },
    /// The other end learns that the link has closed.
    Closed {
        link: u64,
        up: bool,
    },
    Wake {
        who: usize,
        life: u64,
        due: f64,
    },
    Stored {
        who: usize,
        life: u64,
        number: u64,
    },
    Start {
        who: usize,
        older: bool,
    },
    Write,
    WriterLate {
        writer: usize,
        attempt: u64,
    },
    Trouble,
    Heal(u64),
    Script(u32),
    Proof {
        of: ProcessId,
    },
    Resume {
        who: usize,
    },
    /// Kills a node's distributor and pauses the node: no other process may have known of the node.
    Hide {
        who: usize,
    },
}

struct Seat {
    voter: Voter,
    catalog: Catalog,
    registry: Registry,
    applied: u64,
    snapshot_at: u64,
}

enum Core {
    Down,
    Voter(Box<Seat>),
    Distributor(Box<Distributor>),
    Node(Box<Subscriber>),
}

/// A process, running or not, with what outlives its restarts.
struct Place {
    name: String,
    region: usize,
    life: u64,
    core: Core,
    /// End of the current pause.
    until: f64,
    woken: f64,
    /// Links that it opened, by its own number.
    opened: BTreeMap<u64, u64>,
    /// A voter's disk: written data, how much of it is synced, and an older copy.
    disk: (Vec<Record>, usize),
    older: Option<Vec<Record>>,
    busy: f64,
    /// No fault is injected before then.
    spared: f64,
    /// A node's services, and the last version observed there.
    interest: Vec<String>,
    seen: Option<u64>,
    /// Bytes out (a distributor) or in (a node) by second.
    bytes: BTreeMap<u64, u64>,
}

struct Link {
    client: (usize, u64),
    number: u64,
    server: (usize, u64),
    /// Queued messages, up and down: each with a lane for messages that are not urgent and one for those that are, and the
    /// arrival time of the last.
    lanes: [[(VecDeque<Vec<u8>>, f64); 2]; 2],
    stalled: f64,
}

struct Writer {
    set: Option<ChangeSet>,
    link: Option<u64>,
    attempt: u64,
    to: usize,
    count: u64,
}

pub struct World {
    plan: Plan,
    times: Times,
    places: Vec<Place>,
    links: BTreeMap<u64, Link>,
    link_number: u64,
    events: EventQueue<Event>,
    chance: ChaCha8Rng,
    now: f64,
    cuts: Vec<(u64, BTreeSet<usize>, BTreeSet<usize>)>,
    cut_number: u64,
    writers: Vec<Writer>,
    /// Committed entries by index: all services at each version, the commit time, and the services that it changed.
    truth: (u64, Catalog),
    history: Vec<(BTreeMap<String, Service>, f64, BTreeSet<String>)>,
    outcomes: BTreeMap<String, u64>,
    /// Highest version that any voter reported as in force everywhere.
    stated: u64,
    forgot: Option<usize>,
    /// Processes that are cut off for so long that they count as gone, with the time from which they do.
    apart: Option<(f64, usize)>,
    healed: Option<f64>,
    pub findings: Findings,
}

fn who(place: &Place) -> ProcessId {
    ProcessId { name: place.name.clone(), incarnation: place.life }
}

impl World {
    pub fn new(plan: Plan, seed: u64) -> Self {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let names: Vec<String> = (0..plan.services).map(|n| format!("s{n}")).collect();
        let count = plan.voters + plan.distributors + plan.nodes;
        let place = |at: usize| {
            let (kind, at) = match at {
                at if at < plan.voters => ("v", at),
                at if at < plan.voters + plan.distributors => ("d", at - plan.voters),
                at => ("n", at - plan.voters - plan.distributors),
            };
            let interest = names.choose_multiple(&mut chance, plan.interest).cloned().collect();
            Place {
                name: format!("{kind}{at}"),
                region: at % REGIONS,
                life: 0,
                core: Core::Down,
                until: 0.0,
                woken: f64::INFINITY,
                opened: BTreeMap::new(),
                disk: (Vec::new(), 0),
                older: None,
                busy: 0.0,
                spared: 0.0,
                interest,
                seen: None,
                bytes: BTreeMap::new(),
            }
        };
        let places = (0..count).map(place).collect();
        let writer = |to| Writer { set: None, link: None, attempt: 0, to, count: 0 };
        let mut world = Self {
            times: Times { gone_after_ms: plan.silence, ..Times::default() },
            places,
            links: BTreeMap::new(),
            link_number: 0,
            events: EventQueue::default(),
            chance,
            now: 0.0,
            cuts: Vec::new(),
            cut_number: 0,
            writers: (0..2).map(writer).collect(),
            truth: (0, Catalog::default()),
            history: vec![(BTreeMap::new(), 0.0, BTreeSet::new())],
            outcomes: BTreeMap::new(),
            stated: 0,
            forgot: None,
            apart: None,
            healed: None,
            findings: Findings::default(),
            plan,
        };
        let late = if world.plan.script == Script::Cold { 15_000.0 } else { 0.0 };
        for who in 0..count {
            let at = if world.is_node(who) { late } else { 0.0 };
            world.events.put(at, Event::Start { who, older: false });
        }
        world.events.put(2000.0, Event::Write);
        if world.plan.script == Script::Storm {
            world.events.put(6000.0, Event::Trouble);
        } else {
            world.events.put(15_000.0, Event::Script(0));
        }
        world
    }

    fn is_node(&self, who: usize) -> bool {
        who >= self.plan.voters + self.plan.distributors
    }

    fn broken(&mut self, what: String) {
        let at = self.now / 1000.0;
        self.findings.broken.get_or_insert_with(|| format!("at {at:.3} s: {what}"));
    }

    fn between(&mut self, (least, most): (f64, f64)) -> f64 {
        least + (most - least) * self.chance.random::<f64>()
    }

    fn is_quiet(&self) -> bool {
        self.now > self.plan.length - QUIET
    }

    // ---- processes ----

    fn start(&mut self, at: usize, older: bool) {
        if !matches!(self.places[at].core, Core::Down) {
            return;
        }
        let (now, seed): (f64, u64) = (self.now, self.chance.random());
        let name = |place: &Place| place.name.clone();
        let peer = |place: &Place| Peer {
            name: name(place),
            zone: format!("z{}", place.region),
            region: format!("r{}", place.region),
        };
        let (voters, distributors) = (self.plan.voters, self.plan.distributors);
        let voter_names: Vec<String> = self.places[..voters].iter().map(name).collect();
        let voter_peers: Vec<Peer> = self.places[..voters].iter().map(peer).collect();
        let peers: Vec<Peer> = self.places[voters..voters + distributors].iter().map(peer).collect();
        let times = self.times;
        let node = self.is_node(at);
        let place = &mut self.places[at];
        place.life += 1;
        (place.until, place.woken, place.seen) = (0.0, f64::INFINITY, None);
        place.opened.clear();
        let (zone, region) = (format!("z{}", place.region), format!("r{}", place.region));
        let me = who(place);
        place.core = if at < voters {
            if older && let Some(records) = place.older.take() {
                place.disk = (records.clone(), records.len());
                self.findings.forgot += 1;
                self.forgot = Some(at);
            }
            let kept: PersistentState = recover(place.disk.0.iter().cloned());
            let voter =
                Voter::new(&me.name, &voter_names, kept, pearfront_consensus::Times::default(), seed, now);
            let (catalog, registry) = (Catalog::default(), Registry::new("shop", times));
            Core::Voter(Box::new(Seat { voter, catalog, registry, applied: 0, snapshot_at: 0 }))
        } else if node {
            let interest = place.interest.clone();
            Core::Node(Box::new(Subscriber::new(
                "shop",
                me,
                (&zone, &region),
                &peers,
                interest,
                times,
                (seed, now),
            )))
        } else {
            Core::Distributor(Box::new(Distributor::new(
                "shop",
                me,
                (&zone, &region),
                &voter_peers,
                times,
                (seed, now),
            )))
        };
        self.tick(at);
    }

    fn kill(&mut self, at: usize) {
        if matches!(self.places[at].core, Core::Down) {
            return;
        }
        let of = who(&self.places[at]);
        let place = &mut self.places[at];
        place.core = Core::Down;
        place.busy = 0.0;
        place.disk.0.truncate(place.disk.1);
        let ends: Vec<(u64, bool)> = self
            .links
            .iter()
            .filter_map(|(link, one)| match at {
                at if one.client.0 == at => Some((*link, true)),
                at if one.server.0 == at => Some((*link, false)),
                _ => None,
            })
            .collect();
        ends.into_iter().for_each(|(link, up)| self.close(link, up));
        if at >= self.plan.voters && !self.is_node(at) {
            let after = self.between((1.0, 100.0));
            self.events.put(self.now + after, Event::Proof { of });
        }
    }

    /// Calls a core, carries out its actions, checks the invariants and schedules its next wake-up.
    fn tick(&mut self, at: usize) {
        let now = self.now;
        let started = Instant::now();
        match &mut self.places[at].core {
            Core::Down => return,
            Core::Voter(seat) => {
                seat.voter.tick(now);
                seat.registry.tick(&seat.catalog, now);
            }
            Core::Distributor(core) => {
                core.tick(now);
                self.findings.spent_distributors += started.elapsed();
            }
            Core::Node(core) => {
                core.tick(now);
                self.findings.spent_nodes += started.elapsed();
            }
        }
        self.settle(at);
    }

    fn settle(&mut self, at: usize) {
        match &self.places[at].core {
            Core::Down => return,
            Core::Voter(_) => self.settle_voter(at),
            Core::Distributor(_) => self.settle_distributor(at),
            Core::Node(_) => self.settle_node(at),
        }
        let place = &mut self.places[at];
        let due = match &place.core {
            Core::Down => return,
            Core::Voter(seat) => seat.voter.due().min(seat.registry.due()),
            Core::Distributor(core) => core.due(),
            Core::Node(core) => core.due(),
        };
        let due = due.max(self.now) + ROUNDING;
        if due < place.woken {
            place.woken = due;
            let life = place.life;
            self.events.put(due, Event::Wake { who: at, life, due });
        }
    }

    fn settle_voter(&mut self, at: usize) {
        loop {
            let now = self.now;
            let Core::Voter(seat) = &mut self.places[at].core else { return };
            let out = seat.voter.take_actions();
            let term = seat.voter.has_committed_in_term().then(|| seat.voter.term());
            if out.is_empty() {
                seat.registry.set_leading_term(term, now);
            }
            let above = if out.is_empty() { seat.registry.take_actions() } else { Vec::new() };
            if out.is_empty() && above.is_empty() {
                break;
            }
            out.into_iter().for_each(|out| self.carry(at, out));
            for out in above {
                match out {
                    RegistryAction::Propose(bytes) => {
                        let Core::Voter(seat) = &mut self.places[at].core else { return };
                        seat.voter.propose(bytes, now);
                    }
                    RegistryAction::Send { link, message } => self.send(link, false, false, encode(&message)),
                    RegistryAction::Close { link } => self.close(link, false),
                }
            }
        }
        let Core::Voter(seat) = &self.places[at].core else { return };
        if self.forgot == Some(at) && seat.voter.may_stand() && seat.voter.commit_index() > 0 {
            self.forgot = None;
        }
        if let Some(version) = seat.registry.in_force().filter(|version| *version > self.stated) {
            for v in self.stated + 1..=version {
                self.findings.known.push(self.now - self.history[v as usize].1);
            }
            self.stated = version;
            (0..self.places.len()).for_each(|at| self.look_at_stated(at));
        }
    }

    fn carry(&mut self, at: usize, out: Action) {
        match out {
            Action::Store { number, records } => {
                let takes = self.between(SYNC);
                let place = &mut self.places[at];
                place.disk.0.extend(records);
                place.busy = place.busy.max(self.now) + takes;
                let (life, at_time) = (place.life, place.busy);
                // Amount of data on disk after this sync.
                self.events.put(at_time, Event::Stored { who: at, life, number });
            }
            Action::Send(message) => {
                let Some(to) = self.places.iter().position(|place| place.name == message.to) else { return };
                let lost = !self.is_quiet() && self.chance.random::<f64>() < self.plan.loss;
                if !lost && !self.is_cut(at, to) {
                    let arrives = self.now + self.delay(at, to);
                    self.events.put(arrives, Event::Datagram { to, message });
                }
            }
            Action::Commit(entry) => self.commit(at, &entry),
            Action::Restore { index, bytes } => {
                let Core::Voter(seat) = &mut self.places[at].core else { return };
                seat.catalog = Catalog::decode(&bytes).unwrap_or_default();
                (seat.applied, seat.snapshot_at) = (index, index);
                seat.registry.snapshot_restored();
            }
            Action::ReadReady { .. } | Action::ReadFailed { .. } => {}
        }
    }

    fn commit(&mut self, at: usize, entry: &Entry) {
        if entry.index == self.truth.0 + 1 {
            self.truth.0 = entry.index;
            let touched = match postcard_sets(&entry.bytes) {
                Some(set) => set.services.into_keys().collect(),
                None => BTreeSet::new(),
            };
            let before = self.truth.1.version();
            self.truth.1.apply(&entry.bytes);
            if self.truth.1.version() > before {
                let all = self.truth.1.services().map(|(name, one)| (name.clone(), one.clone())).collect();
                self.history.push((all, self.now, touched));
            }
        }
        let Core::Voter(seat) = &mut self.places[at].core else { return };
        let applied = seat.catalog.apply(&entry.bytes);
        seat.registry.entry_applied(&entry.bytes, &applied, &seat.catalog);
        seat.applied = entry.index;
        if entry.index >= seat.snapshot_at + SNAPSHOT {
            seat.snapshot_at = entry.index;
            let bytes = seat.catalog.encode();
            seat.voter.compact(entry.index, bytes);
        }
    }

    fn settle_distributor(&mut self, at: usize) {
        let Core::Distributor(core) = &mut self.places[at].core else { return };
        for out in core.take_actions() {
            match out {
                DistributorAction::OpenVoter { link, to } => self.open(at, link, &to),
                DistributorAction::SendVoter { link, message } => self.send_up(at, link, encode(&message)),
                DistributorAction::CloseVoter { link } => self.close_own(at, link),
                DistributorAction::Send { link, bytes, urgent } => {
                    *self.places[at].bytes.entry((self.now / 1000.0) as u64).or_default() +=
                        bytes.len() as u64;
                    if let Some(one) = self.links.get(&link) {
                        let waits = &one.lanes[1];
                        if !urgent && !waits[0].0.is_empty() || waits[1].0.len() > MOST_URGENT {
                            self.broken(format!(
                                "{} has more than one update under way to a node",
                                self.places[at].name
                            ));
                        }
                    }
                    self.send(link, false, urgent, bytes);
                }
                DistributorAction::Close { link } => self.close(link, false),
            }
        }
    }

    fn settle_node(&mut self, at: usize) {
        let (now, refuses) = (self.now, self.plan.refusals && !self.is_quiet());
        let Core::Node(core) = &mut self.places[at].core else { return };
        let before = core.config().map(|config| config.version);
        let check = |config: &Config| {
            let bad = config.services.iter().find(|(_, service)| service.options.settings == "bad");
            bad.filter(|_| refuses).map_or(Ok(()), |(name, _)| Err(format!("services.{name}.settings: bad")))
        };
        let coming = core.has_pending_update();
        if coming && !core.apply_pending(check) {
            self.findings.node_refusals += 1;
        }
        let out = core.take_actions();
        let version = core.config().map(|config| config.version);
        if version != before
            && let Some(version) = version
        {
            for v in before.map_or(version, |before| before) + 1..=version {
                let Some((_, accepted, touched)) = self.history.get(v as usize) else { continue };
                if self.places[at].interest.iter().any(|name| touched.contains(name)) {
                    self.findings.in_force.push(now - accepted);
                }
            }
        }
        for out in out {
            match out {
                SubscriberAction::Open { link, to } => self.open(at, link, &to),
                SubscriberAction::Send { link, message } => self.send_up(at, link, encode(&message)),
                SubscriberAction::Close { link } => self.close_own(at, link),
            }
        }
        self.look_at_node(at);
    }

    // ---- invariants ----

    fn look_at_node(&mut self, at: usize) {
        let place = &self.places[at];
        let Core::Node(core) = &place.core else { return };
        let name = &place.name;
        let mut wrong = None;
        let version = core.config().map(|config| config.version);
        if version < place.seen {
            wrong = Some(format!("{name} had {:?} in force, and has {version:?}", place.seen));
        }
        let changed = version != place.seen;
        if let Some(config) = core.config().filter(|_| changed) {
            match self.history.get(config.version as usize) {
                None => {
                    wrong = Some(format!("{name} has version {}, which nobody committed", config.version))
                }
                Some((all, ..)) => {
                    let same = |service: &String| all.get(service) == config.services.get(service);
                    if !place.interest.iter().all(same) || config.services.len() > place.interest.len() {
                        wrong = Some(format!("{name} has a mixture at version {}", config.version));
                    }
                }
            }
        }
        if !core.restrictions().is_empty() {
            let services = place.interest.iter().cloned().collect();
            let narrowed = self.truth.1.restrictions(&services, 0);
            if !core.restrictions().iter().all(|one| narrowed.contains(one)) {
                wrong = Some(format!("{name} is under a restriction that nobody committed"));
            }
            self.findings.restricted += 1;
        }
        self.places[at].seen = version;
        if let Some(wrong) = wrong {
            self.broken(wrong);
        }
        if changed {
            self.look_at_stated(at);
        }
    }

    /// No version may count as in force everywhere while a running node lacks it.
    fn look_at_stated(&mut self, at: usize) {
        let place = &self.places[at];
        let Core::Node(core) = &place.core else { return };
        let Some(config) = core.config() else { return };
        let gone = self.apart.is_some_and(|(since, region)| {
            region == place.region && self.now >= since + 0.9 * self.times.gone_after_ms
        });
        let behind = (config.version + 1..=self.stated).find(|v| {
            let touched = &self.history[*v as usize].2;
            place.interest.iter().any(|name| touched.contains(name))
        });
        if let Some(v) = behind.filter(|_| !gone) {
            self.broken(format!(
                "{} is said to be in force everywhere, and {} has {} and not {v}",
                self.stated, place.name, config.version
            ));
        }
    }

    // ---- links ----

    fn delay(&mut self, from: usize, to: usize) -> f64 {
        let near = from < self.places.len()
            && to < self.places.len()
            && self.places[from].region == self.places[to].region;
        self.between(if near { (0.2, 2.0) } else { (15.0, 45.0) })
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.iter().any(|(_, froms, tos)| froms.contains(&from) && tos.contains(&to))
    }

    fn connect(&mut self, client: (usize, u64), number: u64, server: usize) -> u64 {
        self.link_number += 1;
        let life = self.places[server].life;
        let lanes = Default::default();
        let link = Link { client, number, server: (server, life), lanes, stalled: 0.0 };
        self.links.insert(self.link_number, link);
        self.link_number
    }

    fn open(&mut self, at: usize, number: u64, to: &str) {
        let Some(server) = self.places.iter().position(|place| place.name == to) else { return };
        let link = self.connect((at, self.places[at].life), number, server);
        self.places[at].opened.insert(number, link);
        if matches!(self.places[server].core, Core::Down) {
            self.close(link, false);
        }
    }

    fn send_up(&mut self, at: usize, number: u64, bytes: Vec<u8>) {
        if let Some(link) = self.places[at].opened.get(&number) {
            self.send(*link, true, false, bytes);
        }
    }

    fn close_own(&mut self, at: usize, number: u64) {
        if let Some(link) = self.places[at].opened.remove(&number) {
            self.close(link, true);
        }
    }

    fn send(&mut self, link: u64, up: bool, urgent: bool, bytes: Vec<u8>) {
        let Some(one) = self.links.get(&link) else { return };
        let (from, to) = if up { (one.client.0, one.server.0) } else { (one.server.0, one.client.0) };
        let lost = !self.is_quiet() && self.chance.random::<f64>() < self.plan.loss;
        let again = if lost { self.between(AGAIN) } else { 0.0 };
        let arrives = self.now + self.delay(from, to) + again;
        let Some(one) = self.links.get_mut(&link) else { return };
        let lane = &mut one.lanes[usize::from(!up)][usize::from(urgent)];
        lane.1 = lane.1.max(arrives);
        lane.0.push_back(bytes);
        let arrives = lane.1;
        self.events.put(arrives, Event::Arrive { link, up, urgent });
    }

    /// Closes one end and notifies the other.
    fn close(&mut self, link: u64, by_client: bool) {
        let Some(one) = self.links.get(&link) else { return };
        let (from, to) = if by_client { (one.client.0, one.server.0) } else { (one.server.0, one.client.0) };
        let arrives = self.now + self.delay(from, to);
        self.events.put(arrives, Event::Closed { link, up: by_client });
    }

    /// Destination of that direction; none if it is blocked now, with the time of the next attempt.
    fn passes(&self, link: u64, up: bool) -> Result<usize, f64> {
        let Some(one) = self.links.get(&link) else { return Err(f64::INFINITY) };
        let (from, to) = if up { (one.client.0, one.server.0) } else { (one.server.0, one.client.0) };
        let stands = self.places.get(to).map_or(0.0, |place| place.until).max(one.stalled);
        if stands > self.now {
            return Err(stands + ROUNDING);
        }
        if self.is_cut(from, to) { Err(self.now + RETRY) } else { Ok(to) }
    }

    fn arrive(&mut self, link: u64, up: bool, urgent: bool) {
        let to = match self.passes(link, up) {
            Ok(to) => to,
            Err(at) if at.is_finite() => return self.events.put(at, Event::Arrive { link, up, urgent }),
            Err(_) => return,
        };
        let now = self.now;
        let Some(one) = self.links.get_mut(&link) else { return };
        let Some(bytes) = one.lanes[usize::from(!up)][usize::from(urgent)].0.pop_front() else { return };
        let (client, server, number) = (one.client, one.server, one.number);
        if to >= self.places.len() {
            return self.writer_heard(to - self.places.len(), link, &bytes);
        }
        let life = if up { server.1 } else { client.1 };
        if self.places[to].life != life {
            return self.close(link, !up);
        }
        let started = Instant::now();
        let place = &mut self.places[to];
        match &mut place.core {
            Core::Down => return,
            Core::Voter(seat) => {
                let leader = seat.voter.leader().map(str::to_string);
                let Some(message) = decode::<ToVoter>(&bytes) else { return };
                seat.registry.receive(link, message, leader.as_deref(), &seat.catalog, now);
            }
            Core::Distributor(core) if up => {
                let Some(message) = decode::<ToDistributor>(&bytes) else { return };
                core.receive(link, message, now);
                self.findings.spent_distributors += started.elapsed();
                self.findings.node_bytes += bytes.len() as f64;
            }
            Core::Distributor(core) => {
                let Some(message) = decode::<FromVoter>(&bytes) else { return };
                core.receive_from_voter(number, message, now);
                self.findings.spent_distributors += started.elapsed();
            }
            Core::Node(core) => {
                let Some(message) = decode::<ToSubscriber>(&bytes) else { return };
                match &message {
                    ToSubscriber::Update { update, .. } => {
                        self.findings.updates += 1;
                        self.findings.snapshots += u64::from(update.from.is_none());
                    }
                    ToSubscriber::Restrict { .. } => self.findings.restricts += 1,
                    _ => {}
                }
                core.receive(number, message, now);
                self.findings.spent_nodes += started.elapsed();
                self.findings.node_bytes += bytes.len() as f64;
                *place.bytes.entry((now / 1000.0) as u64).or_default() += bytes.len() as u64;
            }
        }
        self.settle(to);
    }

    fn closed(&mut self, link: u64, up: bool) {
        let to = match self.passes(link, up) {
            Ok(to) => to,
            Err(at) if at.is_finite() => return self.events.put(at, Event::Closed { link, up }),
            Err(_) => return,
        };
        let Some(one) = self.links.remove(&link) else { return };
        let now = self.now;
        if to >= self.places.len() {
            return self.writer_closed(to - self.places.len(), link);
        }
        let life = if up { one.server.1 } else { one.client.1 };
        if self.places[to].life != life {
            return;
        }
        if !up {
            self.places[to].opened.remove(&one.number);
        }
        match &mut self.places[to].core {
            Core::Down => {}
            Core::Voter(seat) => seat.registry.link_closed(link),
            Core::Distributor(core) if up => core.link_closed(link, now),
            Core::Distributor(core) => core.voter_link_closed(one.number, now),
            Core::Node(core) => core.link_closed(one.number, now),
        }
        self.settle(to);
    }

    // ---- writers ----

    fn write(&mut self) {
        let pause = -self.plan.change_every * (1.0 - self.chance.random::<f64>()).ln();
        self.events.put(self.now + pause, Event::Write);
        // New changes stop some time before the end; those in flight may still complete.
        if self.now > self.plan.length - 0.7 * QUIET {
            return;
        }
        let Some(writer) = self.writers.iter().position(|writer| writer.set.is_none()) else { return };
        self.writers[writer].count += 1;
        let number = format!("w{writer}-{}", self.writers[writer].count);
        let set = self.draw_set(number);
        self.writers[writer].set = Some(set);
        self.say(writer);
    }

    fn draw_set(&mut self, number: String) -> ChangeSet {
        let mut services = BTreeMap::new();
        for _ in 0..self.chance.random_range(1..=3) {
            let name = format!("s{}", self.chance.random_range(0..self.plan.services));
            let version = self.truth.1.version_of(&name);
            let known = self.truth.1.get(&name).cloned();
            let mut change = ServiceChange::default();
            if self.chance.random_range(0..3) == 0 {
                change.expected = Some(version);
            }
            match (self.chance.random_range(0..12), &known) {
                (0, Some(_)) if self.chance.random_range(0..4) == 0 => change.remove = true,
                (0 | 1, _) => {
                    change.limit =
                        Some(self.chance.random::<bool>().then(|| self.chance.random_range(1..100)));
                }
                (2, _) => {
                    let bad = self.plan.refusals && !self.is_quiet() && self.chance.random_range(0..10) == 0;
                    change.settings = Some(if bad { "bad".into() } else { format!("good {number}") });
                }
                (3, Some(service)) if service.options.settings == "bad" => {
                    change.settings = Some(String::new())
                }
                (_, service) => {
                    let server = format!("{name}-{}", self.chance.random_range(0..self.plan.servers));
                    let was = service.as_ref().and_then(|service| service.servers.get(&server)).cloned();
                    let next = match (was, self.chance.random_range(0..3)) {
                        (Some(_), 0) => None,
                        (Some(was), 1) => Some(Server { state: ServerState::Draining, ..was }),
                        (Some(was), _) => {
                            Some(Server { limit: Some(self.chance.random_range(1..50)), ..was })
                        }
                        (None, _) => {
                            let address = format!("127.0.0.1:{}", self.chance.random_range(1024..65_535));
                            Some(Server {
                                address,
                                zone: "z1".into(),
                                state: ServerState::Serving,
                                limit: None,
                            })
                        }
                    };
                    change.servers.insert(server, next);
                }
            }
            services.insert(name, change);
        }
        ChangeSet { number, services }
    }

    fn say(&mut self, writer: usize) {
        if let Some(link) = self.writers[writer].link.take() {
            self.close(link, true);
        }
        let Some(set) = self.writers[writer].set.clone() else { return };
        self.writers[writer].attempt += 1;
        let (attempt, to) = (self.writers[writer].attempt, self.writers[writer].to);
        let link = self.connect((self.places.len() + writer, 0), 0, to);
        self.writers[writer].link = Some(link);
        if matches!(self.places[to].core, Core::Down) {
            self.close(link, false);
        }
        self.send(link, true, false, encode(&ToVoter::Submit(set)));
        self.events.put(self.now + WRITER, Event::WriterLate { writer, attempt });
    }

    fn writer_heard(&mut self, writer: usize, link: u64, bytes: &[u8]) {
        if self.writers[writer].link != Some(link) {
            return;
        }
        match decode::<FromVoter>(bytes) {
            Some(FromVoter::Outcome { number, outcome }) => {
                if self.writers[writer].set.as_ref().is_none_or(|set| set.number != number) {
                    return;
                }
                self.writers[writer].set = None;
                match outcome {
                    Outcome::Accepted(version) => {
                        if version >= self.history.len() as u64
                            || self.outcomes.insert(number.clone(), version).is_some()
                        {
                            self.broken(format!("{number} is said to be version {version}"));
                        }
                    }
                    Outcome::Refused(_) => self.findings.refused_sets += 1,
                }
            }
            Some(FromVoter::NotLeader { leader: Some(leader) }) => {
                self.writers[writer].to =
                    self.places.iter().position(|place| place.name == leader).unwrap_or_default();
                self.findings.said_again += 1;
                self.say(writer);
            }
            _ => {}
        }
    }

    fn writer_closed(&mut self, writer: usize, link: u64) {
        if self.writers[writer].link == Some(link) {
            self.writers[writer].link = None;
        }
    }

    fn writer_late(&mut self, writer: usize, attempt: u64) {
        if self.writers[writer].attempt == attempt && self.writers[writer].set.is_some() {
            self.writers[writer].to = self.chance.random_range(0..self.plan.voters);
            self.findings.said_again += 1;
            self.say(writer);
        }
    }

    // ---- faults ----

    fn cut(&mut self, from: BTreeSet<usize>, to: BTreeSet<usize>, until: f64) {
        self.cut_number += 1;
        self.cuts.push((self.cut_number, from, to));
        self.events.put(until, Event::Heal(self.cut_number));
    }

    fn stop(&mut self, who: usize, until: f64) {
        self.places[who].until = until;
        self.events.put(until + ROUNDING, Event::Resume { who });
    }

    fn cut_off(&mut self, who: usize, until: f64) {
        let all = 0..self.places.len() + self.writers.len();
        let (one, rest): (BTreeSet<usize>, BTreeSet<usize>) = all.partition(|at| *at == who);
        match self.chance.random_range(0..3) {
            0 => self.cut(one, rest, until),
            1 => self.cut(rest, one, until),
            _ => {
                self.cut(one.clone(), rest.clone(), until);
                self.cut(rest, one, until);
            }
        }
    }

    fn stall(&mut self, who: usize, until: f64) {
        let links = self.links.values_mut().filter(|link| link.client.0 == who || link.server.0 == who);
        links.for_each(|link| link.stalled = link.stalled.max(until));
    }

    fn befall(&mut self, who: usize, kind: u32, until: f64) {
        match kind {
            0 => {
                self.kill(who);
                self.events.put(until, Event::Start { who, older: false });
            }
            1 => self.stop(who, until),
            2 => self.cut_off(who, until),
            _ => self.stall(who, until),
        }
    }

    fn trouble(&mut self) {
        if self.is_quiet() {
            return;
        }
        let next = self.now - 900.0 * (1.0 - self.chance.random::<f64>()).ln();
        self.events.put(next, Event::Trouble);
        let lasts = self.between((100.0, 6000.0));
        let until = (self.now + lasts).min(self.plan.length - QUIET);
        let kind = self.chance.random_range(0..4);
        let (voters, distributors) = (self.plan.voters, self.plan.distributors);
        let who = match self.chance.random_range(0..10) {
            0..=1 if self.forgot.is_none() => self.chance.random_range(0..voters),
            0..=5 => voters + self.chance.random_range(0..distributors),
            _ => voters + distributors + self.chance.random_range(0..self.plan.nodes),
        };
        // Consecutive faults of the same process would add up to one longer outage.
        if self.now < self.places[who].spared {
            return;
        }
        self.places[who].spared = until + 4000.0;
        if self.is_node(who) && self.chance.random_range(0..3) == 0 {
            self.kill(who);
            let start = self.now + 300.0;
            let hide = start + self.between((5.0, 500.0));
            self.events.put(start, Event::Start { who, older: false });
            self.places[who].spared = self.now + 12_000.0;
            return self.events.put(hide, Event::Hide { who });
        }
        if who < voters && self.plan.disks && kind == 0 {
            let well = |place: &Place| matches!(place.core, Core::Voter(_)) && place.until <= self.now;
            let all_well = self.cuts.is_empty() && self.places[..voters].iter().all(well);
            if self.places[who].older.is_none() {
                let (records, synced) = &self.places[who].disk;
                self.places[who].older = Some(records[..*synced].to_vec());
            } else if all_well {
                self.kill(who);
                self.forgot = Some(who);
                return self.events.put(until, Event::Start { who, older: true });
            }
        }
        self.befall(who, kind, until);
    }

    fn hide(&mut self, who: usize) {
        let links = self.places[who].opened.values().filter_map(|link| self.links.get(link));
        let Some(server) = links.map(|link| link.server.0).next_back() else { return };
        self.kill(server);
        self.events.put(self.now + 3000.0, Event::Start { who: server, older: false });
        self.stop(who, self.now + 4000.0);
    }

    fn script(&mut self, step: u32) {
        let (voters, distributors) = (self.plan.voters, self.plan.distributors);
        match self.plan.script {
            Script::Storm => {}
            Script::Distributors => {
                if self.now > self.plan.length - QUIET - 20_000.0 {
                    return;
                }
                let who = voters + step as usize % distributors;
                self.befall(who, step % 4, self.now + 15_000.0);
                self.events.put(self.now + 16_000.0, Event::Script(step + 1));
            }
            Script::Region => {
                let until = self.now + 120_000.0;
                let inside =
                    |at: &usize| self.places.get(*at).is_some_and(|place| place.region == REGIONS - 1);
                let (one, rest): (BTreeSet<usize>, BTreeSet<usize>) =
                    (0..self.places.len() + self.writers.len()).partition(inside);
                self.cut(one.clone(), rest.clone(), until);
                self.cut(rest, one, until);
                self.apart = Some((self.now, REGIONS - 1));
                self.healed = Some(until);
            }
            Script::Voters => {
                (0..voters).for_each(|who| self.kill(who));
                let until = self.now + 30_000.0;
                (0..voters).for_each(|who| self.events.put(until, Event::Start { who, older: false }));
                // One node restarts meanwhile.
                let node = voters + distributors;
                self.kill(node);
                self.events.put(self.now + 10_000.0, Event::Start { who: node, older: false });
                self.healed = Some(until);
            }
            Script::Cold => self.healed = Some(self.now),
            Script::Warm => {
                let links: Vec<u64> = self
                    .links
                    .iter()
                    .filter(|(_, link)| self.is_node(link.client.0) && link.client.0 < self.places.len())
                    .map(|(link, _)| *link)
                    .collect();
                for link in links {
                    self.close(link, false);
                    self.close(link, true);
                }
                self.healed = Some(self.now);
            }
        }
    }

    // ---- time ----

    pub fn step(&mut self) -> bool {
        let Some((at, event)) = self.events.next(self.plan.length) else { return false };
        self.now = at;
        match event {
            Event::Datagram { to, message } => self.datagram(to, message),
            Event::Arrive { link, up, urgent } => self.arrive(link, up, urgent),
            Event::Closed { link, up } => self.closed(link, up),
            Event::Wake { who, life, due } => {
                let place = &mut self.places[who];
                if place.woken == due && place.life == life {
                    place.woken = f64::INFINITY;
                }
                if place.life == life && place.until <= at {
                    self.tick(who);
                }
            }
            Event::Resume { who } => {
                self.places[who].woken = f64::INFINITY;
                self.tick(who);
            }
            Event::Hide { who } => self.hide(who),
            Event::Stored { who, life, number } => self.stored(who, life, number),
            Event::Start { who, older } => self.start(who, older),
            Event::Write => self.write(),
            Event::WriterLate { writer, attempt } => self.writer_late(writer, attempt),
            Event::Trouble => self.trouble(),
            Event::Heal(number) => self.cuts.retain(|(one, ..)| *one != number),
            Event::Script(step) => self.script(step),
            Event::Proof { of } => {
                for at in 0..self.plan.voters {
                    if let Core::Voter(seat) = &mut self.places[at].core {
                        seat.registry.distributor_ended(&of, self.now);
                        self.settle(at);
                    }
                }
            }
        }
        self.look_whether_whole();
        self.findings.broken.is_none()
    }

    fn datagram(&mut self, to: usize, message: Message) {
        let now = self.now;
        if self.places[to].until > now {
            return;
        }
        if let Core::Voter(seat) = &mut self.places[to].core {
            seat.voter.receive(message, now);
            self.settle(to);
        }
    }

    fn stored(&mut self, who: usize, life: u64, number: u64) {
        let now = self.now;
        let place = &mut self.places[who];
        if place.life != life {
            return;
        }
        if let Core::Voter(seat) = &mut place.core {
            // Groups are synced in order, so everything written up to this one is on disk. Later groups do not count as
            // lost, although a kill during a sync could lose them.
            place.disk.1 = place.disk.0.len();
            seat.voter.on_stored(number, now);
            self.settle(who);
        }
    }

    /// Whether a node has every change that concerns it.
    fn is_even(&self, at: usize) -> bool {
        let Core::Node(core) = &self.places[at].core else { return true };
        let Some(config) = core.config() else { return false };
        let all = &self.history[self.history.len() - 1].0;
        self.places[at].interest.iter().all(|name| all.get(name) == config.services.get(name))
    }

    fn look_whether_whole(&mut self) {
        let Some(healed) =
            self.healed.filter(|at| self.now >= at + 10.0 && self.findings.whole_after.is_none())
        else {
            return;
        };
        let first = self.plan.voters + self.plan.distributors;
        // With changes always in flight no node ever has the newest version: nodes have to reach the version that was newest
        // at the end of the fault.
        let then = self.history.partition_point(|(_, at, _)| *at <= healed) as u64 - 1;
        let has = |at: usize| match &self.places[at].core {
            Core::Node(core) => core.config().is_some_and(|config| config.version >= then),
            _ => true,
        };
        // Checks the node that was last found behind first: it mostly still is.
        if has(self.places.len() - 1) && (first..self.places.len()).all(has) {
            self.findings.whole_after = Some(self.now - healed);
        }
    }

    pub fn play(mut self) -> Findings {
        while self.step() {}
        if self.findings.broken.is_none() {
            self.at_the_end();
        }
        let after = self.healed.map_or(5, |at| (at / 1000.0) as u64);
        let most = |places: &[Place]| {
            let all = places.iter().flat_map(|place| place.bytes.range(after..).map(|(_, bytes)| *bytes));
            all.max().unwrap_or_default()
        };
        let first = self.plan.voters + self.plan.distributors;
        self.findings.most_distributor_bytes = most(&self.places[self.plan.voters..first]);
        self.findings.most_node_bytes = most(&self.places[first..]);
        self.findings.node_bytes /= self.plan.nodes as f64 * self.plan.length / 1000.0;
        self.findings.versions = self.truth.1.version();
        self.findings
    }

    fn at_the_end(&mut self) {
        let newest = self.truth.1.version();
        let behind: Vec<String> = (0..self.places.len())
            .filter(|at| !self.is_even(*at))
            .map(|at| self.places[at].name.clone())
            .collect();
        if !behind.is_empty() {
            return self
                .broken(format!("after {QUIET} ms without trouble {behind:?} have not what is newest"));
        }
        if self.stated != newest {
            let shown = self.places[..self.plan.voters].iter().filter_map(|place| match &place.core {
                Core::Voter(seat) => seat.registry.in_force().map(|version| (place.name.clone(), version)),
                _ => None,
            });
            let shown: Vec<_> = shown.collect();
            self.broken(format!(
                "{newest} is in force everywhere, and {} is said to be: {shown:?}",
                self.stated
            ));
        }
    }
}

/// The change set of an entry, if it contains one.
fn postcard_sets(bytes: &[u8]) -> Option<ChangeSet> {
    pearfront_distribute::Command::decode(bytes).and_then(|command| match command {
        pearfront_distribute::Command::Change(set) => Some(set),
        pearfront_distribute::Command::Distributor { .. } => None,
    })
}

/// Runs one plan under one seed.
pub fn play(plan: Plan, seed: u64) -> Findings {
    World::new(plan, seed).play()
}
