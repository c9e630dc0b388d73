//! What troubles have struck a server, how it stands since, and what they do to it together.

use crate::scenario::What;
use std::cell::RefCell;

/// How a server's process stands to the network.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    Up,
    /// Says nothing: connections stay open and silent, new ones never come up.
    Silent,
    /// No process: connections are refused.
    Down,
}

/// Troubles under way at one server: place in the script, what, and how much.
#[derive(Debug, Default)]
pub struct ActiveTroubles(RefCell<Vec<(usize, What, f64)>>);

impl ActiveTroubles {
    pub fn apply_trouble(&self, place: usize, what: What, by: f64) {
        self.0.borrow_mut().push((place, what, by));
    }

    /// Ends one; false if it did not strike here.
    pub fn end_trouble(&self, place: usize) -> bool {
        let mut troubles = self.0.borrow_mut();
        let before = troubles.len();
        troubles.retain(|trouble| trouble.0 != place);
        troubles.len() < before
    }

    pub fn has(&self, what: What) -> bool {
        self.0.borrow().iter().any(|trouble| trouble.1 == what)
    }

    /// Chance that none of the troubles of a kind strikes a job.
    pub fn unaffected_share(&self, what: What) -> f64 {
        self.fold(what, 1.0, |unaffected_share, by| unaffected_share * (1.0 - by))
    }

    /// Share of its speed that is left.
    pub fn speed_factor(&self) -> f64 {
        self.fold(What::Slow, 1.0, |speed_factor, by| speed_factor * by)
    }

    /// After this time, ms, it closes an idle connection, where that is `usual` seconds without troubles.
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
