//! Decision makers of the model play: the decision module, or a baseline in its place. All take the same inputs
//! and return the same kinds of action; only `sees-all` has access to state that no node can observe.

use pearfront::interface::{
    Address, AttemptOutcome, DecisionWriter, Effect, ListedServer, Profile, ServerState, Settings,
};
use pearfront::policy::Balancer;
use rand::prelude::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::rc::Rc;

/// Work, ms, that `sees-all` assumes for a request, as the actual work is unknown.
const ASSUMED_WORK_MS: f64 = 10.0;
/// Fill level, as a share, up to which `sees-all` sends requests of less than the highest gain to a server.
const MAX_FILL_FOR_LOWER_GAIN: f64 = 0.75;

/// An input to a node's decisions; times are on the node's clock.
#[derive(Debug, Clone)]
pub enum Input {
    Request { id: u32, profile: usize, customer: usize, deadline: f64 },
    AttemptEnded { id: u32, attempt: usize, ending: AttemptOutcome, took: f64, done: bool },
    ProbeAnswered { server: Address, good: bool, report: Vec<f64>, took: f64 },
    Left { id: u32 },
    Listed { whole: bool, cached: bool, lines: Vec<ListedServer> },
    ListFailed,
    Closing { at: f64 },
}

/// An action that a node carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    Attempt { request: u32, server: Address, time_left: f64 },
    CallOff { request: u32, attempt: usize },
    Reject { request: u32, wait: f64 },
    Fail { request: u32 },
    Probe { server: Address },
    Wake { delay: f64 },
    Watch,
}

pub trait Decider {
    fn round(&mut self, now: f64, inputs: Vec<Input>) -> Vec<Action>;
}

/// Available decision makers, by their names on the command line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    Module,
    Random,
    TwoChoices,
    LeastHeld,
    SeesAll,
}

impl Policy {
    pub const ALL: [(&'static str, Policy); 5] = [
        ("module", Policy::Module),
        ("random", Policy::Random),
        ("two-choices", Policy::TwoChoices),
        ("least-held", Policy::LeastHeld),
        ("sees-all", Policy::SeesAll),
    ];

    pub fn named(name: &str) -> Option<Self> {
        Self::ALL.iter().find(|(known, _)| *known == name).map(|(_, policy)| *policy)
    }

    pub fn name(self) -> &'static str {
        Self::ALL.iter().find(|(_, policy)| *policy == self).map_or("", |(name, _)| name)
    }
}

/// Faults injected into a driver to verify that the judge detects them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    SendsTwice,
    AnswersTwice,
    LosesRequests,
    AnswersLate,
    SendsToDrained,
    FloodsCold,
    SwapsAnswers,
    RepeatsLate,
    RejectsWhatRan,
}

/// True state of a server, as available to `sees-all`.
#[derive(Debug, Clone, Copy)]
pub struct Truth {
    /// Remaining work, ms, and work done per millisecond.
    pub work: f64,
    pub capacity: f64,
    /// Whether it answers at all, and whether nearly all answers are correct.
    pub up: bool,
    pub sound: bool,
    /// Requests held as a share of what it can hold without becoming crowded or turning any away.
    pub filled: f64,
}

pub trait SeesAll {
    fn truth(&self, server: Address) -> Option<Truth>;
}

pub struct Module(Balancer);

impl Module {
    pub fn new(settings: Settings, salt: u64) -> Self {
        Self(Balancer::new(settings, salt))
    }
}

impl Decider for Module {
    fn round(&mut self, now: f64, inputs: Vec<Input>) -> Vec<Action> {
        let mut actions = ActionLog::default();
        let feed = |balancer: &mut Balancer| {
            inputs.into_iter().for_each(|input| apply_input(balancer, input));
            Ok::<(), Infallible>(())
        };
        let Ok(()) = self.0.round(now, feed, &mut actions);
        actions.0
    }
}

