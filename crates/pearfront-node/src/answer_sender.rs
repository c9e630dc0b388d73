//! Delivers the one final answer of a request to the task that serves its client. Used by
//! `dispatcher`.

use crate::counters::Counters;
use crate::message::Answer;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::{Notify, oneshot};

/// Sends the answer of one request; only the first one is delivered.
pub struct AnswerSender {
    receiver: RefCell<Option<oneshot::Sender<Answer>>>,
    /// Notified when the answer is given, or the client has left.
    closed: Notify,
    counters: Rc<Counters>,
}

impl AnswerSender {
    pub fn new(counters: Rc<Counters>) -> (Self, oneshot::Receiver<Answer>) {
        let (receiver, answer) = oneshot::channel();
        (Self { receiver: RefCell::new(Some(receiver)), closed: Notify::new(), counters }, answer)
    }

    /// Whether the request has no answer yet and its client is still connected.
    pub fn is_open(&self) -> bool {
        self.receiver.borrow().is_some()
    }

    /// Waits until no answer is due any more.
    pub async fn closed(&self) {
        while self.is_open() {
            self.closed.notified().await;
        }
    }

    fn take(&self) -> Option<oneshot::Sender<Answer>> {
        let receiver = self.receiver.take();
        self.closed.notify_waiters();
        receiver
    }

    /// The client has left, so no answer is due any more. Returns whether one was due until now.
    pub fn close(&self) -> bool {
        self.take().is_some()
    }

    pub fn send(&self, answer: Answer) {
        let Some(receiver) = self.take() else { return };
        match answer {
            Answer::Served(_) => self.counters.served.add(),
            Answer::Rejected(_) => self.counters.rejected.add(),
            Answer::Failed => self.counters.failed.add(),
            Answer::TurnedDown => self.counters.turned_down.add(),
        }
        if receiver.send(answer).is_err() {
            self.counters.answer_unsent.add();
        }
    }
}
