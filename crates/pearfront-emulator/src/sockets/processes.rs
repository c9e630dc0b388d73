//! Node processes: started by the command of the deploy file, signalled, killed. Signals go only to processes
//! started here.

use super::NodeCommand;
use serde_json::Value;
use std::net::{SocketAddr, SocketAddrV4};
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout};

/// Start-up time-out of a node.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Poll interval while waiting for start-up.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

pub struct Process {
    name: String,
    child: Child,
    address: SocketAddrV4,
}

/// Signals sent by the script.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    Term,
    Hup,
}

impl NodeCommand {
    /// Starts a program under the given name; its configuration file and its log, which is appended to over
    /// restarts, are in the folder.
    pub fn spawn(
        &self,
        name: &str,
        listen: SocketAddr,
        discovery: SocketAddr,
        config: &Value,
    ) -> Result<Child, String> {
        let file = self.folder.join(format!("{name}.json"));
        let problem = |what: &std::path::Path, error: std::io::Error| format!("{}: {error}", what.display());
        std::fs::write(&file, config.to_string()).map_err(|error| problem(&file, error))?;
        let log = self.folder.join(format!("{name}.log"));
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&log)
            .map_err(|error| problem(&log, error))?;
        Command::new("/bin/sh")
            .arg("-c")
            .arg(&self.run)
            .env("ROUTER_NAME", name)
            .env("ROUTER_LISTEN", listen.to_string())
            .env("ROUTER_DISCOVERY", discovery.to_string())
            .env("ROUTER_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(|error| format!("{}: {error}", self.run))
    }
}

impl Process {
    pub fn start(
        command: &NodeCommand,
        name: &str,
        address: SocketAddrV4,
        discovery: SocketAddrV4,
        config: &Value,
    ) -> Result<Self, String> {
        let child = command.spawn(name, address.into(), discovery.into(), config)?;
        Ok(Self { name: name.into(), child, address })
    }

    /// Waits until the node reports that it is up.
    pub async fn up(&mut self) -> Result<(), String> {
        let looks = async {
            while !reports_up(self.address).await {
                if let Ok(Some(status)) = self.child.try_wait() {
                    return Err(format!("node {} ended at its start: {status}", self.name));
                }
                sleep(POLL_INTERVAL).await;
            }
            Ok(())
        };
        timeout(START_TIMEOUT, looks).await.map_err(|_| format!("node {} did not come up", self.name))?
    }

    pub fn signal(&self, signal: Signal) {
        let id = self.child.id().and_then(|id| rustix::process::Pid::from_raw(id as i32));
        let signal = match signal {
            Signal::Term => rustix::process::Signal::TERM,
            Signal::Hup => rustix::process::Signal::HUP,
        };
        if let Some(Err(error)) = id.map(|id| rustix::process::kill_process(id, signal)) {
            log::warn!(node = self.name.as_str(); "signal: {error}");
        }
    }

    pub async fn kill(&mut self) {
        if let Err(error) = self.child.kill().await {
            log::warn!(node = self.name.as_str(); "kill: {error}");
        }
    }

    /// Waits until the process has exited.
    pub async fn ended(&mut self) {
        let _ = self.child.wait().await;
    }
}

pub async fn reports_up(address: SocketAddrV4) -> bool {
    let ask = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(b"GET /up HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n").await.ok()?;
        let mut head = [0; 12];
        stream.read_exact(&mut head).await.ok()?;
        Some(head.ends_with(b" 200"))
    };
    timeout(Duration::from_secs(1), ask).await.ok().flatten().unwrap_or(false)
}
