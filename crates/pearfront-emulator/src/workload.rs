//! Generates the client workload independently of what the nodes do, and decides when clients retry. Used by
//! both plays.

use crate::scenario::{Effect, Profile, Scenario};
use rand::distr::weighted::WeightedIndex;
use rand::prelude::{Distribution, Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::LogNormal;
use std::rc::Rc;

/// Clients do not retry with less time left than this, ms.
const MIN_TIME_LEFT_MS: f64 = 20.0;
/// Share of its deadline after which an impatient client leaves.
const IMPATIENT_SHARE: f64 = 0.25;

/// One operation that a client asks for. Times are milliseconds from the start of the play.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedAsk {
    pub at: f64,
    pub profile: usize,
    pub customer: usize,
    pub zone: usize,
    /// From 1 on for keyed requests, otherwise 0.
    pub key: u64,
    /// Work over all tiers, ms.
    pub work: f64,
    /// Deadline over all tries.
    pub deadline: f64,
    impatient: bool,
    heeds: bool,
    persists: bool,
    spread: f64,
}

/// Iterator over all asks of a play in order of time.
pub struct Workload {
    scenario: Rc<Scenario>,
    rng: ChaCha8Rng,
    at: f64,
    keyed: u64,
}

impl Workload {
    pub fn new(scenario: Rc<Scenario>, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(1);
        Self { scenario, rng, at: 0.0, keyed: 0 }
    }

    fn draw(&mut self) -> PlannedAsk {
        let (scenario, rng) = (&self.scenario, &mut self.rng);
        let clients = &scenario.clients;
        let profile = weighted(rng, scenario.profiles.iter().map(|profile| profile.share));
        let customer = weighted(rng, scenario.customers.iter().map(|customer| customer.share));
        let zone = if clients.zone_shares.is_empty() {
            rng.random_range(0..scenario.zones.len())
        } else {
            weighted(rng, clients.zone_shares.iter().copied())
        };
        let of = &scenario.profiles[profile];
        let keyed = of.effect == Effect::Keyed;
        self.keyed += u64::from(keyed);
        PlannedAsk {
            at: self.at,
            profile,
            customer,
            zone,
            key: if keyed { self.keyed } else { 0 },
            work: draw_work(of, rng),
            deadline: self.at + of.deadline_ms,
            impatient: rng.random::<f64>() < clients.impatient,
            heeds: rng.random::<f64>() < clients.heed_advice,
            persists: rng.random::<f64>() < clients.retry_share,
            spread: rng.random_range(0.5..1.5),
        }
    }
}

/// A Poisson process, thinned to the rate curve.
impl Iterator for Workload {
    type Item = PlannedAsk;

    fn next(&mut self) -> Option<PlannedAsk> {
        let most = self.scenario.clients.rate.most() / 1000.0;
        loop {
            self.at -= (1.0 - self.rng.random::<f64>()).ln() / most;
            if self.at >= self.scenario.length() {
                return None;
            }
            let rate = self.scenario.clients.rate.at(self.at / 1000.0) / 1000.0;
            if self.rng.random::<f64>() * most <= rate {
                return Some(self.draw());
            }
        }
    }
}

impl PlannedAsk {
    /// When the client of a try that starts now gives up without an answer; answers within the slack are still
    /// received.
    pub fn leaves(&self, scenario: &Scenario, now: f64) -> f64 {
        let patience = if self.impatient { IMPATIENT_SHARE } else { 1.0 };
        now + (self.deadline - now) * patience + scenario.rules.slack_ms
    }

    /// When the client retries after `tries` unsuccessful tries, if at all: `harmless` if the last one was
    /// rejected, `wait` is the retry-after advice, ms.
    pub fn next_try(
        &self,
        scenario: &Scenario,
        now: f64,
        tries: u32,
        wait: f64,
        harmless: bool,
    ) -> Option<f64> {
        let clients = &scenario.clients;
        let non_idempotent = scenario.profiles[self.profile].effect == Effect::NonIdempotent;
        let may = self.persists && tries <= clients.retries && (harmless || !non_idempotent);
        let doubled = f64::from(1u32 << (tries.max(1) - 1).min(16));
        let own = clients.backoff_ms * doubled * self.spread;
        let advised = wait.min(scenario.nodes.advice_s * 1000.0);
        let at = now + if self.heeds { own.max(advised) } else { own };
        (may && at + MIN_TIME_LEFT_MS < self.deadline).then_some(at)
    }
}

pub fn weighted(rng: &mut ChaCha8Rng, weights: impl Iterator<Item = f64>) -> usize {
    WeightedIndex::new(weights).map_or(0, |index| index.sample(rng))
}

/// Log-normal with the profile's mean and spread.
fn draw_work(profile: &Profile, rng: &mut ChaCha8Rng) -> f64 {
    let spread = profile.work_spread;
    let sigma = (1.0 + spread * spread).ln().sqrt();
    let mu = profile.work_ms.ln() - sigma * sigma / 2.0;
    LogNormal::new(mu, sigma).map_or(profile.work_ms, |drawn| drawn.sample(rng))
}

#[cfg(test)]
mod tests;
