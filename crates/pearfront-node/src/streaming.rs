//! Bodies and answers that are too large to be kept: passed on in pieces. Of an answer the next piece is read once the last was
//! taken: the client's pace holds back the server, and it takes no more memory than a buffer or two. The pieces of a request's
//! body come from `upload`, which reads them ahead of the server and bounds what that takes.

use crate::upload::Piece;
use bytes::{Buf, Bytes};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::any::Any;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, Sleep, sleep, timeout};

/// Most bytes that are kept whole.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Most bytes of any body or answer.
pub const MOST: u64 = 32 * 1024 * 1024;
/// How long a flow may bring nothing, or its caller take nothing, before it is given up whatever its time: far above any
/// pause of a server that still gives.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(15);
/// How long a server may give nothing of its answer once the request's time is over: a longer pause, and the answer counts as
/// lost.
const STILL_GIVES: Duration = Duration::from_millis(350);
/// Fired later than by this, a timer tells of a process that stood still: what came meanwhile has not been read.
const HELD_UP: Duration = Duration::from_millis(50);

/// The beginning of a body: all of it, or what came before it grew too large to be kept.
pub enum BodyStart {
    Complete(Bytes),
    Partial(Bytes, Incoming),
}

/// Why a body did not come as it should.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// Its connection broke, or brought what can't be read.
    Cut,
    TooLong,
    Stalled,
    /// Its server takes nothing of it.
    NotTaken,
    /// No server takes it, and there is no room to keep it until one does.
    NoRoom,
}

impl BodyError {
    /// Is its client not to blame: does the body come, and nobody takes it?
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

/// Reads a body to its end, or until more than `most` is here: who sends none of it costs no server anything. No piece of it may take longer than `pause`.
/// Without `keep` it is only read.
pub async fn read_start(
    mut body: Incoming,
    most: usize,
    pause: Duration,
    keep: bool,
) -> Result<BodyStart, BodyError> {
    let least = body.size_hint().lower();
    if least > MOST {
        return Err(BodyError::TooLong);
    }
    let mut read = Vec::with_capacity(if keep { (least as usize).min(most) } else { 0 });
    let mut length = 0;
    while let Some(frame) = timeout(pause, body.frame()).await.map_err(|_| BodyError::Stalled)? {
        if let Ok(data) = frame.map_err(|_| BodyError::Cut)?.into_data() {
            length += data.len();
            if keep {
                read.extend_from_slice(&data);
            }
            if length > most {
                return Ok(BodyStart::Partial(read.into(), body));
            }
        }
    }
    Ok(BodyStart::Complete(read.into()))
}

enum Source {
    Answer(Incoming),
    Fed(UnboundedReceiver<Piece>),
    Over,
}

/// A body on its way through.
pub struct StreamedBody {
    first: Bytes,
    rest: Source,
    /// Bytes to come, where that was told ahead.
    left: Option<u64>,
    most: u64,
    /// When the request's time is over, of an answer.
    due: Option<Instant>,
    /// Since when its source has been asked for more and has had nothing.
    waits_since: Option<Instant>,
    give_up: Pin<Box<Sleep>>,
    at_end: Option<Box<dyn FnOnce()>>,
    at_break: Vec<Box<dyn FnOnce(BodyError)>>,
    kept: Vec<Rc<dyn Any>>,
}

impl StreamedBody {
    fn new(first: Bytes, rest: Source, left: Option<u64>) -> Self {
        Self {
            first,
            rest,
            left,
            most: MOST,
            due: None,
            waits_since: None,
            give_up: Box::pin(sleep(STALL_TIMEOUT)),
            at_end: None,
            at_break: Vec::new(),
            kept: Vec::new(),
        }
    }

    /// The rest of an answer, behind what was read of it.
    pub fn from_answer(first: Bytes, rest: Incoming) -> Self {
        let left = rest.size_hint().exact().map(|rest| rest + first.len() as u64);
        Self::new(first, Source::Answer(rest), left)
    }

    /// A body of this length, if that was told, whose pieces come through a channel.
    pub fn from_channel(first: Bytes, rest: UnboundedReceiver<Piece>, length: Option<u64>) -> Self {
        Self::new(first, Source::Fed(rest), length)
    }

    /// What is done once its last byte has been passed on, and not if it breaks.
    pub fn on_end(&mut self, act: impl FnOnce() + 'static) {
        self.at_end = Some(Box::new(act));
    }

    /// The request's time is over at that time: from then on it lasts only as long as its server gives.
    pub fn due(&mut self, at: Instant) {
        self.due = Some(at);
    }

    /// What is done if it breaks, beside what else was said so.
    pub fn at_break(&mut self, act: impl FnOnce(BodyError) + 'static) {
        self.at_break.push(Box::new(act));
    }

    /// Keeps something as long as it lasts.
    pub fn keep(&mut self, what: Rc<dyn Any>) {
        self.kept.push(what);
    }

    fn poll_rest(&mut self, context: &mut Context) -> Poll<Option<Result<Bytes, BodyError>>> {
        loop {
            let piece = match &mut self.rest {
                Source::Over => None,
                Source::Fed(pieces) => match ready!(pieces.poll_recv(context)) {
                    Some(Piece::Data(data, place)) => {
                        drop(place);
                        Some(Ok(data))
                    }
                    Some(Piece::End) => None,
                    None => Some(Err(BodyError::Cut)),
                },
                Source::Answer(body) => match ready!(Pin::new(body).poll_frame(context)) {
                    Some(Ok(frame)) => match frame.into_data() {
                        Ok(data) => Some(Ok(data)),
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
            self.waits_since = None;
            return Poll::Ready(piece);
        }
        let mut since = *self.waits_since.get_or_insert_with(Instant::now);
        if self.given_up_at(since) + HELD_UP < Instant::now() {
            since = Instant::now();
            self.waits_since = Some(since);
        }
        let until = self.given_up_at(since);
        if self.give_up.deadline() != until {
            self.give_up.as_mut().reset(until);
        }
        ready!(self.give_up.as_mut().poll(context));
        Poll::Ready(Some(Err(BodyError::Stalled)))
    }

    /// When it is given up if nothing has come since then.
    fn given_up_at(&self, since: Instant) -> Instant {
        let stalled = since + STALL_TIMEOUT;
        self.due.map_or(stalled, |due| (due.max(since) + STILL_GIVES).min(stalled))
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
            Some(Ok(data)) if data.len() as u64 > self.most => Some(Err(BodyError::TooLong)),
            Some(Ok(data)) => {
                let length = data.len() as u64;
                self.most -= length;
                self.left = self.left.map(|left| left.saturating_sub(length));
                // hyper does not ask again once a told length has been passed on.
                if self.left == Some(0) {
                    self.end();
                }
                Some(Ok(Frame::data(data)))
            }
            Some(Err(problem)) => Some(Err(problem)),
            None => {
                self.end();
                None
            }
        })
        .map(|piece| piece.map(|piece| piece.inspect_err(|problem| self.broke(*problem))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.left.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl StreamedBody {
    fn broke(&mut self, problem: BodyError) {
        self.at_break.drain(..).for_each(|act| act(problem));
    }

    fn end(&mut self) {
        self.rest = Source::Over;
        self.at_end.take().into_iter().for_each(|act| act());
    }
}
