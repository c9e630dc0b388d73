//! The history of a run, put together from all its records, and the questions that the rules ask of it. Times are ms.

use super::{Break, LIST_PROPAGATION_MS, Rule, SLACK_MS, STARTUP_MS, WATCH_CLOSE_LAG_MS};
use crate::plan::{Fleet, KILL_AFTER_MS, Plan};
use crate::record::{AnswerEnd, DiscoveryMode, Effect, Lifecycle, OperatorCall, Pipeline, Record, ReplyEnd};
use std::collections::{BTreeMap, HashMap};

/// What is known of one request.
pub(super) struct Request {
    pub(super) node: usize,
    pub(super) effect: Effect,
    /// When its first byte was written, and (`at`) its last.
    pub(super) began: f64,
    pub(super) at: f64,
    pub(super) deadline: f64,
    pub(super) disconnected_at: Option<f64>,
    pub(super) answer: Option<(f64, u16)>,
    pub(super) unanswered: Option<Unanswered>,
    /// It is the first on its connection.
    pub(super) new_connection: bool,
    /// How its answer ended, if that is too large for a node to buffer.
    pub(super) ended: Option<EndedAnswer>,
    /// The requests that are pipelined with it.
    pub(super) pipeline: Option<Pipeline>,
}

impl Request {
    /// Whether by that time it has neither an answer nor the end of its connection, and its client has not disconnected.
    pub(super) fn is_open(&self, at: f64) -> bool {
        let ends = [self.disconnected_at, self.answer.map(|(at, _)| at), self.unanswered.map(|end| end.at)];
        ends.into_iter().flatten().all(|end| end > at)
    }
}

/// The end of a connection before a request on it was answered.
#[derive(Debug, Clone, Copy)]
pub(super) struct Unanswered {
    pub(super) at: f64,
    pub(super) close_raced: bool,
    pub(super) reset: bool,
}

/// The end of a streamed answer as its client saw it.
#[derive(Debug, Clone, Copy)]
pub(super) struct EndedAnswer {
    pub(super) at: f64,
    pub(super) end: AnswerEnd,
    pub(super) last: f64,
    pub(super) slow: bool,
}

/// The end of a streamed answer as the relay saw it.
#[derive(Debug, Clone, Copy)]
pub(super) struct EndedReply {
    pub(super) at: f64,
    pub(super) end: ReplyEnd,
    pub(super) last: f64,
}

/// An attempt as the relay saw it. `received_at` is when its last byte came, `reply` when its answer began and whether that says
/// that the request did not run.
pub(super) struct Attempt {
    pub(super) server: usize,
    pub(super) at: f64,
    pub(super) deadline_sent: f64,
    pub(super) received_at: Option<f64>,
    pub(super) reply: Option<(f64, bool)>,
    pub(super) ended: Option<EndedReply>,
}

impl Attempt {
    /// Whether the server may have run the request, as far as the node could know at that time.
    pub(super) fn may_have_run(&self, now: f64) -> bool {
        self.received_at.is_some_and(|received_at| received_at <= now)
            && !self.reply.is_some_and(|(at, never_ran)| never_ran && at <= now)
    }
}

/// An operator's call, and the status of its answer, if one came in time.
pub(super) struct OperatorRequest {
    pub(super) node: usize,
    pub(super) process: u32,
    pub(super) call: OperatorCall,
    pub(super) at: f64,
    pub(super) status: Option<u16>,
}

/// The number of idle connections to a node that a client process holds.
pub(super) struct IdleConnections {
    pub(super) node: usize,
    pub(super) process: u32,
    pub(super) at: f64,
    pub(super) open: usize,
}

/// An answer to `GET /up` at a node's address.
pub(super) struct UpAnswer {
    pub(super) node: usize,
    pub(super) process: u32,
    pub(super) at: f64,
    pub(super) status: Option<u16>,
}

/// A process of a node was killed; `term_at` is when it got SIGTERM before, if it did.
pub(super) struct Kill {
    node: usize,
    at: f64,
    term_at: Option<f64>,
}

