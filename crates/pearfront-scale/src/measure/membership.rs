//! Membership by members: what it costs to stand by, to join, to lose a rack or a zone, to be cut and to heal. Real cores,
//! a quiet network between them; processor time is taken at some of them, so that the rig's own is not in it.

use crate::Point;
use crate::clock::{Meter, memory_mb};
use pearfront_emulator::event_queue::EventQueue;
use pearfront_membership::{Action, Destination, Identity, Membership, Times};
use rand::prelude::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// One-way delay, ms.
const DELAY: (f64, f64) = (0.1, 0.5);
/// Processes whose processor time is taken, at the least, and one in so many beyond.
const METERED: usize = 8;
const METERED_ONE_IN: usize = 16;
/// How often views are looked at for agreement, ms, and the longest that it is waited for.
const LOOK: f64 = 250.0;
const PATIENCE: f64 = 60_000.0;
/// Bytes a second below which a process counts as quiet: twice what standing by costs at any size. News of a join go out
/// long after all agree, as each is told many times.
const QUIET: f64 = 1000.0;
/// Time after that until standing by is measured, ms: the last news are still told.
const SETTLE: f64 = 30_000.0;
/// How long quiet is waited for, ms.
const TAIL: f64 = 300_000.0;
/// Machines in a rack at the most, and parts that zones are of the whole.
const RACK: usize = 20;
const ZONES: usize = 12;

enum Event {
    Deliver { to: usize, bytes: Vec<u8> },
    Wake { who: usize, due: f64 },
}

struct Process {
    core: Membership,
    running: bool,
    woken: f64,
    metered: bool,
    /// Which of three sides of a cut it is on.
    side: usize,
}

/// What a span of time cost, a process.
#[derive(Debug, Clone, Copy)]
struct Cost {
    bytes_a_second: f64,
    /// The most in any second.
    bytes_worst_second: f64,
    /// Share of a core, in 100.
    cpu_share: f64,
    /// ms until all agreed, if that was waited for and came.
    agreed: Option<f64>,
    bytes: f64,
    /// ms until it was quiet again.
    quiet: f64,
}

struct World {
    processes: Vec<Process>,
    events: EventQueue<Event>,
    chance: ChaCha8Rng,
    now: f64,
    cut: bool,
    sent: u64,
    second: (f64, u64, u64),
    meter: Meter,
}

fn address(place: usize) -> SocketAddr {
    let [_, high, middle, low] = (place as u32).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, high, middle, low), 7000))
}

