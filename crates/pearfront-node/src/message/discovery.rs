//! Messages between a node and discovery: server lists, and the requests for them.

use super::body::{Body, get};
use hyper::Request;
use pearfront::interface::ServerState;
use pearfront_settings::{JsonField, NodeSettings};
use serde_json::Value;
use std::net::SocketAddrV4;

/// A request for changes after `version`, which discovery may hold for `wait` ms.
pub fn encode_list_request(discovery: &str, version: u64, hold_ms: f64) -> Request<Body> {
    get(format!("/discovery/hosts?from={version}&hold_ms={hold_ms:.0}"), discovery)
}

/// A full server list or the changes to one.
#[derive(Debug)]
pub struct ServerList {
    pub version: u64,
    /// All servers are listed; otherwise only those that have changed.
    pub is_full: bool,
    pub entries: Vec<ServerEntry>,
    /// Entries that could not be decoded: the server's id, if known, and the problem.
    pub invalid: Vec<(Option<String>, String)>,
}

/// A server in a list.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerEntry {
    pub id: String,
    pub address: SocketAddrV4,
    pub state: ServerState,
    pub cell: u16,
    pub zone: u16,
    pub machine_type: usize,
    /// Its rough capacity relative to other servers.
    pub weight: f64,
    /// Its latest start, ms of Unix time; none if long ago.
    pub started: Option<f64>,
}

/// A server with a weight of 0 would never be drawn, or always.
fn weight(field: &JsonField) -> Result<f64, String> {
    let weight = field.number_or("weight", 1.0)?;
    if weight > 0.0 { Ok(weight) } else { field.error("has a weight of 0") }
}

/// Decodes discovery's answer. The error names the problem.
pub fn decode_list(text: &[u8], node_settings: &NodeSettings) -> Result<ServerList, String> {
    let json: Value = serde_json::from_slice(text).map_err(|error| format!("list: {error}"))?;
    decode_list_json(&JsonField::root(&json, "list"), node_settings)
}

/// Decodes a list from parsed JSON. Entries that can't be decoded are dropped; the others are used.
pub fn decode_list_json(top: &JsonField, node_settings: &NodeSettings) -> Result<ServerList, String> {
    let mut entries = Vec::new();
    let mut invalid = Vec::new();
    for field in top.required("instances")?.list()? {
        match decode_entry(&field, node_settings) {
            Ok(entry) => entries.push(entry),
            Err(problem) => {
                let id = field.optional("instanceId").and_then(|id| id.string().ok().map(str::to_string));
                invalid.push((id, problem));
            }
        }
    }
    let version = top.required("generation")?.number()? as u64;
    Ok(ServerList { version, is_full: top.required("reset")?.boolean()?, entries, invalid })
}

/// A full list in the format of the discovery protocol.
pub fn encode_list<'a>(
    version: u64,
    entries: impl Iterator<Item = &'a ServerEntry>,
    node_settings: &NodeSettings,
) -> Value {
    let name = |names: &[String], index: usize| names.get(index).cloned().unwrap_or_default();
    let entry = |entry: &ServerEntry| {
        let lifecycle = match entry.state {
            ServerState::Ready => "Ready",
            ServerState::Draining => "Terminating",
            ServerState::Gone => "Gone",
        };
        serde_json::json!({"instanceId": entry.id, "hostPort": entry.address.to_string(),
            "zone": name(&node_settings.zones, entry.zone.into()), "machineType": name(&node_settings.machine_types, entry.machine_type),
            "cell": entry.cell, "lifecycle": lifecycle, "weight": entry.weight,
            "startedAtMs": entry.started.unwrap_or(0.0)})
    };
    let entries: Vec<Value> = entries.map(entry).collect();
    serde_json::json!({"generation": version, "reset": true, "instances": entries})
}

fn decode_entry(field: &JsonField, node_settings: &NodeSettings) -> Result<ServerEntry, String> {
    let lifecycle = field.required("lifecycle")?;
    let state = match lifecycle.string()? {
        "Ready" => ServerState::Ready,
        "Terminating" => ServerState::Draining,
        "Gone" => ServerState::Gone,
        other => return lifecycle.error(format!("{other:?} is unknown")),
    };
    let address = field.required("hostPort")?;
    let named = |key: &str, names: &[String]| -> Result<usize, String> {
        let Some(name) = field.optional(key) else { return Ok(0) };
        let name = name.string()?;
        // All names that the settings do not list share one more index.
        Ok(names.iter().position(|known| known == name).unwrap_or(names.len()))
    };
    let started = field.number_or("startedAtMs", 0.0)?;
    Ok(ServerEntry {
        id: field.required("instanceId")?.string()?.to_string(),
        address: address.string()?.parse().or_else(|_| address.error("is no address and port"))?,
        state,
        cell: field.number_or("cell", 0.0)? as u16,
        weight: weight(field)?,
        zone: named("zone", &node_settings.zones)? as u16,
        machine_type: named("machineType", &node_settings.machine_types)?,
        started: (started > 0.0).then_some(started),
    })
}

#[cfg(test)]
mod tests;
