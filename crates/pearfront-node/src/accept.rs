//! Accepts client connections as long as there are free connection slots. Connections that wait in
//! the kernel's accept queue are timed as well, since each may already hold a request whose
//! deadline is running.

use crate::BACKLOG;
use crate::accept_queue::AcceptQueue;
use crate::client_service::{CLOSING_PERIOD_MS, ClientService};
use crate::framing::Framing;
use crate::inherited;
use crate::logger::WarnLimiter;
use crate::stall_monitor::CATCH_UP;
use crate::tcp_info;
use socket2::SockRef;
use std::cell::Cell;
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::mem::MaybeUninit;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{unconstrained, yield_now};
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// Pause after a failed accept: the missing resource is back soon, and the loop must not spin.
const RETRY_PAUSE: Duration = Duration::from_millis(5);
/// How long new connections may still arrive after SIGTERM: the protocol says 400 ms, and the rest
/// is margin.
const LATE_CONNECTIONS: Duration = Duration::from_millis(500);
/// How long connections may wait in the accept queue while requests hold all slots. After that they
/// are closed unread: a request with one of the shortest deadlines would be lost soon after.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(300);
/// How long there must have been no free slot before that happens: a slot that is being released is
/// available within this time.
const NO_SLOT_TIME: Duration = Duration::from_millis(20);
/// How long the accept queue is emptied at the end: time to wait for slots, and to close the
/// connections that got none.
const FINAL_QUEUE_TIME: Duration = Duration::from_millis(400);
/// Pause between two passes over the accept queue while each new connection takes the slot of
/// another. Requests under way arrive meanwhile, and clients that reconnect at once do not use up
/// the CPU.
const EVICTION_PAUSE: Duration = Duration::from_millis(20);
/// If the accept queue of an overloaded node has not been empty for longer than this, admitting and
/// evicting clients takes too long.
const OVERLOAD_DELAY: Duration = Duration::from_millis(50);
/// A connection with this many bytes may well carry a request with a longer head, so it counts as
/// one with a request.
const LONG_HEAD: usize = 2048;
/// Linux queues one connection more than the configured backlog, and one more may have been
/// accepted meanwhile.
const EXTRA_QUEUED: usize = 2;
/// How often other tasks may run before waiting for a slot.
const MAX_YIELDS: usize = 4;
/// How many connections are accepted in a row before other tasks may run.
const ACCEPTS_PER_YIELD: usize = 16;

/// Accepts client connections from one listener.
pub struct Acceptor {
    listener: TcpListener,
    /// Tracks when the connections in the accept queue arrived.
    queue: AcceptQueue,
    service: Rc<ClientService>,
    /// Whether a client has been evicted for another one since the accept queue was last empty.
    overloaded: Cell<bool>,
    /// Whether the slot that was freed for the last connection is still free.
    has_spare_slot: Cell<bool>,
    /// Since when there has been no free slot at all.
    no_slot_since: Cell<Option<Instant>>,
    /// When the last process stall began, ms.
    last_stall: Cell<Option<f64>>,
    /// How many connections were accepted since other tasks last ran.
    accepted_in_a_row: Cell<usize>,
    failure_log: WarnLimiter,
    unread_log: WarnLimiter,
}

impl Acceptor {
    /// With `shared`, other processes may have served the listener before; what is left in its
    /// queue arrived while they did.
    pub fn new(listener: TcpListener, shared: bool, service: Rc<ClientService>) -> Self {
        let now = Instant::now();
        let (max_waiting, opened_at) = if shared {
            (inherited::max_accept_queue(), now.checked_sub(MAX_QUEUE_TIME + NO_SLOT_TIME).unwrap_or(now))
        } else {
            (BACKLOG as usize, now)
        };
        Self {
            listener,
            queue: AcceptQueue::new(max_waiting + EXTRA_QUEUED, opened_at),
            service,
            overloaded: Cell::new(false),
            has_spare_slot: Cell::new(false),
            no_slot_since: Cell::new(None),
            last_stall: Cell::new(None),
            accepted_in_a_row: Cell::new(0),
            failure_log: WarnLimiter::default(),
            unread_log: WarnLimiter::default(),
        }
    }

