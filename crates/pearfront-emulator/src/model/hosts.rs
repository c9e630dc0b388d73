//! Machines of the model play: servers at their addresses, the effect of troubles on them, and the attempts
//! that reach them.

use super::nodes::{AttemptInFlight, Node};
use super::{Event, SIDECAR_DELAY_MS, World};
use crate::active_troubles::{ActiveTroubles, State};
use crate::decide::{SeesAll, Truth};
use crate::dedup::{DedupGroups, DedupKeys};
use crate::record::{Attempt, AttemptEnd, ServerLife};
use crate::scenario::{Effect, Scenario, What};
use crate::server::{Arrival, Need, Server, ServerEvent};
use pearfront::interface::{Address, AttemptOutcome};
use rand::prelude::Rng;
use rand_distr::{Distribution, Exp};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// An attempt as the ticket given to its server; compared by identity.
#[derive(Clone)]
pub struct Ticket(pub Rc<AttemptInFlight>);

impl PartialEq for Ticket {
    fn eq(&self, other: &Self) -> bool {
        Rc::ptr_eq(&self.0, &other.0)
    }
}

pub struct Host {
    pub address: Address,
    pub tier: usize,
    pub zone: u16,
    pub cell: u16,
    pub kind: usize,
    /// Instance id in the server list; new with each replacement.
    pub id: RefCell<String>,
    pub state: Cell<State>,
    pub draining: Cell<bool>,
    /// Index of its current life in the records, and a counter of starts.
    pub life: Cell<usize>,
    pub starts: Cell<u64>,
    pub started: Cell<f64>,
    pub server: RefCell<Server<Ticket>>,
    /// Its own node, through which its calls go.
    pub node: RefCell<Option<Rc<Node>>>,
    pub flights: RefCell<Vec<Rc<AttemptInFlight>>>,
    pub active_troubles: ActiveTroubles,
    version: Cell<u64>,
}

impl Host {
    /// A warm machine of the given tier, zone, cell and kind.
    pub fn new(
        scenario: &Scenario,
        address: Address,
        (tier, zone, cell, kind): (usize, u16, u16, usize),
        id: String,
        state: State,
    ) -> Rc<Self> {
        let behaviour = &scenario.tiers[tier].server;
        let server = Server::new(&scenario.kinds[kind], behaviour, &scenario.rules, f64::NEG_INFINITY, 0.0);
        Rc::new(Host {
            address,
            tier,
            zone,
            cell,
            kind,
            id: RefCell::new(id),
            state: Cell::new(state),
            draining: Cell::new(false),
            life: Cell::new(0),
            starts: Cell::new(0),
            started: Cell::new(f64::NEG_INFINITY),
            server: RefCell::new(server),
            node: RefCell::default(),
            flights: RefCell::default(),
            active_troubles: ActiveTroubles::default(),
            version: Cell::new(0),
        })
    }

    /// A replacement for this host that is not up yet.
    pub fn successor(&self, scenario: &Scenario, address: Address) -> Rc<Self> {
        let place = (self.tier, self.zone, self.cell, self.kind);
        let successor = Self::new(scenario, address, place, format!("{}+", self.id.borrow()), State::Down);
        successor.life.set(self.life.get());
        successor
    }

    pub fn is_up(&self) -> bool {
        self.state.get() == State::Up
    }
}

/// Share of complete and correct answers above which `sees-all` uses a server without restriction.
const MIN_SOUND_SHARE: f64 = 0.95;

#[derive(Default)]
pub struct Fleet {
    pub hosts: RefCell<Vec<Rc<Host>>>,
    pub at: RefCell<BTreeMap<Address, Rc<Host>>>,
    /// Deduplication state of each group of servers.
    pub repeats: RefCell<DedupGroups>,
    now: Cell<f64>,
    pub addressed: Cell<u32>,
}

impl Fleet {
    pub fn host(&self, address: Address) -> Option<Rc<Host>> {
        self.at.borrow().get(&address).cloned()
    }

    pub fn fresh_address(&self) -> Address {
        let number = self.addressed.get() + 1;
        self.addressed.set(number);
        let [_, a, b, c] = number.to_be_bytes();
        [10, a, b, c, 0x1f, 0x90]
    }

    /// Current time, shared within the fleet so that the true state is always current.
    pub fn tick(&self, now: f64) {
        self.now.set(now);
    }
}

impl SeesAll for Fleet {
    fn truth(&self, server: Address) -> Option<Truth> {
        let host = self.host(server)?;
        let server = host.server.borrow();
        let capacity = server.capacity(self.now.get());
        let sound = host.active_troubles.unaffected_share(What::FastErrors)
            * host.active_troubles.unaffected_share(What::LostAnswers)
            > MIN_SOUND_SHARE;
        let up = host.is_up() && !host.draining.get() && capacity > 0.0;
        // Attempts in flight count the same as those that have arrived.
        let coming = host.flights.borrow().iter().filter(|flight| flight.attempt.get().is_none()).count();
        let each = if server.held() > 0 { server.work_left() / server.held() as f64 } else { 0.0 };
        let held = (server.held() + coming) as f64;
        let most = server.uncrowded_capacity() * server.warm_share(self.now.get());
        Some(Truth {
            work: server.work_left() + each * coming as f64,
            capacity,
            up,
            sound,
            filled: held / most,
        })
    }
}

