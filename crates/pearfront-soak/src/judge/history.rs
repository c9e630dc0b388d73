//! What happened in a play, put together from the records of clients, servers, discovery and the relay. Times are ms.

use super::{Break, Rule, SLACK, STARTS, TOLD, WATCH_GAP};
use crate::plan::{Fleet, KILL_AFTER, Plan};
use crate::record::{AnswerEnd, DiscoveryMode, Effect, Line, OperatorCall, Record, ReplyEnd, Standing};
use std::collections::{BTreeMap, HashMap};

pub(super) struct Request {
    pub(super) node: usize,
    pub(super) effect: Effect,
    /// When its first byte was written, and its last.
    pub(super) began: f64,
    pub(super) at: f64,
    pub(super) deadline: f64,
    pub(super) left: Option<f64>,
    pub(super) answer: Option<(f64, u16)>,
    pub(super) unanswered: Option<Unanswered>,
    /// On a new connection.
    pub(super) fresh: bool,
    /// How an answer ended that is too large to be kept whole.
    pub(super) ended: Option<EndedAnswer>,
    /// The requests that lie on its connection with it.
    pub(super) line: Option<Line>,
}

impl Request {
    /// Has its connection brought neither an answer nor its end by then, and its client not left?
    pub(super) fn is_open(&self, at: f64) -> bool {
        let ends = [self.left, self.answer.map(|(at, _)| at), self.unanswered.map(|end| end.at)];
        ends.into_iter().flatten().all(|end| end > at)
    }
}

/// The end of a connection before a request on it was answered.
#[derive(Debug, Clone, Copy)]
pub(super) struct Unanswered {
    pub(super) at: f64,
    pub(super) crossed: bool,
    pub(super) reset: bool,
}

/// What a client saw of the end of an answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct EndedAnswer {
    pub(super) at: f64,
    pub(super) end: AnswerEnd,
    pub(super) last: f64,
    pub(super) slow: bool,
}

/// What the relay saw of it.
#[derive(Debug, Clone, Copy)]
pub(super) struct EndedReply {
    pub(super) at: f64,
    pub(super) end: ReplyEnd,
    pub(super) last: f64,
}

pub(super) struct Attempt {
    pub(super) server: usize,
    pub(super) at: f64,
    pub(super) told: f64,
    pub(super) whole: Option<f64>,
    pub(super) reply: Option<(f64, bool)>,
    pub(super) ended: Option<EndedReply>,
}

impl Attempt {
    /// Could its server have begun the request, as far as the node could know at that time?
    pub(super) fn may_have_run(&self, now: f64) -> bool {
        self.whole.is_some_and(|whole| whole <= now)
            && !self.reply.is_some_and(|(at, never_ran)| never_ran && at <= now)
    }
}

/// An operator's call, and the status of its answer, if one came in time.
pub(super) struct CallOfOperator {
    pub(super) node: usize,
    pub(super) process: u32,
    pub(super) call: OperatorCall,
    pub(super) at: f64,
    pub(super) status: Option<u16>,
}

/// How many connections to a node a client holds idle.
pub(super) struct IdleConnections {
    pub(super) node: usize,
    pub(super) process: u32,
    pub(super) at: f64,
    pub(super) open: usize,
}

/// What `GET /up` at a node's address said.
pub(super) struct UpAnswer {
    pub(super) node: usize,
    pub(super) process: u32,
    pub(super) at: f64,
    pub(super) status: Option<u16>,
}

/// A process of a node was killed, and had been told to end before, if it had.
pub(super) struct Kill {
    node: usize,
    at: f64,
    told: Option<f64>,
}

/// A process of a node.
pub(super) struct Life {
    pub(super) node: usize,
    pub(super) caller: usize,
    pub(super) process: u32,
    pub(super) start: f64,
    pub(super) end: f64,
}

