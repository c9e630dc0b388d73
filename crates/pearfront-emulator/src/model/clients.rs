//! Clients of the model play: the front that distributes their requests over the nodes, answers, and retries.

use super::nodes::{From, HeldRequest, NodeHost};
use super::{Event, World};
use crate::record::{Answer, Answered, Ask, RequestRecord};
use crate::scenario::Scenario;
use crate::workload::{PlannedAsk, Workload, weighted};
use std::cell::Cell;
use std::rc::Rc;

/// An ask in progress.
pub struct AskState {
    place: usize,
    ask: PlannedAsk,
    tries: Cell<u32>,
    over: Cell<bool>,
}

pub struct Front {
    asks: Workload,
    /// Number of asks that have not ended.
    pub open: usize,
}

impl Front {
    pub fn new(scenario: Rc<Scenario>, seed: u64) -> Self {
        Self { asks: Workload::new(scenario, seed), open: 0 }
    }
}

impl World {
    pub fn next_ask(&mut self) {
        if let Some(ask) = self.front.asks.next() {
            self.event_queue.put(ask.at, Event::Ask(ask));
        }
    }

    pub fn ask(&mut self, ask: PlannedAsk) {
        self.front.open += 1;
        let place = self.records.asks.len();
        self.records.asks.push(Ask { at: ask.at, profile: ask.profile, customer: ask.customer });
        self.try_ask(&Rc::new(AskState { place, ask, tries: Cell::new(0), over: Cell::new(false) }));
        self.next_ask();
    }

    pub fn try_ask(&mut self, ask: &Rc<AskState>) {
        ask.tries.set(ask.tries.get() + 1);
        let Some(node_host) = self.deal(ask.ask.zone) else { return self.failed(ask) };
        let node = node_host.node.borrow().clone();
        let Some(node) = node else { return self.failed(ask) };
        let record = self.records.requests.len();
        let trace = record as u64 + 1;
        self.records.requests.push(RequestRecord {
            trace,
            root: trace,
            ask: Some(ask.place),
            node: node.life,
            tier: 0,
            profile: ask.ask.profile,
            key: ask.ask.key,
            sent: self.now,
            deadline: ask.ask.deadline,
            left: None,
            answers: Vec::new(),
            cut: false,
        });
        let request = Rc::new(HeldRequest {
            node: node.clone(),
            number: Cell::new(0),
            record,
            trace,
            root: trace,
            key: ask.ask.key,
            profile: ask.ask.profile,
            customer: ask.ask.customer,
            deadline: ask.ask.deadline,
            work: ask.ask.work * self.scenario.tiers[0].work,
            whole_work: ask.ask.work,
            fan: 1.0,
            from: From::Caller(ask.clone()),
            attempts: Default::default(),
            answered: Cell::new(false),
            over: Cell::new(false),
        });
        let hop = self.client_hop();
        self.event_queue.put(self.now + hop, Event::Take(node, request.clone()));
        let leaves = ask.ask.leaves(&self.scenario, self.now);
        self.event_queue.put(leaves, Event::ClientLeaves(request));
    }

    /// The front sends to nodes of the client's zone that it considers up, otherwise to any that is up.
    fn deal(&mut self, zone: usize) -> Option<Rc<NodeHost>> {
        let at = |home: bool| {
            let fits = |node_host: &&Rc<NodeHost>| {
                node_host.in_rotation.get() && (!home || usize::from(node_host.zone) == zone)
            };
            self.node_hosts.iter().filter(fits).cloned().collect::<Vec<_>>()
        };
        let mut node_hosts = at(true);
        if node_hosts.is_empty() {
            node_hosts = at(false);
        }
        if node_hosts.is_empty() {
            return None;
        }
        let place = weighted(&mut self.net, node_hosts.iter().map(|node_host| node_host.weight.get()));
        Some(node_hosts[place].clone())
    }

    /// Delivers an answer to the client or server that waits for it.
    pub fn answered(&mut self, request: &Rc<HeldRequest>, answer: Answer, body: u64, wait: f64) {
        let left = self.records.requests[request.record].left.is_some();
        if !left {
            self.records.requests[request.record].answers.push(Answered { at: self.now, answer, body });
        }
        if request.over.replace(true) {
            return;
        }
        match &request.from {
            From::Server(flight) => {
                let flight = flight.clone();
                let host = flight.host.clone();
                self.catch_up(&host);
                self.call_ended(&host, &flight, answer == Answer::Served);
                self.watch_host(&host);
            }
            From::Caller(ask) => {
                let ask = ask.clone();
                match answer {
                    Answer::Served => self.finish(&ask),
                    Answer::Rejected => self.again(&ask, wait, true),
                    Answer::Failed => self.again(&ask, 0.0, false),
                }
            }
        }
    }

    /// The node ended, which resets the request's connection.
    pub fn cut(&mut self, request: &Rc<HeldRequest>) {
        self.records.requests[request.record].cut = true;
        if request.over.replace(true) {
            return;
        }
        match &request.from {
            From::Caller(ask) => self.failed(&ask.clone()),
            // A server's node ends together with the server, so nobody waits.
            From::Server(_) => {}
        }
    }

    pub fn client_leaves(&mut self, request: &Rc<HeldRequest>) {
        if request.over.replace(true) {
            return;
        }
        self.records.requests[request.record].left = Some(self.now);
        if request.node.alive.get() && !request.answered.get() {
            let number = request.number.get();
            request.answered.set(true);
            self.queue_input(&request.node.clone(), crate::decide::Input::Left { id: number });
        }
        if let From::Caller(ask) = &request.from {
            self.finish(&ask.clone());
        }
    }

    fn failed(&mut self, ask: &Rc<AskState>) {
        self.again(ask, 0.0, false);
    }

    /// A try did not succeed: schedules the next one if the client may retry and does.
    fn again(&mut self, ask: &Rc<AskState>, wait: f64, harmless: bool) {
        match ask.ask.next_try(&self.scenario, self.now, ask.tries.get(), wait, harmless) {
            Some(at) => self.event_queue.put(at, Event::Try(ask.clone())),
            None => self.finish(ask),
        }
    }

    fn finish(&mut self, ask: &AskState) {
        if !ask.over.replace(true) {
            self.front.open -= 1;
        }
    }
}
