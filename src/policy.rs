//! Every decision of pearfront; settings and the writer it answers through are in `interface.rs`.
//!
//! Make one `Balancer` for an instance and call `balancer.round(now, feed, out)` once a round: `feed` hands
//! in what came in (`job` to `list_failed`), then decisions are made and written to `out`. The mechanism is
//! the load query variant of "Simulation of a distributed CORBA-based SCP", section 6.2; `docs/design.md`
//! tells what is kept, what is changed and when each exception comes into play.

use crate::chance::Chance;
use crate::interface::{Address, Effect, Ending, Group, Listing, ReportField};
use crate::interface::{Profile, Settings, Standing, Writer};
use crate::ring::SPAN;
use crate::state::{Attempt, Fare, Health, Job, Recent, Server};
use crate::window::Window;
use rand::distr::weighted::WeightedIndex;
use rand::prelude::{Distribution, Rng};
use std::cell::Cell;
use std::collections::{BTreeMap, HashMap};
use std::rc::{Rc, Weak};

const K: f64 = 12.0; // Power of the draw: each step from 1 to 12 gained; those within a tenth still share.
const ALPHA: f64 = 0.5; // Share of probes with an even draw: busy entries must be seen again too.
const FLOOR: f64 = 0.2; // Lowest estimate, as a share of the table's mean (from the design page).
const ACQUAINTED: f64 = 8.0; // Jobs a second to each server of the part: else it can't tell how they fare.
const PART_LEAST: f64 = 5.0; // Servers in the part at the least: one slow one must not matter much, and
const PART_HELD: f64 = 8.0; // where they report jobs held, which compare without a node's own learning.
const STEP_UNIT: f64 = 0.1; // Least mean the step is taken of: a tenth of a core or a tenth of a waiting job.
const PROBE_FLOOR: f64 = 0.2; // Probes a second at the least: idle callers see servers within a minute.
const PROBE_SPEND: f64 = 0.002; // Points that a tier's probes may cost; the price gives probes a job.
const PROBE_MOST: f64 = 0.3; // Most probes a job, where probes are almost free.
const ASK_SPEND: f64 = 0.01; // Points that the questions before a job's draw may cost; the price gives them.
const ASK_MOST: f64 = 5.0; // Servers asked before a draw at the most, and
const ASK_LEAST: f64 = 2.0; // at the least: one estimate compares with nothing.
const KEPT: usize = 2; // Servers of its part that a node must be able to ask before it goes beyond it.
const ASK_PATIENCE: f64 = 0.05; // Share of the latency target a draw waits for answers: some are lost.
const LAG: f64 = 1000.0; // Most, ms, that reports lag where nothing is wrong with them, and
const DOUBT: f64 = 20_000.0; // time, ms, for which none that says idle is believed of a server that was not.
const UNREPORTED: f64 = 1.0; // Least estimate, jobs, of a busy server that gave none: others may be idle.
const STRANGER: f64 = 1.0; // Jobs that the first connection to a server is worth: its work falls on the job.
const ASK_AGAIN_SHARE: f64 = 0.1; // Share of the latency target after which an unpromised job asks again.
const REACH_MOST: f64 = 1.0; // Share of the time left that a server may promise to take, first and most, and
const REACH_LEAST: f64 = 0.3; // at the least: servers must stay at work.
const REACH_SHRINK: f64 = 0.1; // What it shrinks by when late, and
const REACH_GROW: f64 = 0.01; // grows by with an answer in time: some one in ten may be late.
const BETTER: f64 = 0.5; // Power of the reach for jobs above mean worth, and
const OTHERS: f64 = 2.0; // for others.
const IDLE: f64 = 0.5; // Jobs held below which a server takes one: else nobody sees a trouble end.
const EDGE: f64 = 0.6; // Share of the reach that a promise has to take for its being late to count.
const STRIKES: u32 = 3; // Failures in a row that set a server aside; an error is as many by itself.
const TRIAL: f64 = 40.0; // Jobs of its own that a node sends between two trials of one server at the least.
const SHARED: f64 = 0.7; // Share of recent attempts served below which errors come from the tier behind.
const ASIDE_FIRST: f64 = 1000.0; // First time aside, ms: about a short stall; it doubles up to the last.
const ASIDE_LAST: f64 = 8000.0; // Longest, ms: a lost server must be found back soon after its return.
const ASIDE_SHARE: f64 = 0.6; // Most of the table that may be aside at once; beyond it the fault is shared.
const REST: f64 = 4.0; // Usual durations that a full server rests: its queue should be down by then.
const SILENT: f64 = 3000.0; // Silence, ms, after which a server that answers again may have restarted.
const OVERDUE: f64 = 8.0; // Mean durations of its profile after which an attempt is overdue: tails are long.
const LOSSY: f64 = 0.05; // Share of recent attempts never answered from which on answers are being lost.
const OVERDUE_LOSSY: f64 = 4.0; // The same as `OVERDUE` while they are: what is out so long mostly is.
const UNSEEN: f64 = 0.2; // Share of the latency target that stands for a mean duration not yet seen.
const FURTHER: f64 = 0.2; // Further attempts as a share of first ones, if all recent ones succeed.
const FURTHER_FREE: f64 = 2.0; // Further attempts free in each span: a lone failure may always go again.
const AGAIN_LEAST: f64 = 0.3; // Share of attempts after an error to be served, or none goes: three that fail.
const LONG: f64 = 2.0; // Usual durations after which a job counts as slow: one in ten by chance.
const FARE_SPAN: f64 = 5_000.0; // Span, ms, over which it counts how a profile fares.
const HOPELESS: f64 = 0.4; // Share answered in time below which a profile is sent for trial only, and
const WELL: f64 = 0.6; // share at which it goes again, or another profile fares well.
const FARE_PRIOR: f64 = 2.0; // Jobs beside which failures have to count: a few are chance.
const COLD_PART: f64 = 0.5; // Share of the cold limit that is used: works differ, and so do nodes.
const PRIOR: f64 = 3.0; // Samples that the mean duration stands for when a server is compared with it.
const HOLD: f64 = 0.25; // Share of its latency target that a job waits at the most: queues here are short.
const SURE: f64 = 3.0; // Power at which a job's worth falls where its usual duration is above the time left.
const BACK: f64 = 0.25; // Advice when to come back, share of the latency target: soon enough to be in time.
const ZONE_MARGIN: f64 = 26.0; // Share that raises an away server's estimate for each point of crossing.
const ASK_AGAIN: f64 = 1000.0; // First and last pause, ms, before the list is asked for again.

