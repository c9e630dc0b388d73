//! Schedules the calls to discovery and their time-outs. Everything follows from one deadline: when the next
//! list has to be here.
//! A call is held for half of the time left until then and may take half of the rest on top. A call that is
//! not held may take all but what one further call needs. A pause lasts half of the time left at the most.
//! Pushed lists and polled lists both follow this. The calls themselves are made by `discovery.rs`; no I/O
//! here.

use crate::clock::ms;
use crate::lease::{ASSUMED_DELIVERY_AFTER_MOVE_MS, ASSUMED_DELIVERY_MS};
use pearfront::rng::SeededRng;
use rand::Rng;
use std::pin::pin;
use tokio::time::{Instant, sleep, timeout};

/// Part of the assumed delivery times, ms, that is kept for processing a list on a busy machine.
const PROCESSING_SLACK_MS: f64 = 200.0;
/// Share of the time left until the deadline for which a call is held, for which its answer is awaited beyond
/// that, or which a pause lasts.
const DEADLINE_SHARE: f64 = 0.5;
/// Shortest time, ms, that a call is given: an answer takes a few, but the machine may be busy.
const MIN_CALL_MS: f64 = 400.0;
/// Longest time, ms, that a call is given beyond its hold time: a busy discovery works through calls in turn,
/// and its documentation allows 2 s. A call that is given up sooner would go to the end of the queue again,
/// and the work for it be wasted.
const MAX_CALL_MS: f64 = 2100.0;
/// Shortest pause, ms, after calls that fail at once, however near the deadline is, unless the mode's own
/// pause is shorter.
const MIN_PAUSE_MS: f64 = 400.0;
/// Jitter: a pause is a random share of its length, from this share up. All nodes call when discovery is
/// back, and each call has a cost.
const MIN_JITTER: f64 = 0.5;
/// A watch that brought lists for this long, ms, was cut off by accident: the back-off starts again from its
/// first pause.
const STABLE_MS: f64 = 500.0;

/// Why a call brought no list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// No answer in time; perhaps only this connection is lost.
    TimedOut(&'static str),
    /// An answer came, but the list stalled, broke off or can't be decoded. What it contained counts as
    /// delivered.
    Truncated(String),
    /// Discovery can't be reached, or answers with something else.
    Unavailable(String),
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Failure::TimedOut(what) => f.write_str(what),
            Failure::Truncated(what) | Failure::Unavailable(what) => f.write_str(what),
        }
    }
}

/// The result of one call. Times are ms.
#[derive(Debug)]
pub struct CallReport<'a> {
    /// Made on a new connection.
    pub new_connection: bool,
    /// How long discovery was asked to hold it.
    pub hold_ms: f64,
    /// How long it took.
    pub took_ms: f64,
    /// Time from the last list, or the start, to the end of this call.
    pub since_last_list_ms: f64,
    pub failure: Option<&'a Failure>,
}

/// First and longest pause after failed calls in a row, ms; in between the pause doubles.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    pub first_ms: f64,
    pub longest_ms: f64,
}

/// The discovery service as the watch sees it; `Discovery` implements it, and tests use a fake.
pub trait DiscoveryService {
    /// Makes one call, held for at most `hold_ms`; on a new connection to the current address if
    /// `new_connection`. Its list has been applied when the future completes. The future may be dropped at
    /// any time.
    async fn call(&self, new_connection: bool, hold_ms: f64) -> Result<(), Failure>;

    /// Waits until the service has a new address.
    async fn service_moved(&self);

    /// The back-off to use; asked at each failure since the settings may have changed.
    fn backoff(&self) -> Backoff;

    /// Called after a failed call; `again` if the next one is likely to succeed.
    fn call_failed(&self, problem: &Failure, again: bool);

    /// Called at the end of each call.
    fn call_finished(&self, _call: &CallReport) {}
}

/// When the next list is due. Times are ms on the watch's own clock.
#[derive(Debug)]
struct Deadline {
    due: f64,
    /// The due time passed without a list: from then on each failed call shows that discovery could not be
    /// reached when the call began.
    missed: bool,
    /// When the current call, or the last one, began.
    call_began: f64,
    /// Since when lists arrive on this connection.
    connected_since: Option<f64>,
    last_pause_ms: f64,
    /// The last list was incomplete.
    last_call_truncated: bool,
}

impl Deadline {
    fn new(now: f64) -> Self {
        Self {
            due: now + ASSUMED_DELIVERY_MS - PROCESSING_SLACK_MS,
            missed: false,
            call_began: now,
            connected_since: None,
            last_pause_ms: 0.0,
            last_call_truncated: false,
        }
    }

    fn remaining(&self, now: f64) -> f64 {
        (self.due - now).max(0.0)
    }

