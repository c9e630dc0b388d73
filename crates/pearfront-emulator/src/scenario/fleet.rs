//! The machines of a rehearsal: the network between them, their kinds, and the tiers of servers.

use super::defaults::{eight, whole};
use serde::Deserialize;

/// One-way delays.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Network {
    pub hop_ms: f64,
    pub cross_ms: f64,
    pub caller_ms: f64,
    /// Largest part by which a delay is longer than stated, drawn evenly.
    pub jitter: f64,
}

impl Default for Network {
    fn default() -> Self {
        Self { hop_ms: 0.25, cross_ms: 0.7, caller_ms: 0.8, jitter: 0.2 }
    }
}

/// Where a machine stands.
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
    /// Work done by a core in a millisecond, ms of work.
    #[serde(default = "whole")]
    pub speed: f64,
    /// Part of a tier's servers that are of this kind.
    #[serde(default = "whole")]
    pub share: f64,
}

/// Servers that do the same part of each job.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    pub name: String,
    pub servers: usize,
    /// Part of a job's work that is done here.
    #[serde(default = "whole")]
    pub work: f64,
    /// Calls that each job makes to the next tier, one after another; the servers' slots stay taken.
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
    /// Jobs in work at once, for each core; they share the cores.
    pub slots: f64,
    /// Jobs that wait beyond that; further ones are turned away unseen.
    pub queue: usize,
    /// Capacity at the start as a share of the full one, and the time until it is full.
    pub cold_from: f64,
    pub warm_up_s: f64,
    /// Jobs held for each core from which on it is slow, and down to which it stays so.
    pub crowded_at: f64,
    pub calm_at: f64,
    /// Share of its speed that is left while crowded.
    pub crowded_speed: f64,
    /// Short stand-stills: mean time between two, and how long each lasts; 0 for none.
    pub pause_every_s: f64,
    pub pause_ms: f64,
    /// Connections that it holds at the most, and the work that a new one costs.
    pub connections: usize,
    pub connect_work_ms: f64,
    /// It closes idle connections after this time, unannounced. The settings say `nodes.idle_s`.
    pub idle_s: f64,
    /// Time between two refreshes of its load report.
    pub report_ms: f64,
    /// Work that called-off jobs still waiting cost: dropped if true, run all the same if false.
    pub drops_waiting: bool,
    /// Work that a probe costs.
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
