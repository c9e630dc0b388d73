//! Converts Unix times to the node's own time. The wall clock may be stepped by seconds or by an hour, and a
//! step must not make a cold server look warm whose start was stamped by it. Times are ms. Used by
//! `discovery`.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{SystemTime, UNIX_EPOCH};

/// A change of the offset between the wall clock and the node's clock by more than this is a step.
const STEP_THRESHOLD_MS: f64 = 250.0;
/// Number of offsets that are remembered.
const MAX_OFFSETS: usize = 8;
/// How far in the future a start may seem to be.
const MAX_AHEAD_MS: f64 = 100.0;
/// A newly reported start is no earlier than this before the last list without it: drain and start notices
/// arrive late.
const MAX_NOTICE_DELAY_MS: f64 = 15_000.0;

/// Offsets between the two clocks, and the starts computed from them.
#[derive(Default)]
pub struct WallClock {
    /// Unix time minus the node's time, at the start and after each step.
    offsets: RefCell<Vec<f64>>,
    /// By server: the start as reported, and in the node's time.
    starts: RefCell<HashMap<String, (f64, f64)>>,
}

/// Unix time now.
pub fn unix_now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}

impl WallClock {
    /// Records the offset between both clocks.
    pub fn observe(&self, unix: f64, now: f64) {
        let mut offsets = self.offsets.borrow_mut();
        let offset = unix - now;
        if offsets.last().is_none_or(|last| (last - offset).abs() > STEP_THRESHOLD_MS) {
            if !offsets.is_empty() {
                log::warn!(
                    "the wall clock has been stepped by {:.0} ms",
                    offset - offsets[offsets.len() - 1]
                );
            }
            offsets.push(offset);
        }
        let over = offsets.len().saturating_sub(MAX_OFFSETS);
        offsets.drain(..over);
    }

    /// The start of a server in the node's time; `absent_at` is when the last list arrived that did not show
    /// this start. Where steps leave several possibilities, the latest possible one is used: the server is
    /// then taken as colder than it is rather than warmer.
    pub fn start_of(&self, server: &str, unix: f64, now: f64, absent_at: Option<f64>) -> f64 {
        if let Some((reported, start)) = self.starts.borrow().get(server)
            && *reported == unix
        {
            return *start;
        }
        let offsets = self.offsets.borrow();
        let possible =
            offsets.iter().map(|offset| unix - offset).filter(|start| *start <= now + MAX_AHEAD_MS);
        let latest = possible.fold(f64::NEG_INFINITY, f64::max);
        let start = if latest.is_finite() { latest } else { now };
        let start = absent_at
            .map_or(start, |absent_at| start.max(absent_at - MAX_NOTICE_DELAY_MS))
            .min(now + MAX_AHEAD_MS);
        self.starts.borrow_mut().insert(server.into(), (unix, start));
        start
    }

    /// Forgets the servers that are no longer listed.
    pub fn retain_servers(&self, is_listed: impl Fn(&str) -> bool) {
        self.starts.borrow_mut().retain(|server, _| is_listed(server));
    }
}

#[cfg(test)]
mod tests;
