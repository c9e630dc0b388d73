//! Estimates when bytes read from a connection arrived. The kernel does not record that, and the
//! reader may have been busy, so this tracks the earliest time at which they can have arrived. Used
//! by `tracked_stream` for client connections.

use std::cell::Cell;
use tokio::time::Instant;

/// Upper bound on the unread bytes that the kernels at both ends of a connection hold: data further
/// behind had not been written yet when these bytes were.
const MAX_UNREAD_BYTES: usize = 8 * 1024 * 1024;

/// Tracks the reads of one connection.
pub struct Arrival {
    /// The data read last arrived after this time.
    earliest: Cell<Instant>,
    /// The last read found nothing, so the next data is read as soon as it arrives.
    was_empty: Cell<bool>,
    /// When the data that arrived after an empty read was read.
    last_empty_at: Cell<Instant>,
    /// A time after `earliest`, and the number of bytes read since then.
    checkpoint: Cell<Instant>,
    read: Cell<usize>,
}

impl Arrival {
    /// Nothing arrived before `opened`.
    pub fn new(opened: Instant) -> Self {
        Self {
            earliest: Cell::new(opened),
            was_empty: Cell::new(false),
            last_empty_at: Cell::new(opened),
            checkpoint: Cell::new(opened),
            read: Cell::new(0),
        }
    }

    /// The data read last arrived after this time.
    pub fn earliest(&self) -> Instant {
        self.earliest.get()
    }

    /// The data not read yet arrived after this time.
    pub fn unread_since(&self) -> Instant {
        if self.was_empty.get() { Instant::now() } else { self.earliest.get() }
    }

    /// The last time at which there was nothing to read: everything read since may have arrived
    /// right after it.
    pub fn last_empty_at(&self) -> Instant {
        self.last_empty_at.get()
    }

    /// A read found nothing.
    pub fn found_nothing(&self) {
        self.was_empty.set(true);
    }

    /// Reading is suspended, so data that arrives from now on is no longer read at once.
    pub fn suspend(&self, now: Instant) {
        if self.was_empty.take() {
            self.restart(now, now);
        }
    }

    /// Records that `count` bytes were read; `to_come` bytes are left of a body of known length.
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

    /// The last `count` bytes recorded are going to be read again.
    pub fn take_back(&self, count: usize) {
        self.read.set(self.read.get().saturating_sub(count));
    }

    fn restart(&self, earliest: Instant, checkpoint: Instant) {
        self.earliest.set(earliest);
        self.checkpoint.set(checkpoint);
        self.read.set(0);
    }
}

#[cfg(test)]
mod tests;
