//! The plan of one seed: the size and settings of a fleet, and faults that overlap in time. The runner carries it out, and the
//! judge reads the fleet's settings.

use crate::crowd::{CROWD_KINDS, CrowdKind};
use crate::record::DiscoveryMode;
use crate::role::RelayMode;
use crate::shim::{self, Fault};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;

/// When the first fault comes, ms. Times are from the start of the run.
const FIRST_FAULT_MS: f64 = 1500.0;
/// Time without new faults at the end, ms: long enough for every deadline and the time that clients wait beyond it.
pub const QUIET_MS: f64 = 5500.0;
/// Mean time between two faults, ms; the times are exponentially distributed.
const MEAN_FAULT_INTERVAL_MS: f64 = 450.0;
/// Share of runs in which discovery is overloaded from the first fault to the end, and a server drains meanwhile.
const INCIDENT_SHARE: f64 = 0.3;
/// SIGKILL follows SIGTERM no sooner than the longest deadline plus this, ms.
pub const KILL_AFTER_MS: f64 = 700.0;
/// Share of runs in which nodes have few descriptors and clients use them up, and the number of descriptors then and otherwise.
const FEW_SOCKETS_SHARE: f64 = 0.25;
const FEW_SOCKETS: usize = 128;
const SOCKETS: usize = 1024;
/// Time between two drains by operators, ms, and how long each lasts, ms: some end before the node releases its clients'
/// connections, some after that.
const OPERATOR_DRAIN_INTERVAL_MS: Range<f64> = 300.0..2500.0;
const OPERATOR_DRAIN_MS: Range<u64> = 300..5500;
const OPERATOR_RNG_STREAM: u64 = 1;
const CROWD_RNG_STREAM: u64 = 2;
/// Memory limit of nodes, MB, and the share of runs in which it is the least that a deployment gives. In these runs crowds of
/// difficult clients come: time between two of them, ms, how long one stays, ms, and how many clients and kinds it has.
const MEMORY_MB: usize = 192;
const LEAST_MEMORY_MB: usize = 32;
const LEAST_MEMORY_SHARE: f64 = 0.35;
const CROWD_INTERVAL_MS: Range<f64> = 2000.0..6000.0;
const CROWD_MS: Range<u64> = 1000..5000;
const CROWD_CLIENTS: Range<usize> = 100..400;
const MAX_CROWD_KINDS: usize = 6;
/// Share of operators' drains around which system calls fail; which faults, how long before the call they begin, ms, and how
/// long they last, ms.
const OPERATOR_FAULT_SHARE: f64 = 0.5;
const OPERATOR_FAULTS: [Fault; 3] = [Fault::Interrupted, Fault::Short, Fault::NoBuffers];
const FAULT_LEAD_MS: f64 = 50.0;
const OPERATOR_FAULT_MS: u64 = 300;
/// The first servers, which faults of single servers leave alone.
const UNDISTURBED_SERVERS: usize = 2;

/// The fleet of one seed: sizes, settings and traffic.
#[derive(Debug, Clone)]
pub struct Fleet {
    pub nodes: usize,
    /// The number of nodes, the first ones, whose processes inherit a listener that outlives them.
    pub shared_listeners: usize,
    pub servers: usize,
    pub clients: usize,
    /// Discovery pushes changes of the list; otherwise nodes ask for it on request.
    pub pushed: bool,
    /// Discovery answers with full lists rather than changes.
    pub whole_lists: bool,
    /// Servers report how many requests they hold, and nodes probe them before each choice of a server.
    pub probes_first: bool,
    /// Drain grace, ms.
    pub grace: f64,
    /// How long servers drop repeats of keyed requests, ms.
    pub dedup_window: f64,
    /// Shortest and longest deadline of requests, ms.
    pub deadlines: (f64, f64),
    /// Requests a second to each node.
    pub rate: f64,
    /// Share of requests whose client disconnects before its deadline.
    pub disconnect_share: f64,
    /// Most descriptors that a node may use.
    pub sockets: usize,
    /// Most memory that the processes of a node may use together, MB.
    pub memory_mb: usize,
}

