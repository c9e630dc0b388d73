//! Callers of the model play: what they ask for and when, the front that deals their jobs out, tries after the first.

use super::nodes::{From, HeldJob, Seat};
use super::{Event, World};
use crate::record::{Answer, Answered, Ask, Job};
use crate::scenario::{Effect, Profile};
use rand::distr::weighted::WeightedIndex;
use rand::prelude::{Distribution, Rng};
use rand_chacha::ChaCha8Rng;
use rand_distr::LogNormal;
use std::cell::Cell;
use std::rc::Rc;

/// A further try that has less time left than this, ms, is not made.
const TRY_LEAST: f64 = 20.0;
/// Part of its limit after which an impatient caller leaves.
const IMPATIENT: f64 = 0.25;

pub struct AskState {
    place: usize,
    profile: usize,
    customer: usize,
    zone: usize,
    label: u64,
    work: f64,
    limit: f64,
    impatient: bool,
    /// Drawn ahead, so that it does not depend on how nodes answer.
    heeds: bool,
    persists: bool,
    spread: f64,
    tries: Cell<u32>,
    over: Cell<bool>,
}

pub struct Front {
    pub chance: ChaCha8Rng,
    /// Asks that are not over yet.
    pub open: usize,
    labelled: u64,
}

impl Front {
    pub fn new(chance: ChaCha8Rng) -> Self {
        Self { chance, open: 0, labelled: 0 }
    }
}

fn weighted(chance: &mut ChaCha8Rng, weights: impl Iterator<Item = f64>) -> usize {
    WeightedIndex::new(weights).map_or(0, |index| index.sample(chance))
}

/// Work of one ask, ms: mean and spread as the profile says.
pub fn draw_work(profile: &Profile, chance: &mut ChaCha8Rng) -> f64 {
    let spread = profile.work_spread;
    let sigma = (1.0 + spread * spread).ln().sqrt();
    let mu = profile.work_ms.ln() - sigma * sigma / 2.0;
    LogNormal::new(mu, sigma).map_or(profile.work_ms, |drawn| drawn.sample(chance))
}

impl World {
    /// The next moment of a Poisson process thinned to the curve.
    pub fn next_ask(&mut self) {
        let scenario = self.scenario.clone();
        let most = scenario.callers.rate.most() / 1000.0;
        let mut at = self.now;
        if at > 0.0 {
            self.ask();
        }
        let chance = &mut self.front.chance;
        loop {
            at -= (1.0 - chance.random::<f64>()).ln() / most;
            if at >= scenario.length() {
                return;
            }
            if chance.random::<f64>() * most <= scenario.callers.rate.at(at / 1000.0) / 1000.0 {
                return self.agenda.put(at, Event::NextAsk);
            }
        }
    }

    fn ask(&mut self) {
        let scenario = self.scenario.clone();
        let callers = &scenario.callers;
        let front = &mut self.front;
        let chance = &mut front.chance;
        let profile = weighted(chance, scenario.profiles.iter().map(|profile| profile.share));
        let customer = weighted(chance, scenario.customers.iter().map(|customer| customer.share));
        let zone = if callers.zone_shares.is_empty() {
            chance.random_range(0..scenario.zones.len())
        } else {
            weighted(chance, callers.zone_shares.iter().copied())
        };
        front.labelled += 1;
        let ask = Rc::new(AskState {
            place: self.records.asks.len(),
            profile,
            customer,
            zone,
            label: if scenario.profiles[profile].effect == Effect::Labelled { front.labelled } else { 0 },
            work: draw_work(&scenario.profiles[profile], chance),
            limit: self.now + scenario.profiles[profile].limit_ms,
            impatient: chance.random::<f64>() < callers.impatient,
            heeds: chance.random::<f64>() < callers.heed_advice,
            persists: chance.random::<f64>() < callers.retry_share,
            spread: chance.random_range(0.5..1.5),
            tries: Cell::new(0),
            over: Cell::new(false),
        });
        front.open += 1;
        self.records.asks.push(Ask { at: self.now, profile, customer });
        self.try_ask(&ask);
    }

