//! How often connections to servers break under an attempt, kept ones and new ones.

use std::cell::Cell;

/// Weight of one attempt on a kept connection, or a new one, in the share of those that broke before any answer: some
/// fifty count.
const BROKE_WEIGHT: f64 = 0.02;
/// By how much more kept ones break from which on a non-idempotent request gets a new connection: one break counts for some
/// thirty attempts.
const KEPT_RISK: f64 = 0.01;

/// How often connections break under an attempt before any answer.
#[derive(Default)]
pub struct BreakRates {
    /// Share of recent attempts on kept connections, and of those on new ones: what breaks them alike is no fault of
    /// the keeping, and a new connection would be no safer.
    kept: Cell<f64>,
    new: Cell<f64>,
}

impl BreakRates {
    /// Counts an attempt on a kept connection or a new one.
    pub fn record(&self, kept: bool, broke: bool) {
        let share = if kept { &self.kept } else { &self.new };
        share.set(share.get() + BROKE_WEIGHT * (f64::from(u8::from(broke)) - share.get()));
    }

    /// Do kept connections break more often than new ones, by more than chance?
    pub fn is_higher_when_kept(&self) -> bool {
        self.kept.get() > KEPT_RISK + self.new.get()
    }
}

#[cfg(test)]
mod tests;
