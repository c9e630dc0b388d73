//! Does this process hear anyone at all? One that doesn't has reason to doubt itself before all others.

use crate::times::{DEAF_AFTER, DEAF_PATIENCE};

#[derive(Default)]
pub(crate) struct Deafness {
    /// Own probes in a row that failed while nothing came from anyone.
    misses: u32,
    since: Option<f64>,
    /// When anything fresh last came from anyone.
    heard: f64,
}

impl Deafness {
    pub fn since(&self) -> Option<f64> {
        self.since
    }

    /// Something fresh came; true if it was deaf until now.
    pub fn hears(&mut self, now: f64) -> bool {
        self.heard = now;
        self.misses = 0;
        self.since.take().is_some()
    }

    /// An own probe failed that began then; true if that makes it deaf.
    pub fn missed(&mut self, began: f64, now: f64) -> bool {
        if self.heard >= began {
            self.misses = 0;
            return false;
        }
        self.misses += 1;
        let deaf = self.misses >= DEAF_AFTER && self.since.is_none();
        if deaf {
            self.since = Some(now);
        }
        deaf
    }

    /// Until when it gives no verdict on others, if it holds back at all.
    pub fn holds_back_until(&self, suspicion: f64) -> Option<f64> {
        self.since.map(|since| since + DEAF_PATIENCE * suspicion)
    }
}