impl World {
    pub fn build_fleet(&mut self) {
        let scenario = self.scenario.clone();
        for (tier, machine) in scenario.machines() {
            let id = format!("{}-{}", scenario.tiers[tier].name, machine.number);
            self.add_host(tier, machine.zone, machine.cell, machine.kind, id);
        }
    }

    fn add_host(&mut self, tier: usize, zone: u16, cell: u16, kind: usize, id: String) {
        let address = self.fleet.fresh_address();
        let host = Host::new(&self.scenario, address, (tier, zone, cell, kind), id, State::Up);
        self.record_life(&host);
        self.fleet.at.borrow_mut().insert(host.address, host.clone());
        self.fleet.hosts.borrow_mut().push(host.clone());
        self.next_pause(&host);
    }

    pub fn record_life(&mut self, host: &Host) {
        let place = (host.tier, host.zone, host.cell, host.kind);
        let life = ServerLife::new(&self.scenario, host.id.borrow().clone(), place, host.started.get());
        host.life.set(self.records.servers.len());
        self.records.servers.push(life);
    }

    pub fn next_pause(&mut self, host: &Rc<Host>) {
        let every = self.scenario.tiers[host.tier].server.pause_every_s * 1000.0;
        if every <= 0.0 {
            return;
        }
        let wait = Exp::new(1.0 / every).map_or(every, |exp| exp.sample(&mut self.service));
        self.event_queue.put(self.now + wait, Event::Pause(host.clone()));
    }

    pub fn pause(&mut self, host: &Rc<Host>) {
        let until = self.now + self.scenario.tiers[host.tier].server.pause_ms;
        self.catch_up(host);
        host.server.borrow_mut().stall_until(until);
        self.watch_host(host);
        self.next_pause(host);
    }

    /// Advances the server to now and processes the events up to then.
    pub fn catch_up(&mut self, host: &Rc<Host>) {
        self.fleet.tick(self.now);
        let events = host.server.borrow_mut().advance(self.now);
        for (Ticket(flight), what) in events {
            match what {
                ServerEvent::Began => {}
                ServerEvent::Calls => self.call_next_tier(host, &flight),
                ServerEvent::Done => self.served(host, &flight),
                ServerEvent::Failed => {
                    self.server_ends(host, &flight, AttemptEnd::Error, AttemptOutcome::Error)
                }
            }
        }
    }

    /// Schedules an event for when the server's next event is due.
    pub fn watch_host(&mut self, host: &Rc<Host>) {
        host.version.set(host.version.get() + 1);
        let due = host.server.borrow().due();
        if due.is_finite() && host.is_up() {
            self.event_queue.put(due.max(self.now), Event::HostDue(host.clone(), host.version.get()));
        }
    }

    pub fn host_due(&mut self, host: &Rc<Host>, version: u64) {
        if host.version.get() == version {
            self.catch_up(host);
            self.watch_host(host);
        }
    }

    pub fn attempt_arrives(&mut self, flight: &Rc<AttemptInFlight>) {
        let host = flight.host.clone();
        if flight.starts != host.starts.get() || !host.is_up() {
            return;
        }
        self.catch_up(&host);
        let request = &flight.request;
        let mut work = request.work;
        if flight.new_connection {
            work += self.scenario.tiers[host.tier].server.connect_work_ms;
        }
        let need = Need {
            work,
            calls: self.scenario.tiers[host.tier].calls,
            fails: self.service.random::<f64>() >= host.active_troubles.unaffected_share(What::FastErrors),
            repeat: self.repeats(&host, flight, |repeats, key, now, _| repeats.knows(key, now)),
        };
        flight.attempt.set(Some(self.records.attempts.len()));
        self.records.attempts.push(Attempt {
            trace: request.trace,
            server: host.life.get(),
            sent: flight.sent,
            came: self.now,
            work: request.work,
            ended: None,
            effect: false,
            called_off: None,
        });
        let arrival = host.server.borrow_mut().arrive(Ticket(flight.clone()), need);
        match arrival {
            Arrival::Began | Arrival::Waits => {}
            Arrival::TurnedAway => {
                self.server_ends(&host, flight, AttemptEnd::TurnedAway, AttemptOutcome::Full)
            }
            Arrival::Fell => {
                self.records.servers[host.life.get()].fell = Some(self.now);
                self.note(format!("{} falls over: cold and sent too much", host.id.borrow()));
                self.lose_all(&host, AttemptOutcome::ConnectionLost);
            }
        }
        self.watch_host(&host);
    }

