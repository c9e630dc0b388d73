//! One stream between two processes: a greeting each, then beats, echoes and frames. The other's life is known from its
//! greeting on, and a stream's end is never mistaken for that life's end: who asks again decides that (`links`).

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

/// Version of what goes over a stream.
const VERSION: u8 = 1;
/// Longest that a greeting may take: a stalled way must not hold a place for ever.
const GREETING: Duration = Duration::from_secs(2);
/// Longest that a write may take before the stream is given up: the other takes nothing.
const WRITE: Duration = Duration::from_secs(10);

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Greeting {
    version: u8,
    installation: String,
    pub name: String,
    pub life: u64,
}

impl Greeting {
    pub fn new(installation: &str, name: &str, life: u64) -> Self {
        Self { version: VERSION, installation: installation.into(), name: name.into(), life }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Word {
    Beat(u64),
    Echo(u64),
    Frame(Vec<u8>),
    /// Between voters, to a voter, and from one; in front a sum over who the voters are: of two installations' files that
    /// differ in it none may count the other's votes.
    Log(u32, Vec<u8>),
    Ask(u32, Vec<u8>),
    Told(u32, Vec<u8>),
}

pub(crate) struct Link {
    stream: Stream,
    pub other: Greeting,
}

impl Link {
    /// Greets and is greeted.
    ///
    /// # Errors
    /// Why there is no link: cut, too slow, or another installation or version.
    pub async fn greet(stream: TcpStream, own: &Greeting) -> Result<Self, String> {
        stream.set_nodelay(true).map_err(|error| error.to_string())?;
        let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES + 64).new_codec();
        let mut stream = Framed::new(stream, codec);
        let greeting = async {
            let bytes = postcard::to_stdvec(own).map_err(|error| error.to_string())?;
            stream.send(Bytes::from(bytes)).await.map_err(|error| error.to_string())?;
            let bytes = stream.next().await.ok_or("ended before its greeting")?;
            let bytes = bytes.map_err(|error| error.to_string())?;
            postcard::from_bytes::<Greeting>(&bytes).map_err(|_| "no greeting".to_string())
        };
        let other = timeout(GREETING, greeting).await.map_err(|_| "no greeting in time".to_string())??;
        if other.version != VERSION || other.installation != own.installation {
            return Err(format!("greets as {:?}, version {}", other.installation, other.version));
        }
        Ok(Self { stream, other })
    }

    /// Carries words both ways until the stream or the sender of words ends. Reading does not wait for writing: one that
    /// takes nothing may still have something to say.
    pub async fn run(self, words: Receiver<Word>, heard: &Sender<Event>) {
        let Self { stream, other } = self;
        let (sink, stream) = stream.split();
        tokio::select! {
            () = write(sink, words) => {}
            () = read(stream, &other, heard) => {}
        }
    }
}

/// What the driver hears of links.
pub(crate) enum Event {
    Heard {
        from: Greeting,
        word: Word,
    },
    /// A link that was kept is over.
    Down {
        other: Greeting,
    },
    /// Nothing listens any more where that life did: proof.
    Ended {
        name: String,
        life: u64,
    },
    /// That group of a voter's records is on disk, or why nothing is any more.
    Stored(Result<u64, String>),
}

type Stream = Framed<TcpStream, LengthDelimitedCodec>;

async fn write(mut sink: SplitSink<Stream, Bytes>, mut words: Receiver<Word>) {
    while let Some(word) = words.recv().await {
        let Ok(bytes) = postcard::to_stdvec(&word) else { return };
        if !matches!(timeout(WRITE, sink.send(Bytes::from(bytes))).await, Ok(Ok(()))) {
            return;
        }
    }
}

async fn read(mut stream: SplitStream<Stream>, other: &Greeting, heard: &Sender<Event>) {
    while let Some(Ok(bytes)) = stream.next().await {
        let Ok(word) = postcard::from_bytes::<Word>(&bytes) else { return };
        if heard.send(Event::Heard { from: other.clone(), word }).await.is_err() {
            return;
        }
    }
}
