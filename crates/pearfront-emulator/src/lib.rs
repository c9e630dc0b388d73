//! Rehearsals: an emulated fleet with clients and discovery, in simulated or real time, and a judge that sees
//! only their records. `scenario` is the scenario file, `model` the play in simulated time, `sockets` the play
//! in real time, `judge` the evaluation.

pub mod active_troubles;
pub mod cores;
pub mod decide;
pub mod dedup;
pub mod event_queue;
pub mod judge;
pub mod list;
pub mod model;
pub mod operators;
pub mod platform;
pub mod processes;
pub mod record;
pub mod report;
pub mod scenario;
pub mod server;
pub mod sockets;
pub mod void_plays;
pub mod workload;
