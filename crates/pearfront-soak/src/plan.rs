//! What befalls a fleet, drawn by seed: its size, its settings, and faults that overlap in time.

use crate::record::DiscoveryMode;
use crate::role::Way;
use crate::shim::{self, Fault};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;

/// Times are ms from the start of a play.
const FIRST_FAULT: f64 = 1500.0;
/// Quiet time at the end, ms: every deadline and its patience fit.
pub const QUIET: f64 = 5500.0;
/// Mean time between two faults, ms.
const BETWEEN: f64 = 450.0;
/// Share of plays in which discovery is crowded from beginning to end, and a server drains meanwhile.
const INCIDENTS: f64 = 0.3;
/// SIGKILL comes no sooner than the longest deadline and so much more after SIGTERM, ms.
pub const KILL_AFTER: f64 = 700.0;
/// Share of plays in which nodes have few descriptors, and clients fill them; how many they have then, and else.
const CROWDED: f64 = 0.25;
const FEW_SOCKETS: usize = 128;
const SOCKETS: usize = 1024;
/// Time between two drains by operators, ms, and how long each lasts: some end before clients are let go, some behind that.
const BETWEEN_DRAINS: Range<f64> = 300.0..2500.0;
const OPERATORS_DRAIN_MS: Range<u64> = 300..5500;
const OPERATORS_STREAM: u64 = 1;
/// Share of operators' calls around which system calls fail, which, from when on, ms, and for how long.
const CALLS_FAIL: f64 = 0.5;
const OPERATORS_FAULTS: [Fault; 3] = [Fault::Interrupted, Fault::Short, Fault::NoBuffers];
const BEFORE_CALL: f64 = 50.0;
const OPERATORS_FAULT_MS: u64 = 300;
/// Servers that stay as they are.
const SPARED_SERVERS: usize = 2;

/// The fleet of one seed.
#[derive(Debug, Clone)]
pub struct Fleet {
    pub nodes: usize,
    /// So many of the nodes, the first ones, have a listener that outlives their processes.
    pub shared: usize,
    pub servers: usize,
    pub clients: usize,
    pub pushed: bool,
    pub whole_lists: bool,
    /// Servers report how many requests they hold, and nodes ask them before each draw.
    pub asks_first: bool,
    /// Grace of drains, ms.
    pub grace: f64,
    /// How long repeats of keyed requests are dropped, ms.
    pub window: f64,
    /// Shortest and longest time that clients wait, ms.
    pub deadlines: (f64, f64),
    /// Requests a second to each node.
    pub rate: f64,
    /// Share of requests whose client leaves.
    pub leaves: f64,
    /// Descriptors that a node may have.
    pub sockets: usize,
}

/// One fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Event {
    /// SIGTERM, SIGKILL as early as it may come, and a new process. So many clients go on asking without a pause.
    Term {
        node: usize,
        pressed_by: usize,
    },
    /// The same with SIGTERM, SIGHUP and SIGSTOP together, twice, and SIGCONT after so long.
    Series {
        node: usize,
        ms: u64,
    },
    /// Clients hold all descriptors of a node that they can get.
    Crowd {
        node: usize,
        ms: u64,
    },
    /// Told by an operator to drain, and so long after to take clients again.
    DrainNode {
        node: usize,
        ms: u64,
    },
    Kill {
        node: usize,
    },
    Stop {
        node: usize,
        ms: u64,
    },
    /// SIGHUP with other settings.
    Reload {
        node: usize,
    },
    /// SIGHUP with another place of discovery.
    Move {
        node: usize,
    },
    HandOver {
        node: usize,
    },
    Discovery {
        mode: DiscoveryMode,
        ms: u64,
    },
    Drain {
        server: usize,
    },
    /// Killed, and back after so long, cold.
    Restart {
        server: usize,
        ms: u64,
    },
    Hang {
        server: usize,
        ms: u64,
    },
    Way {
        server: usize,
        way: Way,
        ms: u64,
    },
    /// No server takes bodies as they should be.
    Bodies {
        way: Way,
        ms: u64,
    },
    Flood {
        node: usize,
        count: usize,
    },
    Stall {
        node: usize,
    },
    WallStep {
        node: usize,
        ns: i64,
    },
    Calls {
        node: usize,
        fault: Fault,
        per_million: u32,
        ms: u64,
    },
}

