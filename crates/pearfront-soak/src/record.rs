//! What each process of a soak writes down, one JSON line an entry. All times are ms of the machine's monotonic clock.

use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};

/// May a request run more than once?
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    Idempotent,
    Keyed,
    NonIdempotent,
}

/// How a server stands in discovery's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Lifecycle {
    Ready,
    Draining,
    Gone,
}

/// How discovery deals with calls.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DiscoveryMode {
    Normal,
    /// Answers so much later, ms.
    Slow(u64),
    /// Says nothing more on connections that are open; new ones are answered.
    SilentOpen,
    /// Says nothing to anybody.
    Silent,
    /// 503 to this share of calls, in percent.
    #[serde(rename = "crowded")]
    Overloaded(u8),
    /// Resets what is open and what comes.
    Down,
    /// Answers in small pieces.
    #[serde(rename = "pieces")]
    Fragmented,
    /// Answers break off in the middle, in this share of calls, in percent.
    #[serde(rename = "cut")]
    Truncated(u8),
}

impl DiscoveryMode {
    /// Can nobody reach it?
    pub fn is_unreachable(self) -> bool {
        matches!(self, Self::Down)
    }
}

/// How an answer ended that is too large to be kept whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerEnd {
    #[serde(rename = "whole")]
    Complete,
    /// Its connection ended before it did.
    #[serde(rename = "broken")]
    Truncated,
    /// Its client waits no longer.
    #[serde(rename = "given_up")]
    TimedOut,
}

/// How an answer ended on its way to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplyEnd {
    #[serde(rename = "whole")]
    Complete,
    #[serde(rename = "server_broke")]
    ServerClosed,
    /// The node ended it while its server gave nothing.
    #[serde(rename = "left_by_node")]
    NodeClosed,
    /// The node ended it while there was more that it did not take.
    #[serde(rename = "cut_by_node")]
    NodeStoppedReading,
}

/// The requests that lie on one connection together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pipeline {
    /// The first of them.
    pub first: String,
    /// All of them came in one write.
    #[serde(rename = "together")]
    pub single_write: bool,
}

/// What an operator tells a process of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatorCall {
    DrainOn,
    DrainOff,
}

/// One entry.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "what")]
pub enum Record {
    // Of clients.
    /// A request has been sent whole, its first byte at `began`; its client waits so long, ms.
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
    /// Its client closes the connection.
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
    /// An answer that is too large to be kept whole has ended behind its first bytes, or was not waited for any longer. Its
    /// last bytes came at `last`; `slow` if its client takes it slowly.
    AnswerEnded {
        id: String,
        at: f64,
        end: AnswerEnd,
        last: f64,
        slow: bool,
    },
    /// The connection has ended without an answer. `crossed` if that end crossed the request, `reset` if it was no
    /// orderly end.
    Unanswered {
        id: String,
        at: f64,
        #[serde(rename = "crossed")]
        close_raced: bool,
        reset: bool,
    },
    /// So many idle connections to a node are open; this process was the one to close them.
    Idle {
        node: usize,
        process: u32,
        at: f64,
        open: usize,
    },
    /// A client has sent half a request and stays; its connection was ended, or not within the time given.
    Stalled {
        node: usize,
        at: f64,
        ended: Option<f64>,
    },
    // Of the relay before the servers.
    /// The first byte of an attempt has come.
    Attempt {
        id: String,
        server: usize,
        at: f64,
        #[serde(rename = "told")]
        deadline_sent: f64,
    },
    /// Its last byte.
    #[serde(rename = "whole")]
    RequestComplete {
        id: String,
        server: usize,
        at: f64,
    },
    /// Its answer goes back to the node.
    Reply {
        id: String,
        server: usize,
        at: f64,
        never_ran: bool,
    },
    /// An answer that is too large to be kept whole goes no further. Its last bytes went to the node at `last`.
    ReplyEnded {
        id: String,
        server: usize,
        at: f64,
        end: ReplyEnd,
        last: f64,
    },
    Probe {
        server: usize,
        at: f64,
    },
    // Of servers.
    Ran {
        id: String,
        server: usize,
        at: f64,
    },
    // Of discovery.
    /// An answer with what this version had begins to be written to a node.
    #[serde(rename = "told")]
    ListSent {
        #[serde(rename = "caller")]
        subscriber: usize,
        version: u64,
        at: f64,
        whole: bool,
    },
    /// A connection of a caller has been opened or has ended.
    Watch {
        #[serde(rename = "caller")]
        subscriber: usize,
        open: bool,
        at: f64,
    },
    // Of the player.
    /// The list changes.
    Change {
        version: u64,
        server: usize,
        #[serde(rename = "standing")]
        lifecycle: Lifecycle,
        at: f64,
    },
    Discovery {
        mode: DiscoveryMode,
        at: f64,
    },
    /// A process of a node starts; it is this caller of discovery.
    Start {
        node: usize,
        process: u32,
        #[serde(rename = "caller")]
        subscriber: usize,
        at: f64,
    },
    /// It is told to end, killed, or found to have ended.
    Term {
        node: usize,
        process: u32,
        at: f64,
    },
    Kill {
        node: usize,
        process: u32,
        at: f64,
    },
    Exit {
        node: usize,
        process: u32,
        at: f64,
        by_itself: bool,
        code: Option<i32>,
    },
    /// It stood still.
    Stop {
        node: usize,
        from: f64,
        to: f64,
    },
    /// An operator has called a process, and was answered with this status, or not in time.
    Operator {
        node: usize,
        process: u32,
        call: OperatorCall,
        at: f64,
        status: Option<u16>,
    },
    /// What `GET /up` at the node's address said; this process was the one to ask for.
    Up {
        node: usize,
        process: u32,
        at: f64,
        status: Option<u16>,
    },
    /// Clients hold all the descriptors of a node that they can get.
    #[serde(rename = "crowd")]
    FillDescriptors {
        node: usize,
        from: f64,
        to: f64,
    },
    /// A node goes by another grace of drains, ms.
    Reloaded {
        node: usize,
        grace: f64,
        at: f64,
    },
    /// A node is told that discovery has moved.
    Moved {
        node: usize,
        at: f64,
    },
    /// A server's process has started, cold.
    ServerStart {
        server: usize,
        at: f64,
    },
    ServerKill {
        server: usize,
        at: f64,
    },
}

impl Record {
    /// When it happened.
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
            | Self::ServerStart { at, .. }
            | Self::ServerKill { at, .. } => *at,
        }
    }
}

/// Where a process writes its entries: each goes to the file at once, so that a kill leaves all but the last.
#[derive(Clone)]
pub struct Recorder(Arc<Mutex<File>>);

impl Recorder {
    /// # Errors
    /// Where the file can't be written.
    pub fn new(path: &Path) -> io::Result<Self> {
        let file = File::options().create(true).append(true).open(path)?;
        Ok(Self(Arc::new(Mutex::new(file))))
    }

    pub fn write(&self, record: &Record) {
        let mut line = serde_json::to_vec(record).expect("entries are plain");
        line.push(b'\n');
        let _ = self.0.lock().expect("no writer has panicked").write_all(&line);
    }
}

/// All entries of a folder, in the order of their times. A line that a kill cut short is left out.
///
/// # Errors
/// Where the folder can't be read.
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
