//! Does this process hear anyone at all? One that doesn't has reason to doubt itself before all others.

use crate::times::{ISOLATED_AFTER_PROBES, ISOLATION_PATIENCE};

#[derive(Default)]
pub(crate) struct Isolation {
    /// Own probes in a row that failed while nothing came from anyone.
    missed_probes: u32,
    isolated_since: Option<f64>,
    /// When anything fresh last came from anyone.
    last_heard: f64,
}

impl Isolation {
    pub fn since(&self) -> Option<f64> {
        self.isolated_since
    }

    /// Something fresh came; true if it was deaf until now.
    pub fn on_heard(&mut self, now: f64) -> bool {
        self.last_heard = now;
        self.missed_probes = 0;
        self.isolated_since.take().is_some()
    }

    /// An own probe failed that began then; true if that makes it deaf.
    pub fn on_probe_failed(&mut self, started_at: f64, now: f64) -> bool {
        if self.last_heard >= started_at {
            self.missed_probes = 0;
            return false;
        }
        self.missed_probes += 1;
        let newly_isolated = self.missed_probes >= ISOLATED_AFTER_PROBES && self.isolated_since.is_none();
        if newly_isolated {
            self.isolated_since = Some(now);
        }
        newly_isolated
    }

    /// Until when it gives no verdict on others, if it holds back at all.
    pub fn verdicts_suspended_until(&self, suspicion: f64) -> Option<f64> {
        self.isolated_since.map(|since| since + ISOLATION_PATIENCE * suspicion)
    }
}
