//! Names of the protocol's headers, and the header handling common to all messages. Used by the other message
//! modules.

use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};

/// The request's id; no other open request has the same.
pub const ID: HeaderName = HeaderName::from_static("x-trace-id");
/// The customer on whose behalf the request is made.
pub const CUSTOMER: HeaderName = HeaderName::from_static("x-customer");
/// How long the sender waits for the answer, s.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-expires-in");
/// The key of a keyed request.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// On a server's answer: `1` states that the request never ran.
pub const NEVER_RAN: HeaderName = HeaderName::from_static("x-never-ran");
/// On a server's answer: its load report.
pub const REPORT: HeaderName = HeaderName::from_static("endpoint-load-metrics");
/// On an operator's request: drain without a permit.
pub const FORCE: HeaderName = HeaderName::from_static("x-force");
/// Hop-by-hop headers, which are not forwarded.
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

/// The header's value, if it is present and plain text.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The headers without the hop-by-hop ones; the message itself may name further ones in `Connection`.
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

/// Bytes that one field takes, beside its text, in a request and in an attempt of it.
const FIELD_BYTES: usize = 400;
/// How often the text of a head is held: as values, in what an attempt writes, and the id in what processes tell one another.
const TEXT_COPIES: usize = 3;

/// Bytes that the headers take as long as their request is open.
pub fn memory_of(headers: &HeaderMap) -> usize {
    let text: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    text * TEXT_COPIES + headers.len() * FIELD_BYTES
}

/// The headers in memory of their own: those that hyper hands out keep the buffer that they were read into.
pub fn copied(headers: &HeaderMap) -> HeaderMap {
    let mut copy = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let value = HeaderValue::from_bytes(value.as_bytes()).expect("a header's value makes one");
        copy.append(name.clone(), value);
    }
    copy
}

#[cfg(test)]
mod tests;