/// One fault, or one action of an operator.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Event {
    /// SIGTERM, SIGKILL as early as it may come, and a new process, while this many clients send requests without a pause.
    Term { node: usize, pressing_clients: usize },
    /// The same, with SIGTERM, SIGHUP and SIGSTOP together, each time followed by SIGCONT after `ms`, twice.
    SignalSeries { node: usize, ms: u64 },
    /// Clients hold as many connections to a node as its descriptors allow.
    FillDescriptors { node: usize, ms: u64 },
    /// A crowd of difficult clients comes to a node; `index` is its place in the plan's list of crowds.
    Crowd { node: usize, index: usize, ms: u64 },
    /// An operator drains the node, and ends the drain after `ms`.
    DrainNode { node: usize, ms: u64 },
    /// SIGKILL, and a new process.
    Kill { node: usize },
    /// SIGSTOP, and SIGCONT after `ms`.
    Stop { node: usize, ms: u64 },
    /// SIGHUP with another drain grace.
    Reload { node: usize },
    /// SIGHUP with another address of discovery.
    MoveDiscovery { node: usize },
    /// A second process takes over the inherited listener before the first one ends.
    HandOver { node: usize },
    /// Discovery answers in this mode for `ms`.
    Discovery { mode: DiscoveryMode, ms: u64 },
    /// A server drains, and is gone at the end of that.
    DrainServer { server: usize },
    /// A server is killed, and started again after `ms`, cold.
    RestartServer { server: usize, ms: u64 },
    /// A server gets SIGSTOP, and SIGCONT after `ms`.
    PauseServer { server: usize, ms: u64 },
    /// The relay treats one server's connections in this mode for `ms`.
    Relay { server: usize, relay_mode: RelayMode, ms: u64 },
    /// The relay treats all servers' connections in this mode for `ms`, one that reads bodies slowly or not at all.
    SlowBodies { relay_mode: RelayMode, ms: u64 },
    /// A client sends this many requests at once.
    Flood { node: usize, count: usize },
    /// A client sends half a request and keeps the connection open.
    Stall { node: usize },
    /// The wall clock of a node's processes steps.
    WallClockStep { node: usize, ns: i64 },
    /// The shim injects a fault into so many calls in a million, for `ms`.
    FailSystemCalls { node: usize, fault: Fault, per_million: u32, ms: u64 },
}

impl Event {
    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Term { pressing_clients: 0, .. } => "SIGTERM and SIGKILL",
            Self::Term { .. } => "SIGTERM and SIGKILL, clients pressing",
            Self::SignalSeries { .. } => "SIGTERM, SIGHUP, SIGSTOP twice",
            Self::FillDescriptors { .. } => "descriptors crowded",
            Self::Crowd { .. } => "crowd of difficult clients",
            Self::DrainNode { .. } => "drained by an operator",
            Self::Kill { .. } => "SIGKILL",
            Self::Stop { .. } => "SIGSTOP",
            Self::Reload { .. } => "SIGHUP, other settings",
            Self::MoveDiscovery { .. } => "SIGHUP, discovery moved",
            Self::HandOver { .. } => "hand-over",
            Self::Discovery { mode, .. } => match mode {
                DiscoveryMode::Normal => "discovery well",
                DiscoveryMode::Slow(_) => "discovery slow",
                DiscoveryMode::SilentOpen => "open watches silent",
                DiscoveryMode::Silent => "discovery silent",
                DiscoveryMode::Overloaded(_) => "discovery crowded",
                DiscoveryMode::Down => "discovery down",
                DiscoveryMode::Fragmented => "lists in pieces",
                DiscoveryMode::Truncated(_) => "lists cut",
            },
            Self::DrainServer { .. } => "server drains",
            Self::RestartServer { .. } => "server killed, back cold",
            Self::PauseServer { .. } => "server hangs",
            Self::Relay { relay_mode, .. } | Self::SlowBodies { relay_mode, .. } => match relay_mode {
                RelayMode::Forward => "way open",
                RelayMode::Blackhole => "server vanishes",
                RelayMode::Resets(_) => "requests reset",
                RelayMode::ClosesIdle(_) => "kept connections closed",
                RelayMode::Slow(_) => "answers held back",
                RelayMode::StopsReading => "bodies not taken",
                RelayMode::ReadsSlowly(_) => "bodies taken slowly",
            },
            Self::Flood { .. } => "flood of a client",
            Self::Stall { .. } => "client stalls",
            Self::WallClockStep { .. } => "wall clock stepped",
            Self::FailSystemCalls { .. } => "system calls fail",
        }
    }
}

/// The plan of a run: a fleet, and what happens to it when.
#[derive(Debug, Clone)]
pub struct Plan {
    pub seed: u64,
    pub fleet: Fleet,
    /// Length of the run, ms.
    pub length: f64,
    /// Times, ms from the start, and events, in the order of the times.
    pub events: Vec<(f64, Event)>,
    pub crowds: Vec<CrowdSpec>,
}

