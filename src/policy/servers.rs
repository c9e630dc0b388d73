//! The server list, and the subset of it that this node's traffic goes to.

use super::Balancer;
use crate::interface::{ReportField, ServerEntry, ServerState};
use crate::ring::SPAN;
use crate::state::Server;
use rand::prelude::Rng;
use std::rc::Rc;

const KNOWN_RATE: f64 = 8.0; // Requests/s to each server of the subset: fewer don't tell how it performs.
const SUBSET_LEAST: f64 = 5.0; // Servers in the subset at the least: a single slow one must not matter much.
const SUBSET_LEAST_HELD: f64 = 8.0; // The same where reports of requests held compare servers at once.
pub(super) const CANDIDATES_LEAST: usize = 2; // Servers to probe, or the subset is extended.
pub(super) const LIST_RETRY_MS: f64 = 1000.0; // First pause before the list is asked for again; it doubles.

impl Balancer {
    /// Takes in lines of the server list; servers that a `whole` list lacks are gone.
    pub fn list_received(&mut self, whole: bool, cached: bool, lines: impl Iterator<Item = ServerEntry>) {
        if whole {
            self.known.values().for_each(|server| server.line.update(ServerEntry::gone));
        }
        self.apply_lines(lines);
        if cached {
            self.window.begin(self.table.len() as f64 / self.settings.node_count);
        } else if self.settings.discovery_on_request {
            self.next_ask = f64::INFINITY;
            self.ask_pause = LIST_RETRY_MS;
        }
    }

    /// Servers that must not be sent to for now (draining), or may be again, though no list says so: the
    /// current list has become too old to go by.
    pub fn states_overridden(&mut self, lines: impl Iterator<Item = ServerEntry>) {
        self.apply_lines(lines);
    }

    fn apply_lines(&mut self, lines: impl Iterator<Item = ServerEntry>) {
        lines.for_each(|line| self.apply_line(line));
        self.table.retain(|server| server.line.get().state == ServerState::Ready);
        self.known.retain(|_, server| server.line.get().state != ServerState::Gone);
    }

    /// A call for the list failed or its watch broke off: the next call follows after an exponential backoff.
    pub fn list_failed(&mut self) {
        // A failed or broken watch leaves us blind to drains; spread by chance, as all others ask too.
        let most = self.settings.list_request_deadline / 2.0;
        self.next_ask = self.now + self.ask_pause.min(most) * self.chance.0.random_range(0.5..1.5);
        self.ask_pause = (self.ask_pause * 2.0).min(most);
    }

    /// Takes in one line of the list.
    fn apply_line(&mut self, line: ServerEntry) {
        if line.state == ServerState::Gone {
            // Whoever comes to its address is another server.
            return self
                .known
                .remove(&line.address)
                .iter()
                .for_each(|old| old.line.update(ServerEntry::gone));
        }
        let (place, lanes) = (self.chance.0.random(), if self.asks > 0 { self.names.len() } else { 1 });
        let new = || Rc::new(Server::new(line, place, lanes));
        let server = self.known.entry(line.address).or_insert_with(new);
        if line.started_at > server.started.get() {
            server.restarted(line.started_at, self.now);
        }
        server
            .line
            .set(ServerEntry { weight: if self.settings.weighted { line.weight } else { 1.0 }, ..line });
        let present = self.table.iter().any(|other| Rc::ptr_eq(other, server));
        if line.state == ServerState::Ready && !present {
            let at = self.table.partition_point(|other| other.place < server.place);
            self.table.insert(at, server.clone());
        }
    }

    /// Requests of this node sent for the first time, per ms, over the span or what there has been of it.
    pub(super) fn send_rate(&mut self) -> f64 {
        self.first_attempts.total(self.now).0 / self.now.clamp(1000.0, SPAN)
    }

    /// Size of the subset of a zone that this node draws from: as many servers as its traffic tells about.
    pub(super) fn subset_size(&mut self) -> usize {
        let rate = self.send_rate() * 1000.0;
        let held = self.asks == 0 && self.settings.report.contains(&ReportField::Outstanding);
        (rate / KNOWN_RATE).max(if held { SUBSET_LEAST_HELD } else { SUBSET_LEAST }).ceil() as usize
    }

    /// The first wanted servers of this node's own zone and of the others, as many as its subset holds.
    pub(super) fn subset(&self, size: usize, wanted: impl Fn(&Rc<Server>) -> bool) -> Vec<Rc<Server>> {
        // Its own zone and the others share the subset.
        let mixed = self.table.iter().any(|server| server.line.get().zone != self.settings.zone);
        let mut left = match (mixed, self.asks) {
            (true, 0) => [CANDIDATES_LEAST, size],
            (true, _) => [size / 2; 2],
            _ => [size; 2],
        };
        let fits = |server: &&Rc<Server>| {
            let left = &mut left[usize::from(server.line.get().zone == self.settings.zone)];
            let fits = *left > 0 && wanted(server);
            *left -= usize::from(fits);
            fits
        };
        self.table.iter().filter(fits).cloned().collect()
    }
}
