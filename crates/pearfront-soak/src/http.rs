//! As much of HTTP/1.1 as the soak's own clients, servers, discovery and relay need, with the times at which bytes arrive.

use crate::clock;
use std::cell::Cell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Bytes read at a time.
const CHUNK: usize = 64 * 1024;
/// Bytes of a line end.
const LINE_END: u64 = 2;
/// How long to wait for a reset after the other side has closed.
const RESET_AFTER_CLOSE_WAIT: Duration = Duration::from_millis(5);
const END_OF_HEAD: &[u8] = b"\r\n\r\n";

/// A message: its head, and its body where that was read.
#[derive(Debug, Clone)]
pub struct Message {
    /// The bytes as they were received.
    pub bytes: Vec<u8>,
    /// The request line or status line.
    pub start: String,
    /// Names in lower case.
    pub headers: HashMap<String, String>,
    /// When its first byte was received.
    pub first_byte_at: f64,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default()
    }

    /// The value of a key of the query, as text.
    pub fn query_text(&self, key: &str) -> Option<&str> {
        let (_, rest) = self.start.split_once(&format!("{key}="))?;
        rest.split(['&', ' ']).next()
    }

    /// The value of a key of the query, as a number.
    pub fn query(&self, key: &str) -> Option<u64> {
        self.query_text(key)?.parse().ok()
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"))
    }
}

/// What remains to be read of a message's body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RemainingBody {
    Length(u64),
    /// A chunk's size line; the rest of a chunk, bytes with its line end; the trailers after the last chunk.
    Size,
    Chunk(u64),
    Trailers,
    /// All bytes until the connection ends.
    UntilEnd,
    Done,
}

impl RemainingBody {
    /// The body of a request with this head.
    pub fn of_request(head: &Message) -> Self {
        match head.header("content-length").and_then(|length| length.parse().ok()) {
            _ if head.is_chunked() => Self::Size,
            Some(length) if length > 0 => Self::Length(length),
            _ => Self::Done,
        }
    }

    /// The body of an answer with this head.
    pub fn of_answer(head: &Message) -> Self {
        let has_end = head.is_chunked() || head.header("content-length").is_some();
        if has_end { Self::of_request(head) } else { Self::UntilEnd }
    }
}

/// A part of a body, as it was received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Piece {
    pub raw: Vec<u8>,
    /// Bytes of it that are content rather than chunk framing.
    pub content: usize,
}

/// The connection ended before the body was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Truncated;

/// How the other side ended the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Orderly,
    /// A reset, which is never the end of a message.
    Reset,
}

