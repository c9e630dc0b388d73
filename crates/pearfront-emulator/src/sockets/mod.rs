//! The play on sockets: node programs on loopback addresses, between an emulated fleet with its discovery on
//! one thread and clients on another, each on its own single-threaded runtime. They share only the start time,
//! and their records are merged at the end.

mod clients;
mod discovery;
mod fleet;
mod http_client;
mod processes;
mod servers;

use crate::record::{NodeLife, Records, RequestRecord};
use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use tokio::time::Instant;

/// Delay between all nodes being up and the start.
const START_DELAY: Duration = Duration::from_millis(500);
/// Interval at which the condition of a play is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Upper bound of the lateness histogram, us.
const MAX_LATENESS_US: u64 = 60_000_000;

/// How nodes are started, and the folder of their files.
#[derive(Debug, Clone)]
pub struct NodeCommand {
    /// Run by the shell, like `run` of the deploy file.
    pub run: String,
    pub folder: PathBuf,
}

/// Condition on the fleet's records under which a play may end early. Checked only after all troubles have
/// ended.
pub type EndCondition = fn(&Records) -> bool;

/// Clock of a play: milliseconds since its start, negative before it.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    /// Unix time of the start, ms.
    pub began: f64,
}

impl Clock {
    fn starting_in(wait: Duration) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default() + wait;
        Self { start: Instant::now() + wait, began: unix.as_secs_f64() * 1000.0 }
    }

    pub fn now(&self) -> f64 {
        let now = Instant::now();
        if now >= self.start {
            (now - self.start).as_secs_f64() * 1000.0
        } else {
            -(self.start - now).as_secs_f64() * 1000.0
        }
    }

    pub fn at(&self, ms: f64) -> Instant {
        self.start + Duration::from_secs_f64(ms.clamp(0.0, 1e10) / 1000.0)
    }
}

/// Number of plays of this process; each has its own addresses.
static PLAYS: AtomicU32 = AtomicU32::new(0);

/// Loopback addresses that no other play on this machine uses at the same time.
#[derive(Debug, Clone, Copy)]
pub struct AddressPlan {
    network: [u8; 2],
}

impl AddressPlan {
    fn new() -> Self {
        let number = PLAYS.fetch_add(1, Ordering::Relaxed);
        let [.., high, low] = std::process::id().wrapping_add(number.wrapping_mul(7919)).to_be_bytes();
        Self { network: [128 | (high & 0x7f), low] }
    }

    /// Address number `number` of a kind.
    pub fn at(&self, kind: u16, number: usize) -> SocketAddrV4 {
        let [high, low] = self.network;
        // 127.0.0.0/8 is the loopback network; the play uses part of it, with one address per number.
        let third = (number / 250) as u8 ^ low;
        SocketAddrV4::new(Ipv4Addr::new(127, high, third, 1 + (number % 250) as u8), 21_000 + kind)
    }
}

/// Kinds of addresses: servers, nodes of the first tier, servers' own nodes, and the discovery addresses of
/// both.
pub const SERVER: u16 = 0;
pub const FRONT_NODE: u16 = 1;
pub const SIDECAR: u16 = 2;
pub const FRONT_NODE_DISCOVERY: u16 = 3;
pub const SIDECAR_DISCOVERY: u16 = 4;
/// Cluster addresses of the nodes.
pub const FRONT_NODE_CLUSTER: u16 = 5;
pub const SIDECAR_CLUSTER: u16 = 6;

/// Contents of a node's configuration file.
pub fn config(scenario: &Scenario, settings: &Value, known: &[Value], seed: u64) -> Value {
    json!({"seed": format!("{seed:016x}"),
        "limits": {"memory_mb": scenario.nodes.memory_mb, "sockets": scenario.nodes.sockets},
        "known": {"generation": 1, "reset": true, "instances": known}, "settings": settings})
}

/// Like `config`, with a `cluster` section if the scenario asks for it: the node listens at `at` and uses the
/// first two nodes as seeds.
pub fn config_among(
    scenario: &Scenario,
    settings: &Value,
    known: &[Value],
    seed: u64,
    (address_plan, at): (AddressPlan, SocketAddrV4),
) -> Value {
    let mut config = config(scenario, settings, known, seed);
    if scenario.nodes.cluster {
        let seeds = [address_plan.at(FRONT_NODE_CLUSTER, 0), address_plan.at(FRONT_NODE_CLUSTER, 1)];
        config["cluster"] = json!({"installation": scenario.name, "listen": at, "seeds": seeds});
    }
    config
}

