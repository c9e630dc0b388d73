//! The replicated state machine: all services as the log's entries make them, at each voter and each distributor. It uses no
//! clock, so that every replica comes to the same state.

use crate::message::ProcessId;
use crate::service::{
    ChangeSet, Restriction, Service, ServiceChange, ServiceOptions, ServiceUpdate, set_server,
};
use crate::times::{
    MAX_CHANGE_SET_BYTES, MAX_DISTRIBUTORS, MAX_OUTCOMES, MAX_REMOVED_SERVICES, MAX_RESTRICTING_SETS,
    MAX_SERVICES, MIN_REMEMBERED_CHANGES,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// An entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    Change(ChangeSet),
    /// A distributor joined, or has gone and is no longer waited for. What is in force everywhere is counted over those that
    /// are present.
    Distributor {
        process: ProcessId,
        present: bool,
    },
}

impl Command {
    /// The bytes of the log entry.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads a log entry; none if the bytes are not one.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}

/// What became of a change set.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The version that it made.
    Accepted(u64),
    /// The faulty key, and what is wrong with it.
    Refused(String),
}

/// The result of applying a log entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// `checksum` is over the encoded change; `version` is none if it was accepted before, or refused.
    Change { number: String, checksum: u32, outcome: Outcome, version: Option<u64> },
    /// The set of distributors may have changed.
    Distributors,
    /// The bytes were no command.
    Nothing,
}

/// A service with the history that deltas need.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct ServiceRecord {
    service: Service,
    /// Version of the last change.
    version: u64,
    /// Version of the last change of the limit.
    limit_version: u64,
    /// Version of the last change of the settings.
    settings_version: u64,
    /// Names of the servers that each version above `delta_floor` touched.
    touched_servers: VecDeque<(u64, Vec<String>)>,
    delta_floor: u64,
    /// Names in `touched_servers`, counted over all versions.
    names: usize,
}

/// All services, with what retries and deltas need.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Catalog {
    version: u64,
    services: BTreeMap<String, ServiceRecord>,
    /// Removed services with the version that removed them, if above `removed_floor`.
    removed: BTreeMap<String, u64>,
    removed_floor: u64,
    /// Change sets that only restrict, by version.
    restricting_sets: VecDeque<(u64, Vec<Restriction>)>,
    /// By the change set's number: a checksum over it, and its outcome.
    outcomes: BTreeMap<String, (u32, Outcome)>,
    /// Numbers in `outcomes`, oldest first.
    outcome_order: VecDeque<String>,
    distributors: BTreeSet<ProcessId>,
}

impl Catalog {
    /// Number of change sets accepted so far.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Skips versions, where other processes may have seen some that are lost here.
    pub fn skip_versions(&mut self, count: u64) {
        self.version += count;
    }

    /// A service by its name.
    pub fn get(&self, service: &str) -> Option<&Service> {
        self.services.get(service).map(|record| &record.service)
    }

    /// All services, by name.
    pub fn services(&self) -> impl Iterator<Item = (&String, &Service)> {
        self.services.iter().map(|(name, record)| (name, &record.service))
    }

    /// The version in which a service last changed or was removed; 0 if it is not known.
    pub fn version_of(&self, service: &str) -> u64 {
        let record = self.services.get(service).map(|record| record.version);
        record.or_else(|| self.removed.get(service).copied()).unwrap_or_default()
    }

    /// Distributors that are present according to the log.
    pub fn distributors(&self) -> &BTreeSet<ProcessId> {
        &self.distributors
    }

    /// The outcome of a change set by its number, if it is still remembered.
    pub fn outcome(&self, number: &str) -> Option<&Outcome> {
        self.outcomes.get(number).map(|(_, outcome)| outcome)
    }

    /// Reads a snapshot; none if the bytes are not one.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    /// A snapshot.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    // ---- the log ----

