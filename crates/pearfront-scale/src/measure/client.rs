//! Drives one decision module in simulated time, for the measurements in `decision`. There are no sockets; servers answer after
//! a random time. Rounds are run as in a node: when an input arrived or a wake-up is due, at least `ROUND_INTERVAL_MS` apart.

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

/// Minimum time between two rounds, ms: the default of a node.
pub const ROUND_INTERVAL_MS: f64 = 5.0;
/// Mean response time of a server, ms (exponentially distributed).
const MEAN_RESPONSE_MS: f64 = 20.0;
/// Duration of a probe, ms.
const PROBE_MS: f64 = 1.0;
/// How long a node keeps an idle connection, ms: 0.8 of the default setting of 10 s.
pub const IDLE_CONNECTION_MS: f64 = 8000.0;
/// Zones over which the servers are spread.
const ZONES: u16 = 3;
/// Deadline of a request, ms after its arrival.
const DEADLINE_MS: f64 = 3000.0;

/// Price of a probe at which the module does not probe servers before a draw.
pub const PROBE_PRICE_HIGH: f64 = 0.03;
/// Price of a probe at which it does.
pub const PROBE_PRICE_LOW: f64 = 0.002;

/// Settings of a client with `siblings` nodes that share its servers.
pub fn settings(siblings: usize, probe_price: f64, zone: u16) -> Settings {
    Settings {
        node_count: siblings as f64,
        last_tier: true,
        zone,
        round_interval: ROUND_INTERVAL_MS,
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

/// Server list entry of the server with a number.
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

/// Actions that the module requested in a round.
#[derive(Default)]
struct RequestedActions {
    attempts: Vec<(u32, Address)>,
    probes: Vec<Address>,
    wake: Option<f64>,
    given_up: u64,
}

impl DecisionWriter for RequestedActions {
    fn attempt(&mut self, request: u32, server: Address, _: f64) {
        self.attempts.push((request, server));
    }
    fn cancel(&mut self, _: u32, _: u16) {}
    fn reject(&mut self, _: u32, _: f64) {
        self.given_up += 1;
    }
    fn fail(&mut self, _: u32) {
        self.given_up += 1;
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
    Request,
    Answered { request: u32, attempt: usize, latency: f64 },
    Probed(Address),
    Wake(u64),
}

/// What a client counted since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Counts {
    pub requests: u64,
    pub attempts: u64,
    pub probes: u64,
    pub rounds: u64,
    /// Requests that the module rejected or failed. Must be zero, or the point does not describe a healthy service.
    pub given_up: u64,
}

/// One client of one service.
pub struct Client {
    module: Balancer,
    events: EventQueue<Event>,
    /// Inputs for the next round.
    inputs: Vec<Event>,
    rng: ChaCha8Rng,
    now: f64,
    /// Mean time between two requests, ms.
    mean_interval: f64,
    next_request: u32,
    last_round: f64,
    /// Number of the latest wake-up; earlier ones are obsolete.
    latest_wake: u64,
    /// Number of attempts so far of each open request.
    open_requests: BTreeMap<u32, usize>,
    /// When each server last got an attempt or a probe, ms.
    pub last_used: BTreeMap<Address, f64>,
    /// Number of probes of each server.
    pub probe_counts: BTreeMap<Address, u64>,
    pub counts: Counts,
}

impl Client {
    /// Starts a client with a full list of `servers` and a request rate per second.
    pub fn new(settings: Settings, servers: usize, rate: f64, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut client = Self {
            module: Balancer::new(settings, rng.random()),
            events: EventQueue::default(),
            inputs: Vec::new(),
            mean_interval: 1000.0 / rate,
            now: 0.0,
            next_request: 0,
            last_round: f64::NEG_INFINITY,
            latest_wake: 0,
            open_requests: BTreeMap::new(),
            last_used: BTreeMap::new(),
            probe_counts: BTreeMap::new(),
            counts: Counts::default(),
            rng,
        };
        let lines: Vec<ListedServer> = (0..servers).map(server).collect();
        client.update_list(true, &lines);
        client.schedule_request();
        client
    }

    /// Applies lines of the server list, in a separate round.
    pub fn update_list(&mut self, is_full_list: bool, lines: &[ListedServer]) {
        let mut actions = RequestedActions::default();
        let feed = |module: &mut Balancer| {
            module.list_received(is_full_list, false, lines.iter().copied());
            Ok::<(), Infallible>(())
        };
        let Ok(()) = self.module.round(self.now, feed, &mut actions);
        self.execute(actions);
    }

    fn schedule_request(&mut self) {
        let interval = -self.mean_interval * (1.0 - self.rng.random::<f64>()).ln();
        self.events.put(self.now + interval, Event::Request);
    }

    /// Advances simulated time to `end`, ms.
    pub fn run_to(&mut self, end: f64) {
        while let Some((at, event)) = self.events.next(end) {
            self.now = self.now.max(at);
            // Inputs wait for the next round, which handles all inputs that arrive until then.
            let round_at = (self.last_round + ROUND_INTERVAL_MS).max(at);
            self.receive(event);
            while let Some((at, event)) = self.events.next(round_at.min(end)) {
                self.now = self.now.max(at);
                self.receive(event);
            }
            if !self.inputs.is_empty() {
                self.now = self.now.max(round_at);
                self.round();
            }
        }
        self.now = self.now.max(end);
    }

    fn receive(&mut self, event: Event) {
        if matches!(event, Event::Request) {
            self.schedule_request();
        }
        // A wake-up that a later one replaced is ignored.
        if !matches!(event, Event::Wake(number) if number != self.latest_wake) {
            self.inputs.push(event);
        }
    }

    fn round(&mut self) {
        let (now, inputs) = (self.now, std::mem::take(&mut self.inputs));
        let mut actions = RequestedActions::default();
        let (rng, next_request, open_requests) =
            (&mut self.rng, &mut self.next_request, &mut self.open_requests);
        let (counts, last_round) = (&mut self.counts, &mut self.last_round);
        let feed = |module: &mut Balancer| {
            for event in inputs {
                match event {
                    Event::Request => {
                        module.request_received(*next_request, 0, 0, now + DEADLINE_MS);
                        open_requests.insert(*next_request, 0);
                        *next_request = next_request.wrapping_add(1);
                        counts.requests += 1;
                    }
                    Event::Answered { request, attempt, latency } => {
                        module.attempt_ended(request, attempt, AttemptOutcome::Served, latency, true);
                        open_requests.remove(&request);
                    }
                    Event::Probed(server) => {
                        let outstanding = f64::from(rng.random_range(1..4u8));
                        module.probe_answered(server, true, &[outstanding], PROBE_MS);
                    }
                    Event::Wake(_) => {}
                }
            }
            Ok::<(), Infallible>(())
        };
        let Ok(()) = self.module.round(now, feed, &mut actions);
        (*last_round, counts.rounds) = (now, counts.rounds + 1);
        self.execute(actions);
    }

    fn execute(&mut self, actions: RequestedActions) {
        let now = self.now;
        self.counts.given_up += actions.given_up;
        for (request, server) in actions.attempts {
            self.counts.attempts += 1;
            self.last_used.insert(server, now);
            let latency = -MEAN_RESPONSE_MS * (1.0 - self.rng.random::<f64>()).ln();
            let attempts = self.open_requests.entry(request).or_default();
            let attempt = *attempts;
            *attempts += 1;
            self.events.put(now + latency, Event::Answered { request, attempt, latency });
        }
        for server in actions.probes {
            self.counts.probes += 1;
            self.last_used.insert(server, now);
            *self.probe_counts.entry(server).or_default() += 1;
            self.events.put(now + PROBE_MS, Event::Probed(server));
        }
        if let Some(delay) = actions.wake {
            self.latest_wake += 1;
            self.events.put(now + delay, Event::Wake(self.latest_wake));
        }
    }

    /// Number of servers to which a connection is open now.
    pub fn connected(&self) -> usize {
        self.last_used.values().filter(|last_used| self.now - **last_used < IDLE_CONNECTION_MS).count()
    }
}
