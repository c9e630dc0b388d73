//! The life of this process: one state, and all ways from one to the next. `/up`, `/_ready`, accepting and
//! keep-alive read it; a drain, an upgrade and the end of the process let clients go by the same times.

use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long clients' connections are kept as they are in a drain: the front sends new ones for a while, and where there
/// is no other node they have nowhere else to go.
const KEPT: Duration = Duration::from_millis(1000);
/// How much later idle ones are closed however short their pause is. In a drain nothing new may come on them 2 s after
/// the word, as 4 s after it nothing that came in the 2 s before may be open.
const ALL_IDLE: Duration = Duration::from_millis(700);
/// Pause of a connection that is to go after which its client is taken to have nothing on the way.
const PAUSE: Duration = Duration::from_millis(50);

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
    started: Cell<bool>,
    /// Since when clients are let go.
    since: Cell<Instant>,
    /// How long after that their connections are kept.
    kept: Cell<Duration>,
    /// Another process serves the same socket: clients that are let go find it at once.
    succeeded: Cell<bool>,
    changed: Notify,
}

impl Lifecycle {
    pub fn new() -> Self {
        Self {
            state: Cell::new(State::Starting),
            started: Cell::new(false),
            since: Cell::new(Instant::now()),
            kept: Cell::new(KEPT),
            succeeded: Cell::new(false),
            changed: Notify::new(),
        }
    }

    pub fn state(&self) -> State {
        self.state.get()
    }

    fn go(&self, state: State) {
        let lets_go = |state| matches!(state, State::LameDuck | State::Ending);
        if lets_go(state) && !lets_go(self.state.get()) {
            self.since.set(Instant::now());
        }
        if self.state.replace(state) != state {
            log::info!("state: {state}");
            self.changed.notify_waiters();
        }
    }

    /// All that serving needs is there.
    pub fn ready(&self) {
        self.started.set(true);
        if self.state.get() == State::Starting {
            self.go(State::Ready);
        }
    }

    /// Told to drain; one that ends already does no less.
    pub fn drain(&self) {
        if self.state.get() != State::Ending {
            self.go(State::LameDuck);
        }
    }

    /// Told to take clients again; false if it ends, which nothing takes back.
    pub fn resume(&self) -> bool {
        if self.state.get() == State::LameDuck {
            self.kept.set(KEPT);
            self.go(if self.started.get() { State::Ready } else { State::Starting });
        }
        self.state.get() != State::Ending
    }

    /// Told to end, which leaves so much time to keep clients' connections; no more than a drain has left of its own.
    pub fn end(&self, kept: Duration) {
        if !matches!(self.state.get(), State::LameDuck | State::Ending) {
            self.kept.set(kept);
        }
        self.go(State::Ending);
    }

    /// Does another process serve the same socket?
    pub fn succeeded(&self, by_another: bool) {
        self.succeeded.set(by_another);
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
            State::Ending => !self.succeeded.get(),
        }
    }

    /// Are connections kept open behind an answer?
    pub fn keeps_alive(&self) -> bool {
        matches!(self.state.get(), State::Starting | State::Ready) || self.left() < self.kept()
    }

    /// How long a client's connection must have been idle to be closed, where clients are let go.
    pub fn spares_for(&self) -> Option<Duration> {
        (!self.keeps_alive())
            .then(|| if self.left() < self.kept() + ALL_IDLE { PAUSE } else { Duration::ZERO })
    }

    fn kept(&self) -> Duration {
        if self.succeeded.get() { Duration::ZERO } else { self.kept.get() }
    }

    fn left(&self) -> Duration {
        self.since.get().elapsed()
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
mod tests {
    use super::*;
    use State::{Ending, LameDuck, Ready, Starting};
    use test_case::test_case;

    fn after(words: &str) -> State {
        let life = Lifecycle::new();
        for word in words.split(' ') {
            match word {
                "ready" => life.ready(),
                "on" => life.drain(),
                "end" => life.end(KEPT),
                _ => drop(life.resume()),
            }
        }
        life.state()
    }

    // Operators repeat calls, and a drain may cross a start, an end or another drain.
    #[test_case("ready", Ready; "ready")]
    #[test_case("ready on on", LameDuck; "drained twice")]
    #[test_case("ready on off on", LameDuck; "on, off and on")]
    #[test_case("ready on off off", Ready; "taken back twice")]
    #[test_case("on ready", LameDuck; "drained before it was ready")]
    #[test_case("on ready off", Ready; "and taken back after")]
    #[test_case("on off", Starting; "taken back before it was ready")]
    #[test_case("ready on end off", Ending; "an end is not taken back")]
    #[test_case("ready end on ready", Ending; "nor turned into a drain")]
    fn states(words: &str, wanted: State) {
        assert_eq!(after(words), wanted);
    }

    // With no other process on its socket a node that ends still owes an answer to those who come.
    #[test]
    fn only_a_node_with_a_successor_stops_accepting_at_its_end() {
        let life = Lifecycle::new();
        assert!(!life.accepts());
        life.ready();
        life.end(KEPT);
        assert!(life.accepts() && life.keeps_alive());
        life.succeeded(true);
        assert!(!life.accepts() && !life.keeps_alive());
        life.succeeded(false);
        assert!(life.accepts());
    }

    #[tokio::test(start_paused = true)]
    async fn clients_are_let_go_in_time_and_kept_again_when_the_drain_is_taken_back() {
        let life = Lifecycle::new();
        life.ready();
        life.drain();
        assert!(life.keeps_alive() && life.spares_for().is_none());
        tokio::time::advance(KEPT).await;
        assert_eq!((life.keeps_alive(), life.spares_for()), (false, Some(PAUSE)));
        tokio::time::advance(ALL_IDLE).await;
        // A second word doesn't begin the time anew.
        life.drain();
        assert_eq!(life.spares_for(), Some(Duration::ZERO));
        assert!(life.resume() && life.keeps_alive());
    }

    // Told to end, the only node of its clients serves them on what they have as long as it can answer.
    #[tokio::test(start_paused = true)]
    async fn a_node_that_ends_alone_keeps_its_clients_longer_than_a_drain_would() {
        let life = Lifecycle::new();
        life.ready();
        life.end(KEPT * 2);
        tokio::time::advance(KEPT).await;
        assert!(life.keeps_alive());
        // Not so with another process on its socket, or behind a drain that has let them go already.
        life.succeeded(true);
        assert!(!life.keeps_alive());
        let drained = Lifecycle::new();
        drained.drain();
        tokio::time::advance(KEPT).await;
        drained.end(KEPT * 2);
        assert!(!drained.keeps_alive());
    }
}
