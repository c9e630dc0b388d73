//! A TCP connection as hyper takes it, which also sees how much of an attempt has really been written, and whether
//! the other side has something for us. No other file touches a connection's bytes.

mod reading;

use crate::arrival::Arrival;
use crate::capacity::ConnectionSlot;
use crate::framing::{Framing, ReadRequest};
use crate::read_gate::ReadGate;
use crate::system::{is_interrupted, is_transient};
use hyper::rt::{Read, ReadBufCursor, Write};
use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

/// Bytes read at a time: heads are a few hundred, most bodies a few thousand.
const CHUNK: usize = 8 * 1024;
const END_OF_HEAD: &[u8] = b"\r\n\r\n";
/// How a body in chunks ends.
const END_OF_CHUNKS: &[u8] = b"0\r\n\r\n";
/// An answer up to this is with its client's kernel once it has been written.
const SMALL_ANSWER: usize = 16 * 1024;
/// How long a connection stays open behind a larger one that its client may still be taking.
const TAKES_ANSWER: Duration = Duration::from_secs(15);
/// Bytes that the kernel takes of a request beyond what it can send to a server: with more it would show only after seconds that a
/// slow server still takes a body.
const MOST_UNSENT: u32 = 64 * 1024;
/// Longest time and most bytes for which a connection that was answered early is read on.
const LINGER: Duration = Duration::from_millis(500);
const MOST_LINGER: usize = 1024 * 1024;

/// What a message needs to be written: asked right before its first byte, and told right behind it.
pub trait WritePermit {
    fn may_write(&self) -> bool;
    fn written(&self);
}

/// The socket and what has been written on it; shared by hyper's side and ours.
pub struct TrackedStream {
    stream: TcpStream,
    /// How much of `END_OF_HEAD` the bytes written last were.
    matched: Cell<usize>,
    in_body: Cell<bool>,
    /// Bytes of its body to be written; none where that was not told ahead.
    body_left: Cell<Option<u64>>,
    /// The last bytes written, and whether no more than the end of the chunks is to come.
    tail: Cell<[u8; 5]>,
    last_chunk: Cell<bool>,
    /// Bytes read and written so far.
    moved: Cell<usize>,
    /// Bytes written since the last request was handed out.
    answer_written: Cell<usize>,
    /// Does the kernel take no more for now of what is to be written?
    is_write_blocked: Cell<bool>,
    /// Has anything come since a message was expected to be written?
    answered: Cell<bool>,
    /// What the message that is about to be written needs, until the kernel has taken the first byte of it.
    permit: RefCell<Option<Rc<dyn WritePermit>>>,
    /// Was nothing of it written, as it was not allowed any more?
    withheld: Cell<bool>,
    /// What a caller sends; nothing on a connection to a server.
    framing: Option<RefCell<Framing>>,
    /// Nothing came on it before this.
    opened: Instant,
    arrival: Arrival,
    /// Rung with each read.
    has_read: Notify,
    unread: ReadGate,
    _place: ConnectionSlot,
}

impl TrackedStream {
    /// A caller's connection; nothing came on it before that time.
    pub fn from_client(stream: TcpStream, place: ConnectionSlot, came: Instant) -> Rc<Self> {
        Self::new(stream, place, Some(RefCell::default()), came)
    }

    pub fn to_server(stream: TcpStream, place: ConnectionSlot) -> Rc<Self> {
        // Where the system does not have that it takes more at a time, which only shows later that a server takes something.
        let _ = socket2::SockRef::from(&stream).set_tcp_notsent_lowat(MOST_UNSENT);
        Self::new(stream, place, None, Instant::now())
    }

    /// An operator's connection: one call, and nothing to be followed.
    pub fn from_operator(stream: TcpStream) -> Rc<Self> {
        Self::new(stream, ConnectionSlot::uncounted(), None, Instant::now())
    }

