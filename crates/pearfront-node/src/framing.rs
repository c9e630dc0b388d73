//! Parses the HTTP/1 framing of what a client sends, to find what hyper does not tell: when the
//! last byte of each request arrived, where each request ends, how many wait to be processed,
//! whether a head is incomplete, and whether a head has a length beside chunked encoding. Used by
//! `tracked_stream`.

use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

const CONTENT_LENGTH: &[u8] = b"content-length:";
const TRANSFER_ENCODING: &[u8] = b"transfer-encoding:";
const TIME_LEFT: &[u8] = b"x-expires-in:";
/// Longer times are not accepted.
const MAX_TIME: Duration = Duration::from_secs(24 * 3600);
/// Time reserved for each of several consecutive answers.
const TIME_PER_ANSWER: Duration = Duration::from_millis(1);
/// How much of a line is kept, bytes: more than the values that matter take.
const MAX_LINE_BYTES: usize = 256;
/// The name of the coding that a body in chunks has.
const CHUNKED: &[u8] = b"chunked";
/// Most requests that are parsed ahead of their turn, and most where there is memory for them: a client can send one in 3
/// bytes.
const FEW_WAITING: usize = 32;
const MANY_WAITING: usize = 1024;
/// Bytes of many requests that are parsed ahead.
pub const LOOKAHEAD_BYTES: usize = 2 * MANY_WAITING * (size_of::<ParsedRequest>() + size_of::<u64>());

/// Position of the parser within a request.
#[derive(Default, Clone, Copy, PartialEq, Eq, Debug)]
enum Position {
    #[default]
    Head,
    /// In a body with this many bytes left.
    Body(u64),
    /// In the line with a chunk's size, in a chunk, in the line end after it, in the lines after
    /// the last chunk.
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    Trailers,
}

/// A request whose head has been read.
#[derive(Default, Clone, Copy, PartialEq, Eq, Debug)]
pub struct ParsedRequest {
    /// Whether its head had a Content-Length.
    pub has_length: bool,
    /// When its last byte arrived, once that has been read.
    pub arrived_at: Option<Instant>,
    /// When its head had arrived completely.
    pub head_arrived_at: Option<Instant>,
    /// How long its client waits, according to its head.
    pub time_left: Option<Duration>,
}

impl ParsedRequest {
    /// When its answer is due, if it is complete; with `may_be_complete`, the missing part may have
    /// arrived without having been looked at.
    fn due_at(&self, may_be_complete: bool, arrival_of: impl Fn(Instant) -> Instant) -> Option<Instant> {
        let arrived_at = self.arrived_at.or(self.head_arrived_at.filter(|_| may_be_complete));
        Some(arrival_of(arrived_at?) + self.time_left?)
    }
}

/// A line that is being read, in lower case and with runs of blanks as one: its beginning and its last bytes.
#[derive(Default)]
struct Line {
    start: Vec<u8>,
    tail: [u8; CHUNKED.len()],
    /// Whether there was more than `start` holds.
    is_cut: bool,
}

impl Line {
    fn extend(&mut self, bytes: &[u8]) {
        for byte in bytes.iter().filter(|byte| !matches!(byte, b'\r' | b'\n')).map(u8::to_ascii_lowercase) {
            let is_blank = matches!(byte, b' ' | b'\t');
            let byte = if is_blank { b' ' } else { byte };
            if is_blank && self.start.last() == Some(&b' ') {
                continue;
            }
            if self.start.len() < MAX_LINE_BYTES {
                self.start.push(byte);
            } else {
                self.is_cut = true;
            }
            if !is_blank {
                self.tail.rotate_left(1);
                self.tail[CHUNKED.len() - 1] = byte;
            }
        }
    }

    fn is_empty(&self) -> bool {
        self.start.is_empty()
    }

    /// The value of the header field with this name, which ends with a colon.
    fn value(&self, name: &[u8]) -> Option<&[u8]> {
        self.start.strip_prefix(name).map(|value| value.trim_ascii())
    }

    /// The size of a chunk, if this is the line before it.
    fn chunk_size(&self) -> u64 {
        let digits = self.start.split(|byte| *byte == b';').next().unwrap_or_default();
        if self.is_cut && digits.len() == MAX_LINE_BYTES { u64::MAX } else { number(digits, 16) }
    }

