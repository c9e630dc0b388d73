//! Calls about duties that take their time: whoever makes one waits for a leader's answer, and no longer than it may.

use crate::drive::Cluster;
use crate::duty_view::{DutiesView, HoldView};
use crate::settings::is_duty_name;
use pearfront_duties::{Rank, Want};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Longest that a call waits: operators' calls are answered within 2 s, and their callers wait for 1 s.
const WAIT: Duration = Duration::from_millis(700);

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
        self.board.is_some()
    }

    /// All duties, asked of the leader, and this process's own; what no leader told in time is left out.
    pub async fn duties(&self) -> Option<DutiesView> {
        self.list().await;
        self.on_board(|board, now| board.view(now))
    }

    async fn list(&self) {
        self.on_board(|board, now| board.ask_for_list(now));
        self.soon(|cluster| cluster.on_board(|board, _| board.listed().is_some()).unwrap_or(true)).await;
    }

    /// Waits until something is so.
    pub(crate) async fn until(&self, is: impl Fn(&Self) -> bool) {
        loop {
            // Told from here on: what comes between the look and the wait is not missed.
            let news = self.news.notified();
            tokio::pin!(news);
            news.as_mut().enable();
            if is(self) {
                return;
            }
            news.await;
        }
    }

    /// The same, for as long as a call may wait.
    async fn soon(&self, is: impl Fn(&Self) -> bool) {
        let _ = timeout(WAIT, self.until(is)).await;
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
        let known = self.on_board(|board, now| board.rented(duty, now).held.is_some()).unwrap_or(false);
        let mine = self.on_board(|board, now| board.rent(&hold.client, want, now));
        if mine != Some(true) {
            return Err(format!("another command of this process wants {duty}"));
        }
        let held = |cluster: &Self| {
            cluster.on_board(|board, now| board.rented(duty, now).held.is_some()).unwrap_or(true)
        };
        // One that holds it already only asks how long it may go on.
        if !known {
            self.soon(held).await;
        }
        self.on_board(|board, now| board.rented(duty, now)).ok_or_else(|| "there are no voters".into())
    }

    fn want(&self, hold: &Hold) -> Want {
        let settings = self.settings.duties.get(&hold.duty).cloned().unwrap_or_default();
        let place = settings.zones.iter().position(|zone| *zone == self.settings.zone);
        let zone = place.unwrap_or(settings.zones.len()).min(usize::from(u8::MAX)) as u8;
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
    pub fn give_up(&self, duty: &str, client: &str, well: bool) -> bool {
        self.on_board(|board, now| board.give_up(duty, client, well, now)).unwrap_or(false)
    }

    /// Whoever holds a duty is to leave it, for that one if one is named; what came of it.
    ///
    /// # Errors
    /// Nobody holds it, or no leader answered.
    pub async fn move_duty(&self, duty: &str, to: Option<&str>) -> Result<String, String> {
        self.list().await;
        if self.on_board(|board, _| board.listed().is_none()).unwrap_or(true) {
            return Err("no leader answers".into());
        }
        if !self.on_board(|board, now| board.order(duty, to, now)).unwrap_or(false) {
            return Err(format!("nobody holds {duty}"));
        }
        self.soon(|cluster| cluster.on_board(|board, _| board.ordered().is_some()).unwrap_or(true)).await;
        let told = self.on_board(|board, _| board.ordered().and_then(|told| told.first().cloned()));
        told.flatten().ok_or_else(|| "no leader answers".into())
    }
}
