//! Inputs at the start, and outputs of `Membership`.

use crate::member::{Card, Status};
use std::net::SocketAddr;

/// Identity of this process, from its configuration and folder.
#[derive(Debug, Clone)]
pub struct Identity {
    pub installation: String,
    pub name: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Random ID of this run, drawn by the caller: two processes of one name must not draw the same.
    pub life: u64,
    /// Highest incarnation stored in the folder; 0 if there is none.
    pub last_incarnation: u64,
}

/// State of this process in the installation.
#[derive(Debug, Clone, PartialEq)]
pub enum State {
    /// Not admitted by anyone yet, and has admitted nobody.
    Joining,
    Member,
    /// Another process holds its name. It takes no part, and retries at intervals.
    Barred {
        by: Card,
    },
    Left,
}

/// Receiver of a packet. The sender may have an address of its own for a name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    pub name: Option<String>,
    /// The run of the process that is meant, if it is known; two may claim one name.
    pub life: Option<u64>,
    pub address: SocketAddr,
}

impl Destination {
    pub(crate) fn card(card: &Card) -> Self {
        Self { name: Some(card.name.clone()), life: Some(card.life), address: card.address }
    }
}

/// What the caller has to do, in this order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// One UDP datagram.
    Datagram {
        to: Destination,
        bytes: Vec<u8>,
    },
    /// One frame on a stream.
    Frame {
        to: Destination,
        bytes: Vec<u8>,
    },
    /// The incarnation used from now on, to be stored in the folder.
    PersistIncarnation(u64),
    Changed(Change),
}

/// Changes for logs, counters and the rest of the program. The variants are printed by `prove --watch`.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    Joined,
    /// A member is new, or present again.
    Here {
        name: String,
        incarnation: u64,
    },
    /// A process of that name has restarted.
    Restarted {
        name: String,
        incarnation: u64,
    },
    Suspected {
        name: String,
        by: String,
    },
    /// A suspected member has refuted the suspicion.
    Cleared {
        name: String,
        incarnation: u64,
    },
    Silent {
        name: String,
        told_by: Option<String>,
    },
    Ended {
        name: String,
        told_by: Option<String>,
    },
    Left {
        name: String,
    },
    /// Others believed this status of this process; it has refuted that with a higher incarnation.
    Refuted {
        was: Status,
        incarnation: u64,
    },
    /// This process stalled for that long, ms; its view may be outdated.
    Doubts {
        stood: f64,
    },
    /// Another process has confirmed the view since.
    Sure,
    /// This process hears nobody.
    Deaf,
    /// It hears others again.
    Hears,
    Barred {
        by: Card,
    },
    /// Another process, with this card, claims the name.
    Claimed {
        by: Card,
    },
}

/// Counters; they only grow.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    pub datagrams_out: u64,
    pub datagrams_in: u64,
    pub frames_out: u64,
    pub frames_in: u64,
    pub bytes_out: u64,
    pub bytes_in: u64,
    /// Packets of another protocol or version.
    pub foreign: u64,
    /// Packets that were truncated, changed or invalid.
    pub garbled: u64,
    /// Packets of another installation.
    pub elsewhere: u64,
    /// Duplicates, and packets of an ended run of a process.
    pub outdated: u64,
    /// Members refused because the table is full.
    pub no_room: u64,
    pub probes_failed: u64,
    /// Suspicions raised by this process.
    pub suspicions: u64,
    /// Reports about this process that it has refuted.
    pub refutations: u64,
}