fn apply_input(balancer: &mut Balancer, input: Input) {
    match input {
        Input::Request { id, profile, customer, deadline } => {
            balancer.request_received(id, profile, customer, deadline)
        }
        Input::AttemptEnded { id, attempt, ending, took, done } => {
            balancer.attempt_ended(id, attempt, ending, took, done)
        }
        Input::ProbeAnswered { server, good, report, took } => {
            balancer.probe_answered(server, good, &report, took);
        }
        Input::Left { id } => balancer.client_left(id),
        Input::Listed { whole, cached, lines } => balancer.list_received(whole, cached, lines.into_iter()),
        Input::ListFailed => balancer.list_failed(),
        Input::Closing { at } => balancer.shutdown_at(at),
    }
}

#[derive(Default)]
struct ActionLog(Vec<Action>);

impl DecisionWriter for ActionLog {
    fn attempt(&mut self, request: u32, server: Address, time_left: f64) {
        self.0.push(Action::Attempt { request, server, time_left });
    }
    fn cancel(&mut self, request: u32, attempt: u16) {
        self.0.push(Action::CallOff { request, attempt: usize::from(attempt) });
    }
    fn reject(&mut self, request: u32, wait: f64) {
        self.0.push(Action::Reject { request, wait });
    }
    fn fail(&mut self, request: u32) {
        self.0.push(Action::Fail { request });
    }
    fn probe(&mut self, server: Address) {
        self.0.push(Action::Probe { server });
    }
    fn wake_after(&mut self, delay: f64) {
        self.0.push(Action::Wake { delay });
    }
    fn watch_list(&mut self) {
        self.0.push(Action::Watch);
    }
    fn log(&mut self, line: &str) {
        log::debug!("{line}");
    }
}

/// A request of a baseline, with its attempts so far and their outcomes.
struct BaselineRequest {
    profile: usize,
    deadline: f64,
    attempts: Vec<(Address, f64, Option<AttemptOutcome>)>,
}

/// A baseline balancer: chooses servers by one policy, retries within the rules, and sheds no load that it can
/// send.
pub struct Baseline {
    pick: Policy,
    fault: Option<Fault>,
    settings: Settings,
    rng: ChaCha8Rng,
    servers: BTreeMap<Address, ListedServer>,
    held: BTreeMap<Address, u32>,
    requests: BTreeMap<u32, BaselineRequest>,
    /// Deadlines and request ids; deadlines as bits, which sort like the times.
    deadlines: BTreeSet<(u64, u32)>,
    asked: bool,
    ask_at: f64,
    all: Rc<dyn SeesAll>,
}

impl Baseline {
    pub fn new(
        pick: Policy,
        fault: Option<Fault>,
        settings: Settings,
        salt: u64,
        all: Rc<dyn SeesAll>,
    ) -> Self {
        Self {
            pick,
            fault,
            settings,
            rng: ChaCha8Rng::seed_from_u64(salt),
            servers: BTreeMap::new(),
            held: BTreeMap::new(),
            requests: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            asked: false,
            ask_at: 0.0,
            all,
        }
    }

    fn handle_input(&mut self, now: f64, input: Input, actions: &mut Vec<Action>) {
        match input {
            Input::Request { id, profile, deadline, .. } => {
                self.requests.insert(id, BaselineRequest { profile, deadline, attempts: Vec::new() });
                self.deadlines.insert((deadline.max(0.0).to_bits(), id));
                self.go(now, id, actions);
            }
            Input::AttemptEnded { id, attempt, ending, done, .. } => {
                let Some(request) = self.requests.get_mut(&id) else { return };
                let Some(attempt) = request.attempts.get_mut(attempt).filter(|attempt| attempt.2.is_none())
                else {
                    return;
                };
                attempt.2 = Some(ending);
                let held = self.held.entry(attempt.0).or_default();
                *held = held.saturating_sub(1);
                if done {
                    self.forget(id);
                } else {
                    self.go(now, id, actions);
                }
            }
            Input::Left { id } => self.forget(id),
            Input::Listed { whole, cached, lines } => {
                if whole && self.fault != Some(Fault::SendsToDrained) {
                    self.servers.clear();
                }
                lines.into_iter().for_each(|line| self.list(line));
                self.asked = !cached;
            }
            Input::ListFailed => {
                (self.asked, self.ask_at) = (false, now + self.settings.list_request_deadline * 0.2)
            }
            Input::ProbeAnswered { .. } => {}
            Input::Closing { at } => {
                for request in self.requests.values_mut() {
                    request.deadline = request.deadline.min(at);
                }
                self.deadlines = self
                    .requests
                    .iter()
                    .map(|(id, request)| (request.deadline.max(0.0).to_bits(), *id))
                    .collect();
            }
        }
    }