/// Whose group a job's further attempts are held to, if any.
type Bound = Option<Rc<Server>>;

#[derive(Default)]
pub struct Balancer {
    settings: Rc<Settings>,
    /// Names of all profiles met so far: their places hold through new settings.
    names: Vec<String>,
    chance: Chance,
    now: f64,
    jobs: HashMap<u32, Rc<Job>>,
    known: BTreeMap<Address, Rc<Server>>,
    table: Vec<Rc<Server>>,
    pending: Vec<Rc<Job>>,
    waiting: Vec<Rc<Job>>,
    /// Jobs to look at again, by when (positive, so the bits order as the time does) and which.
    due: BTreeMap<(u64, u32), Weak<Job>>,
    woken_for: f64,
    closing: f64,
    next_probe: f64,
    next_ask: f64,
    ask_pause: f64,
    admitted: Vec<Recent>,
    first_attempts: Recent,
    /// Servers that a draw asks first: between two jobs of its own a node's estimates get too old.
    asks: usize,
    reach: f64,
    /// Estimates of the servers that jobs were drawn to.
    drawn: Recent,
    endings: Recent,
    /// How each profile's jobs fare.
    fares: Vec<Fare>,
    /// Share of the attempts after an error that were served, by customer.
    again: Vec<Recent>,
    further: Recent,
    /// Jobs taken and attempts beyond the first, within the span of the budget where one is stated.
    taken: Recent,
    rationed: Recent,
    window: Window,
    notes: Vec<String>,
    worths: Recent,
    lost: Recent,
}

impl Balancer {
    pub fn new(settings: Settings, salt: u64) -> Self {
        let mut chance = Chance::seeded(salt);
        // All instances start alike: their first calls for the list are spread, or the service fails them.
        let next_ask = chance.0.random::<f64>() * settings.ask_within * 0.3;
        let tells = settings.may_probe && settings.report.contains(&ReportField::Held);
        let asks = (ASK_SPEND / settings.probe_price.max(1e-9)).min(ASK_MOST);
        let mut balancer = Self {
            chance,
            // Utilisation is a mean over some time: only jobs held tell of the moment.
            asks: if tells && asks >= ASK_LEAST { asks as usize } else { 0 },
            woken_for: f64::INFINITY,
            closing: f64::INFINITY,
            next_ask: if settings.listed_on_request { next_ask } else { f64::INFINITY },
            next_probe: f64::INFINITY,
            ask_pause: ASK_AGAIN,
            reach: REACH_MOST,
            again: vec![Recent::default()],
            window: Window::new(),
            ..Self::default()
        };
        balancer.retune(Rc::new(settings));
        balancer
    }

    /// One round: takes in all that `feed` hands over, then decides.
    pub fn round<E>(
        &mut self,
        now: f64,
        feed: impl FnOnce(&mut Self) -> Result<(), E>,
        out: &mut impl Writer,
    ) -> Result<(), E> {
        self.now = now;
        feed(self)?;
        // A wake may come a hair early: taken for one still to come it would be the last, and jobs be lost.
        let come = self.woken_for <= now + self.settings.round;
        self.woken_for = if come { f64::INFINITY } else { self.woken_for };
        self.notes.drain(..).for_each(|line| out.log(&line));
        if now >= self.next_ask {
            out.watch();
            // Its answer puts the next call off for good; this one stands in case none comes.
            self.next_ask = now + self.settings.ask_within / 2.0;
        }
        self.probe(out);
        while let Some(due) = self.due.first_entry().filter(|due| f64::from_bits(due.key().0) <= now) {
            self.pending.extend(due.remove().upgrade());
        }
        for job in std::mem::take(&mut self.pending) {
            self.decide(&job, out);
        }
        self.admit(out);
        let due = self.due.first_key_value().map_or(f64::INFINITY, |(at, _)| f64::from_bits(at.0));
        let next = due.min(self.next_probe).min(self.next_ask);
        if next < self.woken_for {
            self.woken_for = next;
            out.wake((next - now).max(0.0));
        }
        Ok(())
    }

    /// Other settings from now on: what is learned of a profile stays under its name, jobs keep their rules.
    pub fn retune(&mut self, settings: Rc<Settings>) {
        if self.settings.quotas != settings.quotas {
            self.admitted = vec![Recent::new(SPAN); settings.quotas.len()];
            self.again = vec![Recent::new(SPAN); settings.quotas.len().max(1)];
        }
        if self.settings.further_span != settings.further_span {
            // Whole buckets: of jobs taken rather too few count, of further attempts rather too many.
            let used = self.rationed.total(self.now).1;
            self.taken = Recent::new(settings.further_span);
            self.rationed = Recent::new(settings.further_span * 10.0 / 9.0);
            self.rationed.add(self.now, used);
        }
        if settings.may_probe != self.settings.may_probe {
            self.next_probe = if settings.may_probe { self.now } else { f64::INFINITY };
        }
        self.settings = settings;
    }

    fn slot(&mut self, name: &str) -> usize {
        self.names.iter().position(|known| known == name).unwrap_or_else(|| {
            self.names.push(name.into());
            self.window.add_profile();
            self.fares.push(Fare { timely: Recent::new(FARE_SPAN), hopeless: false, trial: Weak::new() });
            let servers = self.known.values().filter(|_| self.asks > 0);
            servers.for_each(|server| server.health.borrow_mut().push(Rc::default()));
            self.names.len() - 1
        })
    }

