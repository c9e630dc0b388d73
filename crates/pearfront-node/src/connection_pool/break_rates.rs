//! Tracks how often connections to servers break under an attempt, separately for reused and new ones. Used
//! by the connection pool to decide whether a reused connection is too risky.

use std::cell::Cell;

/// Weight of one attempt in the moving share of attempts whose connection broke before any answer: about the
/// last fifty count.
const ATTEMPT_WEIGHT: f64 = 0.02;
/// How much more often reused connections must break before a non-idempotent request gets a new one. One
/// break counts for about thirty attempts.
const REUSE_RISK: f64 = 0.01;

/// How often connections break under an attempt before any answer.
#[derive(Default)]
pub struct BreakRates {
    /// Share of recent attempts that broke, on reused connections and on new ones. What breaks both alike is
    /// not caused by the reuse, and a new connection would be no safer.
    reused: Cell<f64>,
    new: Cell<f64>,
}

impl BreakRates {
    /// Counts an attempt on a reused or a new connection.
    pub fn record(&self, reused: bool, broke: bool) {
        let share = if reused { &self.reused } else { &self.new };
        share.set(share.get() + ATTEMPT_WEIGHT * (f64::from(u8::from(broke)) - share.get()));
    }

    /// Do reused connections break more often than new ones, by more than chance?
    pub fn is_higher_when_reused(&self) -> bool {
        self.reused.get() > REUSE_RISK + self.new.get()
    }
}

#[cfg(test)]
mod tests;