    fn list(&mut self, line: ListedServer) {
        if line.state == ServerState::Ready {
            self.servers.insert(line.address, line);
        } else if self.fault != Some(Fault::SendsToDrained) {
            self.servers.remove(&line.address);
        }
    }

    fn forget(&mut self, id: u32) {
        if let Some(request) = self.requests.remove(&id) {
            self.deadlines.remove(&(request.deadline.max(0.0).to_bits(), id));
            for (server, ..) in request.attempts.iter().filter(|attempt| attempt.2.is_none()) {
                let held = self.held.entry(*server).or_default();
                *held = held.saturating_sub(1);
            }
        }
    }

    /// Sends the next attempt of a request, or ends the request where none is allowed.
    fn go(&mut self, now: f64, id: u32, actions: &mut Vec<Action>) {
        let request = &self.requests[&id];
        if request.attempts.iter().any(|attempt| attempt.2.is_none()) {
            return;
        }
        let profile = &self.settings.profiles[request.profile];
        let may_have_run =
            request.attempts.iter().find(|attempt| !attempt.2.is_some_and(AttemptOutcome::never_ran));
        let late = self.fault == Some(Fault::RepeatsLate);
        let again = match (may_have_run, profile.effect) {
            (None, _) | (Some(_), Effect::Idempotent) => true,
            (Some(_), Effect::NonIdempotent) => false,
            (Some(first), Effect::Keyed) => {
                profile.dedup_scope == pearfront::interface::DedupScope::All
                    && (late || now < first.1 + profile.dedup_window)
            }
        };
        let tries = request.attempts.len() < self.settings.max_attempts;
        let target = if again && tries { self.pick(id) } else { None };
        let Some(server) = target else { return self.end(id, actions) };
        self.attempt(now, id, server, actions);
        let non_idempotent =
            self.settings.profiles[self.requests[&id].profile].effect == Effect::NonIdempotent;
        if self.fault == Some(Fault::SendsTwice) && non_idempotent && self.requests[&id].attempts.len() == 1 {
            self.attempt(now, id, server, actions);
        }
    }

    fn attempt(&mut self, now: f64, id: u32, server: Address, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        *self.held.entry(server).or_default() += 1;
        request.attempts.push((server, now, None));
        actions.push(Action::Attempt { request: id, server, time_left: request.deadline - now });
    }

    fn end(&mut self, id: u32, actions: &mut Vec<Action>) {
        let request = &self.requests[&id];
        let proven = request.attempts.iter().all(|attempt| attempt.2.is_some_and(AttemptOutcome::never_ran));
        let profile: &Profile = &self.settings.profiles[request.profile];
        let harmless = proven || profile.effect == Effect::Idempotent;
        if harmless || self.fault == Some(Fault::RejectsWhatRan) {
            actions.push(Action::Reject {
                request: id,
                wait: profile.latency_target * self.rng.random_range(0.1..0.4),
            });
        } else {
            actions.push(Action::Fail { request: id });
        }
        for (number, _) in request.attempts.iter().enumerate().filter(|(_, attempt)| attempt.2.is_none()) {
            actions.push(Action::CallOff { request: id, attempt: number });
        }
        self.forget(id);
    }

