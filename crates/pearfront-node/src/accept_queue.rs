//! When the connections came that wait in a listener's queue, at the earliest: whoever accepts them may have had something else to
//! do. The kernel says it of most that are accepted, and hands them out in their order; else it follows from what a queue can hold.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// After so many accepted connections the time is kept once more.
const CHECKPOINT_STEP: usize = 64;

/// What was established no longer ago, by a clock of up to 10 ms a tick, has not waited.
const NOT_QUEUED: Duration = Duration::from_millis(20);

/// Follows the accepts from one queue.
pub struct AcceptQueue {
    /// So many connections wait in it at the most.
    max_waiting: usize,
    /// What was accepted last came after this time.
    earliest: Cell<Instant>,
    /// The last look found nothing, and what comes next is accepted at once.
    was_empty: Cell<bool>,
    /// How many were accepted so far.
    accepted: Cell<usize>,
    /// How many had been accepted at which times: whatever the queue could not hold by then came later.
    checkpoints: RefCell<VecDeque<(usize, Instant)>>,
}

impl AcceptQueue {
    /// A queue that holds so many at the most, none of which came before this time.
    pub fn new(max_waiting: usize, opened: Instant) -> Self {
        Self {
            max_waiting,
            earliest: Cell::new(opened),
            was_empty: Cell::new(false),
            accepted: Cell::new(0),
            checkpoints: RefCell::default(),
        }
    }

    /// What was accepted last came after this time.
    pub fn earliest(&self) -> Instant {
        self.earliest.get()
    }

    /// What waits now came after this time.
    pub fn waiting_since(&self) -> Instant {
        if self.was_empty.get() { Instant::now() } else { self.earliest.get() }
    }

    /// Nothing waited.
    pub fn found_nothing(&self) {
        self.was_empty.set(true);
    }

    /// Nobody accepts for a while: what comes is not accepted at once any more.
    pub fn suspend(&self, now: Instant) {
        if self.was_empty.take() {
            self.restart(now);
        }
    }

    /// One more was accepted, which was established after that time, where that is known: so was what waits behind it. Whatever
    /// else is known may be wrong, as the process may have stood still, or another one have accepted before.
    pub fn accepted(&self, now: Instant, established: Option<Instant>) {
        let found_empty = self.was_empty.take();
        if found_empty {
            self.restart(now);
        }
        let count = self.accepted.get() + 1;
        self.accepted.set(count);
        let mut checkpoints = self.checkpoints.borrow_mut();
        while let Some((checkpoint, at)) = checkpoints.front().copied()
            && count > checkpoint + self.max_waiting
        {
            self.earliest.set(at);
            checkpoints.pop_front();
        }
        if count.is_multiple_of(CHECKPOINT_STEP) {
            checkpoints.push_back((count, now));
        }
        let is_not_queued =
            |established: Instant| found_empty && now.saturating_duration_since(established) <= NOT_QUEUED;
        if let Some(established) = established.filter(|established| !is_not_queued(*established)) {
            self.earliest.set(established);
        }
    }

    fn restart(&self, earliest: Instant) {
        self.earliest.set(earliest);
        self.checkpoints.borrow_mut().clear();
    }
}

#[cfg(test)]
mod tests;
