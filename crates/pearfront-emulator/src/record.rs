//! What servers, callers and discovery saw of a play. The judge reads this and nothing else; no node writes into it.
//! Times are milliseconds from the start of the play.

use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use pearfront::interface::ServerState;

/// One thing that a caller wants done, whatever number of tries it takes.
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
    /// Of a served one: the job that its body was made for, 0 if for none.
    pub body: u64,
}

/// A job as its caller saw it: a try of an ask, or a call between tiers.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// Its id, from 1 on.
    pub trace: u64,
    /// The id of the caller's job that it was made for; its own if it is that job.
    pub root: u64,
    /// Place of the ask that it is a try of; none for a call between tiers.
    pub ask: Option<usize>,
    /// Place of the life of the node that took it.
    pub node: usize,
    pub tier: usize,
    pub profile: usize,
    pub key: u64,
    pub sent: f64,
    /// When its caller stops waiting.
    pub limit: f64,
    pub left: Option<f64>,
    pub answers: Vec<Answered>,
    /// The connection was refused or reset before the job was over: only a killed node may do so.
    pub cut: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    Served,
    Error,
    /// Told at once that it never ran.
    TurnedAway,
    /// Dropped from the queue after its node had given it up.
    Dropped,
    /// The server went away with it.
    Lost,
}

/// An attempt as the server saw it.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub trace: u64,
    /// Place of the server's life.
    pub server: usize,
    /// When its first byte was sent, or the nearest that is known.
    pub sent: f64,
    pub came: f64,
    /// Own work of this tier that it brings, ms.
    pub work: f64,
    pub ended: Option<(f64, AttemptEnd)>,
    /// It had its effect.
    pub effect: bool,
    pub called_off: Option<f64>,
}

/// A server from one start to the next.
#[derive(Debug, Clone)]
pub struct ServerLife {
    pub id: String,
    pub tier: usize,
    pub zone: u16,
    pub cell: u16,
    pub cores: f64,
    pub speed: f64,
    /// Negative infinity if it is long warm.
    pub started: f64,
    pub fell: Option<f64>,
}

impl ServerLife {
    /// One that begins at `started`, of a tier, zone, cell and kind.
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

/// What discovery told a node of a server, and when.
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

/// A node from one start to the next.
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
    /// Connections that servers took.
    pub connections: u64,
    /// What the script did, by when.
    pub script: Vec<(f64, String)>,
    /// How late the emulator itself was, us; none in simulated time.
    pub late: Option<Histogram<u64>>,
}
