//! What a node and discovery exchange: lists of servers, and the requests for them.

use super::body::{Body, get};
use hyper::Request;
use pearfront::interface::ServerState;
use pearfront_settings::{JsonField, NodeSettings};
use serde_json::Value;
use std::net::SocketAddrV4;

/// A request for what is newer than `version`, that may wait so many ms for it.
pub fn encode_list_request(discovery: &str, version: u64, hold_ms: f64) -> Request<Body> {
    get(format!("/discovery/hosts?from={version}&hold_ms={hold_ms:.0}"), discovery)
}

/// Discovery's list or its changes.
#[derive(Debug)]
pub struct ServerList {
    pub version: u64,
    /// All servers; otherwise only those that have changed.
    pub is_full: bool,
    pub entries: Vec<ServerEntry>,
    /// Servers whose line could not be read, and what is wrong with it.
    pub invalid: Vec<(Option<String>, String)>,
}

/// A server in a list.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerEntry {
    pub id: String,
    pub address: SocketAddrV4,
    pub standing: ServerState,
    pub cell: u16,
    pub zone: u16,
    pub machine_type: usize,
    /// What it bears beside others, roughly.
    pub weight: f64,
    /// Its latest start, ms of Unix time; none if long ago.
    pub started: Option<f64>,
}

/// A server of no size would never be drawn, or always.
fn weight(at: &JsonField) -> Result<f64, String> {
    let weight = at.number_or("weight", 1.0)?;
    if weight > 0.0 { Ok(weight) } else { at.error("has a weight of 0") }
}

/// Decodes discovery's answer. The error says what is wrong with it.
pub fn decode_list(text: &[u8], node_settings: &NodeSettings) -> Result<ServerList, String> {
    let json: Value = serde_json::from_slice(text).map_err(|error| format!("list: {error}"))?;
    decode_list_json(&JsonField::root(&json, "list"), node_settings)
}

/// Decodes a list that is JSON already. A line that can't be read is dropped, and the others hold.
pub fn decode_list_json(top: &JsonField, node_settings: &NodeSettings) -> Result<ServerList, String> {
    let mut entries = Vec::new();
    let mut invalid = Vec::new();
    for at in top.required("instances")?.list()? {
        match decode_entry(&at, node_settings) {
            Ok(entry) => entries.push(entry),
            Err(problem) => {
                let id = at.optional("instanceId").and_then(|id| id.string().ok().map(str::to_string));
                invalid.push((id, problem));
            }
        }
    }
    let version = top.required("generation")?.number()? as u64;
    Ok(ServerList { version, is_full: top.required("reset")?.boolean()?, entries, invalid })
}

/// A whole list in discovery's form.
pub fn encode_list<'a>(
    version: u64,
    entries: impl Iterator<Item = &'a ServerEntry>,
    node_settings: &NodeSettings,
) -> Value {
    let name = |names: &[String], place: usize| names.get(place).cloned().unwrap_or_default();
    let entry = |entry: &ServerEntry| {
        let lifecycle = match entry.standing {
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

fn decode_entry(at: &JsonField, node_settings: &NodeSettings) -> Result<ServerEntry, String> {
    let lifecycle = at.required("lifecycle")?;
    let standing = match lifecycle.string()? {
        "Ready" => ServerState::Ready,
        "Terminating" => ServerState::Draining,
        "Gone" => ServerState::Gone,
        other => return lifecycle.error(format!("{other:?} is unknown")),
    };
    let address = at.required("hostPort")?;
    let named = |key: &str, names: &[String]| -> Result<usize, String> {
        let Some(name) = at.optional(key) else { return Ok(0) };
        let name = name.string()?;
        // A name that the settings lack is none of theirs: one more.
        Ok(names.iter().position(|known| known == name).unwrap_or(names.len()))
    };
    let started = at.number_or("startedAtMs", 0.0)?;
    Ok(ServerEntry {
        id: at.required("instanceId")?.string()?.to_string(),
        address: address.string()?.parse().or_else(|_| address.error("is no address and port"))?,
        standing,
        cell: at.number_or("cell", 0.0)? as u16,
        weight: weight(at)?,
        zone: named("zone", &node_settings.zones)? as u16,
        machine_type: named("machineType", &node_settings.machine_types)?,
        started: (started > 0.0).then_some(started),
    })
}

#[cfg(test)]
mod tests;
