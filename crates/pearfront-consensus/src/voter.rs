//! `Voter`: the state of one voter, its inputs, and what waits for the disk. The rest of it is in `election`,
//! `replication` and `recovery`.

use crate::message::{Body, Entry, LogPosition, Message, Record};
use crate::recovery::Recovery;
use crate::times::Times;
use rand::prelude::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// What a voter had stored on disk.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PersistentState {
    pub term: u64,
    pub voted_for: Option<String>,
    /// Index, term and bytes.
    pub snapshot: Option<(u64, u64, Vec<u8>)>,
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// The shortest list of records that restores this state.
    pub fn into_records(self) -> Vec<Record> {
        let Self { term, voted_for, snapshot, entries } = self;
        let mut all = vec![Record::Term { term, voted_for }];
        all.extend(snapshot.map(|(index, term, bytes)| Record::Snapshot { index, term, bytes }));
        all.extend(entries.into_iter().map(Record::Entry));
        all
    }
}

/// Replays stored records in their order.
pub fn recover(records: impl IntoIterator<Item = Record>) -> PersistentState {
    let mut stored_state = PersistentState::default();
    for record in records {
        match record {
            Record::Term { term, voted_for } => {
                (stored_state.term, stored_state.voted_for) = (term, voted_for)
            }
            Record::Entry(entry) => stored_state.entries.push(entry),
            Record::Truncate { from } => stored_state.entries.retain(|entry| entry.index < from),
            Record::Snapshot { index, term, bytes } => {
                stored_state.entries.retain(|entry| entry.index > index);
                stored_state.snapshot = Some((index, term, bytes));
            }
        }
    }
    stored_state
}

/// Role of a voter in its current term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Follower,
    /// Runs a pre-vote.
    PreCandidate,
    Candidate,
    Leader,
}

/// What the caller has to do, in this order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Store and sync these records, then call `on_stored` with this number. Numbers rise by one.
    Store {
        number: u64,
        records: Vec<Record>,
    },
    Send(Message),
    /// Entry that is committed; each comes once and in order, apart from those covered by a snapshot.
    Commit(Entry),
    /// State up to `index`; replaces everything applied so far.
    Restore {
        index: u64,
        bytes: Rc<Vec<u8>>,
    },
    /// The read may be answered once everything up to `index` is applied.
    ReadReady {
        read_id: u64,
        index: u64,
    },
    /// The read can't be answered by this voter.
    ReadFailed {
        read_id: u64,
    },
}

/// A leader's view of one follower.
#[derive(Debug, Clone, Default)]
pub(crate) struct Progress {
    /// Highest index known to be stored on the follower.
    pub match_index: u64,
    /// Next index to send.
    pub next_index: u64,
    /// When it last responded, and the highest round that it acknowledged.
    pub last_response_at: f64,
    pub acked_round: u64,
    /// Index of the snapshot being sent, and the next byte of it.
    pub snapshot_offset: Option<(u64, u64)>,
}

/// A linearizable read that waits for a majority to acknowledge its round.
#[derive(Debug, Clone)]
pub(crate) struct PendingRead {
    pub id: u64,
    pub index: u64,
    pub round: u64,
}

/// One voter of the replicated log.
#[derive(Clone)]
pub struct Voter {
    pub(crate) own_name: String,
    pub(crate) peers: Vec<String>,
    pub(crate) times: Times,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) term: u64,
    pub(crate) voted_for: Option<String>,
    pub(crate) log: VecDeque<Entry>,
    /// Last entry covered by the snapshot; the log begins after it.
    pub(crate) snapshot_position: LogPosition,
    pub(crate) snapshot: Option<Rc<Vec<u8>>>,
    pub(crate) commit_index: u64,
    pub(crate) role: Role,
    pub(crate) leader: Option<String>,
    /// When a leader was last heard, and when the election time-out expires.
    pub(crate) leader_heard_at: f64,
    pub(crate) election_at: f64,
    pub(crate) votes: BTreeSet<String>,
    pub(crate) heartbeat_at: f64,
    pub(crate) round: u64,
    pub(crate) followers: BTreeMap<String, Progress>,
    pub(crate) pending_reads: Vec<PendingRead>,
    pub(crate) recovery: Recovery,
    /// Snapshot being received, by its last included position.
    pub(crate) incoming_snapshot: Option<(LogPosition, Vec<u8>)>,
    actions: Vec<Action>,
    unstored_records: Vec<Record>,
    /// Number of the last group of records handed out for storing, and of the last that is synced.
    last_group: u64,
    synced_group: u64,
    /// Messages that may only be sent once the given group is synced.
    held_messages: VecDeque<(u64, Message)>,
    /// Last entry index per group that is not synced yet.
    unsynced_entries: VecDeque<(u64, u64)>,
    pub(crate) own_match_index: u64,
}

