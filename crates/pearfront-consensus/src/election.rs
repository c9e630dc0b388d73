//! Elections: pre-vote, votes and the start of a leader's term. Implements part of `Voter`.

use crate::message::{Body, Entry, LogPosition};
use crate::voter::{Progress, Role, Voter};

impl Voter {
    /// Starts a pre-vote after the election time-out. The term only rises once a majority would vote for this
    /// voter, so that a voter that can't win does not use up terms.
    pub(crate) fn start_pre_vote(&mut self, now: f64) {
        self.reset_election_timer(now);
        if !self.may_stand() {
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes = [self.own_name.clone()].into();
        let last = self.last_position();
        for peer in self.peers.clone() {
            self.send(&peer, Body::PreVoteRequest { last });
        }
        self.start_election_if_pre_elected(now);
    }

    pub(crate) fn on_pre_vote_request(&mut self, from: &str, term: u64, last: LogPosition, now: f64) {
        let allowed = self.recovery.allows_vote(last, term + 1) && last >= self.last_position();
        let granted = allowed && !self.hears_leader(now) && term >= self.term;
        self.send(from, Body::PreVoteResponse { granted });
    }

    pub(crate) fn on_pre_vote_response(&mut self, from: &str, granted: bool, term: u64, now: f64) {
        if term > self.term {
            self.become_follower(term, None, now);
        } else if self.role == Role::PreCandidate && granted {
            self.votes.insert(from.into());
            self.start_election_if_pre_elected(now);
        }
    }

    fn start_election_if_pre_elected(&mut self, now: f64) {
        if self.votes.len() < self.majority() {
            return;
        }
        self.role = Role::Candidate;
        self.votes.clear();
        let (term, own_name) = (self.term + 1, self.own_name.clone());
        self.set_term(term, Some(own_name));
        let last = self.last_position();
        for peer in self.peers.clone() {
            // The request implies this voter's vote for itself, so that vote has to be on disk first.
            self.send_once_synced(&peer, Body::VoteRequest { last });
        }
        self.reset_election_timer(now);
    }

    pub(crate) fn on_vote_request(&mut self, from: &str, term: u64, last: LogPosition, now: f64) {
        let vote_available = self.voted_for.is_none() || self.voted_for.as_deref() == Some(from);
        let granted = term == self.term
            && vote_available
            && last >= self.last_position()
            && self.recovery.allows_vote(last, term)
            && self.role == Role::Follower;
        if granted {
            if self.voted_for.is_none() {
                self.set_term(term, Some(from.into()));
            }
            self.reset_election_timer(now);
        }
        self.send_once_synced(from, Body::VoteResponse { granted });
    }

    pub(crate) fn on_vote_response(&mut self, from: &str, granted: bool, now: f64) {
        if self.role != Role::Candidate || !granted {
            return;
        }
        self.votes.insert(from.into());
        // Plus its own vote, which is on disk: vote requests are only sent after that.
        if self.votes.len() + 1 < self.majority() {
            return;
        }
        self.role = Role::Leader;
        self.leader = Some(self.own_name.clone());
        self.votes.clear();
        let next = self.last_position().index + 1;
        let progress = Progress { next_index: next, last_response_at: now, ..Progress::default() };
        self.followers = self.peers.iter().map(|name| (name.clone(), progress.clone())).collect();
        let (index, term) = (next, self.term);
        self.append_entry(Entry { index, term, bytes: Vec::new() });
        self.election_at = f64::INFINITY;
        self.heartbeat_at = now;
        self.tick_leader(now);
    }
}
