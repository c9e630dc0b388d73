//! When the answer to a request is due: the one owner of its time, whatever it waits for meanwhile.

use crate::clock::Clock;
use crate::pulse::{CATCH_UP, Pulse};
use crate::tracked_stream::TrackedStream;
use std::cell::Cell;
use std::future::pending;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// How long ahead of its time a request gets its answer that nobody else has given, ms: behind the module's last call, which is
/// two rounds ahead.
const ANSWER_MARGIN_MS: f64 = 4.0;
/// The same for one whose body is not whole, as the module waits for the body, and for one behind which another is due. One of
/// which no more is left when its turn comes is answered at once, so that those behind it are in time.
const EARLY_MARGIN_MS: f64 = 10.0;
/// What the module is given for its round behind a stop, once what came meanwhile has been read.
const ROUND_TIME: Duration = Duration::from_millis(10);
/// How long the process reads what came while it stood still, and the module plays its round.
const CATCH_UP_AND_ROUND: Duration = CATCH_UP.saturating_add(ROUND_TIME);

/// When the answer to one request is due, ms on the node's clock. Its time counts from its last byte. As long as that has not
/// been read it may lie unread in the kernel, and counts from when it can have come at the earliest.
pub struct Deadline {
    clock: Clock,
    pulse: Rc<Pulse>,
    /// How long its client waits, ms.
    time_ms: f64,
    /// When its last byte came, once its body has gone on.
    completed_at: Cell<Option<f64>>,
    /// Its client's connection; not kept open by it.
    client: Weak<TrackedStream>,
}

impl Deadline {
    /// Of a request whose head says that its client waits so long.
    pub fn new(clock: Clock, pulse: Rc<Pulse>, time_ms: f64, client: &Rc<TrackedStream>) -> Self {
        Self { clock, pulse, time_ms, completed_at: Cell::new(None), client: Rc::downgrade(client) }
    }

    /// Its last byte has been read, and its body has gone on.
    pub fn body_complete(&self) {
        self.completed_at.set(Some(self.starts_at()));
    }

    /// Is its body still on its way through?
    pub fn is_incomplete(&self) -> bool {
        self.completed_at.get().is_none()
    }

    /// When its last byte came, or can have come at the earliest.
    pub fn starts_at(&self) -> f64 {
        let read = || {
            let client = self.client.upgrade()?;
            let seen = client.arrived_at().unwrap_or_else(|| client.unread_since());
            Some(self.clock.time_of(earliest_arrival(&client, self.clock, &self.pulse, seen)))
        };
        self.completed_at.get().or_else(read).unwrap_or_else(|| self.clock.now())
    }

    pub fn at(&self) -> f64 {
        self.starts_at() + self.time_ms
    }

    /// What it waited for when its time was over.
    pub fn expiry_reason(&self) -> &'static str {
        if self.clock.now() < self.at() - EARLY_MARGIN_MS {
            "the answer to a pipelined request is due"
        } else if self.is_incomplete() {
            "no server took its body"
        } else {
            "the decision module made no decision"
        }
    }

    /// Is too little of it left for any attempt, or too little until it has to end for one behind it?
    pub fn is_too_late(&self) -> bool {
        let now = self.clock.now();
        let is_soon = |end: f64| now >= end - EARLY_MARGIN_MS;
        self.time_left(now) <= EARLY_MARGIN_MS.min(self.time_ms)
            || self.pipelined_limit().is_some_and(is_soon)
    }

    /// What is left of it, ms.
    pub fn time_left(&self, now: f64) -> f64 {
        (self.at() - now).min(self.time_ms)
    }

    /// When an answer has to be given by whoever owns the time, if nobody else has. Where requests behind this one are due
    /// before it, their answers have to wait for its own.
    fn answer_by(&self) -> f64 {
        let own = self.at() - if self.is_incomplete() { EARLY_MARGIN_MS } else { ANSWER_MARGIN_MS };
        self.pipelined_limit().map_or(own, |behind| own.min(behind))
    }

    fn pipelined_limit(&self) -> Option<f64> {
        pipelined_limit(&*self.client.upgrade()?, self.clock, &self.pulse)
    }

    /// Waits until then.
    pub async fn wait_until_due(&self) {
        if cfg!(feature = "broken-deadline") {
            pending().await
        }
        let wait = || wait_until(self.clock, &self.client, || self.answer_by());
        wait().await;
        if self.pulse.stopped_at(self.clock.now()).is_some() {
            // What came meanwhile is being read, and the module plays its round.
            sleep(CATCH_UP_AND_ROUND).await;
            wait().await;
        }
    }
}

/// When the answer to a request has to end at the latest, ms, for the first of those behind it to be in time.
fn pipelined_limit(client: &TrackedStream, clock: Clock, pulse: &Pulse) -> Option<f64> {
    client
        .pipelined_due(|seen| earliest_arrival(client, clock, pulse, seen))
        .map(|due| clock.time_of(due) - EARLY_MARGIN_MS)
}

/// When that came from a client, at the earliest, which was read or seen then: while the process stood still nothing was read.
fn earliest_arrival(client: &TrackedStream, clock: Clock, pulse: &Pulse, seen: Instant) -> Instant {
    let stall = pulse.stopped_at(clock.time_of(seen)).map(|began| clock.at(began));
    stall.map_or(seen, |began| began.max(client.opened_at()))
}

/// Waits until an answer that is on its way to this client has to end, as one behind it is due.
pub async fn pipelined_answer_is_due(clock: Clock, pulse: &Pulse, client: &Rc<TrackedStream>) {
    let at = || pipelined_limit(client, clock, pulse).unwrap_or(f64::INFINITY);
    wait_until(clock, &Rc::downgrade(client), at).await;
}

/// Waits until that time, ms, which is asked for again whenever more has come of what the client sends.
async fn wait_until(clock: Clock, client: &Weak<TrackedStream>, at: impl Fn() -> f64) {
    while let at = at()
        && clock.now() < at
    {
        tokio::select! {
            () = sleep_until(clock.at(at)) => {}
            () = wait_for_more(client) => {}
        }
    }
}

/// Waits until more of what a client sends has come.
async fn wait_for_more(client: &Weak<TrackedStream>) {
    match client.upgrade() {
        Some(client) => client.wait_for_read().await,
        None => pending().await,
    }
}
