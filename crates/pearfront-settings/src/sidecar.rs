//! Converts the configuration file of a node in a pool into that of a sidecar, a node beside a single client
//! process. It does no input or output: the command line reads and writes the files. What cannot be carried over is
//! listed by key, never dropped silently.

use crate::{JsonField, NodeSettings, decode};
use serde_json::{Map, Value, json};

/// Keys that a file may have, by the object that they are in; `*` stands for any object of a list.
const KEYS: &[(&str, &[&str])] = &[
    (
        "",
        &[
            "name",
            "listen",
            "admin",
            "discovery",
            "seed",
            "limits",
            "peer_listen",
            "peers",
            "peers_all",
            "known",
            "settings",
        ],
    ),
    ("limits", &["cores", "memory_mb", "sockets"]),
    ("known", &["generation", "reset", "instances"]),
    (
        "known.instances.*",
        &["instanceId", "hostPort", "zone", "machineType", "cell", "lifecycle", "weight", "startedAtMs"],
    ),
    (
        "settings",
        &[
            "azs",
            "clients",
            "customers",
            "deductions",
            "discovery",
            "excess_gain",
            "family",
            "gain_basis",
            "host_types",
            "layers",
            "limits",
            "locality",
            "me",
            "objective_mix",
            "profiles",
            "report",
            "round",
            "rules",
            "siblings",
            "specifics",
            "tier",
            "weights",
        ],
    ),
    ("settings.clients", &["marks_retry"]),
    ("settings.customers.*", &["name", "quota_per_s", "fraction"]),
    (
        "settings.deductions",
        &[
            "connection",
            "cross_zone",
            "discovery",
            "fleet",
            "handshake",
            "late_fail",
            "moves",
            "origin",
            "peer",
            "probe",
            "waste",
        ],
    ),
    (
        "settings.limits",
        &[
            "cancel",
            "conn_idle",
            "connect_timeout",
            "cpu_us_per_request",
            "cpu_us_per_s",
            "max_open",
            "max_retry_after",
            "may_tell",
            "most_shots",
            "parallel_tries",
            "probes",
            "retry_after",
            "streams_per_conn",
        ],
    ),
    (
        "settings.objective_mix",
        &["availability", "nines_full", "whole", "worst_class", "worst_tenant", "worst_window"],
    ),
    (
        "settings.profiles.*",
        &[
            "aim_stretch",
            "contract_time",
            "effect",
            "gain",
            "group",
            "name",
            "outer_limit",
            "stream",
            "tardy_gain",
            "window",
        ],
    ),
    ("settings.report", &["fields", "via"]),
    (
        "settings.rules",
        &["answer_slack", "ask_within", "cold", "cold_from", "drain_grace", "overload_for", "tip_multiple"],
    ),
    ("settings.specifics", &["passes_deadline", "warm_keys"]),
];

/// What the old file cannot state about the new place.
pub struct SidecarTarget {
    /// Total number of nodes, one for each client process.
    pub nodes: u32,
    /// All zones, in the order of the new settings.
    pub zones: Vec<String>,
    /// The zone of this node.
    pub zone: String,
    /// Requests that a connection carries at the same time.
    pub streams: u32,
    /// This node's own seed, hexadecimal: nodes with the same seed would all draw alike.
    pub seed: String,
}

/// The new file, and what is different in it.
pub struct SidecarConfig {
    pub file: Value,
    /// One line for each key that could not be carried over, or that means something else for the new node.
    pub not_carried_over: Vec<String>,
}

