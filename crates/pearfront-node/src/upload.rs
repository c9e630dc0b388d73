//! Reads request bodies from clients, and passes large ones on to a server. A large body is read
//! ahead of its server, so that a server that accepts no data hides neither whether the client is
//! still sending nor the requests behind the body. Used by `client_service`.

use crate::body_buffer::BodyBuffer;
use crate::capacity::Capacity;
use crate::memory::{Purpose, ReservedBytes, reserved_data};
use crate::streaming::{self, BodyError, BodyStart, MAX_BODY_BYTES, MAX_BUFFERED_BYTES};
use crate::tracked_stream::TrackedStream;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::cell::Cell;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::time::{Instant, timeout, timeout_at};

/// Overhead of a piece in bytes beside its data; for small pieces it is larger than the data.
const PIECE_OVERHEAD: usize = 192;
/// How long a body may make no progress, or its server accept none of it: together with the head,
/// its client has to get an error or a close within 3 s of its last byte.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(2500);
/// The minimum of that if the client's last bytes had to wait to be read: a client whose sending
/// was held back continues at once.
const MIN_PROGRESS_TIMEOUT: Duration = Duration::from_millis(400);
/// A body may take this time, plus the time per byte at the minimum rate of 16 kB/s, which is a
/// quarter of the specified rate of slow clients.
const BASE_BODY_TIME: Duration = Duration::from_millis(2500);
const TIME_PER_BYTE: Duration = Duration::from_nanos(62_500);
/// How long and how often a body that no attempt has claimed is held back when there is no memory
/// to read ahead. Meanwhile nobody sees the data behind it, or whether the client has left; an
/// attempt may start up to 0.1 s after the client's end. There are several waits because a process
/// that was stalled had no time to start an attempt.
const UNCLAIMED_WAIT: Duration = Duration::from_millis(20);
const UNCLAIMED_WAITS: usize = 4;
/// How long the rest of a body is read after its request has been answered.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// A piece of a body for its server, with its place among those read ahead; without an `End` the body is incomplete.
pub enum Piece {
    Data(Bytes, PiecePlace),
    End,
}

/// The part of a body that has been read and not yet taken by its server.
struct ReadAhead {
    capacity: Rc<Capacity>,
    bytes: Cell<usize>,
    /// Whether an attempt has claimed the body.
    is_claimed: Cell<bool>,
    /// Whether the answer is being streamed although the body is incomplete.
    is_answer_streamed: Cell<bool>,
    /// When an attempt claimed the body, or its server last took a piece.
    taken_at: Cell<Instant>,
    /// Notified when that happens.
    taken: Notify,
}

impl ReadAhead {
    /// Reserves read-ahead memory for `bytes`; if there is none, waits until the server has taken
    /// everything before them. A server that is sending its answer may take its time, as the end of
    /// the body would end the answer too; the answer has a limit of its own.
    ///
    /// # Errors
    /// If the server accepts no data, or there is no server.
    async fn wait_for_memory(self: &Rc<Self>, bytes: usize) -> Result<ReservedBytes, BodyError> {
        let began = Instant::now();
        let mut unclaimed = 0;
        loop {
            if let Some(memory) = self.try_reserve(bytes) {
                return Ok(memory);
            }
            if self.is_answer_streamed.get() {
                self.wait_until_taken().await;
                continue;
            }
            if self.is_claimed.get() {
                let until = began.max(self.taken_at.get()) + PROGRESS_TIMEOUT;
                timeout_at(until, self.wait_until_taken()).await.map_err(|_| BodyError::NotTaken)?;
                continue;
            }
            if unclaimed == UNCLAIMED_WAITS {
                return Err(BodyError::NoRoom);
            }
            unclaimed += usize::from(timeout(UNCLAIMED_WAIT, self.taken.notified()).await.is_err());
        }
    }

