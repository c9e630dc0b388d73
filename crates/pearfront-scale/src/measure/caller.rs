//! A decision module with jobs, answers and time, and nothing else: no sockets, and servers that answer after a time
//! drawn by chance. Rounds come as a node has them: once something came in or a wake is due, no two closer than `ROUND`.

use pearfront::interface::{
    Address, AttemptOutcome, DecisionWriter, DedupScope, Effect, ListedServer, Profile, ReportField,
    ServerState, Settings,
};
use pearfront::policy::Balancer;
use pearfront_emulator::event_queue::EventQueue;
use rand::prelude::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::convert::Infallible;

/// Least time between two rounds, ms: a node's own where nothing else is said.
pub const ROUND: f64 = 5.0;
/// Mean time in which a server answers, ms.
const ANSWER: f64 = 20.0;
/// Time a probe takes, ms.
const PROBE: f64 = 1.0;
/// How long a node keeps an idle connection, ms: 0.8 of the 10 s that the settings have by default.
pub const KEPT: f64 = 8000.0;
/// Zones, and the deadline of a job, ms.
const ZONES: u16 = 3;
const DEADLINE: f64 = 3000.0;

/// Prices of a probe at which the module doesn't ask before a draw, and does.
pub const PROBES_DEAR: f64 = 0.03;
pub const PROBES_CHEAP: f64 = 0.002;

pub fn settings(siblings: usize, probe_price: f64, zone: u16) -> Settings {
    Settings {
        node_count: siblings as f64,
        last_tier: true,
        zone,
        round_interval: ROUND,
        list_request_deadline: 10_000.0,
        profiles: vec![Profile {
            name: "read".into(),
            effect: Effect::Idempotent,
            dedup_scope: DedupScope::All,
            dedup_window: 0.0,
            latency_target: 1000.0,
            gain: 1.0,
        }],
        over_quota_gain: 1.0,
        probe_price,
        max_attempts: 3,
        may_cancel: true,
        may_probe: true,
        warm_up_time: 9000.0,
        cold_capacity_share: 0.3,
        overload_multiple: 4.0,
        overload_window: 2000.0,
        retry_budget_free: f64::INFINITY,
        report: vec![ReportField::Outstanding],
        ..Settings::default()
    }
}

pub fn server(number: usize) -> ListedServer {
    let [_, high, middle, low] = (number as u32).to_be_bytes();
    ListedServer {
        address: [10, high, middle, low, 0x1f, 0x90],
        state: ServerState::Ready,
        cell: 0,
        zone: (number % usize::from(ZONES)) as u16,
        machine_type: 0,
        weight: 1.0,
        started_at: f64::NEG_INFINITY,
    }
}

/// What the module wants done.
#[derive(Default)]
struct Wanted {
    attempts: Vec<(u32, Address)>,
    probes: Vec<Address>,
    wake: Option<f64>,
    ended: u64,
}

impl DecisionWriter for Wanted {
    fn attempt(&mut self, job: u32, server: Address, _: f64) {
        self.attempts.push((job, server));
    }
    fn cancel(&mut self, _: u32, _: u16) {}
    fn reject(&mut self, _: u32, _: f64) {
        self.ended += 1;
    }
    fn fail(&mut self, _: u32) {
        self.ended += 1;
    }
    fn probe(&mut self, server: Address) {
        self.probes.push(server);
    }
    fn wake_after(&mut self, delay: f64) {
        self.wake = Some(delay);
    }
    fn watch_list(&mut self) {}
    fn log(&mut self, _: &str) {}
}

enum Event {
    Job,
    Answered { job: u32, attempt: usize, took: f64 },
    Probed(Address),
    Wake(u64),
}

#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Counts {
    pub jobs: u64,
    pub attempts: u64,
    pub probes: u64,
    pub rounds: u64,
    /// Jobs that were rejected or failed by the module: none, or the point says nothing of a healthy service.
    pub given_up: u64,
}

/// One caller of one service.
pub struct Caller {
    module: Balancer,
    events: EventQueue<Event>,
    came: Vec<Event>,
    chance: ChaCha8Rng,
    now: f64,
    /// Mean time between two jobs, ms.
    pause: f64,
    next_job: u32,
    last_round: f64,
    wake: u64,
    /// Attempts of each job so far.
    open: BTreeMap<u32, usize>,
    /// When each server was last sent to or probed.
    pub used: BTreeMap<Address, f64>,
    /// Probes at each server.
    pub probed: BTreeMap<Address, u64>,
    pub counts: Counts,
}

