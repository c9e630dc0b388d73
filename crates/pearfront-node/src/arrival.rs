//! When the bytes that are read from a connection came. The kernel does not say, and whoever reads may have had something else
//! to do; so this tells the earliest time at which they can have come.

use std::cell::Cell;
use tokio::time::Instant;

/// The kernels at both ends of a connection hold no more than so many bytes that nobody has read: what lies further behind
/// was not written yet when these were.
const UNREAD: usize = 8 * 1024 * 1024;

/// Follows the reads of one connection.
pub struct Arrival {
    /// What was read last came after this.
    earliest: Cell<Instant>,
    /// The last read found nothing, and what comes next is read at once.
    waits: Cell<bool>,
    /// When what came next was read.
    waited_until: Cell<Instant>,
    /// A time since `earliest`, and how many bytes were read from it on.
    checkpoint: Cell<Instant>,
    read: Cell<usize>,
}

impl Arrival {
    /// Nothing came before this time.
    pub fn since(opened: Instant) -> Self {
        Self {
            earliest: Cell::new(opened),
            waits: Cell::new(false),
            waited_until: Cell::new(opened),
            checkpoint: Cell::new(opened),
            read: Cell::new(0),
        }
    }

    /// What was read last came after this time.
    pub fn earliest(&self) -> Instant {
        self.earliest.get()
    }

    /// What has not been read came after this time.
    pub fn of_unread(&self) -> Instant {
        if self.waits.get() { Instant::now() } else { self.earliest.get() }
    }

    /// The last time at which there was nothing to read: all that has been read since may have come right behind it.
    pub fn waited_until(&self) -> Instant {
        self.waited_until.get()
    }

    /// There was nothing to read.
    pub fn found_nothing(&self) {
        self.waits.set(true);
    }

    /// Nobody reads for a while: what comes is not read at once any more.
    pub fn looks_away(&self, now: Instant) {
        if self.waits.take() {
            self.begin(now, now);
        }
    }

    /// So many bytes were read; of a body whose length is known so many are still to come.
    pub fn read(&self, now: Instant, count: usize, to_come: Option<u64>) {
        let waited = self.waits.take();
        if waited {
            self.waited_until.set(now);
        }
        if waited || to_come.is_some_and(|left| left > UNREAD as u64) {
            self.begin(now, now);
            return;
        }
        self.read.set(self.read.get() + count);
        if self.read.get() >= UNREAD {
            self.begin(self.checkpoint.get(), now);
        }
    }

    fn begin(&self, earliest: Instant, checkpoint: Instant) {
        self.earliest.set(earliest);
        self.checkpoint.set(checkpoint);
        self.read.set(0);
    }
}

#[cfg(test)]
mod tests;
