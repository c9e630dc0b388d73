//! A peer that sends an answer a second time if the next message on its connection comes while such a copy may still
//! be on its way. The order is forced: the copy lies in front of the answer to that message.

use super::{Message, REPEAT_WITHIN, fresh_address, listen};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

/// What the peer has done so far.
#[derive(Default)]
struct Counts {
    messages: AtomicUsize,
    copies: AtomicUsize,
}

/// A server or a discovery that repeats answers.
pub struct RepeatingPeer {
    pub address: SocketAddr,
    counts: Arc<Counts>,
}

impl RepeatingPeer {
    /// Starts a peer that answers each message with what `answer` returns for it.
    pub fn start(answer: impl Fn(&Message) -> Vec<u8> + Send + Sync + 'static) -> Self {
        let address = fresh_address();
        let counts = Arc::<Counts>::default();
        let shared = counts.clone();
        listen(address, move |stream| serve(stream, &answer, &shared));
        Self { address, counts }
    }

    /// Number of messages that it received.
    pub fn messages(&self) -> usize {
        self.counts.messages.load(Ordering::Relaxed)
    }

    /// Number of messages in front of whose answer it repeated an earlier one.
    pub fn copies(&self) -> usize {
        self.counts.copies.load(Ordering::Relaxed)
    }
}

fn serve(stream: TcpStream, answer: &impl Fn(&Message) -> Vec<u8>, counts: &Counts) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let mut writer = stream;
    let mut last_answer: Option<(Vec<u8>, Instant)> = None;
    while let Some(message) = Message::read(&mut reader) {
        counts.messages.fetch_add(1, Ordering::Relaxed);
        if let Some((copy, sent_at)) = last_answer.take()
            && sent_at.elapsed() < REPEAT_WITHIN
        {
            counts.copies.fetch_add(1, Ordering::Relaxed);
            let _ = writer.write_all(&copy);
        }
        let bytes = answer(&message);
        let sent_at = Instant::now();
        if writer.write_all(&bytes).is_err() {
            return;
        }
        last_answer = Some((bytes, sent_at));
    }
}