    /// Waits until the server takes a piece, or, where it has taken all, until there may be memory for the next one.
    async fn wait_until_taken(&self) {
        if self.bytes.get() > 0 {
            self.taken.notified().await;
        } else {
            self.capacity.memory_released().await;
        }
    }

    fn note_taken(&self) {
        self.taken_at.set(Instant::now());
        self.taken.notify_one();
    }

    /// Memory for a piece. One whose server has taken everything before it needs none of what is left for all bodies.
    fn try_reserve(&self, bytes: usize) -> Option<ReservedBytes> {
        let is_next = self.bytes.get() == 0;
        let memory = self.capacity.reserve_read_ahead(self.bytes.get(), bytes);
        memory.or_else(|| is_next.then(|| self.capacity.reserve(Purpose::Request, bytes))?)
    }
}

/// The place of a piece among those read ahead, until its server has it.
pub struct PiecePlace {
    ahead: Rc<ReadAhead>,
    bytes: usize,
}

impl PiecePlace {
    fn new(ahead: &Rc<ReadAhead>, bytes: usize) -> Self {
        ahead.bytes.set(ahead.bytes.get() + bytes);
        Self { ahead: ahead.clone(), bytes }
    }
}

impl Drop for PiecePlace {
    fn drop(&mut self) {
        self.ahead.bytes.set(self.ahead.bytes.get() - self.bytes);
        self.ahead.note_taken();
    }
}

/// The receiving end of an upload.
pub struct PieceReceiver {
    source: UnboundedReceiver<Piece>,
    ahead: Rc<ReadAhead>,
}

impl PieceReceiver {
    /// An attempt starts taking the pieces.
    pub fn claim(self) -> UnboundedReceiver<Piece> {
        self.ahead.is_claimed.set(true);
        self.ahead.note_taken();
        self.source
    }
}

/// How passing on a body ended, and the unread rest of it: an error if it did not arrive
/// completely, or nobody takes it.
pub struct PassedBody {
    pub result: Result<(), BodyError>,
    pub body: Incoming,
}

/// Reports to an upload that the answer is being streamed.
pub struct AnswerSignal(Rc<ReadAhead>);

impl AnswerSignal {
    pub fn answer_streamed(&self) {
        self.0.is_answer_streamed.set(true);
        self.0.taken.notify_one();
    }
}

/// A body that is read ahead of its server.
pub struct Upload {
    pieces: UnboundedSender<Piece>,
    ahead: Rc<ReadAhead>,
}

impl Upload {
    /// Returns the upload and its receiving end.
    pub fn new(capacity: Rc<Capacity>) -> (Self, PieceReceiver) {
        let (pieces, source) = mpsc::unbounded_channel();
        let ahead = Rc::new(ReadAhead {
            capacity,
            bytes: Cell::new(0),
            is_claimed: Cell::new(false),
            is_answer_streamed: Cell::new(false),
            taken_at: Cell::new(Instant::now()),
            taken: Notify::new(),
        });
        (Self { pieces, ahead: ahead.clone() }, PieceReceiver { source, ahead })
    }

    /// A handle to report that the answer is being streamed.
    pub fn answer_signal(&self) -> AnswerSignal {
        AnswerSignal(self.ahead.clone())
    }

    /// Reads the body as it arrives, ahead of its server as far as there is memory. If nobody takes
    /// it any more, it is still read to its end, as its answer may be on the way. Does not keep the
    /// client connection open.
    pub async fn pass_on(self, client: Weak<TrackedStream>, mut body: Incoming) -> PassedBody {
        let result = self.pass(&client, &mut body).await;
        PassedBody { result, body }
    }

