//! What operators are shown: this process, and everyone else as it sees them.

use pearfront_membership::{Counts, State};
use serde::Serialize;

#[derive(Debug, Clone, Serialize)]
pub struct MemberView {
    pub name: String,
    pub zone: String,
    pub address: String,
    pub state: &'static str,
    /// Seconds since it came to stand so.
    pub since_s: f64,
    pub incarnation: u64,
    pub life: String,
    /// Smoothed round trip, ms; none if none was measured.
    pub round_trip_ms: Option<f64>,
    /// Seconds since anything fresh was heard from itself; none if never.
    #[serde(rename = "heard_s")]
    pub last_heard_s: Option<f64>,
    /// Who told that it stands so; none if this process saw it.
    #[serde(rename = "told_by")]
    pub reported_by: Option<String>,
    /// Who suspects it.
    pub suspected_by: Vec<String>,
    /// How the link to it is: none, up or stalled.
    pub link: &'static str,
}

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
    /// Where the process is that has its name, if it is barred.
    pub barred_by: Option<String>,
    /// May it act on what it sees?
    #[serde(rename = "sure")]
    pub view_confirmed: bool,
    /// Seconds since when it hears nobody, if so.
    #[serde(rename = "deaf_s")]
    pub isolated_s: Option<f64>,
    /// Doubt in its own health, 0 to 8.
    pub health: u32,
    /// Sum of who is here: equal at two processes that agree.
    pub sum: String,
    pub members: Vec<MemberView>,
    pub counts: CountsView,
}

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
    pub over_budget: u64,
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

pub(crate) fn state_name(state: &State) -> &'static str {
    match state {
        State::Joining => "joining",
        State::Member => "member",
        State::Barred { .. } => "barred",
        State::Left => "left",
    }
}
