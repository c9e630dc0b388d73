//! Reads the beginning of a server's answer: all of it, if it is small enough to be buffered and there is memory for it;
//! otherwise as much as is needed to know that it has to be passed on while it arrives.

use crate::body_buffer::BodyBuffer;
use crate::capacity::Capacity;
use crate::memory::ReservedBytes;
use crate::streaming::{self, BodyError, MAX_BUFFERED_BYTES, STALL_TIMEOUT};
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use std::rc::Rc;

/// The beginning of an answer.
pub enum AnswerStart {
    /// All of it.
    Complete(Bytes),
    /// What has been read, the rest, and the memory for passing it on.
    Streamed(Bytes, Incoming, ReservedBytes),
}

impl AnswerStart {
    /// Reads it. Without memory it waits for some, and meanwhile its server is not read; the attempt has a limit of its own.
    ///
    /// # Errors
    /// If the answer ends early, stalls or is longer than any may be.
    pub async fn read(mut body: Incoming, capacity: &Rc<Capacity>) -> Result<Self, BodyError> {
        let expected = streaming::expected_length(&body)?;
        // An answer that is announced as too large to buffer is passed on from its first byte.
        let is_large = body.size_hint().lower() > MAX_BUFFERED_BYTES as u64;
        let most = if is_large { 0 } else { MAX_BUFFERED_BYTES };
        let mut buffer = BodyBuffer::for_answer(capacity.clone(), expected.filter(|_| !is_large));
        while let Some(data) = streaming::next_data(&mut body, STALL_TIMEOUT).await? {
            let is_buffered = buffer.len() + data.len() <= most;
            while !(is_buffered && buffer.push(&data)) {
                if let Some(memory) = capacity.reserve_streamed_answer() {
                    buffer.push_reserved(&data);
                    return Ok(Self::Streamed(buffer.finish(), body, memory));
                }
                capacity.memory_released().await;
            }
        }
        Ok(Self::Complete(buffer.finish()))
    }
}
