//! Connects the processes of one installation: sockets, timers and files for the cores of membership, consensus
//! and duties, which have no I/O. The node creates one `Cluster` if its configuration has the key `cluster`;
//! without it none of this runs.

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