impl Voter {
    /// Creates a voter from its stored state. It takes part in votes only after the others have reported how
    /// far their logs go (see `recovery`).
    pub fn new(
        own_name: &str,
        voters: &[String],
        stored_state: PersistentState,
        times: Times,
        seed: u64,
        now: f64,
    ) -> Self {
        let started_empty = stored_state == PersistentState::default();
        let snapshot_position = stored_state
            .snapshot
            .as_ref()
            .map_or(LogPosition::default(), |(index, term, _)| LogPosition { term: *term, index: *index });
        let peers = voters.iter().filter(|name| *name != own_name).cloned().collect();
        let mut voter = Self {
            own_name: own_name.into(),
            peers,
            times,
            rng: ChaCha8Rng::seed_from_u64(seed),
            term: stored_state.term,
            voted_for: stored_state.voted_for,
            log: stored_state.entries.into(),
            snapshot_position,
            snapshot: stored_state.snapshot.map(|(.., bytes)| Rc::new(bytes)),
            commit_index: snapshot_position.index,
            role: Role::Follower,
            leader: None,
            leader_heard_at: f64::NEG_INFINITY,
            election_at: now,
            votes: BTreeSet::new(),
            heartbeat_at: f64::INFINITY,
            round: 0,
            followers: BTreeMap::new(),
            pending_reads: Vec::new(),
            recovery: Recovery::new(started_empty, voters.len() / 2 + 1, now),
            incoming_snapshot: None,
            actions: Vec::new(),
            unstored_records: Vec::new(),
            last_group: 0,
            synced_group: 0,
            held_messages: VecDeque::new(),
            unsynced_entries: VecDeque::new(),
            own_match_index: 0,
        };
        voter.own_match_index = voter.last_position().index;
        if let Some(bytes) = voter.snapshot.clone() {
            voter.actions.push(Action::Restore { index: snapshot_position.index, bytes });
        }
        voter.reset_election_timer(now);
        voter
    }

    // ---- state ----

    /// Its role in the current term.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The current leader, if it is known here.
    pub fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    /// Highest index known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// May this voter become a candidate? Not before the others have reported their positions, nor while its
    /// own log is shorter.
    pub fn may_stand(&self) -> bool {
        self.recovery.allows_vote(self.last_position(), self.term + 1)
    }

    /// Does it lead, and has it committed an entry in its own term? Only then does it know of all committed
    /// entries.
    pub fn has_committed_in_term(&self) -> bool {
        self.role == Role::Leader
            && self.position_of(self.commit_index).is_some_and(|position| position.term == self.term)
    }

    /// Index of the last log entry.
    pub fn last_index(&self) -> u64 {
        self.last_position().index
    }

    pub(crate) fn majority(&self) -> usize {
        self.peers.len().div_ceil(2) + 1
    }

    pub(crate) fn last_position(&self) -> LogPosition {
        self.log
            .back()
            .map_or(self.snapshot_position, |entry| LogPosition { term: entry.term, index: entry.index })
    }

    /// Position of the entry with that index, if it is in the log or the last one in the snapshot.
    pub(crate) fn position_of(&self, index: u64) -> Option<LogPosition> {
        if index == self.snapshot_position.index {
            return Some(self.snapshot_position);
        }
        let entry =
            self.log.get(usize::try_from(index.checked_sub(self.snapshot_position.index + 1)?).ok()?)?;
        Some(LogPosition { term: entry.term, index })
    }

    /// Everything that determines this voter's future behaviour apart from randomness, with times relative to
    /// `now`. Exhaustive checks use it to recognize equal states.
    pub fn fingerprint(&self, now: f64) -> String {
        let heartbeats_since = |since: f64| ((now - since) / self.times.heartbeat).min(1000.0) as i64;
        let followers: Vec<_> = self
            .followers
            .iter()
            .map(|(name, one)| {
                (
                    name,
                    one.match_index,
                    one.next_index,
                    one.acked_round,
                    one.snapshot_offset,
                    heartbeats_since(one.last_response_at),
                )
            })
            .collect();
        let own =
            (self.term, &self.voted_for, self.role, &self.leader, self.commit_index, self.hears_leader(now));
        let log = (
            &self.log,
            self.snapshot_position,
            self.own_match_index,
            &self.votes,
            self.round,
            &self.pending_reads,
        );
        let disk = (
            self.last_group,
            self.synced_group,
            &self.held_messages,
            &self.unsynced_entries,
            &self.unstored_records,
            &self.incoming_snapshot,
        );
        format!("{own:?}{log:?}{followers:?}{disk:?}{:?}", self.recovery)
    }

