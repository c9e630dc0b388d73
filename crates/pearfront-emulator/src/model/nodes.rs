//! Nodes of the model play. They simulate messages, connections and timers between clients and servers; every
//! decision is made by the `Decider`.

use super::hosts::Host;
use super::{Event, World};
use crate::active_troubles::State;
use crate::decide::{Action, Baseline, Decider, Fault, Input, Module, Policy};
use crate::list::Line;
use crate::record::{Answer, ListUpdate, NodeEnd, NodeLife, RequestRecord};
use pearfront::interface::{Address, AttemptOutcome, ListedServer, ServerState};
use rand::prelude::Rng;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Share of the stated idle time-out for which a node keeps a connection.
const IDLE_KEEP_SHARE: f64 = 0.8;
/// Time-out of a probe, ms.
const PROBE_TIMEOUT_MS: f64 = 250.0;
/// Interval, ms, at which a node closes expired idle connections.
const SWEEP_INTERVAL_MS: f64 = 5000.0;
/// A driver with the fault `LosesRequests` loses one request in this many.
const LOSS_INTERVAL: u64 = 50;

/// A place where nodes of the first tier run, one life after another.
pub struct NodeHost {
    pub name: String,
    pub zone: u16,
    pub node: RefCell<Option<Rc<Node>>>,
    /// Weight of its share of the traffic.
    pub weight: Cell<f64>,
    /// Whether the front sends requests to it.
    pub in_rotation: Cell<bool>,
    pub starts: Cell<u64>,
    /// The server list as the previous node knew it.
    pub known: RefCell<Vec<Line>>,
}

pub struct Node {
    pub tier: usize,
    pub zone: u16,
    /// Index of its life in the records.
    pub life: usize,
    pub started: f64,
    pub alive: Cell<bool>,
    pub decider: RefCell<Box<dyn Decider>>,
    inbox: RefCell<Vec<Input>>,
    last_round: Cell<f64>,
    round_at: Cell<f64>,
    /// When the decision module asked to be woken; earlier rounds do not change it.
    wake_at: Cell<f64>,
    pub requests: RefCell<BTreeMap<u32, Rc<HeldRequest>>>,
    numbered: Cell<u32>,
    pub watching: Cell<bool>,
    pub known: RefCell<BTreeMap<Address, Line>>,
    /// Idle connections to each server, with the time of last use.
    idle: RefCell<BTreeMap<Address, Vec<(f64, u64)>>>,
    /// Answered probes, with the time at which they were sent; their time-outs are still in the event queue.
    answered_probes: RefCell<Vec<(Address, f64)>>,
}

/// Who waits for the answer to a request.
pub enum From {
    Caller(Rc<super::clients::AskState>),
    /// The attempt for which its server makes this call.
    Server(Rc<AttemptInFlight>),
}

pub struct HeldRequest {
    pub node: Rc<Node>,
    pub number: Cell<u32>,
    pub record: usize,
    pub trace: u64,
    pub root: u64,
    pub key: u64,
    pub profile: usize,
    pub customer: usize,
    pub deadline: f64,
    /// Work of this tier, ms, and of the whole ask over all tiers.
    pub work: f64,
    pub whole_work: f64,
    /// Number of requests of this tier that one ask causes.
    pub fan: f64,
    pub from: From,
    pub attempts: RefCell<Vec<Rc<AttemptInFlight>>>,
    pub answered: Cell<bool>,
    /// The final answer was sent.
    pub over: Cell<bool>,
}

/// An attempt in flight.
pub struct AttemptInFlight {
    pub request: Rc<HeldRequest>,
    pub number: usize,
    pub host: Rc<Host>,
    /// Start number of the host that it was sent to.
    pub starts: u64,
    pub sent: f64,
    pub new_connection: bool,
    /// Its index in the records once it has arrived.
    pub attempt: Cell<Option<usize>>,
    /// The node knows its outcome.
    pub ended: Cell<bool>,
}

