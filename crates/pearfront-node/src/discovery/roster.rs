//! The servers that discovery's lists have shown so far; kept by `discovery`.

use crate::message::{ServerEntry, ServerList};
use pearfront::interface::ServerState;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Zone and cell of a server, within which repeats of keyed requests may have to stay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLocation {
    pub zone: u16,
    pub cell: u16,
}

/// The last entry of each server, by id.
#[derive(Default)]
pub struct Roster {
    pub(super) entries: BTreeMap<String, ServerEntry>,
}

impl Roster {
    /// The servers that the list shows as ready.
    pub(super) fn ready(&self) -> impl Iterator<Item = &ServerEntry> {
        self.entries.values().filter(|entry| entry.state == ServerState::Ready)
    }

    /// The zone and cell of the server at this address.
    pub(super) fn location_of(&self, server: SocketAddr) -> Option<ServerLocation> {
        let entry = self.entries.values().find(|entry| SocketAddr::from(entry.address) == server)?;
        Some(ServerLocation { zone: entry.zone, cell: entry.cell })
    }

    /// Does the list show the server as ready?
    pub(super) fn is_ready(&self, server: SocketAddr) -> bool {
        let at_address = |entry: &&ServerEntry| SocketAddr::from(entry.address) == server;
        self.entries.values().filter(at_address).any(|entry| entry.state == ServerState::Ready)
    }

    /// Applies a list. Returns the changes for the decision module, and the servers whose connections are
    /// stale. The module and the connection pool know a server by its address alone, so a server that has
    /// left an address is reported as gone before the next one there.
    pub fn update(&mut self, list: ServerList) -> (Vec<ServerEntry>, Vec<SocketAddr>) {
        let mut gone = Vec::new();
        let mut changed = Vec::new();
        let mut stale = Vec::new();
        if list.is_full {
            // An invalid entry changes nothing about its server.
            let invalid_ids = list.invalid.iter().filter_map(|(id, _)| id.as_ref());
            let kept: BTreeSet<_> = list.entries.iter().map(|entry| &entry.id).chain(invalid_ids).collect();
            let missing: Vec<_> = self.entries.keys().filter(|id| !kept.contains(id)).cloned().collect();
            gone.extend(missing.iter().filter_map(|id| self.entries.remove(id)));
        }
        for entry in list.entries {
            let same_address = |other: &&ServerEntry| other.address == entry.address;
            let before = self.entries.remove(&entry.id);
            let other = self.entries.values().find(same_address).map(|other| other.id.clone());
            // Late changes of a server may arrive after its successor at the same address.
            let stays = match entry.state {
                ServerState::Ready => true,
                ServerState::Draining => other.is_none(),
                ServerState::Gone => false,
            };
            if let Some(old) = before {
                if !stays || old.address != entry.address {
                    gone.push(old);
                } else if old.started != entry.started {
                    stale.push(old.address.into());
                }
            }
            if stays {
                gone.extend(other.and_then(|id| self.entries.remove(&id)));
                changed.push(entry.id.clone());
                self.entries.insert(entry.id.clone(), entry);
            }
        }
        stale.extend(gone.iter().map(|entry| SocketAddr::from(entry.address)));
        let gone = gone.into_iter().map(|entry| ServerEntry { state: ServerState::Gone, ..entry });
        let now = changed.iter().filter_map(|id| self.entries.get(id).cloned());
        (gone.chain(now).collect(), stale)
    }
}

#[cfg(test)]
mod tests;
