//! The records that each process of a soak writes, one JSON line each, and that the judge reads. All times are ms of the
//! machine's monotonic clock.

use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    Idempotent,
    Keyed,
    NonIdempotent,
}

/// The state of a server in discovery's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lifecycle {
    Ready,
    Draining,
    Gone,
}

/// How discovery answers calls.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DiscoveryMode {
    Normal,
    /// Delays answers by this many ms.
    Slow(u64),
    /// Is silent on the connections that are open at its start; new connections are answered.
    SilentOpen,
    /// Is silent on all connections.
    Silent,
    /// Answers 503 to this share of calls, percent.
    #[serde(rename = "crowded")]
    Overloaded(u8),
    /// Resets open and new connections.
    Down,
    /// Sends answers in small fragments.
    #[serde(rename = "pieces")]
    Fragmented,
    /// Breaks answers off half-way, for this share of calls, percent.
    #[serde(rename = "cut")]
    Truncated(u8),
}

impl DiscoveryMode {
    /// Whether no call reaches discovery.
    pub fn is_unreachable(self) -> bool {
        matches!(self, Self::Down)
    }
}

/// How an answer too large for a node to buffer ended at its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerEnd {
    #[serde(rename = "whole")]
    Complete,
    /// The connection ended before the answer was complete.
    #[serde(rename = "broken")]
    Truncated,
    /// The client gave up waiting.
    #[serde(rename = "given_up")]
    TimedOut,
}

/// How an answer ended at the relay, on its way from a server to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplyEnd {
    #[serde(rename = "whole")]
    Complete,
    #[serde(rename = "server_broke")]
    ServerClosed,
    /// The node closed the connection, and the server sent nothing more.
    #[serde(rename = "left_by_node")]
    NodeClosed,
    /// The node closed the connection while the server was sending the answer, or pausing in it.
    #[serde(rename = "cut_by_node")]
    NodeStoppedReading,
}

/// The requests that are pipelined on one connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pipeline {
    /// Id of the first of them.
    pub first: String,
    /// All of them were sent in one write.
    #[serde(rename = "together")]
    pub single_write: bool,
}

/// A call of an operator to a process of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorCall {
    DrainOn,
    DrainOff,
}

/// One record.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum Record {
    // Written by clients.
    /// A request has been sent, its first byte at `began` and its last byte at `at`; `deadline` is how long its client waits, ms.
    Request {
        id: String,
        node: usize,
        effect: Effect,
        began: f64,
        at: f64,
        deadline: f64,
        #[serde(rename = "fresh")]
        new_connection: bool,
        #[serde(rename = "line")]
        pipeline: Option<Pipeline>,
    },
    /// The client closes the connection before it has an answer.
    #[serde(rename = "left")]
    Disconnected {
        id: String,
        at: f64,
    },
    Answer {
        id: String,
        at: f64,
        status: u16,
    },
    /// An answer too large for a node to buffer has ended, or its client gave up. Its last bytes came at `last`; `slow` if
    /// the client reads it slowly.
    AnswerEnded {
        id: String,
        at: f64,
        end: AnswerEnd,
        last: f64,
        slow: bool,
    },
    /// The connection has ended without an answer: `close_raced` if the close raced with the request, `reset` if it was a reset
    /// rather than an orderly end.
    Unanswered {
        id: String,
        at: f64,
        #[serde(rename = "crossed")]
        close_raced: bool,
        reset: bool,
    },
    /// The number of idle connections to a node that are still open; this process was to close them.
    Idle {
        node: usize,
        process: u32,
        at: f64,
        open: usize,
    },
    /// A client has sent half a request and keeps the connection open. `ended` is when the node answered or closed it, if it did
    /// in time.
    Stalled {
        node: usize,
        at: f64,
        ended: Option<f64>,
    },
    // Written by the relay between nodes and servers.
    /// The first byte of an attempt has arrived; `deadline_sent` is the remaining time that the node announced, ms.
    Attempt {
        id: String,
        server: usize,
        at: f64,
        #[serde(rename = "told")]
        deadline_sent: f64,
    },
    /// The last byte of an attempt has arrived.
    #[serde(rename = "whole")]
    RequestComplete {
        id: String,
        server: usize,
        at: f64,
    },
    /// The answer to an attempt starts back to the node; `never_ran` if the server says that the request did not run.
    Reply {
        id: String,
        server: usize,
        at: f64,
        never_ran: bool,
    },
    /// An answer too large for a node to buffer has ended. Its last bytes went to the node at `last`.
    ReplyEnded {
        id: String,
        server: usize,
        at: f64,
        end: ReplyEnd,
        last: f64,
    },
    /// A node has sent a probe to a server.
    Probe {
        server: usize,
        at: f64,
    },
    // Written by servers.
    /// A server begins to run a request.
    Ran {
        id: String,
        server: usize,
        at: f64,
    },
    // Written by discovery.
    /// Discovery begins to send a node's process the list as of this version; `whole` unless the answer is to be truncated.
    #[serde(rename = "told")]
    ListSent {
        #[serde(rename = "caller")]
        subscriber: usize,
        version: u64,
        at: f64,
        whole: bool,
    },
    /// A subscriber's connection has been opened or has ended.
    Watch {
        #[serde(rename = "caller")]
        subscriber: usize,
        open: bool,
        at: f64,
    },
    // Written by the runner.
    /// The list of servers changes.
    Change {
        version: u64,
        server: usize,
        #[serde(rename = "standing")]
        lifecycle: Lifecycle,
        at: f64,
    },
    /// Discovery goes to another mode.
    Discovery {
        mode: DiscoveryMode,
        at: f64,
    },
    /// A process of a node starts; `subscriber` is its number at discovery.
    Start {
        node: usize,
        process: u32,
        #[serde(rename = "caller")]
        subscriber: usize,
        at: f64,
    },
    /// A process of a node gets SIGTERM.
    Term {
        node: usize,
        process: u32,
        at: f64,
    },
    /// A process of a node gets SIGKILL.
    Kill {
        node: usize,
        process: u32,
        at: f64,
    },
    /// A process of a node is found to have ended, `by_itself` if it was sent no signal to end.
    Exit {
        node: usize,
        process: u32,
        at: f64,
        by_itself: bool,
        code: Option<i32>,
    },
    /// A node was paused by SIGSTOP.
    Stop {
        node: usize,
        from: f64,
        to: f64,
    },
    /// An operator has called a process; `status` is that of the answer, if one came in time.
    Operator {
        node: usize,
        process: u32,
        call: OperatorCall,
        at: f64,
        status: Option<u16>,
    },
    /// The answer to `GET /up` at the node's address; this process was the one to be checked.
    Up {
        node: usize,
        process: u32,
        at: f64,
        status: Option<u16>,
    },
    /// Clients hold as many connections to a node as its descriptors allow.
    #[serde(rename = "crowd")]
    FillDescriptors {
        node: usize,
        from: f64,
        to: f64,
    },
    /// The largest resident memory that the processes of a node had together, KiB, so far.
    Memory {
        node: usize,
        kib: usize,
        at: f64,
    },
    /// A node's drain grace was changed, ms.
    Reloaded {
        node: usize,
        grace: f64,
        at: f64,
    },
    /// A node's settings name another address of discovery.
    Moved {
        node: usize,
        at: f64,
    },
    /// A server's process was started again and is cold.
    ServerStart {
        server: usize,
        at: f64,
    },
    /// A server's process was killed.
    ServerKill {
        server: usize,
        at: f64,
    },
}

