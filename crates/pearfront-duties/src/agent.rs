//! The holder's side of a duty: what this process wants, what it holds, and until when it may act. Used by
//! `pearfront-cluster`.
//!
//! A lease counts from before the request was sent, and only a share of it is used (`USABLE_LEASE_SHARE`). So
//! the holder has stopped before anyone else may begin, even if no message reaches it.

use crate::message::{
    DutyInfo, HeldLease, LeaseRequest, LeaseResponse, Order, Release, ResponseBody, WaitStatus, Want,
};
use crate::state::ProcessId;
use crate::times::{LEASE, MAX_SENT_REQUESTS, MAX_WANTS, REQUESTS_PER_LEASE, Times, USABLE_LEASE_SHARE};
use std::collections::{BTreeMap, VecDeque};

/// Why a holder stopped acting. The variants are printed in log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// It gave the duty up.
    Given,
    /// The lease ran out before a voter renewed it.
    Lapsed,
    /// The log says that its token has ended.
    Lost,
}

/// What the caller has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send this request to that voter.
    Send { to: String, request: LeaseRequest },
    /// It may act until this time, unless the lease is renewed.
    Acquired { duty: String, token: u64, until: f64 },
    /// The duty is to move to another process: whoever acts has to finish and call `give_up`.
    Leave { duty: String, token: u64 },
    /// It no longer acts under this token.
    Stopped { duty: String, token: u64, reason: StopReason },
    /// All duties, as requested.
    List(Vec<DutyInfo>),
    /// What came of the operator's orders.
    OrderResults(Vec<String>),
}

/// A duty that this process holds, or has released without confirmation yet.
struct LocalLease {
    token: u64,
    duration: f64,
    until: f64,
    acting: bool,
    /// The leader has asked for the duty back.
    must_leave: bool,
    /// Released by this process; whether its run succeeded.
    released: Option<bool>,
    /// Since when its acts have failed without a success.
    failing_since: Option<f64>,
}

/// A request whose response may still come.
struct SentRequest {
    number: u64,
    sent_at: f64,
    held: Vec<(String, u64)>,
    orders: usize,
}

/// The duties of one process, as seen by itself.
pub struct Agent {
    own_id: ProcessId,
    voters: Vec<String>,
    times: Times,
    wants: BTreeMap<String, Want>,
    leases: BTreeMap<String, LocalLease>,
    wait_statuses: BTreeMap<String, WaitStatus>,
    /// Highest ended token of each duty. Such a token never starts again, however late a message arrives.
    ended_tokens: BTreeMap<String, u64>,
    orders: Vec<Order>,
    list_requested: bool,
    /// Set while a want has been dropped that no leader has confirmed; inside, the number of the first request
    /// that said so, if any was sent. A candidate that is gone must not count as steady.
    withdrawal: Option<Option<u64>>,
    sent_requests: VecDeque<SentRequest>,
    number: u64,
    /// Number of the latest request that was answered; responses to older ones are out of date.
    last_answered: u64,
    leader: Option<String>,
    next_voter: usize,
    /// Voters in a row that were not the leader.
    redirects: u32,
    request_at: f64,
    response_deadline: f64,
    actions: Vec<Action>,
}