/// The clients of a crowd.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrowdSpec {
    pub kinds: Vec<CrowdKind>,
    pub clients: usize,
}

impl Plan {
    /// Draws the plan of a run of this length, ms.
    pub fn draw(seed: u64, length: f64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = Fleet { probes_first: !seed.is_multiple_of(2), ..draw_fleet(&mut rng) };
        let mut events = Vec::new();
        let mut at = FIRST_FAULT_MS;
        while at < length - QUIET_MS {
            events.push((at, draw_event(&mut rng, &fleet)));
            at -= rng.random_range(f64::EPSILON..1.0_f64).ln() * MEAN_FAULT_INTERVAL_MS;
        }
        // Reproduces an incident: a server drains while discovery is overloaded for long, beside whatever else happens.
        if rng.random_bool(INCIDENT_SHARE) {
            let drained = UNDISTURBED_SERVERS;
            events.retain(|(_, event)| {
                !matches!(event, Event::Discovery { .. } | Event::MoveDiscovery { .. })
                    && !matches!(event, Event::RestartServer { server, .. } if *server == drained)
            });
            let ms = (length - FIRST_FAULT_MS).max(0.0) as u64;
            let mode = DiscoveryMode::Overloaded(100);
            events.push((FIRST_FAULT_MS, Event::Discovery { mode, ms }));
            events.push((FIRST_FAULT_MS + 300.0, Event::DrainServer { server: drained }));
        }
        // A node has received a request with its last byte, whether or not any server reads that.
        let slowly = RelayMode::ReadsSlowly(rng.random_range(50..500));
        let relay_mode = if rng.random_bool(0.5) { RelayMode::StopsReading } else { slowly };
        let at = rng.random_range(FIRST_FAULT_MS..(length - QUIET_MS).max(FIRST_FAULT_MS + 1.0));
        events.push((at, Event::SlowBodies { relay_mode, ms: rng.random_range(2000..4000) }));
        if fleet.sockets == FEW_SOCKETS {
            let mut at = FIRST_FAULT_MS;
            while at < length - QUIET_MS {
                let (node, ms) = (rng.random_range(0..fleet.nodes), rng.random_range(1500..4000));
                events.push((at, Event::FillDescriptors { node, ms }));
                at += rng.random_range(2000.0..6000.0);
            }
        }
        events.extend(draw_operator_drains(seed, &fleet, length));
        let (crowd_events, crowds) = draw_crowds(seed, &mut fleet, length);
        events.extend(crowd_events);
        events.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        Self { seed, fleet, length, events, crowds }
    }

    /// Whether the shim delays processes at system calls.
    pub fn has_delays(&self) -> bool {
        self.events
            .iter()
            .any(|(_, event)| matches!(event, Event::FailSystemCalls { fault: Fault::Delay, .. }))
    }
}

/// Draws the drains by operators from a random stream of their own, so that they do not change the other faults of a seed.
fn draw_operator_drains(seed: u64, fleet: &Fleet, length: f64) -> Vec<(f64, Event)> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(OPERATOR_RNG_STREAM);
    let mut drains = Vec::new();
    let mut at = FIRST_FAULT_MS + rng.random_range(OPERATOR_DRAIN_INTERVAL_MS);
    while at < length - QUIET_MS {
        let (node, ms) = (rng.random_range(0..fleet.nodes), rng.random_range(OPERATOR_DRAIN_MS));
        drains.push((at, Event::DrainNode { node, ms }));
        if rng.random_bool(OPERATOR_FAULT_SHARE) {
            let fault = *OPERATOR_FAULTS.choose(&mut rng).expect("some");
            let per_million = rng.random_range(30_000..100_000);
            let ms = OPERATOR_FAULT_MS;
            drains.push((at - FAULT_LEAD_MS, Event::FailSystemCalls { node, fault, per_million, ms }));
        }
        at += rng.random_range(OPERATOR_DRAIN_INTERVAL_MS);
    }
    drains
}

