//! When discovery is called, and how long it is waited for. All of it follows from one deadline: by when the service
//! has to be heard again. A call is held for half of what is left until then, and may take half of the rest; one that is
//! not held may take all but what a further one needs; a pause lasts half at the most. Both modes go by it, lists pushed
//! and asked for. The calls themselves are `discovery.rs`'s; nothing here knows of sockets.

use crate::clock::ms;
use crate::lease::{TOLD, TOLD_MOVED};
use pearfront::rng::SeededRng;
use rand::Rng;
use std::pin::pin;
use tokio::time::{Instant, sleep, timeout};

/// Part of the times after which changes count as told, ms, that is kept for taking a list in on a busy machine.
const SLACK: f64 = 200.0;
/// Part of the time left until the deadline for which a call is held, is waited for beyond that, or a pause lasts.
const PART: f64 = 0.5;
/// Least time, ms, that a call may take: an answer comes within a few, but the machine may be busy.
const LEAST_CALL: f64 = 400.0;
/// The most: a busy discovery works through calls in turn, and the operators' pages give one 2 s beyond what it is held
/// for. Given up sooner it would stand at the end of the queue again, and the work for it be done for nobody.
const MOST_CALL: f64 = 2100.0;
/// Least pause, ms, behind calls that fail at once, however near the deadline is, unless the mode's own is shorter.
const LEAST_PAUSE: f64 = 400.0;
/// Pauses are spread from this share of themselves up: all nodes ask when discovery is back, and calls are priced.
const SPREAD: f64 = 0.5;
/// A watch that has brought lists for so long, ms, was cut off by chance: pauses begin at the first again.
const LASTED: f64 = 500.0;

/// Why a call brought no list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// No answer in time: the way to it may be lost for this connection alone.
    Silent(&'static str),
    /// It has answered, but the list stalled, broke off or can't be read. What it wrote counts as told.
    Cut(String),
    /// The service can't be reached, or says something else.
    Refused(String),
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Failure::Silent(what) => f.write_str(what),
            Failure::Cut(what) | Failure::Refused(what) => f.write_str(what),
        }
    }
}

/// How one call went. Times are ms.
#[derive(Debug)]
pub struct CallReport<'a> {
    /// On a new connection.
    pub anew: bool,
    /// For how long the service was asked to hold it.
    pub hold: f64,
    /// How long it took.
    pub took: f64,
    /// How long after the last list, or the start, it ended.
    pub since_heard: f64,
    pub failure: Option<&'a Failure>,
}

/// First and longest pause behind failed calls in a row, ms; between them it doubles.
#[derive(Debug, Clone, Copy)]
pub struct Pauses {
    pub first: f64,
    pub longest: f64,
}

/// What is called.
pub trait Service {
    /// One call, held for at most so long, ms; on a new connection to where the service is now if `anew`. Its list has
    /// been taken in when it returns. It may be dropped at any time.
    async fn call(&self, anew: bool, hold: f64) -> Result<(), Failure>;

    /// Waits until the service has moved.
    async fn moved(&self);

    /// Asked at each failure: the settings may have changed.
    fn pauses(&self) -> Pauses;

    /// A call failed; `again` if the next one may be well.
    fn failed(&self, problem: &Failure, again: bool);

    /// A call is over; told for each one.
    fn called(&self, _call: &CallReport) {}
}

/// By when the service has to be heard again. Times are ms on the watch's own clock.
#[derive(Debug)]
struct Deadline {
    due: f64,
    /// It has passed unheard: from then on each failed call tells that the service could not be reached when it began.
    missed: bool,
    /// When the call began that is on, or was last.
    begun: f64,
    /// Since when lists come on this connection.
    up: Option<f64>,
    pause: f64,
    /// The last call was cut.
    cut: bool,
}

impl Deadline {
    fn new(now: f64) -> Self {
        Self { due: now + TOLD - SLACK, missed: false, begun: now, up: None, pause: 0.0, cut: false }
    }

    fn left(&self, now: f64) -> f64 {
        (self.due - now).max(0.0)
    }

