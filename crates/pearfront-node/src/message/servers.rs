//! What a node and servers exchange, beside the clients' requests themselves: replies, and probes.

use super::body::{Body, get, whole};
use super::headers::{NEVER_RAN, REPORT, end_to_end, text};
use crate::connection_pool::ConnectionEnd;
use crate::streaming::{BodyStart, StreamedBody};
use http_body_util::Either;
use hyper::header::{self, HeaderMap};
use hyper::http::response;
use hyper::{Request, Version};
use std::net::SocketAddr;

/// A server's answer to a request.
pub struct Reply {
    pub headers: HeaderMap,
    pub body: Body,
}

/// How an attempt ended that was answered so, its body whole or on its way.
pub fn decode_end(head: &response::Parts) -> ConnectionEnd {
    let framed = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
    match head.status.as_u16() {
        200 if framed.iter().any(|name| head.headers.contains_key(name)) => ConnectionEnd::Served,
        // Without either it ends with its connection, if it says so; else nobody can tell that it was not cut off.
        200 if ends_connection(head) => ConnectionEnd::Served,
        500 => ConnectionEnd::Error,
        // The protocol has none of these for a request that is as it should be.
        400..500 => ConnectionEnd::TurnedDown,
        503 | 504 if text(&head.headers, &NEVER_RAN) == Some("1") => ConnectionEnd::TurnedAway,
        _ => ConnectionEnd::Malformed,
    }
}

/// Does the sender say that its connection ends behind this?
fn ends_connection(head: &response::Parts) -> bool {
    let words = head.headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let words: Vec<&str> = words.flat_map(|words| words.split(',')).map(str::trim).collect();
    let says = |wanted: &str| words.iter().any(|word| word.eq_ignore_ascii_case(wanted));
    says("close") || head.version == Version::HTTP_10 && !says("keep-alive")
}

/// The reply that goes on to the client, without what only a node is to know.
pub fn decode_reply(head: response::Parts, body: BodyStart) -> Reply {
    let mut headers = end_to_end(head.headers);
    headers.remove(REPORT);
    let body = match body {
        BodyStart::Complete(body) => whole(body),
        BodyStart::Partial(first, rest) => Either::Right(StreamedBody::from_answer(first, rest)),
    };
    Reply { headers, body }
}

/// A probe; with the load report where the deployment has any.
pub fn encode_probe(server: SocketAddr, reports: bool) -> Request<Body> {
    get(if reports { "/metrics/load" } else { "/alive" }.into(), &server.to_string())
}