    /// Accepts clients until `end` resolves, then until no more arrive, and serves the remaining
    /// ones almost until the node exits, as they may have no other node to go to. `end` yields the
    /// time by which the decision module has given its last answers.
    pub async fn run(self, end: impl Future<Output = f64>) {
        // Before the runtime's first poll, an accept queue with older connections looks empty.
        yield_now().await;
        let last_answers = tokio::select! {
            never = self.accept_all() => match never {},
            last_answers = end => last_answers,
        };
        let _ = timeout(LATE_CONNECTIONS, self.accept_all()).await;
        let clients_gone = async {
            while self.service.capacity.has_clients() {
                sleep(RETRY_PAUSE).await;
            }
        };
        tokio::select! {
            never = self.accept_all() => match never {},
            () = sleep_until(self.service.dispatcher.clock.instant_at(last_answers - CLOSING_PERIOD_MS)) => {}
            () = clients_gone => {}
        }
        let end = Instant::now() + FINAL_QUEUE_TIME;
        let _ =
            timeout_at(end.min(self.service.dispatcher.clock.instant_at(last_answers)), self.empty_queue())
                .await;
    }

    /// Empties the accept queue. A connection that the kernel has accepted is this process's
    /// responsibility, unless another process serves the same socket. Connections take slots as
    /// usual; those that get none are closed unread.
    async fn empty_queue(&self) {
        let until = Instant::now() + MAX_QUEUE_TIME;
        while self.service.lifecycle.accepts()
            && let Some(Ok(stream)) = self.accept_waiting().await
        {
            if self.slot_available_by(until).await {
                self.serve(stream);
            } else {
                self.close_unread(stream);
            }
            self.yield_periodically().await;
        }
    }

    /// Returns whether there is a free slot, or will be one by `until`.
    async fn slot_available_by(&self, until: Instant) -> bool {
        while !self.can_admit() {
            if Instant::now() >= until {
                return false;
            }
            self.wait_for_slot().await;
        }
        true
    }

    /// Serves a connection. If it holds no data yet, the data cannot have arrived while it was
    /// queued.
    fn serve(&self, stream: TcpStream) {
        let now = Instant::now();
        let peeked = SockRef::from(&stream).peek(&mut [MaybeUninit::uninit()]);
        let has_nothing = peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
        let earliest = if has_nothing { now } else { self.queue.earliest() };
        if !self.overloaded.get() || now.saturating_duration_since(self.queue.earliest()) <= OVERLOAD_DELAY {
            return self.service.serve(stream, earliest);
        }
        match self.admit_if_request(stream, has_nothing) {
            Some(stream) => self.service.serve(stream, earliest),
            None => {
                self.service.counters.callers.add();
                self.has_spare_slot.set(true);
            }
        }
    }

    /// Returns the connection if an overloaded node should serve it. Requests that wait behind
    /// connections without one would be late. A connection with a partial head is dropped only if
    /// no idle client is left that could be evicted for it.
    fn admit_if_request(&self, stream: TcpStream, has_nothing: bool) -> Option<TcpStream> {
        if has_nothing {
            return None;
        }
        let stream = stream.into_std().ok()?;
        let mut head = [0; LONG_HEAD];
        let length = stream.peek(&mut head).unwrap_or_default();
        let mut framing = Framing::default();
        framing.read(&head[..length], Instant::now());
        let is_partial = length < LONG_HEAD && framing.in_head();
        if is_partial && !self.service.capacity.has_idle_client() {
            return None;
        }
        TcpStream::from_std(stream).ok()
    }

