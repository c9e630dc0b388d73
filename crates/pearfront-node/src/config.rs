//! The node's configuration at its start and at each SIGHUP: environment variables and the file that one of
//! them names. It is read, checked and completed with defaults only here; a problem is one line that names
//! the faulty variable or key.

use crate::message::{self, ServerList};
use crate::runtime_settings::RuntimeSettings;
use pearfront_cluster::Cluster;
use pearfront_settings::{JsonField, NodeSettings};
use serde_json::Value;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::rc::Rc;

/// Memory, MB, and descriptors if the file sets no limits: the least that any deployment gives.
const DEFAULT_MEMORY_MB: f64 = 192.0;
const DEFAULT_SOCKETS: f64 = 1024.0;
/// Variable with the operators' address.
pub const ADMIN_VARIABLE: &str = "ROUTER_ADMIN";
/// Variable with the number of the inherited descriptor.
pub const INHERITED_VARIABLE: &str = "ROUTER_INHERITED_FD";

/// The checked configuration of a node.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// The operators' address, if any.
    pub admin: Option<SocketAddr>,
    /// The descriptor of the inherited listening socket for clients, if any.
    pub inherited: Option<RawFd>,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub memory_mb: f64,
    /// Descriptors, without those reserved for operators.
    pub sockets: usize,
    pub initial_list: ServerList,
    /// The settings for talking to other nodes' processes; none on the platform.
    pub cluster: Option<pearfront_cluster::Settings>,
    pub settings: RuntimeSettings,
    /// The file's content, to which a later version is compared.
    pub file_content: Value,
}

/// Reads the configuration again for a node that runs by the file content `before`. A file that lacks a key
/// of `before` is rejected as broken, and so is one that changes what only a restart can change.
pub fn reload(before: &Value) -> Result<Config, String> {
    let config = read()?;
    if let Some(key) = pearfront_settings::missing_key(before, &config.file_content, "config") {
        return Err(format!("{key} is missing"));
    }
    if before["cluster"] != config.file_content["cluster"] {
        return Err("config.cluster can only change with a new start".into());
    }
    let restart_only = ["tier", "layers", "discovery"];
    let differs = |key: &&&str| before["settings"][**key] != config.file_content["settings"][**key];
    match restart_only.iter().find(differs) {
        Some(key) => Err(format!("config.settings.{key} can only change with a new start")),
        None => Ok(config),
    }
}

/// Reads and checks the variables and the file.
pub fn read() -> Result<Config, String> {
    let optional = |key: &str| std::env::var(key).ok().filter(|value| !value.is_empty());
    let required = |key: &str| optional(key).ok_or_else(|| format!("{key} is not set"));
    let parsed = |key: &str, value: String| -> Result<SocketAddr, String> {
        value.parse().map_err(|_| format!("{key}: {value:?} is no address and port"))
    };
    let address = |key: &str| parsed(key, required(key)?);
    let (name, path) = (required("ROUTER_NAME")?, required("ROUTER_CONFIG")?);
    let (listen, discovery) = (address("ROUTER_LISTEN")?, address("ROUTER_DISCOVERY")?);
    let text = std::fs::read(&path).map_err(|error| format!("ROUTER_CONFIG: {path}: {error}"))?;
    let json: Value =
        serde_json::from_slice(&text).map_err(|error| format!("ROUTER_CONFIG: {path}: {error}"))?;
    let top = JsonField::root(&json, "config");
    // Discovery may have moved since the variable was set; the file, which can be replaced, has its current
    // address.
    let discovery = match top.optional("discovery") {
        Some(field) => field.string()?.parse().or_else(|_| field.error("is no address and port"))?,
        None => discovery,
    };
    // During an upgrade two processes may share the file, but each has its own variables.
    let admin = match (optional(ADMIN_VARIABLE), top.optional("admin")) {
        (Some(value), _) => Some(parsed(ADMIN_VARIABLE, value)?),
        (None, Some(field)) => {
            Some(field.string()?.parse().or_else(|_| field.error("is no address and port"))?)
        }
        (None, None) => None,
    };
    let number = |value: String| value.parse().ok().filter(|number| *number > 2);
    let inherited = optional(INHERITED_VARIABLE)
        .map(|value| number(value.clone()).ok_or(format!("{INHERITED_VARIABLE}: {value:?} is no descriptor")))
        .transpose()?;
    let seed = top.required("seed")?;
    let limits = top.optional("limits");
    let limit = |key: &str, default: f64| {
        limits
            .as_ref()
            .and_then(|field| field.optional(key))
            .map_or(Ok(default), |field| field.positive_number())
    };
    let reserved_descriptors = if admin.is_some() { crate::admin::RESERVED_DESCRIPTORS } else { 0 };
    let cluster = top.optional("cluster").map(|_| cluster(&json["cluster"])).transpose()?;
    let reserved_descriptors =
        reserved_descriptors + if cluster.is_some() { Cluster::max_descriptors() } else { 0 };
    let settings = top.required("settings")?;
    let node_settings = NodeSettings::decode(&settings)?;
    let initial_list = message::decode_list_json(&top.required("known")?, &node_settings)?;
    if let Some((_, problem)) = initial_list.invalid.first() {
        return Err(problem.clone());
    }
    Ok(Config {
        name,
        listen,
        admin,
        inherited,
        discovery,
        seed: u64::from_str_radix(seed.string()?, 16).or_else(|_| seed.error("is no hexadecimal number"))?,
        memory_mb: limit("memory_mb", DEFAULT_MEMORY_MB)?,
        sockets: (limit("sockets", DEFAULT_SOCKETS)? as usize).saturating_sub(reserved_descriptors),
        initial_list,
        cluster,
        settings: RuntimeSettings {
            policy_settings: Rc::new(pearfront_settings::decode(&settings)?),
            node_settings,
        },
        file_content: json,
    })
}

/// Decodes the `cluster` key of the file.
fn cluster(value: &Value) -> Result<pearfront_cluster::Settings, String> {
    let settings: pearfront_cluster::Settings =
        serde_path_to_error::deserialize(value).map_err(|error| match error.path().to_string().as_str() {
            "." => format!("config.cluster: {}", error.inner()),
            path => format!("config.cluster.{path}: {}", error.inner()),
        })?;
    settings.check().map_err(|problem| format!("config.cluster.{problem}"))?;
    Ok(settings)
}