    fn new(
        stream: TcpStream,
        place: ConnectionSlot,
        framing: Option<RefCell<Framing>>,
        came: Instant,
    ) -> Rc<Self> {
        if let Err(error) = stream.set_nodelay(true) {
            log::warn!("a connection stays slow, nodelay was refused: {error}");
        }
        Rc::new(Self {
            stream,
            matched: Cell::new(0),
            in_body: Cell::new(false),
            body_left: Cell::new(Some(0)),
            tail: Cell::default(),
            last_chunk: Cell::new(false),
            moved: Cell::new(0),
            answer_written: Cell::new(0),
            is_write_blocked: Cell::new(false),
            answered: Cell::new(false),
            permit: RefCell::default(),
            withheld: Cell::new(false),
            framing,
            opened: came,
            arrival: Arrival::since(came),
            has_read: Notify::new(),
            unread: ReadGate::default(),
            _place: place,
        })
    }

    /// A message with a body of this length, if that is known, is about to be written.
    pub fn begin_message(&self, body: Option<u64>) {
        self.matched.set(0);
        self.in_body.set(false);
        self.body_left.set(body);
        self.last_chunk.set(false);
        self.answered.set(false);
        self.withheld.set(false);
    }

    /// The message that is about to be written needs this: not a byte of it is, unless it holds then.
    pub fn set_write_permit(&self, permit: Rc<dyn WritePermit>) {
        self.permit.replace(Some(permit));
    }

    /// Was nothing written, as it was not allowed any more?
    pub fn was_withheld(&self) -> bool {
        self.withheld.get()
    }

    /// Looked at right before a write, as much may wait its turn between the choice of a connection and its first byte.
    fn may_write(&self) -> bool {
        let may = self.permit.borrow().as_ref().is_none_or(|permit| permit.may_write());
        self.withheld.set(!may);
        may
    }

    /// Of a body of unknown length nothing more than its end is to be written.
    pub fn expect_final_chunk(&self) {
        self.last_chunk.set(true);
    }

    /// Has the kernel taken the message's last byte? Until then nobody can have acted on it.
    pub fn is_fully_written(&self) -> bool {
        self.in_body.get()
            && match self.body_left.get() {
                Some(left) => left == 0,
                None => self.last_chunk.get() && self.tail.get() == END_OF_CHUNKS,
            }
    }

    fn note(&self, written: &[u8]) {
        let mut rest = written.iter();
        while !self.in_body.get() {
            let Some(byte) = rest.next() else { return };
            let matched = self.matched.get();
            let next = if *byte == END_OF_HEAD[matched] { matched + 1 } else { usize::from(*byte == b'\r') };
            self.matched.set(next);
            self.in_body.set(next == END_OF_HEAD.len());
        }
        let body = rest.as_slice();
        self.body_left.set(self.body_left.get().map(|left| left.saturating_sub(body.len() as u64)));
        let mut tail = self.tail.get();
        for byte in &body[body.len().saturating_sub(tail.len())..] {
            tail.rotate_left(1);
            tail[tail.len() - 1] = *byte;
        }
        self.tail.set(tail);
    }

    fn note_read(&self, bytes: &[u8]) {
        self.answered.set(self.answered.get() || !bytes.is_empty());
        self.moved.set(self.moved.get() + bytes.len());
        let ahead = self.seen_ahead();
        self.unread.advance(bytes.len());
        self.note_seen(bytes, ahead, Instant::now());
        self.has_read.notify_waiters();
        if self.is_between_requests() {
            self.unread.request_over();
        }
    }

    /// A request of the client has been handed out and has no answer yet, or has it: meanwhile what comes behind it stays
    /// unread.
    pub fn answers(&self, is_answering: bool) {
        if is_answering {
            self.answer_written.set(0);
        }
        self.unread.answers(is_answering);
        self.has_read.notify_waiters();
    }

    /// Does an answer wait for the client to take what came before? hyper hands out no answer meanwhile.
    pub fn is_write_blocked(&self) -> bool {
        self.is_write_blocked.get()
    }

