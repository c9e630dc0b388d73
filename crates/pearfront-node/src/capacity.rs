//! Second stage: is there room for a connection or a job? What finds none is rejected at once, before the
//! module hears of it: nothing was sent, so trying again is harmless.

use crate::client_connection::ClientConnection;
use crate::counters::Counters;
use crate::tracked_stream::TrackedStream;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// Descriptors kept for what is no caller, server or probe: standard streams, listener, poll, signals, discovery.
const FIXED_DESCRIPTORS: usize = 24;
/// Connections above the ordinary most that are still accepted, to reject their jobs at once; as a share of
/// all, and at most.
const RESERVE: (usize, usize) = (8, 64);
/// Connections that a job takes at the least: its caller's and a server's.
const CONNECTIONS_PER_REQUEST: usize = 2;
/// Part of the connections that callers leave to servers and probes, whatever they do: after a list that replaces many
/// servers new connections are needed at once.
const SERVERS_DIVISOR: usize = 4;
/// Connections that are left beside those of jobs and callers: a probe's, where answers are never read.
const PROBE_CONNECTIONS: usize = 1;
/// How often callers are looked through for that.
const SCAN_INTERVAL: Duration = Duration::from_millis(200);
/// How often whoever waits for a place looks whether some caller can go.
const EVICTION_INTERVAL: Duration = Duration::from_millis(5);
/// Share of the memory limit that bodies may take; the rest is for connections' buffers and answers.
const BODY_MEMORY_FRACTION: f64 = 0.3;
/// Part of the room left to bodies that are read ahead which one of them may have.
const READ_AHEAD_DIVISOR: usize = 4;
/// Least bytes a job counts for: its answer takes room as well.
const MIN_REQUEST_BYTES: usize = 4 * 1024;

/// What a process uses of the limits that all processes of a node share.
#[derive(Debug, Default, Clone, Copy)]
pub struct Usage {
    pub connections: usize,
    pub bytes: usize,
}

pub struct Capacity {
    /// The limits: descriptors that are left for connections, and bytes of memory.
    sockets: Cell<usize>,
    memory: Cell<usize>,
    /// What other processes of this node use.
    others: RefCell<Vec<Usage>>,
    max_open: Cell<usize>,
    reserve: Cell<usize>,
    open: Cell<usize>,
    /// Callers' ones among them.
    clients_open: Cell<usize>,
    max_bytes: Cell<usize>,
    bytes: Cell<usize>,
    /// Jobs taken in, or being read, and not answered.
    requests: Cell<usize>,
    /// Attempts that wait for a connection: callers stand back for them.
    waiters: Cell<usize>,
    freed: Notify,
    clients: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    next_number: Cell<u64>,
}

impl Capacity {
    pub fn new(sockets: usize, memory_mb: f64) -> Rc<Self> {
        let capacity = Self {
            sockets: Cell::new(0),
            memory: Cell::new(0),
            others: RefCell::default(),
            max_open: Cell::new(0),
            reserve: Cell::new(0),
            open: Cell::new(0),
            clients_open: Cell::new(0),
            max_bytes: Cell::new(0),
            bytes: Cell::new(0),
            requests: Cell::new(0),
            waiters: Cell::new(0),
            freed: Notify::new(),
            clients: RefCell::default(),
            next_number: Cell::new(0),
        };
        capacity.set_limits(sockets, memory_mb);
        Rc::new(capacity)
    }

    /// The limits from now on; what is over them already is not cut off.
    pub fn set_limits(&self, sockets: usize, memory_mb: f64) {
        self.sockets.set(sockets);
        self.memory.set((memory_mb * 1024.0 * 1024.0 * BODY_MEMORY_FRACTION) as usize);
        self.divide();
    }

    /// Other processes of this node use this much of the same limits.
    pub fn set_others(&self, others: &[Usage]) {
        others.clone_into(&mut self.others.borrow_mut());
        self.divide();
    }

    pub fn usage(&self) -> Usage {
        Usage { connections: self.open.get(), bytes: self.bytes.get() }
    }

