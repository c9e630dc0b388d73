//! What operators, and commands that hold duties, are shown.

use pearfront_duties::{DutyInfo, HolderInfo};
use serde::Serialize;

#[derive(Debug, Clone, Serialize)]
pub struct TakenView {
    pub name: String,
    pub token: u64,
    /// How long its lease still runs if nothing is heard of it, ms.
    pub left_ms: f64,
}

impl TakenView {
    pub(crate) fn new(holder: &HolderInfo) -> Self {
        Self { name: holder.name.clone(), token: holder.token, left_ms: holder.remaining }
    }
}

#[derive(Debug, Clone, Serialize)]
pub struct ListedView {
    pub duty: String,
    pub holders: Vec<TakenView>,
    /// Who wants it, the best first.
    pub candidates: Vec<String>,
    /// Since the last run that ended well, ms, and whose that was.
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

#[derive(Debug, Clone, Serialize)]
pub struct VoterView {
    /// follower, candidate, leader, or leader that is not settled: it has not committed in its own term yet.
    pub role: &'static str,
    pub term: u64,
    pub leader: Option<String>,
    pub commit: u64,
    pub last: u64,
    /// Does it know that it has all that it ever acknowledged?
    pub may_stand: bool,
}

#[derive(Debug, Clone, Serialize)]
pub struct OwnView {
    pub duty: String,
    pub token: u64,
    /// How long it may still act if nothing renews it, ms.
    pub left_ms: f64,
}

#[derive(Debug, Clone, Serialize)]
pub struct DutiesView {
    pub name: String,
    pub voters: Vec<String>,
    /// The voter that answered last.
    pub leader: Option<String>,
    /// If this process is a voter.
    pub voter: Option<VoterView>,
    /// Why it is no voter any more.
    #[serde(rename = "trouble")]
    pub failure: Option<String>,
    /// Words of processes whose files name other voters.
    pub foreign: u64,
    /// What this process holds.
    pub holds: Vec<OwnView>,
    /// All duties, as the leader told when it was asked for this; none if no leader answered in time.
    pub duties: Option<Vec<ListedView>>,
}

#[derive(Debug, Clone, Serialize)]
pub struct HeldView {
    pub token: u64,
    /// How long it may act, ms; who counts from when it called is on the safe side.
    pub left_ms: f64,
    /// Another is to have it: it is to end what it does.
    #[serde(rename = "leave")]
    pub must_leave: bool,
}

/// How things stand for a command that wants a duty.
#[derive(Debug, Clone, Serialize)]
pub struct HoldView {
    pub held: Option<HeldView>,
    pub holders: Vec<TakenView>,
    pub ran_ms_ago: Option<f64>,
    pub leader: Option<String>,
}
