//! Building blocks of all messages: bodies, plain responses and requests without a body.

use crate::streaming::StreamedBody;
use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::{Request, Response, StatusCode};

/// A body that is buffered, or one that is streamed. hyper reserves room for several messages on each connection, so the larger
/// one is boxed.
pub type Body = Either<Full<Bytes>, Box<StreamedBody>>;

/// Reads a response's body, of at most `most` bytes.
pub async fn read_whole(body: Incoming, max: usize) -> Result<Bytes, ()> {
    Ok(Limited::new(body, max).collect().await.map_err(|_| ())?.to_bytes())
}

/// A buffered body.
pub fn buffered(body: Bytes) -> Body {
    Either::Left(Full::new(body))
}

/// A plain-text response.
pub fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(buffered(text.into()));
    *response.status_mut() = status;
    response
}

/// A GET request for the target, sent to that host.
pub fn get(target: String, host: &str) -> Request<Body> {
    let mut request = Request::new(buffered(Bytes::new()));
    *request.uri_mut() = target.parse().expect("targets are made of plain characters");
    request
        .headers_mut()
        .insert(header::HOST, HeaderValue::from_str(host).expect("an address makes a header"));
    request
}
