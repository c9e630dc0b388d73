//! The names of the protocol's headers, and what every message does with its headers.

use hyper::header::{self, HeaderMap, HeaderName};

/// The request's id, which no other open request has.
pub const ID: HeaderName = HeaderName::from_static("x-trace-id");
/// The customer that the request is made for.
pub const CUSTOMER: HeaderName = HeaderName::from_static("x-customer");
/// How long the sender of the request waits for its answer, s.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-expires-in");
/// The key of a keyed request.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// On a server's answer: `1` says that the request never ran.
pub const NEVER_RAN: HeaderName = HeaderName::from_static("x-never-ran");
/// On a server's answer: its load report.
pub const REPORT: HeaderName = HeaderName::from_static("endpoint-load-metrics");
/// On an operator's request: drain without a permit.
pub const FORCE: HeaderName = HeaderName::from_static("x-force");
/// Headers of one connection only, which no message carries on.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::EXPECT,
    HeaderName::from_static("keep-alive"),
];

/// The header's value, if it is there and plain text.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The headers without those of one connection only, of which the message itself may name further ones.
pub fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    HOP_BY_HOP.iter().chain(&named).for_each(|name| {
        headers.remove(name);
    });
    headers
}

#[cfg(test)]
mod tests;
