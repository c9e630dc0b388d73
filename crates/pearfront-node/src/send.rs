//! Fourth stage: connections to servers and the attempts on them. Nothing here sends an attempt twice: a connection
//! carries one attempt at a time, and whatever ends it is told as what it was.

use crate::admit::{Place, Room};
use crate::book::Book;
use crate::dial::Dialer;
use crate::flow::{self, MOST_WHOLE, Start};
use crate::guard::Permit;
use crate::logger::Seldom;
use crate::message::{self, Body, Reply};
use crate::route::ms;
use crate::system::is_local;
use crate::terms::InForce;
use crate::wire::{Socket, Wire};
use bytes::Bytes;
use http_body_util::Either;
use hyper::Request;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::http::response;
use pearfront::interface::Ending;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

/// Share of the time after which servers close idle connections for which ours are kept: they close by then.
const IDLE_PART: f64 = 0.8;
/// Weight of one attempt on a kept connection, or a new one, in the share of those that broke before any answer: some
/// fifty count.
const BROKE_WEIGHT: f64 = 0.02;
/// By how much more kept ones break from which on a non-idempotent job gets a new connection: one break counts for some
/// thirty attempts.
const KEPT_RISK: f64 = 0.01;
/// How long a kept connection has to have been quiet behind an answer: a server may send more some milliseconds late, and
/// on the next attempt that would be taken for its answer.
const QUIET: Duration = Duration::from_millis(10);
/// So many connections to a server may be resting at once; a node that needs more of them than that uses the one that has
/// been quiet longest.
const MOST_RESTING: usize = 8;
/// How often a connection that this machine could not begin is begun again, and the pause before that.
const MOST_TRIES: usize = 4;
const TRY_PAUSE: Duration = Duration::from_millis(5);
/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_secs(1);
/// Largest buffer of a connection, bytes: a head fits, and a body goes through in pieces.
pub const BUFFER: usize = 16 * 1024;

/// Every way in which an attempt's connection can end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// A whole answer, and the connection stands.
    Served,
    Error,
    /// The server says that it never ran the job.
    TurnedAway,
    /// The server says that nobody could use the job: no fault of its own, and the next one would say the same.
    TurnedDown,
    /// An answer that is none, or longer than allowed.
    Malformed,
    /// No connection came up: refused or silent.
    NeverUp,
    /// It broke before the job's last byte was written.
    BrokenBefore,
    /// It broke, or ended without a whole answer, after that.
    BrokenAfter,
    /// The node stopped waiting, before the last byte was written or after.
    TooLateBefore,
    TooLateAfter,
    /// The module called it off, before the last byte was written or after.
    CalledOffBefore,
    CalledOffAfter,
    /// Before anything was written the job was over, or its server drained or gone.
    NotSent,
    /// The first byte was to be written, and the job's caller had gone; the connection goes with it.
    CallerGone,
    /// The same, and the guard refused it by then.
    Withheld,
}

impl ConnectionEnd {
    /// The one place where the module's word for it is found.
    pub fn ending(self) -> Ending {
        match self {
            Self::Served => Ending::Served,
            Self::Error | Self::Malformed => Ending::Error,
            Self::TurnedAway => Ending::Full,
            Self::NeverUp | Self::BrokenBefore | Self::TooLateBefore => Ending::Unconnected,
            Self::BrokenAfter => Ending::Broken,
            Self::TooLateAfter => Ending::TimedOut,
            // Over without anything learned of the server.
            Self::CalledOffAfter | Self::TurnedDown => Ending::CalledOff,
            Self::CalledOffBefore | Self::NotSent | Self::CallerGone | Self::Withheld => Ending::NeverSent,
        }
    }

    /// Is it proof that the request never ran?
    pub fn never_ran(self) -> bool {
        matches!(self.ending(), Ending::Full | Ending::Unconnected | Ending::NeverSent)
    }

    /// Counted as what the module is told, but for what on-call staff look for by itself.
    pub fn count(self, book: &Book) {
        let count = match self.ending() {
            Ending::Error if self == Self::Malformed => &book.attempt_malformed,
            Ending::CalledOff if self == Self::TurnedDown => &book.attempt_turned_down,
            Ending::Served => &book.attempt_served,
            Ending::Error => &book.attempt_error,
            Ending::Full => &book.attempt_full,
            Ending::Unconnected => &book.attempt_unconnected,
            Ending::Broken => &book.attempt_broken,
            Ending::TimedOut => &book.attempt_timed_out,
            Ending::CalledOff => &book.attempt_called_off,
            Ending::NeverSent => &book.attempt_never_sent,
        };
        count.add();
    }
}

