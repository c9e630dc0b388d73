//! The node's clock: milliseconds since its start, as the module counts, and the runtime's instants.

use crate::stall_monitor::StallMonitor;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A wake that never comes, ms: some thirty years.
pub const NEVER_MS: f64 = 1e12;

/// A time in the module's terms as the runtime takes it.
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

    /// Follows whether the process stands still.
    pub fn stall_monitor(&self) -> Rc<StallMonitor> {
        StallMonitor::start(self.start)
    }

    pub fn time_of(&self, instant: Instant) -> f64 {
        let after = instant.saturating_duration_since(self.start);
        let before = self.start.saturating_duration_since(instant);
        (after.as_secs_f64() - before.as_secs_f64()) * 1000.0
    }

    pub fn instant_at(&self, time: f64) -> Instant {
        self.start + ms(time.clamp(0.0, NEVER_MS))
    }
}
