//! Messages between a node and its clients: calls and final answers. Used by `client_service`.

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
    /// Whether the node is up.
    Up,
    /// A request for one of the servers.
    Request(Box<ClientRequest>),
}

/// Decodes a request's head. The error says what is wrong with it. `lengths` tells whether the head
/// may have had a length: if the body is chunked as well, hyper drops the length, and one of two
/// readers may find another request hidden in the body.
pub fn decode_client_call(
    head: request::Parts,
    settings: &Rc<RuntimeSettings>,
    may_have_length: bool,
) -> Result<ClientCall, String> {
    if may_have_length && is_chunked(&head.headers) {
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

/// Marks the response as the last one on its connection.
pub fn last_on_connection(mut response: Response<Body>) -> Response<Body> {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

/// A node's one final answer to a request.
pub enum Answer {
    /// A server's reply.
    Served(Box<Reply>),
    /// With a retry-after time, ms; 0 for none.
    Rejected(f64),
    /// It may have run, and no server has served it.
    Failed,
    /// A server refused the request, which is its client's fault.
    TurnedDown,
}

impl Answer {
    /// Whether it is streamed to the client.
    pub fn is_streamed(&self) -> bool {
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

/// The answer to `/up`.
pub fn encode_up(up: bool) -> Response<Body> {
    if up {
        plain(StatusCode::OK, "up\n")
    } else {
        plain(StatusCode::SERVICE_UNAVAILABLE, "draining or ending\n")
    }
}
