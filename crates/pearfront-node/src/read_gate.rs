//! What a client has sent behind the request that is being answered. It is looked at, so that it is known when its answer is due,
//! and stays unread until its turn: a request that was never read may be sent again by its client once its connection has ended,
//! one that was read and has no answer is lost.

use std::cell::{Cell, RefCell};
use std::task::Waker;
use tokio::sync::Notify;

/// Most bytes that are looked at ahead of their turn.
pub const MOST_SEEN: usize = 256 * 1024;

/// How far a client's connection may be read. Positions count bytes from the beginning of the connection.
#[derive(Default)]
pub struct ReadGate {
    /// Position up to which bytes were read.
    read: Cell<u64>,
    /// Is a request that has been handed out without its answer?
    is_answering: Cell<bool>,
    /// Position up to which requests are still begun to be read, where no further ones are.
    last: Cell<Option<u64>>,
    /// Was as much seen ahead as is looked at, so that more may lie behind it?
    is_full: Cell<bool>,
    /// Rung when one of these changes.
    changed: Notify,
    /// Woken when bytes that wait for their turn may be read.
    reader: RefCell<Option<Waker>>,
}

impl ReadGate {
    pub fn position(&self) -> u64 {
        self.read.get()
    }

    /// So many bytes more were read.
    pub fn advance(&self, count: usize) {
        self.read.set(self.read.get() + count as u64);
    }

    /// A request has been handed out (or has its answer): what comes behind it waits for its turn (or has it).
    pub fn answers(&self, is_answering: bool) {
        self.is_answering.set(is_answering);
        self.wake();
    }

    pub fn is_answering(&self) -> bool {
        self.is_answering.get()
    }

    /// So many bytes lay there at the last look.
    pub fn fill(&self, count: usize) {
        self.is_full.set(count >= MOST_SEEN);
    }

    pub fn is_full(&self) -> bool {
        self.is_full.get()
    }

    /// No request that begins at this position or behind it is read any more.
    pub fn end(&self, position: u64) {
        if self.last.get().is_none() {
            self.last.set(Some(position));
            self.wake();
        }
    }

    /// Is no further request begun to be read?
    pub fn has_ended(&self) -> bool {
        self.last.get().is_some_and(|last| self.read.get() >= last)
    }

    /// Is the connection to end once what has come by then is answered?
    pub fn is_ending(&self) -> bool {
        self.last.get().is_some()
    }

    pub async fn changed(&self) {
        self.changed.notified().await;
    }

    /// This is woken when bytes that wait may be read.
    pub fn wait(&self, reader: &Waker) {
        let mut waiting = self.reader.borrow_mut();
        if !waiting.as_ref().is_some_and(|known| known.will_wake(reader)) {
            *waiting = Some(reader.clone());
        }
    }

    /// A request has been read to its end: what lies behind it has to be looked at.
    pub fn request_over(&self) {
        self.changed.notify_one();
    }

    /// What waits may be read, or has to be looked at once more.
    pub fn wake(&self) {
        self.changed.notify_one();
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }
}