impl World {
    pub fn build_node_hosts(&mut self) {
        let zones = self.scenario.zones.len();
        for number in 0..self.scenario.nodes.count {
            let node_host = Rc::new(NodeHost {
                name: format!("n{number}"),
                zone: (number % zones) as u16,
                node: RefCell::default(),
                weight: Cell::new(1.0),
                in_rotation: Cell::new(true),
                starts: Cell::new(0),
                known: RefCell::new(self.directory.lines(0)),
            });
            self.node_hosts.push(node_host.clone());
            self.start_node(&node_host);
        }
        let calling = |host: &&Rc<Host>| host.tier + 1 < self.scenario.tiers.len();
        let hosts: Vec<Rc<Host>> = self.fleet.hosts.borrow().iter().filter(calling).cloned().collect();
        for host in hosts {
            self.start_sidecar(&host);
        }
    }

    pub fn start_node(&mut self, node_host: &Rc<NodeHost>) {
        if node_host.node.borrow().is_some() {
            return;
        }
        node_host.starts.set(node_host.starts.get() + 1);
        let known = node_host.known.borrow().clone();
        let node = self.new_node(node_host.name.clone(), 0, node_host.zone, known);
        *node_host.node.borrow_mut() = Some(node);
        self.event_queue.put(
            self.now + self.scenario.clients.notice_s * 500.0,
            Event::FrontNotices(node_host.clone(), true),
        );
    }

    /// Starts a server's own node, which sends to the next tier; it starts and ends with the server.
    pub fn start_sidecar(&mut self, host: &Rc<Host>) {
        let known = self.directory.lines(host.tier + 1);
        let node = self.new_node(format!("by-{}", host.id.borrow()), host.tier + 1, host.zone, known);
        *host.node.borrow_mut() = Some(node);
    }

    fn new_node(&mut self, name: String, tier: usize, zone: u16, known: Vec<Line>) -> Rc<Node> {
        let settings = self.settings[tier][usize::from(zone)].clone();
        let salt = self.node_salt.random();
        let (policy, fault) = (self.options.policy, self.options.fault);
        let decider: Box<dyn Decider> = match policy {
            Policy::Module => Box::new(Module::new(settings, salt)),
            // An injected fault affects only nodes of the first tier; nodes behind them work correctly.
            _ => {
                let fault = fault.filter(|_| tier == 0);
                Box::new(Baseline::new(policy, fault, settings, salt, self.fleet.clone()))
            }
        };
        let life = self.records.nodes.len();
        self.records.nodes.push(NodeLife { name, tier, from: self.now, ended: None });
        let node = Rc::new(Node {
            tier,
            zone,
            life,
            started: self.now,
            alive: Cell::new(true),
            decider: RefCell::new(decider),
            inbox: RefCell::default(),
            last_round: Cell::new(f64::NEG_INFINITY),
            round_at: Cell::new(f64::INFINITY),
            wake_at: Cell::new(f64::INFINITY),
            requests: RefCell::default(),
            numbered: Cell::new(0),
            watching: Cell::new(self.scenario.discovery.pushed),
            known: RefCell::default(),
            idle: RefCell::default(),
            answered_probes: RefCell::default(),
        });
        self.directory.watchers.push(node.clone());
        self.list_received(&node, known, true, true);
        self.event_queue.put(self.now + SWEEP_INTERVAL_MS, Event::Sweep(node.clone()));
        node
    }

    /// Puts an input into the node's inbox and schedules a round.
    pub fn queue_input(&mut self, node: &Rc<Node>, input: Input) {
        node.inbox.borrow_mut().push(input);
        let at = self.now.max(node.last_round.get() + self.scenario.nodes.round_ms);
        self.round_by(node, at);
    }

    fn round_by(&mut self, node: &Rc<Node>, at: f64) {
        if at < node.round_at.get() {
            node.round_at.set(at);
            self.event_queue.put(at, Event::Round(node.clone()));
        }
    }