    /// Latest time at which `tick` must be called, ms.
    pub fn due(&self) -> f64 {
        let heartbeat = if self.role == Role::Leader { self.heartbeat_at } else { f64::INFINITY };
        heartbeat.min(self.election_at).min(self.recovery.due())
    }

    /// Takes the actions that are pending; the caller has to carry them out.
    pub fn take_actions(&mut self) -> Vec<Action> {
        if !self.unstored_records.is_empty() {
            let records = std::mem::take(&mut self.unstored_records);
            self.last_group += 1;
            self.actions.push(Action::Store { number: self.last_group, records });
        }
        std::mem::take(&mut self.actions)
    }

    // ---- inputs ----

    /// Runs the timers that have expired.
    pub fn tick(&mut self, now: f64) {
        self.request_status(now);
        if self.role == Role::Leader {
            self.tick_leader(now);
        } else if now >= self.election_at {
            self.start_pre_vote(now);
        }
    }

    /// That voter's process has ended, by proof. If it led, the election need not wait for the time-out. Timing
    /// only affects when a voter becomes a candidate, so a wrong proof would cost one election and no safety.
    pub fn process_ended(&mut self, name: &str, now: f64) {
        if self.leader.as_deref() == Some(name) && self.role != Role::Leader {
            self.leader = None;
            self.leader_heard_at = f64::NEG_INFINITY;
            self.election_at = now + self.times.heartbeat * self.rng.random::<f64>();
        }
    }

    /// Group `number` of records is stored and synced.
    pub fn on_stored(&mut self, number: u64, now: f64) {
        self.synced_group = self.synced_group.max(number);
        while let Some((_, index)) =
            self.unsynced_entries.front().filter(|(group, _)| *group <= self.synced_group)
        {
            // The log may have been truncated since.
            self.own_match_index = (*index).min(self.last_position().index);
            self.unsynced_entries.pop_front();
        }
        while self.held_messages.front().is_some_and(|(group, _)| *group <= self.synced_group) {
            if let Some((_, message)) = self.held_messages.pop_front() {
                self.actions.push(Action::Send(message));
            }
        }
        if self.role == Role::Leader {
            self.advance_commit(now);
        }
    }

    /// Handles a message. Messages of processes that are not voters of this installation are dropped.
    pub fn receive(&mut self, message: Message, now: f64) {
        if message.to != self.own_name || !self.peers.contains(&message.from) {
            return;
        }
        let Message { from, term, body, .. } = message;
        let is_query =
            matches!(body, Body::PreVoteRequest { .. } | Body::PreVoteResponse { .. } | Body::StatusRequest);
        // The term of a status response is adopted, so that a later candidacy is above it. Pre-vote messages
        // name a term that nobody has entered yet. A voter that hears a leader ignores vote requests, or a
        // voter returning from a partition would depose the leader.
        let ignored = matches!(body, Body::VoteRequest { .. }) && self.hears_leader(now);
        if term > self.term && !is_query && !ignored {
            self.become_follower(term, None, now);
        }
        match body {
            Body::PreVoteRequest { last } => self.on_pre_vote_request(&from, term, last, now),
            Body::PreVoteResponse { granted } => self.on_pre_vote_response(&from, granted, term, now),
            Body::StatusRequest => self.on_status_request(&from),
            Body::StatusResponse { last, empty } => self.on_status_response(&from, term, last, empty),
            Body::VoteRequest { last } => self.on_vote_request(&from, term, last, now),
            // All other messages are only valid in the current term.
            _ if term < self.term => self.reject_stale_term(&from, &body),
            Body::VoteResponse { granted } => self.on_vote_response(&from, granted, now),
            Body::AppendRequest { previous, entries, leader_commit, committed_in_term, round } => {
                self.become_follower(term, Some(from.clone()), now);
                self.on_append_request(&from, previous, entries, (leader_commit, committed_in_term), round);
            }
            Body::SnapshotChunk { last_included, offset, total_bytes, bytes, round } => {
                self.become_follower(term, Some(from.clone()), now);
                self.on_snapshot_chunk(&from, last_included, (offset, total_bytes), &bytes, round);
            }
            Body::AppendResponse { accepted, index, round } => {
                self.on_append_response(&from, accepted, index, round, now)
            }
            Body::SnapshotChunkResponse { index, next_offset, round } => {
                self.on_snapshot_chunk_response(&from, index, next_offset, round, now)
            }
        }
    }

    /// Informs a leader of an earlier term about the current one.
    fn reject_stale_term(&mut self, from: &str, body: &Body) {
        match body {
            Body::AppendRequest { round, .. } => {
                self.send(from, Body::AppendResponse { accepted: false, index: 0, round: *round })
            }
            Body::SnapshotChunk { round, .. } => {
                self.send(from, Body::SnapshotChunkResponse { index: 0, next_offset: 0, round: *round })
            }
            _ => {}
        }
    }

