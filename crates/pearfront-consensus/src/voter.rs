//! One voter: its state, what comes in, and what waits for the disk.

use crate::message::{Body, Entry, Message, Place, Record};
use crate::proof::Proof;
use crate::times::Times;
use rand::prelude::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// What a voter had on disk.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PersistentState {
    pub term: u64,
    pub voted_for: Option<String>,
    pub snapshot: Option<(u64, u64, Vec<u8>)>,
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// As few records as bring it back.
    pub fn into_records(self) -> Vec<Record> {
        let Self { term, voted_for, snapshot, entries } = self;
        let mut all = vec![Record::Term { term, voted_for }];
        all.extend(snapshot.map(|(index, term, bytes)| Record::Snapshot { index, term, bytes }));
        all.extend(entries.into_iter().map(Record::Entry));
        all
    }
}

/// Puts records together again, in their order.
pub fn recover(records: impl IntoIterator<Item = Record>) -> PersistentState {
    let mut kept = PersistentState::default();
    for record in records {
        match record {
            Record::Term { term, voted_for } => (kept.term, kept.voted_for) = (term, voted_for),
            Record::Entry(entry) => kept.entries.push(entry),
            Record::Truncate { from } => kept.entries.retain(|entry| entry.index < from),
            Record::Snapshot { index, term, bytes } => {
                kept.entries.retain(|entry| entry.index > index);
                kept.snapshot = Some((index, term, bytes));
            }
        }
    }
    kept
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Follower,
    /// Asks whether it could be elected.
    PreCandidate,
    Candidate,
    Leader,
}

/// What is to be done outside, in this order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Store and sync these; then `stored` with this number. Numbers rise by one.
    Store {
        number: u64,
        records: Vec<Record>,
    },
    Send(Message),
    /// Committed, in order and once, but for what a snapshot brings.
    Commit(Entry),
    /// Everything up to there is in this; it takes the place of what was applied.
    Restore {
        index: u64,
        bytes: Rc<Vec<u8>>,
    },
    /// That read may be answered once everything up to there is applied.
    ReadReady {
        read_id: u64,
        index: u64,
    },
    /// That read can't be answered here.
    ReadFailed {
        read_id: u64,
    },
}

/// A leader's knowledge of one other.
#[derive(Debug, Clone, Default)]
pub(crate) struct Other {
    /// All up to there is stored there.
    pub stored: u64,
    /// The next that is sent.
    pub next: u64,
    /// When it last answered, and to which round.
    pub heard: f64,
    pub round: u64,
    /// Next byte of the snapshot that it is sent, if it is.
    pub piece: Option<(u64, u64)>,
}

#[derive(Debug, Clone)]
pub(crate) struct PendingRead {
    pub id: u64,
    pub index: u64,
    pub round: u64,
}

#[derive(Clone)]
pub struct Voter {
    pub(crate) me: String,
    pub(crate) others: Vec<String>,
    pub(crate) times: Times,
    pub(crate) chance: ChaCha8Rng,
    pub(crate) term: u64,
    pub(crate) voted_for: Option<String>,
    pub(crate) log: VecDeque<Entry>,
    /// The last entry that is in the snapshot, and not in the log.
    pub(crate) base: Place,
    pub(crate) snapshot: Option<Rc<Vec<u8>>>,
    pub(crate) commit: u64,
    pub(crate) role: Role,
    pub(crate) leader: Option<String>,
    /// When a leader was last heard, and when to stand if none is.
    pub(crate) heard: f64,
    pub(crate) stand_at: f64,
    pub(crate) votes: BTreeSet<String>,
    pub(crate) beat_at: f64,
    pub(crate) round: u64,
    pub(crate) known: BTreeMap<String, Other>,
    pub(crate) reads: Vec<PendingRead>,
    pub(crate) proof: Proof,
    /// Snapshot that comes in, by its last index.
    pub(crate) coming: Option<(Place, Vec<u8>)>,
    out: Vec<Action>,
    writing: Vec<Record>,
    /// Number of the last group given out to be stored, and of the last that is.
    written: u64,
    stored: u64,
    /// Messages that are true only once that group is stored.
    held: VecDeque<(u64, Message)>,
    /// Last entries by the group that brings them; what of the log is stored.
    brought: VecDeque<(u64, u64)>,
    pub(crate) own_stored: u64,
}

