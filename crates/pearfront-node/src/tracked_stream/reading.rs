//! Reading what a client sends: one request at a time, and nothing behind its last byte. What comes behind that is looked at and
//! stays unread until its turn.

use super::{READ_BYTES, TrackedStream};
use crate::read_gate::MAX_PEEKED_BYTES;
use crate::system::is_interrupted;
use std::convert::Infallible;
use std::io;
use std::pin::pin;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::ReadBuf;
use tokio::time::{Instant, timeout};

/// How often is looked at what more a client sends behind a request that is being answered, once something lies there.
const PEEK_INTERVAL: Duration = Duration::from_millis(10);

impl TrackedStream {
    /// How many bytes were looked at that have not been read.
    pub(super) fn peeked_bytes(&self) -> usize {
        self.with_framing(|framing| framing.position() - self.gate.position()).unwrap_or_default() as usize
    }

    /// Follows what lies first in the connection, which was looked at before as far as `ahead`, to the ends of requests.
    pub(super) fn parse(&self, bytes: &[u8], ahead: usize, at: Instant) {
        let new = &bytes[ahead.min(bytes.len())..];
        if !new.is_empty() {
            self.with_framing(|framing| {
                // Between requests any byte may be the last.
                self.arrival.record_read(at, new.len(), framing.body_left());
                framing.read(new, self.arrival.earliest());
            });
        }
    }

    /// Has a request been read to its end, and nothing of what comes behind it? Also where nothing has been read.
    pub(super) fn is_between_requests(&self) -> bool {
        self.with_framing(|framing| framing.advance_to(self.gate.position())).unwrap_or_default()
    }

    /// Has what comes next to wait until the request before it is answered, or is it not read any more?
    fn must_wait(&self) -> bool {
        let is_blocked = self.gate.is_answering() || self.gate.is_stopped() || self.is_write_blocked.get();
        is_blocked && self.is_between_requests()
    }

    /// Looks at what a client sends behind a request that waits for its answer, so that it is known when that came. It has to
    /// be polled beside hyper's connection, and never returns.
    pub async fn watch_pipelined(&self) -> Infallible {
        loop {
            if !self.gate.is_answering() || !self.is_between_requests() {
                self.gate.changed().await;
                continue;
            }
            tokio::select! {
                // What it fails with is found by the read.
                _ = self.stream.readable() => {}
                () = self.gate.changed() => continue,
            }
            if self.peek_pipelined() {
                let _ = timeout(PEEK_INTERVAL, self.gate.changed()).await;
            }
        }
    }

    /// Looks once; false if nothing lies there. Once something does, the runtime does not tell when more has come.
    fn peek_pipelined(&self) -> bool {
        let mut chunk = [0; READ_BYTES];
        let Some(mut peeked) = self.peek_into(&mut chunk) else { return true };
        if peeked == READ_BYTES {
            // Few clients send so much at once: only for them there is more room.
            peeked = self.peek_into(&mut vec![0; MAX_PEEKED_BYTES]).unwrap_or(peeked);
        }
        let now = Instant::now();
        self.gate.record_peek(peeked);
        if self.gate.may_hide_more() {
            self.arrival.suspend(now);
        } else if peeked > 0 || self.is_quiet() {
            self.arrival.found_nothing();
        }
        peeked > 0
    }

    /// How many bytes lie there; nothing where the kernel does not say for now, or the client has ended its sending.
    fn peek_into(&self, chunk: &mut [u8]) -> Option<usize> {
        let (ahead, now) = (self.peeked_bytes(), Instant::now());
        let peeked = match pin!(self.stream.peek(chunk)).poll(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(peeked) => peeked.ok().filter(|count| *count > 0)?,
            Poll::Pending => 0,
        };
        if peeked > ahead {
            // More than was seen came behind the last look.
            let at = if ahead > 0 { now - PEEK_INTERVAL } else { now };
            self.parse(&chunk[..peeked], ahead, at);
            self.read_notify.notify_waiters();
        }
        Some(peeked)
    }

    /// Are there bytes that hyper has not read yet, and that are to be read?
    pub fn has_unread(&self) -> bool {
        !self.is_read_out() && self.has_unread_bytes()
    }

    /// Are there bytes that nobody has read?
    pub(super) fn has_unread_bytes(&self) -> bool {
        self.peek().is_ok_and(|count| count > 0)
    }

    /// Has a request come, or begun to come, behind the one that was handed out last?
    pub fn has_further_request(&self) -> bool {
        let has_waiting_head = || self.with_framing(|framing| framing.has_waiting_head()).unwrap_or_default();
        !self.is_read_out() && (self.in_head() || has_waiting_head() || self.has_unread_bytes())
    }

    /// No further request is begun to be read than what has come: that has its answer, and the rest was never taken. Behind a
    /// stop of the process the runtime may not know yet what has come: then this is left to the next time.
    pub fn stop_reading(&self) {
        if self.gate.is_ending() {
            return;
        }
        // In the middle of a body nothing behind it is looked at.
        if !self.is_between_requests() || self.peek_pipelined() || !self.has_unread_bytes() {
            self.gate.stop_at(self.with_framing(|framing| framing.position()).unwrap_or_default());
            self.read_notify.notify_waiters();
        }
    }

    /// Is the connection to end once what has come is answered?
    pub fn is_ending(&self) -> bool {
        self.gate.is_ending()
    }

    /// Waits until no further request is read, and the last one has its answer: what comes from then on would lie there.
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

    /// How many bytes may be read: as far as the end of the request, if that is here.
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
        // Of a new connection the runtime may not have been told yet what came while it waited to be accepted.
        if self.bytes_moved() > 0 || self.is_quiet() {
            self.arrival.found_nothing();
        }
        self.gate.register_reader(context.waker());
        Poll::Pending
    }

    /// Of a client that is not read only the end is told.
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