    /// Starts a call: how long it is held, and how long its answer is awaited beyond that, ms. The first call
    /// on a connection is not held; it only asks for what has changed.
    fn start_call(&mut self, now: f64, new_connection: bool) -> (f64, f64) {
        self.call_began = now;
        let hold_ms = if new_connection { 0.0 } else { self.remaining(now) * DEADLINE_SHARE };
        let left = self.remaining(now + hold_ms);
        let response_timeout_ms = if new_connection { left - MIN_CALL_MS } else { left * DEADLINE_SHARE };
        (hold_ms, response_timeout_ms.clamp(MIN_CALL_MS, MAX_CALL_MS))
    }

    fn list_received(&mut self, now: f64) {
        let connected_since = self.connected_since.unwrap_or(self.call_began);
        *self = Self {
            connected_since: Some(connected_since),
            last_pause_ms: self.last_pause_ms,
            call_began: self.call_began,
            ..Self::new(now)
        };
    }

    fn service_moved(&mut self, now: f64) {
        let due = now + ASSUMED_DELIVERY_AFTER_MOVE_MS - PROCESSING_SLACK_MS;
        self.due = if self.missed { due } else { self.due.min(due) };
        (self.missed, self.last_pause_ms, self.last_call_truncated) = (false, 0.0, false);
    }

    /// Whether the next call is likely to succeed: this one was the first to fail after a list, or the first
    /// list to be incomplete.
    fn next_may_succeed(&self, problem: &Failure) -> bool {
        match problem {
            Failure::TimedOut(_) => self.connected_since.is_some(),
            Failure::Truncated(_) => !self.last_call_truncated,
            Failure::Unavailable(_) => false,
        }
    }

    /// The pause after a failed call, ms.
    fn pause_after_failure(
        &mut self,
        now: f64,
        problem: &Failure,
        backoff: Backoff,
        rng: &mut SeededRng,
    ) -> f64 {
        let was_stable =
            self.connected_since.take().is_some_and(|connected_since| now - connected_since > STABLE_MS);
        self.missed |= self.call_began >= self.due;
        if self.missed {
            self.due = self.call_began + ASSUMED_DELIVERY_MS - PROCESSING_SLACK_MS;
        }
        let truncated_again =
            std::mem::replace(&mut self.last_call_truncated, matches!(problem, Failure::Truncated(_)));
        if self.last_call_truncated && !truncated_again {
            return 0.0;
        }
        let grown =
            if was_stable || self.last_pause_ms == 0.0 { backoff.first_ms } else { self.last_pause_ms * 2.0 };
        self.last_pause_ms = grown.min(backoff.longest_ms);
        // A call that timed out has used part of its pause, or all of it, as long as the deadline can be met.
        let waited = matches!(problem, Failure::TimedOut(_)) && !self.missed;
        let from = if waited { self.call_began } else { now };
        let longest = (self.remaining(from) * DEADLINE_SHARE).max(MIN_PAUSE_MS);
        let pause = self.last_pause_ms.min(longest) * rng.0.random_range(MIN_JITTER..1.0);
        (from + pause - now).max(0.0)
    }
}

/// Calls the service for as long as the process runs.
pub async fn run(service: &impl DiscoveryService, mut rng: SeededRng) -> ! {
    let started = Instant::now();
    let now = || started.elapsed().as_secs_f64() * 1000.0;
    let mut deadline = Deadline::new(now());
    let (mut new_connection, mut last_list) = (true, now());
    loop {
        let (hold_ms, response_timeout_ms) = deadline.start_call(now(), new_connection);
        let mut call =
            pin!(timeout(ms(hold_ms + response_timeout_ms), service.call(new_connection, hold_ms)));
        let (answer, moved) = tokio::select! {
            biased;
            answer = call.as_mut() => (answer.unwrap_or(Err(Failure::TimedOut("no answer in time"))), false),
            () = service.service_moved() => {
                deadline.service_moved(now());
                // A second call, or closing this one, could cut off an answer that is on its way.
                let rest = timeout(ms(deadline.remaining(now()) * DEADLINE_SHARE), call.as_mut()).await;
                (rest.ok().and_then(Result::ok).unwrap_or(Err(Failure::TimedOut("the service has moved"))), true)
            }
        };
        service.call_finished(&CallReport {
            new_connection,
            hold_ms,
            took_ms: now() - deadline.call_began,
            since_last_list_ms: now() - last_list,
            failure: answer.as_ref().err(),
        });
        new_connection = moved || answer.is_err();
        match answer {
            // A list from the old address does not show what the new one has.
            _ if moved => deadline.connected_since = None,
            Ok(()) => {
                deadline.list_received(now());
                last_list = now();
            }
            Err(problem) => {
                service.call_failed(&problem, deadline.next_may_succeed(&problem));
                let pause = deadline.pause_after_failure(now(), &problem, service.backoff(), &mut rng);
                tokio::select! {
                    () = sleep(ms(pause)) => {}
                    // The pause concerned the old address.
                    () = service.service_moved() => deadline.service_moved(now()),
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