    pub fn round(&mut self, node: &Rc<Node>) {
        if !node.alive.get() || self.now < node.round_at.get() {
            return;
        }
        node.round_at.set(f64::INFINITY);
        if node.wake_at.get() <= self.now {
            node.wake_at.set(f64::INFINITY);
        }
        node.last_round.set(self.now);
        self.fleet.tick(self.now);
        let inputs = node.inbox.take();
        let actions = node.decider.borrow_mut().round(self.now - node.started, inputs);
        actions.into_iter().for_each(|act| self.act(node, act));
        self.round_by(node, node.wake_at.get());
    }

    fn act(&mut self, node: &Rc<Node>, act: Action) {
        let request = |number: u32| node.requests.borrow().get(&number).cloned();
        match act {
            Action::Attempt { request: number, server, time_left } => {
                if let Some(request) = request(number) {
                    self.attempt(node, &request, server, time_left);
                }
            }
            Action::CallOff { request: number, attempt } => {
                let flight =
                    request(number).and_then(|request| request.attempts.borrow().get(attempt).cloned());
                if let Some(flight) = flight.filter(|flight| !flight.ended.get()) {
                    self.attempt_over(&flight, AttemptOutcome::Cancelled, true);
                }
            }
            Action::Reject { request: number, wait } => {
                if let Some(request) = request(number) {
                    self.give(&request, Answer::Rejected, 0, wait);
                }
            }
            Action::Fail { request: number } => {
                if let Some(request) = request(number) {
                    self.give(&request, Answer::Failed, 0, 0.0);
                }
            }
            Action::Probe { server } => self.probe(node, server),
            Action::Wake { delay } => {
                let at = (self.now + delay).max(self.now + self.scenario.nodes.round_ms);
                node.wake_at.set(node.wake_at.get().min(at));
            }
            Action::Watch => self.watch(node),
        }
    }

    /// A request was received completely.
    pub fn take(&mut self, node: &Rc<Node>, request: &Rc<HeldRequest>) {
        if !node.alive.get() {
            return self.cut(request);
        }
        let number = node.numbered.get();
        node.numbered.set(number.wrapping_add(1));
        request.number.set(number);
        node.requests.borrow_mut().insert(number, request.clone());
        let deadline = request.deadline - node.started;
        let (profile, customer) = (request.profile, request.customer);
        self.queue_input(node, Input::Request { id: number, profile, customer, deadline });
    }

    /// A call to the next tier that a server makes for an attempt in progress.
    pub fn new_call(&mut self, node: &Rc<Node>, flight: &Rc<AttemptInFlight>) -> Rc<HeldRequest> {
        let (above, scenario) = (&flight.request, self.scenario.clone());
        let fan = above.fan * f64::from(scenario.tiers[node.tier - 1].calls);
        self.new_request(node, above, scenario.tiers[node.tier].work / fan, fan, From::Server(flight.clone()))
    }

    fn new_request(
        &mut self,
        node: &Rc<Node>,
        above: &HeldRequest,
        share: f64,
        fan: f64,
        from: From,
    ) -> Rc<HeldRequest> {
        let record = self.records.requests.len();
        let trace = record as u64 + 1;
        self.records.requests.push(RequestRecord {
            trace,
            root: above.root,
            ask: None,
            node: node.life,
            tier: node.tier,
            profile: above.profile,
            key: above.key,
            sent: self.now,
            deadline: above.deadline,
            left: None,
            answers: Vec::new(),
            cut: false,
        });
        Rc::new(HeldRequest {
            node: node.clone(),
            number: Cell::new(0),
            record,
            trace,
            root: above.root,
            key: above.key,
            profile: above.profile,
            customer: above.customer,
            deadline: above.deadline,
            work: above.whole_work * share,
            whole_work: above.whole_work,
            fan,
            from,
            attempts: RefCell::default(),
            answered: Cell::new(false),
            over: Cell::new(false),
        })
    }

