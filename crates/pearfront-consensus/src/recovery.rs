//! Recovery of voters that may have lost data. Used by `Voter` after each start.
//!
//! A voter with an empty folder, an older copy of it, or a disk that lost synced data must not vote as if it
//! had lost nothing: two disjoint majorities would be possible. It can't tell by itself what it lacks. So every
//! voter that starts asks the others how far their logs go. Until it has caught up with a leader, it votes only
//! for a candidate whose log reaches as far as the furthest report, and only in a term that is higher than any
//! reported; it becomes a candidate itself only on the same condition. A voter without any state votes only
//! once it has caught up, unless no voter has any state.

use crate::message::{Body, LogPosition};
use crate::voter::{Role, Voter};
use std::collections::BTreeMap;

/// Whether this voter's data is known to be complete.
#[derive(Debug, Clone)]
pub(crate) enum Recovery {
    Complete,
    /// Still asking the others. `reports` holds the latest report of each: its last log position, its term, and
    /// whether it has no state. A newer report replaces an older one: if the reporting voter has lost data
    /// since, requiring what nobody has any more would make every election impossible.
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

    /// May this voter vote in `term` for a candidate whose log ends at `last`?
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
    /// Sends status requests, once per election time-out, until recovery is complete.
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

    /// The sender has restarted, and may have lost entries that it had confirmed before.
    pub(crate) fn on_status_request(&mut self, from: &str) {
        if let Some(follower) = self.followers.get_mut(from) {
            (follower.match_index, follower.snapshot_offset) = (0, None);
        }
        let (last, empty) =
            (self.last_position(), self.term == 0 && self.last_position() == LogPosition::default());
        // Sent after a sync, since the reported entries must survive a restart of this voter.
        self.send_once_synced(from, Body::StatusResponse { last, empty });
    }

    pub(crate) fn on_status_response(&mut self, from: &str, term: u64, last: LogPosition, empty: bool) {
        let peer_count = self.peers.len();
        let Recovery::CatchingUp { started_empty, reports, .. } = &mut self.recovery else { return };
        reports.insert(from.into(), (last, term, empty));
        // A voter without any state may have lost all of it. This is a new installation only if all voters are
        // empty.
        if *started_empty && reports.len() == peer_count && reports.values().all(|(.., empty)| *empty) {
            self.recovery = Recovery::Complete;
        }
    }

    /// Ends recovery. A leader that has committed an entry in its own term has every committed entry, and so
    /// does a voter that has committed as much.
    pub(crate) fn check_caught_up(&mut self, leader: &str, leader_commit: u64, committed_in_term: bool) {
        let caught_up =
            committed_in_term && self.commit_index >= leader_commit && self.role == Role::Follower;
        if matches!(self.recovery, Recovery::Complete) || !caught_up {
            return;
        }
        // This voter may have voted in this term before it lost its data. Recording the vote for the leader is
        // safe, as the leader has already won the term.
        let (term, voted_for) = (self.term, Some(leader.to_string()));
        if self.voted_for != voted_for {
            self.set_term(term, voted_for);
        }
        self.recovery = Recovery::Complete;
    }
}
