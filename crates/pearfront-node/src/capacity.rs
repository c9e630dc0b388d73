//! Admission by resources: limits connections, requests and memory. A request beyond
//! the limits is rejected before the decision module sees it: nothing was sent, so a retry is safe.

use crate::client_connection::ClientConnection;
use crate::counters::Counters;
use crate::memory::{MemoryAccount, MemoryPlan, Purpose, ReservedBytes, Sharing};
use crate::process_memory;
use crate::tracked_stream::TrackedStream;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

/// File descriptors reserved for everything but clients, servers and probes: standard streams,
/// listener, poll, signals, discovery.
const FIXED_DESCRIPTORS: usize = 24;
/// Connections accepted beyond the normal limit, so that their requests can be rejected at once:
/// fraction of all connections (as a
/// divisor), and maximum number.
const RESERVE: (usize, usize) = (8, 64);
/// Part of the connections, as a divisor, up to which requests are admitted whose bodies are still arriving.
const ARRIVING_DIVISOR: usize = 2;
/// Minimum number of connections per request: its client's and a server's.
const CONNECTIONS_PER_REQUEST: usize = 2;
/// Fraction (as a divisor) of the connections that is reserved for servers and probes whatever
/// clients do: after a list that replaces many servers, new connections are needed at once.
const SERVERS_DIVISOR: usize = 4;
/// Connections reserved besides those of requests and clients: one for a probe, even if answers are
/// never read.
const PROBE_CONNECTIONS: usize = 1;
/// Interval of the scan for incomplete and stalled client connections.
const SCAN_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which a task that waits for a slot checks whether a client can be evicted.
const EVICTION_INTERVAL: Duration = Duration::from_millis(5);
/// Interval at which a task that waits for memory checks whether there is some.
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// One body may use this fraction (as a divisor) of the memory left for read-ahead.
const READ_AHEAD_DIVISOR: usize = 4;
/// Bytes of a request beside its head and its body: what the node and the decision module know of it and of its attempts.
const REQUEST_BYTES: usize = 4 * 1024;
/// Bytes of an answer that is passed on while it arrives: what hyper has read of it and what it has yet to write.
const STREAMED_ANSWER_BYTES: usize = 32 * 1024;

/// What one process uses of the limits that all processes of a node share.
#[derive(Debug, Default, Clone, Copy)]
pub struct Usage {
    pub connections: usize,
    pub bytes: usize,
}

/// Limits and current usage of connections, requests and memory.
pub struct Capacity {
    /// Limits of all processes of the node: file descriptors available for connections, and bytes of memory.
    sockets: Cell<usize>,
    memory_limit: Cell<usize>,
    /// How this process's part of the memory is divided.
    plan: Cell<MemoryPlan>,
    account: MemoryAccount,
    /// Whether another process of this node may run beside this one, and whether it is known if one does.
    is_shared: bool,
    is_settled: Cell<bool>,
    /// Usage of the other processes of this node.
    others: RefCell<Vec<Usage>>,
    max_open: Cell<usize>,
    reserve: Cell<usize>,
    open: Cell<usize>,
    /// The open connections that belong to clients.
    clients_open: Cell<usize>,
    /// Requests admitted that are not answered yet.
    requests: Cell<usize>,
    /// Attempts that wait for a connection: clients are not admitted before them.
    waiters: Cell<usize>,
    freed: Notify,
    clients: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    next_number: Cell<u64>,
}

impl Capacity {
    /// With `is_shared`, another process of the node may run beside this one at any time.
    pub fn new(sockets: usize, memory_mb: f64, is_shared: bool) -> Rc<Self> {
        let capacity = Self {
            sockets: Cell::new(0),
            memory_limit: Cell::new(0),
            plan: Cell::default(),
            account: MemoryAccount::default(),
            is_shared,
            is_settled: Cell::new(false),
            others: RefCell::default(),
            max_open: Cell::new(0),
            reserve: Cell::new(0),
            open: Cell::new(0),
            clients_open: Cell::new(0),
            requests: Cell::new(0),
            waiters: Cell::new(0),
            freed: Notify::new(),
            clients: RefCell::default(),
            next_number: Cell::new(0),
        };
        capacity.set_limits(sockets, memory_mb);
        Rc::new(capacity)
    }

    /// Sets new limits; usage already beyond them is not cut.
    pub fn set_limits(&self, sockets: usize, memory_mb: f64) {
        self.sockets.set(sockets);
        self.memory_limit.set((memory_mb * 1024.0 * 1024.0) as usize);
        self.divide();
    }

    /// It is known now whether another process of this node runs.
    pub fn settle(&self) {
        self.is_settled.set(true);
        self.divide();
    }

    /// Sets the usage of the other processes of this node, which share the limits.
    pub fn set_others(&self, others: &[Usage]) {
        others.clone_into(&mut self.others.borrow_mut());
        self.divide();
    }

