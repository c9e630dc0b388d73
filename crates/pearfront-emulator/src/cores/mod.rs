//! Pure cores of many processes in one thread and simulated time, under the same troubles as among real ones; what must
//! always hold is looked at after every step, and one seed gives one play, to the byte.

pub mod consensus;
pub mod distribute;
pub mod duties;
pub mod exhaustive;
pub mod history;
pub mod membership;
