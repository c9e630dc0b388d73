//! A replicated log among 3 or 5 named voters, after Raft: elections with pre-vote and check-quorum,
//! linearizable reads, snapshots sent in chunks, and recovery of voters that lost data. Used by
//! `pearfront-cluster` and by the simulations.
//!
//! The crate has no I/O: messages, times and completed writes come in; messages, records to store and committed
//! entries go out as `Action`s. The entry point is `Voter`.
//!
//! Ongaro: Consensus: Bridging Theory and Practice (2014); Alagappan and others: Protocol-Aware Recovery (FAST
//! 2018). Differences from them, with reasons, are in `docs/design/consensus.md`.

mod election;
mod message;
mod recovery;
mod replication;
mod times;
mod voter;

pub use message::{Entry, Message, Record, decode, decode_record, decode_records, encode_records};
pub use times::Times;
pub use voter::{Action, PersistentState, Role, Voter, recover};
