//! The exchange between two processes of one node during an upgrade: the last server list, the ids of open
//! requests, and the use of the shared limits. The serving process listens on a socket in `$TMPDIR`, and the
//! next process to start connects to it. If the messages can't be understood, each process carries on as if
//! it were alone.

use crate::capacity::{Capacity, Usage};
use crate::discovery::Discovery;
use crate::lifecycle::{Lifecycle, State};
use crate::logger::WarnLimiter;
use crate::system::retry_transient;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::path::PathBuf;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::unix::OwnedReadHalf;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::Notify;
use tokio::sync::mpsc::{self, Receiver, Sender};
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, timeout};

/// Version that both sides must share; any change of `PeerMessage` needs a new one.
const PROTOCOL_VERSION: u64 = 1;
/// How often each process reports its use of the limits.
const USAGE_INTERVAL: Duration = Duration::from_millis(50);
/// How long a new process waits for the first message of the other one, which may be busy.
const HELLO_TIMEOUT: Duration = Duration::from_millis(1500);
/// Most messages that may wait to be written; a peer that reads no more of them counts as gone.
const MAX_QUEUED_MESSAGES: usize = 4096;
/// Longest line, bytes: a list of thousands of servers.
const MAX_LINE_BYTES: u64 = 8 * 1024 * 1024;
/// A peer that is silent this long, though each sends a message every 50 ms, may be stalled: new connections
/// are not left to it.
const SILENCE_LIMIT: Duration = Duration::from_millis(300);
/// How long the ids of requests are refused that were open in a process that has gone: the longest deadline.
const DEPARTED_RETENTION: Duration = Duration::from_secs(3);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// A message between two processes of a node, one line of JSON each.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum PeerMessage {
    Hello {
        version: u64,
    },
    /// The full server list, in the format of the discovery protocol.
    List(Value),
    /// The process has reported to operators that it is ready.
    Ready,
    #[serde(rename = "uses")]
    Usage {
        connections: usize,
        bytes: usize,
    },
    /// A request with this id has become open there, or has ended.
    Open(String),
    #[serde(rename = "over")]
    Closed(String),
}

/// Another process of this node.
struct Peer {
    out: Sender<PeerMessage>,
    greeted: Cell<bool>,
    ready: Cell<bool>,
    /// Has it been silent for too long?
    silent: Cell<bool>,
    uses: Cell<Usage>,
    open_ids: RefCell<HashSet<String>>,
    /// Notified when it does not read its messages.
    overflowed: Notify,
}

impl Peer {
    fn send(&self, message: PeerMessage) {
        if self.out.try_send(message).is_err() {
            self.overflowed.notify_one();
        }
    }

    /// Waits until a stalled peer responds again or has ended. Until then it keeps its connections, and its
    /// requests may go on, so none of that counts as free.
    async fn wait_until_responsive(&self) {
        sleep(SILENCE_LIMIT + USAGE_INTERVAL).await;
        while self.silent.get() {
            sleep(USAGE_INTERVAL).await;
        }
    }
}

/// The other processes of this node, and what they share with this one.
pub struct Peers {
    peers: RefCell<Vec<Rc<Peer>>>,
    /// The ids of the requests that are open in this process, and of those that were open in processes that have gone since.
    open_ids: RefCell<HashSet<String>>,
    departed_ids: RefCell<Vec<Rc<HashSet<String>>>>,
    pub capacity: Rc<Capacity>,
    lifecycle: Rc<Lifecycle>,
    greeted: Notify,
    /// Notified when the last other process has gone.
    all_gone: Notify,
    accept_log: WarnLimiter,
}

impl Peers {
    pub fn new(capacity: Rc<Capacity>, lifecycle: Rc<Lifecycle>) -> Rc<Self> {
        let (peers, open_ids, greeted) = (RefCell::default(), RefCell::default(), Notify::new());
        Rc::new(Self {
            peers,
            open_ids,
            departed_ids: RefCell::default(),
            capacity,
            lifecycle,
            greeted,
            all_gone: Notify::new(),
            accept_log: WarnLimiter::default(),
        })
    }

    /// The path of the socket on which the processes of a node of this name meet; none without a folder that
    /// they share.
    pub fn socket_path(name: &str) -> Option<PathBuf> {
        let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
        let name: String = name.chars().filter(char::is_ascii_alphanumeric).collect();
        Some(PathBuf::from(folder).join(format!("pearfront-{name}.sock")))
    }

