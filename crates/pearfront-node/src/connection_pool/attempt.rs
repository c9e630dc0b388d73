//! One attempt of a request on a server: sends it once, and tells how that ended.

use super::ConnectionPool;
use super::connection_end::ConnectionEnd;
use super::http_connection::HttpConnection;
use crate::guard::Permit;
use crate::message::{self, ClientRequest, Reply};
use crate::streaming::BodyStart;
use crate::tracked_stream::TrackedStream;
use http_body_util::Either;
use hyper::http::response;
use std::cell::OnceCell;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;

/// How an attempt went.
pub struct Attempt {
    pub end: ConnectionEnd,
    pub reply: Option<Reply>,
    /// Its answer came to its end.
    is_complete: bool,
    /// The load report that came along, where the deployment has them in answers.
    pub report: Option<Result<Vec<f64>, String>>,
}

impl Attempt {
    fn ended(end: ConnectionEnd) -> Self {
        Self { end, reply: None, is_complete: true, report: None }
    }
}

impl ConnectionPool {
    /// One attempt: how its connection ended, with the reply if the request was served. `over` ends it, and `closed`, the
    /// end of its request, as long as its last byte is not written: what no server can have begun is never an attempt to be
    /// called off, which some deployments don't allow. `permit` is the guard's, asked for once the connection stands.
    pub async fn attempt(
        self: &Rc<Self>,
        server: SocketAddr,
        request: &ClientRequest,
        timed_out: impl Future<Output = ()>,
        request_closed: impl Future<Output = ()>,
        permit: impl Fn() -> Option<Rc<Permit>>,
        called_off: impl Future<Output = ()>,
    ) -> Attempt {
        let (mut link, wire) = (None, OnceCell::new());
        let written = || wire.get().is_some_and(|wire: &Rc<TrackedStream>| wire.is_fully_written());
        let exchange = self.exchange(&mut link, &wire, server, request, permit);
        let request_closed_before_written = async {
            request_closed.await;
            if written() {
                pending().await
            }
        };
        let (before, after) = tokio::select! {
            biased;
            attempt = exchange => return self.finish(server, link, attempt),
            () = called_off => (ConnectionEnd::CalledOffBefore, ConnectionEnd::CalledOffAfter),
            () = timed_out => (ConnectionEnd::TooLateBefore, ConnectionEnd::TooLateAfter),
            () = request_closed_before_written => (ConnectionEnd::CalledOffBefore, ConnectionEnd::CalledOffBefore),
        };
        Attempt::ended(if written() { after } else { before })
    }

    async fn exchange(
        &self,
        slot: &mut Option<HttpConnection>,
        wire: &OnceCell<Rc<TrackedStream>>,
        server: SocketAddr,
        request: &ClientRequest,
        permit: impl Fn() -> Option<Rc<Permit>>,
    ) -> Attempt {
        // A server may have closed a kept connection without our knowing yet. Where that happens, a request that could
        // not go again must not be what finds out.
        let needs_new = request.non_idempotent && self.break_rates.is_higher_when_kept();
        let link = if needs_new { self.renewed_link(server).await } else { self.link(server).await };
        let Ok(link) = link else { return Attempt::ended(ConnectionEnd::NeverUp) };
        // What was written on it before belongs to another message.
        link.wire.begin_message(Some(0));
        wire.get_or_init(|| link.wire.clone());
        let link = slot.insert(link);
        let encoded = permit().and_then(|permit| Some((request.encode(permit.remaining_ms)?, permit)));
        let Some((encoded, permit)) = encoded else {
            return Attempt::ended(ConnectionEnd::NotSent);
        };
        link.wire.set_write_permit(permit.clone());
        let answer = link.begin(encoded).await;
        if link.wire.was_withheld() {
            let gone = permit.client_has_left();
            return Attempt::ended(if gone { ConnectionEnd::CallerGone } else { ConnectionEnd::Withheld });
        }
        self.break_rates.record(link.kept, answer.is_err() && !link.wire.has_received());
        match answer {
            Ok((head, body)) => self.read(head, body),
            Err(_) if !link.wire.is_fully_written() => Attempt::ended(ConnectionEnd::BrokenBefore),
            Err(_) => Attempt::ended(ConnectionEnd::BrokenAfter),
        }
    }

    fn read(&self, head: response::Parts, body: BodyStart) -> Attempt {
        let report = message::decode_report_of(&head, &self.settings.current().node_settings);
        let end = message::decode_end(&head);
        let is_complete = matches!(body, BodyStart::Complete(_));
        let reply = (end == ConnectionEnd::Served).then(|| message::decode_reply(head, body));
        Attempt { end, reply, is_complete, report }
    }

    fn finish(
        self: &Rc<Self>,
        server: SocketAddr,
        link: Option<HttpConnection>,
        mut attempt: Attempt,
    ) -> Attempt {
        use ConnectionEnd::{Error, NotSent, Served, TurnedAway, TurnedDown};
        let Some(link) =
            link.filter(|_| matches!(attempt.end, Served | Error | TurnedAway | TurnedDown | NotSent))
        else {
            return attempt;
        };
        let pool = self.clone();
        match attempt.reply.as_mut().map(|reply| &mut reply.body) {
            // Its connection is free again once the last byte of the answer has been passed on.
            Some(Either::Right(flow)) => flow.on_end(move || pool.keep_link(server, link)),
            _ if attempt.is_complete && (attempt.end == NotSent || link.wire.is_fully_written()) => {
                pool.keep_link(server, link);
            }
            _ => {}
        }
        attempt
    }
}
