//! The test cluster: several node programs of one installation, a relay of ours at each direction of each link between
//! them, and what is done to both. What came of it is read from records that are stamped by the machine's one clock.

pub mod holders;
pub mod judge;
pub mod picture;
pub mod player;
pub mod relay;
pub mod scenario;
pub mod storm;
pub mod test_cluster;
pub mod trial;

pub use test_cluster::{Program, Start, TestCluster, run};
