//! Request bodies: how they are read from their clients, and how large ones get on to a server. A large body is read ahead of
//! its server, so that a server that takes nothing hides neither whether the client still sends nor what it sends behind.

use crate::capacity::{Capacity, ReservedBytes};
use crate::streaming::{self, BodyError, BodyStart, MAX_BUFFERED_BYTES, MOST};
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

/// Bytes that a piece takes beside its data: small ones take more for this than for themselves.
const BESIDE_DATA: usize = 128;
/// How long a body may bring nothing, or its server take nothing of it: with the head its client is owed an error or a close
/// within 3 s of its last byte.
const NEXT_PIECE: Duration = Duration::from_millis(2500);
/// The least of that, where its last bytes had to wait: a client whose sending was held back goes on at once.
const LEAST_PATIENCE: Duration = Duration::from_millis(400);
/// A body may take this time, and for each byte what it takes at the slowest: 16 kB a second, a quarter of what slow
/// clients are said to bring.
const WHOLE_BODY: Duration = Duration::from_millis(2500);
const SLOWEST: Duration = Duration::from_nanos(62_500);
/// How long, and how often, a body that no attempt has asked for is held back for want of room. Meanwhile nobody sees what its client
/// sends behind it, nor whether that has left; an attempt may begin up to 0.1 s behind the client's end. In several waits, as a
/// process that stood still has had no time to begin an attempt.
const UNCLAIMED: Duration = Duration::from_millis(20);
const UNCLAIMED_WAITS: usize = 4;
/// How long the rest of a body is read whose request has its answer.
const LONGEST_DRAIN: Duration = Duration::from_secs(5);

/// A part of a body for its server; without an end the body is not whole.
pub enum Piece {
    Data(Bytes, Place),
    End,
}

/// What of a body has been read and has not been taken by its server.
struct Ahead {
    room: Rc<Capacity>,
    bytes: Cell<usize>,
    /// Has an attempt asked for it?
    is_claimed: Cell<bool>,
    /// When an attempt asked for it, or its server took a piece, last.
    taken_at: Cell<Instant>,
    /// Rung when one does.
    taken: Notify,
}

impl Ahead {
    /// A place for so many bytes; without room for them once the server has taken all before them.
    ///
    /// # Errors
    /// Where the server takes nothing, or there is none.
    async fn wait_for_place(self: &Rc<Self>, bytes: usize) -> Result<Place, BodyError> {
        let begun = Instant::now();
        let mut unclaimed = 0;
        loop {
            if let Some(place) = self.place(bytes) {
                return Ok(place);
            }
            if self.is_claimed.get() {
                let until = begun.max(self.taken_at.get()) + NEXT_PIECE;
                timeout_at(until, self.taken.notified()).await.map_err(|_| BodyError::NotTaken)?;
                continue;
            }
            if unclaimed == UNCLAIMED_WAITS {
                return Err(BodyError::NoRoom);
            }
            unclaimed += usize::from(timeout(UNCLAIMED, self.taken.notified()).await.is_err());
        }
    }

    fn note_taken(&self) {
        self.taken_at.set(Instant::now());
        self.taken.notify_one();
    }

    fn place(self: &Rc<Self>, bytes: usize) -> Option<Place> {
        let room = self.room.read_ahead(self.bytes.get(), bytes);
        if room.is_none() && self.bytes.get() > 0 {
            return None;
        }
        self.bytes.set(self.bytes.get() + bytes);
        Some(Place { ahead: self.clone(), bytes, _room: room })
    }
}

/// What a piece takes of the room until its server has it.
pub struct Place {
    ahead: Rc<Ahead>,
    bytes: usize,
    _room: Option<ReservedBytes>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.ahead.bytes.set(self.ahead.bytes.get() - self.bytes);
        self.ahead.note_taken();
    }
}

/// The end of an upload from which its pieces are taken.
pub struct Pieces {
    source: UnboundedReceiver<Piece>,
    ahead: Rc<Ahead>,
}

impl Pieces {
    /// An attempt begins to take them.
    pub fn claim(self) -> UnboundedReceiver<Piece> {
        self.ahead.is_claimed.set(true);
        self.ahead.note_taken();
        self.source
    }
}

/// How the passing of a body ended, and what is left of it: an error where it did not come whole, or nobody takes it.
pub struct Passed {
    pub came: Result<(), BodyError>,
    pub body: Incoming,
}

