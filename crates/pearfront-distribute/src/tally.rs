//! What is in force everywhere: counted from what distributors tell of their nodes, never hoped for. At the leader, and not in
//! the log: a new leader knows nothing until all distributors that the log names have told it all.

use crate::message::{NodeStatus, ProcessId, Report};
use crate::times::Times;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Nodes that lag and are shown by name.
const SHOWN: usize = 100;

/// A node that is behind, or a distributor.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LaggingProcess {
    /// None: the distributor itself.
    pub node: Option<String>,
    pub distributor: String,
    /// What is in force there for certain.
    pub version: u64,
    /// A version that it refused, and why.
    pub refused: Option<(u64, String)>,
    pub linked: bool,
}

/// What one life of a distributor told.
#[derive(Default)]
struct Account {
    /// Its last word was sent no earlier than that, ms.
    heard: f64,
    number: u64,
    version: u64,
    nodes: BTreeMap<String, NodeStatus>,
    /// Nodes that need a look: those that lag.
    lagging: BTreeSet<String>,
    /// When it ended, and whether all that it had begun to serve is known here.
    ended: Option<(f64, bool)>,
}

#[derive(Default)]
pub(crate) struct Tally {
    accounts: BTreeMap<ProcessId, Account>,
    /// Which distributors have a line on a node.
    places: BTreeMap<String, BTreeSet<ProcessId>>,
}

impl Tally {
    /// A report came that was sent no earlier than `sent`; false if all of it is needed.
    pub fn report(&mut self, process: &ProcessId, report: Report, sent: f64) -> bool {
        let known = self.accounts.get(process).map(|account| account.number);
        if report.base.is_some() && report.base != known {
            return false;
        }
        if report.base.is_none() {
            self.forget(process);
        }
        let account = self.accounts.entry(process.clone()).or_default();
        account.heard = account.heard.max(sent);
        account.number = report.number;
        account.version = account.version.max(report.version);
        for (name, line) in report.nodes {
            let place = self.places.entry(name.clone()).or_default();
            match line {
                Some(line) => {
                    if line.lagging_version.is_some() {
                        account.lagging.insert(name.clone())
                    } else {
                        account.lagging.remove(&name)
                    };
                    account.nodes.insert(name, line);
                    place.insert(process.clone());
                }
                None => {
                    account.lagging.remove(&name);
                    account.nodes.remove(&name);
                    place.remove(process);
                    if place.is_empty() {
                        self.places.remove(&name);
                    }
                }
            }
        }
        true
    }

    fn forget(&mut self, process: &ProcessId) {
        let Some(account) = self.accounts.remove(process) else { return };
        for name in account.nodes.keys() {
            let Some(place) = self.places.get_mut(name) else { continue };
            place.remove(process);
            if place.is_empty() {
                self.places.remove(name);
            }
        }
    }

    /// That life is over, for certain. What it began to serve without the voters' knowledge it can have only if it had not been
    /// answered for `alone`; if it was heard half that time ago there is nothing such.
    pub fn ended(&mut self, process: &ProcessId, times: &Times, now: f64) {
        if let Some(account) = self.accounts.get_mut(process).filter(|account| account.ended.is_none()) {
            account.ended = Some((now, now - account.heard < times.isolated_after_ms / 2.0));
        }
    }

    /// Whoever has that name and another life is over: the name is one process's.
    pub fn only_life(&mut self, process: &ProcessId, times: &Times, now: f64) {
        let others: Vec<ProcessId> =
            self.accounts.keys().filter(|one| one.name == process.name && *one != process).cloned().collect();
        others.iter().for_each(|other| self.ended(other, times, now));
    }

    /// Those that need not be waited for any more: ended or silent, and of their nodes none that is not known elsewhere, or
    /// too long ago.
    pub fn over(&self, times: &Times, now: f64) -> Vec<ProcessId> {
        let over = |process: &ProcessId, account: &Account| match account.ended {
            None => now - account.heard >= times.gone_after_ms,
            Some((at, known)) => {
                let moved =
                    || account.nodes.iter().all(|(name, line)| self.is_superseded(process, name, line));
                now - at >= times.gone_after_ms || known && moved()
            }
        };
        self.accounts
            .iter()
            .filter(|(process, account)| over(process, account))
            .map(|(process, _)| process.clone())
            .collect()
    }

    pub fn remove(&mut self, process: &ProcessId) {
        self.forget(process);
    }

    pub fn knows(&self, process: &ProcessId) -> bool {
        self.accounts.contains_key(process)
    }

    pub fn version(&self, process: &ProcessId) -> Option<u64> {
        self.accounts.get(process).map(|account| account.version)
    }

    pub fn nodes(&self) -> usize {
        self.places.len()
    }

    /// Is there a later word on that node?
    fn is_superseded(&self, process: &ProcessId, name: &str, line: &NodeStatus) -> bool {
        let Some(places) = self.places.get(name) else { return false };
        let linked = |account: &Account, line: &NodeStatus| line.linked && account.ended.is_none();
        let own = self.accounts.get(process).is_some_and(|account| linked(account, line));
        places.iter().filter(|other| *other != process).any(|other| {
            let Some(account) = self.accounts.get(other) else { return false };
            let Some(there) = account.nodes.get(name) else { return false };
            if there.incarnation == line.incarnation {
                there.session > line.session
            } else {
                !own && linked(account, there)
            }
        })
    }

    /// All that is behind `version`, or holds the count; the furthest behind first.
    fn behind(&self, version: u64) -> Vec<LaggingProcess> {
        let mut all = Vec::new();
        for (process, account) in &self.accounts {
            let holds = !account.ended.is_some_and(|(_, known)| known);
            if holds && account.version < version {
                let (node, refused, linked) = (None, None, account.ended.is_none());
                all.push(LaggingProcess {
                    node,
                    distributor: process.name.clone(),
                    version: account.version,
                    refused,
                    linked,
                });
            }
            // Of one that has ended, nodes that lagged nothing may lag by now.
            let every = account.ended.is_some() && account.version < version;
            let names: Box<dyn Iterator<Item = &String>> =
                if every { Box::new(account.nodes.keys()) } else { Box::new(account.lagging.iter()) };
            for name in names {
                let Some(line) = account.nodes.get(name) else { continue };
                let held = line.lagging_version.unwrap_or(account.version);
                if held < version && !self.is_superseded(process, name, line) {
                    all.push(LaggingProcess {
                        node: Some(name.clone()),
                        distributor: process.name.clone(),
                        version: held,
                        refused: line.refused.clone(),
                        linked: line.linked && account.ended.is_none(),
                    });
                }
            }
        }
        all.sort_by(|a, b| a.version.cmp(&b.version).then_with(|| a.node.cmp(&b.node)));
        all
    }

    /// The version that is in force everywhere, of all up to `version`; and those that lag, so many as are shown.
    pub fn in_force(&self, version: u64) -> (u64, Vec<LaggingProcess>) {
        let mut behind = self.behind(version);
        let least = behind.first().map_or(version, |lag| lag.version);
        behind.truncate(SHOWN);
        (least, behind)
    }
}
