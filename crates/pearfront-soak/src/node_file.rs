//! The configuration files of the nodes of a soak, and those of their values that the judge checks records against.

use crate::plan::Fleet;
use serde_json::{Value, json};
use std::net::SocketAddrV4;

/// The configuration of a node.
pub fn node_file(fleet: &Fleet, grace: f64, known: Value, discovery: SocketAddrV4) -> Value {
    let ns = |ms: f64| ms * 1e6;
    let profile = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "group": "cell", "window": ns(fleet.dedup_window),
            "contract_time": ns(fleet.deadlines.1 / 2.0), "outer_limit": ns(fleet.deadlines.1), "gain": 1.0})
    };
    json!({"limits": {"memory_mb": fleet.memory_mb, "sockets": fleet.sockets}, "known": known, "discovery": discovery.to_string(),
        "settings": {"siblings": fleet.nodes, "round": 4e6, "azs": ["a"], "host_types": ["m"],
            "discovery": if fleet.pushed { "pushed" } else { "on_request" },
            "customers": [{"name": "acme", "quota_per_s": 10000.0}],
            "profiles": [profile("read", "safe"), profile("book", "keyed"), profile("pay", "unsafe")],
            "limits": {"most_shots": 3, "cancel": true, "probes": true, "connect_timeout": 300e6, "conn_idle": 10e9,
                "parallel_tries": true, "retry_after": true, "max_retry_after": 2e9},
            "deductions": {}, "objective_mix": {"whole": 1.0},
            "report": {"fields": [if fleet.probes_first { "outstanding" } else { "utilization" }], "via": "probe"},
            "rules": {"ask_within": 10e9, "cold": 5e9, "cold_from": COLD_FROM, "tip_multiple": TIP_MULTIPLE,
                "overload_for": ns(OVERLOAD_FOR_MS), "drain_grace": ns(grace), "budget_free": BUDGET_FREE,
                "extra_ratio": BUDGET_RATIO, "resend_span": ns(BUDGET_SPAN_MS)}}})
}

/// Initial capacity of a cold server, as a share of its warm capacity.
pub const COLD_FROM: f64 = 0.2;
/// Multiple of a server's capacity beyond which it is overloaded.
pub const TIP_MULTIPLE: f64 = 3.0;
/// Span in which a cold server may be overloaded, ms.
pub const OVERLOAD_FOR_MS: f64 = 2000.0;
/// Time that a cold server takes to warm up, ms.
pub const COLD_MS: f64 = 5000.0;
/// Retries of a node in a sliding window that are free.
pub const BUDGET_FREE: f64 = 10.0;
/// Further retries in the window, as a share of its requests.
pub const BUDGET_RATIO: f64 = 0.3;
/// Length of the window in which retries and requests count, ms.
pub const BUDGET_SPAN_MS: f64 = 5000.0;
