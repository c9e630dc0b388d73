//! Accepts clients' connections, as long as there is room for them. What waits in the kernel's queue is on a clock as well: a
//! request may lie on each connection there.

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

/// Pause after a failed accept: what it lacked is back soon, and the loop must not spin.
const PAUSE: Duration = Duration::from_millis(5);
/// How long new connections go on coming after SIGTERM, with some room: the protocol says 400 ms.
const STILL_COMING: Duration = Duration::from_millis(500);
/// How long connections may wait in the queue where requests hold all places. Then they are shut unread: a request of the
/// shortest times that lies there is lost soon after.
const LONGEST_WAIT: Duration = Duration::from_millis(300);
/// How long there has to be no place for that: one that is being freed is there in a moment.
const NO_PLACE: Duration = Duration::from_millis(20);
/// How long is looked at last for what waits in the queue: time to wait for places, and to shut what found none.
const LAST_LOOK: Duration = Duration::from_millis(400);
/// Pause between two looks into the queue where each connection takes the place of another: requests on their way come
/// meanwhile, and clients that come again at once don't take all of the processor.
const LOOK: Duration = Duration::from_millis(20);
/// The queue of a crowded node is empty from time to time, or else it takes longer than that to let clients in and go.
const BEHIND: Duration = Duration::from_millis(50);
/// What has brought so much may well be a request whose head is longer.
const LONG_HEAD: usize = 2048;
/// Linux queues one connection more than it was told, and one may have been accepted meanwhile.
const BEYOND_BACKLOG: usize = 2;
/// How often others have their turn before a wait for a place.
const MOST_YIELDS: usize = 4;
/// So many connections are accepted in a row before others have their turn.
const IN_A_ROW: usize = 16;

pub struct Acceptor {
    listener: TcpListener,
    /// When what waits in the queue came.
    queue: AcceptQueue,
    take_in: Rc<ClientService>,
    /// Has a connection had to go for another since the queue was empty?
    crowded: Cell<bool>,
    /// Is the place that was made for the last one still there?
    has_place_left: Cell<bool>,
    /// Since when there has been no place at all.
    without_place: Cell<Option<Instant>>,
    /// Since when the process stood still at its last stop, ms.
    stopped: Cell<Option<f64>>,
    /// How many were accepted since others had their turn.
    in_a_row: Cell<usize>,
    failed: WarnLimiter,
    shut: WarnLimiter,
}

impl Acceptor {
    /// `shared` says that other processes may have served the listener before: what they leave in its queue came while they
    /// did.
    pub fn new(listener: TcpListener, shared: bool, take_in: Rc<ClientService>) -> Self {
        let now = Instant::now();
        let (most, opened) = if shared {
            (inherited::max_accept_queue(), now.checked_sub(LONGEST_WAIT + NO_PLACE).unwrap_or(now))
        } else {
            (BACKLOG as usize, now)
        };
        Self {
            listener,
            queue: AcceptQueue::since(most + BEYOND_BACKLOG, opened),
            take_in,
            crowded: Cell::new(false),
            has_place_left: Cell::new(false),
            without_place: Cell::new(None),
            stopped: Cell::new(None),
            in_a_row: Cell::new(0),
            failed: WarnLimiter::default(),
            shut: WarnLimiter::default(),
        }
    }

    /// Accepts clients until told to end; then until no more come, and serves those that stay almost as long as the
    /// node runs: they may have nowhere else to go. `end` tells when the module will give its last answers.
    pub async fn run(self, end: impl Future<Output = f64>) {
        // Until the runtime has looked for the first time, a queue with connections from before seems to be empty.
        yield_now().await;
        let answered = tokio::select! {
            never = self.accept_all() => match never {},
            answered = end => answered,
        };
        let _ = timeout(STILL_COMING, self.accept_all()).await;
        let clients_end = async {
            while self.take_in.capacity.has_callers() {
                sleep(PAUSE).await;
            }
        };
        tokio::select! {
            never = self.accept_all() => match never {},
            () = sleep_until(self.take_in.dispatcher.clock.instant_at(answered - CLOSING_PERIOD_MS)) => {}
            () = clients_end => {}
        }
        let end = Instant::now() + LAST_LOOK;
        let _ =
            timeout_at(end.min(self.take_in.dispatcher.clock.instant_at(answered)), self.empty_queue()).await;
    }

    /// What the kernel has accepted counts as ours, unless another process serves the same socket. It takes places as at any other
    /// time, and what finds none is shut unread.
    async fn empty_queue(&self) {
        let until = Instant::now() + LONGEST_WAIT;
        while self.take_in.lifecycle.accepts()
            && let Some(Ok(stream)) = self.accept_now().await
        {
            if self.place_comes(until).await {
                self.open(stream);
            } else {
                self.shut_unread(stream);
            }
            self.let_others_go_on().await;
        }
    }

    /// Is there a place, or one more by that time?
    async fn place_comes(&self, until: Instant) -> bool {
        while !self.has_place() {
            if Instant::now() >= until {
                return false;
            }
            self.place_freed().await;
        }
        true
    }