impl Voter {
    /// A voter as its disk had it. It takes part in votes only after the others have told what they know of it.
    pub fn new(
        me: &str,
        voters: &[String],
        kept: PersistentState,
        times: Times,
        seed: u64,
        now: f64,
    ) -> Self {
        let fresh = kept == PersistentState::default();
        let base = kept
            .snapshot
            .as_ref()
            .map_or(Place::default(), |(index, term, _)| Place { term: *term, index: *index });
        let others = voters.iter().filter(|name| *name != me).cloned().collect();
        let mut voter = Self {
            me: me.into(),
            others,
            times,
            chance: ChaCha8Rng::seed_from_u64(seed),
            term: kept.term,
            voted_for: kept.voted_for,
            log: kept.entries.into(),
            base,
            snapshot: kept.snapshot.map(|(.., bytes)| Rc::new(bytes)),
            commit: base.index,
            role: Role::Follower,
            leader: None,
            heard: f64::NEG_INFINITY,
            stand_at: now,
            votes: BTreeSet::new(),
            beat_at: f64::INFINITY,
            round: 0,
            known: BTreeMap::new(),
            reads: Vec::new(),
            proof: Proof::new(fresh, voters.len() / 2 + 1, now),
            coming: None,
            out: Vec::new(),
            writing: Vec::new(),
            written: 0,
            stored: 0,
            held: VecDeque::new(),
            brought: VecDeque::new(),
            own_stored: 0,
        };
        voter.own_stored = voter.last().index;
        if let Some(bytes) = voter.snapshot.clone() {
            voter.out.push(Action::Restore { index: base.index, bytes });
        }
        voter.stand_later(now);
        voter
    }

    // ---- what may be read ----

    pub fn role(&self) -> Role {
        self.role
    }

    pub fn term(&self) -> u64 {
        self.term
    }

    /// Who leads, as far as is known here.
    pub fn leader(&self) -> Option<&str> {
        self.leader.as_deref()
    }

    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// May it stand? Not before the others have told how far they are, nor while it has less.
    pub fn may_stand(&self) -> bool {
        self.proof.allows(self.last(), self.term + 1)
    }

    /// Does it lead, and has it committed in its own term? Then it has all that was ever committed.
    pub fn has_committed_in_term(&self) -> bool {
        self.role == Role::Leader && self.place(self.commit).is_some_and(|place| place.term == self.term)
    }

    /// Index of its last entry.
    pub fn last_index(&self) -> u64 {
        self.last().index
    }

    pub(crate) fn majority(&self) -> usize {
        self.others.len().div_ceil(2) + 1
    }

    pub(crate) fn last(&self) -> Place {
        self.log.back().map_or(self.base, |entry| Place { term: entry.term, index: entry.index })
    }

    /// The place of that index, if it is in the log or the last of the snapshot.
    pub(crate) fn place(&self, index: u64) -> Option<Place> {
        if index == self.base.index {
            return Some(self.base);
        }
        let entry = self.log.get(usize::try_from(index.checked_sub(self.base.index + 1)?).ok()?)?;
        Some(Place { term: entry.term, index })
    }

    /// Everything that decides what it does next, times as they are to now: two voters with the same do the same but for
    /// chance. For checks that go through all that may happen.
    pub fn fingerprint(&self, now: f64) -> String {
        let beats = |since: f64| ((now - since) / self.times.heartbeat).min(1000.0) as i64;
        let known: Vec<_> = self
            .known
            .iter()
            .map(|(name, one)| (name, one.stored, one.next, one.round, one.piece, beats(one.heard)))
            .collect();
        let own = (self.term, &self.voted_for, self.role, &self.leader, self.commit, self.hears_leader(now));
        let log = (&self.log, self.base, self.own_stored, &self.votes, self.round, &self.reads);
        let disk = (self.written, self.stored, &self.held, &self.brought, &self.writing, &self.coming);
        format!("{own:?}{log:?}{known:?}{disk:?}{:?}", self.proof)
    }

