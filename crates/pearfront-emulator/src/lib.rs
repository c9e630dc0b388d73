//! Rehearsals: an emulated fleet, its callers and its discovery in simulated or real time, and a judge who knows only
//! what these saw. `scenario` is the file, `model` the play in simulated time, `judge` what came of it.

pub mod again;
pub mod agenda;
pub mod asks;
pub mod cores;
pub mod decide;
pub mod judge;
pub mod list;
pub mod model;
pub mod operators;
pub mod platform;
pub mod processes;
pub mod record;
pub mod repeats;
pub mod report;
pub mod scenario;
pub mod server;
pub mod sockets;
pub mod struck;
