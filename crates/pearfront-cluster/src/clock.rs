//! Time that goes on while the machine sleeps (CLOCK_BOOTTIME): a process that slept has to see that it did. Never the
//! time of day.

use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;
use tokio::time::Instant;

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

    /// When the runtime's timer has to ring for that time; far off if it is never.
    pub fn at(self, ms: f64) -> Instant {
        let wait = (ms - self.now()).clamp(0.0, 60_000.0);
        Instant::now() + Duration::from_secs_f64(wait / 1e3)
    }
}
