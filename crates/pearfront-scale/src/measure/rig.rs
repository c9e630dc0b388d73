//! Shared by the measurements on real sockets (`hollow`, `chain`): loopback addresses, real node processes with their processor
//! time, memory and descriptors, and the timer lateness of the measuring process.

use hdrhistogram::Histogram;
use serde_json::Value;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep_until};

/// Interval of the timer that measures the lateness of this process.
const LATENESS_INTERVAL: Duration = Duration::from_millis(10);
/// Environment variable with the path of the node program, if it is not next to this program.
const NODE_PROGRAM_VARIABLE: &str = "PEARFRONT_NODE";

/// Runs a future on a single thread, as a node does.
///
/// # Errors
/// The runtime can't be built, or the error of the future.
pub fn on_one_thread<T>(work: impl Future<Output = Result<T, String>>) -> Result<T, String> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(|error| error.to_string())?;
    LocalSet::new().block_on(&runtime, work)
}

/// Path of the node program: from the environment variable, or next to this program.
///
/// # Errors
/// The program does not exist.
pub fn node_program() -> Result<PathBuf, String> {
    let next_to_this_program =
        || std::env::current_exe().ok().map(|this_program| this_program.with_file_name("pearfront-node"));
    let program = std::env::var_os(NODE_PROGRAM_VARIABLE).map(PathBuf::from).or_else(next_to_this_program);
    let program = program.filter(|program| program.exists());
    program.ok_or(format!("no node program next to this one; set {NODE_PROGRAM_VARIABLE} to its path"))
}

/// A loopback address that only this process uses: the network comes from the process id, the host from `number`. Each
/// `port_group` is a range of 100 ports, so that addresses for different purposes do not collide.
pub fn loopback_address(port_group: u16, number: usize) -> SocketAddrV4 {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let (network, host) = (64 | high & 31 | (low & 1) << 5, number % 250 + 1);
    let port = 20_000 + port_group * 100 + (number / 250) as u16;
    SocketAddrV4::new(Ipv4Addr::new(127, network, low, host as u8), port)
}

/// A running node process; killed when dropped.
pub struct Node {
    child: Child,
    file: PathBuf,
}

impl Node {
    /// Writes the node's configuration file and starts the program.
    ///
    /// # Errors
    /// The program can't be started, or its file can't be written.
    pub fn start(
        program: &Path,
        name: &str,
        listen: SocketAddrV4,
        discovery: SocketAddrV4,
        config: &Value,
    ) -> Result<Self, String> {
        let file = std::env::temp_dir().join(format!("pearfront-scale-{}-{name}.json", std::process::id()));
        std::fs::write(&file, config.to_string()).map_err(|error| format!("{}: {error}", file.display()))?;
        let child = Command::new(program)
            .env("ROUTER_NAME", name)
            .env("ROUTER_LISTEN", listen.to_string())
            .env("ROUTER_DISCOVERY", discovery.to_string())
            .env("ROUTER_CONFIG", &file)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| format!("{}: {error}", program.display()))?;
        Ok(Self { child, file })
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // Fails if the process has ended already, which is fine.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Processor time used, s.
    pub fn cpu(&self) -> f64 {
        cpu_of(self.child.id())
    }

    /// Resident memory, MB.
    pub fn memory_mb(&self) -> f64 {
        memory_of(self.child.id())
    }

    /// Number of open file descriptors.
    pub fn descriptors(&self) -> usize {
        descriptors_of(&self.child.id().to_string())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.file);
    }
}

fn cpu_of(process_id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process_id}/stat")).unwrap_or_default();
    let fields = stat.rsplit_once(") ").map_or("", |(_, fields)| fields);
    let ticks = |index: usize| fields.split(' ').nth(index).and_then(|field| field.parse::<f64>().ok());
    let ticks = ticks(11).zip(ticks(12)).map_or(f64::NAN, |(user, system)| user + system);
    ticks / rustix::param::clock_ticks_per_second() as f64
}

fn memory_of(process_id: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().next()).and_then(|word| word.parse::<f64>().ok());
    kb.map_or(f64::NAN, |kb| kb / 1024.0)
}

/// Number of open file descriptors of a process id; `self` is this process.
pub fn descriptors_of(process_id: &str) -> usize {
    std::fs::read_dir(format!("/proc/{process_id}/fd")).map_or(0, Iterator::count)
}

/// Lateness of this process's own timers until `end`, in microseconds.
///
/// # Errors
/// The histogram can't be created.
pub async fn lateness(end: Instant) -> Result<Histogram<u64>, String> {
    let mut lateness = Histogram::new_with_bounds(1, 60_000_000, 3).map_err(|error| error.to_string())?;
    let mut next = Instant::now() + LATENESS_INTERVAL;
    while next < end {
        sleep_until(next).await;
        let now = Instant::now();
        lateness.saturating_record((now - next).as_micros() as u64);
        next = now + LATENESS_INTERVAL;
    }
    Ok(lateness)
}
