//! Follows what a client sends to the ends of its requests, byte by byte. It tells what hyper does not: when the last byte of
//! each request came, how many came that nobody has begun to answer, where each ends, whether a head is half here, and whether one
//! names a length beside chunks.

use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

const LENGTH: &[u8] = b"content-length:";
const CODING: &[u8] = b"transfer-encoding:";
const TIME: &[u8] = b"x-expires-in:";
/// Longest time that is taken for one.
const LONGEST_TIME: Duration = Duration::from_secs(24 * 3600);
/// What each of a row of answers may take.
const ONE_ANSWER: Duration = Duration::from_millis(1);
/// So much of a line is looked at: as much as hyper reads of a head.
const MOST_LINE: usize = 16 * 1024;

/// Where in a client's requests the bytes that come next stand.
#[derive(Default, Clone, Copy, PartialEq, Eq, Debug)]
enum Part {
    #[default]
    Head,
    /// In a body of which so many bytes are left.
    Body(u64),
    /// In the line that tells a chunk's size, in a chunk, in the line end behind it, in the lines behind the last.
    Size,
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
    pub came: Option<Instant>,
    /// When its head had come.
    pub head_came: Option<Instant>,
    /// How long its client says that it waits.
    pub time: Option<Duration>,
}

impl ReadRequest {
    /// When its answer is due, if it is whole; `may_be_whole` if what is missing may have come, and was not looked at.
    fn due(&self, may_be_whole: bool, came_at: impl Fn(Instant) -> Instant) -> Option<Instant> {
        let came = self.came.or(self.head_came.filter(|_| may_be_whole));
        Some(came_at(came?) + self.time?)
    }
}

/// The requests of one connection.
#[derive(Default)]
pub struct Framing {
    part: Part,
    begun: bool,
    /// The beginning of the current line, in lower case.
    line: Vec<u8>,
    length: Option<u64>,
    time: Option<Duration>,
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
    pub fn read(&mut self, mut bytes: &[u8], came: Instant) {
        while !bytes.is_empty() {
            let rest = match self.part {
                Part::Body(left) => self.skip(bytes, left, Part::Body, Part::Head),
                Part::Chunk(left) => self.skip(bytes, left, Part::Chunk, Part::ChunkEnd),
                _ => self.line(bytes, came),
            };
            self.position += (bytes.len() - rest.len()) as u64;
            bytes = rest;
            if self.part == Part::Head && !self.begun {
                self.request_over(came);
            }
        }
    }

    /// The request whose head was read last is whole.
    fn request_over(&mut self, came: Instant) {
        if let Some(last) = self.waiting.back_mut().or(self.current.as_mut())
            && last.came.is_none()
        {
            last.came = Some(came);
            self.ends.push_back(self.position);
        }
    }

    /// How many bytes were taken.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Where the first request ends that ends behind this position, if that has been seen.
    pub fn end_behind(&self, position: u64) -> Option<u64> {
        self.ends.iter().copied().find(|end| *end > position)
    }

    /// So many bytes have been read: is that the end of a request, or the beginning of the connection?
    pub fn has_read(&mut self, position: u64) -> bool {
        while self.ends.front().is_some_and(|end| *end < position) {
            self.ends.pop_front();
        }
        position == 0 || self.ends.front() == Some(&position)
    }

