//! What stands between callers and servers: the nodes, and how the server list reaches them.

use super::defaults::{connect, four, memory, probe_price, sockets, thirty, three, two, yes};
use serde::Deserialize;

/// The nodes, and what their settings say.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Nodes {
    /// Nodes of the first tier; every server of a tier that makes calls has one of its own beside them.
    pub count: usize,
    #[serde(default = "three")]
    pub most_attempts: u32,
    #[serde(default = "yes")]
    pub probes: bool,
    #[serde(default = "yes")]
    pub call_off: bool,
    #[serde(default)]
    pub second_copies: bool,
    /// Longest advice that callers are told; 0 if they are told none.
    #[serde(default = "two")]
    pub advice_s: f64,
    #[serde(default = "four")]
    pub round_ms: f64,
    #[serde(default = "connect")]
    pub connect_ms: f64,
    /// What the settings say of idle connections.
    #[serde(default = "thirty")]
    pub idle_s: f64,
    #[serde(default = "memory")]
    pub memory_mb: f64,
    #[serde(default = "sockets")]
    pub sockets: f64,
    #[serde(default)]
    pub cross_zone_price: f64,
    /// Probes tell of jobs held in place of the utilisation; at a low `probe_price` nodes then ask before a draw.
    #[serde(default)]
    pub told_held: bool,
    #[serde(default = "probe_price")]
    pub probe_price: f64,
    /// On sockets: they know of one another, as one installation.
    #[serde(default)]
    pub cluster: bool,
}

/// How the server list reaches nodes.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Changes come by themselves; else a node has to ask.
    pub pushed: bool,
    /// Time from a change to its publication, drawn evenly between the two.
    pub late_ms: (f64, f64),
    /// Time from a machine's falling silent to the list saying so.
    pub silent_s: f64,
    /// Lines that it can send in a second, all nodes together, and what a call costs beside its lines.
    pub lines_per_s: f64,
    pub call_lines: f64,
    /// A call that waits longer fails.
    pub timeout_ms: f64,
    /// Nodes must ask within this time.
    pub ask_within_s: f64,
}

impl Default for Discovery {
    fn default() -> Self {
        Self {
            pushed: false,
            late_ms: (300.0, 1500.0),
            silent_s: 8.0,
            lines_per_s: 4000.0,
            call_lines: 20.0,
            timeout_ms: 2000.0,
            ask_within_s: 10.0,
        }
    }
}