    pub fn job(&mut self, id: u32, profile: usize, customer: usize, limit: f64) {
        self.job_under(&self.settings.clone(), id, profile, customer, limit);
    }

    /// A job that came under these settings, which need no longer be the ones in force.
    pub fn job_under(&mut self, rules: &Rc<Settings>, id: u32, place: usize, customer: usize, limit: f64) {
        let (now, profile) = (self.now, self.slot(&rules.profiles[place].name));
        let (rules, asked) = (rules.clone(), Cell::new(f64::NEG_INFINITY));
        let (arrived, limit) = (Cell::new(now), Cell::new(limit));
        let job = Job { id, rules, place, profile, customer, arrived, limit, asked, ..Job::default() };
        let job = Rc::new(job);
        self.taken.add(now, 1.0);
        self.jobs.insert(id, job.clone());
        self.pending.push(job);
    }

    /// The last byte of a job's body has come: its times, and those of its attempt, count from now on.
    pub fn body_came(&mut self, id: u32, limit: f64) {
        let Some(job) = self.jobs.get(&id).cloned() else { return };
        job.arrived.set(self.now);
        job.limit.set(limit);
        for attempt in job.attempts.borrow_mut().iter_mut().filter(|attempt| attempt.is_out()) {
            attempt.sent = self.now;
            self.window.out.change(self.now, job.load());
        }
        self.expect(&job);
        self.pending.push(job);
    }

    /// A job's body is on its way and is not kept: there can be no further attempt.
    pub fn spent(&mut self, id: u32) {
        self.jobs.get(&id).iter().for_each(|job| job.spent.set(true));
    }

    pub fn attempt_ended(&mut self, id: u32, attempt: usize, ending: Ending, took: f64, done: bool) {
        let Some(job) = self.jobs.get(&id).cloned() else { return };
        let Some(server) = self.book_ending(&job, attempt, ending) else { return };
        self.judge(&server, &job, ending, took);
        job.closed.set(done || job.closed.get());
        self.pending.push(job);
    }

    pub fn probe_answered(&mut self, address: Address, good: bool, report: &[f64], took: f64) {
        let Some(server) = self.known.get(&address).cloned() else { return };
        server.seen.set(self.now);
        let highest = || self.table.iter().filter_map(|server| server.estimate.get()).fold(0.0, f64::max);
        let told = self.read(report);
        // It says that it holds nothing while it has held a job of ours for longer than a report may lag.
        let idle =
            good && self.settings.report.contains(&ReportField::Held) && told.is_some_and(|held| held < IDLE);
        if idle && server.out.get() > 0 && self.now - server.taken.get() > LAG {
            server.untrue.set(self.now + DOUBT);
        }
        server.estimate.set(match told {
            _ if !good => Some(highest()),
            // What is known to be untrue counts as unheard.
            Some(_) if idle && self.now < server.untrue.get() => None,
            Some(estimate) => Some(estimate),
            None if self.settings.report.is_empty() => Some(took),
            // A cold one has nothing to report yet; a warm one is too busy to, and may not win traffic.
            None => (self.grown(&server) >= 1.0).then(|| highest().max(UNREPORTED)),
        });
    }

    pub fn client_left(&mut self, id: u32) {
        let Some(job) = self.jobs.get(&id) else { return };
        job.closed.set(true);
        self.pending.push(job.clone());
    }

    /// The node ends at that time: what it still holds then has its answer before.
    pub fn closing(&mut self, at: f64) {
        self.closing = at;
        let held: Vec<_> = self.due.values().filter_map(Weak::upgrade).collect();
        held.iter().for_each(|job| self.review(job, at));
    }

    /// New lines of the list; `whole` if servers that it lacks are gone.
    pub fn listed(&mut self, whole: bool, cached: bool, lines: impl Iterator<Item = Listing>) {
        if whole {
            self.known.values().for_each(|server| server.line.update(Listing::gone));
        }
        self.update(lines);
        if cached {
            self.window.begin(self.table.len() as f64 / self.settings.siblings);
        } else if self.settings.listed_on_request {
            self.next_ask = f64::INFINITY;
            self.ask_pause = ASK_AGAIN;
        }
    }

    /// Servers that may not be sent to for now (draining), or may again, though no list says so: the one that there is has
    /// become too old to go by.
    pub fn suspended(&mut self, lines: impl Iterator<Item = Listing>) {
        self.update(lines);
    }

    fn update(&mut self, lines: impl Iterator<Item = Listing>) {
        lines.for_each(|line| self.list(line));
        self.table.retain(|server| server.line.get().standing == Standing::Ready);
        self.known.retain(|_, server| server.line.get().standing != Standing::Gone);
    }

    pub fn list_failed(&mut self) {
        // A failed or broken watch leaves us blind to drains; spread by chance, as all others ask too.
        let most = self.settings.ask_within / 2.0;
        self.next_ask = self.now + self.ask_pause.min(most) * self.chance.0.random_range(0.5..1.5);
        self.ask_pause = (self.ask_pause * 2.0).min(most);
    }

    fn list(&mut self, line: Listing) {
        if line.standing == Standing::Gone {
            // Whoever comes to its address is another server.
            return self.known.remove(&line.server).iter().for_each(|old| old.line.update(Listing::gone));
        }
        let (place, lanes) = (self.chance.0.random(), if self.asks > 0 { self.names.len() } else { 1 });
        let new = || Rc::new(Server::new(line, place, lanes));
        let server = self.known.entry(line.server).or_insert_with(new);
        if line.started > server.started.get() {
            server.restarted(line.started, self.now);
        }
        server.line.set(Listing { size: if self.settings.sized { line.size } else { 1.0 }, ..line });
        let present = self.table.iter().any(|other| Rc::ptr_eq(other, server));
        if line.standing == Standing::Ready && !present {
            let at = self.table.partition_point(|other| other.place < server.place);
            self.table.insert(at, server.clone());
        }
    }

