//! A client's connection, as those see it that serve it, look for one to spare, or end it.

use crate::streaming::STALL_TIMEOUT;
use crate::tracked_stream::TrackedStream;
use hyper::Version;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long a connection that has brought nothing yet is left alone, where no other one waits for its place.
pub const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(150);
/// How much longer than one that has brought nothing yet a connection is spared whose client has sent requests: more of
/// them are likely.
const REUSE_GRACE: Duration = Duration::from_millis(150);
/// How long one that has just been opened is left alone also where others wait: its request comes right behind.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(20);
/// How long a client may take for its first head, or for the rest of one: it is owed an error or a close within 3 s
/// of connecting.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2200);

/// A client's connection, and whether it could be spared.
pub struct ClientConnection {
    pub stream: Rc<TrackedStream>,
    is_answering: Cell<bool>,
    streaming: Cell<bool>,
    /// Was its last answer broken off by the server that gave it?
    answer_broken: Cell<bool>,
    has_sent_request: Cell<bool>,
    /// Of the last request.
    version: Cell<Version>,
    pub idle_since: Cell<Instant>,
    closing: Cell<bool>,
    answered_early: Cell<bool>,
    /// When half a head was first seen on it.
    partial_head_since: Cell<Option<Instant>>,
    /// How much had moved on it, and when that was first seen.
    progress: Cell<(usize, Instant)>,
    /// Rung when an answer begins or ends to flow to it.
    streaming_changed: Notify,
    pub close_requested: Notify,
    /// Rung when it is to be cut off in the middle of what it does.
    pub abort_requested: Notify,
}

impl ClientConnection {
    pub fn new(stream: Rc<TrackedStream>) -> Self {
        Self {
            stream,
            is_answering: Cell::new(false),
            streaming: Cell::new(false),
            answer_broken: Cell::new(false),
            has_sent_request: Cell::new(false),
            version: Cell::new(Version::HTTP_11),
            idle_since: Cell::new(Instant::now()),
            closing: Cell::new(false),
            answered_early: Cell::new(false),
            partial_head_since: Cell::new(None),
            progress: Cell::new((0, Instant::now())),
            streaming_changed: Notify::new(),
            close_requested: Notify::new(),
            abort_requested: Notify::new(),
        }
    }

    /// Nothing that came on it is being answered, and its client has taken what was.
    pub fn is_idle(&self) -> bool {
        !self.is_answering.get() && !self.stream.is_write_blocked()
    }

    /// Is a request that was read on it being answered, or is there more of an answer for its client to take? What is left of
    /// one that its server broke off is of no use to it.
    pub fn has_open_request(&self) -> bool {
        self.is_answering.get() || self.stream.is_write_blocked() && !self.answer_broken.get()
    }

    /// Requests that were read whole on it and have no answer; one whose answer is on its way has.
    pub fn unanswered(&self) -> usize {
        let is_unanswered =
            self.is_answering.get() && !self.streaming.get() && self.stream.arrived_at().is_some();
        usize::from(is_unanswered)
    }

    /// Is an answer on its way to it that is passed on while it comes?
    pub fn is_streaming(&self) -> bool {
        self.streaming.get()
    }

    pub async fn streaming_changed(&self) {
        self.streaming_changed.notified().await;
    }

    /// Idle, and if it has brought nothing yet, not just opened: its first job may be on the way. Whoever closes it
    /// looks for unread bytes as well, which are a job that will be read in a moment.
    pub fn can_be_closed(&self) -> bool {
        self.is_idle() && self.is_past_first_request() && !self.closing.get()
    }

    /// Has it brought a request, or nothing for so long that none is on its way?
    fn is_past_first_request(&self) -> bool {
        self.has_sent_request.get() || self.idle_since.get().elapsed() > FIRST_REQUEST_GRACE
    }

    /// Since when it could go where its place is needed: whose time is the earliest goes first.
    pub fn eviction_order(&self) -> Instant {
        self.idle_since.get() + if self.has_sent_request.get() { REUSE_GRACE } else { Duration::ZERO }
    }

