//! All times and bounds in one place, ms unless said otherwise.

/// What of a lease its holder counts on: it and whoever grants may have clocks that run unevenly, each by up to a
/// twentieth: 0.95 / 1.05, less a little.
pub const USABLE_LEASE_SHARE: f64 = 0.9;
/// Shortest and longest lease: shorter ones lapse with a pause that everything else bears.
pub const LEASE: (f64, f64) = (500.0, 600_000.0);
/// Duties that have a holder, or a run that is remembered.
pub const MAX_DUTIES: usize = 4096;
/// Duties that one process may want.
pub const MAX_WANTS: usize = 256;
/// Holders that one duty may have.
pub const MAX_HOLDERS: u32 = 1024;
/// Bytes of a name.
pub const MAX_NAME_BYTES: usize = 64;
/// Asks that a holder remembers; an answer to an older one says too little of now.
pub const MAX_SENT_REQUESTS: usize = 16;
/// Asks in a lease: one that is lost leaves time for two more.
pub const REQUESTS_PER_LEASE: f64 = 4.0;
/// One that is answered and does not say so in its next ask, nor in one repeated after that, hears nothing.
pub const RESPONSE_LOSS_GRACE: f64 = 500.0;

#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Times {
    /// A voter that does not answer in this time is left for the next one.
    pub response_timeout: f64,
    /// Pause before the next voter is asked where one could not say who leads.
    pub retry_delay: f64,
    /// A better candidate has to have been there for so long, and a holder for so long its holder, before it is moved:
    /// or one that comes and goes would take the duty with it each time.
    pub stability: f64,
    /// A holder whose acts come to nothing for so long gives the duty up: it may be cut off from where they go, and
    /// another not.
    pub max_failing: f64,
    /// The log's time is written down so often where a run is remembered: what a restart of all can lose of it.
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
