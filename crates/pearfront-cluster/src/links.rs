//! All links of this process: who is dialled, what is kept, and what an end means. A link that ends is no proof: the way
//! may have been cut, or reset. So the other's address is asked again at once; only a kernel that refuses there, where a
//! link to that life once stood, or a greeting of another life, proves that it is over.

use crate::clock::Clock;
use crate::link::{Event, Greeting, Link, Word};
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

/// Links that are kept and streams that are greeted, together; further ones are closed at once.
pub(crate) const MOST: usize = 96;
/// Words that wait for one link; a stalled one must not hold memory without end.
const WAITING: usize = 64;
/// Longest wait for a connection.
const CONNECT: Duration = Duration::from_millis(1000);
/// Time without an echo, ms, after which a link counts as stalled, and after which it is given up and dialled anew.
const STALLED: f64 = 2000.0;
const GIVEN_UP: f64 = 10_000.0;
/// Pause before a dial that failed is tried again, ms.
const DIAL_AGAIN: f64 = 1000.0;
/// How often, and at what pause, the other is asked after a link's end, where no answer comes.
const ASKED: u32 = 4;
const ASK_AGAIN: Duration = Duration::from_millis(150);
/// Idle time, ms, after which a link that nobody needs is closed.
const IDLE: f64 = 5000.0;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

struct Open {
    name: String,
    link: u64,
    words: Sender<Word>,
    task: AbortHandle,
    beat: u64,
    beat_at: f64,
    echoed: f64,
    used: f64,
}

/// How a link is, for those who look.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Condition {
    None,
    Up,
    Stalled,
}

pub(crate) struct Links {
    own: Greeting,
    clock: Clock,
    events: Sender<Event>,
    /// By the life at the other end.
    open: RefCell<BTreeMap<u64, Open>>,
    /// Lives to which a link stood: a refusal there says something.
    linked: RefCell<BTreeMap<u64, f64>>,
    /// When a name may be dialled again.
    dialled: RefCell<BTreeMap<String, f64>>,
    streams: Cell<usize>,
    numbers: Cell<u64>,
    pub dropped: Cell<u64>,
}

/// What asking an address came to.
enum Asked {
    Link(Box<Link>),
    Refused,
    NoAnswer,
}

impl Links {
    pub fn new(own: Greeting, clock: Clock, events: Sender<Event>) -> Rc<Self> {
        Rc::new(Self {
            own,
            clock,
            events,
            open: RefCell::default(),
            linked: RefCell::default(),
            dialled: RefCell::default(),
            streams: Cell::new(0),
            numbers: Cell::new(0),
            dropped: Cell::new(0),
        })
    }

