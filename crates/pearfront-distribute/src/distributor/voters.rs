//! The link to the voters: following the leader, taking in its snapshots and change sets.

use super::{Action, Distributor};
use crate::catalog::Catalog;
use crate::dial::Dial;
use crate::message::{FromVoter, ToVoter};
use crate::service::ChangeSet;
use crate::times::{SETS_AT_ONCE, Times};
use std::collections::BTreeSet;

/// The link to the voters' leader, and what was told over it.
pub(super) struct Upstream {
    pub(super) dial: Dial,
    /// The age that was told of the newest version, and when.
    pub(super) current: Option<f64>,
    pub(super) heartbeat_echo: u64,
    pub(super) in_force: Option<u64>,
    /// Number of the last report, when it was sent; one that is under way.
    pub(super) number: u64,
    pub(super) under_way: Option<f64>,
    pub(super) taken: Option<u64>,
    /// When the last one was sent that was taken.
    pub(super) answered: f64,
    pub(super) registered: bool,
    /// When the last report was sent, whose version it said.
    pub(super) said: (f64, Option<u64>),
    /// Nodes of whom something is to be told; those in the report that is under way.
    pub(super) changed: BTreeSet<String>,
    pub(super) telling: BTreeSet<String>,
}

impl Upstream {
    pub(super) fn new(voters: Vec<String>, times: Times, seed: u64, now: f64) -> Self {
        Self {
            dial: Dial::new(voters, times, seed, now),
            current: None,
            heartbeat_echo: 0,
            in_force: None,
            number: 0,
            under_way: None,
            taken: None,
            answered: now,
            registered: false,
            said: (f64::NEG_INFINITY, None),
            changed: BTreeSet::new(),
            telling: BTreeSet::new(),
        }
    }
}

impl Distributor {
    /// A link to a voter is up: asks to follow it.
    pub(super) fn follow_leader(&mut self) {
        (self.upstream.under_way, self.upstream.taken) = (None, None);
        self.upstream.telling.clear();
        let (installation, process, version) = (self.installation.clone(), self.me.clone(), self.version());
        self.send_voter(ToVoter::Follow { installation, process, version });
    }

    /// Sends a beat to the voter, unless a report is due: a report is a beat, and says what it has.
    pub(super) fn send_beat_to_voter(&mut self) {
        if !self.has_to_report() {
            let version = self.version().unwrap_or_default();
            self.send_voter(ToVoter::Acknowledge { version });
        }
    }

    /// Sends to the voter, if there is a link.
    pub(super) fn send_voter(&mut self, message: ToVoter) {
        if let Some((link, _)) = self.upstream.dial.link() {
            self.actions.push(Action::SendVoter { link, message });
        }
    }

    /// That link could not be had, or has ended.
    pub fn voter_link_closed(&mut self, link: u64, now: f64) {
        self.upstream.dial.over(link, true, now);
    }

    /// A message of the voter at that link.
    pub fn receive_from_voter(&mut self, link: u64, message: FromVoter, now: f64) {
        if !self.upstream.dial.is(link) {
            return;
        }
        self.upstream.dial.heard(now);
        match message {
            FromVoter::NotLeader { leader } => {
                self.upstream.dial.over(link, false, now);
                self.actions.push(Action::CloseVoter { link });
                self.upstream.dial.hint(leader, now);
            }
            FromVoter::Rejected { .. } => {
                self.upstream.dial.over(link, true, now);
                self.actions.push(Action::CloseVoter { link });
            }
            FromVoter::Snapshot { catalog } => self.apply_snapshot(&catalog, now),
            FromVoter::ChangeSets { to, sets } => self.apply_change_sets(to, sets, now),
            FromVoter::Heartbeat { number, version, in_force } => {
                self.upstream.dial.serves();
                (self.upstream.heartbeat_echo, self.upstream.in_force) = (number, in_force);
                if self.version().is_some_and(|own| own >= version) {
                    self.upstream.current = Some(now);
                }
            }
            FromVoter::ReportAccepted { number } if number == self.upstream.number => {
                self.report_acknowledged()
            }
            FromVoter::FullReportNeeded => (self.upstream.under_way, self.upstream.taken) = (None, None),
            _ => {}
        }
        self.send_ready(now);
        self.report_if_due(now);
    }

    /// Takes a snapshot of all services, unless it is older than what there is.
    fn apply_snapshot(&mut self, bytes: &[u8], now: f64) {
        let Some(catalog) = Catalog::decode(bytes) else { return };
        // What its nodes have must never be newer than what it has.
        if self.version().is_some_and(|own| catalog.version() < own) {
            return;
        }
        let version = catalog.version();
        self.catalog = Some(catalog);
        for name in self.nodes.keys().cloned().collect::<Vec<_>>() {
            self.resume(&name);
        }
        self.upstream.current = Some(now);
        self.send_voter(ToVoter::Acknowledge { version });
    }

    /// Applies the change sets up to version `to`; after a gap the link is opened anew.
    fn apply_change_sets(&mut self, to: u64, sets: Vec<ChangeSet>, now: f64) {
        let count = sets.len();
        let first = (to + 1).saturating_sub(count as u64);
        for (version, set) in (first..).zip(sets) {
            let touched: Vec<String> = set.services.keys().cloned().collect();
            let Some(catalog) = &mut self.catalog else { return };
            if version <= catalog.version() {
                continue;
            }
            if !catalog.apply_accepted(set, version) {
                // A gap: everything anew, by a new link.
                let Some((link, _)) = self.upstream.dial.link() else { return };
                self.upstream.dial.over(link, false, now);
                return self.actions.push(Action::CloseVoter { link });
            }
            let narrows = catalog.is_restricting(version);
            self.counts.sets += 1;
            self.mark_behind(&touched, version, narrows);
        }
        if count < SETS_AT_ONCE {
            self.upstream.current = Some(now);
        }
        self.send_voter(ToVoter::Acknowledge { version: to });
    }

    /// The subscribers of these services are behind from this version on.
    fn mark_behind(&mut self, services: &[String], version: u64, narrows: bool) {
        let names: BTreeSet<String> =
            services.iter().filter_map(|service| self.interest.get(service)).flatten().cloned().collect();
        for name in names {
            let Some(node) = self.nodes.get_mut(&name) else { continue };
            node.latest = version;
            node.behind.get_or_insert(version);
            self.upstream.changed.insert(name.clone());
            self.enqueue(&name, narrows);
        }
    }
}
