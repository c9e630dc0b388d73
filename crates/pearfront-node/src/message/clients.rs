//! What a node and its clients exchange: what they ask of it, and its final answers.

use super::body::{Body, plain};
use super::request::ClientRequest;
use super::servers::Reply;
use crate::runtime_settings::RuntimeSettings;
use http_body_util::Either;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::request;
use hyper::{Method, Response, StatusCode};
use std::rc::Rc;

/// What a client asks of a node.
pub enum ClientCall {
    /// Is the node up?
    Up,
    /// A request for one of the servers.
    Request(Box<ClientRequest>),
}

/// Decodes a request's head. The error says what is wrong with it. `lengths` tells whether a length may have stood in
/// it: where chunks come as well, hyper drops the length, and the body may hide another request from one of two readers.
pub fn decode_client_call(
    head: request::Parts,
    settings: &Rc<RuntimeSettings>,
    lengths: bool,
) -> Result<ClientCall, String> {
    if lengths && is_chunked(&head.headers) {
        return Err("both a length and chunks".into());
    }
    if head.method == Method::GET && head.uri.path() == "/up" {
        return Ok(ClientCall::Up);
    }
    Ok(ClientCall::Request(Box::new(ClientRequest::decode(head, settings)?)))
}

fn is_chunked(headers: &HeaderMap) -> bool {
    headers.contains_key(header::TRANSFER_ENCODING)
}

/// The response as the last one on its connection.
pub fn last_on_connection(mut response: Response<Body>) -> Response<Body> {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// A node's one final answer to a request.
pub enum Answer {
    /// A server's reply.
    Served(Box<Reply>),
    /// With the advice to come back in so many ms; 0 is none.
    Rejected(f64),
    /// It may have run, and no server has served it.
    Failed,
    /// A server can't use the request: its client's fault.
    TurnedDown,
}

impl Answer {
    /// Is it passed on while it comes?
    pub fn flows(&self) -> bool {
        matches!(self, Answer::Served(reply) if matches!(reply.body, Either::Right(_)))
    }

    /// The answer as a response to the client.
    pub fn encode(self) -> Response<Body> {
        match self {
            Answer::Served(reply) => {
                let mut response = Response::new(reply.body);
                *response.headers_mut() = reply.headers;
                response
            }
            Answer::Rejected(wait) => {
                let mut response =
                    plain(StatusCode::SERVICE_UNAVAILABLE, "rejected, trying again is harmless\n");
                if wait > 0.0 {
                    let wait = HeaderValue::from_str(&format!("{:.3}", wait / 1000.0));
                    response.headers_mut().insert(header::RETRY_AFTER, wait.expect("digits make a header"));
                }
                response
            }
            Answer::TurnedDown => encode_malformed("a server can't use it"),
            Answer::Failed => plain(StatusCode::BAD_GATEWAY, "failed\n"),
        }
    }
}

/// The answer to a malformed request.
pub fn encode_malformed(problem: &str) -> Response<Body> {
    plain(StatusCode::BAD_REQUEST, format!("{problem}\n"))
}

/// The answer to the question whether the node is up.
pub fn encode_up(up: bool) -> Response<Body> {
    if up {
        plain(StatusCode::OK, "up\n")
    } else {
        plain(StatusCode::SERVICE_UNAVAILABLE, "draining or ending\n")
    }
}
