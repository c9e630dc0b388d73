//! A small replicated log among 3 or 5 named voters, after Raft: elections with pre-vote and check of quorum, reads that
//! are linearizable, snapshots in pieces, and voters that forgot. Pure: messages, times and what was stored come in;
//! messages, records to store and what is committed go out. `Voter` is the way in.
//!
//! Ongaro: Consensus: Bridging Theory and Practice (2014); Alagappan and others: Protocol-Aware Recovery (FAST 2018). What
//! differs, and why, is in `docs/design/consensus.md`.

mod election;
mod message;
mod recovery;
mod replication;
mod times;
mod voter;

pub use message::{Entry, Message, Record, decode, decode_record, decode_records, encode_records};
pub use times::Times;
pub use voter::{Action, PersistentState, Role, Voter, recover};