    pub fn try_ask(&mut self, ask: &Rc<AskState>) {
        ask.tries.set(ask.tries.get() + 1);
        let Some(seat) = self.deal(ask.zone) else { return self.failed(ask) };
        let node = seat.node.borrow().clone();
        let Some(node) = node else { return self.failed(ask) };
        let record = self.records.jobs.len();
        let trace = record as u64 + 1;
        self.records.jobs.push(Job {
            trace,
            root: trace,
            ask: Some(ask.place),
            node: node.life,
            tier: 0,
            profile: ask.profile,
            label: ask.label,
            sent: self.now,
            limit: ask.limit,
            left: None,
            answers: Vec::new(),
            cut: false,
        });
        let job = Rc::new(HeldJob {
            node: node.clone(),
            number: Cell::new(0),
            record,
            trace,
            root: trace,
            label: ask.label,
            profile: ask.profile,
            customer: ask.customer,
            limit: ask.limit,
            work: ask.work * self.scenario.tiers[0].work,
            whole_work: ask.work,
            fan: 1.0,
            from: From::Caller(ask.clone()),
            shots: Default::default(),
            answered: Cell::new(false),
            over: Cell::new(false),
        });
        let hop = self.caller_hop();
        self.agenda.put(self.now + hop, Event::Take(node, job.clone()));
        let patience = if ask.impatient { IMPATIENT } else { 1.0 };
        let leaves = self.now + (ask.limit - self.now) * patience + self.scenario.rules.slack_ms;
        self.agenda.put(leaves, Event::CallerLeaves(job));
    }

    /// The front sends to the nodes of the caller's zone that it knows to be up, else to any.
    fn deal(&mut self, zone: usize) -> Option<Rc<Seat>> {
        let at = |home: bool| {
            let fits = |seat: &&Rc<Seat>| seat.dealt.get() && (!home || usize::from(seat.zone) == zone);
            self.seats.iter().filter(fits).cloned().collect::<Vec<_>>()
        };
        let mut seats = at(true);
        if seats.is_empty() {
            seats = at(false);
        }
        if seats.is_empty() {
            return None;
        }
        let place = weighted(&mut self.net, seats.iter().map(|seat| seat.weight.get()));
        Some(seats[place].clone())
    }

    /// An answer has come to whoever waits for it.
    pub fn answered(&mut self, job: &Rc<HeldJob>, answer: Answer, body: u64, wait: f64) {
        let left = self.records.jobs[job.record].left.is_some();
        if !left {
            self.records.jobs[job.record].answers.push(Answered { at: self.now, answer, body });
        }
        if job.over.replace(true) {
            return;
        }
        match &job.from {
            From::Server(flight) => {
                let flight = flight.clone();
                let host = flight.host.clone();
                self.catch_up(&host);
                self.call_ended(&host, &flight, answer == Answer::Honoured);
                self.watch_host(&host);
            }
            From::Caller(ask) => {
                let ask = ask.clone();
                match answer {
                    Answer::Honoured => self.finish(&ask),
                    Answer::PushedBack => self.again(&ask, wait, true),
                    Answer::Forfeited => self.again(&ask, 0.0, false),
                }
            }
        }
    }

    /// The node is gone, and the job's connection with it.
    pub fn cut(&mut self, job: &Rc<HeldJob>) {
        self.records.jobs[job.record].cut = true;
        if job.over.replace(true) {
            return;
        }
        match &job.from {
            From::Caller(ask) => self.failed(&ask.clone()),
            // It ends with its server; nobody waits.
            From::Server(_) => {}
        }
    }

    pub fn caller_leaves(&mut self, job: &Rc<HeldJob>) {
        if job.over.replace(true) {
            return;
        }
        self.records.jobs[job.record].left = Some(self.now);
        if job.node.alive.get() && !job.answered.get() {
            let number = job.number.get();
            job.answered.set(true);
            self.tell(&job.node.clone(), crate::decide::Word::Left { id: number });
        }
        if let From::Caller(ask) = &job.from {
            self.finish(&ask.clone());
        }
    }

    fn failed(&mut self, ask: &Rc<AskState>) {
        self.again(ask, 0.0, false);
    }

    /// A try was in vain; the next one follows where the caller may and wants to.
    fn again(&mut self, ask: &Rc<AskState>, wait: f64, harmless: bool) {
        let callers = &self.scenario.callers;
        let irreversible = self.scenario.profiles[ask.profile].effect == Effect::Irreversible;
        let may = ask.persists && ask.tries.get() <= callers.retries && (harmless || !irreversible);
        let doubled = f64::from(1u32 << (ask.tries.get() - 1).min(16));
        let own = callers.backoff_ms * doubled * ask.spread;
        let advised = wait.min(self.scenario.nodes.advice_s * 1000.0);
        let at = self.now + if ask.heeds { own.max(advised) } else { own };
        if may && at + TRY_LEAST < ask.limit {
            self.agenda.put(at, Event::Try(ask.clone()));
        } else {
            self.finish(ask);
        }
    }

    fn finish(&mut self, ask: &AskState) {
        if !ask.over.replace(true) {
            self.front.open -= 1;
        }
    }
}