    /// When it wants to be called at the latest, ms.
    pub fn due(&self) -> f64 {
        let heartbeat = if self.role == Role::Leader { self.beat_at } else { f64::INFINITY };
        heartbeat.min(self.stand_at).min(self.proof.due())
    }

    /// What has to be done outside now.
    pub fn take_actions(&mut self) -> Vec<Action> {
        if !self.writing.is_empty() {
            let records = std::mem::take(&mut self.writing);
            self.written += 1;
            self.out.push(Action::Store { number: self.written, records });
        }
        std::mem::take(&mut self.out)
    }

    // ---- what comes in ----

    pub fn tick(&mut self, now: f64) {
        self.prove(now);
        if self.role == Role::Leader {
            self.lead(now);
        } else if now >= self.stand_at {
            self.stand(now);
        }
    }

    /// That voter's process has ended, for certain: if it led nobody has to wait for it. Times decide nothing but when
    /// somebody stands, so a proof that were none would cost an election and no more.
    pub fn process_ended(&mut self, name: &str, now: f64) {
        if self.leader.as_deref() == Some(name) && self.role != Role::Leader {
            self.leader = None;
            self.heard = f64::NEG_INFINITY;
            self.stand_at = now + self.times.heartbeat * self.chance.random::<f64>();
        }
    }

    /// A group of records is stored and synced.
    pub fn on_stored(&mut self, number: u64, now: f64) {
        self.stored = self.stored.max(number);
        while let Some((_, index)) = self.brought.front().filter(|(group, _)| *group <= self.stored) {
            // It may have been cut since.
            self.own_stored = (*index).min(self.last().index);
            self.brought.pop_front();
        }
        while self.held.front().is_some_and(|(group, _)| *group <= self.stored) {
            if let Some((_, message)) = self.held.pop_front() {
                self.out.push(Action::Send(message));
            }
        }
        if self.role == Role::Leader {
            self.count(now);
        }
    }

    /// A message came. One of another installation's voters is none of ours.
    pub fn receive(&mut self, message: Message, now: f64) {
        if message.to != self.me || !self.others.contains(&message.from) {
            return;
        }
        let Message { from, term, body, .. } = message;
        let asks = matches!(body, Body::PreVote { .. } | Body::PreVoted { .. } | Body::Ask);
        // What it is told at its start brings it into the latest term: to stand above that is then the next.
        // Pre-votes speak of a term that nobody is in yet, and a voter that hears a leader does not follow one who wants
        // to be another: whoever was cut off would unseat it.
        let sticks = matches!(body, Body::Vote { .. }) && self.hears_leader(now);
        if term > self.term && !asks && !sticks {
            self.follow(term, None, now);
        }
        match body {
            Body::PreVote { last } => self.asked(&from, term, last, now),
            Body::PreVoted { granted } => self.would(&from, granted, term, now),
            Body::Ask => self.asked_how_far(&from),
            Body::Told { last, empty } => self.told(&from, term, last, empty),
            Body::Vote { last } => self.vote(&from, term, last, now),
            // What is left is of this term, or over.
            _ if term < self.term => self.correct(&from, &body),
            Body::Voted { granted } => self.counted(&from, granted, now),
            Body::Append { before, entries, commit, in_own_term, round } => {
                self.follow(term, Some(from.clone()), now);
                self.append(&from, before, entries, (commit, in_own_term), round);
            }
            Body::Piece { upto, offset, whole, bytes, round } => {
                self.follow(term, Some(from.clone()), now);
                self.piece(&from, upto, (offset, whole), &bytes, round);
            }
            Body::Appended { taken, index, round } => self.appended(&from, taken, index, round, now),
            Body::PieceTaken { index, next, round } => self.piece_taken(&from, index, next, round, now),
        }
    }

    /// One that speaks of a term that is over hears of this one.
    fn correct(&mut self, from: &str, body: &Body) {
        match body {
            Body::Append { round, .. } => {
                self.send(from, Body::Appended { taken: false, index: 0, round: *round })
            }
            Body::Piece { round, .. } => {
                self.send(from, Body::PieceTaken { index: 0, next: 0, round: *round })
            }
            _ => {}
        }
    }

    // ---- ways from one state to the next ----

