//! One request on a connection, and its answer.

use super::Client;
use super::request::{Pace, Request};
use crate::clock;
use crate::http::{Broken, Connection, End, Message, Rest};
use crate::record::{AnswerEnd, Record};
use crate::wish::KEPT_WHOLE;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// How long behind a request the end of a kept connection may have crossed it, ms.
pub const CROSSED: f64 = 50.0;
/// How long a client waits beyond its deadline before it gives up for good.
const PATIENCE: Duration = Duration::from_secs(3);
/// The same once its answer has begun.
const PATIENCE_WITH_ANSWER: Duration = Duration::from_secs(4);
/// How long one that has stalled stays at the most.
pub const STALLED: Duration = Duration::from_secs(6);
/// Longest that it takes to bring a body.
const LONGEST_BODY: Duration = Duration::from_secs(8);
/// Bytes written at a time, and the pause behind them where they come slowly: 64 kB a second and more.
const BLOCK: usize = 64 * 1024;
const SLOW_BLOCK: usize = 16 * 1024;
const SLOW_PAUSE: Duration = Duration::from_millis(200);
/// Pause between two pieces of an answer that is taken slowly.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// A request that has been written.
#[derive(Debug, Clone, Copy)]
pub struct Sent {
    /// When its last byte was.
    pub at: f64,
    /// On a new connection.
    pub fresh: bool,
}

pub enum Ended {
    Answered {
        kept: bool,
    },
    /// The end of its connection crossed it.
    Crossed,
    Over,
}

/// How the writing of a request went.
enum Written {
    /// Its last byte was written then.
    Whole(f64),
    Broke,
    /// Its client stopped in the middle of the body then.
    Stopped(f64),
    /// Something came before it was whole.
    AnsweredBefore,
}

/// The beginning of an answer: all of it, or as much as tells that it is not kept whole.
enum Begun {
    Whole(Message),
    /// Its first bytes came then.
    Flows {
        head: Message,
        rest: Rest,
        first: f64,
    },
}

/// Takes the beginning of an answer; nothing where the connection ends before.
async fn begin_answer(connection: &mut Connection) -> Option<Begun> {
    let head = connection.head().await?;
    let first = clock::now();
    let mut rest = Rest::of_answer(&head);
    let mut content = 0;
    loop {
        let is_long = matches!(rest, Rest::Length(length) if length > KEPT_WHOLE as u64);
        if is_long || content > KEPT_WHOLE {
            return Some(Begun::Flows { head, rest, first });
        }
        match connection.piece(&mut rest).await {
            Ok(Some(piece)) => content += piece.content,
            Ok(None) => return Some(Begun::Whole(head)),
            Err(Broken) => return None,
        }
    }
}

pub fn is_last(answer: &Message) -> bool {
    answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
}

async fn leaving(after: Option<f64>) {
    match after {
        Some(ms) => sleep(Duration::from_secs_f64(ms / 1000.0)).await,
        None => std::future::pending().await,
    }
}

/// Has anything come, or has the node ended the connection?
async fn has_come(connection: &Connection) {
    let _ = connection.stream.readable().await;
}