#[derive(Default)]
pub(super) struct Records {
    pub(super) requests: HashMap<String, Request>,
    pub(super) attempts: HashMap<String, Vec<Attempt>>,
    /// The requests of each line by the first of them.
    pub(super) lines: HashMap<String, Vec<String>>,
    pub(super) lives: Vec<Life>,
    pub(super) kills: Vec<Kill>,
    /// When processes were told to end.
    pub(super) terms: Vec<(u32, f64)>,
    /// Nodes whose descriptors clients fill, from when to when.
    pub(super) crowds: Vec<(usize, f64, f64)>,
    pub(super) stops: Vec<(usize, f64, f64)>,
    pub(super) changes: Vec<(u64, usize, Standing, f64)>,
    pub(super) modes: Vec<(DiscoveryMode, f64)>,
    pub(super) told: BTreeMap<usize, Vec<(u64, f64)>>,
    pub(super) watches: BTreeMap<usize, Vec<(bool, f64)>>,
    pub(super) graces: Vec<(usize, f64, f64)>,
    pub(super) starts: Vec<(usize, f64)>,
    pub(super) stalled: Vec<(usize, f64, Option<f64>)>,
    pub(super) operator_calls: Vec<CallOfOperator>,
    pub(super) up_answers: Vec<UpAnswer>,
    pub(super) idle: Vec<IdleConnections>,
    pub(super) crashes: Vec<Break>,
    /// So long after it was told to end a process has ended, ms.
    pub(super) ends_within: f64,
    pub(super) end: f64,
}

/// How long a crowd takes to go, ms.
const CROWD_GOES: f64 = 3500.0;

impl Records {
    pub(super) fn new(plan: &Plan, records: &[Record]) -> Self {
        let ends_within = plan.fleet.deadlines.1 + KILL_AFTER - SLACK;
        let mut all = Self { ends_within, end: records.last().map_or(0.0, Record::at), ..Self::default() };
        // What the relay saw of one attempt comes in order; what different processes saw is sorted by time.
        records.iter().for_each(|record| all.take(record));
        all
    }

    pub(super) fn take(&mut self, record: &Record) {
        match record {
            Record::Request { id, node, effect, began, at, deadline, fresh, line } => {
                let request = Request {
                    node: *node,
                    effect: *effect,
                    began: *began,
                    at: *at,
                    deadline: *deadline,
                    left: None,
                    answer: None,
                    unanswered: None,
                    fresh: *fresh,
                    ended: None,
                    line: line.clone(),
                };
                if let Some(line) = line {
                    self.lines.entry(line.first.clone()).or_default().push(id.clone());
                }
                self.requests.insert(id.clone(), request);
            }
            Record::Left { id, at } => self.of(id, |request| request.left = Some(*at)),
            Record::Answer { id, at, status } => self.of(id, |request| request.answer = Some((*at, *status))),
            Record::Unanswered { id, at, crossed, reset } => {
                let unanswered = Unanswered { at: *at, crossed: *crossed, reset: *reset };
                self.of(id, |request| request.unanswered = Some(unanswered));
            }
            Record::Attempt { id, server, at, told } => {
                let attempt =
                    Attempt { server: *server, at: *at, told: *told, whole: None, reply: None, ended: None };
                self.attempts.entry(id.clone()).or_default().push(attempt);
            }
            Record::AnswerEnded { id, at, end, last, slow } => {
                let ended = EndedAnswer { at: *at, end: *end, last: *last, slow: *slow };
                self.of(id, |request| request.ended = Some(ended));
            }
            Record::ReplyEnded { id, server, at, end, last } => {
                let ended = EndedReply { at: *at, end: *end, last: *last };
                self.last(id, *server, |attempt| attempt.ended = Some(ended));
            }
            Record::Crowd { node, from, to } => self.crowds.push((*node, *from, *to)),
            Record::Term { process, at, .. } => self.terms.push((*process, *at)),
            Record::Whole { id, server, at } => self.last(id, *server, |attempt| attempt.whole = Some(*at)),
            Record::Reply { id, server, at, never_ran } => {
                self.last(id, *server, |attempt| attempt.reply = Some((*at, *never_ran)));
            }
            Record::Told { caller, version, at, .. } => {
                self.told.entry(*caller).or_default().push((*version, *at))
            }
            Record::Watch { caller, open, at } => self.watches.entry(*caller).or_default().push((*open, *at)),
            Record::Change { version, server, standing, at } => {
                self.changes.push((*version, *server, *standing, *at));
            }
            Record::Discovery { mode, at } => self.modes.push((*mode, *at)),
            Record::Start { node, process, caller, at } => {
                let life =
                    Life { node: *node, caller: *caller, process: *process, start: *at, end: f64::INFINITY };
                self.lives.push(life);
            }
            Record::Exit { process, at, by_itself, code, node } => {
                self.exit(*node, *process, *at, *by_itself, *code)
            }
            Record::Kill { node, process, at } => {
                let told = self.terms.iter().find(|(told, _)| told == process).map(|(_, at)| *at);
                self.kills.push(Kill { node: *node, at: *at, told });
                self.end_life(*process, *at);
            }
            Record::Stop { node, from, to } => self.stops.push((*node, *from, *to)),
            Record::Reloaded { node, grace, at } => self.graces.push((*node, *grace, *at)),
            Record::ServerStart { server, at } => self.starts.push((*server, *at)),
            Record::Stalled { node, at, ended } => self.stalled.push((*node, *at, *ended)),
            Record::Operator { node, process, call, at, status } => {
                let call =
                    CallOfOperator { node: *node, process: *process, call: *call, at: *at, status: *status };
                self.operator_calls.push(call);
            }
            Record::Idle { node, process, at, open } => {
                self.idle.push(IdleConnections { node: *node, process: *process, at: *at, open: *open });
            }
            Record::Up { node, process, at, status } => {
                self.up_answers.push(UpAnswer { node: *node, process: *process, at: *at, status: *status });
            }
            Record::Ran { .. } | Record::Probe { .. } | Record::Moved { .. } | Record::ServerKill { .. } => {}
        }
    }

