//! The way from nodes to servers: each connection goes through here, and what passes is written down, whoever of both stands
//! still or dies.

use crate::clock;
use crate::http::{Broken, Connection, Message, Rest};
use crate::record::{Record, Recorder, ReplyEnd};
use crate::role::{Order, Orders, RelayRole, Way, listen};
use crate::wish::KEPT_WHOLE;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The way to one server.
struct Passage {
    number: usize,
    server: SocketAddrV4,
    way: Cell<Way>,
    recorder: Recorder,
    chance: Rc<RefCell<ChaCha8Rng>>,
}

/// How an answer was passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Passed {
    Whole,
    /// The connection ends with it.
    WholeAtEnd,
    /// The node has ended the connection while nothing more came, or while it did not take what came.
    Left,
    Cut,
    /// The server's connection broke in its middle.
    ServerBroke,
}

impl Passed {
    fn reply_end(self) -> ReplyEnd {
        match self {
            Self::Whole | Self::WholeAtEnd => ReplyEnd::Whole,
            Self::Left => ReplyEnd::LeftByNode,
            Self::Cut => ReplyEnd::CutByNode,
            Self::ServerBroke => ReplyEnd::ServerBroke,
        }
    }
}

pub async fn play(recorder: Recorder, role: RelayRole, mut orders: Orders) -> Result<(), String> {
    let chance = Rc::new(RefCell::new(ChaCha8Rng::seed_from_u64(role.seed)));
    let mut passages = Vec::new();
    for (number, (address, server)) in role.servers.into_iter().enumerate() {
        let passage = Rc::new(Passage {
            number,
            server,
            way: Cell::new(Way::Open),
            recorder: recorder.clone(),
            chance: chance.clone(),
        });
        spawn_local(passage.clone().accept(listen(address)?));
        passages.push(passage);
    }
    while let Some(order) = orders.next().await {
        if let Order::Way { server, way } = order {
            passages[server].way.set(way);
        }
    }
    Ok(())
}

impl Passage {
    async fn accept(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(self.clone().relay(Connection::new(stream)));
        }
    }

    /// Does something of this share, in percent, happen now?
    fn happens(&self, percent: u8) -> bool {
        self.chance.borrow_mut().random_range(0..100) < percent
    }

    async fn relay(self: Rc<Self>, mut node: Connection) {
        let Ok(stream) = TcpStream::connect(self.server).await else { return node.reset() };
        let mut server = Connection::new(stream);
        while let Some(head) = node.head().await {
            let id = head.header("x-trace-id").map(str::to_string);
            self.note_first(id.as_deref(), &head);
            if let Way::Resets(percent) = self.way.get()
                && self.happens(percent)
            {
                return node.reset();
            }
            if !self.pass_request(id.as_deref(), &head, &mut node, &mut server).await {
                return;
            }
            if self.way.get() == Way::Vanished {
                // Nothing more comes through on this connection; the node gives it up.
                return node.closed().await;
            }
            match self.pass_answer(id.as_deref(), &mut node, &mut server).await {
                Passed::Whole => {}
                Passed::WholeAtEnd | Passed::Left | Passed::Cut => return,
                Passed::ServerBroke => return node.reset(),
            }
            if let Way::ClosesIdle(percent) = self.way.get()
                && self.happens(percent)
            {
                return;
            }
        }
    }

    /// Passes a request on as it comes; false if a side has ended before it was whole.
    async fn pass_request(
        &self,
        id: Option<&str>,
        head: &Message,
        node: &mut Connection,
        server: &mut Connection,
    ) -> bool {
        let mut rest = Rest::of_request(head);
        let mut bytes = head.bytes.clone();
        loop {
            // It has come with its last byte, whether or not its server takes that.
            if rest == Rest::Over
                && let Some(id) = id
            {
                let whole = Record::Whole { id: id.into(), server: self.number, at: clock::now() };
                self.recorder.write(&whole);
            }
            let written = tokio::select! {
                written = server.write(&bytes) => written.is_ok(),
                () = node.closed() => false,
            };
            if !written || rest == Rest::Over {
                return written;
            }
            match self.way.get() {
                Way::TakesNothing => {
                    node.closed().await;
                    return false;
                }
                Way::TakesSlowly(ms) => tokio::select! {
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

    async fn pass_answer(&self, id: Option<&str>, node: &mut Connection, server: &mut Connection) -> Passed {
        let head = tokio::select! {
            head = self.answer_head(server) => head,
            () = node.closed() => return Passed::Left,
        };
        let Some(head) = head else { return Passed::ServerBroke };
        if let Some(id) = id {
            let never_ran = matches!(head.status(), 503 | 504) && head.header("x-never-ran") == Some("1");
            let (id, server) = (id.to_string(), self.number);
            self.recorder.write(&Record::Reply { id, server, at: clock::now(), never_ran });
        }
        let (mut content, mut last) = (0, clock::now());
        let passed = self.pass_body(&head, node, server, &mut content, &mut last).await;
        if let Some(id) = id
            && content > KEPT_WHOLE
        {
            let (id, server, end) = (id.to_string(), self.number, passed.reply_end());
            self.recorder.write(&Record::ReplyEnded { id, server, at: clock::now(), end, last });
        }
        passed
    }

    /// Passes an answer on as it comes; so many bytes of it went to the node, the last ones then.
    async fn pass_body(
        &self,
        head: &Message,
        node: &mut Connection,
        server: &mut Connection,
        content: &mut usize,
        last: &mut f64,
    ) -> Passed {
        let mut rest = Rest::of_answer(head);
        let mut bytes = head.bytes.clone();
        loop {
            if node.write(&bytes).await.is_err() {
                return Passed::Cut;
            }
            *last = clock::now();
            let piece = tokio::select! {
                piece = server.piece(&mut rest) => piece,
                () = node.closed() => return Passed::Left,
            };
            match piece {
                Ok(Some(piece)) => {
                    *content += piece.content;
                    bytes = piece.raw;
                }
                Ok(None) if Rest::of_answer(head) == Rest::UntilEnd => return Passed::WholeAtEnd,
                Ok(None) => return Passed::Whole,
                Err(Broken) => return Passed::ServerBroke,
            }
            if self.way.get() == Way::Vanished {
                node.closed().await;
                return Passed::Left;
            }
        }
    }

    /// The head of the server's answer; nothing where the connection breaks.
    async fn answer_head(&self, server: &mut Connection) -> Option<Message> {
        let head = server.head().await?;
        match self.way.get() {
            Way::Slow(ms) => sleep(Duration::from_millis(ms)).await,
            Way::Vanished => pending().await,
            _ => {}
        }
        Some(head)
    }

    fn note_first(&self, id: Option<&str>, message: &Message) {
        let (server, at) = (self.number, message.first);
        let told = message.header("x-expires-in").and_then(|told| told.parse::<f64>().ok()).unwrap_or(0.0);
        self.recorder.write(&match id {
            Some(id) => Record::Attempt { id: id.into(), server, at, told: told * 1000.0 },
            None => Record::Probe { server, at },
        });
    }
}