    /// Each process has an equal part; what one has above it already is missing to the others.
    fn divide(&self) {
        let others = self.others.borrow();
        let part = |all: usize, used: usize| {
            let theirs = all / (others.len() + 1) * others.len();
            all.saturating_sub(used.max(theirs))
        };
        let reserved = FIXED_DESCRIPTORS * (others.len() + 1) + crate::admin::DESCRIPTORS * others.len();
        let reserve = (self.sockets.get() / RESERVE.0).min(RESERVE.1) / (others.len() + 1);
        let connections = self.sockets.get().saturating_sub(reserved + reserve * (others.len() + 1));
        let used = |what: fn(&Usage) -> usize| others.iter().map(what).sum();
        self.reserve.set(reserve);
        self.max_open.set(part(connections, used(|other| other.connections)).max(CONNECTIONS_PER_REQUEST));
        self.max_bytes.set(part(self.memory.get(), used(|other| other.bytes)));
    }

    /// Room for one more connection.
    pub fn has_slot(&self) -> bool {
        self.open.get() < self.max_open.get()
    }

    /// The same, if it is only to reject a job, or stands in for one that is being closed.
    pub fn has_reserve_slot(&self) -> bool {
        self.open.get() < self.max_open.get() + self.reserve.get()
    }

    pub fn take_slot(self: &Rc<Self>) -> ConnectionSlot {
        self.open.set(self.open.get() + 1);
        ConnectionSlot { capacity: Some(self.clone()), is_client: false }
    }

    pub fn take_client_slot(self: &Rc<Self>) -> ConnectionSlot {
        self.clients_open.set(self.clients_open.get() + 1);
        let mut slot = self.take_slot();
        slot.is_client = true;
        slot
    }

    /// Most callers beside the last resort: servers have a part of their own, and where they use more of it one is left.
    fn max_clients(&self) -> usize {
        let servers = self.open.get() - self.clients_open.get() + PROBE_CONNECTIONS;
        self.max_open.get().saturating_sub(servers.max(self.max_open.get() / SERVERS_DIVISOR))
    }

    /// Room for one more caller.
    pub fn has_client_slot(&self) -> bool {
        self.clients_open.get() < self.max_clients()
    }

    /// The same for one whose jobs are rejected, or who stands in for one that is being closed.
    pub fn has_reserve_client_slot(&self) -> bool {
        self.clients_open.get() < self.max_clients() + self.reserve.get()
    }

    pub fn has_waiters(&self) -> bool {
        self.waiters.get() > 0
    }

    /// An attempt waits for a connection, as long as this is kept.
    pub fn register_waiter(self: &Rc<Self>) -> Waiter {
        self.waiters.set(self.waiters.get() + 1);
        Waiter(self.clone())
    }

    /// Waits until some connection, or some wait for one, has ended, or a caller may have become one that can go: nothing
    /// rings for that.
    pub async fn slot_may_be_free(&self) {
        let _ = timeout(EVICTION_INTERVAL, self.freed.notified()).await;
    }

    /// Takes room for a job whose body has this length; none if bodies or connections would not fit.
    pub fn reserve_request(self: &Rc<Self>, body: usize) -> Option<RequestReservation> {
        let bytes = body.max(MIN_REQUEST_BYTES);
        let has_connections =
            (self.requests.get() + 1) * CONNECTIONS_PER_REQUEST + PROBE_CONNECTIONS <= self.max_open.get();
        (has_connections && self.bytes.get() + bytes <= self.max_bytes.get()).then(|| {
            self.requests.set(self.requests.get() + 1);
            RequestReservation(self.reserve_bytes(bytes))
        })
    }

    fn reserve_bytes(self: &Rc<Self>, bytes: usize) -> ReservedBytes {
        self.bytes.set(self.bytes.get() + bytes);
        ReservedBytes { capacity: self.clone(), bytes }
    }

    /// Takes room for more bytes of a body, of which so many have been read ahead of its server. Such bytes have half of all room,
    /// the rest is for requests that are still to come; and one body no more than a part of what is then left of that half, so
    /// that there is some for others.
    pub fn reserve_read_ahead(self: &Rc<Self>, held: usize, bytes: usize) -> Option<ReservedBytes> {
        let left = (self.max_bytes.get() / 2).checked_sub(self.bytes.get() + bytes)?;
        (held + bytes <= left / READ_AHEAD_DIVISOR).then(|| self.reserve_bytes(bytes))
    }

    pub fn open_requests(&self) -> usize {
        self.requests.get()
    }

    pub fn add_client(&self, stream: Rc<TrackedStream>) -> (u64, Rc<ClientConnection>) {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let client = Rc::new(ClientConnection::new(stream));
        self.clients.borrow_mut().insert(number, client.clone());
        (number, client)
    }

