//! Five voters over three regions, two and two and one: how long a commit takes, what it costs, and how long nobody leads
//! once a region is lost. Simulated time; delays and the time of a sync are assumed.

use crate::Point;
use crate::clock::{Meter, memory_mb};
use hdrhistogram::Histogram;
use pearfront_consensus::{Action, Message, PersistentState, Times, Voter};
use pearfront_emulator::event_queue::EventQueue;
use rand::prelude::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// Regions of the five voters.
const REGIONS: [usize; 5] = [0, 0, 1, 1, 2];
/// One-way delay within a region, ms, and by how much any way may take longer, as a share.
const NEAR: f64 = 0.5;
const SCATTER: f64 = 0.1;
/// Time of a sync, ms: assumed, a disk of its own.
const SYNC: f64 = 2.0;
/// Bytes of a change: a service's configuration set.
const CHANGE: usize = 2048;
/// Round trip between regions, ms, where the rate is what is varied: assumed.
const ROUND_TRIP: f64 = 40.0;
/// Changes a second where the round trip is what is varied: ten times the target's mean.
const RATE: f64 = 6.0;
/// Time before the figures, ms, in which a leader is found.
const BEFORE: f64 = 10_000.0;
/// How long a new leader is waited for, ms.
const PATIENCE: f64 = 30_000.0;
/// Entries after which a snapshot is made, as `pearfront-cluster` does.
const SNAPSHOT: u64 = 1000;

enum Event {
    Deliver(Message),
    Stored { at: usize, number: u64 },
    Wake { who: usize, due: f64 },
    Change,
}

struct Seat {
    voter: Voter,
    running: bool,
    woken: f64,
    snapshot_at: u64,
}

struct World {
    seats: Vec<Seat>,
    events: EventQueue<Event>,
    chance: ChaCha8Rng,
    now: f64,
    far: f64,
    pause: f64,
    /// When each change was proposed, by its place in the log.
    proposed: BTreeMap<u64, f64>,
    took: Histogram<u64>,
    refused: u64,
    bytes: u64,
    committed: u64,
    meter: Meter,
}

impl World {
    fn new(round_trip: f64, rate: f64, seed: u64) -> Result<Self, String> {
        let names: Vec<String> = (0..REGIONS.len()).map(|place| format!("v{place}")).collect();
        // Waits have to be above the way between regions: what an operator would set there.
        let times = Times {
            heartbeat: Times::default().heartbeat.max(round_trip),
            election: (round_trip * 5.0).max(500.0),
        };
        let seat = |place: usize| Seat {
            voter: Voter::new(
                &names[place],
                &names,
                PersistentState::default(),
                times,
                seed.wrapping_add(place as u64),
                0.0,
            ),
            running: true,
            woken: f64::INFINITY,
            snapshot_at: 0,
        };
        let took = Histogram::new_with_bounds(1, 600_000_000, 3).map_err(|error| error.to_string())?;
        let mut world = Self {
            seats: (0..REGIONS.len()).map(seat).collect(),
            events: EventQueue::default(),
            chance: ChaCha8Rng::seed_from_u64(seed),
            now: 0.0,
            far: round_trip / 2.0,
            pause: 1000.0 / rate,
            proposed: BTreeMap::new(),
            took,
            refused: 0,
            bytes: 0,
            committed: 0,
            meter: Meter::default(),
        };
        (0..REGIONS.len()).for_each(|place| world.turn(place, |voter, now| voter.tick(now)));
        world.events.put(BEFORE, Event::Change);
        Ok(world)
    }

    fn delay(&mut self, from: usize, to: usize) -> f64 {
        let way = if REGIONS[from] == REGIONS[to] { NEAR } else { self.far };
        way * (1.0 + SCATTER * self.chance.random::<f64>())
    }

    fn turn<T>(&mut self, place: usize, call: impl FnOnce(&mut Voter, f64) -> T) -> T {
        let (now, seat) = (self.now, &mut self.seats[place]);
        let leads = seat.voter.has_committed_in_term();
        let work = || {
            let value = call(&mut seat.voter, now);
            (value, seat.voter.take_actions(), seat.voter.due().max(now))
        };
        let (value, out, due) = if leads { self.meter.take(work) } else { work() };
        let seat = &mut self.seats[place];
        if due < seat.woken {
            seat.woken = due;
            self.events.put(due, Event::Wake { who: place, due });
        }
        out.into_iter().for_each(|out| self.carry(place, out));
        value
    }