    fn clear(&mut self) {
        self.start.clear();
        self.tail = Default::default();
        self.is_cut = false;
    }
}

/// The requests of one connection.
#[derive(Default)]
pub struct Framing {
    parsing: Position,
    in_head: bool,
    line: Line,
    length: Option<u64>,
    time_left: Option<Duration>,
    chunked: bool,
    /// Read, and not yet handed out.
    waiting: VecDeque<ParsedRequest>,
    /// Handed out last.
    current: Option<ParsedRequest>,
    /// Number of bytes parsed, and the end positions of the requests that have not been read to
    /// their end.
    position: u64,
    ends: VecDeque<u64>,
    /// Whether many requests may be parsed ahead.
    has_lookahead: bool,
}

impl Framing {
    /// Parses the next bytes, which arrived at `arrived_at`, until as many requests wait as may. `position` tells how far it
    /// came.
    pub fn read(&mut self, mut bytes: &[u8], arrived_at: Instant) {
        while !bytes.is_empty() && !self.is_full() {
            let rest = match self.parsing {
                Position::Body(left) => self.skip(bytes, left, Position::Body, Position::Head),
                Position::Chunk(left) => self.skip(bytes, left, Position::Chunk, Position::ChunkEnd),
                _ => self.read_line(bytes, arrived_at),
            };
            self.position += (bytes.len() - rest.len()) as u64;
            bytes = rest;
            if self.parsing == Position::Head && !self.in_head {
                self.request_complete(arrived_at);
            }
        }
    }

    /// The request whose head was read last is complete.
    fn request_complete(&mut self, arrived_at: Instant) {
        if let Some(last) = self.waiting.back_mut().or(self.current.as_mut())
            && last.arrived_at.is_none()
        {
            last.arrived_at = Some(arrived_at);
            self.ends.push_back(self.position);
        }
    }

    /// Whether as many requests wait as may; what lies behind them is not parsed.
    pub fn is_full(&self) -> bool {
        self.ends.len() >= if self.has_lookahead { MANY_WAITING } else { FEW_WAITING }
    }

    /// Whether no more requests wait than always may.
    pub fn has_few_waiting(&self) -> bool {
        self.ends.len() < FEW_WAITING
    }

    /// Sets whether many requests may be parsed ahead; without that, few may wait.
    pub fn set_lookahead(&mut self, has_lookahead: bool) {
        self.has_lookahead = has_lookahead;
        if !has_lookahead {
            self.waiting.shrink_to(FEW_WAITING);
            self.ends.shrink_to(FEW_WAITING);
        }
    }

    /// Number of bytes parsed.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// The first known end of a request after this position.
    pub fn next_end_after(&self, position: u64) -> Option<u64> {
        self.ends.iter().copied().find(|end| *end > position)
    }

    /// Records that bytes up to `position` have been read; returns whether that is the end of a
    /// request, or the beginning of the connection.
    pub fn advance_to(&mut self, position: u64) -> bool {
        while self.ends.front().is_some_and(|end| *end < position) {
            self.ends.pop_front();
        }
        position == 0 || self.ends.front() == Some(&position)
    }

