//! The role of the relay between nodes and servers: each connection goes through it, so that attempts and answers are recorded
//! even if the node or the server is paused or killed. It also injects faults of the network.

use crate::answer_spec::MAX_BUFFERED_BYTES;
use crate::clock;
use crate::http::{Connection, Message, RemainingBody, Truncated};
use crate::record::{Record, Recorder, ReplyEnd};
use crate::role::{Order, Orders, RelayMode, RelayRole, listen};
use crate::server::MAX_PAUSE_MS;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// The relay in front of one server.
struct ServerRelay {
    number: usize,
    server: SocketAddrV4,
    relay_mode: Cell<RelayMode>,
    recorder: Recorder,
    rng: Rc<RefCell<ChaCha8Rng>>,
}

/// How long the relay waits for more of an answer after the node has closed the connection, ms: longer than any pause of a
/// server.
const MORE_WITHIN: Duration = Duration::from_millis(MAX_PAUSE_MS + 500);

/// How the forwarding of an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReplyOutcome {
    Complete,
    /// Complete, and ended by the end of the server's connection.
    CompleteAtClose,
    /// The node closed the connection, and the server sent no more of the answer.
    NodeClosed,
    /// The node closed the connection, and the server went on sending.
    NodeStoppedReading,
    /// The server's connection broke before the answer was complete.
    ServerClosed,
}

/// How far an answer has been forwarded.
struct ReplyProgress {
    /// Bytes of its content.
    content: usize,
    /// When the last bytes went to the node, ms.
    last: f64,
    /// When the node closed the connection, ms, if it did while the server was silent.
    ended: Option<f64>,
}

impl ReplyOutcome {
    fn reply_end(self) -> ReplyEnd {
        match self {
            Self::Complete | Self::CompleteAtClose => ReplyEnd::Complete,
            Self::NodeClosed => ReplyEnd::NodeClosed,
            Self::NodeStoppedReading => ReplyEnd::NodeStoppedReading,
            Self::ServerClosed => ReplyEnd::ServerClosed,
        }
    }
}

/// Relays connections to all servers until the orders end.
pub async fn run(recorder: Recorder, role: RelayRole, mut orders: Orders) -> Result<(), String> {
    let rng = Rc::new(RefCell::new(ChaCha8Rng::seed_from_u64(role.seed)));
    let mut relays = Vec::new();
    for (number, (address, server)) in role.servers.into_iter().enumerate() {
        let relay = Rc::new(ServerRelay {
            number,
            server,
            relay_mode: Cell::new(RelayMode::Forward),
            recorder: recorder.clone(),
            rng: rng.clone(),
        });
        spawn_local(relay.clone().accept(listen(address)?));
        relays.push(relay);
    }
    while let Some(order) = orders.next().await {
        if let Order::RelayMode { server, relay_mode } = order {
            relays[server].relay_mode.set(relay_mode);
        }
    }
    Ok(())
}

