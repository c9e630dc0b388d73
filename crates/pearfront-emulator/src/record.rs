//! What servers, clients and discovery observed in a play. It is the judge's only input, and no node writes
//! into it. Times are milliseconds from the start of the play.

use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use pearfront::interface::ServerState;

/// One operation that a client wants done, regardless of the number of tries.
#[derive(Debug, Clone)]
pub struct Ask {
    pub at: f64,
    pub profile: usize,
    pub customer: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    Served,
    Rejected,
    Failed,
}

#[derive(Debug, Clone, Copy)]
pub struct Answered {
    pub at: f64,
    pub answer: Answer,
    /// If served: id of the request that the body was made for, 0 for none.
    pub body: u64,
}

/// A request as its client saw it: one try of an ask, or a call between tiers.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// Request id, from 1 on.
    pub trace: u64,
    /// Id of the client's request that caused it; its own id if it is that request.
    pub root: u64,
    /// Index of the ask that it is a try of; none for a call between tiers.
    pub ask: Option<usize>,
    /// Index of the life of the node that accepted it.
    pub node: usize,
    pub tier: usize,
    pub profile: usize,
    pub key: u64,
    pub sent: f64,
    /// Deadline: when its client stops waiting.
    pub deadline: f64,
    pub left: Option<f64>,
    pub answers: Vec<Answered>,
    /// The connection was refused or reset before the request ended; permitted only for a killed node.
    pub cut: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    Served,
    Error,
    /// Turned away immediately; it never ran.
    TurnedAway,
    /// Dropped from the queue after the node had cancelled it.
    Dropped,
    /// The server ended while holding it.
    Lost,
}

/// An attempt as the server saw it.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub trace: u64,
    /// Index of the server's life.
    pub server: usize,
    /// When its first byte was sent, or the nearest known time.
    pub sent: f64,
    pub came: f64,
    /// Work of this tier, ms, without calls.
    pub work: f64,
    pub ended: Option<(f64, AttemptEnd)>,
    /// The effect of the request took place.
    pub effect: bool,
    pub called_off: Option<f64>,
}

/// The life of a server, from one start to the next.
#[derive(Debug, Clone)]
pub struct ServerLife {
    pub id: String,
    pub tier: usize,
    pub zone: u16,
    pub cell: u16,
    pub cores: f64,
    pub speed: f64,
    /// Negative infinity for a server that is warm from the beginning.
    pub started: f64,
    pub fell: Option<f64>,
}

impl ServerLife {
    /// A life that begins at `started`, of a server of the given tier, zone, cell and kind.
    pub fn new(
        scenario: &Scenario,
        id: String,
        (tier, zone, cell, kind): (usize, u16, u16, usize),
        started: f64,
    ) -> Self {
        let kind = &scenario.kinds[kind];
        Self { id, tier, zone, cell, cores: kind.cores, speed: kind.speed, started, fell: None }
    }
}

/// A state of a server that discovery reported to a node, and when.
#[derive(Debug, Clone, Copy)]
pub struct ListUpdate {
    pub node: usize,
    pub server: usize,
    pub standing: ServerState,
    pub at: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeEnd {
    Killed,
    Terminated,
}

/// The life of a node, from one start to the next.
#[derive(Debug, Clone)]
pub struct NodeLife {
    pub name: String,
    pub tier: usize,
    pub from: f64,
    pub ended: Option<(f64, NodeEnd)>,
}

#[derive(Debug, Clone, Default)]
pub struct Records {
    pub asks: Vec<Ask>,
    pub requests: Vec<RequestRecord>,
    pub attempts: Vec<Attempt>,
    pub servers: Vec<ServerLife>,
    pub nodes: Vec<NodeLife>,
    pub list_updates: Vec<ListUpdate>,
    /// Probes that servers answered.
    pub probes: u64,
    /// Connections that servers accepted.
    pub connections: u64,
    /// Actions of the script, with their times.
    pub script: Vec<(f64, String)>,
    /// Lateness of the emulator itself, us; none in simulated time.
    pub late: Option<Histogram<u64>>,
}