/// Records of one side of the play. Node indices refer to its own list.
pub struct SideRecords {
    pub records: Records,
    pub late: Histogram<u64>,
}

pub fn lateness() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENESS_US, 3).expect("bounds that fit")
}

fn block_on_local<T>(work: impl Future<Output = T>) -> Result<T, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| format!("runtime: {error}"))?;
    Ok(LocalSet::new().block_on(&runtime, work))
}

/// Plays the scenario in real time; `progress` is called from time to time with the share that is done.
///
/// # Errors
/// Which program or address could not be started, in one line.
pub fn play(
    scenario: &Scenario,
    seed: u64,
    command: &NodeCommand,
    progress: &mut dyn FnMut(f64),
) -> Result<Records, String> {
    play_until(scenario, seed, command, progress, None)
}

/// Like `play`, but no new requests are sent once `enough` returns true; the scenario's length is then only an upper limit.
///
/// # Errors
/// Which program or address could not be started, in one line.
pub fn play_until(
    scenario: &Scenario,
    seed: u64,
    command: &NodeCommand,
    progress: &mut dyn FnMut(f64),
    enough: Option<EndCondition>,
) -> Result<Records, String> {
    std::fs::create_dir_all(&command.folder)
        .map_err(|error| format!("{}: {error}", command.folder.display()))?;
    let address_plan = AddressPlan::new();
    let (ready, is_ready) = oneshot::channel::<Result<(), String>>();
    let (go, start_signal) = oneshot::channel::<Clock>();
    let (stop, stop_signal) = oneshot::channel::<()>();
    let (shown, is_shown) = oneshot::channel::<()>();
    let (shared, with) = (Arc::new(scenario.clone()), command.clone());
    let signals =
        fleet::Signals { ready, start_signal, enough: enough.map(|enough| (enough, shown)), stop_signal };
    let fleet_of = shared.clone();
    let side = std::thread::spawn(move || {
        let scenario = std::rc::Rc::new((*fleet_of).clone());
        block_on_local(fleet::side(scenario, seed, with, address_plan, signals))
    });
    let clients = block_on_local(async {
        let fleet_ready = is_ready.await.map_err(|_| "the fleet's thread ended early".to_string())?;
        fleet_ready?;
        let scenario = std::rc::Rc::new((*shared).clone());
        let front = clients::Front::start(scenario.clone(), seed, command, address_plan).await?;
        let clock = Clock::starting_in(START_DELAY);
        go.send(clock).map_err(|_| "the fleet's thread ended early".to_string())?;
        let seen = front.play(clock, is_shown, progress).await;
        let _ = stop.send(());
        Ok::<SideRecords, String>(seen)
    })?;
    let fleet = side.join().map_err(|_| "the fleet's thread panicked".to_string())??;
    Ok(merge(clients?, fleet?))
}

/// Merges the records of both sides: requests and attempts are joined by request id.
fn merge(clients: SideRecords, fleet: fleet::FleetRecords) -> Records {
    let mut late = clients.late;
    // Both histograms have the same bounds.
    let _ = late.add(&fleet.seen.late);
    let mut all = clients.records;
    let offset = all.nodes.len();
    let own = fleet.seen.records;
    let life_of = |node_host: usize, at: f64| -> Option<usize> {
        let name = format!("n{node_host}");
        let fits = |life: &&NodeLife| life.name == name && life.from <= at;
        let from = |life: &NodeLife| life.from;
        let last = all.nodes.iter().filter(fits).map(from).fold(f64::NEG_INFINITY, f64::max);
        all.nodes.iter().position(|life| life.name == name && life.from == last)
    };
    let mut list_updates = Vec::new();
    for (node_host, mut update) in fleet.node_host_updates {
        if let Some(life) = life_of(node_host, update.at) {
            update.node = life;
            list_updates.push(update);
        }
    }
    list_updates.extend(own.list_updates.into_iter().map(|mut update| {
        update.node += offset;
        update
    }));
    all.list_updates = list_updates;
    all.nodes.extend(own.nodes);
    let moved = |mut request: RequestRecord| {
        request.node += offset;
        request
    };
    all.requests.extend(own.requests.into_iter().map(moved));
    all.attempts = own.attempts;
    all.servers = own.servers;
    all.probes = own.probes;
    all.connections = own.connections;
    all.script.extend(own.script);
    all.script.sort_by(|a, b| a.0.total_cmp(&b.0));
    all.late = Some(late);
    all
}
