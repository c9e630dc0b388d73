//! Seeded simulation of duties: processes that request leases, above the simulated voters and their disks. Each has its
//! own clock, which runs up to a twentieth too fast or too slow, and is killed, paused or cut off in one direction or both.
//! Checked after every step: how many processes act on a duty at that instant, and the tokens; at the end, whether each
//! history is linearizable. Used by `pearfront prove duties` and the tests.

use super::consensus::{self, Event, Faulty, QUIET, ROUNDING, Received, World};
use super::history::{Call, What, linearizable};
use pearfront_duties::{
    Agent, AgentAction, Change, LeaseRequest, LeaseResponse, ProcessId, Rank, ResponseBody, Times, Want,
    decode, encode,
};
use rand::prelude::Rng;
use std::collections::{BTreeMap, BTreeSet};

/// The duties: most holders at a time, the lease, ms, and whether the work may outlive the process.
const DUTIES: [(&str, u32, f64, bool); 3] =
    [("reader", 1, 1500.0, false), ("export", 1, 2500.0, true), ("permit", 2, 2000.0, false)];
/// Mean time between two changes of what one process requests, and between two acts on a duty, ms.
const WILL: f64 = 1500.0;
const ACT: f64 = 60.0;
/// Longest time that an act is in flight, and that a holder takes to release a duty, ms.
const ACT_TAKES: f64 = 40.0;
const LEAVING: f64 = 200.0;
/// Largest relative error of a clock's rate.
const UNEVEN: f64 = 0.05;
/// Period before the end, ms, within which every duty must have been held by as many as wanted and permitted.
const FULL: f64 = 3000.0;

#[derive(Debug, Clone)]
pub struct Plan {
    pub log: consensus::Plan,
    pub agents: usize,
    /// If set, the only fault is this one, injected into the holder of `reader`.
    pub only: Option<Only>,
    pub fault: Option<Fault>,
}

/// How the holder of a duty is lost when the time until the next holder acts is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Only {
    Word,
    Kill,
    Silence,
    /// Its messages arrive, but it receives none.
    Deaf,
}

/// A deliberate fault of a holder or leader, to check that the invariant checks find it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Acts until it is notified that the lease has ended.
    NeverLooks,
    /// Counts its whole lease from the arrival of the answer.
    CountsFromTheAnswer,
    /// Its clock stops while the process is paused.
    ClockStops,
    /// A new leader does not restart the leases granted before its term.
    CountsNoLeaseAnew,
}

impl Plan {
    pub fn storm(voters: usize, agents: usize, disks: bool) -> Self {
        let log = consensus::Plan { every: 450.0, ..consensus::Plan::storm(voters, disks) };
        Self { log, agents, only: None, fault: None }
    }

    /// A run without other faults in which the holder is hit every five seconds.
    pub fn handover(voters: usize, agents: usize, only: Only) -> Self {
        let log = consensus::Plan {
            every: 5000.0,
            loss: 0.0,
            delay: (0.1, 0.5),
            ..consensus::Plan::storm(voters, false)
        };
        Self { log, agents, only: Some(only), fault: None }
    }
}

#[derive(Debug, Clone, Default)]
pub struct Findings {
    pub log: consensus::Findings,
    pub granted: u64,
    pub renewed: u64,
    pub acts: u64,
    /// Acts with an outdated token, which their receiver refused.
    pub refused: u64,
    pub asks: u64,
    /// Times from a fault of the holder until another process acted, ms.
    pub without: Vec<f64>,
    /// Number of calls in the checked histories.
    pub calls: usize,
}

pub(super) struct Post {
    agent: Option<Agent>,
    life: u64,
    until: f64,
    since: f64,
    waiting: Vec<Vec<u8>>,
    woken: f64,
    rate: f64,
    /// Time, ms, by which its clock is behind.
    behind: f64,
    /// When each request was sent, and when it began to request and gave up each duty.
    sent: BTreeMap<u64, f64>,
    wanted: BTreeMap<String, f64>,
    given_up: BTreeMap<String, (u64, f64)>,
    /// Until when a faulty holder believes that it may act.
    believes: BTreeMap<String, (u64, f64)>,
}

