//! When the bytes that are read from a connection came. The kernel does not say, and whoever reads may have had something else
//! to do; so this tells the earliest time at which they can have come.

use std::cell::Cell;
use tokio::time::Instant;

/// The kernels at both ends of a connection hold no more than so many bytes that nobody has read: what lies further behind
/// was not written yet when these were.
const MAX_UNREAD_BYTES: usize = 8 * 1024 * 1024;

/// Follows the reads of one connection.
pub struct Arrival {
    /// What was read last came after this.
    earliest: Cell<Instant>,
    /// The last read found nothing, and what comes next is read at once.
    was_empty: Cell<bool>,
    /// When what came next was read.
    last_empty_at: Cell<Instant>,
    /// A time since `earliest`, and how many bytes were read from it on.
    checkpoint: Cell<Instant>,
    read: Cell<usize>,
}

impl Arrival {
    /// Nothing came before this time.
    pub fn new(opened: Instant) -> Self {
        Self {
            earliest: Cell::new(opened),
            was_empty: Cell::new(false),
            last_empty_at: Cell::new(opened),
            checkpoint: Cell::new(opened),
            read: Cell::new(0),
        }
    }

    /// What was read last came after this time.
    pub fn earliest(&self) -> Instant {
        self.earliest.get()
    }

    /// What has not been read came after this time.
    pub fn unread_since(&self) -> Instant {
        if self.was_empty.get() { Instant::now() } else { self.earliest.get() }
    }

    /// The last time at which there was nothing to read: all that has been read since may have come right behind it.
    pub fn last_empty_at(&self) -> Instant {
        self.last_empty_at.get()
    }

    /// There was nothing to read.
    pub fn found_nothing(&self) {
        self.was_empty.set(true);
    }

    /// Nobody reads for a while: what comes is not read at once any more.
    pub fn suspend(&self, now: Instant) {
        if self.was_empty.take() {
            self.restart(now, now);
        }
    }

    /// So many bytes were read; of a body whose length is known so many are still to come.
    pub fn record_read(&self, now: Instant, count: usize, to_come: Option<u64>) {
        let found_empty = self.was_empty.take();
        if found_empty {
            self.last_empty_at.set(now);
        }
        if found_empty || to_come.is_some_and(|left| left > MAX_UNREAD_BYTES as u64) {
            self.restart(now, now);
            return;
        }
        self.read.set(self.read.get() + count);
        if self.read.get() >= MAX_UNREAD_BYTES {
            self.restart(self.checkpoint.get(), now);
        }
    }

    fn restart(&self, earliest: Instant, checkpoint: Instant) {
        self.earliest.set(earliest);
        self.checkpoint.set(checkpoint);
        self.read.set(0);
    }
}

#[cfg(test)]
mod tests;
