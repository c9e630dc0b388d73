//! Several processes of one installation that talk to one another: sockets, timers and files for the pure cores. The node
//! makes one `Cluster` from values, if its file has the key; without it nothing here runs.

mod clock;
mod cluster;
mod duties;
mod duty_service;
mod duty_view;
mod incarnation_file;
mod link;
mod links;
mod permit;
mod replica;
mod rescue;
mod settings;
mod view;
mod voter_store;

pub use cluster::Cluster;
pub use duties::Hold;
pub use duty_view::{DutiesView, HoldView, ListedView};
pub use rescue::{Rescued, rescue};
pub use settings::{DutySettings, PermitSettings, Settings, Times};
pub use view::{MemberView, View};