impl Record {
    /// When it happened, or began.
    pub fn at(&self) -> f64 {
        match self {
            Self::Request { at, .. }
            | Self::Disconnected { at, .. }
            | Self::Answer { at, .. }
            | Self::Unanswered { at, .. }
            | Self::AnswerEnded { at, .. }
            | Self::ReplyEnded { at, .. }
            | Self::Stalled { at, .. }
            | Self::Attempt { at, .. }
            | Self::RequestComplete { at, .. }
            | Self::Reply { at, .. }
            | Self::Probe { at, .. }
            | Self::Ran { at, .. }
            | Self::ListSent { at, .. }
            | Self::Watch { at, .. }
            | Self::Change { at, .. }
            | Self::Discovery { at, .. }
            | Self::Start { at, .. }
            | Self::Term { at, .. }
            | Self::Kill { at, .. }
            | Self::Exit { at, .. }
            | Self::Stop { from: at, .. }
            | Self::FillDescriptors { from: at, .. }
            | Self::Moved { at, .. }
            | Self::Operator { at, .. }
            | Self::Up { at, .. }
            | Self::Idle { at, .. }
            | Self::Reloaded { at, .. }
            | Self::Memory { at, .. }
            | Self::ServerStart { at, .. }
            | Self::ServerKill { at, .. } => *at,
        }
    }
}

/// The file to which a process appends its records. Each is written at once, so that a kill loses at most the last one.
#[derive(Clone)]
pub struct Recorder(Arc<Mutex<File>>);

impl Recorder {
    /// Opens the file for appending.
    ///
    /// # Errors
    /// If the file can't be opened.
    pub fn new(path: &Path) -> io::Result<Self> {
        let file = File::options().create(true).append(true).open(path)?;
        Ok(Self(Arc::new(Mutex::new(file))))
    }

    /// Appends a record.
    pub fn write(&self, record: &Record) {
        let mut line = serde_json::to_vec(record).expect("entries are plain");
        line.push(b'\n');
        let _ = self.0.lock().expect("no writer has panicked").write_all(&line);
    }
}

/// Reads all records of a folder, ordered by time. A line that a kill cut short is skipped.
///
/// # Errors
/// If the folder or a file can't be read.
pub fn read_all(folder: &Path) -> io::Result<Vec<Record>> {
    let mut all = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_some_and(|extension| extension == "jsonl") {
            let lines = BufReader::new(File::open(path)?).lines().map_while(Result::ok);
            all.extend(lines.filter_map(|line| serde_json::from_str::<Record>(&line).ok()));
        }
    }
    all.sort_by(|a, b| a.at().total_cmp(&b.at()));
    Ok(all)
}
