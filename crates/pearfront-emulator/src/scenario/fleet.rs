//! Scenario settings of the machines: the network between them, their kinds, and the tiers of servers.

use super::defaults::{eight, whole};
use serde::Deserialize;

/// One-way network delays.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    pub hop_ms: f64,
    pub cross_ms: f64,
    pub caller_ms: f64,
    /// Largest share by which a delay exceeds its stated value; drawn uniformly.
    pub jitter: f64,
}

impl Default for Network {
    fn default() -> Self {
        Self { hop_ms: 0.25, cross_ms: 0.7, caller_ms: 0.8, jitter: 0.2 }
    }
}

/// Number, location and kind of a machine.
#[derive(Debug, Clone, Copy)]
pub struct Machine {
    pub number: usize,
    pub zone: u16,
    pub cell: u16,
    pub kind: usize,
}

/// A kind of machine.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    pub name: String,
    pub cores: f64,
    /// Work, ms, that a core does per millisecond.
    #[serde(default = "whole")]
    pub speed: f64,
    /// Share of a tier's servers that are of this kind.
    #[serde(default = "whole")]
    pub share: f64,
}

/// A tier: servers that do the same part of each request.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    pub name: String,
    pub servers: usize,
    /// Share of a request's work that is done in this tier.
    #[serde(default = "whole")]
    pub work: f64,
    /// Sequential calls that each request makes to the next tier; the server's slot stays occupied meanwhile.
    #[serde(default)]
    pub calls: u32,
    #[serde(default = "eight")]
    pub cells: u16,
    #[serde(default)]
    pub server: ServerBehaviour,
}

/// How the servers of a tier behave.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename = "ServerHabits", deny_unknown_fields, default)]
pub struct ServerBehaviour {
    /// Concurrent requests per core; they share the cores.
    pub slots: f64,
    /// Length of the waiting queue; requests beyond it are turned away without running.
    pub queue: usize,
    /// Capacity at the start as a share of the full capacity, and the warm-up time until it is full.
    pub cold_from: f64,
    pub warm_up_s: f64,
    /// Requests held per core above which the server is crowded (slow), and at or below which it recovers.
    pub crowded_at: f64,
    pub calm_at: f64,
    /// Share of the speed that remains while crowded.
    pub crowded_speed: f64,
    /// Short pauses: mean time between two, and the length of each; 0 for none.
    pub pause_every_s: f64,
    pub pause_ms: f64,
    /// Connection limit, and the work that a new connection costs.
    pub connections: usize,
    pub connect_work_ms: f64,
    /// The server closes idle connections after this time without notice. The nodes' settings state
    /// `nodes.idle_s` instead.
    pub idle_s: f64,
    /// Refresh interval of the load report.
    pub report_ms: f64,
    /// Whether cancelled requests that are still queued are dropped; if false they run all the same.
    pub drops_waiting: bool,
    /// Work, ms, that a probe costs.
    pub probe_work_ms: f64,
}

impl Default for ServerBehaviour {
    fn default() -> Self {
        Self {
            slots: 4.0,
            queue: 16,
            cold_from: 0.3,
            warm_up_s: 9.0,
            crowded_at: 12.0,
            calm_at: 1.0,
            crowded_speed: 0.3,
            pause_every_s: 0.0,
            pause_ms: 150.0,
            connections: 512,
            connect_work_ms: 0.3,
            idle_s: 30.0,
            report_ms: 200.0,
            drops_waiting: true,
            probe_work_ms: 0.05,
        }
    }
}
