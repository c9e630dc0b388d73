//! Active troubles of a server, its resulting process state, and their combined effect. Used by both plays.

use crate::scenario::What;
use std::cell::RefCell;

/// State of a server's process as seen from the network.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    Up,
    /// Unresponsive: connections stay open without answers, new ones are never established.
    Silent,
    /// No process: connections are refused.
    Down,
}

/// Active troubles at one server: index in the script, kind, and magnitude.
#[derive(Debug, Default)]
pub struct ActiveTroubles(RefCell<Vec<(usize, What, f64)>>);

impl ActiveTroubles {
    pub fn apply_trouble(&self, place: usize, what: What, by: f64) {
        self.0.borrow_mut().push((place, what, by));
    }

    /// Ends a trouble; false if it was not active here.
    pub fn end_trouble(&self, place: usize) -> bool {
        let mut troubles = self.0.borrow_mut();
        let before = troubles.len();
        troubles.retain(|trouble| trouble.0 != place);
        troubles.len() < before
    }

    pub fn has(&self, what: What) -> bool {
        self.0.borrow().iter().any(|trouble| trouble.1 == what)
    }

    /// Probability that a request is unaffected by all active troubles of a kind.
    pub fn unaffected_share(&self, what: What) -> f64 {
        self.fold(what, 1.0, |unaffected_share, by| unaffected_share * (1.0 - by))
    }

    /// Remaining share of the speed.
    pub fn speed_factor(&self) -> f64 {
        self.fold(What::Slow, 1.0, |speed_factor, by| speed_factor * by)
    }

    /// Idle time-out of connections, ms, given `usual` seconds without troubles.
    pub fn idle(&self, usual: f64) -> f64 {
        self.fold(What::ShortIdle, usual, f64::min) * 1000.0
    }

    fn fold(&self, what: What, from: f64, with: fn(f64, f64) -> f64) -> f64 {
        let troubles = self.0.borrow();
        troubles.iter().filter(|trouble| trouble.1 == what).fold(from, |sum, trouble| with(sum, trouble.2))
    }
}

#[cfg(test)]
mod tests;
