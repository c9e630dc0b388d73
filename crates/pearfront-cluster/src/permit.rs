//! The permit to be away: so many nodes of a zone at a time may drain or end. It is a duty of the zone's like any other;
//! one that is drained and loses it takes jobs again before another may go.

use crate::cluster::Cluster;
use crate::settings::PermitSettings;
use pearfront_duties::{Rank, Want};
use std::time::Duration;
use tokio::time::timeout;

impl Cluster {
    fn permit(&self) -> Option<(String, &PermitSettings)> {
        let permit = self.settings.drain_permit.as_ref()?;
        Some((format!("drain:{}", self.settings.zone), permit))
    }

    /// Does it need a permit to drain?
    pub fn needs_permit(&self) -> bool {
        self.permit().is_some()
    }

    /// Takes the permit, if it needs one; it is kept until `give_up_permit`.
    ///
    /// # Errors
    /// Who is away, and for how long at most; or that no leader answers. It is not wanted any more then.
    pub async fn take_permit(&self, wait: Duration) -> Result<(), String> {
        let Some((duty, permit)) = self.permit() else { return Ok(()) };
        let want = Want {
            duty: duty.clone(),
            max_holders: permit.at_most,
            lease: permit.restart_ms,
            // It is away until it is back, not until its process has ended.
            outlives_process: true,
            min_interval: 0.0,
            rank: Rank::default(),
        };
        self.with_duties(|duties, now| duties.want(want, now));
        let held = || self.with_duties(|duties, now| duties.holds(&duty, now)).unwrap_or(false);
        let _ = timeout(wait, self.wait_until(|_| held())).await;
        if held() {
            return Ok(());
        }
        let view = self.with_duties(|duties, now| duties.hold_view(&duty, now));
        self.give_up_permit();
        let holders = view.map(|view| view.holders).unwrap_or_default();
        let holders_away: Vec<String> = holders
            .iter()
            .map(|holder| format!("{} for {:.0} s at most", holder.name, (holder.left_ms / 1000.0).ceil()))
            .collect();
        if holders_away.is_empty() {
            Err("no leader gives a permit".into())
        } else {
            Err(format!("away: {}", holders_away.join(", ")))
        }
    }

    pub fn give_up_permit(&self) {
        if let Some((duty, _)) = self.permit() {
            self.with_duties(|duties, now| duties.unwant(&duty, now));
        }
    }

    /// Completes once the permit is not held, or none is needed.
    pub async fn permit_lost(&self) {
        let Some((duty, _)) = self.permit() else { return };
        self.wait_until(|cluster| {
            !cluster.with_duties(|duties, now| duties.holds(&duty, now)).unwrap_or(false)
        })
        .await;
    }
}
