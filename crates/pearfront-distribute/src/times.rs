//! All times and bounds in one place, ms unless said otherwise.

/// Bytes of a name: of a service, a server, a node, a change.
pub const LONGEST_NAME: usize = 64;
/// Bytes of a server's address or zone.
pub const LONGEST_TEXT: usize = 128;
/// Bytes of one service's settings.
pub const LONGEST_SETTINGS: usize = 16 * 1024;
/// Services; the target has 4,200.
pub const MOST_SERVICES: usize = 16_384;
/// Servers of one service; the largest of the target is taken to have 2,000.
pub const MAX_SERVERS_PER_SERVICE: usize = 8192;
/// Services and servers that one change set may name, and bytes that it may have: it is one entry of the log.
pub const MOST_IN_SET: usize = 4096;
pub const MAX_CHANGE_SET_BYTES: usize = 192 * 1024;
/// Services that one node may subscribe to; it calls tens.
pub const MAX_SUBSCRIBED_SERVICES: usize = 1024;
/// Changes of a service's servers that are remembered, beside twice as many as it has: the way for deltas.
pub const LEAST_REMEMBERED: usize = 256;
/// Services that were removed, change sets that only narrow, and outcomes of changes that are remembered.
pub const GONE_REMEMBERED: usize = 1024;
pub const NARROWINGS: usize = 512;
pub const OUTCOMES: usize = 4096;
/// Change sets, and bytes of them, that a voter keeps for distributors; one that is further back gets everything.
pub const FEED: usize = 4096;
pub const FEED_BYTES: usize = 8 * 1024 * 1024;
/// Change sets in one message to a distributor.
pub const SETS_AT_ONCE: usize = 64;
/// Voters in a row that one is sent on to by another without a pause: two may each hold the other for the leader.
pub const SENT_ON: u32 = 3;
/// Distributors that are remembered on the log: 30 in the target.
pub const MOST_DISTRIBUTORS: usize = 256;
/// Subscribers of one distributor: 1,100 in the target with a region lost.
pub const MOST_SUBSCRIBERS: usize = 4096;
/// Bytes of a reason for a refusal.
pub const LONGEST_REASON: usize = 256;
/// Bytes of one frame of a message: what narrows may go between two.
pub const PIECE: usize = 16 * 1024;
/// Bytes of one message: the whole state of the target is some 20 MB.
pub const LONGEST: usize = 64 * 1024 * 1024;

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Times {
    /// Time between two beats on a link.
    pub heartbeat_ms: f64,
    /// A link that was silent for so long is doubted: the other is asked.
    pub suspect_after_ms: f64,
    /// A link that was silent for so long is given up.
    pub close_after_ms: f64,
    /// Longest pause by chance before the next link after one that failed; doubles with each up to the second.
    pub reconnect_pause_ms: (f64, f64),
    /// A distributor whose link failed is not chosen again for so long, if there is another; doubles up to the second.
    pub avoid_ms: (f64, f64),
    /// Least time between two reports of a distributor.
    pub report_interval_ms: f64,
    /// A distributor that the voters have not answered for so long serves new nodes without their knowledge.
    pub isolated_after_ms: f64,
    /// A node or distributor that was not heard for so long is held to be gone in the count of what is in force.
    pub gone_after_ms: f64,
    /// A node that has not heard for so long that what it has is the newest is careful.
    pub stale_after_ms: f64,
    /// Bytes a second that a distributor sends beside beats, and at once.
    pub bytes_per_s: f64,
    pub burst_bytes: f64,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            heartbeat_ms: 500.0,
            suspect_after_ms: 1000.0,
            close_after_ms: 2000.0,
            reconnect_pause_ms: (200.0, 2000.0),
            avoid_ms: (5000.0, 60_000.0),
            report_interval_ms: 200.0,
            isolated_after_ms: 4000.0,
            gone_after_ms: 60_000.0,
            stale_after_ms: 10_000.0,
            bytes_per_s: 2_000_000.0,
            burst_bytes: 256_000.0,
        }
    }
}
