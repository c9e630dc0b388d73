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
pub const FIRST_REQUEST: Duration = Duration::from_millis(150);
/// How much longer than one that has brought nothing yet a connection is spared whose client has sent requests: more of
/// them are likely.
const USED: Duration = Duration::from_millis(150);
/// How long one that has just been opened is left alone also where others wait: its request comes right behind.
const JUST_OPENED: Duration = Duration::from_millis(20);
/// How long a client may take for its first head, or for the rest of one: it is owed an error or a close within 3 s
/// of connecting.
const WHOLE_HEAD: Duration = Duration::from_millis(2200);

/// A client's connection, and whether it could be spared.
pub struct ClientConnection {
    pub stream: Rc<TrackedStream>,
    busy: Cell<bool>,
    flowing: Cell<bool>,
    /// Was its last answer broken off by the server that gave it?
    answer_broke: Cell<bool>,
    used: Cell<bool>,
    /// Of the last request.
    version: Cell<Version>,
    pub since: Cell<Instant>,
    closing: Cell<bool>,
    answered_early: Cell<bool>,
    /// When half a head was first seen on it.
    half: Cell<Option<Instant>>,
    /// How much had moved on it, and when that was first seen.
    moved: Cell<(usize, Instant)>,
    /// Rung when an answer begins or ends to flow to it.
    flow_changed: Notify,
    pub told: Notify,
    /// Rung when it is to be cut off in the middle of what it does.
    pub cut: Notify,
}

impl ClientConnection {
    pub fn new(stream: Rc<TrackedStream>) -> Self {
        Self {
            stream,
            busy: Cell::new(false),
            flowing: Cell::new(false),
            answer_broke: Cell::new(false),
            used: Cell::new(false),
            version: Cell::new(Version::HTTP_11),
            since: Cell::new(Instant::now()),
            closing: Cell::new(false),
            answered_early: Cell::new(false),
            half: Cell::new(None),
            moved: Cell::new((0, Instant::now())),
            flow_changed: Notify::new(),
            told: Notify::new(),
            cut: Notify::new(),
        }
    }

    /// Nothing that came on it is being answered, and its client has taken what was.
    pub fn is_idle(&self) -> bool {
        !self.busy.get() && !self.stream.is_write_blocked()
    }

    /// Is a request that was read on it being answered, or is there more of an answer for its client to take? What is left of
    /// one that its server broke off is of no use to it.
    pub fn has_open_request(&self) -> bool {
        self.busy.get() || self.stream.is_write_blocked() && !self.answer_broke.get()
    }

    /// Requests that were read whole on it and have no answer; one whose answer is on its way has.
    pub fn unanswered(&self) -> usize {
        let is_owed = self.busy.get() && !self.flowing.get() && self.stream.came().is_some();
        usize::from(is_owed)
    }

    /// Is an answer on its way to it that is passed on while it comes?
    pub fn is_flowing(&self) -> bool {
        self.flowing.get()
    }

    pub async fn flow_changed(&self) {
        self.flow_changed.notified().await;
    }

    /// Idle, and if it has brought nothing yet, not just opened: its first job may be on the way. Whoever closes it
    /// looks for unread bytes as well, which are a job that will be read in a moment.
    pub fn can_be_spared(&self) -> bool {
        self.is_idle() && self.has_begun() && !self.closing.get()
    }

    /// Has it brought a request, or nothing for so long that none is on its way?
    fn has_begun(&self) -> bool {
        self.used.get() || self.since.get().elapsed() > FIRST_REQUEST
    }

    /// Since when it could go where its place is needed: whose time is the earliest goes first.
    pub fn goes_since(&self) -> Instant {
        self.since.get() + if self.used.get() { USED } else { Duration::ZERO }
    }

    /// May it go for one that brings a request, if there is nothing on it or no more than half a head? Whoever closes it
    /// asks the kernel as well.
    pub fn may_go(&self) -> bool {
        let is_open_for_long = self.used.get() || self.since.get().elapsed() > JUST_OPENED;
        self.is_idle() && is_open_for_long && !self.closing.get()
    }

    /// Has it brought nothing that is not answered? The kernel is asked last: that takes longest.
    pub fn has_nothing(&self) -> bool {
        self.is_idle() && !self.stream.in_head() && !self.stream.has_more()
    }

    /// Has it brought half a head and nothing behind that?
    pub fn has_half_a_head(&self) -> bool {
        self.is_idle() && self.stream.in_head() && self.stream.waiting() == 0 && !self.stream.has_unread()
    }

    /// Is it still to be cut off? What has come since that was chosen may be the rest of a request: then it goes on.
    pub fn is_to_be_cut(&self) -> bool {
        let is_to_be_cut = self.is_taking() || self.has_half_a_head();
        self.closing.set(is_to_be_cut);
        is_to_be_cut
    }

    pub fn is_unfinished(&self) -> bool {
        let half = self.stream.in_head().then(|| self.half.get().unwrap_or_else(Instant::now));
        self.half.set(half);
        let since = if self.used.get() { half } else { Some(self.since.get()) };
        let waits = self.is_idle() && !self.closing.get() && !self.stream.has_unread();
        waits && since.is_some_and(|since| since.elapsed() > WHOLE_HEAD)
    }

    /// A request of this version has been read.
    pub fn begin(&self, version: Version) {
        self.version.set(version);
        self.busy.set(true);
        self.used.set(true);
        self.stream.answers(true);
    }

    /// Does nothing but the end of the connection tell this client that an answer is whole?
    pub fn ends_with_connection(&self) -> bool {
        self.version.get() < Version::HTTP_11
    }

    /// Answered.
    pub fn end(&self) {
        self.busy.set(false);
        self.since.set(Instant::now());
        self.stream.answers(false);
    }

    /// No further request is begun to be read than what has come. On one that has just been opened the first may be on its way.
    pub fn end_reading(&self) {
        if self.has_begun() {
            self.stream.end_reading();
        }
    }

    /// With an answer under way on it, but nothing that moves: it holds what others could use.
    pub fn cut_if_stalled(&self) {
        let (moved, since) = self.moved.get();
        if !self.is_taking() || moved != self.stream.moved() {
            self.moved.set((self.stream.moved(), Instant::now()));
        } else if since.elapsed() > STALL_TIMEOUT {
            self.cut.notify_one();
        }
    }

    /// Is an answer on its way to it that the kernel has not taken whole?
    fn is_taking(&self) -> bool {
        self.flowing.get() || self.stream.is_write_blocked()
    }

    /// An answer begins to flow to it; it is busy until what is returned has gone.
    pub fn flow(self: &Rc<Self>) -> Flowing {
        self.flowing.set(true);
        self.flow_changed.notify_one();
        Flowing(self.clone())
    }

    /// Its answer ends in its middle, and the connection with it.
    pub fn answer_broke(&self) {
        self.answer_broke.set(true);
    }

    /// What it sends was answered before its end, and is not read any further.
    pub fn answer_early(&self) {
        self.answered_early.set(true);
    }

    pub fn is_answered_early(&self) -> bool {
        self.answered_early.get()
    }

    /// Cuts off one that has half a head on it: hyper would wait for the rest.
    pub fn cut_off(&self) {
        self.closing.set(true);
        self.cut.notify_one();
    }

    pub fn close(&self) {
        self.closing.set(true);
        self.told.notify_one();
    }
}

/// A client's answer on its way.
pub struct Flowing(Rc<ClientConnection>);

impl Drop for Flowing {
    fn drop(&mut self) {
        self.0.flowing.set(false);
        self.0.flow_changed.notify_one();
        self.0.end();
    }
}
