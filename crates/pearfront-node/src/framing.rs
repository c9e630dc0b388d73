//! Follows what a client sends to the ends of its requests, byte by byte. It tells what hyper does not: when the last byte of
//! each request came, how many came that nobody has begun to answer, where each ends, whether a head is half here, and whether one
//! names a length beside chunks.

use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

const CONTENT_LENGTH: &[u8] = b"content-length:";
const TRANSFER_ENCODING: &[u8] = b"transfer-encoding:";
const TIME_LEFT: &[u8] = b"x-expires-in:";
/// Longest time that is taken for one.
const MAX_TIME: Duration = Duration::from_secs(24 * 3600);
/// What each of a row of answers may take.
const TIME_PER_ANSWER: Duration = Duration::from_millis(1);
/// So much of a line is looked at: as much as hyper reads of a head.
const MAX_LINE_BYTES: usize = 16 * 1024;

/// Where in a client's requests the bytes that come next stand.
#[derive(Default, Clone, Copy, PartialEq, Eq, Debug)]
enum Position {
    #[default]
    Head,
    /// In a body of which so many bytes are left.
    Body(u64),
    /// In the line that tells a chunk's size, in a chunk, in the line end behind it, in the lines behind the last.
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    Trailers,
}

/// A request whose head has been read.
#[derive(Default, Clone, Copy, PartialEq, Eq, Debug)]
pub struct ReadRequest {
    /// Did its head name a length?
    pub has_length: bool,
    /// When its last byte came, once that has been read.
    pub arrived_at: Option<Instant>,
    /// When its head had come.
    pub head_arrived_at: Option<Instant>,
    /// How long its client says that it waits.
    pub time_left: Option<Duration>,
}

impl ReadRequest {
    /// When its answer is due, if it is whole; `may_be_whole` if what is missing may have come, and was not looked at.
    fn due_at(&self, may_be_whole: bool, arrival_of: impl Fn(Instant) -> Instant) -> Option<Instant> {
        let arrived_at = self.arrived_at.or(self.head_arrived_at.filter(|_| may_be_whole));
        Some(arrival_of(arrived_at?) + self.time_left?)
    }
}

/// The requests of one connection.
#[derive(Default)]
pub struct Framing {
    parsing: Position,
    in_head: bool,
    /// The beginning of the current line, in lower case.
    line: Vec<u8>,
    length: Option<u64>,
    time_left: Option<Duration>,
    chunked: bool,
    /// Read, and not handed out yet.
    waiting: VecDeque<ReadRequest>,
    /// Handed out last.
    current: Option<ReadRequest>,
    /// How many bytes were taken, and behind how many each request ended that has not been read to its end.
    position: u64,
    ends: VecDeque<u64>,
}

impl Framing {
    /// Takes the next bytes, which came at that time.
    pub fn read(&mut self, mut bytes: &[u8], arrived_at: Instant) {
        while !bytes.is_empty() {
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

    /// The request whose head was read last is whole.
    fn request_complete(&mut self, arrived_at: Instant) {
        if let Some(last) = self.waiting.back_mut().or(self.current.as_mut())
            && last.arrived_at.is_none()
        {
            last.arrived_at = Some(arrived_at);
            self.ends.push_back(self.position);
        }
    }

    /// How many bytes were taken.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Where the first request ends that ends behind this position, if that has been seen.
    pub fn next_end_after(&self, position: u64) -> Option<u64> {
        self.ends.iter().copied().find(|end| *end > position)
    }

    /// So many bytes have been read: is that the end of a request, or the beginning of the connection?
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

    /// Lines end with a line feed, with or without a return before it.
    fn read_line<'a>(&mut self, bytes: &'a [u8], arrived_at: Instant) -> &'a [u8] {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let (now, rest) = bytes.split_at(end.map_or(bytes.len(), |end| end + 1));
        let text = now.iter().filter(|byte| !matches!(byte, b'\r' | b'\n')).map(u8::to_ascii_lowercase);
        self.line.extend(text.take(MAX_LINE_BYTES - self.line.len()));
        self.in_head |= self.parsing == Position::Head && !self.line.is_empty();
        if end.is_some() {
            let line = std::mem::take(&mut self.line);
            self.line_complete(&line, arrived_at);
        }
        rest
    }

