//! Since when the process has been running without a stop. What lies in a socket's buffer may have come while it stood still,
//! so the time at which it is read says nothing of the time at which it was written.

use std::cell::Cell;
use std::rc::Rc;
use tokio::time::{Duration, Instant, sleep};

/// How often the process looks at its clock.
const TICK: Duration = Duration::from_millis(50);
/// Beats further apart than this, ms, are a stop.
const STALL_THRESHOLD_MS: f64 = 120.0;
/// How long after a stop what is read may still have come during it.
pub const CATCH_UP: Duration = Duration::from_millis(50);
/// The same, ms.
const CATCH_UP_MS: f64 = CATCH_UP.as_millis() as f64;

/// Times are ms since the start.
pub struct StallMonitor {
    start: Instant,
    last_tick: Cell<f64>,
    /// Begin and end of the last stop.
    last_stall: Cell<(f64, f64)>,
}

impl StallMonitor {
    /// Beats as long as the runtime runs.
    pub fn start(start: Instant) -> Rc<Self> {
        let never = (f64::NEG_INFINITY, f64::NEG_INFINITY);
        let stall_monitor = Rc::new(Self { start, last_tick: Cell::new(0.0), last_stall: Cell::new(never) });
        let ticking = stall_monitor.clone();
        tokio::task::spawn_local(async move {
            loop {
                sleep(TICK).await;
                ticking.tick(ticking.start.elapsed().as_secs_f64() * 1000.0);
            }
        });
        stall_monitor
    }

    fn tick(&self, now: f64) {
        let last = self.last_tick.replace(now);
        if now - last > STALL_THRESHOLD_MS {
            log::info!("the process stood still for {:.0} ms", now - last);
            self.last_stall.set((self.stall_start(last), now));
        }
    }

    /// When the stop began that had just ended at that time, if one had.
    pub fn stall_began(&self, time: f64) -> Option<f64> {
        let (begun, ended) = self.last_stall.get();
        if time - self.last_tick.get() > STALL_THRESHOLD_MS {
            Some(self.stall_start(self.last_tick.get()))
        } else {
            (begun..ended + CATCH_UP_MS).contains(&time).then_some(begun)
        }
    }

    /// When a stop began before which the process ran last at that time. Between two that follow one another closely it may
    /// have read nothing.
    fn stall_start(&self, last: f64) -> f64 {
        let (begun, ended) = self.last_stall.get();
        if last - ended < CATCH_UP_MS { begun } else { last }
    }

    /// What is read now came after this time.
    pub fn earliest_arrival(&self, now: f64) -> f64 {
        self.stall_began(now).unwrap_or(now - CATCH_UP_MS)
    }
}

#[cfg(test)]
mod tests;
