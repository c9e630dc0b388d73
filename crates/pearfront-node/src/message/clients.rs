//! What a node and its clients exchange: their requests, and its final answers.

use super::body::{Body, plain, whole};
use super::headers::{CUSTOMER, ID, IDEMPOTENCY_KEY, TIME_LEFT, end_to_end, text};
use super::servers::Reply;
use crate::flow::{Flow, Piece};
use crate::terms::Terms;
use bytes::Bytes;
use http_body_util::Either;
use hyper::header::{self, HeaderMap, HeaderValue};
use hyper::http::request;
use hyper::{Method, Request, Response, StatusCode, Uri};
use pearfront::interface::Effect;
use pearfront_settings::Surroundings;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::mpsc::Receiver;

/// Longest time left, ms, that a request may name: what says more is no time.
const LONGEST_LEFT: f64 = 24.0 * 3_600_000.0;

/// What a client asks of a node.
pub enum Call {
    /// Is the node up?
    Up,
    Job(Box<Job>),
}

/// A client's request: its head, and its body once that has come whole.
pub struct Job {
    /// The terms in force when its head was read.
    pub terms: Rc<Terms>,
    pub profile: usize,
    pub customer: usize,
    pub non_idempotent: bool,
    /// How long the client will wait, ms.
    pub left: f64,
    pub body: JobBody,
    method: Method,
    target: Uri,
    headers: HeaderMap,
}

/// A request's body.
pub enum JobBody {
    Whole(Bytes),
    /// Too large to be kept: what came first, and the rest for the first attempt that asks for it.
    Flowing {
        first: Bytes,
        rest: RefCell<Option<Receiver<Piece>>>,
        length: Option<u64>,
    },
}

/// Decodes a request's head. The error says what is wrong with it. `lengths` tells whether a length may have stood in
/// it: where chunks come as well, hyper drops the length, and the body may hide another request from one of two readers.
pub fn decode_call(head: request::Parts, terms: &Rc<Terms>, lengths: bool) -> Result<Call, String> {
    let around = &terms.around;
    if lengths && is_chunked(&head.headers) {
        return Err("both a length and chunks".into());
    }
    if head.method == Method::GET && head.uri.path() == "/up" {
        return Ok(Call::Up);
    }
    let named = head.uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
    let profile = around.profiles.iter().position(|name| name == named);
    let profile = profile.ok_or_else(|| format!("unknown profile {named:?}"))?;
    if text(&head.headers, &ID).is_none_or(str::is_empty) {
        return Err(format!("no {ID}"));
    }
    // Of two a server may take the other one.
    if let Some(twice) =
        [ID, IDEMPOTENCY_KEY].iter().find(|name| head.headers.get_all(*name).iter().count() > 1)
    {
        return Err(format!("more than one {twice}"));
    }
    let keyed = head.headers.contains_key(&IDEMPOTENCY_KEY);
    let effect = terms.settings.profiles[profile].effect;
    let fits = match effect {
        Effect::Idempotent => head.method == Method::GET,
        Effect::Keyed => head.method == Method::POST && keyed,
        Effect::NonIdempotent => head.method == Method::POST && !keyed,
    };
    if !fits {
        return Err(format!("{} {named} does not fit its profile's effect", head.method));
    }
    let left = text(&head.headers, &TIME_LEFT).and_then(|left| left.trim().parse::<f64>().ok());
    let left = left.map(|seconds| seconds * 1000.0).filter(|left| left.is_finite() && *left < LONGEST_LEFT);
    let left = left.ok_or_else(|| format!("no time in {TIME_LEFT}"))?;
    let customer = decode_customer(&head.headers, around)?;
    let headers = end_to_end(head.headers);
    if !headers.contains_key(&ID) || headers.contains_key(&IDEMPOTENCY_KEY) != keyed {
        return Err("its own headers named as the connection's".into());
    }
    let (method, target) = (head.method, head.uri);
    let non_idempotent = effect == Effect::NonIdempotent;
    let terms = terms.clone();
    let request = Job {
        terms,
        profile,
        customer,
        non_idempotent,
        left,
        body: JobBody::Whole(Bytes::new()),
        method,
        target,
        headers,
    };
    Ok(Call::Job(Box::new(request)))
}

fn is_chunked(headers: &HeaderMap) -> bool {
    headers.contains_key(header::TRANSFER_ENCODING)
}

/// The response as the last one on its connection.
pub fn last_on_connection(mut response: Response<Body>) -> Response<Body> {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

fn decode_customer(headers: &HeaderMap, around: &Surroundings) -> Result<usize, String> {
    if around.customers.is_empty() {
        return Ok(0);
    }
    let named = text(headers, &CUSTOMER).ok_or_else(|| format!("no {CUSTOMER}"))?;
    let place = around.customers.iter().position(|name| name == named);
    place.ok_or_else(|| format!("unknown customer {named:?}"))
}

impl Job {
    /// Its id, which no other open request has.
    pub fn id(&self) -> &HeaderValue {
        &self.headers[ID]
    }

    /// Is its body too large to be kept, so that it can be sent only once?
    pub fn flows(&self) -> bool {
        matches!(self.body, JobBody::Flowing { .. })
    }

    /// The request as an attempt that will be waited for so long; none if its body has been sent and was not kept.
    pub fn encode(&self, wait: f64) -> Option<Request<Body>> {
        let mut attempt = Request::new(match &self.body {
            JobBody::Whole(body) => whole(body.clone()),
            JobBody::Flowing { first, rest, length } => {
                Either::Right(Flow::fed(first.clone(), rest.take()?, *length))
            }
        });
        *attempt.method_mut() = self.method.clone();
        *attempt.uri_mut() = self.target.clone();
        *attempt.headers_mut() = self.headers.clone();
        let wait = HeaderValue::from_str(&format!("{:.3}", wait.max(0.0) / 1000.0));
        attempt.headers_mut().insert(TIME_LEFT, wait.expect("digits make a header"));
        Some(attempt)
    }
}

/// A node's one final answer to a request.
pub enum Answer {
    Served(Box<Reply>),
    /// With the advice to come back in so many ms; 0 is none.
    Rejected(f64),
    Failed,
    /// A server can't use the request: its client's fault.
    TurnedDown,
}

impl Answer {
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
