//! State that a node keeps of servers and requests. Only `policy.rs` and its modules read and change it; this file
//! holds the data and the simplest questions about it.

use crate::interface::{AttemptOutcome, ListedServer, Settings};
use crate::sliding_window::SlidingWindow;
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};

/// Span over which a server's slowness is measured, ms: long, since one node has few samples of each server.
const SLOWNESS_SPAN_MS: f64 = 30_000.0;

/// Count and sum of recent samples, in ten buckets.
pub(crate) type RecentSamples = SlidingWindow<10>;

/// What is known of one server.
#[derive(Default)]
pub(crate) struct Server {
    /// Its latest entry in the server list.
    pub(crate) entry: Cell<ListedServer>,
    /// Random key by which the ready servers are ordered; a node sends to the first ones only, its subset.
    pub(crate) order_key: f64,
    pub(crate) started_at: Cell<f64>,
    /// The load in its last report, if there was one.
    pub(crate) reported_load: Cell<Option<f64>>,
    /// When it was last probed.
    pub(crate) probed_at: Cell<f64>,
    /// When it last answered a probe.
    pub(crate) probe_answered_at: Cell<f64>,
    /// Attempts of this node that are out at it.
    pub(crate) in_flight: Cell<u32>,
    /// Since when it has held at least one request of this node.
    pub(crate) busy_since: Cell<f64>,
    /// Until when its reports of being idle are ignored.
    pub(crate) distrust_idle_until: Cell<f64>,
    /// Health by profile; a single entry for all profiles where draws do not probe.
    pub(crate) health: RefCell<Vec<Rc<Health>>>,
    /// Its last attempt found no connection: such a fault is not shared with other servers, and its list entry may be
    /// out of date.
    pub(crate) connect_failed: Cell<bool>,
    /// When it last served a request; 0 if never.
    pub(crate) last_served_at: Cell<f64>,
    /// It answered "full" a moment ago: until this time it would turn the next attempt away too, and so quickly that
    /// it would look idle.
    pub(crate) backoff_until: Cell<f64>,
    /// Time of the first failure since its last success; infinite if there was none.
    pub(crate) failing_since: Cell<f64>,
    /// Mean of its recent durations relative to the usual ones of their profiles.
    pub(crate) slowness: Cell<f64>,
    /// Durations of its attempts relative to the usual ones of their profiles.
    pub(crate) relative_durations: RefCell<RecentSamples>,
    /// Attempts that it may still get while it is cold, and when that number was last updated.
    pub(crate) cold_credit: Cell<f64>,
    pub(crate) credit_updated_at: Cell<f64>,
}

/// How attempts of one profile end on a server: some servers fail one profile and serve the others.
#[derive(Default)]
pub(crate) struct Health {
    /// Consecutive failures.
    pub(crate) failures: Cell<u32>,
    /// Length of the latest ejection, ms; it doubles each time.
    pub(crate) ejection_time: Cell<f64>,
    pub(crate) ejected_until: Cell<f64>,
    /// The one attempt that may end its ejection is out.
    pub(crate) on_trial: Cell<bool>,
}

/// One attempt of a request.
pub(crate) struct Attempt {
    pub(crate) server: Rc<Server>,
    pub(crate) sent_at: f64,
    /// Share of the time left to the request that the attempt was expected to take when it was sent.
    pub(crate) expected_share: f64,
    /// None while the attempt is out.
    pub(crate) outcome: Option<AttemptOutcome>,
    pub(crate) overdue: bool,
}

/// A request from its arrival until nothing is out for it any more.
#[derive(Default)]
pub(crate) struct Request {
    pub(crate) id: u32,
    /// The settings that were in force when it came, and the index of its profile in them.
    pub(crate) settings: Rc<Settings>,
    pub(crate) settings_profile: usize,
    /// Index of its profile in everything that the balancer keeps by profile.
    pub(crate) profile: usize,
    pub(crate) customer: usize,
    pub(crate) arrived_at: Cell<f64>,
    /// Infinite while its body is still arriving.
    pub(crate) deadline: Cell<f64>,
    /// Its body has been streamed to a server and was not buffered.
    pub(crate) not_replayable: Cell<bool>,
    /// When servers were last probed for it.
    pub(crate) probed_at: Cell<f64>,
    /// Random number that decides whether it may go to a cold server after those probes.
    pub(crate) cold_lottery: Cell<f64>,
    pub(crate) attempts: RefCell<Vec<Attempt>>,
    /// The client has its answer, or has left.
    pub(crate) closed: Cell<bool>,
    /// When it has taken far longer than requests of its profile usually do.
    pub(crate) slow_at: Cell<f64>,
    /// Whether it was answered in time has been recorded.
    pub(crate) timeliness_recorded: Cell<bool>,
    /// It takes no place in the admission window: it is slow by itself, not because servers are crowded.
    pub(crate) excluded_from_window: Cell<bool>,
    /// It is in the admission queue.
    pub(crate) queued: Cell<bool>,
    /// The cancels for a closed request have been written.
    pub(crate) settled: Cell<bool>,
}

/// Share of a profile's requests that are answered in time.
pub(crate) struct ProfileTimeliness {
    pub(crate) answered_in_time: RecentSamples,
    /// Hardly any is, while another profile does well: the profile is slow or fails on all servers, and is sent one
    /// request at a time.
    pub(crate) trial_only: bool,
    /// The latest request sent of the profile.
    pub(crate) trial: Weak<Request>,
}

impl Request {
    /// What each of its attempts counts in the admission window: 1, or 0 before its last byte has come, since no
    /// server works on it until then.
    pub(crate) fn window_weight(&self) -> f64 {
        f64::from(u8::from(self.deadline.get().is_finite() && !self.excluded_from_window.get()))
    }

    /// Number of its attempts that ended with an error.
    pub(crate) fn errors(&self) -> usize {
        self.attempts.borrow().iter().filter(|attempt| attempt.outcome == Some(AttemptOutcome::Error)).count()
    }

    /// Whether every attempt so far provably did not run.
    pub(crate) fn never_ran(&self) -> bool {
        self.attempts.borrow().iter().all(Attempt::never_ran)
    }
}

impl Attempt {
    pub(crate) fn new(server: Rc<Server>, sent: f64, promise: f64) -> Self {
        Self { server, sent_at: sent, expected_share: promise, outcome: None, overdue: false }
    }

    /// Whether it has not ended yet.
    pub(crate) fn is_out(&self) -> bool {
        self.outcome.is_none()
    }

    /// Whether it has ended with proof that the request did not run by it.
    pub(crate) fn never_ran(&self) -> bool {
        self.outcome.is_some_and(AttemptOutcome::never_ran)
    }
}

impl Server {
    pub(crate) fn new(entry: ListedServer, order_key: f64, profiles: usize) -> Self {
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

    /// Forgets what was known of the server before it started again; it is cold from then on.
    pub(crate) fn reset_after_restart(&self, at: f64, now: f64) {
        self.started_at.set(at);
        self.reported_load.set(None);
        self.health.borrow().iter().for_each(|health| health.failures.set(0));
        self.cold_credit.set(0.0);
        self.credit_updated_at.set(now);
    }

    /// The health of this profile, or of all where there is one entry only.
    pub(crate) fn health(&self, profile: usize) -> Rc<Health> {
        let health = self.health.borrow();
        health[profile.min(health.len() - 1)].clone()
    }
}
