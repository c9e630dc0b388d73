//! Measures the cost of membership by number of members: steady state, join, loss of a rack or a zone, and a network partition
//! and its healing. Real membership cores run in simulated time over a network without loss. Processor time is measured at some
//! of the cores only and excludes that of the simulation.

use crate::Point;
use crate::clock::{Meter, memory_mb};
use pearfront_emulator::event_queue::EventQueue;
use pearfront_membership::{Action, Destination, Identity, Membership, Times};
use rand::prelude::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Range of the one-way network delay, ms.
const DELAY_MS: (f64, f64) = (0.1, 0.5);
/// Minimum number of processes whose processor time is measured.
const MIN_METERED: usize = 8;
/// One process in so many is measured if that gives more than the minimum.
const METERED_ONE_IN: usize = 16;
/// Interval at which views are compared, ms.
const POLL_INTERVAL_MS: f64 = 250.0;
/// Time within which views must agree to count, ms.
const AGREEMENT_TIMEOUT_MS: f64 = 60_000.0;
/// Bytes per second and process below which the cluster counts as quiet: twice the steady-state traffic at any size. Updates
/// about a join are sent long after all views agree, because each update is repeated many times.
const QUIET_BYTES_PER_S: f64 = 1000.0;
/// Time after the cluster became quiet until the steady state is measured, ms: the last updates are still being sent.
const SETTLE_MS: f64 = 30_000.0;
/// Longest wait until the cluster is quiet, ms.
const QUIET_TIMEOUT_MS: f64 = 300_000.0;
/// Maximum number of machines in a rack.
const MAX_RACK_SIZE: usize = 20;
/// Zones over which the members are spread evenly.
const ZONES: usize = 12;

enum Event {
    Deliver { to: usize, bytes: Vec<u8> },
    Wake { process_index: usize, due: f64 },
}

struct Process {
    core: Membership,
    running: bool,
    /// Time of the next scheduled wake-up, ms.
    next_wake: f64,
    /// Whether its processor time is measured.
    metered: bool,
    /// Which of the three sides of a network partition it is on.
    partition_side: usize,
}

/// Cost of a period, per process.
#[derive(Debug, Clone, Copy)]
struct Cost {
    bytes_a_second: f64,
    /// Maximum in any one second.
    bytes_worst_second: f64,
    /// Share of a core, percent.
    cpu_share: f64,
    /// Time until all views agreed, ms, if they did within the time-out.
    agreed_ms: Option<f64>,
    bytes: f64,
    /// Time until traffic was back below `QUIET_BYTES_PER_S`, ms.
    quiet_ms: f64,
}

struct World {
    processes: Vec<Process>,
    events: EventQueue<Event>,
    rng: ChaCha8Rng,
    now: f64,
    partitioned: bool,
    bytes_sent: u64,
    /// Start of the current second, bytes sent in it, and the maximum of the seconds before.
    second: (f64, u64, u64),
    meter: Meter,
}

fn address(index: usize) -> SocketAddr {
    let [_, high, middle, low] = (index as u32).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, high, middle, low), 7000))
}

fn index_of(address: SocketAddr) -> Option<usize> {
    match address.ip() {
        IpAddr::V4(ip) => {
            let [_, high, middle, low] = ip.octets();
            Some(u32::from_be_bytes([0, high, middle, low]) as usize)
        }
        IpAddr::V6(_) => None,
    }
}

impl World {
    fn new(members: usize, seed: u64) -> Self {
        let mut world = Self {
            processes: Vec::new(),
            events: EventQueue::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0.0,
            partitioned: false,
            bytes_sent: 0,
            second: (0.0, 0, 0),
            meter: Meter::default(),
        };
        let metered = (members / METERED_ONE_IN).max(MIN_METERED.min(members));
        for index in 0..members {
            let core = world.core(index, 0);
            let process = Process {
                core,
                running: true,
                next_wake: f64::INFINITY,
                metered: index % members.div_ceil(metered) == 0,
                partition_side: index % 3,
            };
            world.processes.push(process);
        }
        (0..members).for_each(|index| world.run_core(index, |core, now| core.tick(now)));
        world
    }

