//! Several processes of one installation that talk to one another: sockets, timers and files for the pure cores. The node
//! makes one `Cluster` from values, if its file has the key; without it nothing here runs.

mod board;
mod clock;
mod disk;
mod drive;
mod duties;
mod duty_view;
mod folder;
mod link;
mod links;
mod permit;
mod rescue;
mod seat;
mod settings;
mod view;

pub use drive::Cluster;
pub use duties::Hold;
pub use duty_view::{DutiesView, HoldView, ListedView};
pub use rescue::{Rescued, rescue};
pub use settings::{DutySettings, PermitSettings, Settings, Times};
pub use view::{MemberView, View};
