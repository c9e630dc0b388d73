//! Distribution of configuration and server lists to many nodes: change sets that voters commit (`Catalog` on
//! `pearfront-consensus`, `Registry` at the leader), distributors that have no vote (`Distributor`), and subscribers, each to
//! the services that it calls (`Subscriber`). Sans-I/O: messages, log entries and times come in; actions (messages to send,
//! entries to propose, links to open) go out. A *link* is a connection between two processes that delivers in order.
//!
//! Snapshots, deltas, versions, acknowledgements and resumption work as in xDS (Envoy's discovery protocol) and etcd's watch;
//! distributors are chosen after Thaler, Ravishankar: Using name-based mappings to increase hit rates (1998); reconnects use
//! full jitter. The design is explained in `docs/design/distribution.md`.

mod catalog;
mod connector;
mod distributor;
mod form;
mod framing;
mod in_force;
mod message;
mod registry;
mod service;
mod subscriber;
mod times;

pub use catalog::{Applied, Catalog, Command, Outcome};
pub use connector::{Peer, rank_peers};
pub use distributor::{Action as DistributorAction, Counts, Distributor};
pub use form::parse;
pub use framing::{FrameAssembler, split_frames};
pub use in_force::LaggingProcess;
pub use message::{
    DistributionStatus, FromVoter, NodeStatus, ProcessId, Rejection, Report, ToDistributor, ToSubscriber,
    ToVoter, Update,
};
pub use pearfront_codec::{decode_bounded as decode, encode};
pub use registry::{Action as RegistryAction, Registry};
pub use service::{
    ChangeSet, Restriction, RestrictionKind, Server, ServerState, Service, ServiceChange, ServiceOptions,
    ServiceUpdate,
};
pub use subscriber::{Action as SubscriberAction, Config, Subscriber};
pub use times::{MAX_CHANGE_SET_BYTES, MAX_SERVERS_PER_SERVICE, MAX_SUBSCRIBED_SERVICES, Times};
