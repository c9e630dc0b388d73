//! pearfront: load balancing decisions for services that call services.

pub mod interface;
pub mod policy;
pub mod rng;
pub mod sliding_window;
mod state;
pub mod window;
