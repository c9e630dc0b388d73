//! Seeded simulation of the membership protocol: up to a thousand cores, a network that loses, duplicates and delays, and
//! kills, pauses, cuts and restarts. Used by `pearfront prove membership` and the tests.

use crate::event_queue::EventQueue;
use pearfront_membership::{
    Action, Change, Destination, Identity, MAX_DATAGRAM_BYTES, Membership, State, Status, Times,
};
use rand::prelude::{Rng, SeedableRng};
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};

/// Receive buffer of a paused process, datagrams; the kernel drops further ones.
const RECEIVE_BUFFER_DATAGRAMS: usize = 256;
/// Longest time, ms, from a kill until the other end of a link sees the connection closed by the kernel and its check
/// refused.
const MAX_PROOF_DELAY_MS: f64 = 20.0;
/// Number of neighbours on each side that a process has a link to.
pub const LINKS: usize = 8;
/// Longest pause, ms, during which a process may not be reported as gone.
const TOLERATED_PAUSE_MS: f64 = 3000.0;
/// Time, ms, after a longer pause during which it may still be reported so, since reports of it are still spreading.
const REPORT_GRACE_MS: f64 = 2000.0;
/// Interval at which the views are checked for agreement, ms.
const CHECK_INTERVAL_MS: f64 = 50.0;

/// Conditions of the network and the machines during a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Weather {
    /// Probability that a datagram is lost, and that it is duplicated.
    pub loss: f64,
    pub doubled: f64,
    /// Range of the one-way delay, ms, drawn uniformly.
    pub delay: (f64, f64),
    /// Mean time between two pauses of a process, ms, none if 0; and the longest pause, ms.
    pub pause_every: f64,
    pub pause_most: f64,
}

impl Weather {
    /// A network without loss, and no pauses.
    pub const CALM: Self =
        Self { loss: 0.0, doubled: 0.0, delay: (0.1, 0.5), pause_every: 0.0, pause_most: 0.0 };
    /// Conditions under which no running process may be reported as gone: 20 % loss, delays up to 500 ms, pauses
    /// up to 3 s.
    pub const STORM: Self =
        Self { loss: 0.2, doubled: 0.1, delay: (0.5, 500.0), pause_every: 30_000.0, pause_most: 3000.0 };
}

/// A fault to inject; processes are given by index.
#[derive(Debug, Clone, PartialEq)]
pub enum Trouble {
    /// Kills a process. With `proof` its linked neighbours learn of it from their kernels; without, the machine
    /// is lost too.
    Kill {
        who: usize,
        proof: bool,
    },
    Pause {
        who: usize,
        lasts: f64,
    },
    /// Drops all traffic from `from` to `to`.
    Cut {
        from: Vec<usize>,
        to: Vec<usize>,
    },
    /// Ends all cuts.
    Heal,
    /// Restarts a killed process: with or without its stored incarnation, at its address or another.
    Start {
        who: usize,
        kept: bool,
        moved: bool,
    },
    /// Starts a second process under the same name, at its own address.
    Double {
        of: usize,
    },
    Leave {
        who: usize,
    },
}

#[derive(Debug, Clone)]
pub struct Plan {
    pub instances: usize,
    /// Length of the run, ms.
    pub length: f64,
    pub weather: Weather,
    pub links: bool,
    pub times: Times,
    /// Time, ms, and fault.
    pub troubles: Vec<(f64, Trouble)>,
}

impl Plan {
    /// A run of a minute under bad conditions, in which one process in ten is killed; the kills end early enough for the
    /// views to be compared.
    pub fn storm(instances: usize, seed: u64) -> Self {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        chance.set_stream(9);
        let mut places: Vec<usize> = (1..instances).collect();
        places.shuffle(&mut chance);
        let killed = (instances / 10).max(1).min(instances.saturating_sub(3));
        let troubles = places.into_iter().take(killed).map(|who| {
            let at = 10_000.0 + 30_000.0 * chance.random::<f64>();
            (at, Trouble::Kill { who, proof: false })
        });
        let troubles = troubles.collect();
        let times = Times::default();
        Self { instances, length: 60_000.0, weather: Weather::STORM, links: false, times, troubles }
    }
}

