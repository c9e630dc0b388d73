//! What a service is to those who call it, how a change set changes it, and what of that only narrows.

use crate::times::{LONGEST_NAME, LONGEST_SETTINGS, LONGEST_TEXT, MAX_SERVERS_PER_SERVICE, MOST_IN_SET};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    Serving,
    /// Takes nothing new.
    Draining,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    pub address: String,
    pub zone: String,
    pub state: ServerState,
    /// Jobs at once that one node may have there; none: no such limit.
    pub limit: Option<u32>,
}

/// What concerns a service as a whole.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceOptions {
    /// Jobs at once that one node may have at the service; none: no such limit.
    pub limit: Option<u32>,
    /// What the node decides by, as text that only the node reads; it refuses what it can't take.
    pub settings: String,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    pub options: ServiceOptions,
    pub servers: BTreeMap<String, Server>,
}

/// What one change set does to one service. A service that is not there yet begins empty.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceChange {
    /// The service's version that the writer saw, 0 if there was none; otherwise the whole set is refused.
    pub expected: Option<u64>,
    /// The service goes.
    pub remove: bool,
    /// The new limit, if it changes.
    pub limit: Option<Option<u32>>,
    pub settings: Option<String>,
    /// Servers as they are to be; none: gone.
    pub servers: BTreeMap<String, Option<Server>>,
}

/// One change, whole or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeSet {
    /// The writer's own number for it: the same again is the same change.
    pub number: String,
    pub services: BTreeMap<String, ServiceChange>,
}

/// What leaves a node less than it had.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RestrictionKind {
    Removed,
    Drain,
    /// At most so many jobs at once.
    Limit(u32),
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Restriction {
    pub service: String,
    /// None: the service as a whole.
    pub server: Option<String>,
    pub kind: RestrictionKind,
}

/// What a subscriber has to change in one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceUpdate {
    Full(Service),
    Changed {
        /// The new limit, if it changed.
        limit: Option<Option<u32>>,
        settings: Option<String>,
        /// None: gone.
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
                    put(&mut self.servers, name, server);
                }
            }
            ServiceUpdate::Removed => *self = Self::default(),
        }
    }
}

pub(crate) fn put(servers: &mut BTreeMap<String, Server>, name: String, server: Option<Server>) {
    match server {
        Some(server) => drop(servers.insert(name, server)),
        None => drop(servers.remove(&name)),
    }
}

fn lower(was: Option<u32>, is: Option<u32>) -> bool {
    is.is_some_and(|is| was.is_none_or(|was| is <= was))
}

impl ServiceChange {
    /// What it takes from those who have `before`; none if it also gives or changes something.
    pub(crate) fn narrows(&self, service: &str, before: Option<&Service>) -> Option<Vec<Restriction>> {
        let before = before?;
        let restricts = |server: Option<&String>, kind| Restriction {
            service: service.into(),
            server: server.cloned(),
            kind,
        };
        if self.remove {
            return Some(vec![restricts(None, RestrictionKind::Removed)]);
        }
        if self.settings.as_ref().is_some_and(|settings| *settings != before.options.settings) {
            return None;
        }
        let mut all = Vec::new();
        match self.limit {
            Some(limit) if limit != before.options.limit => {
                let limit = limit.filter(|_| lower(before.options.limit, limit))?;
                all.push(restricts(None, RestrictionKind::Limit(limit)));
            }
            _ => {}
        }
        for (name, server) in &self.servers {
            match (before.servers.get(name), server) {
                (was, Some(is)) if was == Some(is) => {}
                (Some(was), Some(is)) => {
                    let same = was.address == is.address && was.zone == is.zone;
                    let opens = was.state == ServerState::Draining && is.state == ServerState::Serving;
                    if !same || opens || (was.limit != is.limit && !lower(was.limit, is.limit)) {
                        return None;
                    }
                    if is.state == ServerState::Draining {
                        all.push(restricts(Some(name), RestrictionKind::Drain));
                    }
                    all.extend(is.limit.map(|limit| restricts(Some(name), RestrictionKind::Limit(limit))));
                }
                (Some(_), None) => all.push(restricts(Some(name), RestrictionKind::Removed)),
                (None, Some(_)) => return None,
                (None, None) => {}
            }
        }
        Some(all)
    }
}

impl ChangeSet {
    /// # Errors
    /// The key that can't be as it is, and why.
    pub fn check(&self) -> Result<(), String> {
        let text = |key: &str, value: &str, least: usize, most: usize| {
            let fits = (least..=most).contains(&value.len());
            if fits { Ok(()) } else { Err(format!("{key} has {} bytes, not {least} to {most}", value.len())) }
        };
        text("number", &self.number, 1, LONGEST_NAME)?;
        let named: usize = self.services.values().map(|change| 1 + change.servers.len()).sum();
        if !(1..=MOST_IN_SET).contains(&named) {
            return Err(format!("services names {named} services and servers, not 1 to {MOST_IN_SET}"));
        }
        for (name, change) in &self.services {
            text("services: a name", name, 1, LONGEST_NAME)?;
            if change.remove
                && (change.limit.is_some() || change.settings.is_some() || !change.servers.is_empty())
            {
                return Err(format!("services.{name}.remove stands beside what is to be there"));
            }
            let settings = change.settings.as_deref().unwrap_or_default();
            text(&format!("services.{name}.settings"), settings, 0, LONGEST_SETTINGS)?;
            for (server, is) in &change.servers {
                text(&format!("services.{name}.servers: a name"), server, 1, LONGEST_NAME)?;
                let Some(is) = is else { continue };
                text(&format!("services.{name}.servers.{server}.address"), &is.address, 1, LONGEST_TEXT)?;
                text(&format!("services.{name}.servers.{server}.zone"), &is.zone, 0, LONGEST_TEXT)?;
            }
        }
        Ok(())
    }

    /// # Errors
    /// It would leave a service with more servers than may be.
    pub(crate) fn check_size(
        &self,
        name: &str,
        change: &ServiceChange,
        before: usize,
        gone: usize,
    ) -> Result<(), String> {
        let after = before + change.servers.values().flatten().count() - gone;
        if after > MAX_SERVERS_PER_SERVICE {
            return Err(format!(
                "services.{name}.servers would be {after}, not up to {MAX_SERVERS_PER_SERVICE}"
            ));
        }
        Ok(())
    }
}