    pub fn condition(&self, life: u64) -> Condition {
        match self.open.borrow().get(&life) {
            None => Condition::None,
            Some(open) if self.clock.now() - open.echoed > STALLED => Condition::Stalled,
            Some(_) => Condition::Up,
        }
    }

    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if self.streams.get() < MOST => {
                    let links = self.clone();
                    spawn_local(async move { links.greeted(stream).await });
                }
                Ok(_) => self.dropped.set(self.dropped.get() + 1),
                Err(error) => {
                    log::warn!("cluster: accepting failed: {error}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn greeted(self: Rc<Self>, stream: TcpStream) {
        self.streams.set(self.streams.get() + 1);
        let greeted = Link::greet(stream, &self.own).await;
        self.streams.set(self.streams.get() - 1);
        if let Ok(link) = greeted {
            self.keep(link);
        }
    }

    /// Keeps a link, if none to that life is kept yet; one more is carried on until its dialler closes it.
    fn keep(self: &Rc<Self>, link: Link) {
        let (other, number) = (link.other.clone(), self.numbers.get() + 1);
        // A seed may name this process itself.
        if other.life == self.own.life {
            return;
        }
        self.numbers.set(number);
        let (words, queue) = mpsc::channel(WAITING);
        let links = self.clone();
        let of = other.clone();
        let task = spawn_local(async move {
            links.streams.set(links.streams.get() + 1);
            link.run(queue, &links.events).await;
            links.streams.set(links.streams.get() - 1);
            links.over(of, number).await;
        });
        let now = self.clock.now();
        let mut open = self.open.borrow_mut();
        let stands = open.get(&other.life).is_some_and(|open| now - open.echoed < STALLED);
        if !stands {
            self.linked.borrow_mut().insert(other.life, now);
            let (name, task) = (other.name, task.abort_handle());
            let new = Open { name, link: number, words, task, beat: 0, beat_at: now, echoed: now, used: now };
            open.insert(other.life, new);
        }
    }

    async fn over(&self, other: Greeting, link: u64) {
        let kept = self.open.borrow().get(&other.life).is_some_and(|open| open.link == link);
        if kept {
            self.open.borrow_mut().remove(&other.life);
            // The driver knows where that one is reached.
            let _ = self.events.send(Event::Down { other }).await;
        }
    }

    /// One frame to a life that is known, or to whoever is at that address.
    pub fn send_frame(self: &Rc<Self>, life: Option<u64>, address: SocketAddr, bytes: Vec<u8>) {
        if let Some(open) = life.and_then(|life| self.open.borrow().get(&life).map(|open| open.words.clone()))
        {
            if open.try_send(Word::Frame(bytes)).is_err() {
                self.dropped.set(self.dropped.get() + 1);
            }
            return;
        }
        let links = self.clone();
        spawn_local(async move {
            if let Asked::Link(link) = links.ask(address).await {
                let life = link.other.life;
                links.keep(*link);
                let words = links.open.borrow().get(&life).map(|open| open.words.clone());
                if let Some(words) = words {
                    let _ = words.send(Word::Frame(bytes)).await;
                }
            }
        });
    }

    /// One word to a life to which a link stands; without one it is lost, as it may be on any way.
    pub fn send(&self, life: u64, word: Word) {
        let mut all = self.open.borrow_mut();
        let sent = all.get_mut(&life).is_some_and(|open| {
            open.used = self.clock.now();
            open.words.try_send(word).is_ok()
        });
        if !sent {
            self.dropped.set(self.dropped.get() + 1);
        }
    }

    pub fn echo(&self, life: u64, number: u64) {
        if let Some(open) = self.open.borrow().get(&life) {
            let _ = open.words.try_send(Word::Echo(number));
        }
    }

    /// An echo came; the round trip, ms, if it was to the last beat.
    pub fn echoed(&self, life: u64, number: u64) -> Option<f64> {
        let now = self.clock.now();
        let mut all = self.open.borrow_mut();
        let open = all.get_mut(&life).filter(|open| open.beat == number)?;
        open.echoed = now;
        Some(now - open.beat_at)
    }

    pub fn used(&self, life: u64) {
        if let Some(open) = self.open.borrow_mut().get_mut(&life) {
            open.used = self.clock.now();
        }
    }

    /// Sends beats, gives up links that bring no echo, closes those that nobody needs, and dials those that are wanted:
    /// a name, its life and where it is reached.
    pub fn look(self: &Rc<Self>, wanted: &[(String, u64, SocketAddr)], partners: &[u64]) {
        let now = self.clock.now();
        let mut over = Vec::new();
        for (life, open) in self.open.borrow_mut().iter_mut() {
            let unneeded = !partners.contains(life) && now - open.used > IDLE;
            if unneeded || now - open.echoed > GIVEN_UP {
                over.push((*life, open.link));
                continue;
            }
            // A beat that is not echoed yet is not overtaken: its echo may be on its way.
            if open.echoed >= open.beat_at || now - open.beat_at > STALLED {
                open.beat += 1;
                open.beat_at = now;
                if open.words.try_send(Word::Beat(open.beat)).is_err() {
                    self.dropped.set(self.dropped.get() + 1);
                }
            }
        }
        for (life, _) in over {
            if let Some(open) = self.open.borrow_mut().remove(&life) {
                open.task.abort();
                self.streams.set(self.streams.get().saturating_sub(1));
                log::info!(
                    "cluster: event=link-closed name={} stalled={}",
                    open.name,
                    now - open.echoed > STALLED
                );
            }
        }
        self.linked.borrow_mut().retain(|life, since| now - *since < 3_600_000.0 || partners.contains(life));
        for (name, life, address) in wanted {
            let due = self.dialled.borrow().get(name).is_none_or(|again| now >= *again);
            if due && !self.open.borrow().contains_key(life) {
                self.dialled.borrow_mut().insert(name.clone(), now + DIAL_AGAIN);
                let (links, name, life, address) = (self.clone(), name.clone(), *life, *address);
                spawn_local(async move { links.dial(name, life, address).await });
            }
        }
    }

    async fn dial(self: Rc<Self>, name: String, life: u64, address: SocketAddr) {
        match self.ask(address).await {
            Asked::Link(link) => self.found(&name, life, *link).await,
            Asked::Refused => self.refused(name, life).await,
            Asked::NoAnswer => {}
        }
    }

    /// A link has ended: is that life over, or was it the way?
    pub async fn verify(self: Rc<Self>, name: String, life: u64, address: SocketAddr) {
        for _ in 0..ASKED {
            if self.open.borrow().contains_key(&life) {
                return;
            }
            match self.ask(address).await {
                Asked::Link(link) => return self.found(&name, life, *link).await,
                Asked::Refused => return self.refused(name, life).await,
                Asked::NoAnswer => sleep(ASK_AGAIN).await,
            }
        }
    }

    async fn found(self: &Rc<Self>, name: &str, life: u64, link: Link) {
        // The address is another's now: whoever had it is over.
        if link.other.name == name && link.other.life != life {
            self.refused(name.into(), life).await;
        }
        self.keep(link);
    }

    async fn refused(&self, name: String, life: u64) {
        if self.linked.borrow().contains_key(&life) {
            let _ = self.events.send(Event::Ended { name, life }).await;
        }
    }

    async fn ask(&self, address: SocketAddr) -> Asked {
        if self.streams.get() >= MOST {
            self.dropped.set(self.dropped.get() + 1);
            return Asked::NoAnswer;
        }
        self.streams.set(self.streams.get() + 1);
        let asked = match timeout(CONNECT, TcpStream::connect(address)).await {
            Ok(Ok(stream)) => Link::greet(stream, &self.own)
                .await
                .map_or(Asked::NoAnswer, |link| Asked::Link(Box::new(link))),
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Asked::Refused,
            _ => Asked::NoAnswer,
        };
        self.streams.set(self.streams.get() - 1);
        asked
    }
}
