//! The holder's side: what this process wants, what it holds, and until when it may act. It counts a lease from before it
//! asked, and of that a part only (`SHARE`), so it has stopped before anyone else may begin, also when it is told nothing.

use crate::message::{
    DutyInfo, HeldLease, LeaseRequest, LeaseResponse, Order, Release, ResponseBody, WaitStatus, Want,
};
use crate::state::ProcessId;
use crate::times::{LEASE, MAX_SENT_REQUESTS, MAX_WANTS, REQUESTS_PER_LEASE, Times, USABLE_LEASE_SHARE};
use std::collections::{BTreeMap, VecDeque};

/// Why it stopped acting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// It gave the duty up.
    Given,
    /// Its lease ran out before a voter renewed it.
    Lapsed,
    /// The log says that it is over.
    Lost,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    Send {
        to: String,
        request: LeaseRequest,
    },
    /// It may act, up to then if nothing renews it.
    Acquired {
        duty: String,
        token: u64,
        until: f64,
    },
    /// Another is to have it: whoever acts brings that to an end and calls `give_up`.
    Leave {
        duty: String,
        token: u64,
    },
    Stopped {
        duty: String,
        token: u64,
        reason: StopReason,
    },
    List(Vec<DutyInfo>),
    OrderResults(Vec<String>),
}

/// One duty that it holds, or is about to be done with.
struct LocalLease {
    token: u64,
    duration: f64,
    until: f64,
    acting: bool,
    /// It is told to leave it.
    must_leave: bool,
    /// It is done with it, and said so: did it end well?
    released: Option<bool>,
    /// Since when nothing comes of its acts.
    failing_since: Option<f64>,
}

struct SentRequest {
    number: u64,
    sent_at: f64,
    held: Vec<(String, u64)>,
    orders: usize,
}

pub struct Agent {
    own_id: ProcessId,
    voters: Vec<String>,
    times: Times,
    wants: BTreeMap<String, Want>,
    leases: BTreeMap<String, LocalLease>,
    wait_statuses: BTreeMap<String, WaitStatus>,
    /// Tokens that are over, by duty: none of them is ever begun again, whatever message comes late.
    ended_tokens: BTreeMap<String, u64>,
    orders: Vec<Order>,
    list_requested: bool,
    /// It wants something no more, said in the ask of that number if in any, and no leader has heard it: a candidate that
    /// is gone must not count as steady.
    withdrawal: Option<Option<u64>>,
    sent_requests: VecDeque<SentRequest>,
    number: u64,
    /// Number of the last ask that was answered: what answers an older one is out of date.
    last_answered: u64,
    leader: Option<String>,
    next_voter: usize,
    /// Voters in a row that sent it on to another.
    redirects: u32,
    request_at: f64,
    response_deadline: f64,
    actions: Vec<Action>,
}

impl Agent {
    pub fn new(own_id: ProcessId, voters: &[String], times: Times) -> Self {
        // Not all begin with the same voter.
        let turn = own_id.life as usize % voters.len().max(1);
        Self {
            own_id,
            voters: voters.to_vec(),
            times,
            wants: BTreeMap::new(),
            leases: BTreeMap::new(),
            wait_statuses: BTreeMap::new(),
            ended_tokens: BTreeMap::new(),
            orders: Vec::new(),
            list_requested: false,
            withdrawal: None,
            sent_requests: VecDeque::new(),
            number: 0,
            last_answered: 0,
            leader: None,
            next_voter: turn,
            redirects: 0,
            request_at: f64::INFINITY,
            response_deadline: f64::INFINITY,
            actions: Vec::new(),
        }
    }

    // ---- what its own process says ----

    /// Wants a duty from now on, or wants it otherwise.
    pub fn want(&mut self, want: Want, now: f64) {
        let full = self.wants.len() >= MAX_WANTS && !self.wants.contains_key(&want.duty);
        if full || self.wants.get(&want.duty) == Some(&want) {
            return;
        }
        self.wants.insert(want.duty.clone(), want);
        self.request_at = now;
    }

    /// Wants it no more; what it holds of it is given up.
    pub fn unwant(&mut self, duty: &str, now: f64) {
        self.wait_statuses.remove(duty);
        if self.wants.remove(duty).is_some() {
            self.give_up(duty, false, now);
            self.withdrawal = Some(None);
            self.request_at = now;
        }
    }

    /// Is done with what it holds: from this call on it does not act.
    pub fn give_up(&mut self, duty: &str, succeeded: bool, now: f64) {
        let Some(lease) = self.leases.get_mut(duty).filter(|lease| lease.released.is_none()) else { return };
        lease.released = Some(succeeded);
        let (token, acted) = (lease.token, std::mem::replace(&mut lease.acting, false));
        if acted {
            self.actions.push(Action::Stopped { duty: duty.into(), token, reason: StopReason::Given });
        }
        self.request_at = now;
    }

    /// Something came of an act, or not: a duty that is held and not done goes to another.
    pub fn record_outcome(&mut self, duty: &str, done: bool, now: f64) {
        if let Some(lease) = self.leases.get_mut(duty) {
            lease.failing_since = if done { None } else { Some(lease.failing_since.unwrap_or(now)) };
        }
    }

