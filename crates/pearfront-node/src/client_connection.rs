//! State of one client connection, as needed to serve it, to choose a connection to evict, and to
//! close it. Used by `client_service` and `capacity`.

use crate::streaming::STALL_TIMEOUT;
use crate::tracked_stream::TrackedStream;
use hyper::Version;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long a connection without any request yet is left open while no other connection needs its
/// slot.
pub const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(150);
/// How much longer a connection is kept whose client has already sent requests, since more are
/// likely.
const REUSE_GRACE: Duration = Duration::from_millis(150);
/// How long a new connection is kept even if others wait for a slot: its first request is about to
/// arrive.
const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(20);
/// How long a client may take for its first head, or for the rest of a head: it has to get an error
/// or a close within 3 s of connecting.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2200);

/// A client connection, and what is needed to decide whether it can be closed.
pub struct ClientConnection {
    pub stream: Rc<TrackedStream>,
    is_answering: Cell<bool>,
    streaming: Cell<bool>,
    /// Whether its last answer was broken off by the server that gave it.
    answer_broken: Cell<bool>,
    has_sent_request: Cell<bool>,
    /// HTTP version of the last request.
    version: Cell<Version>,
    /// When it was opened, or its last request was answered.
    pub idle_since: Cell<Instant>,
    /// Whether it has been chosen to be closed or aborted.
    closing: Cell<bool>,
    answered_early: Cell<bool>,
    /// When a partial head was first seen on it.
    partial_head_since: Cell<Option<Instant>>,
    /// Number of bytes transferred on it, and when that number was first seen.
    progress: Cell<(usize, Instant)>,
    /// Notified when an answer starts or stops being streamed to it.
    streaming_changed: Notify,
    /// Notified when it is to be closed once it has nothing unanswered.
    pub close_requested: Notify,
    /// Notified when it is to be aborted in the middle of an exchange.
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

    /// Whether no request from it is being answered, and its client has received all answers.
    pub fn is_idle(&self) -> bool {
        !self.is_answering.get() && !self.stream.is_write_blocked()
    }

    /// Whether a request read from it is being answered, or its client has yet to receive part of
    /// an answer. The rest of an answer that its server broke off does not count, as it is of no
    /// use to the client.
    pub fn has_open_request(&self) -> bool {
        self.is_answering.get() || self.stream.is_write_blocked() && !self.answer_broken.get()
    }

    /// Number of requests that were read completely and have no answer; one whose answer is being
    /// streamed has.
    pub fn unanswered(&self) -> usize {
        let is_unanswered =
            self.is_answering.get() && !self.streaming.get() && self.stream.arrived_at().is_some();
        usize::from(is_unanswered)
    }

    /// Whether an answer is being streamed to it.
    pub fn is_streaming(&self) -> bool {
        self.streaming.get()
    }

    /// Whether an answer is under way to it that the kernel has not taken completely. One that its
    /// server broke off does not count.
    pub fn is_receiving_answer(&self) -> bool {
        (self.streaming.get() || self.stream.is_write_blocked()) && !self.answer_broken.get()
    }

    pub async fn streaming_changed(&self) {
        self.streaming_changed.notified().await;
    }

    /// Whether it can be closed in a drain: it is idle, and its first request is not just about to
    /// arrive. The caller also has to check for unread bytes, which are a request about to be read.
    pub fn can_be_closed(&self) -> bool {
        self.is_idle() && self.is_past_first_request() && !self.closing.get()
    }

    /// Whether it has sent a request, or nothing for so long that none is about to arrive.
    fn is_past_first_request(&self) -> bool {
        self.has_sent_request.get() || self.idle_since.get().elapsed() > FIRST_REQUEST_GRACE
    }

    /// Order of eviction when its slot is needed: the earliest time goes first.
    pub fn eviction_order(&self) -> Instant {
        self.idle_since.get() + if self.has_sent_request.get() { REUSE_GRACE } else { Duration::ZERO }
    }

    /// Whether it may be evicted for a connection with a request, if there is no data on it or at
    /// most a partial head. The caller also has to ask the kernel for unread data.
    pub fn may_be_evicted(&self) -> bool {
        let is_open_for_long =
            self.has_sent_request.get() || self.idle_since.get().elapsed() > NEW_CONNECTION_GRACE;
        self.is_idle() && is_open_for_long && !self.closing.get()
    }

