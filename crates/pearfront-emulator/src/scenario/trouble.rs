//! The script of troubles: what befalls which machines, when and for how long.

use super::defaults::two;
use serde::Deserialize;

/// What befalls machines, nodes or discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// Machines say nothing; they come back cold, at the same addresses under new ids with `new_ids`.
    Silent,
    /// A part `by` of jobs ends in an error at once.
    FastErrors,
    /// Nothing moves, then all goes on.
    Stall,
    /// Speed is `by` times what it was.
    Slow,
    /// Answers are lost on their way, a part `by`.
    LostAnswers,
    /// Load reports stay as they were.
    StaleReports,
    /// Load reports do not come: probes fail.
    LostReports,
    /// Idle connections are closed by servers after `by` seconds.
    ShortIdle,
    DiscoveryDown,
    /// The list stays as it was.
    DiscoveryOld,
    /// One node gets `by` times its share.
    HotNode,
    /// Servers are drained and replaced under new ids, `by` of them at once.
    Release,
    /// Servers drain, end and are not replaced.
    Drain,
    KillNodes,
    /// Nodes get SIGTERM and start again.
    RestartNodes,
    Sighup,
}

/// One entry of the script.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    pub what: What,
    pub at_s: f64,
    /// How long it lasts; where it has no length, how long a node is down or a server takes to be replaced.
    #[serde(default = "two")]
    pub for_s: f64,
    /// Servers of this tier (all tiers if absent), of this zone and kind, and how many: a part of them, or a number.
    pub tier: Option<String>,
    pub zone: Option<String>,
    pub kind: Option<String>,
    pub part: Option<f64>,
    pub count: Option<usize>,
    pub by: Option<f64>,
    /// With the nodes of the zone.
    #[serde(default)]
    pub with_nodes: bool,
    #[serde(default)]
    pub new_ids: bool,
}

impl Trouble {
    /// How many of those that fit are struck.
    pub fn how_many(&self, all: usize) -> usize {
        match (self.part, self.count) {
            (Some(part), _) => ((all as f64 * part).round() as usize).clamp(1, all.max(1)),
            (None, Some(count)) => count.min(all),
            (None, None) => all,
        }
    }

    pub fn by(&self) -> f64 {
        self.by.unwrap_or(match self.what {
            What::FastErrors => 0.9,
            What::Slow => 0.2,
            What::LostAnswers => 0.2,
            What::HotNode => 4.0,
            _ => 1.0,
        })
    }
}
