//! The node's clock: milliseconds since its start, as the decision module counts, and the runtime's instants.

use crate::stall_monitor::StallMonitor;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The time of a wake-up that never comes, ms: some thirty years.
pub const NEVER_MS: f64 = 1e12;

/// Converts milliseconds, as the decision module counts, to the runtime's durations.
pub fn ms(time: f64) -> Duration {
    Duration::from_secs_f64(time / 1000.0)
}

/// The node's time: milliseconds since its start.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Starts a monitor that detects stalls of the process.
    pub fn stall_monitor(&self) -> Rc<StallMonitor> {
        StallMonitor::start(self.start)
    }

    /// Converts an instant to the node's time, ms.
    pub fn time_of(&self, instant: Instant) -> f64 {
        let after = instant.saturating_duration_since(self.start);
        let before = self.start.saturating_duration_since(instant);
        (after.as_secs_f64() - before.as_secs_f64()) * 1000.0
    }

    /// Converts the node's time, ms, to an instant; times beyond `NEVER_MS` are cut to it.
    pub fn instant_at(&self, time: f64) -> Instant {
        self.start + ms(time.clamp(0.0, NEVER_MS))
    }
}
