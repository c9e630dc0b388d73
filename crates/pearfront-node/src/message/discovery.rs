//! What a node and discovery exchange: lists of servers, and the requests for them.

use super::body::{Body, get};
use hyper::Request;
use pearfront::interface::Standing;
use pearfront_settings::{At, Surroundings};
use serde_json::Value;
use std::net::SocketAddrV4;

/// A request for what is newer than `version`, that may wait so many ms for it.
pub fn encode_watch(discovery: &str, version: u64, wait: f64) -> Request<Body> {
    get(format!("/discovery/hosts?from={version}&hold_ms={wait:.0}"), discovery)
}

/// Discovery's list or its changes.
#[derive(Debug)]
pub struct List {
    pub version: u64,
    /// All servers; otherwise only those that have changed.
    pub whole: bool,
    pub lines: Vec<Line>,
    /// Servers whose line could not be read, and what is wrong with it.
    pub dropped: Vec<(Option<String>, String)>,
}

/// A server in a list.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    pub id: String,
    pub address: SocketAddrV4,
    pub standing: Standing,
    pub cell: u16,
    pub zone: u16,
    pub make: usize,
    /// What it bears beside others, roughly.
    pub size: f64,
    /// Its latest start, ms of Unix time; none if long ago.
    pub started: Option<f64>,
}

/// A server of no size would never be drawn, or always.
fn size(at: &At) -> Result<f64, String> {
    let size = at.number_or("weight", 1.0)?;
    if size > 0.0 { Ok(size) } else { at.problem("has a weight of 0") }
}

/// Decodes discovery's answer. The error says what is wrong with it.
pub fn decode_list(text: &[u8], node_settings: &Surroundings) -> Result<List, String> {
    let json: Value = serde_json::from_slice(text).map_err(|error| format!("list: {error}"))?;
    decode_known(&At::top(&json, "list"), node_settings)
}

/// Decodes a list that is JSON already. A line that can't be read is dropped, and the others hold.
pub fn decode_known(top: &At, node_settings: &Surroundings) -> Result<List, String> {
    let mut lines = Vec::new();
    let mut dropped = Vec::new();
    for at in top.needed("instances")?.list()? {
        match decode_line(&at, node_settings) {
            Ok(line) => lines.push(line),
            Err(problem) => {
                let id = at.maybe("instanceId").and_then(|id| id.text().ok().map(str::to_string));
                dropped.push((id, problem));
            }
        }
    }
    let version = top.needed("generation")?.number()? as u64;
    Ok(List { version, whole: top.needed("reset")?.flag()?, lines, dropped })
}

/// A whole list in discovery's form.
pub fn encode_list<'a>(
    version: u64,
    lines: impl Iterator<Item = &'a Line>,
    node_settings: &Surroundings,
) -> Value {
    let name = |names: &[String], place: usize| names.get(place).cloned().unwrap_or_default();
    let line = |line: &Line| {
        let lifecycle = match line.standing {
            Standing::Ready => "Ready",
            Standing::Draining => "Terminating",
            Standing::Gone => "Gone",
        };
        serde_json::json!({"instanceId": line.id, "hostPort": line.address.to_string(),
            "zone": name(&node_settings.zones, line.zone.into()), "machineType": name(&node_settings.makes, line.make),
            "cell": line.cell, "lifecycle": lifecycle, "weight": line.size,
            "startedAtMs": line.started.unwrap_or(0.0)})
    };
    let lines: Vec<Value> = lines.map(line).collect();
    serde_json::json!({"generation": version, "reset": true, "instances": lines})
}

fn decode_line(at: &At, node_settings: &Surroundings) -> Result<Line, String> {
    let lifecycle = at.needed("lifecycle")?;
    let standing = match lifecycle.text()? {
        "Ready" => Standing::Ready,
        "Terminating" => Standing::Draining,
        "Gone" => Standing::Gone,
        other => return lifecycle.problem(format!("{other:?} is unknown")),
    };
    let address = at.needed("hostPort")?;
    let named = |key: &str, names: &[String]| -> Result<usize, String> {
        let Some(name) = at.maybe(key) else { return Ok(0) };
        let name = name.text()?;
        // A name that the settings lack is none of theirs: one more.
        Ok(names.iter().position(|known| known == name).unwrap_or(names.len()))
    };
    let started = at.number_or("startedAtMs", 0.0)?;
    Ok(Line {
        id: at.needed("instanceId")?.text()?.to_string(),
        address: address.text()?.parse().or_else(|_| address.problem("is no address and port"))?,
        standing,
        cell: at.number_or("cell", 0.0)? as u16,
        size: size(at)?,
        zone: named("zone", &node_settings.zones)? as u16,
        make: named("machineType", &node_settings.makes)?,
        started: (started > 0.0).then_some(started),
    })
}

#[cfg(test)]
mod tests;