    fn carry(&mut self, from: usize, out: Action) {
        match out {
            Action::Store { number, .. } => {
                self.events.put(self.now + SYNC, Event::Stored { at: from, number });
            }
            Action::Send(message) => {
                self.bytes += message.encode().len() as u64;
                let to = self.place(&message.to);
                let delay = self.delay(from, to);
                self.events.put(self.now + delay, Event::Deliver(message));
            }
            Action::Commit(entry) => {
                let seat = &mut self.seats[from];
                if seat.voter.has_committed_in_term()
                    && let Some(at) = self.proposed.remove(&entry.index)
                {
                    self.took.saturating_record(((self.now - at) * 1000.0) as u64);
                    self.committed += 1;
                }
                if entry.index >= seat.snapshot_at + SNAPSHOT {
                    seat.snapshot_at = entry.index;
                    seat.voter.compact(entry.index, vec![0; CHANGE]);
                }
            }
            Action::Restore { .. } | Action::ReadReady { .. } | Action::ReadFailed { .. } => {}
        }
    }

    fn place(&self, name: &str) -> usize {
        name[1..].parse().unwrap_or(0)
    }

    fn leader(&self) -> Option<usize> {
        let leads = |seat: &Seat| seat.running && seat.voter.has_committed_in_term();
        self.seats.iter().position(leads)
    }

    fn run_to(&mut self, end: f64) {
        while let Some((at, event)) = self.events.next(end) {
            self.now = at;
            match event {
                Event::Deliver(message) => {
                    let to = self.place(&message.to);
                    if self.seats[to].running {
                        self.turn(to, |voter, now| voter.receive(message, now));
                    }
                }
                Event::Stored { at, number } => self.turn(at, |voter, now| voter.on_stored(number, now)),
                Event::Wake { who, due } => {
                    let seat = &mut self.seats[who];
                    if seat.woken == due {
                        seat.woken = f64::INFINITY;
                        if seat.running {
                            self.turn(who, |voter, now| voter.tick(now));
                        }
                    }
                }
                Event::Change => self.change(),
            }
        }
        self.now = end;
    }

    fn change(&mut self) {
        let pause = -self.pause * (1.0 - self.chance.random::<f64>()).ln();
        self.events.put(self.now + pause, Event::Change);
        let placed = self
            .leader()
            .and_then(|leader| self.turn(leader, |voter, now| voter.propose(vec![7; CHANGE], now)));
        match placed {
            Some((index, _)) => drop(self.proposed.insert(index, self.now)),
            None => self.refused += 1,
        }
    }
}

fn play(point: &mut Point, round_trip: f64, rate: f64, seconds: f64, seed: u64) {
    let memory = memory_mb().0;
    let mut world = match World::new(round_trip, rate, seed) {
        Ok(world) => world,
        Err(problem) => panic!("{problem}"),
    };
    world.run_to(BEFORE);
    let (spent, bytes) = (world.meter.spent(), world.bytes);
    world.run_to(BEFORE + seconds * 1000.0);
    let ms = |quantile: f64| world.took.value_at_quantile(quantile) as f64 / 1000.0;
    point.set("commit_ms_p50", ms(0.5));
    point.set("commit_ms_p99", ms(0.99));
    point.set("committed_a_second", world.committed as f64 / seconds);
    point.set("refused", world.refused as f64);
    point.set("leader_cpu_share", (world.meter.spent() - spent) / seconds * 100.0);
    point.set("voters_bytes_a_second", (world.bytes - bytes) as f64 / seconds);
    point.set("memory_kb", ((memory_mb().0 - memory) * 1024.0).max(0.0));
    // The leader's region goes, whichever it is.
    let Some(leader) = world.leader() else { return };
    for (place, region) in REGIONS.iter().enumerate() {
        world.seats[place].running &= *region != REGIONS[leader];
    }
    let lost = world.now;
    while world.leader().is_none() && world.now < lost + PATIENCE {
        let next = world.now + 1.0;
        world.run_to(next);
    }
    point.set("without_leader_ms", world.now - lost);
}

pub fn by_round_trip(point: &mut Point, round_trip: usize, seconds: f64, seed: u64) {
    play(point, round_trip as f64, RATE, seconds, seed);
}

pub fn by_rate(point: &mut Point, rate: usize, seconds: f64, seed: u64) {
    play(point, ROUND_TRIP, rate as f64, seconds, seed);
}
