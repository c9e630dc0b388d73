//! Fifth stage: the one final answer of a job, on its way back to the caller.

use crate::counters::Counters;
use crate::message::Answer;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::{Notify, oneshot};

/// Where a job's answer goes; takes the first one only.
pub struct AnswerSender {
    caller: RefCell<Option<oneshot::Sender<Answer>>>,
    /// Rung when it has its answer, or its caller has left.
    closed: Notify,
    book: Rc<Counters>,
}

impl AnswerSender {
    pub fn new(book: Rc<Counters>) -> (Self, oneshot::Receiver<Answer>) {
        let (caller, answer) = oneshot::channel();
        (Self { caller: RefCell::new(Some(caller)), closed: Notify::new(), book }, answer)
    }

    /// Still without an answer, and its caller still there.
    pub fn is_open(&self) -> bool {
        self.caller.borrow().is_some()
    }

    /// Waits until no answer is owed any more.
    pub async fn closed(&self) {
        while self.is_open() {
            self.closed.notified().await;
        }
    }

    fn take(&self) -> Option<oneshot::Sender<Answer>> {
        let caller = self.caller.take();
        self.closed.notify_waiters();
        caller
    }

    /// The caller has left: no answer is owed any more.
    pub fn close(&self) -> bool {
        self.take().is_some()
    }

    pub fn give(&self, answer: Answer) {
        let Some(caller) = self.take() else { return };
        match answer {
            Answer::Served(_) => self.book.served.add(),
            Answer::Rejected(_) => self.book.rejected.add(),
            Answer::Failed => self.book.failed.add(),
            Answer::TurnedDown => self.book.turned_down.add(),
        }
        if caller.send(answer).is_err() {
            self.book.answer_unsent.add();
        }
    }
}
