//! Time-outs and message limits of the log, used by voters. Times are in ms.

/// Time-outs of a voter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Times {
    /// Interval between a leader's heartbeats, ms.
    pub heartbeat: f64,
    /// Election time-out, ms: without a heartbeat for this long, up to twice as long at random, a voter starts
    /// a pre-vote. It is five heartbeats by default, so that one or two lost ones change nothing.
    pub election: f64,
}

impl Default for Times {
    fn default() -> Self {
        Self { heartbeat: 60.0, election: 300.0 }
    }
}

/// Limits of one append request. A follower that is far behind must not hold up the heartbeats of all.
pub const MAX_ENTRIES: usize = 256;
/// Bytes of entries in one append request; the last entry may exceed it.
pub const MAX_APPEND_BYTES: usize = 256 * 1024;
/// Bytes of a snapshot in one message.
pub const SNAPSHOT_CHUNK_BYTES: usize = 64 * 1024;