/// When a process of a node started and ended.
pub(super) struct ProcessLifetime {
    pub(super) node: usize,
    pub(super) subscriber: usize,
    pub(super) process: u32,
    pub(super) start: f64,
    pub(super) end: f64,
}

/// All that the rules need of a run's records.
#[derive(Default)]
pub(super) struct History {
    pub(super) requests: HashMap<String, Request>,
    pub(super) attempts: HashMap<String, Vec<Attempt>>,
    /// The requests of each pipeline, by the id of the first.
    pub(super) pipelines: HashMap<String, Vec<String>>,
    pub(super) lifetimes: Vec<ProcessLifetime>,
    pub(super) kills: Vec<Kill>,
    /// Processes, and when they got SIGTERM.
    pub(super) sigterms: Vec<(u32, f64)>,
    /// Nodes whose descriptors clients use up, from when to when.
    pub(super) descriptor_fills: Vec<(usize, f64, f64)>,
    /// Nodes that were paused by SIGSTOP, from when to when.
    pub(super) pauses: Vec<(usize, f64, f64)>,
    /// Changes of the list: version, server, its state and when.
    pub(super) changes: Vec<(u64, usize, Lifecycle, f64)>,
    pub(super) modes: Vec<(DiscoveryMode, f64)>,
    /// Versions of the list that each subscriber was sent, and when.
    pub(super) lists_sent: BTreeMap<usize, Vec<(u64, f64)>>,
    /// Openings (true) and ends of each subscriber's connections to discovery.
    pub(super) watches: BTreeMap<usize, Vec<(bool, f64)>>,
    /// Changes of a node's drain grace: node, grace and when.
    pub(super) drain_graces: Vec<(usize, f64, f64)>,
    /// Servers that came back cold, and when.
    pub(super) server_starts: Vec<(usize, f64)>,
    /// Clients that stalled: node, when, and when the node answered or closed the connection.
    pub(super) stalled: Vec<(usize, f64, Option<f64>)>,
    pub(super) operator_calls: Vec<OperatorRequest>,
    pub(super) up_answers: Vec<UpAnswer>,
    pub(super) idle: Vec<IdleConnections>,
    pub(super) crashes: Vec<Break>,
    /// Time after SIGTERM within which a process has to have ended, ms.
    pub(super) termination_ms: f64,
    pub(super) end: f64,
}

/// How long a node's descriptors may stay used up after clients stop, ms.
const DESCRIPTORS_RECOVER_MS: f64 = 3500.0;

impl History {
    pub(super) fn new(plan: &Plan, records: &[Record]) -> Self {
        let termination_ms = plan.fleet.deadlines.1 + KILL_AFTER_MS - SLACK_MS;
        let mut history =
            Self { termination_ms, end: records.last().map_or(0.0, Record::at), ..Self::default() };
        // The relay's records of one attempt come in order; records of different processes are sorted by time.
        records.iter().for_each(|record| history.add(record));
        history
    }

