//! The scenario file of a rehearsal: fleet, clients, nodes, discovery and the script of troubles. Keys ending
//! in `_s` are seconds, in `_ms` milliseconds; unknown keys are rejected. Scenarios are always created through
//! `Scenario::parse`.

mod check;
mod defaults;
mod fleet;
mod goal;
mod reading;
mod surroundings;
mod traffic;
mod trouble;

pub(crate) use check::{above, within};
pub use fleet::{Kind, Machine, Network, ServerBehaviour, Tier};
pub use goal::{Goal, Rules};
pub use reading::Mistake;
pub(crate) use reading::read;
pub use surroundings::{Discovery, Nodes};
pub use traffic::{Clients, Customer, Effect, Group, Profile, Rate};
pub use trouble::{Trouble, What};

use defaults::one;
use serde::Deserialize;

/// A parsed scenario file.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    pub length_s: f64,
    #[serde(default = "one")]
    pub seed: u64,
    pub zones: Vec<String>,
    #[serde(default)]
    pub network: Network,
    pub kinds: Vec<Kind>,
    pub tiers: Vec<Tier>,
    pub profiles: Vec<Profile>,
    pub customers: Vec<Customer>,
    #[serde(rename = "callers")]
    pub clients: Clients,
    pub nodes: Nodes,
    #[serde(default)]
    pub discovery: Discovery,
    #[serde(default)]
    pub rules: Rules,
    #[serde(default)]
    pub goal: Goal,
    #[serde(default)]
    pub troubles: Vec<Trouble>,
    /// A service curve recorded elsewhere, as `[second, service]`; the report plots it together with the curve
    /// of this play.
    #[serde(default)]
    pub recorded: Vec<(f64, f64)>,
}

impl Scenario {
    /// Parses and validates a file's text; reports the first mistake with its key and line.
    pub fn parse(text: &str) -> Result<Self, Mistake> {
        read(text, Self::check)
    }

    pub fn length(&self) -> f64 {
        self.length_s * 1000.0
    }

    /// Scales the work, latency target and deadline of requests by `times` and divides their rate by it, so that the total work is unchanged.
    ///
    /// # Panics
    /// If the rate is not steady.
    pub fn enlarge_requests(&mut self, times: f64) {
        let Rate::Steady(rate) = &mut self.clients.rate else { panic!("only a steady rate is scaled") };
        *rate /= times;
        for profile in &mut self.profiles {
            profile.work_ms *= times;
            profile.latency_target_ms *= times;
            profile.deadline_ms *= times;
        }
    }

    pub fn tier(&self, name: &str) -> Option<usize> {
        self.tiers.iter().position(|tier| tier.name == name)
    }

    /// Mean work of a request, ms, weighted over the profiles.
    pub fn mean_work(&self) -> f64 {
        let shares: f64 = self.profiles.iter().map(|profile| profile.share).sum();
        self.profiles.iter().map(|profile| profile.share * profile.work_ms).sum::<f64>() / shares
    }

    /// Mean work of a request at a server of this tier, ms.
    pub fn mean_work_at(&self, tier: usize) -> f64 {
        self.mean_work() * self.tiers[tier].work
    }

    /// All machines at the start, tier by tier: kinds are assigned by share, zones round-robin; no cell spans
    /// two zones.
    pub fn machines(&self) -> impl Iterator<Item = (usize, Machine)> {
        let zones = self.zones.len();
        self.tiers.iter().enumerate().flat_map(move |(at, tier)| {
            (0..tier.servers).map(move |number| {
                let zone = (number % zones) as u16;
                let cell = (number / zones) as u16 % tier.cells + zone * tier.cells;
                let kind = self.kind_at((number as f64 + 0.5) / tier.servers as f64);
                (at, Machine { number, zone, cell, kind })
            })
        })
    }

    fn kind_at(&self, place: f64) -> usize {
        let all: f64 = self.kinds.iter().map(|kind| kind.share).sum();
        let mut sum = 0.0;
        let reaches = |kind: &Kind| {
            sum += kind.share;
            sum > place * all
        };
        self.kinds.iter().position(reaches).unwrap_or(self.kinds.len() - 1)
    }

    pub fn zone_of(&self, trouble: &Trouble) -> Option<usize> {
        let zone = trouble.zone.as_ref()?;
        self.zones.iter().position(|name| name == zone)
    }

    /// How long, ms, a draining server keeps serving: the longest publication delay, the grace period, and half
    /// a second of margin.
    pub fn drains_for(&self) -> f64 {
        self.discovery.late_ms.1 + self.rules.drain_grace_s * 1000.0 + 500.0
    }

    /// Offered work at the peak rate as a share of each tier's capacity.
    pub fn loads(&self) -> Vec<f64> {
        let share: f64 = self.kinds.iter().map(|kind| kind.share).sum();
        let each = self.kinds.iter().map(|kind| kind.share * kind.cores * kind.speed).sum::<f64>() / share;
        let work = self.clients.rate.most() * self.mean_work() / 1000.0;
        self.tiers.iter().map(|tier| work * tier.work / (tier.servers as f64 * each)).collect()
    }
}

#[cfg(test)]
mod tests;