/// Results of a run. Times are ms from the fault.
#[derive(Debug, Clone, Default)]
pub struct Findings {
    /// First violation of an invariant, with its time.
    pub broken: Option<String>,
    /// Reports of running processes as gone, before the first cut.
    pub false_deaths: usize,
    /// Reports of running processes as gone, after the first cut.
    pub deaths_in_cuts: usize,
    pub suspicions: u64,
    pub refutations: u64,
    /// For each killed process: detection time of the first member, the median and the last.
    pub found: Vec<(f64, f64, f64)>,
    /// Killed processes that some member had not detected at the end.
    pub not_found: usize,
    /// Whether all views agree at the end.
    pub agreed: bool,
    /// Time from the last fault until the views agreed for good, if they did.
    pub agreed_after: Option<f64>,
    /// Mean datagrams, frames and bytes that a process sent per second, and the most datagrams in any second.
    pub datagrams: f64,
    pub frames: f64,
    pub bytes: f64,
    pub most_datagrams: f64,
    pub joined_after: Option<f64>,
}

enum Event {
    Deliver { to: usize, bytes: Vec<u8> },
    Wake { who: usize, due: f64 },
    Proof { at: usize, of: usize, life: u64 },
    Resume { who: usize },
    Pause { who: usize, lasts: f64 },
    Trouble(usize),
    Look,
}

struct Process {
    core: Membership,
    name: String,
    address: SocketAddr,
    running: bool,
    /// End of the current pause; and, if that is longer than `TOLERATED_PAUSE_MS`, until when it may be reported as gone.
    until: f64,
    excused: f64,
    waiting: Vec<Vec<u8>>,
    woken: f64,
    kept: u64,
    datagrams: u64,
}

/// State of a simulation run; `step` advances it by one event.
pub struct World {
    plan: Plan,
    processes: Vec<Process>,
    by_address: BTreeMap<SocketAddr, usize>,
    cuts: Vec<(BTreeSet<usize>, BTreeSet<usize>)>,
    ever_cut: bool,
    events: EventQueue<Event>,
    chance: ChaCha8Rng,
    now: f64,
    killed: BTreeMap<usize, (f64, BTreeMap<usize, f64>)>,
    findings: Findings,
    last_trouble: f64,
    sent: (u64, u64, u64),
    second: (f64, u64),
    /// Changes that cores reported and that are not yet shown.
    unshown_changes: Vec<String>,
}

fn address(place: usize) -> SocketAddr {
    let [.., high, low] = (place as u32).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(10, 0, high, low), 7000))
}

impl World {
    pub fn new(plan: Plan, seed: u64) -> Self {
        let mut world = Self {
            processes: Vec::new(),
            by_address: BTreeMap::new(),
            cuts: Vec::new(),
            ever_cut: false,
            events: EventQueue::default(),
            chance: ChaCha8Rng::seed_from_u64(seed),
            now: 0.0,
            killed: BTreeMap::new(),
            findings: Findings::default(),
            last_trouble: plan.troubles.iter().fold(0.0, |last, (at, _)| last.max(*at)),
            sent: (0, 0, 0),
            second: (0.0, 0),
            unshown_changes: Vec::new(),
            plan,
        };
        for place in 0..world.plan.instances {
            world.start(place, format!("n{place}"), address(place), 0);
        }
        for number in 0..world.plan.troubles.len() {
            world.put(world.plan.troubles[number].0, Event::Trouble(number));
        }
        for who in 0..world.plan.instances {
            world.next_pause(who);
        }
        world.put(CHECK_INTERVAL_MS, Event::Look);
        world
    }

    fn start(&mut self, place: usize, name: String, address: SocketAddr, kept: u64) {
        let installation = "sim".to_string();
        let life = self.chance.random::<u64>();
        let zone = format!("z{}", place % 3);
        let identity =
            Identity { installation, name: name.clone(), zone, address, life, last_incarnation: kept };
        let seeds = vec![self::address(0), self::address(1)];
        let seed = self.chance.random();
        let core = match Membership::new(identity, seeds, self.plan.times, seed, self.now) {
            Ok(core) => core,
            Err(problem) => return self.broken(&problem),
        };
        let process = Process {
            core,
            name,
            address,
            running: true,
            until: 0.0,
            excused: 0.0,
            waiting: Vec::new(),
            woken: f64::INFINITY,
            kept,
            datagrams: 0,
        };
        self.by_address.insert(address, place);
        if place < self.processes.len() {
            self.processes[place] = process;
        } else {
            self.processes.push(process);
        }
        self.act(place, |core, now| core.tick(now));
    }

