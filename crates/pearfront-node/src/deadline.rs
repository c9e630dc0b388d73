//! When the answer to a request is due: the one owner of its time, whatever it waits for meanwhile; and how far answers kept
//! to that.

use crate::book::Book;
use crate::logger::Limited;
use crate::pulse::Pulse;
use crate::route::Clock;
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
/// How long behind its time an answer that the module owes is left to it, ms: it answers ahead of the time.
const LEFT_TO_MODULE: f64 = 100.0;
/// How long ahead of its time a request whose body is not whole gets its answer, ms, as the module waits for the body; and so
/// one behind which another is due.
const AHEAD: f64 = 10.0;
/// How long the process reads what came while it stood still.
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

    /// What is left of it, ms.
    pub fn left(&self, now: f64) -> f64 {
        (self.at() - now).min(self.time)
    }

    /// When an answer has to be given by whoever owns the time, if nobody else has. Where requests behind this one are due
    /// before it, their answers have to wait for its own.
    fn ends_at(&self) -> f64 {
        let own = self.at() + if self.is_coming() { -AHEAD } else { LEFT_TO_MODULE };
        let behind = self.client.upgrade().and_then(|client| client.due_behind());
        behind.map_or(own, |due| own.min(self.clock.time_of(due) - AHEAD))
    }

    /// Waits until more of what its client sends has been read.
    async fn read_more(&self) {
        match self.client.upgrade() {
            Some(client) => client.read_more().await,
            None => pending().await,
        }
    }

    /// Waits until then.
    pub async fn over(&self) {
        if cfg!(feature = "broken-deadline") {
            pending().await
        }
        loop {
            let (at, now) = (self.ends_at(), self.clock.now());
            if now < at {
                tokio::select! {
                    () = sleep_until(self.clock.at(at)) => {}
                    () = self.read_more() => {}
                }
            } else if self.pulse.stopped_at(now).is_some() {
                // What came meanwhile is being read, and the module plays its round.
                sleep(CATCH_UP).await;
            } else {
                return;
            }
        }
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
