//! Scenario settings of the nodes, and of the discovery service that sends them the server list.

use super::defaults::{connect, four, memory, probe_price, sockets, thirty, three, two, yes};
use serde::Deserialize;

/// The nodes and their settings.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Nodes {
    /// Number of nodes in front of the first tier. Every server of a tier that calls the next one also has a
    /// node of its own.
    pub count: usize,
    #[serde(default = "three")]
    pub most_attempts: u32,
    #[serde(default = "yes")]
    pub probes: bool,
    #[serde(default = "yes")]
    pub call_off: bool,
    #[serde(default)]
    pub second_copies: bool,
    /// Longest retry-after advice given to clients; 0 for none.
    #[serde(default = "two")]
    pub advice_s: f64,
    #[serde(default = "four")]
    pub round_ms: f64,
    #[serde(default = "connect")]
    pub connect_ms: f64,
    /// Idle time-out of connections as stated in the settings.
    #[serde(default = "thirty")]
    pub idle_s: f64,
    #[serde(default = "memory")]
    pub memory_mb: f64,
    #[serde(default = "sockets")]
    pub sockets: f64,
    #[serde(default)]
    pub cross_zone_price: f64,
    /// Probes report the number of requests held instead of the utilisation; at a low `probe_price` nodes then
    /// probe before choosing a server.
    #[serde(default)]
    pub told_held: bool,
    #[serde(default = "probe_price")]
    pub probe_price: f64,
    /// In plays on sockets: the nodes form one cluster.
    #[serde(default)]
    pub cluster: bool,
}

/// How the server list reaches the nodes.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Changes are pushed to the nodes; otherwise a node has to request them.
    pub pushed: bool,
    /// Time from a change to its publication, drawn uniformly between the two values.
    pub late_ms: (f64, f64),
    /// Time from a machine's becoming unresponsive until the list shows it.
    pub silent_s: f64,
    /// Lines that discovery can send per second to all nodes together, and the overhead of a call, in lines.
    pub lines_per_s: f64,
    pub call_lines: f64,
    /// A call that is queued for longer than this fails.
    pub timeout_ms: f64,
    /// Nodes have to request the list within this time.
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