    /// What this process uses of the shared limits.
    pub fn usage(&self) -> Usage {
        let bytes = process_memory::resident_bytes().unwrap_or_else(process_memory::heap_bytes);
        Usage { connections: self.open.get(), bytes }
    }

    /// Gives each process an equal part; usage of another process beyond its part is subtracted
    /// from this one's.
    fn divide(&self) {
        let others = self.others.borrow();
        let processes = others.len();
        let used = |what: fn(&Usage) -> usize| others.iter().map(what).sum::<usize>();
        let reserved = FIXED_DESCRIPTORS * (processes + 1) + crate::admin::RESERVED_DESCRIPTORS * processes;
        let reserve = (self.sockets.get() / RESERVE.0).min(RESERVE.1) / (processes + 1);
        let connections = self.sockets.get().saturating_sub(reserved + reserve * (processes + 1));
        let theirs = used(|other| other.connections).max(connections / (processes + 1) * processes);
        let own = connections.saturating_sub(theirs);
        let sharing = match processes {
            _ if !self.is_shared => Sharing::Single,
            0 if self.is_settled.get() => Sharing::Alone,
            0 => Sharing::Starting,
            _ => Sharing::With { processes, bytes: used(|other| other.bytes) },
        };
        let plan = MemoryPlan::new(sharing.part_of(self.memory_limit.get()), own + reserve);
        let reserve = reserve.min(plan.max_connections() / RESERVE.0);
        self.plan.set(plan);
        self.reserve.set(reserve);
        let own = own.min(plan.max_connections().saturating_sub(reserve));
        self.max_open.set(own.max(CONNECTIONS_PER_REQUEST));
    }

    /// Whether one more connection may be opened.
    pub fn has_slot(&self) -> bool {
        self.open.get() < self.max_open.get() && self.has_memory_for_connection()
    }

    fn has_memory_for_connection(&self) -> bool {
        self.plan.get().has_room_for_connection(self.open.get(), self.account.bytes())
    }