/// Converts a file; the error names the faulty key.
pub fn to_sidecar(old: &Value, target: &SidecarTarget) -> Result<SidecarConfig, String> {
    known_keys(old, "")?;
    let root = JsonField::root(old, "config");
    let settings = root.required("settings")?;
    let node_settings = NodeSettings::decode(&settings)?;
    let decoded = decode(&settings)?;
    root.required("seed")?.string()?;
    let instances = root.required("known")?.required("instances")?.list()?;
    if !decoded.discovery_on_request {
        return settings.required("discovery")?.error("is \"pushed\": the file has been moved already");
    }
    if decoded.tier > 0 {
        return settings.required("tier")?.error("is not 0: only nodes that clients call move");
    }
    let zone = target.zones.iter().position(|zone| *zone == target.zone);
    let zone = zone.ok_or_else(|| format!("zone {:?} is none of those given", target.zone))?;
    u64::from_str_radix(&target.seed, 16)
        .map_err(|_| format!("seed {:?} is no hexadecimal number", target.seed))?;
    let mut not_carried_over = vec!["seed: each node has its own, the one given".to_string()];
    let mut file = old.clone();
    file["seed"] = json!(target.seed);
    for key in ["name", "listen", "admin", "peer_listen", "peers", "peers_all"] {
        drop_key(&mut file, key, &mut not_carried_over, "belongs to the old node");
    }
    let mut kept_instances = Vec::new();
    for (field, value) in instances.iter().zip(old["known"]["instances"].as_array().into_iter().flatten()) {
        match field.optional("zone").map(|zone| zone.string()).transpose()? {
            Some(name) if target.zones.iter().any(|zone| zone == name) => kept_instances.push(value.clone()),
            other => not_carried_over.push(format!(
                "{}: zone {} is none of the new ones",
                field.path,
                other.unwrap_or("none")
            )),
        }
    }
    file["known"]["instances"] = Value::Array(kept_instances);
    let new = &mut file["settings"];
    new["discovery"] = json!("pushed");
    new["siblings"] = json!(target.nodes);
    new["azs"] = json!(target.zones);
    new["locality"] = json!(zone);
    new["limits"]["parallel_tries"] = json!(false);
    new["limits"]["streams_per_conn"] = json!(target.streams);
    if decoded.may_hedge {
        not_carried_over.push("settings.limits.parallel_tries: no second copies".into());
    }
    drop_key(new, "me", &mut not_carried_over, "is the old node's number");
    drop_key(&mut new["rules"], "ask_within", &mut not_carried_over, "the list comes unasked");
    if node_settings.zones != target.zones {
        not_carried_over.push(format!(
            "settings.azs: {} became {}",
            node_settings.zones.join(", "),
            target.zones.join(", ")
        ));
    }
    for (key, what) in
        [("probe", "with it a draw asks first or not"), ("cross_zone", "it keeps jobs at home")]
    {
        let price = settings.optional("deductions").map_or(Ok(0.0), |field| field.number_or(key, 0.0))?;
        not_carried_over.push(format!("settings.deductions.{key}: stays {price}, the old price; {what}"));
    }
    // The new settings must be valid.
    decode(&JsonField::root(&file["settings"], "config.settings"))?;
    Ok(SidecarConfig { file, not_carried_over })
}

/// Removes a key, and lists it where it was there.
fn drop_key(object: &mut Value, key: &str, not_carried_over: &mut Vec<String>, why: &str) {
    if object.as_object_mut().and_then(|object| object.remove(key)).is_some() {
        not_carried_over.push(format!("{key}: {why}"));
    }
}

/// Checks that the file has known keys only.
fn known_keys(value: &Value, path: &str) -> Result<(), String> {
    let below = |key: &str| if path.is_empty() { key.to_string() } else { format!("{path}.{key}") };
    let checked = |object: &Map<String, Value>, keys: &[&str]| {
        let unknown = object.keys().find(|key| !keys.contains(&key.as_str()));
        unknown.map_or(Ok(()), |key| Err(format!("config.{} is unknown", below(key))))
    };
    let keys = KEYS.iter().find(|(place, _)| *place == path).map(|(_, keys)| *keys);
    match (value, keys) {
        (Value::Object(object), Some(keys)) => {
            checked(object, keys)?;
            object.iter().try_for_each(|(key, value)| known_keys(value, &below(key)))
        }
        (Value::Array(list), _) => list.iter().try_for_each(|value| known_keys(value, &below("*"))),
        (_, Some(_)) => Err(format!("config{}{path} is no object", if path.is_empty() { "" } else { "." })),
        _ => Ok(()),
    }
}

#[cfg(test)]
mod tests;
