//! The lifecycle of the process: one state and its transitions. `/up`, `/_ready`, accepting and keep-alive
//! depend on it. A drain, an upgrade and the end of the process release clients on the same schedule.

use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long client connections stay open in a drain: the front sends new ones for a while, and where there is
/// no other node clients have nowhere else to go.
const KEEP_OPEN: Duration = Duration::from_millis(1000);
/// How much later connections are closed however briefly they have been idle. In a drain, 2 s after the
/// command no new request may arrive on them, since 4 s after it no request from those 2 s may be open.
const CLOSE_ALL_AFTER: Duration = Duration::from_millis(700);
/// How much later a process that ends stops reading requests: its last answers follow 1 s later, and time to
/// write them has to remain.
const READ_UNTIL: Duration = Duration::from_millis(950);
/// A draining connection that has been idle this long is taken to have no request in flight.
const IDLE_PAUSE: Duration = Duration::from_millis(50);

/// A state of the process. `Display` gives the text that operators and the log get.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Not ready to serve yet.
    Starting,
    Ready,
    /// Draining: keeps running, answers what arrives, and releases its clients.
    LameDuck,
    /// Answers what it has accepted and exits.
    Ending,
}

/// The state of the process, and since when it drains.
pub struct Lifecycle {
    state: Cell<State>,
    /// It has been ready; a lame duck that is resumed returns to that.
    was_ready: Cell<bool>,
    /// When the drain or the end began.
    drain_began: Cell<Instant>,
    /// How long after that client connections are kept open.
    keep_open_for: Cell<Duration>,
    /// Another process serves the same socket: clients that are released reach it at once.
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

    /// Everything that serving needs is in place.
    pub fn set_ready(&self) {
        self.was_ready.set(true);
        if self.state.get() == State::Starting {
            self.transition(State::Ready);
        }
    }

    /// Starts a drain; without effect once the process is ending, which does no less.
    pub fn drain(&self) {
        if self.state.get() != State::Ending {
            self.transition(State::LameDuck);
        }
    }

    /// Ends a drain; false if the process is ending, which can't be undone.
    pub fn resume(&self) -> bool {
        if self.state.get() == State::LameDuck {
            self.keep_open_for.set(KEEP_OPEN);
            self.transition(if self.was_ready.get() { State::Ready } else { State::Starting });
        }
        self.state.get() != State::Ending
    }

    /// Ends the process, which leaves `keep_open_for` for client connections. A drain that has begun keeps
    /// its own time.
    pub fn end(&self, keep_open_for: Duration) {
        if !matches!(self.state.get(), State::LameDuck | State::Ending) {
            self.keep_open_for.set(keep_open_for);
        }
        self.transition(State::Ending);
    }

    /// Sets whether another process serves the same socket.
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

    /// May connections be accepted? A lame duck serves new ones; a process that ends leaves them to one that
    /// serves the same socket, if there is any.
    pub fn accepts(&self) -> bool {
        match self.state.get() {
            State::Starting => false,
            State::Ready | State::LameDuck => true,
            State::Ending => !self.has_successor.get(),
        }
    }

    /// Are connections kept open after an answer?
    pub fn keeps_alive(&self) -> bool {
        matches!(self.state.get(), State::Starting | State::Ready)
            || self.drained_for() < self.keep_open_for()
    }

    /// How long a client connection must have been idle to be closed; none while connections are kept open.
    pub fn idle_close_after(&self) -> Option<Duration> {
        (!self.keeps_alive()).then(|| {
            if self.drained_for() < self.keep_open_for() + CLOSE_ALL_AFTER {
                IDLE_PAUSE
            } else {
                Duration::ZERO
            }
        })
    }

    /// Are further requests read on open connections? Clients that send without a pause are released by that.
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

    /// Waits for the next change of the state.
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