    async fn accept_all(&self) -> Infallible {
        loop {
            self.yield_periodically().await;
            if !self.can_admit() {
                self.handle_no_slot().await;
                continue;
            }
            if !self.service.lifecycle.accepts() {
                // Another process accepts the connections that arrive, or nobody does: if this one
                // resumes, they may have waited since now.
                self.queue.suspend(Instant::now());
            }
            let accepted = tokio::select! {
                biased;
                () = self.service.lifecycle.changed() => continue,
                accepted = self.next_connection(), if self.service.lifecycle.accepts() => accepted,
            };
            match accepted {
                Ok(stream) => self.serve(stream),
                Err(error) => {
                    self.service.counters.accept_failed.add();
                    self.failure_log.warn(format_args!("accept failed: {error}"));
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// The next connection. Once the accept queue of an overloaded node is empty, it is not polled
    /// for a moment.
    async fn next_connection(&self) -> io::Result<TcpStream> {
        if self.overloaded.get() {
            if let Some(accepted) = self.accept_waiting().await {
                return accepted;
            }
            self.overloaded.set(false);
            self.queue.suspend(Instant::now());
            sleep(EVICTION_PAUSE).await;
        }
        self.accept().await
    }

    /// Whether a client may be admitted. Attempts and probes that wait for a connection go first.
    fn can_admit(&self) -> bool {
        let capacity = &self.service.capacity;
        self.overloaded.set(self.overloaded.get() || !capacity.has_client_slot());
        let has_spare_slot = self.has_spare_slot.take() && capacity.has_reserve_client_slot();
        let can_admit = !capacity.has_waiters() && (has_spare_slot || self.service.make_slot());
        self.note_stall();
        let since = self.no_slot_since.get().unwrap_or_else(Instant::now);
        self.no_slot_since.set((!can_admit).then_some(since));
        can_admit
    }

    /// Returns whether there is no free slot and a queued connection cannot wait for one any
    /// longer.
    fn has_queue_timed_out(&self) -> bool {
        // After a stall, the data that arrived meanwhile is read and answered first.
        let limit = if self.service.dispatcher.stall_began().is_some() { CATCH_UP } else { NO_SLOT_TIME };
        let is_stuck = self.no_slot_since.get().is_some_and(|since| since.elapsed() > limit);
        is_stuck && self.queue.waiting_since().elapsed() > MAX_QUEUE_TIME
    }

    /// During a stall no slot could be released, so the time without a slot is measured anew, once
    /// per stall.
    fn note_stall(&self) {
        let stall = self.service.dispatcher.stall_began();
        if stall.is_some() && self.last_stall.replace(stall) != stall {
            self.no_slot_since.set(None);
        }
    }

    /// Without a free slot: waits for one, and closes the connections that have waited too long.
    async fn handle_no_slot(&self) {
        self.queue.suspend(Instant::now());
        if !self.has_queue_timed_out() || !self.service.lifecycle.accepts() {
            return self.wait_for_slot().await;
        }
        while let Some(Ok(stream)) = self.accept_waiting().await {
            self.close_unread(stream);
        }
    }

    /// Waits until a slot may have been released.
    async fn wait_for_slot(&self) {
        // Connections just admitted have not been read yet, and closed ones are still open: both
        // happen soon.
        for _ in 0..MAX_YIELDS {
            yield_now().await;
            if self.service.capacity.has_reserve_client_slot() {
                return;
            }
        }
        self.service.capacity.slot_may_be_free().await;
    }

    /// Closes a connection without reading from it, so its client may safely send the request
    /// again.
    fn close_unread(&self, stream: TcpStream) {
        self.service.counters.shut_unread.add();
        self.unread_log.warn("no connection slot, client connection closed unread");
        drop(stream);
    }

    async fn accept(&self) -> io::Result<TcpStream> {
        // Not subject to the runtime's task budget: once that is used up, the queue would look
        // empty.
        unconstrained(poll_fn(|context| self.poll_accept(context))).await
    }

    /// The next connection in the accept queue, if there is one now.
    async fn accept_waiting(&self) -> Option<io::Result<TcpStream>> {
        timeout(Duration::ZERO, self.accept()).await.ok()
    }

    fn poll_accept(&self, context: &mut Context) -> Poll<io::Result<TcpStream>> {
        match self.listener.poll_accept(context) {
            Poll::Pending => {
                self.queue.found_nothing();
                Poll::Pending
            }
            Poll::Ready(accepted) => {
                let stream = accepted.as_ref().ok().map(|(stream, _)| stream);
                let established = stream.and_then(|stream| self.established_no_earlier(stream));
                self.queue.accepted(Instant::now(), established);
                Poll::Ready(accepted.map(|(stream, _)| stream))
            }
        }
    }

    /// The earliest time at which the connection can have been established, if known. If the kernel
    /// does not say, it may have been during a process stall.
    fn established_no_earlier(&self, stream: &TcpStream) -> Option<Instant> {
        let dispatcher = &self.service.dispatcher;
        tcp_info::earliest_established(stream)
            .or_else(|| dispatcher.stall_began().map(|began| dispatcher.clock.instant_at(began)))
    }

    async fn yield_periodically(&self) {
        self.accepted_in_a_row.set((self.accepted_in_a_row.get() + 1) % ACCEPTS_PER_YIELD);
        if self.accepted_in_a_row.get() == 0 {
            yield_now().await;
        }
    }
}