    fn put(&mut self, at: f64, event: Event) {
        self.events.put(at, event);
    }

    fn next_pause(&mut self, who: usize) {
        let weather = self.plan.weather;
        if weather.pause_every > 0.0 {
            let at = self.now - weather.pause_every * (1.0 - self.chance.random::<f64>()).ln();
            let lasts = weather.pause_most * self.chance.random::<f64>();
            self.put(at, Event::Pause { who, lasts });
        }
    }

    fn broken(&mut self, what: &str) {
        let at = self.now / 1000.0;
        self.findings.broken.get_or_insert_with(|| format!("at {at:.3} s: {what}"));
    }

    /// Calls a core and carries out its actions.
    fn act(&mut self, place: usize, call: impl FnOnce(&mut Membership, f64)) {
        let now = self.now;
        let process = &mut self.processes[place];
        call(&mut process.core, now);
        let out = process.core.take_actions();
        for out in out {
            self.perform(place, out);
        }
        let due = self.processes[place].core.due().max(now);
        let process = &mut self.processes[place];
        // At most one wake-up is scheduled at a time, unless an earlier one is needed.
        if due < process.woken {
            process.woken = due;
            self.put(due, Event::Wake { who: place, due });
        }
    }

    fn perform(&mut self, from: usize, out: Action) {
        match out {
            Action::Datagram { to, bytes } => {
                self.processes[from].datagrams += 1;
                self.sent.0 += 1;
                self.sent.2 += bytes.len() as u64;
                self.second.1 += 1;
                if bytes.len() > MAX_DATAGRAM_BYTES {
                    self.broken(&format!("a datagram of {} bytes", bytes.len()));
                }
                self.send(from, &to, bytes, true);
            }
            Action::Frame { to, bytes } => {
                self.sent.1 += 1;
                self.sent.2 += bytes.len() as u64;
                self.send(from, &to, bytes, false);
            }
            Action::PersistIncarnation(incarnation) => {
                if incarnation < self.processes[from].kept {
                    self.broken(&format!("{} falls back to {incarnation}", self.processes[from].name));
                }
                self.processes[from].kept = incarnation;
            }
            Action::Changed(change) => self.changed(from, change),
        }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.iter().any(|(froms, tos)| froms.contains(&from) && tos.contains(&to))
    }

    fn send(&mut self, from: usize, to: &Destination, bytes: Vec<u8>, may_be_lost: bool) {
        let Some(&place) = self.by_address.get(&to.address) else { return };
        // A stream needs both directions.
        let cut = self.is_cut(from, place) || (!may_be_lost && self.is_cut(place, from));
        let weather = self.plan.weather;
        let lost = may_be_lost && self.chance.random::<f64>() < weather.loss;
        if cut || lost || !self.processes[place].running {
            return;
        }
        let copies = if may_be_lost && self.chance.random::<f64>() < weather.doubled { 2 } else { 1 };
        for _ in 0..copies {
            let (least, most) = weather.delay;
            // A stream needs a handshake first, and retransmits what is lost.
            let trips = if may_be_lost { 1.0 } else { 3.0 };
            let delay = trips * (least + (most - least) * self.chance.random::<f64>());
            self.put(self.now + delay, Event::Deliver { to: place, bytes: bytes.clone() });
        }
    }

