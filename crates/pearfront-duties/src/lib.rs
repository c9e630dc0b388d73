//! Duties that only one process may hold, or a limited number: a state machine on a replicated log (`Duties`),
//! the leader's side with its leases (`LeaseManager`), and the holder's side, which knows until when it may act
//! (`Agent`). Used by `pearfront-cluster` and by the simulations.
//!
//! The crate has no I/O: messages, log entries and times come in; messages and entries to propose go out.
//!
//! Burrows: The Chubby lock service (OSDI 2006); Gray, Cheriton: Leases (SOSP 1989); Kleppmann on fencing
//! tokens (2016). The reasons for this design are in `docs/design/duties.md`.

mod agent;
mod lease_manager;
mod message;
mod state;
mod times;

pub use agent::{Action as AgentAction, Agent, StopReason};
pub use lease_manager::{Action as ManagerAction, LeaseManager};
pub use message::{
    DutyInfo, HeldLease, HolderInfo, LeaseRequest, LeaseResponse, Order, Rank, Release, ResponseBody,
    WaitStatus, Want,
};
pub use pearfront_codec::{decode_bounded as decode, encode};
pub use state::{Change, Command, Duties, Duty, Entry, Grantee, Holder, LastRun, ProcessId};
pub use times::{MAX_DUTIES, MAX_WANTS, Times, USABLE_LEASE_SHARE};
