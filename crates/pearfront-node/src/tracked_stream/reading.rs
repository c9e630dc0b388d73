//! Reading what a client sends: one request at a time, and nothing behind its last byte. What comes behind that is looked at and
//! stays unread until its turn.

use super::{CHUNK, TrackedStream};
use crate::read_gate::MOST_SEEN;
use crate::system::is_interrupted;
use std::convert::Infallible;
use std::io;
use std::pin::pin;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::ReadBuf;
use tokio::time::{Instant, timeout};

/// How often is looked at what more a client sends behind a request that is being answered, once something lies there.
const LOOK: Duration = Duration::from_millis(10);

impl TrackedStream {
    /// How many bytes were looked at that have not been read.
    pub(super) fn seen_ahead(&self) -> usize {
        self.framed(|framing| framing.position() - self.unread.position()).unwrap_or_default() as usize
    }

    /// Follows what lies first in the connection, which was looked at before as far as `ahead`, to the ends of requests.
    pub(super) fn note_seen(&self, bytes: &[u8], ahead: usize, at: Instant) {
        let new = &bytes[ahead.min(bytes.len())..];
        if !new.is_empty() {
            self.framed(|framing| {
                // Between requests any byte may be the last.
                self.arrival.read(at, new.len(), framing.body_left());
                framing.read(new, self.arrival.earliest());
            });
        }
    }

    /// Has a request been read to its end, and nothing of what comes behind it? Also where nothing has been read.
    pub(super) fn is_between_requests(&self) -> bool {
        self.framed(|framing| framing.has_read(self.unread.position())).unwrap_or_default()
    }

    /// Has what comes next to wait until the request before it is answered, or is it not read any more?
    fn is_held(&self) -> bool {
        let is_held = self.unread.is_answering() || self.unread.has_ended() || self.is_write_blocked.get();
        is_held && self.is_between_requests()
    }

    /// Looks at what a client sends behind a request that waits for its answer, so that it is known when that came. It has to
    /// be polled beside hyper's connection, and never returns.
    pub async fn look_behind(&self) -> Infallible {
        loop {
            if !self.unread.is_answering() || !self.is_between_requests() {
                self.unread.changed().await;
                continue;
            }
            tokio::select! {
                // What it fails with is found by the read.
                _ = self.stream.readable() => {}
                () = self.unread.changed() => continue,
            }
            if self.look() {
                let _ = timeout(LOOK, self.unread.changed()).await;
            }
        }
    }

    /// Looks once; false if nothing lies there. Once something does, the runtime does not tell when more has come.
    fn look(&self) -> bool {
        let mut chunk = [0; CHUNK];
        let Some(mut looked) = self.look_into(&mut chunk) else { return true };
        if looked == CHUNK {
            // Few clients send so much at once: only for them there is more room.
            looked = self.look_into(&mut vec![0; MOST_SEEN]).unwrap_or(looked);
        }
        let now = Instant::now();
        self.unread.fill(looked);
        if self.unread.is_full() {
            self.arrival.looks_away(now);
        } else if looked > 0 || self.is_quiet() {
            self.arrival.found_nothing();
        }
        looked > 0
    }

    /// How many bytes lie there; nothing where the kernel does not say for now, or the client has ended its sending.
    fn look_into(&self, chunk: &mut [u8]) -> Option<usize> {
        let (ahead, now) = (self.seen_ahead(), Instant::now());
        let looked = match pin!(self.stream.peek(chunk)).poll(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(looked) => looked.ok().filter(|count| *count > 0)?,
            Poll::Pending => 0,
        };
        if looked > ahead {
            // More than was seen came behind the last look.
            let at = if ahead > 0 { now - LOOK } else { now };
            self.note_seen(&chunk[..looked], ahead, at);
            self.has_read.notify_waiters();
        }
        Some(looked)
    }

    /// Are there bytes that hyper has not read yet, and that are to be read?
    pub fn has_unread(&self) -> bool {
        !self.is_read_out() && self.has_bytes()
    }

    /// Are there bytes that nobody has read?
    pub(super) fn has_bytes(&self) -> bool {
        self.peek().is_ok_and(|count| count > 0)
    }