    fn changed(&mut self, at: usize, change: Change) {
        self.unshown_changes.push(format!("{}: {change:?}", self.processes[at].name));
        match &change {
            Change::Suspected { .. } => self.findings.suspicions += 1,
            Change::Refuted { .. } => self.findings.refutations += 1,
            _ => {}
        }
        let (name, standing) = match change {
            Change::Silent { name, .. } => (name, Status::Silent),
            Change::Ended { name, .. } => (name, Status::Ended),
            _ => return,
        };
        // The report concerns this run of the process: a later one under the same name may run already.
        let life = self.processes[at].core.member(&name).map(|member| member.card.life);
        let place = self.processes.iter().position(|process| Some(process.core.me().life) == life);
        let Some(place) = place else { return };
        if let Some((_, found)) = self.killed.get_mut(&place) {
            found.entry(at).or_insert(self.now);
        } else if self.processes[place].running && self.ever_cut {
            self.findings.deaths_in_cuts += 1;
        } else if self.processes[place].running && self.processes[place].excused <= self.now {
            self.findings.false_deaths += 1;
            self.broken(&format!(
                "{} holds {name}, which runs, to be {}",
                self.processes[at].name,
                standing.as_str()
            ));
        }
    }

    /// Processes one event and passes its description to `show`; false at the end.
    pub fn step(&mut self, show: &mut dyn FnMut(f64, String)) -> bool {
        let Some((at, event)) = self.events.next(self.plan.length) else {
            return false;
        };
        self.now = at;
        if at - self.second.0 >= 1000.0 {
            let running = self.processes.iter().filter(|process| process.running).count() as f64;
            let rate = self.second.1 as f64 / running.max(1.0) / ((at - self.second.0) / 1000.0);
            self.findings.most_datagrams = self.findings.most_datagrams.max(rate);
            self.second = (at, 0);
        }
        match event {
            Event::Deliver { to, bytes } => {
                show(at, format!("{} hears {} bytes", self.processes[to].name, bytes.len()));
                self.deliver(to, bytes);
            }
            Event::Wake { who, due } => {
                if self.processes[who].woken == due {
                    self.processes[who].woken = f64::INFINITY;
                }
                if self.processes[who].running && self.processes[who].until <= at {
                    show(at, format!("{} wakes", self.processes[who].name));
                    self.act(who, |core, now| core.tick(now));
                }
            }
            Event::Proof { at: place, of, life } => {
                let name = self.processes[of].name.clone();
                if self.processes[place].running && self.processes[place].until <= at {
                    self.act(place, |core, now| core.process_ended(&name, life, now));
                }
            }
            Event::Pause { who, lasts } => {
                self.next_pause(who);
                self.pause(who, lasts, show);
            }
            Event::Resume { who } => self.resume(who, show),
            Event::Trouble(number) => self.trouble(number, show),
            Event::Look => self.look(),
        }
        self.unshown_changes.drain(..).for_each(|what| show(at, what));
        self.findings.broken.is_none()
    }

    fn deliver(&mut self, to: usize, bytes: Vec<u8>) {
        let process = &mut self.processes[to];
        if !process.running {
            return;
        }
        if process.until > self.now {
            if process.waiting.len() < RECEIVE_BUFFER_DATAGRAMS {
                process.waiting.push(bytes);
            }
            return;
        }
        self.act(to, |core, now| {
            // The core counts refused datagrams.
            let _ = core.receive_bytes(&bytes, now);
        });
    }

    fn pause(&mut self, who: usize, lasts: f64, show: &mut dyn FnMut(f64, String)) {
        if self.processes[who].running && self.processes[who].until <= self.now {
            show(self.now, format!("{} stands still for {lasts:.0} ms", self.processes[who].name));
            self.processes[who].until = self.now + lasts;
            if lasts > TOLERATED_PAUSE_MS {
                self.processes[who].excused = self.now + lasts + REPORT_GRACE_MS;
            }
            self.put(self.now + lasts, Event::Resume { who });
        }
    }

    fn resume(&mut self, who: usize, show: &mut dyn FnMut(f64, String)) {
        if !self.processes[who].running {
            return;
        }
        show(self.now, format!("{} goes on", self.processes[who].name));
        let waiting = std::mem::take(&mut self.processes[who].waiting);
        waiting.into_iter().for_each(|bytes| self.deliver(who, bytes));
        self.act(who, |core, now| core.tick(now));
    }

