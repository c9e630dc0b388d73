//! Accepts clients' connections, as long as there is room for them. What waits in the kernel's queue is on a clock as well: a
//! request may lie on each connection there.

use crate::BACKLOG;
use crate::accept_queue::AcceptQueue;
use crate::client_service::{CLOSING_PERIOD_MS, ClientService};
use crate::framing::Framing;
use crate::inherited;
use crate::logger::Seldom;
use crate::pulse::CATCH_UP;
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

/// Pause after a failed accept: what it lacked is back soon, and the loop must not spin.
const RETRY_PAUSE: Duration = Duration::from_millis(5);
/// How long new connections go on coming after SIGTERM, with some room: the protocol says 400 ms.
const LATE_CONNECTIONS: Duration = Duration::from_millis(500);
/// How long connections may wait in the queue where requests hold all places. Then they are shut unread: a request of the
/// shortest times that lies there is lost soon after.
const MAX_QUEUE_TIME: Duration = Duration::from_millis(300);
/// How long there has to be no place for that: one that is being freed is there in a moment.
const NO_SLOT_TIME: Duration = Duration::from_millis(20);
/// How long is looked at last for what waits in the queue: time to wait for places, and to shut what found none.
const FINAL_DRAIN: Duration = Duration::from_millis(400);
/// Pause between two looks into the queue where each connection takes the place of another: requests on their way come
/// meanwhile, and clients that come again at once don't take all of the processor.
const EVICTION_PAUSE: Duration = Duration::from_millis(20);
/// The queue of a crowded node is empty from time to time, or else it takes longer than that to let clients in and go.
const OVERLOAD_DELAY: Duration = Duration::from_millis(50);
/// What has brought so much may well be a request whose head is longer.
const LONG_HEAD: usize = 2048;
/// Linux queues one connection more than it was told, and one may have been accepted meanwhile.
const EXTRA_QUEUED: usize = 2;
/// How often others have their turn before a wait for a place.
const MAX_YIELDS: usize = 4;
/// So many connections are accepted in a row before others have their turn.
const ACCEPTS_PER_YIELD: usize = 16;

pub struct Acceptor {
    listener: TcpListener,
    /// When what waits in the queue came.
    queue: AcceptQueue,
    service: Rc<ClientService>,
    /// Has a connection had to go for another since the queue was empty?
    overloaded: Cell<bool>,
    /// Is the place that was made for the last one still there?
    has_spare_slot: Cell<bool>,
    /// Since when there has been no place at all.
    no_slot_since: Cell<Option<Instant>>,
    /// Since when the process stood still at its last stop, ms.
    last_stall: Cell<Option<f64>>,
    /// How many were accepted since others had their turn.
    accepted_in_a_row: Cell<usize>,
    failure_log: Seldom,
    unread_log: Seldom,
}

impl Acceptor {
    /// `shared` says that other processes may have served the listener before: what they leave in its queue came while they
    /// did.
    pub fn new(listener: TcpListener, shared: bool, service: Rc<ClientService>) -> Self {
        let now = Instant::now();
        let (max_waiting, opened_at) = if shared {
            (inherited::longest_queue(), now.checked_sub(MAX_QUEUE_TIME + NO_SLOT_TIME).unwrap_or(now))
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
            failure_log: Seldom::default(),
            unread_log: Seldom::default(),
        }
    }

    /// Accepts clients until told to end; then until no more come, and serves those that stay almost as long as the
    /// node runs: they may have nowhere else to go. `end` tells when the module will give its last answers.
    pub async fn run(self, end: impl Future<Output = f64>) {
        // Until the runtime has looked for the first time, a queue with connections from before seems to be empty.
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
            () = sleep_until(self.service.dispatcher.clock.at(last_answers - CLOSING_PERIOD_MS)) => {}
            () = clients_gone => {}
        }
        let end = Instant::now() + FINAL_DRAIN;
        let _ = timeout_at(end.min(self.service.dispatcher.clock.at(last_answers)), self.empty_queue()).await;
    }

    /// What the kernel has accepted counts as ours, unless another process serves the same socket. It takes places as at any other
    /// time, and what finds none is shut unread.
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

    /// Is there a place, or one more by that time?
    async fn slot_available_by(&self, until: Instant) -> bool {
        while !self.can_admit() {
            if Instant::now() >= until {
                return false;
            }
            self.wait_for_slot().await;
        }
        true
    }

    /// Serves a connection. Where nothing is on it, what comes was not there while it waited.
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

    /// The connection if it is to be served by a node that can't keep up with the crowd: requests that wait behind those
    /// that bring none would be late. Half a head goes only where nothing idle is left that could go for it.
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
                // Another process takes what comes, or nobody: should this one go on, it may have waited since now.
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

    /// The next connection. Once the queue of a crowded node is empty it is left alone for a moment.
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

    /// Attempts and probes that wait for a connection go first.
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

    /// Is there no place, and something in the queue that can't wait for one any longer?
    fn has_queue_timed_out(&self) -> bool {
        // Behind a stop what came meanwhile is read first, and answered.
        let limit = if self.service.dispatcher.stall_began().is_some() { CATCH_UP } else { NO_SLOT_TIME };
        let is_stuck = self.no_slot_since.get().is_some_and(|since| since.elapsed() > limit);
        is_stuck && self.queue.waiting_since().elapsed() > MAX_QUEUE_TIME
    }

    /// While the process stood still nobody could make a place: the time without one counts anew, once for each stop.
    fn note_stall(&self) {
        let stall = self.service.dispatcher.stall_began();
        if stall.is_some() && self.last_stall.replace(stall) != stall {
            self.no_slot_since.set(None);
        }
    }

    /// There is no place: waits for one, and shuts what has waited for too long.
    async fn handle_no_slot(&self) {
        self.queue.suspend(Instant::now());
        if !self.has_queue_timed_out() || !self.service.lifecycle.accepts() {
            return self.wait_for_slot().await;
        }
        while let Some(Ok(stream)) = self.accept_waiting().await {
            self.close_unread(stream);
        }
    }

    /// Waits until a place may have been freed.
    async fn wait_for_slot(&self) {
        // What was just let in has not been read yet, and what was closed is still open: both are done soon.
        for _ in 0..MAX_YIELDS {
            yield_now().await;
            if self.service.capacity.has_reserve_client_slot() {
                return;
            }
        }
        self.service.capacity.slot_may_be_free().await;
    }

    /// Closes a connection without a look at what has come on it: its client may send that again.
    fn close_unread(&self, stream: TcpStream) {
        self.service.counters.shut_unread.add();
        self.unread_log.warn("no connection slot, client connection closed unread");
        drop(stream);
    }

    async fn accept(&self) -> io::Result<TcpStream> {
        // Without the runtime's budget: where that is used up, nothing would seem to wait.
        unconstrained(poll_fn(|context| self.poll_accept(context))).await
    }

    /// What waits in the queue now, if anything does.
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

    /// The earliest time at which a connection can have been established, where that is known. Where the kernel doesn't say, it may
    /// have been while the process stood still.
    fn established_no_earlier(&self, stream: &TcpStream) -> Option<Instant> {
        let dispatcher = &self.service.dispatcher;
        tcp_info::earliest_established(stream)
            .or_else(|| dispatcher.stall_began().map(|began| dispatcher.clock.at(began)))
    }

    async fn yield_periodically(&self) {
        self.accepted_in_a_row.set((self.accepted_in_a_row.get() + 1) % ACCEPTS_PER_YIELD);
        if self.accepted_in_a_row.get() == 0 {
            yield_now().await;
        }
    }
}
