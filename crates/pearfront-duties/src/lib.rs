//! Duties that one process alone may hold, or so many at a time: a state machine on a replicated log (`Duties`), the
//! leader's side with its leases (`Desk`), and the holder's side, which knows until when it may act (`Agent`). Pure:
//! messages, entries and times come in; messages and entries to propose go out.
//!
//! Burrows: The Chubby lock service (OSDI 2006); Gray, Cheriton: Leases (SOSP 1989); Kleppmann on fencing tokens (2016).
//! Why it is so is in `docs/design/duties.md`.

mod agent;
mod desk;
mod message;
mod state;
mod times;

pub use agent::{Agent, Out as AgentOut, Why};
pub use desk::{Desk, Out as DeskOut};
pub use message::{Answer, Ask, Held, Listed, Order, Over, Standing, Taken, Told, Waits, Want};
pub use pearfront_codec::{decode_bounded as decode, encode};
pub use state::{Change, Command, Duties, Duty, Entry, Grantee, Holder, Ran, Who};
pub use times::{MOST_DUTIES, MOST_WANTS, SHARE, Times};