/// An open connection to a server; closed when dropped, whatever is still on it.
pub struct Link {
    sender: SendRequest<Body>,
    pub wire: Rc<Wire>,
    /// Has another message been on it before?
    kept: bool,
    served_by: AbortHandle,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.served_by.abort();
    }
}

impl Link {
    /// # Errors
    /// Where no connection comes up. One that this machine could not begin is begun again.
    pub async fn open(address: SocketAddr, place: Place) -> io::Result<Self> {
        let mut tries = 0;
        let stream = loop {
            match TcpStream::connect(address).await {
                Err(error) if is_local(&error) && tries < MOST_TRIES => sleep(TRY_PAUSE).await,
                connected => break connected?,
            }
            tries += 1;
        };
        let wire = Wire::to_server(stream, place);
        let handshake = Builder::new().max_buf_size(BUFFER).handshake(Socket(wire.clone())).await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let served_by = spawn_local(async move {
            // How it ended shows on the attempt itself.
            let _ = connection.await;
        });
        Ok(Self { sender, wire, kept: false, served_by: served_by.abort_handle() })
    }

    /// Sends a message and waits for its answer's head and whole body of at most so many bytes.
    pub async fn ask(&mut self, call: Request<Body>, most: usize) -> Result<(response::Parts, Bytes), ()> {
        let (head, body) = self.send(call).await?;
        Ok((head, message::whole_of(body, most).await?))
    }

    /// Sends a message and waits for its answer's head and as much of its body as is kept whole.
    async fn begin(&mut self, mut call: Request<Body>) -> Result<(response::Parts, Start), ()> {
        if let Either::Right(flow) = call.body_mut() {
            let wire = self.wire.clone();
            flow.at_end(move || wire.last_chunk());
        }
        let (head, body) = self.send(call).await?;
        // Said to be large, it flows from its first byte on.
        let least = hyper::body::Body::size_hint(&body).lower();
        let most = if least > MOST_WHOLE as u64 { 0 } else { MOST_WHOLE };
        let body = flow::start(body, most, flow::STALLED, true).await.map_err(|_| ())?;
        Ok((head, body))
    }

    /// Sends a message and waits for its answer's head.
    pub async fn send(&mut self, call: Request<Body>) -> Result<(response::Parts, Incoming), ()> {
        self.wire.expect(hyper::body::Body::size_hint(call.body()).exact());
        Ok(self.sender.send_request(call).await.map_err(|_| ())?.into_parts())
    }

    /// Ready for the next message, with nothing come in since the last.
    pub async fn settle(&mut self) -> bool {
        self.sender.ready().await.is_ok()
    }

    pub fn is_usable(&self) -> bool {
        self.sender.is_ready() && self.wire.is_quiet()
    }
}

struct Idle {
    link: Link,
    since: Instant,
}

impl Idle {
    fn is_quiet(&self) -> bool {
        self.since.elapsed() >= QUIET
    }
}

/// How often connections break under an attempt before any answer.
#[derive(Default)]
struct Wear {
    /// Share of recent attempts on kept connections, and of those on new ones: what breaks them alike is no fault of
    /// the keeping, and a new connection would be no safer.
    kept: Cell<f64>,
    new: Cell<f64>,
}

impl Wear {
    fn note(&self, kept: bool, broke: bool) {
        let share = if kept { &self.kept } else { &self.new };
        share.set(share.get() + BROKE_WEIGHT * (f64::from(u8::from(broke)) - share.get()));
    }

    fn is_of_keeping(&self) -> bool {
        self.kept.get() > KEPT_RISK + self.new.get()
    }
}

/// Connections to servers, the idle ones kept for the next attempt.
pub struct Senders {
    idle: RefCell<BTreeMap<SocketAddr, Vec<Idle>>>,
    wear: Wear,
    dialer: Dialer,
    terms: Rc<InForce>,
    room: Rc<Room>,
    book: Rc<Book>,
    crowded: Seldom,
}

impl Senders {
    pub fn new(terms: Rc<InForce>, room: Rc<Room>, book: Rc<Book>) -> Rc<Self> {
        Rc::new(Self {
            idle: RefCell::default(),
            wear: Wear::default(),
            dialer: Dialer::default(),
            terms,
            room,
            book,
            crowded: Seldom::default(),
        })
    }

    /// The idle connection to the server that was used last, of those that have been quiet for long enough and are still
    /// open.
    fn rested(&self, server: SocketAddr) -> Option<Link> {
        loop {
            let mut idle = {
                let mut idle = self.idle.borrow_mut();
                let links = idle.get_mut(&server)?;
                let rested = links.iter().rposition(Idle::is_quiet);
                let longest = (links.len() >= MOST_RESTING).then_some(0);
                links.remove(rested.or(longest)?)
            };
            if self.is_fresh(&idle) {
                self.book.connections_reused.add();
                idle.link.kept = true;
                return Some(idle.link);
            }
        }
    }

