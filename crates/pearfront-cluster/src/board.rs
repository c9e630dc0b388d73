//! Duties in this process: what it wants and holds, for itself and for commands that operators run beside it, and its seat
//! among the voters if it has one. Pure but for the disk behind the seat: words come in, words go out.

use crate::duty_view::{DutiesView, HeldView, HoldView, ListedView, OwnView, TakenView, VoterView};
use crate::link::Word;
use crate::seat::{Post, Seat};
use pearfront_consensus::{Message, Role, decode};
use pearfront_duties::{
    Agent, AgentAction, DutyInfo, LeaseRequest, LeaseResponse, Order, ProcessId, Want, decode as decode_duty,
    encode as encode_duty,
};
use std::collections::{BTreeMap, VecDeque};

/// A command that does not call for so long, ms, has ended or can't; what it holds is given up once it must have stopped.
const CALLS: f64 = 3000.0;

/// A duty that a command beside this process wants.
struct Rent {
    client: String,
    called: f64,
    /// Until when it was told that it may act.
    told: f64,
}

/// One word, to a process by name, or to one life of it only.
pub(crate) struct Sent {
    pub to: String,
    pub life: Option<u64>,
    pub word: Word,
}

pub(crate) struct Board {
    me: ProcessId,
    voters: Vec<String>,
    sum: u32,
    agent: Agent,
    seat: Option<Seat>,
    /// Why it is no voter any more.
    trouble: Option<String>,
    rents: BTreeMap<String, Rent>,
    list: Option<Vec<DutyInfo>>,
    ordered: Option<Vec<String>>,
    /// Words between two parts of this process.
    own: VecDeque<Word>,
    sent: Vec<Sent>,
    /// Words of processes whose file names other voters.
    pub foreign: u64,
    /// Something was seen that somebody may wait for.
    pub news: bool,
}

impl Board {
    pub fn new(me: ProcessId, voters: &[String], times: pearfront_duties::Times, seat: Option<Seat>) -> Self {
        let mut names = voters.to_vec();
        names.sort();
        Self {
            sum: crc32c::crc32c(names.join("\n").as_bytes()),
            agent: Agent::new(me.clone(), &names, times),
            voters: names,
            me,
            seat,
            trouble: None,
            rents: BTreeMap::new(),
            list: None,
            ordered: None,
            own: VecDeque::new(),
            sent: Vec::new(),
            foreign: 0,
            news: false,
        }
    }

    pub fn due(&self) -> f64 {
        let rents = self.rents.values().map(|rent| (rent.called + CALLS).max(rent.told));
        let seat = self.seat.as_ref().map_or(f64::INFINITY, Seat::due);
        rents.fold(self.agent.due().min(seat), f64::min)
    }

    /// What is to go out.
    pub fn take_sent(&mut self) -> Vec<Sent> {
        std::mem::take(&mut self.sent)
    }

    // ---- what comes in ----

    pub fn tick(&mut self, now: f64) {
        let over = |rent: &Rent| now >= (rent.called + CALLS).max(rent.told);
        let over: Vec<String> =
            self.rents.iter().filter(|(_, rent)| over(rent)).map(|(duty, _)| duty.clone()).collect();
        for duty in over {
            log::warn!("cluster: event=duty-unwanted duty={duty}: its command does not call any more");
            self.rents.remove(&duty);
            self.agent.unwant(&duty, now);
        }
        if let Some(seat) = &mut self.seat {
            seat.tick(now);
        }
        self.run(now);
    }

    /// A word of another process, or of this one.
    pub fn heard(&mut self, from: &str, word: Word, now: f64) {
        self.take(from, word, now);
        self.run(now);
    }

