//! Fifth stage: the one final answer of a job, on its way back to the caller.

use crate::counters::Counters;
use crate::message::Answer;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::{Notify, oneshot};

/// Where a job's answer goes; takes the first one only.
pub struct AnswerSender {
    receiver: RefCell<Option<oneshot::Sender<Answer>>>,
    /// Rung when it has its answer, or its caller has left.
    closed: Notify,
    counters: Rc<Counters>,
}

impl AnswerSender {
    pub fn new(counters: Rc<Counters>) -> (Self, oneshot::Receiver<Answer>) {
        let (receiver, answer) = oneshot::channel();
        (Self { receiver: RefCell::new(Some(receiver)), closed: Notify::new(), counters }, answer)
    }

    /// Still without an answer, and its caller still there.
    pub fn is_open(&self) -> bool {
        self.receiver.borrow().is_some()
    }

    /// Waits until no answer is owed any more.
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

    /// The caller has left: no answer is owed any more.
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