impl Agent {
    /// An agent that wants nothing yet. Its first requests go to any of the voters.
    pub fn new(own_id: ProcessId, voters: &[String], times: Times) -> Self {
        // Spreads the first requests of several processes over the voters.
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

    // ---- inputs from this process ----

    /// Wants a duty from now on, or changes what it wants.
    pub fn want(&mut self, want: Want, now: f64) {
        let full = self.wants.len() >= MAX_WANTS && !self.wants.contains_key(&want.duty);
        if full || self.wants.get(&want.duty) == Some(&want) {
            return;
        }
        self.wants.insert(want.duty.clone(), want);
        self.request_at = now;
    }

    /// Withdraws a want; a duty held under it is given up.
    pub fn unwant(&mut self, duty: &str, now: f64) {
        self.wait_statuses.remove(duty);
        if self.wants.remove(duty).is_some() {
            self.give_up(duty, false, now);
            self.withdrawal = Some(None);
            self.request_at = now;
        }
    }

    /// Releases a held duty. This process does not act on it after this call.
    pub fn give_up(&mut self, duty: &str, succeeded: bool, now: f64) {
        let Some(lease) = self.leases.get_mut(duty).filter(|lease| lease.released.is_none()) else { return };
        lease.released = Some(succeeded);
        let (token, acted) = (lease.token, std::mem::replace(&mut lease.acting, false));
        if acted {
            self.actions.push(Action::Stopped { duty: duty.into(), token, reason: StopReason::Given });
        }
        self.request_at = now;
    }

    /// Records whether acts succeed. A holder whose acts fail for `Times::max_failing` gives the duty up.
    pub fn record_outcome(&mut self, duty: &str, done: bool, now: f64) {
        if let Some(lease) = self.leases.get_mut(duty) {
            lease.failing_since = if done { None } else { Some(lease.failing_since.unwrap_or(now)) };
        }
    }

    /// Passes an operator's order on to the leader.
    pub fn order(&mut self, order: Order, now: f64) {
        if self.orders.len() < MAX_WANTS {
            self.orders.push(order);
            self.request_at = now;
        }
    }

    /// Requests a list of all duties.
    pub fn request_list(&mut self, now: f64) {
        self.list_requested = true;
        self.request_at = now;
    }

    // ---- state ----

    /// Token and end of the time in which this process may act now, if it may.
    pub fn may_act(&self, duty: &str, now: f64) -> Option<(u64, f64)> {
        let lease = self.leases.get(duty).filter(|lease| lease.acting && now < lease.until)?;
        Some((lease.token, lease.until))
    }

    /// Has the leader asked for this duty back?
    pub fn must_leave(&self, duty: &str) -> bool {
        self.leases.get(duty).is_some_and(|lease| lease.must_leave)
    }

    /// Does this process want the duty?
    pub fn wants(&self, duty: &str) -> bool {
        self.wants.contains_key(duty)
    }

    /// Duties that it may act on now, with token and end of that time.
    pub fn held(&self, now: f64) -> Vec<(&str, u64, f64)> {
        let acting = self.leases.iter().filter(|(_, lease)| lease.acting && now < lease.until);
        acting.map(|(duty, lease)| (duty.as_str(), lease.token, lease.until)).collect()
    }

    /// Who holds a duty that this process waits for, as of the last response.
    pub fn wait_status(&self, duty: &str) -> Option<&WaitStatus> {
        self.wait_statuses.get(duty)
    }

    /// The voter that answered last as leader.
    pub fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    /// Latest time at which `tick` must be called, ms.
    pub fn due(&self) -> f64 {
        let ends = self.leases.values().filter(|lease| lease.acting).map(|lease| {
            let failing = lease.failing_since.map_or(f64::INFINITY, |since| since + self.times.max_failing);
            lease.until.min(failing)
        });
        ends.fold(self.request_at.min(self.response_deadline), f64::min)
    }

    /// Takes the actions that are pending.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    // ---- time ----

    /// Runs the timers that have expired.
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
        // Includes released duties, so that the response to this request confirms their end.
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

    // ---- inputs from voters ----

    /// Handles a voter's response. Responses to unknown or outdated requests are dropped.
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
        // Only the first redirect is followed at once: two voters that name each other must not be asked in a
        // tight loop.
        let pause = if self.leader.is_some() && self.redirects == 1 { 0.0 } else { self.times.retry_delay };
        self.request_at = now + pause;
    }

    /// Time between two requests while all goes well, ms.
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

    /// The log says that this token has ended.
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
        // The oldest entries matter least: messages from before them have been answered long ago.
        if self.ended_tokens.len() > 2 * MAX_WANTS {
            let oldest =
                self.ended_tokens.iter().min_by_key(|(_, token)| **token).map(|(duty, _)| duty.clone());
            oldest.and_then(|duty| self.ended_tokens.remove(&duty));
        }
    }

    /// A voter confirms a lease; it counts from `sent_at`, when the request was sent.
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
