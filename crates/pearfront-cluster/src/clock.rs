//! Monotonic time that also advances while the machine sleeps (CLOCK_BOOTTIME): a process has to notice that it
//! slept. The time of day is never used.

use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;
use tokio::time::Instant;

/// Milliseconds since the start of the cluster.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    start: f64,
}

fn boot_time() -> f64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as f64 * 1e3 + time.tv_nsec as f64 / 1e6
}

impl Clock {
    pub fn start() -> Self {
        Self { start: boot_time() }
    }

    /// Milliseconds since the start.
    pub fn now(self) -> f64 {
        boot_time() - self.start
    }

    /// When a timer has to fire for that time. Capped at 60 s, for times that are never reached.
    pub fn at(self, ms: f64) -> Instant {
        let wait = (ms - self.now()).clamp(0.0, 60_000.0);
        Instant::now() + Duration::from_secs_f64(wait / 1e3)
    }
}