    /// Is a request with this id open, in this process or another one?
    pub fn has_open_request(&self, id: &str) -> bool {
        let in_peer = |peer: &Rc<Peer>| peer.open_ids.borrow().contains(id);
        self.open_ids.borrow().contains(id)
            || self.peers.borrow().iter().any(in_peer)
            || self.departed_ids.borrow().iter().any(|ids| ids.contains(id))
    }

    /// Records an open request and reports it to the peers.
    pub fn request_opened(&self, id: String) {
        self.broadcast(|| PeerMessage::Open(id.clone()));
        self.open_ids.borrow_mut().insert(id);
    }

    /// Records the end of a request and reports it to the peers.
    pub fn request_closed(&self, id: &str) {
        self.broadcast(|| PeerMessage::Closed(id.into()));
        self.open_ids.borrow_mut().remove(id);
    }

    /// Tells the peers that this process has reported to operators that it is ready.
    pub fn announce_ready(&self) {
        self.broadcast(|| PeerMessage::Ready);
    }

    fn broadcast(&self, message: impl Fn() -> PeerMessage) {
        self.peers.borrow().iter().for_each(|peer| peer.send(message()));
    }

    /// Connects to the process before this one and waits for its list. Returns whether there is one; one that
    /// ends meanwhile does not count.
    pub async fn connect(self: &Rc<Self>, socket_path: &PathBuf, discovery: &Rc<Discovery>) -> bool {
        match UnixStream::connect(socket_path).await {
            Err(error) => {
                log::info!("no other process of this node is running: {error}");
                false
            }
            Ok(stream) => {
                let ended = spawn_local(self.clone().exchange_messages(stream, discovery.clone()));
                tokio::select! {
                    biased;
                    greeted = timeout(HELLO_TIMEOUT, self.greeted.notified()) => {
                        if greeted.is_err() {
                            log::warn!("the other process of this node does not answer");
                        }
                        true
                    }
                    _ = ended => false,
                }
            }
        }
    }

    /// Waits until no other process of this node is known.
    pub async fn all_gone(&self) {
        while !self.peers.borrow().is_empty() {
            self.all_gone.notified().await;
        }
    }