    // ---- transitions ----

    /// Becomes a follower in that term, of that leader if it is known.
    pub(crate) fn become_follower(&mut self, term: u64, leader: Option<String>, now: f64) {
        if term > self.term {
            self.set_term(term, None);
        }
        if self.role == Role::Leader || self.role == Role::Candidate || self.role == Role::PreCandidate {
            self.role = Role::Follower;
            self.votes.clear();
            let reads = std::mem::take(&mut self.pending_reads);
            self.actions.extend(reads.into_iter().map(|read| Action::ReadFailed { read_id: read.id }));
            self.reset_election_timer(now);
        }
        if leader.is_some() {
            self.leader_heard_at = now;
            self.reset_election_timer(now);
        }
        self.leader = leader;
    }

    pub(crate) fn set_term(&mut self, term: u64, voted_for: Option<String>) {
        self.term = term;
        self.voted_for.clone_from(&voted_for);
        // Promises made in an earlier term have no effect any more.
        self.held_messages.retain(|(_, message)| message.term >= term);
        self.unstored_records.push(Record::Term { term, voted_for });
    }

    pub(crate) fn hears_leader(&self, now: f64) -> bool {
        self.role == Role::Leader || now - self.leader_heard_at < self.times.election
    }

    pub(crate) fn reset_election_timer(&mut self, now: f64) {
        self.election_at = now + self.times.election * (1.0 + self.rng.random::<f64>());
    }

    // ---- log ----

    pub(crate) fn append_entry(&mut self, entry: Entry) {
        self.unstored_records.push(Record::Entry(entry.clone()));
        let number = self.last_group + 1;
        match self.unsynced_entries.back_mut().filter(|(group, _)| *group == number) {
            Some((_, index)) => *index = entry.index,
            None => self.unsynced_entries.push_back((number, entry.index)),
        }
        self.log.push_back(entry);
    }

    /// Removes all entries from this index on.
    pub(crate) fn truncate_log(&mut self, from: u64) {
        self.unstored_records.push(Record::Truncate { from });
        while self.log.back().is_some_and(|entry| entry.index >= from) {
            self.log.pop_back();
        }
        self.own_match_index = self.own_match_index.min(from - 1);
        self.unsynced_entries.iter_mut().for_each(|(_, index)| *index = (*index).min(from - 1));
    }

    pub(crate) fn commit_to(&mut self, index: u64) {
        let index = index.min(self.last_position().index);
        while self.commit_index < index {
            self.commit_index += 1;
            let position = (self.commit_index - self.snapshot_position.index - 1) as usize;
            if let Some(entry) = self.log.get(position) {
                self.actions.push(Action::Commit(entry.clone()));
            }
        }
    }

    /// Replaces the log up to `index`, which has to be committed, by a snapshot of the applied state.
    pub fn compact(&mut self, index: u64, bytes: Vec<u8>) {
        let Some(position) = self
            .position_of(index)
            .filter(|_| index > self.snapshot_position.index && index <= self.commit_index)
        else {
            return;
        };
        self.install_snapshot(position, bytes);
    }

    pub(crate) fn install_snapshot(&mut self, position: LogPosition, bytes: Vec<u8>) {
        self.unstored_records.push(Record::Snapshot {
            index: position.index,
            term: position.term,
            bytes: bytes.clone(),
        });
        while self.log.front().is_some_and(|entry| entry.index <= position.index) {
            self.log.pop_front();
        }
        self.snapshot_position = position;
        self.snapshot = Some(Rc::new(bytes));
    }

    pub(crate) fn push_restore(&mut self, bytes: Rc<Vec<u8>>) {
        self.commit_index = self.snapshot_position.index;
        self.actions.push(Action::Restore { index: self.snapshot_position.index, bytes });
    }

    // ---- sending ----

    pub(crate) fn message(&self, to: &str, body: Body) -> Message {
        Message { from: self.own_name.clone(), to: to.into(), term: self.term, body }
    }

    pub(crate) fn send(&mut self, to: &str, body: Body) {
        let message = self.message(to, body);
        self.actions.push(Action::Send(message));
    }

    /// Sends the message once everything written so far is synced, as it promises that this is durable.
    pub(crate) fn send_once_synced(&mut self, to: &str, body: Body) {
        let message = self.message(to, body);
        let group = if self.unstored_records.is_empty() { self.last_group } else { self.last_group + 1 };
        if group <= self.synced_group {
            self.actions.push(Action::Send(message))
        } else {
            self.held_messages.push_back((group, message))
        }
    }

    pub(crate) fn push_action(&mut self, out: Action) {
        self.actions.push(out);
    }
}
