//! What goes between whoever wants duties and the voters. `decode` is the only way in, and takes nothing on trust.

use crate::state::ProcessId;
use crate::times::{LEASE, MAX_HOLDERS, MAX_NAME_BYTES, MAX_WANTS};
use pearfront_codec::Bounded;
use serde::{Deserialize, Serialize};

/// How well placed one is for a duty; lower is better, the first difference decides, then the name.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rank {
    /// Place of its zone in the duty's order of zones.
    pub zone: u8,
    /// Tenths of what it can bear that it bears already.
    pub load: u8,
    /// What its own operators wish.
    pub preference: u8,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Want {
    pub duty: String,
    pub max_holders: u32,
    pub lease: f64,
    pub outlives_process: bool,
    /// Not again within this time, ms, after a run that ended well; 0 if that does not matter.
    pub min_interval: f64,
    pub rank: Rank,
}

/// A duty that the sender is done with, or gives up.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Release {
    pub duty: String,
    pub token: u64,
    pub succeeded: bool,
}

/// What operators want done.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Order {
    /// Whoever holds it under that token is to give it up, for that one if one is named. The token makes it the same order
    /// if it is said twice.
    Move { duty: String, token: u64, to: Option<String> },
}

/// Everything that one process wants, holds and is done with: the next one says all of it again, so none is missed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaseRequest {
    pub from: ProcessId,
    pub number: u64,
    /// Number of the last of its asks whose answer it heard.
    pub last_answered: u64,
    pub held: Vec<(String, u64)>,
    pub wants: Vec<Want>,
    pub releases: Vec<Release>,
    pub orders: Vec<Order>,
    /// Tell of all duties.
    pub list: bool,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeldLease {
    pub duty: String,
    pub token: u64,
    pub lease: f64,
    /// Its lease counts from this ask; if not, it runs out.
    pub renewed: bool,
    /// It is to be given up.
    pub give_up: bool,
}

/// A duty that the asker wants and others have.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct WaitStatus {
    pub duty: String,
    pub holders: Vec<HolderInfo>,
    /// Time since the last run that ended well, ms.
    pub last_run_ago: Option<f64>,
}

/// Who has it, and until when at the latest if nothing is heard of it any more, ms.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HolderInfo {
    pub name: String,
    pub token: u64,
    pub remaining: f64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DutyInfo {
    pub duty: String,
    pub holders: Vec<HolderInfo>,
    /// Who wants it, the best first.
    pub candidates: Vec<String>,
    pub last_run_ago: Option<f64>,
    pub last_run_by: Option<String>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ResponseBody {
    /// Another voter leads, or nobody that this one knows of.
    NotLeader { leader: Option<String> },
    /// How things stand, as seen after the ask came: what the asker holds that is not named here it has no more.
    Status {
        held: Vec<HeldLease>,
        waiting: Vec<WaitStatus>,
        list: Option<Vec<DutyInfo>>,
        order_results: Vec<String>,
    },
    /// One duty is the asker's, granted after its ask came.
    Granted(HeldLease),
}

/// An answer to the ask of that number.
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
