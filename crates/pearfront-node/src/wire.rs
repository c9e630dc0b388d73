//! A TCP connection as hyper takes it, which also sees how much of a shot has really been written, and whether
//! the other side has something for us. No other file touches a connection's bytes.

use crate::admit::Place;
use hyper::rt::{Read, ReadBufCursor, Write};
use std::cell::{Cell, RefCell};
use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Bytes read at a time: heads are a few hundred, most bodies a few thousand.
const CHUNK: usize = 8 * 1024;
const END_OF_HEAD: &[u8] = b"\r\n\r\n";
const LENGTH: &[u8] = b"content-length:";
/// Longest time and most bytes for which a connection that was answered early is read on.
const LINGER: Duration = Duration::from_millis(500);
const MOST_LINGER: usize = 1024 * 1024;

/// What of the heads that come in hyper does not tell: whether one is half here, and whether it names a length.
#[derive(Default)]
struct Heads {
    begun: bool,
    ended: bool,
    length: bool,
    /// How much of the current line there is, and how much of it is like `LENGTH`.
    line: usize,
    alike: usize,
    /// Bytes that came behind the head.
    beyond: usize,
    /// Some bytes came ahead of their turn: heads can't be told apart any more.
    unsure: bool,
}

impl Heads {
    fn read(&mut self, bytes: &[u8]) {
        let mut rest = bytes.iter();
        while !self.ended {
            let Some(byte) = rest.next() else { return };
            self.byte(*byte);
        }
        self.beyond += rest.len();
    }

    /// Lines end with a line feed, with or without a return before it; empty ones ahead of a head are no end.
    fn byte(&mut self, byte: u8) {
        match byte {
            b'\r' => {}
            b'\n' => {
                self.ended = self.begun && self.line == 0;
                self.length |= self.alike == LENGTH.len();
                (self.line, self.alike) = (0, 0);
            }
            other => {
                self.begun = true;
                let fits =
                    self.alike == self.line && LENGTH.get(self.line) == Some(&other.to_ascii_lowercase());
                self.alike += usize::from(fits);
                self.line += 1;
            }
        }
    }
}

/// The socket and what has been written on it; shared by hyper's side and ours.
pub struct Wire {
    stream: TcpStream,
    /// How much of `END_OF_HEAD` the bytes written last were.
    matched: Cell<usize>,
    in_body: Cell<bool>,
    body_left: Cell<usize>,
    /// Bytes read and written so far.
    moved: Cell<usize>,
    heads: RefCell<Heads>,
    _place: Place,
}

impl Wire {
    pub fn new(stream: TcpStream, place: Place) -> Rc<Self> {
        if let Err(error) = stream.set_nodelay(true) {
            log::warn!("a connection stays slow, nodelay was refused: {error}");
        }
        Rc::new(Self {
            stream,
            matched: Cell::new(0),
            in_body: Cell::new(false),
            body_left: Cell::new(0),
            moved: Cell::new(0),
            heads: RefCell::default(),
            _place: place,
        })
    }

    /// A message with a body of this length is about to be written.
    pub fn expect(&self, body: usize) {
        self.matched.set(0);
        self.in_body.set(false);
        self.body_left.set(body);
    }

    /// Has the kernel taken the message's last byte? Until then nobody can have acted on it.
    pub fn whole_written(&self) -> bool {
        self.in_body.get() && self.body_left.get() == 0
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
        self.body_left.set(self.body_left.get().saturating_sub(rest.len()));
    }

    /// Has the other side begun a message since the last one was over?
    pub fn has_begun(&self) -> bool {
        self.heads.borrow().begun
    }

    /// Has the other side begun a head and not ended it?
    pub fn in_head(&self) -> bool {
        let heads = self.heads.borrow();
        heads.begun && !heads.ended
    }

    /// May a length have stood in the head that came last?
    pub fn may_have_length(&self) -> bool {
        let heads = self.heads.borrow();
        heads.length || heads.unsure
    }

