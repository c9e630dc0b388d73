//! All times and sizes of the core in one place, ms unless said otherwise.

/// Times that an operator may set; `Default` is what the figures in `docs/design/membership.md` are measured with.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Times {
    /// Each process probes one other in this time: 5 probes and 5 answers a second bear the cost at any size.
    pub probe_period: f64,
    /// Shortest wait for an answer before others are asked to try: far above a round trip inside a site.
    pub probe_timeout: f64,
    /// Shortest time from suspicion to the last call, where enough others agree: a pause of 3 s is borne, less the
    /// period in which the first probe failed.
    pub suspicion: f64,
    /// Time between two comparisons of the whole view with another process: what news missed is found so.
    pub sync_interval: f64,
    /// Time between two questions to one that is held to be gone: heals a cut in some of these.
    pub reconnect_interval: f64,
    /// How long those that are gone are remembered, so that old news can't bring them back: an hour.
    pub retention: f64,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            probe_period: 200.0,
            probe_timeout: 80.0,
            suspicion: 2800.0,
            sync_interval: 5000.0,
            reconnect_interval: 1000.0,
            retention: 3_600_000.0,
        }
    }
}

/// Others that are asked to try where a probe stays unanswered (SWIM's k).
pub const INDIRECT_PROBES: usize = 3;
/// Others that must share a suspicion for its time to be the shortest (Lifeguard's K).
pub const CONFIRMATIONS: usize = 3;
/// How much longer a suspicion lasts that nobody shares.
pub const MAX_SUSPICION_FACTOR: f64 = 3.0;
/// Highest doubt in one's own health (Lifeguard's S): answers are waited for up to 1 + this times as long.
pub const MAX_HEALTH_SCORE: u32 = 8;
/// Own timers this late, as a share of the period, count against one's own health.
pub const LATE_TIMER_SHARE: f64 = 0.5;
/// Timers this late mean that the process stood still: what it believes is old until somebody has confirmed it.
pub const STALL_MS: f64 = 1000.0;
/// Own probes in a row without any sign of anyone after which a process takes itself to be deaf.
pub const ISOLATED_AFTER_PROBES: u32 = 4;
/// How many times the shortest suspicion a deaf process puts off its verdicts: then it says what it sees, nobody.
pub const ISOLATION_PATIENCE: f64 = 3.0;
/// Each piece of news goes out this many times the logarithm (base 2) of the size: all have it with near certainty, and
/// the comparison of views finds the rest.
pub const GOSSIP_FACTOR: f64 = 3.0;
/// Pause between two tries to join, and the longest that it grows to.
pub const JOIN_DELAY_MS: f64 = 500.0;
pub const MAX_JOIN_DELAY_MS: f64 = 4000.0;
/// Members, with those gone, that are held at the most; further new ones are refused and counted.
pub const MAX_MEMBERS: usize = 4096;
/// Texts in a card, bytes: a name and a zone must leave room for news in a datagram.
pub const MAX_NAME_BYTES: usize = 64;
pub const MAX_ZONE_BYTES: usize = 32;
