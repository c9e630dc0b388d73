//! Fourth stage of the node: connections to servers, and the attempts on them. Nothing here sends an attempt
//! twice: a connection carries one attempt at a time, and the way it ended is reported as it was. Used by
//! `dispatcher` and `probe`.

mod answer_start;
mod attempt;
mod break_rates;
mod connection_end;
mod http_connection;
mod idle_connection;

pub use answer_start::AnswerStart;
pub use attempt::{Attempt, AttemptPermit};
pub use connection_end::ConnectionEnd;
pub use http_connection::HttpConnection;
pub use idle_connection::IdleConnection;

use crate::capacity::Capacity;
use crate::clock::ms;
use crate::counters::Counters;
use crate::dial::Dialer;
use crate::logger::WarnLimiter;
use crate::runtime_settings::SharedSettings;
use break_rates::BreakRates;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until, timeout};

/// Idle connections are kept for this share of the servers' idle time-out, so that the node closes them
/// first.
const IDLE_SHARE: f64 = 0.8;
/// With this many idle connections to one server, all still in their quiet period, an attempt waits for one of
/// them instead of opening one more.
const MAX_RESTING: usize = 8;
/// How long a connection may take to become free after a complete answer. If its server takes no more of the
/// request, or does not end its side, that would never happen.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(1);
/// How often idle connections are checked.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Connections to servers; idle ones are kept for the next attempts.
pub struct ConnectionPool {
    /// By server, in the order in which they became idle.
    idle: RefCell<BTreeMap<SocketAddr, Vec<IdleConnection>>>,
    break_rates: BreakRates,
    dialer: Dialer,
    settings: Rc<SharedSettings>,
    capacity: Rc<Capacity>,
    counters: Rc<Counters>,
    descriptor_log: WarnLimiter,
    unsolicited_log: WarnLimiter,
}

impl ConnectionPool {
    pub fn new(settings: Rc<SharedSettings>, capacity: Rc<Capacity>, counters: Rc<Counters>) -> Rc<Self> {
        Rc::new(Self {
            idle: RefCell::default(),
            break_rates: BreakRates::default(),
            dialer: Dialer::default(),
            settings,
            capacity,
            counters,
            descriptor_log: WarnLimiter::default(),
            unsolicited_log: WarnLimiter::default(),
        })
    }

    /// The most recently used idle connection to the server that has been quiet long enough and is still
    /// open.
    async fn take_rested(&self, server: SocketAddr) -> Option<HttpConnection> {
        loop {
            let idle = {
                let mut idle = self.idle.borrow_mut();
                let connections = idle.get_mut(&server)?;
                let rested = connections.iter().rposition(IdleConnection::has_rested)?;
                connections.remove(rested)
            };
            if let Some(connection) = self.reuse(server, idle).await {
                return Some(connection);
            }
        }
    }

