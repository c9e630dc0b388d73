//! The drain permit: only a limited number of nodes per zone may drain or end at a time. It is an ordinary duty
//! of the zone. A drained node that loses its permit accepts requests again before another node may drain.

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

    /// Does this node need a permit to drain?
    pub fn needs_permit(&self) -> bool {
        self.permit().is_some()
    }

    /// Takes the permit if one is needed. It is kept until `give_up_permit`.
    ///
    /// # Errors
    /// Which nodes are away and for how long at most, or that no leader answers. The permit is not wanted any
    /// more then.
    pub async fn take_permit(&self, wait: Duration) -> Result<(), String> {
        let Some((duty, permit)) = self.permit() else { return Ok(()) };
        let want = Want {
            duty: duty.clone(),
            max_holders: permit.at_most,
            lease: permit.restart_ms,
            // The node is away until it is back, so the permit outlives its process.
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

    /// Gives the permit up, or stops waiting for it.
    pub fn give_up_permit(&self) {
        if let Some((duty, _)) = self.permit() {
            self.with_duties(|duties, now| duties.unwant(&duty, now));
        }
    }

    /// Completes once the permit is lost, or at once if none is needed.
    pub async fn permit_lost(&self) {
        let Some((duty, _)) = self.permit() else { return };
        self.wait_until(|cluster| {
            !cluster.with_duties(|duties, now| duties.holds(&duty, now)).unwrap_or(false)
        })
        .await;
    }
}
