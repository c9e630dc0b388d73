//! One exchange on a connection: a client writes a request and reads the answer.

use super::Client;
use super::request::{Pace, Request};
use crate::answer_spec::{AnswerForm, MAX_BUFFERED_BYTES};
use crate::clock;
use crate::http::{Connection, End, Message, RemainingBody, Truncated};
use crate::record::{AnswerEnd, Record};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// How long after a request the close of a kept connection counts as having raced with it, ms.
pub const CLOSE_RACE_MS: f64 = 50.0;
/// How long a client waits beyond the deadline for an answer to begin.
const GIVE_UP_AFTER_DEADLINE: Duration = Duration::from_secs(3);
/// How long a client goes on reading an answer that has begun, and one that stops half-way.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(4);
const MAX_STOPPED_ANSWER_TIME: Duration = Duration::from_secs(17);
/// How long a stalled client keeps its connection open.
pub const STALLED_TIMEOUT: Duration = Duration::from_secs(6);
/// Longest time for writing a body.
const MAX_BODY_TIME: Duration = Duration::from_secs(8);
/// Bytes of a write; for slow bodies the bytes of a write and the pause after it: 64 kB a second and more.
const BLOCK_BYTES: usize = 64 * 1024;
const SLOW_BLOCK_BYTES: usize = 16 * 1024;
const SLOW_PAUSE: Duration = Duration::from_millis(200);
/// Pause between two reads of an answer that is read slowly.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// A request that has been written.
#[derive(Debug, Clone, Copy)]
pub struct Sent {
    /// When its last byte was written.
    pub at: f64,
    /// It is the first on its connection.
    pub new_connection: bool,
}

/// How an exchange ended.
pub enum Outcome {
    Answered {
        kept: bool,
    },
    /// The node closed the connection while the request was on its way.
    CloseRaced,
    /// Any other end; the connection is not used again.
    Finished,
}

/// How the writing of a request went.
enum Written {
    /// Its last byte was written at this time.
    Complete(f64),
    Failed,
    /// The client stopped half-way through the body at this time.
    Stopped(f64),
    /// The node answered or closed the connection before the request was complete.
    AnsweredEarly,
}

/// The start of an answer: all of it, or enough to know that it is too large for a node to buffer.
enum AnswerStart {
    Complete(Message),
    /// Its first bytes came at `first`.
    Streamed {
        head: Message,
        rest: RemainingBody,
        first: f64,
    },
}

/// Reads the start of an answer; `None` if the connection ends first.
async fn read_answer_start(connection: &mut Connection) -> Option<AnswerStart> {
    let head = connection.head().await?;
    let first = clock::now();
    let mut rest = RemainingBody::of_answer(&head);
    let mut content = 0;
    loop {
        let is_long = matches!(rest, RemainingBody::Length(length) if length > MAX_BUFFERED_BYTES as u64);
        if is_long || content > MAX_BUFFERED_BYTES {
            return Some(AnswerStart::Streamed { head, rest, first });
        }
        match connection.piece(&mut rest).await {
            Ok(Some(piece)) => content += piece.content,
            Ok(None) => return Some(AnswerStart::Complete(head)),
            Err(Truncated) => return None,
        }
    }
}

pub fn closes_connection(answer: &Message) -> bool {
    answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
}

/// Returns when the client disconnects early, if it does.
async fn disconnect_after(after: Option<f64>) {
    match after {
        Some(ms) => sleep(Duration::from_secs_f64(ms / 1000.0)).await,
        None => std::future::pending().await,
    }
}

/// Waits until bytes have come or the node has closed the connection.
async fn wait_readable(connection: &Connection) {
    let _ = connection.stream.readable().await;
}

async fn write_body(request: &Request, connection: &mut Connection) -> std::io::Result<()> {
    let block = [b'x'; BLOCK_BYTES];
    let stalls = request.pace == Pace::Stalls;
    let mut left = if stalls { request.length / 2 } else { request.length };
    while left > 0 {
        let most = if request.pace == Pace::AtOnce { BLOCK_BYTES } else { SLOW_BLOCK_BYTES };
        let count = left.min(most);
        if request.chunked {
            connection.write(format!("{count:x}\r\n").as_bytes()).await?;
        }
        connection.write(&block[..count]).await?;
        if request.chunked {
            connection.write(b"\r\n").await?;
        }
        left -= count;
        if request.pace == Pace::Slowly && left > 0 {
            sleep(SLOW_PAUSE).await;
        }
    }
    if request.chunked && !stalls { connection.write(b"0\r\n\r\n").await } else { Ok(()) }
}

/// Writes a request, and stops if anything comes before it is complete.
async fn write(request: &Request, connection: &mut Connection) -> Written {
    if connection.write(&request.head()).await.is_err() {
        return Written::Failed;
    }
    if request.length == 0 && !request.chunked {
        return Written::Complete(clock::now());
    }
    // A second handle of the socket waits for reads while the first one writes.
    let Some(reader) = connection.writer() else { return Written::Failed };
    tokio::select! {
        biased;
        written = timeout(MAX_BODY_TIME, write_body(request, connection)) => match written {
            Ok(Ok(())) if request.pace == Pace::Stalls => Written::Stopped(clock::now()),
            Ok(Ok(())) => Written::Complete(clock::now()),
            Ok(Err(_)) => Written::Failed,
            Err(_) => Written::AnsweredEarly,
        },
        () = wait_readable(&reader) => Written::AnsweredEarly,
    }
}

