//! Records on disk, for those who promise something on their strength: appended in groups, synced before they are
//! acknowledged, each checked and chained to the one before it, with snapshots that replace what came before.
//!
//! `Store` is the way in, `Disk` the seam below it: `Folder` is a real one, `SimDisk` one that loses, tears, turns bits,
//! fails, lies, stalls and fills up by seed, for tests of whoever stores.

mod disk;
mod log;
mod sim;
mod store;

pub use disk::{Disk, Folder};
pub use log::{Entry, LogEnd, MAX_RECORD_BYTES};
pub use sim::{Fault, SimDisk};
pub use store::{Recovered, Store, StoreError, check};
