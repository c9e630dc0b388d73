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
pub const MOST_SERVERS: usize = 8192;
/// Services and servers that one change set may name, and bytes that it may have: it is one entry of the log.
pub const MOST_IN_SET: usize = 4096;
pub const LONGEST_SET: usize = 192 * 1024;
/// Services that one node may subscribe to; it calls tens.
pub const MOST_INTERESTS: usize = 1024;
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
    pub beat: f64,
    /// A link that was silent for so long is doubted: the other is asked.
    pub doubt: f64,
    /// A link that was silent for so long is given up.
    pub give_up: f64,
    /// Longest pause by chance before the next link after one that failed; doubles with each up to the second.
    pub pause: (f64, f64),
    /// A distributor whose link failed is not chosen again for so long, if there is another; doubles up to the second.
    pub avoid: (f64, f64),
    /// Least time between two reports of a distributor.
    pub report: f64,
    /// A distributor that the voters have not answered for so long serves new nodes without their knowledge.
    pub alone: f64,
    /// A node or distributor that was not heard for so long is held to be gone in the count of what is in force.
    pub silence: f64,
    /// A node that has not heard for so long that what it has is the newest is careful.
    pub careful: f64,
    /// Bytes a second that a distributor sends beside beats, and at once.
    pub rate: f64,
    pub burst: f64,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            beat: 500.0,
            doubt: 1000.0,
            give_up: 2000.0,
            pause: (200.0, 2000.0),
            avoid: (5000.0, 60_000.0),
            report: 200.0,
            alone: 4000.0,
            silence: 60_000.0,
            careful: 10_000.0,
            rate: 2_000_000.0,
            burst: 256_000.0,
        }
    }
}
