//! The script of troubles: which faults are injected, where, when and for how long.

use super::defaults::two;
use serde::Deserialize;

/// A kind of fault that is injected into machines, nodes or discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// Machines become unresponsive; they come back cold at the same addresses, under new ids if `new_ids` is
    /// set.
    Silent,
    /// A share `by` of the requests fails immediately.
    FastErrors,
    /// Processing stops for a while, then continues.
    Stall,
    /// Speed is multiplied by `by`.
    Slow,
    /// A share `by` of the answers is lost on the way.
    LostAnswers,
    /// Load reports are no longer refreshed.
    StaleReports,
    /// Load reports are not sent: probes fail.
    LostReports,
    /// Idle connections are closed by servers after `by` seconds.
    ShortIdle,
    DiscoveryDown,
    /// The published list is no longer updated.
    DiscoveryOld,
    /// One node gets `by` times its share of the traffic.
    HotNode,
    /// Rolling release: servers are drained and replaced under new ids, `by` at a time.
    Release,
    /// Servers drain, stop and are not replaced.
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
    /// Duration; for troubles without one, how long a node is down or a server takes to be replaced.
    #[serde(default = "two")]
    pub for_s: f64,
    /// Affects servers of this tier (all if absent), zone and kind; `part` or `count` limits how many.
    pub tier: Option<String>,
    pub zone: Option<String>,
    pub kind: Option<String>,
    pub part: Option<f64>,
    pub count: Option<usize>,
    pub by: Option<f64>,
    /// The nodes of the zone are affected as well.
    #[serde(default)]
    pub with_nodes: bool,
    #[serde(default)]
    pub new_ids: bool,
}

impl Trouble {
    /// Number of affected targets among `all` that match.
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
