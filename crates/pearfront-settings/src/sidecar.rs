//! An operator's file for a node of a pool, turned into one for a node beside a single caller's process. Pure: the
//! command line reads and writes the files. What can't be carried over is told by key, never dropped in silence.

use crate::{JsonField, NodeSettings, decode};
use serde_json::{Map, Value, json};

/// Keys that a file may have, by the object they stand in; `*` stands for any object of a list.
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

/// What the old file can't know of the new place.
pub struct SidecarTarget {
    /// Nodes in all, one for each client process.
    pub nodes: u32,
    pub zones: Vec<String>,
    /// Where this node stands.
    pub zone: String,
    /// Jobs that a connection carries at once.
    pub streams: u32,
    /// This node's own, hexadecimal: nodes of one seed would all draw alike.
    pub seed: String,
}

pub struct SidecarConfig {
    pub file: Value,
    /// One line for each key that could not be carried over, or that the new place makes another thing of.
    pub not_carried_over: Vec<String>,
}

pub fn to_sidecar(old: &Value, target: &SidecarTarget) -> Result<SidecarConfig, String> {
    known_keys(old, "")?;
    let top = JsonField::root(old, "config");
    let settings = top.required("settings")?;
    let around = NodeSettings::decode(&settings)?;
    let read = decode(&settings)?;
    top.required("seed")?.string()?;
    let instances = top.required("known")?.required("instances")?.list()?;
    if !read.discovery_on_request {
        return settings.required("discovery")?.error("is \"pushed\": the file has been moved already");
    }
    if read.tier > 0 {
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
    let mut kept = Vec::new();
    for (at, value) in instances.iter().zip(old["known"]["instances"].as_array().into_iter().flatten()) {
        match at.optional("zone").map(|zone| zone.string()).transpose()? {
            Some(name) if target.zones.iter().any(|zone| zone == name) => kept.push(value.clone()),
            other => not_carried_over.push(format!(
                "{}: zone {} is none of the new ones",
                at.path,
                other.unwrap_or("none")
            )),
        }
    }
    file["known"]["instances"] = Value::Array(kept);
    let new = &mut file["settings"];
    new["discovery"] = json!("pushed");
    new["siblings"] = json!(target.nodes);
    new["azs"] = json!(target.zones);
    new["locality"] = json!(zone);
    new["limits"]["parallel_tries"] = json!(false);
    new["limits"]["streams_per_conn"] = json!(target.streams);
    if read.may_hedge {
        not_carried_over.push("settings.limits.parallel_tries: no second copies".into());
    }
    drop_key(new, "me", &mut not_carried_over, "is the old node's number");
    drop_key(&mut new["rules"], "ask_within", &mut not_carried_over, "the list comes unasked");
    if around.zones != target.zones {
        not_carried_over.push(format!(
            "settings.azs: {} became {}",
            around.zones.join(", "),
            target.zones.join(", ")
        ));
    }
    for (key, what) in
        [("probe", "with it a draw asks first or not"), ("cross_zone", "it keeps jobs at home")]
    {
        let price = settings.optional("deductions").map_or(Ok(0.0), |at| at.number_or(key, 0.0))?;
        not_carried_over.push(format!("settings.deductions.{key}: stays {price}, the old price; {what}"));
    }
    // What is written must be what a node takes.
    decode(&JsonField::root(&file["settings"], "config.settings"))?;
    Ok(SidecarConfig { file, not_carried_over })
}

fn drop_key(object: &mut Value, key: &str, not_carried_over: &mut Vec<String>, why: &str) {
    if object.as_object_mut().and_then(|object| object.remove(key)).is_some() {
        not_carried_over.push(format!("{key}: {why}"));
    }
}

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
