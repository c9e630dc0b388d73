//! A TCP connection as hyper uses it, which also tracks how much of a message the kernel has taken,
//! and whether the other side has sent data. Nothing else reads or writes client and server
//! connections. Used by `client_service`, `connection_pool` and `admin`.

mod reading;

use crate::arrival::Arrival;
use crate::capacity::ConnectionSlot;
use crate::framing::{Framing, ParsedRequest};
use crate::memory::ReservedBytes;
use crate::read_gate::{MAX_PEEKED_BYTES, ReadGate};
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

/// Most bytes read at a time. hyper's buffers of 8 KiB grow for a connection on which a read fills them.
const READ_BYTES: usize = 8 * 1024 - 1;
const END_OF_HEAD: &[u8] = b"\r\n\r\n";
/// End of a chunked body.
const END_OF_CHUNKS: &[u8] = b"0\r\n\r\n";
/// An answer of up to this many bytes has reached its client's kernel once it is written.
const SMALL_ANSWER: usize = 16 * 1024;
/// How long a connection stays open after a larger answer that its client may still be receiving.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(15);
/// Bytes of a request that the kernel accepts beyond what it can send to a server: with more, it
/// would take seconds to notice that a slow server still accepts a body.
const MAX_UNSENT_BYTES: u32 = 64 * 1024;
/// Longest time and most bytes for which a connection that was answered early is still read.
const LINGER_TIME: Duration = Duration::from_millis(500);
const MAX_LINGER_BYTES: usize = 1024 * 1024;

thread_local! {
    /// For data that is used at once and not kept.
    static SCRATCH_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; MAX_PEEKED_BYTES]);
}

/// Permission to write a message: asked for right before its first byte, and notified right after
/// it.
pub trait WritePermit {
    fn may_write(&self) -> bool;
    fn written(&self);
}

/// The socket and the state of the message being written; shared by hyper and the node.
pub struct TrackedStream {
    stream: TcpStream,
    /// How much of `END_OF_HEAD` the last written bytes matched.
    head_end_matched: Cell<usize>,
    in_body: Cell<bool>,
    /// Bytes of the body left to be written; `None` if the length is not known.
    body_bytes_left: Cell<Option<u64>>,
    /// The last bytes written, and whether only the end of the chunked body is left.
    tail: Cell<[u8; 5]>,
    last_chunk: Cell<bool>,
    /// Bytes read and written so far.
    bytes_moved: Cell<usize>,
    /// Bytes written since the last request was handed out.
    answer_written: Cell<usize>,
    /// Whether the kernel's send buffer is full.
    is_write_blocked: Cell<bool>,
    /// Whether any data has arrived since `begin_message`.
    has_received: Cell<bool>,
    /// Whether a message was begun of which no byte has been written.
    is_unwritten: Cell<bool>,
    /// Permission for the message about to be written, until the kernel has taken its first byte.
    permit: RefCell<Option<Rc<dyn WritePermit>>>,
    /// Whether nothing of the message was written because the permission had lapsed.
    withheld: Cell<bool>,
    /// Parser of a client's requests; `None` on other connections.
    framing: Option<RefCell<Framing>>,
    /// Nothing arrived before this time.
    opened_at: Instant,
    arrival: Arrival,
    /// Notified after each read.
    read_notify: Notify,
    gate: ReadGate,
    /// For the requests that are peeked at, if there are many.
    lookahead_memory: RefCell<Option<ReservedBytes>>,
    slot: ConnectionSlot,
}

impl TrackedStream {
    /// A client connection; nothing arrived on it before `opened_at`.
    pub fn from_client(stream: TcpStream, slot: ConnectionSlot, opened_at: Instant) -> Rc<Self> {
        Self::new(stream, slot, Some(RefCell::default()), opened_at)
    }

    /// A connection to a server.
    pub fn to_server(stream: TcpStream, slot: ConnectionSlot) -> Rc<Self> {
        // On systems without this option the kernel buffers more, which only delays noticing that a
        // server accepts data.
        let _ = socket2::SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
        Self::new(stream, slot, None, Instant::now())
    }

    /// An operator's connection: one call, and no tracking.
    pub fn from_operator(stream: TcpStream) -> Rc<Self> {
        Self::new(stream, ConnectionSlot::uncounted(), None, Instant::now())
    }

