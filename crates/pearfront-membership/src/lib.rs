//! Who is there, as one process among many may know it: a pure core after SWIM and Lifeguard. Datagrams, frames and the
//! time come in; datagrams, frames and changes go out; no socket, clock or runtime is here. `Membership` is the way in.
//!
//! Das, Gupta, Motivala: SWIM (DSN 2002); Dadgar, Phillips, Currey: Lifeguard (2017). What differs from them, and why, is
//! in `docs/design/membership.md`.

mod core;
mod deafness;
mod member;
mod message;
mod probe;
mod spread;
mod table;
mod times;

pub use core::{Change, Counts, Identity, Membership, Out, State, To};
pub use member::{Card, Member, News, Standing};
pub use message::{Decoded, LONGEST_DATAGRAM, LONGEST_FRAME, Refusal, decode};
pub use times::Times;
