//! A member as others know it, and which of two pieces of news about it counts.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The ladder that the rest of the program builds on, in the order in which news of one incarnation count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Status {
    Alive,
    /// It did not answer; nothing is taken from it for that.
    Suspect,
    /// Not heard in any way for the stated time, by those who tried: no proof of anything.
    Silent,
    /// Its kernel said that the process is gone: proof.
    Ended,
    /// It said so itself.
    Left,
}

impl Status {
    /// Is it held to be there?
    pub fn is_present(self) -> bool {
        matches!(self, Status::Alive | Status::Suspect)
    }

    pub fn as_str(self) -> &'static str {
        match self {
            Status::Alive => "alive",
            Status::Suspect => "suspect",
            Status::Silent => "silent",
            Status::Ended => "ended",
            Status::Left => "left",
        }
    }
}

/// Who a process is. `life` is drawn at its start and tells two processes of one name apart.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Card {
    pub name: String,
    pub zone: String,
    /// Where others reach it.
    pub address: SocketAddr,
    pub incarnation: u64,
    pub life: u64,
}

/// What is said about a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    pub card: Card,
    pub status: Status,
    /// Who suspects it, of a suspicion: several who do are more than one that is repeated.
    pub suspector: Option<String>,
}

impl Update {
    pub fn new(card: &Card, status: Status) -> Self {
        Self { card: card.clone(), status, suspector: None }
    }

    /// Does it count more than what is known? The higher incarnation does; within one life and incarnation the later
    /// word of the ladder. Two lives of one incarnation (a name that was given twice while a cut lay between) are
    /// decided by the smaller number, so that all choose alike.
    pub fn supersedes(&self, known: &Card, status: Status) -> bool {
        if self.card.incarnation != known.incarnation {
            return self.card.incarnation > known.incarnation;
        }
        if self.card.life != known.life {
            return self.card.life < known.life;
        }
        self.status > status
    }
}

/// A member and what this process has of it.
#[derive(Debug, Clone)]
pub struct Member {
    pub card: Card,
    pub status: Status,
    /// When it came to stand so, on this process's clock.
    pub since: f64,
    /// When anything fresh was heard from itself, by datagram or link; negative infinity if never.
    pub last_heard: f64,
    /// When another said to have heard it, less the age of that. Kept apart from `heard` and never passed on: else it
    /// would go round and grow younger by each way it takes.
    pub last_vouched: f64,
    /// When it last answered a question of ours.
    pub last_answered: f64,
    /// Smoothed round trip, ms; 0 if none was measured yet.
    pub round_trip: f64,
    /// Highest number of its datagrams: a copy or an old one is no sign of life.
    pub(crate) last_sequence: u64,
    /// Who told that it stands so, if it was not seen here.
    pub reported_by: Option<String>,
}

impl Member {
    pub(crate) fn new(card: Card, status: Status, now: f64) -> Self {
        let never = f64::NEG_INFINITY;
        Self {
            card,
            status,
            since: now,
            last_heard: never,
            last_vouched: never,
            last_answered: never,
            round_trip: 0.0,
            last_sequence: 0,
            reported_by: None,
        }
    }

    pub fn is_present(&self) -> bool {
        self.status.is_present()
    }

    /// Its news, as it stands.
    pub fn to_update(&self) -> Update {
        Update::new(&self.card, self.status)
    }
}