    /// Accepts connections of the next processes of this node, as long as this one runs.
    pub async fn serve(self: Rc<Self>, socket_path: PathBuf, discovery: Rc<Discovery>) {
        // A socket at this path belongs to a process that this one follows, or to one that has gone.
        let _ = std::fs::remove_file(&socket_path);
        let listener = match retry_transient(|| UnixListener::bind(&socket_path)) {
            Ok(listener) => listener,
            Err(error) => {
                return log::warn!("the next process of this node can't connect to this one: {error}");
            }
        };
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    drop(spawn_local(self.clone().exchange_messages(stream, discovery.clone())))
                }
                Err(error) => {
                    self.accept_log
                        .warn(format_args!("accepting another process of this node failed: {error}"));
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn exchange_messages(self: Rc<Self>, stream: UnixStream, discovery: Rc<Discovery>) {
        let (read, mut write) = stream.into_split();
        let (out, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let peer = Rc::new(Peer {
            out,
            greeted: Cell::new(false),
            ready: Cell::new(false),
            silent: Cell::new(false),
            uses: Cell::default(),
            open_ids: RefCell::default(),
            overflowed: Notify::new(),
        });
        peer.send(PeerMessage::Hello { version: PROTOCOL_VERSION });
        peer.send(PeerMessage::List(discovery.as_json()));
        self.open_ids.borrow().iter().for_each(|id| peer.send(PeerMessage::Open(id.clone())));
        if self.lifecycle.is_ready() {
            peer.send(PeerMessage::Ready);
        }
        self.peers.borrow_mut().push(peer.clone());
        let writing = async {
            let (mut messages, mut tick) = (messages, interval(USAGE_INTERVAL));
            while let Some(message) = self.next_outgoing(&mut messages, &mut tick).await {
                let mut line = serde_json::to_string(&message).expect("messages can be encoded");
                line.push('\n');
                if write.write_all(line.as_bytes()).await.is_err() {
                    break;
                }
            }
            "writing to it failed".to_string()
        };
        let sending = async {
            tokio::select! {
                problem = writing => problem,
                () = peer.overflowed.notified() => {
                    peer.wait_until_responsive().await;
                    "it does not read its messages".to_string()
                }
            }
        };
        let problem = tokio::select! {
            problem = sending => problem,
            problem = self.receive(&peer, read, &discovery) => problem,
        };
        self.peers.borrow_mut().retain(|known| !Rc::ptr_eq(known, &peer));
        self.keep_departed_ids(peer.open_ids.take());
        self.update_shared_state();
        log::info!("the other process of this node is gone: {problem}");
        if self.peers.borrow().is_empty() {
            self.all_gone.notify_waiters();
        }
    }

    /// Servers may still run what a process had open that has gone: its ids are refused for a while.
    fn keep_departed_ids(self: &Rc<Self>, ids: HashSet<String>) {
        if ids.is_empty() {
            return;
        }
        let (peers, ids) = (self.clone(), Rc::new(ids));
        self.departed_ids.borrow_mut().push(ids.clone());
        spawn_local(async move {
            sleep(DEPARTED_RETENTION).await;
            peers.departed_ids.borrow_mut().retain(|kept| !Rc::ptr_eq(kept, &ids));
        });
    }

    async fn next_outgoing(
        &self,
        messages: &mut Receiver<PeerMessage>,
        tick: &mut tokio::time::Interval,
    ) -> Option<PeerMessage> {
        tokio::select! {
            biased;
            message = messages.recv() => message,
            _ = tick.tick() => {
                let Usage { connections, bytes } = self.capacity.usage();
                Some(PeerMessage::Usage { connections, bytes })
            }
        }
    }

    /// Processes the messages of a peer until it ends; returns why it ended.
    async fn receive(&self, peer: &Peer, read: OwnedReadHalf, discovery: &Rc<Discovery>) -> String {
        let mut reader = BufReader::new(read);
        loop {
            let mut line = Vec::new();
            let read = self
                .detect_silence(peer, (&mut reader).take(MAX_LINE_BYTES).read_until(b'\n', &mut line))
                .await;
            match read {
                Ok(0) => return "it has ended".into(),
                Ok(_) => {}
                Err(error) => return error.to_string(),
            }
            let message = serde_json::from_slice(&line).map_err(|error| error.to_string());
            if let Err(problem) = message.and_then(|message| self.handle_message(peer, message, discovery)) {
                return format!("invalid message: {problem}");
            }
        }
    }

    /// Waits for the peer's next message, and marks the peer as silent while none comes for too long.
    async fn detect_silence<T>(&self, peer: &Peer, message: impl Future<Output = T>) -> T {
        let mut message = pin!(message);
        if let Ok(message) = timeout(SILENCE_LIMIT, message.as_mut()).await {
            return message;
        }
        peer.silent.set(true);
        self.update_shared_state();
        let message = message.await;
        peer.silent.set(false);
        message
    }

    fn handle_message(
        &self,
        peer: &Peer,
        message: PeerMessage,
        discovery: &Rc<Discovery>,
    ) -> Result<(), String> {
        match message {
            PeerMessage::Hello { version: PROTOCOL_VERSION } => peer.greeted.set(true),
            PeerMessage::Hello { version } => {
                return Err(format!("version {version}, not {PROTOCOL_VERSION}"));
            }
            _ if !peer.greeted.get() => return Err("its first message was not hello".into()),
            // From then on each process has its own watch.
            PeerMessage::List(_) if self.lifecycle.state() != State::Starting => {}
            PeerMessage::List(list) => {
                discovery.apply_peer_list(&list)?;
                self.greeted.notify_waiters();
            }
            PeerMessage::Ready => peer.ready.set(true),
            PeerMessage::Usage { connections, bytes } => peer.uses.set(Usage { connections, bytes }),
            PeerMessage::Open(id) => drop(peer.open_ids.borrow_mut().insert(id)),
            PeerMessage::Closed(id) => drop(peer.open_ids.borrow_mut().remove(&id)),
        }
        self.update_shared_state();
        Ok(())
    }

    /// Passes the peers' use of the limits to `Room`, and to the lifecycle whether one of them can take over.
    fn update_shared_state(&self) {
        let peers = self.peers.borrow();
        let known: Vec<_> = peers.iter().filter(|peer| peer.greeted.get()).collect();
        self.capacity.set_others(&known.iter().map(|peer| peer.uses.get()).collect::<Vec<_>>());
        self.lifecycle.set_successor(known.iter().any(|peer| peer.ready.get() && !peer.silent.get()));
    }
}

#[cfg(test)]
mod tests;
