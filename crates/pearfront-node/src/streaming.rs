//! Bodies that are too large to be buffered and are passed on in pieces. The next piece of an
//! answer is read once the last one was taken, so that the client's pace limits the server and only
//! a buffer or two is used. The pieces of a request body come from `upload`, which reads ahead of
//! the server within limits. Used by `message`, `connection_pool` and `client_service`.

use crate::memory::{ReservedBytes, reserved_data};
use crate::stall_monitor::CATCH_UP;
use crate::upload::Piece;
use bytes::{Buf, Bytes};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::any::Any;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, Sleep, sleep, timeout};

/// Largest body that is buffered completely, bytes.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Largest request body or answer, bytes.
pub const MAX_BODY_BYTES: u64 = 32 * 1024 * 1024;
/// How long the source of a streamed body may be silent, or its client take none of it, before the
/// body is broken off. The request's deadline does not shorten it: only the first bytes of a
/// streamed answer have to meet the deadline. It exceeds 6 s, the longest network partition that a
/// connection survives, and the TCP retransmission timeout behind that, which doubles.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(15);
/// Pieces of fewer bytes are copied before they are passed on.
const SMALL_PIECE_BYTES: usize = 4 * 1024;
/// A timer that fires later than this indicates a process stall: data that arrived meanwhile has
/// yet to be read.
const STALL_THRESHOLD: Duration = Duration::from_millis(50);

/// The beginning of a body: all of it, or what was read before it became too large to be buffered.
pub enum BodyStart {
    Complete(Bytes),
    Partial(Bytes, Incoming),
    /// Nothing is kept, as there is no memory for it. The rest, if more than the beginning has come.
    NotKept(Option<Incoming>),
}

/// Why a body did not arrive as it should.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// Its connection broke, or its data could not be parsed.
    Cut,
    TooLong,
    Stalled,
    /// Its server accepts none of it.
    NotTaken,
    /// No server takes it, and there is no memory to hold it until one does.
    NoRoom,
}

impl BodyError {
    /// Whether the client is not to blame: the body arrives, but nobody takes it.
    pub fn is_untaken(self) -> bool {
        matches!(self, BodyError::NotTaken | BodyError::NoRoom)
    }
}

impl std::fmt::Display for BodyError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            BodyError::Cut => "the body did not come whole",
            BodyError::TooLong => "a body of more than 33554432 bytes",
            BodyError::Stalled => "its body does not come",
            BodyError::NotTaken => "its server takes nothing of its body",
            BodyError::NoRoom => "no room for its body until a server takes it",
        })
    }
}

impl std::error::Error for BodyError {}

/// How a body broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BrokenBody {
    pub error: BodyError,
    /// Bytes of it that were passed on.
    pub bytes_passed: u64,
    /// How long its source had yielded no data when it broke off.
    pub silent_for: Duration,
}

/// The next bytes of a body; `None` at its end.
///
/// # Errors
/// If none come within `pause`, or the body ends early.
pub async fn next_data(body: &mut Incoming, pause: Duration) -> Result<Option<Bytes>, BodyError> {
    loop {
        let frame = timeout(pause, body.frame()).await.map_err(|_| BodyError::Stalled)?;
        let Some(frame) = frame else { return Ok(None) };
        if let Ok(data) = frame.map_err(|_| BodyError::Cut)?.into_data() {
            return Ok(Some(data));
        }
    }
}

/// Length of a body, if it is known.
///
/// # Errors
/// If it is longer than any body may be.
pub fn expected_length(body: &Incoming) -> Result<Option<usize>, BodyError> {
    let hint = body.size_hint();
    if hint.lower() > MAX_BODY_BYTES {
        return Err(BodyError::TooLong);
    }
    Ok(hint.exact().map(|length| length as usize))
}

/// A piece of an answer that is being passed on, with the reservation for all of it. hyper hands out parts of its read buffer,
/// and many small ones would each keep a whole buffer.
fn reserved_piece(data: Bytes, memory: &Arc<ReservedBytes>) -> Bytes {
    let data = if data.len() < SMALL_PIECE_BYTES { Bytes::copy_from_slice(&data) } else { data };
    reserved_data(data, memory.clone())
}

enum Source {
    Answer(Incoming, Arc<ReservedBytes>),
    Channel(UnboundedReceiver<Piece>),
    Done,
}

/// A body that is passed on in pieces.
pub struct StreamedBody {
    first: Bytes,
    rest: Source,
    /// Bytes left, if the length is known.
    bytes_left: Option<u64>,
    max_left: u64,
    /// Since when the source has been polled without yielding data.
    waiting_since: Option<Instant>,
    give_up_timer: Pin<Box<Sleep>>,
    on_end: Option<Box<dyn FnOnce()>>,
    on_break: Vec<Box<dyn FnOnce(BrokenBody)>>,
    kept_alive: Vec<Rc<dyn Any>>,
}