    fn skip<'a>(
        &mut self,
        bytes: &'a [u8],
        left: u64,
        within: impl Fn(u64) -> Position,
        then: Position,
    ) -> &'a [u8] {
        let count = left.min(bytes.len() as u64);
        self.parsing = if count == left { then } else { within(left - count) };
        &bytes[count as usize..]
    }

    /// Lines end with a line feed, with or without a carriage return before it.
    fn read_line<'a>(&mut self, bytes: &'a [u8], arrived_at: Instant) -> &'a [u8] {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let (now, rest) = bytes.split_at(end.map_or(bytes.len(), |end| end + 1));
        self.line.extend(now);
        self.in_head |= self.parsing == Position::Head && !self.line.is_empty();
        if end.is_some() {
            let mut line = std::mem::take(&mut self.line);
            self.line_complete(&line, arrived_at);
            line.clear();
            self.line = line;
        }
        rest
    }

    fn line_complete(&mut self, line: &Line, arrived_at: Instant) {
        self.parsing = match self.parsing {
            Position::Head if line.is_empty() && self.in_head => return self.head_complete(arrived_at),
            Position::Head => {
                if let Some(length) = line.value(CONTENT_LENGTH) {
                    self.length = Some(number(length, 10));
                }
                if let Some(time) = line.value(TIME_LEFT) {
                    // Of two values the shorter one counts until the turn of the request comes;
                    // then it is refused.
                    self.time_left = [self.time_left, seconds(time)].into_iter().flatten().min();
                }
                self.chunked |= line.value(TRANSFER_ENCODING).is_some() && line.tail == CHUNKED;
                return;
            }
            Position::ChunkSize => match line.chunk_size() {
                0 => Position::Trailers,
                size => Position::Chunk(size),
            },
            Position::Trailers if line.is_empty() => Position::Head,
            Position::ChunkEnd => Position::ChunkSize,
            other => other,
        };
    }

    fn head_complete(&mut self, arrived_at: Instant) {
        let (has_length, time_left) = (self.length.is_some(), self.time_left.take());
        self.waiting.push_back(ParsedRequest {
            has_length,
            arrived_at: None,
            head_arrived_at: Some(arrived_at),
            time_left,
        });
        self.parsing = match self.length.take() {
            _ if self.chunked => Position::ChunkSize,
            Some(length) if length > 0 => Position::Body(length),
            _ => Position::Head,
        };
        (self.in_head, self.chunked) = (false, false);
    }

    /// Hands out the next request. One whose head was not seen, because the previous request was
    /// parsed differently from hyper, is assumed to have a length.
    pub fn next_request(&mut self) -> ParsedRequest {
        let next = self.waiting.pop_front();
        self.current = next;
        next.unwrap_or(ParsedRequest { has_length: true, ..ParsedRequest::default() })
    }

    /// When the last byte of the request handed out last arrived; `None` until it has been read.
    pub fn arrived_at(&self) -> Option<Instant> {
        self.current.and_then(|request| request.arrived_at)
    }

    /// Whether a head is incomplete.
    pub fn in_head(&self) -> bool {
        self.in_head
    }

    /// Number of complete requests that have not been handed out.
    pub fn waiting_requests(&self) -> usize {
        self.waiting.iter().filter(|request| request.arrived_at.is_some()).count()
    }

    /// When the answer to the request handed out last has to end so that the answers to pipelined
    /// requests behind it are in time; each of them takes a moment. `may_be_complete` tells that the
    /// client may have sent more data that has not been looked at; `arrival_of` yields the earliest
    /// time at which data seen at a given time can have arrived.
    pub fn pipelined_due(
        &self,
        may_be_complete: bool,
        arrival_of: impl Fn(Instant) -> Instant,
    ) -> Option<Instant> {
        let due = |(index, request): (usize, &ParsedRequest)| {
            let due = request.due_at(may_be_complete, &arrival_of)?;
            due.checked_sub(TIME_PER_ANSWER * index as u32)
        };
        self.waiting.iter().enumerate().filter_map(due).min()
    }

    /// Whether a head has been read that was not handed out.
    pub fn has_waiting_head(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Bytes left of the body that is being read, if it has a length.
    pub fn body_left(&self) -> Option<u64> {
        match self.parsing {
            Position::Body(left) => Some(left),
            _ => None,
        }
    }

    /// Bytes left of the body or chunk that is being read: no request ends within them.
    pub fn chunk_left(&self) -> Option<u64> {
        match self.parsing {
            Position::Chunk(left) => Some(left),
            _ => self.body_left(),
        }
    }
}

/// Parses a number. An invalid one makes hyper end the connection; here it only must not be 0.
fn number(text: &[u8], radix: u32) -> u64 {
    let text = std::str::from_utf8(text).unwrap_or_default();
    u64::from_str_radix(text.trim(), radix).unwrap_or(u64::MAX)
}

/// Parses a time. A request with an invalid one is refused when its turn comes.
fn seconds(text: &[u8]) -> Option<Duration> {
    let seconds: f64 = std::str::from_utf8(text).ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds.max(0.0)).ok().filter(|time| *time < MAX_TIME)
}

#[cfg(test)]
mod tests;