impl Event {
    /// What it is called in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Term { pressed_by: 0, .. } => "SIGTERM and SIGKILL",
            Self::Term { .. } => "SIGTERM and SIGKILL, clients pressing",
            Self::Series { .. } => "SIGTERM, SIGHUP, SIGSTOP twice",
            Self::Crowd { .. } => "descriptors crowded",
            Self::DrainNode { .. } => "drained by an operator",
            Self::Kill { .. } => "SIGKILL",
            Self::Stop { .. } => "SIGSTOP",
            Self::Reload { .. } => "SIGHUP, other settings",
            Self::Move { .. } => "SIGHUP, discovery moved",
            Self::HandOver { .. } => "hand-over",
            Self::Discovery { mode, .. } => match mode {
                DiscoveryMode::Normal => "discovery well",
                DiscoveryMode::Slow(_) => "discovery slow",
                DiscoveryMode::SilentOpen => "open watches silent",
                DiscoveryMode::Silent => "discovery silent",
                DiscoveryMode::Crowded(_) => "discovery crowded",
                DiscoveryMode::Down => "discovery down",
                DiscoveryMode::Pieces => "lists in pieces",
                DiscoveryMode::Cut(_) => "lists cut",
            },
            Self::Drain { .. } => "server drains",
            Self::Restart { .. } => "server killed, back cold",
            Self::Hang { .. } => "server hangs",
            Self::Way { way, .. } | Self::Bodies { way, .. } => match way {
                Way::Open => "way open",
                Way::Vanished => "server vanishes",
                Way::Resets(_) => "requests reset",
                Way::ClosesIdle(_) => "kept connections closed",
                Way::Slow(_) => "answers held back",
                Way::TakesNothing => "bodies not taken",
                Way::TakesSlowly(_) => "bodies taken slowly",
            },
            Self::Flood { .. } => "flood of a client",
            Self::Stall { .. } => "client stalls",
            Self::WallStep { .. } => "wall clock stepped",
            Self::Calls { .. } => "system calls fail",
        }
    }
}

/// A play: what befalls which fleet, and when.
#[derive(Debug, Clone)]
pub struct Plan {
    pub seed: u64,
    pub fleet: Fleet,
    /// Length, ms.
    pub length: f64,
    pub events: Vec<(f64, Event)>,
}

impl Plan {
    /// Draws a play of this length, ms.
    pub fn draw(seed: u64, length: f64) -> Self {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let fleet = Fleet { asks_first: !seed.is_multiple_of(2), ..draw_fleet(&mut chance) };
        let mut events = Vec::new();
        let mut at = FIRST_FAULT;
        while at < length - QUIET {
            events.push((at, draw_event(&mut chance, &fleet)));
            at -= chance.random_range(f64::EPSILON..1.0_f64).ln() * BETWEEN;
        }
        // What the incident was: a drain while discovery is crowded for long, beside whatever else happens.
        if chance.random_bool(INCIDENTS) {
            let drained = SPARED_SERVERS;
            events.retain(|(_, event)| {
                !matches!(event, Event::Discovery { .. } | Event::Move { .. })
                    && !matches!(event, Event::Restart { server, .. } if *server == drained)
            });
            let ms = (length - FIRST_FAULT).max(0.0) as u64;
            let mode = DiscoveryMode::Crowded(100);
            events.push((FIRST_FAULT, Event::Discovery { mode, ms }));
            events.push((FIRST_FAULT + 300.0, Event::Drain { server: drained }));
        }
        // A request is taken with its last byte, whether or not any server takes that.
        let slowly = Way::TakesSlowly(chance.random_range(50..500));
        let way = if chance.random_bool(0.5) { Way::TakesNothing } else { slowly };
        let at = chance.random_range(FIRST_FAULT..(length - QUIET).max(FIRST_FAULT + 1.0));
        events.push((at, Event::Bodies { way, ms: chance.random_range(2000..4000) }));
        if fleet.sockets == FEW_SOCKETS {
            let mut at = FIRST_FAULT;
            while at < length - QUIET {
                let (node, ms) = (chance.random_range(0..fleet.nodes), chance.random_range(1500..4000));
                events.push((at, Event::Crowd { node, ms }));
                at += chance.random_range(2000.0..6000.0);
            }
        }
        events.extend(operators_drains(seed, &fleet, length));
        events.sort_by(|(a, _), (b, _)| a.total_cmp(b));
        Self { seed, fleet, length, events }
    }

    /// Are processes held up now and then?
    pub fn holds_up(&self) -> bool {
        self.events.iter().any(|(_, event)| matches!(event, Event::Calls { fault: Fault::HoldUp, .. }))
    }
}

