//! Watches discovery's list, and turns its ids and addresses into what the module knows servers by.

mod roster;

pub use roster::ServerLocation;

use crate::capacity::ConnectionSlot;
use crate::clock::Clock;
use crate::counters::Counters;
use crate::dispatcher::EventQueue;
use crate::handover::Peers;
use crate::lease::{Contact, Leases, MARGIN, Rules};
use crate::logger::Seldom;
use crate::message::{self, Line, List};
use crate::pulse::Pulse;
use crate::send::{Link, Senders};
use crate::terms::InForce;
use crate::wall_clock::{self, WallClock};
use crate::watch::{self, CallReport, Failure, Pauses, Service};
use pearfront::chance::Chance;
use pearfront::interface::{Address, Listing, Standing};
use pearfront_settings::At;
use roster::Roster;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Longest between an answer's head and its end: it has the list by then, and only has to write it.
const REST: Duration = Duration::from_secs(1);
/// Pauses behind failed calls, ms. Where lists are asked for, the first, and the longest as a share of the time for which
/// the settings let a node go by an old list.
const ASKED_FIRST: f64 = 1500.0;
const ASKED_PART: f64 = 0.75;
/// Where lists come by themselves, the first, and the longest as a share of the grace of drains: what the service has counts
/// as told all the while, also at its return.
const PUSHED_FIRST: f64 = 20.0;
const PUSHED_PART: f64 = 0.25;
/// A list that comes so long after the last one, ms, is told in the log: the calls between them were not well.
const LATE_LIST: f64 = 4000.0;
/// How long it is remembered when a server left, ms.
const KEPT_LEFT: f64 = 120_000.0;
/// Longest body of a list, bytes: thousands of servers.
const MOST_LIST: usize = 4 * 1024 * 1024;

/// The module's word for an address, which is the address itself.
pub fn token(address: SocketAddrV4) -> Address {
    let ([a, b, c, d], [high, low]) = (address.ip().octets(), address.port().to_be_bytes());
    [a, b, c, d, high, low]
}

/// The address that the module's word stands for.
pub fn address([a, b, c, d, high, low]: Address) -> SocketAddr {
    SocketAddr::new(Ipv4Addr::new(a, b, c, d).into(), u16::from_be_bytes([high, low]))
}

/// How changes count as told by the settings in force.
fn rules(terms: &InForce) -> Rules {
    let terms = terms.now();
    Rules { pushed: !terms.settings.listed_on_request, grace: terms.around.drain_grace }
}

/// A line in the module's terms; `start` gives its start in the node's time.
pub fn listing(line: &Line, start: impl Fn(f64) -> f64) -> Listing {
    Listing {
        server: token(line.address),
        standing: line.standing,
        cell: line.cell,
        zone: line.zone,
        make: line.make,
        size: line.size,
        started: line.started.map_or(f64::NEG_INFINITY, start),
    }
}

/// The other stages that discovery works with.
pub struct Parts {
    pub clock: Clock,
    pub terms: Rc<InForce>,
    pub senders: Rc<Senders>,
    pub book: Rc<Counters>,
    pub inbox: Rc<EventQueue>,
    pub peers: Rc<Peers>,
}

/// What discovery has told, and the calls that ask for it.
pub struct Discovery {
    service: Cell<SocketAddr>,
    /// Rung when the service has moved.
    moved: Notify,
    wall: WallClock,
    /// When a list was heard last.
    heard_at: Cell<Option<f64>>,
    terms: Rc<InForce>,
    inbox: Rc<EventQueue>,
    senders: Rc<Senders>,
    book: Rc<Counters>,
    /// Other processes of this node.
    pub peers: Rc<Peers>,
    roster: RefCell<Roster>,
    leases: Leases,
    /// Rung when a server has answered a probe well.
    word_given: Notify,
    /// When servers were told to drain or go, ms.
    left: RefCell<BTreeMap<SocketAddr, f64>>,
    clock: Clock,
    pulse: Rc<Pulse>,
    version: Cell<u64>,
    /// The watch's connection between its calls.
    link: RefCell<Option<Link>>,
    /// What spreads the watch's pauses, until it begins.
    chance: Cell<Option<Chance>>,
    /// Rung when a list has come from the service.
    heard: Notify,
    unread: Seldom,
    failing: Seldom,
}

impl Discovery {
    pub fn new(service: SocketAddr, parts: Parts) -> Rc<Self> {
        let Parts { clock, terms, senders, book, inbox, peers } = parts;
        let leases = Leases::default();
        leases.begin(rules(&terms), clock.now());
        Rc::new(Self {
            service: Cell::new(service),
            moved: Notify::new(),
            wall: WallClock::default(),
            heard_at: Cell::new(None),
            leases,
            word_given: Notify::new(),
            left: RefCell::default(),
            clock,
            pulse: clock.pulse(),
            terms,
            inbox,
            senders,
            book,
            peers,
            roster: RefCell::default(),
            version: Cell::new(0),
            link: RefCell::default(),
            chance: Cell::new(Some(Chance::default())),
            heard: Notify::new(),
            unread: Seldom::default(),
            failing: Seldom::default(),
        })
    }