    fn core(&mut self, index: usize, last_incarnation: u64) -> Membership {
        let identity = Identity {
            installation: "scale".into(),
            name: format!("n{index:05}"),
            zone: format!("z{}", index % ZONES),
            address: address(index),
            life: self.rng.random(),
            last_incarnation,
        };
        let seeds = vec![address(0), address(1)];
        match Membership::new(identity, seeds, Times::default(), self.rng.random(), self.now) {
            Ok(core) => core,
            Err(problem) => panic!("{problem}"),
        }
    }

    fn run_core(&mut self, index: usize, call: impl FnOnce(&mut Membership, f64)) {
        let now = self.now;
        let process = &mut self.processes[index];
        let work = |core: &mut Membership| {
            call(core, now);
            (core.take_actions(), core.due().max(now))
        };
        let (actions, due) = if process.metered {
            self.meter.measure(|| work(&mut process.core))
        } else {
            work(&mut process.core)
        };
        if due < process.next_wake {
            process.next_wake = due;
            self.events.put(due, Event::Wake { process_index: index, due });
        }
        for action in actions {
            match action {
                Action::Datagram { to, bytes } => self.send(index, &to, bytes, 1.0),
                // The connection has to be set up first, which takes another round trip.
                Action::Frame { to, bytes } => self.send(index, &to, bytes, 3.0),
                Action::PersistIncarnation(_) | Action::Changed(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: &Destination, bytes: Vec<u8>, trips: f64) {
        self.bytes_sent += bytes.len() as u64;
        self.second.1 += bytes.len() as u64;
        let Some(to) = index_of(to.address).filter(|to| *to < self.processes.len()) else { return };
        let is_blocked =
            self.partitioned && self.processes[from].partition_side != self.processes[to].partition_side;
        if !is_blocked && self.processes[to].running {
            let delay = trips * self.rng.random_range(DELAY_MS.0..DELAY_MS.1);
            self.events.put(self.now + delay, Event::Deliver { to, bytes });
        }
    }

    fn run_to(&mut self, end: f64) {
        while let Some((at, event)) = self.events.next(end) {
            self.advance_clock(at);
            match event {
                Event::Deliver { to, bytes } if self.processes[to].running => {
                    self.run_core(to, |core, now| {
                        // The core counts the messages that it rejects.
                        let _ = core.receive_bytes(&bytes, now);
                    });
                }
                Event::Wake { process_index, due } => {
                    let process = &mut self.processes[process_index];
                    if process.next_wake == due {
                        process.next_wake = f64::INFINITY;
                        if process.running {
                            self.run_core(process_index, |core, now| core.tick(now));
                        }
                    }
                }
                Event::Deliver { .. } => {}
            }
        }
        self.advance_clock(end);
    }

    fn advance_clock(&mut self, at: f64) {
        self.now = at;
        if at - self.second.0 >= 1000.0 {
            self.second = (at, 0, self.second.2.max(self.second.1));
        }
    }

    fn running(&self) -> usize {
        self.processes.iter().filter(|process| process.running).count()
    }

    fn agreed(&self) -> bool {
        let running = || self.processes.iter().filter(|process| process.running);
        let present_count =
            |process: &Process| process.core.members().filter(|one| one.is_present()).count() + 1;
        let count = self.running();
        // A checksum iterates over all names, so it is computed only once the counts agree.
        running().all(|process| present_count(process) == count)
            && running().map(|process| process.core.view_checksum()).collect::<BTreeSet<u32>>().len() == 1
    }

    /// Cost of the next `duration_ms`.
    fn cost_of_period(&mut self, duration_ms: f64) -> Cost {
        self.cost_of(|world| {
            world.run_to(world.now + duration_ms);
            (None, duration_ms)
        })
    }

    /// Cost from now until all views agree and the cluster is quiet again.
    fn cost_until_quiet(&mut self) -> Cost {
        self.cost_of(|world| {
            let begin = world.now;
            let (mut agreed, mut second) = (None, (begin, world.bytes_sent));
            while world.now < begin + QUIET_TIMEOUT_MS {
                world.run_to(world.now + POLL_INTERVAL_MS);
                if agreed.is_none() && world.now < begin + AGREEMENT_TIMEOUT_MS && world.agreed() {
                    agreed = Some(world.now - begin);
                }
                if world.now - second.0 >= 1000.0 {
                    let rate = (world.bytes_sent - second.1) as f64 / world.running().max(1) as f64;
                    if agreed.is_some() && rate < QUIET_BYTES_PER_S {
                        break;
                    }
                    second = (world.now, world.bytes_sent);
                }
            }
            (agreed, world.now - begin)
        })
    }

    fn cost_of(&mut self, run: impl FnOnce(&mut Self) -> (Option<f64>, f64)) -> Cost {
        let (begin, sent, spent) = (self.now, self.bytes_sent, self.meter.spent());
        self.second = (self.now, 0, 0);
        let (agreed, quiet) = run(self);
        let (seconds, running) = ((self.now - begin) / 1000.0, self.running().max(1) as f64);
        let metered =
            self.processes.iter().filter(|process| process.running && process.metered).count().max(1) as f64;
        let bytes = (self.bytes_sent - sent) as f64 / running;
        Cost {
            bytes,
            bytes_a_second: bytes / seconds,
            bytes_worst_second: self.second.2.max(self.second.1) as f64 / running,
            cpu_share: (self.meter.spent() - spent) / metered / seconds * 100.0,
            agreed_ms: agreed,
            quiet_ms: quiet,
        }
    }

    fn kill(&mut self, indexes: impl Iterator<Item = usize>) {
        indexes.for_each(|index| self.processes[index].running = false);
    }

    /// Restarts the processes that were killed, with a new life number and without their former state.
    fn restart_killed(&mut self) {
        let killed: Vec<usize> =
            (0..self.processes.len()).filter(|index| !self.processes[*index].running).collect();
        for index in killed {
            self.processes[index].core = self.core(index, 0);
            self.processes[index].running = true;
            self.processes[index].next_wake = f64::INFINITY;
            self.run_core(index, |core, now| core.tick(now));
        }
    }
}

fn record(point: &mut Point, event: &str, cost: Cost) {
    point.set(&format!("{event}_bytes_a_second"), cost.bytes_a_second);
    point.set(&format!("{event}_bytes_worst_second"), cost.bytes_worst_second);
    point.set(&format!("{event}_bytes"), cost.bytes);
    point.set(&format!("{event}_cpu_share"), cost.cpu_share);
    point.set(&format!("{event}_quiet_ms"), cost.quiet_ms);
    // Without agreement within the time-out there is no figure, and the row reports that it is missing.
    if let Some(agreed) = cost.agreed_ms {
        point.set(&format!("{event}_agreed_ms"), agreed);
    }
}

/// Cost of a simultaneous join and of the steady state.
pub fn steady_state(point: &mut Point, members: usize, seconds: f64, seed: u64) {
    let before = memory_mb().0;
    let mut world = World::new(members, seed);
    let join = world.cost_until_quiet();
    record(point, "join", join);
    world.run_to(world.now + SETTLE_MS);
    let steady = world.cost_of_period(seconds * 1000.0);
    record(point, "standing", steady);
    let memory_kb = (memory_mb().0 - before) * 1024.0 / members as f64;
    point.set("memory_kb", memory_kb.max(0.0));
    point.set("agreed", f64::from(u8::from(world.agreed())));
}

/// Cost of losing a rack and a zone, of their restart, and of a network partition and its healing.
pub fn losses(point: &mut Point, members: usize, seconds: f64, seed: u64) {
    let mut world = World::new(members, seed);
    world.cost_until_quiet();
    // The machines of a rack are in one zone; the seeds, members 0 and 1, keep running.
    let rack = MAX_RACK_SIZE.min(members / ZONES / 2).max(1);
    world.kill((0..members).filter(|index| index % ZONES == 3).take(rack));
    let cost = world.cost_until_quiet();
    record(point, "rack", cost);
    world.kill((0..members).filter(|index| index % ZONES == 2));
    let cost = world.cost_until_quiet();
    record(point, "zone", cost);
    world.restart_killed();
    let cost = world.cost_until_quiet();
    record(point, "back", cost);
    world.partitioned = true;
    let cost = world.cost_of_period(seconds * 1000.0);
    record(point, "cut", cost);
    world.partitioned = false;
    let cost = world.cost_until_quiet();
    record(point, "healing", cost);
}