    fn take(&mut self, from: &str, word: Word, now: f64) {
        let sum = match &word {
            Word::Log(sum, _) | Word::Ask(sum, _) | Word::Told(sum, _) => *sum,
            _ => return,
        };
        if sum != self.sum {
            self.foreign += 1;
            return;
        }
        match word {
            Word::Log(_, bytes) => {
                let message = decode(&bytes).filter(|message| message.from == from);
                if let (Some(seat), Some(message)) = (&mut self.seat, message) {
                    seat.heard(message, now);
                }
            }
            Word::Ask(_, bytes) => {
                let ask = decode_duty::<LeaseRequest>(&bytes).filter(|ask| ask.from.name == from);
                if let (Some(seat), Some(ask)) = (&mut self.seat, ask) {
                    seat.asked(ask, now);
                }
            }
            Word::Told(_, bytes) => {
                if let Some(told) = decode_duty::<LeaseResponse>(&bytes).filter(|told| told.from == from) {
                    self.agent.receive(told, now);
                }
            }
            _ => {}
        }
    }

    /// A group of the voter's records is on disk, or nothing is any more.
    pub fn stored(&mut self, stored: Result<u64, String>, now: f64) {
        match (stored, &mut self.seat) {
            (Ok(number), Some(seat)) => seat.stored(number, now),
            (Err(problem), _) => {
                log::error!("cluster: event=voter-ended: {problem}");
                self.trouble = Some(problem);
                self.seat = None;
            }
            _ => {}
        }
        self.run(now);
    }

    /// That process is over, for certain.
    pub fn ended(&mut self, name: &str, life: u64, now: f64) {
        if let Some(seat) = &mut self.seat {
            seat.ended(&ProcessId { name: name.into(), life }, now);
        }
        self.run(now);
    }

    // ---- what goes out ----

    fn run(&mut self, now: f64) {
        loop {
            self.agent.tick(now);
            for out in self.agent.take_actions() {
                self.agent_out(out, now);
            }
            let posts = self.seat.as_mut().map(Seat::take_posts).unwrap_or_default();
            posts.into_iter().for_each(|post| self.post(post));
            let Some(word) = self.own.pop_front() else { return };
            let me = self.me.name.clone();
            self.take(&me, word, now);
        }
    }

    fn post(&mut self, post: Post) {
        match post {
            Post::Log(message) => {
                let Message { to, .. } = &message;
                self.send(to.clone(), None, Word::Log(self.sum, message.encode()));
            }
            Post::Told(told) => {
                let ProcessId { name, life } = told.to.clone();
                self.send(name, Some(life), Word::Told(self.sum, encode_duty(&told)));
            }
        }
    }

    fn send(&mut self, to: String, life: Option<u64>, word: Word) {
        if to == self.me.name {
            // A former life of this name is told nothing.
            if life.is_none_or(|life| life == self.me.life) {
                self.own.push_back(word);
            }
            return;
        }
        self.sent.push(Sent { to, life, word });
    }

    fn agent_out(&mut self, out: AgentAction, now: f64) {
        self.news = true;
        match out {
            AgentAction::Send { to, request: ask } => {
                self.news = false;
                self.send(to, None, Word::Ask(self.sum, encode_duty(&ask)));
            }
            AgentAction::Acquired { duty, token, until } => {
                log::info!("cluster: event=duty-held duty={duty} token={token} for_ms={:.0}", until - now);
            }
            AgentAction::Leave { duty, token } => {
                log::info!("cluster: event=duty-to-leave duty={duty} token={token}");
                // What a command does it brings to an end itself.
                if !self.rents.contains_key(&duty) {
                    self.agent.give_up(&duty, false, now);
                }
            }
            AgentAction::Stopped { duty, token, reason: why } => {
                log::info!("cluster: event=duty-stopped duty={duty} token={token} why={why:?}");
            }
            AgentAction::List(list) => self.list = Some(list),
            AgentAction::OrderResults(told) => self.ordered = Some(told),
        }
    }

    // ---- what this process and its operators want ----

    pub fn ask_for_list(&mut self, now: f64) {
        self.list = None;
        self.agent.request_list(now);
        self.run(now);
    }

    pub fn listed(&self) -> Option<&Vec<DutyInfo>> {
        self.list.as_ref()
    }

