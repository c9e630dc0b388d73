//! Converts a scenario to the platform's format: the settings object and list values that nodes on sockets
//! receive. The model play decodes the same object, so both plays use the same settings.

use crate::scenario::{Effect, Group, Scenario};
use pearfront::interface::ServerState;
use serde_json::{Value, json};

const NS_PER_MS: f64 = 1e6;

/// Settings of a node in `zone` that sends to `tier`, one of `siblings` such nodes.
pub fn settings(scenario: &Scenario, tier: usize, zone: usize, siblings: usize) -> Value {
    let ns = |ms: f64| (ms * NS_PER_MS).round();
    let nodes = &scenario.nodes;
    let profile = |profile: &crate::scenario::Profile| {
        json!({"name": profile.name, "effect": effect(profile.effect), "group": group(profile.group),
            "window": ns(profile.window_s * 1000.0), "contract_time": ns(profile.latency_target_ms),
            "outer_limit": ns(profile.deadline_ms), "gain": profile.gain})
    };
    let customer = |customer: &crate::scenario::Customer| json!({"name": customer.name, "quota_per_s": customer.quota_per_s});
    let behaviour = &scenario.tiers[tier].server;
    json!({
        "siblings": siblings, "tier": tier, "locality": zone, "round": ns(nodes.round_ms),
        "discovery": if scenario.discovery.pushed { "pushed" } else { "on_request" },
        "azs": scenario.zones, "host_types": scenario.kinds.iter().map(|kind| &kind.name).collect::<Vec<_>>(),
        "profiles": scenario.profiles.iter().map(profile).collect::<Vec<_>>(),
        "customers": scenario.customers.iter().map(customer).collect::<Vec<_>>(),
        "limits": {"most_shots": nodes.most_attempts, "cancel": nodes.call_off, "probes": nodes.probes,
            "parallel_tries": nodes.second_copies, "retry_after": nodes.advice_s > 0.0,
            "max_retry_after": ns(nodes.advice_s * 1000.0), "connect_timeout": ns(nodes.connect_ms),
            "conn_idle": ns(nodes.idle_s * 1000.0)},
        "excess_gain": scenario.goal.excess_gain,
        "deductions": {"cross_zone": nodes.cross_zone_price, "probe": nodes.probe_price},
        "objective_mix": {"whole": scenario.goal.whole, "worst_class": scenario.goal.worst_profile,
            "worst_tenant": scenario.goal.worst_customer},
        "report": {"fields": [if nodes.told_held { "outstanding" } else { "utilization" }], "via": if nodes.probes { "probe" } else { "none" }},
        "rules": {"ask_within": ns(scenario.discovery.ask_within_s * 1000.0), "cold": ns(behaviour.warm_up_s * 1000.0),
            "cold_from": behaviour.cold_from, "tip_multiple": scenario.rules.tip_multiple,
            "overload_for": ns(scenario.rules.tip_window_s * 1000.0)},
    })
}

pub fn effect(effect: Effect) -> &'static str {
    match effect {
        Effect::Idempotent => "safe",
        Effect::Keyed => "keyed",
        Effect::NonIdempotent => "unsafe",
    }
}

fn group(group: Group) -> &'static str {
    match group {
        Group::All => "all",
        Group::Zone => "zone",
        Group::Cell => "cell",
    }
}

pub fn lifecycle(standing: ServerState) -> &'static str {
    match standing {
        ServerState::Ready => "Ready",
        ServerState::Draining => "Terminating",
        ServerState::Gone => "Gone",
    }
}
