//! Durable records for processes whose promises depend on them: appended in groups, synced before they are
//! acknowledged, checksummed and chained, with snapshots that replace older records. Used by voters in
//! `pearfront-cluster`, by `pearfront store`, and by the simulations.
//!
//! The entry point is `Store`, on top of the trait `Disk`. `Folder` is a real disk. `SimDisk` loses, tears and
//! flips data, fails, ignores syncs and fills up by seed, for tests.

mod disk;
mod log;
mod sim;
mod store;

pub use disk::{Disk, Folder};
pub use log::{Entry, LogEnd, MAX_RECORD_BYTES};
pub use sim::{Fault, SimDisk};
pub use store::{Recovered, Store, StoreError, check};
