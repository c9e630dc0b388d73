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
const FIXED: usize = 24;
/// Connections above the ordinary most that are still accepted, to reject their jobs at once; as a share of
/// all, and at most.
const LAST_RESORT: (usize, usize) = (8, 64);
/// Connections that a job takes at the least: its caller's and a server's.
const CONNECTIONS: usize = 2;
/// Part of the connections that callers leave to servers and probes, whatever they do: after a list that replaces many
/// servers new connections are needed at once.
const SERVERS_PART: usize = 4;
/// Connections that are left beside those of jobs and callers: a probe's, where answers are never read.
const PROBES: usize = 1;
/// How often callers are looked through for that.
const LOOK: Duration = Duration::from_millis(200);
/// How often whoever waits for a place looks whether some caller can go.
const LOOK_FOR_SPARE: Duration = Duration::from_millis(5);
/// Share of the memory limit that bodies may take; the rest is for connections' buffers and answers.
const BODIES: f64 = 0.3;
/// Part of the room left to bodies that are read ahead which one of them may have.
const READ_AHEAD_PART: usize = 4;
/// Least bytes a job counts for: its answer takes room as well.
const LEAST_BODY: usize = 4 * 1024;

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
    most_open: Cell<usize>,
    last_resort: Cell<usize>,
    open: Cell<usize>,
    /// Callers' ones among them.
    callers_open: Cell<usize>,
    most_bytes: Cell<usize>,
    bytes: Cell<usize>,
    /// Jobs taken in, or being read, and not answered.
    jobs: Cell<usize>,
    /// Attempts that wait for a connection: callers stand back for them.
    waiting: Cell<usize>,
    freed: Notify,
    callers: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    numbered: Cell<u64>,
}

impl Capacity {
    pub fn new(sockets: usize, memory_mb: f64) -> Rc<Self> {
        let room = Self {
            sockets: Cell::new(0),
            memory: Cell::new(0),
            others: RefCell::default(),
            most_open: Cell::new(0),
            last_resort: Cell::new(0),
            open: Cell::new(0),
            callers_open: Cell::new(0),
            most_bytes: Cell::new(0),
            bytes: Cell::new(0),
            jobs: Cell::new(0),
            waiting: Cell::new(0),
            freed: Notify::new(),
            callers: RefCell::default(),
            numbered: Cell::new(0),
        };
        room.set_limits(sockets, memory_mb);
        Rc::new(room)
    }

    /// The limits from now on; what is over them already is not cut off.
    pub fn set_limits(&self, sockets: usize, memory_mb: f64) {
        self.sockets.set(sockets);
        self.memory.set((memory_mb * 1024.0 * 1024.0 * BODIES) as usize);
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
        let kept = FIXED * (others.len() + 1) + crate::admin::RESERVED_DESCRIPTORS * others.len();
        let last_resort = (self.sockets.get() / LAST_RESORT.0).min(LAST_RESORT.1) / (others.len() + 1);
        let connections = self.sockets.get().saturating_sub(kept + last_resort * (others.len() + 1));
        let used = |what: fn(&Usage) -> usize| others.iter().map(what).sum();
        self.last_resort.set(last_resort);
        self.most_open.set(part(connections, used(|other| other.connections)).max(CONNECTIONS));
        self.most_bytes.set(part(self.memory.get(), used(|other| other.bytes)));
    }

    /// Room for one more connection.
    pub fn has_slot(&self) -> bool {
        self.open.get() < self.most_open.get()
    }

    /// The same, if it is only to reject a job, or stands in for one that is being closed.
    pub fn has_reserve_slot(&self) -> bool {
        self.open.get() < self.most_open.get() + self.last_resort.get()
    }

    pub fn take_slot(self: &Rc<Self>) -> ConnectionSlot {
        self.open.set(self.open.get() + 1);
        ConnectionSlot { room: Some(self.clone()), caller: false }
    }

    pub fn take_client_slot(self: &Rc<Self>) -> ConnectionSlot {
        self.callers_open.set(self.callers_open.get() + 1);
        let mut place = self.take_slot();
        place.caller = true;
        place
    }

    /// Most callers beside the last resort: servers have a part of their own, and where they use more of it one is left.
    fn most_callers(&self) -> usize {
        let servers = self.open.get() - self.callers_open.get() + PROBES;
        self.most_open.get().saturating_sub(servers.max(self.most_open.get() / SERVERS_PART))
    }

    /// Room for one more caller.
    pub fn has_client_slot(&self) -> bool {
        self.callers_open.get() < self.most_callers()
    }

    /// The same for one whose jobs are rejected, or who stands in for one that is being closed.
    pub fn has_reserve_client_slot(&self) -> bool {
        self.callers_open.get() < self.most_callers() + self.last_resort.get()
    }

    pub fn is_waited_for(&self) -> bool {
        self.waiting.get() > 0
    }

    /// An attempt waits for a connection, as long as this is kept.
    pub fn register_waiter(self: &Rc<Self>) -> Waiter {
        self.waiting.set(self.waiting.get() + 1);
        Waiter(self.clone())
    }

    /// Waits until some connection, or some wait for one, has ended, or a caller may have become one that can go: nothing
    /// rings for that.
    pub async fn slot_may_be_free(&self) {
        let _ = timeout(LOOK_FOR_SPARE, self.freed.notified()).await;
    }

    /// Takes room for a job whose body has this length; none if bodies or connections would not fit.
    pub fn job(self: &Rc<Self>, body: usize) -> Option<RequestReservation> {
        let bytes = body.max(LEAST_BODY);
        let connected = (self.jobs.get() + 1) * CONNECTIONS + PROBES <= self.most_open.get();
        (connected && self.bytes.get() + bytes <= self.most_bytes.get()).then(|| {
            self.jobs.set(self.jobs.get() + 1);
            RequestReservation(self.hold(bytes))
        })
    }

