//! Measures one distributor by number of subscribers: the simultaneous start of all nodes, the steady state, changes at the rate
//! of the worst hour, and the simultaneous reconnect of all nodes with the state that they hold. Real cores run in simulated
//! time. Consensus is not simulated: the distributor gets a change as soon as it is committed.

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

/// Services of the fleet.
const SERVICES: usize = 4200;
/// Servers of the largest service.
const LARGEST_SERVICE: f64 = 2000.0;
/// Exponent of the power law by which the size of a service falls with its rank; some 22,000 servers in total.
const SIZE_EXPONENT: f64 = 0.95;
/// Services that a node calls, drawn with the square root of their size as weight: some 1,500 nodes of a fleet of 22,000 call
/// the largest service.
const SERVICES_PER_NODE: usize = 10;
/// Size of a service's settings, and of a change to them, bytes.
const SETTINGS_BYTES: usize = 1024;
/// Changes per second in the worst hour: ten times the mean rate of 51,000 a day.
const CHANGES_PER_S: f64 = 6.0;
/// Range of the one-way delay between a distributor and its nodes, ms.
const DELAY_MS: (f64, f64) = (0.1, 0.5);
/// Heartbeat interval of the voters, ms.
const VOTER_HEARTBEAT_MS: f64 = 200.0;
/// Subscribers whose processor time is measured.
const METERED_NODES: usize = 16;
/// Time within which all nodes must be up to date, ms.
const CATCH_UP_TIMEOUT_MS: f64 = 300_000.0;
/// Interval at which that is checked, ms.
const POLL_INTERVAL_MS: f64 = 50.0;
/// Pause after a simultaneous start until the steady state, ms.
const SETTLE_MS: f64 = 3000.0;

enum Event {
    ToNode { node: usize, link: u64, message: ToSubscriber },
    ToDistributor { link: u64, message: ToDistributor },
    Node { node: usize, due: f64 },
    Distributor { due: f64 },
    VoterHeartbeat,
    ReportAccepted { link: u64, number: u64 },
    Change,
}

struct Node {
    core: Subscriber,
    /// Number of its connection at the distributor, and at the node itself.
    link: Option<(u64, u64)>,
    /// Time of the next scheduled wake-up, ms.
    next_wake: f64,
    /// Names of the services that it calls.
    services: BTreeSet<String>,
    /// Version up to which its delays are recorded.
    recorded_version: u64,
}

struct World {
    distributor: Distributor,
    catalog: Catalog,
    /// Number of the distributor's connection to the voter.
    voter_link: u64,
    heartbeats: u64,
    nodes: Vec<Node>,
    links: BTreeMap<u64, usize>,
    /// Number of connections that nodes opened so far.
    last_link: u64,
    events: EventQueue<Event>,
    /// Time of the next scheduled wake-up, ms.
    next_wake: f64,
    rng: ChaCha8Rng,
    now: f64,
    /// Commit time and changed service of each version, from the first change on.
    committed: BTreeMap<u64, (f64, String)>,
    changing: bool,
    /// Delay from commit until a change is in force at a node, microseconds.
    in_force_delay: Histogram<u64>,
    /// Bytes from the distributor to nodes, and from nodes to the distributor.
    bytes_down: u64,
    bytes_up: u64,
    meter: Meter,
    node_meter: Meter,
}

fn service_name(service: usize) -> String {
    format!("service-{service:04}")
}

fn service_size(service: usize) -> usize {
    (LARGEST_SERVICE / (service as f64 + 1.0).powf(SIZE_EXPONENT)).round().max(1.0) as usize
}

fn change_set(number: u64, service: usize, change: ServiceChange) -> ChangeSet {
    ChangeSet { number: format!("{number}"), services: BTreeMap::from([(service_name(service), change)]) }
}

fn full_service(service: usize) -> ServiceChange {
    let server = |number: usize| {
        let [_, high, middle, low] = ((service * 2100 + number) as u32).to_be_bytes();
        let server = Server {
            address: format!("10.{high}.{middle}.{low}:8080"),
            zone: format!("zone-{}", number % 12),
            state: ServerState::Serving,
            limit: None,
        };
        (format!("{}-{number}", service_name(service)), Some(server))
    };
    ServiceChange {
        settings: Some("s".repeat(SETTINGS_BYTES)),
        servers: (0..service_size(service)).map(server).collect(),
        ..ServiceChange::default()
    }
}

