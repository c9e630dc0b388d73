//! Crowds of difficult clients: many connections to one node at once that all strain its memory in the same way. Their
//! requests are not recorded; what the node has to keep is its memory limit and its service for other clients. Used by the role
//! of clients and by the tests of the node.

use crate::answer_spec::{AnswerForm, AnswerSpec};
use serde::{Deserialize, Serialize};
use socket2::{Domain, Socket, Type};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

/// Time between two turns, in each of which every client writes and reads once.
const TURN: Duration = Duration::from_millis(5);
/// Most connections that are opened in a turn.
const CONNECTS_PER_TURN: usize = 200;
/// How long a client stays before it closes its connection and comes again.
const STAY: Duration = Duration::from_secs(5);
/// Size of the receive buffer of a client that reads nothing, bytes.
const SMALL_RECEIVE_BUFFER: usize = 4096;
/// Bytes read in a turn.
const READ_BYTES: usize = 64 * 1024;
/// Number of short fields in a head that has very many, and of a head with more than a node accepts.
const MANY_FIELDS: usize = 90;
const TOO_MANY_FIELDS: usize = 1000;
/// Largest body that a node buffers, less some, and the largest that the protocol allows, bytes.
const BUFFERED_BODY: usize = 60_000;
const LARGEST_BODY: usize = 32 * 1024 * 1024;
/// Bytes of a large body that are sent before its client stops.
const PART_OF_LARGE_BODY: usize = 100_000;
/// Length of a large answer, bytes.
const LARGE_ANSWER: usize = 8_000_000;
/// Bytes that are pipelined behind a request, and in a body of tiny chunks.
const PIPELINED_BYTES: usize = 250_000;
/// Length of a name or an id that is much longer than usual, bytes.
const LONG_NAME: usize = 7000;

/// How the clients of a crowd behave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CrowdKind {
    /// Send nothing.
    Idle,
    /// Send one endless header line slowly.
    SlowHead,
    /// Send a head of many short fields slowly, in pieces.
    SlowFields,
    /// Send heads of many short fields at once; the answers come late.
    ManyFields,
    /// The same with more fields than a node accepts.
    TooManyFields,
    /// Stop half way through a body that a node buffers.
    HalfBody,
    /// Stop after the first part of a body that a node streams, which no server reads.
    HalfLargeBody,
    /// The same in chunks.
    HalfChunkedBody,
    /// Send a body in chunks of one byte.
    TinyChunks,
    /// Ask for answers of a size that a node buffers, and read nothing of them.
    UnreadAnswers,
    /// Ask for large answers and read nothing of them.
    UnreadLargeAnswers,
    /// The same in many chunks.
    UnreadChunkedAnswers,
    /// Ask for large answers and read them slowly.
    SlowReaders,
    /// Ask for large answers whose server stops half way.
    StalledAnswers,
    /// Pipeline fragments of requests, a few bytes each, behind one whose answer comes late.
    PipelinedFragments,
    /// Send unsound requests without a pause, each with a new name.
    UnsoundRequests,
    /// Send requests with long ids whose answers come late.
    LongIds,
}

/// All kinds.
pub const CROWD_KINDS: [CrowdKind; 17] = [
    CrowdKind::Idle,
    CrowdKind::SlowHead,
    CrowdKind::SlowFields,
    CrowdKind::ManyFields,
    CrowdKind::TooManyFields,
    CrowdKind::HalfBody,
    CrowdKind::HalfLargeBody,
    CrowdKind::HalfChunkedBody,
    CrowdKind::TinyChunks,
    CrowdKind::UnreadAnswers,
    CrowdKind::UnreadLargeAnswers,
    CrowdKind::UnreadChunkedAnswers,
    CrowdKind::SlowReaders,
    CrowdKind::StalledAnswers,
    CrowdKind::PipelinedFragments,
    CrowdKind::UnsoundRequests,
    CrowdKind::LongIds,
];

/// What a client sends, how many bytes of it in a turn, and how many bytes it reads in a turn.
struct Script {
    sends: Vec<u8>,
    bytes_per_turn: usize,
    reads_per_turn: usize,
    /// Begins anew when all is sent.
    repeats: bool,
}

