//! What goes between voters, distributors and nodes. `decode` is the only way in, and takes nothing on trust.

use crate::catalog::Outcome;
use crate::service::{ChangeSet, Restriction, ServiceUpdate};
use crate::tally::LaggingProcess;
use crate::times::{LONGEST_NAME, LONGEST_REASON, MAX_SUBSCRIBED_SERVICES};
use pearfront_codec::Bounded;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// One life of a process: after a restart it is another.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProcessId {
    pub name: String,
    pub incarnation: u64,
}

/// From a node to its distributor. `session` counts a life's subscriptions: what is of another one is void.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToDistributor {
    Subscribe {
        installation: String,
        process: ProcessId,
        session: u64,
        /// The version that it has of all services but those in `fresh`.
        held: Option<u64>,
        services: Vec<String>,
        new_services: BTreeSet<String>,
    },
    /// That version is in force.
    Acknowledge {
        session: u64,
        version: u64,
    },
    /// That version is not, and what was before it is.
    Refuse {
        session: u64,
        version: u64,
        reason: String,
    },
    /// What narrowed up to there is in force.
    AcknowledgeRestrictions {
        session: u64,
        version: u64,
    },
    Heartbeat {
        session: u64,
    },
    /// The node ends, and decides nothing any more.
    Leave {
        session: u64,
    },
}

/// Leads from version `from`, from nothing if there is none, to version `to`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Update {
    pub from: Option<u64>,
    pub to: u64,
    pub services: BTreeMap<String, ServiceUpdate>,
}

/// Why a distributor does not serve a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejection {
    /// It belongs to another installation.
    WrongInstallation,
    /// It has nothing itself, or is behind the node.
    Behind { version: u64 },
    /// It has as many as it can serve.
    Full,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToSubscriber {
    /// `age`: the time, ms, since version `to` was the newest for certain.
    Update {
        session: u64,
        update: Update,
        age: f64,
    },
    /// What narrowed up to that version, ahead of the update.
    Restrict {
        session: u64,
        to: u64,
        all: Vec<Restriction>,
    },
    /// Nothing of the node's changed from the first version to the second, if they are there; `age` as above.
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

/// A node, as its distributor tells the voters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    pub incarnation: u64,
    pub session: u64,
    /// The version that it has in force for certain, if that is not the distributor's.
    pub lagging_version: Option<u64>,
    /// A version that it refused, and why.
    pub refused: Option<(u64, String)>,
    /// Is there a link to it?
    pub linked: bool,
}

/// What changed since the report with number `after`, or everything if that is none.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    pub number: u64,
    pub base: Option<u64>,
    /// The last beat that came.
    pub heartbeat_echo: u64,
    pub version: u64,
    /// None: it left, or was not heard for the stated time.
    pub nodes: BTreeMap<String, Option<NodeStatus>>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToVoter {
    Follow {
        installation: String,
        process: ProcessId,
        version: Option<u64>,
    },
    Acknowledge {
        version: u64,
    },
    Report(Report),
    Submit(ChangeSet),
    /// How far is what, and who lags?
    QueryStatus,
}

/// What operators are shown.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DistributionStatus {
    pub version: u64,
    /// None: not known, because this leader has not heard all distributors yet.
    pub in_force: Option<u64>,
    pub nodes: usize,
    pub lagging: Vec<LaggingProcess>,
    /// Distributors and their versions; none: not heard yet.
    pub distributors: BTreeMap<String, Option<u64>>,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FromVoter {
    /// Another voter leads, or nobody that this one knows of.
    NotLeader {
        leader: Option<String>,
    },
    /// It is of another installation, or from the future.
    Rejected {
        reason: Rejection,
    },
    Snapshot {
        catalog: Vec<u8>,
    },
    /// Sets that lead to version `to`, each one version.
    ChangeSets {
        to: u64,
        sets: Vec<ChangeSet>,
    },
    /// `version` is the newest; what is in force everywhere, if that is known.
    Heartbeat {
        number: u64,
        version: u64,
        in_force: Option<u64>,
    },
    ReportAccepted {
        number: u64,
    },
    /// It did not fit what came before: all of it is needed.
    FullReportNeeded,
    Outcome {
        number: String,
        outcome: Outcome,
    },
    Status(DistributionStatus),
}

fn is_name(name: &str) -> bool {
    (1..=LONGEST_NAME).contains(&name.len())
}

impl Bounded for ToDistributor {
    fn is_bounded(&self) -> bool {
        match self {
            Self::Subscribe { installation, process, services, new_services, .. } => {
                let few = services.len() <= MAX_SUBSCRIBED_SERVICES && new_services.len() <= services.len();
                few && is_name(installation)
                    && is_name(&process.name)
                    && services.iter().all(|name| is_name(name))
            }
            Self::Refuse { reason, .. } => reason.len() <= LONGEST_REASON,
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
            Self::Follow { installation, process, .. } => is_name(installation) && is_name(&process.name),
            Self::Report(report) => report.nodes.keys().all(|name| is_name(name)),
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