    /// When the next one will have been.
    fn next_rested(&self, server: SocketAddr) -> Option<Instant> {
        Some(self.idle.borrow().get(&server)?.first()?.since + QUIET)
    }

    /// A connection to the server: an idle one, or a new one. Where one is only resting it is what comes first: a new one
    /// may come up late.
    pub async fn link(&self, server: SocketAddr) -> Result<Link, ()> {
        if let Some(link) = self.rested(server) {
            return Ok(link);
        }
        let mut new = pin!(self.new_link(server));
        while let Some(at) = self.next_rested(server) {
            tokio::select! {
                biased;
                link = new.as_mut() => return link,
                () = sleep_until(at) => {
                    if let Some(link) = self.rested(server) {
                        return Ok(link);
                    }
                }
            }
        }
        new.await
    }

    /// A new connection in the place of the one to this server that has been idle longest: where none of those is used, one
    /// more would stay with each attempt, until the server takes no further ones.
    async fn renewed_link(&self, server: SocketAddr) -> Result<Link, ()> {
        if let Some(links) = self.idle.borrow_mut().get_mut(&server)
            && !links.is_empty()
        {
            links.remove(0);
        }
        self.new_link(server).await
    }

    async fn new_link(&self, server: SocketAddr) -> Result<Link, ()> {
        self.wait_for_place().await;
        self.book.connections.add();
        let limit = ms(self.terms.now().around.connect_timeout);
        let open = async || Link::open(server, self.room.place()).await.map_err(drop);
        self.dialer.dial(limit, open, || self.room.has_place()).await
    }

    /// Takes a connection back whose message has been answered whole.
    pub fn keep_link(self: &Rc<Self>, server: SocketAddr, mut link: Link) {
        let senders = self.clone();
        spawn_local(async move {
            if link.settle().await {
                let idle = Idle { link, since: Instant::now() };
                senders.idle.borrow_mut().entry(server).or_default().push(idle);
            }
        });
    }

    /// Is there a descriptor for one more connection?
    pub fn has_room(&self) -> bool {
        self.room.has_place()
    }

    /// Closes the idle connections to a server that has gone or started anew.
    pub fn forget(&self, server: SocketAddr) {
        self.idle.borrow_mut().remove(&server);
    }

    /// Room for one more connection to a server; if need be idle ones are closed for it: servers' go first unless callers
    /// hold most.
    fn make_place(&self) -> bool {
        let crowding = || self.room.callers_crowd() && self.room.close_spare();
        if self.room.has_place() {
            return true;
        }
        // What is closed makes room where there may be one more, and no further one for whoever has all of its own.
        if crowding() || !self.close_one() {
            // Where callers crowd this is a second one: with one alone more of the servers' connections had to go.
            self.room.close_spare();
        }
        self.room.has_last_place()
    }

    /// Room for one more caller, whose request may lie on its connection: for each that is let in beyond the ordinary most
    /// one goes that has none.
    pub fn make_caller_place(&self) -> bool {
        if self.room.has_caller_place() {
            return true;
        }
        let close_server = || self.room.servers_exceed_their_part() && self.close_one();
        let _ = !self.room.callers_crowd() && close_server() || self.room.close_spare() || close_server();
        self.room.has_last_caller_place()
    }

    /// Jobs are let in only as far as there can be connections for them: one is free in a moment.
    async fn wait_for_place(&self) {
        let _waiting = self.room.wait();
        while !self.make_place() {
            self.crowded.warn("an attempt waits for a descriptor");
            self.room.freed().await;
        }
    }

    /// Closes the connection that has been idle longest; false if there is none.
    fn close_one(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle.values_mut().filter(|links| !links.is_empty()).min_by_key(|links| links[0].since);
        oldest.map(|links| links.remove(0)).is_some()
    }

    /// Neither closed by its server nor idle for so long that it soon will be.
    fn is_fresh(&self, idle: &Idle) -> bool {
        idle.link.is_usable() && idle.since.elapsed() < ms(self.terms.now().around.conn_idle * IDLE_PART)
    }

    /// Closes what has been idle for long, or was closed by its server.
    pub async fn sweep(self: Rc<Self>) {
        loop {
            tokio::time::sleep(SWEEP).await;
            self.idle.borrow_mut().retain(|_, links| {
                links.retain(|idle| self.is_fresh(idle));
                !links.is_empty()
            });
        }
    }

