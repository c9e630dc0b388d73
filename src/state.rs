//! What a node remembers of servers and jobs, for `policy.rs` and its modules, which alone decides by it.

use crate::interface::{AttemptOutcome, ServerEntry, Settings};
use crate::sliding_window::SlidingWindow;
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};

const SLOWNESS_SPAN_MS: f64 = 30_000.0; // Memory, ms, of how slow servers are: a client has few samples.

pub(crate) type RecentSamples = SlidingWindow<10>;

#[derive(Default)]
pub(crate) struct Server {
    pub(crate) entry: Cell<ServerEntry>,
    /// By this the table is ordered; the first ones are those that this node draws among.
    pub(crate) order_key: f64,
    pub(crate) started_at: Cell<f64>,
    /// The load table's entry: the last report, if any.
    pub(crate) reported_load: Cell<Option<f64>>,
    /// When it was last probed, and when it last answered that.
    pub(crate) probed_at: Cell<f64>,
    pub(crate) probe_answered_at: Cell<f64>,
    pub(crate) in_flight: Cell<u32>,
    /// Since when it has held a request of this node's, and until when no report that says idle is believed.
    pub(crate) busy_since: Cell<f64>,
    pub(crate) distrust_idle_until: Cell<f64>,
    /// How each profile fares on it, or all of them where draws don't ask.
    pub(crate) health: RefCell<Vec<Rc<Health>>>,
    /// Its last attempt found no connection: no fault shared with others, and its line may be out of date.
    pub(crate) connect_failed: Cell<bool>,
    /// When it last served a request.
    pub(crate) last_served_at: Cell<f64>,
    /// Full a moment ago: it would turn the next attempt away too, and quickly, as if it were idle.
    pub(crate) backoff_until: Cell<f64>,
    pub(crate) failing_since: Cell<f64>,
    pub(crate) slowness: Cell<f64>,
    pub(crate) relative_durations: RefCell<RecentSamples>,
    pub(crate) cold_credit: Cell<f64>,
    pub(crate) credit_updated_at: Cell<f64>,
}

/// How one profile's attempts fare on a server: some fail one profile and serve the others.
#[derive(Default)]
pub(crate) struct Health {
    pub(crate) failures: Cell<u32>,
    pub(crate) ejection_time: Cell<f64>,
    pub(crate) ejected_until: Cell<f64>,
    pub(crate) on_trial: Cell<bool>,
}

pub(crate) struct Attempt {
    pub(crate) server: Rc<Server>,
    pub(crate) sent_at: f64,
    /// Share of the request's time left that it was to take.
    pub(crate) expected_share: f64,
    pub(crate) outcome: Option<AttemptOutcome>,
    pub(crate) overdue: bool,
}

#[derive(Default)]
pub(crate) struct Request {
    pub(crate) id: u32,
    /// The settings that it came under, and its profile's place in them.
    pub(crate) settings: Rc<Settings>,
    pub(crate) settings_profile: usize,
    /// Its profile's place in all that is kept by profile.
    pub(crate) profile: usize,
    pub(crate) customer: usize,
    pub(crate) arrived_at: Cell<f64>,
    /// Infinite while its body is coming.
    pub(crate) deadline: Cell<f64>,
    /// Its body has been sent and was not kept.
    pub(crate) not_replayable: Cell<bool>,
    /// When servers were last asked for it, and its lot among the requests that cold ones may see then.
    pub(crate) probed_at: Cell<f64>,
    pub(crate) cold_lottery: Cell<f64>,
    pub(crate) attempts: RefCell<Vec<Attempt>>,
    pub(crate) closed: Cell<bool>,
    /// When it has taken far longer than its profile usually does.
    pub(crate) slow_at: Cell<f64>,
    pub(crate) timeliness_recorded: Cell<bool>,
    /// It takes no place in the window: it is slow by itself.
    pub(crate) excluded_from_window: Cell<bool>,
    pub(crate) queued: Cell<bool>,
    pub(crate) settled: Cell<bool>,
}

/// Share of a profile's requests that are answered in time.
pub(crate) struct ProfileTimeliness {
    pub(crate) answered_in_time: RecentSamples,
    /// Hardly any is, while other profiles fare well: it is slow or fails wherever it goes.
    pub(crate) trial_only: bool,
    pub(crate) trial: Weak<Request>,
}

impl Request {
    /// Its part of the requests out: before its last byte has come no server works on it.
    pub(crate) fn window_weight(&self) -> f64 {
        f64::from(u8::from(self.deadline.get().is_finite() && !self.excluded_from_window.get()))
    }

    pub(crate) fn errors(&self) -> usize {
        self.attempts.borrow().iter().filter(|attempt| attempt.outcome == Some(AttemptOutcome::Error)).count()
    }

    /// Has every attempt so far provably never run?
    pub(crate) fn never_ran(&self) -> bool {
        self.attempts.borrow().iter().all(Attempt::never_ran)
    }
}

impl Attempt {
    pub(crate) fn new(server: Rc<Server>, sent: f64, promise: f64) -> Self {
        Self { server, sent_at: sent, expected_share: promise, outcome: None, overdue: false }
    }

    pub(crate) fn is_out(&self) -> bool {
        self.outcome.is_none()
    }

    /// Has it ended with proof that the request did not run by it?
    pub(crate) fn never_ran(&self) -> bool {
        self.outcome.is_some_and(AttemptOutcome::never_ran)
    }
}

impl Server {
    pub(crate) fn new(entry: ServerEntry, order_key: f64, profiles: usize) -> Self {
        Self {
            entry: Cell::new(entry),
            order_key,
            started_at: Cell::new(entry.started_at),
            health: RefCell::new((0..profiles).map(|_| Rc::default()).collect()),
            failing_since: Cell::new(f64::INFINITY),
            slowness: Cell::new(1.0),
            relative_durations: RefCell::new(RecentSamples::new(SLOWNESS_SPAN_MS)),
            credit_updated_at: Cell::new(entry.started_at.max(0.0)),
            ..Self::default()
        }
    }

    /// A new start: nothing known of it holds, and it is cold.
    pub(crate) fn reset_after_restart(&self, at: f64, now: f64) {
        self.started_at.set(at);
        self.reported_load.set(None);
        self.health.borrow().iter().for_each(|health| health.failures.set(0));
        self.cold_credit.set(0.0);
        self.credit_updated_at.set(now);
    }

    pub(crate) fn health(&self, profile: usize) -> Rc<Health> {
        let health = self.health.borrow();
        health[profile.min(health.len() - 1)].clone()
    }
}