    /// Own jobs sent for the first time in a ms, over the span or what there has been of it.
    fn rate(&mut self) -> f64 {
        self.first_attempts.total(self.now).0 / self.now.clamp(1000.0, SPAN)
    }

    /// How many servers of a zone this node draws among: as many as its own jobs let it know.
    fn part(&mut self) -> usize {
        let rate = self.rate() * 1000.0;
        let held = self.asks == 0 && self.settings.report.contains(&ReportField::Held);
        (rate / ACQUAINTED).max(if held { PART_HELD } else { PART_LEAST }).ceil() as usize
    }

    /// The first wanted servers of its own zone and of the others: of many it would know none.
    fn near(&self, part: usize, wanted: impl Fn(&Rc<Server>) -> bool) -> Vec<Rc<Server>> {
        // Its own zone and the others share the part.
        let mixed = self.table.iter().any(|server| server.line.get().zone != self.settings.zone);
        let mut left = match (mixed, self.asks) {
            (true, 0) => [KEPT, part],
            (true, _) => [part / 2; 2],
            _ => [part; 2],
        };
        let fits = |server: &&Rc<Server>| {
            let left = &mut left[usize::from(server.line.get().zone == self.settings.zone)];
            let fits = *left > 0 && wanted(server);
            *left -= usize::from(fits);
            fits
        };
        self.table.iter().filter(fits).cloned().collect()
    }

    fn read(&self, report: &[f64]) -> Option<f64> {
        [ReportField::Held, ReportField::Utilisation, ReportField::Waiting].iter().find_map(|wanted| {
            let place = self.settings.report.iter().position(|field| field == wanted)?;
            report.get(place).copied()
        })
    }

    /// Estimates of these servers: the report, or the others' mean, and a step for each own send since.
    fn estimates(&self, servers: &[Rc<Server>]) -> Vec<f64> {
        let heard = || servers.iter().filter_map(|server| server.estimate.get());
        let mean = heard().sum::<f64>() / (heard().count() as f64).max(1.0);
        let step = mean.max(STEP_UNIT);
        let counted = self.settings.report.contains(&ReportField::Held);
        let raised = |server: &Rc<Server>| {
            let (report, out) = (server.estimate.get().unwrap_or(mean), f64::from(server.out.get()));
            if counted {
                // Jobs held have a size: the own ones are among them, and a cold or small server bears fewer.
                let stranger = if server.heard.get() > 0.0 { 0.0 } else { STRANGER };
                (report.max(out) + stranger + 1.0) * server.slowness.get()
                    / (server.line.get().size * self.grown(server))
            } else {
                report + step * server.slowness.get() * (out + 1.0)
            }
        };
        let mut estimates: Vec<f64> = servers.iter().map(raised).collect();
        let floor = FLOOR * estimates.iter().sum::<f64>() / (estimates.len() as f64).max(1.0);
        // Crossing has a price: others count as busier than home by a margin that grows with it.
        let margin = 1.0 + ZONE_MARGIN * self.settings.cross_zone_price;
        for (estimate, server) in estimates.iter_mut().zip(servers) {
            let away = server.line.get().zone != self.settings.zone;
            *estimate = estimate.max(floor) * if away { margin } else { 1.0 };
        }
        estimates
    }

    fn probe(&mut self, out: &mut impl Writer) {
        if self.now < self.next_probe {
            return;
        }
        if self.next_probe > 0.0 && !self.table.is_empty() {
            let part = self.part();
            let near = self.near(part, |_| true);
            let target = self.target(&near);
            near[target].probed.set(self.now);
            out.probe(near[target].line.get().server);
        }
        let each = (PROBE_SPEND / self.settings.probe_price.max(1e-9)).min(PROBE_MOST);
        let rate = (self.first_attempts.total(self.now).0 / SPAN * 1000.0 * each).max(PROBE_FLOOR);
        self.next_probe = self.now - (1.0 - self.chance.0.random::<f64>()).ln() / rate * 1000.0;
    }

    /// Where a probe goes: an even draw, or the lowest entry.
    fn target(&mut self, servers: &[Rc<Server>]) -> usize {
        if self.chance.0.random::<f64>() < ALPHA {
            return self.chance.0.random_range(0..servers.len());
        }
        let estimates = self.estimates(servers);
        (0..estimates.len()).min_by(|a, b| estimates[*a].total_cmp(&estimates[*b])).unwrap_or(0)
    }

    /// Probes the servers that the job may be drawn to, the paper's way: even draws and lowest entries.
    fn inquire(&mut self, job: &Rc<Job>, out: &mut impl Writer) {
        let mut near = self.open(job, &None, |_, _| true);
        for _ in 0..self.asks.min(near.len()) {
            let target = self.target(&near);
            let server = near.swap_remove(target);
            if server.probed.replace(self.now) < self.now {
                out.probe(server.line.get().server);
            }
        }
        job.asked.set(self.now);
        job.lot.set(self.chance.0.random());
        self.review(job, self.now + ASK_PATIENCE * self.profile(job).latency_target);
    }

    fn book_ending(&mut self, job: &Job, attempt: usize, ending: Ending) -> Option<Rc<Server>> {
        let mut attempts = job.attempts.borrow_mut();
        let attempt = attempts.get_mut(attempt).filter(|attempt| attempt.is_out())?;
        attempt.ending = Some(ending);
        // A late answer from where it was to be quick is chance, not crowding.
        let late = self.now - job.arrived.get() > self.profile(job).latency_target;
        if late && attempt.promise > EDGE * self.reach {
            self.reach = (self.reach * (1.0 - REACH_SHRINK)).max(REACH_LEAST);
        } else if ending == Ending::Served && !late {
            self.reach = (self.reach * (1.0 + REACH_GROW)).min(REACH_MOST);
        }
        attempt.server.out.set(attempt.server.out.get() - 1);
        self.window.out.change(self.now, -job.load());
        Some(attempt.server.clone())
    }