    /// Does the list have the server as ready?
    pub fn is_ready(&self, server: SocketAddr) -> bool {
        self.roster.borrow().is_ready(server)
    }

    /// Until when the list may be gone by, ms on the node's clock.
    pub fn list_lease(&self) -> f64 {
        self.leases.of_list(self.rules())
    }

    /// Until when the server may be sent to, as long as the list has it as ready.
    pub fn lease(&self, server: SocketAddr) -> f64 {
        self.leases.of(self.rules(), server)
    }

    /// May the server be sent something new? The list has it as ready, and is young enough or the server has said so itself.
    pub fn may_send(&self, server: SocketAddr) -> bool {
        self.is_ready(server) && self.clock.now() <= self.lease(server)
    }

    /// Did the server have to be left alone by that time? Either it has left the ready ones for longer than the grace, or
    /// nothing says any more that it has not.
    pub fn is_overdue(&self, server: SocketAddr, now: f64) -> bool {
        let grace = self.terms.now().around.drain_grace;
        let left = self.left.borrow().get(&server).is_some_and(|at| now > at + grace);
        if self.is_ready(server) { now > self.lease(server) + MARGIN } else { left }
    }

    /// Where the server at this address stands.
    pub fn place_of(&self, server: SocketAddr) -> Option<ServerLocation> {
        self.roster.borrow().place_of(server)
    }

    /// The server answered a probe well that was begun at that time.
    pub fn confirmed(&self, server: SocketAddr, at: f64) {
        self.leases.confirmed(server, at);
        self.word_given.notify_one();
    }

    /// Waits until a server has answered a probe well.
    pub async fn word_given(&self) {
        self.word_given.notified().await;
    }

    /// How long a server may be sent to by its own word, ms.
    pub fn own_word_lasts(&self) -> f64 {
        self.leases.own_word_lasts(self.rules())
    }

    /// The servers that the list has as ready, in the module's terms.
    pub fn ready(&self) -> Vec<Listing> {
        self.roster.borrow().ready().map(|line| self.listing(line)).collect()
    }

    fn listing(&self, line: &Line) -> Listing {
        let (now, lacked) = (self.clock.now(), self.heard_at.get());
        listing(line, |unix| self.wall.start_of(&line.id, unix, now, lacked))
    }

    fn rules(&self) -> Rules {
        rules(&self.terms)
    }

    /// Hands a list to the module; `known` if it may be old.
    pub fn tell(&self, list: List, known: bool) {
        self.book.lists.add();
        self.version.set(list.version);
        for (_, problem) in &list.dropped {
            self.book.list_lines_dropped.add();
            self.unread.warn(format_args!("line of the list dropped: {problem}"));
        }
        let version = list.version;
        let (lines, stale) = self.roster.borrow_mut().update(list);
        let now = self.clock.now();
        let mut left = self.left.borrow_mut();
        left.retain(|_, at| now - *at < KEPT_LEFT);
        for line in &lines {
            if line.standing == Standing::Ready {
                left.remove(&line.address.into());
                continue;
            }
            left.entry(line.address.into()).or_insert(now);
            log::info!("server {} at {} is {:?}, version {version}", line.id, line.address, line.standing);
        }
        for server in stale {
            self.senders.forget(server);
            self.leases.forget(server);
        }
        self.wall.look(wall_clock::unix_now(), now);
        let lines: Vec<Listing> = lines.iter().map(|line| self.listing(line)).collect();
        if lines.iter().any(|line| line.standing == Standing::Gone) {
            self.wall.keep(|server| self.roster.borrow().lines.contains_key(server));
        }
        if !known {
            self.heard_at.set(Some(now));
            self.heard.notify_waiters();
        }
        self.inbox.push(move |balancer| {
            balancer.listed(false, known, lines.into_iter());
        });
    }

    /// The whole list as last told, in discovery's form.
    pub fn as_json(&self) -> Value {
        let (roster, terms) = (self.roster.borrow(), self.terms.now());
        message::encode_list(self.version.get(), roster.lines.values(), &terms.around)
    }

    /// Another process of this node has this list; what this one has been told since may be newer.
    pub fn told_by_other(&self, list: &Value) -> Result<(), String> {
        let list = message::decode_known(&At::top(list, "list"), &self.terms.now().around)?;
        if list.version > self.version.get() {
            self.tell(list, true);
        }
        Ok(())
    }

    /// Waits for the next list that the service gives.
    pub async fn heard(&self) {
        self.heard.notified().await;
    }

    /// The watch's pauses are spread by this chance, if it has not begun.
    pub fn spread_by(&self, chance: Chance) {
        if self.chance.take().is_some() {
            self.chance.set(Some(chance));
        }
    }

