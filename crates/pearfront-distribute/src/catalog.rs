//! What the log says of services: a state machine that each voter and each distributor runs. No clock is here.

use crate::message::ProcessId;
use crate::service::{ChangeSet, Restriction, Service, ServiceChange, ServiceOptions, ServiceUpdate, put};
use crate::times::{
    GONE_REMEMBERED, LEAST_REMEMBERED, MAX_CHANGE_SET_BYTES, MOST_DISTRIBUTORS, MOST_SERVICES, NARROWINGS,
    OUTCOMES,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    Change(ChangeSet),
    /// A distributor is there, or has gone and nothing is waited for of it any more: what is in force everywhere counts
    /// those that are there.
    Distributor {
        process: ProcessId,
        present: bool,
    },
}

impl Command {
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// An entry of the log; none if it is not one.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It is that version.
    Accepted(u64),
    /// The key, and why.
    Refused(String),
}

/// What has come of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// `sum` is over the change; `version` is none if it was accepted before, or refused.
    Change {
        number: String,
        checksum: u32,
        outcome: Outcome,
        version: Option<u64>,
    },
    Distributors,
    Nothing,
}

/// A service and the way to it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Kept {
    service: Service,
    /// When it last changed, and when its limit and its settings did.
    version: u64,
    limit: u64,
    settings: u64,
    /// Names of servers that each version touched, behind `floor`.
    touched: VecDeque<(u64, Vec<String>)>,
    floor: u64,
    names: usize,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    version: u64,
    services: BTreeMap<String, Kept>,
    /// Services that went, by the version in which they did; behind `gone_floor`.
    gone: BTreeMap<String, u64>,
    gone_floor: u64,
    /// Sets that do nothing but narrow.
    narrowings: VecDeque<(u64, Vec<Restriction>)>,
    /// By the writer's number: a sum over the change, and what came of it; in the order in which they came.
    outcomes: BTreeMap<String, (u32, Outcome)>,
    numbers: VecDeque<String>,
    distributors: BTreeSet<ProcessId>,
}

impl Catalog {
    /// Change sets so far.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Goes on so far above: where others may have seen versions that nobody here knows of.
    pub fn skip_versions(&mut self, count: u64) {
        self.version += count;
    }

    pub fn get(&self, service: &str) -> Option<&Service> {
        self.services.get(service).map(|kept| &kept.service)
    }

    pub fn services(&self) -> impl Iterator<Item = (&String, &Service)> {
        self.services.iter().map(|(name, kept)| (name, &kept.service))
    }

    /// The version in which a service last changed or went; 0 if it is not known.
    pub fn version_of(&self, service: &str) -> u64 {
        let kept = self.services.get(service).map(|kept| kept.version);
        kept.or_else(|| self.gone.get(service).copied()).unwrap_or_default()
    }

    pub fn distributors(&self) -> &BTreeSet<ProcessId> {
        &self.distributors
    }

    /// What came of a change, if it is still known.
    pub fn outcome(&self, number: &str) -> Option<&Outcome> {
        self.outcomes.get(number).map(|(_, outcome)| outcome)
    }

    /// Takes over a snapshot; none if it is not one.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    // ---- the log ----

    /// Applies one committed entry. What is no entry changes nothing: the beginning of a leader's term is none.
    pub fn apply(&mut self, bytes: &[u8]) -> Applied {
        match Command::decode(bytes) {
            Some(Command::Change(set)) => self.change(set, bytes),
            Some(Command::Distributor { process, present }) => {
                if !present {
                    self.distributors.remove(&process);
                } else if self.distributors.len() < MOST_DISTRIBUTORS {
                    self.distributors.insert(process);
                }
                Applied::Distributors
            }
            None => Applied::Nothing,
        }
    }

    fn change(&mut self, set: ChangeSet, bytes: &[u8]) -> Applied {
        let (number, checksum) = (set.number.clone(), crc32c::crc32c(bytes));
        if let Some((known, outcome)) = self.outcomes.get(&number) {
            let other = || Outcome::Refused("number is that of another change".into());
            let outcome = if *known == checksum { outcome.clone() } else { other() };
            return Applied::Change { number, checksum, outcome, version: None };
        }
        let checked = if bytes.len() > MAX_CHANGE_SET_BYTES {
            Err(format!("the change has {} bytes, not up to {MAX_CHANGE_SET_BYTES}", bytes.len()))
        } else {
            set.check().and_then(|()| self.check(&set))
        };
        let version = checked.is_ok().then(|| self.accept(set));
        let outcome = match (version, checked) {
            (Some(version), _) => Outcome::Accepted(version),
            (None, checked) => Outcome::Refused(checked.err().unwrap_or_default()),
        };
        self.remember(&number, checksum, &outcome);
        Applied::Change { number, checksum, outcome, version }
    }

    /// Takes a set that voters accepted as that version, without a check: what was refused is not told, so that this one may
    /// remember other numbers than they do. False if it does not fit here.
    pub fn apply_accepted(&mut self, set: ChangeSet, version: u64) -> bool {
        let next = version == self.version + 1;
        next && self.accept(set) == version
    }

    fn remember(&mut self, number: &str, checksum: u32, outcome: &Outcome) {
        self.outcomes.insert(number.into(), (checksum, outcome.clone()));
        self.numbers.push_back(number.into());
        while self.numbers.len() > OUTCOMES {
            self.numbers.pop_front().map(|number| self.outcomes.remove(&number));
        }
    }

