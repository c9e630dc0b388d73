//! pearfront: load balancing decisions for services that call services. The crate holds the decision module alone,
//! without sockets, clocks or files: the node, the simulator's adapter, the emulator and the scale measurements embed it.

pub mod interface;
pub mod policy;
pub mod rng;
pub mod sliding_window;
mod state;
pub mod window;
