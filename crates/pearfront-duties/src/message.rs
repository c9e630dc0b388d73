//! Messages between processes that want duties and the voters. Incoming bytes pass through `decode`, which also
//! checks bounds.

use crate::state::ProcessId;
use crate::times::{LEASE, MAX_HOLDERS, MAX_NAME_BYTES, MAX_WANTS};
use pearfront_codec::Bounded;
use serde::{Deserialize, Serialize};

/// How well suited a process is for a duty. Lower is better; the fields are compared in order, and ties are
/// broken by waiting time, then by name.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rank {
    /// Position of its zone in the duty's order of zones.
    pub zone: u8,
    /// Load in tenths of the capacity.
    pub load: u8,
    /// Preference set by its operators.
    pub preference: u8,
}

/// A duty that a process wants, and on which terms.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Want {
    pub duty: String,
    /// How many may hold the duty at a time.
    pub max_holders: u32,
    /// Lease, ms.
    pub lease: f64,
    /// Its work may go on after its process has ended.
    pub outlives_process: bool,
    /// Minimum time between a successful run and the next grant, ms; 0 for none.
    pub min_interval: f64,
    pub rank: Rank,
}

/// A duty that the sender gives up.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Release {
    pub duty: String,
    pub token: u64,
    pub succeeded: bool,
}

/// An order of an operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Order {
    /// The holder under this token has to give the duty up, to `to` if it is set. The token makes repeated
    /// orders idempotent.
    Move { duty: String, token: u64, to: Option<String> },
}

/// Everything that one process wants, holds and releases. Each request repeats all of it, so a lost one does no
/// harm.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    pub from: ProcessId,
    pub number: u64,
    /// Number of its latest request whose response it received.
    pub last_answered: u64,
    pub held: Vec<(String, u64)>,
    pub wants: Vec<Want>,
    pub releases: Vec<Release>,
    pub orders: Vec<Order>,
    /// Ask for a list of all duties.
    pub list: bool,
}

/// A lease that the receiver holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeldLease {
    pub duty: String,
    pub token: u64,
    pub lease: f64,
    /// The lease counts from this request; if not, it runs out.
    pub renewed: bool,
    /// The holder has to give the duty up.
    pub give_up: bool,
}

/// A duty that the sender wants and others hold.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WaitStatus {
    pub duty: String,
    pub holders: Vec<HolderInfo>,
    /// Time since the last successful run, ms.
    pub last_run_ago: Option<f64>,
}

/// A holder; `remaining` is the time until its lease expires if it stays silent, ms.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HolderInfo {
    pub name: String,
    pub token: u64,
    pub remaining: f64,
}

/// A duty in the list of all duties.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DutyInfo {
    pub duty: String,
    pub holders: Vec<HolderInfo>,
    /// Who wants it, best candidate first.
    pub candidates: Vec<String>,
    pub last_run_ago: Option<f64>,
    pub last_run_by: Option<String>,
}

/// What a response says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ResponseBody {
    /// Another voter leads, or no leader is known.
    NotLeader { leader: Option<String> },
    /// State after the request arrived. The sender no longer holds what is missing from `held`.
    Status {
        held: Vec<HeldLease>,
        /// Duties that the sender wants and does not hold.
        waiting: Vec<WaitStatus>,
        list: Option<Vec<DutyInfo>>,
        /// One result per order of the request.
        order_results: Vec<String>,
    },
    /// A duty was granted to the sender after its request arrived.
    Granted(HeldLease),
}

/// Response to the request with this number.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaseResponse {
    pub from: String,
    pub to: ProcessId,
    pub number: u64,
    pub body: ResponseBody,
}

fn is_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
}

impl Bounded for LeaseRequest {
    fn is_bounded(&self) -> bool {
        let lists_fit = self.wants.len() <= MAX_WANTS
            && self.held.len() <= MAX_WANTS
            && self.releases.len() <= MAX_WANTS
            && self.orders.len() <= MAX_WANTS;
        let valid_want = |want: &Want| {
            is_name(&want.duty)
                && (1..=MAX_HOLDERS).contains(&want.max_holders)
                && (LEASE.0..=LEASE.1).contains(&want.lease)
                && want.min_interval >= 0.0
        };
        lists_fit && is_name(&self.from.name) && self.wants.iter().all(valid_want)
    }
}

impl Bounded for LeaseResponse {
    fn is_bounded(&self) -> bool {
        let valid_lease = |held: &HeldLease| held.lease.is_finite() && held.lease >= 0.0;
        match &self.body {
            ResponseBody::NotLeader { .. } => true,
            ResponseBody::Status { held, .. } => held.iter().all(valid_lease),
            ResponseBody::Granted(held) => valid_lease(held),
        }
    }
}

#[cfg(test)]
mod tests;
