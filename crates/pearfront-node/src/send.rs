//! Fourth stage: connections to servers and the attempts on them. Nothing here sends an attempt twice: a connection
//! carries one attempt at a time, and whatever ends it is told as what it was.

mod break_rates;
mod connection_end;
mod link;

pub use connection_end::ConnectionEnd;
pub use link::{BUFFER, Link};

use crate::admit::Room;
use crate::book::Book;
use crate::dial::Dialer;
use crate::flow::Start;
use crate::guard::Permit;
use crate::logger::Seldom;
use crate::message::{self, Reply};
use crate::route::ms;
use crate::terms::InForce;
use crate::wire::Wire;
use break_rates::BreakRates;
use http_body_util::Either;
use hyper::http::response;
use link::{Idle, QUIET};
use std::cell::{OnceCell, RefCell};
use std::collections::BTreeMap;
use std::future::pending;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

/// Share of the time after which servers close idle connections for which ours are kept: they close by then.
const IDLE_PART: f64 = 0.8;
/// So many connections to a server may be resting at once; a node that needs more of them than that uses the one that has
/// been quiet longest.
const MOST_RESTING: usize = 8;
/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_secs(1);

/// Connections to servers, the idle ones kept for the next attempt.
pub struct Senders {
    idle: RefCell<BTreeMap<SocketAddr, Vec<Idle>>>,
    break_rates: BreakRates,
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
            break_rates: BreakRates::default(),
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

    /// Room for one more connection to a server; if need be idle ones are closed for it.
    fn make_place(&self) -> bool {
        self.make(Room::has_place, Room::has_last_place)
    }

    /// The same for one more caller.
    pub fn make_caller_place(&self) -> bool {
        self.make(Room::has_caller_place, Room::has_last_caller_place)
    }

    /// Servers' idle connections go first unless callers hold most.
    fn make(&self, has_place: impl Fn(&Room) -> bool, has_last_place: impl Fn(&Room) -> bool) -> bool {
        let crowding = || self.room.callers_crowd() && self.room.close_idle();
        if has_place(&self.room) {
            return true;
        }
        // What is closed makes room where there may be one more, and no further one for whoever has all of its own.
        if crowding() || !self.close_one() {
            // Where callers crowd this is a second one: with one alone more of the servers' connections had to go.
            self.room.close_idle();
        }
        has_last_place(&self.room)
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
        let new = job.non_idempotent && self.break_rates.is_higher_when_kept();
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
        self.break_rates.record(link.kept, answer.is_err() && !link.wire.has_begun());
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