    /// Whoever holds it is to leave it; false if nobody is known to hold it.
    pub fn order(&mut self, duty: &str, to: Option<&str>, now: f64) -> bool {
        let held = self.list.iter().flatten().find(|one| one.duty == duty);
        let Some(token) = held.and_then(|one| one.holders.first()).map(|holder| holder.token) else {
            return false;
        };
        self.ordered = None;
        self.agent.order(Order::Move { duty: duty.into(), token, to: to.map(str::to_string) }, now);
        self.run(now);
        true
    }

    pub fn ordered(&self) -> Option<&Vec<String>> {
        self.ordered.as_ref()
    }

    /// This process itself wants a duty from now on.
    pub fn want(&mut self, want: Want, now: f64) {
        self.agent.want(want, now);
        self.run(now);
    }

    pub fn unwant(&mut self, duty: &str, now: f64) {
        self.agent.unwant(duty, now);
        self.run(now);
    }

    pub fn holds(&self, duty: &str, now: f64) -> bool {
        self.agent.may_act(duty, now).is_some()
    }

    /// A command wants a duty, and calls so again and again while it does. False if another command here has it.
    pub fn rent(&mut self, client: &str, want: Want, now: f64) -> bool {
        let duty = want.duty.clone();
        let rent = Rent { client: client.into(), called: now, told: f64::NEG_INFINITY };
        let rent = self.rents.entry(duty).or_insert(rent);
        if rent.client != client {
            return false;
        }
        rent.called = now;
        self.agent.want(want, now);
        self.run(now);
        true
    }

    /// How a command stands: what it is told here it may rely on.
    pub fn rented(&mut self, duty: &str, now: f64) -> HoldView {
        let held = self.agent.may_act(duty, now);
        if let (Some((_, until)), Some(rent)) = (held, self.rents.get_mut(duty)) {
            rent.told = rent.told.max(until);
        }
        let waits = self.agent.wait_status(duty);
        HoldView {
            held: held.map(|(token, until)| HeldView {
                token,
                left_ms: until - now,
                leave: self.agent.must_leave(duty),
            }),
            holders: waits
                .map(|waits| waits.holders.iter().map(TakenView::new).collect())
                .unwrap_or_default(),
            ran_ms_ago: waits.and_then(|waits| waits.last_run_ago),
            leader: self.agent.leader().map(str::to_string),
        }
    }

    /// A command has ended: well, or not. False if it is not the one that had it.
    pub fn give_up(&mut self, duty: &str, client: &str, well: bool, now: f64) -> bool {
        if self.rents.get(duty).is_none_or(|rent| rent.client != client) {
            return false;
        }
        self.rents.remove(duty);
        self.agent.give_up(duty, well, now);
        self.agent.unwant(duty, now);
        self.run(now);
        true
    }

    // ---- what is shown ----

    pub fn view(&self, now: f64) -> DutiesView {
        let voter = self.seat.as_ref().map(|seat| VoterView {
            role: match seat.voter.role() {
                Role::Follower => "follower",
                Role::PreCandidate | Role::Candidate => "candidate",
                Role::Leader if seat.leads() => "leader",
                Role::Leader => "leader, not settled",
            },
            term: seat.voter.term(),
            leader: seat.voter.leader().map(str::to_string),
            commit: seat.voter.commit_index(),
            last: seat.voter.last_index(),
            may_stand: seat.voter.may_stand(),
        });
        let own = self.agent.held(now).into_iter();
        DutiesView {
            name: self.me.name.clone(),
            voters: self.voters.clone(),
            leader: self.agent.leader().map(str::to_string),
            voter,
            trouble: self.trouble.clone(),
            foreign: self.foreign,
            holds: own
                .map(|(duty, token, until)| OwnView { duty: duty.into(), token, left_ms: until - now })
                .collect(),
            duties: self.list.as_ref().map(|list| list.iter().map(ListedView::new).collect()),
        }
    }
}
