//! Counts and logs answers that came too late or not at all. Used by `client_service`.

use crate::counters::Counters;
use crate::logger::InfoLimiter;
use hyper::StatusCode;
use hyper::header::HeaderValue;
use std::rc::Rc;

/// An answer later than its deadline by more than this counts as lost, ms.
const LOST_AFTER_MS: f64 = 500.0;
/// Log lines per second.
const LOG_LINES_PER_SECOND: u32 = 10;

/// How a request was answered. Times are in ms on the node's clock.
pub struct AnswerTiming {
    pub id: HeaderValue,
    pub status: StatusCode,
    /// When its last byte arrived, when its turn on its connection began, and when its answer was
    /// available.
    pub arrived_at: f64,
    pub started_at: f64,
    pub answered_at: f64,
    /// How long its client waits, ms.
    pub time_ms: f64,
}

/// Counts and logs answers that came too late or not at all.
pub struct LateAnswers {
    counters: Rc<Counters>,
    late_log: InfoLimiter,
    unanswered_log: InfoLimiter,
}

impl LateAnswers {
    pub fn new(counters: Rc<Counters>) -> Self {
        Self {
            counters,
            late_log: InfoLimiter::new(LOG_LINES_PER_SECOND),
            unanswered_log: InfoLimiter::new(LOG_LINES_PER_SECOND),
        }
    }

    /// Records an answer that is about to be written.
    pub fn record_answer(&self, answer: &AnswerTiming) {
        let took = answer.answered_at - answer.arrived_at;
        if took <= answer.time_ms + LOST_AFTER_MS {
            return;
        }
        self.counters.answers_late.add();
        self.late_log.info(|| {
            format!(
                "late: request {} answered {} {:.0} ms after its deadline of {:.0} ms; processing began after {:.0} ms",
                String::from_utf8_lossy(answer.id.as_bytes()),
                answer.status.as_u16(),
                took - answer.time_ms,
                answer.time_ms,
                answer.started_at - answer.arrived_at
            )
        });
    }

    /// Records that `count` requests that were read get no answer.
    pub fn record_unanswered(&self, count: usize, why: &str) {
        if count == 0 {
            return;
        }
        (0..count).for_each(|_| self.counters.answers_never.add());
        self.unanswered_log.info(|| format!("never answered: {count} requests that were read, {why}"));
    }
}