    pub fn order(&mut self, order: Order, now: f64) {
        if self.orders.len() < MAX_WANTS {
            self.orders.push(order);
            self.request_at = now;
        }
    }

    /// Asks for all duties.
    pub fn request_list(&mut self, now: f64) {
        self.list_requested = true;
        self.request_at = now;
    }

    // ---- what may be read ----

    /// May it act now? Its token, and until when.
    pub fn may_act(&self, duty: &str, now: f64) -> Option<(u64, f64)> {
        let lease = self.leases.get(duty).filter(|lease| lease.acting && now < lease.until)?;
        Some((lease.token, lease.until))
    }

    /// Is it told to leave that duty?
    pub fn must_leave(&self, duty: &str) -> bool {
        self.leases.get(duty).is_some_and(|lease| lease.must_leave)
    }

    pub fn wants(&self, duty: &str) -> bool {
        self.wants.contains_key(duty)
    }

    /// Duties that it holds, with token and until when it may act; those that it may not act on are not among them.
    pub fn held(&self, now: f64) -> Vec<(&str, u64, f64)> {
        let acting = self.leases.iter().filter(|(_, lease)| lease.acting && now < lease.until);
        acting.map(|(duty, lease)| (duty.as_str(), lease.token, lease.until)).collect()
    }

    /// Who has a duty that it waits for, as it was last told.
    pub fn wait_status(&self, duty: &str) -> Option<&WaitStatus> {
        self.wait_statuses.get(duty)
    }

    pub fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    /// When it wants to be called at the latest, ms.
    pub fn due(&self) -> f64 {
        let ends = self.leases.values().filter(|lease| lease.acting).map(|lease| {
            let failing = lease.failing_since.map_or(f64::INFINITY, |since| since + self.times.max_failing);
            lease.until.min(failing)
        });
        ends.fold(self.request_at.min(self.response_deadline), f64::min)
    }

    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    // ---- time ----

    pub fn tick(&mut self, now: f64) {
        for (duty, lease) in &mut self.leases {
            if lease.acting && lease.until <= now {
                lease.acting = false;
                self.actions.push(Action::Stopped {
                    duty: duty.clone(),
                    token: lease.token,
                    reason: StopReason::Lapsed,
                });
            }
        }
        let limit = self.times.max_failing;
        let failing = |lease: &LocalLease| {
            lease.acting && lease.failing_since.is_some_and(|since| now >= since + limit)
        };
        let failing: Vec<String> =
            self.leases.iter().filter(|(_, lease)| failing(lease)).map(|(duty, _)| duty.clone()).collect();
        failing.iter().for_each(|duty| self.give_up(duty, false, now));
        if now >= self.response_deadline {
            self.leader = None;
            self.next_voter += 1;
            self.request_at = now;
        }
        if now >= self.request_at {
            self.send_request(now);
        }
    }

    fn send_request(&mut self, now: f64) {
        self.request_at = f64::INFINITY;
        self.response_deadline = f64::INFINITY;
        let idle = self.wants.is_empty() && self.leases.is_empty() && self.orders.is_empty();
        if (idle && !self.list_requested && self.withdrawal.is_none()) || self.voters.is_empty() {
            return;
        }
        self.number += 1;
        self.withdrawal = self.withdrawal.map(|number| Some(number.unwrap_or(self.number)));
        let unreleased = self.leases.iter().filter(|(_, lease)| lease.released.is_none());
        let held_now: Vec<(String, u64)> =
            unreleased.map(|(duty, lease)| (duty.clone(), lease.token)).collect();
        let releases = self.leases.iter().filter_map(|(duty, lease)| {
            lease.released.map(|succeeded| Release { duty: duty.clone(), token: lease.token, succeeded })
        });
        let request = LeaseRequest {
            from: self.own_id.clone(),
            number: self.number,
            last_answered: self.last_answered,
            held: held_now,
            wants: self.wants.values().cloned().collect(),
            releases: releases.collect(),
            orders: self.orders.clone(),
            list: self.list_requested,
        };
        // What it says that it is done with is looked for in the answer, too.
        let held = self.leases.iter().map(|(duty, lease)| (duty.clone(), lease.token)).collect();
        let sent = SentRequest { number: self.number, sent_at: now, held, orders: self.orders.len() };
        if self.sent_requests.len() == MAX_SENT_REQUESTS {
            self.sent_requests.pop_front();
        }
        self.sent_requests.push_back(sent);
        self.response_deadline = now + self.times.response_timeout;
        let index = self.next_voter % self.voters.len();
        let to = self.leader.clone().unwrap_or_else(|| self.voters[index].clone());
        self.actions.push(Action::Send { to, request });
    }

    // ---- what the voters say ----

