//! A randomized fault soak: node processes among clients, servers, discovery and a relay of our own, each a real process on
//! loopback. Faults that overlap are drawn by seed (`plan`), played (`player`), and what clients, servers and the relay
//! between wrote down is held against the rules (`judge`). Nothing that a node says of itself counts.

mod client;
pub mod clock;
mod discovery;
mod helper;
mod http;
pub mod judge;
pub mod node_file;
pub mod plan;
pub mod player;
pub mod record;
mod relay;
pub mod role;
mod server;
pub mod shim;
mod wish;