    fn set_write_blocked(&self, is_blocked: bool) {
        if self.is_write_blocked.replace(is_blocked) && !is_blocked {
            self.unread.wake();
        }
    }

    /// Has the other side begun to answer what was written last?
    pub fn has_received(&self) -> bool {
        self.answered.get()
    }

    /// Asks of the requests that a caller sends.
    fn framed<T>(&self, ask: impl FnOnce(&mut Framing) -> T) -> Option<T> {
        self.framing.as_ref().map(|framing| ask(&mut framing.borrow_mut()))
    }

    /// Has the caller begun a head and not ended it?
    pub fn in_head(&self) -> bool {
        self.framed(|framing| framing.in_head()).unwrap_or_default()
    }

    /// The next request of a caller is handed out by hyper. Asked once for each.
    pub fn hand_out(&self) -> ReadRequest {
        self.framed(Framing::hand_out).unwrap_or_default()
    }

    /// When the last byte of the request that was handed out last came, if that has been read.
    pub fn came(&self) -> Option<Instant> {
        self.framed(|framing| framing.came()).flatten()
    }

    /// Nothing came on the connection before this time.
    pub fn opened(&self) -> Instant {
        self.opened
    }

    /// Since when that can have come which lies unread.
    pub fn unread_since(&self) -> Instant {
        self.arrival.of_unread()
    }

    /// When the first of the answers is due that can come only behind the one to the request handed out last, of those
    /// requests that have been read.
    pub fn due_behind(&self, came_at: impl Fn(Instant) -> Instant) -> Option<Instant> {
        self.framed(|framing| framing.due_behind(self.unread.is_full(), came_at)).flatten()
    }

    /// Waits until more has been read.
    pub async fn read_more(&self) {
        self.has_read.notified().await;
    }

    /// The last time at which there was nothing to read.
    pub fn waited_until(&self) -> Instant {
        self.arrival.waited_until()
    }

    /// Requests of the caller that have come whole and were not handed out.
    pub fn waiting(&self) -> usize {
        self.framed(|framing| framing.waiting()).unwrap_or_default()
    }

    /// Its close will be a reset, which nobody takes for the end of an answer.
    pub fn reset_when_closed(&self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Ends the sending, and reads what still comes for a moment: closed with bytes unread, the kernel would tell
    /// the other side of a reset, which may overtake the answer.
    pub async fn linger(&self) {
        let _ = socket2::SockRef::from(&self.stream).shutdown(std::net::Shutdown::Write);
        let all = async {
            let mut chunk = [0; CHUNK];
            let mut left = MOST_LINGER;
            while left > 0 && self.stream.readable().await.is_ok() {
                match self.stream.try_read(&mut chunk) {
                    Ok(0) => return,
                    Ok(count) => left = left.saturating_sub(count),
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock || is_interrupted(&error) => {}
                    Err(_) => return,
                }
            }
        };
        let _ = timeout(LINGER, all).await;
    }

    /// Waits for the end of a client that may still be taking a large answer, where more of what it sends lies unread: closed over
    /// that, the kernel would drop what the client has not taken.
    pub async fn wait_for_taker(&self) {
        if self.has_bytes() && self.answer_written.get() > SMALL_ANSWER {
            let _ = timeout(TAKES_ANSWER, self.ended()).await;
        }
    }

    /// Waits until the other side has ended its sending or reset the connection, whatever of it is still unread. hyper
    /// sees that only once it has read all that came before, and it reads nothing while a job with bytes behind it is
    /// open, or while a body is held back. The kernel tells it beside unread bytes; to ask for what is urgent waits for
    /// that alone, as nothing urgent is ever told here.
    pub async fn ended(&self) {
        let _ = self.stream.ready(Interest::PRIORITY).await;
    }

    /// The same asked at once: the kernel may know more than the runtime has been told. Behind unread bytes only what the
    /// runtime has been told counts.
    pub fn has_ended(&self) -> bool {
        match self.peek() {
            Ok(0) => true,
            Ok(_) => pin!(self.ended()).poll(&mut Context::from_waker(Waker::noop())).is_ready(),
            Err(error) => error.kind() != io::ErrorKind::WouldBlock && !is_transient(&error),
        }
    }

    /// Looks whether there is a byte, or the end; an interrupted look is taken again.
    fn peek(&self) -> io::Result<usize> {
        loop {
            match socket2::SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
                Err(error) if is_interrupted(&error) => {}
                looked => return looked,
            }
        }
    }

