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
    pub answered: u64,
    pub holds: Vec<(String, u64)>,
    pub wants: Vec<Want>,
    pub over: Vec<Release>,
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
    pub ran_ago: Option<f64>,
}

/// Who has it, and until when at the latest if nothing is heard of it any more, ms.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HolderInfo {
    pub name: String,
    pub token: u64,
    pub left: f64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DutyInfo {
    pub duty: String,
    pub holders: Vec<HolderInfo>,
    /// Who wants it, the best first.
    pub candidates: Vec<String>,
    pub ran_ago: Option<f64>,
    pub ran_by: Option<String>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ResponseBody {
    /// Another voter leads, or nobody that this one knows of.
    NotLeader { leader: Option<String> },
    /// How things stand, as seen after the ask came: what the asker holds that is not named here it has no more.
    Status { held: Vec<HeldLease>, waits: Vec<WaitStatus>, list: Option<Vec<DutyInfo>>, orders: Vec<String> },
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

fn named(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
}

impl Bounded for LeaseRequest {
    fn is_bounded(&self) -> bool {
        let few = self.wants.len() <= MAX_WANTS
            && self.holds.len() <= MAX_WANTS
            && self.over.len() <= MAX_WANTS
            && self.orders.len() <= MAX_WANTS;
        let want = |want: &Want| {
            named(&want.duty)
                && (1..=MAX_HOLDERS).contains(&want.max_holders)
                && (LEASE.0..=LEASE.1).contains(&want.lease)
                && want.min_interval >= 0.0
        };
        few && named(&self.from.name) && self.wants.iter().all(want)
    }
}

impl Bounded for LeaseResponse {
    fn is_bounded(&self) -> bool {
        let held = |held: &HeldLease| held.lease.is_finite() && held.lease >= 0.0;
        match &self.body {
            ResponseBody::NotLeader { .. } => true,
            ResponseBody::Status { held: all, .. } => all.iter().all(held),
            ResponseBody::Granted(one) => held(one),
        }
    }
}

#[cfg(test)]
mod tests;
