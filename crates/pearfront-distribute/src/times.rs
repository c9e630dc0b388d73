//! Limits and default timings of the distribution protocol, shared by all its roles. Times are in milliseconds.

/// Bytes of a name: of a service, a server, a node, a change set.
pub const MAX_NAME_BYTES: usize = 64;
/// Bytes of a server's address or zone.
pub const MAX_TEXT_BYTES: usize = 128;
/// Bytes of one service's settings.
pub const MAX_SETTINGS_BYTES: usize = 16 * 1024;
/// Services; the target fleet has 4,200.
pub const MAX_SERVICES: usize = 16_384;
/// Servers of one service; the largest of the target fleet is assumed to have 2,000.
pub const MAX_SERVERS_PER_SERVICE: usize = 8192;
/// Services and servers that one change set may name, together.
pub const MAX_NAMES_PER_CHANGE_SET: usize = 4096;
/// Bytes of a change set, which is one entry of the log.
pub const MAX_CHANGE_SET_BYTES: usize = 192 * 1024;
/// Services that one node may subscribe to; nodes call tens.
pub const MAX_SUBSCRIBED_SERVICES: usize = 1024;
/// Changes of a service that are remembered for deltas, and names of servers in them; of the names up to twice as many as it
/// has servers, if that is more.
pub const MIN_REMEMBERED_CHANGES: usize = 256;
/// Removed services that are remembered.
pub const MAX_REMOVED_SERVICES: usize = 1024;
/// Change sets that only restrict and are remembered.
pub const MAX_RESTRICTING_SETS: usize = 512;
/// Outcomes of change sets that are remembered, so that a retry gets the same answer.
pub const MAX_OUTCOMES: usize = 4096;
/// Change sets that a voter keeps for distributors; one that is further behind gets a snapshot.
pub const MAX_FEED_SETS: usize = 4096;
/// Bytes of the change sets that a voter keeps for distributors.
pub const MAX_FEED_BYTES: usize = 8 * 1024 * 1024;
/// Change sets in one message to a distributor.
pub const MAX_SETS_PER_MESSAGE: usize = 64;
/// Redirects between voters that are followed in a row without a pause: two voters may each take the other for the leader.
pub const MAX_REDIRECTS: u32 = 3;
/// Distributors that the log may name; the target fleet has 30.
pub const MAX_DISTRIBUTORS: usize = 256;
/// Subscribers of one distributor; 1,100 in the target fleet with a region lost.
pub const MAX_SUBSCRIBERS: usize = 4096;
/// Bytes of the reason for a refusal.
pub const MAX_REASON_BYTES: usize = 256;
/// Bytes of one frame of a message; an urgent message may go between two frames of another.
pub const FRAME_BYTES: usize = 16 * 1024;
/// Bytes of one message; the whole state of the target fleet is some 20 MB.
pub const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// Timings and rates of all roles, in milliseconds unless the name says otherwise.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Times {
    /// Interval of heartbeats on a link.
    pub heartbeat_ms: f64,
    /// Silence after which a link is suspect and the peer is probed with a heartbeat.
    pub suspect_after_ms: f64,
    /// Silence after which a link is closed.
    pub close_after_ms: f64,
    /// Upper bound of the random pause before reconnecting: after the first failure, and at most. It doubles with each
    /// failure.
    pub reconnect_pause_ms: (f64, f64),
    /// How long a peer whose link failed is not chosen again if there is another: the first time, and at most. It
    /// doubles with each failure.
    pub avoid_ms: (f64, f64),
    /// Minimum time between two reports of a distributor.
    pub report_interval_ms: f64,
    /// A distributor without an answer from the voters for this long serves new nodes without registering them first.
    pub isolated_after_ms: f64,
    /// A node or distributor that was silent for this long is no longer waited for when counting what is in force.
    pub gone_after_ms: f64,
    /// A node that has had no confirmation for this long that its configuration is the newest regards it as stale.
    pub stale_after_ms: f64,
    /// Rate limit of a distributor, heartbeats not counted.
    pub bytes_per_s: f64,
    /// Burst that the rate limit allows.
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