    /// May it go for one that brings a request, if there is nothing on it or no more than half a head? Whoever closes it
    /// asks the kernel as well.
    pub fn may_be_evicted(&self) -> bool {
        let is_open_for_long =
            self.has_sent_request.get() || self.idle_since.get().elapsed() > NEW_CONNECTION_GRACE;
        self.is_idle() && is_open_for_long && !self.closing.get()
    }

    /// Has it brought nothing that is not answered? The kernel is asked last: that takes longest.
    pub fn has_no_request(&self) -> bool {
        self.is_idle() && !self.stream.in_head() && !self.stream.has_further_request()
    }

    /// Has it brought half a head and nothing behind that?
    pub fn has_partial_head(&self) -> bool {
        self.is_idle()
            && self.stream.in_head()
            && self.stream.waiting_requests() == 0
            && !self.stream.has_unread()
    }

    /// Is it still to be cut off? What has come since that was chosen may be the rest of a request: then it goes on.
    pub fn confirm_abort(&self) -> bool {
        let must_abort = self.is_receiving_answer() || self.has_partial_head();
        self.closing.set(must_abort);
        must_abort
    }

    pub fn is_head_overdue(&self) -> bool {
        let partial_head_since =
            self.stream.in_head().then(|| self.partial_head_since.get().unwrap_or_else(Instant::now));
        self.partial_head_since.set(partial_head_since);
        let since =
            if self.has_sent_request.get() { partial_head_since } else { Some(self.idle_since.get()) };
        let is_waiting = self.is_idle() && !self.closing.get() && !self.stream.has_unread();
        is_waiting && since.is_some_and(|since| since.elapsed() > HEAD_TIMEOUT)
    }

    /// A request of this version has been read.
    pub fn begin_request(&self, version: Version) {
        self.version.set(version);
        self.is_answering.set(true);
        self.has_sent_request.set(true);
        self.stream.set_answering(true);
    }

    /// Does nothing but the end of the connection tell this client that an answer is whole?
    pub fn answer_ends_with_connection(&self) -> bool {
        self.version.get() < Version::HTTP_11
    }

    /// Answered.
    pub fn end_request(&self) {
        self.is_answering.set(false);
        self.idle_since.set(Instant::now());
        self.stream.set_answering(false);
    }

    /// No further request is begun to be read than what has come. On one that has just been opened the first may be on its way.
    pub fn stop_reading(&self) {
        if self.is_past_first_request() {
            self.stream.stop_reading();
        }
    }

    /// With an answer under way on it, but nothing that moves: it holds what others could use.
    pub fn abort_if_stalled(&self) {
        let (progress, since) = self.progress.get();
        if !self.is_receiving_answer() || progress != self.stream.bytes_moved() {
            self.progress.set((self.stream.bytes_moved(), Instant::now()));
        } else if since.elapsed() > STALL_TIMEOUT {
            self.abort_requested.notify_one();
        }
    }

    /// Is an answer on its way to it that the kernel has not taken whole?
    fn is_receiving_answer(&self) -> bool {
        self.streaming.get() || self.stream.is_write_blocked()
    }

    /// An answer begins to flow to it; it is busy until what is returned has gone.
    pub fn start_streaming(self: &Rc<Self>) -> StreamingMark {
        self.streaming.set(true);
        self.streaming_changed.notify_one();
        StreamingMark(self.clone())
    }

    /// Its answer ends in its middle, and the connection with it.
    pub fn mark_answer_broken(&self) {
        self.answer_broken.set(true);
    }

    /// What it sends was answered before its end, and is not read any further.
    pub fn mark_answered_early(&self) {
        self.answered_early.set(true);
    }

    pub fn is_answered_early(&self) -> bool {
        self.answered_early.get()
    }

    /// Cuts off one that has half a head on it: hyper would wait for the rest.
    pub fn abort(&self) {
        self.closing.set(true);
        self.abort_requested.notify_one();
    }

    pub fn request_close(&self) {
        self.closing.set(true);
        self.close_requested.notify_one();
    }
}

/// A client's answer on its way.
pub struct StreamingMark(Rc<ClientConnection>);

impl Drop for StreamingMark {
    fn drop(&mut self) {
        self.0.streaming.set(false);
        self.0.streaming_changed.notify_one();
        self.0.end_request();
    }
}
