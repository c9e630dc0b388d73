//! Reads what a client sends: one request at a time, and nothing after its last byte. Pipelined
//! requests are peeked at and stay unread until their turn.

use super::{READ_BYTES, SCRATCH_BUFFER, TrackedStream};
use crate::framing;
use crate::memory::Purpose;
use crate::read_gate::MAX_PEEKED_BYTES;
use crate::system::is_interrupted;
use std::convert::Infallible;
use std::io;
use std::pin::pin;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::ReadBuf;
use tokio::time::{Instant, timeout};

/// Interval at which pipelined data behind a request in progress is peeked at, once there is some.
const PEEK_INTERVAL: Duration = Duration::from_millis(10);

impl TrackedStream {
    /// Number of bytes that were peeked at but not read.
    pub(super) fn peeked_bytes(&self) -> usize {
        self.with_framing(|framing| framing.position() - self.gate.position()).unwrap_or_default() as usize
    }

    /// Parses `bytes`, the first unread bytes of the connection, of which the first `ahead` have
    /// been parsed before. What lies behind many requests is left unparsed.
    pub(super) fn parse(&self, bytes: &[u8], ahead: usize, at: Instant) {
        let new = &bytes[ahead.min(bytes.len())..];
        if !new.is_empty() {
            self.with_framing(|framing| {
                // Between requests any byte may be the last.
                self.arrival.record_read(at, new.len(), framing.body_left());
                let begun = framing.position();
                framing.read(new, self.arrival.earliest());
                let parsed = (framing.position() - begun) as usize;
                self.arrival.take_back(new.len() - parsed);
            });
        }
    }

    /// Whether a request, or nothing, has been read to its end, and nothing behind it.
    pub(super) fn is_between_requests(&self) -> bool {
        self.with_framing(|framing| framing.advance_to(self.gate.position())).unwrap_or_default()
    }

    /// Whether the data that comes next has to wait for the answer to the request before it, or is
    /// not read any more.
    fn must_wait(&self) -> bool {
        let is_blocked = self.gate.is_answering() || self.gate.is_stopped() || self.is_write_blocked.get();
        is_blocked && self.is_between_requests()
    }

    /// Peeks at pipelined data behind a request that waits for its answer, to learn when it
    /// arrived. Has to be polled beside hyper's connection, and never returns.
    pub async fn watch_pipelined(&self) -> Infallible {
        loop {
            if !self.gate.is_answering() || !self.is_between_requests() {
                self.gate.changed().await;
                continue;
            }
            tokio::select! {
                // Errors are reported by the read.
                _ = self.stream.readable() => {}
                () = self.gate.changed() => continue,
            }
            let has_data = self.peek_pipelined();
            if has_data && self.gate.may_hide_more() {
                // Nothing further can be seen before some of it has been read.
                self.gate.changed().await;
            } else if has_data {
                let _ = timeout(PEEK_INTERVAL, self.gate.changed()).await;
            }
        }
    }

    /// Peeks once; returns false if there is no data. Once there is some, the runtime does not
    /// report when more arrives.
    fn peek_pipelined(&self) -> bool {
        let mut chunk = [0; READ_BYTES];
        let Some(mut peeked) = self.peek_into(&mut chunk) else { return true };
        if (peeked == READ_BYTES || self.is_lookahead_full()) && self.may_look_further() {
            let more =
                SCRATCH_BUFFER.with_borrow_mut(|scratch| self.peek_into(&mut scratch[..MAX_PEEKED_BYTES]));
            peeked = more.unwrap_or(peeked);
        }
        let now = Instant::now();
        self.gate.record_peek(peeked >= MAX_PEEKED_BYTES || self.is_lookahead_full());
        if self.gate.may_hide_more() {
            self.arrival.suspend(now);
        } else if peeked > 0 || self.is_quiet() {
            self.arrival.found_nothing();
        }
        peeked > 0
    }

    /// Whether so many requests have been peeked at that what follows is not looked at before their turn.
    fn is_lookahead_full(&self) -> bool {
        self.with_framing(|framing| framing.is_full()).unwrap_or_default()
    }

    /// Whether more requests may be peeked at: there are few, or there is memory for many.
    fn may_look_further(&self) -> bool {
        if !self.is_lookahead_full() {
            return true;
        }
        let mut memory = self.lookahead_memory.borrow_mut();
        if memory.is_some() {
            return false;
        }
        *memory = self.slot.reserve(Purpose::Lookahead, framing::LOOKAHEAD_BYTES);
        let has_memory = memory.is_some();
        self.with_framing(|framing| framing.set_lookahead(has_memory));
        has_memory
    }

    /// Gives back the memory for requests that are peeked at once there are few of them.
    pub(super) fn release_lookahead(&self) {
        let has_few = self.with_framing(|framing| framing.has_few_waiting()).unwrap_or_default();
        if has_few && self.lookahead_memory.borrow_mut().take().is_some() {
            self.with_framing(|framing| framing.set_lookahead(false));
        }
    }

