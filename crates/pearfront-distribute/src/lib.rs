//! Configuration and lists of servers to many nodes: change sets that voters commit (`Catalog` on `pearfront-consensus`,
//! `Registry` at whoever leads), distributors without a say (`Distributor`), and subscribers, each to the services that it
//! calls (`Subscriber`). Pure: messages, entries and times come in; messages and entries to propose go out.
//!
//! Snapshot, delta, version, acknowledgement and resume as in xDS (Envoy's discovery protocol) and etcd's watch; the choice
//! of a distributor after Thaler, Ravishankar: Using name-based mappings to increase hit rates (1998); pauses with full
//! jitter. Why it is so is in `docs/design/distribution.md`.

mod catalog;
mod dial;
mod distributor;
mod form;
mod message;
mod pieces;
mod registry;
mod service;
mod subscriber;
mod tally;
mod times;

pub use catalog::{Applied, Catalog, Command, Outcome};
pub use dial::{Peer, rank_peers};
pub use distributor::{Action as DistributorAction, Counts, Distributor};
pub use form::parse;
pub use message::{
    DistributionStatus, FromVoter, NodeStatus, ProcessId, Rejection, Report, ToDistributor, ToSubscriber,
    ToVoter, Update,
};
pub use pearfront_codec::{decode_bounded as decode, encode};
pub use pieces::{FrameAssembler, split_frames};
pub use registry::{Action as RegistryAction, Registry};
pub use service::{
    ChangeSet, Restriction, RestrictionKind, Server, ServerState, Service, ServiceChange, ServiceOptions,
    ServiceUpdate,
};
pub use subscriber::{Action as SubscriberAction, Config, Subscriber};
pub use tally::LaggingProcess;
pub use times::{MAX_CHANGE_SET_BYTES, MAX_SERVERS_PER_SERVICE, MAX_SUBSCRIBED_SERVICES, Times};
