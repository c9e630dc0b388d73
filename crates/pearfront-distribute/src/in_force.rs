//! Which version is in force at every node, computed from the reports of distributors. The leader keeps this outside the log: a
//! new leader knows nothing until every distributor that the log names has sent it a full report.

use crate::message::{NodeStatus, ProcessId, Report};
use crate::times::Times;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Lagging processes that are listed by name.
const MAX_LISTED: usize = 100;

/// A node or distributor that is behind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LaggingProcess {
    /// The node; none for the distributor itself.
    pub node: Option<String>,
    pub distributor: String,
    /// The version that is known to be in force there.
    pub version: u64,
    /// A version that it rejected, and the reason.
    pub refused: Option<(u64, String)>,
    pub linked: bool,
}

/// What one incarnation of a distributor has reported.
#[derive(Default)]
struct DistributorRecord {
    /// Lower bound of the time at which its last report was sent, ms.
    last_sent: f64,
    report_number: u64,
    version: u64,
    nodes: BTreeMap<String, NodeStatus>,
    /// Nodes with a `lagging_version`; only these have to be looked at.
    lagging: BTreeSet<String>,
    /// When it ended, and whether its reports are complete: it can't have served nodes that it did not report.
    ended: Option<(f64, bool)>,
}

/// Reports of all distributors.
#[derive(Default)]
pub(crate) struct InForceTracker {
    distributors: BTreeMap<ProcessId, DistributorRecord>,
    /// By node: the distributors whose reports contain it.
    locations: BTreeMap<String, BTreeSet<ProcessId>>,
}

impl InForceTracker {
    /// Takes a report that was sent no earlier than `sent`; false if a full report is needed.
    pub fn report(&mut self, process: &ProcessId, report: Report, sent: f64) -> bool {
        let last_report = self.distributors.get(process).map(|record| record.report_number);
        if report.base.is_some() && report.base != last_report {
            return false;
        }
        if report.base.is_none() {
            self.forget(process);
        }
        let record = self.distributors.entry(process.clone()).or_default();
        record.last_sent = record.last_sent.max(sent);
        record.report_number = report.number;
        record.version = record.version.max(report.version);
        for (name, status) in report.nodes {
            let holders = self.locations.entry(name.clone()).or_default();
            match status {
                Some(status) => {
                    if status.lagging_version.is_some() {
                        record.lagging.insert(name.clone())
                    } else {
                        record.lagging.remove(&name)
                    };
                    record.nodes.insert(name, status);
                    holders.insert(process.clone());
                }
                None => {
                    record.lagging.remove(&name);
                    record.nodes.remove(&name);
                    holders.remove(process);
                    if holders.is_empty() {
                        self.locations.remove(&name);
                    }
                }
            }
        }
        true
    }

    fn forget(&mut self, process: &ProcessId) {
        let Some(record) = self.distributors.remove(process) else { return };
        for name in record.nodes.keys() {
            let Some(holders) = self.locations.get_mut(name) else { continue };
            holders.remove(process);
            if holders.is_empty() {
                self.locations.remove(name);
            }
        }
    }

    /// That incarnation has certainly ended. It serves unregistered nodes only after `isolated_after_ms` without an answer from
    /// the voters, so if its last report is less than half as old, its reports are complete.
    pub fn ended(&mut self, process: &ProcessId, times: &Times, now: f64) {
        if let Some(record) = self.distributors.get_mut(process).filter(|record| record.ended.is_none()) {
            record.ended = Some((now, now - record.last_sent < times.isolated_after_ms / 2.0));
        }
    }

    /// Marks other incarnations of that name as ended: a name belongs to one process at a time.
    pub fn end_other_incarnations(&mut self, process: &ProcessId, times: &Times, now: f64) {
        let others: Vec<ProcessId> = self
            .distributors
            .keys()
            .filter(|candidate| candidate.name == process.name && *candidate != process)
            .cloned()
            .collect();
        others.iter().for_each(|other| self.ended(other, times, now));
    }

    /// Distributors that no longer need to be waited for: silent for `gone_after_ms`; or ended, and either that long ago or with
    /// complete reports and all nodes known elsewhere.
    pub fn finished(&self, times: &Times, now: f64) -> Vec<ProcessId> {
        let finished = |process: &ProcessId, record: &DistributorRecord| match record.ended {
            None => now - record.last_sent >= times.gone_after_ms,
            Some((at, complete)) => {
                let superseded =
                    || record.nodes.iter().all(|(name, status)| self.is_superseded(process, name, status));
                now - at >= times.gone_after_ms || complete && superseded()
            }
        };
        self.distributors
            .iter()
            .filter(|(process, record)| finished(process, record))
            .map(|(process, _)| process.clone())
            .collect()
    }

    pub fn remove(&mut self, process: &ProcessId) {
        self.forget(process);
    }

    pub fn has_reports_of(&self, process: &ProcessId) -> bool {
        self.distributors.contains_key(process)
    }

    pub fn version(&self, process: &ProcessId) -> Option<u64> {
        self.distributors.get(process).map(|record| record.version)
    }

    pub fn nodes(&self) -> usize {
        self.locations.len()
    }

    /// Does another distributor have a newer status of that node?
    fn is_superseded(&self, process: &ProcessId, name: &str, status: &NodeStatus) -> bool {
        let Some(holders) = self.locations.get(name) else { return false };
        let linked =
            |record: &DistributorRecord, status: &NodeStatus| status.linked && record.ended.is_none();
        let own_link = self.distributors.get(process).is_some_and(|record| linked(record, status));
        holders.iter().filter(|other| *other != process).any(|other| {
            let Some(record) = self.distributors.get(other) else { return false };
            let Some(other_status) = record.nodes.get(name) else { return false };
            if other_status.incarnation == status.incarnation {
                other_status.session > status.session
            } else {
                !own_link && linked(record, other_status)
            }
        })
    }

    /// All that hold back `version`, the furthest behind first.
    fn lagging(&self, version: u64) -> Vec<LaggingProcess> {
        let mut all = Vec::new();
        for (process, record) in &self.distributors {
            let counts = !record.ended.is_some_and(|(_, complete)| complete);
            if counts && record.version < version {
                let (node, refused, linked) = (None, None, record.ended.is_none());
                all.push(LaggingProcess {
                    node,
                    distributor: process.name.clone(),
                    version: record.version,
                    refused,
                    linked,
                });
            }
            // Nodes of a distributor that has ended may lag although they did not when it last reported.
            let check_all = record.ended.is_some() && record.version < version;
            let names: Box<dyn Iterator<Item = &String>> =
                if check_all { Box::new(record.nodes.keys()) } else { Box::new(record.lagging.iter()) };
            for name in names {
                let Some(status) = record.nodes.get(name) else { continue };
                let held = status.lagging_version.unwrap_or(record.version);
                if held < version && !self.is_superseded(process, name, status) {
                    all.push(LaggingProcess {
                        node: Some(name.clone()),
                        distributor: process.name.clone(),
                        version: held,
                        refused: status.refused.clone(),
                        linked: status.linked && record.ended.is_none(),
                    });
                }
            }
        }
        all.sort_by(|a, b| a.version.cmp(&b.version).then_with(|| a.node.cmp(&b.node)));
        all
    }

    /// The highest version up to `version` that is in force everywhere, and the first `MAX_LISTED` that lag.
    pub fn in_force(&self, version: u64) -> (u64, Vec<LaggingProcess>) {
        let mut lagging = self.lagging(version);
        let least = lagging.first().map_or(version, |lag| lag.version);
        lagging.truncate(MAX_LISTED);
        (least, lagging)
    }
}
