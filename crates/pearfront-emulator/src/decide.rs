//! Who decides in a model play: the decision module, or a baseline put in its place. All get the same words and give
//! the same acts; only `sees-all` is shown what no node can see.

use pearfront::interface::{
    Address, AttemptOutcome, DecisionWriter, Effect, ListedServer, Profile, ServerState, Settings,
};
use pearfront::policy::Balancer;
use rand::prelude::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::rc::Rc;

/// What `sees-all` takes a job's own work for, ms: it is not told.
const OWN_WORK: f64 = 10.0;
/// How full, as a share, `sees-all` lets servers become by jobs that are not of the highest gain.
const FILLED_BY_LESSER: f64 = 0.75;

/// What a node is told; times are its own.
#[derive(Debug, Clone)]
pub enum Word {
    Job { id: u32, profile: usize, customer: usize, limit: f64 },
    AttemptEnded { id: u32, attempt: usize, ending: AttemptOutcome, took: f64, done: bool },
    ProbeAnswered { server: Address, good: bool, report: Vec<f64>, took: f64 },
    Left { id: u32 },
    Listed { whole: bool, cached: bool, lines: Vec<ListedServer> },
    ListFailed,
    Closing { at: f64 },
}

/// What a node does.
#[derive(Debug, Clone, PartialEq)]
pub enum Act {
    Attempt { job: u32, server: Address, limit: f64 },
    CallOff { job: u32, attempt: usize },
    Reject { job: u32, wait: f64 },
    Fail { job: u32 },
    Probe { server: Address },
    Wake { delay: f64 },
    Watch,
}

pub trait Decider {
    fn round(&mut self, now: f64, words: Vec<Word>) -> Vec<Act>;
}

/// One who may decide, by the name on the command line.
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

/// A fault that a driver is given on purpose, to see that the judge finds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    SendsTwice,
    AnswersTwice,
    LosesJobs,
    AnswersLate,
    SendsToDrained,
    FloodsCold,
    SwapsAnswers,
    RepeatsLate,
    RejectsWhatRan,
}

/// What can be seen of a server by whom the true state is shown.
#[derive(Debug, Clone, Copy)]
pub struct Truth {
    /// Work left on it, ms, and work that it does in a millisecond.
    pub work: f64,
    pub capacity: f64,
    /// It answers at all, and nearly always right.
    pub up: bool,
    pub sound: bool,
    /// Jobs that it holds as a share of what it can hold without turning slow or turning any away.
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
    fn round(&mut self, now: f64, words: Vec<Word>) -> Vec<Act> {
        let mut acts = Acts::default();
        let feed = |balancer: &mut Balancer| {
            words.into_iter().for_each(|word| tell(balancer, word));
            Ok::<(), Infallible>(())
        };
        let Ok(()) = self.0.round(now, feed, &mut acts);
        acts.0
    }
}

fn tell(balancer: &mut Balancer, word: Word) {
    match word {
        Word::Job { id, profile, customer, limit } => balancer.request_received(id, profile, customer, limit),
        Word::AttemptEnded { id, attempt, ending, took, done } => {
            balancer.attempt_ended(id, attempt, ending, took, done)
        }
        Word::ProbeAnswered { server, good, report, took } => {
            balancer.probe_answered(server, good, &report, took);
        }
        Word::Left { id } => balancer.client_left(id),
        Word::Listed { whole, cached, lines } => balancer.list_received(whole, cached, lines.into_iter()),
        Word::ListFailed => balancer.list_failed(),
        Word::Closing { at } => balancer.shutdown_at(at),
    }
}

#[derive(Default)]
struct Acts(Vec<Act>);

impl DecisionWriter for Acts {
    fn attempt(&mut self, job: u32, server: Address, limit: f64) {
        self.0.push(Act::Attempt { job, server, limit });
    }
    fn cancel(&mut self, job: u32, attempt: u16) {
        self.0.push(Act::CallOff { job, attempt: usize::from(attempt) });
    }
    fn reject(&mut self, job: u32, wait: f64) {
        self.0.push(Act::Reject { job, wait });
    }
    fn fail(&mut self, job: u32) {
        self.0.push(Act::Fail { job });
    }
    fn probe(&mut self, server: Address) {
        self.0.push(Act::Probe { server });
    }
    fn wake_after(&mut self, delay: f64) {
        self.0.push(Act::Wake { delay });
    }
    fn watch_list(&mut self) {
        self.0.push(Act::Watch);
    }
    fn log(&mut self, line: &str) {
        log::debug!("{line}");
    }
}