    pub(super) fn add(&mut self, record: &Record) {
        match record {
            Record::Request { id, node, effect, began, at, deadline, new_connection, pipeline } => {
                let request = Request {
                    node: *node,
                    effect: *effect,
                    began: *began,
                    at: *at,
                    deadline: *deadline,
                    disconnected_at: None,
                    answer: None,
                    unanswered: None,
                    new_connection: *new_connection,
                    ended: None,
                    pipeline: pipeline.clone(),
                };
                if let Some(pipeline) = pipeline {
                    self.pipelines.entry(pipeline.first.clone()).or_default().push(id.clone());
                }
                self.requests.insert(id.clone(), request);
            }
            Record::Disconnected { id, at } => {
                self.update_request(id, |request| request.disconnected_at = Some(*at))
            }
            Record::Answer { id, at, status } => {
                self.update_request(id, |request| request.answer = Some((*at, *status)))
            }
            Record::Unanswered { id, at, close_raced, reset } => {
                let unanswered = Unanswered { at: *at, close_raced: *close_raced, reset: *reset };
                self.update_request(id, |request| request.unanswered = Some(unanswered));
            }
            Record::Attempt { id, server, at, deadline_sent } => {
                let attempt = Attempt {
                    server: *server,
                    at: *at,
                    deadline_sent: *deadline_sent,
                    received_at: None,
                    reply: None,
                    ended: None,
                };
                self.attempts.entry(id.clone()).or_default().push(attempt);
            }
            Record::AnswerEnded { id, at, end, last, slow } => {
                let ended = EndedAnswer { at: *at, end: *end, last: *last, slow: *slow };
                self.update_request(id, |request| request.ended = Some(ended));
            }
            Record::ReplyEnded { id, server, at, end, last } => {
                let ended = EndedReply { at: *at, end: *end, last: *last };
                self.update_last_attempt(id, *server, |attempt| attempt.ended = Some(ended));
            }
            Record::FillDescriptors { node, from, to } => self.descriptor_fills.push((*node, *from, *to)),
            Record::Term { process, at, .. } => self.sigterms.push((*process, *at)),
            Record::RequestComplete { id, server, at } => {
                self.update_last_attempt(id, *server, |attempt| attempt.received_at = Some(*at))
            }
            Record::Reply { id, server, at, never_ran } => {
                self.update_last_attempt(id, *server, |attempt| attempt.reply = Some((*at, *never_ran)));
            }
            Record::ListSent { subscriber, version, at, .. } => {
                self.lists_sent.entry(*subscriber).or_default().push((*version, *at))
            }
            Record::Watch { subscriber, open, at } => {
                self.watches.entry(*subscriber).or_default().push((*open, *at))
            }
            Record::Change { version, server, lifecycle, at } => {
                self.changes.push((*version, *server, *lifecycle, *at));
            }
            Record::Discovery { mode, at } => self.modes.push((*mode, *at)),
            Record::Start { node, process, subscriber, at } => {
                let lifetime = ProcessLifetime {
                    node: *node,
                    subscriber: *subscriber,
                    process: *process,
                    start: *at,
                    end: f64::INFINITY,
                };
                self.lifetimes.push(lifetime);
            }
            Record::Exit { process, at, by_itself, code, node } => {
                self.add_exit(*node, *process, *at, *by_itself, *code)
            }
            Record::Kill { node, process, at } => {
                let term_at =
                    self.sigterms.iter().find(|(terminated, _)| terminated == process).map(|(_, at)| *at);
                self.kills.push(Kill { node: *node, at: *at, term_at });
                self.end_lifetime(*process, *at);
            }
            Record::Stop { node, from, to } => self.pauses.push((*node, *from, *to)),
            Record::Reloaded { node, grace, at } => self.drain_graces.push((*node, *grace, *at)),
            Record::ServerStart { server, at } => self.server_starts.push((*server, *at)),
            Record::Stalled { node, at, ended } => self.stalled.push((*node, *at, *ended)),
            Record::Operator { node, process, call, at, status } => {
                let call =
                    OperatorRequest { node: *node, process: *process, call: *call, at: *at, status: *status };
                self.operator_calls.push(call);
            }
            Record::Idle { node, process, at, open } => {
                self.idle.push(IdleConnections { node: *node, process: *process, at: *at, open: *open });
            }
            Record::Up { node, process, at, status } => {
                self.up_answers.push(UpAnswer { node: *node, process: *process, at: *at, status: *status });
            }
            Record::Ran { .. }
            | Record::Probe { .. }
            | Record::Moved { .. }
            | Record::Memory { .. }
            | Record::ServerKill { .. } => {}
        }
    }

    pub(super) fn add_exit(
        &mut self,
        node: usize,
        process: u32,
        at: f64,
        by_itself: bool,
        code: Option<i32>,
    ) {
        self.end_lifetime(process, at);
        if by_itself {
            let description = format!("process {process} of node {node} ended by itself, code {code:?}");
            self.crashes.push(Break { rule: Rule::Crash, at, description });
        }
    }

    pub(super) fn end_lifetime(&mut self, process: u32, at: f64) {
        let lifetimes = self.lifetimes.iter_mut().filter(|lifetime| lifetime.process == process);
        lifetimes.for_each(|lifetime| lifetime.end = lifetime.end.min(at));
    }

