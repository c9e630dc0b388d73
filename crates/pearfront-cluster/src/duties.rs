//! Operator calls about duties. Each waits a limited time for the answer of a leader.

use crate::cluster::Cluster;
use crate::duty_view::{DutiesView, HoldView};
use crate::settings::is_duty_name;
use pearfront_duties::{Rank, Want};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Longest wait of a call. Operator calls are answered within 2 s, and their clients wait for 1 s.
const MAX_WAIT: Duration = Duration::from_millis(700);

/// What a command wants to hold.
#[derive(Debug, Clone, PartialEq)]
pub struct Hold {
    pub duty: String,
    /// Distinguishes commands that use the same process.
    pub client: String,
    /// Minimum time between a successful run and the next grant, ms; 0 for none.
    pub once_per_ms: f64,
}

impl Cluster {
    /// Are there voters that decide about duties?
    pub fn has_duties(&self) -> bool {
        self.duty_service.is_some()
    }

    /// The duties of this process and, if a leader answers in time, all duties.
    pub async fn duties(&self) -> Option<DutiesView> {
        self.request_list().await;
        self.with_duties(|duties, now| duties.view(now))
    }

    async fn request_list(&self) {
        self.with_duties(|duties, now| duties.request_list(now));
        self.wait_briefly(|cluster| cluster.with_duties(|duties, _| duties.list().is_some()).unwrap_or(true))
            .await;
    }

    /// Waits until the condition holds.
    pub(crate) async fn wait_until(&self, condition: impl Fn(&Self) -> bool) {
        loop {
            // Registered before the check, so that a change between check and wait is not missed.
            let changed = self.duties_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if condition(self) {
                return;
            }
            changed.await;
        }
    }

    /// The same, but not longer than a call may take.
    async fn wait_briefly(&self, condition: impl Fn(&Self) -> bool) {
        let _ = timeout(MAX_WAIT, self.wait_until(condition)).await;
    }

    /// A command wants a duty, or wants to keep it. Returns the state as soon as the duty is held or time is
    /// up.
    ///
    /// # Errors
    /// The name is invalid, or another command of this process wants the same duty.
    pub async fn hold(self: &Rc<Self>, hold: &Hold) -> Result<HoldView, String> {
        if !is_duty_name(&hold.duty) {
            return Err("a duty's name has 1 to 64 letters, digits and . _ : -".into());
        }
        let (want, duty) = (self.want(hold), &hold.duty);
        let already_held =
            self.with_duties(|duties, now| duties.hold_view(duty, now).held.is_some()).unwrap_or(false);
        let accepted = self.with_duties(|duties, now| duties.want_for_command(&hold.client, want, now));
        if accepted != Some(true) {
            return Err(format!("another command of this process wants {duty}"));
        }
        let held = |cluster: &Self| {
            cluster.with_duties(|duties, now| duties.hold_view(duty, now).held.is_some()).unwrap_or(true)
        };
        // A command that holds the duty only asks how long it may go on.
        if !already_held {
            self.wait_briefly(held).await;
        }
        self.with_duties(|duties, now| duties.hold_view(duty, now))
            .ok_or_else(|| "there are no voters".into())
    }

    fn want(&self, hold: &Hold) -> Want {
        let settings = self.settings.duties.get(&hold.duty).cloned().unwrap_or_default();
        let position = settings.zones.iter().position(|zone| *zone == self.settings.zone);
        let zone = position.unwrap_or(settings.zones.len()).min(usize::from(u8::MAX)) as u8;
        Want {
            duty: hold.duty.clone(),
            max_holders: settings.holders,
            lease: settings.lease_ms,
            // A command may go on after the process that it calls has ended.
            outlives_process: true,
            min_interval: hold.once_per_ms,
            rank: Rank { zone, load: 0, preference: settings.preference },
        }
    }

    /// A command releases its duty; false if it does not have it.
    pub fn give_up(&self, duty: &str, client: &str, succeeded: bool) -> bool {
        self.with_duties(|duties, now| duties.give_up(duty, client, succeeded, now)).unwrap_or(false)
    }

    /// Asks the holder of a duty to hand it over, to `to` if it is set. Returns what came of it.
    ///
    /// # Errors
    /// Nobody holds the duty, or no leader answered.
    pub async fn move_duty(&self, duty: &str, to: Option<&str>) -> Result<String, String> {
        self.request_list().await;
        if self.with_duties(|duties, _| duties.list().is_none()).unwrap_or(true) {
            return Err("no leader answers".into());
        }
        if !self.with_duties(|duties, now| duties.order_move(duty, to, now)).unwrap_or(false) {
            return Err(format!("nobody holds {duty}"));
        }
        self.wait_briefly(|cluster| {
            cluster.with_duties(|duties, _| duties.order_results().is_some()).unwrap_or(true)
        })
        .await;
        let results =
            self.with_duties(|duties, _| duties.order_results().and_then(|results| results.first().cloned()));
        results.flatten().ok_or_else(|| "no leader answers".into())
    }
}