impl World {
    fn new(subscribers: usize, seed: u64) -> Result<Self, String> {
        let mut catalog = Catalog::default();
        for service in 0..SERVICES {
            catalog
                .apply(&Command::Change(change_set(service as u64, service, full_service(service))).encode());
        }
        if catalog.version() != SERVICES as u64 {
            return Err(format!("{} of {SERVICES} services were accepted", catalog.version()));
        }
        let peer = |name: &str| Peer { name: name.into(), zone: "z".into(), region: "r".into() };
        let times = Times::default();
        let me = ProcessId { name: "d0".into(), incarnation: 1 };
        let distributor = Distributor::new("scale", me, ("z", "r"), &[peer("v0")], times, (seed, 0.0));
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let weights = WeightedIndex::new((0..SERVICES).map(|service| (service_size(service) as f64).sqrt()));
        let weights = weights.map_err(|error| error.to_string())?;
        let node = |number: usize| {
            let mut services = BTreeSet::new();
            while services.len() < SERVICES_PER_NODE {
                services.insert(service_name(weights.sample(&mut rng)));
            }
            let me = ProcessId { name: format!("n{number:05}"), incarnation: 1 };
            let service_names = services.iter().cloned().collect();
            let seed_and_start = (rng.random(), 0.0);
            let core =
                Subscriber::new("scale", me, ("z", "r"), &[peer("d0")], service_names, times, seed_and_start);
            Node { core, link: None, next_wake: f64::INFINITY, services, recorded_version: 0 }
        };
        let nodes = (0..subscribers).map(node).collect();
        Ok(Self {
            distributor,
            catalog,
            voter_link: 0,
            heartbeats: 0,
            nodes,
            links: BTreeMap::new(),
            last_link: 0,
            events: EventQueue::default(),
            next_wake: f64::INFINITY,
            rng,
            now: 0.0,
            committed: BTreeMap::new(),
            changing: false,
            in_force_delay: histogram()?,
            bytes_down: 0,
            bytes_up: 0,
            meter: Meter::default(),
            node_meter: Meter::default(),
        })
    }

    /// Gives the distributor a snapshot of the whole catalog, then starts the nodes.
    fn start(&mut self) {
        self.run_distributor(|core, now| core.tick(now));
        let message = FromVoter::Snapshot { catalog: self.catalog.encode() };
        let voter_link = self.voter_link;
        self.run_distributor(|core, now| core.receive_from_voter(voter_link, message, now));
        self.events.put(self.now, Event::VoterHeartbeat);
        self.run_to(self.now + 1000.0);
        (0..self.nodes.len()).for_each(|node_index| self.run_node(node_index, |core, now| core.tick(now)));
    }

    fn delay(&mut self) -> f64 {
        self.rng.random_range(DELAY_MS.0..DELAY_MS.1)
    }

    fn run_distributor(&mut self, call: impl FnOnce(&mut Distributor, f64)) {
        let (now, core) = (self.now, &mut self.distributor);
        let actions = self.meter.measure(|| {
            call(core, now);
            core.take_actions()
        });
        for action in actions {
            match action {
                DistributorAction::OpenVoter { link, .. } => self.voter_link = link,
                DistributorAction::SendVoter { link, message: ToVoter::Report(report) } => {
                    let (number, at) = (report.number, self.now + DELAY_MS.1);
                    self.events.put(at, Event::ReportAccepted { link, number });
                }
                DistributorAction::Send { link, bytes, .. } => {
                    self.bytes_down += bytes.len() as u64;
                    let Some(&node_index) = self.links.get(&link) else { continue };
                    let message = decode(&bytes);
                    let at = self.now + self.delay();
                    if let Some(message) = message {
                        self.events.put(at, Event::ToNode { node: node_index, link, message });
                    }
                }
                DistributorAction::Close { link } => drop(self.links.remove(&link)),
                DistributorAction::SendVoter { .. } | DistributorAction::CloseVoter { .. } => {}
            }
        }
        let due = self.distributor.due().max(now);
        if due < self.next_wake {
            self.next_wake = due;
            self.events.put(due, Event::Distributor { due });
        }
    }

    fn run_node(&mut self, node_index: usize, call: impl FnOnce(&mut Subscriber, f64)) {
        let (now, metered) = (self.now, node_index < METERED_NODES);
        let core = &mut self.nodes[node_index].core;
        let work = || {
            call(core, now);
            // A node applies updates between two decision rounds; there are no rounds here.
            let applied = core.apply_pending(|_| Ok(()));
            (core.take_actions(), core.due().max(now), applied)
        };
        let (actions, due, applied) = if metered { self.node_meter.measure(work) } else { work() };
        let node = &mut self.nodes[node_index];
        if due < node.next_wake {
            node.next_wake = due;
            self.events.put(due, Event::Node { node: node_index, due });
        }
        if applied {
            self.record_delays(node_index);
        }
        for action in actions {
            match action {
                SubscriberAction::Open { link, .. } => {
                    self.last_link += 1;
                    self.links.insert(self.last_link, node_index);
                    self.nodes[node_index].link = Some((self.last_link, link));
                }
                SubscriberAction::Send { link, message } => {
                    self.bytes_up += encode(&message).len() as u64;
                    let open_link = self.nodes[node_index].link.filter(|(_, node_link)| *node_link == link);
                    let at = self.now + self.delay();
                    if let Some((link, _)) = open_link {
                        self.events.put(at, Event::ToDistributor { link, message });
                    }
                }
                SubscriberAction::Close { link } => {
                    let open_link = self.nodes[node_index].link.take_if(|(_, node_link)| *node_link == link);
                    if let Some((link, _)) = open_link {
                        self.links.remove(&link);
                        self.run_distributor(|core, now| core.link_closed(link, now));
                    }
                }
            }
        }
    }