    /// Begins the watch, unless it is on: from then on it goes on by itself, whether lists come so or are asked for.
    pub fn watch(self: &Rc<Self>) {
        if let Some(chance) = self.chance.take() {
            let discovery = self.clone();
            spawn_local(async move { watch::keep(&*discovery, chance).await });
        }
    }

    /// The service answers elsewhere from now on. A watch that is on goes there with its next call; a pause after
    /// a failure was meant for the old address.
    pub fn move_to(self: &Rc<Self>, service: SocketAddr) {
        if self.service.replace(service) != service {
            self.leases.moved(self.clock.now());
            self.moved.notify_waiters();
            self.watch();
        }
    }

    /// What tells since when the process has been running.
    pub fn pulse(&self) -> Rc<Pulse> {
        self.pulse.clone()
    }

    /// Since when that can have come which is read now.
    fn read_since(&self) -> f64 {
        self.pulse.awake_since(self.clock.now())
    }

    /// The connection that the watch had, or a new one.
    async fn connection(&self, anew: bool) -> io::Result<Link> {
        match self.link.take().filter(|link| !anew && link.is_usable()) {
            Some(link) => Ok(link),
            None => Link::open(self.service.get(), ConnectionSlot::uncounted()).await,
        }
    }
}

impl Service for Discovery {
    async fn call(&self, anew: bool, hold: f64) -> Result<(), Failure> {
        let (service, from) = (self.service.get(), self.version.get());
        let shows = |contact| self.leases.renew(self.rules(), contact);
        let mut link = self.connection(anew).await.map_err(|error| {
            // Anything else may be this machine's fault.
            if error.kind() == io::ErrorKind::ConnectionRefused {
                shows(Contact::Unreachable { since: self.read_since() });
            }
            Failure::Refused(format!("no connection: {error}"))
        })?;
        let call = message::encode_watch(&service.to_string(), from, hold);
        let (head, body) = link.send(call).await.map_err(|()| {
            // It is down, or the call has waited too long.
            shows(Contact::Crowded { since: self.read_since() });
            Failure::Refused("connection broke".into())
        })?;
        let at = self.read_since();
        if head.status != hyper::StatusCode::OK {
            shows(Contact::Crowded { since: at });
            return Err(Failure::Refused(format!("answered {}", head.status)));
        }
        // Whatever becomes of the rest.
        let show_cut = || shows(Contact::Cut { at, until: self.clock.now() });
        let cut = |problem| {
            show_cut();
            Failure::Cut(problem)
        };
        show_cut();
        let body = timeout(REST, message::read_whole(body, MOST_LIST)).await;
        let body = body.map_err(|_| cut("a list that stalled".into()))?;
        let body = body.map_err(|()| cut("a list that broke off".into()))?;
        let list = message::decode_list(&body, &self.terms.now().around).map_err(cut)?;
        // What the old place tells is not all that a new one has.
        if service == self.service.get() {
            shows(Contact::Heard { at });
        }
        // Another process may have told of a later one meanwhile: what is older does not undo it.
        if list.version >= self.version.get() || self.version.get() == from {
            self.tell(list, false);
        }
        if link.settle().await {
            self.link.replace(Some(link));
        }
        Ok(())
    }

    async fn moved(&self) {
        self.moved.notified().await;
    }

    fn pauses(&self) -> Pauses {
        let terms = self.terms.now();
        if terms.settings.listed_on_request {
            Pauses { first: ASKED_FIRST, longest: terms.settings.ask_within * ASKED_PART }
        } else {
            Pauses {
                first: PUSHED_FIRST,
                longest: (terms.around.drain_grace * PUSHED_PART).max(PUSHED_FIRST),
            }
        }
    }

    fn called(&self, call: &CallReport) {
        let CallReport { anew, hold, took, since_heard, failure } = call;
        let way = if *anew { "new" } else { "kept" };
        let version = self.version.get();
        if matches!(failure, Some(Failure::Silent(_))) {
            self.leases.renew(self.rules(), Contact::GivenUp { at: self.clock.now() });
        }
        match failure {
            Some(problem) => log::info!(
                "discovery call failed: {problem}; {way} connection, held {hold:.0} ms, took {took:.0} ms, version {version}, \
                 last list {since_heard:.0} ms ago"
            ),
            None if *anew || *since_heard > LATE_LIST => log::info!(
                "discovery call answered: {way} connection, held {hold:.0} ms, took {took:.0} ms, version {version}, \
                 last list {since_heard:.0} ms before"
            ),
            None => {}
        }
    }

    fn failed(&self, problem: &Failure, again: bool) {
        if again {
            self.failing.warn(format_args!("list asked for again: {problem}"));
        } else {
            self.book.lists_failed.add();
            self.failing.warn(format_args!("watch on discovery ended: {problem}"));
        }
    }
}

#[cfg(test)]
mod tests;
