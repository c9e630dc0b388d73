//! When the answer to a request is due: the one owner of its time, whatever it waits for meanwhile.

use crate::clock::Clock;
use crate::stall_monitor::{CATCH_UP, StallMonitor};
use crate::tracked_stream::TrackedStream;
use std::cell::Cell;
use std::future::pending;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// How long ahead of its time a request gets its answer that nobody else has given, ms: behind the module's last call, which is
/// two rounds ahead.
const LAST_MOMENT: f64 = 4.0;
/// The same for one whose body is not whole, as the module waits for the body, and for one behind which another is due. One of
/// which no more is left when its turn comes is answered at once, so that those behind it are in time.
const AHEAD: f64 = 10.0;
/// What the module is given for its round behind a stop, once what came meanwhile has been read.
const ROUND: Duration = Duration::from_millis(10);
/// How long the process reads what came while it stood still, and the module plays its round.
const CATCH_UP_AND_ROUND: Duration = CATCH_UP.saturating_add(ROUND);

/// When the answer to one request is due, ms on the node's clock. Its time counts from its last byte. As long as that has not
/// been read it may lie unread in the kernel, and counts from when it can have come at the earliest.
pub struct Deadline {
    clock: Clock,
    stall_monitor: Rc<StallMonitor>,
    /// How long its client waits, ms.
    time: f64,
    /// When its last byte came, once its body has gone on.
    came: Cell<Option<f64>>,
    /// Its client's connection; not kept open by it.
    client: Weak<TrackedStream>,
}

impl Deadline {
    /// Of a request whose head says that its client waits so long.
    pub fn new(clock: Clock, stall_monitor: Rc<StallMonitor>, time: f64, client: &Rc<TrackedStream>) -> Self {
        Self { clock, stall_monitor, time, came: Cell::new(None), client: Rc::downgrade(client) }
    }

    /// Its last byte has been read, and its body has gone on.
    pub fn whole(&self) {
        self.came.set(Some(self.counts_from()));
    }

    /// Is its body still on its way through?
    pub fn is_coming(&self) -> bool {
        self.came.get().is_none()
    }

    /// When its last byte came, or can have come at the earliest.
    pub fn counts_from(&self) -> f64 {
        let read = || {
            let client = self.client.upgrade()?;
            let seen = client.came().unwrap_or_else(|| client.unread_since());
            Some(self.clock.time_of(earliest(&client, self.clock, &self.stall_monitor, seen)))
        };
        self.came.get().or_else(read).unwrap_or_else(|| self.clock.now())
    }

    pub fn at(&self) -> f64 {
        self.counts_from() + self.time
    }

    /// What it waited for when its time was over.
    pub fn why(&self) -> &'static str {
        if self.clock.now() < self.at() - AHEAD {
            "a request behind it is due"
        } else if self.is_coming() {
            "its body was not taken"
        } else {
            "no decision came"
        }
    }

    /// Is too little of it left for any attempt, or too little until it has to end for one behind it?
    pub fn is_over(&self) -> bool {
        let now = self.clock.now();
        let is_soon = |end: f64| now >= end - AHEAD;
        self.left(now) <= AHEAD.min(self.time) || self.ends_for_one_behind().is_some_and(is_soon)
    }

    /// What is left of it, ms.
    pub fn left(&self, now: f64) -> f64 {
        (self.at() - now).min(self.time)
    }

    /// When an answer has to be given by whoever owns the time, if nobody else has. Where requests behind this one are due
    /// before it, their answers have to wait for its own.
    fn ends_at(&self) -> f64 {
        let own = self.at() - if self.is_coming() { AHEAD } else { LAST_MOMENT };
        self.ends_for_one_behind().map_or(own, |behind| own.min(behind))
    }

    fn ends_for_one_behind(&self) -> Option<f64> {
        ends_for_one_behind(&*self.client.upgrade()?, self.clock, &self.stall_monitor)
    }

    /// Waits until then.
    pub async fn over(&self) {
        if cfg!(feature = "broken-deadline") {
            pending().await
        }
        let is_reached = || reached(self.clock, &self.client, || self.ends_at());
        is_reached().await;
        if self.stall_monitor.stall_began(self.clock.now()).is_some() {
            // What came meanwhile is being read, and the module plays its round.
            sleep(CATCH_UP_AND_ROUND).await;
            is_reached().await;
        }
    }
}

/// When the answer to a request has to end at the latest, ms, for the first of those behind it to be in time.
fn ends_for_one_behind(client: &TrackedStream, clock: Clock, stall_monitor: &StallMonitor) -> Option<f64> {
    client
        .due_behind(|seen| earliest(client, clock, stall_monitor, seen))
        .map(|due| clock.time_of(due) - AHEAD)
}

/// When that came from a client, at the earliest, which was read or seen then: while the process stood still nothing was read.
fn earliest(client: &TrackedStream, clock: Clock, stall_monitor: &StallMonitor, seen: Instant) -> Instant {
    let stopped = stall_monitor.stall_began(clock.time_of(seen)).map(|begun| clock.instant_at(begun));
    stopped.map_or(seen, |begun| begun.max(client.opened()))
}

/// Waits until an answer that is on its way to this client has to end, as one behind it is due.
pub async fn one_behind_is_due(clock: Clock, stall_monitor: &StallMonitor, client: &Rc<TrackedStream>) {
    let at = || ends_for_one_behind(client, clock, stall_monitor).unwrap_or(f64::INFINITY);
    reached(clock, &Rc::downgrade(client), at).await;
}

/// Waits until that time, ms, which is asked for again whenever more has come of what the client sends.
async fn reached(clock: Clock, client: &Weak<TrackedStream>, at: impl Fn() -> f64) {
    while let at = at()
        && clock.now() < at
    {
        tokio::select! {
            () = sleep_until(clock.instant_at(at)) => {}
            () = more_has_come(client) => {}
        }
    }
}

/// Waits until more of what a client sends has come.
async fn more_has_come(client: &Weak<TrackedStream>) {
    match client.upgrade() {
        Some(client) => client.read_more().await,
        None => pending().await,
    }
}
