//! Estimates when the connections that wait in a listener's accept queue arrived, since the process
//! may have been too busy to accept them. The kernel tells this for most connections, and hands
//! them out in order; otherwise it follows from the length of the queue. Used by `accept`.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// A checkpoint is recorded once per this many accepted connections.
const CHECKPOINT_STEP: usize = 64;

/// A connection established no longer ago than this has not waited; kernel clocks have ticks of up
/// to 10 ms.
const NOT_QUEUED: Duration = Duration::from_millis(20);

/// Tracks the accepts from one queue.
pub struct AcceptQueue {
    /// How many connections the queue can hold.
    max_waiting: usize,
    /// The connection accepted last arrived after this time.
    earliest: Cell<Instant>,
    /// The last poll found nothing, so the next connection is accepted as soon as it arrives.
    was_empty: Cell<bool>,
    /// Number of connections accepted so far.
    accepted: Cell<usize>,
    /// How many connections had been accepted at which times: those that the queue could not hold
    /// by then arrived later.
    checkpoints: RefCell<VecDeque<(usize, Instant)>>,
}

impl AcceptQueue {
    /// A queue that holds at most `max_waiting` connections, none of which arrived before `opened`.
    pub fn new(max_waiting: usize, opened: Instant) -> Self {
        Self {
            max_waiting,
            earliest: Cell::new(opened),
            was_empty: Cell::new(false),
            accepted: Cell::new(0),
            checkpoints: RefCell::default(),
        }
    }

    /// The connection accepted last arrived after this time.
    pub fn earliest(&self) -> Instant {
        self.earliest.get()
    }

    /// The connections now waiting arrived after this time.
    pub fn waiting_since(&self) -> Instant {
        if self.was_empty.get() { Instant::now() } else { self.earliest.get() }
    }

    /// A poll found no waiting connection.
    pub fn found_nothing(&self) {
        self.was_empty.set(true);
    }

    /// Accepting is suspended, so connections that arrive from now on are no longer accepted at
    /// once.
    pub fn suspend(&self, now: Instant) {
        if self.was_empty.take() {
            self.restart(now);
        }
    }

    /// Records that a connection was accepted; `established` is the earliest time of its handshake,
    /// if known, and a lower bound for those behind it as well. It overrides all other estimates,
    /// which may be wrong because the process stalled or another process accepted before.
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