    fn new(
        stream: TcpStream,
        slot: ConnectionSlot,
        framing: Option<RefCell<Framing>>,
        opened_at: Instant,
    ) -> Rc<Self> {
        if let Err(error) = stream.set_nodelay(true) {
            log::warn!("TCP_NODELAY refused, a connection stays slow: {error}");
        }
        Rc::new(Self {
            stream,
            head_end_matched: Cell::new(0),
            in_body: Cell::new(false),
            body_bytes_left: Cell::new(Some(0)),
            tail: Cell::default(),
            last_chunk: Cell::new(false),
            bytes_moved: Cell::new(0),
            answer_written: Cell::new(0),
            is_write_blocked: Cell::new(false),
            has_received: Cell::new(false),
            is_unwritten: Cell::new(false),
            permit: RefCell::default(),
            withheld: Cell::new(false),
            framing,
            opened_at,
            arrival: Arrival::new(opened_at),
            read_notify: Notify::new(),
            gate: ReadGate::default(),
            lookahead_memory: RefCell::default(),
            slot,
        })
    }

    /// A message with a body of this length, if known, is about to be written.
    pub fn begin_message(&self, body: Option<u64>) {
        self.head_end_matched.set(0);
        self.in_body.set(false);
        self.body_bytes_left.set(body);
        self.last_chunk.set(false);
        self.has_received.set(false);
        self.is_unwritten.set(true);
        self.withheld.set(false);
    }

    /// Sets the permission without which no byte of the next message is written.
    pub fn set_write_permit(&self, permit: Rc<dyn WritePermit>) {
        self.permit.replace(Some(permit));
    }

    /// Whether nothing was written because the permission had lapsed.
    pub fn was_withheld(&self) -> bool {
        self.withheld.get()
    }

    /// Whether no byte of the message begun last has been written.
    pub fn is_unwritten(&self) -> bool {
        self.is_unwritten.get()
    }

    /// Whether the other side has ended, or has sent data that can't be an answer to the message begun
    /// last. Checked right before its first byte, as there may be a long delay between the choice of a
    /// connection and that byte: the data would be taken for the answer.
    fn has_unsolicited(&self) -> bool {
        self.is_unwritten() && (self.has_received() || !self.is_quiet())
    }

    /// Checked right before a write, as there may be a long delay between the choice of a
    /// connection and its first byte.
    fn may_write(&self) -> bool {
        let may_write = self.permit.borrow().as_ref().is_none_or(|permit| permit.may_write());
        self.withheld.set(!may_write);
        may_write
    }

    /// Of a body of unknown length only the end is left to be written.
    pub fn expect_final_chunk(&self) {
        self.last_chunk.set(true);
    }

    /// Whether the kernel has taken the message's last byte; until then no server can have acted on
    /// it.
    pub fn is_fully_written(&self) -> bool {
        self.in_body.get()
            && match self.body_bytes_left.get() {
                Some(left) => left == 0,
                None => self.last_chunk.get() && self.tail.get() == END_OF_CHUNKS,
            }
    }

    /// Follows the message that is being written to the end of its head and body.
    fn note_written(&self, written: &[u8]) {
        let mut rest = written.iter();
        while !self.in_body.get() {
            let Some(byte) = rest.next() else { return };
            let head_end_matched = self.head_end_matched.get();
            let next = if *byte == END_OF_HEAD[head_end_matched] {
                head_end_matched + 1
            } else {
                usize::from(*byte == b'\r')
            };
            self.head_end_matched.set(next);
            self.in_body.set(next == END_OF_HEAD.len());
        }
        let body = rest.as_slice();
        self.body_bytes_left
            .set(self.body_bytes_left.get().map(|left| left.saturating_sub(body.len() as u64)));
        let mut tail = self.tail.get();
        for byte in &body[body.len().saturating_sub(tail.len())..] {
            tail.rotate_left(1);
            tail[tail.len() - 1] = *byte;
        }
        self.tail.set(tail);
    }

    /// Records bytes that were read.
    fn note_read(&self, bytes: &[u8]) {
        self.has_received.set(self.has_received.get() || !bytes.is_empty());
        self.bytes_moved.set(self.bytes_moved.get() + bytes.len());
        let ahead = self.peeked_bytes();
        self.gate.advance(bytes.len());
        self.parse(bytes, ahead, Instant::now());
        self.read_notify.notify_waiters();
        if self.is_between_requests() {
            self.release_lookahead();
            self.gate.request_complete();
        }
    }

