//! Measures consensus of five voters across three regions (two, two and one): commit latency, cost, and the time without a
//! leader after a region is lost. Runs in simulated time; network delays and the duration of a disk sync are assumed.

use crate::Point;
use crate::clock::{Meter, memory_mb};
use hdrhistogram::Histogram;
use pearfront_consensus::{Action, Message, PersistentState, Times, Voter};
use pearfront_emulator::event_queue::EventQueue;
use rand::prelude::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// Region of each of the five voters.
const REGIONS: [usize; 5] = [0, 0, 1, 1, 2];
/// One-way delay within a region, ms.
const LOCAL_DELAY_MS: f64 = 0.5;
/// Maximum random addition to any delay, as a share of it.
const DELAY_JITTER: f64 = 0.1;
/// Duration of a disk sync, ms: assumed, for a dedicated disk.
const SYNC_MS: f64 = 2.0;
/// Size of a change, bytes: the configuration set of a service.
const CHANGE_BYTES: usize = 2048;
/// Round-trip time between regions, ms, where the rate is varied: assumed.
const ROUND_TRIP_MS: f64 = 40.0;
/// Changes per second where the round-trip time is varied: ten times the mean rate at the target.
const CHANGES_PER_S: f64 = 6.0;
/// Time before figures are taken, ms, in which a leader is elected.
const WARM_UP_MS: f64 = 10_000.0;
/// Longest wait for a new leader, ms.
const LEADER_WAIT_MS: f64 = 30_000.0;
/// Log entries between two snapshots, as in `pearfront-cluster`.
const SNAPSHOT_ENTRIES: u64 = 1000;

enum Event {
    Deliver(Message),
    Stored { at: usize, number: u64 },
    Wake { index: usize, due: f64 },
    Change,
}

struct Member {
    voter: Voter,
    running: bool,
    /// Time of the next scheduled wake-up, ms.
    next_wake: f64,
    /// Index of the last entry in the latest snapshot.
    snapshot_at: u64,
}

struct World {
    members: Vec<Member>,
    events: EventQueue<Event>,
    rng: ChaCha8Rng,
    now: f64,
    /// One-way delay between regions, ms.
    remote_delay: f64,
    /// Mean time between two changes, ms.
    mean_interval: f64,
    /// Time at which each change was proposed, by log index.
    proposed: BTreeMap<u64, f64>,
    /// Commit latency, microseconds.
    commit_latency: Histogram<u64>,
    rejected: u64,
    bytes_sent: u64,
    committed: u64,
    meter: Meter,
}

impl World {
    fn new(round_trip: f64, rate: f64, seed: u64) -> Result<Self, String> {
        let names: Vec<String> = (0..REGIONS.len()).map(|index| format!("v{index}")).collect();
        // The time-outs must exceed the delay between regions, as an operator would set them there.
        let times = Times {
            heartbeat: Times::default().heartbeat.max(round_trip),
            election: (round_trip * 5.0).max(500.0),
        };
        let member = |index: usize| Member {
            voter: Voter::new(
                &names[index],
                &names,
                PersistentState::default(),
                times,
                seed.wrapping_add(index as u64),
                0.0,
            ),
            running: true,
            next_wake: f64::INFINITY,
            snapshot_at: 0,
        };
        let commit_latency =
            Histogram::new_with_bounds(1, 600_000_000, 3).map_err(|error| error.to_string())?;
        let mut world = Self {
            members: (0..REGIONS.len()).map(member).collect(),
            events: EventQueue::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0.0,
            remote_delay: round_trip / 2.0,
            mean_interval: 1000.0 / rate,
            proposed: BTreeMap::new(),
            commit_latency,
            rejected: 0,
            bytes_sent: 0,
            committed: 0,
            meter: Meter::default(),
        };
        (0..REGIONS.len()).for_each(|index| world.run_voter(index, |voter, now| voter.tick(now)));
        world.events.put(WARM_UP_MS, Event::Change);
        Ok(world)
    }

    fn delay(&mut self, from: usize, to: usize) -> f64 {
        let delay = if REGIONS[from] == REGIONS[to] { LOCAL_DELAY_MS } else { self.remote_delay };
        delay * (1.0 + DELAY_JITTER * self.rng.random::<f64>())
    }

    fn run_voter<T>(&mut self, index: usize, call: impl FnOnce(&mut Voter, f64) -> T) -> T {
        let (now, member) = (self.now, &mut self.members[index]);
        let is_leader = member.voter.has_committed_in_term();
        let work = || {
            let value = call(&mut member.voter, now);
            (value, member.voter.take_actions(), member.voter.due().max(now))
        };
        let (value, actions, due) = if is_leader { self.meter.measure(work) } else { work() };
        let member = &mut self.members[index];
        if due < member.next_wake {
            member.next_wake = due;
            self.events.put(due, Event::Wake { index, due });
        }
        actions.into_iter().for_each(|action| self.execute(index, action));
        value
    }

