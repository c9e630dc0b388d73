//! The holder's side: what this process wants, what it holds, and until when it may act. It counts a lease from before it
//! asked, and of that a part only (`SHARE`), so it has stopped before anyone else may begin, also when it is told nothing.

use crate::message::{
    DutyInfo, HeldLease, LeaseRequest, LeaseResponse, Order, Release, ResponseBody, WaitStatus, Want,
};
use crate::state::ProcessId;
use crate::times::{ASKS, LEASE, MAX_WANTS, REMEMBERED, Times, USABLE_LEASE_SHARE};
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
    lease: f64,
    until: f64,
    acting: bool,
    /// It is told to leave it.
    leaving: bool,
    /// It is done with it, and said so: did it end well?
    over: Option<bool>,
    /// Since when nothing comes of its acts.
    failing: Option<f64>,
}

struct Sent {
    number: u64,
    at: f64,
    holds: Vec<(String, u64)>,
    orders: usize,
}

pub struct Agent {
    me: ProcessId,
    voters: Vec<String>,
    times: Times,
    wants: BTreeMap<String, Want>,
    grips: BTreeMap<String, LocalLease>,
    waits: BTreeMap<String, WaitStatus>,
    /// Tokens that are over, by duty: none of them is ever begun again, whatever message comes late.
    over: BTreeMap<String, u64>,
    orders: Vec<Order>,
    list: bool,
    /// It wants something no more, said in the ask of that number if in any, and no leader has heard it: a candidate that
    /// is gone must not count as steady.
    less: Option<Option<u64>>,
    sent: VecDeque<Sent>,
    number: u64,
    /// Number of the last ask that was answered: what answers an older one is out of date.
    answered: u64,
    leader: Option<String>,
    turn: usize,
    /// Voters in a row that sent it on to another.
    sent_on: u32,
    ask_at: f64,
    answer_by: f64,
    out: Vec<Action>,
}

