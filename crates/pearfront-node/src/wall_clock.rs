//! Unix times in the node's own time. A wall clock may be stepped, by seconds or an hour; what is stamped by it (when a server
//! started) must not make a cold server look warm for that. Times are ms.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{SystemTime, UNIX_EPOCH};

/// The wall clock is read beside the node's own; further apart from before than this it has been stepped.
const STEP_THRESHOLD_MS: f64 = 250.0;
/// Steps that are remembered.
const MAX_OFFSETS: usize = 8;
/// A start may seem to lie so far ahead.
const MAX_AHEAD_MS: f64 = 100.0;
/// A server whose start is told anew has started no earlier than this before the list that did not have it: notices come late.
const MAX_NOTICE_DELAY_MS: f64 = 15_000.0;

/// Where the two clocks have stood beside each other, and what was made of starts.
#[derive(Default)]
pub struct WallClock {
    /// Unix time less the node's, at the start and behind each step.
    offsets: RefCell<Vec<f64>>,
    /// By server: the start as it was told, and in the node's time.
    starts: RefCell<HashMap<String, (f64, f64)>>,
}

/// Unix time now.
pub fn unix_now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}

impl WallClock {
    /// Looks at both clocks.
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

    /// The start of a server in the node's time; `lacked` is when a list was heard last that did not have it so. Where steps
    /// leave a choice it is the latest that can be: colder than the server is rather than warmer.
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

    /// Those servers are no longer listed.
    pub fn retain_servers(&self, is_listed: impl Fn(&str) -> bool) {
        self.starts.borrow_mut().retain(|server, _| is_listed(server));
    }
}

#[cfg(test)]
mod tests;
