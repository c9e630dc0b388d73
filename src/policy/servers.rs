//! The server list, and the subset of it that this node's traffic goes to.

use super::Balancer;
use crate::interface::{ListedServer, ReportField, ServerState};
use crate::sliding_window::DEFAULT_SPAN_MS;
use crate::state::Server;
use rand::prelude::Rng;
use std::rc::Rc;

/// Requests per second to each server of the subset: fewer do not show how it performs.
const SUBSET_RATE: f64 = 8.0;
/// Servers in the subset at the least: a single slow one must not matter much.
const SUBSET_MIN: f64 = 5.0;
/// The same where reports of requests outstanding make servers comparable at once.
const SUBSET_MIN_OUTSTANDING: f64 = 8.0;
/// Servers to probe at the least; with fewer the subset is extended.
pub(super) const CANDIDATES_MIN: usize = 2;
/// First pause before the list is asked for again; it doubles.
pub(super) const LIST_RETRY_MS: f64 = 1000.0;

impl Balancer {
    /// Takes in entries of the server list; servers that a `whole` list lacks are gone. `cached`: the list is the one
    /// that the node starts with, not the current one.
    pub fn list_received(&mut self, whole: bool, cached: bool, entries: impl Iterator<Item = ListedServer>) {
        if whole {
            self.servers.values().for_each(|server| server.entry.update(ListedServer::gone));
        }
        self.apply_entries(entries);
        if cached {
            self.window.start(self.ready_servers.len() as f64 / self.settings.node_count);
        } else if self.settings.discovery_on_request {
            self.next_list_request = f64::INFINITY;
            self.list_retry_pause = LIST_RETRY_MS;
        }
    }

    /// Changes servers' states although no list says so, since the current list has become too old to go by: servers
    /// that must not be sent to for now (draining), or may be again.
    pub fn states_overridden(&mut self, entries: impl Iterator<Item = ListedServer>) {
        self.apply_entries(entries);
    }

    /// Takes in these entries, and drops servers that are no longer ready or listed.
    fn apply_entries(&mut self, entries: impl Iterator<Item = ListedServer>) {
        entries.for_each(|entry| self.apply_entry(entry));
        self.ready_servers.retain(|server| server.entry.get().state == ServerState::Ready);
        self.servers.retain(|_, server| server.entry.get().state != ServerState::Gone);
    }

    /// A request for the list failed or its watch broke off: the next one follows after an exponential back-off.
    pub fn list_failed(&mut self) {
        // Without the watch the node does not see servers drain. The pause is randomised, since all other nodes ask
        // too.
        let max_pause = self.settings.list_request_deadline / 2.0;
        self.next_list_request =
            self.now + self.list_retry_pause.min(max_pause) * self.rng.0.random_range(0.5..1.5);
        self.list_retry_pause = (self.list_retry_pause * 2.0).min(max_pause);
    }

    /// Takes in one entry of the list.
    fn apply_entry(&mut self, entry: ListedServer) {
        if entry.state == ServerState::Gone {
            // A new server at the same address has nothing in common with this one.
            return self
                .servers
                .remove(&entry.address)
                .iter()
                .for_each(|old| old.entry.update(ListedServer::gone));
        }
        let (order_key, health_count) =
            (self.rng.0.random(), if self.probes_per_draw > 0 { self.profile_names.len() } else { 1 });
        let new_server = || Rc::new(Server::new(entry, order_key, health_count));
        let server = self.servers.entry(entry.address).or_insert_with(new_server);
        if entry.started_at > server.started_at.get() {
            server.reset_after_restart(entry.started_at, self.now);
        }
        server
            .entry
            .set(ListedServer { weight: if self.settings.weighted { entry.weight } else { 1.0 }, ..entry });
        let present = self.ready_servers.iter().any(|other| Rc::ptr_eq(other, server));
        if entry.state == ServerState::Ready && !present {
            let at = self.ready_servers.partition_point(|other| other.order_key < server.order_key);
            self.ready_servers.insert(at, server.clone());
        }
    }

    /// First attempts per ms, over the span or as much of it as has passed.
    pub(super) fn send_rate(&mut self) -> f64 {
        self.first_attempts.total(self.now).0 / self.now.clamp(1000.0, DEFAULT_SPAN_MS)
    }

    /// Size of the subset that this node draws from: as many servers as its traffic can keep known.
    pub(super) fn subset_size(&mut self) -> usize {
        let rate = self.send_rate() * 1000.0;
        let reports_outstanding =
            self.probes_per_draw == 0 && self.settings.report.contains(&ReportField::Outstanding);
        (rate / SUBSET_RATE).max(if reports_outstanding { SUBSET_MIN_OUTSTANDING } else { SUBSET_MIN }).ceil()
            as usize
    }

    /// The first `wanted` servers of this node's own zone and of the others, as many as its subset holds.
    pub(super) fn subset(&self, size: usize, wanted: impl Fn(&Rc<Server>) -> bool) -> Vec<Rc<Server>> {
        // The own zone and the others share the subset.
        let several_zones =
            self.ready_servers.iter().any(|server| server.entry.get().zone != self.settings.zone);
        let mut places_left = match (several_zones, self.probes_per_draw) {
            (true, 0) => [CANDIDATES_MIN, size],
            (true, _) => [size / 2; 2],
            _ => [size; 2],
        };
        let fits = |server: &&Rc<Server>| {
            let places_left = &mut places_left[usize::from(server.entry.get().zone == self.settings.zone)];
            let fits = *places_left > 0 && wanted(server);
            *places_left -= usize::from(fits);
            fits
        };
        self.ready_servers.iter().filter(fits).cloned().collect()
    }
}