/// Whether the close of the connection raced with a request. On a new connection that shows by the reset that its bytes met
/// after the close.
pub async fn has_close_raced(connection: &Connection, sent: Sent, ended: f64) -> bool {
    let is_unread = !sent.new_connection || connection.is_reset_after_close().await;
    ended - sent.at < CLOSE_RACE_MS && is_unread
}

impl Client {
    pub(super) async fn exchange(
        &self,
        node: usize,
        request: &Request,
        connection: &mut Connection,
        new_connection: bool,
    ) -> Outcome {
        let began = clock::now();
        match write(request, connection).await {
            Written::Complete(at) => {
                self.wait_for_answer(node, request, connection, began, Sent { at, new_connection }).await
            }
            // The request does not count: its last byte was never written.
            Written::Failed if !new_connection && request.length == 0 => Outcome::CloseRaced,
            Written::Failed | Written::AnsweredEarly => Outcome::Finished,
            Written::Stopped(at) => {
                self.wait_for_end(node, connection, at).await;
                Outcome::Finished
            }
        }
    }

    /// Waits for the answer or the close that a client gets which has stalled in a request.
    pub(super) async fn wait_for_end(&self, node: usize, connection: &mut Connection, at: f64) {
        let ended = timeout(STALLED_TIMEOUT, connection.message()).await.ok().map(|_| clock::now());
        self.recorder.write(&Record::Stalled { node, at, ended });
    }

    /// Waits for the answer to a request whose first byte was written at `began`.
    async fn wait_for_answer(
        &self,
        node: usize,
        request: &Request,
        connection: &mut Connection,
        began: f64,
        sent: Sent,
    ) -> Outcome {
        let Sent { at, new_connection } = sent;
        let (id, deadline, effect) = (request.id.clone(), request.deadline, request.effect);
        let pipeline = None;
        self.recorder.write(&Record::Request {
            id: id.clone(),
            node,
            effect,
            began,
            at,
            deadline,
            new_connection,
            pipeline,
        });
        tokio::select! {
            ended = self.read_answer(request, connection, sent) => ended,
            () = disconnect_after(request.disconnect_after_ms) => {
                // The record is written before the node can see the disconnection.
                self.recorder.write(&Record::Disconnected { id, at: clock::now() });
                Outcome::Finished
            }
        }
    }

    /// Reads and records the answer to a request.
    pub(super) async fn read_answer(
        &self,
        request: &Request,
        connection: &mut Connection,
        sent: Sent,
    ) -> Outcome {
        let id = request.id.clone();
        let give_up_after = Duration::from_secs_f64(request.deadline / 1000.0) + GIVE_UP_AFTER_DEADLINE;
        let answered = |at, status| self.recorder.write(&Record::Answer { id: id.clone(), at, status });
        match timeout(give_up_after, read_answer_start(connection)).await {
            Err(_) => Outcome::Finished,
            Ok(Some(AnswerStart::Complete(head))) => {
                answered(clock::now(), head.status());
                Outcome::Answered { kept: !closes_connection(&head) }
            }
            Ok(Some(AnswerStart::Streamed { head, rest, first })) => {
                answered(first, head.status());
                let is_complete = self.read_stream(request, connection, rest).await;
                if is_complete {
                    Outcome::Answered { kept: !closes_connection(&head) }
                } else {
                    Outcome::Finished
                }
            }
            Ok(None) => {
                let now = clock::now();
                let close_raced = has_close_raced(connection, sent, now).await;
                let reset = connection.end() == Some(End::Reset);
                self.recorder.write(&Record::Unanswered { id, at: now, close_raced, reset });
                if close_raced && !sent.new_connection { Outcome::CloseRaced } else { Outcome::Finished }
            }
        }
    }

    /// Reads the rest of a streamed answer; whether it came complete.
    async fn read_stream(
        &self,
        request: &Request,
        connection: &mut Connection,
        mut rest: RemainingBody,
    ) -> bool {
        let slow = request.reads_slowly;
        let mut last = clock::now();
        let stops = request.answer_spec.is_some_and(|answer_spec| answer_spec.form == AnswerForm::Stalls);
        let until = Instant::now() + if stops { MAX_STOPPED_ANSWER_TIME } else { MAX_ANSWER_TIME };
        let end = loop {
            let left = until.saturating_duration_since(Instant::now());
            match timeout(left, connection.piece(&mut rest)).await {
                Err(_) => break AnswerEnd::TimedOut,
                Ok(Err(_)) => break AnswerEnd::Truncated,
                Ok(Ok(None)) => break AnswerEnd::Complete,
                Ok(Ok(Some(_))) => last = clock::now(),
            }
            if slow {
                sleep(READ_PAUSE).await;
            }
        };
        let id = request.id.clone();
        self.recorder.write(&Record::AnswerEnded { id, at: clock::now(), end, last, slow });
        end == AnswerEnd::Complete
    }
}