    fn pick(&mut self, id: u32) -> Option<Address> {
        let new = self.servers.values().filter(|line| line.started_at.is_finite());
        if let Some(coldest) = new.max_by(|a, b| a.started_at.total_cmp(&b.started_at))
            && self.fault == Some(Fault::FloodsCold)
        {
            return Some(coldest.address);
        }
        let request = &self.requests[&id];
        let tried = |server: &Address| request.attempts.iter().any(|attempt| attempt.0 == *server);
        let open: Vec<Address> = self.servers.keys().filter(|server| !tried(server)).copied().collect();
        if open.is_empty() {
            return None;
        }
        let drawn = |rng: &mut ChaCha8Rng| open[rng.random_range(0..open.len())];
        match self.pick {
            Policy::TwoChoices => {
                let (one, other) = (drawn(&mut self.rng), drawn(&mut self.rng));
                let held = |server| self.held.get(&server).copied().unwrap_or(0);
                Some(if held(one) <= held(other) { one } else { other })
            }
            Policy::LeastHeld => {
                let start = self.rng.random_range(0..open.len());
                let turned = open[start..].iter().chain(&open[..start]);
                turned.min_by_key(|server| self.held.get(*server).copied().unwrap_or(0)).copied()
            }
            Policy::SeesAll => self.best(&open, id),
            Policy::Random | Policy::Module => Some(drawn(&mut self.rng)),
        }
    }

    /// The server that would complete the request first, by the true state. Client requests are rejected when
    /// all servers are full, those of lower gain at a lower fill level.
    fn best(&mut self, open: &[Address], id: u32) -> Option<Address> {
        let profile = self.requests[&id].profile;
        let gain = self.settings.profiles[profile].gain;
        let most = self.settings.profiles.iter().fold(0.0, |most: f64, profile| most.max(profile.gain));
        let start = self.rng.random_range(0..open.len());
        let turned: Vec<Address> = open[start..].iter().chain(&open[..start]).copied().collect();
        let wait = |server: &Address, strict: bool| {
            let truth = self.all.truth(*server).filter(|truth| truth.up)?;
            let filled = if gain < most { MAX_FILL_FOR_LOWER_GAIN } else { 1.0 };
            let fits = truth.sound && truth.filled < filled;
            (fits || !strict).then(|| (*server, (truth.work + ASSUMED_WORK_MS) / truth.capacity.max(1e-9)))
        };
        let least = |strict| {
            let waits = turned.iter().filter_map(|server| wait(server, strict));
            waits.min_by(|a, b| a.1.total_cmp(&b.1)).map(|best| best.0)
        };
        // A request at an inner tier has already cost work, so it is always sent.
        least(true).or_else(|| if self.settings.tier > 0 { least(false) } else { None })
    }
}

impl Decider for Baseline {
    fn round(&mut self, now: f64, inputs: Vec<Input>) -> Vec<Action> {
        let mut actions = Vec::new();
        inputs.into_iter().for_each(|input| self.handle_input(now, input, &mut actions));
        if !self.asked && self.settings.discovery_on_request && now >= self.ask_at {
            self.ask_at = now + self.settings.list_request_deadline * 0.4;
            actions.push(Action::Watch);
        }
        let soon = now + 2.0 * self.settings.round_interval;
        while let Some((_, id)) = self.deadlines.first().copied().filter(|due| f64::from_bits(due.0) <= soon)
        {
            if self.fault == Some(Fault::AnswersLate) {
                self.deadlines.remove(&(self.requests[&id].deadline.max(0.0).to_bits(), id));
                if let Some(request) = self.requests.get_mut(&id) {
                    request.deadline += 500.0;
                    self.deadlines.insert((request.deadline.to_bits(), id));
                }
                continue;
            }
            self.end(id, &mut actions);
        }
        let due = self
            .deadlines
            .first()
            .map_or(f64::INFINITY, |due| f64::from_bits(due.0) - 2.0 * self.settings.round_interval);
        let ask = if self.asked || !self.settings.discovery_on_request { f64::INFINITY } else { self.ask_at };
        let next = due.min(ask);
        if next.is_finite() {
            actions.push(Action::Wake { delay: (next - now).max(0.0) });
        }
        actions
    }
}
