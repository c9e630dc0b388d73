//! The processes of a soak that are not nodes, as the runner starts them and gives them orders.

use crate::role::{Order, Role};
use crate::runner::Setup;
use std::process::{Child, Command, Stdio};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::task::spawn_local;

/// A running process with a role.
pub struct RoleProcess {
    pub child: Child,
    orders: UnboundedSender<Vec<u8>>,
}

impl RoleProcess {
    /// Sends the process an order.
    pub fn order(&self, order: &Order) {
        let mut line = serde_json::to_vec(order).expect("orders are plain");
        line.push(b'\n');
        let _ = self.orders.send(line);
    }
}

/// Starts a process with a role.
pub fn start(setup: &Setup, role: &Role) -> Result<RoleProcess, String> {
    let (program, argument) = &setup.role_command;
    let mut child = Command::new(program)
        .arg(argument)
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .spawn()
        .map_err(|error| format!("{}: {error}", program.display()))?;
    let mut input = child.stdin.take().ok_or("no standard input")?;
    let (orders, mut lines) = unbounded_channel::<Vec<u8>>();
    let mut line = serde_json::to_vec(role).map_err(|error| error.to_string())?;
    line.push(b'\n');
    let _ = orders.send(line);
    spawn_local(async move {
        use std::io::Write;
        // The lines are few and short, so the pipe takes them without blocking.
        while let Some(line) = lines.recv().await {
            if input.write_all(&line).is_err() {
                return;
            }
        }
    });
    Ok(RoleProcess { child, orders })
}
