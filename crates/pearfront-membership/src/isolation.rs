//! Detects that this process hears nobody. Such a process has reason to doubt itself before it doubts all
//! others. Used by `Membership`.

use crate::times::{ISOLATED_AFTER_PROBES, ISOLATION_PATIENCE};

/// Whether this process hears anyone.
#[derive(Default)]
pub(crate) struct Isolation {
    /// Own probes in a row that failed while nothing was heard from anyone.
    missed_probes: u32,
    isolated_since: Option<f64>,
    /// When anyone was last heard.
    last_heard: f64,
}

impl Isolation {
    /// Since when it has heard nobody, if so.
    pub fn since(&self) -> Option<f64> {
        self.isolated_since
    }

    /// Something was heard; true if the process was isolated until now.
    pub fn on_heard(&mut self, now: f64) -> bool {
        self.last_heard = now;
        self.missed_probes = 0;
        self.isolated_since.take().is_some()
    }

    /// An own probe started at that time has failed; true if the process is isolated from now on.
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

    /// Until when it passes no verdict on others, if it is isolated.
    pub fn verdicts_suspended_until(&self, suspicion: f64) -> Option<f64> {
        self.isolated_since.map(|since| since + ISOLATION_PATIENCE * suspicion)
    }
}
