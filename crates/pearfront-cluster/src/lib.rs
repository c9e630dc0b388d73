//! Several processes of one installation that talk to one another: sockets, timers and files for the pure cores. The node
//! makes one `Cluster` from values, if its file has the key; without it nothing here runs.

mod clock;
mod drive;
mod folder;
mod link;
mod links;
mod settings;
mod view;

pub use drive::Cluster;
pub use settings::{Settings, Times};
pub use view::{MemberView, View};
