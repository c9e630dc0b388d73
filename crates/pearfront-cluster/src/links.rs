//! All links of this process: dialling, keeping and closing them, and proof that a process has ended. Used by
//! `Cluster`.
//!
//! A link that breaks proves nothing, as the network may have failed. The address is therefore dialled again at
//! once. A process is known to have ended only if its kernel refuses the connection where a link to it once
//! stood, or if another run of it answers there.

use crate::clock::Clock;
use crate::link::{Event, Handshake, Link, LinkMessage};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{self, Sender};
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{sleep, timeout};

/// Most streams at a time, links and handshakes together; further ones are closed at once.
pub(crate) const MAX_STREAMS: usize = 96;
/// Messages queued per link; a stalled link must not use unbounded memory.
const MAX_QUEUED: usize = 64;
/// Time-out for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time without an acknowledged heartbeat, ms, after which a link counts as stalled, and after which it is
/// closed and dialled again.
const STALLED_MS: f64 = 2000.0;
const ABANDON_MS: f64 = 10_000.0;
/// Pause after a failed dial, ms.
const REDIAL_MS: f64 = 1000.0;
/// How often the address is dialled after a link has ended, and the pause between two tries without an answer.
const VERIFY_ATTEMPTS: u32 = 4;
const VERIFY_PAUSE: Duration = Duration::from_millis(150);
/// Idle time after which a link that is not needed is closed, ms.
const IDLE_MS: f64 = 5000.0;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A link in use.
struct OpenLink {
    name: String,
    number: u64,
    sender: Sender<LinkMessage>,
    task: AbortHandle,
    heartbeat: u64,
    heartbeat_at: f64,
    acked_at: f64,
    used_at: f64,
}

/// State of a link, for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LinkState {
    None,
    Up,
    Stalled,
}

/// All links of this process.
pub(crate) struct Links {
    handshake: Handshake,
    clock: Clock,
    events: Sender<Event>,
    /// By `life` of the process at the other end.
    open: RefCell<BTreeMap<u64, OpenLink>>,
    /// Processes, by `life`, to which there was a link, and since when. Only for these does a refused
    /// connection prove an end.
    linked_at: RefCell<BTreeMap<u64, f64>>,
    /// When each name may be dialled again.
    redial_at: RefCell<BTreeMap<String, f64>>,
    streams: Cell<usize>,
    last_number: Cell<u64>,
    pub dropped: Cell<u64>,
}

/// Result of dialling an address.
enum DialResult {
    Connected(Box<Link>),
    Refused,
    NoAnswer,
}

impl Links {
    pub fn new(handshake: Handshake, clock: Clock, events: Sender<Event>) -> Rc<Self> {
        Rc::new(Self {
            handshake,
            clock,
            events,
            open: RefCell::default(),
            linked_at: RefCell::default(),
            redial_at: RefCell::default(),
            streams: Cell::new(0),
            last_number: Cell::new(0),
            dropped: Cell::new(0),
        })
    }

    /// State of the link to that process.
    pub fn state(&self, life: u64) -> LinkState {
        match self.open.borrow().get(&life) {
            None => LinkState::None,
            Some(open) if self.clock.now() - open.acked_at > STALLED_MS => LinkState::Stalled,
            Some(_) => LinkState::Up,
        }
    }

