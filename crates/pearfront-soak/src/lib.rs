//! A randomized fault soak: node processes among clients, servers, discovery and a relay of our own, each a real process on
//! loopback. Faults that overlap are drawn by seed (`plan`), played (`player`), and what clients, servers and the relay
//! between wrote down is held against the rules (`judge`). Nothing that a node says of itself counts.

mod answer_spec;
mod client;
pub mod clock;
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