    fn skip<'a>(&mut self, bytes: &'a [u8], left: u64, within: impl Fn(u64) -> Part, then: Part) -> &'a [u8] {
        let count = left.min(bytes.len() as u64);
        self.part = if count == left { then } else { within(left - count) };
        &bytes[count as usize..]
    }

    /// Lines end with a line feed, with or without a return before it.
    fn line<'a>(&mut self, bytes: &'a [u8], came: Instant) -> &'a [u8] {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let (now, rest) = bytes.split_at(end.map_or(bytes.len(), |end| end + 1));
        let text = now.iter().filter(|byte| !matches!(byte, b'\r' | b'\n')).map(u8::to_ascii_lowercase);
        self.line.extend(text.take(MOST_LINE - self.line.len()));
        self.begun |= self.part == Part::Head && !self.line.is_empty();
        if end.is_some() {
            let line = std::mem::take(&mut self.line);
            self.line_over(&line, came);
        }
        rest
    }

    fn line_over(&mut self, line: &[u8], came: Instant) {
        self.part = match self.part {
            Part::Head if line.is_empty() && self.begun => return self.head_over(came),
            Part::Head => {
                let value = |name: &[u8]| line.strip_prefix(name).map(|value| value.trim_ascii());
                if let Some(length) = value(LENGTH) {
                    self.length = Some(number(length, 10));
                }
                if let Some(time) = value(TIME) {
                    // Of two the shorter one counts until its turn comes, and it is turned down.
                    self.time = [self.time, seconds(time)].into_iter().flatten().min();
                }
                self.chunked |= value(CODING).is_some_and(|coding| coding.ends_with(b"chunked"));
                return;
            }
            Part::Size => match number(line.split(|byte| *byte == b';').next().unwrap_or_default(), 16) {
                0 => Part::Trailers,
                size => Part::Chunk(size),
            },
            Part::Trailers if line.is_empty() => Part::Head,
            Part::ChunkEnd => Part::Size,
            other => other,
        };
    }

    fn head_over(&mut self, came: Instant) {
        let (has_length, time) = (self.length.is_some(), self.time.take());
        self.waiting.push_back(ReadRequest { has_length, came: None, head_came: Some(came), time });
        self.part = match self.length.take() {
            _ if self.chunked => Part::Size,
            Some(length) if length > 0 => Part::Body(length),
            _ => Part::Head,
        };
        (self.begun, self.chunked) = (false, false);
    }

    /// The next request is handed out. One whose head was not seen, as what came before it was read otherwise than by hyper,
    /// may have named a length.
    pub fn hand_out(&mut self) -> ReadRequest {
        let next = self.waiting.pop_front();
        self.current = next;
        next.unwrap_or(ReadRequest { has_length: true, ..ReadRequest::default() })
    }

    /// When the last byte of the request that was handed out last came; nothing as long as it has not been read.
    pub fn came(&self) -> Option<Instant> {
        self.current.and_then(|request| request.came)
    }

    /// Has a head begun and not ended?
    pub fn in_head(&self) -> bool {
        self.begun
    }

    /// How many requests have come whole and not been handed out.
    pub fn waiting(&self) -> usize {
        self.waiting.iter().filter(|request| request.came.is_some()).count()
    }

    /// When the answer to the request handed out last has to end, so that those that can come only behind it are in time: each of
    /// them takes a moment. `may_be_whole` if more of what the client has sent lies where it was not looked at; `came_at` tells when
    /// what was seen then can have come at the earliest.
    pub fn due_behind(&self, may_be_whole: bool, came_at: impl Fn(Instant) -> Instant) -> Option<Instant> {
        let due = |(place, request): (usize, &ReadRequest)| {
            let due = request.due(may_be_whole, &came_at)?;
            due.checked_sub(ONE_ANSWER * place as u32)
        };
        self.waiting.iter().enumerate().filter_map(due).min()
    }

    /// Has a head been read that was not handed out?
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Bytes to come of the body that is being read, where its length was told.
    pub fn body_left(&self) -> Option<u64> {
        match self.part {
            Part::Body(left) => Some(left),
            _ => None,
        }
    }

    /// Bytes to come of the body, or of the chunk of it, that is being read: no request ends among them.
    pub fn piece_left(&self) -> Option<u64> {
        match self.part {
            Part::Chunk(left) => Some(left),
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
    Duration::try_from_secs_f64(seconds.max(0.0)).ok().filter(|time| *time < LONGEST_TIME)
}

#[cfg(test)]
mod tests;