    fn check(&self, set: &ChangeSet) -> Result<(), String> {
        let mut count = self.services.len();
        for (name, change) in &set.services {
            let kept = self.services.get(name);
            let found = kept.map_or(0, |kept| kept.version);
            if change.expected.is_some_and(|expected| expected != found) {
                let expected = change.expected.unwrap_or_default();
                return Err(format!("services.{name}.expected is {expected}, and its version {found}"));
            }
            if change.remove && kept.is_none() {
                return Err(format!("services.{name}.remove: there is none"));
            }
            let has = |server: &&String| kept.is_some_and(|kept| kept.service.servers.contains_key(*server));
            let gone = change.servers.keys().filter(has).count();
            let before = kept.map_or(0, |kept| kept.service.servers.len());
            set.check_size(name, change, before, gone)?;
            count += usize::from(kept.is_none());
        }
        if count > MOST_SERVICES {
            return Err(format!("services would be {count}, not up to {MOST_SERVICES}"));
        }
        Ok(())
    }

    fn accept(&mut self, set: ChangeSet) -> u64 {
        self.version += 1;
        let version = self.version;
        let narrows = set.services.iter().map(|(name, change)| change.narrows(name, self.get(name)));
        if let Some(all) = narrows.collect::<Option<Vec<_>>>() {
            self.narrowings.push_back((version, all.concat()));
            while self.narrowings.len() > NARROWINGS {
                self.narrowings.pop_front();
            }
        }
        for (name, change) in set.services {
            if change.remove {
                self.services.remove(&name);
                self.gone.insert(name, version);
            } else {
                self.gone.remove(&name);
                let kept = self.services.entry(name);
                kept.or_insert_with(|| Kept { floor: version, ..Kept::default() }).change(change, version);
            }
        }
        self.forget_gone();
        version
    }

    fn forget_gone(&mut self) {
        while self.gone.len() > GONE_REMEMBERED {
            let oldest = self.gone.iter().min_by_key(|(_, version)| **version);
            let Some((name, version)) = oldest.map(|(name, version)| (name.clone(), *version)) else {
                return;
            };
            self.gone_floor = self.gone_floor.max(version);
            self.gone.remove(&name);
        }
    }

    // ---- what subscribers need ----

    /// What one that has those services as of `held` needs for this version; all of those in `fresh`, and of all if it has
    /// none.
    pub fn updates_for(
        &self,
        services: &[String],
        held: Option<u64>,
        new_services: &BTreeSet<String>,
    ) -> BTreeMap<String, ServiceUpdate> {
        let one = |name: &String| {
            let held = held.filter(|_| !new_services.contains(name));
            Some((name.clone(), self.update_of(name, held)?))
        };
        services.iter().filter_map(one).collect()
    }

    fn update_of(&self, name: &str, held: Option<u64>) -> Option<ServiceUpdate> {
        match (self.services.get(name), held) {
            (Some(kept), Some(held)) if held >= kept.version => None,
            (Some(kept), Some(held)) if held >= kept.floor => Some(kept.since(held)),
            (Some(kept), _) => Some(ServiceUpdate::Full(kept.service.clone())),
            (None, None) => None,
            (None, Some(held)) => {
                let went =
                    held < self.gone_floor || self.gone.get(name).is_some_and(|version| *version > held);
                went.then_some(ServiceUpdate::Removed)
            }
        }
    }

    /// Must one that has those services as of `held` get all of one of them anew?
    pub fn needs_full(
        &self,
        services: &[String],
        held: Option<u64>,
        new_services: &BTreeSet<String>,
    ) -> bool {
        let Some(held) = held else { return true };
        !new_services.is_empty()
            || services.iter().any(|name| self.services.get(name).is_some_and(|kept| held < kept.floor))
    }

    /// What narrowed those services behind `held`, each set whole; none if nothing did.
    pub fn restrictions(&self, services: &BTreeSet<String>, held: u64) -> Vec<Restriction> {
        let behind = self.narrowings.iter().filter(|(version, _)| *version > held);
        let all = behind.flat_map(|(_, all)| all).filter(|one| services.contains(&one.service));
        all.cloned().collect()
    }

    /// Does that version do nothing but narrow?
    pub fn is_restricting(&self, version: u64) -> bool {
        self.narrowings.iter().rev().any(|(one, _)| *one == version)
    }
}

impl Kept {
    fn change(&mut self, change: ServiceChange, version: u64) {
        let head = ServiceOptions {
            limit: change.limit.unwrap_or(self.service.options.limit),
            settings: change.settings.unwrap_or_else(|| self.service.options.settings.clone()),
        };
        if head.limit != self.service.options.limit {
            self.limit = version;
        }
        if head.settings != self.service.options.settings {
            self.settings = version;
        }
        self.service.options = head;
        self.version = version;
        let names: Vec<String> = change.servers.keys().cloned().collect();
        self.names += names.len();
        self.touched.push_back((version, names));
        for (name, server) in change.servers {
            put(&mut self.service.servers, name, server);
        }
        // Names that are many more than there are servers save nothing.
        while self.names > LEAST_REMEMBERED.max(2 * self.service.servers.len())
            || self.touched.len() > LEAST_REMEMBERED
        {
            let Some((version, names)) = self.touched.pop_front() else { return };
            self.floor = version;
            self.names -= names.len();
        }
    }

    fn since(&self, held: u64) -> ServiceUpdate {
        let behind = self.touched.iter().rev().take_while(|(version, _)| *version > held);
        let names = behind.flat_map(|(_, names)| names);
        let servers = names.map(|name| (name.clone(), self.service.servers.get(name).cloned())).collect();
        let limit = (self.limit > held).then_some(self.service.options.limit);
        let settings = (self.settings > held).then(|| self.service.options.settings.clone());
        ServiceUpdate::Changed { limit, settings, servers }
    }
}
