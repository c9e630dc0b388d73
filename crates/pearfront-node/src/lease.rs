//! Leases on servers: until when a request may be sent to a server that the last list shows as ready.
//! The list ages. A drain notice that never arrived still counts as delivered some seconds after it was
//! issued, and once the drain grace that follows is over, nothing may be sent to that server.
//! A lease is renewed for all servers by a list from discovery, and for one server by a successful probe of
//! it. A served request renews nothing, since a draining server may go on serving. Used by `discovery`; no
//! I/O here. Times are ms on the node's monotonic clock.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;

/// A change counts as delivered this long after discovery had it and could be reached, whatever became of the
/// calls.
pub const ASSUMED_DELIVERY_MS: f64 = 6000.0;
/// What discovery has at a new address counts as delivered this long after the node was given that address.
pub const ASSUMED_DELIVERY_AFTER_MOVE_MS: f64 = 4000.0;
/// How much later than the clock reading that allowed it a write may happen: the process may be held up for
/// 150 ms in between, and the protocol allows 50 ms more. This much of the drain grace is left unused for it.
pub const WRITE_DELAY_MARGIN_MS: f64 = 200.0;

/// How changes reach the node, and how long a server may be used after that.
#[derive(Debug, Clone, Copy)]
pub struct LeaseRules {
    /// Lists are pushed: while no watch is open, what discovery has counts as delivered at once.
    pub pushed: bool,
    /// How long a draining server may still be sent requests, ms.
    pub drain_grace_ms: f64,
}

impl LeaseRules {
    fn usable_grace_ms(self) -> f64 {
        (self.drain_grace_ms - WRITE_DELAY_MARGIN_MS).max(0.0)
    }

    /// The latest time after a change was made at which it counts as delivered while no watch is open, ms.
    fn unwatched_delay_ms(self) -> f64 {
        if self.pushed { 0.0 } else { ASSUMED_DELIVERY_MS }
    }
}

/// What the result of a call to discovery says about the list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CallOutcome {
    /// A complete list came; all that discovery had at that time is known.
    ListReceived { at: f64 },
    /// The connection was refused: what discovery has counts from its return.
    Unreachable { since: f64 },
    /// Discovery answered with another status (for instance too many clients) or closed the connection; it
    /// may hold changes that the node lacks.
    Rejected { since: f64 },
    /// A list arrived incomplete: it began no earlier than `at` and was not complete by `until`. Its changes
    /// count as delivered.
    Truncated { at: f64, until: f64 },
    /// The node stopped waiting. The answer may be on its way or be written later, and counts as delivered
    /// from `at`.
    TimedOut { at: f64 },
}

/// From when on a change that the node does not have counts as delivered, and when the node learned of it.
#[derive(Debug, Clone, Copy)]
struct AssumedDelivery {
    since: f64,
    from: f64,
}

/// The lease times. They are kept without the drain grace, which a reload of the settings may change.
#[derive(Debug, Default)]
pub struct Leases {
    /// From when on changes that no list has brought count as delivered.
    delivered_from: Cell<f64>,
    /// An earlier bound that holds until the next list: changes that already count as delivered, or are about
    /// to.
    earlier_assumption: Cell<Option<AssumedDelivery>>,
    /// Whether an answer may have been missed since the last list.
    answer_may_be_missed: Cell<bool>,
    /// When the last successful probe of each server began.
    confirmations: RefCell<HashMap<SocketAddr, f64>>,
}

impl Leases {
    /// Sets the lease of the list that the process was started with.
    pub fn start(&self, rules: LeaseRules, now: f64) {
        self.delivered_from.set(now + rules.unwatched_delay_ms());
    }

    /// Updates the lease of the list from the result of a call to discovery.
    pub fn record_call(&self, rules: LeaseRules, outcome: CallOutcome) {
        match outcome {
            CallOutcome::ListReceived { at } => {
                // The watch that follows may fall silent at once.
                self.delivered_from.set(at + ASSUMED_DELIVERY_MS);
                self.earlier_assumption.set(None);
                self.answer_may_be_missed.set(false);
            }
            CallOutcome::Unreachable { since } => {
                self.delivered_from.set(since + self.undelivered_delay_ms(rules))
            }
            // The watch has ended: what discovery has counts at once.
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

    /// How long after it was made a change that the node does not receive counts as delivered, ms.
    fn undelivered_delay_ms(&self, rules: LeaseRules) -> f64 {
        if self.answer_may_be_missed.get() { 0.0 } else { rules.unwatched_delay_ms() }
    }

    /// Discovery has a new address: what it has there counts as delivered soon, whether or not it can be
    /// reached there.
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

    /// How long a successful probe allows sending to its server, ms.
    pub fn confirmation_lifetime_ms(&self, rules: LeaseRules) -> f64 {
        self.undelivered_delay_ms(rules) + rules.usable_grace_ms()
    }

    /// Records a successful probe that began at `at`; the server was not draining then.
    pub fn confirm(&self, server: SocketAddr, at: f64) {
        let mut confirmations = self.confirmations.borrow_mut();
        let known = confirmations.entry(server).or_insert(at);
        *known = known.max(at);
    }

    /// Drops what is known of a server that has left its address.
    pub fn forget(&self, server: SocketAddr) {
        self.confirmations.borrow_mut().remove(&server);
    }

    /// The time until which the list may be relied on.
    pub fn list_expiry(&self, rules: LeaseRules) -> f64 {
        self.delivered_from
            .get()
            .min(self.earlier_assumption.get().map_or(f64::INFINITY, |assumption| assumption.from))
            + rules.usable_grace_ms()
    }

    /// The time until which requests may be sent to a server that the list shows as ready.
    pub fn server_expiry(&self, rules: LeaseRules, server: SocketAddr) -> f64 {
        let by_confirmation = self.confirmations.borrow().get(&server).map(|at| {
            // Changes in a list that broke off after the probe count as delivered.
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