    pub(super) fn update_request(&mut self, id: &str, change: impl FnOnce(&mut Request)) {
        self.requests.get_mut(id).map(change);
    }

    pub(super) fn update_last_attempt(&mut self, id: &str, server: usize, change: impl FnOnce(&mut Attempt)) {
        let attempts = self.attempts.get_mut(id).into_iter().flatten();
        attempts.filter(|attempt| attempt.server == server).last().map(change);
    }

    /// Whether a node has or may have read the request. Of requests that were sent in one write, a node may have read all as soon as
    /// it has begun any. But a kernel resets a connection only for unread bytes, and answers come in order: so after a reset the
    /// request may have been read only if it may be the next to be answered.
    pub(super) fn may_have_been_read(&self, id: &str, request: &Request, reset: bool) -> bool {
        let pipeline = request.pipeline.as_ref().filter(|pipeline| pipeline.single_write);
        let written_together =
            pipeline.and_then(|pipeline| self.pipelines.get(&pipeline.first)).map_or(&[][..], Vec::as_slice);
        let is_begun = |id: &String| {
            let is_answered = self.requests.get(id).is_some_and(|request| request.answer.is_some());
            is_answered || self.attempts.contains_key(id)
        };
        let may_be_read = if reset {
            // The first on a new connection is like a single request: only an attempt shows that it was read.
            let is_first = written_together.first().is_some_and(|first| first == id);
            !(is_first && request.new_connection) && self.may_be_next(id, written_together)
        } else {
            written_together.iter().any(is_begun)
        };
        self.attempts.contains_key(id) || may_be_read
    }

    /// Whether it may be the first of these requests, sent in one write, that has no complete answer.
    fn may_be_next(&self, id: &str, written_together: &[String]) -> bool {
        let Some(index) = written_together.iter().position(|other| other == id) else { return false };
        let is_whole = |request: &Request| {
            request.answer.is_some() && request.ended.is_none_or(|ended| ended.end == AnswerEnd::Complete)
        };
        let is_answered = |id: &String| self.requests.get(id).is_some_and(is_whole);
        index.checked_sub(1).is_none_or(|ahead| is_answered(&written_together[ahead]))
    }

    /// Whether a request that is pipelined behind this one is within its deadline at that time.
    pub(super) fn has_pending_behind(&self, id: &str, at: f64) -> bool {
        let others = self.pipelines.get(id).into_iter().flatten().filter(|other| *other != id);
        others
            .filter_map(|other| self.requests.get(other))
            .any(|behind| (behind.at..=behind.at + behind.deadline + SLACK_MS).contains(&at))
    }

    /// How long the node was paused within a span.
    pub(super) fn paused_ms(&self, node: usize, from: f64, to: f64) -> f64 {
        let within = |(_, begun, ended): &(usize, f64, f64)| (ended.min(to) - begun.max(from)).max(0.0);
        self.pauses.iter().filter(|(paused, ..)| *paused == node).map(within).sum()
    }

    /// When a node has run for `span` since `from`, not counting its pauses.
    pub(super) fn due_while_running(&self, node: usize, from: f64, span: f64) -> f64 {
        let mut due = from + span;
        for (paused, begun, ended) in &self.pauses {
            if *paused == node && *ended > from && *begun < due {
                due += ended - begun.max(from);
            }
        }
        due
    }

    /// Whether no process of the node served at that time. Clients can connect all the same to a listener that outlives its
    /// processes, and the next process can't know how long they have waited.
    pub(super) fn is_unserved(&self, node: usize, at: f64) -> bool {
        let serves = |lifetime: &&ProcessLifetime| {
            lifetime.node == node && (lifetime.start + STARTUP_MS..lifetime.end).contains(&at)
        };
        self.lifetimes.iter().find(serves).is_none()
    }

    /// Whether the process ran during all of that time.
    pub(super) fn is_running(&self, process: u32, from: f64, to: f64) -> bool {
        self.lifetimes
            .iter()
            .any(|lifetime| lifetime.process == process && lifetime.start <= from && to <= lifetime.end)
    }