impl Script {
    fn at_once(sends: Vec<u8>) -> Self {
        Self { sends, bytes_per_turn: usize::MAX, reads_per_turn: READ_BYTES, repeats: false }
    }

    fn slowly(sends: Vec<u8>, bytes_per_turn: usize) -> Self {
        Self { bytes_per_turn, ..Self::at_once(sends) }
    }

    fn reading(self, reads_per_turn: usize) -> Self {
        Self { reads_per_turn, ..self }
    }
}

/// A new request id.
fn new_id() -> String {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    format!("{:08x}{:08x}", std::process::id(), COUNT.fetch_add(1, Ordering::Relaxed))
}

/// A request's head without its last, empty line.
fn head(first_line: &str, id: &str, fields: &str) -> String {
    format!(
        "{first_line} HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: {id}\r\nX-Customer: acme\r\nX-Expires-In: 2.5\r\n{fields}"
    )
}

fn query(length: usize, form: AnswerForm) -> String {
    AnswerSpec { form, length }.encode()
}

/// A complete request for an answer of this length and form.
fn read_request(length: usize, form: AnswerForm, id: &str, fields: &str) -> Vec<u8> {
    format!("{}\r\n", head(&format!("GET /read/it{}", query(length, form)), id, fields)).into_bytes()
}

fn short_fields(count: usize) -> String {
    (0..count).map(|field| format!("a{field}:b\r\n")).collect()
}

/// A request with the first `part` bytes of a body of `length` bytes.
fn partial_body(length: usize, part: usize) -> Vec<u8> {
    let fields = format!("Content-Length: {length}\r\n\r\n");
    [head("POST /pay/it", &new_id(), &fields).into_bytes(), vec![b'x'; part]].concat()
}

/// A request with a body of `count` chunks of `size` bytes, and no end.
fn chunked_body(size: usize, count: usize) -> Vec<u8> {
    let chunk = [format!("{size:x}\r\n").into_bytes(), vec![b'x'; size], b"\r\n".to_vec()].concat();
    let head = head("POST /pay/it", &new_id(), "Transfer-Encoding: chunked\r\n\r\n");
    [head.into_bytes(), chunk.repeat(count)].concat()
}

impl CrowdKind {
    /// Whether its requests are sound ones that stay open for long: hundreds of them take all that a node has for requests,
    /// and further ones are rejected.
    pub fn holds_requests(self) -> bool {
        matches!(
            self,
            Self::ManyFields
                | Self::LongIds
                | Self::SlowReaders
                | Self::StalledAnswers
                | Self::PipelinedFragments
        )
    }

    fn script(self) -> Script {
        match self {
            Self::Idle => Script::at_once(Vec::new()),
            Self::SlowHead => {
                let line = format!("GET /read/it HTTP/1.1\r\nX-Padding: {}", "y".repeat(15_000));
                Script::slowly(line.into_bytes(), 100)
            }
            Self::SlowFields => {
                let fields = short_fields(MANY_FIELDS) + &format!("b: {}", "y".repeat(LONG_NAME));
                Script::slowly(head("GET /read/it", &new_id(), &fields).into_bytes(), 40)
            }
            Self::ManyFields | Self::TooManyFields => {
                let count = if self == Self::ManyFields { MANY_FIELDS } else { TOO_MANY_FIELDS };
                let fields = short_fields(count);
                Script::at_once(read_request(100_000, AnswerForm::Stalls, &new_id(), &fields))
            }
            Self::HalfBody => Script::at_once(partial_body(BUFFERED_BODY, BUFFERED_BODY / 2)),
            Self::HalfLargeBody => Script::at_once(partial_body(LARGEST_BODY, PART_OF_LARGE_BODY)),
            Self::HalfChunkedBody => Script::at_once(chunked_body(4000, PART_OF_LARGE_BODY / 4000)),
            Self::TinyChunks => Script::at_once(chunked_body(1, PIPELINED_BYTES / 6)),
            Self::UnreadAnswers => self.asks_for(BUFFERED_BODY, AnswerForm::Length).reading(0),
            Self::UnreadLargeAnswers => self.asks_for(LARGE_ANSWER, AnswerForm::Length).reading(0),
            Self::UnreadChunkedAnswers => self.asks_for(LARGE_ANSWER, AnswerForm::Chunked).reading(0),
            Self::SlowReaders => self.asks_for(LARGE_ANSWER, AnswerForm::Length).reading(400),
            Self::StalledAnswers => self.asks_for(BUFFERED_BODY * 4, AnswerForm::Stalls),
            Self::PipelinedFragments => {
                let first = read_request(100_000, AnswerForm::Stalls, &new_id(), "");
                Script::at_once([first, b"x\n\n".repeat(PIPELINED_BYTES / 3)].concat())
            }
            Self::UnsoundRequests => {
                let name = |_| format!("{}\r\n", head(&format!("GET /{}/it", new_id()), &new_id(), ""));
                Script {
                    repeats: true,
                    ..Script::at_once((0..20).map(name).collect::<String>().into_bytes())
                }
            }
            Self::LongIds => {
                let id = new_id() + &"i".repeat(LONG_NAME);
                Script::at_once(read_request(100_000, AnswerForm::Stalls, &id, ""))
            }
        }
    }

