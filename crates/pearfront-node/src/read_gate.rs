//! Controls how far a client connection is read. Pipelined requests are peeked at, to know when
//! their answers are due, but stay unread until their turn: a client may safely resend a request
//! that was never read once its connection has ended, whereas one that was read and has no answer
//! is lost. Used by `tracked_stream`.

use std::cell::{Cell, RefCell};
use std::task::Waker;
use tokio::sync::Notify;

/// Most bytes that are peeked at ahead of their turn.
pub const MAX_PEEKED_BYTES: usize = 256 * 1024;

/// How far a client connection may be read. Positions count bytes from the beginning of the
/// connection.
#[derive(Default)]
pub struct ReadGate {
    /// Position up to which bytes were read.
    position: Cell<u64>,
    /// Whether a request that has been handed out has no answer yet.
    is_answering: Cell<bool>,
    /// Position at which no further request is read, if there is one.
    stop_position: Cell<Option<u64>>,
    /// Whether the last peek saw as much as possible, so that there may be more.
    may_hide_more: Cell<bool>,
    /// Notified when one of these changes.
    changed: Notify,
    /// Woken when waiting bytes may be read.
    reader: RefCell<Option<Waker>>,
}

impl ReadGate {
    pub fn position(&self) -> u64 {
        self.position.get()
    }

    /// Records that `count` more bytes were read.
    pub fn advance(&self, count: usize) {
        self.position.set(self.position.get() + count as u64);
    }

    /// Sets whether a request in progress keeps the data behind it waiting.
    pub fn set_answering(&self, is_answering: bool) {
        self.is_answering.set(is_answering);
        self.wake();
    }

    pub fn is_answering(&self) -> bool {
        self.is_answering.get()
    }

    /// Records whether the last peek saw as much as possible.
    pub fn record_peek(&self, may_hide_more: bool) {
        self.may_hide_more.set(may_hide_more);
    }

    pub fn may_hide_more(&self) -> bool {
        self.may_hide_more.get()
    }

    /// Reads no further request that starts at or after this position.
    pub fn stop_at(&self, position: u64) {
        if self.stop_position.get().is_none() {
            self.stop_position.set(Some(position));
            self.wake();
        }
    }

    /// Whether no further request is read.
    pub fn is_stopped(&self) -> bool {
        self.stop_position.get().is_some_and(|stop_position| self.position.get() >= stop_position)
    }

    /// Whether the connection is to end once the requests that had arrived by then are answered.
    pub fn is_ending(&self) -> bool {
        self.stop_position.get().is_some()
    }

    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Registers the task to wake when waiting bytes may be read.
    pub fn register_reader(&self, reader: &Waker) {
        let mut waiting = self.reader.borrow_mut();
        if !waiting.as_ref().is_some_and(|known| known.will_wake(reader)) {
            *waiting = Some(reader.clone());
        }
    }

    /// A request has been read to its end: the data behind it has to be peeked at.
    pub fn request_complete(&self) {
        self.changed.notify_one();
    }

    /// Waiting data may be read, or has to be peeked at again.
    pub fn wake(&self) {
        self.changed.notify_one();
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}