impl StreamedBody {
    fn new(first: Bytes, rest: Source, left: Option<u64>) -> Self {
        Self {
            first,
            rest,
            bytes_left: left,
            max_left: MAX_BODY_BYTES,
            waiting_since: None,
            give_up_timer: Box::pin(sleep(STALL_TIMEOUT)),
            on_end: None,
            on_break: Vec::new(),
            kept_alive: Vec::new(),
        }
    }

    /// The rest of an answer, after the part that was already read, and the memory for passing it on.
    pub fn from_answer(first: Bytes, rest: Incoming, memory: ReservedBytes) -> Self {
        let left = rest.size_hint().exact().map(|rest| rest + first.len() as u64);
        Self::new(first, Source::Answer(rest, Arc::new(memory)), left)
    }

    /// A request body with this length, if known, whose pieces come through a channel.
    pub fn from_channel(first: Bytes, rest: UnboundedReceiver<Piece>, length: Option<u64>) -> Self {
        Self::new(first, Source::Channel(rest), length)
    }

    /// Called once the last byte has been passed on, but not if the body breaks off.
    pub fn on_end(&mut self, act: impl FnOnce() + 'static) {
        self.on_end = Some(Box::new(act));
    }

    /// Adds a callback for when the body breaks off.
    pub fn on_break(&mut self, act: impl FnOnce(BrokenBody) + 'static) {
        self.on_break.push(Box::new(act));
    }

    /// Keeps a value alive as long as the body.
    pub fn keep_alive(&mut self, what: Rc<dyn Any>) {
        self.kept_alive.push(what);
    }

    fn poll_rest(&mut self, context: &mut Context) -> Poll<Option<Result<Bytes, BodyError>>> {
        loop {
            let piece = match &mut self.rest {
                Source::Done => None,
                Source::Channel(pieces) => match ready!(pieces.poll_recv(context)) {
                    Some(Piece::Data(data, place)) => {
                        drop(place);
                        Some(Ok(data))
                    }
                    Some(Piece::End) => None,
                    None => Some(Err(BodyError::Cut)),
                },
                Source::Answer(body, memory) => match ready!(Pin::new(body).poll_frame(context)) {
                    Some(Ok(frame)) => match frame.into_data() {
                        Ok(data) => Some(Ok(reserved_piece(data, memory))),
                        Err(_) => continue,
                    },
                    Some(Err(_)) => Some(Err(BodyError::Cut)),
                    None => None,
                },
            };
            return Poll::Ready(piece);
        }
    }

    fn poll_piece(&mut self, context: &mut Context) -> Poll<Option<Result<Bytes, BodyError>>> {
        if self.first.has_remaining() {
            return Poll::Ready(Some(Ok(std::mem::take(&mut self.first))));
        }
        if let Poll::Ready(piece) = self.poll_rest(context) {
            if let Some(Ok(_)) = piece {
                self.waiting_since = None;
            }
            return Poll::Ready(piece);
        }
        let since = *self.waiting_since.get_or_insert_with(Instant::now);
        let timer = &mut self.give_up_timer;
        if timer.deadline() < since + STALL_TIMEOUT {
            timer.as_mut().reset(since + STALL_TIMEOUT);
        } else if timer.deadline() + STALL_THRESHOLD < Instant::now() {
            timer.as_mut().reset(Instant::now() + CATCH_UP);
        }
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Some(Err(BodyError::Stalled)))
    }
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let piece = ready!(self.poll_piece(context));
        Poll::Ready(match piece {
            Some(Ok(data)) if data.len() as u64 > self.max_left => Some(Err(BodyError::TooLong)),
            Some(Ok(data)) => {
                let length = data.len() as u64;
                self.max_left -= length;
                self.bytes_left = self.bytes_left.map(|left| left.saturating_sub(length));
                // hyper does not poll again once a known length has been passed on.
                if self.bytes_left == Some(0) {
                    self.report_end();
                }
                Some(Ok(Frame::data(data)))
            }
            Some(Err(problem)) => Some(Err(problem)),
            None => {
                self.report_end();
                None
            }
        })
        .map(|piece| piece.map(|piece| piece.inspect_err(|problem| self.report_break(*problem))))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes_left == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.bytes_left.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl StreamedBody {
    fn report_break(&mut self, error: BodyError) {
        let broken = BrokenBody {
            error,
            bytes_passed: MAX_BODY_BYTES - self.max_left,
            silent_for: self.waiting_since.map_or(Duration::ZERO, |since| since.elapsed()),
        };
        self.on_break.drain(..).for_each(|act| act(broken));
    }

    fn report_end(&mut self) {
        self.rest = Source::Done;
        self.on_end.take().into_iter().for_each(|act| act());
    }
}