impl Agent {
    pub fn new(me: ProcessId, voters: &[String], times: Times) -> Self {
        // Not all begin with the same voter.
        let turn = me.life as usize % voters.len().max(1);
        Self {
            me,
            voters: voters.to_vec(),
            times,
            wants: BTreeMap::new(),
            grips: BTreeMap::new(),
            waits: BTreeMap::new(),
            over: BTreeMap::new(),
            orders: Vec::new(),
            list: false,
            less: None,
            sent: VecDeque::new(),
            number: 0,
            answered: 0,
            leader: None,
            turn,
            sent_on: 0,
            ask_at: f64::INFINITY,
            answer_by: f64::INFINITY,
            out: Vec::new(),
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
        self.ask_at = now;
    }

    /// Wants it no more; what it holds of it is given up.
    pub fn unwant(&mut self, duty: &str, now: f64) {
        self.waits.remove(duty);
        if self.wants.remove(duty).is_some() {
            self.give_up(duty, false, now);
            self.less = Some(None);
            self.ask_at = now;
        }
    }

    /// Is done with what it holds: from this call on it does not act.
    pub fn give_up(&mut self, duty: &str, succeeded: bool, now: f64) {
        let Some(grip) = self.grips.get_mut(duty).filter(|grip| grip.over.is_none()) else { return };
        grip.over = Some(succeeded);
        let (token, acted) = (grip.token, std::mem::replace(&mut grip.acting, false));
        if acted {
            self.out.push(Action::Stopped { duty: duty.into(), token, reason: StopReason::Given });
        }
        self.ask_at = now;
    }

    /// Something came of an act, or not: a duty that is held and not done goes to another.
    pub fn record_outcome(&mut self, duty: &str, done: bool, now: f64) {
        if let Some(grip) = self.grips.get_mut(duty) {
            grip.failing = if done { None } else { Some(grip.failing.unwrap_or(now)) };
        }
    }

    pub fn order(&mut self, order: Order, now: f64) {
        if self.orders.len() < MAX_WANTS {
            self.orders.push(order);
            self.ask_at = now;
        }
    }

    /// Asks for all duties.
    pub fn request_list(&mut self, now: f64) {
        self.list = true;
        self.ask_at = now;
    }

    // ---- what may be read ----

    /// May it act now? Its token, and until when.
    pub fn may_act(&self, duty: &str, now: f64) -> Option<(u64, f64)> {
        let grip = self.grips.get(duty).filter(|grip| grip.acting && now < grip.until)?;
        Some((grip.token, grip.until))
    }

    /// Is it told to leave that duty?
    pub fn must_leave(&self, duty: &str) -> bool {
        self.grips.get(duty).is_some_and(|grip| grip.leaving)
    }

    pub fn wants(&self, duty: &str) -> bool {
        self.wants.contains_key(duty)
    }

    /// Duties that it holds, with token and until when it may act; those that it may not act on are not among them.
    pub fn held(&self, now: f64) -> Vec<(&str, u64, f64)> {
        let acting = self.grips.iter().filter(|(_, grip)| grip.acting && now < grip.until);
        acting.map(|(duty, grip)| (duty.as_str(), grip.token, grip.until)).collect()
    }

    /// Who has a duty that it waits for, as it was last told.
    pub fn wait_status(&self, duty: &str) -> Option<&WaitStatus> {
        self.waits.get(duty)
    }

    pub fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    /// When it wants to be called at the latest, ms.
    pub fn due(&self) -> f64 {
        let ends = self.grips.values().filter(|grip| grip.acting).map(|grip| {
            let failing = grip.failing.map_or(f64::INFINITY, |since| since + self.times.max_failing);
            grip.until.min(failing)
        });
        ends.fold(self.ask_at.min(self.answer_by), f64::min)
    }

    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.out)
    }

    // ---- time ----

    pub fn tick(&mut self, now: f64) {
        for (duty, grip) in &mut self.grips {
            if grip.acting && grip.until <= now {
                grip.acting = false;
                self.out.push(Action::Stopped {
                    duty: duty.clone(),
                    token: grip.token,
                    reason: StopReason::Lapsed,
                });
            }
        }
        let after = self.times.max_failing;
        let failing =
            |grip: &LocalLease| grip.acting && grip.failing.is_some_and(|since| now >= since + after);
        let failing: Vec<String> =
            self.grips.iter().filter(|(_, grip)| failing(grip)).map(|(duty, _)| duty.clone()).collect();
        failing.iter().for_each(|duty| self.give_up(duty, false, now));
        if now >= self.answer_by {
            self.leader = None;
            self.turn += 1;
            self.ask_at = now;
        }
        if now >= self.ask_at {
            self.ask(now);
        }
    }

    fn ask(&mut self, now: f64) {
        self.ask_at = f64::INFINITY;
        self.answer_by = f64::INFINITY;
        let idle = self.wants.is_empty() && self.grips.is_empty() && self.orders.is_empty();
        if (idle && !self.list && self.less.is_none()) || self.voters.is_empty() {
            return;
        }
        self.number += 1;
        self.less = self.less.map(|said| Some(said.unwrap_or(self.number)));
        let live = self.grips.iter().filter(|(_, grip)| grip.over.is_none());
        let holds: Vec<(String, u64)> = live.map(|(duty, grip)| (duty.clone(), grip.token)).collect();
        let over = self.grips.iter().filter_map(|(duty, grip)| {
            grip.over.map(|succeeded| Release { duty: duty.clone(), token: grip.token, succeeded })
        });
        let ask = LeaseRequest {
            from: self.me.clone(),
            number: self.number,
            answered: self.answered,
            holds,
            wants: self.wants.values().cloned().collect(),
            over: over.collect(),
            orders: self.orders.clone(),
            list: self.list,
        };
        // What it says that it is done with is looked for in the answer, too.
        let said = self.grips.iter().map(|(duty, grip)| (duty.clone(), grip.token)).collect();
        let sent = Sent { number: self.number, at: now, holds: said, orders: self.orders.len() };
        if self.sent.len() == REMEMBERED {
            self.sent.pop_front();
        }
        self.sent.push_back(sent);
        self.answer_by = now + self.times.response_timeout;
        let turn = self.turn % self.voters.len();
        let to = self.leader.clone().unwrap_or_else(|| self.voters[turn].clone());
        self.out.push(Action::Send { to, request: ask });
    }

    // ---- what the voters say ----

    pub fn receive(&mut self, told: LeaseResponse, now: f64) {
        let known = self.sent.iter().position(|sent| sent.number == told.number);
        let Some(place) = known.filter(|_| told.to == self.me && told.number >= self.answered) else {
            return;
        };
        match told.body {
            ResponseBody::NotLeader { leader } => {
                if told.number == self.number {
                    self.elsewhere(&told.from, leader, now);
                }
            }
            ResponseBody::Granted(held) => {
                let at = self.sent[place].at;
                self.holds(held, at, now);
            }
            ResponseBody::Status { held, waits, list, orders } => {
                self.answered = told.number;
                self.less = self.less.filter(|said| said.is_none_or(|said| said > told.number));
                self.leader = Some(told.from);
                self.sent_on = 0;
                if told.number == self.number {
                    self.answer_by = f64::INFINITY;
                    self.ask_at = self.ask_at.min(now + self.every());
                }
                self.stands(place, held, now);
                self.waits = waits.into_iter().map(|one| (one.duty.clone(), one)).collect();
                let done = self.sent[place].orders.min(self.orders.len());
                if done > 0 {
                    self.orders.drain(..done);
                    self.sent.iter_mut().for_each(|sent| sent.orders = 0);
                    self.out.push(Action::OrderResults(orders));
                }
                if let Some(list) = list {
                    self.list = false;
                    self.out.push(Action::List(list));
                }
            }
        }
    }

    fn elsewhere(&mut self, from: &str, leader: Option<String>, now: f64) {
        self.answer_by = f64::INFINITY;
        self.sent_on += 1;
        self.leader = leader.filter(|name| name != from && self.voters.contains(name));
        if self.leader.is_none() {
            self.turn += 1;
        }
        // The first hint is followed at once; two that name each other must not be asked in circles.
        let pause = if self.leader.is_some() && self.sent_on == 1 { 0.0 } else { self.times.retry_delay };
        self.ask_at = now + pause;
    }

    /// Time between two asks while all goes well.
    fn every(&self) -> f64 {
        let leases = self.wants.values().map(|want| want.lease);
        leases.chain(self.grips.values().map(|grip| grip.lease)).fold(LEASE.1, f64::min) / ASKS
    }

    fn stands(&mut self, place: usize, held: Vec<HeldLease>, now: f64) {
        let (at, said) = (self.sent[place].at, std::mem::take(&mut self.sent[place].holds));
        let named: Vec<u64> = held.iter().map(|held| held.token).collect();
        held.into_iter().for_each(|held| self.holds(held, at, now));
        for (duty, token) in said.into_iter().filter(|(_, token)| !named.contains(token)) {
            self.lost(&duty, token);
        }
    }

    /// The log says that this token is over.
    fn lost(&mut self, duty: &str, token: u64) {
        let Some(grip) = self.grips.get(duty).filter(|grip| grip.token == token) else { return };
        if grip.acting {
            self.out.push(Action::Stopped { duty: duty.into(), token, reason: StopReason::Lost });
        }
        self.grips.remove(duty);
        self.forget(duty, token);
    }

    fn forget(&mut self, duty: &str, token: u64) {
        let over = self.over.entry(duty.into()).or_default();
        *over = token.max(*over);
        // The oldest say least: a message from before them was answered long ago.
        if self.over.len() > 2 * MAX_WANTS {
            let oldest = self.over.iter().min_by_key(|(_, token)| **token).map(|(duty, _)| duty.clone());
            oldest.and_then(|duty| self.over.remove(&duty));
        }
    }

    /// A voter says that it holds this, at a time after `sent`.
    fn holds(&mut self, held: HeldLease, sent: f64, now: f64) {
        let HeldLease { duty, token, lease, renewed, give_up } = held;
        if self.over.get(&duty).is_some_and(|over| token <= *over) {
            return;
        }
        match self.grips.get(&duty).map(|grip| grip.token) {
            Some(other) if other > token => return,
            Some(other) if other < token => self.lost(&duty, other),
            _ => {}
        }
        let new = LocalLease {
            token,
            lease,
            until: f64::NEG_INFINITY,
            acting: false,
            leaving: false,
            over: None,
            failing: None,
        };
        let grip = self.grips.entry(duty.clone()).or_insert(new);
        if renewed {
            grip.until = grip.until.max(sent + lease * USABLE_LEASE_SHARE);
        }
        if grip.over.is_some() {
            return;
        }
        let told_to_leave = give_up && !grip.leaving;
        grip.leaving |= give_up;
        let (until, acting) = (grip.until, grip.acting);
        if !self.wants.contains_key(&duty) || (grip.leaving && !acting) {
            return self.give_up(&duty, false, now);
        }
        if told_to_leave {
            self.out.push(Action::Leave { duty: duty.clone(), token });
        }
        if !acting && now < until {
            grip.acting = true;
            self.out.push(Action::Acquired { duty, token, until });
        }
    }
}