/// A body that is read ahead of its server.
pub struct Upload {
    pieces: UnboundedSender<Piece>,
    ahead: Rc<Ahead>,
}

impl Upload {
    /// With the end from which its pieces are taken.
    pub fn new(room: Rc<Capacity>) -> (Self, Pieces) {
        let (pieces, source) = mpsc::unbounded_channel();
        let (bytes, is_claimed, taken_at) = (Cell::new(0), Cell::new(false), Cell::new(Instant::now()));
        let ahead = Rc::new(Ahead { room, bytes, is_claimed, taken_at, taken: Notify::new() });
        (Self { pieces, ahead: ahead.clone() }, Pieces { source, ahead })
    }

    /// Reads the body as it comes, ahead of its server as far as there is room; if nobody takes it any more it is still read to
    /// its end, as its answer may be on the way. The client's connection is not kept open by it.
    pub async fn pass_on(self, client: Weak<TrackedStream>, mut body: Incoming) -> Passed {
        let came = self.pass(&client, &mut body).await;
        Passed { came, body }
    }

    async fn pass(&self, client: &Weak<TrackedStream>, body: &mut Incoming) -> Result<(), BodyError> {
        let begun = Instant::now();
        let mut length = 0_u64;
        // While a server takes nothing, its client can bring nothing: only the waiting for the client counts.
        let mut held_back = Duration::ZERO;
        while let Some(data) = next_piece(client, body).await? {
            length += data.len() as u64;
            if length > MOST {
                return Err(BodyError::TooLong);
            }
            if begun.elapsed() > WHOLE_BODY + SLOWEST.mul_f64(length as f64) + held_back {
                return Err(BodyError::Stalled);
            }
            let passed = Instant::now();
            self.push(&data).await?;
            held_back += passed.elapsed();
        }
        let _ = self.pieces.send(Piece::End);
        Ok(())
    }

    async fn push(&self, data: &[u8]) -> Result<(), BodyError> {
        let bytes = data.len() + BESIDE_DATA;
        let place = self.ahead.wait_for_place(bytes).await?;
        // A copy of its own: it would keep the whole buffer into which it was read.
        let _ = self.pieces.send(Piece::Data(Bytes::copy_from_slice(data), place));
        Ok(())
    }
}

/// The next bytes of a body; none at its end.
async fn next_piece(client: &Weak<TrackedStream>, body: &mut Incoming) -> Result<Option<Bytes>, BodyError> {
    loop {
        // What was read late, as its server took nothing, came long ago; so its client has waited since.
        let waited_until = client.upgrade().ok_or(BodyError::Cut)?.waited_until();
        let patience = NEXT_PIECE.saturating_sub(waited_until.elapsed()).max(LEAST_PATIENCE);
        let frame = timeout(patience, body.frame()).await.map_err(|_| BodyError::Stalled)?;
        let Some(frame) = frame else { return Ok(None) };
        if let Ok(data) = frame.map_err(|_| BodyError::Cut)?.into_data() {
            return Ok(Some(data));
        }
    }
}

/// Reads a body as far as it is kept whole; without room for it, nothing of it is. One that comes too slowly is given up.
///
/// # Errors
/// Where it does not come.
pub async fn begin(body: Incoming, keep: bool) -> Result<BodyStart, BodyError> {
    let longest = WHOLE_BODY + SLOWEST * MAX_BUFFERED_BYTES as u32;
    timeout(longest, streaming::read_start(body, MAX_BUFFERED_BYTES, NEXT_PIECE, keep))
        .await
        .unwrap_or(Err(BodyError::Stalled))
}

/// Goes on with a body whose request is answered: where its server still gives a large answer, as long as it takes the body, else
/// so that its client gets to see the answer.
pub async fn go_on(passing: impl Future<Output = Passed>, answer_flows: bool) {
    let all = async {
        let passed = passing.await;
        if passed.came.is_err_and(BodyError::is_untaken) {
            drain(passed.body).await;
        }
    };
    if answer_flows {
        all.await;
    } else {
        let _ = timeout(LONGEST_DRAIN, all).await;
    }
}

/// Reads the rest of a body that nobody needs, so that its client gets to see the answer; one that goes on is cut off.
pub async fn drain(mut body: Incoming) {
    let all = async { while let Ok(Some(Ok(_))) = timeout(NEXT_PIECE, body.frame()).await {} };
    let _ = timeout(LONGEST_DRAIN, all).await;
}
