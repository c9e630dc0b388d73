//! Deduplication of keyed requests within a group of servers (all, a zone, a cell). The state outlives the
//! group's individual servers.

use crate::scenario::{Effect, Group, Scenario};
use std::collections::BTreeMap;

/// Keys whose effect has taken place in a group, with the time until which they are remembered.
#[derive(Debug, Default)]
pub struct DedupKeys {
    known: BTreeMap<u64, f64>,
    swept: f64,
}

impl DedupKeys {
    /// Whether a repeat with this key is deduplicated now.
    pub fn knows(&self, key: u64, now: f64) -> bool {
        self.known.get(&key).is_some_and(|until| now < *until)
    }

    /// Completes a request with this key: true if its effect takes place, false if it already had.
    pub fn work_through(&mut self, key: u64, now: f64, window: f64) -> bool {
        if self.knows(key, now) {
            return false;
        }
        if now - self.swept > window {
            self.known.retain(|_, until| now < *until);
            self.swept = now;
        }
        self.known.insert(key, now + window);
        true
    }
}

/// Deduplication state of all groups of a fleet, by tier, profile and group.
#[derive(Debug, Default)]
pub struct DedupGroups(BTreeMap<(usize, usize, u32), DedupKeys>);

impl DedupGroups {
    /// Deduplication state of a server's group for a profile; none for requests without a key.
    pub fn of(
        &mut self,
        scenario: &Scenario,
        tier: usize,
        (zone, cell): (u16, u16),
        profile: usize,
    ) -> Option<&mut DedupKeys> {
        let wanted = &scenario.profiles[profile];
        let group = match wanted.group {
            Group::All => 0,
            Group::Zone => u32::from(zone),
            Group::Cell => u32::from(cell),
        };
        let keyed = wanted.effect == Effect::Keyed;
        keyed.then(|| self.0.entry((tier, profile, group)).or_default())
    }
}

#[cfg(test)]
mod tests;
