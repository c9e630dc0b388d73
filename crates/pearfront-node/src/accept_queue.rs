//! When the connections came that wait in a listener's queue, at the earliest: whoever accepts them may have had something else to
//! do. The kernel says it of most that are accepted, and hands them out in their order; else it follows from what a queue can hold.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// After so many accepted connections the time is kept once more.
const STEP: usize = 64;

/// What was established no longer ago, by a clock of up to 10 ms a tick, has not waited.
const AT_ONCE: Duration = Duration::from_millis(20);

/// Follows the accepts from one queue.
pub struct AcceptQueue {
    /// So many connections wait in it at the most.
    most: usize,
    /// What was accepted last came after this time.
    earliest: Cell<Instant>,
    /// The last look found nothing, and what comes next is accepted at once.
    is_watched: Cell<bool>,
    /// How many were accepted so far.
    accepted: Cell<usize>,
    /// How many had been accepted at which times: whatever the queue could not hold by then came later.
    marks: RefCell<VecDeque<(usize, Instant)>>,
}

impl AcceptQueue {
    /// A queue that holds so many at the most, none of which came before this time.
    pub fn since(most: usize, opened: Instant) -> Self {
        Self {
            most,
            earliest: Cell::new(opened),
            is_watched: Cell::new(false),
            accepted: Cell::new(0),
            marks: RefCell::default(),
        }
    }

    /// What was accepted last came after this time.
    pub fn earliest(&self) -> Instant {
        self.earliest.get()
    }

    /// What waits now came after this time.
    pub fn of_waiting(&self) -> Instant {
        if self.is_watched.get() { Instant::now() } else { self.earliest.get() }
    }

    /// Nothing waited.
    pub fn found_nothing(&self) {
        self.is_watched.set(true);
    }

    /// Nobody accepts for a while: what comes is not accepted at once any more.
    pub fn looks_away(&self, now: Instant) {
        if self.is_watched.take() {
            self.begin(now);
        }
    }

    /// One more was accepted, which was established after that time, where that is known: so was what waits behind it. Whatever
    /// else is known may be wrong, as the process may have stood still, or another one have accepted before.
    pub fn accepted(&self, now: Instant, established: Option<Instant>) {
        let was_watched = self.is_watched.take();
        if was_watched {
            self.begin(now);
        }
        let count = self.accepted.get() + 1;
        self.accepted.set(count);
        let mut marks = self.marks.borrow_mut();
        while let Some((before, at)) = marks.front().copied()
            && count > before + self.most
        {
            self.earliest.set(at);
            marks.pop_front();
        }
        if count.is_multiple_of(STEP) {
            marks.push_back((count, now));
        }
        let at_once =
            |established: Instant| was_watched && now.saturating_duration_since(established) <= AT_ONCE;
        if let Some(established) = established.filter(|established| !at_once(*established)) {
            self.earliest.set(established);
        }
    }

    fn begin(&self, earliest: Instant) {
        self.earliest.set(earliest);
        self.marks.borrow_mut().clear();
    }
}

#[cfg(test)]
mod tests;