    /// Bytes that have gone either way: while they grow, the connection is in use.
    pub fn moved(&self) -> usize {
        self.moved.get()
    }

    /// Quiet and open: nothing to read, not even the end.
    pub fn is_quiet(&self) -> bool {
        self.peek().is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    fn failed<T>(&self, context: &Context, error: io::Error) -> Poll<io::Result<T>> {
        if !is_transient(&error) {
            return Poll::Ready(Err(error));
        }
        // It lacks something for a moment: others go first.
        context.waker().wake_by_ref();
        Poll::Pending
    }

    /// Reads what a server sends.
    fn poll_read_answer(&self, context: &mut Context, chunk: &mut [u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            match self.stream.try_read(chunk) {
                Ok(count) => {
                    self.note_read(&chunk[..count]);
                    return Poll::Ready(Ok(count));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock || is_interrupted(&error) => {}
                Err(error) => return self.failed(context, error),
            }
        }
    }
}

/// hyper's end of a `Wire`.
pub struct HyperIo(pub Rc<TrackedStream>);

impl Read for HyperIo {
    fn poll_read(self: Pin<&mut Self>, context: &mut Context, mut to: ReadBufCursor) -> Poll<io::Result<()>> {
        let mut chunk = [0; CHUNK];
        let most = to.remaining().min(CHUNK);
        let read = if self.0.framing.is_some() {
            self.0.poll_read_request(context, &mut chunk[..most])
        } else {
            self.0.poll_read_answer(context, &mut chunk[..most])
        };
        to.put_slice(&chunk[..ready!(read)?]);
        Poll::Ready(Ok(()))
    }
}

impl Write for HyperIo {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(context, &[IoSlice::new(bytes)])
    }

    /// Whole bodies go out from where they lie: a copy in hyper's buffer would double what a job takes.
    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context,
        parts: &[IoSlice],
    ) -> Poll<io::Result<usize>> {
        loop {
            let Poll::Ready(is_ready) = self.0.stream.poll_write_ready(context) else {
                self.0.set_write_blocked(true);
                return Poll::Pending;
            };
            is_ready?;
            if !self.0.may_write() {
                return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
            }
            match self.0.stream.try_write_vectored(parts) {
                Ok(count) => {
                    if let Some(permit) = self.0.permit.take() {
                        permit.written();
                    }
                    self.0.moved.set(self.0.moved.get() + count);
                    self.0.answer_written.set(self.0.answer_written.get() + count);
                    self.0.set_write_blocked(false);
                    let mut left = count;
                    for part in parts {
                        let written = part.len().min(left);
                        self.0.note(&part[..written]);
                        left -= written;
                    }
                    return Poll::Ready(Ok(count));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock || is_interrupted(&error) => {}
                Err(error) => return self.0.failed(context, error),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        // Closed over what lies unread a connection is reset, which tells its client that nobody has read that: an orderly end
        // before it would say that somebody may have. But the reset takes away what the client has not taken of an answer.
        let is_taken = self.0.answer_written.get() <= SMALL_ANSWER;
        if self.0.framing.is_some() && is_taken && self.0.has_bytes() {
            return Poll::Ready(Ok(()));
        }
        Poll::Ready(socket2::SockRef::from(&self.0.stream).shutdown(std::net::Shutdown::Write))
    }
}

#[cfg(test)]
mod tests;
