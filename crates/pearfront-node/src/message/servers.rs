//! Messages between a node and servers, other than the forwarded requests: answers, and probes.

use super::body::{Body, buffered, get};
use super::headers::{NEVER_RAN, REPORT, end_to_end, text};
use crate::connection_pool::{AnswerStart, ConnectionEnd};
use crate::streaming::StreamedBody;
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

/// How an attempt ended that got this answer, whose body may still be on its way.
pub fn decode_end(head: &response::Parts) -> ConnectionEnd {
    let framed = [header::CONTENT_LENGTH, header::TRANSFER_ENCODING];
    match head.status.as_u16() {
        200 if framed.iter().any(|name| head.headers.contains_key(name)) => ConnectionEnd::Served,
        // Without a length the answer ends with its connection, if it announces that; otherwise a truncated
        // answer could not be told from a whole one.
        200 if ends_connection(head) => ConnectionEnd::Served,
        500 => ConnectionEnd::Error,
        // In the protocol these statuses mean that the request is at fault.
        400..500 => ConnectionEnd::TurnedDown,
        503 | 504 if text(&head.headers, &NEVER_RAN) == Some("1") => ConnectionEnd::TurnedAway,
        _ => ConnectionEnd::Malformed,
    }
}

/// Does the sender announce that it closes the connection after this?
fn ends_connection(head: &response::Parts) -> bool {
    let options = head.headers.get_all(header::CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let options: Vec<&str> = options.flat_map(|options| options.split(',')).map(str::trim).collect();
    let has_option = |wanted: &str| options.iter().any(|option| option.eq_ignore_ascii_case(wanted));
    has_option("close") || head.version == Version::HTTP_10 && !has_option("keep-alive")
}

/// The reply that is forwarded to the client, without the headers meant for the node.
pub fn decode_reply(head: response::Parts, body: AnswerStart) -> Reply {
    let mut headers = end_to_end(head.headers);
    headers.remove(REPORT);
    let body = match body {
        AnswerStart::Complete(body) => buffered(body),
        AnswerStart::Streamed(first, rest, memory) => {
            Either::Right(Box::new(StreamedBody::from_answer(first, rest, memory)))
        }
    };
    Reply { headers, body }
}

/// A probe, which fetches the load report where the deployment has them.
pub fn encode_probe(server: SocketAddr, reports: bool) -> Request<Body> {
    get(if reports { "/metrics/load" } else { "/alive" }.into(), &server.to_string())
}
