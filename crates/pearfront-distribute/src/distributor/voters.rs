//! The link to the voters: following the leader, and applying its snapshots and change sets.

use super::{Action, Distributor};
use crate::catalog::Catalog;
use crate::connector::Connector;
use crate::message::{FromVoter, ToVoter};
use crate::service::ChangeSet;
use crate::times::{MAX_SETS_PER_MESSAGE, Times};
use std::collections::BTreeSet;

/// The link to the voters' leader, and the state of reports over it.
pub(super) struct Upstream {
    pub(super) connector: Connector,
    /// When the catalog was last known to be the newest.
    pub(super) current_at: Option<f64>,
    /// Number of the voter's last heartbeat.
    pub(super) heartbeat_echo: u64,
    pub(super) in_force: Option<u64>,
    /// Number of the last report.
    pub(super) report_number: u64,
    /// When the report that is in flight was sent.
    pub(super) report_sent_at: Option<f64>,
    /// Number of the last accepted report; none if the next one has to be full.
    pub(super) accepted_report: Option<u64>,
    /// When the last accepted report was sent.
    pub(super) last_accepted_sent_at: f64,
    /// Has any report been accepted?
    pub(super) registered: bool,
    /// When the last report was sent, and the version in it.
    pub(super) last_report: (f64, Option<u64>),
    /// Nodes with changes to report.
    pub(super) changed_nodes: BTreeSet<String>,
    /// Nodes in the report that is in flight.
    pub(super) reported_nodes: BTreeSet<String>,
}

impl Upstream {
    pub(super) fn new(voters: Vec<String>, times: Times, seed: u64, now: f64) -> Self {
        Self {
            connector: Connector::new(voters, times, seed, now),
            current_at: None,
            heartbeat_echo: 0,
            in_force: None,
            report_number: 0,
            report_sent_at: None,
            accepted_report: None,
            last_accepted_sent_at: now,
            registered: false,
            last_report: (f64::NEG_INFINITY, None),
            changed_nodes: BTreeSet::new(),
            reported_nodes: BTreeSet::new(),
        }
    }
}

impl Distributor {
    /// Asks the voter to feed this distributor from its version on.
    pub(super) fn send_follow(&mut self) {
        (self.upstream.report_sent_at, self.upstream.accepted_report) = (None, None);
        self.upstream.reported_nodes.clear();
        let (installation, process, version) =
            (self.installation.clone(), self.own_id.clone(), self.version());
        self.send_voter(ToVoter::Follow { installation, process, version });
    }

    /// Sends a heartbeat to the voter, unless a report can be sent, which serves as one and contains the version.
    pub(super) fn send_heartbeat_to_voter(&mut self) {
        if !self.can_report() {
            let version = self.version().unwrap_or_default();
            self.send_voter(ToVoter::Acknowledge { version });
        }
    }

    /// Sends a message to the voter, if there is a link.
    pub(super) fn send_voter(&mut self, message: ToVoter) {
        if let Some((link, _)) = self.upstream.connector.current_link() {
            self.actions.push(Action::SendVoter { link, message });
        }
    }

    /// A link to a voter could not be opened, or has ended.
    pub fn voter_link_closed(&mut self, link: u64, now: f64) {
        self.upstream.connector.drop_link(link, true, now);
    }

    /// Handles a message of the voter at that link.
    pub fn receive_from_voter(&mut self, link: u64, message: FromVoter, now: f64) {
        if !self.upstream.connector.is_current(link) {
            return;
        }
        self.upstream.connector.message_received(now);
        match message {
            FromVoter::NotLeader { leader } => {
                self.upstream.connector.drop_link(link, false, now);
                self.actions.push(Action::CloseVoter { link });
                self.upstream.connector.redirect(leader, now);
            }
            FromVoter::Rejected { .. } => {
                self.upstream.connector.drop_link(link, true, now);
                self.actions.push(Action::CloseVoter { link });
            }
            FromVoter::Snapshot { catalog } => self.apply_snapshot(&catalog, now),
            FromVoter::ChangeSets { to, sets } => self.apply_change_sets(to, sets, now),
            FromVoter::Heartbeat { number, version, in_force } => {
                self.upstream.connector.mark_healthy();
                (self.upstream.heartbeat_echo, self.upstream.in_force) = (number, in_force);
                if self.version().is_some_and(|own_version| own_version >= version) {
                    self.upstream.current_at = Some(now);
                }
            }
            FromVoter::ReportAccepted { number } if number == self.upstream.report_number => {
                self.report_accepted()
            }
            FromVoter::FullReportNeeded => {
                (self.upstream.report_sent_at, self.upstream.accepted_report) = (None, None)
            }
            _ => {}
        }
        self.send_queued(now);
        self.report_if_due(now);
    }

    /// Replaces the catalog by a snapshot, unless the snapshot is older.
    fn apply_snapshot(&mut self, bytes: &[u8], now: f64) {
        let Some(catalog) = Catalog::decode(bytes) else { return };
        // A node must never hold a newer version than its distributor.
        if self.version().is_some_and(|own_version| catalog.version() < own_version) {
            return;
        }
        let version = catalog.version();
        self.catalog = Some(catalog);
        for name in self.nodes.keys().cloned().collect::<Vec<_>>() {
            self.resync(&name);
        }
        self.upstream.current_at = Some(now);
        self.send_voter(ToVoter::Acknowledge { version });
    }

    /// Applies the change sets up to version `to`; a gap closes the link, and the next one begins with a snapshot or the
    /// missing sets.
    fn apply_change_sets(&mut self, to: u64, sets: Vec<ChangeSet>, now: f64) {
        let count = sets.len();
        let first = (to + 1).saturating_sub(count as u64);
        for (version, set) in (first..).zip(sets) {
            let touched_services: Vec<String> = set.services.keys().cloned().collect();
            let Some(catalog) = &mut self.catalog else { return };
            if version <= catalog.version() {
                continue;
            }
            if !catalog.apply_accepted(set, version) {
                let Some((link, _)) = self.upstream.connector.current_link() else { return };
                self.upstream.connector.drop_link(link, false, now);
                return self.actions.push(Action::CloseVoter { link });
            }
            let restricts = catalog.is_restricting(version);
            self.counts.change_sets += 1;
            self.mark_behind(&touched_services, version, restricts);
        }
        if count < MAX_SETS_PER_MESSAGE {
            self.upstream.current_at = Some(now);
        }
        self.send_voter(ToVoter::Acknowledge { version: to });
    }

    /// Marks the subscribers of these services as behind from this version on.
    fn mark_behind(&mut self, services: &[String], version: u64, restricts: bool) {
        let names: BTreeSet<String> =
            services.iter().filter_map(|service| self.subscribers.get(service)).flatten().cloned().collect();
        for name in names {
            let Some(node) = self.nodes.get_mut(&name) else { continue };
            node.newest_relevant = version;
            node.first_missing.get_or_insert(version);
            self.upstream.changed_nodes.insert(name.clone());
            self.enqueue(&name, restricts);
        }
    }
}