async fn write_body(request: &Request, connection: &mut Connection) -> std::io::Result<()> {
    let block = [b'x'; BLOCK];
    let stops = request.pace == Pace::Stalls;
    let mut left = if stops { request.length / 2 } else { request.length };
    while left > 0 {
        let most = if request.pace == Pace::AtOnce { BLOCK } else { SLOW_BLOCK };
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
    if request.chunked && !stops { connection.write(b"0\r\n\r\n").await } else { Ok(()) }
}

/// Writes a request, as long as nothing comes before it is whole.
async fn write(request: &Request, connection: &mut Connection) -> Written {
    if connection.write(&request.head()).await.is_err() {
        return Written::Broke;
    }
    if request.length == 0 && !request.chunked {
        return Written::Whole(clock::now());
    }
    // The stream takes writes and tells of reads at once: the other side of it is only looked at.
    let Some(other) = connection.writer() else { return Written::Broke };
    tokio::select! {
        biased;
        written = timeout(LONGEST_BODY, write_body(request, connection)) => match written {
            Ok(Ok(())) if request.pace == Pace::Stalls => Written::Stopped(clock::now()),
            Ok(Ok(())) => Written::Whole(clock::now()),
            Ok(Err(_)) => Written::Broke,
            Err(_) => Written::AnsweredBefore,
        },
        () = has_come(&other) => Written::AnsweredBefore,
    }
}

/// Did the connection's end cross a request? One that was new has shown it by the reset that its bytes met behind the end.
pub async fn has_crossed(connection: &Connection, sent: Sent, ended: f64) -> bool {
    let is_unread = !sent.fresh || connection.is_reset_behind_end().await;
    ended - sent.at < CROSSED && is_unread
}

impl Client {
    pub(super) async fn ask(
        &self,
        node: usize,
        request: &Request,
        connection: &mut Connection,
        fresh: bool,
    ) -> Ended {
        let began = clock::now();
        match write(request, connection).await {
            Written::Whole(at) => self.wait(node, request, connection, began, Sent { at, fresh }).await,
            // Not taken: its last byte was never written.
            Written::Broke if !fresh && request.length == 0 => Ended::Crossed,
            Written::Broke | Written::AnsweredBefore => Ended::Over,
            Written::Stopped(at) => {
                self.wait_for_end(node, connection, at).await;
                Ended::Over
            }
        }
    }

    /// Waits for what a client gets that has stopped in the middle of a request.
    pub(super) async fn wait_for_end(&self, node: usize, connection: &mut Connection, at: f64) {
        let ended = timeout(STALLED, connection.message()).await.ok().map(|_| clock::now());
        self.recorder.write(&Record::Stalled { node, at, ended });
    }

    /// Waits for the answer to a request whose first byte was written at `began`.
    async fn wait(
        &self,
        node: usize,
        request: &Request,
        connection: &mut Connection,
        began: f64,
        sent: Sent,
    ) -> Ended {
        let Sent { at, fresh } = sent;
        let (id, deadline, effect) = (request.id.clone(), request.deadline, request.effect);
        let line = None;
        self.recorder.write(&Record::Request {
            id: id.clone(),
            node,
            effect,
            began,
            at,
            deadline,
            fresh,
            line,
        });
        tokio::select! {
            ended = self.take(request, connection, sent) => ended,
            () = leaving(request.leaves) => {
                // It is written down before it can be seen.
                self.recorder.write(&Record::Left { id, at: clock::now() });
                Ended::Over
            }
        }
    }

    /// Takes the answer to a request.
    pub(super) async fn take(&self, request: &Request, connection: &mut Connection, sent: Sent) -> Ended {
        let id = request.id.clone();
        let patience = Duration::from_secs_f64(request.deadline / 1000.0) + PATIENCE;
        let answered = |at, status| self.recorder.write(&Record::Answer { id: id.clone(), at, status });
        match timeout(patience, begin_answer(connection)).await {
            Err(_) => Ended::Over,
            Ok(Some(Begun::Whole(head))) => {
                answered(clock::now(), head.status());
                Ended::Answered { kept: !is_last(&head) }
            }
            Ok(Some(Begun::Flows { head, rest, first })) => {
                answered(first, head.status());
                let is_whole = self.take_flow(request, connection, rest).await;
                if is_whole { Ended::Answered { kept: !is_last(&head) } } else { Ended::Over }
            }
            Ok(None) => {
                let now = clock::now();
                let crossed = has_crossed(connection, sent, now).await;
                let reset = connection.end() == Some(End::Reset);
                self.recorder.write(&Record::Unanswered { id, at: now, crossed, reset });
                if crossed && !sent.fresh { Ended::Crossed } else { Ended::Over }
            }
        }
    }

    /// Takes an answer that flows; whether it came whole.
    async fn take_flow(&self, request: &Request, connection: &mut Connection, mut rest: Rest) -> bool {
        let slow = request.reads_slowly;
        let mut last = clock::now();
        let until = Instant::now() + PATIENCE_WITH_ANSWER;
        let end = loop {
            let left = until.saturating_duration_since(Instant::now());
            match timeout(left, connection.piece(&mut rest)).await {
                Err(_) => break AnswerEnd::GivenUp,
                Ok(Err(_)) => break AnswerEnd::Broken,
                Ok(Ok(None)) => break AnswerEnd::Whole,
                Ok(Ok(Some(_))) => last = clock::now(),
            }
            if slow {
                sleep(READ_PAUSE).await;
            }
        };
        let id = request.id.clone();
        self.recorder.write(&Record::AnswerEnded { id, at: clock::now(), end, last, slow });
        end == AnswerEnd::Whole
    }
}
