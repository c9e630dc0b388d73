//! What `/_duties` and its calls answer to operators and to commands that hold duties. Field names are keys of
//! the JSON answers unless renamed by an attribute.

use pearfront_duties::{DutyInfo, HolderInfo};
use serde::Serialize;

/// A holder of a duty.
#[derive(Debug, Clone, Serialize)]
pub struct TakenView {
    pub name: String,
    pub token: u64,
    /// Time until its lease expires if it stays silent, ms.
    pub left_ms: f64,
}

impl TakenView {
    pub(crate) fn new(holder: &HolderInfo) -> Self {
        Self { name: holder.name.clone(), token: holder.token, left_ms: holder.remaining }
    }
}

/// A duty in the list of all duties.
#[derive(Debug, Clone, Serialize)]
pub struct ListedView {
    pub duty: String,
    pub holders: Vec<TakenView>,
    /// Who wants it, best candidate first.
    pub candidates: Vec<String>,
    /// Time since the last successful run, ms, and who ran it.
    pub ran_ms_ago: Option<f64>,
    pub ran_by: Option<String>,
}

impl ListedView {
    pub(crate) fn new(info: &DutyInfo) -> Self {
        Self {
            duty: info.duty.clone(),
            holders: info.holders.iter().map(TakenView::new).collect(),
            candidates: info.candidates.clone(),
            ran_ms_ago: info.last_run_ago,
            ran_by: info.last_run_by.clone(),
        }
    }
}

/// This process as a voter.
#[derive(Debug, Clone, Serialize)]
pub struct VoterView {
    /// follower, candidate, leader, or "leader, not settled" until it has committed an entry in its own term.
    pub role: &'static str,
    pub term: u64,
    pub leader: Option<String>,
    pub commit: u64,
    pub last: u64,
    /// Does its log reach as far as those of the others, so that it may become a candidate?
    pub may_stand: bool,
}

/// A duty held by this process.
#[derive(Debug, Clone, Serialize)]
pub struct OwnView {
    pub duty: String,
    pub token: u64,
    /// Time for which it may still act without a renewal, ms.
    pub left_ms: f64,
}

/// The answer to `/_duties`.
#[derive(Debug, Clone, Serialize)]
pub struct DutiesView {
    pub name: String,
    pub voters: Vec<String>,
    /// The voter that last answered as leader.
    pub leader: Option<String>,
    /// Present if this process is a voter.
    pub voter: Option<VoterView>,
    /// Why this process stopped being a voter.
    #[serde(rename = "trouble")]
    pub failure: Option<String>,
    /// Messages of processes that are configured with other voters.
    pub foreign: u64,
    /// Duties held by this process.
    pub holds: Vec<OwnView>,
    /// All duties, as reported by the leader for this call; none if no leader answered in time.
    pub duties: Option<Vec<ListedView>>,
}

/// A duty that the command holds.
#[derive(Debug, Clone, Serialize)]
pub struct HeldView {
    pub token: u64,
    /// Time for which it may act, ms. A caller that counts from when it sent the call is on the safe side.
    pub left_ms: f64,
    /// The duty is to move: the command has to finish its work.
    #[serde(rename = "leave")]
    pub must_leave: bool,
}

/// State of a command that wants a duty.
#[derive(Debug, Clone, Serialize)]
pub struct HoldView {
    pub held: Option<HeldView>,
    pub holders: Vec<TakenView>,
    pub ran_ms_ago: Option<f64>,
    pub leader: Option<String>,
}