    fn hold(self: &Rc<Self>, bytes: usize) -> ReservedBytes {
        self.bytes.set(self.bytes.get() + bytes);
        ReservedBytes { room: self.clone(), bytes }
    }

    /// Takes room for more bytes of a body, of which so many have been read ahead of its server. Such bytes have half of all room,
    /// the rest is for requests that are still to come; and one body no more than a part of what is then left of that half, so
    /// that there is some for others.
    pub fn read_ahead(self: &Rc<Self>, held: usize, bytes: usize) -> Option<ReservedBytes> {
        let left = (self.most_bytes.get() / 2).checked_sub(self.bytes.get() + bytes)?;
        (held + bytes <= left / READ_AHEAD_PART).then(|| self.hold(bytes))
    }

    pub fn open_requests(&self) -> usize {
        self.jobs.get()
    }

    pub fn enter(&self, wire: Rc<TrackedStream>) -> (u64, Rc<ClientConnection>) {
        let number = self.numbered.get();
        self.numbered.set(number + 1);
        let caller = Rc::new(ClientConnection::new(wire));
        self.callers.borrow_mut().insert(number, caller.clone());
        (number, caller)
    }

    pub fn leave(&self, number: u64) {
        self.callers.borrow_mut().remove(&number);
    }

    /// Do callers hold more than half of all connections? Those they keep idle then go before servers' idle ones.
    pub fn clients_hold_most(&self) -> bool {
        self.callers.borrow().len() * 2 > self.most_open.get()
    }

    /// Do servers' connections take of the places that callers could have?
    pub fn servers_exceed_share(&self) -> bool {
        let servers = self.open.get() - self.callers_open.get() + PROBES;
        servers > self.most_open.get() / SERVERS_PART
    }

    /// Has a caller closed for another one: that which has had nothing on its connection for longest, and where all have
    /// something, that which has brought half a head and nothing since for longest. False if there is none.
    pub fn evict_client(&self) -> bool {
        let callers = self.callers.borrow();
        let mut spare: Vec<_> = callers.values().filter(|caller| caller.may_go()).collect();
        spare.sort_by_key(|caller| caller.goes_since());
        if let Some(idle) = spare.iter().find(|caller| caller.has_nothing()) {
            idle.close();
            return true;
        }
        let half = spare.into_iter().find(|caller| caller.has_half_a_head());
        half.inspect(|caller| caller.cut_off()).is_some()
    }

    /// Could a caller go that has nothing on its connection?
    pub fn has_idle(&self) -> bool {
        self.callers.borrow().values().any(|caller| caller.may_go() && caller.has_nothing())
    }

    /// Has callers closed that have not brought a whole head for too long, as long as the node runs.
    pub async fn close_incomplete(self: Rc<Self>, book: Rc<Counters>) {
        loop {
            sleep(LOOK).await;
            self.callers.borrow().values().for_each(|caller| caller.cut_if_stalled());
            for caller in self.callers.borrow().values().filter(|caller| caller.is_unfinished()) {
                book.cut_off.add();
                caller.close();
            }
        }
    }

    /// Requests that were read and have no answer, of all callers.
    pub fn unanswered_requests(&self) -> usize {
        self.callers.borrow().values().map(|caller| caller.unanswered()).sum()
    }

    pub fn has_callers(&self) -> bool {
        !self.callers.borrow().is_empty()
    }

    /// No further requests are read: those that are here have their answers.
    pub fn end_reading(&self) {
        self.callers.borrow().values().for_each(|client| client.end_reading());
    }

    /// Has all callers closed that have been idle for so long.
    pub fn close_all_idle(&self, pause: Duration) {
        let callers = self.callers.borrow();
        let spared =
            |caller: &&Rc<ClientConnection>| caller.can_be_spared() && caller.since.get().elapsed() >= pause;
        let idle = callers.values().filter(|caller| spared(caller) && !caller.stream.has_unread());
        idle.for_each(|caller| caller.close());
    }
}

impl std::fmt::Display for Capacity {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "connections_open={} jobs_held={}", self.open.get(), self.jobs.get())
    }
}

/// One open connection; gives its place back when dropped. One of the node's own is counted nowhere.
pub struct ConnectionSlot {
    room: Option<Rc<Capacity>>,
    caller: bool,
}

impl ConnectionSlot {
    /// One of the node's own, one of `FIXED`: nobody else can take it, and it is counted nowhere.
    pub fn uncounted() -> Self {
        Self { room: None, caller: false }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        if let Some(room) = &self.room {
            room.open.set(room.open.get() - 1);
            room.callers_open.set(room.callers_open.get() - usize::from(self.caller));
            room.freed.notify_waiters();
        }
    }
}

pub struct Waiter(Rc<Capacity>);

impl Drop for Waiter {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
        self.0.freed.notify_waiters();
    }
}

/// One job's share of the room.
pub struct RequestReservation(ReservedBytes);

impl Drop for RequestReservation {
    fn drop(&mut self) {
        let jobs = &self.0.room.jobs;
        jobs.set(jobs.get() - 1);
    }
}

/// Bytes of bodies, as long as they take room.
pub struct ReservedBytes {
    room: Rc<Capacity>,
    bytes: usize,
}

impl Drop for ReservedBytes {
    fn drop(&mut self) {
        self.room.bytes.set(self.room.bytes.get() - self.bytes);
    }
}

#[cfg(test)]
mod tests;