    /// Serves a connection. Where nothing is on it, what comes was not there while it waited.
    fn open(&self, stream: TcpStream) {
        let now = Instant::now();
        let peeked = SockRef::from(&stream).peek(&mut [MaybeUninit::uninit()]);
        let has_nothing = peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock);
        let came = if has_nothing { now } else { self.queue.earliest() };
        if !self.crowded.get() || now.saturating_duration_since(self.queue.earliest()) <= BEHIND {
            return self.take_in.open(stream, came);
        }
        match self.with_request(stream, has_nothing) {
            Some(stream) => self.take_in.open(stream, came),
            None => {
                self.take_in.book.callers.add();
                self.has_place_left.set(true);
            }
        }
    }

    /// The connection if it is to be served by a node that can't keep up with the crowd: requests that wait behind those
    /// that bring none would be late. Half a head goes only where nothing idle is left that could go for it.
    fn with_request(&self, stream: TcpStream, has_nothing: bool) -> Option<TcpStream> {
        if has_nothing {
            return None;
        }
        let stream = stream.into_std().ok()?;
        let mut head = [0; LONG_HEAD];
        let length = stream.peek(&mut head).unwrap_or_default();
        let mut framing = Framing::default();
        framing.read(&head[..length], Instant::now());
        let is_half = length < LONG_HEAD && framing.in_head();
        if is_half && !self.take_in.capacity.has_idle() {
            return None;
        }
        TcpStream::from_std(stream).ok()
    }

    async fn accept_all(&self) -> Infallible {
        loop {
            self.let_others_go_on().await;
            if !self.has_place() {
                self.stand_back().await;
                continue;
            }
            if !self.take_in.lifecycle.accepts() {
                // Another process takes what comes, or nobody: should this one go on, it may have waited since now.
                self.queue.looks_away(Instant::now());
            }
            let accepted = tokio::select! {
                biased;
                () = self.take_in.lifecycle.changed() => continue,
                accepted = self.next(), if self.take_in.lifecycle.accepts() => accepted,
            };
            match accepted {
                Ok(stream) => self.open(stream),
                Err(error) => {
                    self.take_in.book.accept_failed.add();
                    self.failed.warn(format_args!("accept failed: {error}"));
                    sleep(PAUSE).await;
                }
            }
        }
    }

    /// The next connection. Once the queue of a crowded node is empty it is left alone for a moment.
    async fn next(&self) -> io::Result<TcpStream> {
        if self.crowded.get() {
            if let Some(accepted) = self.accept_now().await {
                return accepted;
            }
            self.crowded.set(false);
            self.queue.looks_away(Instant::now());
            sleep(LOOK).await;
        }
        self.accept().await
    }

    /// Attempts and probes that wait for a connection go first.
    fn has_place(&self) -> bool {
        let room = &self.take_in.capacity;
        self.crowded.set(self.crowded.get() || !room.has_client_slot());
        let has_place_left = self.has_place_left.take() && room.has_reserve_client_slot();
        let has_place = !room.is_waited_for() && (has_place_left || self.take_in.make_place());
        self.note_stop();
        let since = self.without_place.get().unwrap_or_else(Instant::now);
        self.without_place.set((!has_place).then_some(since));
        has_place
    }

    /// Is there no place, and something in the queue that can't wait for one any longer?
    fn is_too_late(&self) -> bool {
        // Behind a stop what came meanwhile is read first, and answered.
        let no_place = if self.take_in.dispatcher.stopped_since().is_some() { CATCH_UP } else { NO_PLACE };
        let without_place = self.without_place.get().is_some_and(|since| since.elapsed() > no_place);
        without_place && self.queue.of_waiting().elapsed() > LONGEST_WAIT
    }

    /// While the process stood still nobody could make a place: the time without one counts anew, once for each stop.
    fn note_stop(&self) {
        let stopped = self.take_in.dispatcher.stopped_since();
        if stopped.is_some() && self.stopped.replace(stopped) != stopped {
            self.without_place.set(None);
        }
    }

    /// There is no place: waits for one, and shuts what has waited for too long.
    async fn stand_back(&self) {
        self.queue.looks_away(Instant::now());
        if !self.is_too_late() || !self.take_in.lifecycle.accepts() {
            return self.place_freed().await;
        }
        while let Some(Ok(stream)) = self.accept_now().await {
            self.shut_unread(stream);
        }
    }

    /// Waits until a place may have been freed.
    async fn place_freed(&self) {
        // What was just let in has not been read yet, and what was closed is still open: both are done soon.
        for _ in 0..MOST_YIELDS {
            yield_now().await;
            if self.take_in.capacity.has_reserve_client_slot() {
                return;
            }
        }
        self.take_in.capacity.slot_may_be_free().await;
    }

    /// Closes a connection without a look at what has come on it: its client may send that again.
    fn shut_unread(&self, stream: TcpStream) {
        self.take_in.book.shut_unread.add();
        self.shut.warn("no place for a connection, shut unread");
        drop(stream);
    }

    async fn accept(&self) -> io::Result<TcpStream> {
        // Without the runtime's budget: where that is used up, nothing would seem to wait.
        unconstrained(poll_fn(|context| self.poll_accept(context))).await
    }

    /// What waits in the queue now, if anything does.
    async fn accept_now(&self) -> Option<io::Result<TcpStream>> {
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
                let established = stream.and_then(|stream| self.established(stream));
                self.queue.accepted(Instant::now(), established);
                Poll::Ready(accepted.map(|(stream, _)| stream))
            }
        }
    }

    /// The earliest time at which a connection can have been established, where that is known. Where the kernel doesn't say, it may
    /// have been while the process stood still.
    fn established(&self, stream: &TcpStream) -> Option<Instant> {
        let route = &self.take_in.dispatcher;
        tcp_info::earliest_established(stream)
            .or_else(|| route.stopped_since().map(|begun| route.clock.instant_at(begun)))
    }

    async fn let_others_go_on(&self) {
        self.in_a_row.set((self.in_a_row.get() + 1) % IN_A_ROW);
        if self.in_a_row.get() == 0 {
            yield_now().await;
        }
    }
}