    fn line_complete(&mut self, line: &[u8], arrived_at: Instant) {
        self.parsing = match self.parsing {
            Position::Head if line.is_empty() && self.in_head => return self.head_complete(arrived_at),
            Position::Head => {
                let value = |name: &[u8]| line.strip_prefix(name).map(|value| value.trim_ascii());
                if let Some(length) = value(CONTENT_LENGTH) {
                    self.length = Some(number(length, 10));
                }
                if let Some(time) = value(TIME_LEFT) {
                    // Of two the shorter one counts until its turn comes, and it is turned down.
                    self.time_left = [self.time_left, seconds(time)].into_iter().flatten().min();
                }
                self.chunked |= value(TRANSFER_ENCODING).is_some_and(|coding| coding.ends_with(b"chunked"));
                return;
            }
            Position::ChunkSize => {
                match number(line.split(|byte| *byte == b';').next().unwrap_or_default(), 16) {
                    0 => Position::Trailers,
                    size => Position::Chunk(size),
                }
            }
            Position::Trailers if line.is_empty() => Position::Head,
            Position::ChunkEnd => Position::ChunkSize,
            other => other,
        };
    }

    fn head_complete(&mut self, arrived_at: Instant) {
        let (has_length, time_left) = (self.length.is_some(), self.time_left.take());
        self.waiting.push_back(ReadRequest {
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

    /// The next request is handed out. One whose head was not seen, as what came before it was read otherwise than by hyper,
    /// may have named a length.
    pub fn next_request(&mut self) -> ReadRequest {
        let next = self.waiting.pop_front();
        self.current = next;
        next.unwrap_or(ReadRequest { has_length: true, ..ReadRequest::default() })
    }

    /// When the last byte of the request that was handed out last came; nothing as long as it has not been read.
    pub fn arrived_at(&self) -> Option<Instant> {
        self.current.and_then(|request| request.arrived_at)
    }

    /// Has a head begun and not ended?
    pub fn in_head(&self) -> bool {
        self.in_head
    }

    /// How many requests have come whole and not been handed out.
    pub fn waiting_requests(&self) -> usize {
        self.waiting.iter().filter(|request| request.arrived_at.is_some()).count()
    }

    /// When the answer to the request handed out last has to end, so that those that can come only behind it are in time: each of
    /// them takes a moment. `may_be_whole` if more of what the client has sent lies where it was not looked at; `came_at` tells when
    /// what was seen then can have come at the earliest.
    pub fn pipelined_due(
        &self,
        may_be_whole: bool,
        arrival_of: impl Fn(Instant) -> Instant,
    ) -> Option<Instant> {
        let due = |(index, request): (usize, &ReadRequest)| {
            let due = request.due_at(may_be_whole, &arrival_of)?;
            due.checked_sub(TIME_PER_ANSWER * index as u32)
        };
        self.waiting.iter().enumerate().filter_map(due).min()
    }

    /// Has a head been read that was not handed out?
    pub fn has_waiting_head(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Bytes to come of the body that is being read, where its length was told.
    pub fn body_left(&self) -> Option<u64> {
        match self.parsing {
            Position::Body(left) => Some(left),
            _ => None,
        }
    }

    /// Bytes to come of the body, or of the chunk of it, that is being read: no request ends among them.
    pub fn chunk_left(&self) -> Option<u64> {
        match self.parsing {
            Position::Chunk(left) => Some(left),
            _ => self.body_left(),
        }
    }
}

/// What can't be read ends its connection in hyper: here it only must not be 0.
fn number(text: &[u8], radix: u32) -> u64 {
    let text = std::str::from_utf8(text).unwrap_or_default();
    u64::from_str_radix(text.trim(), radix).unwrap_or(u64::MAX)
}

/// What says nothing of a time is turned down when its turn comes.
fn seconds(text: &[u8]) -> Option<Duration> {
    let seconds: f64 = std::str::from_utf8(text).ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds.max(0.0)).ok().filter(|time| *time < MAX_TIME)
}

#[cfg(test)]
mod tests;
