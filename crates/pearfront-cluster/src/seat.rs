//! One voter of this process: its part of the log, what is decided on it, the leader's side, and its disk.

use crate::disk::Group;
use pearfront_consensus::{Kept, Message, Out, Times, Voter};
use pearfront_duties::{Ask, Desk, DeskOut, Duties, Told, Who};
use tokio::sync::mpsc::UnboundedSender;

/// Applied entries after which everything decided is put into a snapshot.
const SNAPSHOT: u64 = 1000;

/// What is to go out.
pub(crate) enum Post {
    Log(Message),
    Told(Told),
}

pub(crate) struct Seat {
    pub voter: Voter,
    pub duties: Duties,
    desk: Desk,
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
        kept: Kept,
        (log, duties): (Times, pearfront_duties::Times),
        disk: UnboundedSender<Group>,
        seed: u64,
        now: f64,
    ) -> Self {
        let voter = Voter::new(me, voters, kept, log, seed, now);
        let desk = Desk::new(me, duties);
        let mut seat =
            Self { voter, duties: Duties::default(), desk, disk, snapshot_at: 0, posts: Vec::new() };
        seat.done(now);
        seat
    }

    pub fn due(&self) -> f64 {
        self.voter.due().min(self.desk.due())
    }

    pub fn leads(&self) -> bool {
        self.desk.leading()
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
        self.voter.heard(message, now);
        self.settle(now);
    }

    pub fn stored(&mut self, number: u64, now: f64) {
        self.voter.stored(number, now);
        self.settle(now);
    }

    pub fn asked(&mut self, ask: Ask, now: f64) {
        self.desk.asked(ask, self.voter.leader(), now);
        self.settle(now);
    }

    /// That process is over, for certain.
    pub fn ended(&mut self, who: &Who, now: f64) {
        self.voter.ended(&who.name, now);
        self.desk.ended(who, &self.duties, now);
        self.settle(now);
    }

    /// Does what both sides want done, until neither wants anything more.
    fn settle(&mut self, now: f64) {
        loop {
            self.done(now);
            let term = self.voter.settled().then(|| self.voter.term());
            self.desk.leads(term, &self.duties, now);
            let out = self.desk.take_out();
            if out.is_empty() {
                return;
            }
            for out in out {
                match out {
                    DeskOut::Propose(bytes) => drop(self.voter.propose(bytes, now)),
                    DeskOut::Read(read) => self.voter.read(read, now),
                    DeskOut::Tell(told) => self.posts.push(Post::Told(told)),
                }
            }
        }
    }

    fn done(&mut self, now: f64) {
        for out in self.voter.take_out() {
            match out {
                // A disk that takes nothing more has said so itself.
                Out::Store { number, records } => drop(self.disk.send((number, records))),
                Out::Send(message) => self.posts.push(Post::Log(message)),
                Out::Commit(entry) => {
                    let changes = self.duties.apply(&entry.bytes);
                    self.desk.applied(changes, &self.duties, now);
                    if entry.index >= self.snapshot_at + SNAPSHOT {
                        self.snapshot_at = entry.index;
                        self.voter.snapshot(entry.index, self.duties.encode());
                    }
                }
                Out::Restore { index, bytes } => {
                    self.duties = Duties::decode(&bytes).unwrap_or_default();
                    self.snapshot_at = index;
                    self.desk.restored(&self.duties, now);
                }
                Out::Read { read, .. } => self.desk.read(read, true, &self.duties, now),
                Out::NoRead { read } => self.desk.read(read, false, &self.duties, now),
            }
        }
    }
}
