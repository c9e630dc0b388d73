//! A client's request: decoded once, and encoded for each attempt on a server. Used by
//! `client_service`, `dispatcher` and
//! `connection_pool`.

use super::body::{Body, buffered};
use super::headers::{CUSTOMER, ID, IDEMPOTENCY_KEY, TIME_LEFT, copied, end_to_end, memory_of, text};
use crate::runtime_settings::RuntimeSettings;
use crate::streaming::StreamedBody;
use crate::upload::PieceReceiver;
use bytes::Bytes;
use http_body_util::Either;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::http::request;
use hyper::{Method, Request, Uri};
use pearfront::interface::Effect;
use pearfront_settings::NodeSettings;
use std::cell::RefCell;
use std::rc::Rc;

/// A head that takes more bytes is not forwarded on a connection that is used again: hyper keeps what it needed for the head.
const LARGE_HEAD_BYTES: usize = 16 * 1024;
/// Most characters of a name that are repeated to its client.
const MAX_NAME_SHOWN: usize = 64;
/// Longest time, ms, that a request may name; more is refused as invalid.
const MAX_TIME_LEFT_MS: f64 = 24.0 * 3_600_000.0;

/// A client's request: its head, and its body once that has arrived.
pub struct ClientRequest {
    /// The settings in force when its head was read.
    pub settings: Rc<RuntimeSettings>,
    pub profile: usize,
    pub customer: usize,
    pub non_idempotent: bool,
    /// How long the client will wait, ms.
    pub time_left: f64,
    pub body: RequestBody,
    method: Method,
    target: Uri,
    headers: HeaderMap,
}

/// A request's body.
pub enum RequestBody {
    /// Buffered, so it can be sent again.
    Buffered(Bytes),
    /// Too large to be buffered: the part that arrived first, and the rest for the first attempt
    /// that claims it.
    Streamed { first: Bytes, rest: RefCell<Option<PieceReceiver>>, length: Option<u64> },
}

impl ClientRequest {
    /// Decodes a request's head, whose body is yet to arrive. The error says what is wrong with it.
    pub(super) fn decode(head: request::Parts, settings: &Rc<RuntimeSettings>) -> Result<Self, String> {
        let profile = decode_profile(&head, &settings.node_settings)?;
        check_own_headers(&head.headers)?;
        let effect = settings.policy_settings.profiles[profile].effect;
        check_effect(&head, effect)?;
        let time_left = decode_time_left(&head.headers)?;
        let customer = decode_customer(&head.headers, &settings.node_settings)?;
        let keyed = head.headers.contains_key(&IDEMPOTENCY_KEY);
        let headers = copied(&end_to_end(head.headers));
        if !headers.contains_key(&ID) || headers.contains_key(&IDEMPOTENCY_KEY) != keyed {
            return Err("its own headers named as the connection's".into());
        }
        Ok(Self {
            settings: settings.clone(),
            profile,
            customer,
            non_idempotent: effect == Effect::NonIdempotent,
            time_left,
            body: RequestBody::Buffered(Bytes::new()),
            method: head.method,
            target: Uri::try_from(head.uri.to_string().as_str()).unwrap_or(head.uri),
            headers,
        })
    }

    /// Its id, which no other open request has.
    pub fn id(&self) -> &HeaderValue {
        &self.headers[ID]
    }

    /// Bytes that its head takes as long as it is open.
    pub fn head_bytes(&self) -> usize {
        let target = self.target.path_and_query().map_or(0, |target| target.as_str().len());
        memory_of(&self.headers) + target * 2
    }

    /// Whether its head takes much more than usual.
    pub fn has_large_head(&self) -> bool {
        self.head_bytes() > LARGE_HEAD_BYTES
    }

    /// Whether its body is too large to be buffered, so that it can be sent only once.
    pub fn is_streamed(&self) -> bool {
        matches!(self.body, RequestBody::Streamed { .. })
    }

    /// Encodes the request for an attempt that will be waited for `wait` ms; `None` if its body was
    /// not buffered and has already been sent.
    pub fn encode(&self, wait: f64) -> Option<Request<Body>> {
        let mut attempt = Request::new(match &self.body {
            RequestBody::Buffered(body) => buffered(body.clone()),
            RequestBody::Streamed { first, rest, length } => {
                let pieces = rest.take()?.claim();
                Either::Right(Box::new(StreamedBody::from_channel(first.clone(), pieces, *length)))
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

/// The beginning of a name that a client sent.
fn shown(name: &str) -> String {
    name.chars().take(MAX_NAME_SHOWN).collect()
}

/// The first segment of a request's path.
fn profile_name(target: &Uri) -> &str {
    target.path().trim_start_matches('/').split('/').next().unwrap_or_default()
}

fn decode_profile(head: &request::Parts, node_settings: &NodeSettings) -> Result<usize, String> {
    let named = profile_name(&head.uri);
    let profile = node_settings.profiles.iter().position(|name| name == named);
    profile.ok_or_else(|| format!("unknown profile {:?}", shown(named)))
}

/// Checks that the request has an id, and that id, key and time appear only once: of two values, a
/// server may use a different one than the node.
fn check_own_headers(headers: &HeaderMap) -> Result<(), String> {
    if text(headers, &ID).is_none_or(str::is_empty) {
        return Err(format!("no {ID}"));
    }
    let is_twice = |name: &&HeaderName| headers.get_all(*name).iter().count() > 1;
    match [ID, IDEMPOTENCY_KEY, TIME_LEFT].iter().find(is_twice) {
        Some(twice) => Err(format!("more than one {twice}")),
        None => Ok(()),
    }
}

/// Checks that the request's method and key fit its profile's effect.
fn check_effect(head: &request::Parts, effect: Effect) -> Result<(), String> {
    let keyed = head.headers.contains_key(&IDEMPOTENCY_KEY);
    let fits = match effect {
        Effect::Idempotent => head.method == Method::GET,
        Effect::Keyed => head.method == Method::POST && keyed,
        Effect::NonIdempotent => head.method == Method::POST && !keyed,
    };
    if fits {
        Ok(())
    } else {
        let method = shown(head.method.as_str());
        Err(format!("{method} {} does not fit its profile's effect", shown(profile_name(&head.uri))))
    }
}

/// How long the client will wait, ms.
fn decode_time_left(headers: &HeaderMap) -> Result<f64, String> {
    let seconds = text(headers, &TIME_LEFT).and_then(|left| left.trim().parse::<f64>().ok());
    let left = seconds.map(|seconds| seconds * 1000.0);
    let left = left.filter(|left| left.is_finite() && *left < MAX_TIME_LEFT_MS);
    left.ok_or_else(|| format!("no time in {TIME_LEFT}"))
}

fn decode_customer(headers: &HeaderMap, node_settings: &NodeSettings) -> Result<usize, String> {
    if node_settings.customers.is_empty() {
        return Ok(0);
    }
    let named = text(headers, &CUSTOMER).ok_or_else(|| format!("no {CUSTOMER}"))?;
    let index = node_settings.customers.iter().position(|name| name == named);
    index.ok_or_else(|| format!("unknown customer {:?}", shown(named)))
}
