//! Detects when the process was stalled (suspended or starved of CPU). Data in a socket's buffer may have
//! arrived during a stall, so the time at which it is read does not show when it was written. Used by
//! `deadline`, `discovery` and `dispatcher`.

use std::cell::Cell;
use std::rc::Rc;
use tokio::time::{Duration, Instant, sleep};

/// How often the process reads its clock.
const TICK: Duration = Duration::from_millis(50);
/// Ticks further apart than this, ms, are a stall.
const STALL_THRESHOLD_MS: f64 = 120.0;
/// How long after a stall data that is read may still have arrived during it.
pub const CATCH_UP: Duration = Duration::from_millis(50);
/// The same, ms.
const CATCH_UP_MS: f64 = CATCH_UP.as_millis() as f64;

/// Records the last tick and the last stall. Times are ms since the start.
pub struct StallMonitor {
    start: Instant,
    last_tick: Cell<f64>,
    /// Begin and end of the last stall.
    last_stall: Cell<(f64, f64)>,
}

impl StallMonitor {
    /// Starts the monitor, which ticks as long as the runtime runs.
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
            log::info!("the process was stalled for {:.0} ms", now - last);
            self.last_stall.set((self.stall_start(last), now));
        }
    }

    /// When the stall began that had just ended at that time, if there was one.
    pub fn stall_began(&self, time: f64) -> Option<f64> {
        let (began, ended) = self.last_stall.get();
        if time - self.last_tick.get() > STALL_THRESHOLD_MS {
            Some(self.stall_start(self.last_tick.get()))
        } else {
            (began..ended + CATCH_UP_MS).contains(&time).then_some(began)
        }
    }

    /// The begin of a stall whose last tick before it was at `last`. Between two stalls in close succession
    /// the process may have read nothing, so they count as one.
    fn stall_start(&self, last: f64) -> f64 {
        let (began, ended) = self.last_stall.get();
        if last - ended < CATCH_UP_MS { began } else { last }
    }

    /// The earliest time at which data that is read now can have arrived.
    pub fn earliest_arrival(&self, now: f64) -> f64 {
        self.stall_began(now).unwrap_or(now - CATCH_UP_MS)
    }
}

#[cfg(test)]
mod tests;
