//! What the measurements among real sockets share: addresses on loopback, real node programs, processor time and
//! descriptors by role, and how late this process itself was.

use hdrhistogram::Histogram;
use serde_json::Value;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep_until};

/// How often the rig's own clock is looked at.
const LOOK: Duration = Duration::from_millis(10);
/// Where the node program is, if not beside this one.
const NODE: &str = "PEARFRONT_NODE";

/// Runs on one thread, as a node does.
///
/// # Errors
/// No runtime, or what the work says.
pub fn on_one_thread<T>(work: impl Future<Output = Result<T, String>>) -> Result<T, String> {
    let runtime = Builder::new_current_thread().enable_all().build().map_err(|error| error.to_string())?;
    LocalSet::new().block_on(&runtime, work)
}

/// The node program: the one that is named, or the one beside this program.
///
/// # Errors
/// There is none.
pub fn program() -> Result<PathBuf, String> {
    let beside = || std::env::current_exe().ok().map(|own| own.with_file_name("pearfront-node"));
    let program = std::env::var_os(NODE).map(PathBuf::from).or_else(beside);
    let program = program.filter(|program| program.exists());
    program.ok_or(format!("no node program beside this one ({NODE} names another)"))
}

/// A loopback address of this process's own: a network by the process's number, a host by its place.
pub fn place(kind: u16, number: usize) -> SocketAddrV4 {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let (network, host) = (64 | high & 31 | (low & 1) << 5, number % 250 + 1);
    let port = 20_000 + kind * 100 + (number / 250) as u16;
    SocketAddrV4::new(Ipv4Addr::new(127, network, low, host as u8), port)
}

/// A real node program; ended with this value.
pub struct Node {
    child: Child,
    file: PathBuf,
}

impl Node {
    /// # Errors
    /// No such program, or its file can't be written.
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

    pub fn kill(&mut self) {
        // One that has ended already is as good.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Processor time so far, s.
    pub fn cpu(&self) -> f64 {
        cpu_of(self.child.id())
    }

    /// Resident memory, MB.
    pub fn memory_mb(&self) -> f64 {
        memory_of(self.child.id())
    }

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

fn cpu_of(process: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let after = stat.rsplit_once(") ").map_or("", |(_, after)| after);
    let ticks = |place: usize| after.split(' ').nth(place).and_then(|field| field.parse::<f64>().ok());
    let ticks = ticks(11).zip(ticks(12)).map_or(f64::NAN, |(user, system)| user + system);
    ticks / rustix::param::clock_ticks_per_second() as f64
}

fn memory_of(process: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().next()).and_then(|word| word.parse::<f64>().ok());
    kb.map_or(f64::NAN, |kb| kb / 1024.0)
}

/// Open descriptors of a process; `self` is this one.
pub fn descriptors_of(process: &str) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, Iterator::count)
}

/// How late this process was with its own timers, ms, until `over`.
///
/// # Errors
/// No room for the figures.
pub async fn lateness(over: Instant) -> Result<Histogram<u64>, String> {
    let mut late = Histogram::new_with_bounds(1, 60_000_000, 3).map_err(|error| error.to_string())?;
    let mut next = Instant::now() + LOOK;
    while next < over {
        sleep_until(next).await;
        let now = Instant::now();
        late.saturating_record((now - next).as_micros() as u64);
        next = now + LOOK;
    }
    Ok(late)
}