    /// Reserves the idle connection to the server whose quiet period ends first, if no further one is to be
    /// opened: there are many, or a descriptor would have to be taken from another connection.
    fn reserve_resting(&self, server: SocketAddr) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&server)?;
        let opens_none = connections.len() >= MAX_RESTING || !self.has_room();
        (opens_none && !connections.is_empty()).then(|| connections.remove(0))
    }

    /// Waits until an idle connection has been quiet long enough; `None` if it can't be used.
    async fn reuse(&self, server: SocketAddr, idle: IdleConnection) -> Option<HttpConnection> {
        if self.is_expired(&idle) {
            return None;
        }
        let connection = idle.rested().await.map_err(|idle| self.count_unsolicited(server, &idle)).ok()?;
        self.counters.connections_reused.add();
        Some(connection)
    }

    /// When the next idle connection will have been quiet long enough.
    fn next_rest_ends_at(&self, server: SocketAddr) -> Option<Instant> {
        Some(self.idle.borrow().get(&server)?.first()?.rest_ends_at())
    }

    /// A connection to the server: an idle one, or a new one. If some are still in their quiet period, whichever
    /// is ready first is used, since a new connection may be established late; if many are, none is opened.
    pub async fn connection(&self, server: SocketAddr) -> Result<HttpConnection, ()> {
        loop {
            if let Some(connection) = self.take_rested(server).await {
                return Ok(connection);
            }
            let Some(resting) = self.reserve_resting(server) else { break };
            self.counters.connections_awaited.add();
            if let Some(connection) = self.reuse(server, resting).await {
                return Ok(connection);
            }
        }
        self.open_or_reuse(server).await
    }

    /// A new connection, or an idle one whose quiet period ends before that is established.
    async fn open_or_reuse(&self, server: SocketAddr) -> Result<HttpConnection, ()> {
        let mut new = pin!(self.open_connection(server));
        while let Some(at) = self.next_rest_ends_at(server) {
            tokio::select! {
                biased;
                connection = new.as_mut() => return connection,
                () = sleep_until(at) => {
                    if let Some(connection) = self.take_rested(server).await {
                        return Ok(connection);
                    }
                }
            }
        }
        new.await
    }

    /// A new connection in place of the one to this server that has been idle longest. Without closing that
    /// one, each such attempt would leave one more connection open, until the server accepts no more.
    async fn replace_oldest_connection(&self, server: SocketAddr) -> Result<HttpConnection, ()> {
        if let Some(connections) = self.idle.borrow_mut().get_mut(&server)
            && !connections.is_empty()
        {
            connections.remove(0);
        }
        self.open_connection(server).await
    }

    async fn open_connection(&self, server: SocketAddr) -> Result<HttpConnection, ()> {
        self.wait_for_descriptor().await;
        self.counters.connections.add();
        let limit = ms(self.settings.current().node_settings.connect_timeout);
        let buffer = self.capacity.read_buffer_bytes();
        let open =
            async || HttpConnection::open(server, self.capacity.take_slot(), buffer).await.map_err(drop);
        self.dialer.dial(limit, open, || self.capacity.has_slot()).await
    }

    /// Returns a connection to the pool after a complete answer; one that does not become free in time is
    /// closed.
    pub fn release(self: &Rc<Self>, server: SocketAddr, mut connection: HttpConnection) {
        let pool = self.clone();
        spawn_local(async move {
            if timeout(SETTLE_TIMEOUT, connection.wait_until_free()).await.unwrap_or(false) {
                pool.idle.borrow_mut().entry(server).or_default().push(IdleConnection::new(connection));
            }
        });
    }

    /// Is a descriptor free for one more connection?
    pub fn has_room(&self) -> bool {
        self.capacity.has_slot()
    }

    /// Closes the idle connections to a server that has gone or restarted.
    pub fn close_idle(&self, server: SocketAddr) {
        self.idle.borrow_mut().remove(&server);
    }

    /// Makes room for one more connection to a server, if need be by closing an idle one: a server's first,
    /// unless clients hold most connections.
    fn make_room(&self) -> bool {
        let close_spare_client = || self.capacity.clients_hold_most() && self.capacity.evict_client();
        if self.capacity.has_slot() {
            return true;
        }
        // Closing a connection frees a descriptor, but does not raise the number that servers or clients may
        // have.
        if close_spare_client() || !self.close_longest_idle() {
            // If clients hold most connections this closes a second one; with one alone, more of the servers'
            // connections would have to be closed.
            self.capacity.evict_client();
        }
        self.capacity.has_reserve_slot()
    }

    /// Makes room for one more client connection, on which a request may already be waiting: for each that is
    /// accepted beyond the ordinary limit, a connection without a request is closed.
    pub fn make_room_for_client(&self) -> bool {
        if self.capacity.has_client_slot() {
            return true;
        }
        let close_server = || self.capacity.servers_exceed_share() && self.close_longest_idle();
        let _ = !self.capacity.clients_hold_most() && close_server()
            || self.capacity.evict_client()
            || close_server();
        self.capacity.has_reserve_client_slot()
    }

    /// Requests are admitted only as far as connections for them are possible, so a descriptor becomes free
    /// soon.
    async fn wait_for_descriptor(&self) {
        let _waiting = self.capacity.register_waiter();
        while !self.make_room() {
            self.descriptor_log.warn("an attempt waits for a descriptor");
            self.capacity.slot_may_be_free().await;
        }
    }

    /// Closes the connection that has been idle longest; false if there is none.
    fn close_longest_idle(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let oldest = idle
            .values_mut()
            .filter(|connections| !connections.is_empty())
            .min_by_key(|connections| connections[0].since());
        oldest.map(|connections| connections.remove(0)).is_some()
    }

    /// Has it been idle for so long that the server will soon close it?
    fn is_expired(&self, idle: &IdleConnection) -> bool {
        idle.since().elapsed() >= ms(self.settings.current().node_settings.idle_timeout * IDLE_SHARE)
    }

    /// Counts an idle connection that is closed because its server sent data that nobody asked for.
    fn count_unsolicited(&self, server: SocketAddr, idle: &IdleConnection) {
        if idle.has_unsolicited_data() {
            self.counters.connections_unsolicited.add();
            self.unsolicited_log
                .warn(format_args!("connection to {server} closed: it sent data that nobody asked for"));
        }
    }

    /// Closes connections that were idle too long or were closed by their server, as long as the node runs.
    pub async fn close_expired(self: Rc<Self>) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL).await;
            self.idle.borrow_mut().retain(|server, connections| {
                connections.retain(|idle| self.is_kept(*server, idle));
                !connections.is_empty()
            });
        }
    }

    fn is_kept(&self, server: SocketAddr, idle: &IdleConnection) -> bool {
        if !idle.is_usable() {
            self.count_unsolicited(server, idle);
            return false;
        }
        !self.is_expired(idle)
    }
}

#[cfg(test)]
mod tests;
