//! Every decision of pearfront; settings and the writer it answers through are in `interface.rs`.
//!
//! Make one `Balancer` for an instance and call `balancer.round(now, feed, out)` once a round: `feed` hands
//! in what came in (`job` to `list_failed`), then decisions are made and written to `out`. The mechanism is
//! the load query variant of "Simulation of a distributed CORBA-based SCP", section 6.2; `docs/design.md`
//! tells what is kept, what is changed and when each exception comes into play.

mod admission;
mod attempts;
mod draw;
mod health;
mod load;
mod outcomes;
mod requests;
mod servers;

use self::attempts::REACH_MOST;
use self::outcomes::FARE_SPAN_MS;
use self::servers::LIST_RETRY_MS;
use crate::interface::{Address, DecisionWriter, Profile, ReportField, Settings};
use crate::ring::SPAN;
use crate::rng::SeededRng;
use crate::state::{Fare, Recent, Request, Server};
use crate::window::Window;
use rand::prelude::Rng;
use std::collections::{BTreeMap, HashMap};
use std::rc::{Rc, Weak};

const CANDIDATE_SPEND: f64 = 0.01; // Points that probes before a draw may cost; the price gives their number.
const CANDIDATES_MOST: f64 = 5.0; // Servers probed before a draw at the most.
const CANDIDATES_PROBED_LEAST: f64 = 2.0; // The same at the least: one estimate compares with nothing.
const UNSEEN: f64 = 0.2; // Share of the latency target that stands for a usual duration not yet seen.

#[derive(Default)]
pub struct Balancer {
    settings: Rc<Settings>,
    /// Names of all profiles met so far: their places hold through new settings.
    names: Vec<String>,
    chance: SeededRng,
    now: f64,
    requests: HashMap<u32, Rc<Request>>,
    known: BTreeMap<Address, Rc<Server>>,
    table: Vec<Rc<Server>>,
    pending: Vec<Rc<Request>>,
    waiting: Vec<Rc<Request>>,
    /// Requests to look at again, by when (positive, so the bits order as the time does) and which.
    due: BTreeMap<(u64, u32), Weak<Request>>,
    woken_for: f64,
    closing: f64,
    next_probe: f64,
    next_ask: f64,
    ask_pause: f64,
    admitted: Vec<Recent>,
    first_attempts: Recent,
    /// Servers that a draw asks first: between two requests of its own a node's estimates get too old.
    asks: usize,
    reach: f64,
    /// Estimates of the servers that requests were drawn to.
    drawn: Recent,
    endings: Recent,
    /// How each profile's requests fare.
    fares: Vec<Fare>,
    /// Share of the attempts after an error that were served, by customer.
    again: Vec<Recent>,
    further: Recent,
    /// Requests taken and attempts beyond the first, within the span of the budget where one is stated.
    taken: Recent,
    rationed: Recent,
    window: Window,
    notes: Vec<String>,
    worths: Recent,
    lost: Recent,
}

impl Balancer {
    pub fn new(settings: Settings, salt: u64) -> Self {
        let mut chance = SeededRng::from_seed(salt);
        // All instances start alike: their first calls for the list are spread, or the service fails them.
        let next_ask = chance.0.random::<f64>() * settings.list_request_deadline * 0.3;
        let tells = settings.may_probe && settings.report.contains(&ReportField::Outstanding);
        let asks = (CANDIDATE_SPEND / settings.probe_price.max(1e-9)).min(CANDIDATES_MOST);
        let mut balancer = Self {
            chance,
            // Utilisation is a mean over some time: only requests held tell of the moment.
            asks: if tells && asks >= CANDIDATES_PROBED_LEAST { asks as usize } else { 0 },
            woken_for: f64::INFINITY,
            closing: f64::INFINITY,
            next_ask: if settings.discovery_on_request { next_ask } else { f64::INFINITY },
            next_probe: f64::INFINITY,
            ask_pause: LIST_RETRY_MS,
            reach: REACH_MOST,
            again: vec![Recent::default()],
            window: Window::new(),
            ..Self::default()
        };
        balancer.update_settings(Rc::new(settings));
        balancer
    }

    /// One round: takes in all that `feed` hands over, then decides.
    pub fn round<E>(
        &mut self,
        now: f64,
        feed: impl FnOnce(&mut Self) -> Result<(), E>,
        out: &mut impl DecisionWriter,
    ) -> Result<(), E> {
        self.now = now;
        feed(self)?;
        // A wake may come a little early: taken for one to come it would be the last, and requests be lost.
        let come = self.woken_for <= now + self.settings.round_interval;
        self.woken_for = if come { f64::INFINITY } else { self.woken_for };
        self.notes.drain(..).for_each(|line| out.log(&line));
        if now >= self.next_ask {
            out.watch_list();
            // Its answer puts the next call off for good; this one stands in case none comes.
            self.next_ask = now + self.settings.list_request_deadline / 2.0;
        }
        self.probe_on_timer(out);
        while let Some(due) = self.due.first_entry().filter(|due| f64::from_bits(due.key().0) <= now) {
            self.pending.extend(due.remove().upgrade());
        }
        for request in std::mem::take(&mut self.pending) {
            self.decide(&request, out);
        }
        self.admit(out);
        let due = self.due.first_key_value().map_or(f64::INFINITY, |(at, _)| f64::from_bits(at.0));
        let next = due.min(self.next_probe).min(self.next_ask);
        if next < self.woken_for {
            self.woken_for = next;
            out.wake_after((next - now).max(0.0));
        }
        Ok(())
    }

    /// Other settings from now on: what is learned stays under its profile's name, requests keep their rules.
    pub fn update_settings(&mut self, settings: Rc<Settings>) {
        if self.settings.quotas != settings.quotas {
            self.admitted = vec![Recent::new(SPAN); settings.quotas.len()];
            self.again = vec![Recent::new(SPAN); settings.quotas.len().max(1)];
        }
        if self.settings.retry_budget_span != settings.retry_budget_span {
            // Whole buckets: of requests taken rather too few count, of further attempts rather too many.
            let used = self.rationed.total(self.now).1;
            self.taken = Recent::new(settings.retry_budget_span);
            self.rationed = Recent::new(settings.retry_budget_span * 10.0 / 9.0);
            self.rationed.add(self.now, used);
        }
        if settings.may_probe != self.settings.may_probe {
            self.next_probe = if settings.may_probe { self.now } else { f64::INFINITY };
        }
        self.settings = settings;
    }

    /// The profile's index in all that is kept by profile; a new profile gets the next one.
    fn profile_index(&mut self, name: &str) -> usize {
        self.names.iter().position(|known| known == name).unwrap_or_else(|| {
            self.names.push(name.into());
            self.window.add_profile();
            self.fares.push(Fare { timely: Recent::new(FARE_SPAN_MS), hopeless: false, trial: Weak::new() });
            let servers = self.known.values().filter(|_| self.asks > 0);
            servers.for_each(|server| server.health.borrow_mut().push(Rc::default()));
            self.names.len() - 1
        })
    }

    /// Usual duration of an attempt of the request's profile, ms.
    fn usual_duration(&mut self, request: &Request) -> f64 {
        let unseen = UNSEEN * self.profile(request).latency_target;
        self.window.usual(request.profile, self.now, unseen)
    }

    fn profile<'a>(&self, request: &'a Request) -> &'a Profile {
        &request.rules.profiles[request.place]
    }
}
