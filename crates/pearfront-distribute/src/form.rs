//! A change set as operators write it, in JSON: an absent key leaves the value, `null` removes it (as in RFC 7396). Unknown
//! keys are rejected with their path.

use crate::service::{ChangeSet, Server, ServerState, ServiceChange};
use crate::times::MAX_CHANGE_SET_BYTES;
use serde::{Deserialize, Deserializer};
use std::collections::BTreeMap;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Form {
    number: String,
    services: BTreeMap<String, ServiceForm>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceForm {
    expected: Option<u64>,
    #[serde(default)]
    remove: bool,
    /// Absent: unchanged; `null`: no limit.
    #[serde(default, deserialize_with = "present")]
    limit: Option<Option<u32>>,
    settings: Option<String>,
    #[serde(default)]
    servers: BTreeMap<String, Option<ServerForm>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServerForm {
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default = "serving")]
    state: ServerState,
    limit: Option<u32>,
}

fn serving() -> ServerState {
    ServerState::Serving
}

fn present<'a, D: Deserializer<'a>>(from: D) -> Result<Option<Option<u32>>, D::Error> {
    Option::deserialize(from).map(Some)
}

/// Parses and checks a change set.
///
/// # Errors
/// The faulty key, and what is wrong with it.
pub fn parse(text: &[u8]) -> Result<ChangeSet, String> {
    if text.len() > MAX_CHANGE_SET_BYTES {
        return Err(format!("the change has {} bytes, not up to {MAX_CHANGE_SET_BYTES}", text.len()));
    }
    let mut deserializer = serde_json::Deserializer::from_slice(text);
    let form: Form = serde_path_to_error::deserialize(&mut deserializer)
        .map_err(|error| format!("{}: {}", error.path(), error.inner()))?;
    deserializer.end().map_err(|error| error.to_string())?;
    let server = |input: ServerForm| {
        let ServerForm { address, zone, state, limit } = input;
        Server { address, zone, state, limit }
    };
    let service = |(name, input): (String, ServiceForm)| {
        let ServiceForm { expected, remove, limit, settings, servers } = input;
        let servers = servers.into_iter().map(|(name, input)| (name, input.map(server))).collect();
        (name, ServiceChange { expected, remove, limit, settings, servers })
    };
    let set = ChangeSet { number: form.number, services: form.services.into_iter().map(service).collect() };
    set.check()?;
    Ok(set)
}
