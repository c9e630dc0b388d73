//! A request from its acceptance to the end of its last attempt, and what is known of its attempts. Used by `dispatcher`
//! and `guard`.

use crate::answer_sender::AnswerSender;
use crate::capacity::RequestReservation;
use crate::connection_pool::ConnectionEnd;
use crate::deadline::Deadline;
use crate::discovery::ServerLocation;
use crate::message::ClientRequest;
use crate::tracked_stream::TrackedStream;
use hyper::header::HeaderValue;
use pearfront::interface::Profile;
use std::borrow::Cow;
use std::cell::{Cell, RefCell};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use tokio::sync::Notify;

/// Longest id that is kept as it is, bytes, and how much of a longer one is.
const MAX_ID_BYTES: usize = 128;
const ID_START_BYTES: usize = 64;

/// A request id as text, as exchanged between processes; for a long one its beginning and a hash.
pub(super) fn id_text(id: &HeaderValue) -> Cow<'_, str> {
    let bytes = id.as_bytes();
    if bytes.len() <= MAX_ID_BYTES {
        return String::from_utf8_lossy(bytes);
    }
    let mut hasher = DefaultHasher::new();
    bytes.hash(&mut hasher);
    let start = String::from_utf8_lossy(&bytes[..ID_START_BYTES]);
    format!("{start}...{:016x}", hasher.finish()).into()
}

/// A request from its acceptance to the end of its last attempt.
pub struct OpenRequest {
    pub(super) number: u32,
    pub(super) request: ClientRequest,
    pub(super) deadline: Deadline,
    /// Notified when the request is complete and its deadline is known.
    pub(super) completed: Notify,
    /// Whether its client left before it had an answer.
    pub(super) client_left: Cell<bool>,
    pub(super) answer: AnswerSender,
    /// The connection that it arrived on; a weak reference, so that it does not keep the connection
    /// open.
    pub(super) stream: Weak<TrackedStream>,
    pub(super) attempts: RefCell<Vec<AttemptRecord>>,
    pub(super) attempts_running: Cell<usize>,
    pub(super) _reservation: RequestReservation,
}

/// An attempt that may have run.
pub struct EarlierAttempt {
    /// When its first byte was written, ms.
    pub written_at: f64,
    /// Zone and cell of its server.
    pub location: Option<ServerLocation>,
}

/// One attempt of a request.
pub(super) struct AttemptRecord {
    pub(super) server: SocketAddr,
    pub(super) server_location: Option<ServerLocation>,
    /// When its first byte was written, ms.
    pub(super) written_at: Option<f64>,
    /// Notified when it is called off.
    pub(super) called_off: Rc<Notify>,
    /// How it ended, once it has.
    pub(super) end: Option<ConnectionEnd>,
}

impl AttemptRecord {
    fn may_have_run(&self) -> bool {
        self.written_at.is_some() && !self.end.is_some_and(ConnectionEnd::never_ran)
    }
}

impl OpenRequest {
    pub fn id(&self) -> Cow<'_, str> {
        id_text(self.request.id())
    }

    /// Whether an answer is still due.
    pub fn is_open(&self) -> bool {
        self.answer.is_open()
    }

    /// Time left until its deadline, ms.
    pub fn time_left(&self, now: f64) -> f64 {
        self.deadline.time_left(now)
    }

    pub fn profile(&self) -> &Profile {
        &self.request.settings.policy_settings.profiles[self.request.profile]
    }

    /// Whether its client has ended the connection.
    pub fn client_has_left(&self) -> bool {
        self.stream.upgrade().is_none_or(|stream| stream.has_ended())
    }

    /// The first of its attempts, other than the one with this index, that may have run.
    pub fn first_that_may_have_run(&self, index: usize) -> Option<EarlierAttempt> {
        let attempts = self.attempts.borrow();
        let others =
            attempts.iter().enumerate().filter(|(other, attempt)| *other != index && attempt.may_have_run());
        let first = others
            .map(|(_, attempt)| attempt)
            .min_by(|a, b| a.written_at.partial_cmp(&b.written_at).unwrap())?;
        Some(EarlierAttempt { written_at: first.written_at?, location: first.server_location })
    }

    /// Whether no attempt of it can have run.
    pub(super) fn is_unsent(&self) -> bool {
        !self.attempts.borrow().iter().any(AttemptRecord::may_have_run)
    }

    /// Records that the first byte of an attempt has been written.
    pub fn record_written(&self, index: usize, now: f64) {
        self.attempts.borrow_mut()[index].written_at = Some(now);
    }

    /// The outcome of its attempts, for the log.
    pub(super) fn history(&self) -> String {
        let attempts = self.attempts.borrow();
        let one = |attempt: &AttemptRecord| match attempt.end {
            Some(end) => format!("{} {end:?}", attempt.server),
            None => format!("{} open", attempt.server),
        };
        match attempts.is_empty() {
            true => "no attempt".into(),
            false => attempts.iter().map(one).collect::<Vec<_>>().join(", "),
        }
    }
}
