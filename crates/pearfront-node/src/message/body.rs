//! What messages of all kinds are made of: bodies, plain responses and requests without a body.

use crate::streaming::StreamedBody;
use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::{Request, Response, StatusCode};

/// A body that is kept whole, or one that flows.
pub type Body = Either<Full<Bytes>, StreamedBody>;

/// A response's whole body, of at most so many bytes.
pub async fn read_whole(body: Incoming, most: usize) -> Result<Bytes, ()> {
    Ok(Limited::new(body, most).collect().await.map_err(|_| ())?.to_bytes())
}

/// A body that is here whole.
pub fn whole(body: Bytes) -> Body {
    Either::Left(Full::new(body))
}

/// A response of plain text.
pub fn plain(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(whole(text.into()));
    *response.status_mut() = status;
    response
}

/// A GET request for the target, sent to that host.
pub fn get(target: String, host: &str) -> Request<Body> {
    let mut request = Request::new(whole(Bytes::new()));
    *request.uri_mut() = target.parse().expect("targets are made of plain characters");
    request
        .headers_mut()
        .insert(header::HOST, HeaderValue::from_str(host).expect("an address makes a header"));
    request
}
