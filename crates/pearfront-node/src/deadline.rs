//! Deadlines of client requests: when the answer to a request is due, whatever the request waits
//! for meanwhile, and when it has to end early for a pipelined one. Used by `dispatcher`.

use crate::clock::Clock;
use crate::stall_monitor::{CATCH_UP, StallMonitor};
use crate::tracked_stream::TrackedStream;
use std::cell::Cell;
use std::future::pending;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// How long before its deadline a request without an answer is answered, ms: later than the
/// decision module's last chance, which is two rounds before the deadline.
const ANSWER_MARGIN_MS: f64 = 4.0;
/// The same for a request whose body is incomplete, as the module waits for the body, and for one
/// before a pipelined request that is due. A request with no more time left than this when its turn
/// comes is answered at once, so that those behind it are in time.
const EARLY_MARGIN_MS: f64 = 10.0;
/// Time for the decision module's round after a process stall, once the data that arrived meanwhile
/// has been read.
const ROUND_TIME: Duration = Duration::from_millis(10);
/// Time to read what arrived during a process stall, and for the module's next round.
const CATCH_UP_AND_ROUND: Duration = CATCH_UP.saturating_add(ROUND_TIME);

/// When the answer to one request is due, ms on the node's clock. The time runs from its last byte.
/// While that has not been read, it may be in the kernel's buffer, and the time runs from the
/// earliest moment at which it can have arrived.
pub struct Deadline {
    clock: Clock,
    stall_monitor: Rc<StallMonitor>,
    /// How long the client waits, ms.
    time_ms: f64,
    /// When the last byte arrived, once the body has been passed on.
    completed_at: Cell<Option<f64>>,
    /// The client connection; a weak reference, so that it does not keep the connection open.
    client: Weak<TrackedStream>,
}

impl Deadline {
    /// Deadline of a request whose head says that its client waits for `time_ms` ms.
    pub fn new(
        clock: Clock,
        stall_monitor: Rc<StallMonitor>,
        time_ms: f64,
        client: &Rc<TrackedStream>,
    ) -> Self {
        Self { clock, stall_monitor, time_ms, completed_at: Cell::new(None), client: Rc::downgrade(client) }
    }

    /// The last byte has been read, and the body has been passed on.
    pub fn body_complete(&self) {
        self.completed_at.set(Some(self.starts_at()));
    }

    /// Whether the body is still being passed on.
    pub fn is_incomplete(&self) -> bool {
        self.completed_at.get().is_none()
    }

    /// When the last byte arrived, or the earliest time at which it can have.
    pub fn starts_at(&self) -> f64 {
        let read = || {
            let client = self.client.upgrade()?;
            let seen = client.arrived_at().unwrap_or_else(|| client.unread_since());
            Some(self.clock.time_of(earliest_arrival(&client, self.clock, &self.stall_monitor, seen)))
        };
        self.completed_at.get().or_else(read).unwrap_or_else(|| self.clock.now())
    }

    /// When the answer is due, ms.
    pub fn at(&self) -> f64 {
        self.starts_at() + self.time_ms
    }

    /// What the request was waiting for when its time ran out.
    pub fn expiry_reason(&self) -> &'static str {
        if self.clock.now() < self.at() - EARLY_MARGIN_MS {
            "the answer to a pipelined request is due"
        } else if self.is_incomplete() {
            "no server took its body"
        } else {
            "the decision module made no decision"
        }
    }

    /// Whether too little time is left for any attempt, or until the answer has to end for a
    /// pipelined request.
    pub fn is_too_late(&self) -> bool {
        let now = self.clock.now();
        let is_soon = |end: f64| now >= end - EARLY_MARGIN_MS;
        self.time_left(now) <= EARLY_MARGIN_MS.min(self.time_ms)
            || self.pipelined_limit().is_some_and(is_soon)
    }

    /// Time left, ms.
    pub fn time_left(&self, now: f64) -> f64 {
        (self.at() - now).min(self.time_ms)
    }

    /// When the request has to be answered here if nobody else has answered it. If pipelined
    /// requests behind it are due earlier, their answers have to wait for this one.
    fn answer_by(&self) -> f64 {
        let own = self.at() - if self.is_incomplete() { EARLY_MARGIN_MS } else { ANSWER_MARGIN_MS };
        self.pipelined_limit().map_or(own, |behind| own.min(behind))
    }

    fn pipelined_limit(&self) -> Option<f64> {
        pipelined_limit(&*self.client.upgrade()?, self.clock, &self.stall_monitor)
    }

    /// Waits until then.
    pub async fn wait_until_due(&self) {
        if cfg!(feature = "broken-deadline") {
            pending().await
        }
        let wait = || wait_until(self.clock, &self.client, || self.answer_by());
        wait().await;
        if self.stall_monitor.stall_began(self.clock.now()).is_some() {
            // The data that arrived during the stall is being read, and the module has yet to run
            // its round.
            sleep(CATCH_UP_AND_ROUND).await;
            wait().await;
        }
    }
}

/// The latest time, ms, at which the answer to a request has to end for the first pipelined one
/// behind it to be in time.
fn pipelined_limit(client: &TrackedStream, clock: Clock, stall_monitor: &StallMonitor) -> Option<f64> {
    client
        .pipelined_due(|seen| earliest_arrival(client, clock, stall_monitor, seen))
        .map(|due| clock.time_of(due) - EARLY_MARGIN_MS)
}

/// The earliest time at which data can have arrived that was read or seen at `seen`: during a
/// process stall nothing was read.
fn earliest_arrival(
    client: &TrackedStream,
    clock: Clock,
    stall_monitor: &StallMonitor,
    seen: Instant,
) -> Instant {
    let stall = stall_monitor.stall_began(clock.time_of(seen)).map(|began| clock.instant_at(began));
    stall.map_or(seen, |began| began.max(client.opened_at()))
}

/// Waits until an answer under way to this client has to end because the answer to a pipelined
/// request is due.
pub async fn pipelined_answer_is_due(clock: Clock, stall_monitor: &StallMonitor, client: &Rc<TrackedStream>) {
    let at = || pipelined_limit(client, clock, stall_monitor).unwrap_or(f64::INFINITY);
    wait_until(clock, &Rc::downgrade(client), at).await;
}

/// Waits until the time `at`, ms, which is computed again whenever more data from the client
/// arrives.
async fn wait_until(clock: Clock, client: &Weak<TrackedStream>, at: impl Fn() -> f64) {
    while let at = at()
        && clock.now() < at
    {
        tokio::select! {
            () = sleep_until(clock.instant_at(at)) => {}
            () = wait_for_more(client) => {}
        }
    }
}

/// Waits until more data from the client arrives.
async fn wait_for_more(client: &Weak<TrackedStream>) {
    match client.upgrade() {
        Some(client) => client.wait_for_read().await,
        None => pending().await,
    }
}
