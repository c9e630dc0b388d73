//! The model play: runs a scenario in simulated time around the actual decision module. The same seed gives the
//! same result, byte for byte. `play` builds the world, runs it to the end and returns the records.

mod clients;
mod directory;
mod hosts;
mod nodes;
mod script;

use crate::decide::{Fault, Policy};
use crate::event_queue::EventQueue;
use crate::list::Line;
use crate::platform;
use crate::record::{Answer, Records};
use crate::scenario::Scenario;
use crate::workload::PlannedAsk;
use clients::{AskState, Front};
use directory::Directory;
use hosts::{Fleet, Host};
use nodes::{AttemptInFlight, HeldRequest, Node, NodeHost};
use pearfront::interface::{Address, AttemptOutcome, Settings};
use rand::prelude::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::rc::Rc;

/// Longest time, ms, that a play continues after the last arrival; every request has an answer by then.
const RUN_OUT_MS: f64 = 60_000.0;
/// One-way delay, ms, between a server and its own node.
const SIDECAR_DELAY_MS: f64 = 0.05;

#[derive(Debug, Clone, Copy)]
pub struct Options {
    pub seed: u64,
    pub policy: Policy,
    pub fault: Option<Fault>,
}

impl Options {
    pub fn new(seed: u64) -> Self {
        Self { seed, policy: Policy::Module, fault: None }
    }
}

enum Event {
    Ask(PlannedAsk),
    Try(Rc<AskState>),
    Take(Rc<Node>, Rc<HeldRequest>),
    Round(Rc<Node>),
    AttemptArrives(Rc<AttemptInFlight>),
    AttemptTimesOut(Rc<AttemptInFlight>),
    /// Reported to its node, which may have ended the attempt already.
    AttemptEnds(Rc<AttemptInFlight>, AttemptOutcome, u64),
    CallOffArrives(Rc<AttemptInFlight>),
    HostDue(Rc<Host>, u64),
    ProbeArrives(Rc<Node>, Address, f64),
    ProbeAnswered(Rc<Node>, Address, bool, Vec<f64>, f64),
    Answered(Rc<HeldRequest>, Answer, u64, f64),
    ClientLeaves(Rc<HeldRequest>),
    WatchAnswered(Rc<Node>, bool),
    Publish(Line),
    ListUpdate(Rc<Node>, Vec<Line>, bool),
    Sweep(Rc<Node>),
    Pause(Rc<Host>),
    Begin(usize),
    End(usize),
    EndHost(Rc<Host>, u64),
    StartHost(Rc<Host>),
    DrainHost(Rc<Host>),
    EndNode(Rc<NodeHost>, u64),
    StartNode(Rc<NodeHost>),
    FrontNotices(Rc<NodeHost>, bool),
    FrontDrops(Rc<NodeHost>),
}

struct World {
    scenario: Rc<Scenario>,
    options: Options,
    event_queue: EventQueue<Event>,
    now: f64,
    records: Records,
    fleet: Rc<Fleet>,
    node_hosts: Vec<Rc<NodeHost>>,
    /// Settings of the nodes, by tier and zone.
    settings: Vec<Vec<Settings>>,
    directory: Directory,
    front: Front,
    /// Random streams of the network, the servers and the script; clients have a separate stream, so that all
    /// policies get the same workload.
    net: ChaCha8Rng,
    troubles: ChaCha8Rng,
    service: ChaCha8Rng,
    node_salt: ChaCha8Rng,
    /// Body that a driver with the fault `SwapsAnswers` returns for the next request.
    last_body: u64,
    swaps: u64,
}

/// Plays the scenario; `progress` is called from time to time with the share that is done.
pub fn play(scenario: &Scenario, options: Options, progress: &mut dyn FnMut(f64)) -> Records {
    let mut world = World::new(scenario, options);
    world.begin();
    let end = scenario.length() + RUN_OUT_MS;
    let mut last_progress = 0.0;
    while let Some((at, event)) = world.event_queue.next(end) {
        world.now = at;
        if at - last_progress >= 1000.0 {
            last_progress = at;
            progress((at / scenario.length()).min(1.0));
        }
        if at > scenario.length() && world.front.open == 0 {
            break;
        }
        world.handle_event(event);
    }
    world.records
}