/// A connection, with the bytes that were received and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    first_byte_at: f64,
    end: Option<End>,
    /// A write on it has met a reset. The kernel reports a reset only once, and shows an orderly end from then on.
    write_saw_reset: Rc<Cell<bool>>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new(), first_byte_at: 0.0, end: None, write_saw_reset: Rc::default() }
    }

    /// Receives more bytes; `None` if the other side has ended the connection.
    async fn read_more(&mut self) -> Option<()> {
        let mut chunk = vec![0; CHUNK];
        let count = match self.stream.read(&mut chunk).await {
            Ok(0) if self.write_saw_reset.get() => Err(End::Reset),
            Ok(0) => Err(End::Orderly),
            Ok(count) => Ok(count),
            Err(_) => Err(End::Reset),
        };
        let count = count.map_err(|end| self.end = Some(end)).ok()?;
        if self.buffer.is_empty() {
            self.first_byte_at = clock::now();
        }
        self.buffer.extend_from_slice(&chunk[..count]);
        Some(())
    }

    /// Reads a head, without its body; `None` if the connection ends first.
    pub async fn head(&mut self) -> Option<Message> {
        let end = loop {
            let found = self.buffer.windows(END_OF_HEAD.len()).position(|bytes| bytes == END_OF_HEAD);
            if let Some(at) = found {
                break at + END_OF_HEAD.len();
            }
            self.read_more().await?;
        };
        let rest = self.buffer.split_off(end);
        let bytes = std::mem::replace(&mut self.buffer, rest);
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let mut lines = text.lines();
        let start = lines.next().unwrap_or_default().to_string();
        let header = |line: &str| {
            let (name, value) = line.split_once(':')?;
            Some((name.to_lowercase(), value.trim().to_string()))
        };
        Some(Message {
            bytes,
            start,
            headers: lines.filter_map(header).collect(),
            first_byte_at: self.first_byte_at,
        })
    }

    /// Reads the next part of a body; `None` at its end. Cancel-safe.
    ///
    /// # Errors
    /// If the connection ends before the body does.
    pub async fn piece(&mut self, rest: &mut RemainingBody) -> Result<Option<Piece>, Truncated> {
        match *rest {
            RemainingBody::Done => Ok(None),
            RemainingBody::Length(left) => {
                let raw = self.read_bytes(left).await?;
                let left = left - raw.len() as u64;
                *rest = if left == 0 { RemainingBody::Done } else { RemainingBody::Length(left) };
                Ok(Some(Piece { content: raw.len(), raw }))
            }
            RemainingBody::UntilEnd => match self.read_bytes(u64::MAX).await {
                Ok(raw) => Ok(Some(Piece { content: raw.len(), raw })),
                Err(Truncated) if self.end == Some(End::Reset) => Err(Truncated),
                Err(Truncated) => {
                    *rest = RemainingBody::Done;
                    Ok(None)
                }
            },
            RemainingBody::Size => {
                let raw = self.read_line().await?;
                let text = String::from_utf8_lossy(&raw).into_owned();
                let size = text.split(';').next().map(str::trim).unwrap_or_default();
                let size = u64::from_str_radix(size, 16).map_err(|_| Truncated)?;
                *rest =
                    if size == 0 { RemainingBody::Trailers } else { RemainingBody::Chunk(size + LINE_END) };
                Ok(Some(Piece { raw, content: 0 }))
            }
            RemainingBody::Chunk(left) => {
                let raw = self.read_bytes(left).await?;
                let after = left - raw.len() as u64;
                *rest = if after == 0 { RemainingBody::Size } else { RemainingBody::Chunk(after) };
                let content = left.saturating_sub(LINE_END) - after.saturating_sub(LINE_END);
                Ok(Some(Piece { raw, content: content as usize }))
            }
            RemainingBody::Trailers => {
                let raw = self.read_line().await?;
                if raw == b"\r\n" {
                    *rest = RemainingBody::Done;
                }
                Ok(Some(Piece { raw, content: 0 }))
            }
        }
    }

    /// Some bytes, at most this many.
    async fn read_bytes(&mut self, most: u64) -> Result<Vec<u8>, Truncated> {
        if self.buffer.is_empty() {
            self.read_more().await.ok_or(Truncated)?;
        }
        let count = most.min(self.buffer.len() as u64) as usize;
        let rest = self.buffer.split_off(count);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    async fn read_line(&mut self) -> Result<Vec<u8>, Truncated> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                return self.read_bytes(end as u64 + 1).await;
            }
            self.read_more().await.ok_or(Truncated)?;
        }
    }

    /// How the other side has ended the connection, once that was read.
    pub fn end(&self) -> Option<End> {
        self.end
    }

    /// Whether the other side has ended the connection with nothing left to read, as far as the kernel knows.
    pub fn has_ended(&self) -> bool {
        let peeked = socket2::SockRef::from(&self.stream).peek(&mut [std::mem::MaybeUninit::uninit()]);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Whether a reset followed the other side's close. If nothing was sent since, that means that it left bytes unread.
    pub async fn is_reset_after_close(&self) -> bool {
        sleep(RESET_AFTER_CLOSE_WAIT).await;
        self.stream.take_error().ok().flatten().is_some()
    }

    /// A second handle of the connection, to write on while this one is read.
    pub fn writer(&self) -> Option<Self> {
        let socket = socket2::SockRef::from(&self.stream).try_clone().ok()?;
        let mut writer = TcpStream::from_std(socket.into()).ok().map(Self::new)?;
        writer.write_saw_reset = self.write_saw_reset.clone();
        Some(writer)
    }

    /// Waits until the other side has closed or reset the connection, even with bytes unread.
    pub async fn closed(&self) {
        let _ = self.stream.ready(Interest::PRIORITY).await;
    }

    /// Reads the body that follows a head and has a content length.
    pub async fn body(&mut self, message: &mut Message) -> Option<()> {
        let length: usize = message.header("content-length").map_or(Some(0), |length| length.parse().ok())?;
        while self.buffer.len() < length {
            self.read_more().await?;
        }
        let rest = self.buffer.split_off(length);
        message.bytes.extend(std::mem::replace(&mut self.buffer, rest));
        Some(())
    }

    /// Reads a whole message.
    pub async fn message(&mut self) -> Option<Message> {
        let mut message = self.head().await?;
        self.body(&mut message).await?;
        Some(message)
    }

    /// Reads until the other side has ended the connection, and drops what comes.
    pub async fn read_to_end(&mut self) {
        while self.read_more().await.is_some() {}
    }

    /// Writes all of the bytes.
    ///
    /// # Errors
    /// If the connection has broken.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let written = self.stream.write_all(bytes).await;
        if written.as_ref().is_err_and(|error| error.kind() == io::ErrorKind::ConnectionReset) {
            self.write_saw_reset.set(true);
        }
        written
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

/// An answer with a content length.
pub fn answer(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

#[cfg(test)]
mod tests;