    fn execute(&mut self, from: usize, action: Action) {
        match action {
            Action::Store { number, .. } => {
                self.events.put(self.now + SYNC_MS, Event::Stored { at: from, number });
            }
            Action::Send(message) => {
                self.bytes_sent += message.encode().len() as u64;
                let to = self.voter_index(&message.to);
                let delay = self.delay(from, to);
                self.events.put(self.now + delay, Event::Deliver(message));
            }
            Action::Commit(entry) => {
                let member = &mut self.members[from];
                if member.voter.has_committed_in_term()
                    && let Some(at) = self.proposed.remove(&entry.index)
                {
                    self.commit_latency.saturating_record(((self.now - at) * 1000.0) as u64);
                    self.committed += 1;
                }
                if entry.index >= member.snapshot_at + SNAPSHOT_ENTRIES {
                    member.snapshot_at = entry.index;
                    member.voter.compact(entry.index, vec![0; CHANGE_BYTES]);
                }
            }
            Action::Restore { .. } | Action::ReadReady { .. } | Action::ReadFailed { .. } => {}
        }
    }

    fn voter_index(&self, name: &str) -> usize {
        name[1..].parse().unwrap_or(0)
    }

    fn leader(&self) -> Option<usize> {
        let is_leader = |member: &Member| member.running && member.voter.has_committed_in_term();
        self.members.iter().position(is_leader)
    }

    fn run_to(&mut self, end: f64) {
        while let Some((at, event)) = self.events.next(end) {
            self.now = at;
            match event {
                Event::Deliver(message) => {
                    let to = self.voter_index(&message.to);
                    if self.members[to].running {
                        self.run_voter(to, |voter, now| voter.receive(message, now));
                    }
                }
                Event::Stored { at, number } => self.run_voter(at, |voter, now| voter.on_stored(number, now)),
                Event::Wake { index, due } => {
                    let member = &mut self.members[index];
                    if member.next_wake == due {
                        member.next_wake = f64::INFINITY;
                        if member.running {
                            self.run_voter(index, |voter, now| voter.tick(now));
                        }
                    }
                }
                Event::Change => self.change(),
            }
        }
        self.now = end;
    }

    fn change(&mut self) {
        let interval = -self.mean_interval * (1.0 - self.rng.random::<f64>()).ln();
        self.events.put(self.now + interval, Event::Change);
        let proposal = self.leader().and_then(|leader| {
            self.run_voter(leader, |voter, now| voter.propose(vec![7; CHANGE_BYTES], now))
        });
        match proposal {
            Some((index, _)) => drop(self.proposed.insert(index, self.now)),
            None => self.rejected += 1,
        }
    }
}

fn measure(point: &mut Point, round_trip: f64, rate: f64, seconds: f64, seed: u64) {
    let memory = memory_mb().0;
    let mut world = match World::new(round_trip, rate, seed) {
        Ok(world) => world,
        Err(problem) => panic!("{problem}"),
    };
    world.run_to(WARM_UP_MS);
    let (spent, bytes_sent) = (world.meter.spent(), world.bytes_sent);
    world.run_to(WARM_UP_MS + seconds * 1000.0);
    let ms = |quantile: f64| world.commit_latency.value_at_quantile(quantile) as f64 / 1000.0;
    point.set("commit_ms_p50", ms(0.5));
    point.set("commit_ms_p99", ms(0.99));
    point.set("committed_a_second", world.committed as f64 / seconds);
    point.set("refused", world.rejected as f64);
    point.set("leader_cpu_share", (world.meter.spent() - spent) / seconds * 100.0);
    point.set("voters_bytes_a_second", (world.bytes_sent - bytes_sent) as f64 / seconds);
    point.set("memory_kb", ((memory_mb().0 - memory) * 1024.0).max(0.0));
    // The whole region of the current leader fails.
    let Some(leader) = world.leader() else { return };
    for (index, region) in REGIONS.iter().enumerate() {
        world.members[index].running &= *region != REGIONS[leader];
    }
    let failed_at = world.now;
    while world.leader().is_none() && world.now < failed_at + LEADER_WAIT_MS {
        let next = world.now + 1.0;
        world.run_to(next);
    }
    point.set("without_leader_ms", world.now - failed_at);
}

/// Commits by round-trip time between regions, ms.
pub fn by_round_trip(point: &mut Point, round_trip: usize, seconds: f64, seed: u64) {
    measure(point, round_trip as f64, CHANGES_PER_S, seconds, seed);
}

/// Commits by rate of changes per second.
pub fn by_rate(point: &mut Point, rate: usize, seconds: f64, seed: u64) {
    measure(point, ROUND_TRIP_MS, rate as f64, seconds, seed);
}
