//! All times and sizes in one place, ms unless said otherwise.

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Times {
    /// A leader tells that it is there in this time.
    pub heartbeat: f64,
    /// A voter that heard no leader for so long, up to twice as long by chance, asks whether it could be one. Five beats:
    /// a lost one or two change nothing.
    pub election: f64,
}

impl Default for Times {
    fn default() -> Self {
        Self { heartbeat: 60.0, election: 300.0 }
    }
}

/// Entries, and bytes of them, in one message: one that lost much must not hold up the beats of all.
pub const MAX_ENTRIES: usize = 256;
pub const MAX_APPEND_BYTES: usize = 256 * 1024;
/// Bytes of a snapshot in one message.
pub const SNAPSHOT_CHUNK_BYTES: usize = 64 * 1024;