    /// Records, when a new version is in force at a node, the delay since the commit of each change that concerns the node.
    fn record_delays(&mut self, node_index: usize) {
        let node = &mut self.nodes[node_index];
        let Some(version) = node.core.config().map(|config| config.version) else { return };
        for (at, service) in
            self.committed.range(node.recorded_version + 1..=version).map(|(_, change)| change)
        {
            if node.services.contains(service) {
                self.in_force_delay.saturating_record(((self.now - at) * 1000.0) as u64);
            }
        }
        node.recorded_version = version;
    }

    fn run_to(&mut self, end: f64) {
        while let Some((at, event)) = self.events.next(end) {
            self.now = at;
            match event {
                Event::ToNode { node: node_index, link, message } => {
                    if let Some((_, node_link)) =
                        self.nodes[node_index].link.filter(|(distributor_link, _)| *distributor_link == link)
                    {
                        self.run_node(node_index, |core, now| core.receive(node_link, message, now));
                    }
                }
                Event::ToDistributor { link, message } => {
                    if self.links.contains_key(&link) {
                        self.run_distributor(|core, now| core.receive(link, message, now));
                    }
                }
                Event::Node { node: node_index, due } => {
                    if self.nodes[node_index].next_wake == due {
                        self.nodes[node_index].next_wake = f64::INFINITY;
                        self.run_node(node_index, |core, now| core.tick(now));
                    }
                }
                Event::Distributor { due } => {
                    if self.next_wake == due {
                        self.next_wake = f64::INFINITY;
                        self.run_distributor(|core, now| core.tick(now));
                    }
                }
                Event::VoterHeartbeat => {
                    self.events.put(at + VOTER_HEARTBEAT_MS, Event::VoterHeartbeat);
                    self.heartbeats += 1;
                    let (number, voter_link, version) =
                        (self.heartbeats, self.voter_link, self.catalog.version());
                    let heartbeat = FromVoter::Heartbeat { number, version, in_force: None };
                    self.run_distributor(|core, now| core.receive_from_voter(voter_link, heartbeat, now));
                }
                Event::ReportAccepted { link, number } => {
                    self.run_distributor(|core, now| {
                        core.receive_from_voter(link, FromVoter::ReportAccepted { number }, now)
                    });
                }
                Event::Change => self.change(),
            }
        }
        self.now = end;
    }

    /// Changes the settings of a service; the distributor receives the change as soon as it is committed.
    fn change(&mut self) {
        if !self.changing {
            return;
        }
        let interval = -1000.0 / CHANGES_PER_S * (1.0 - self.rng.random::<f64>()).ln();
        self.events.put(self.now + interval, Event::Change);
        let (service, to) = (self.rng.random_range(0..SERVICES), self.catalog.version() + 1);
        let settings = Some(format!("{to:0SETTINGS_BYTES$}"));
        let change =
            change_set(to + SERVICES as u64, service, ServiceChange { settings, ..ServiceChange::default() });
        self.catalog.apply(&Command::Change(change.clone()).encode());
        self.committed.insert(to, (self.now, service_name(service)));
        let (voter_link, message) = (self.voter_link, FromVoter::ChangeSets { to, sets: vec![change] });
        self.run_distributor(|core, now| core.receive_from_voter(voter_link, message, now));
    }

    /// Runs until a condition holds for every node. Returns the time it took in ms (none after the time-out), the bytes per node,
    /// and the maximum bytes of the distributor in any one second.
    fn run_until_all(&mut self, condition: impl Fn(&Node, f64) -> bool) -> (Option<f64>, f64, f64) {
        let (begin, bytes_down) = (self.now, self.bytes_down);
        let (mut second, mut max_bytes_per_s) = ((begin, bytes_down), 0u64);
        while self.now < begin + CATCH_UP_TIMEOUT_MS {
            self.run_to(self.now + POLL_INTERVAL_MS);
            if self.now - second.0 >= 1000.0 {
                max_bytes_per_s = max_bytes_per_s.max(self.bytes_down - second.1);
                second = (self.now, self.bytes_down);
            }
            if self.nodes.iter().all(|node| condition(node, self.now)) {
                let bytes = (self.bytes_down - bytes_down) as f64 / self.nodes.len() as f64;
                return (
                    Some(self.now - begin),
                    bytes,
                    max_bytes_per_s.max(self.bytes_down - second.1) as f64,
                );
            }
        }
        (None, f64::NAN, max_bytes_per_s as f64)
    }

