//! Events that wait for the decision module's next round. All stages of the node push them.

use pearfront::policy::Balancer;
use std::cell::RefCell;
use tokio::sync::Notify;

pub(super) type Event = Box<dyn FnOnce(&mut Balancer)>;

/// Events for the decision module's next round, in order of arrival.
#[derive(Default)]
pub struct EventQueue {
    pub(super) queued: RefCell<Vec<Event>>,
    pub(super) pushed: Notify,
}

impl EventQueue {
    /// Adds an event for the next round.
    pub fn push(&self, event: impl FnOnce(&mut Balancer) + 'static) {
        self.queued.borrow_mut().push(Box::new(event));
        self.pushed.notify_one();
    }
}