    pub fn receive(&mut self, response: LeaseResponse, now: f64) {
        let known = self.sent_requests.iter().position(|sent| sent.number == response.number);
        let Some(index) =
            known.filter(|_| response.to == self.own_id && response.number >= self.last_answered)
        else {
            return;
        };
        match response.body {
            ResponseBody::NotLeader { leader } => {
                if response.number == self.number {
                    self.on_not_leader(&response.from, leader, now);
                }
            }
            ResponseBody::Granted(held) => {
                let sent_at = self.sent_requests[index].sent_at;
                self.on_held_lease(held, sent_at, now);
            }
            ResponseBody::Status { held, waiting, list, order_results } => {
                self.last_answered = response.number;
                self.withdrawal =
                    self.withdrawal.filter(|number| number.is_none_or(|number| number > response.number));
                self.leader = Some(response.from);
                self.redirects = 0;
                if response.number == self.number {
                    self.response_deadline = f64::INFINITY;
                    self.request_at = self.request_at.min(now + self.request_interval());
                }
                self.on_status(index, held, now);
                self.wait_statuses = waiting.into_iter().map(|one| (one.duty.clone(), one)).collect();
                let done = self.sent_requests[index].orders.min(self.orders.len());
                if done > 0 {
                    self.orders.drain(..done);
                    self.sent_requests.iter_mut().for_each(|sent| sent.orders = 0);
                    self.actions.push(Action::OrderResults(order_results));
                }
                if let Some(list) = list {
                    self.list_requested = false;
                    self.actions.push(Action::List(list));
                }
            }
        }
    }

    fn on_not_leader(&mut self, from: &str, leader: Option<String>, now: f64) {
        self.response_deadline = f64::INFINITY;
        self.redirects += 1;
        self.leader = leader.filter(|name| name != from && self.voters.contains(name));
        if self.leader.is_none() {
            self.next_voter += 1;
        }
        // The first hint is followed at once; two that name each other must not be asked in circles.
        let pause = if self.leader.is_some() && self.redirects == 1 { 0.0 } else { self.times.retry_delay };
        self.request_at = now + pause;
    }

    /// Time between two asks while all goes well.
    fn request_interval(&self) -> f64 {
        let leases = self.wants.values().map(|want| want.lease);
        leases.chain(self.leases.values().map(|lease| lease.duration)).fold(LEASE.1, f64::min)
            / REQUESTS_PER_LEASE
    }

    fn on_status(&mut self, index: usize, held: Vec<HeldLease>, now: f64) {
        let (sent_at, previously_held) =
            (self.sent_requests[index].sent_at, std::mem::take(&mut self.sent_requests[index].held));
        let named: Vec<u64> = held.iter().map(|held| held.token).collect();
        held.into_iter().for_each(|held| self.on_held_lease(held, sent_at, now));
        for (duty, token) in previously_held.into_iter().filter(|(_, token)| !named.contains(token)) {
            self.on_token_ended(&duty, token);
        }
    }

    /// The log says that this token is over.
    fn on_token_ended(&mut self, duty: &str, token: u64) {
        let Some(lease) = self.leases.get(duty).filter(|lease| lease.token == token) else { return };
        if lease.acting {
            self.actions.push(Action::Stopped { duty: duty.into(), token, reason: StopReason::Lost });
        }
        self.leases.remove(duty);
        self.remember_ended_token(duty, token);
    }

    fn remember_ended_token(&mut self, duty: &str, token: u64) {
        let last_ended = self.ended_tokens.entry(duty.into()).or_default();
        *last_ended = token.max(*last_ended);
        // The oldest say least: a message from before them was answered long ago.
        if self.ended_tokens.len() > 2 * MAX_WANTS {
            let oldest =
                self.ended_tokens.iter().min_by_key(|(_, token)| **token).map(|(duty, _)| duty.clone());
            oldest.and_then(|duty| self.ended_tokens.remove(&duty));
        }
    }

    /// A voter says that it holds this, at a time after `sent`.
    fn on_held_lease(&mut self, held: HeldLease, sent_at: f64, now: f64) {
        let HeldLease { duty, token, lease: duration, renewed, give_up } = held;
        if self.ended_tokens.get(&duty).is_some_and(|last_ended| token <= *last_ended) {
            return;
        }
        match self.leases.get(&duty).map(|lease| lease.token) {
            Some(other) if other > token => return,
            Some(other) if other < token => self.on_token_ended(&duty, other),
            _ => {}
        }
        let new = LocalLease {
            token,
            duration,
            until: f64::NEG_INFINITY,
            acting: false,
            must_leave: false,
            released: None,
            failing_since: None,
        };
        let lease = self.leases.entry(duty.clone()).or_insert(new);
        if renewed {
            lease.until = lease.until.max(sent_at + duration * USABLE_LEASE_SHARE);
        }
        if lease.released.is_some() {
            return;
        }
        let newly_asked_to_leave = give_up && !lease.must_leave;
        lease.must_leave |= give_up;
        let (until, acting) = (lease.until, lease.acting);
        if !self.wants.contains_key(&duty) || (lease.must_leave && !acting) {
            return self.give_up(&duty, false, now);
        }
        if newly_asked_to_leave {
            self.actions.push(Action::Leave { duty: duty.clone(), token });
        }
        if !acting && now < until {
            lease.acting = true;
            self.actions.push(Action::Acquired { duty, token, until });
        }
    }
}