    /// Has a request come, or begun to come, behind the one that was handed out last?
    pub fn has_more(&self) -> bool {
        let has_waiting = || self.framed(|framing| framing.has_waiting()).unwrap_or_default();
        !self.is_read_out() && (self.in_head() || has_waiting() || self.has_bytes())
    }

    /// No further request is begun to be read than what has come: that has its answer, and the rest was never taken. Behind a
    /// stop of the process the runtime may not know yet what has come: then this is left to the next time.
    pub fn end_reading(&self) {
        if self.unread.is_ending() {
            return;
        }
        // In the middle of a body nothing behind it is looked at.
        if !self.is_between_requests() || self.look() || !self.has_bytes() {
            self.unread.end(self.framed(|framing| framing.position()).unwrap_or_default());
            self.has_read.notify_waiters();
        }
    }

    /// Is the connection to end once what has come is answered?
    pub fn is_ending(&self) -> bool {
        self.unread.is_ending()
    }

    /// Waits until no further request is read, and the last one has its answer: what comes from then on would lie there.
    pub async fn read_out(&self) {
        loop {
            let more = self.has_read.notified();
            if self.is_read_out() && !self.unread.is_answering() {
                return;
            }
            more.await;
        }
    }

    fn is_read_out(&self) -> bool {
        self.unread.has_ended() && self.is_between_requests()
    }

    /// Reads what a client sends, and nothing behind the end of a request.
    pub(super) fn poll_read_request(
        &self,
        context: &mut Context,
        chunk: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            if self.is_held() {
                return self.poll_client_end(context);
            }
            let most = match ready!(self.poll_readable(context, chunk)) {
                Ok(0) => return Poll::Ready(Ok(0)),
                Ok(most) => most,
                Err(error) if is_interrupted(&error) => continue,
                Err(error) => return self.failed(context, error),
            };
            match self.stream.try_read(&mut chunk[..most]) {
                Ok(count) => {
                    self.note_read(&chunk[..count]);
                    return Poll::Ready(Ok(count));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock || is_interrupted(&error) => {}
                Err(error) => return self.failed(context, error),
            }
        }
    }

    /// How many bytes may be read: as far as the end of the request, if that is here.
    fn poll_readable(&self, context: &mut Context, chunk: &mut [u8]) -> Poll<io::Result<usize>> {
        let ahead = self.seen_ahead();
        let piece = self.framed(|framing| framing.piece_left()).flatten();
        if let Some(left) = piece.filter(|_| ahead == 0) {
            let Poll::Ready(is_ready) = self.stream.poll_read_ready(context) else {
                return self.nothing_to_read(context);
            };
            return Poll::Ready(is_ready.map(|()| left.min(chunk.len() as u64) as usize));
        }
        let Poll::Ready(looked) = self.stream.poll_peek(context, &mut ReadBuf::new(chunk)) else {
            return self.nothing_to_read(context);
        };
        let looked = looked?;
        self.note_seen(&chunk[..looked], ahead, Instant::now());
        let position = self.unread.position();
        let end = self.framed(|framing| framing.end_behind(position)).flatten();
        Poll::Ready(Ok(end.map_or(looked, |end| looked.min((end - position) as usize))))
    }

    fn nothing_to_read<T>(&self, context: &Context) -> Poll<T> {
        // Of a new connection the runtime may not have been told yet what came while it waited to be accepted.
        if self.moved() > 0 || self.is_quiet() {
            self.arrival.found_nothing();
        }
        self.unread.wait(context.waker());
        Poll::Pending
    }

    /// Of a client that is not read only the end is told.
    fn poll_client_end(&self, context: &mut Context) -> Poll<io::Result<usize>> {
        self.unread.wait(context.waker());
        loop {
            let mut byte = [0];
            match ready!(self.stream.poll_peek(context, &mut ReadBuf::new(&mut byte))) {
                Ok(0) => return Poll::Ready(Ok(0)),
                Ok(_) => return Poll::Pending,
                Err(error) if is_interrupted(&error) => {}
                Err(error) => return self.failed(context, error),
            }
        }
    }
}
