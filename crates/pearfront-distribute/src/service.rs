//! The model of a service as its callers see it, change sets, and which of them only restrict what was there.

use crate::times::{
    MAX_NAME_BYTES, MAX_NAMES_PER_CHANGE_SET, MAX_SERVERS_PER_SERVICE, MAX_SETTINGS_BYTES, MAX_TEXT_BYTES,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Whether a server takes new requests; in the JSON of change sets, by its name in lower case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    Serving,
    /// Takes no new requests.
    Draining,
}

/// A server of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    pub address: String,
    pub zone: String,
    pub state: ServerState,
    /// Concurrent requests that one node may have at the server; none: no limit.
    pub limit: Option<u32>,
}

/// What applies to a service as a whole.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceOptions {
    /// Concurrent requests that one node may have at the service; none: no limit.
    pub limit: Option<u32>,
    /// Settings for the node's decisions, as text that only the node parses; it rejects a version that it can't use.
    pub settings: String,
}

/// A service with its servers, by name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    pub options: ServiceOptions,
    pub servers: BTreeMap<String, Server>,
}

/// What one change set does to one service. A service that does not exist yet begins empty. Fields are named as the keys of
/// the JSON that operators write.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceChange {
    /// The version that the writer expects the service to have, 0 for none; if it differs the whole set is rejected.
    pub expected: Option<u64>,
    /// Removes the service.
    pub remove: bool,
    /// The new limit, if it changes.
    pub limit: Option<Option<u32>>,
    pub settings: Option<String>,
    /// New states of servers by name; none: removed.
    pub servers: BTreeMap<String, Option<Server>>,
}

/// A change to one or several services, applied as a whole or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeSet {
    /// Idempotency key, set by the writer: a retry with the same number and content is the same change.
    pub number: String,
    pub services: BTreeMap<String, ServiceChange>,
}

/// How a restriction reduces what nodes may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RestrictionKind {
    Removed,
    Drain,
    /// At most so many concurrent requests.
    Limit(u32),
}

/// A reduction that takes effect at nodes ahead of the version that contains it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Restriction {
    pub service: String,
    /// None: the service as a whole.
    pub server: Option<String>,
    pub kind: RestrictionKind,
}

/// What changes for a subscriber in one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceUpdate {
    Full(Service),
    Changed {
        /// The new limit, if it changed.
        limit: Option<Option<u32>>,
        settings: Option<String>,
        /// None: removed.
        servers: BTreeMap<String, Option<Server>>,
    },
    Removed,
}

impl Service {
    pub(crate) fn update(&mut self, update: ServiceUpdate) {
        match update {
            ServiceUpdate::Full(whole) => *self = whole,
            ServiceUpdate::Changed { limit, settings, servers } => {
                self.options.limit = limit.unwrap_or(self.options.limit);
                if let Some(settings) = settings {
                    self.options.settings = settings;
                }
                for (name, server) in servers {
                    set_server(&mut self.servers, name, server);
                }
            }
            ServiceUpdate::Removed => *self = Self::default(),
        }
    }
}

pub(crate) fn set_server(servers: &mut BTreeMap<String, Server>, name: String, server: Option<Server>) {
    match server {
        Some(server) => drop(servers.insert(name, server)),
        None => drop(servers.remove(&name)),
    }
}

fn is_tighter(old: Option<u32>, new: Option<u32>) -> bool {
    new.is_some_and(|new| old.is_none_or(|old| new <= old))
}

impl ServiceChange {
    /// The change as restrictions of `before`; none if it also adds or changes something.
    pub(crate) fn as_restrictions(
        &self,
        service: &str,
        before: Option<&Service>,
    ) -> Option<Vec<Restriction>> {
        let before = before?;
        let restriction = |server: Option<&String>, kind| Restriction {
            service: service.into(),
            server: server.cloned(),
            kind,
        };
        if self.remove {
            return Some(vec![restriction(None, RestrictionKind::Removed)]);
        }
        if self.settings.as_ref().is_some_and(|settings| *settings != before.options.settings) {
            return None;
        }
        let mut all = Vec::new();
        match self.limit {
            Some(limit) if limit != before.options.limit => {
                let limit = limit.filter(|_| is_tighter(before.options.limit, limit))?;
                all.push(restriction(None, RestrictionKind::Limit(limit)));
            }
            _ => {}
        }
        for (name, server) in &self.servers {
            match (before.servers.get(name), server) {
                (old, Some(new)) if old == Some(new) => {}
                (Some(old), Some(new)) => {
                    let same_place = old.address == new.address && old.zone == new.zone;
                    let reopens = old.state == ServerState::Draining && new.state == ServerState::Serving;
                    if !same_place || reopens || (old.limit != new.limit && !is_tighter(old.limit, new.limit))
                    {
                        return None;
                    }
                    if new.state == ServerState::Draining {
                        all.push(restriction(Some(name), RestrictionKind::Drain));
                    }
                    all.extend(new.limit.map(|limit| restriction(Some(name), RestrictionKind::Limit(limit))));
                }
                (Some(_), None) => all.push(restriction(Some(name), RestrictionKind::Removed)),
                (None, Some(_)) => return None,
                (None, None) => {}
            }
        }
        Some(all)
    }
}

impl ChangeSet {
    /// Checks names and sizes.
    ///
    /// # Errors
    /// The faulty key, and what is wrong with it.
    pub fn check(&self) -> Result<(), String> {
        let text = |key: &str, value: &str, min: usize, max: usize| {
            let fits = (min..=max).contains(&value.len());
            if fits { Ok(()) } else { Err(format!("{key} has {} bytes, not {min} to {max}", value.len())) }
        };
        text("number", &self.number, 1, MAX_NAME_BYTES)?;
        let named: usize = self.services.values().map(|change| 1 + change.servers.len()).sum();
        if !(1..=MAX_NAMES_PER_CHANGE_SET).contains(&named) {
            return Err(format!(
                "services names {named} services and servers, not 1 to {MAX_NAMES_PER_CHANGE_SET}"
            ));
        }
        for (name, change) in &self.services {
            text("services: a name", name, 1, MAX_NAME_BYTES)?;
            if change.remove
                && (change.limit.is_some() || change.settings.is_some() || !change.servers.is_empty())
            {
                return Err(format!(
                    "services.{name}.remove can't be combined with limit, settings or servers"
                ));
            }
            let settings = change.settings.as_deref().unwrap_or_default();
            text(&format!("services.{name}.settings"), settings, 0, MAX_SETTINGS_BYTES)?;
            for (server, new) in &change.servers {
                text(&format!("services.{name}.servers: a name"), server, 1, MAX_NAME_BYTES)?;
                let Some(new) = new else { continue };
                text(&format!("services.{name}.servers.{server}.address"), &new.address, 1, MAX_TEXT_BYTES)?;
                text(&format!("services.{name}.servers.{server}.zone"), &new.zone, 0, MAX_TEXT_BYTES)?;
            }
        }
        Ok(())
    }

    /// Checks the number of servers that a service would have; `replaced` of those in the change exist already.
    ///
    /// # Errors
    /// The service would have more servers than allowed.
    pub(crate) fn check_size(
        &self,
        name: &str,
        change: &ServiceChange,
        before: usize,
        replaced: usize,
    ) -> Result<(), String> {
        let after = before + change.servers.values().flatten().count() - replaced;
        if after > MAX_SERVERS_PER_SERVICE {
            return Err(format!(
                "services.{name}.servers would be {after}, not up to {MAX_SERVERS_PER_SERVICE}"
            ));
        }
        Ok(())
    }
}
