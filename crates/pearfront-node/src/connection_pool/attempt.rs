//! One attempt of a request on a server: sends it once, and reports how that ended.

use super::ConnectionPool;
use super::answer_start::AnswerStart;
use super::connection_end::ConnectionEnd;
use super::http_connection::HttpConnection;
use crate::message::{self, ClientRequest, Reply};
use crate::tracked_stream::{TrackedStream, WritePermit};
use http_body_util::Either;
use hyper::http::response;
use std::cell::RefCell;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;

/// Permission for one attempt, granted once its connection is open.
pub trait AttemptPermit: WritePermit + 'static {
    /// Time left to the request's deadline, ms, as its server is told.
    fn remaining_ms(&self) -> f64;
    /// Has the client of the request ended its connection?
    fn client_has_left(&self) -> bool;
}

/// The stream of the connection that an attempt uses at present.
type CurrentStream = RefCell<Option<Rc<TrackedStream>>>;

/// The result of an attempt.
pub struct Attempt {
    pub end: ConnectionEnd,
    pub reply: Option<Reply>,
    /// Whether the answer was received completely.
    is_complete: bool,
    /// The load report in the answer, where the deployment sends reports in answers.
    pub report: Option<Result<Vec<f64>, String>>,
}

impl Attempt {
    fn ended(end: ConnectionEnd) -> Self {
        Self { end, reply: None, is_complete: true, report: None }
    }
}

impl ConnectionPool {
    /// Runs one attempt; the result has the reply if the request was served. `timed_out` ends the attempt at
    /// any time; `request_closed`, the end of the request, only before its last byte is written, because an
    /// attempt that no server can have started needs no call-off, which some deployments don't allow.
    /// `permit` asks the guard once the connection is open.
    pub async fn attempt<P: AttemptPermit>(
        self: &Rc<Self>,
        server: SocketAddr,
        request: &ClientRequest,
        timed_out: impl Future<Output = ()>,
        request_closed: impl Future<Output = ()>,
        permit: impl Fn() -> Option<Rc<P>>,
        called_off: impl Future<Output = ()>,
    ) -> Attempt {
        let (mut connection, stream) = (None, CurrentStream::default());
        let written = || stream.borrow().as_ref().is_some_and(|stream| stream.is_fully_written());
        let exchange = self.exchange(&mut connection, &stream, server, request, permit);
        let request_closed_before_written = async {
            request_closed.await;
            if written() {
                pending().await
            }
        };
        let (before, after) = tokio::select! {
            biased;
            attempt = exchange => return self.finish(server, request, connection, attempt),
            () = called_off => (ConnectionEnd::CalledOffBefore, ConnectionEnd::CalledOffAfter),
            () = timed_out => (ConnectionEnd::TooLateBefore, ConnectionEnd::TooLateAfter),
            () = request_closed_before_written => (ConnectionEnd::CalledOffBefore, ConnectionEnd::CalledOffBefore),
        };
        Attempt::ended(if written() { after } else { before })
    }

    /// Sends the request on the first connection that is not stale; a body that was not buffered can only be
    /// sent once.
    async fn exchange<P: AttemptPermit>(
        &self,
        slot: &mut Option<HttpConnection>,
        stream: &CurrentStream,
        server: SocketAddr,
        request: &ClientRequest,
        permit: impl Fn() -> Option<Rc<P>>,
    ) -> Attempt {
        loop {
            let attempt = self.exchange_once(slot, stream, server, request, &permit).await;
            if attempt.end != ConnectionEnd::Stale || request.is_streamed() {
                return attempt;
            }
        }
    }

    async fn exchange_once<P: AttemptPermit>(
        &self,
        slot: &mut Option<HttpConnection>,
        stream: &CurrentStream,
        server: SocketAddr,
        request: &ClientRequest,
        permit: impl Fn() -> Option<Rc<P>>,
    ) -> Attempt {
        // A server may have closed an idle connection without the node knowing yet. Where that happens, a
        // request that cannot be sent again must not be the one that finds out.
        let needs_new = request.non_idempotent && self.break_rates.is_higher_when_reused();
        let connection = if needs_new {
            self.replace_oldest_connection(server).await
        } else {
            self.connection(server).await
        };
        let Ok(connection) = connection else { return Attempt::ended(ConnectionEnd::NeverUp) };
        // Bytes written before belong to another message.
        connection.stream.begin_message(Some(0));
        stream.replace(Some(connection.stream.clone()));
        let connection = slot.insert(connection);
        let encoded = permit().and_then(|permit| Some((request.encode(permit.remaining_ms())?, permit)));
        let Some((encoded, permit)) = encoded else {
            return Attempt::ended(ConnectionEnd::NotSent);
        };
        connection.stream.set_write_permit(permit.clone());
        let answer = connection.request_streaming(encoded, &self.capacity).await;
        if connection.stream.was_withheld() {
            let gone = permit.client_has_left();
            return Attempt::ended(if gone { ConnectionEnd::CallerGone } else { ConnectionEnd::Withheld });
        }
        if connection.stream.is_unwritten() {
            return Attempt::ended(if connection.reused {
                ConnectionEnd::Stale
            } else {
                ConnectionEnd::BrokenBefore
            });
        }
        self.break_rates.record(connection.reused, answer.is_err() && !connection.stream.has_received());
        match answer {
            Ok((head, body)) => self.read(head, body),
            Err(_) if !connection.stream.is_fully_written() => Attempt::ended(ConnectionEnd::BrokenBefore),
            Err(_) => Attempt::ended(ConnectionEnd::BrokenAfter),
        }
    }

    fn read(&self, head: response::Parts, body: AnswerStart) -> Attempt {
        let report = message::decode_report_of(&head, &self.settings.current().node_settings);
        let end = message::decode_end(&head);
        let is_complete = matches!(body, AnswerStart::Complete(_));
        let reply = (end == ConnectionEnd::Served).then(|| message::decode_reply(head, body));
        Attempt { end, reply, is_complete, report }
    }

    fn finish(
        self: &Rc<Self>,
        server: SocketAddr,
        request: &ClientRequest,
        connection: Option<HttpConnection>,
        mut attempt: Attempt,
    ) -> Attempt {
        use ConnectionEnd::{Error, NotSent, Served, TurnedAway, TurnedDown};
        let Some(connection) =
            connection.filter(|_| matches!(attempt.end, Served | Error | TurnedAway | TurnedDown | NotSent))
        else {
            return attempt;
        };
        let (pool, is_kept) = (self.clone(), !request.has_large_head());
        let release = move |connection| {
            if is_kept {
                pool.release(server, connection);
            }
        };
        match attempt.reply.as_mut().map(|reply| &mut reply.body) {
            // The connection is free again once the last byte of the answer has been passed on.
            Some(Either::Right(body)) => body.on_end(move || release(connection)),
            _ if attempt.is_complete && (attempt.end == NotSent || connection.stream.is_fully_written()) => {
                release(connection);
            }
            _ => {}
        }
        attempt
    }
}