    fn trouble(&mut self, number: usize, show: &mut dyn FnMut(f64, String)) {
        let trouble = self.plan.troubles[number].1.clone();
        show(self.now, format!("{trouble:?}"));
        match trouble {
            Trouble::Kill { who, proof } => self.kill(who, proof),
            Trouble::Pause { who, lasts } => self.pause(who, lasts, show),
            Trouble::Cut { from, to } => {
                self.ever_cut = true;
                self.cuts.push((from.into_iter().collect(), to.into_iter().collect()));
            }
            Trouble::Heal => self.cuts.clear(),
            Trouble::Start { who, kept, moved } => {
                let (name, kept_one) = (self.processes[who].name.clone(), self.processes[who].kept);
                let at = if moved { address(30_000 + who) } else { self.processes[who].address };
                self.killed.remove(&who);
                self.start(who, name, at, if kept { kept_one } else { 0 });
            }
            Trouble::Double { of } => {
                let (place, name) = (self.processes.len(), self.processes[of].name.clone());
                self.start(place, name, address(40_000 + of), 0);
            }
            Trouble::Leave { who } => {
                self.act(who, |core, now| core.leave(now));
                self.processes[who].running = false;
            }
        }
    }

    fn kill(&mut self, who: usize, proof: bool) {
        let life = self.processes[who].core.me().life;
        self.processes[who].running = false;
        self.killed.insert(who, (self.now, BTreeMap::new()));
        if !(proof && self.plan.links) {
            return;
        }
        let all = self.plan.instances;
        for step in 1..=LINKS.min(all / 2) {
            for at in [(who + step) % all, (who + all - step) % all] {
                let delay = MAX_PROOF_DELAY_MS * self.chance.random::<f64>();
                self.put(self.now + delay, Event::Proof { at, of: who, life });
            }
        }
    }

    /// Running processes that are not barred.
    fn participants(&self) -> Vec<usize> {
        let places = 0..self.processes.len();
        let fits = |place: &usize| {
            let process = &self.processes[*place];
            process.running && !matches!(process.core.state(), State::Barred { .. })
        };
        places.filter(fits).collect()
    }

    fn agreed(&self) -> bool {
        let participants = self.participants();
        let sums: BTreeSet<u32> =
            participants.iter().map(|place| self.processes[*place].core.view_checksum()).collect();
        let here =
            |place: &usize| self.processes[*place].core.members().filter(|one| one.is_present()).count() + 1;
        sums.len() == 1 && participants.first().is_some_and(|place| here(place) == participants.len())
    }

    fn look(&mut self) {
        self.put(self.now + CHECK_INTERVAL_MS, Event::Look);
        let agreed = self.agreed();
        self.findings.agreed = agreed;
        if agreed && self.findings.joined_after.is_none() {
            self.findings.joined_after = Some(self.now);
        }
        if self.now >= self.last_trouble {
            let since = self.now - self.last_trouble;
            self.findings.agreed_after =
                if agreed { self.findings.agreed_after.or(Some(since)) } else { None };
        }
    }

    /// The core of the process with that index.
    pub fn core(&self, place: usize) -> &Membership {
        &self.processes[place].core
    }

    /// Runs the simulation to the end.
    pub fn play(mut self, show: &mut dyn FnMut(f64, String)) -> (Findings, Self) {
        while self.step(show) {}
        let running: Vec<usize> =
            (0..self.processes.len()).filter(|place| self.processes[*place].running).collect();
        for (at, found) in self.killed.values() {
            let mut times: Vec<f64> =
                running.iter().filter_map(|place| found.get(place)).map(|when| when - at).collect();
            times.sort_by(f64::total_cmp);
            match (times.first(), times.get(times.len() / 2), times.last()) {
                (Some(first), Some(half), Some(last)) if times.len() == running.len() => {
                    self.findings.found.push((*first, *half, *last));
                }
                _ => self.findings.not_found += 1,
            }
        }
        let seconds = self.now.max(1.0) / 1000.0 * running.len().max(1) as f64;
        self.findings.datagrams = self.sent.0 as f64 / seconds;
        self.findings.frames = self.sent.1 as f64 / seconds;
        self.findings.bytes = self.sent.2 as f64 / seconds;
        (self.findings.clone(), self)
    }
}

/// Runs one plan under one seed.
pub fn play(plan: Plan, seed: u64) -> Findings {
    World::new(plan, seed).play(&mut |_, _| {}).0
}