pub(super) struct Upper {
    pub times: Times,
    pub nodes: Vec<Post>,
    only: Option<Only>,
    fault: Option<Fault>,
    lives: u64,
    /// Holder to which each token was granted.
    given: BTreeMap<u64, (String, ProcessId)>,
    /// Tokens that were reported to a process.
    taken: BTreeSet<u64>,
    /// Work that outlives an ended process: its duty and end time.
    ghosts: Vec<(String, f64)>,
    /// Highest token that the receiver of the acts has seen.
    received: BTreeMap<String, u64>,
    history: BTreeMap<String, Vec<Call>>,
    /// When each duty was last held by as many processes as request it and are permitted.
    full: BTreeMap<String, f64>,
    /// Since when the next holder is awaited, and the token that it must exceed.
    befallen: Option<(f64, u64)>,
    findings: Findings,
}

/// Events of the simulation above the log.
pub(super) enum Happens {
    Response { to: usize, life: u64, bytes: Vec<u8> },
    Wake { who: usize, life: u64, due: f64 },
    Will { who: usize },
    Act { who: usize, duty: &'static str },
    Arrives { duty: &'static str, token: u64 },
    GivesUp { who: usize, life: u64, duty: String },
    Resume { who: usize },
    Start { who: usize },
    Proof { of: ProcessId },
}

/// Runs one plan under one seed.
pub fn play(plan: &Plan, seed: u64) -> Findings {
    let mut log = plan.log.clone();
    if plan.fault == Some(Fault::CountsNoLeaseAnew) {
        log.fault = Some(Faulty::CountsNoLeaseAnew);
    }
    let mut world = World::new(log, seed);
    world.add(plan);
    world.play_through();
    world.judge_above();
    let log = std::mem::take(&mut world.findings);
    world.upper.map(|upper| Findings { log, ..upper.findings }).unwrap_or_default()
}

impl World {
    fn add(&mut self, plan: &Plan) {
        let times = Times { stability: 3000.0, time_interval: 5000.0, ..Times::default() };
        for node in &mut self.nodes {
            node.rate = 1.0 + UNEVEN * (2.0 * self.chance.random::<f64>() - 1.0);
        }
        let nodes = (0..plan.agents).map(|_| Post {
            agent: None,
            life: 0,
            until: 0.0,
            since: 0.0,
            waiting: Vec::new(),
            woken: f64::INFINITY,
            rate: 1.0 + UNEVEN * (2.0 * self.chance.random::<f64>() - 1.0),
            behind: 0.0,
            sent: BTreeMap::new(),
            wanted: BTreeMap::new(),
            given_up: BTreeMap::new(),
            believes: BTreeMap::new(),
        });
        self.upper = Some(Upper {
            times,
            nodes: nodes.collect(),
            only: plan.only,
            fault: plan.fault,
            lives: 0,
            given: BTreeMap::new(),
            taken: BTreeSet::new(),
            ghosts: Vec::new(),
            received: BTreeMap::new(),
            history: BTreeMap::new(),
            full: BTreeMap::new(),
            befallen: None,
            findings: Findings::default(),
        });
        for who in 0..plan.agents {
            self.put(20.0 * who as f64, Event::Above(Happens::Start { who }));
            self.put(3000.0, Event::Above(Happens::Will { who }));
            for (duty, ..) in DUTIES {
                self.put(500.0, Event::Above(Happens::Act { who, duty }));
            }
        }
    }

    fn after(&mut self, mean: f64) -> f64 {
        self.now - mean * (1.0 - self.chance.random::<f64>()).ln()
    }

    fn post_now(&self, who: usize) -> f64 {
        let post = &self.post(who);
        self.now * post.rate - post.behind
    }

    fn post(&self, who: usize) -> &Post {
        &self.upper.as_ref().expect("played with duties").nodes[who]
    }

    fn post_mut(&mut self, who: usize) -> &mut Post {
        &mut self.above().nodes[who]
    }

    fn above(&mut self) -> &mut Upper {
        self.upper.as_mut().expect("played with duties")
    }

    pub(super) fn happens(&mut self, what: Happens) {
        match what {
            Happens::Response { to, life, bytes } => self.deliver_response(to, life, bytes),
            Happens::Wake { who, life, due } => {
                let now = self.now;
                let post = self.post_mut(who);
                if post.woken == due && post.life == life {
                    post.woken = f64::INFINITY;
                }
                if post.life == life && post.until <= now {
                    self.do_at(who, |agent, now| agent.tick(now));
                }
            }
            Happens::Will { who } => self.change_requests(who),
            Happens::Act { who, duty } => self.acts(who, duty),
            Happens::Arrives { duty, token } => self.arrives(duty, token),
            Happens::GivesUp { who, life, duty } => {
                if self.post(who).life == life {
                    self.give_up(who, &duty, false);
                }
            }
            Happens::Resume { who } => self.resume_post(who),
            Happens::Start { who } => self.start_post(who),
            Happens::Proof { of } => {
                for who in self.leading() {
                    let now = self.own_now(who);
                    let node = &mut self.nodes[who];
                    node.lease_manager.process_ended(&of, &node.duties, now);
                    self.settle(who);
                }
            }
        }
    }

    // ---- processes ----

    fn start_post(&mut self, who: usize) {
        let voters: Vec<String> = self.nodes.iter().map(|node| node.name.clone()).collect();
        let at = self.now;
        let upper = self.above();
        upper.lives += 1;
        let (life, times) = (upper.lives, upper.times);
        let post = self.post_mut(who);
        let me = ProcessId { name: format!("n{who}"), life };
        (post.agent, post.life, post.until) = (Some(Agent::new(me, &voters, times)), life, 0.0);
        post.woken = f64::INFINITY;
        post.waiting.clear();
        post.sent.clear();
        post.given_up.clear();
        post.believes.clear();
        post.wanted = DUTIES.map(|(duty, ..)| (duty.to_string(), at)).into();
        for (duty, ..) in DUTIES {
            self.want(who, duty);
        }
    }

    fn want(&mut self, who: usize, duty: &str) {
        let standing = Rank { zone: self.chance.random_range(0..3), load: 0, preference: 0 };
        let Some((_, most, lease, outlives)) = DUTIES.into_iter().find(|(name, ..)| *name == duty) else {
            return;
        };
        let want = Want {
            duty: duty.into(),
            max_holders: most,
            lease,
            outlives_process: outlives,
            min_interval: 0.0,
            rank: standing,
        };
        self.do_at(who, |agent, now| agent.want(want, now));
    }

    fn kill_post(&mut self, who: usize) {
        let (at, rate) = (self.now, self.post(who).rate);
        let now = self.post_now(who);
        let post = self.post_mut(who);
        let Some(agent) = post.agent.take() else { return };
        let of = ProcessId { name: format!("n{who}"), life: post.life };
        let outlive = |duty: &str| DUTIES.iter().any(|(name, .., outlives)| *name == duty && *outlives);
        // Work that the process had begun may go on until then.
        let ghosts: Vec<(String, f64)> = agent
            .held(now)
            .into_iter()
            .filter(|(duty, ..)| outlive(duty))
            .map(|(duty, _, until)| (duty.to_string(), at + (until - now) / rate))
            .collect();
        self.above().ghosts.extend(ghosts);
        let proof = self.now + 1.0 + 100.0 * self.chance.random::<f64>();
        self.put(proof, Event::Above(Happens::Proof { of }));
    }

    fn stop_post(&mut self, who: usize, until: f64) {
        let now = self.now;
        let post = self.post_mut(who);
        if post.until <= now {
            (post.since, post.until) = (now, until);
            self.put(until, Event::Above(Happens::Resume { who }));
        }
    }

    fn resume_post(&mut self, who: usize) {
        let stops = self.above().fault == Some(Fault::ClockStops);
        let now = self.now;
        let post = self.post_mut(who);
        if stops {
            post.behind += (now - post.since) * post.rate;
        }
        let (waiting, life) = (std::mem::take(&mut post.waiting), post.life);
        waiting.into_iter().for_each(|bytes| self.deliver_response(who, life, bytes));
        self.do_at(who, |agent, now| agent.tick(now));
    }

    fn do_at(&mut self, who: usize, call: impl FnOnce(&mut Agent, f64)) {
        let (now, at) = (self.post_now(who), self.now);
        let post = self.post_mut(who);
        let Some(agent) = &mut post.agent else { return };
        call(agent, now);
        // Its actions may make it due at once.
        agent.tick(now);
        let out = agent.take_actions();
        let (due, life) = (agent.due(), post.life);
        let due = ((due + post.behind) / post.rate).max(at) + ROUNDING;
        if due < post.woken {
            post.woken = due;
            self.put(due, Event::Above(Happens::Wake { who, life, due }));
        }
        out.into_iter().for_each(|out| self.post_out(who, out));
    }

    fn post_out(&mut self, who: usize, out: AgentAction) {
        let (at, life) = (self.now, self.post(who).life);
        match out {
            AgentAction::Send { to, request: ask } => {
                self.above().findings.asks += 1;
                let post = self.post_mut(who);
                post.sent.insert(ask.number, at);
                let Some(voter) = self.nodes.iter().position(|node| node.name == to) else { return };
                let from = self.nodes.len() + who;
                for at in self.arrivals(from, voter) {
                    self.put(at, Event::Deliver { to: voter, message: Received::LeaseRequest(encode(&ask)) });
                }
            }
            AgentAction::Acquired { duty, token, .. } => {
                self.post_mut(who).wanted.insert(duty.clone(), at);
                if duty == DUTIES[0].0 && self.above().befallen.is_some_and(|(.., under)| token > under) {
                    self.next_acts();
                }
            }
            AgentAction::Leave { duty, .. } => {
                let at = at + LEAVING * self.chance.random::<f64>();
                self.put(at, Event::Above(Happens::GivesUp { who, life, duty }));
            }
            AgentAction::Stopped { duty, token, .. } => {
                let post = self.post_mut(who);
                post.wanted.insert(duty.clone(), at);
                let never_looks = post.believes.get(&duty).is_some_and(|(believed, _)| *believed == token);
                if never_looks && self.above().fault != Some(Fault::NeverLooks) {
                    self.post_mut(who).believes.remove(&duty);
                }
            }
            AgentAction::List(_) | AgentAction::OrderResults(_) => {}
        }
    }

    /// Records a call whose answer has just arrived.
    fn call(&mut self, duty: &str, what: What, from: f64) {
        let to = self.now;
        self.above().history.entry(duty.into()).or_default().push(Call { what, from, to });
    }

    fn next_acts(&mut self) {
        let now = self.now;
        let upper = self.above();
        if let Some((since, _)) = upper.befallen.take() {
            upper.findings.without.push(now - since);
        }
    }

    /// Requests a duty, stops requesting it, or finishes releasing it.
    fn change_requests(&mut self, who: usize) {
        let at = self.after(WILL);
        self.put(at, Event::Above(Happens::Will { who }));
        let runs = self.post(who).agent.is_some() && self.post(who).until <= self.now;
        if self.quiet() || !runs || self.above().only.is_some() {
            return;
        }
        let (duty, ..) = DUTIES[self.chance.random_range(0..DUTIES.len())];
        match self.chance.random_range(0..4) {
            0 => {
                self.remember_giving_up(who, duty);
                self.do_at(who, |agent, now| agent.unwant(duty, now));
            }
            1 => self.give_up(who, duty, true),
            _ => self.want(who, duty),
        }
    }

    fn give_up(&mut self, who: usize, duty: &str, well: bool) {
        self.remember_giving_up(who, duty);
        self.do_at(who, |agent, now| agent.give_up(duty, well, now));
    }

    /// Token under which it may act now.
    fn token(&self, who: usize, duty: &str) -> Option<u64> {
        let agent = self.post(who).agent.as_ref()?;
        agent.may_act(duty, self.post_now(who)).map(|(token, _)| token)
    }

    fn remember_giving_up(&mut self, who: usize, duty: &str) {
        let at = self.now;
        if let Some(token) = self.token(who, duty) {
            let post = self.post_mut(who);
            post.given_up.insert(duty.into(), (token, at));
            post.believes.remove(duty);
        }
    }

    // ---- acts ----

    /// Checks the clock and sends an act, which arrives later; much later if the process is paused in between.
    fn acts(&mut self, who: usize, duty: &'static str) {
        let at = self.after(ACT);
        self.put(at, Event::Above(Happens::Act { who, duty }));
        if self.post(who).until > self.now {
            return;
        }
        let Some(token) = self.token(who, duty) else { return };
        self.above().findings.acts += 1;
        let mut at = self.now + ACT_TAKES * self.chance.random::<f64>();
        if self.above().only.is_none() && self.chance.random::<f64>() < 0.002 {
            let until = (self.now + 6000.0 * self.chance.random::<f64>()).min(self.plan.length - QUIET);
            self.stop_post(who, until);
            at = at.max(until);
        }
        self.put(at, Event::Above(Happens::Arrives { duty, token }));
    }

    fn arrives(&mut self, duty: &'static str, token: u64) {
        let single = DUTIES.iter().any(|(name, most, ..)| *name == duty && *most == 1);
        let upper = self.above();
        let seen = upper.received.entry(duty.into()).or_default();
        if single && token < *seen {
            upper.findings.refused += 1;
        }
        *seen = token.max(*seen);
    }

    // ---- messages ----

    pub(super) fn asked(&mut self, to: usize, bytes: &[u8]) {
        let now = self.own_now(to);
        let node = &mut self.nodes[to];
        let (Some(voter), Some(ask)) = (&node.voter, decode::<LeaseRequest>(bytes)) else { return };
        node.lease_manager.receive(ask, voter.leader(), now);
        self.settle(to);
        self.act(to, |_, _| {});
    }

    pub(super) fn send_response(&mut self, from: usize, response: &LeaseResponse) {
        let Some(to) = response.to.name.strip_prefix('n').and_then(|number| number.parse::<usize>().ok())
        else {
            return;
        };
        let place = self.nodes.len() + to;
        for at in self.arrivals(from, place) {
            let (life, bytes) = (response.to.life, encode(response));
            self.put(at, Event::Above(Happens::Response { to, life, bytes }));
        }
    }

    fn deliver_response(&mut self, to: usize, life: u64, bytes: Vec<u8>) {
        let at = self.now;
        let post = self.post_mut(to);
        if post.until > at {
            return post.waiting.push(bytes);
        }
        let Some(response) = decode::<LeaseResponse>(&bytes).filter(|_| post.life == life) else { return };
        self.record_response(to, &response);
        self.do_at(to, |agent, now| agent.receive(response, now));
    }

    /// Records an answer in the history, and applies the fault of a faulty holder.
    fn record_response(&mut self, who: usize, response: &LeaseResponse) {
        let now = self.post_now(who);
        let Some(sent) = self.post(who).sent.get(&response.number).copied() else { return };
        let held = match &response.body {
            ResponseBody::Status { held, .. } => held.clone(),
            ResponseBody::Granted(held) => vec![held.clone()],
            ResponseBody::NotLeader { .. } => return,
        };
        for one in held.iter().filter(|one| one.renewed) {
            self.above().findings.renewed += 1;
            // First report of this token: it was granted after this process began to request the duty.
            if self.above().taken.insert(one.token) {
                let from = self.post(who).wanted.get(&one.duty).copied().unwrap_or(sent);
                self.call(&one.duty, What::Take(one.token), from);
            }
            self.call(&one.duty, What::Renew(one.token), sent);
            let post = self.post_mut(who);
            if post.given_up.get(&one.duty).is_none_or(|(token, _)| *token != one.token) {
                post.believes.insert(one.duty.clone(), (one.token, now + one.lease));
            }
        }
        if let ResponseBody::Status { .. } = response.body {
            let post = self.post_mut(who);
            let gone = |(duty, (token, since)): (&String, &(u64, f64))| {
                let over = *since <= sent && !held.iter().any(|one| one.duty == *duty && one.token == *token);
                over.then(|| (duty.clone(), *token, *since))
            };
            let over: Vec<(String, u64, f64)> = post.given_up.iter().filter_map(gone).collect();
            post.believes.retain(|duty, _| held.iter().any(|one| one.duty == *duty));
            for (duty, token, since) in over {
                self.post_mut(who).given_up.remove(&duty);
                self.call(&duty, What::GiveUp(token), since);
            }
        }
    }

    // ---- faults ----

    /// Injects a fault into a process that requests duties, instead of into a voter.
    pub(super) fn trouble_above(&mut self) -> bool {
        let Some(upper) = &self.upper else { return false };
        let (only, count) = (upper.only, upper.nodes.len());
        if let Some(only) = only {
            self.befalls_holder(only);
            return true;
        }
        if self.chance.random::<bool>() {
            return false;
        }
        let holders: Vec<usize> =
            (0..count).filter(|who| !self.acting(*who, DUTIES[0].0).is_empty()).collect();
        let holder = holders.first().copied().filter(|_| self.chance.random::<bool>());
        let who = holder.unwrap_or_else(|| self.chance.random_range(0..count));
        let until = self.now + 100.0 + 6000.0 * self.chance.random::<f64>();
        let until = until.min(self.plan.length - QUIET);
        match self.chance.random_range(0..3) {
            0 => {
                self.kill_post(who);
                self.put(until, Event::Above(Happens::Start { who }));
            }
            1 => self.stop_post(who, until),
            _ => self.cut_off(self.nodes.len() + who, until),
        }
        true
    }

    fn befalls_holder(&mut self, only: Only) {
        let (duty, ..) = DUTIES[0];
        let count = self.above().nodes.len();
        let Some(who) = (0..count).find(|who| !self.acting(*who, duty).is_empty()) else { return };
        let under = self.acting(who, duty).first().copied().unwrap_or(0);
        self.above().befallen = Some((self.now, under));
        let until = (self.now + 4000.0).min(self.plan.length - QUIET);
        match only {
            Only::Word => self.give_up(who, duty, false),
            Only::Kill => {
                self.kill_post(who);
                self.put(until, Event::Above(Happens::Start { who }));
            }
            Only::Silence => self.stop_post(who, until),
            Only::Deaf => {
                let voters = (0..self.nodes.len()).collect();
                self.cut_way(voters, [self.nodes.len() + who].into(), until);
            }
        }
    }

    // ---- checks ----

    /// Token under which it acts at this instant, if it does.
    fn acting(&self, who: usize, duty: &str) -> Vec<u64> {
        let (post, now) = (self.post(who), self.post_now(who));
        let fault = self.upper.as_ref().and_then(|upper| upper.fault);
        let Some(agent) = post.agent.as_ref().filter(|_| post.until <= self.now) else { return Vec::new() };
        let sound = agent.may_act(duty, now).map(|(token, _)| token);
        let believed = match fault {
            Some(Fault::NeverLooks) => post.believes.get(duty).map(|(token, _)| *token),
            Some(Fault::CountsFromTheAnswer) => {
                post.believes.get(duty).filter(|(_, until)| now < *until).map(|(token, _)| *token)
            }
            _ => None,
        };
        sound.or(believed).into_iter().collect()
    }

    /// Called when a voter applies an entry that granted or ended leases; other voters may have applied it before.
    pub(super) fn granted(&mut self, changes: &[Change]) {
        if self.upper.is_none() {
            return;
        }
        for change in changes {
            let Change::Granted { duty, holder } = change else { continue };
            let upper = self.above();
            let is = (duty.clone(), holder.who.clone());
            let known = upper.given.insert(holder.token, is.clone());
            match known {
                None => upper.findings.granted += 1,
                Some(known) if known != is => {
                    self.broken(format!("token {} is {known:?}'s and {is:?}'s", holder.token))
                }
                Some(_) => {}
            }
        }
    }

    pub(super) fn look_above(&mut self) {
        if self.upper.is_none() {
            return;
        }
        let (now, count) = (self.now, self.post_count());
        self.above().ghosts.retain(|(_, until)| now < *until);
        for (duty, most, ..) in DUTIES {
            let ghosts = self.above().ghosts.iter().filter(|(of, _)| of == duty).count();
            let acting: Vec<(usize, u64)> = (0..count)
                .flat_map(|who| self.acting(who, duty).into_iter().map(move |token| (who, token)))
                .collect();
            if acting.len() + ghosts > most as usize {
                self.broken(format!("{acting:?} and {ghosts} that go on act on {duty} at once"));
            }
            let wanting = (0..count).filter(|who| {
                let post = self.post(*who);
                post.until <= now && post.agent.as_ref().is_some_and(|agent| agent.wants(duty))
            });
            if acting.len() >= wanting.count().min(most as usize) {
                self.above().full.insert(duty.into(), now);
            }
        }
    }

    fn post_count(&self) -> usize {
        self.upper.as_ref().map_or(0, |upper| upper.nodes.len())
    }

    /// Final checks: every duty that may be held is held, and each history is linearizable.
    fn judge_above(&mut self) {
        if self.findings.broken.is_some() {
            return;
        }
        let now = self.now;
        let late: Vec<String> = DUTIES
            .iter()
            .filter(|(duty, ..)| self.above().full.get(*duty).is_none_or(|at| now - at > FULL))
            .map(|(duty, ..)| format!("{duty} is not held by all who may, {QUIET} ms after the last trouble"))
            .collect();
        late.into_iter().for_each(|what| self.broken(what));
        let histories: Vec<(String, Vec<Call>)> =
            std::mem::take(&mut self.above().history).into_iter().collect();
        for (duty, calls) in histories {
            if DUTIES.iter().any(|(name, most, ..)| *name == duty && *most == 1) {
                self.above().findings.calls += calls.len();
                if let Err(what) = linearizable(&calls) {
                    self.broken(format!("{duty}: {what}"));
                }
            }
        }
    }
}