    /// Whether the process had got SIGTERM by then.
    pub(super) fn had_sigterm(&self, process: u32, by: f64) -> bool {
        self.sigterms.iter().any(|(terminated, at)| *terminated == process && *at <= by)
    }

    /// Whether no other process of the node ran at that time.
    pub(super) fn is_only_process(&self, node: usize, process: u32, at: f64) -> bool {
        let other = |lifetime: &&ProcessLifetime| lifetime.node == node && lifetime.process != process;
        !self.lifetimes.iter().filter(other).any(|lifetime| (lifetime.start..=lifetime.end).contains(&at))
    }

    /// Whether a process of the node was killed in that time, which excuses missing answers. It does not excuse them where the
    /// process had all its time since SIGTERM: it has to have answered by then.
    pub(super) fn was_killed(&self, node: usize, from: f64, to: f64) -> bool {
        self.kills.iter().any(|kill| {
            let had_time = kill.term_at.is_some_and(|term_at| {
                kill.at - term_at >= self.termination_ms && self.paused_ms(node, term_at, kill.at) == 0.0
            });
            kill.node == node && (from..=to).contains(&kill.at) && !had_time
        })
    }

    /// Whether a process of the node was killed in that time. One that exits by itself has to end its answers before.
    pub(super) fn is_killed(&self, node: usize, from: f64, to: f64) -> bool {
        self.kills.iter().any(|kill| kill.node == node && (from..=to).contains(&kill.at))
    }

    /// Whether clients use up its descriptors, or did so shortly before.
    pub(super) fn has_full_descriptors(&self, node: usize, at: f64) -> bool {
        let within = |(_, from, to): &(usize, f64, f64)| (*from..to + DESCRIPTORS_RECOVER_MS).contains(&at);
        self.descriptor_fills.iter().any(|fill| fill.0 == node && within(fill))
    }

    /// The end of the first span of this length, from `from` on, in which discovery could be reached throughout; infinite if there
    /// is none.
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

    /// When a process counts as knowing a change of the list.
    pub(super) fn known_at(&self, lifetime: &ProcessLifetime, version: u64, at: f64, pushed: bool) -> f64 {
        let written = self.lists_sent.get(&lifetime.subscriber).into_iter().flatten();
        let written =
            written.filter(|(sent, _)| *sent >= version).map(|(_, at)| *at).fold(f64::INFINITY, f64::min);
        let latest = self.reachable_for(at.max(lifetime.start), LIST_PROPAGATION_MS);
        let first_watch_gap = if pushed { self.first_watch_gap(lifetime, at) } else { f64::INFINITY };
        written.min(latest).min(first_watch_gap)
    }

    /// The first time from then on at which the process has no connection to discovery although that can be reached.
    pub(super) fn first_watch_gap(&self, lifetime: &ProcessLifetime, at: f64) -> f64 {
        let mut open_connections = 0;
        let mut none_since = Some(lifetime.start);
        for (open, when) in self.watches.get(&lifetime.subscriber).into_iter().flatten() {
            if let Some(since) = none_since {
                let first = self.reachable_for(since.max(at), WATCH_CLOSE_LAG_MS);
                if first < *when {
                    return first;
                }
            }
            open_connections += if *open { 1 } else { -1 };
            none_since = (open_connections == 0).then_some(*when);
        }
        none_since.map_or(f64::INFINITY, |since| self.reachable_for(since.max(at), WATCH_CLOSE_LAG_MS))
    }

    /// The drain grace that a node is checked against at that time: a change takes effect within a second, and until then the longer
    /// grace counts.
    pub(super) fn drain_grace(&self, fleet: &Fleet, node: usize, at: f64) -> f64 {
        let own: Vec<_> =
            self.drain_graces.iter().filter(|(reloaded, _, when)| *reloaded == node && *when <= at).collect();
        let recent = own.iter().rev().take_while(|(_, _, when)| at - when < 1000.0);
        let before = own.iter().rev().find(|(_, _, when)| at - when >= 1000.0);
        let before = before.map_or(fleet.grace, |(_, value, _)| *value);
        recent.map(|(_, value, _)| *value).fold(before, f64::max)
    }
}