impl ServerRelay {
    async fn accept(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(self.clone().relay(Connection::new(stream)));
        }
    }

    /// Draws whether something with this probability, percent, happens.
    fn happens(&self, percent: u8) -> bool {
        self.rng.borrow_mut().random_range(0..100) < percent
    }

    async fn relay(self: Rc<Self>, mut node: Connection) {
        let Ok(stream) = TcpStream::connect(self.server).await else { return node.reset() };
        let mut server = Connection::new(stream);
        while let Some(head) = node.head().await {
            let id = head.header("x-trace-id").map(str::to_string);
            self.record_arrival(id.as_deref(), &head);
            if let RelayMode::Resets(percent) = self.relay_mode.get()
                && self.happens(percent)
            {
                return node.reset();
            }
            if !self.forward_request(id.as_deref(), &head, &mut node, &mut server).await {
                return;
            }
            if self.relay_mode.get() == RelayMode::Blackhole {
                // Nothing more comes through on this connection, until the node closes it.
                return node.closed().await;
            }
            match self.forward_answer(id.as_deref(), &mut node, &mut server).await {
                ReplyOutcome::Complete => {}
                ReplyOutcome::CompleteAtClose
                | ReplyOutcome::NodeClosed
                | ReplyOutcome::NodeStoppedReading => return,
                ReplyOutcome::ServerClosed => return node.reset(),
            }
            if let RelayMode::ClosesIdle(percent) = self.relay_mode.get()
                && self.happens(percent)
            {
                return;
            }
        }
    }

    /// Forwards a request as it comes; false if either side ended before it was complete.
    async fn forward_request(
        &self,
        id: Option<&str>,
        head: &Message,
        node: &mut Connection,
        server: &mut Connection,
    ) -> bool {
        let mut rest = RemainingBody::of_request(head);
        let mut bytes = head.bytes.clone();
        loop {
            // The request is complete with its last byte, whether or not the server reads that.
            if rest == RemainingBody::Done
                && let Some(id) = id
            {
                let whole = Record::RequestComplete { id: id.into(), server: self.number, at: clock::now() };
                self.recorder.write(&whole);
            }
            let written = tokio::select! {
                written = server.write(&bytes) => written.is_ok(),
                () = node.closed() => false,
            };
            if !written || rest == RemainingBody::Done {
                return written;
            }
            match self.relay_mode.get() {
                RelayMode::StopsReading => {
                    node.closed().await;
                    return false;
                }
                RelayMode::ReadsSlowly(ms) => tokio::select! {
                    () = sleep(Duration::from_millis(ms)) => {}
                    () = node.closed() => return false,
                },
                _ => {}
            }
            match node.piece(&mut rest).await {
                Ok(Some(piece)) => bytes = piece.raw,
                _ => return false,
            }
        }
    }

    async fn forward_answer(
        &self,
        id: Option<&str>,
        node: &mut Connection,
        server: &mut Connection,
    ) -> ReplyOutcome {
        let head = tokio::select! {
            head = self.answer_head(server) => head,
            () = node.closed() => return ReplyOutcome::NodeClosed,
        };
        let Some(head) = head else { return ReplyOutcome::ServerClosed };
        if let Some(id) = id {
            let never_ran = matches!(head.status(), 503 | 504) && head.header("x-never-ran") == Some("1");
            let (id, server) = (id.to_string(), self.number);
            self.recorder.write(&Record::Reply { id, server, at: clock::now(), never_ran });
        }
        let mut progress = ReplyProgress { content: 0, last: clock::now(), ended: None };
        let outcome = self.forward_body(&head, node, server, &mut progress).await;
        if let Some(id) = id
            && progress.content > MAX_BUFFERED_BYTES
        {
            let (id, server, end) = (id.to_string(), self.number, outcome.reply_end());
            let at = progress.ended.unwrap_or_else(clock::now);
            self.recorder.write(&Record::ReplyEnded { id, server, at, end, last: progress.last });
        }
        outcome
    }

    /// Forwards an answer as it comes.
    async fn forward_body(
        &self,
        head: &Message,
        node: &mut Connection,
        server: &mut Connection,
        progress: &mut ReplyProgress,
    ) -> ReplyOutcome {
        let mut rest = RemainingBody::of_answer(head);
        let mut bytes = head.bytes.clone();
        loop {
            if node.write(&bytes).await.is_err() {
                return ReplyOutcome::NodeStoppedReading;
            }
            progress.last = clock::now();
            let piece = tokio::select! {
                piece = server.piece(&mut rest) => piece,
                () = node.closed() => {
                    progress.ended = Some(clock::now());
                    return outcome_after_close(server, &mut rest).await;
                }
            };
            match piece {
                Ok(Some(piece)) => {
                    progress.content += piece.content;
                    bytes = piece.raw;
                }
                Ok(None) if RemainingBody::of_answer(head) == RemainingBody::UntilEnd => {
                    return ReplyOutcome::CompleteAtClose;
                }
                Ok(None) => return ReplyOutcome::Complete,
                Err(Truncated) => return ReplyOutcome::ServerClosed,
            }
            if self.relay_mode.get() == RelayMode::Blackhole {
                node.closed().await;
                return ReplyOutcome::NodeClosed;
            }
        }
    }

    /// The head of the server's answer, after the delay of this mode; `None` if the connection breaks.
    async fn answer_head(&self, server: &mut Connection) -> Option<Message> {
        let head = server.head().await?;
        match self.relay_mode.get() {
            RelayMode::Slow(ms) => sleep(Duration::from_millis(ms)).await,
            RelayMode::Blackhole => pending().await,
            _ => {}
        }
        Some(head)
    }

    fn record_arrival(&self, id: Option<&str>, message: &Message) {
        let (server, at) = (self.number, message.first_byte_at);
        let expires_in = message
            .header("x-expires-in")
            .and_then(|expires_in| expires_in.parse::<f64>().ok())
            .unwrap_or(0.0);
        self.recorder.write(&match id {
            Some(id) => Record::Attempt { id: id.into(), server, at, deadline_sent: expires_in * 1000.0 },
            None => Record::Probe { server, at },
        });
    }
}

/// The outcome of an answer whose node has closed the connection while the server was silent: whether that server was only
/// pausing is known once it sends more.
async fn outcome_after_close(server: &mut Connection, rest: &mut RemainingBody) -> ReplyOutcome {
    match timeout(MORE_WITHIN, server.piece(rest)).await {
        Ok(Ok(_)) => ReplyOutcome::NodeStoppedReading,
        Ok(Err(Truncated)) | Err(_) => ReplyOutcome::NodeClosed,
    }
}