    /// Sets whether a request of the client has been handed out and has no answer yet; if so, data
    /// behind it stays unread.
    pub fn set_answering(&self, is_answering: bool) {
        if is_answering {
            self.answer_written.set(0);
        }
        self.gate.set_answering(is_answering);
        self.read_notify.notify_waiters();
    }

    /// Whether the client has yet to take earlier data. Meanwhile hyper hands out no further
    /// answer.
    pub fn is_write_blocked(&self) -> bool {
        self.is_write_blocked.get()
    }

    fn set_write_blocked(&self, is_blocked: bool) {
        if self.is_write_blocked.replace(is_blocked) && !is_blocked {
            self.gate.wake();
        }
    }

    /// Whether any data has arrived since the last message was begun.
    pub fn has_received(&self) -> bool {
        self.has_received.get()
    }

    /// Queries the parser of a client's requests.
    fn with_framing<T>(&self, ask: impl FnOnce(&mut Framing) -> T) -> Option<T> {
        self.framing.as_ref().map(|framing| ask(&mut framing.borrow_mut()))
    }

    /// Whether the client has sent an incomplete head.
    pub fn in_head(&self) -> bool {
        self.with_framing(|framing| framing.in_head()).unwrap_or_default()
    }

    /// Called once for each request that hyper hands out.
    pub fn next_request(&self) -> ParsedRequest {
        self.with_framing(Framing::next_request).unwrap_or_default()
    }

    /// When the last byte of the request handed out last arrived, if it has been read.
    pub fn arrived_at(&self) -> Option<Instant> {
        self.with_framing(|framing| framing.arrived_at()).flatten()
    }

    /// Nothing arrived on the connection before this time.
    pub fn opened_at(&self) -> Instant {
        self.opened_at
    }

    /// The earliest time at which unread data can have arrived.
    pub fn unread_since(&self) -> Instant {
        self.arrival.unread_since()
    }

    /// When the first answer is due of those that have to wait for the answer to the request handed
    /// out last, among the requests that have been read.
    pub fn pipelined_due(&self, arrival_of: impl Fn(Instant) -> Instant) -> Option<Instant> {
        self.with_framing(|framing| framing.pipelined_due(self.gate.may_hide_more(), arrival_of)).flatten()
    }

    /// Waits until more has been read.
    pub async fn wait_for_read(&self) {
        self.read_notify.notified().await;
    }

    /// The last time at which there was nothing to read.
    pub fn last_empty_at(&self) -> Instant {
        self.arrival.last_empty_at()
    }

    /// Number of complete client requests that were not handed out.
    pub fn waiting_requests(&self) -> usize {
        self.with_framing(|framing| framing.waiting_requests()).unwrap_or_default()
    }

