//! Group membership after SWIM and Lifeguard: which processes of an installation are present. Used by
//! `pearfront-cluster` and by the simulations.
//!
//! The crate has no I/O, clock or runtime: datagrams, frames and times come in; datagrams, frames and changes
//! go out as `Action`s. The entry point is `Membership`.
//!
//! Das, Gupta, Motivala: SWIM (DSN 2002); Dadgar, Phillips, Currey: Lifeguard (2017). Differences from them,
//! with reasons, are in `docs/design/membership.md`.

mod core;
mod gossip;
mod isolation;
mod member;
mod message;
mod probe;
mod table;
mod times;

pub use core::{Action, Change, Counts, Destination, Identity, Membership, State};
pub use member::{Card, Member, Status, Update};
pub use message::{DecodeError, Decoded, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, decode};
pub use times::Times;