    fn judge(&mut self, server: &Rc<Server>, job: &Job, ending: Ending, took: f64) {
        let now = self.now;
        let usual = self.usual(job);
        let lost = matches!(ending, Ending::TimedOut | Ending::CalledOff) && took > self.overdue() * usual;
        if lost || ending == Ending::Served {
            self.lost.add(now, f64::from(u8::from(lost)));
        }
        // A server that loses its answers looks idle: they count with the time they were out.
        if ending != Ending::Served && took > OVERDUE * usual {
            self.compare(server, took / usual);
        }
        server.unreached.set(ending == Ending::Unconnected);
        // The list that a node starts with may be old: one that is still to ask for it asks now.
        if server.unreached.get() && self.ask_pause <= ASK_AGAIN && self.next_ask.is_finite() {
            (self.next_ask, self.ask_pause) = (now, 2.0 * ASK_AGAIN);
        }
        // Does it help to send a job that got an error again? Some get one wherever they go.
        let before = job.errors() - usize::from(ending == Ending::Error);
        if before > 0 && matches!(ending, Ending::Error | Ending::Served) {
            self.again(job).add(now, f64::from(u8::from(ending == Ending::Served)));
        }
        // An error that most servers give now comes from the tier behind: it says nothing of this one.
        let behind = !self.settings.last_tier && self.endings.mean_beside(now, 1.0, 1.0) < SHARED;
        match ending {
            Ending::Served => {
                self.endings.add(now, 1.0);
                server.answered(job.profile, now, self.settings.cold_time);
                self.window.served(job.profile, now, took);
                self.tell(job, true);
                self.compare(server, took / usual);
                if self.settings.tier == 0 {
                    let target = self.profile(job).latency_target;
                    self.window.follow(job.profile, now, took, target);
                }
            }
            Ending::Error if self.is_own_fault(job) => {}
            Ending::Error if behind => self.endings.add(now, 0.0),
            Ending::Error | Ending::TimedOut | Ending::Unconnected | Ending::Broken => {
                self.endings.add(now, 0.0);
                self.strike(server, job.profile, ending == Ending::Error);
            }
            Ending::Full => server.rest_until.set(now + REST * self.usual(job)),
            Ending::CalledOff | Ending::NeverSent => {}
        }
        if matches!(ending, Ending::Error | Ending::TimedOut | Ending::Broken) {
            self.tell(job, false);
        }
        // A trial ends with its attempt, however that ended.
        server.health(job.profile).on_trial.set(false);
    }

    /// Settles from when on a job counts as slow: never while its body is coming.
    fn expect(&mut self, job: &Job) {
        let long = (LONG * self.usual(job)).min(self.profile(job).latency_target);
        job.due.set(if job.limit.get().is_finite() { self.now + long } else { f64::INFINITY });
    }

    /// Books whether a job was answered in time, once: at its latency target if nothing has come by then.
    fn tell(&mut self, job: &Job, timely: bool) {
        if job.attempts.borrow().is_empty() || job.told.replace(true) {
            return;
        }
        let now = self.now;
        self.fares[job.profile].timely.add(now, f64::from(u8::from(timely)));
        let others = self.fares.iter_mut().enumerate().filter(|(place, _)| *place != job.profile);
        let best = others.map(|(_, fare)| fare.timely.mean_beside(now, 1.0, 1.0)).fold(0.0, f64::max);
        let fare = &mut self.fares[job.profile];
        let was = fare.hopeless;
        let share = fare.timely.mean_beside(now, FARE_PRIOR, if was { HOPELESS } else { 1.0 });
        fare.hopeless = share < if was { WELL } else { HOPELESS } && best > WELL;
        if fare.hopeless != was {
            fare.timely = Recent::new(FARE_SPAN);
        }
        if fare.hopeless {
            // Those that are out hold places for as long as their clients wait: others may have them.
            let held: Vec<_> = self.due.values().filter_map(Weak::upgrade).collect();
            held.iter().filter(|other| other.profile == job.profile).for_each(|other| self.release(other));
        }
    }

    /// Do jobs of its customer that got an error get one from others too? Then no server is at fault, and
    /// it is worth no further attempt.
    fn is_own_fault(&mut self, job: &Job) -> bool {
        let now = self.now;
        job.errors() > 0 && self.again(job).mean_beside(now, 1.0, 1.0) < AGAIN_LEAST
    }

    /// How attempts after an error fare for its customer; where there are no customers, for all.
    fn again(&mut self, job: &Job) -> &mut Recent {
        let place = job.customer.min(self.again.len() - 1);
        &mut self.again[place]
    }

    /// A job that is slow by itself says nothing of its servers and takes no place from others.
    fn release(&mut self, job: &Job) {
        let out = job.attempts.borrow().iter().filter(|attempt| attempt.is_out()).count();
        self.window.out.change(self.now, -job.load() * out as f64);
        job.apart.set(true);
    }

    /// How slow a server is beside the others; a few samples lean on them.
    fn compare(&mut self, server: &Server, relative: f64) {
        let mut recent = server.relative.borrow_mut();
        recent.add(self.now, relative);
        server.slowness.set(recent.mean_beside(self.now, PRIOR, 1.0));
    }

    /// What servers of this node's part report of their utilisation, if that is what they report.
    fn busy(&mut self) -> Option<f64> {
        if self.settings.report.first() != Some(&ReportField::Utilisation) {
            return None;
        }
        let part = self.part();
        let near = self.near(part, |_| true);
        let estimates = || near.iter().filter_map(|server| server.estimate.get());
        (estimates().count() > 0).then(|| estimates().sum::<f64>() / estimates().count() as f64)
    }

