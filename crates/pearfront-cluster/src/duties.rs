//! Calls about duties that take their time: whoever makes one waits for a leader's answer, and no longer than it may.

use crate::cluster::Cluster;
use crate::duty_view::{DutiesView, HoldView};
use crate::settings::is_duty_name;
use pearfront_duties::{Rank, Want};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Longest that a call waits: operators' calls are answered within 2 s, and their callers wait for 1 s.
const MAX_WAIT: Duration = Duration::from_millis(700);

/// What a command wants to hold.
#[derive(Debug, Clone, PartialEq)]
pub struct Hold {
    pub duty: String,
    /// Tells one command from another at the same process.
    pub client: String,
    /// Not again within this time, ms, after a run that ended well; 0 if that does not matter.
    pub once_per_ms: f64,
}

impl Cluster {
    /// Does anybody decide about duties here?
    pub fn has_duties(&self) -> bool {
        self.duty_service.is_some()
    }

    /// All duties, asked of the leader, and this process's own; what no leader told in time is left out.
    pub async fn duties(&self) -> Option<DutiesView> {
        self.request_list().await;
        self.with_duties(|duties, now| duties.view(now))
    }

    async fn request_list(&self) {
        self.with_duties(|duties, now| duties.request_list(now));
        self.wait_briefly(|cluster| cluster.with_duties(|duties, _| duties.list().is_some()).unwrap_or(true))
            .await;
    }

    /// Waits until something is so.
    pub(crate) async fn wait_until(&self, condition: impl Fn(&Self) -> bool) {
        loop {
            // Told from here on: what comes between the look and the wait is not missed.
            let changed = self.duties_changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            if condition(self) {
                return;
            }
            changed.await;
        }
    }

    /// The same, for as long as a call may wait.
    async fn wait_briefly(&self, condition: impl Fn(&Self) -> bool) {
        let _ = timeout(MAX_WAIT, self.wait_until(condition)).await;
    }

    /// A command wants a duty, or wants to go on with it: how things stand, as soon as it holds it or time is up.
    ///
    /// # Errors
    /// Why it can't: a name that is none, or another command of this process that wants the same.
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
        // One that holds it already only asks how long it may go on.
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
            // A command goes on when the process that it asks has ended.
            outlives_process: true,
            min_interval: hold.once_per_ms,
            rank: Rank { zone, load: 0, preference: settings.preference },
        }
    }

    /// A command is done with its duty. False if it does not have it.
    pub fn give_up(&self, duty: &str, client: &str, succeeded: bool) -> bool {
        self.with_duties(|duties, now| duties.give_up(duty, client, succeeded, now)).unwrap_or(false)
    }

    /// Whoever holds a duty is to leave it, for that one if one is named; what came of it.
    ///
    /// # Errors
    /// Nobody holds it, or no leader answered.
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