    pub(super) fn exit(&mut self, node: usize, process: u32, at: f64, by_itself: bool, code: Option<i32>) {
        self.end_life(process, at);
        if by_itself {
            let what = format!("process {process} of node {node} ended by itself, code {code:?}");
            self.crashes.push(Break { rule: Rule::Crash, at, what });
        }
    }

    pub(super) fn end_life(&mut self, process: u32, at: f64) {
        let lives = self.lives.iter_mut().filter(|life| life.process == process);
        lives.for_each(|life| life.end = life.end.min(at));
    }

    pub(super) fn of(&mut self, id: &str, change: impl FnOnce(&mut Request)) {
        self.requests.get_mut(id).map(change);
    }

    pub(super) fn last(&mut self, id: &str, server: usize, change: impl FnOnce(&mut Attempt)) {
        let attempts = self.attempts.get_mut(id).into_iter().flatten();
        attempts.filter(|attempt| attempt.server == server).last().map(change);
    }

    /// Is it known, or possible, that a node has read the request? Of those that came in one write if any of them was begun: but
    /// kernels reset a connection for what lies unread alone, and answers come in order, so where it was reset only if its turn may
    /// have come.
    pub(super) fn is_read(&self, id: &str, request: &Request, reset: bool) -> bool {
        let line = request.line.as_ref().filter(|line| line.together);
        let together = line.and_then(|line| self.lines.get(&line.first)).map_or(&[][..], Vec::as_slice);
        let is_begun = |id: &String| {
            let is_answered = self.requests.get(id).is_some_and(|request| request.answer.is_some());
            is_answered || self.attempts.contains_key(id)
        };
        let may_be_read =
            if reset { self.may_have_its_turn(id, together) } else { together.iter().any(is_begun) };
        self.attempts.contains_key(id) || may_be_read
    }

    /// May it be the first of these requests, which came in one write, that has no answer?
    fn may_have_its_turn(&self, id: &str, together: &[String]) -> bool {
        let Some(place) = together.iter().position(|other| other == id) else { return false };
        let is_whole = |request: &Request| {
            request.answer.is_some() && request.ended.is_none_or(|ended| ended.end == AnswerEnd::Whole)
        };
        let is_answered = |id: &String| self.requests.get(id).is_some_and(is_whole);
        place.checked_sub(1).is_none_or(|ahead| is_answered(&together[ahead]))
    }

    /// Is a request behind this one on its connection in its time then?
    pub(super) fn has_due_behind(&self, id: &str, at: f64) -> bool {
        let others = self.lines.get(id).into_iter().flatten().filter(|other| *other != id);
        others
            .filter_map(|other| self.requests.get(other))
            .any(|behind| (behind.at..=behind.at + behind.deadline + SLACK).contains(&at))
    }

    /// How long the node stood still within a span.
    pub(super) fn stopped(&self, node: usize, from: f64, to: f64) -> f64 {
        let within = |(_, begun, ended): &(usize, f64, f64)| (ended.min(to) - begun.max(from)).max(0.0);
        self.stops.iter().filter(|(stopped, ..)| *stopped == node).map(within).sum()
    }

    /// When a node that may stand still meanwhile has run for so long from then on.
    pub(super) fn after_running(&self, node: usize, from: f64, span: f64) -> f64 {
        let mut due = from + span;
        for (stopped, begun, ended) in &self.stops {
            if *stopped == node && *ended > from && *begun < due {
                due += ended - begun.max(from);
            }
        }
        due
    }