    /// Failures in a row set a server aside: quick errors would otherwise win traffic by a low estimate.
    fn strike(&mut self, server: &Server, profile: usize, error: bool) {
        let now = self.now;
        let jobs = self.first_attempts.total(now).0 / now.clamp(1000.0, SPAN);
        // Who asks sees at once that a failing server is idle; with few jobs each trial is one of many lost.
        let pause = if self.asks > 0 { TRIAL / jobs.max(f64::MIN_POSITIVE) } else { 0.0 };
        server.failing_since.set(server.failing_since.get().min(now));
        for (place, health) in server.health.borrow().iter().enumerate() {
            let whole = self.asks > 0 && (server.unreached.get() || error && place == profile);
            let strikes = health.strikes.get() + if whole { STRIKES } else { 1 };
            health.strikes.set(strikes);
            if health.on_trial.replace(false) || strikes >= STRIKES && now >= health.back_at.get() {
                let time = (health.aside.get() * 2.0).clamp(ASIDE_FIRST, ASIDE_LAST).max(pause);
                health.aside.set(time);
                health.back_at.set(now + time);
                let [a, b, c, d, ..] = server.line.get().server;
                self.notes.push(format!("server {a}.{b}.{c}.{d} aside for {time:.0} ms, profile {place}"));
            }
        }
    }

    /// Usual duration of a profile's attempt, ms.
    fn usual(&mut self, job: &Job) -> f64 {
        let unseen = UNSEEN * self.profile(job).latency_target;
        self.window.usual(job.profile, self.now, unseen)
    }

