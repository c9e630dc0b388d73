//! The voter of this process, if it is one: its part of the replicated log, the state machine on it, the lease
//! manager, and the queue to its disk. Used by `DutyService`.

use crate::voter_store::RecordGroup;
use pearfront_consensus::{Action, Message, PersistentState, Times, Voter};
use pearfront_duties::{Duties, LeaseManager, LeaseRequest, LeaseResponse, ManagerAction, ProcessId};
use tokio::sync::mpsc::UnboundedSender;

/// Applied entries between two snapshots.
const SNAPSHOT_INTERVAL: u64 = 1000;

/// A message to send.
pub(crate) enum ReplicaMessage {
    Consensus(Message),
    LeaseResponse(LeaseResponse),
}

/// A voter with its state machine.
pub(crate) struct Replica {
    pub voter: Voter,
    pub duties: Duties,
    manager: LeaseManager,
    /// Queue of record groups for the disk. It has no bound, since a voter can't withdraw entries from its log;
    /// a voter whose disk stalls receives little, as nothing is acknowledged.
    records: UnboundedSender<RecordGroup>,
    snapshot_at: u64,
    outgoing: Vec<ReplicaMessage>,
}

impl Replica {
    pub fn new(
        own_name: &str,
        voters: &[String],
        stored_state: PersistentState,
        (log_times, duty_times): (Times, pearfront_duties::Times),
        records: UnboundedSender<RecordGroup>,
        seed: u64,
        now: f64,
    ) -> Self {
        let voter = Voter::new(own_name, voters, stored_state, log_times, seed, now);
        let manager = LeaseManager::new(own_name, duty_times);
        let mut replica =
            Self { voter, duties: Duties::default(), manager, records, snapshot_at: 0, outgoing: Vec::new() };
        replica.run_voter(now);
        replica
    }

    pub fn due(&self) -> f64 {
        self.voter.due().min(self.manager.due())
    }

    pub fn is_leading(&self) -> bool {
        self.manager.is_leading()
    }

    pub fn take_outgoing(&mut self) -> Vec<ReplicaMessage> {
        std::mem::take(&mut self.outgoing)
    }

    pub fn tick(&mut self, now: f64) {
        self.manager.tick(&self.duties, now);
        self.voter.tick(now);
        self.settle(now);
    }

    pub fn receive(&mut self, message: Message, now: f64) {
        self.voter.receive(message, now);
        self.settle(now);
    }

    pub fn on_stored(&mut self, number: u64, now: f64) {
        self.voter.on_stored(number, now);
        self.settle(now);
    }

    pub fn receive_request(&mut self, request: LeaseRequest, now: f64) {
        self.manager.receive(request, self.voter.leader(), now);
        self.settle(now);
    }

    /// That process has ended, by proof.
    pub fn process_ended(&mut self, who: &ProcessId, now: f64) {
        self.voter.process_ended(&who.name, now);
        self.manager.process_ended(who, &self.duties, now);
        self.settle(now);
    }

    /// Runs voter and lease manager until neither has anything left to do.
    fn settle(&mut self, now: f64) {
        loop {
            self.run_voter(now);
            let term = self.voter.has_committed_in_term().then(|| self.voter.term());
            self.manager.set_leadership(term, &self.duties, now);
            let actions = self.manager.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    ManagerAction::Propose(bytes) => drop(self.voter.propose(bytes, now)),
                    ManagerAction::Read(read_id) => self.voter.request_read(read_id, now),
                    ManagerAction::Respond(response) => {
                        self.outgoing.push(ReplicaMessage::LeaseResponse(response))
                    }
                }
            }
        }
    }

    fn run_voter(&mut self, now: f64) {
        for action in self.voter.take_actions() {
            match action {
                // If the store has stopped, it has reported that itself.
                Action::Store { number, records } => drop(self.records.send((number, records))),
                Action::Send(message) => self.outgoing.push(ReplicaMessage::Consensus(message)),
                Action::Commit(entry) => {
                    let changes = self.duties.apply(&entry.bytes);
                    self.manager.applied(changes, &self.duties, now);
                    if entry.index >= self.snapshot_at + SNAPSHOT_INTERVAL {
                        self.snapshot_at = entry.index;
                        self.voter.compact(entry.index, self.duties.encode());
                    }
                }
                Action::Restore { index, bytes } => {
                    self.duties = Duties::decode(&bytes).unwrap_or_default();
                    self.snapshot_at = index;
                    self.manager.restored(&self.duties, now);
                }
                Action::ReadReady { read_id, .. } => {
                    self.manager.read_result(read_id, true, &self.duties, now)
                }
                Action::ReadFailed { read_id } => self.manager.read_result(read_id, false, &self.duties, now),
            }
        }
    }
}