/// Draws the memory limit and the crowds, also from a random stream of their own.
fn draw_crowds(seed: u64, fleet: &mut Fleet, length: f64) -> (Vec<(f64, Event)>, Vec<CrowdSpec>) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(CROWD_RNG_STREAM);
    let (mut events, mut crowds) = (Vec::new(), Vec::new());
    if !rng.random_bool(LEAST_MEMORY_SHARE) {
        return (events, crowds);
    }
    fleet.memory_mb = LEAST_MEMORY_MB;
    let mut at = FIRST_FAULT_MS;
    while at < length - QUIET_MS {
        let (node, ms) = (rng.random_range(0..fleet.nodes), rng.random_range(CROWD_MS));
        let kinds = rng.random_range(1..=MAX_CROWD_KINDS);
        let kinds = CROWD_KINDS.choose_multiple(&mut rng, kinds).copied().collect();
        events.push((at, Event::Crowd { node, index: crowds.len(), ms }));
        crowds.push(CrowdSpec { kinds, clients: rng.random_range(CROWD_CLIENTS) });
        at += rng.random_range(CROWD_INTERVAL_MS);
    }
    (events, crowds)
}

fn draw_fleet(rng: &mut impl Rng) -> Fleet {
    let nodes = rng.random_range(3..=8);
    Fleet {
        nodes,
        shared_listeners: nodes / 3,
        servers: rng.random_range(5..=16),
        clients: rng.random_range(1..=3),
        pushed: rng.random_bool(0.4),
        whole_lists: rng.random_bool(0.4),
        probes_first: false,
        grace: *[400.0, 1000.0, 3000.0].choose(rng).expect("some"),
        dedup_window: *[300.0, 1000.0, 5000.0].choose(rng).expect("some"),
        deadlines: *[(250.0, 900.0), (400.0, 3000.0)].choose(rng).expect("some"),
        rate: rng.random_range(8.0..25.0),
        disconnect_share: rng.random_range(0.0..0.15),
        sockets: if rng.random_bool(FEW_SOCKETS_SHARE) { FEW_SOCKETS } else { SOCKETS },
        memory_mb: MEMORY_MB,
    }
}

fn draw_event(rng: &mut impl Rng, fleet: &Fleet) -> Event {
    let node = rng.random_range(0..fleet.nodes);
    let server = rng.random_range(UNDISTURBED_SERVERS..fleet.servers);
    let ms = rng.random_range(300..4000);
    let long = rng.random_range(500..9000);
    match rng.random_range(0..100) {
        0..7 => Event::Term { node, pressing_clients: rng.random_range(0..6) },
        7..10 => Event::SignalSeries { node, ms: rng.random_range(20..600) },
        10..15 => Event::Kill { node },
        15..21 => Event::Stop { node, ms: rng.random_range(100..2500) },
        21..24 => Event::Reload { node },
        24..28 => Event::MoveDiscovery { node },
        28..33 => Event::HandOver { node: node % fleet.shared_listeners.max(1) },
        33..50 => Event::Discovery { mode: draw_mode(rng), ms: long },
        50..57 => Event::DrainServer { server },
        57..61 => Event::RestartServer { server, ms },
        61..65 => Event::PauseServer { server, ms },
        65..75 => Event::Relay { server, relay_mode: draw_relay_mode(rng), ms },
        75..80 => Event::Flood { node, count: rng.random_range(5..40) },
        80..84 => Event::Stall { node },
        84..89 => Event::WallClockStep { node, ns: shim::draw_wall_clock_step(rng) },
        _ => {
            let (fault, _) = *shim::FAULTS.choose(rng).expect("some");
            let per_million = if fault == Fault::Delay { 800 } else { rng.random_range(5_000..60_000) };
            Event::FailSystemCalls { node, fault, per_million, ms: long }
        }
    }
}

fn draw_mode(rng: &mut impl Rng) -> DiscoveryMode {
    match rng.random_range(0..8) {
        0 => DiscoveryMode::Slow(rng.random_range(100..1800)),
        1 => DiscoveryMode::SilentOpen,
        2 => DiscoveryMode::Silent,
        3 | 4 => DiscoveryMode::Overloaded(rng.random_range(50..=100)),
        5 => DiscoveryMode::Down,
        6 => DiscoveryMode::Fragmented,
        _ => DiscoveryMode::Truncated(rng.random_range(30..100)),
    }
}

fn draw_relay_mode(rng: &mut impl Rng) -> RelayMode {
    match rng.random_range(0..4) {
        0 => RelayMode::Blackhole,
        1 => RelayMode::Resets(rng.random_range(10..80)),
        2 => RelayMode::ClosesIdle(rng.random_range(10..80)),
        _ => RelayMode::Slow(rng.random_range(50..800)),
    }
}