    fn profile<'a>(&self, job: &'a Job) -> &'a Profile {
        &job.rules.profiles[job.place]
    }

    fn decide(&mut self, job: &Rc<Job>, out: &mut impl Writer) {
        if self.now >= job.due.get() {
            self.tell(job, false);
        }
        if job.closed.get() {
            return self.settle(job, out);
        }
        if self.now >= self.last_call(job) {
            return self.give_up(job, out);
        }
        if job.waiting.get() || self.settings.tier == 0 && job.attempts.borrow().is_empty() {
            return self.hold(job);
        }
        if job.attempts.borrow().iter().all(|attempt| !attempt.is_out()) {
            if self.attempt(job, None, out) {
                return;
            }
            let open = job.proven_unrun() && self.bounds(job).is_some();
            return if open { self.hold(job) } else { self.give_up(job, out) };
        }
        self.check_overdue(job, out);
    }

    /// The last moment for an answer of our own: a round ahead, so that it leaves before the limit.
    fn last_call(&self, job: &Job) -> f64 {
        job.limit.get().min(self.closing) - 2.0 * self.settings.round
    }

    fn check_overdue(&mut self, job: &Rc<Job>, out: &mut impl Writer) {
        let overdue = self.overdue();
        let usual = self.usual(job) * overdue;
        let mut next = f64::INFINITY;
        let mut late = None;
        // No server can be late with a job that has not come whole.
        let counts = |attempt: &&mut Attempt| job.load() > 0.0 && attempt.is_out() && !attempt.overdue;
        for attempt in job.attempts.borrow_mut().iter_mut().filter(counts) {
            let at = attempt.sent + usual * attempt.server.slowness.get().min(2.0);
            if at > self.now {
                next = next.min(at);
                continue;
            }
            attempt.overdue = true;
            // A server that has answered others since is not silent: its job is long, a copy is waste.
            if overdue < OVERDUE || attempt.server.heard.get() < attempt.sent {
                late = Some(attempt.server.clone());
            }
        }
        late.iter().for_each(|server| self.strike(server, job.profile, false));
        if late.is_none() || !job.rules.second_copies || !self.attempt(job, None, out) {
            self.review(job, next);
        }
    }

    /// Usual durations after which an attempt is overdue; fewer while answers are lost on the way.
    fn overdue(&mut self) -> f64 {
        if self.lost.mean(self.now) > LOSSY { OVERDUE_LOSSY } else { OVERDUE }
    }

    /// Has the job looked at again at `at`, or when its answer falls due.
    fn review(&mut self, job: &Rc<Job>, at: f64) {
        let at = if self.now < job.due.get() { at.min(job.due.get()) } else { at };
        let at = at.min(self.last_call(job)).clamp(0.0, self.now + SPAN);
        self.due.insert((at.to_bits(), job.id), Rc::downgrade(job));
    }

    fn hold(&mut self, job: &Rc<Job>) {
        let is_new = !job.waiting.replace(true);
        if is_new {
            self.waiting.push(job.clone());
        }
        // It may be held for longer than when it was looked at last: the table has become empty.
        let until = self.hold_until(job);
        if is_new || until > self.now {
            self.review(job, until);
        }
    }

    fn hold_until(&self, job: &Job) -> f64 {
        let hold = if self.table.is_empty() { f64::INFINITY } else { HOLD };
        self.last_call(job).min(job.arrived.get() + hold * self.profile(job).latency_target)
    }

    /// Lets waiting jobs go, best gain first, while the window has room.
    fn admit(&mut self, out: &mut impl Writer) {
        if self.waiting.is_empty() {
            return;
        }
        let waiting = std::mem::take(&mut self.waiting).into_iter().filter(|job| !job.closed.get());
        let mut ranked: Vec<_> = waiting.map(|job| (self.worth(&job), job)).collect();
        ranked.sort_by(|(a, x), (b, y)| b.total_cmp(a).then(x.arrived.get().total_cmp(&y.arrived.get())));
        // A lost zone's jobs would come on top of the others' own and tip them: what was borne is by server.
        let works = |server: &&Rc<Server>| !server.health.borrow().iter().all(|own| own.is_aside(self.now));
        let up = self.table.iter().filter(works);
        let part = up.map(|server| self.grown(server)).sum::<f64>().max(1.0) / self.settings.siblings;
        let busy = self.busy();
        self.window.bound(self.now, part, busy);
        for (worth, job) in ranked {
            // What is hardly ever answered in time, wherever it goes, would hold the places of all others.
            let fare = &self.fares[job.profile];
            let tried = fare.hopeless && fare.trial.upgrade().is_some_and(|job| !job.closed.get());
            if self.settings.tier == 0 && tried {
                self.give_up(&job, out);
                continue;
            }
            let asks = self.asks > 0;
            if asks && self.now >= job.asked.get() + ASK_AGAIN_SHARE * self.profile(&job).latency_target {
                self.inquire(&job, out);
            }
            let patience = job.asked.get() + ASK_PATIENCE * self.profile(&job).latency_target;
            let silent = |server: &Rc<Server>| server.seen.get() < server.probed.get();
            let waits = asks && self.now < patience && self.table.iter().any(silent);
            let open = !waits && (asks || self.settings.tier > 0 || self.has_room(worth));
            if open && self.attempt(&job, asks.then_some(worth), out) {
                job.waiting.set(false);
                self.fares[job.profile].trial = Rc::downgrade(&job);
            } else if !waits && self.now >= self.hold_until(&job) {
                self.give_up(&job, out);
            } else {
                self.waiting.push(job);
            }
        }
    }

    fn has_room(&mut self, worth: f64) -> bool {
        let better = self.is_better(worth);
        self.window.has_room(self.now, better)
    }

    /// Is it above the mean worth of jobs looked at lately?
    fn is_better(&mut self, worth: f64) -> bool {
        self.worths.add(self.now, worth);
        worth > self.worths.mean(self.now) * (1.0 + f64::EPSILON.sqrt())
    }

    /// What serving the job gains for each unit of work.
    fn worth(&mut self, job: &Job) -> f64 {
        let within = self.within_quota(job.customer);
        let excess = if within { 1.0 } else { self.settings.excess_gain };
        // What will hardly be answered in time is worth little more than nothing, however short the queue.
        let left = job.arrived.get() + self.profile(job).latency_target - self.now;
        let chance = (left / self.usual(job)).clamp(0.0, 1.0).powf(SURE);
        let work = if job.rules.gain_by_work { 1.0 } else { self.usual(job) };
        excess * chance * self.profile(job).gain / work
    }

    /// The quota holds over all nodes, and clients ask again: this node's part is measured by what it let in.
    fn within_quota(&mut self, customer: usize) -> bool {
        let Some(recent) = self.admitted.get_mut(customer) else { return true };
        recent.total(self.now).0 <= self.settings.quotas[customer] / self.settings.siblings * SPAN / 1000.0
    }

    /// The only gate to a further attempt: where may the job go, if anywhere?
    fn bounds(&self, job: &Job) -> Option<Bound> {
        let attempts = job.attempts.borrow();
        if attempts.len() >= job.rules.most_attempts || job.spent.get() {
            return None;
        }
        let Some(first) = attempts.iter().find(|attempt| !attempt.never_ran()) else {
            return Some(None);
        };
        let profile = self.profile(job);
        match profile.effect {
            Effect::NonIdempotent => None,
            Effect::Idempotent => Some(None),
            // Past the window its servers no longer know the mark, and the job would run twice.
            Effect::Keyed if self.now >= first.sent + profile.window => None,
            Effect::Keyed => Some(Some(first.server.clone())),
        }
    }

    /// May the client be told that trying again does no harm?
    fn may_reject(&self, job: &Job) -> bool {
        let Profile { effect, group, .. } = self.profile(job);
        let harmless = *effect == Effect::Idempotent || *effect == Effect::Keyed && *group == Group::All;
        harmless || job.proven_unrun()
    }

    fn give_up(&mut self, job: &Rc<Job>, out: &mut impl Writer) {
        if self.may_reject(job) {
            // All told the same would come back at once: the advice is spread.
            let wait = BACK * self.profile(job).latency_target * self.chance.0.random_range(0.5..1.5);
            out.reject(job.id, wait.min(self.settings.longest_wait));
        } else {
            out.fail(job.id);
        }
        job.closed.set(true);
        self.settle(job, out);
    }

    /// Ends what is still out for a closed job and forgets it when nothing is.
    fn settle(&mut self, job: &Rc<Job>, out: &mut impl Writer) {
        let attempts = job.attempts.borrow();
        let still_out = || attempts.iter().enumerate().filter(|(_, attempt)| attempt.is_out());
        if !job.settled.replace(true) && job.rules.may_call_off {
            still_out().for_each(|(number, _)| out.call_off(job.id, number as u16));
        }
        if still_out().next().is_none() {
            self.jobs.remove(&job.id);
        }
    }

    /// Sends the job on by the paper's draw among the servers that may have it; false if there is none.
    fn attempt(&mut self, job: &Rc<Job>, worth: Option<f64>, out: &mut impl Writer) -> bool {
        let Some(group) = self.bounds(job) else { return false };
        let first = job.attempts.borrow().is_empty();
        let further = !job.proven_unrun();
        if !first && (self.is_own_fault(job) || !self.may_go_again(further)) {
            return false;
        }
        let Some((server, estimate)) = self.draw(job, group) else { return false };
        // Share of the job's time left that a server of this estimate will take, by what recent ones took.
        let left = (job.arrived.get() + self.profile(job).latency_target - self.now).max(f64::MIN_POSITIVE);
        let promise = self.usual(job) * estimate / self.drawn.mean_beside(self.now, 1.0, 1.0) / left;
        // What room there is under overload is for the better ones.
        let power = worth.map(|worth| if self.is_better(worth) { BETTER } else { OTHERS });
        let idle = server.estimate.get().is_some_and(|held| held < IDLE);
        if power.is_some_and(|power| !idle && promise >= self.reach.powf(power)) {
            return false;
        }
        if first {
            self.expect(job);
            self.first_attempts.add(self.now, 1.0);
            if let Some(recent) = self.admitted.get_mut(job.customer) {
                recent.add(self.now, 1.0);
            }
        } else {
            self.further.add(self.now, f64::from(u8::from(further)));
            self.rationed.add(self.now, 1.0);
        }
        self.drawn.add(self.now, estimate);
        if server.out.replace(server.out.get() + 1) == 0 {
            server.taken.set(self.now);
        }
        server.cold_credit.set(server.cold_credit.get() - 1.0);
        // Back from its time aside it gets one attempt, and the next when that was served.
        let health = server.health(job.profile);
        health.on_trial.set(health.strikes.get() >= STRIKES && self.now >= health.back_at.get());
        self.window.out.change(self.now, job.load());
        out.attempt(job.id, server.line.get().server, job.limit.get() - self.now);
        let usual = self.usual(job) * self.overdue();
        let at = self.now + usual * server.slowness.get().min(2.0);
        job.attempts.borrow_mut().push(Attempt::new(server, self.now, promise));
        self.review(job, at);
        true
    }

    /// Is there room for an attempt beyond a job's first, which may be for the second time that it runs?
    fn may_go_again(&mut self, further: bool) -> bool {
        let now = self.now;
        // Further attempts follow the share of recent attempts that were served, or retries would feed a jam.
        let served = self.endings.mean_beside(now, 1.0, 1.0);
        let allowed = FURTHER_FREE + FURTHER * served * self.first_attempts.total(now).0;
        let budget = self.settings.further_free + self.settings.further_ratio * self.taken.total(now).0;
        (!further || self.further.total(now).1 < allowed) && self.rationed.total(now).1 + 1.0 <= budget
    }

    fn draw(&mut self, job: &Job, group: Bound) -> Option<(Rc<Server>, f64)> {
        let mut open = Vec::new();
        if self.asks > 0 {
            open = self.open(job, &group, |_, _| true);
            open.retain(|server| server.seen.get() >= server.probed.get().max(job.asked.get()));
        }
        if open.is_empty() {
            let part = self.part().min(self.table.len()).max(1);
            let rate = self.first_attempts.total(self.now).0 / SPAN / part as f64;
            open = self.open(job, &group, |me, server| me.has_credit(server, rate));
        } else {
            // In the time in which a cold one falls over it is sent what it did and what it holds at the end.
            let multiple = (self.settings.cold_multiple - 1.0).max(0.0) * COLD_PART;
            let most = multiple * self.settings.cold_window / self.usual(job);
            let waiting = self.waiting_like(job);
            open.retain(|server| self.grown(server) >= 1.0 || self.wins(job, server, most, waiting));
        }
        let estimates = self.estimates(&open);
        let weights = WeightedIndex::new(estimates.iter().map(|estimate| estimate.powf(-K)));
        let place = weights.ok()?.sample(&mut self.chance.0);
        Some((open.get(place)?.clone(), estimates[place]))
    }

    /// The servers of this node's part that may have the job.
    fn open(&mut self, job: &Job, group: &Bound, more: impl Fn(&Self, &Server) -> bool) -> Vec<Rc<Server>> {
        let part = self.part();
        let attempts = job.attempts.borrow();
        let aside = |server: &Rc<Server>| server.health(job.profile).is_aside(self.now);
        let most = self.table.len() as f64 * ASIDE_SHARE;
        let shared = self.table.iter().filter(|server| aside(server)).count() as f64 > most;
        let within = |server: &Rc<Server>| match (group, self.profile(job).group) {
            (Some(first), Group::Zone) => first.line.get().zone == server.line.get().zone,
            (Some(first), Group::Cell) => first.line.get().cell == server.line.get().cell,
            _ => true,
        };
        let fits = |server: &Rc<Server>| {
            within(server)
                && self.now >= server.rest_until.get()
                && (shared && !server.unreached.get() || !aside(server))
                && !attempts.iter().any(|attempt| Rc::ptr_eq(&attempt.server, server))
                && more(self, server)
        };
        // Each further server would have to be met, and learned of by jobs lost; a few are enough to ask.
        let mut kept = if self.asks > 0 { self.near(part, |_| true) } else { Vec::new() };
        kept.retain(&fits);
        match (self.asks, kept.len()) {
            (0, _) => self.near(part, fits),
            (_, 0..KEPT) => self.near(KEPT, fits),
            _ => kept,
        }
    }

    /// Share of its capacity that a server has at least, by the time since its start.
    fn grown(&self, server: &Server) -> f64 {
        let part = (self.now - server.started.get()) / self.settings.cold_time;
        (self.settings.cold_share + (1.0 - self.settings.cold_share) * part.max(0.0)).min(1.0)
    }

    /// How many jobs of all nodes wait as this one does: as many as came since.
    fn waiting_like(&mut self, job: &Job) -> f64 {
        (self.rate() * self.settings.siblings * (self.now - job.arrived.get())).max(1.0)
    }

    /// Is the job among those that a cold server may get, which would bear so many more if it were warm? All nodes see in the
    /// same moment that it has room, for all the jobs that wait there: chance tells which of them have it.
    fn wins(&self, job: &Job, server: &Server, most: f64, waiting: f64) -> bool {
        let held = server.estimate.get().unwrap_or(0.0).max(f64::from(server.out.get()));
        let room = (most * self.grown(server)).max(1.0) - held;
        (job.lot.get() + server.place * self.table.len() as f64).fract() * waiting < room
    }

    /// Cold servers take only their part of what warm ones bear, or all nodes together push them over.
    fn has_credit(&self, server: &Server, rate: f64) -> bool {
        let grown = self.grown(server);
        let refill = rate * COLD_PART * self.settings.cold_multiple * grown;
        let most = (refill * self.settings.cold_window).max(1.0);
        let credit = server.cold_credit.get() + refill * (self.now - server.credit_at.get());
        server.cold_credit.set(credit.min(most));
        server.credit_at.set(self.now);
        grown >= 1.0 || server.cold_credit.get() >= 1.0
    }
}

impl Server {
    fn answered(&self, profile: usize, now: f64, cold_time: f64) {
        // Silent long enough to have restarted: it is cold until the list says better.
        let silent = now - self.failing_since.get() > SILENT && now - self.started.get() > cold_time;
        let health = self.health(profile);
        if silent && self.health.borrow().iter().all(|health| health.strikes.get() >= STRIKES) {
            self.restarted(now, now);
        }
        health.strikes.set(0);
        health.aside.set(0.0);
        self.heard.set(now);
        self.failing_since.set(f64::INFINITY);
    }
}

impl Health {
    fn is_aside(&self, now: f64) -> bool {
        self.strikes.get() >= STRIKES && (now < self.back_at.get() || self.on_trial.get())
    }
}