    /// Accepts connections of other processes.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if self.streams.get() < MAX_STREAMS => {
                    let links = self.clone();
                    spawn_local(async move { links.accept_stream(stream).await });
                }
                Ok(_) => self.dropped.set(self.dropped.get() + 1),
                Err(error) => {
                    log::warn!("cluster: accepting failed: {error}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn accept_stream(self: Rc<Self>, stream: TcpStream) {
        self.streams.set(self.streams.get() + 1);
        let result = Link::handshake(stream, &self.handshake).await;
        self.streams.set(self.streams.get() - 1);
        if let Ok(link) = result {
            self.add(link);
        }
    }

    /// Adds a link unless there is one to that process already. A surplus link is served until its dialler
    /// closes it.
    fn add(self: &Rc<Self>, link: Link) {
        let (peer, number) = (link.peer.clone(), self.last_number.get() + 1);
        // A seed address may lead back to this process.
        if peer.life == self.handshake.life {
            return;
        }
        self.last_number.set(number);
        let (sender, queue) = mpsc::channel(MAX_QUEUED);
        let links = self.clone();
        let remote = peer.clone();
        let task = spawn_local(async move {
            links.streams.set(links.streams.get() + 1);
            link.run(queue, &links.events).await;
            links.streams.set(links.streams.get() - 1);
            links.on_link_end(remote, number).await;
        });
        let now = self.clock.now();
        let mut open = self.open.borrow_mut();
        let up = open.get(&peer.life).is_some_and(|open| now - open.acked_at < STALLED_MS);
        if !up {
            self.linked_at.borrow_mut().insert(peer.life, now);
            let (name, task) = (peer.name, task.abort_handle());
            let new = OpenLink {
                name,
                number,
                sender,
                task,
                heartbeat: 0,
                heartbeat_at: now,
                acked_at: now,
                used_at: now,
            };
            open.insert(peer.life, new);
        }
    }

    async fn on_link_end(&self, peer: Handshake, number: u64) {
        let kept = self.open.borrow().get(&peer.life).is_some_and(|open| open.number == number);
        if kept {
            self.open.borrow_mut().remove(&peer.life);
            // The receiver of the event knows the current address.
            let _ = self.events.send(Event::Down { peer }).await;
        }
    }

    /// Sends a frame on the link to that process, or else on a new link to the address.
    pub fn send_frame(self: &Rc<Self>, life: Option<u64>, address: SocketAddr, bytes: Vec<u8>) {
        if let Some(open) =
            life.and_then(|life| self.open.borrow().get(&life).map(|open| open.sender.clone()))
        {
            if open.try_send(LinkMessage::Membership(bytes)).is_err() {
                self.dropped.set(self.dropped.get() + 1);
            }
            return;
        }
        let links = self.clone();
        spawn_local(async move {
            if let DialResult::Connected(link) = links.connect(address).await {
                let life = link.peer.life;
                links.add(*link);
                let sender = links.open.borrow().get(&life).map(|open| open.sender.clone());
                if let Some(sender) = sender {
                    let _ = sender.send(LinkMessage::Membership(bytes)).await;
                }
            }
        });
    }

    /// Sends a message on an existing link. Without one it is lost, which every protocol above tolerates.
    pub fn send(&self, life: u64, message: LinkMessage) {
        let mut open_links = self.open.borrow_mut();
        let sent = open_links.get_mut(&life).is_some_and(|open| {
            open.used_at = self.clock.now();
            open.sender.try_send(message).is_ok()
        });
        if !sent {
            self.dropped.set(self.dropped.get() + 1);
        }
    }

    /// Acknowledges a heartbeat.
    pub fn acknowledge(&self, life: u64, number: u64) {
        if let Some(open) = self.open.borrow().get(&life) {
            let _ = open.sender.try_send(LinkMessage::HeartbeatAck(number));
        }
    }

    /// Handles an acknowledgement; returns the round-trip time, ms, if it belongs to the latest heartbeat.
    pub fn on_acknowledged(&self, life: u64, number: u64) -> Option<f64> {
        let now = self.clock.now();
        let mut open_links = self.open.borrow_mut();
        let open = open_links.get_mut(&life).filter(|open| open.heartbeat == number)?;
        open.acked_at = now;
        Some(now - open.heartbeat_at)
    }

    /// Records that a link is in use.
    pub fn mark_used(&self, life: u64) {
        if let Some(open) = self.open.borrow_mut().get_mut(&life) {
            open.used_at = self.clock.now();
        }
    }

    /// Sends heartbeats, closes links that are dead or not needed, and dials the wanted processes: name, `life`
    /// and address.
    pub fn maintain(self: &Rc<Self>, wanted: &[(String, u64, SocketAddr)], partners: &[u64]) {
        let now = self.clock.now();
        let mut closing = Vec::new();
        for (life, open) in self.open.borrow_mut().iter_mut() {
            let unneeded = !partners.contains(life) && now - open.used_at > IDLE_MS;
            if unneeded || now - open.acked_at > ABANDON_MS {
                closing.push((*life, open.number));
                continue;
            }
            // No new heartbeat while one is in flight, so that its acknowledgement still counts.
            if open.acked_at >= open.heartbeat_at || now - open.heartbeat_at > STALLED_MS {
                open.heartbeat += 1;
                open.heartbeat_at = now;
                if open.sender.try_send(LinkMessage::Heartbeat(open.heartbeat)).is_err() {
                    self.dropped.set(self.dropped.get() + 1);
                }
            }
        }
        for (life, _) in closing {
            if let Some(open) = self.open.borrow_mut().remove(&life) {
                open.task.abort();
                self.streams.set(self.streams.get().saturating_sub(1));
                log::info!(
                    "cluster: event=link-closed name={} stalled={}",
                    open.name,
                    now - open.acked_at > STALLED_MS
                );
            }
        }
        self.linked_at
            .borrow_mut()
            .retain(|life, since| now - *since < 3_600_000.0 || partners.contains(life));
        for (name, life, address) in wanted {
            let due = self.redial_at.borrow().get(name).is_none_or(|redial_at| now >= *redial_at);
            if due && !self.open.borrow().contains_key(life) {
                self.redial_at.borrow_mut().insert(name.clone(), now + REDIAL_MS);
                let (links, name, life, address) = (self.clone(), name.clone(), *life, *address);
                spawn_local(async move { links.dial(name, life, address).await });
            }
        }
    }

    async fn dial(self: Rc<Self>, name: String, life: u64, address: SocketAddr) {
        match self.connect(address).await {
            DialResult::Connected(link) => self.on_connected(&name, life, *link).await,
            DialResult::Refused => self.on_refused(name, life).await,
            DialResult::NoAnswer => {}
        }
    }

    /// After the end of a link: has the process ended, or did the network fail?
    pub async fn verify(self: Rc<Self>, name: String, life: u64, address: SocketAddr) {
        for _ in 0..VERIFY_ATTEMPTS {
            if self.open.borrow().contains_key(&life) {
                return;
            }
            match self.connect(address).await {
                DialResult::Connected(link) => return self.on_connected(&name, life, *link).await,
                DialResult::Refused => return self.on_refused(name, life).await,
                DialResult::NoAnswer => sleep(VERIFY_PAUSE).await,
            }
        }
    }

    async fn on_connected(self: &Rc<Self>, name: &str, life: u64, link: Link) {
        // Another run of the process answers at this address, so the earlier one has ended.
        if link.peer.name == name && link.peer.life != life {
            self.on_refused(name.into(), life).await;
        }
        self.add(link);
    }

    async fn on_refused(&self, name: String, life: u64) {
        if self.linked_at.borrow().contains_key(&life) {
            let _ = self.events.send(Event::Ended { name, life }).await;
        }
    }

    async fn connect(&self, address: SocketAddr) -> DialResult {
        if self.streams.get() >= MAX_STREAMS {
            self.dropped.set(self.dropped.get() + 1);
            return DialResult::NoAnswer;
        }
        self.streams.set(self.streams.get() + 1);
        let result = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => Link::handshake(stream, &self.handshake)
                .await
                .map_or(DialResult::NoAnswer, |link| DialResult::Connected(Box::new(link))),
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => DialResult::Refused,
            _ => DialResult::NoAnswer,
        };
        self.streams.set(self.streams.get() - 1);
        result
    }
}
