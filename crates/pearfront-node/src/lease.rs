//! Leases on servers: until when one that the list has as ready may be sent to. A list is knowledge with an age, and a change
//! that never arrived counts as told all the same; once it does and the grace is over, nothing may go there. A lease is
//! renewed by discovery's list, for all servers, and by a server's own word, for that one: a probe answered well. A request
//! that is served is none, as one that drains may go on to serve. Nothing here knows of sockets;
//! times are ms on the node's monotonic clock.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;

/// A change counts as told so long after discovery had it and could be reached, ms, whatever became of the calls.
pub const TOLD: f64 = 6000.0;
/// What a service has that has moved so long after the node was told where to, ms.
pub const TOLD_MOVED: f64 = 4000.0;
/// How much later than its look at the clock a write may be, ms: a process may be held up for 150 ms between the two, and the
/// protocol gives 50 ms beyond. So much of the grace is kept for it.
pub const MARGIN: f64 = 200.0;

/// How a change gets known, and how long a server may be sent to after that.
#[derive(Debug, Clone, Copy)]
pub struct Rules {
    /// Lists are pushed: what discovery has counts as told at once where no watch is open.
    pub pushed: bool,
    /// Grace of drains, ms.
    pub grace: f64,
}

impl Rules {
    fn usable_grace(self) -> f64 {
        (self.grace - MARGIN).max(0.0)
    }

    /// How long after it was made a change counts as told at the latest, ms, where no watch is open.
    fn unwatched(self) -> f64 {
        if self.pushed { 0.0 } else { TOLD }
    }
}

/// What a call to discovery shows of the list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Contact {
    /// It was answered with a list; all that discovery had at that time is known.
    Heard { at: f64 },
    /// Nobody listens there; what it has counts from its return.
    Unreachable { since: f64 },
    /// It answered that there are too many callers, or ended the connection: it may have had something to tell.
    Crowded { since: f64 },
    /// A list that broke off began to come at the first of these times at the earliest, and had not come whole at the second: what it
    /// said counts as told.
    Cut { at: f64, until: f64 },
    /// The node has stopped waiting for an answer: it may be on its way, or be written later, and counts as told then.
    GivenUp { at: f64 },
}

/// From when on a change counts as told that the node does not know of, and since when that is known.
#[derive(Debug, Clone, Copy)]
struct Told {
    since: f64,
    from: f64,
}

/// Times without the grace, which other settings may change while they run.
#[derive(Debug, Default)]
pub struct Leases {
    /// From when on changes that no list has brought count as told.
    list: Cell<f64>,
    /// Earlier than that until a list has been heard: what counts as told already, or is about to.
    cap: Cell<Option<Told>>,
    /// An answer may have been missed since the last list that was heard.
    missed: Cell<bool>,
    /// When servers were asked that answered well.
    own: RefCell<HashMap<SocketAddr, f64>>,
}

impl Leases {
    /// The list is the one that the process was started with.
    pub fn begin(&self, rules: Rules, now: f64) {
        self.list.set(now + rules.unwatched());
    }

    /// A call to discovery has ended.
    pub fn renew(&self, rules: Rules, contact: Contact) {
        match contact {
            Contact::Heard { at } => {
                // The watch behind it may fall silent at once.
                self.list.set(at + TOLD);
                self.cap.set(None);
                self.missed.set(false);
            }
            Contact::Unreachable { since } => self.list.set(since + self.unheard(rules)),
            // The watch is over: what it has counts at once.
            Contact::Crowded { since } if rules.pushed => self.list.set(self.list.get().min(since)),
            Contact::Crowded { .. } => {}
            Contact::Cut { at, until } => self.limit(Told { since: until, from: at }),
            Contact::GivenUp { at } => {
                self.list.set(self.list.get().min(at));
                self.missed.set(true);
            }
        }
    }

    /// How long after it was made a change counts as told that this node does not hear of, ms.
    fn unheard(&self, rules: Rules) -> f64 {
        if self.missed.get() { 0.0 } else { rules.unwatched() }
    }

    /// Discovery has moved: what it has at the new place counts as told soon, whether or not it can be called there.
    pub fn moved(&self, now: f64) {
        self.limit(Told { since: now, from: now + TOLD_MOVED });
    }

    fn limit(&self, told: Told) {
        let before = self.cap.get().unwrap_or(told);
        self.cap.set(Some(Told { since: told.since.max(before.since), from: told.from.min(before.from) }));
    }

    /// How long a server's own word lasts, ms.
    pub fn own_word_lasts(&self, rules: Rules) -> f64 {
        self.unheard(rules) + rules.usable_grace()
    }

    /// A server that was asked at that time answered well, so it was not draining then.
    pub fn confirmed(&self, server: SocketAddr, at: f64) {
        let mut own = self.own.borrow_mut();
        let known = own.entry(server).or_insert(at);
        *known = known.max(at);
    }

    /// A server has left its address.
    pub fn forget(&self, server: SocketAddr) {
        self.own.borrow_mut().remove(&server);
    }

    /// Until when the list may be gone by.
    pub fn of_list(&self, rules: Rules) -> f64 {
        self.list.get().min(self.cap.get().map_or(f64::INFINITY, |told| told.from)) + rules.usable_grace()
    }

    /// Until when a server may be sent to that the list has as ready.
    pub fn of(&self, rules: Rules, server: SocketAddr) -> f64 {
        let own = self.own.borrow().get(&server).map(|at| {
            // What a list said that broke off behind its word counts as told.
            let cap = self.cap.get().filter(|told| told.since > *at).map_or(f64::INFINITY, |told| told.from);
            (at + self.unheard(rules)).min(cap) + rules.usable_grace()
        });
        self.of_list(rules).max(own.unwrap_or(f64::NEG_INFINITY))
    }
}

#[cfg(test)]
mod tests;