    async fn pass(&self, client: &Weak<TrackedStream>, body: &mut Incoming) -> Result<(), BodyError> {
        let began = Instant::now();
        let mut length = 0_u64;
        // While a server accepts no data, the client cannot make progress: only the time spent
        // waiting for the client counts.
        let mut held_back = Duration::ZERO;
        while let Some(data) = next_piece(client, body).await? {
            length += data.len() as u64;
            if length > MAX_BODY_BYTES {
                return Err(BodyError::TooLong);
            }
            if began.elapsed() > BASE_BODY_TIME + TIME_PER_BYTE.mul_f64(length as f64) + held_back {
                return Err(BodyError::Stalled);
            }
            let pushed = Instant::now();
            self.push(&data).await?;
            held_back += pushed.elapsed();
        }
        let _ = self.pieces.send(Piece::End);
        Ok(())
    }

    async fn push(&self, data: &[u8]) -> Result<(), BodyError> {
        let bytes = data.len() + PIECE_OVERHEAD;
        let memory = self.ahead.wait_for_memory(bytes).await?;
        // Copied, as a slice would keep the whole read buffer alive.
        let data = reserved_data(data.to_vec(), memory);
        let _ = self.pieces.send(Piece::Data(data, PiecePlace::new(&self.ahead, bytes)));
        Ok(())
    }
}

/// The next bytes of a body; `None` at its end.
async fn next_piece(client: &Weak<TrackedStream>, body: &mut Incoming) -> Result<Option<Bytes>, BodyError> {
    // Data that was read late because its server accepted none arrived long ago, and the client
    // has been waiting since.
    let last_empty_at = client.upgrade().ok_or(BodyError::Cut)?.last_empty_at();
    let limit = PROGRESS_TIMEOUT.saturating_sub(last_empty_at.elapsed()).max(MIN_PROGRESS_TIMEOUT);
    streaming::next_data(body, limit).await
}

/// Reads a body up to the size that is buffered, into a buffer, if there is one. A body that arrives too slowly is given up,
/// and one for which there is no memory is not kept.
///
/// # Errors
/// If the body does not arrive.
pub async fn read_start(body: Incoming, buffer: Option<BodyBuffer>) -> Result<BodyStart, BodyError> {
    let longest = BASE_BODY_TIME + TIME_PER_BYTE * MAX_BUFFERED_BYTES as u32;
    timeout(longest, read_start_in_time(body, buffer)).await.unwrap_or(Err(BodyError::Stalled))
}

async fn read_start_in_time(
    mut body: Incoming,
    mut buffer: Option<BodyBuffer>,
) -> Result<BodyStart, BodyError> {
    streaming::expected_length(&body)?;
    let mut length = 0;
    while let Some(data) = streaming::next_data(&mut body, PROGRESS_TIMEOUT).await? {
        length += data.len();
        buffer = buffer.and_then(|mut buffer| buffer.push(&data).then_some(buffer));
        if length > MAX_BUFFERED_BYTES {
            return Ok(match buffer {
                Some(buffer) => BodyStart::Partial(buffer.finish(), body),
                None => BodyStart::NotKept(Some(body)),
            });
        }
    }
    Ok(match buffer {
        Some(buffer) => BodyStart::Complete(buffer.finish()),
        None => BodyStart::NotKept(None),
    })
}

/// Continues to read a body whose request is answered: if a large answer is being streamed, as long
/// as the server takes the body, otherwise only so that the client gets to see the answer.
pub async fn finish(passing: impl Future<Output = PassedBody>, is_answer_streamed: bool) {
    let all = async {
        let passed = passing.await;
        if passed.result.is_err_and(BodyError::is_untaken) {
            discard(passed.body).await;
        }
    };
    if is_answer_streamed {
        all.await;
    } else {
        let _ = timeout(DISCARD_TIMEOUT, all).await;
    }
}

/// Reads the rest of a body that is not needed, so that the client gets to see the answer; one that
/// goes on too long is cut off.
pub async fn discard(mut body: Incoming) {
    let all = async { while let Ok(Some(Ok(_))) = timeout(PROGRESS_TIMEOUT, body.frame()).await {} };
    let _ = timeout(DISCARD_TIMEOUT, all).await;
}
