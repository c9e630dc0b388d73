//! Tests of the hop-by-hop headers.

use super::*;
use hyper::header::HeaderValue;

// Hop-by-hop headers must not be forwarded; all others must.
#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let mut headers = HeaderMap::new();
    for (name, value) in
        [("connection", "close, X-Mine"), ("x-mine", "1"), ("te", "trailers"), ("accept", "*/*")]
    {
        headers.insert(HeaderName::from_static(name), HeaderValue::from_static(value));
    }
    let kept: Vec<_> = end_to_end(headers).keys().map(HeaderName::to_string).collect();
    assert_eq!(kept, ["accept"]);
}
