//! Who is there, as one process among many may know it: a pure core after SWIM and Lifeguard. Datagrams, frames and the
//! time come in; datagrams, frames and changes go out; no socket, clock or runtime is here. `Membership` is the way in.
//!
//! Das, Gupta, Motivala: SWIM (DSN 2002); Dadgar, Phillips, Currey: Lifeguard (2017). What differs from them, and why, is
//! in `docs/design/membership.md`.

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
