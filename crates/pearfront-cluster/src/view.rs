//! What `/_members` shows: this process, and all others as it sees them. Field names are keys of the JSON
//! answer unless renamed by an attribute.

use pearfront_membership::{Counts, State};
use serde::Serialize;

/// Another process, as this one sees it.
#[derive(Debug, Clone, Serialize)]
pub struct MemberView {
    pub name: String,
    pub zone: String,
    pub address: String,
    pub state: &'static str,
    /// Seconds since its state last changed.
    pub since_s: f64,
    pub incarnation: u64,
    pub life: String,
    /// Smoothed round-trip time, ms; none if there is no measurement yet.
    pub round_trip_ms: Option<f64>,
    /// Seconds since the process itself was last heard; none if never.
    #[serde(rename = "heard_s")]
    pub last_heard_s: Option<f64>,
    /// Who reported this state; none if this process observed it.
    #[serde(rename = "told_by")]
    pub reported_by: Option<String>,
    /// Processes that suspect it.
    pub suspected_by: Vec<String>,
    /// State of the link to it: none, up or stalled.
    pub link: &'static str,
}

/// The answer to `/_members`.
#[derive(Debug, Clone, Serialize)]
pub struct View {
    pub installation: String,
    pub name: String,
    pub zone: String,
    pub address: String,
    pub incarnation: u64,
    pub life: String,
    /// joining, member, barred or left.
    pub state: &'static str,
    /// If barred: address of the process that has its name.
    pub barred_by: Option<String>,
    /// May this process act on its view?
    #[serde(rename = "sure")]
    pub view_confirmed: bool,
    /// If it hears nobody: for how many seconds.
    #[serde(rename = "deaf_s")]
    pub isolated_s: Option<f64>,
    /// Doubt in its own health, 0 to 8.
    pub health: u32,
    /// Checksum of the members present; equal on two processes that agree.
    pub sum: String,
    pub members: Vec<MemberView>,
    pub counts: CountsView,
}

/// Counters of membership traffic; all only grow.
#[derive(Debug, Clone, Serialize)]
pub struct CountsView {
    pub datagrams_out: u64,
    pub datagrams_in: u64,
    pub frames_out: u64,
    pub frames_in: u64,
    pub bytes_out: u64,
    pub bytes_in: u64,
    pub foreign: u64,
    pub garbled: u64,
    pub elsewhere: u64,
    pub outdated: u64,
    pub no_room: u64,
    /// Times that reading datagrams was paused by the rate limit.
    pub over_budget: u64,
    /// Streams and messages dropped because a limit was reached or no link existed.
    pub dropped: u64,
    pub probes_failed: u64,
    pub suspicions: u64,
    pub refutations: u64,
}

impl CountsView {
    pub(crate) fn new(counts: Counts, over_budget: u64, dropped: u64) -> Self {
        Self {
            datagrams_out: counts.datagrams_out,
            datagrams_in: counts.datagrams_in,
            frames_out: counts.frames_out,
            frames_in: counts.frames_in,
            bytes_out: counts.bytes_out,
            bytes_in: counts.bytes_in,
            foreign: counts.foreign,
            garbled: counts.garbled,
            elsewhere: counts.elsewhere,
            outdated: counts.outdated,
            no_room: counts.no_room,
            over_budget,
            dropped,
            probes_failed: counts.probes_failed,
            suspicions: counts.suspicions,
            refutations: counts.refutations,
        }
    }
}

/// The state as it appears in the answer.
pub(crate) fn state_name(state: &State) -> &'static str {
    match state {
        State::Joining => "joining",
        State::Member => "member",
        State::Barred { .. } => "barred",
        State::Left => "left",
    }
}
