//! pearfront: load balancing decisions for services that call services.

pub mod chance;
pub mod interface;
pub mod policy;
pub mod ring;
mod state;
pub mod window;
