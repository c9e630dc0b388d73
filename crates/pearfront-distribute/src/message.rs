//! Messages between voters, distributors and nodes. Every message enters through `decode`, which checks a checksum and the
//! bounds below. Encoded with postcard, by position: the order, number and types of fields and variants are the format.

use crate::catalog::Outcome;
use crate::in_force::LaggingProcess;
use crate::service::{ChangeSet, Restriction, ServiceUpdate};
use crate::times::{MAX_NAME_BYTES, MAX_REASON_BYTES, MAX_SUBSCRIBED_SERVICES};
use pearfront_codec::Bounded;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A process between one start and its end: a restart makes a new incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProcessId {
    pub name: String,
    pub incarnation: u64,
}

/// From a node to its distributor. `session` counts the subscriptions of an incarnation; messages of another session are
/// ignored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToDistributor {
    Subscribe {
        installation: String,
        process: ProcessId,
        session: u64,
        /// The version that the node holds of all services except those in `new_services`.
        held: Option<u64>,
        services: Vec<String>,
        new_services: BTreeSet<String>,
    },
    /// That version is in force at the node.
    Acknowledge {
        session: u64,
        version: u64,
    },
    /// The node rejects that version and keeps the one before it.
    Refuse {
        session: u64,
        version: u64,
        reason: String,
    },
    /// The restrictions up to that version are in force at the node.
    AcknowledgeRestrictions {
        session: u64,
        version: u64,
    },
    Heartbeat {
        session: u64,
    },
    /// The node is shutting down and makes no further decisions.
    Leave {
        session: u64,
    },
}

/// Changes from version `from` to version `to`; a full snapshot if `from` is none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Update {
    pub from: Option<u64>,
    pub to: u64,
    pub services: BTreeMap<String, ServiceUpdate>,
}

/// Why a distributor does not serve a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejection {
    /// The node belongs to another installation.
    WrongInstallation,
    /// The sender has no state yet, or an older version than the node.
    Behind { version: u64 },
    /// The distributor serves as many nodes as it can.
    Full,
}

/// From a distributor to a node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToSubscriber {
    /// `age`: time in ms since version `to` was known to be the newest.
    Update {
        session: u64,
        update: Update,
        age: f64,
    },
    /// Restrictions up to version `to`, sent ahead of the update.
    Restrict {
        session: u64,
        to: u64,
        all: Vec<Restriction>,
    },
    /// `unchanged`: none of the node's services changed from the first version to the second. `age` as above.
    Heartbeat {
        session: u64,
        unchanged: Option<(u64, u64)>,
        age: f64,
    },
    Rejected {
        session: u64,
        reason: Rejection,
    },
}

/// A node's state in a distributor's report to the voters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    pub incarnation: u64,
    pub session: u64,
    /// The version that is known to be in force at the node, if it is behind the distributor's.
    pub lagging_version: Option<u64>,
    /// A version that the node rejected, and the reason.
    pub refused: Option<(u64, String)>,
    /// Is the node connected to the distributor?
    pub linked: bool,
}

/// A distributor's report to the voters: changes since the report with number `base`, or everything if that is none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub number: u64,
    pub base: Option<u64>,
    /// Number of the last heartbeat that the distributor received.
    pub heartbeat_echo: u64,
    pub version: u64,
    /// None: the node left, or was silent for `Times::gone_after_ms`.
    pub nodes: BTreeMap<String, Option<NodeStatus>>,
}

/// From a distributor, a writer of changes or an operator to a voter.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToVoter {
    /// A distributor asks to be fed from version `version` on.
    Follow {
        installation: String,
        process: ProcessId,
        version: Option<u64>,
    },
    /// The distributor has that version.
    Acknowledge {
        version: u64,
    },
    Report(Report),
    Submit(ChangeSet),
    /// Asks for `FromVoter::Status`.
    QueryStatus,
}

/// The state of distribution, for operators.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DistributionStatus {
    pub version: u64,
    /// The version in force at every node; none if this leader has not had reports from all distributors yet.
    pub in_force: Option<u64>,
    pub nodes: usize,
    pub lagging: Vec<LaggingProcess>,
    /// Distributors and their versions; none: no report yet.
    pub distributors: BTreeMap<String, Option<u64>>,
}

/// From a voter to a distributor, a writer of changes or an operator.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FromVoter {
    /// This voter does not lead; `leader` is the one that does, if it is known.
    NotLeader {
        leader: Option<String>,
    },
    /// The distributor is of another installation, or has a newer version than the voter.
    Rejected {
        reason: Rejection,
    },
    /// The whole encoded catalog.
    Snapshot {
        catalog: Vec<u8>,
    },
    /// Consecutive change sets, one version each; the last makes version `to`.
    ChangeSets {
        to: u64,
        sets: Vec<ChangeSet>,
    },
    /// `version` is the newest one, `in_force` the one that is in force at every node, if known.
    Heartbeat {
        number: u64,
        version: u64,
        in_force: Option<u64>,
    },
    ReportAccepted {
        number: u64,
    },
    /// The report's `base` is not the last report that arrived: a full one is needed.
    FullReportNeeded,
    /// What became of a submitted change set.
    Outcome {
        number: String,
        outcome: Outcome,
    },
    Status(DistributionStatus),
}

fn is_valid_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
}

impl Bounded for ToDistributor {
    fn is_bounded(&self) -> bool {
        match self {
            Self::Subscribe { installation, process, services, new_services, .. } => {
                let few = services.len() <= MAX_SUBSCRIBED_SERVICES && new_services.len() <= services.len();
                few && is_valid_name(installation)
                    && is_valid_name(&process.name)
                    && services.iter().all(|name| is_valid_name(name))
            }
            Self::Refuse { reason, .. } => reason.len() <= MAX_REASON_BYTES,
            _ => true,
        }
    }
}

impl Bounded for ToSubscriber {
    fn is_bounded(&self) -> bool {
        match self {
            Self::Heartbeat { age, .. } => age.is_finite() && *age >= 0.0,
            Self::Update { update, age, .. } => {
                age.is_finite() && update.services.len() <= MAX_SUBSCRIBED_SERVICES
            }
            _ => true,
        }
    }
}

impl Bounded for ToVoter {
    fn is_bounded(&self) -> bool {
        match self {
            Self::Follow { installation, process, .. } => {
                is_valid_name(installation) && is_valid_name(&process.name)
            }
            Self::Report(report) => report.nodes.keys().all(|name| is_valid_name(name)),
            Self::Submit(set) => set.check().is_ok(),
            _ => true,
        }
    }
}

impl Bounded for FromVoter {
    fn is_bounded(&self) -> bool {
        true
    }
}
