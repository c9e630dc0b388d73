//! Elections: who would vote for me, who does, and the beginning of a term.

use crate::message::{Body, Entry, Place};
use crate::voter::{Other, Role, Voter};

impl Voter {
    /// No leader was heard for long: asks first whether it could be one, so that a term is not spent in vain.
    pub(crate) fn stand(&mut self, now: f64) {
        self.stand_later(now);
        if !self.may_stand() {
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.votes = [self.me.clone()].into();
        let last = self.last();
        for other in self.others.clone() {
            self.send(&other, Body::PreVote { last });
        }
        self.won_pre(now);
    }

    pub(crate) fn asked(&mut self, from: &str, term: u64, last: Place, now: f64) {
        let allowed = self.proof.allows(last, term + 1) && last >= self.last();
        let granted = allowed && !self.hears_leader(now) && term >= self.term;
        self.send(from, Body::PreVoted { granted });
    }

    pub(crate) fn would(&mut self, from: &str, granted: bool, term: u64, now: f64) {
        if term > self.term {
            self.follow(term, None, now);
        } else if self.role == Role::PreCandidate && granted {
            self.votes.insert(from.into());
            self.won_pre(now);
        }
    }

    fn won_pre(&mut self, now: f64) {
        if self.votes.len() < self.majority() {
            return;
        }
        self.role = Role::Candidate;
        self.votes.clear();
        let (term, me) = (self.term + 1, self.me.clone());
        self.set_term(term, Some(me));
        let last = self.last();
        for other in self.others.clone() {
            // Its own vote is in there.
            self.promise(&other, Body::Vote { last });
        }
        self.stand_later(now);
    }

    pub(crate) fn vote(&mut self, from: &str, term: u64, last: Place, now: f64) {
        let free = self.voted_for.is_none() || self.voted_for.as_deref() == Some(from);
        let granted = term == self.term
            && free
            && last >= self.last()
            && self.proof.allows(last, term)
            && self.role == Role::Follower;
        if granted {
            if self.voted_for.is_none() {
                self.set_term(term, Some(from.into()));
            }
            self.stand_later(now);
        }
        self.promise(from, Body::Voted { granted });
    }

    pub(crate) fn counted(&mut self, from: &str, granted: bool, now: f64) {
        if self.role != Role::Candidate || !granted {
            return;
        }
        self.votes.insert(from.into());
        // Its own vote is on disk: the others were only asked then.
        if self.votes.len() + 1 < self.majority() {
            return;
        }
        self.role = Role::Leader;
        self.leader = Some(self.me.clone());
        self.votes.clear();
        let next = self.last().index + 1;
        let other = Other { next, heard: now, ..Other::default() };
        self.known = self.others.iter().map(|name| (name.clone(), other.clone())).collect();
        let (index, term) = (next, self.term);
        self.push(Entry { index, term, bytes: Vec::new() });
        self.stand_at = f64::INFINITY;
        self.beat_at = now;
        self.lead(now);
    }
}
