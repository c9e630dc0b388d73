//! Times and bounds of duties. Times are in ms unless said otherwise.

/// Share of a lease that its holder uses. The clocks of holder and leader may each run fast or slow by up to a
/// twentieth: 0.95 / 1.05, less a margin.
pub const USABLE_LEASE_SHARE: f64 = 0.9;
/// Shortest and longest lease, ms. A shorter one would expire in pauses that everything else tolerates.
pub const LEASE: (f64, f64) = (500.0, 600_000.0);
/// Most duties with a holder or a recorded run.
pub const MAX_DUTIES: usize = 4096;
/// Most duties that one process may want.
pub const MAX_WANTS: usize = 256;
/// Most holders of one duty.
pub const MAX_HOLDERS: u32 = 1024;
/// Longest name, bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Requests that a process remembers; a response to an older one is too old to matter.
pub const MAX_SENT_REQUESTS: usize = 16;
/// Requests per lease: after a lost one there is time for two more.
pub const REQUESTS_PER_LEASE: f64 = 4.0;
/// Grace, ms, after which a process that confirms no response, neither in its next request nor in a repeated
/// one, counts as not receiving.
pub const RESPONSE_LOSS_GRACE: f64 = 500.0;

/// Timing of agents and of the lease manager, ms.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Times {
    /// Time-out for a voter's response; the next voter is asked after it.
    pub response_timeout: f64,
    /// Pause before the next voter is asked if one could not name the leader.
    pub retry_delay: f64,
    /// How long a better candidate must have been present, and the holder have held the duty, before it moves.
    /// Without this, a candidate that comes and goes would take the duty with it each time.
    pub stability: f64,
    /// A holder whose acts fail for this long gives the duty up: it may be cut off from their target while
    /// another process is not.
    pub max_failing: f64,
    /// Interval at which the log's time is recorded if a last run is known; a restart of all voters loses at
    /// most this much of it.
    pub time_interval: f64,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            response_timeout: 400.0,
            retry_delay: 100.0,
            stability: 30_000.0,
            max_failing: 10_000.0,
            time_interval: 60_000.0,
        }
    }
}
