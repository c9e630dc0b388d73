//! A distributor: holds all services in memory, fed by the voters' leader, and serves subscribed nodes. It has no vote. At most
//! one update is in flight to each node, made from the newest state when it is sent; restrictions go first.

mod delivery;
mod reports;
mod subscriptions;
mod voters;

use self::delivery::Priority;
use self::subscriptions::Subscription;
use self::voters::Upstream;
use crate::catalog::Catalog;
use crate::connector::{ConnectorAction, Peer, rank_peers};
use crate::message::{ProcessId, ToVoter};
use crate::times::Times;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What the owner of the distributor has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Open a link to that voter; it delivers messages in order.
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
    /// Send to the node at that link; an `urgent` message may go between two frames of others.
    Send {
        link: u64,
        bytes: Vec<u8>,
        urgent: bool,
    },
    Close {
        link: u64,
    },
}

/// Counters of a distributor's work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    pub change_sets: u64,
    pub updates: u64,
    pub update_bytes: u64,
    /// Updates with at least one service in full.
    pub snapshots: u64,
    pub snapshot_bytes: u64,
    pub restrictions: u64,
    pub restriction_bytes: u64,
    pub heartbeats: u64,
    pub heartbeat_bytes: u64,
    pub nodes_lost: u64,
    pub reports: u64,
}

/// A distributor's state; messages and the time come in, `Action`s go out.
pub struct Distributor {
    installation: String,
    own_id: ProcessId,
    times: Times,
    catalog: Option<Catalog>,
    upstream: Upstream,
    nodes: BTreeMap<String, Subscription>,
    node_by_link: BTreeMap<u64, String>,
    /// Names of subscribed nodes, by service.
    subscribers: BTreeMap<String, BTreeSet<String>>,
    /// Nodes with something to send, in order: priority, ticket, name.
    send_queue: BTreeSet<(Priority, u64, String)>,
    last_ticket: u64,
    /// Bytes that may be sent now under the rate limit; below 0 after a message larger than it.
    send_budget: f64,
    budget_updated_at: f64,
    /// When the next heartbeat to each node is due: time, name, session.
    heartbeat_queue: VecDeque<(f64, String, u64)>,
    /// Nodes whose link ended, and when they are removed: time, name, session.
    lost_nodes: VecDeque<(f64, String, u64)>,
    counts: Counts,
    actions: Vec<Action>,
}

impl Distributor {
    /// A distributor without state yet; it prefers the voters nearest to its zone and region.
    pub fn new(
        installation: &str,
        own_id: ProcessId,
        (zone, region): (&str, &str),
        voters: &[Peer],
        times: Times,
        (seed, now): (u64, f64),
    ) -> Self {
        let peer_names = rank_peers(&own_id.name, zone, region, voters)
            .into_iter()
            .map(|peer| peer.name.clone())
            .collect();
        let upstream = Upstream::new(peer_names, times, seed, now);
        Self {
            installation: installation.into(),
            own_id,
            times,
            catalog: None,
            upstream,
            nodes: BTreeMap::new(),
            node_by_link: BTreeMap::new(),
            subscribers: BTreeMap::new(),
            send_queue: BTreeSet::new(),
            last_ticket: 0,
            send_budget: times.burst_bytes,
            budget_updated_at: now,
            heartbeat_queue: VecDeque::new(),
            lost_nodes: VecDeque::new(),
            counts: Counts::default(),
            actions: Vec::new(),
        }
    }

    /// Actions since the last call, to be done in this order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// All services, once a voter has sent a snapshot.
    pub fn catalog(&self) -> Option<&Catalog> {
        self.catalog.as_ref()
    }

    /// Version of its catalog.
    pub fn version(&self) -> Option<u64> {
        self.catalog.as_ref().map(Catalog::version)
    }

    /// Counters since its start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Number of nodes that are connected.
    pub fn connected_nodes(&self) -> usize {
        self.node_by_link.len()
    }

    /// Time, ms, since its catalog was known to be the newest.
    pub fn age(&self, now: f64) -> Option<f64> {
        self.upstream.current_at.map(|at| now - at)
    }

    /// The version in force everywhere, by the voters' last heartbeat.
    pub fn in_force(&self) -> Option<u64> {
        self.upstream.in_force
    }

    /// Number of nodes in the send queue.
    pub fn queued_nodes(&self) -> usize {
        self.send_queue.len()
    }

    /// When `tick` has to be called at the latest, ms.
    pub fn due(&self) -> f64 {
        let next_heartbeat = self.heartbeat_queue.front().map_or(f64::INFINITY, |(at, ..)| *at);
        let lost_nodes = self.lost_nodes.front().map_or(f64::INFINITY, |(at, ..)| *at);
        let next_send = if self.send_queue.is_empty() {
            f64::INFINITY
        } else {
            self.budget_updated_at + self.budget_wait()
        };
        let report = if self.can_report() { self.report_at() } else { f64::INFINITY };
        self.upstream.connector.due().min(next_heartbeat).min(lost_nodes).min(next_send).min(report)
    }

    /// Does everything that is due.
    pub fn tick(&mut self, now: f64) {
        for action in self.upstream.connector.tick(now) {
            match action {
                ConnectorAction::Open { link, to } => {
                    self.actions.push(Action::OpenVoter { link, to });
                    self.send_follow();
                }
                ConnectorAction::Close { link } => self.actions.push(Action::CloseVoter { link }),
                ConnectorAction::Heartbeat => self.send_heartbeat_to_voter(),
            }
        }
        self.send_heartbeats(now);
        self.remove_lost_nodes(now);
        self.serve_unregistered(now);
        self.send_queued(now);
        self.report_if_due(now);
    }
}
