//! The balancer: every load balancing decision of pearfront. Its settings and the trait that decisions are written to are in
//! `interface.rs`; the decisions themselves are made by the modules below.
//!
//! Create one `Balancer` for an instance and call `balancer.round(now, feed, out)` once a round: `feed` passes in what has
//! arrived (`request_received` to `list_failed`), then decisions are made and written to `out`. The mechanism is the load
//! query variant of "Simulation of a distributed CORBA-based SCP", section 6.2, called "the paper" below; `docs/design.md`
//! states what is kept, what is changed, and when each exception applies.

mod admission;
mod attempts;
mod draw;
mod health;
mod load;
mod outcomes;
mod requests;
mod servers;

use self::attempts::SHARE_LIMIT_MAX;
use self::outcomes::TIMELINESS_SPAN_MS;
use self::servers::LIST_RETRY_MS;
use crate::interface::{Address, DecisionWriter, Profile, ReportField, Settings};
use crate::rng::SeededRng;
use crate::sliding_window::DEFAULT_SPAN_MS;
use crate::state::{ProfileTimeliness, RecentSamples, Request, Server};
use crate::window::AdmissionWindow;
use rand::prelude::Rng;
use std::collections::{BTreeMap, HashMap};
use std::rc::{Rc, Weak};

/// Points that the probes before one draw may cost; with the price of a probe this gives their number.
const PROBE_SPEND_PER_DRAW: f64 = 0.01;
/// Servers probed before a draw at the most.
const PROBES_PER_DRAW_MAX: f64 = 5.0;
/// Servers probed before a draw at the least, or none is: a single estimate compares with nothing.
const PROBES_PER_DRAW_MIN: f64 = 2.0;
/// Share of the latency target that stands for a usual duration not yet seen.
const UNSEEN_DURATION_SHARE: f64 = 0.2;

/// One instance of the decision module: its settings, its requests, its servers and what it has learned.
#[derive(Default)]
pub struct Balancer {
    settings: Rc<Settings>,
    /// Names of all profiles met so far: their indices stay the same through new settings.
    profile_names: Vec<String>,
    rng: SeededRng,
    now: f64,
    requests: HashMap<u32, Rc<Request>>,
    servers: BTreeMap<Address, Rc<Server>>,
    ready_servers: Vec<Rc<Server>>,
    /// Requests to decide about in this round.
    to_decide: Vec<Rc<Request>>,
    /// Requests that wait for admission.
    queue: Vec<Rc<Request>>,
    /// Requests to look at again, by time (positive, so the bits sort as the time does) and number.
    reviews: BTreeMap<(u64, u32), Weak<Request>>,
    /// When the next round was asked for; infinite if none is.
    next_wake: f64,
    /// When the node shuts down; infinite if it does not.
    shutdown_time: f64,
    next_probe_at: f64,
    next_list_request: f64,
    /// Pause before the list is asked for again, ms.
    list_retry_pause: f64,
    /// Requests admitted, by customer.
    admitted: Vec<RecentSamples>,
    /// Requests sent for the first time.
    first_attempts: RecentSamples,
    /// Servers that are probed before each draw; 0 if draws do not probe. They do where a node sends so little that
    /// its estimates would be too old by the next draw.
    probes_per_draw: usize,
    /// Share of the time left that an attempt may be expected to take; it follows the answers in time and late.
    share_limit: f64,
    /// Load estimates of the servers that requests were sent to.
    drawn_estimates: RecentSamples,
    /// Attempts that ended, 1 for each served one and 0 for each failure.
    successes: RecentSamples,
    /// Share of requests answered in time, by profile.
    timeliness: Vec<ProfileTimeliness>,
    /// Share of the retries after an error that were served, by customer.
    retry_successes: Vec<RecentSamples>,
    /// Attempts beyond the first, 1 for each by which the request may run twice.
    risky_retries: RecentSamples,
    /// Requests received and attempts beyond the first, within the span of the retry budget where the settings state
    /// one.
    received: RecentSamples,
    extra_attempts: RecentSamples,
    window: AdmissionWindow,
    log_lines: Vec<String>,
    /// Worths of recently considered requests.
    worths: RecentSamples,
    /// Attempts that were served (0) or never answered (1).
    lost_answers: RecentSamples,
}

