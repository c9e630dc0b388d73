//! Clocks of the soak. All of its processes stamp their records with the machine's monotonic clock, which they share.

use rustix::time::{ClockId, clock_gettime};

/// The time of the monotonic clock, ms.
pub fn now() -> f64 {
    let time = clock_gettime(ClockId::Monotonic);
    time.tv_sec as f64 * 1e3 + time.tv_nsec as f64 / 1e6
}

/// The Unix time, ms.
pub fn unix_now() -> f64 {
    let time = clock_gettime(ClockId::Realtime);
    time.tv_sec as f64 * 1e3 + time.tv_nsec as f64 / 1e6
}