/// Attempts out for a job of a baseline, and how those before ended.
struct PlainJob {
    profile: usize,
    limit: f64,
    attempts: Vec<(Address, f64, Option<AttemptOutcome>)>,
}

/// A textbook balancer: picks by one rule, tries again within the rules, refuses nothing that it can send.
pub struct Plain {
    pick: Policy,
    fault: Option<Fault>,
    settings: Settings,
    chance: ChaCha8Rng,
    servers: BTreeMap<Address, ListedServer>,
    held: BTreeMap<Address, u32>,
    jobs: BTreeMap<u32, PlainJob>,
    /// Limits, in bits so that they order as times do, and jobs.
    limits: BTreeSet<(u64, u32)>,
    asked: bool,
    ask_at: f64,
    all: Rc<dyn SeesAll>,
}

impl Plain {
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
            chance: ChaCha8Rng::seed_from_u64(salt),
            servers: BTreeMap::new(),
            held: BTreeMap::new(),
            jobs: BTreeMap::new(),
            limits: BTreeSet::new(),
            asked: false,
            ask_at: 0.0,
            all,
        }
    }

    fn hear(&mut self, now: f64, word: Word, acts: &mut Vec<Act>) {
        match word {
            Word::Job { id, profile, limit, .. } => {
                self.jobs.insert(id, PlainJob { profile, limit, attempts: Vec::new() });
                self.limits.insert((limit.max(0.0).to_bits(), id));
                self.go(now, id, acts);
            }
            Word::AttemptEnded { id, attempt, ending, done, .. } => {
                let Some(job) = self.jobs.get_mut(&id) else { return };
                let Some(attempt) = job.attempts.get_mut(attempt).filter(|attempt| attempt.2.is_none())
                else {
                    return;
                };
                attempt.2 = Some(ending);
                let held = self.held.entry(attempt.0).or_default();
                *held = held.saturating_sub(1);
                if done {
                    self.forget(id);
                } else {
                    self.go(now, id, acts);
                }
            }
            Word::Left { id } => self.forget(id),
            Word::Listed { whole, cached, lines } => {
                if whole && self.fault != Some(Fault::SendsToDrained) {
                    self.servers.clear();
                }
                lines.into_iter().for_each(|line| self.list(line));
                self.asked = !cached;
            }
            Word::ListFailed => {
                (self.asked, self.ask_at) = (false, now + self.settings.list_request_deadline * 0.2)
            }
            Word::ProbeAnswered { .. } => {}
            Word::Closing { at } => {
                for job in self.jobs.values_mut() {
                    job.limit = job.limit.min(at);
                }
                self.limits = self.jobs.iter().map(|(id, job)| (job.limit.max(0.0).to_bits(), *id)).collect();
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
        if let Some(job) = self.jobs.remove(&id) {
            self.limits.remove(&(job.limit.max(0.0).to_bits(), id));
            for (server, ..) in job.attempts.iter().filter(|attempt| attempt.2.is_none()) {
                let held = self.held.entry(*server).or_default();
                *held = held.saturating_sub(1);
            }
        }
    }

    /// Sends a job on, or ends it where that is not allowed.
    fn go(&mut self, now: f64, id: u32, acts: &mut Vec<Act>) {
        let job = &self.jobs[&id];
        if job.attempts.iter().any(|attempt| attempt.2.is_none()) {
            return;
        }
        let profile = &self.settings.profiles[job.profile];
        let may_have_run =
            job.attempts.iter().find(|attempt| !attempt.2.is_some_and(AttemptOutcome::never_ran));
        let late = self.fault == Some(Fault::RepeatsLate);
        let again = match (may_have_run, profile.effect) {
            (None, _) | (Some(_), Effect::Idempotent) => true,
            (Some(_), Effect::NonIdempotent) => false,
            (Some(first), Effect::Keyed) => {
                profile.dedup_scope == pearfront::interface::DedupScope::All
                    && (late || now < first.1 + profile.dedup_window)
            }
        };
        let tries = job.attempts.len() < self.settings.max_attempts;
        let target = if again && tries { self.pick(id) } else { None };
        let Some(server) = target else { return self.end(id, acts) };
        self.attempt(now, id, server, acts);
        let non_idempotent = self.settings.profiles[self.jobs[&id].profile].effect == Effect::NonIdempotent;
        if self.fault == Some(Fault::SendsTwice) && non_idempotent && self.jobs[&id].attempts.len() == 1 {
            self.attempt(now, id, server, acts);
        }
    }

    fn attempt(&mut self, now: f64, id: u32, server: Address, acts: &mut Vec<Act>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        *self.held.entry(server).or_default() += 1;
        job.attempts.push((server, now, None));
        acts.push(Act::Attempt { job: id, server, limit: job.limit - now });
    }

    fn end(&mut self, id: u32, acts: &mut Vec<Act>) {
        let job = &self.jobs[&id];
        let proven = job.attempts.iter().all(|attempt| attempt.2.is_some_and(AttemptOutcome::never_ran));
        let profile: &Profile = &self.settings.profiles[job.profile];
        let harmless = proven || profile.effect == Effect::Idempotent;
        if harmless || self.fault == Some(Fault::RejectsWhatRan) {
            acts.push(Act::Reject {
                job: id,
                wait: profile.latency_target * self.chance.random_range(0.1..0.4),
            });
        } else {
            acts.push(Act::Fail { job: id });
        }
        for (number, _) in job.attempts.iter().enumerate().filter(|(_, attempt)| attempt.2.is_none()) {
            acts.push(Act::CallOff { job: id, attempt: number });
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
        let job = &self.jobs[&id];
        let tried = |server: &Address| job.attempts.iter().any(|attempt| attempt.0 == *server);
        let open: Vec<Address> = self.servers.keys().filter(|server| !tried(server)).copied().collect();
        if open.is_empty() {
            return None;
        }
        let drawn = |chance: &mut ChaCha8Rng| open[chance.random_range(0..open.len())];
        match self.pick {
            Policy::TwoChoices => {
                let (one, other) = (drawn(&mut self.chance), drawn(&mut self.chance));
                let held = |server| self.held.get(&server).copied().unwrap_or(0);
                Some(if held(one) <= held(other) { one } else { other })
            }
            Policy::LeastHeld => {
                let start = self.chance.random_range(0..open.len());
                let turned = open[start..].iter().chain(&open[..start]);
                turned.min_by_key(|server| self.held.get(*server).copied().unwrap_or(0)).copied()
            }
            Policy::SeesAll => self.best(&open, id),
            Policy::Random | Policy::Module => Some(drawn(&mut self.chance)),
        }
    }

    /// Where the job would be done first, by the true state. Callers' jobs are turned back where all servers are as full
    /// as they may be, those of little gain for their work before others.
    fn best(&mut self, open: &[Address], id: u32) -> Option<Address> {
        let profile = self.jobs[&id].profile;
        let gain = self.settings.profiles[profile].gain;
        let most = self.settings.profiles.iter().fold(0.0, |most: f64, profile| most.max(profile.gain));
        let start = self.chance.random_range(0..open.len());
        let turned: Vec<Address> = open[start..].iter().chain(&open[..start]).copied().collect();
        let wait = |server: &Address, strict: bool| {
            let truth = self.all.truth(*server).filter(|truth| truth.up)?;
            let filled = if gain < most { FILLED_BY_LESSER } else { 1.0 };
            let fits = truth.sound && truth.filled < filled;
            (fits || !strict).then(|| (*server, (truth.work + OWN_WORK) / truth.capacity.max(1e-9)))
        };
        let least = |strict| {
            let waits = turned.iter().filter_map(|server| wait(server, strict));
            waits.min_by(|a, b| a.1.total_cmp(&b.1)).map(|best| best.0)
        };
        // What an inner tier is sent has cost work already: it goes somewhere.
        least(true).or_else(|| if self.settings.tier > 0 { least(false) } else { None })
    }
}

impl Decider for Plain {
    fn round(&mut self, now: f64, words: Vec<Word>) -> Vec<Act> {
        let mut acts = Vec::new();
        words.into_iter().for_each(|word| self.hear(now, word, &mut acts));
        if !self.asked && self.settings.discovery_on_request && now >= self.ask_at {
            self.ask_at = now + self.settings.list_request_deadline * 0.4;
            acts.push(Act::Watch);
        }
        let soon = now + 2.0 * self.settings.round_interval;
        while let Some((_, id)) = self.limits.first().copied().filter(|due| f64::from_bits(due.0) <= soon) {
            if self.fault == Some(Fault::AnswersLate) {
                self.limits.remove(&(self.jobs[&id].limit.max(0.0).to_bits(), id));
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.limit += 500.0;
                    self.limits.insert((job.limit.to_bits(), id));
                }
                continue;
            }
            self.end(id, &mut acts);
        }
        let due = self
            .limits
            .first()
            .map_or(f64::INFINITY, |due| f64::from_bits(due.0) - 2.0 * self.settings.round_interval);
        let ask = if self.asked || !self.settings.discovery_on_request { f64::INFINITY } else { self.ask_at };
        let next = due.min(ask);
        if next.is_finite() {
            acts.push(Act::Wake { delay: (next - now).max(0.0) });
        }
        acts
    }
}
