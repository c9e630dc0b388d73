//! When discovery is called, and how long it is waited for. All of it follows from one deadline: by when the service
//! has to be heard again. A call is held for half of what is left until then, and may take half of the rest; one that is
//! not held may take all but what a further one needs; a pause lasts half at the most. Both modes go by it, lists pushed
//! and asked for. The calls themselves are `discovery.rs`'s; nothing here knows of sockets.

use crate::clock::ms;
use crate::lease::{ASSUMED_DELIVERY_AFTER_MOVE_MS, ASSUMED_DELIVERY_MS};
use pearfront::rng::SeededRng;
use rand::Rng;
use std::pin::pin;
use tokio::time::{Instant, sleep, timeout};

/// Part of the times after which changes count as told, ms, that is kept for taking a list in on a busy machine.
const PROCESSING_SLACK_MS: f64 = 200.0;
/// Part of the time left until the deadline for which a call is held, is waited for beyond that, or a pause lasts.
const DEADLINE_SHARE: f64 = 0.5;
/// Least time, ms, that a call may take: an answer comes within a few, but the machine may be busy.
const MIN_CALL_MS: f64 = 400.0;
/// The most: a busy discovery works through calls in turn, and the operators' pages give one 2 s beyond what it is held
/// for. Given up sooner it would stand at the end of the queue again, and the work for it be done for nobody.
const MAX_CALL_MS: f64 = 2100.0;
/// Least pause, ms, behind calls that fail at once, however near the deadline is, unless the mode's own is shorter.
const MIN_PAUSE_MS: f64 = 400.0;
/// Pauses are spread from this share of themselves up: all nodes ask when discovery is back, and calls are priced.
const MIN_JITTER: f64 = 0.5;
/// A watch that has brought lists for so long, ms, was cut off by chance: pauses begin at the first again.
const STABLE_MS: f64 = 500.0;

/// Why a call brought no list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// No answer in time: the way to it may be lost for this connection alone.
    TimedOut(&'static str),
    /// It has answered, but the list stalled, broke off or can't be read. What it wrote counts as told.
    Truncated(String),
    /// The service can't be reached, or says something else.
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

/// How one call went. Times are ms.
#[derive(Debug)]
pub struct CallReport<'a> {
    /// On a new connection.
    pub new_connection: bool,
    /// For how long the service was asked to hold it.
    pub hold_ms: f64,
    /// How long it took.
    pub took_ms: f64,
    /// How long after the last list, or the start, it ended.
    pub since_last_list_ms: f64,
    pub failure: Option<&'a Failure>,
}

/// First and longest pause behind failed calls in a row, ms; between them it doubles.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    pub first_ms: f64,
    pub longest_ms: f64,
}

/// What is called.
pub trait DiscoveryService {
    /// One call, held for at most so long, ms; on a new connection to where the service is now if `anew`. Its list has
    /// been taken in when it returns. It may be dropped at any time.
    async fn call(&self, new_connection: bool, hold_ms: f64) -> Result<(), Failure>;

    /// Waits until the service has moved.
    async fn service_moved(&self);

    /// Asked at each failure: the settings may have changed.
    fn backoff(&self) -> Backoff;

    /// A call failed; `again` if the next one may be well.
    fn call_failed(&self, problem: &Failure, again: bool);

    /// A call is over; told for each one.
    fn call_finished(&self, _call: &CallReport) {}
}

/// By when the service has to be heard again. Times are ms on the watch's own clock.
#[derive(Debug)]
struct Deadline {
    due: f64,
    /// It has passed unheard: from then on each failed call tells that the service could not be reached when it began.
    missed: bool,
    /// When the call began that is on, or was last.
    call_began: f64,
    /// Since when lists come on this connection.
    connected_since: Option<f64>,
    last_pause_ms: f64,
    /// The last call was cut.
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

    /// A call begins: how long it is held, and how long it may take beyond that, ms. The first on a connection asks
    /// only for what has changed since.
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

    /// Was the call that failed so the first behind a list, or cut for the first time? The next one may be well.
    fn next_may_succeed(&self, problem: &Failure) -> bool {
        match problem {
            Failure::TimedOut(_) => self.connected_since.is_some(),
            Failure::Truncated(_) => !self.last_call_truncated,
            Failure::Unavailable(_) => false,
        }
    }

    /// A call failed: the pause before the next one, ms.
    fn pause_after_failure(
        &mut self,
        now: f64,
        problem: &Failure,
        backoff: Backoff,
        chance: &mut SeededRng,
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
        // One that has been waited for has had a part of its pause, or all of it, as long as the deadline can be kept.
        let waited = matches!(problem, Failure::TimedOut(_)) && !self.missed;
        let from = if waited { self.call_began } else { now };
        let longest = (self.remaining(from) * DEADLINE_SHARE).max(MIN_PAUSE_MS);
        let pause = self.last_pause_ms.min(longest) * chance.0.random_range(MIN_JITTER..1.0);
        (from + pause - now).max(0.0)
    }
}

/// Calls the service again and again, for good.
pub async fn run(service: &impl DiscoveryService, mut chance: SeededRng) -> ! {
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
                // A call beside it, or closing it, could end what is on its way.
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
            // What the old place has told is not what the new one has to.
            _ if moved => deadline.connected_since = None,
            Ok(()) => {
                deadline.list_received(now());
                last_list = now();
            }
            Err(problem) => {
                service.call_failed(&problem, deadline.next_may_succeed(&problem));
                let pause = deadline.pause_after_failure(now(), &problem, service.backoff(), &mut chance);
                tokio::select! {
                    () = sleep(ms(pause)) => {}
                    // The pause was meant for the old place.
                    () = service.service_moved() => deadline.service_moved(now()),
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
