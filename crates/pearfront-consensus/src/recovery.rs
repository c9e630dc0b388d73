//! A voter that forgot must not vote as if it had not: an empty folder, an older copy, or a disk that lost what it had
//! synced would make two majorities of one. It can't know itself what it lacks. So each that starts asks the others how far
//! they are, and holds itself to the furthest of them until it has caught up with a leader: it votes only for one that has as
//! much, only in a term that nobody was in yet, and stands only if it has as much itself. One that has nothing at all votes
//! only after it has caught up, unless nobody has anything.

use crate::message::{Body, LogPosition};
use crate::voter::{Role, Voter};
use std::collections::BTreeMap;

#[derive(Debug, Clone)]
pub(crate) enum Recovery {
    Complete,
    /// Goes on asking until it has caught up; what each said last: how far it is, its term, whether it has nothing. One
    /// that forgot in its turn must not hold this one to what nobody has any more, or nobody could ever be elected.
    CatchingUp {
        started_empty: bool,
        reports: BTreeMap<String, (LogPosition, u64, bool)>,
        majority: usize,
        next_request_at: f64,
    },
}

impl Recovery {
    pub fn new(started_empty: bool, majority: usize, now: f64) -> Self {
        Self::CatchingUp { started_empty, reports: BTreeMap::new(), majority, next_request_at: now }
    }

    pub fn due(&self) -> f64 {
        if let Self::CatchingUp { next_request_at, .. } = self { *next_request_at } else { f64::INFINITY }
    }

    /// May it vote for one that is so far, in that term?
    pub fn allows_vote(&self, last: LogPosition, term: u64) -> bool {
        match self {
            Self::Complete => true,
            Self::CatchingUp { started_empty: true, .. } => false,
            Self::CatchingUp { reports, majority, .. } => {
                let up_to_date = reports
                    .values()
                    .all(|(report_last, report_term, _)| last >= *report_last && term > *report_term);
                reports.len() + 1 >= *majority && up_to_date
            }
        }
    }
}

impl Voter {
    /// Asks as long as it has to.
    pub(crate) fn request_status(&mut self, now: f64) {
        let interval = self.times.election;
        let Recovery::CatchingUp { next_request_at, .. } = &mut self.recovery else { return };
        if now < *next_request_at {
            return;
        }
        *next_request_at = now + interval;
        for peer in self.peers.clone() {
            self.send(&peer, Body::StatusRequest);
        }
    }

    /// Another has started. What it was known to have it may not have any more.
    pub(crate) fn on_status_request(&mut self, from: &str) {
        if let Some(follower) = self.followers.get_mut(from) {
            (follower.match_index, follower.snapshot_offset) = (0, None);
        }
        let (last, empty) =
            (self.last_position(), self.term == 0 && self.last_position() == LogPosition::default());
        // What it says it has must be there after it, too.
        self.send_once_synced(from, Body::StatusResponse { last, empty });
    }

    pub(crate) fn on_status_response(&mut self, from: &str, term: u64, last: LogPosition, empty: bool) {
        let peer_count = self.peers.len();
        let Recovery::CatchingUp { started_empty, reports, .. } = &mut self.recovery else { return };
        reports.insert(from.into(), (last, term, empty));
        // One that has nothing may have forgotten everything: only if nobody has anything is it a beginning.
        if *started_empty && reports.len() == peer_count && reports.values().all(|(.., empty)| *empty) {
            self.recovery = Recovery::Complete;
        }
    }

    /// A leader that has committed in its own term has all that was ever committed; whoever has committed as much has it,
    /// too.
    pub(crate) fn check_caught_up(&mut self, leader: &str, leader_commit: u64, committed_in_term: bool) {
        let caught_up =
            committed_in_term && self.commit_index >= leader_commit && self.role == Role::Follower;
        if matches!(self.recovery, Recovery::Complete) || !caught_up {
            return;
        }
        // It may have voted in this term before it forgot: its vote is the leader's, who has won it already.
        let (term, voted_for) = (self.term, Some(leader.to_string()));
        if self.voted_for != voted_for {
            self.set_term(term, voted_for);
        }
        self.recovery = Recovery::Complete;
    }
}