    /// A call begins: how long it is held, and how long it may take beyond that, ms. The first on a connection asks
    /// only for what has changed since.
    fn begin(&mut self, now: f64, anew: bool) -> (f64, f64) {
        self.begun = now;
        let hold = if anew { 0.0 } else { self.left(now) * PART };
        let left = self.left(now + hold);
        let patience = if anew { left - LEAST_CALL } else { left * PART };
        (hold, patience.clamp(LEAST_CALL, MOST_CALL))
    }

    fn heard(&mut self, now: f64) {
        let up = self.up.unwrap_or(self.begun);
        *self = Self { up: Some(up), pause: self.pause, begun: self.begun, ..Self::new(now) };
    }

    fn moved(&mut self, now: f64) {
        let due = now + TOLD_MOVED - SLACK;
        self.due = if self.missed { due } else { self.due.min(due) };
        (self.missed, self.pause, self.cut) = (false, 0.0, false);
    }

    /// Was the call that failed so the first behind a list, or cut for the first time? The next one may be well.
    fn may_be_over(&self, problem: &Failure) -> bool {
        match problem {
            Failure::Silent(_) => self.up.is_some(),
            Failure::Cut(_) => !self.cut,
            Failure::Refused(_) => false,
        }
    }

    /// A call failed: the pause before the next one, ms.
    fn failed(&mut self, now: f64, problem: &Failure, pauses: Pauses, chance: &mut SeededRng) -> f64 {
        let lasted = self.up.take().is_some_and(|up| now - up > LASTED);
        self.missed |= self.begun >= self.due;
        if self.missed {
            self.due = self.begun + TOLD - SLACK;
        }
        let cut_again = std::mem::replace(&mut self.cut, matches!(problem, Failure::Cut(_)));
        if self.cut && !cut_again {
            return 0.0;
        }
        let grown = if lasted || self.pause == 0.0 { pauses.first } else { self.pause * 2.0 };
        self.pause = grown.min(pauses.longest);
        // One that has been waited for has had a part of its pause, or all of it, as long as the deadline can be kept.
        let waited = matches!(problem, Failure::Silent(_)) && !self.missed;
        let from = if waited { self.begun } else { now };
        let longest = (self.left(from) * PART).max(LEAST_PAUSE);
        let pause = self.pause.min(longest) * chance.0.random_range(SPREAD..1.0);
        (from + pause - now).max(0.0)
    }
}

/// Calls the service again and again, for good.
pub async fn keep(service: &impl Service, mut chance: SeededRng) -> ! {
    let started = Instant::now();
    let now = || started.elapsed().as_secs_f64() * 1000.0;
    let mut deadline = Deadline::new(now());
    let (mut anew, mut heard) = (true, now());
    loop {
        let (hold, patience) = deadline.begin(now(), anew);
        let mut call = pin!(timeout(ms(hold + patience), service.call(anew, hold)));
        let (answer, moved) = tokio::select! {
            biased;
            answer = call.as_mut() => (answer.unwrap_or(Err(Failure::Silent("no answer in time"))), false),
            () = service.moved() => {
                deadline.moved(now());
                // A call beside it, or closing it, could end what is on its way.
                let rest = timeout(ms(deadline.left(now()) * PART), call.as_mut()).await;
                (rest.ok().and_then(Result::ok).unwrap_or(Err(Failure::Silent("the service has moved"))), true)
            }
        };
        service.called(&CallReport {
            anew,
            hold,
            took: now() - deadline.begun,
            since_heard: now() - heard,
            failure: answer.as_ref().err(),
        });
        anew = moved || answer.is_err();
        match answer {
            // What the old place has told is not what the new one has to.
            _ if moved => deadline.up = None,
            Ok(()) => {
                deadline.heard(now());
                heard = now();
            }
            Err(problem) => {
                service.failed(&problem, deadline.may_be_over(&problem));
                let pause = deadline.failed(now(), &problem, service.pauses(), &mut chance);
                tokio::select! {
                    () = sleep(ms(pause)) => {}
                    // The pause was meant for the old place.
                    () = service.moved() => deadline.moved(now()),
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
