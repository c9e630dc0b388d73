//! Times and limits of the protocol. Times are in ms unless said otherwise.

/// Times that operators may set. The figures in `docs/design/membership.md` are measured with the defaults.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Times {
    /// Each process probes one other per period. At the default, 5 probes and 5 responses a second per process
    /// are affordable at any size.
    pub probe_period: f64,
    /// Shortest time-out of a direct probe, after which indirect probes start; far above a round trip inside a
    /// site.
    pub probe_timeout: f64,
    /// Shortest time from a suspicion to its final probe, if enough others share it. With the default a pause
    /// of 3 s is tolerated; the period in which the first probe failed is subtracted.
    pub suspicion: f64,
    /// Interval between comparisons of the whole view with another process, which find what gossip missed.
    pub sync_interval: f64,
    /// Interval between probes of absent members; partitions heal within a few of these.
    pub reconnect_interval: f64,
    /// How long absent members are remembered, so that outdated updates can't bring them back; an hour by
    /// default.
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

/// Members asked for an indirect probe (SWIM's k).
pub const INDIRECT_PROBES: usize = 3;
/// Other suspectors needed for the shortest suspicion (Lifeguard's K).
pub const CONFIRMATIONS: usize = 3;
/// How many times longer a suspicion lasts that nobody shares.
pub const MAX_SUSPICION_FACTOR: f64 = 3.0;
/// Highest doubt in the own health (Lifeguard's S). At this value probes last 1 + 8/4 times as long, and suspicions at
/// least 1 + 8/8 times.
pub const MAX_HEALTH_SCORE: u32 = 8;
/// Own timers this late, as a share of the probe period, count against the own health.
pub const LATE_TIMER_SHARE: f64 = 0.5;
/// Timers this late, ms, mean that the process stalled: its view is outdated until another process confirms it.
pub const STALL_MS: f64 = 1000.0;
/// Own probes that fail in a row, without a message from anyone, before a process considers itself isolated.
pub const ISOLATED_AFTER_PROBES: u32 = 4;
/// How long an isolated process suspends verdicts on others, in multiples of the shortest suspicion. After that
/// it reports what it sees: nobody.
pub const ISOLATION_PATIENCE: f64 = 3.0;
/// Each update is sent this many times log2 of the group size. All members get it with near certainty, and view
/// comparison finds the rest.
pub const GOSSIP_FACTOR: f64 = 3.0;
/// Delay between two join attempts, and the longest that it grows to.
pub const JOIN_DELAY_MS: f64 = 500.0;
pub const MAX_JOIN_DELAY_MS: f64 = 4000.0;
/// Most members kept, including absent ones; further ones are refused and counted.
pub const MAX_MEMBERS: usize = 4096;
/// Longest name and zone, bytes; they must leave room for updates in a datagram.
pub const MAX_NAME_BYTES: usize = 64;
pub const MAX_ZONE_BYTES: usize = 32;
