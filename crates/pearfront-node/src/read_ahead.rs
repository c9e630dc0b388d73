//! What has been read of a connection before its turn to be handed on.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{self, Read};
use std::task::Waker;
use tokio::sync::Notify;

/// Most bytes that are read ahead on a connection: some fifty requests without a body.
const MOST: usize = 16 * 1024;

/// The bytes read ahead, and how they end.
#[derive(Default)]
pub struct ReadAhead {
    /// Is to be read ahead now?
    pub reads: Cell<bool>,
    /// Is no further request to be read, ahead or in its turn?
    pub ends: Cell<bool>,
    /// Rung when that, or the room, may have changed.
    pub changed: Notify,
    bytes: RefCell<VecDeque<u8>>,
    /// The other side has ended its sending, or the connection broke.
    end: Cell<Option<io::ErrorKind>>,
    ended: Cell<bool>,
    /// Woken once there is something.
    reader: RefCell<Option<Waker>>,
}

impl ReadAhead {
    /// May more be read?
    pub fn has_room(&self) -> bool {
        self.reads.get() && !self.ended.get() && self.bytes.borrow().len() < MOST
    }

    /// Are there bytes that were not given out?
    pub fn has_bytes(&self) -> bool {
        !self.bytes.borrow().is_empty()
    }

    /// Has the end of the other side's sending been read?
    pub fn has_ended(&self) -> bool {
        self.ended.get()
    }

    /// Takes in what was read: no bytes are the end.
    pub fn take_in(&self, read: io::Result<&[u8]>) {
        match read {
            Ok(bytes) => {
                self.ended.set(bytes.is_empty());
                self.bytes.borrow_mut().extend(bytes);
            }
            Err(error) => {
                self.ended.set(true);
                self.end.set(Some(error.kind()));
            }
        }
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// The next bytes; nothing where none were read ahead and more may come.
    pub fn give_out(&self, to: &mut [u8]) -> Option<io::Result<usize>> {
        if !self.has_bytes() {
            let end = self.end.get().map_or(Ok(0), |kind| Err(kind.into()));
            return self.ended.get().then_some(end);
        }
        self.changed.notify_one();
        let mut bytes = self.bytes.borrow_mut();
        let read = bytes.read(to);
        if bytes.is_empty() {
            // Most connections never need the room again.
            *bytes = VecDeque::new();
        }
        Some(read)
    }

    /// Whoever waits for bytes is woken by this.
    pub fn waits(&self, reader: &Waker) {
        let mut waiting = self.reader.borrow_mut();
        if !waiting.as_ref().is_some_and(|known| known.will_wake(reader)) {
            *waiting = Some(reader.clone());
        }
    }
}

#[cfg(test)]
mod tests;