    /// The message that came last is over, with a body of this length, if it is known; the next head begins.
    pub fn message_over(&self, body: Option<usize>) {
        let mut heads = self.heads.borrow_mut();
        let unsure = heads.unsure || !heads.ended || body != Some(heads.beyond);
        *heads = Heads { unsure, ..Heads::default() };
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
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                    Err(_) => return,
                }
            }
        };
        let _ = timeout(LINGER, all).await;
    }

    /// Bytes that have gone either way: while they grow, the connection is in use.
    pub fn moved(&self) -> usize {
        self.moved.get()
    }

    /// Quiet and open: nothing to read, not even the end.
    pub fn is_quiet(&self) -> bool {
        let peeked = socket2::SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Are there bytes that nobody has read yet?
    pub fn has_unread(&self) -> bool {
        socket2::SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]).is_ok_and(|count| count > 0)
    }
}

/// hyper's end of a `Wire`.
pub struct Socket(pub Rc<Wire>);

impl Read for Socket {
    fn poll_read(self: Pin<&mut Self>, context: &mut Context, mut to: ReadBufCursor) -> Poll<io::Result<()>> {
        let mut chunk = [0; CHUNK];
        let most = to.remaining().min(CHUNK);
        loop {
            ready!(self.0.stream.poll_read_ready(context))?;
            match self.0.stream.try_read(&mut chunk[..most]) {
                Ok(count) => {
                    to.put_slice(&chunk[..count]);
                    self.0.heads.borrow_mut().read(&chunk[..count]);
                    self.0.moved.set(self.0.moved.get() + count);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl Write for Socket {
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
            ready!(self.0.stream.poll_write_ready(context))?;
            match self.0.stream.try_write_vectored(parts) {
                Ok(count) => {
                    self.0.moved.set(self.0.moved.get() + count);
                    let mut left = count;
                    for part in parts {
                        let written = part.len().min(left);
                        self.0.note(&part[..written]);
                        left -= written;
                    }
                    return Poll::Ready(Ok(count));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&self.0.stream).shutdown(std::net::Shutdown::Write))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::admit::Room;
    use test_case::test_case;

    // What hyper does not tell of a head decides whether its body may hide a job: in whatever pieces it is read.
    #[test_case("GET /a HTTP/1.1\r\nHost: b\r\n\r\n", (true, false); "none")]
    #[test_case("\r\n\r\nPOST /a HTTP/1.1\r\nCONTENT-Length:1\r\n\r\n", (true, true); "behind empty lines")]
    #[test_case("POST /a HTTP/1.1\nContent-Length: 1\nTe: x\n\n", (true, true); "line feeds alone")]
    #[test_case("POST /a HTTP/1.1\r\nX-Content-Length: 1\r\n\r\ncontent-length:", (true, false); "only like one")]
    #[test_case("POST /a HTTP/1.1\r\nContent-Length: 1\r\n", (false, true); "half a head")]
    fn lengths_in_heads(text: &str, wanted: (bool, bool)) {
        for piece in [1, 3, text.len()] {
            let mut heads = Heads::default();
            text.as_bytes().chunks(piece).for_each(|part| heads.read(part));
            assert_eq!((heads.ended, heads.length), wanted, "in pieces of {piece}");
        }
    }

    // The boundary between "never ran" and "may have run" is the last byte, in whatever pieces it is written.
    #[test_case("GET /a HTTP/1.1\r\nHost: b\r\n\r\n", 0; "no body")]
    #[test_case("POST /a HTTP/1.1\r\nX: \r\r\n\r\nbo\r\n\r\ndy", 8; "ends of lines in odd places")]
    fn a_message_is_whole_with_its_last_byte_only(message: &str, body: usize) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let connect = TcpStream::connect(listener.local_addr().unwrap());
        let wire = Wire::new(runtime.block_on(connect).unwrap(), Room::new(64, 1.0).place());
        for piece in [1, 3, message.len()] {
            wire.expect(body);
            assert!(!wire.whole_written());
            let mut left = message.len();
            for part in message.as_bytes().chunks(piece) {
                wire.note(part);
                left -= part.len();
                assert_eq!(
                    wire.whole_written(),
                    left == 0,
                    "{left} of {message:?} left, in pieces of {piece}"
                );
            }
        }
    }
}