impl World {
    fn new(scenario: &Scenario, options: Options) -> Self {
        let stream = |number: u64| {
            let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
            rng.set_stream(number);
            rng
        };
        let settings = |tier: usize, zone: usize| {
            let siblings = if tier == 0 { scenario.nodes.count } else { scenario.tiers[tier - 1].servers };
            let json = platform::settings(scenario, tier, zone, siblings).to_string();
            pearfront_settings::parse(json.as_bytes()).expect("the scenario was checked")
        };
        let zones = scenario.zones.len();
        let by_zone = |tier: usize| (0..zones).map(|zone| settings(tier, zone)).collect();
        let shared = Rc::new(scenario.clone());
        Self {
            front: Front::new(shared.clone(), options.seed),
            scenario: shared,
            options,
            event_queue: EventQueue::default(),
            now: 0.0,
            records: Records::default(),
            fleet: Rc::default(),
            node_hosts: Vec::new(),
            settings: (0..scenario.tiers.len()).map(by_zone).collect(),
            directory: Directory::new(scenario),
            net: stream(2),
            troubles: stream(3),
            service: stream(4),
            node_salt: stream(5),
            last_body: 0,
            swaps: 0,
        }
    }

    fn begin(&mut self) {
        self.build_fleet();
        self.directory.publish_all(&self.fleet);
        self.build_node_hosts();
        for trouble in 0..self.scenario.troubles.len() {
            self.event_queue.put(self.scenario.troubles[trouble].at_s * 1000.0, Event::Begin(trouble));
        }
        self.next_ask();
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Ask(ask) => self.ask(ask),
            Event::Try(ask) => self.try_ask(&ask),
            Event::Take(node, request) => self.take(&node, &request),
            Event::Round(node) => self.round(&node),
            Event::AttemptArrives(flight) => self.attempt_arrives(&flight),
            Event::AttemptTimesOut(flight) => self.attempt_times_out(&flight),
            Event::AttemptEnds(flight, ending, body) => self.attempt_ends(&flight, ending, body),
            Event::CallOffArrives(flight) => self.call_off_arrives(&flight),
            Event::HostDue(host, version) => self.host_due(&host, version),
            Event::ProbeArrives(node, address, sent) => self.probe_arrives(&node, address, sent),
            Event::ProbeAnswered(node, address, good, report, sent) => {
                self.probe_answered(&node, address, good, report, sent);
            }
            Event::Answered(request, answer, body, wait) => self.answered(&request, answer, body, wait),
            Event::ClientLeaves(request) => self.client_leaves(&request),
            Event::WatchAnswered(node, good) => self.watch_answered(&node, good),
            Event::Publish(line) => self.publish(line),
            Event::ListUpdate(node, lines, whole) => self.list_received(&node, lines, whole, false),
            Event::Sweep(node) => self.sweep(&node),
            Event::Pause(host) => self.pause(&host),
            Event::Begin(trouble) => self.begin_trouble(trouble),
            Event::End(trouble) => self.end_trouble(trouble),
            Event::EndHost(host, life) => self.end_host(&host, life),
            Event::StartHost(host) => self.start_host(&host),
            Event::DrainHost(host) => self.drain_host(&host),
            Event::FrontDrops(node_host) => node_host.in_rotation.set(false),
            Event::EndNode(node_host, life) => self.end_node(&node_host, life),
            Event::StartNode(node_host) => self.start_node(&node_host),
            Event::FrontNotices(node_host, up) => self.front_notices(&node_host, up),
        }
    }

    /// One-way delay between two zones, ms.
    fn hop(&mut self, one: u16, other: u16) -> f64 {
        let network = &self.scenario.network;
        let base = if one == other { network.hop_ms } else { network.cross_ms };
        base * (1.0 + network.jitter * self.net.random::<f64>())
    }

    fn client_hop(&mut self) -> f64 {
        let network = &self.scenario.network;
        network.caller_ms * (1.0 + network.jitter * self.net.random::<f64>())
    }

    fn note(&mut self, line: String) {
        log::info!(at_s = self.now / 1000.0; "{line}");
        self.records.script.push((self.now / 1000.0, line));
    }
}