    /// Follows in that term, a leader if one is known.
    pub(crate) fn follow(&mut self, term: u64, leader: Option<String>, now: f64) {
        if term > self.term {
            self.set_term(term, None);
        }
        if self.role == Role::Leader || self.role == Role::Candidate || self.role == Role::PreCandidate {
            self.role = Role::Follower;
            self.votes.clear();
            let reads = std::mem::take(&mut self.reads);
            self.out.extend(reads.into_iter().map(|read| Action::ReadFailed { read_id: read.id }));
            self.stand_later(now);
        }
        if leader.is_some() {
            self.heard = now;
            self.stand_later(now);
        }
        self.leader = leader;
    }

    pub(crate) fn set_term(&mut self, term: u64, voted_for: Option<String>) {
        self.term = term;
        self.voted_for.clone_from(&voted_for);
        // What was promised in a term that is over need not be said any more.
        self.held.retain(|(_, message)| message.term >= term);
        self.writing.push(Record::Term { term, voted_for });
    }

    pub(crate) fn hears_leader(&self, now: f64) -> bool {
        self.role == Role::Leader || now - self.heard < self.times.election
    }

    pub(crate) fn stand_later(&mut self, now: f64) {
        self.stand_at = now + self.times.election * (1.0 + self.chance.random::<f64>());
    }

    // ---- log ----

    pub(crate) fn push(&mut self, entry: Entry) {
        self.writing.push(Record::Entry(entry.clone()));
        let number = self.written + 1;
        match self.brought.back_mut().filter(|(group, _)| *group == number) {
            Some((_, index)) => *index = entry.index,
            None => self.brought.push_back((number, entry.index)),
        }
        self.log.push_back(entry);
    }

    /// Everything from that index on goes.
    pub(crate) fn cut(&mut self, from: u64) {
        self.writing.push(Record::Truncate { from });
        while self.log.back().is_some_and(|entry| entry.index >= from) {
            self.log.pop_back();
        }
        self.own_stored = self.own_stored.min(from - 1);
        self.brought.iter_mut().for_each(|(_, index)| *index = (*index).min(from - 1));
    }

    pub(crate) fn commit_to(&mut self, index: u64) {
        let index = index.min(self.last().index);
        while self.commit < index {
            self.commit += 1;
            let place = (self.commit - self.base.index - 1) as usize;
            if let Some(entry) = self.log.get(place) {
                self.out.push(Action::Commit(entry.clone()));
            }
        }
    }

    /// What was committed up to there is in this, from whoever applies it: the log before it goes.
    pub fn compact(&mut self, index: u64, bytes: Vec<u8>) {
        let Some(place) = self.place(index).filter(|_| index > self.base.index && index <= self.commit)
        else {
            return;
        };
        self.take_snapshot(place, bytes);
    }

    pub(crate) fn take_snapshot(&mut self, place: Place, bytes: Vec<u8>) {
        self.writing.push(Record::Snapshot { index: place.index, term: place.term, bytes: bytes.clone() });
        while self.log.front().is_some_and(|entry| entry.index <= place.index) {
            self.log.pop_front();
        }
        self.base = place;
        self.snapshot = Some(Rc::new(bytes));
    }

    pub(crate) fn restored(&mut self, bytes: Rc<Vec<u8>>) {
        self.commit = self.base.index;
        self.out.push(Action::Restore { index: self.base.index, bytes });
    }

    // ---- sending ----

    pub(crate) fn message(&self, to: &str, body: Body) -> Message {
        Message { from: self.me.clone(), to: to.into(), term: self.term, body }
    }

    pub(crate) fn send(&mut self, to: &str, body: Body) {
        let message = self.message(to, body);
        self.out.push(Action::Send(message));
    }

    /// Sent once all that was written so far is on disk: it is a promise.
    pub(crate) fn promise(&mut self, to: &str, body: Body) {
        let message = self.message(to, body);
        let waits = if self.writing.is_empty() { self.written } else { self.written + 1 };
        if waits <= self.stored {
            self.out.push(Action::Send(message))
        } else {
            self.held.push_back((waits, message))
        }
    }

    pub(crate) fn tell(&mut self, out: Action) {
        self.out.push(out);
    }
}