    pub fn remove_client(&self, number: u64) {
        self.clients.borrow_mut().remove(&number);
    }

    /// Do callers hold more than half of all connections? Those they keep idle then go before servers' idle ones.
    pub fn clients_hold_most(&self) -> bool {
        self.clients.borrow().len() * 2 > self.max_open.get()
    }

    /// Do servers' connections take of the places that callers could have?
    pub fn servers_exceed_share(&self) -> bool {
        let servers = self.open.get() - self.clients_open.get() + PROBE_CONNECTIONS;
        servers > self.max_open.get() / SERVERS_DIVISOR
    }

    /// Has a caller closed for another one: that which has had nothing on its connection for longest, and where all have
    /// something, that which has brought half a head and nothing since for longest. False if there is none.
    pub fn evict_client(&self) -> bool {
        let clients = self.clients.borrow();
        let mut evictable: Vec<_> = clients.values().filter(|client| client.may_be_evicted()).collect();
        evictable.sort_by_key(|client| client.eviction_order());
        if let Some(idle) = evictable.iter().find(|client| client.has_no_request()) {
            idle.request_close();
            return true;
        }
        let partial = evictable.into_iter().find(|client| client.has_partial_head());
        partial.inspect(|client| client.abort()).is_some()
    }

    /// Could a caller go that has nothing on its connection?
    pub fn has_idle_client(&self) -> bool {
        self.clients.borrow().values().any(|client| client.may_be_evicted() && client.has_no_request())
    }

    /// Has callers closed that have not brought a whole head for too long, as long as the node runs.
    pub async fn close_incomplete(self: Rc<Self>, counters: Rc<Counters>) {
        loop {
            sleep(SCAN_INTERVAL).await;
            self.clients.borrow().values().for_each(|client| client.abort_if_stalled());
            for client in self.clients.borrow().values().filter(|client| client.is_head_overdue()) {
                counters.cut_off.add();
                client.request_close();
            }
        }
    }

    /// Requests that were read and have no answer, of all callers.
    pub fn unanswered_requests(&self) -> usize {
        self.clients.borrow().values().map(|client| client.unanswered()).sum()
    }

    pub fn has_clients(&self) -> bool {
        !self.clients.borrow().is_empty()
    }

    /// No further requests are read: those that are here have their answers.
    pub fn stop_reading(&self) {
        self.clients.borrow().values().for_each(|client| client.stop_reading());
    }

    /// Has all callers closed that have been idle for so long.
    pub fn close_idle(&self, pause: Duration) {
        let clients = self.clients.borrow();
        let is_closable = |client: &&Rc<ClientConnection>| {
            client.can_be_closed() && client.idle_since.get().elapsed() >= pause
        };
        let idle = clients.values().filter(|client| is_closable(client) && !client.stream.has_unread());
        idle.for_each(|client| client.request_close());
    }
}

impl std::fmt::Display for Capacity {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "connections_open={} jobs_held={}", self.open.get(), self.requests.get())
    }
}

/// One open connection; gives its place back when dropped. One of the node's own is counted nowhere.
pub struct ConnectionSlot {
    capacity: Option<Rc<Capacity>>,
    is_client: bool,
}

impl ConnectionSlot {
    /// One of the node's own, one of `FIXED`: nobody else can take it, and it is counted nowhere.
    pub fn uncounted() -> Self {
        Self { capacity: None, is_client: false }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        if let Some(capacity) = &self.capacity {
            capacity.open.set(capacity.open.get() - 1);
            capacity.clients_open.set(capacity.clients_open.get() - usize::from(self.is_client));
            capacity.freed.notify_waiters();
        }
    }
}

pub struct Waiter(Rc<Capacity>);

impl Drop for Waiter {
    fn drop(&mut self) {
        self.0.waiters.set(self.0.waiters.get() - 1);
        self.0.freed.notify_waiters();
    }
}

/// One job's share of the room.
pub struct RequestReservation(ReservedBytes);

impl Drop for RequestReservation {
    fn drop(&mut self) {
        let requests = &self.0.capacity.requests;
        requests.set(requests.get() - 1);
    }
}

/// Bytes of bodies, as long as they take room.
pub struct ReservedBytes {
    capacity: Rc<Capacity>,
    bytes: usize,
}

impl Drop for ReservedBytes {
    fn drop(&mut self) {
        self.capacity.bytes.set(self.capacity.bytes.get() - self.bytes);
    }
}

#[cfg(test)]
mod tests;