    /// One attempt: how its connection ended, with the reply if the job was served. `over` ends it, and `closed`, the
    /// end of its job, as long as its last byte is not written: what no server can have begun is never an attempt to be
    /// called off, which some deployments don't allow. `permit` is the guard's, asked for once the connection stands.
    pub async fn attempt(
        self: &Rc<Self>,
        server: SocketAddr,
        job: &message::Job,
        over: impl Future<Output = ()>,
        closed: impl Future<Output = ()>,
        permit: impl Fn() -> Option<Rc<Permit>>,
        called_off: impl Future<Output = ()>,
    ) -> Attempt {
        let (mut link, wire) = (None, OnceCell::new());
        let written = || wire.get().is_some_and(|wire: &Rc<Wire>| wire.whole_written());
        let exchange = self.exchange(&mut link, &wire, server, job, permit);
        let closed_before = async {
            closed.await;
            if written() {
                pending().await
            }
        };
        let (before, after) = tokio::select! {
            biased;
            attempt = exchange => return self.finish(server, link, attempt),
            () = called_off => (ConnectionEnd::CalledOffBefore, ConnectionEnd::CalledOffAfter),
            () = over => (ConnectionEnd::TooLateBefore, ConnectionEnd::TooLateAfter),
            () = closed_before => (ConnectionEnd::CalledOffBefore, ConnectionEnd::CalledOffBefore),
        };
        Attempt::ended(if written() { after } else { before })
    }

    async fn exchange(
        &self,
        place: &mut Option<Link>,
        wire: &OnceCell<Rc<Wire>>,
        server: SocketAddr,
        job: &message::Job,
        permit: impl Fn() -> Option<Rc<Permit>>,
    ) -> Attempt {
        // A server may have closed a kept connection without our knowing yet. Where that happens, a job that could
        // not go again must not be what finds out.
        let new = job.non_idempotent && self.wear.is_of_keeping();
        let link = if new { self.renewed_link(server).await } else { self.link(server).await };
        let Ok(link) = link else { return Attempt::ended(ConnectionEnd::NeverUp) };
        // What was written on it before belongs to another message.
        link.wire.expect(Some(0));
        wire.get_or_init(|| link.wire.clone());
        let link = place.insert(link);
        let call = permit().and_then(|permit| Some((job.encode(permit.left)?, permit)));
        let Some((call, permit)) = call else {
            return Attempt::ended(ConnectionEnd::NotSent);
        };
        link.wire.write_with(permit.clone());
        let answer = link.begin(call).await;
        if link.wire.is_withheld() {
            let gone = permit.caller_has_left();
            return Attempt::ended(if gone { ConnectionEnd::CallerGone } else { ConnectionEnd::Withheld });
        }
        self.wear.note(link.kept, answer.is_err() && !link.wire.has_begun());
        match answer {
            Ok((head, body)) => self.read(head, body),
            Err(_) if !link.wire.whole_written() => Attempt::ended(ConnectionEnd::BrokenBefore),
            Err(_) => Attempt::ended(ConnectionEnd::BrokenAfter),
        }
    }

    fn read(&self, head: response::Parts, body: Start) -> Attempt {
        let report = message::decode_report_of(&head, &self.terms.now().around);
        let end = message::decode_end(&head);
        let is_whole = matches!(body, Start::Whole(_));
        let reply = (end == ConnectionEnd::Served).then(|| message::decode_reply(head, body));
        Attempt { end, reply, is_whole, report }
    }

    fn finish(self: &Rc<Self>, server: SocketAddr, link: Option<Link>, mut attempt: Attempt) -> Attempt {
        use ConnectionEnd::{Error, NotSent, Served, TurnedAway, TurnedDown};
        let Some(link) =
            link.filter(|_| matches!(attempt.end, Served | Error | TurnedAway | TurnedDown | NotSent))
        else {
            return attempt;
        };
        let senders = self.clone();
        match attempt.reply.as_mut().map(|reply| &mut reply.body) {
            // Its connection is free again once the last byte of the answer has been passed on.
            Some(Either::Right(flow)) => flow.at_end(move || senders.keep_link(server, link)),
            _ if attempt.is_whole && (attempt.end == NotSent || link.wire.whole_written()) => {
                senders.keep_link(server, link);
            }
            _ => {}
        }
        attempt
    }
}

/// How an attempt went.
pub struct Attempt {
    pub end: ConnectionEnd,
    pub reply: Option<Reply>,
    /// Its answer came to its end.
    is_whole: bool,
    /// The load report that came along, where the deployment has them in answers.
    pub report: Option<Result<Vec<f64>, String>>,
}

impl Attempt {
    fn ended(end: ConnectionEnd) -> Self {
        Self { end, reply: None, is_whole: true, report: None }
    }
}

#[cfg(test)]
mod tests;
