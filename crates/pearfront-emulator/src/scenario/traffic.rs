//! What a rehearsal's callers send: profiles of requests, customers, the rate over time, and what callers do behind a failure.

use super::defaults::{every, five, half, hundred, two, whole};
use serde::Deserialize;

/// What a second run of a request does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    Idempotent,
    Keyed,
    NonIdempotent,
}

/// Servers among which the repeat of a keyed request is known as one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    All,
    Zone,
    Cell,
}

/// A kind of request.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    pub name: String,
    pub effect: Effect,
    #[serde(default = "every")]
    pub group: Group,
    /// For keyed jobs: how long their servers know a key.
    #[serde(default = "five")]
    pub window_s: f64,
    pub latency_target_ms: f64,
    /// The deadline: how long the caller waits at the most.
    pub deadline_ms: f64,
    pub gain: f64,
    /// Part of all jobs.
    pub share: f64,
    /// Mean work of a job over all tiers, ms on a core of speed 1.
    pub work_ms: f64,
    /// Standard deviation of the work as a share of the mean: 0 for always the same, else log-normal.
    #[serde(default = "half")]
    pub work_spread: f64,
}

/// A customer, its part of the traffic and its quota.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    pub name: String,
    /// Part of all jobs.
    pub share: f64,
    pub quota_per_s: f64,
}

/// A rate over time: one figure, or points `[second, jobs a second]` joined by lines.
#[derive(Debug, Clone, Deserialize)]
#[serde(untagged)]
pub enum Rate {
    Steady(f64),
    Curve(Vec<(f64, f64)>),
}

impl Rate {
    /// Jobs a second at a time in seconds.
    pub fn at(&self, second: f64) -> f64 {
        match self {
            Rate::Steady(rate) => *rate,
            Rate::Curve(points) => {
                let after = points.partition_point(|point| point.0 <= second);
                match (after.checked_sub(1).map(|at| points[at]), points.get(after)) {
                    (Some((from, low)), Some((to, high))) => {
                        low + (high - low) * (second - from) / (to - from)
                    }
                    (Some((_, rate)), None) | (None, Some(&(_, rate))) => rate,
                    (None, None) => 0.0,
                }
            }
        }
    }

    pub fn most(&self) -> f64 {
        match self {
            Rate::Steady(rate) => *rate,
            Rate::Curve(points) => points.iter().fold(0.0, |most, point| most.max(point.1)),
        }
    }
}

/// How many requests come from where, and what callers do behind a failure.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename = "Callers", deny_unknown_fields)]
pub struct Clients {
    /// First tries a second, all callers together.
    pub rate: Rate,
    /// Part of the traffic that comes from each zone, in their order; evenly if absent.
    #[serde(default)]
    pub zone_shares: Vec<f64>,
    /// Further tries of one job that was rejected or failed (non-idempotent ones only if rejected).
    #[serde(default)]
    pub retries: u32,
    /// Chance that a caller makes its next try at all.
    #[serde(default = "whole")]
    pub retry_share: f64,
    #[serde(default = "hundred")]
    pub backoff_ms: f64,
    /// Chance that a caller keeps away as long as it is told.
    #[serde(default = "whole")]
    pub heed_advice: f64,
    /// Part of the callers that leave at a quarter of their limit.
    #[serde(default)]
    pub impatient: f64,
    /// How long the front goes on sending to a node that has died.
    #[serde(default = "two")]
    pub notice_s: f64,
}
