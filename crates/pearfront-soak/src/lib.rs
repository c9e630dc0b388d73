//! A randomized fault soak: node processes run among clients, servers, a discovery service and a relay of this crate, each a
//! real process on loopback. Overlapping faults are drawn from a seed (`plan`) and injected (`runner`); the records of the
//! clients, the servers, discovery and the relay are then checked against the rules (`judge`). Nothing that a node reports
//! about itself counts. Used by `pearfront soak`.

mod answer_spec;
mod client;
pub mod clock;
pub mod crowd;
mod discovery;
mod http;
pub mod judge;
pub mod node_file;
pub mod plan;
pub mod record;
mod relay;
pub mod role;
mod role_process;
pub mod runner;
mod server;
pub mod shim;