    /// Was no process of the node there to take what came at that time? A listener that outlives its processes lets clients
    /// connect all the same, and the next process can't know how long they have waited.
    pub(super) fn is_unserved(&self, node: usize, at: f64) -> bool {
        let serves = |life: &&Life| life.node == node && (life.start + STARTS..life.end).contains(&at);
        self.lives.iter().find(serves).is_none()
    }

    /// Did the process run through all of that time?
    pub(super) fn runs(&self, process: u32, from: f64, to: f64) -> bool {
        self.lives.iter().any(|life| life.process == process && life.start <= from && to <= life.end)
    }

    /// Had the process been told to end by then?
    pub(super) fn told_to_end(&self, process: u32, by: f64) -> bool {
        self.terms.iter().any(|(told, at)| *told == process && *at <= by)
    }

    /// Was no other process of the node there?
    pub(super) fn is_alone(&self, node: usize, process: u32, at: f64) -> bool {
        let other = |life: &&Life| life.node == node && life.process != process;
        !self.lives.iter().filter(other).any(|life| (life.start..=life.end).contains(&at))
    }

    /// Was a process of the node killed in that time, of which nothing more can be asked? One that was told to end, and had
    /// all its time since, has to have answered by then.
    pub(super) fn was_killed(&self, node: usize, from: f64, to: f64) -> bool {
        self.kills.iter().any(|kill| {
            let had_time = kill.told.is_some_and(|told| {
                kill.at - told >= self.ends_within && self.stopped(node, told, kill.at) == 0.0
            });
            kill.node == node && (from..=to).contains(&kill.at) && !had_time
        })
    }

    /// Did a process of the node end in that time, whatever ended it?
    pub(super) fn has_ended(&self, node: usize, from: f64, to: f64) -> bool {
        self.lives.iter().any(|life| life.node == node && (from..=to).contains(&life.end))
    }

    /// Do clients fill its descriptors, or have they just?
    pub(super) fn is_crowded(&self, node: usize, at: f64) -> bool {
        let within = |(_, from, to): &(usize, f64, f64)| (*from..to + CROWD_GOES).contains(&at);
        self.crowds.iter().any(|crowd| crowd.0 == node && within(crowd))
    }

    /// From when on, at the latest, a time `from` on has been followed by a span in which discovery could be reached.
    pub(super) fn reachable_for(&self, from: f64, span: f64) -> f64 {
        let mut since = from;
        let mut down = false;
        for (mode, at) in &self.modes {
            if *at > since + span && !down {
                break;
            }
            if mode.is_unreachable() {
                down = true;
            } else if down {
                down = false;
                since = since.max(*at);
            }
        }
        if down { f64::INFINITY } else { since + span }
    }

    /// When a change counts as told to a process.
    pub(super) fn told_at(&self, life: &Life, version: u64, at: f64, pushed: bool) -> f64 {
        let written = self.told.get(&life.caller).into_iter().flatten();
        let written =
            written.filter(|(told, _)| *told >= version).map(|(_, at)| *at).fold(f64::INFINITY, f64::min);
        let latest = self.reachable_for(at.max(life.start), TOLD);
        let unwatched = if pushed { self.unwatched(life, at) } else { f64::INFINITY };
        written.min(latest).min(unwatched)
    }

    /// The first time from then on at which the process has no connection to a discovery that can be reached.
    pub(super) fn unwatched(&self, life: &Life, at: f64) -> f64 {
        let mut opened = 0;
        let mut none_since = Some(life.start);
        for (open, when) in self.watches.get(&life.caller).into_iter().flatten() {
            if let Some(since) = none_since {
                let first = self.reachable_for(since.max(at), WATCH_GAP);
                if first < *when {
                    return first;
                }
            }
            opened += if *open { 1 } else { -1 };
            none_since = (opened == 0).then_some(*when);
        }
        none_since.map_or(f64::INFINITY, |since| self.reachable_for(since.max(at), WATCH_GAP))
    }

    /// The grace that binds a node at that time: a change of it is in force within a second.
    pub(super) fn grace(&self, fleet: &Fleet, node: usize, at: f64) -> f64 {
        let own: Vec<_> = self.graces.iter().filter(|(of, _, when)| *of == node && *when <= at).collect();
        let recent = own.iter().rev().take_while(|(_, _, when)| at - when < 1000.0);
        let before = own.iter().rev().find(|(_, _, when)| at - when >= 1000.0);
        let before = before.map_or(fleet.grace, |(_, grace, _)| *grace);
        recent.map(|(_, grace, _)| *grace).fold(before, f64::max)
    }
}
