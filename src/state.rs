//! What a node remembers of servers and jobs, for `policy.rs` and its modules, which alone decides by it.

use crate::interface::{AttemptOutcome, ServerEntry, Settings};
use crate::ring::Ring;
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};

const PACE_MEMORY: f64 = 30_000.0; // Memory, ms, of how slow servers are: a client has few samples.

pub(crate) type Recent = Ring<10>;

#[derive(Default)]
pub(crate) struct Server {
    pub(crate) line: Cell<ServerEntry>,
    /// By this the table is ordered; the first ones are those that this node draws among.
    pub(crate) place: f64,
    pub(crate) started: Cell<f64>,
    /// The load table's entry: the last report, if any.
    pub(crate) estimate: Cell<Option<f64>>,
    /// When it was last probed, and when it last answered that.
    pub(crate) probed: Cell<f64>,
    pub(crate) seen: Cell<f64>,
    pub(crate) out: Cell<u32>,
    /// Since when it has held a request of this node's, and until when no report that says idle is believed.
    pub(crate) taken: Cell<f64>,
    pub(crate) untrue: Cell<f64>,
    /// How each profile fares on it, or all of them where draws don't ask.
    pub(crate) health: RefCell<Vec<Rc<Health>>>,
    /// Its last attempt found no connection: no fault shared with others, and its line may be out of date.
    pub(crate) unreached: Cell<bool>,
    /// When it last served a request.
    pub(crate) heard: Cell<f64>,
    /// Full a moment ago: it would turn the next attempt away too, and quickly, as if it were idle.
    pub(crate) rest_until: Cell<f64>,
    pub(crate) failing_since: Cell<f64>,
    pub(crate) slowness: Cell<f64>,
    pub(crate) relative: RefCell<Recent>,
    pub(crate) cold_credit: Cell<f64>,
    pub(crate) credit_at: Cell<f64>,
}

/// How one profile's attempts fare on a server: some fail one profile and serve the others.
#[derive(Default)]
pub(crate) struct Health {
    pub(crate) strikes: Cell<u32>,
    pub(crate) aside: Cell<f64>,
    pub(crate) back_at: Cell<f64>,
    pub(crate) on_trial: Cell<bool>,
}

pub(crate) struct Attempt {
    pub(crate) server: Rc<Server>,
    pub(crate) sent: f64,
    /// Share of the request's time left that it was to take.
    pub(crate) promise: f64,
    pub(crate) ending: Option<AttemptOutcome>,
    pub(crate) overdue: bool,
}

#[derive(Default)]
pub(crate) struct Request {
    pub(crate) id: u32,
    /// The settings that it came under, and its profile's place in them.
    pub(crate) rules: Rc<Settings>,
    pub(crate) place: usize,
    /// Its profile's place in all that is kept by profile.
    pub(crate) profile: usize,
    pub(crate) customer: usize,
    pub(crate) arrived: Cell<f64>,
    /// Infinite while its body is coming.
    pub(crate) limit: Cell<f64>,
    /// Its body has been sent and was not kept.
    pub(crate) spent: Cell<bool>,
    /// When servers were last asked for it, and its lot among the requests that cold ones may see then.
    pub(crate) asked: Cell<f64>,
    pub(crate) lot: Cell<f64>,
    pub(crate) attempts: RefCell<Vec<Attempt>>,
    pub(crate) closed: Cell<bool>,
    /// When it has taken far longer than its profile usually does.
    pub(crate) due: Cell<f64>,
    pub(crate) told: Cell<bool>,
    /// It takes no place in the window: it is slow by itself.
    pub(crate) apart: Cell<bool>,
    pub(crate) waiting: Cell<bool>,
    pub(crate) settled: Cell<bool>,
}

/// Share of a profile's requests that are answered in time.
pub(crate) struct Fare {
    pub(crate) timely: Recent,
    /// Hardly any is, while other profiles fare well: it is slow or fails wherever it goes.
    pub(crate) hopeless: bool,
    pub(crate) trial: Weak<Request>,
}

impl Request {
    /// Its part of the requests out: before its last byte has come no server works on it.
    pub(crate) fn load(&self) -> f64 {
        f64::from(u8::from(self.limit.get().is_finite() && !self.apart.get()))
    }

    pub(crate) fn errors(&self) -> usize {
        self.attempts.borrow().iter().filter(|attempt| attempt.ending == Some(AttemptOutcome::Error)).count()
    }

    /// Has every attempt so far provably never run?
    pub(crate) fn proven_unrun(&self) -> bool {
        self.attempts.borrow().iter().all(Attempt::never_ran)
    }
}

impl Attempt {
    pub(crate) fn new(server: Rc<Server>, sent: f64, promise: f64) -> Self {
        Self { server, sent, promise, ending: None, overdue: false }
    }

    pub(crate) fn is_out(&self) -> bool {
        self.ending.is_none()
    }

    /// Has it ended with proof that the request did not run by it?
    pub(crate) fn never_ran(&self) -> bool {
        self.ending.is_some_and(AttemptOutcome::never_ran)
    }
}

impl Server {
    pub(crate) fn new(line: ServerEntry, place: f64, profiles: usize) -> Self {
        Self {
            line: Cell::new(line),
            place,
            started: Cell::new(line.started_at),
            health: RefCell::new((0..profiles).map(|_| Rc::default()).collect()),
            failing_since: Cell::new(f64::INFINITY),
            slowness: Cell::new(1.0),
            relative: RefCell::new(Recent::new(PACE_MEMORY)),
            credit_at: Cell::new(line.started_at.max(0.0)),
            ..Self::default()
        }
    }

    /// A new start: nothing known of it holds, and it is cold.
    pub(crate) fn restarted(&self, at: f64, now: f64) {
        self.started.set(at);
        self.estimate.set(None);
        self.health.borrow().iter().for_each(|health| health.strikes.set(0));
        self.cold_credit.set(0.0);
        self.credit_at.set(now);
    }

    pub(crate) fn health(&self, profile: usize) -> Rc<Health> {
        let health = self.health.borrow();
        health[profile.min(health.len() - 1)].clone()
    }
}
