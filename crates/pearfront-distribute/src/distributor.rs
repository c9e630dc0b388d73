//! A distributor: all services in memory, fed by whoever leads among the voters; its nodes with what each has. It has no say.
//! To each node one update is under way at most, made from the newest state when it can go; what narrows goes first.

mod delivery;
mod reports;
mod subscriptions;
mod voters;

use self::delivery::Priority;
use self::subscriptions::Subscription;
use self::voters::Upstream;
use crate::catalog::Catalog;
use crate::dial::{Peer, Step, rank_peers};
use crate::message::{ProcessId, ToVoter};
use crate::times::Times;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What has to be done outside.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Open a link to that voter; what is sent over it goes in order.
    OpenVoter {
        link: u64,
        to: String,
    },
    SendVoter {
        link: u64,
        message: ToVoter,
    },
    CloseVoter {
        link: u64,
    },
    /// To the node at that link; what is `urgent` goes between two pieces of what is not.
    Send {
        link: u64,
        bytes: Vec<u8>,
        urgent: bool,
    },
    Close {
        link: u64,
    },
}

/// What it did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    pub sets: u64,
    pub updates: u64,
    pub update_bytes: u64,
    /// Updates that hold a service whole.
    pub snapshots: u64,
    pub snapshot_bytes: u64,
    pub restricts: u64,
    pub restrict_bytes: u64,
    pub beats: u64,
    pub beat_bytes: u64,
    pub lost: u64,
    pub reports: u64,
}

/// A distributor's state; messages and the time come in, `Out` goes out.
pub struct Distributor {
    installation: String,
    me: ProcessId,
    times: Times,
    catalog: Option<Catalog>,
    upstream: Upstream,
    nodes: BTreeMap<String, Subscription>,
    links: BTreeMap<u64, String>,
    /// ProcessId wants what.
    interest: BTreeMap<String, BTreeSet<String>>,
    ready: BTreeSet<(Priority, u64, String)>,
    ticket: u64,
    /// Bytes that may go now.
    room: f64,
    filled: f64,
    /// Nodes in the order in which they are due for a beat, and in which they were lost.
    beats: VecDeque<(f64, String, u64)>,
    lost: VecDeque<(f64, String, u64)>,
    counts: Counts,
    actions: Vec<Action>,
}

impl Distributor {
    /// A distributor that has nothing yet; it asks the voters nearest to its zone and region first.
    pub fn new(
        installation: &str,
        me: ProcessId,
        (zone, region): (&str, &str),
        voters: &[Peer],
        times: Times,
        (seed, now): (u64, f64),
    ) -> Self {
        let order =
            rank_peers(&me.name, zone, region, voters).into_iter().map(|peer| peer.name.clone()).collect();
        let upstream = Upstream::new(order, times, seed, now);
        Self {
            installation: installation.into(),
            me,
            times,
            catalog: None,
            upstream,
            nodes: BTreeMap::new(),
            links: BTreeMap::new(),
            interest: BTreeMap::new(),
            ready: BTreeSet::new(),
            ticket: 0,
            room: times.burst_bytes,
            filled: now,
            beats: VecDeque::new(),
            lost: VecDeque::new(),
            counts: Counts::default(),
            actions: Vec::new(),
        }
    }

    /// What has to be done outside now, in this order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// All services, once a voter has sent them.
    pub fn catalog(&self) -> Option<&Catalog> {
        self.catalog.as_ref()
    }

    /// Version of what it has.
    pub fn version(&self) -> Option<u64> {
        self.catalog.as_ref().map(Catalog::version)
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Nodes that it has a link to.
    pub fn connected_nodes(&self) -> usize {
        self.links.len()
    }

    /// Time, ms, since what it has was the newest for certain.
    pub fn age(&self, now: f64) -> Option<f64> {
        self.upstream.current.map(|at| now - at)
    }

    /// What is in force everywhere, as the voters said last.
    pub fn in_force(&self) -> Option<u64> {
        self.upstream.in_force
    }

    /// Nodes that wait for something to be sent.
    pub fn queued_nodes(&self) -> usize {
        self.ready.len()
    }

    /// When it wants to be called at the latest, ms.
    pub fn due(&self) -> f64 {
        let beat = self.beats.front().map_or(f64::INFINITY, |(at, ..)| *at);
        let lost = self.lost.front().map_or(f64::INFINITY, |(at, ..)| *at);
        let pump = if self.ready.is_empty() { f64::INFINITY } else { self.filled + self.wait_for_room() };
        let report = if self.has_to_report() { self.report_at() } else { f64::INFINITY };
        self.upstream.dial.due().min(beat).min(lost).min(pump).min(report)
    }

    /// The time has come, or some other time has.
    pub fn tick(&mut self, now: f64) {
        for step in self.upstream.dial.tick(now) {
            match step {
                Step::Open { link, to } => {
                    self.actions.push(Action::OpenVoter { link, to });
                    self.follow_leader();
                }
                Step::Close { link } => self.actions.push(Action::CloseVoter { link }),
                Step::Beat => self.send_beat_to_voter(),
            }
        }
        self.send_beats(now);
        self.forget_lost(now);
        self.serve_alone(now);
        self.send_ready(now);
        self.report_if_due(now);
    }
}
