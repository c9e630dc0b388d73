//! One open HTTP connection to a server or to discovery, which carries one message at a time.

use super::answer_start::AnswerStart;
use crate::capacity::{Capacity, ConnectionSlot};
use crate::message::{self, Body};
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
use tokio::time::sleep;

/// How often a connection attempt that failed on this machine is retried, and the pause before each retry.
const MAX_CONNECT_RETRIES: usize = 4;
const CONNECT_RETRY_PAUSE: Duration = Duration::from_millis(5);

/// An open connection to a server. It is closed when dropped, whatever is still in flight on it.
pub struct HttpConnection {
    sender: SendRequest<Body>,
    pub stream: Rc<TrackedStream>,
    /// Has it carried another message before?
    pub(super) reused: bool,
    driver: AbortHandle,
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl HttpConnection {
    /// Opens a connection with a read buffer of this size, bytes: a head fits, and a body passes through in pieces.
    ///
    /// # Errors
    /// If no connection is established. One that failed on this machine is retried.
    pub async fn open(address: SocketAddr, slot: ConnectionSlot, buffer: usize) -> io::Result<Self> {
        let mut retries = 0;
        let socket = loop {
            match TcpStream::connect(address).await {
                Err(error) if is_local(&error) && retries < MAX_CONNECT_RETRIES => {
                    sleep(CONNECT_RETRY_PAUSE).await
                }
                connected => break connected?,
            }
            retries += 1;
        };
        let stream = TrackedStream::to_server(socket, slot);
        let handshake = Builder::new().max_buf_size(buffer).handshake(HyperIo(stream.clone())).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let driver = spawn_local(async move {
            // The attempt itself shows how the connection ended.
            let _ = connection.await;
        });
        Ok(Self { sender, stream, reused: false, driver: driver.abort_handle() })
    }

    /// Sends a message and waits for its answer's head and its complete body of at most `most` bytes.
    pub async fn request_whole(
        &mut self,
        call: Request<Body>,
        max_bytes: usize,
    ) -> Result<(response::Parts, Bytes), ()> {
        let (head, body) = self.send(call).await?;
        Ok((head, message::read_whole(body, max_bytes).await?))
    }

    /// Sends a message and waits for its answer's head, and for its body as far as that is buffered whole.
    pub(super) async fn request_streaming(
        &mut self,
        mut call: Request<Body>,
        capacity: &Rc<Capacity>,
    ) -> Result<(response::Parts, AnswerStart), ()> {
        if let Either::Right(flow) = call.body_mut() {
            let stream = self.stream.clone();
            flow.on_end(move || stream.expect_final_chunk());
        }
        let (head, body) = self.send(call).await?;
        let body = AnswerStart::read(body, capacity).await.map_err(|_| ())?;
        Ok((head, body))
    }

    /// Sends a message and waits for its answer's head.
    pub async fn send(&mut self, call: Request<Body>) -> Result<(response::Parts, Incoming), ()> {
        self.stream.begin_message(hyper::body::Body::size_hint(call.body()).exact());
        Ok(self.sender.send_request(call).await.map_err(|_| ())?.into_parts())
    }

    /// Waits until the connection can carry the next message; false if it can't.
    pub async fn wait_until_free(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    /// Still open, and no unsolicited data has arrived.
    pub fn is_usable(&self) -> bool {
        self.sender.is_ready() && self.stream.is_quiet()
    }

    /// After a failed message: had the peer closed the reused connection, or sent unsolicited data on it, before
    /// the first byte was written? That says nothing about the peer, and another connection may do.
    pub fn was_stale(&self) -> bool {
        self.reused && self.stream.is_unwritten()
    }
}
