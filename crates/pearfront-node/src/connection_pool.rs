//! Fourth stage: connections to servers, and the attempts on them. Nothing here sends an attempt twice: a connection
//! carries one attempt at a time, and whatever ends it is told as what it was.

mod attempt;
mod break_rates;
mod connection_end;
mod http_connection;

pub use attempt::Attempt;
pub use connection_end::ConnectionEnd;
pub use http_connection::{BUFFER_BYTES, HttpConnection};

use crate::capacity::Capacity;
use crate::clock::ms;
use crate::counters::Counters;
use crate::dial::Dialer;
use crate::logger::WarnLimiter;
use crate::runtime_settings::SharedSettings;
use break_rates::BreakRates;
use http_connection::{Idle, QUIET};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until, timeout};

/// Share of the time after which servers close idle connections for which ours are kept: they close by then.
const IDLE_PART: f64 = 0.8;
/// So many connections to a server may be resting at once; a node that needs more of them than that uses the one that has
/// been quiet longest.
const MOST_RESTING: usize = 8;
/// How long a connection may take to become free behind a whole answer: where its server takes no more of the request, or its side
/// does not end, it never does.
const LONGEST_SETTLING: Duration = Duration::from_secs(1);
/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_secs(1);

/// Connections to servers, the idle ones kept for the next attempt.
pub struct ConnectionPool {
    idle: RefCell<BTreeMap<SocketAddr, Vec<Idle>>>,
    break_rates: BreakRates,
    dialer: Dialer,
    settings: Rc<SharedSettings>,
    room: Rc<Capacity>,
    book: Rc<Counters>,
    crowded: WarnLimiter,
}

impl ConnectionPool {
    pub fn new(settings: Rc<SharedSettings>, room: Rc<Capacity>, book: Rc<Counters>) -> Rc<Self> {
        Rc::new(Self {
            idle: RefCell::default(),
            break_rates: BreakRates::default(),
            dialer: Dialer::default(),
            settings,
            room,
            book,
            crowded: WarnLimiter::default(),
        })
    }

    /// The idle connection to the server that was used last, of those that have been quiet for long enough and are still
    /// open.
    fn rested(&self, server: SocketAddr) -> Option<HttpConnection> {
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
    pub async fn link(&self, server: SocketAddr) -> Result<HttpConnection, ()> {
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
    async fn renewed_link(&self, server: SocketAddr) -> Result<HttpConnection, ()> {
        if let Some(links) = self.idle.borrow_mut().get_mut(&server)
            && !links.is_empty()
        {
            links.remove(0);
        }
        self.new_link(server).await
    }

    async fn new_link(&self, server: SocketAddr) -> Result<HttpConnection, ()> {
        self.wait_for_place().await;
        self.book.connections.add();
        let limit = ms(self.settings.current().node_settings.connect_timeout);
        let open = async || HttpConnection::open(server, self.room.take_slot()).await.map_err(drop);
        self.dialer.dial(limit, open, || self.room.has_slot()).await
    }

    /// Takes a connection back whose message has been answered whole. One that does not become free again is closed.
    pub fn keep_link(self: &Rc<Self>, server: SocketAddr, mut link: HttpConnection) {
        let pool = self.clone();
        spawn_local(async move {
            if timeout(LONGEST_SETTLING, link.settle()).await.unwrap_or(false) {
                let idle = Idle { link, since: Instant::now() };
                pool.idle.borrow_mut().entry(server).or_default().push(idle);
            }
        });
    }

    /// Is there a descriptor for one more connection?
    pub fn has_room(&self) -> bool {
        self.room.has_slot()
    }

    /// Closes the idle connections to a server that has gone or started anew.
    pub fn forget(&self, server: SocketAddr) {
        self.idle.borrow_mut().remove(&server);
    }

    /// Room for one more connection to a server; if need be idle ones are closed for it: servers' go first unless callers
    /// hold most.
    fn make_place(&self) -> bool {
        let crowding = || self.room.clients_hold_most() && self.room.evict_client();
        if self.room.has_slot() {
            return true;
        }
        // What is closed makes room where there may be one more, and no further one for whoever has all of its own.
        if crowding() || !self.close_one() {
            // Where callers crowd this is a second one: with one alone more of the servers' connections had to go.
            self.room.evict_client();
        }
        self.room.has_reserve_slot()
    }

    /// Room for one more caller, whose request may lie on its connection: for each that is let in beyond the ordinary most
    /// one goes that has none.
    pub fn make_room_for_client(&self) -> bool {
        if self.room.has_client_slot() {
            return true;
        }
        let close_server = || self.room.servers_exceed_share() && self.close_one();
        let _ =
            !self.room.clients_hold_most() && close_server() || self.room.evict_client() || close_server();
        self.room.has_reserve_client_slot()
    }

    /// Requests are let in only as far as there can be connections for them: one is free in a moment.
    async fn wait_for_place(&self) {
        let _waiting = self.room.register_waiter();
        while !self.make_place() {
            self.crowded.warn("an attempt waits for a descriptor");
            self.room.slot_may_be_free().await;
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
        idle.link.is_usable()
            && idle.since.elapsed() < ms(self.settings.current().node_settings.idle_timeout * IDLE_PART)
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
}

#[cfg(test)]
mod tests;
