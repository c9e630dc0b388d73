//! The test cluster: several node processes of one installation, a relay for each direction of each link between them,
//! and the faults injected into both. Results come from records that are stamped by the machine's single clock.

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