    /// Whether it has no unanswered request. The kernel is asked last, as that is the slowest
    /// check.
    pub fn has_no_request(&self) -> bool {
        self.is_idle() && !self.stream.in_head() && !self.stream.has_further_request()
    }

    /// Whether a partial head is all that is on it.
    pub fn has_partial_head(&self) -> bool {
        self.is_idle()
            && self.stream.in_head()
            && self.stream.waiting_requests() == 0
            && !self.stream.has_unread()
    }

    /// Whether it still has to be aborted. If the rest of a request has arrived since it was
    /// chosen, it goes on.
    pub fn confirm_abort(&self) -> bool {
        let must_abort = self.stream.is_write_blocked() || self.has_partial_head();
        self.closing.set(must_abort);
        must_abort
    }

    /// Whether a complete head has been missing for too long.
    pub fn is_head_overdue(&self) -> bool {
        let partial_head_since =
            self.stream.in_head().then(|| self.partial_head_since.get().unwrap_or_else(Instant::now));
        self.partial_head_since.set(partial_head_since);
        let since =
            if self.has_sent_request.get() { partial_head_since } else { Some(self.idle_since.get()) };
        let is_waiting = self.is_idle() && !self.closing.get() && !self.stream.has_unread();
        is_waiting && since.is_some_and(|since| since.elapsed() > HEAD_TIMEOUT)
    }

    /// A request of this HTTP version has been read.
    pub fn begin_request(&self, version: Version) {
        self.version.set(version);
        self.is_answering.set(true);
        self.has_sent_request.set(true);
        self.stream.set_answering(true);
    }

    /// Whether only the end of the connection may tell this client that an answer is complete.
    fn answer_ends_with_connection(&self) -> bool {
        self.version.get() < Version::HTTP_11
    }

    /// All answers have been passed on completely, so the connection may end in an orderly way.
    pub fn mark_answers_complete(&self) {
        if self.answer_ends_with_connection() {
            self.stream.set_reset_on_close(false);
        }
    }

    /// The request has been answered.
    pub fn end_request(&self) {
        self.is_answering.set(false);
        self.idle_since.set(Instant::now());
        self.stream.set_answering(false);
    }

    /// Reads no further requests than those that have arrived. On a new connection the first
    /// request may still be about to arrive.
    pub fn stop_reading(&self) {
        if self.is_past_first_request() {
            self.stream.stop_reading();
        }
    }

    /// Aborts a connection whose client takes nothing of its answer, as it holds resources that
    /// others need. A server that sends nothing is not the client's fault: its answer has a limit of
    /// its own.
    pub fn abort_if_stalled(&self) {
        let (progress, since) = self.progress.get();
        if !self.stream.is_write_blocked() || progress != self.stream.bytes_moved() {
            self.progress.set((self.stream.bytes_moved(), Instant::now()));
        } else if since.elapsed() > STALL_TIMEOUT {
            self.abort_requested.notify_one();
        }
    }

    /// An answer starts being streamed to it; it is busy until the returned guard is dropped.
    /// Whatever ends the connection or the process before the answer is complete, a client of
    /// HTTP/1.0 gets a reset.
    pub fn start_streaming(self: &Rc<Self>) -> StreamingMark {
        if self.answer_ends_with_connection() {
            self.stream.set_reset_on_close(true);
        }
        self.streaming.set(true);
        self.streaming_changed.notify_one();
        StreamingMark(self.clone())
    }

    /// Its answer is broken off, and the connection ends with it.
    pub fn mark_answer_broken(&self) {
        self.answer_broken.set(true);
    }

    /// Its request was answered before it had arrived completely, and the rest is not read.
    pub fn mark_answered_early(&self) {
        self.answered_early.set(true);
    }

    pub fn is_answered_early(&self) -> bool {
        self.answered_early.get()
    }

    /// Aborts a connection with a partial head, as hyper would wait for the rest.
    pub fn abort(&self) {
        self.closing.set(true);
        self.abort_requested.notify_one();
    }

    /// Asks the task that serves it to close it in an orderly way.
    pub fn request_close(&self) {
        self.closing.set(true);
        self.close_requested.notify_one();
    }
}

/// Marks an answer as being streamed, until dropped.
pub struct StreamingMark(Rc<ClientConnection>);

impl Drop for StreamingMark {
    fn drop(&mut self) {
        self.0.streaming.set(false);
        self.0.streaming_changed.notify_one();
        self.0.end_request();
    }
}