    fn attempt(&mut self, node: &Rc<Node>, request: &Rc<HeldRequest>, server: Address, time_left: f64) {
        let Some(host) = self.fleet.host(server) else {
            return self.lone_end(node, request);
        };
        let kept = self.kept_connection(node, &host);
        let flight = Rc::new(AttemptInFlight {
            request: request.clone(),
            number: request.attempts.borrow().len(),
            host: host.clone(),
            starts: kept.map_or(host.starts.get(), |(_, starts)| starts),
            sent: self.now,
            new_connection: kept.is_none(),
            attempt: Cell::new(None),
            ended: Cell::new(false),
        });
        request.attempts.borrow_mut().push(flight.clone());
        self.event_queue.put(self.now + time_left.max(0.0), Event::AttemptTimesOut(flight.clone()));
        let (there, back) = (self.hop(node.zone, host.zone), self.hop(host.zone, node.zone));
        let ends = |ending| Event::AttemptEnds(flight.clone(), ending, 0);
        if let Some((used, starts)) = kept {
            let closed = starts != host.starts.get()
                || self.now - used >= host.active_troubles.idle(self.scenario.tiers[host.tier].server.idle_s);
            if host.state.get() == State::Silent {
                return;
            }
            if closed || !host.is_up() {
                // The server closed the connection without notice; this shows once the request has been
                // written.
                return self.event_queue.put(self.now + there + back, ends(AttemptOutcome::ConnectionLost));
            }
            host.flights.borrow_mut().push(flight.clone());
            return self.event_queue.put(self.now + there, Event::AttemptArrives(flight));
        }
        match host.state.get() {
            State::Silent => {
                self.event_queue
                    .put(self.now + self.scenario.nodes.connect_ms, ends(AttemptOutcome::ConnectFailed));
            }
            State::Up if host.server.borrow_mut().connect() => {
                self.records.connections += 1;
                host.flights.borrow_mut().push(flight.clone());
                self.event_queue.put(self.now + 2.0 * there + back, Event::AttemptArrives(flight));
            }
            _ => self.event_queue.put(self.now + there + back, ends(AttemptOutcome::ConnectFailed)),
        }
    }

    /// An attempt at an address that no server ever had.
    fn lone_end(&mut self, node: &Rc<Node>, request: &Rc<HeldRequest>) {
        let attempt = request.attempts.borrow().len();
        let input = Input::AttemptEnded {
            id: request.number.get(),
            attempt,
            ending: AttemptOutcome::ConnectFailed,
            took: 0.0,
            done: false,
        };
        self.queue_input(node, input);
    }

    /// Takes the most recently used idle connection, with the start number of the server it leads to.
    fn kept_connection(&self, node: &Node, host: &Host) -> Option<(f64, u64)> {
        let mut idle = node.idle.borrow_mut();
        let kept = idle.get_mut(&host.address)?.pop()?;
        let fresh = self.now - kept.0 < IDLE_KEEP_SHARE * self.scenario.nodes.idle_s * 1000.0;
        if !fresh && kept.1 == host.starts.get() {
            host.server.borrow_mut().disconnect();
        }
        fresh.then_some(kept)
    }

    pub fn sweep(&mut self, node: &Rc<Node>) {
        if !node.alive.get() {
            return;
        }
        let fleet = self.fleet.clone();
        for (address, kept) in node.idle.borrow_mut().iter_mut() {
            let Some(host) = fleet.host(*address) else { continue };
            let most = (IDLE_KEEP_SHARE * self.scenario.nodes.idle_s * 1000.0)
                .min(host.active_troubles.idle(self.scenario.tiers[host.tier].server.idle_s));
            let before = kept.len();
            // A connection that the server has closed meanwhile is detected at its next use, as on sockets.
            kept.retain(|(used, _)| self.now - used < IDLE_KEEP_SHARE * self.scenario.nodes.idle_s * 1000.0);
            let closed = kept.iter().filter(|(used, _)| self.now - used >= most).count();
            for _ in 0..(before - kept.len()).saturating_sub(closed) {
                host.server.borrow_mut().disconnect();
            }
        }
        self.event_queue.put(self.now + SWEEP_INTERVAL_MS, Event::Sweep(node.clone()));
    }

    pub fn attempt_times_out(&mut self, flight: &Rc<AttemptInFlight>) {
        if !flight.ended.get() {
            // Not written if the connection was never established: the attempt was reported as unconnected
            // before.
            self.attempt_over(flight, AttemptOutcome::TimedOut, true);
        }
    }

