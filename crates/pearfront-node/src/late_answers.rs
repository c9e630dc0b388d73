//! Counts answers that came too late or never, and tells why.

use crate::counters::Counters;
use crate::logger::InfoLimiter;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use std::rc::Rc;

/// From when on behind its time an answer is lost, ms.
const LOST_AFTER: f64 = 500.0;
/// Lines a second of the log.
const LINES: u32 = 10;

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
pub struct LateAnswers {
    book: Rc<Counters>,
    late: InfoLimiter,
    never: InfoLimiter,
}

impl LateAnswers {
    pub fn new(book: Rc<Counters>) -> Self {
        Self { book, late: InfoLimiter::new(LINES), never: InfoLimiter::new(LINES) }
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