    /// Applies one committed entry. Bytes that are no command change nothing, such as the empty entry that begins a term.
    pub fn apply(&mut self, bytes: &[u8]) -> Applied {
        match Command::decode(bytes) {
            Some(Command::Change(set)) => self.apply_change(set, bytes),
            Some(Command::Distributor { process, present }) => {
                if !present {
                    self.distributors.remove(&process);
                } else if self.distributors.len() < MAX_DISTRIBUTORS {
                    self.distributors.insert(process);
                }
                Applied::Distributors
            }
            None => Applied::Nothing,
        }
    }

    fn apply_change(&mut self, set: ChangeSet, bytes: &[u8]) -> Applied {
        let (number, checksum) = (set.number.clone(), crc32c::crc32c(bytes));
        if let Some((known_checksum, outcome)) = self.outcomes.get(&number) {
            let conflict = || Outcome::Refused("number is that of another change".into());
            let outcome = if *known_checksum == checksum { outcome.clone() } else { conflict() };
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
        self.record_outcome(&number, checksum, &outcome);
        Applied::Change { number, checksum, outcome, version }
    }

    /// Applies a change set that the voters accepted as `version`, without validation: distributors are not sent refused sets,
    /// so the numbers remembered here differ from the voters'. False if `version` is not the next one.
    pub fn apply_accepted(&mut self, set: ChangeSet, version: u64) -> bool {
        let next = version == self.version + 1;
        next && self.accept(set) == version
    }

    fn record_outcome(&mut self, number: &str, checksum: u32, outcome: &Outcome) {
        self.outcomes.insert(number.into(), (checksum, outcome.clone()));
        self.outcome_order.push_back(number.into());
        while self.outcome_order.len() > MAX_OUTCOMES {
            self.outcome_order.pop_front().map(|number| self.outcomes.remove(&number));
        }
    }

    fn check(&self, set: &ChangeSet) -> Result<(), String> {
        let mut count = self.services.len();
        for (name, change) in &set.services {
            let record = self.services.get(name);
            let found = record.map_or(0, |record| record.version);
            if change.expected.is_some_and(|expected| expected != found) {
                let expected = change.expected.unwrap_or_default();
                return Err(format!("services.{name}.expected is {expected}, and its version {found}"));
            }
            if change.remove && record.is_none() {
                return Err(format!("services.{name}.remove: there is none"));
            }
            let has =
                |server: &&String| record.is_some_and(|record| record.service.servers.contains_key(*server));
            let replaced = change.servers.keys().filter(has).count();
            let before = record.map_or(0, |record| record.service.servers.len());
            set.check_size(name, change, before, replaced)?;
            count += usize::from(record.is_none());
        }
        if count > MAX_SERVICES {
            return Err(format!("services would be {count}, not up to {MAX_SERVICES}"));
        }
        Ok(())
    }

    fn accept(&mut self, set: ChangeSet) -> u64 {
        self.version += 1;
        let version = self.version;
        let restrictions =
            set.services.iter().map(|(name, change)| change.as_restrictions(name, self.get(name)));
        if let Some(all) = restrictions.collect::<Option<Vec<_>>>() {
            self.restricting_sets.push_back((version, all.concat()));
            while self.restricting_sets.len() > MAX_RESTRICTING_SETS {
                self.restricting_sets.pop_front();
            }
        }
        for (name, change) in set.services {
            if change.remove {
                self.services.remove(&name);
                self.removed.insert(name, version);
            } else {
                self.removed.remove(&name);
                let record = self.services.entry(name);
                record
                    .or_insert_with(|| ServiceRecord { delta_floor: version, ..ServiceRecord::default() })
                    .apply(change, version);
            }
        }
        self.trim_removed();
        version
    }

    fn trim_removed(&mut self) {
        while self.removed.len() > MAX_REMOVED_SERVICES {
            let oldest = self.removed.iter().min_by_key(|(_, version)| **version);
            let Some((name, version)) = oldest.map(|(name, version)| (name.clone(), *version)) else {
                return;
            };
            self.removed_floor = self.removed_floor.max(version);
            self.removed.remove(&name);
        }
    }

    // ---- what subscribers need ----

    /// The updates that bring a subscriber of `services` from version `held` to the current one. Services in `new_services` are
    /// sent in full, and all of them if `held` is none.
    pub fn updates_for(
        &self,
        services: &[String],
        held: Option<u64>,
        new_services: &BTreeSet<String>,
    ) -> BTreeMap<String, ServiceUpdate> {
        let one = |name: &String| {
            let held = held.filter(|_| !new_services.contains(name));
            Some((name.clone(), self.update_for(name, held)?))
        };
        services.iter().filter_map(one).collect()
    }

    fn update_for(&self, name: &str, held: Option<u64>) -> Option<ServiceUpdate> {
        match (self.services.get(name), held) {
            (Some(record), Some(held)) if held >= record.version => None,
            (Some(record), Some(held)) if held >= record.delta_floor => Some(record.changes_since(held)),
            (Some(record), _) => Some(ServiceUpdate::Full(record.service.clone())),
            (None, None) => None,
            (None, Some(held)) => {
                let was_removed = held < self.removed_floor
                    || self.removed.get(name).is_some_and(|version| *version > held);
                was_removed.then_some(ServiceUpdate::Removed)
            }
        }
    }

    /// Does a subscriber of these services at version `held` need one of them in full?
    pub fn needs_full(
        &self,
        services: &[String],
        held: Option<u64>,
        new_services: &BTreeSet<String>,
    ) -> bool {
        let Some(held) = held else { return true };
        !new_services.is_empty()
            || services
                .iter()
                .any(|name| self.services.get(name).is_some_and(|record| held < record.delta_floor))
    }

    /// Restrictions of these services by versions above `held`.
    pub fn restrictions(&self, services: &BTreeSet<String>, held: u64) -> Vec<Restriction> {
        let newer = self.restricting_sets.iter().filter(|(version, _)| *version > held);
        let all =
            newer.flat_map(|(_, all)| all).filter(|restriction| services.contains(&restriction.service));
        all.cloned().collect()
    }

    /// Does that version only restrict?
    pub fn is_restricting(&self, version: u64) -> bool {
        self.restricting_sets.iter().rev().any(|(one, _)| *one == version)
    }
}

impl ServiceRecord {
    fn apply(&mut self, change: ServiceChange, version: u64) {
        let options = ServiceOptions {
            limit: change.limit.unwrap_or(self.service.options.limit),
            settings: change.settings.unwrap_or_else(|| self.service.options.settings.clone()),
        };
        if options.limit != self.service.options.limit {
            self.limit_version = version;
        }
        if options.settings != self.service.options.settings {
            self.settings_version = version;
        }
        self.service.options = options;
        self.version = version;
        let names: Vec<String> = change.servers.keys().cloned().collect();
        self.names += names.len();
        self.touched_servers.push_back((version, names));
        for (name, server) in change.servers {
            set_server(&mut self.service.servers, name, server);
        }
        // A delta that names many more servers than there are saves nothing over the full service.
        while self.names > MIN_REMEMBERED_CHANGES.max(2 * self.service.servers.len())
            || self.touched_servers.len() > MIN_REMEMBERED_CHANGES
        {
            let Some((version, names)) = self.touched_servers.pop_front() else { return };
            self.delta_floor = version;
            self.names -= names.len();
        }
    }

    fn changes_since(&self, held: u64) -> ServiceUpdate {
        let newer = self.touched_servers.iter().rev().take_while(|(version, _)| *version > held);
        let names = newer.flat_map(|(_, names)| names);
        let servers = names.map(|name| (name.clone(), self.service.servers.get(name).cloned())).collect();
        let limit = (self.limit_version > held).then_some(self.service.options.limit);
        let settings = (self.settings_version > held).then(|| self.service.options.settings.clone());
        ServiceUpdate::Changed { limit, settings, servers }
    }
}
