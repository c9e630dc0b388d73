//! What the state machine is given at its start, and what it hands out.

use crate::member::{Card, Status};
use std::net::SocketAddr;

/// Who this process is, from its file and folder.
#[derive(Debug, Clone)]
pub struct Identity {
    pub installation: String,
    pub name: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Drawn at this start, from outside: two processes of one name must not draw alike.
    pub life: u64,
    /// The highest incarnation that the folder says was used; 0 if there is none.
    pub last_incarnation: u64,
}

/// What this process is to the others.
#[derive(Debug, Clone, PartialEq)]
pub enum State {
    /// Nobody has taken it in yet, nor has it taken in anyone.
    Joining,
    Member,
    /// Another process has its name: it takes no part, and asks again now and then.
    Barred {
        by: Card,
    },
    Left,
}

/// Where something goes. A name may have an address of its own at the sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    pub name: Option<String>,
    /// The process that is meant, if it is known: two may claim one name.
    pub life: Option<u64>,
    pub address: SocketAddr,
}

impl Destination {
    pub(crate) fn card(card: &Card) -> Self {
        Self { name: Some(card.name.clone()), life: Some(card.life), address: card.address }
    }
}

/// What is to be done outside, in this order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    Datagram {
        to: Destination,
        bytes: Vec<u8>,
    },
    /// One frame on a stream.
    Frame {
        to: Destination,
        bytes: Vec<u8>,
    },
    /// The incarnation that is used from now on, for the folder.
    PersistIncarnation(u64),
    Changed(Change),
}

/// What the log, the counters and the rest of the program hear.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    Joined,
    /// New, or back: a name that was not held to be there is.
    Here {
        name: String,
        incarnation: u64,
    },
    /// The same name is another process now.
    Restarted {
        name: String,
        incarnation: u64,
    },
    Suspected {
        name: String,
        by: String,
    },
    /// It had been suspected, and said that it is there.
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
    /// This process was held to be this, and has said otherwise under a higher incarnation.
    Refuted {
        was: Status,
        incarnation: u64,
    },
    /// It stood still for so long, ms: what it believes is old.
    Doubts {
        stood: f64,
    },
    /// Another has confirmed its view since.
    Sure,
    /// It hears nobody.
    Deaf,
    Hears,
    Barred {
        by: Card,
    },
    /// Another process claims its name, there.
    Claimed {
        by: Card,
    },
}

/// What was sent, heard and dropped; all only grow.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    pub datagrams_out: u64,
    pub datagrams_in: u64,
    pub frames_out: u64,
    pub frames_in: u64,
    pub bytes_out: u64,
    pub bytes_in: u64,
    pub foreign: u64,
    pub garbled: u64,
    pub elsewhere: u64,
    /// Packets of a life that is over, or copies.
    pub outdated: u64,
    pub no_room: u64,
    pub probes_failed: u64,
    pub suspicions: u64,
    pub refutations: u64,
}
