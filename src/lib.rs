//! pearfront: load balancing decisions for services that call services.

pub mod interface;
pub mod policy;
pub mod ring;
pub mod rng;
mod state;
pub mod window;
