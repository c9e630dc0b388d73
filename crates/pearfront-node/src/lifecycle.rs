//! The life of this process: one state, and all ways from one to the next. `/up`, `/_ready`, accepting and
//! keep-alive read it; a drain, an upgrade and the end of the process let clients go by the same times.

use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long clients' connections are kept as they are in a drain: the front sends new ones for a while, and where there
/// is no other node they have nowhere else to go.
const KEEP_OPEN: Duration = Duration::from_millis(1000);
/// How much later idle ones are closed however short their pause is. In a drain nothing new may come on them 2 s after
/// the word, as 4 s after it nothing that came in the 2 s before may be open.
const CLOSE_ALL_AFTER: Duration = Duration::from_millis(700);
/// How much later a process that ends reads no further requests: its last answers come 1 s behind, and time to write them
/// has to be left.
const READ_UNTIL: Duration = Duration::from_millis(950);
/// Pause of a connection that is to go after which its client is taken to have nothing on the way.
const IDLE_PAUSE: Duration = Duration::from_millis(50);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Not ready to serve yet.
    Starting,
    Ready,
    /// Told to drain: runs on, answers what comes, and lets its clients go.
    LameDuck,
    /// Answers what it took and exits.
    Ending,
}

pub struct Lifecycle {
    state: Cell<State>,
    /// Ready once: what a lame duck goes back to.
    was_ready: Cell<bool>,
    /// Since when clients are let go.
    drain_began: Cell<Instant>,
    /// How long after that their connections are kept.
    keep_open_for: Cell<Duration>,
    /// Another process serves the same socket: clients that are let go find it at once.
    has_successor: Cell<bool>,
    changed: Notify,
}

impl Lifecycle {
    pub fn new() -> Self {
        Self {
            state: Cell::new(State::Starting),
            was_ready: Cell::new(false),
            drain_began: Cell::new(Instant::now()),
            keep_open_for: Cell::new(KEEP_OPEN),
            has_successor: Cell::new(false),
            changed: Notify::new(),
        }
    }

    pub fn state(&self) -> State {
        self.state.get()
    }

    fn transition(&self, state: State) {
        let is_draining = |state| matches!(state, State::LameDuck | State::Ending);
        if is_draining(state) && !is_draining(self.state.get()) {
            self.drain_began.set(Instant::now());
        }
        if self.state.replace(state) != state {
            log::info!("state: {state}");
            self.changed.notify_waiters();
        }
    }

    /// All that serving needs is there.
    pub fn set_ready(&self) {
        self.was_ready.set(true);
        if self.state.get() == State::Starting {
            self.transition(State::Ready);
        }
    }

    /// Told to drain; one that ends already does no less.
    pub fn drain(&self) {
        if self.state.get() != State::Ending {
            self.transition(State::LameDuck);
        }
    }

    /// Told to take clients again; false if it ends, which nothing takes back.
    pub fn resume(&self) -> bool {
        if self.state.get() == State::LameDuck {
            self.keep_open_for.set(KEEP_OPEN);
            self.transition(if self.was_ready.get() { State::Ready } else { State::Starting });
        }
        self.state.get() != State::Ending
    }

    /// Told to end, which leaves so much time to keep clients' connections; no more than a drain has left of its own.
    pub fn end(&self, keep_open_for: Duration) {
        if !matches!(self.state.get(), State::LameDuck | State::Ending) {
            self.keep_open_for.set(keep_open_for);
        }
        self.transition(State::Ending);
    }

    /// Does another process serve the same socket?
    pub fn set_successor(&self, has_successor: bool) {
        if self.has_successor.replace(has_successor) != has_successor {
            self.changed.notify_waiters();
        }
    }

    pub fn is_ending(&self) -> bool {
        self.state.get() == State::Ending
    }

    pub fn is_ready(&self) -> bool {
        self.state.get() == State::Ready
    }

    /// May connections be accepted? A lame duck serves those that still come; one that ends leaves them to whoever
    /// serves the same socket.
    pub fn accepts(&self) -> bool {
        match self.state.get() {
            State::Starting => false,
            State::Ready | State::LameDuck => true,
            State::Ending => !self.has_successor.get(),
        }
    }

    /// Are connections kept open behind an answer?
    pub fn keeps_alive(&self) -> bool {
        matches!(self.state.get(), State::Starting | State::Ready)
            || self.drained_for() < self.keep_open_for()
    }

    /// How long a client's connection must have been idle to be closed, where clients are let go.
    pub fn idle_close_after(&self) -> Option<Duration> {
        (!self.keeps_alive()).then(|| {
            if self.drained_for() < self.keep_open_for() + CLOSE_ALL_AFTER {
                IDLE_PAUSE
            } else {
                Duration::ZERO
            }
        })
    }

    /// Are further requests read on connections that are open? Clients that send without a pause are let go by that.
    pub fn reads_requests(&self) -> bool {
        match self.state.get() {
            State::Starting | State::Ready => true,
            State::LameDuck => self.drained_for() < self.keep_open_for() + CLOSE_ALL_AFTER,
            State::Ending => self.drained_for() < self.keep_open_for() + READ_UNTIL,
        }
    }

    fn keep_open_for(&self) -> Duration {
        if self.has_successor.get() { Duration::ZERO } else { self.keep_open_for.get() }
    }

    fn drained_for(&self) -> Duration {
        self.drain_began.get().elapsed()
    }

    pub async fn changed(&self) {
        self.changed.notified().await;
    }
}

impl std::fmt::Display for State {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str(match self {
            State::Starting => "starting",
            State::Ready => "ready",
            State::LameDuck => "lame duck",
            State::Ending => "ending",
        })
    }
}

#[cfg(test)]
mod tests;
