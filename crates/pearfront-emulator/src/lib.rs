//! Rehearsals: an emulated fleet, its callers and its discovery in simulated or real time, and a judge who knows only
//! what these saw. `scenario` is the file, `model` the play in simulated time, `judge` what came of it.

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
