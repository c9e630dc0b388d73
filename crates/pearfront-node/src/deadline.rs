//! When the answer to a request is due: the one owner of its time, whatever it waits for meanwhile; and how far answers kept
//! to that.

use crate::book::Book;
use crate::clock::Clock;
use crate::logger::Limited;
use crate::pulse::Pulse;
use crate::wire::Wire;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use std::cell::Cell;
use std::future::pending;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// From when on behind its time an answer is lost, ms.
const LOST_AFTER: f64 = 500.0;
/// How long ahead of its time a request gets its answer that nobody else has given, ms: behind the module's last call, which is
/// two rounds ahead.
const LAST_MOMENT: f64 = 4.0;
/// The same for one whose body is not whole, as the module waits for the body, and for one behind which another is due. One of
/// which no more is left when its turn comes is answered at once, so that those behind it are in time.
const AHEAD: f64 = 10.0;
/// How long the process reads what came while it stood still, and the module plays its round.
const CATCH_UP: Duration = Duration::from_millis(60);
/// Lines a second of the log.
const LINES: u32 = 10;

/// When the answer to one request is due, ms on the node's clock. Its time counts from its last byte. As long as that has not
/// been read it may lie unread in the kernel, and counts from when it can have come at the earliest.
pub struct Deadline {
    clock: Clock,
    pulse: Rc<Pulse>,
    /// How long its client waits, ms.
    time: f64,
    /// When its last byte came, once its body has gone on.
    came: Cell<Option<f64>>,
    /// Its client's connection; not kept open by it.
    client: Weak<Wire>,
}

impl Deadline {
    /// Of a request whose head says that its client waits so long.
    pub fn new(clock: Clock, pulse: Rc<Pulse>, time: f64, client: &Rc<Wire>) -> Self {
        Self { clock, pulse, time, came: Cell::new(None), client: Rc::downgrade(client) }
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
        let read = || self.client.upgrade()?.came().map(|came| self.came_at(came));
        let unread = || self.client.upgrade().map(|client| self.came_at(client.unread_since()));
        self.came.get().or_else(read).or_else(unread).unwrap_or_else(|| self.clock.now())
    }

    /// When that came, at the earliest, which was read then: while the process stood still nothing was read.
    fn came_at(&self, read: Instant) -> f64 {
        let read = self.clock.time_of(read);
        self.pulse.stopped_at(read).unwrap_or(read)
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
        let behind =
            self.client.upgrade().and_then(|client| ends_for_one_behind(&client, self.clock, &self.pulse));
        self.left(now) <= AHEAD.min(self.time) || behind.is_some_and(is_soon)
    }

    /// What is left of it, ms.
    pub fn left(&self, now: f64) -> f64 {
        (self.at() - now).min(self.time)
    }

    /// When an answer has to be given by whoever owns the time, if nobody else has. Where requests behind this one are due
    /// before it, their answers have to wait for its own.
    fn ends_at(&self) -> f64 {
        let own = self.at() - if self.is_coming() { AHEAD } else { LAST_MOMENT };
        let behind =
            self.client.upgrade().and_then(|client| ends_for_one_behind(&client, self.clock, &self.pulse));
        behind.map_or(own, |behind| own.min(behind))
    }

    /// Waits until then.
    pub async fn over(&self) {
        if cfg!(feature = "broken-deadline") {
            pending().await
        }
        let is_reached = || reached(self.clock, &self.client, || self.ends_at());
        is_reached().await;
        if self.pulse.stopped_at(self.clock.now()).is_some() {
            // What came meanwhile is being read, and the module plays its round.
            sleep(CATCH_UP).await;
            is_reached().await;
        }
    }
}

/// When the answer to a request has to end at the latest, ms, for the first of those behind it to be in time.
fn ends_for_one_behind(client: &Wire, clock: Clock, pulse: &Pulse) -> Option<f64> {
    let came_at = |seen| pulse.stopped_at(clock.time_of(seen)).map_or(seen, |begun| clock.at(begun));
    client.due_behind(came_at).map(|due| clock.time_of(due) - AHEAD)
}

/// Waits until an answer that is on its way to this client has to end, as one behind it is due.
pub async fn one_behind_is_due(clock: Clock, pulse: &Pulse, client: &Rc<Wire>) {
    let at = || ends_for_one_behind(client, clock, pulse).unwrap_or(f64::INFINITY);
    reached(clock, &Rc::downgrade(client), at).await;
}

/// Waits until that time, ms, which is asked for again whenever more has come of what the client sends.
async fn reached(clock: Clock, client: &Weak<Wire>, at: impl Fn() -> f64) {
    while let at = at()
        && clock.now() < at
    {
        tokio::select! {
            () = sleep_until(clock.at(at)) => {}
            () = more_has_come(client) => {}
        }
    }
}

/// Waits until more of what a client sends has come.
async fn more_has_come(client: &Weak<Wire>) {
    match client.upgrade() {
        Some(client) => client.read_more().await,
        None => pending().await,
    }
}

/// How a request was answered. Times are ms on the node's clock.
pub struct Answered {
    pub id: HeaderValue,
    pub status: StatusCode,
    /// When its last byte came, its turn on its connection began, and its answer was there.
    pub came: f64,
    pub turn: f64,
    pub answered: f64,
    /// How long its client waits.
    pub time: f64,
}

/// Counts answers that came too late or never, and tells why.
pub struct Overdue {
    book: Rc<Book>,
    late: Limited,
    never: Limited,
}

impl Overdue {
    pub fn new(book: Rc<Book>) -> Self {
        Self { book, late: Limited::new(LINES), never: Limited::new(LINES) }
    }

    /// An answer begins to go out.
    pub fn answered(&self, answer: &Answered) {
        let took = answer.answered - answer.came;
        if took <= answer.time + LOST_AFTER {
            return;
        }
        self.book.answers_late.add();
        self.late.info(|| {
            format!(
                "late: request {} answered {} {:.0} ms behind its time of {:.0} ms; its turn came after {:.0} ms",
                String::from_utf8_lossy(answer.id.as_bytes()),
                answer.status.as_u16(),
                took - answer.time,
                answer.time,
                answer.turn - answer.came
            )
        });
    }

    /// So many requests that were read get no answer.
    pub fn never(&self, count: usize, why: &str) {
        if count == 0 {
            return;
        }
        (0..count).for_each(|_| self.book.answers_never.add());
        self.never.info(|| format!("never answered: {count} requests that were read, {why}"));
    }
}
