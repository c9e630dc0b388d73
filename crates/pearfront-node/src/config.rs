//! All that the node is told at its start and at each SIGHUP: four variables and the file that one of them names.
//! Read, checked and given defaults here only; a problem is one line that names the faulty variable or key.

use crate::message::{self, ServerList};
use crate::runtime_settings::RuntimeSettings;
use pearfront_cluster::Cluster;
use pearfront_settings::{JsonField, NodeSettings};
use serde_json::Value;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::rc::Rc;

/// Memory, MB, and descriptors where the file has no limits: the least that any deployment gives.
const MEMORY_MB: f64 = 192.0;
const SOCKETS: f64 = 1024.0;
pub const ADMIN: &str = "ROUTER_ADMIN";
pub const INHERITED: &str = "ROUTER_INHERITED_FD";

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// Where operators call, if anywhere.
    pub admin: Option<SocketAddr>,
    /// The descriptor that the clients' listening socket was inherited as, if it was.
    pub inherited: Option<RawFd>,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub memory_mb: f64,
    /// Descriptors, without those kept for operators.
    pub sockets: usize,
    pub known: ServerList,
    /// Other processes that this one may talk to; on the platform there are none.
    pub cluster: Option<pearfront_cluster::Settings>,
    pub settings: RuntimeSettings,
    /// The file as it stands, which a new one is held against.
    pub as_written: Value,
}

/// The file again, for a node that runs by the one written so: one that lacks a key that this one had is no new
/// configuration but a broken one, and so is one that asks for what only a new start can bring.
pub fn read_again(before: &Value) -> Result<Config, String> {
    let config = read()?;
    if let Some(key) = pearfront_settings::missing_key(before, &config.as_written, "config") {
        return Err(format!("{key} is missing"));
    }
    if before["cluster"] != config.as_written["cluster"] {
        return Err("config.cluster can only change with a new start".into());
    }
    let fixed = ["tier", "layers", "discovery"];
    let differs = |key: &&&str| before["settings"][**key] != config.as_written["settings"][**key];
    match fixed.iter().find(differs) {
        Some(key) => Err(format!("config.settings.{key} can only change with a new start")),
        None => Ok(config),
    }
}

pub fn read() -> Result<Config, String> {
    let maybe = |key: &str| std::env::var(key).ok().filter(|value| !value.is_empty());
    let needed = |key: &str| maybe(key).ok_or_else(|| format!("{key} is not set"));
    let parsed = |key: &str, value: String| -> Result<SocketAddr, String> {
        value.parse().map_err(|_| format!("{key}: {value:?} is no address and port"))
    };
    let address = |key: &str| parsed(key, needed(key)?);
    let (name, path) = (needed("ROUTER_NAME")?, needed("ROUTER_CONFIG")?);
    let (listen, discovery) = (address("ROUTER_LISTEN")?, address("ROUTER_DISCOVERY")?);
    let text = std::fs::read(&path).map_err(|error| format!("ROUTER_CONFIG: {path}: {error}"))?;
    let json: Value =
        serde_json::from_slice(&text).map_err(|error| format!("ROUTER_CONFIG: {path}: {error}"))?;
    let top = JsonField::root(&json, "config");
    // Discovery may have moved since the variable was set: the file, which can be replaced, says where it is now.
    let discovery = match top.optional("discovery") {
        Some(at) => at.string()?.parse().or_else(|_| at.error("is no address and port"))?,
        None => discovery,
    };
    // At an upgrade two processes may share the file, and each has variables of its own.
    let admin = match (maybe(ADMIN), top.optional("admin")) {
        (Some(value), _) => Some(parsed(ADMIN, value)?),
        (None, Some(at)) => Some(at.string()?.parse().or_else(|_| at.error("is no address and port"))?),
        (None, None) => None,
    };
    let number = |value: String| value.parse().ok().filter(|number| *number > 2);
    let inherited = maybe(INHERITED)
        .map(|value| number(value.clone()).ok_or(format!("{INHERITED}: {value:?} is no descriptor")))
        .transpose()?;
    let seed = top.required("seed")?;
    let limits = top.optional("limits");
    let limit = |key: &str, default: f64| {
        limits.as_ref().and_then(|at| at.optional(key)).map_or(Ok(default), |at| at.positive_number())
    };
    let kept = if admin.is_some() { crate::admin::RESERVED_DESCRIPTORS } else { 0 };
    let cluster = top.optional("cluster").map(|_| cluster(&json["cluster"])).transpose()?;
    let kept = kept + if cluster.is_some() { Cluster::max_descriptors() } else { 0 };
    let settings = top.required("settings")?;
    let node_settings = NodeSettings::decode(&settings)?;
    let known = message::decode_list_json(&top.required("known")?, &node_settings)?;
    if let Some((_, problem)) = known.invalid.first() {
        return Err(problem.clone());
    }
    Ok(Config {
        name,
        listen,
        admin,
        inherited,
        discovery,
        seed: u64::from_str_radix(seed.string()?, 16).or_else(|_| seed.error("is no hexadecimal number"))?,
        memory_mb: limit("memory_mb", MEMORY_MB)?,
        sockets: (limit("sockets", SOCKETS)? as usize).saturating_sub(kept),
        known,
        cluster,
        settings: RuntimeSettings {
            policy_settings: Rc::new(pearfront_settings::decode(&settings)?),
            node_settings,
        },
        as_written: json,
    })
}

/// What the file says of other processes.
fn cluster(value: &Value) -> Result<pearfront_cluster::Settings, String> {
    let settings: pearfront_cluster::Settings =
        serde_path_to_error::deserialize(value).map_err(|error| match error.path().to_string().as_str() {
            "." => format!("config.cluster: {}", error.inner()),
            path => format!("config.cluster.{path}: {}", error.inner()),
        })?;
    settings.check().map_err(|problem| format!("config.cluster.{problem}"))?;
    Ok(settings)
}