fn place(address: SocketAddr) -> Option<usize> {
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
            chance: ChaCha8Rng::seed_from_u64(seed),
            now: 0.0,
            cut: false,
            sent: 0,
            second: (0.0, 0, 0),
            meter: Meter::default(),
        };
        let metered = (members / METERED_ONE_IN).max(METERED.min(members));
        for place in 0..members {
            let core = world.core(place, 0);
            let process = Process {
                core,
                running: true,
                woken: f64::INFINITY,
                metered: place % members.div_ceil(metered) == 0,
                side: place % 3,
            };
            world.processes.push(process);
        }
        (0..members).for_each(|place| world.act(place, |core, now| core.tick(now)));
        world
    }

    fn core(&mut self, place: usize, kept: u64) -> Membership {
        let who = Identity {
            installation: "scale".into(),
            name: format!("n{place:05}"),
            zone: format!("z{}", place % ZONES),
            address: address(place),
            life: self.chance.random(),
            last_incarnation: kept,
        };
        let seeds = vec![address(0), address(1)];
        match Membership::new(who, seeds, Times::default(), self.chance.random(), self.now) {
            Ok(core) => core,
            Err(problem) => panic!("{problem}"),
        }
    }

    fn act(&mut self, place: usize, call: impl FnOnce(&mut Membership, f64)) {
        let now = self.now;
        let process = &mut self.processes[place];
        let work = |core: &mut Membership| {
            call(core, now);
            (core.take_actions(), core.due().max(now))
        };
        let (out, due) = if process.metered {
            self.meter.take(|| work(&mut process.core))
        } else {
            work(&mut process.core)
        };
        if due < process.woken {
            process.woken = due;
            self.events.put(due, Event::Wake { who: place, due });
        }
        for out in out {
            match out {
                Action::Datagram { to, bytes } => self.send(place, &to, bytes, 1.0),
                // A stream stands first.
                Action::Frame { to, bytes } => self.send(place, &to, bytes, 3.0),
                Action::PersistIncarnation(_) | Action::Changed(_) => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: &Destination, bytes: Vec<u8>, trips: f64) {
        self.sent += bytes.len() as u64;
        self.second.1 += bytes.len() as u64;
        let Some(to) = place(to.address).filter(|to| *to < self.processes.len()) else { return };
        let cut = self.cut && self.processes[from].side != self.processes[to].side;
        if !cut && self.processes[to].running {
            let delay = trips * self.chance.random_range(DELAY.0..DELAY.1);
            self.events.put(self.now + delay, Event::Deliver { to, bytes });
        }
    }

    fn run_to(&mut self, end: f64) {
        while let Some((at, event)) = self.events.next(end) {
            self.pass(at);
            match event {
                Event::Deliver { to, bytes } if self.processes[to].running => {
                    self.act(to, |core, now| {
                        // What is refused is counted by the core.
                        let _ = core.receive_bytes(&bytes, now);
                    });
                }
                Event::Wake { who, due } => {
                    let process = &mut self.processes[who];
                    if process.woken == due {
                        process.woken = f64::INFINITY;
                        if process.running {
                            self.act(who, |core, now| core.tick(now));
                        }
                    }
                }
                Event::Deliver { .. } => {}
            }
        }
        self.pass(end);
    }

    fn pass(&mut self, at: f64) {
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
        let here = |process: &Process| process.core.members().filter(|one| one.is_present()).count() + 1;
        let count = self.running();
        // Sums walk all names: only once the counts agree.
        running().all(|process| here(process) == count)
            && running().map(|process| process.core.view_checksum()).collect::<BTreeSet<u32>>().len() == 1
    }

    /// What a span of so many ms costs.
    fn span(&mut self, lasts: f64) -> Cost {
        self.costs(|world| {
            world.run_to(world.now + lasts);
            (None, lasts)
        })
    }

    /// What it costs from now until all agree and it is quiet again.
    fn until_quiet(&mut self) -> Cost {
        self.costs(|world| {
            let begin = world.now;
            let (mut agreed, mut second) = (None, (begin, world.sent));
            while world.now < begin + TAIL {
                world.run_to(world.now + LOOK);
                if agreed.is_none() && world.now < begin + PATIENCE && world.agreed() {
                    agreed = Some(world.now - begin);
                }
                if world.now - second.0 >= 1000.0 {
                    let rate = (world.sent - second.1) as f64 / world.running().max(1) as f64;
                    if agreed.is_some() && rate < QUIET {
                        break;
                    }
                    second = (world.now, world.sent);
                }
            }
            (agreed, world.now - begin)
        })
    }

    fn costs(&mut self, play: impl FnOnce(&mut Self) -> (Option<f64>, f64)) -> Cost {
        let (begin, sent, spent) = (self.now, self.sent, self.meter.spent());
        self.second = (self.now, 0, 0);
        let (agreed, quiet) = play(self);
        let (seconds, running) = ((self.now - begin) / 1000.0, self.running().max(1) as f64);
        let metered =
            self.processes.iter().filter(|process| process.running && process.metered).count().max(1) as f64;
        let bytes = (self.sent - sent) as f64 / running;
        Cost {
            bytes,
            bytes_a_second: bytes / seconds,
            bytes_worst_second: self.second.2.max(self.second.1) as f64 / running,
            cpu_share: (self.meter.spent() - spent) / metered / seconds * 100.0,
            agreed,
            quiet,
        }
    }

    fn kill(&mut self, who: impl Iterator<Item = usize>) {
        who.for_each(|place| self.processes[place].running = false);
    }

    /// Those that were killed come again, under a new life and without what they knew.
    fn start_again(&mut self) {
        let gone: Vec<usize> =
            (0..self.processes.len()).filter(|place| !self.processes[*place].running).collect();
        for place in gone {
            self.processes[place].core = self.core(place, 0);
            self.processes[place].running = true;
            self.processes[place].woken = f64::INFINITY;
            self.act(place, |core, now| core.tick(now));
        }
    }
}

fn tell(point: &mut Point, what: &str, cost: Cost) {
    point.set(&format!("{what}_bytes_a_second"), cost.bytes_a_second);
    point.set(&format!("{what}_bytes_worst_second"), cost.bytes_worst_second);
    point.set(&format!("{what}_bytes"), cost.bytes);
    point.set(&format!("{what}_cpu_share"), cost.cpu_share);
    point.set(&format!("{what}_quiet_ms"), cost.quiet);
    // No agreement in the time that it is waited for is no figure, and the row says that it has none.
    if let Some(agreed) = cost.agreed {
        point.set(&format!("{what}_agreed_ms"), agreed);
    }
}

pub fn standing(point: &mut Point, members: usize, seconds: f64, seed: u64) {
    let before = memory_mb().0;
    let mut world = World::new(members, seed);
    let join = world.until_quiet();
    tell(point, "join", join);
    world.run_to(world.now + SETTLE);
    let standing = world.span(seconds * 1000.0);
    tell(point, "standing", standing);
    let kb = (memory_mb().0 - before) * 1024.0 / members as f64;
    point.set("memory_kb", kb.max(0.0));
    point.set("agreed", f64::from(u8::from(world.agreed())));
}

pub fn losses(point: &mut Point, members: usize, seconds: f64, seed: u64) {
    let mut world = World::new(members, seed);
    world.until_quiet();
    // Machines of one rack stand in one zone; the seeds, places 0 and 1, stay.
    let rack = RACK.min(members / ZONES / 2).max(1);
    world.kill((0..members).filter(|place| place % ZONES == 3).take(rack));
    let cost = world.until_quiet();
    tell(point, "rack", cost);
    world.kill((0..members).filter(|place| place % ZONES == 2));
    let cost = world.until_quiet();
    tell(point, "zone", cost);
    world.start_again();
    let cost = world.until_quiet();
    tell(point, "back", cost);
    world.cut = true;
    let cost = world.span(seconds * 1000.0);
    tell(point, "cut", cost);
    world.cut = false;
    let cost = world.until_quiet();
    tell(point, "healing", cost);
}
