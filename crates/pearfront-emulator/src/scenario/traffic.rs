//! Scenario settings of the traffic: request profiles, customers, the rate over time, and how clients react to
//! failures.

use super::defaults::{every, five, half, hundred, two, whole};
use serde::Deserialize;

/// Whether a request may safely run twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    Idempotent,
    Keyed,
    NonIdempotent,
}

/// Servers that share the deduplication state of keyed requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    All,
    Zone,
    Cell,
}

/// A request profile.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    pub name: String,
    pub effect: Effect,
    #[serde(default = "every")]
    pub group: Group,
    /// For keyed requests: how long the servers remember a key.
    #[serde(default = "five")]
    pub window_s: f64,
    pub latency_target_ms: f64,
    /// The deadline: the longest time that the client waits.
    pub deadline_ms: f64,
    pub gain: f64,
    /// Share of all requests.
    pub share: f64,
    /// Mean work of a request over all tiers, ms on a core of speed 1.
    pub work_ms: f64,
    /// Standard deviation of the work as a share of the mean: 0 for constant work, otherwise log-normal.
    #[serde(default = "half")]
    pub work_spread: f64,
}

/// A customer, its share of the traffic and its quota.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    pub name: String,
    /// Share of all requests.
    pub share: f64,
    pub quota_per_s: f64,
}

/// A request rate over time: a constant, or points `[second, requests per second]` with linear interpolation.
#[derive(Debug, Clone, Deserialize)]
#[serde(untagged)]
pub enum Rate {
    Steady(f64),
    Curve(Vec<(f64, f64)>),
}

impl Rate {
    /// Requests per second at the given second.
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

/// Request rate, origin of the requests, and how clients react to failures.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename = "Callers", deny_unknown_fields)]
pub struct Clients {
    /// First tries per second of all clients together.
    pub rate: Rate,
    /// Share of the traffic from each zone, in the order of the zones; even if absent.
    #[serde(default)]
    pub zone_shares: Vec<f64>,
    /// Retries of a request that was rejected or failed (non-idempotent ones only if rejected).
    #[serde(default)]
    pub retries: u32,
    /// Probability that a client retries at all.
    #[serde(default = "whole")]
    pub retry_share: f64,
    #[serde(default = "hundred")]
    pub backoff_ms: f64,
    /// Probability that a client obeys the retry-after advice.
    #[serde(default = "whole")]
    pub heed_advice: f64,
    /// Share of the clients that leave after a quarter of their deadline.
    #[serde(default)]
    pub impatient: f64,
    /// How long the client-side balancer keeps sending to a node that has died.
    #[serde(default = "two")]
    pub notice_s: f64,
}
