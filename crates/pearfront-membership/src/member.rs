//! Members, and which of two updates about one of them takes precedence.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Status of a member. For one incarnation, a later variant supersedes an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Status {
    Alive,
    /// Did not answer probes. This alone has no consequences.
    Suspect,
    /// Not heard for the duration of a suspicion by those who tried. This is no proof that it has ended.
    Silent,
    /// Its kernel reported that the process is gone; that is proof.
    Ended,
    /// It announced that it leaves.
    Left,
}

impl Status {
    /// Is it believed to be present?
    pub fn is_present(self) -> bool {
        matches!(self, Status::Alive | Status::Suspect)
    }

    /// The name in logs and answers.
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

/// Identity of a process. `life` is drawn at its start and distinguishes two runs of one name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Card {
    pub name: String,
    pub zone: String,
    /// Address at which others reach it.
    pub address: SocketAddr,
    pub incarnation: u64,
    pub life: u64,
}

/// A statement about a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    pub card: Card,
    pub status: Status,
    /// Who suspects it, if it is a suspicion. Different suspectors count separately, repetitions don't.
    pub suspector: Option<String>,
}

impl Update {
    /// A statement that is no suspicion of a particular process.
    pub fn new(card: &Card, status: Status) -> Self {
        Self { card: card.clone(), status, suspector: None }
    }

    /// Does it supersede what is known? A higher incarnation does; within one run and incarnation, a later
    /// status. Two runs with the same incarnation (a name given out on both sides of a partition) are decided
    /// by the lower `life`, so that all processes choose alike.
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

/// A member as known to this process.
#[derive(Debug, Clone)]
pub struct Member {
    pub card: Card,
    pub status: Status,
    /// When its status last changed, by the local clock.
    pub since: f64,
    /// When the process itself was last heard, by datagram or link; negative infinity if never.
    pub last_heard: f64,
    /// When another process last heard it, by its own account. It is kept apart from `last_heard` and never
    /// passed on, or it would circulate and appear more recent at each hop.
    pub last_vouched: f64,
    /// When it last responded to a request of this process.
    pub last_answered: f64,
    /// Smoothed round-trip time, ms; 0 if there is no measurement yet.
    pub round_trip: f64,
    /// Highest sequence number received; duplicates and older datagrams are no sign of life.
    pub(crate) last_sequence: u64,
    /// Who reported its status, if this process did not observe it.
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

    /// Is it believed to be present?
    pub fn is_present(&self) -> bool {
        self.status.is_present()
    }

    /// Its status as an update.
    pub fn to_update(&self) -> Update {
        Update::new(&self.card, self.status)
    }
}
