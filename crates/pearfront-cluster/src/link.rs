//! One TCP stream between two processes: a handshake each, then heartbeats, acknowledgements and messages. The
//! handshake tells which run of the process is at the other end. The end of a stream does not prove the end of
//! that process; `links` finds that out by dialling again.

use bytes::Bytes;
use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use pearfront_membership::MAX_FRAME_BYTES;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::{Receiver, Sender};
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Version of the protocol on a stream.
const VERSION: u8 = 1;
/// Time-out of the handshake; a stalled stream must not occupy a place for ever.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time-out of a write, after which the link is closed because the peer does not read.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// The first message on a stream, in both directions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Handshake {
    version: u8,
    installation: String,
    pub name: String,
    pub life: u64,
}

impl Handshake {
    pub fn new(installation: &str, name: &str, life: u64) -> Self {
        Self { version: VERSION, installation: installation.into(), name: name.into(), life }
    }
}

/// A message on a stream, after the handshake.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum LinkMessage {
    Heartbeat(u64),
    HeartbeatAck(u64),
    Membership(Vec<u8>),
    /// Between voters, to a voter, and from a voter. The checksum in front covers the names of the voters, so
    /// that processes configured with different voters don't count each other's votes.
    Consensus(u32, Vec<u8>),
    LeaseRequest(u32, Vec<u8>),
    LeaseResponse(u32, Vec<u8>),
}

/// A stream after its handshake.
pub(crate) struct Link {
    stream: Stream,
    pub peer: Handshake,
}

impl Link {
    /// Sends the handshake and waits for that of the peer.
    ///
    /// # Errors
    /// Why there is no link: it broke, timed out, or belongs to another installation or version.
    pub async fn handshake(stream: TcpStream, own: &Handshake) -> Result<Self, String> {
        stream.set_nodelay(true).map_err(|error| error.to_string())?;
        let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES + 64).new_codec();
        let mut stream = Framed::new(stream, codec);
        let exchange = async {
            let bytes = postcard::to_stdvec(own).map_err(|error| error.to_string())?;
            stream.send(Bytes::from(bytes)).await.map_err(|error| error.to_string())?;
            let bytes = stream.next().await.ok_or("connection ended before the handshake")?;
            let bytes = bytes.map_err(|error| error.to_string())?;
            postcard::from_bytes::<Handshake>(&bytes).map_err(|_| "invalid handshake".to_string())
        };
        let peer =
            timeout(HANDSHAKE_TIMEOUT, exchange).await.map_err(|_| "handshake timed out".to_string())??;
        if peer.version != VERSION || peer.installation != own.installation {
            return Err(format!(
                "handshake names installation {:?}, version {}",
                peer.installation, peer.version
            ));
        }
        Ok(Self { stream, peer })
    }

    /// Carries messages both ways until the stream or the queue ends. Reading does not wait for writing, since
    /// a peer that does not read may still send.
    pub async fn run(self, messages: Receiver<LinkMessage>, events: &Sender<Event>) {
        let Self { stream, peer } = self;
        let (sink, stream) = stream.split();
        tokio::select! {
            () = write(sink, messages) => {}
            () = read(stream, &peer, events) => {}
        }
    }
}

/// Events for `Cluster::run`.
pub(crate) enum Event {
    Received {
        from: Handshake,
        message: LinkMessage,
    },
    /// A link in use has ended.
    Down {
        peer: Handshake,
    },
    /// Proof that a process has ended: nothing listens where it did.
    Ended {
        name: String,
        life: u64,
    },
    /// A group of a voter's records is on disk, or the reason why the store has stopped.
    RecordsStored(Result<u64, String>),
}

type Stream = Framed<TcpStream, LengthDelimitedCodec>;

async fn write(mut sink: SplitSink<Stream, Bytes>, mut messages: Receiver<LinkMessage>) {
    while let Some(message) = messages.recv().await {
        let Ok(bytes) = postcard::to_stdvec(&message) else { return };
        if !matches!(timeout(WRITE_TIMEOUT, sink.send(Bytes::from(bytes))).await, Ok(Ok(()))) {
            return;
        }
    }
}

async fn read(mut stream: SplitStream<Stream>, peer: &Handshake, events: &Sender<Event>) {
    while let Some(Ok(bytes)) = stream.next().await {
        let Ok(message) = postcard::from_bytes::<LinkMessage>(&bytes) else { return };
        if events.send(Event::Received { from: peer.clone(), message }).await.is_err() {
            return;
        }
    }
}