    /// Queries the deduplication state that applies to this attempt; false for requests without a key.
    fn repeats(
        &self,
        host: &Host,
        flight: &AttemptInFlight,
        ask: impl Fn(&mut DedupKeys, u64, f64, f64) -> bool,
    ) -> bool {
        let profile = flight.request.profile;
        let mut groups = self.fleet.repeats.borrow_mut();
        let repeats = groups.of(&self.scenario, host.tier, (host.zone, host.cell), profile);
        let window = self.scenario.profiles[profile].window_s * 1000.0;
        repeats.is_some_and(|repeats| ask(repeats, flight.request.key, self.now, window))
    }

    fn served(&mut self, host: &Rc<Host>, flight: &Rc<AttemptInFlight>) {
        let keyed = self.scenario.profiles[flight.request.profile].effect == Effect::Keyed;
        let first = self.repeats(host, flight, DedupKeys::work_through);
        if let Some(attempt) = flight.attempt.get() {
            self.records.attempts[attempt].effect = first || !keyed;
        }
        self.server_ends(host, flight, AttemptEnd::Served, AttemptOutcome::Served);
    }

    /// The server has finished an attempt: records it and answers, unless the client left or the answer is
    /// lost.
    fn server_ends(
        &mut self,
        host: &Rc<Host>,
        flight: &Rc<AttemptInFlight>,
        end: AttemptEnd,
        ending: AttemptOutcome,
    ) {
        host.flights.borrow_mut().retain(|other| !Rc::ptr_eq(other, flight));
        if let Some(attempt) = flight.attempt.get() {
            self.records.attempts[attempt].ended = Some((self.now, end));
        }
        let lost = self.service.random::<f64>() >= host.active_troubles.unaffected_share(What::LostAnswers);
        if !flight.ended.get() && !lost {
            let hop = self.hop(host.zone, flight.request.node.zone);
            self.event_queue
                .put(self.now + hop, Event::AttemptEnds(flight.clone(), ending, flight.request.trace));
        }
    }

    fn call_next_tier(&mut self, host: &Rc<Host>, flight: &Rc<AttemptInFlight>) {
        let node = host.node.borrow().clone();
        let left = flight.request.deadline - self.now;
        match node {
            Some(node) if left > 0.0 => {
                let call = self.new_call(&node, flight);
                self.event_queue.put(self.now + SIDECAR_DELAY_MS, Event::Take(node, call));
            }
            _ => self.call_ended(host, flight, false),
        }
    }

    /// The call that a request was waiting for has ended.
    pub fn call_ended(&mut self, host: &Rc<Host>, flight: &Rc<AttemptInFlight>, good: bool) {
        if flight.starts != host.starts.get() || !host.is_up() {
            return;
        }
        let ended = host.server.borrow_mut().call_ended(&Ticket(flight.clone()), good);
        if ended.is_some() {
            self.server_ends(host, flight, AttemptEnd::Error, AttemptOutcome::Error);
        }
    }

    pub fn call_off_arrives(&mut self, flight: &Rc<AttemptInFlight>) {
        let host = flight.host.clone();
        let Some(attempt) = flight.attempt.get().filter(|_| flight.starts == host.starts.get()) else {
            return;
        };
        if self.records.attempts[attempt].ended.is_none() {
            self.records.attempts[attempt].called_off = Some(self.now);
        }
        if !host.is_up() {
            return;
        }
        self.catch_up(&host);
        if host.server.borrow_mut().call_off(&Ticket(flight.clone())) {
            self.records.attempts[attempt].ended = Some((self.now, AttemptEnd::Dropped));
            host.flights.borrow_mut().retain(|other| !Rc::ptr_eq(other, flight));
        }
        self.watch_host(&host);
    }

    /// The process ended with all requests it held; its connections are reset.
    pub fn lose_all(&mut self, host: &Rc<Host>, ending: AttemptOutcome) {
        for flight in host.flights.take() {
            if let Some(attempt) =
                flight.attempt.get().filter(|attempt| self.records.attempts[*attempt].ended.is_none())
            {
                self.records.attempts[attempt].ended = Some((self.now, AttemptEnd::Lost));
            }
            if !flight.ended.get() {
                let hop = self.hop(host.zone, flight.request.node.zone);
                self.event_queue.put(self.now + hop, Event::AttemptEnds(flight, ending, 0));
            }
        }
    }

    pub fn probe_arrives(&mut self, node: &Rc<Node>, address: Address, sent: f64) {
        let Some(host) = self.fleet.host(address).filter(|host| host.is_up()) else { return };
        self.catch_up(&host);
        self.records.probes += 1;
        let mut server = host.server.borrow_mut();
        if server.has_fallen() || host.active_troubles.has(What::LostReports) {
            return;
        }
        server.add_work(self.scenario.tiers[host.tier].server.probe_work_ms);
        let report =
            if host.active_troubles.has(What::StaleReports) { server.old_report() } else { server.report() };
        drop(server);
        self.watch_host(&host);
        let hop = self.hop(host.zone, node.zone);
        let figure = if self.scenario.nodes.told_held { report.held } else { report.utilisation };
        let answer = Event::ProbeAnswered(node.clone(), address, true, vec![figure], sent);
        self.event_queue.put(self.now + hop, answer);
    }
}
