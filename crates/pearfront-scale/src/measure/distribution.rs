//! One distributor and its subscribers, real cores in simulated time: the herd at a start, standing by, changes at the rate of
//! the worst hour, and all coming again with what they held. The log above it is not in the way: a change is there once it
//! is committed.

use crate::Point;
use crate::clock::{Meter, memory_mb};
use hdrhistogram::Histogram;
use pearfront_distribute::{
    Catalog, ChangeSet, Command, Distributor, DistributorAction, FromVoter, Peer, ProcessId, Server,
    ServerState, ServiceChange, Subscriber, SubscriberAction, Times, ToDistributor, ToSubscriber, ToVoter,
    decode, encode,
};
use pearfront_emulator::event_queue::EventQueue;
use rand::distr::weighted::WeightedIndex;
use rand::prelude::{Distribution, Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Services of the fleet; the first has so many servers, and each further one fewer, by a power: some 22,000 in all.
const SERVICES: usize = 4200;
const LARGEST: f64 = 2000.0;
const FALLS: f64 = 0.95;
/// Services that a node calls, drawn by the root of their size: some 1,500 nodes of a fleet of 22,000 call the largest.
const CALLED: usize = 10;
/// Bytes of a service's settings, and of a change of them.
const SETTINGS: usize = 1024;
/// Changes a second in the worst hour: ten times 51,000 a day.
const CHANGES: f64 = 6.0;
/// One-way delay between a distributor and its nodes, ms; beats of the voters.
const DELAY: (f64, f64) = (0.1, 0.5);
const VOTERS_BEAT: f64 = 200.0;
/// Subscribers whose processor time is taken.
const METERED: usize = 16;
/// How long a herd is waited for, and looked at, ms.
const PATIENCE: f64 = 300_000.0;
const LOOK: f64 = 50.0;
/// Time after a herd until it is quiet, ms.
const SETTLE: f64 = 3000.0;

enum Event {
    ToNode { who: usize, link: u64, message: ToSubscriber },
    ToDistributor { link: u64, message: ToDistributor },
    Node { who: usize, due: f64 },
    Distributor { due: f64 },
    VotersBeat,
    ReportTaken { link: u64, number: u64 },
    Change,
}

struct Node {
    core: Subscriber,
    /// The link that it has, as the distributor numbers it, and as it does itself.
    link: Option<(u64, u64)>,
    woken: f64,
    interest: BTreeSet<String>,
    /// The version up to which its times are booked.
    booked: u64,
}

struct World {
    distributor: Distributor,
    catalog: Catalog,
    above: u64,
    beats: u64,
    nodes: Vec<Node>,
    links: BTreeMap<u64, usize>,
    numbered: u64,
    events: EventQueue<Event>,
    woken: f64,
    chance: ChaCha8Rng,
    now: f64,
    /// When each version was committed, and which service it changed, from the first change on.
    committed: BTreeMap<u64, (f64, String)>,
    changing: bool,
    in_force: Histogram<u64>,
    down: u64,
    up: u64,
    meter: Meter,
    node_meter: Meter,
}

fn name(service: usize) -> String {
    format!("service-{service:04}")
}

fn size(service: usize) -> usize {
    (LARGEST / (service as f64 + 1.0).powf(FALLS)).round().max(1.0) as usize
}

fn set(number: u64, service: usize, change: ServiceChange) -> ChangeSet {
    ChangeSet { number: format!("{number}"), services: BTreeMap::from([(name(service), change)]) }
}

fn whole(service: usize) -> ServiceChange {
    let server = |number: usize| {
        let [_, high, middle, low] = ((service * 2100 + number) as u32).to_be_bytes();
        let server = Server {
            address: format!("10.{high}.{middle}.{low}:8080"),
            zone: format!("zone-{}", number % 12),
            state: ServerState::Serving,
            limit: None,
        };
        (format!("{}-{number}", name(service)), Some(server))
    };
    ServiceChange {
        settings: Some("s".repeat(SETTINGS)),
        servers: (0..size(service)).map(server).collect(),
        ..ServiceChange::default()
    }
}

impl World {
    fn new(subscribers: usize, seed: u64) -> Result<Self, String> {
        let mut catalog = Catalog::default();
        for service in 0..SERVICES {
            catalog.apply(&Command::Change(set(service as u64, service, whole(service))).encode());
        }
        if catalog.version() != SERVICES as u64 {
            return Err(format!("{} of {SERVICES} services were accepted", catalog.version()));
        }
        let peer = |name: &str| Peer { name: name.into(), zone: "z".into(), region: "r".into() };
        let times = Times::default();
        let me = ProcessId { name: "d0".into(), incarnation: 1 };
        let distributor = Distributor::new("scale", me, ("z", "r"), &[peer("v0")], times, (seed, 0.0));
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let weights = WeightedIndex::new((0..SERVICES).map(|service| (size(service) as f64).sqrt()));
        let weights = weights.map_err(|error| error.to_string())?;
        let node = |number: usize| {
            let mut interest = BTreeSet::new();
            while interest.len() < CALLED {
                interest.insert(name(weights.sample(&mut chance)));
            }
            let me = ProcessId { name: format!("n{number:05}"), incarnation: 1 };
            let services = interest.iter().cloned().collect();
            let seeded = (chance.random(), 0.0);
            let core = Subscriber::new("scale", me, ("z", "r"), &[peer("d0")], services, times, seeded);
            Node { core, link: None, woken: f64::INFINITY, interest, booked: 0 }
        };
        let nodes = (0..subscribers).map(node).collect();
        Ok(Self {
            distributor,
            catalog,
            above: 0,
            beats: 0,
            nodes,
            links: BTreeMap::new(),
            numbered: 0,
            events: EventQueue::default(),
            woken: f64::INFINITY,
            chance,
            now: 0.0,
            committed: BTreeMap::new(),
            changing: false,
            in_force: histogram()?,
            down: 0,
            up: 0,
            meter: Meter::default(),
            node_meter: Meter::default(),
        })
    }

    /// The distributor gets all that there is; then the nodes start.
    fn begin(&mut self) {
        self.distribute(|core, now| core.tick(now));
        let message = FromVoter::Snapshot { catalog: self.catalog.encode() };
        let above = self.above;
        self.distribute(|core, now| core.receive_from_voter(above, message, now));
        self.events.put(self.now, Event::VotersBeat);
        self.run_to(self.now + 1000.0);
        (0..self.nodes.len()).for_each(|who| self.node(who, |core, now| core.tick(now)));
    }

    fn delay(&mut self) -> f64 {
        self.chance.random_range(DELAY.0..DELAY.1)
    }

    fn distribute(&mut self, call: impl FnOnce(&mut Distributor, f64)) {
        let (now, core) = (self.now, &mut self.distributor);
        let out = self.meter.take(|| {
            call(core, now);
            core.take_actions()
        });
        for out in out {
            match out {
                DistributorAction::OpenVoter { link, .. } => self.above = link,
                DistributorAction::SendVoter { link, message: ToVoter::Report(report) } => {
                    let (number, at) = (report.number, self.now + DELAY.1);
                    self.events.put(at, Event::ReportTaken { link, number });
                }
                DistributorAction::Send { link, bytes, .. } => {
                    self.down += bytes.len() as u64;
                    let Some(&who) = self.links.get(&link) else { continue };
                    let message = decode(&bytes);
                    let at = self.now + self.delay();
                    if let Some(message) = message {
                        self.events.put(at, Event::ToNode { who, link, message });
                    }
                }
                DistributorAction::Close { link } => drop(self.links.remove(&link)),
                DistributorAction::SendVoter { .. } | DistributorAction::CloseVoter { .. } => {}
            }
        }
        let due = self.distributor.due().max(now);
        if due < self.woken {
            self.woken = due;
            self.events.put(due, Event::Distributor { due });
        }
    }

    fn node(&mut self, who: usize, call: impl FnOnce(&mut Subscriber, f64)) {
        let (now, metered) = (self.now, who < METERED);
        let core = &mut self.nodes[who].core;
        let work = || {
            call(core, now);
            // Between two rounds of a node's decisions; here there are none.
            let applied = core.apply_pending(|_| Ok(()));
            (core.take_actions(), core.due().max(now), applied)
        };
        let (out, due, applied) = if metered { self.node_meter.take(work) } else { work() };
        let node = &mut self.nodes[who];
        if due < node.woken {
            node.woken = due;
            self.events.put(due, Event::Node { who, due });
        }
        if applied {
            self.book(who);
        }
        for out in out {
            match out {
                SubscriberAction::Open { link, .. } => {
                    self.numbered += 1;
                    self.links.insert(self.numbered, who);
                    self.nodes[who].link = Some((self.numbered, link));
                }
                SubscriberAction::Send { link, message } => {
                    self.up += encode(&message).len() as u64;
                    let there = self.nodes[who].link.filter(|(_, own)| *own == link);
                    let at = self.now + self.delay();
                    if let Some((link, _)) = there {
                        self.events.put(at, Event::ToDistributor { link, message });
                    }
                }
                SubscriberAction::Close { link } => {
                    let there = self.nodes[who].link.take_if(|(_, own)| *own == link);
                    if let Some((link, _)) = there {
                        self.links.remove(&link);
                        self.distribute(|core, now| core.link_closed(link, now));
                    }
                }
            }
        }
    }

    /// Something else is in force at a node: how long after its commit is that, for each change that concerns it?
    fn book(&mut self, who: usize) {
        let node = &mut self.nodes[who];
        let Some(version) = node.core.config().map(|config| config.version) else { return };
        for (at, service) in self.committed.range(node.booked + 1..=version).map(|(_, change)| change) {
            if node.interest.contains(service) {
                self.in_force.saturating_record(((self.now - at) * 1000.0) as u64);
            }
        }
        node.booked = version;
    }

    fn run_to(&mut self, end: f64) {
        while let Some((at, event)) = self.events.next(end) {
            self.now = at;
            match event {
                Event::ToNode { who, link, message } => {
                    if let Some((_, own)) = self.nodes[who].link.filter(|(there, _)| *there == link) {
                        self.node(who, |core, now| core.receive(own, message, now));
                    }
                }
                Event::ToDistributor { link, message } => {
                    if self.links.contains_key(&link) {
                        self.distribute(|core, now| core.receive(link, message, now));
                    }
                }
                Event::Node { who, due } => {
                    if self.nodes[who].woken == due {
                        self.nodes[who].woken = f64::INFINITY;
                        self.node(who, |core, now| core.tick(now));
                    }
                }
                Event::Distributor { due } => {
                    if self.woken == due {
                        self.woken = f64::INFINITY;
                        self.distribute(|core, now| core.tick(now));
                    }
                }
                Event::VotersBeat => {
                    self.events.put(at + VOTERS_BEAT, Event::VotersBeat);
                    self.beats += 1;
                    let (number, above, version) = (self.beats, self.above, self.catalog.version());
                    let beat = FromVoter::Heartbeat { number, version, in_force: None };
                    self.distribute(|core, now| core.receive_from_voter(above, beat, now));
                }
                Event::ReportTaken { link, number } => {
                    self.distribute(|core, now| {
                        core.receive_from_voter(link, FromVoter::ReportAccepted { number }, now)
                    });
                }
                Event::Change => self.change(),
            }
        }
        self.now = end;
    }

    /// A service's settings change; the distributor hears of it as soon as it is committed.
    fn change(&mut self) {
        if !self.changing {
            return;
        }
        let pause = -1000.0 / CHANGES * (1.0 - self.chance.random::<f64>()).ln();
        self.events.put(self.now + pause, Event::Change);
        let (service, to) = (self.chance.random_range(0..SERVICES), self.catalog.version() + 1);
        let settings = Some(format!("{to:0SETTINGS$}"));
        let change =
            set(to + SERVICES as u64, service, ServiceChange { settings, ..ServiceChange::default() });
        self.catalog.apply(&Command::Change(change.clone()).encode());
        self.committed.insert(to, (self.now, name(service)));
        let (above, message) = (self.above, FromVoter::ChangeSets { to, sets: vec![change] });
        self.distribute(|core, now| core.receive_from_voter(above, message, now));
    }

    /// Until that holds of every node: ms, bytes of a node, most of the distributor in a second.
    fn until_all(&mut self, holds: impl Fn(&Node, f64) -> bool) -> (Option<f64>, f64, f64) {
        let (begin, down) = (self.now, self.down);
        let (mut second, mut most) = ((begin, down), 0u64);
        while self.now < begin + PATIENCE {
            self.run_to(self.now + LOOK);
            if self.now - second.0 >= 1000.0 {
                most = most.max(self.down - second.1);
                second = (self.now, self.down);
            }
            if self.nodes.iter().all(|node| holds(node, self.now)) {
                let bytes = (self.down - down) as f64 / self.nodes.len() as f64;
                return (Some(self.now - begin), bytes, most.max(self.down - second.1) as f64);
            }
        }
        (None, f64::NAN, most as f64)
    }

    /// Until every node has the newest version of what it wants.
    fn herd(&mut self) -> (Option<f64>, f64, f64) {
        let newest = self.catalog.version();
        self.until_all(|node, _| node.core.config().is_some_and(|config| config.version >= newest))
    }

    /// Until each has been told since now that what it has is the newest.
    fn again(&mut self) -> (Option<f64>, f64, f64) {
        let begin = self.now;
        self.until_all(|node, now| {
            node.link.is_some() && node.core.age(now).is_some_and(|age| age < now - begin)
        })
    }

    /// All links break in one instant.
    fn cut(&mut self) {
        for who in 0..self.nodes.len() {
            if let Some((there, own)) = self.nodes[who].link.take() {
                self.links.remove(&there);
                self.distribute(|core, now| core.link_closed(there, now));
                self.node(who, |core, now| core.link_closed(own, now));
            }
        }
    }

    fn span(&mut self, seconds: f64) -> (f64, f64, f64, f64) {
        let (down, up, spent, node_spent) = (self.down, self.up, self.meter.spent(), self.node_meter.spent());
        self.run_to(self.now + seconds * 1000.0);
        let (nodes, metered) = (self.nodes.len() as f64, METERED.min(self.nodes.len()) as f64);
        (
            (self.down - down) as f64 / nodes / seconds,
            (self.up - up) as f64 / nodes / seconds,
            (self.meter.spent() - spent) / seconds * 100.0,
            (self.node_meter.spent() - node_spent) / metered / seconds * 100.0,
        )
    }
}

fn histogram() -> Result<Histogram<u64>, String> {
    Histogram::new_with_bounds(1, 600_000_000, 3).map_err(|error| error.to_string())
}

pub fn by_subscribers(point: &mut Point, subscribers: usize, seconds: f64, seed: u64) -> Result<(), String> {
    let memory = memory_mb().0;
    let mut world = World::new(subscribers, seed)?;
    world.begin();
    let spent = world.meter.spent();
    let (whole, bytes, most) = world.herd();
    point.set("herd_ms", whole.ok_or("a herd that never was whole")?);
    point.set("herd_bytes_a_node", bytes);
    point.set("herd_bytes_worst_second", most);
    point.set("herd_cpu_s", world.meter.spent() - spent);
    world.run_to(world.now + SETTLE);
    let (down, up, cpu, node_cpu) = world.span(seconds);
    point.set("standing_bytes_a_second", down + up);
    point.set("standing_cpu_share", cpu);
    point.set("standing_node_cpu_share", node_cpu);
    world.changing = true;
    world.change();
    let (down, up, cpu, node_cpu) = world.span(seconds);
    world.changing = false;
    point.set("changes_bytes_a_second", down + up);
    point.set("changes_cpu_share", cpu);
    point.set("changes_node_cpu_share", node_cpu);
    world.run_to(world.now + SETTLE);
    let ms = |quantile: f64| world.in_force.value_at_quantile(quantile) as f64 / 1000.0;
    point.set("in_force_ms_p50", ms(0.5));
    point.set("in_force_ms_p99", ms(0.99));
    point.set("in_force_ms_most", world.in_force.max() as f64 / 1000.0);
    point.set("changes_in_force", world.in_force.len() as f64);
    world.cut();
    let (again, bytes, most) = world.again();
    point.set("again_ms", again.ok_or("a return that never was whole")?);
    point.set("again_bytes_a_node", bytes);
    point.set("again_bytes_worst_second", most);
    point.set("memory_mb", memory_mb().0 - memory);
    Ok(())
}