    fn asks_for(self, length: usize, form: AnswerForm) -> Script {
        Script::at_once(read_request(length, form, &new_id(), ""))
    }
}

/// One client of a crowd.
struct Member {
    stream: TcpStream,
    script: Script,
    sent: usize,
    since: Instant,
}

impl Member {
    fn connect(address: SocketAddr, kind: CrowdKind) -> Option<Self> {
        let script = kind.script();
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).ok()?;
        if script.reads_per_turn < READ_BYTES {
            socket.set_recv_buffer_size(SMALL_RECEIVE_BUFFER).ok()?;
        }
        socket.connect_timeout(&address.into(), TURN * 10).ok()?;
        // Closed with a reset, so that the machine's ports do not run out.
        socket.set_linger(Some(Duration::ZERO)).ok()?;
        socket.set_nonblocking(true).ok()?;
        Some(Self { stream: socket.into(), script, sent: 0, since: Instant::now() })
    }

    /// Writes and reads once; returns whether the connection is still open and its time not over.
    fn take_turn(&mut self, kind: CrowdKind) -> bool {
        self.since.elapsed() < STAY && self.write(kind) && self.read()
    }

    fn write(&mut self, kind: CrowdKind) -> bool {
        if self.sent == self.script.sends.len() && self.script.repeats {
            self.script = kind.script();
            self.sent = 0;
        }
        let rest = &self.script.sends[self.sent..];
        let piece = &rest[..rest.len().min(self.script.bytes_per_turn)];
        match self.stream.write(piece) {
            Ok(count) => self.sent += count,
            Err(error) => return error.kind() == ErrorKind::WouldBlock,
        }
        true
    }

    fn read(&mut self) -> bool {
        let wanted = self.script.reads_per_turn;
        if wanted == 0 {
            return self.stream.take_error().is_ok_and(|error| error.is_none());
        }
        match self.stream.read(&mut vec![0; wanted]) {
            Ok(count) => count > 0,
            Err(error) => error.kind() == ErrorKind::WouldBlock,
        }
    }
}

/// Keeps up a crowd of `count` clients of each of these kinds in turn, until it is told to stop: a client whose connection
/// ends comes again.
pub fn keep_up(address: SocketAddr, kinds: &[CrowdKind], count: usize, is_over: &AtomicBool) {
    let mut members: Vec<Option<Member>> = (0..count).map(|_| None).collect();
    while !is_over.load(Ordering::Relaxed) {
        let mut connects_left = CONNECTS_PER_TURN;
        for (index, place) in members.iter_mut().enumerate() {
            let kind = kinds[index % kinds.len()];
            if let Some(member) = place {
                if !member.take_turn(kind) {
                    *place = None;
                }
            } else if connects_left > 0 {
                connects_left -= 1;
                *place = Member::connect(address, kind);
            }
        }
        sleep(TURN);
    }
}

/// The same for a certain time.
pub fn keep_up_for(address: SocketAddr, kinds: &[CrowdKind], count: usize, time: Duration) {
    let is_over = AtomicBool::new(false);
    scope(|scope| {
        scope.spawn(|| keep_up(address, kinds, count, &is_over));
        sleep(time);
        is_over.store(true, Ordering::Relaxed);
    });
}
