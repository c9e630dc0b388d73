//! One voter of this process: its part of the log, what is decided on it, the leader's side, and its disk.

use crate::disk::Group;
use pearfront_consensus::{Action, Message, PersistentState, Times, Voter};
use pearfront_duties::{Duties, LeaseManager, LeaseRequest, LeaseResponse, ManagerAction, ProcessId};
use tokio::sync::mpsc::UnboundedSender;

/// Applied entries after which everything decided is put into a snapshot.
const SNAPSHOT: u64 = 1000;

/// What is to go out.
pub(crate) enum Post {
    Log(Message),
    Told(LeaseResponse),
}

pub(crate) struct Seat {
    pub voter: Voter,
    pub duties: Duties,
    desk: LeaseManager,
    /// Groups wait here for the disk without a bound: a voter can't take back what it has in its log, and one whose disk
    /// stands still takes in little, since nothing of it is acknowledged.
    disk: UnboundedSender<Group>,
    snapshot_at: u64,
    posts: Vec<Post>,
}

impl Seat {
    pub fn new(
        me: &str,
        voters: &[String],
        kept: PersistentState,
        (log, duties): (Times, pearfront_duties::Times),
        disk: UnboundedSender<Group>,
        seed: u64,
        now: f64,
    ) -> Self {
        let voter = Voter::new(me, voters, kept, log, seed, now);
        let desk = LeaseManager::new(me, duties);
        let mut seat =
            Self { voter, duties: Duties::default(), desk, disk, snapshot_at: 0, posts: Vec::new() };
        seat.done(now);
        seat
    }

    pub fn due(&self) -> f64 {
        self.voter.due().min(self.desk.due())
    }

    pub fn leads(&self) -> bool {
        self.desk.is_leading()
    }

    pub fn take_posts(&mut self) -> Vec<Post> {
        std::mem::take(&mut self.posts)
    }

    pub fn tick(&mut self, now: f64) {
        self.desk.tick(&self.duties, now);
        self.voter.tick(now);
        self.settle(now);
    }

    pub fn heard(&mut self, message: Message, now: f64) {
        self.voter.receive(message, now);
        self.settle(now);
    }

    pub fn stored(&mut self, number: u64, now: f64) {
        self.voter.on_stored(number, now);
        self.settle(now);
    }

    pub fn asked(&mut self, ask: LeaseRequest, now: f64) {
        self.desk.receive(ask, self.voter.leader(), now);
        self.settle(now);
    }

    /// That process is over, for certain.
    pub fn ended(&mut self, who: &ProcessId, now: f64) {
        self.voter.process_ended(&who.name, now);
        self.desk.process_ended(who, &self.duties, now);
        self.settle(now);
    }

    /// Does what both sides want done, until neither wants anything more.
    fn settle(&mut self, now: f64) {
        loop {
            self.done(now);
            let term = self.voter.has_committed_in_term().then(|| self.voter.term());
            self.desk.set_leadership(term, &self.duties, now);
            let out = self.desk.take_actions();
            if out.is_empty() {
                return;
            }
            for out in out {
                match out {
                    ManagerAction::Propose(bytes) => drop(self.voter.propose(bytes, now)),
                    ManagerAction::Read(read) => self.voter.request_read(read, now),
                    ManagerAction::Respond(told) => self.posts.push(Post::Told(told)),
                }
            }
        }
    }

    fn done(&mut self, now: f64) {
        for out in self.voter.take_actions() {
            match out {
                // A disk that takes nothing more has said so itself.
                Action::Store { number, records } => drop(self.disk.send((number, records))),
                Action::Send(message) => self.posts.push(Post::Log(message)),
                Action::Commit(entry) => {
                    let changes = self.duties.apply(&entry.bytes);
                    self.desk.applied(changes, &self.duties, now);
                    if entry.index >= self.snapshot_at + SNAPSHOT {
                        self.snapshot_at = entry.index;
                        self.voter.compact(entry.index, self.duties.encode());
                    }
                }
                Action::Restore { index, bytes } => {
                    self.duties = Duties::decode(&bytes).unwrap_or_default();
                    self.snapshot_at = index;
                    self.desk.restored(&self.duties, now);
                }
                Action::ReadReady { read_id: read, .. } => {
                    self.desk.read_result(read, true, &self.duties, now)
                }
                Action::ReadFailed { read_id: read } => self.desk.read_result(read, false, &self.duties, now),
            }
        }
    }
}
