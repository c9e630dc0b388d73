//! Leases on servers: until when one that the list has as ready may be sent to. A list is knowledge with an age, and a change
//! that never arrived counts as told all the same; once it does and the grace is over, nothing may go there. A lease is
//! renewed by discovery's list, for all servers, and by a server's own word, for that one: a probe answered well. A request
//! that is served is none, as one that drains may go on to serve. Nothing here knows of sockets;
//! times are ms on the node's monotonic clock.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;

/// A change counts as told so long after discovery had it and could be reached, ms, whatever became of the calls.
pub const ASSUMED_DELIVERY_MS: f64 = 6000.0;
/// What a service has that has moved so long after the node was told where to, ms.
pub const ASSUMED_DELIVERY_AFTER_MOVE_MS: f64 = 4000.0;
/// How much later than its look at the clock a write may be, ms: a process may be held up for 150 ms between the two, and the
/// protocol gives 50 ms beyond. So much of the grace is kept for it.
pub const WRITE_DELAY_MARGIN_MS: f64 = 200.0;

/// How a change gets known, and how long a server may be sent to after that.
#[derive(Debug, Clone, Copy)]
pub struct LeaseRules {
    /// Lists are pushed: what discovery has counts as told at once where no watch is open.
    pub pushed: bool,
    /// Grace of drains, ms.
    pub drain_grace_ms: f64,
}

impl LeaseRules {
    fn usable_grace_ms(self) -> f64 {
        (self.drain_grace_ms - WRITE_DELAY_MARGIN_MS).max(0.0)
    }

    /// How long after it was made a change counts as told at the latest, ms, where no watch is open.
    fn unwatched_delay_ms(self) -> f64 {
        if self.pushed { 0.0 } else { ASSUMED_DELIVERY_MS }
    }
}

/// What a call to discovery shows of the list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CallOutcome {
    /// It was answered with a list; all that discovery had at that time is known.
    ListReceived { at: f64 },
    /// Nobody listens there; what it has counts from its return.
    Unreachable { since: f64 },
    /// It answered that there are too many callers, or ended the connection: it may have had something to tell.
    Rejected { since: f64 },
    /// A list that broke off began to come at the first of these times at the earliest, and had not come whole at the second: what it
    /// said counts as told.
    Truncated { at: f64, until: f64 },
    /// The node has stopped waiting for an answer: it may be on its way, or be written later, and counts as told then.
    TimedOut { at: f64 },
}

/// From when on a change counts as told that the node does not know of, and since when that is known.
#[derive(Debug, Clone, Copy)]
struct AssumedDelivery {
    since: f64,
    from: f64,
}

/// Times without the grace, which other settings may change while they run.
#[derive(Debug, Default)]
pub struct Leases {
    /// From when on changes that no list has brought count as told.
    delivered_from: Cell<f64>,
    /// Earlier than that until a list has been heard: what counts as told already, or is about to.
    earlier_assumption: Cell<Option<AssumedDelivery>>,
    /// An answer may have been missed since the last list that was heard.
    answer_may_be_missed: Cell<bool>,
    /// When servers were asked that answered well.
    confirmations: RefCell<HashMap<SocketAddr, f64>>,
}

impl Leases {
    /// The list is the one that the process was started with.
    pub fn start(&self, rules: LeaseRules, now: f64) {
        self.delivered_from.set(now + rules.unwatched_delay_ms());
    }

    /// A call to discovery has ended.
    pub fn record_call(&self, rules: LeaseRules, outcome: CallOutcome) {
        match outcome {
            CallOutcome::ListReceived { at } => {
                // The watch behind it may fall silent at once.
                self.delivered_from.set(at + ASSUMED_DELIVERY_MS);
                self.earlier_assumption.set(None);
                self.answer_may_be_missed.set(false);
            }
            CallOutcome::Unreachable { since } => {
                self.delivered_from.set(since + self.undelivered_delay_ms(rules))
            }
            // The watch is over: what it has counts at once.
            CallOutcome::Rejected { since } if rules.pushed => {
                self.delivered_from.set(self.delivered_from.get().min(since))
            }
            CallOutcome::Rejected { .. } => {}
            CallOutcome::Truncated { at, until } => self.tighten(AssumedDelivery { since: until, from: at }),
            CallOutcome::TimedOut { at } => {
                self.delivered_from.set(self.delivered_from.get().min(at));
                self.answer_may_be_missed.set(true);
            }
        }
    }

    /// How long after it was made a change counts as told that this node does not hear of, ms.
    fn undelivered_delay_ms(&self, rules: LeaseRules) -> f64 {
        if self.answer_may_be_missed.get() { 0.0 } else { rules.unwatched_delay_ms() }
    }

    /// Discovery has moved: what it has at the new place counts as told soon, whether or not it can be called there.
    pub fn service_moved(&self, now: f64) {
        self.tighten(AssumedDelivery { since: now, from: now + ASSUMED_DELIVERY_AFTER_MOVE_MS });
    }

    fn tighten(&self, assumption: AssumedDelivery) {
        let before = self.earlier_assumption.get().unwrap_or(assumption);
        self.earlier_assumption.set(Some(AssumedDelivery {
            since: assumption.since.max(before.since),
            from: assumption.from.min(before.from),
        }));
    }

    /// How long a server's own word lasts, ms.
    pub fn confirmation_lifetime_ms(&self, rules: LeaseRules) -> f64 {
        self.undelivered_delay_ms(rules) + rules.usable_grace_ms()
    }

    /// A server that was asked at that time answered well, so it was not draining then.
    pub fn confirm(&self, server: SocketAddr, at: f64) {
        let mut confirmations = self.confirmations.borrow_mut();
        let known = confirmations.entry(server).or_insert(at);
        *known = known.max(at);
    }

    /// A server has left its address.
    pub fn forget(&self, server: SocketAddr) {
        self.confirmations.borrow_mut().remove(&server);
    }

    /// Until when the list may be gone by.
    pub fn list_expiry(&self, rules: LeaseRules) -> f64 {
        self.delivered_from
            .get()
            .min(self.earlier_assumption.get().map_or(f64::INFINITY, |assumption| assumption.from))
            + rules.usable_grace_ms()
    }

    /// Until when a server may be sent to that the list has as ready.
    pub fn server_expiry(&self, rules: LeaseRules, server: SocketAddr) -> f64 {
        let by_confirmation = self.confirmations.borrow().get(&server).map(|at| {
            // What a list said that broke off behind its word counts as told.
            let bound = self
                .earlier_assumption
                .get()
                .filter(|assumption| assumption.since > *at)
                .map_or(f64::INFINITY, |assumption| assumption.from);
            (at + self.undelivered_delay_ms(rules)).min(bound) + rules.usable_grace_ms()
        });
        self.list_expiry(rules).max(by_confirmation.unwrap_or(f64::NEG_INFINITY))
    }
}

#[cfg(test)]
mod tests;
