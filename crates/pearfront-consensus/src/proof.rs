//! A voter that forgot must not vote as if it had not: an empty folder, an older copy, or a disk that lost what it had
//! synced would make two majorities of one. It can't know itself what it lacks. So each that starts asks the others how far
//! they are, and holds itself to the furthest of them until it has caught up with a leader: it votes only for one that has as
//! much, only in a term that nobody was in yet, and stands only if it has as much itself. One that has nothing at all votes
//! only after it has caught up, unless nobody has anything.

use crate::message::{Body, Place};
use crate::voter::{Role, Voter};
use std::collections::BTreeMap;

#[derive(Debug, Clone)]
pub(crate) enum Proof {
    Given,
    /// Goes on asking until it has caught up; what each said last: how far it is, its term, whether it has nothing. One
    /// that forgot in its turn must not hold this one to what nobody has any more, or nobody could ever be elected.
    Asking {
        fresh: bool,
        told: BTreeMap<String, (Place, u64, bool)>,
        majority: usize,
        again: f64,
    },
}

impl Proof {
    pub fn new(fresh: bool, majority: usize, now: f64) -> Self {
        Self::Asking { fresh, told: BTreeMap::new(), majority, again: now }
    }

    pub fn due(&self) -> f64 {
        if let Self::Asking { again, .. } = self { *again } else { f64::INFINITY }
    }

    /// May it vote for one that is so far, in that term?
    pub fn allows(&self, last: Place, term: u64) -> bool {
        match self {
            Self::Given => true,
            Self::Asking { fresh: true, .. } => false,
            Self::Asking { told, majority, .. } => {
                let far = told.values().all(|(most, latest, _)| last >= *most && term > *latest);
                told.len() + 1 >= *majority && far
            }
        }
    }
}

impl Voter {
    /// Asks as long as it has to.
    pub(crate) fn prove(&mut self, now: f64) {
        let pause = self.times.election;
        let Proof::Asking { again, .. } = &mut self.proof else { return };
        if now < *again {
            return;
        }
        *again = now + pause;
        for other in self.others.clone() {
            self.send(&other, Body::Ask);
        }
    }

    /// Another has started. What it was known to have it may not have any more.
    pub(crate) fn asked_how_far(&mut self, from: &str) {
        if let Some(other) = self.known.get_mut(from) {
            (other.stored, other.piece) = (0, None);
        }
        let (last, empty) = (self.last(), self.term == 0 && self.last() == Place::default());
        // What it says it has must be there after it, too.
        self.promise(from, Body::Told { last, empty });
    }

    pub(crate) fn told(&mut self, from: &str, term: u64, last: Place, empty: bool) {
        let all = self.others.len();
        let Proof::Asking { fresh, told, .. } = &mut self.proof else { return };
        told.insert(from.into(), (last, term, empty));
        // One that has nothing may have forgotten everything: only if nobody has anything is it a beginning.
        if *fresh && told.len() == all && told.values().all(|(.., empty)| *empty) {
            self.proof = Proof::Given;
        }
    }

    /// A leader that has committed in its own term has all that was ever committed; whoever has committed as much has it,
    /// too.
    pub(crate) fn caught_up(&mut self, leader: &str, commit: u64, in_own_term: bool) {
        let there = in_own_term && self.commit >= commit && self.role == Role::Follower;
        if matches!(self.proof, Proof::Given) || !there {
            return;
        }
        // It may have voted in this term before it forgot: its vote is the leader's, who has won it already.
        let (term, voted_for) = (self.term, Some(leader.to_string()));
        if self.voted_for != voted_for {
            self.set_term(term, voted_for);
        }
        self.proof = Proof::Given;
    }
}