    /// The outcome of an attempt has reached its node.
    pub fn attempt_ends(&mut self, flight: &Rc<AttemptInFlight>, ending: AttemptOutcome, body: u64) {
        if flight.ended.get() || !flight.request.node.alive.get() {
            return;
        }
        let node = flight.request.node.clone();
        if matches!(ending, AttemptOutcome::Served | AttemptOutcome::Error | AttemptOutcome::Full) {
            let kept = (self.now, flight.starts);
            node.idle.borrow_mut().entry(flight.host.address).or_default().push(kept);
        }
        if ending == AttemptOutcome::Served {
            self.give(&flight.request.clone(), Answer::Served, body, 0.0);
        }
        self.attempt_over(flight, ending, false);
    }

    /// Ends an attempt at its node; `gives_up` closes the connection, which notifies the server.
    fn attempt_over(&mut self, flight: &Rc<AttemptInFlight>, ending: AttemptOutcome, gives_up: bool) {
        flight.ended.set(true);
        let (request, host) = (&flight.request, &flight.host);
        if gives_up {
            let hop = self.hop(request.node.zone, host.zone);
            host.server.borrow_mut().disconnect();
            self.event_queue.put(self.now + hop, Event::CallOffArrives(flight.clone()));
        }
        let input = Input::AttemptEnded {
            id: request.number.get(),
            attempt: flight.number,
            ending,
            took: self.now - flight.sent,
            done: request.answered.get(),
        };
        self.queue_input(&request.node.clone(), input);
        self.forget(request);
    }

    /// Sends the final answer of a request; later ones are dropped.
    fn give(&mut self, request: &Rc<HeldRequest>, answer: Answer, body: u64, wait: f64) {
        let again = self.options.fault == Some(Fault::AnswersTwice) && request.node.tier == 0;
        if request.answered.replace(true) && !again {
            return;
        }
        let mut body = body;
        if request.node.tier == 0 {
            match self.options.fault {
                Some(Fault::LosesRequests) if request.trace.is_multiple_of(LOSS_INTERVAL) => {
                    return self.forget(request);
                }
                Some(Fault::SwapsAnswers) if answer == Answer::Served => {
                    self.swaps += 1;
                    let last = std::mem::replace(&mut self.last_body, body);
                    body = if self.swaps.is_multiple_of(LOSS_INTERVAL) { last } else { body };
                }
                Some(Fault::AnswersTwice) if request.trace.is_multiple_of(LOSS_INTERVAL) => {
                    let hop = self.client_hop();
                    self.event_queue
                        .put(self.now + hop + 1.0, Event::Answered(request.clone(), answer, body, wait));
                }
                _ => {}
            }
        }
        let hop = if request.node.tier == 0 { self.client_hop() } else { super::SIDECAR_DELAY_MS };
        self.event_queue.put(self.now + hop, Event::Answered(request.clone(), answer, body, wait));
        self.forget(request);
    }

    fn forget(&self, request: &Rc<HeldRequest>) {
        let out = request.attempts.borrow().iter().any(|flight| !flight.ended.get());
        if request.answered.get() && !out {
            request.node.requests.borrow_mut().remove(&request.number.get());
        }
    }

    fn probe(&mut self, node: &Rc<Node>, server: Address) {
        let zone = self.fleet.host(server).map_or(node.zone, |host| host.zone);
        let hop = self.hop(node.zone, zone);
        self.event_queue.put(self.now + hop, Event::ProbeArrives(node.clone(), server, self.now));
        let failed = Event::ProbeAnswered(node.clone(), server, false, Vec::new(), self.now);
        self.event_queue.put(self.now + PROBE_TIMEOUT_MS, failed);
    }

    pub fn probe_answered(
        &mut self,
        node: &Rc<Node>,
        server: Address,
        good: bool,
        report: Vec<f64>,
        sent: f64,
    ) {
        // The time-out of every probe is in the event queue; it counts only if no answer came before.
        if !node.alive.get() || !good && node.answered_probe(server, sent) {
            return;
        }
        if good {
            node.answered_probes.borrow_mut().push((server, sent));
        }
        self.queue_input(node, Input::ProbeAnswered { server, good, report, took: self.now - sent });
    }

