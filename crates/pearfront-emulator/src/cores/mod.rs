//! Deterministic simulation of the pure protocol cores of many processes, in one thread and simulated time, under the same
//! faults as among real processes. Invariants are checked after every step, and a seed reproduces a run to the byte.

pub mod consensus;
pub mod distribute;
pub mod duties;
pub mod exhaustive;
pub mod history;
pub mod membership;
