//! One open connection to a server or to discovery, which carries one message at a time.

use crate::capacity::ConnectionSlot;
use crate::message::{self, Body};
use crate::streaming::{self, BodyStart, MAX_BUFFERED_BYTES};
use crate::system::is_local;
use crate::tracked_stream::{HyperIo, TrackedStream};
use bytes::Bytes;
use http_body_util::Either;
use hyper::Request;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::http::response;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep};

/// How long a kept connection has to have been quiet behind an answer: a server may send more some milliseconds late, and
/// on the next attempt that would be taken for its answer.
pub(super) const QUIET: Duration = Duration::from_millis(10);
/// How often a connection that this machine could not begin is begun again, and the pause before that.
const MOST_TRIES: usize = 4;
const TRY_PAUSE: Duration = Duration::from_millis(5);
/// Largest buffer of a connection, bytes: a head fits, and a body goes through in pieces.
pub const BUFFER_BYTES: usize = 16 * 1024;

/// An open connection to a server; closed when dropped, whatever is still on it.
pub struct HttpConnection {
    sender: SendRequest<Body>,
    pub wire: Rc<TrackedStream>,
    /// Has another message been on it before?
    pub(super) kept: bool,
    served_by: AbortHandle,
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.served_by.abort();
    }
}

impl HttpConnection {
    /// Opens a connection.
    ///
    /// # Errors
    /// Where no connection comes up. One that this machine could not begin is begun again.
    pub async fn open(address: SocketAddr, place: ConnectionSlot) -> io::Result<Self> {
        let mut tries = 0;
        let stream = loop {
            match TcpStream::connect(address).await {
                Err(error) if is_local(&error) && tries < MOST_TRIES => sleep(TRY_PAUSE).await,
                connected => break connected?,
            }
            tries += 1;
        };
        let wire = TrackedStream::to_server(stream, place);
        let handshake = Builder::new().max_buf_size(BUFFER_BYTES).handshake(HyperIo(wire.clone())).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let served_by = spawn_local(async move {
            // How it ended shows on the attempt itself.
            let _ = connection.await;
        });
        Ok(Self { sender, wire, kept: false, served_by: served_by.abort_handle() })
    }

    /// Sends a message and waits for its answer's head and whole body of at most so many bytes.
    pub async fn ask(&mut self, call: Request<Body>, most: usize) -> Result<(response::Parts, Bytes), ()> {
        let (head, body) = self.send(call).await?;
        Ok((head, message::read_whole(body, most).await?))
    }

    /// Sends a message and waits for its answer's head and as much of its body as is kept whole.
    pub(super) async fn begin(
        &mut self,
        mut call: Request<Body>,
    ) -> Result<(response::Parts, BodyStart), ()> {
        if let Either::Right(flow) = call.body_mut() {
            let wire = self.wire.clone();
            flow.on_end(move || wire.expect_final_chunk());
        }
        let (head, body) = self.send(call).await?;
        // Said to be large, it flows from its first byte on.
        let least = hyper::body::Body::size_hint(&body).lower();
        let most = if least > MAX_BUFFERED_BYTES as u64 { 0 } else { MAX_BUFFERED_BYTES };
        let body = streaming::read_start(body, most, streaming::STALL_TIMEOUT, true).await.map_err(|_| ())?;
        Ok((head, body))
    }

    /// Sends a message and waits for its answer's head.
    pub async fn send(&mut self, call: Request<Body>) -> Result<(response::Parts, Incoming), ()> {
        self.wire.begin_message(hyper::body::Body::size_hint(call.body()).exact());
        Ok(self.sender.send_request(call).await.map_err(|_| ())?.into_parts())
    }

    /// Ready for the next message, with nothing come in since the last.
    pub async fn settle(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Still open, with nothing come in that nobody asked for.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready() && self.wire.is_quiet()
    }
}

/// An open connection that no message is on.
pub(super) struct Idle {
    pub(super) link: HttpConnection,
    pub(super) since: Instant,
}

impl Idle {
    /// Has it been quiet for long enough behind its last answer?
    pub(super) fn is_quiet(&self) -> bool {
        self.since.elapsed() >= QUIET
    }
}
