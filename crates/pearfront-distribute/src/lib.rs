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
pub use dial::{Peer, order};
pub use distributor::{Counts, Distributor, Out as DistributorOut};
pub use form::parse;
pub use message::{FromVoter, Line, No, Report, ToDistributor, ToSubscriber, ToVoter, Update, View, Who};
pub use pearfront_codec::{decode_bounded as decode, encode};
pub use pieces::{Assembler, split};
pub use registry::{Out as RegistryOut, Registry};
pub use service::{
    ChangeSet, Head, Restriction, Restricts, Server, Service, ServiceChange, ServiceUpdate, State,
};
pub use subscriber::{Config, Out as SubscriberOut, Subscriber};
pub use tally::Lag;
pub use times::{LONGEST_SET, MOST_INTERESTS, MOST_SERVERS, Times};
