//! Carries out what the decision module writes in a round. Used by `dispatcher`.

use super::Dispatcher;
use crate::discovery;
use crate::message::Answer;
use pearfront::interface::{Address, DecisionWriter};
use std::rc::Rc;
use tokio::task::spawn_local;

/// Added to each wake-up time, ms, so that rounding never starts a round just before what it is
/// for.
const WAKE_MARGIN_MS: f64 = 0.01;

/// Carries out the decisions of the module.
pub(super) struct Decisions<'a> {
    pub(super) dispatcher: &'a Rc<Dispatcher>,
    /// Start of the round, ms.
    pub(super) now: f64,
    /// When the next round is due at the latest, ms.
    pub(super) wake: f64,
}

impl DecisionWriter for Decisions<'_> {
    fn attempt(&mut self, request: u32, server: Address, limit: f64) {
        self.dispatcher.attempt(request, server, limit);
    }

    fn cancel(&mut self, request: u32, attempt: u16) {
        if let Some(open) = self.dispatcher.open_requests.borrow().get(&request)
            && let Some(attempt) = open.attempts.borrow().get(usize::from(attempt))
        {
            attempt.called_off.notify_one();
        }
    }

    fn reject(&mut self, request: u32, wait: f64) {
        self.dispatcher.answer(request, Answer::Rejected(wait));
    }

    fn fail(&mut self, request: u32) {
        self.dispatcher.answer(request, Answer::Failed);
    }

    fn probe(&mut self, server: Address) {
        spawn_local(self.dispatcher.prober.clone().probe(server, discovery::decode_address(server)));
    }

    fn wake_after(&mut self, delay: f64) {
        self.wake = self.wake.min(self.now + delay + WAKE_MARGIN_MS);
    }

    fn watch_list(&mut self) {
        self.dispatcher.discovery.start_watch();
    }

    fn log(&mut self, line: &str) {
        log::info!("{line}");
    }
}