    /// Sets whether closing resets the connection, also when the process is killed, so that the
    /// client does not take the close for the end of an answer.
    pub fn set_reset_on_close(&self, resets: bool) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(resets.then_some(Duration::ZERO));
    }

    /// Shuts down the sending side, and for a moment reads what still arrives: closing with unread
    /// bytes would make the kernel send a reset, which may overtake the answer.
    pub async fn linger(&self) {
        let _ = socket2::SockRef::from(&self.stream).shutdown(std::net::Shutdown::Write);
        let all = async {
            let mut left = MAX_LINGER_BYTES;
            while left > 0 && self.stream.readable().await.is_ok() {
                match SCRATCH_BUFFER.with_borrow_mut(|scratch| self.stream.try_read(scratch)) {
                    Ok(0) => return,
                    Ok(count) => left = left.saturating_sub(count),
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock || is_interrupted(&error) => {}
                    Err(_) => return,
                }
            }
        };
        let _ = timeout(LINGER_TIME, all).await;
    }

    /// Waits for the end of a client that may still be receiving a large answer, if more of its
    /// data is unread: closing then would make the kernel drop what the client has not received.
    pub async fn wait_for_receiver(&self) {
        if self.has_unread_bytes() && self.answer_written.get() > SMALL_ANSWER {
            let _ = timeout(RECEIVE_TIMEOUT, self.wait_for_end()).await;
        }
    }

    /// Waits until the other side has shut down its sending or reset the connection, whatever is
    /// still unread. hyper notices that only after reading everything before it, and reads nothing
    /// while a request with data behind it is open or a body is held back. The kernel reports it to
    /// every kind of wait, so waiting only for urgent data detects it and ignores unread bytes, as
    /// no urgent data is ever sent.
    pub async fn wait_for_end(&self) {
        let _ = self.stream.ready(Interest::PRIORITY).await;
    }

    /// Checks the same without waiting. The kernel may know more than the runtime, but behind
    /// unread bytes only the runtime's state counts.
    pub fn has_ended(&self) -> bool {
        match self.peek() {
            Ok(0) => true,
            Ok(_) => pin!(self.wait_for_end()).poll(&mut Context::from_waker(Waker::noop())).is_ready(),
            Err(error) => error.kind() != io::ErrorKind::WouldBlock && !is_transient(&error),
        }
    }

    /// Checks for a byte or the end; retried if interrupted.
    fn peek(&self) -> io::Result<usize> {
        loop {
            match socket2::SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
                Err(error) if is_interrupted(&error) => {}
                looked => return looked,
            }
        }
    }

    /// Bytes transferred in both directions: while the number grows, the connection is in use.
    pub fn bytes_moved(&self) -> usize {
        self.bytes_moved.get()
    }

    /// Whether it is open with nothing to read, not even the end.
    pub fn is_quiet(&self) -> bool {
        self.peek().is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    fn poll_failed<T>(&self, context: &Context, error: io::Error) -> Poll<io::Result<T>> {
        if !is_transient(&error) {
            return Poll::Ready(Err(error));
        }
        // A resource is missing for a moment: other tasks go first.
        context.waker().wake_by_ref();
        Poll::Pending
    }

    /// Reads data from a server.
    fn poll_read_answer(&self, context: &mut Context, chunk: &mut [u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            match self.stream.try_read(chunk) {
                Ok(count) => {
                    self.note_read(&chunk[..count]);
                    return Poll::Ready(Ok(count));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock || is_interrupted(&error) => {}
                Err(error) => return self.poll_failed(context, error),
            }
        }
    }
}

/// The I/O handle for hyper.
pub struct HyperIo(pub Rc<TrackedStream>);

impl Read for HyperIo {
    fn poll_read(self: Pin<&mut Self>, context: &mut Context, mut to: ReadBufCursor) -> Poll<io::Result<()>> {
        let mut chunk = [0; READ_BYTES];
        let max = to.remaining().min(READ_BYTES);
        let read = if self.0.framing.is_some() {
            self.0.poll_read_request(context, &mut chunk[..max])
        } else {
            self.0.poll_read_answer(context, &mut chunk[..max])
        };
        to.put_slice(&chunk[..ready!(read)?]);
        Poll::Ready(Ok(()))
    }
}

impl Write for HyperIo {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(context, &[IoSlice::new(bytes)])
    }

    /// Whole bodies are written from where they are: copying them into hyper's buffer would double
    /// the memory of a request.
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
            if self.0.has_unsolicited() || !self.0.may_write() {
                return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
            }
            match self.0.stream.try_write_vectored(parts) {
                Ok(count) => {
                    self.0.is_unwritten.set(false);
                    if let Some(permit) = self.0.permit.take() {
                        permit.written();
                    }
                    self.0.bytes_moved.set(self.0.bytes_moved.get() + count);
                    self.0.answer_written.set(self.0.answer_written.get() + count);
                    self.0.set_write_blocked(false);
                    let mut left = count;
                    for part in parts {
                        let written = part.len().min(left);
                        self.0.note_written(&part[..written]);
                        left -= written;
                    }
                    return Poll::Ready(Ok(count));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock || is_interrupted(&error) => {}
                Err(error) => return self.0.poll_failed(context, error),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        // Closing a connection with unread data resets it, which tells the client that nobody has
        // read that data; an orderly end would suggest that somebody may have. But a reset also
        // discards what the client has not received of an answer.
        let is_taken = self.0.answer_written.get() <= SMALL_ANSWER;
        if self.0.framing.is_some() && is_taken && self.0.has_unread_bytes() {
            return Poll::Ready(Ok(()));
        }
        Poll::Ready(socket2::SockRef::from(&self.0.stream).shutdown(std::net::Shutdown::Write))
    }
}

#[cfg(test)]
mod tests;
