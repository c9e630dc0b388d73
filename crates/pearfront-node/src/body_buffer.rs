//! A body that is kept in memory while it arrives. It grows with what has come, and each growth is reserved first. Used by
//! `upload` for requests and by `connection_pool` for answers.

use crate::capacity::Capacity;
use crate::memory::{Purpose, ReservedBytes, reserved_data};
use crate::streaming::MAX_BUFFERED_BYTES;
use bytes::Bytes;
use std::rc::Rc;

/// A body of up to this many bytes is a small one.
const SMALL_BODY_BYTES: usize = 4 * 1024;

/// A body that is kept while it arrives.
pub struct BodyBuffer {
    capacity: Rc<Capacity>,
    /// What the bytes are reserved for while the body is small, and from then on.
    purposes: (Purpose, Purpose),
    /// Length of the whole body, if known.
    expected: Option<usize>,
    data: Vec<u8>,
    memory: Option<ReservedBytes>,
}

impl BodyBuffer {
    /// For a request's body of this length, if it is known.
    pub fn for_request(capacity: Rc<Capacity>, expected: Option<usize>) -> Self {
        Self::new(capacity, (Purpose::Request, Purpose::RequestBody), expected)
    }

    /// For an answer of this length, if it is known.
    pub fn for_answer(capacity: Rc<Capacity>, expected: Option<usize>) -> Self {
        Self::new(capacity, (Purpose::Answer, Purpose::LargeAnswer), expected)
    }

    fn new(capacity: Rc<Capacity>, purposes: (Purpose, Purpose), expected: Option<usize>) -> Self {
        Self { capacity, purposes, expected, data: Vec::new(), memory: None }
    }

    pub fn len(&self) -> usize {
        self.data.len()
    }

    /// Adds bytes; returns false, and adds nothing, if there is no memory for them.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let has_room = self.reserve(self.len() + bytes.len());
        if has_room {
            self.data.extend_from_slice(bytes);
        }
        has_room
    }

    /// Adds bytes for which the caller has reserved the memory.
    pub fn push_reserved(&mut self, bytes: &[u8]) {
        self.data.reserve_exact(bytes.len());
        self.data.extend_from_slice(bytes);
    }

    /// Makes room for `length` bytes in all: for twice as many as now, as long as more are expected.
    fn reserve(&mut self, length: usize) -> bool {
        let held = self.data.capacity();
        if length <= held {
            return true;
        }
        let most = self.expected.unwrap_or(MAX_BUFFERED_BYTES).max(length);
        let wanted = (held * 2).max(SMALL_BODY_BYTES / 4).min(most).max(length);
        let purpose = if wanted <= SMALL_BODY_BYTES { self.purposes.0 } else { self.purposes.1 };
        let Some(more) = self.capacity.reserve(purpose, wanted - held) else { return false };
        match &mut self.memory {
            Some(memory) => memory.merge(more),
            None => self.memory = Some(more),
        }
        self.data.reserve_exact(wanted - self.data.len());
        true
    }

    /// What has come. Its memory stays reserved until nothing holds it any more.
    pub fn finish(self) -> Bytes {
        match self.memory {
            Some(memory) => reserved_data(self.data, memory),
            None => self.data.into(),
        }
    }
}

#[cfg(test)]
mod tests;
