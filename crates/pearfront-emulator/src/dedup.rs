//! What a group of servers (all, a zone, a cell) remembers of keyed jobs. It outlives any one of its servers.

use crate::scenario::{Effect, Group, Scenario};
use std::collections::BTreeMap;

/// Keys whose effect a group has had, and until when it knows them.
#[derive(Debug, Default)]
pub struct DedupKeys {
    known: BTreeMap<u64, f64>,
    swept: f64,
}

impl DedupKeys {
    /// Is a repeat dropped now?
    pub fn knows(&self, key: u64, now: f64) -> bool {
        self.known.get(&key).is_some_and(|until| now < *until)
    }

    /// A job with this key has been worked through: true if it has its effect, false if that was had before.
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

/// The memories of all groups of a fleet, by tier, profile and group.
#[derive(Debug, Default)]
pub struct DedupGroups(BTreeMap<(usize, usize, u32), DedupKeys>);

impl DedupGroups {
    /// What a server's group remembers of a profile; nothing for jobs without a key.
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