impl Balancer {
    /// An instance with these settings; all its random choices follow from `seed`.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut rng = SeededRng::from_seed(seed);
        // All instances start alike: their first requests for the list are spread over time, or discovery would fail
        // them.
        let first_list_request = rng.0.random::<f64>() * settings.list_request_deadline * 0.3;
        let reports_outstanding = settings.may_probe && settings.report.contains(&ReportField::Outstanding);
        let probes = (PROBE_SPEND_PER_DRAW / settings.probe_price.max(1e-9)).min(PROBES_PER_DRAW_MAX);
        let mut balancer = Self {
            rng,
            // Utilization is a mean over some time; only requests outstanding tell the load at the moment.
            probes_per_draw: if reports_outstanding && probes >= PROBES_PER_DRAW_MIN {
                probes as usize
            } else {
                0
            },
            next_wake: f64::INFINITY,
            shutdown_time: f64::INFINITY,
            next_list_request: if settings.discovery_on_request { first_list_request } else { f64::INFINITY },
            next_probe_at: f64::INFINITY,
            list_retry_pause: LIST_RETRY_MS,
            share_limit: SHARE_LIMIT_MAX,
            retry_successes: vec![RecentSamples::default()],
            window: AdmissionWindow::new(),
            ..Self::default()
        };
        balancer.update_settings(Rc::new(settings));
        balancer
    }

    /// Plays one round: takes in everything that `feed` passes on, then decides.
    pub fn round<E>(
        &mut self,
        now: f64,
        feed: impl FnOnce(&mut Self) -> Result<(), E>,
        out: &mut impl DecisionWriter,
    ) -> Result<(), E> {
        self.now = now;
        feed(self)?;
        // A wake may come a little early. Taken for one that is still to come it would be the last, and requests would
        // be lost.
        let woken = self.next_wake <= now + self.settings.round_interval;
        self.next_wake = if woken { f64::INFINITY } else { self.next_wake };
        self.log_lines.drain(..).for_each(|line| out.log(&line));
        if now >= self.next_list_request {
            out.watch_list();
            // The answer cancels the next request; this one stands in case none comes.
            self.next_list_request = now + self.settings.list_request_deadline / 2.0;
        }
        self.probe_on_timer(out);
        while let Some(review) =
            self.reviews.first_entry().filter(|review| f64::from_bits(review.key().0) <= now)
        {
            self.to_decide.extend(review.remove().upgrade());
        }
        for request in std::mem::take(&mut self.to_decide) {
            self.decide(&request, out);
        }
        self.admit(out);
        let review = self.reviews.first_key_value().map_or(f64::INFINITY, |(at, _)| f64::from_bits(at.0));
        let next = review.min(self.next_probe_at).min(self.next_list_request);
        if next < self.next_wake {
            self.next_wake = next;
            out.wake_after((next - now).max(0.0));
        }
        Ok(())
    }

    /// Changes the settings: what was learned stays under its profile's name, and requests keep the settings they came
    /// under.
    pub fn update_settings(&mut self, settings: Rc<Settings>) {
        if self.settings.quotas != settings.quotas {
            self.admitted = vec![RecentSamples::new(DEFAULT_SPAN_MS); settings.quotas.len()];
            self.retry_successes = vec![RecentSamples::new(DEFAULT_SPAN_MS); settings.quotas.len().max(1)];
        }
        if self.settings.retry_budget_span != settings.retry_budget_span {
            // Whole buckets are dropped at a time: rather too few received requests count, and rather too many extra
            // attempts.
            let used = self.extra_attempts.total(self.now).1;
            self.received = RecentSamples::new(settings.retry_budget_span);
            self.extra_attempts = RecentSamples::new(settings.retry_budget_span * 10.0 / 9.0);
            self.extra_attempts.add(self.now, used);
        }
        if settings.may_probe != self.settings.may_probe {
            self.next_probe_at = if settings.may_probe { self.now } else { f64::INFINITY };
        }
        self.settings = settings;
    }

    /// The profile's index in everything that is kept by profile; a new profile gets the next one.
    fn profile_index(&mut self, name: &str) -> usize {
        self.profile_names.iter().position(|existing| existing == name).unwrap_or_else(|| {
            self.profile_names.push(name.into());
            self.window.add_profile();
            self.timeliness.push(ProfileTimeliness {
                answered_in_time: RecentSamples::new(TIMELINESS_SPAN_MS),
                trial_only: false,
                trial: Weak::new(),
            });
            let servers = self.servers.values().filter(|_| self.probes_per_draw > 0);
            servers.for_each(|server| server.health.borrow_mut().push(Rc::default()));
            self.profile_names.len() - 1
        })
    }

    /// Usual duration of an attempt of the request's profile, ms.
    fn usual_duration(&mut self, request: &Request) -> f64 {
        let unseen = UNSEEN_DURATION_SHARE * self.profile(request).latency_target;
        self.window.usual_duration(request.profile, self.now, unseen)
    }

    /// The request's profile in the settings that it came under.
    fn profile<'a>(&self, request: &'a Request) -> &'a Profile {
        &request.settings.profiles[request.settings_profile]
    }
}