    /// The same for a connection that only serves to reject a request, or replaces one that is
    /// being closed.
    pub fn has_reserve_slot(&self) -> bool {
        self.open.get() < self.max_open.get() + self.reserve.get() && self.has_memory_for_connection()
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

    /// Maximum number of clients without the reserve. Servers have a part of their own, and if they
    /// use more than that, one more is kept free for them.
    fn max_clients(&self) -> usize {
        let servers = self.open.get() - self.clients_open.get() + PROBE_CONNECTIONS;
        self.max_open.get().saturating_sub(servers.max(self.max_open.get() / SERVERS_DIVISOR))
    }

    /// Whether one more client may be admitted.
    pub fn has_client_slot(&self) -> bool {
        self.clients_open.get() < self.max_clients() && self.has_memory_for_connection()
    }

    /// The same for a client whose requests are rejected, or that replaces one that is being
    /// closed.
    pub fn has_reserve_client_slot(&self) -> bool {
        self.clients_open.get() < self.max_clients() + self.reserve.get() && self.has_memory_for_connection()
    }

    pub fn has_waiters(&self) -> bool {
        self.waiters.get() > 0
    }

    /// Registers an attempt that waits for a connection, until the returned guard is dropped.
    pub fn register_waiter(self: &Rc<Self>) -> Waiter {
        self.waiters.set(self.waiters.get() + 1);
        Waiter(self.clone())
    }

    /// Waits until a connection is closed or a waiter is done, or until a client may have become
    /// evictable, for which there is no notification.
    pub async fn slot_may_be_free(&self) {
        let _ = timeout(EVICTION_INTERVAL, self.freed.notified()).await;
    }

    /// Reserves memory for a request whose head takes `head` bytes, and for what is known of it.
    pub fn reserve_request(&self, head: usize) -> Option<ReservedBytes> {
        self.reserve(Purpose::Request, REQUEST_BYTES + head)
    }

    /// Reserves the connections for a request that goes to a server, for which `memory` is reserved; `None` if there are none.
    /// Requests whose bodies are still arriving may take only a part of them, as their clients may stop.
    pub fn admit(self: &Rc<Self>, memory: ReservedBytes, is_arriving: bool) -> Option<RequestReservation> {
        let most = self.max_open.get() / if is_arriving { ARRIVING_DIVISOR } else { 1 };
        let has_connections = (self.requests.get() + 1) * CONNECTIONS_PER_REQUEST + PROBE_CONNECTIONS <= most;
        has_connections.then(|| {
            self.requests.set(self.requests.get() + 1);
            RequestReservation { capacity: self.clone(), _memory: memory }
        })
    }

    /// Reserves memory, if there is some for this purpose.
    pub fn reserve(&self, purpose: Purpose, bytes: usize) -> Option<ReservedBytes> {
        let plan = self.plan.get();
        if !plan.heap_has_room(process_memory::heap_bytes(), bytes) {
            return None;
        }
        self.account.reserve(bytes, plan.max_bytes(purpose, self.open.get()))
    }

    /// Reserves memory for an answer that is passed on while it arrives.
    pub fn reserve_streamed_answer(&self) -> Option<ReservedBytes> {
        self.reserve(Purpose::StreamedAnswer, STREAMED_ANSWER_BYTES)
    }

    /// Bytes that are reserved.
    #[cfg(test)]
    pub fn reserved_bytes(&self) -> usize {
        self.account.bytes()
    }

    /// Waits until reserved memory is released, or until connections may have been closed, for which there is no notification.
    pub async fn memory_released(&self) {
        let _ = timeout(MEMORY_CHECK_INTERVAL, self.account.released()).await;
    }

    /// Size of the read buffer of a connection, bytes: the longest head.
    pub fn read_buffer_bytes(&self) -> usize {
        self.plan.get().read_buffer
    }

    /// Reserves memory for `bytes` more of a body of which `held` bytes have been read ahead of its
    /// server. One body may use only a fraction of what is left for read-ahead, so that others get some.
    pub fn reserve_read_ahead(&self, held: usize, bytes: usize) -> Option<ReservedBytes> {
        let most = self.plan.get().max_bytes(Purpose::RequestBody, self.open.get());
        let left = most.checked_sub(self.account.bytes() + bytes)?;
        if held + bytes > left / READ_AHEAD_DIVISOR {
            return None;
        }
        self.reserve(Purpose::RequestBody, bytes)
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

    /// Whether clients hold more than half of all connections. If so, their idle connections are
    /// closed before those to servers.
    pub fn clients_hold_most(&self) -> bool {
        self.clients.borrow().len() * 2 > self.max_open.get()
    }

    /// Whether connections to servers use slots that clients could have.
    pub fn servers_exceed_share(&self) -> bool {
        let servers = self.open.get() - self.clients_open.get() + PROBE_CONNECTIONS;
        servers > self.max_open.get() / SERVERS_DIVISOR
    }

    /// Closes a client connection in favour of another one: the one that has had no data for
    /// longest, or, if all have some, the one whose partial head has made no progress for longest.
    /// Returns false if there is none.
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

    /// Whether there is a client connection without data that may be evicted.
    pub fn has_idle_client(&self) -> bool {
        self.clients.borrow().values().any(|client| client.may_be_evicted() && client.has_no_request())
    }

    /// Closes client connections that have not sent a complete head for too long. Runs as long as
    /// the node.
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

    /// Number of requests of all clients that were read and have no answer.
    pub fn unanswered_requests(&self) -> usize {
        self.clients.borrow().values().map(|client| client.unanswered()).sum()
    }

    pub fn has_clients(&self) -> bool {
        !self.clients.borrow().is_empty()
    }

    /// Reads no further requests; those that have arrived get their answers.
    pub fn stop_reading(&self) {
        self.clients.borrow().values().for_each(|client| client.stop_reading());
    }

    /// Whether a client is receiving an answer that it has not taken completely.
    pub fn has_answers_under_way(&self) -> bool {
        self.clients.borrow().values().any(|client| client.is_receiving_answer())
    }

    /// Closes all client connections that have been idle for `pause`.
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
        write!(f, "connections_open={} jobs_held={}", self.open.get(), self.requests.get())?;
        write!(f, " memory_reserved={}", self.account.bytes())
    }
}

/// One open connection; releases its slot when dropped.
pub struct ConnectionSlot {
    capacity: Option<Rc<Capacity>>,
    is_client: bool,
}

impl ConnectionSlot {
    /// A connection of the node itself, one of `FIXED_DESCRIPTORS`: no other use can take it, and
    /// it is not counted.
    pub fn uncounted() -> Self {
        Self { capacity: None, is_client: false }
    }

    /// Reserves memory for what belongs to the connection.
    pub fn reserve(&self, purpose: Purpose, bytes: usize) -> Option<ReservedBytes> {
        self.capacity.as_ref()?.reserve(purpose, bytes)
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

/// An attempt that waits for a connection, until dropped.
pub struct Waiter(Rc<Capacity>);

impl Drop for Waiter {
    fn drop(&mut self) {
        self.0.waiters.set(self.0.waiters.get() - 1);
        self.0.freed.notify_waiters();
    }
}

/// Resources reserved for one request.
pub struct RequestReservation {
    capacity: Rc<Capacity>,
    _memory: ReservedBytes,
}

impl Drop for RequestReservation {
    fn drop(&mut self) {
        let requests = &self.capacity.requests;
        requests.set(requests.get() - 1);
    }
}

#[cfg(test)]
mod tests;