/// Drains by operators, from a stream of their own: what else befalls the fleet of a seed stays as it is.
fn operators_drains(seed: u64, fleet: &Fleet, length: f64) -> Vec<(f64, Event)> {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    chance.set_stream(OPERATORS_STREAM);
    let mut drains = Vec::new();
    let mut at = FIRST_FAULT + chance.random_range(BETWEEN_DRAINS);
    while at < length - QUIET {
        let (node, ms) = (chance.random_range(0..fleet.nodes), chance.random_range(OPERATORS_DRAIN_MS));
        drains.push((at, Event::DrainNode { node, ms }));
        if chance.random_bool(CALLS_FAIL) {
            let fault = *OPERATORS_FAULTS.choose(&mut chance).expect("some");
            let per_million = chance.random_range(30_000..100_000);
            let ms = OPERATORS_FAULT_MS;
            drains.push((at - BEFORE_CALL, Event::Calls { node, fault, per_million, ms }));
        }
        at += chance.random_range(BETWEEN_DRAINS);
    }
    drains
}

fn draw_fleet(chance: &mut impl Rng) -> Fleet {
    let nodes = chance.random_range(3..=8);
    Fleet {
        nodes,
        shared: nodes / 3,
        servers: chance.random_range(5..=16),
        clients: chance.random_range(1..=3),
        pushed: chance.random_bool(0.4),
        whole_lists: chance.random_bool(0.4),
        asks_first: false,
        grace: *[400.0, 1000.0, 3000.0].choose(chance).expect("some"),
        window: *[300.0, 1000.0, 5000.0].choose(chance).expect("some"),
        deadlines: *[(250.0, 900.0), (400.0, 3000.0)].choose(chance).expect("some"),
        rate: chance.random_range(8.0..25.0),
        leaves: chance.random_range(0.0..0.15),
        sockets: if chance.random_bool(CROWDED) { FEW_SOCKETS } else { SOCKETS },
    }
}

fn draw_event(chance: &mut impl Rng, fleet: &Fleet) -> Event {
    let node = chance.random_range(0..fleet.nodes);
    let server = chance.random_range(SPARED_SERVERS..fleet.servers);
    let ms = chance.random_range(300..4000);
    let long = chance.random_range(500..9000);
    match chance.random_range(0..100) {
        0..7 => Event::Term { node, pressed_by: chance.random_range(0..6) },
        7..10 => Event::Series { node, ms: chance.random_range(20..600) },
        10..15 => Event::Kill { node },
        15..21 => Event::Stop { node, ms: chance.random_range(100..2500) },
        21..24 => Event::Reload { node },
        24..28 => Event::Move { node },
        28..33 => Event::HandOver { node: node % fleet.shared.max(1) },
        33..50 => Event::Discovery { mode: draw_mode(chance), ms: long },
        50..57 => Event::Drain { server },
        57..61 => Event::Restart { server, ms },
        61..65 => Event::Hang { server, ms },
        65..75 => Event::Way { server, way: draw_way(chance), ms },
        75..80 => Event::Flood { node, count: chance.random_range(5..40) },
        80..84 => Event::Stall { node },
        84..89 => Event::WallStep { node, ns: shim::wall_step(chance) },
        _ => {
            let (fault, _) = *shim::FAULTS.choose(chance).expect("some");
            let per_million = if fault == Fault::HoldUp { 800 } else { chance.random_range(5_000..60_000) };
            Event::Calls { node, fault, per_million, ms: long }
        }
    }
}

fn draw_mode(chance: &mut impl Rng) -> DiscoveryMode {
    match chance.random_range(0..8) {
        0 => DiscoveryMode::Slow(chance.random_range(100..1800)),
        1 => DiscoveryMode::SilentOpen,
        2 => DiscoveryMode::Silent,
        3 | 4 => DiscoveryMode::Crowded(chance.random_range(50..=100)),
        5 => DiscoveryMode::Down,
        6 => DiscoveryMode::Pieces,
        _ => DiscoveryMode::Cut(chance.random_range(30..100)),
    }
}

fn draw_way(chance: &mut impl Rng) -> Way {
    match chance.random_range(0..4) {
        0 => Way::Vanished,
        1 => Way::Resets(chance.random_range(10..80)),
        2 => Way::ClosesIdle(chance.random_range(10..80)),
        _ => Way::Slow(chance.random_range(50..800)),
    }
}