    /// A node received lines of the server list.
    pub fn list_received(&mut self, node: &Rc<Node>, lines: Vec<Line>, whole: bool, cached: bool) {
        if !node.alive.get() {
            return;
        }
        let mut known = node.known.borrow_mut();
        let mut out: Vec<ListedServer> = Vec::new();
        if whole {
            // Servers that are missing from a whole list count as gone for this node.
            let listed: BTreeSet<usize> = lines.iter().map(|line| line.life).collect();
            let gone = known.values().filter(|old| !listed.contains(&old.life));
            let gone: Vec<usize> = gone.map(|line| line.life).collect();
            for server in gone {
                self.records.list_updates.push(ListUpdate {
                    node: node.life,
                    server,
                    standing: ServerState::Gone,
                    at: self.now,
                });
            }
            known.clear();
        }
        for line in lines {
            self.records.list_updates.push(ListUpdate {
                node: node.life,
                server: line.life,
                standing: line.standing,
                at: self.now,
            });
            let newcomer = known.get(&line.address).is_some_and(|old| old.id != line.id);
            if newcomer && line.standing == ServerState::Gone {
                continue;
            }
            let listing = line.listing(node.started);
            if newcomer {
                // A server at a reused address is reported after the previous one has gone.
                out.push(ListedServer { state: ServerState::Gone, ..listing });
            }
            if line.standing == ServerState::Gone {
                known.remove(&line.address);
            } else {
                known.insert(line.address, line);
            }
            out.push(listing);
        }
        drop(known);
        self.queue_input(node, Input::Listed { whole, cached, lines: out });
    }

    /// Ends a node's process: clients' connections are reset, and servers see theirs close.
    pub fn stop_node(&mut self, node: &Rc<Node>, how: NodeEnd) {
        if !node.alive.replace(false) {
            return;
        }
        self.records.nodes[node.life].ended = Some((self.now, how));
        let requests = node.requests.take();
        for request in requests.values() {
            for flight in request.attempts.borrow().iter().filter(|flight| !flight.ended.replace(true)) {
                let hop = self.hop(node.zone, flight.host.zone);
                flight.host.server.borrow_mut().disconnect();
                self.event_queue.put(self.now + hop, Event::CallOffArrives(flight.clone()));
            }
            if !request.answered.replace(true) {
                self.cut(request);
            }
        }
        for (address, kept) in node.idle.take() {
            if let Some(host) = self.fleet.host(address) {
                kept.iter().for_each(|_| host.server.borrow_mut().disconnect());
            }
        }
        self.directory.watchers.retain(|other| !Rc::ptr_eq(other, node));
    }

    pub fn end_node(&mut self, node_host: &Rc<NodeHost>, starts: u64) {
        if node_host.starts.get() != starts {
            return;
        }
        self.take_down(node_host, NodeEnd::Terminated);
    }

    /// Ends the node at a node host, if there is one.
    pub fn take_down(&mut self, node_host: &Rc<NodeHost>, how: NodeEnd) {
        let Some(node) = node_host.node.take() else { return };
        *node_host.known.borrow_mut() = node.known.borrow().values().cloned().collect();
        self.stop_node(&node, how);
        let notice = self.scenario.clients.notice_s * 1000.0;
        self.event_queue.put(self.now + notice, Event::FrontNotices(node_host.clone(), false));
    }

    pub fn front_notices(&mut self, node_host: &Rc<NodeHost>, up: bool) {
        let there = node_host.node.borrow().is_some();
        if there == up {
            node_host.in_rotation.set(up);
        }
    }
}

impl Node {
    fn answered_probe(&self, server: Address, sent: f64) -> bool {
        let mut answered = self.answered_probes.borrow_mut();
        let place = answered.iter().position(|probe| *probe == (server, sent));
        place.map(|place| answered.swap_remove(place)).is_some()
    }
}