    /// Runs until every node has the newest version of its services.
    fn run_until_current(&mut self) -> (Option<f64>, f64, f64) {
        let newest = self.catalog.version();
        self.run_until_all(|node, _| node.core.config().is_some_and(|config| config.version >= newest))
    }

    /// Runs until every node is connected and has had its version confirmed as the newest after the start of this call.
    fn run_until_confirmed(&mut self) -> (Option<f64>, f64, f64) {
        let begin = self.now;
        self.run_until_all(|node, now| {
            node.link.is_some() && node.core.age(now).is_some_and(|age| age < now - begin)
        })
    }

    /// Breaks all connections at once.
    fn break_links(&mut self) {
        for node_index in 0..self.nodes.len() {
            if let Some((distributor_link, node_link)) = self.nodes[node_index].link.take() {
                self.links.remove(&distributor_link);
                self.run_distributor(|core, now| core.link_closed(distributor_link, now));
                self.run_node(node_index, |core, now| core.link_closed(node_link, now));
            }
        }
    }

    /// Runs for a period. Returns bytes per second and node to and from the nodes, and the processor time of the distributor and
    /// of a node in percent of a core.
    fn run_for(&mut self, seconds: f64) -> (f64, f64, f64, f64) {
        let (bytes_down, bytes_up, cpu_before, node_cpu_before) =
            (self.bytes_down, self.bytes_up, self.meter.spent(), self.node_meter.spent());
        self.run_to(self.now + seconds * 1000.0);
        let (nodes, metered) = (self.nodes.len() as f64, METERED_NODES.min(self.nodes.len()) as f64);
        (
            (self.bytes_down - bytes_down) as f64 / nodes / seconds,
            (self.bytes_up - bytes_up) as f64 / nodes / seconds,
            (self.meter.spent() - cpu_before) / seconds * 100.0,
            (self.node_meter.spent() - node_cpu_before) / metered / seconds * 100.0,
        )
    }
}

fn histogram() -> Result<Histogram<u64>, String> {
    Histogram::new_with_bounds(1, 600_000_000, 3).map_err(|error| error.to_string())
}

/// Measures a distributor with a number of subscribers.
///
/// # Errors
/// Nodes that do not catch up in time.
pub fn by_subscribers(point: &mut Point, subscribers: usize, seconds: f64, seed: u64) -> Result<(), String> {
    let memory = memory_mb().0;
    let mut world = World::new(subscribers, seed)?;
    world.start();
    let cpu_before = world.meter.spent();
    let (started, bytes, max_bytes_per_s) = world.run_until_current();
    point.set("herd_ms", started.ok_or("not all nodes had the newest version within 300 s of the start")?);
    point.set("herd_bytes_a_node", bytes);
    point.set("herd_bytes_worst_second", max_bytes_per_s);
    point.set("herd_cpu_s", world.meter.spent() - cpu_before);
    world.run_to(world.now + SETTLE_MS);
    let (bytes_down, bytes_up, cpu, node_cpu) = world.run_for(seconds);
    point.set("standing_bytes_a_second", bytes_down + bytes_up);
    point.set("standing_cpu_share", cpu);
    point.set("standing_node_cpu_share", node_cpu);
    world.changing = true;
    world.change();
    let (bytes_down, bytes_up, cpu, node_cpu) = world.run_for(seconds);
    world.changing = false;
    point.set("changes_bytes_a_second", bytes_down + bytes_up);
    point.set("changes_cpu_share", cpu);
    point.set("changes_node_cpu_share", node_cpu);
    world.run_to(world.now + SETTLE_MS);
    let ms = |quantile: f64| world.in_force_delay.value_at_quantile(quantile) as f64 / 1000.0;
    point.set("in_force_ms_p50", ms(0.5));
    point.set("in_force_ms_p99", ms(0.99));
    point.set("in_force_ms_most", world.in_force_delay.max() as f64 / 1000.0);
    point.set("changes_in_force", world.in_force_delay.len() as f64);
    world.break_links();
    let (reconnected, bytes, max_bytes_per_s) = world.run_until_confirmed();
    point.set("again_ms", reconnected.ok_or("not all nodes were up to date within 300 s of reconnecting")?);
    point.set("again_bytes_a_node", bytes);
    point.set("again_bytes_worst_second", max_bytes_per_s);
    point.set("memory_mb", memory_mb().0 - memory);
    Ok(())
}