impl Caller {
    pub fn new(settings: Settings, servers: usize, rate: f64, seed: u64) -> Self {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let mut caller = Self {
            module: Balancer::new(settings, chance.random()),
            events: EventQueue::default(),
            came: Vec::new(),
            pause: 1000.0 / rate,
            now: 0.0,
            next_job: 0,
            last_round: f64::NEG_INFINITY,
            wake: 0,
            open: BTreeMap::new(),
            used: BTreeMap::new(),
            probed: BTreeMap::new(),
            counts: Counts::default(),
            chance,
        };
        let lines: Vec<ListedServer> = (0..servers).map(server).collect();
        caller.listed(true, &lines);
        caller.next();
        caller
    }

    /// Lines of the list, in a round of their own.
    pub fn listed(&mut self, whole: bool, lines: &[ListedServer]) {
        let mut wanted = Wanted::default();
        let feed = |module: &mut Balancer| {
            module.list_received(whole, false, lines.iter().copied());
            Ok::<(), Infallible>(())
        };
        let Ok(()) = self.module.round(self.now, feed, &mut wanted);
        self.carry(wanted);
    }

    fn next(&mut self) {
        let pause = -self.pause * (1.0 - self.chance.random::<f64>()).ln();
        self.events.put(self.now + pause, Event::Job);
    }

    /// Goes on until then, ms.
    pub fn run_to(&mut self, end: f64) {
        while let Some((at, event)) = self.events.next(end) {
            self.now = self.now.max(at);
            // What has come waits for the next round; all that comes until then is in it.
            let round = (self.last_round + ROUND).max(at);
            self.take(event);
            while let Some((at, event)) = self.events.next(round.min(end)) {
                self.now = self.now.max(at);
                self.take(event);
            }
            if !self.came.is_empty() {
                self.now = self.now.max(round);
                self.round();
            }
        }
        self.now = self.now.max(end);
    }

    fn take(&mut self, event: Event) {
        if matches!(event, Event::Job) {
            self.next();
        }
        // A wake that a later one took the place of is none.
        if !matches!(event, Event::Wake(number) if number != self.wake) {
            self.came.push(event);
        }
    }

    fn round(&mut self) {
        let (now, came) = (self.now, std::mem::take(&mut self.came));
        let mut wanted = Wanted::default();
        let (chance, next_job, open) = (&mut self.chance, &mut self.next_job, &mut self.open);
        let (counts, last) = (&mut self.counts, &mut self.last_round);
        let feed = |module: &mut Balancer| {
            for event in came {
                match event {
                    Event::Job => {
                        module.request_received(*next_job, 0, 0, now + DEADLINE);
                        open.insert(*next_job, 0);
                        *next_job = next_job.wrapping_add(1);
                        counts.jobs += 1;
                    }
                    Event::Answered { job, attempt, took } => {
                        module.attempt_ended(job, attempt, AttemptOutcome::Served, took, true);
                        open.remove(&job);
                    }
                    Event::Probed(server) => {
                        let held = f64::from(chance.random_range(1..4u8));
                        module.probe_answered(server, true, &[held], PROBE);
                    }
                    Event::Wake(_) => {}
                }
            }
            Ok::<(), Infallible>(())
        };
        let Ok(()) = self.module.round(now, feed, &mut wanted);
        (*last, counts.rounds) = (now, counts.rounds + 1);
        self.carry(wanted);
    }

    fn carry(&mut self, wanted: Wanted) {
        let now = self.now;
        self.counts.given_up += wanted.ended;
        for (job, server) in wanted.attempts {
            self.counts.attempts += 1;
            self.used.insert(server, now);
            let took = -ANSWER * (1.0 - self.chance.random::<f64>()).ln();
            let attempts = self.open.entry(job).or_default();
            let attempt = *attempts;
            *attempts += 1;
            self.events.put(now + took, Event::Answered { job, attempt, took });
        }
        for server in wanted.probes {
            self.counts.probes += 1;
            self.used.insert(server, now);
            *self.probed.entry(server).or_default() += 1;
            self.events.put(now + PROBE, Event::Probed(server));
        }
        if let Some(delay) = wanted.wake {
            self.wake += 1;
            self.events.put(now + delay, Event::Wake(self.wake));
        }
    }

    /// Servers to which a connection is kept now.
    pub fn connected(&self) -> usize {
        self.used.values().filter(|used| self.now - **used < KEPT).count()
    }
}