    /// Number of unread bytes; `None` if the kernel cannot say for now, or the client has ended its
    /// sending.
    fn peek_into(&self, chunk: &mut [u8]) -> Option<usize> {
        let (ahead, now) = (self.peeked_bytes(), Instant::now());
        let peeked = match pin!(self.stream.peek(chunk)).poll(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(peeked) => peeked.ok().filter(|count| *count > 0)?,
            Poll::Pending => 0,
        };
        if peeked > ahead {
            // Additional data arrived after the last peek.
            let at = if ahead > 0 { now - PEEK_INTERVAL } else { now };
            self.parse(&chunk[..peeked], ahead, at);
            self.read_notify.notify_waiters();
        }
        Some(peeked)
    }

    /// Whether there are bytes that hyper has not read yet and is going to read.
    pub fn has_unread(&self) -> bool {
        !self.is_read_out() && self.has_unread_bytes()
    }

    /// Whether there are unread bytes.
    pub(super) fn has_unread_bytes(&self) -> bool {
        self.peek().is_ok_and(|count| count > 0)
    }

    /// Whether a request has arrived, or started to arrive, behind the one handed out last.
    pub fn has_further_request(&self) -> bool {
        let has_waiting_head = || self.with_framing(|framing| framing.has_waiting_head()).unwrap_or_default();
        !self.is_read_out() && (self.in_head() || has_waiting_head() || self.has_unread_bytes())
    }

    /// Reads no further requests than those that have arrived: they are answered, and the rest was
    /// never accepted. After a process stall the runtime may not know yet what has arrived; then
    /// this is left to the next call.
    pub fn stop_reading(&self) {
        if self.gate.is_ending() {
            return;
        }
        // In the middle of a body nothing behind it is peeked at.
        if !self.is_between_requests() || self.peek_pipelined() || !self.has_unread_bytes() {
            self.gate.stop_at(self.with_framing(|framing| framing.position()).unwrap_or_default());
            self.read_notify.notify_waiters();
        }
    }

    /// Whether the connection is to end once the requests that have arrived are answered.
    pub fn is_ending(&self) -> bool {
        self.gate.is_ending()
    }

    /// Waits until no further request is read and the last one has been answered: what arrives
    /// later would stay unread.
    pub async fn wait_until_read_out(&self) {
        loop {
            let more = self.read_notify.notified();
            if self.is_read_out() && !self.gate.is_answering() {
                return;
            }
            more.await;
        }
    }

    fn is_read_out(&self) -> bool {
        self.gate.is_stopped() && self.is_between_requests()
    }

    /// Reads what a client sends, and nothing behind the end of a request.
    pub(super) fn poll_read_request(
        &self,
        context: &mut Context,
        chunk: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            if self.must_wait() {
                return self.poll_client_end(context);
            }
            let max = match ready!(self.poll_readable(context, chunk)) {
                Ok(0) => return Poll::Ready(Ok(0)),
                Ok(max) => max,
                Err(error) if is_interrupted(&error) => continue,
                Err(error) => return self.poll_failed(context, error),
            };
            match self.stream.try_read(&mut chunk[..max]) {
                Ok(count) => {
                    self.note_read(&chunk[..count]);
                    return Poll::Ready(Ok(count));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock || is_interrupted(&error) => {}
                Err(error) => return self.poll_failed(context, error),
            }
        }
    }

    /// How many bytes may be read: up to the end of the request, if that has arrived.
    fn poll_readable(&self, context: &mut Context, chunk: &mut [u8]) -> Poll<io::Result<usize>> {
        let ahead = self.peeked_bytes();
        let chunk_left = self.with_framing(|framing| framing.chunk_left()).flatten();
        if let Some(left) = chunk_left.filter(|_| ahead == 0) {
            let Poll::Ready(is_ready) = self.stream.poll_read_ready(context) else {
                return self.nothing_to_read(context);
            };
            return Poll::Ready(is_ready.map(|()| left.min(chunk.len() as u64) as usize));
        }
        let Poll::Ready(peeked) = self.stream.poll_peek(context, &mut ReadBuf::new(chunk)) else {
            return self.nothing_to_read(context);
        };
        let peeked = peeked?;
        self.parse(&chunk[..peeked], ahead, Instant::now());
        let position = self.gate.position();
        let end = self.with_framing(|framing| framing.next_end_after(position)).flatten();
        Poll::Ready(Ok(end.map_or(peeked, |end| peeked.min((end - position) as usize))))
    }

    fn nothing_to_read<T>(&self, context: &Context) -> Poll<T> {
        // On a new connection the runtime may not know yet what arrived before it was accepted.
        if self.bytes_moved() > 0 || self.is_quiet() {
            self.arrival.found_nothing();
        }
        self.gate.register_reader(context.waker());
        Poll::Pending
    }

    /// Only detects the end of a client that is not being read.
    fn poll_client_end(&self, context: &mut Context) -> Poll<io::Result<usize>> {
        self.gate.register_reader(context.waker());
        loop {
            let mut byte = [0];
            match ready!(self.stream.poll_peek(context, &mut ReadBuf::new(&mut byte))) {
                Ok(0) => return Poll::Ready(Ok(0)),
                Ok(_) => return Poll::Pending,
                Err(error) if is_interrupted(&error) => {}
                Err(error) => return self.poll_failed(context, error),
            }
        }
    }
}
