//! Carries out a plan: starts the processes of the fleet, injects the faults at their times, and ends what it started. Used by
//! `pearfront soak`.

mod faults;
mod memory;
mod operators;

use crate::clock;
use crate::discovery::entry;
use crate::node_file::node_file;
use crate::plan::{CrowdSpec, Fleet, Plan};
use crate::record::{Lifecycle, Record, Recorder};
use crate::role::{ClientRole, DiscoveryRole, Order, RelayRole, Role, ServerRole};
use crate::role_process::{self, RoleProcess};
use crate::shim::{Control, FAULTS};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

/// Most processes, one after the other, that a node may have in a run.
const MAX_PROCESSES_PER_NODE: usize = 12;
/// How long nodes have to start before clients do.
const STARTUP_TIME: Duration = Duration::from_millis(1200);

/// The programs and the folder of a run.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The node program.
    pub node: PathBuf,
    /// The program that runs the other roles, and the argument that makes it do so.
    pub role_command: (PathBuf, String),
    /// The folder for files and records.
    pub folder: PathBuf,
    /// The fault shim's library; without one, no faults of system calls are injected.
    pub shim: Option<PathBuf>,
}

/// What happened in a run, beside its records.
#[derive(Debug, Default)]
pub struct RunSummary {
    /// Processes that were started.
    pub processes: usize,
    /// How often each fault happened.
    pub faults: BTreeMap<&'static str, u64>,
    /// Violations that the nodes logged themselves; no part of the verdict.
    pub violations: u64,
}

/// Carries out the plan and leaves the records in the folder.
///
/// # Errors
/// If a process can't be started or a file can't be written.
pub async fn run(plan: &Plan, setup: Setup) -> Result<RunSummary, String> {
    std::fs::create_dir_all(&setup.folder).map_err(|error| format!("{}: {error}", setup.folder.display()))?;
    let runner = Runner::start(plan, setup).await?;
    let watch = spawn_local(runner.clone().watch_memory());
    let begun = Instant::now();
    for (at, event) in &plan.events {
        sleep_until(begun + Duration::from_secs_f64(at / 1000.0)).await;
        runner.clone().apply(*event);
    }
    sleep_until(begun + Duration::from_secs_f64(plan.length / 1000.0)).await;
    watch.abort();
    Ok(runner.end())
}

/// One process of a node.
struct Process {
    number: u32,
    subscriber: usize,
    child: RefCell<Child>,
    file: PathBuf,
    /// The address for operators' calls.
    admin: SocketAddrV4,
    ended: Cell<bool>,
    /// It has been sent SIGTERM or SIGKILL.
    is_ending: Cell<bool>,
}

struct Node {
    listen: SocketAddrV4,
    /// The listener that its processes inherit, if they do.
    listener: Option<TcpListener>,
    processes: RefCell<Vec<Rc<Process>>>,
    processes_started: Cell<usize>,
    grace: Cell<f64>,
    has_moved: Cell<bool>,
    /// A fault that changes its processes is under way.
    busy: Cell<bool>,
    /// A drain by an operator is under way.
    operator_drain: Cell<bool>,
    control: Option<Control>,
}

struct ServerState {
    lifecycle: Lifecycle,
    started_unix: f64,
}

struct Runner {
    fleet: Fleet,
    crowds: Vec<CrowdSpec>,
    seed: u64,
    setup: Setup,
    recorder: Recorder,
    network: [u8; 2],
    nodes: Vec<Node>,
    servers: RefCell<Vec<Option<RoleProcess>>>,
    states: RefCell<Vec<ServerState>>,
    relay: RefCell<RoleProcess>,
    discovery: RefCell<RoleProcess>,
    clients: RefCell<Vec<RoleProcess>>,
    version: Cell<u64>,
    /// Number of changes of discovery's mode, by which the end of a mode knows whether another one has replaced it.
    mode_changes: Cell<u64>,
    counts: RefCell<BTreeMap<&'static str, u64>>,
    processes: Cell<usize>,
    servers_started: Cell<u32>,
}

fn pid(child: &Child) -> Option<Pid> {
    Pid::from_raw(i32::try_from(child.id()).ok()?)
}

impl Runner {
    fn address(&self, host: usize, port: u16) -> SocketAddrV4 {
        loopback_address(self.network, host, port)
    }

    fn subscriber_address(&self, subscriber: usize, second: bool) -> SocketAddrV4 {
        subscriber_address(self.network, subscriber, second)
    }

    async fn start(plan: &Plan, setup: Setup) -> Result<Rc<Self>, String> {
        let fleet = plan.fleet.clone();
        let [.., high, low] =
            std::process::id().wrapping_add((plan.seed as u32).wrapping_mul(7919)).to_be_bytes();
        let network = [128 | (high & 0x7f), low];
        let records = |name: &str| setup.folder.join(format!("{name}.jsonl"));
        let recorder = Recorder::new(&records("player")).map_err(|error| error.to_string())?;
        let server_addresses: Vec<_> = (0..fleet.servers)
            .map(|server| {
                (loopback_address(network, 101 + server, 7300), loopback_address(network, 101 + server, 7400))
            })
            .collect();
        let relay =
            RelayRole { records: records("relay"), servers: server_addresses.clone(), seed: plan.seed };
        let relay = role_process::start(&setup, &Role::Relay(relay))?;
        let discovery = DiscoveryRole {
            records: records("discovery"),
            addresses: (0..fleet.nodes * MAX_PROCESSES_PER_NODE)
                .map(|at| [false, true].map(|second| subscriber_address(network, at, second)))
                .collect(),
            servers: server_addresses.iter().map(|(relay, _)| *relay).collect(),
            whole_lists: fleet.whole_lists,
            seed: plan.seed,
        };
        let discovery = role_process::start(&setup, &Role::Discovery(discovery))?;
        let mut nodes = Vec::new();
        for node in 0..fleet.nodes {
            let listen = loopback_address(network, 1 + node, 7000);
            let listener = (node < fleet.shared_listeners).then(|| TcpListener::bind(listen)).transpose();
            let control = setup.shim.as_ref().map(|_| {
                Control::new(
                    setup.folder.join(format!("shim-{node}")),
                    plan.seed.wrapping_mul(31) + node as u64,
                )
            });
            nodes.push(Node {
                listen,
                listener: listener.map_err(|error| format!("{listen}: {error}"))?,
                processes: RefCell::default(),
                processes_started: Cell::new(0),
                grace: Cell::new(fleet.grace),
                has_moved: Cell::new(false),
                busy: Cell::new(false),
                operator_drain: Cell::new(false),
                control: control.transpose().map_err(|error| error.to_string())?,
            });
        }
        let runner = Rc::new(Self {
            seed: plan.seed,
            recorder,
            network,
            nodes,
            servers: RefCell::default(),
            states: RefCell::default(),
            relay: RefCell::new(relay),
            discovery: RefCell::new(discovery),
            clients: RefCell::default(),
            version: Cell::new(1),
            mode_changes: Cell::new(0),
            counts: RefCell::default(),
            processes: Cell::new(2),
            servers_started: Cell::new(0),
            fleet,
            crowds: plan.crowds.clone(),
            setup,
        });
        for server in 0..runner.fleet.servers {
            let role_process = runner.start_server(server)?;
            runner.servers.borrow_mut().push(Some(role_process));
            let state = ServerState { lifecycle: Lifecycle::Ready, started_unix: 0.0 };
            runner.states.borrow_mut().push(state);
            runner.publish(server, Lifecycle::Ready, 0.0);
        }
        sleep(STARTUP_TIME / 4).await;
        for node in 0..runner.fleet.nodes {
            runner.start_process(node)?;
        }
        sleep(STARTUP_TIME).await;
        runner.start_clients()?;
        Ok(runner)
    }

    fn start_server(&self, server: usize) -> Result<RoleProcess, String> {
        self.processes.set(self.processes.get() + 1);
        let number = self.servers_started.get();
        self.servers_started.set(number + 1);
        let role = ServerRole {
            records: self.setup.folder.join(format!("server-{server}-{number}.jsonl")),
            number: server,
            address: self.address(101 + server, 7400),
            serves_on: server.is_multiple_of(2),
            seed: self.seed.wrapping_mul(101) + u64::from(number),
        };
        role_process::start(&self.setup, &Role::Server(role))
    }

    fn start_clients(&self) -> Result<(), String> {
        for number in 0..self.fleet.clients {
            self.processes.set(self.processes.get() + 1);
            let role = ClientRole {
                records: self.setup.folder.join(format!("client-{number}.jsonl")),
                nodes: self.nodes.iter().map(|node| node.listen).collect(),
                rate: self.fleet.rate / self.fleet.clients as f64,
                disconnect_share: self.fleet.disconnect_share,
                deadlines: self.fleet.deadlines,
                seed: self.seed.wrapping_mul(1009) + number as u64,
            };
            self.clients.borrow_mut().push(role_process::start(&self.setup, &Role::Client(role))?);
        }
        Ok(())
    }

    fn publish(&self, server: usize, lifecycle: Lifecycle, started_unix: f64) {
        let version = self.version.get() + 1;
        self.version.set(version);
        self.states.borrow_mut()[server] = ServerState { lifecycle, started_unix };
        self.recorder.write(&Record::Change { version, server, lifecycle, at: clock::now() });
        self.discovery.borrow().order(&Order::Publish { server, version, lifecycle, started_unix });
    }

    /// The configuration of a node's process, whose known servers are those that are ready now.
    fn config(&self, node: usize, subscriber: usize) -> Value {
        let states = self.states.borrow();
        let ready = states.iter().enumerate().filter(|(_, state)| state.lifecycle == Lifecycle::Ready);
        let line = |(server, state): (usize, &ServerState)| {
            entry(server, self.address(101 + server, 7300), state.lifecycle, state.started_unix)
        };
        let known: Vec<Value> = ready.map(line).collect();
        let state = &self.nodes[node];
        let discovery_address = self.subscriber_address(subscriber, state.has_moved.get());
        let list = json!({"generation": self.version.get(), "reset": true, "instances": known});
        let mut config = node_file(&self.fleet, state.grace.get(), list, discovery_address);
        config["seed"] = json!(format!("{:x}", self.seed.wrapping_mul(77) + subscriber as u64));
        config
    }

    /// Starts another process of a node.
    fn start_process(&self, node: usize) -> Result<Rc<Process>, String> {
        let state = &self.nodes[node];
        let process_index = state.processes_started.get();
        state.processes_started.set(process_index + 1);
        state.has_moved.set(false);
        let subscriber = node * MAX_PROCESSES_PER_NODE + process_index;
        let admin = self.address(1 + node, 7500 + process_index as u16);
        let file = self.setup.folder.join(format!("node-{node}-{process_index}.json"));
        std::fs::write(&file, self.config(node, subscriber).to_string())
            .map_err(|error| error.to_string())?;
        let log = self.setup.folder.join(format!("node-{node}-{process_index}.log"));
        let log = std::fs::File::create(log).map_err(|error| error.to_string())?;
        let mut command = Command::new("sh");
        let inherits = if state.listener.is_some() { "exec \"$0\" 7<&0 </dev/null" } else { "exec \"$0\"" };
        command.args(["-c", inherits]).arg(&self.setup.node).stdout(Stdio::null()).stderr(log);
        command.env("ROUTER_NAME", format!("n{node}")).env("ROUTER_LISTEN", state.listen.to_string());
        command
            .env("ROUTER_DISCOVERY", self.subscriber_address(subscriber, false).to_string())
            .env("ROUTER_CONFIG", &file)
            .env("ROUTER_ADMIN", admin.to_string());
        command.stdin(Stdio::null());
        if let Some(listener) = &state.listener {
            let listener = listener.try_clone().map_err(|error| error.to_string())?;
            command
                .stdin(OwnedFd::from(listener))
                .env("ROUTER_INHERITED_FD", "7")
                .env("TMPDIR", &self.setup.folder);
        }
        if let (Some(shim), Some(control)) = (&self.setup.shim, &state.control) {
            command.env("LD_PRELOAD", shim).env("FAULT_SHIM", &control.path);
        }
        let child = command.spawn().map_err(|error| format!("{}: {error}", self.setup.node.display()))?;
        let number = child.id();
        self.recorder.write(&Record::Start { node, process: number, subscriber, at: clock::now() });
        self.processes.set(self.processes.get() + 1);
        let process = Rc::new(Process {
            number,
            subscriber,
            child: RefCell::new(child),
            file,
            admin,
            ended: Cell::new(false),
            is_ending: Cell::new(false),
        });
        state.processes.borrow_mut().push(process.clone());
        Ok(process)
    }

    /// Whether the process has ended; its exit is recorded once.
    fn has_ended(&self, node: usize, process: &Process) -> bool {
        if process.ended.get() {
            return true;
        }
        if let Ok(Some(status)) = process.child.borrow_mut().try_wait() {
            process.ended.set(true);
            let (by_itself, code) = (!process.is_ending.get(), status.code());
            let at = clock::now();
            self.recorder.write(&Record::Exit { node, process: process.number, at, by_itself, code });
        }
        process.ended.get()
    }

    fn signal(&self, process: &Process, signal: Signal) {
        if !process.ended.get()
            && let Some(pid) = pid(&process.child.borrow())
        {
            let _ = kill_process(pid, signal);
        }
    }

    fn count(&self, name: &'static str) {
        *self.counts.borrow_mut().entry(name).or_default() += 1;
    }

    /// The latest process of a node, if it runs and was not sent a signal to end.
    fn current(&self, node: usize) -> Option<Rc<Process>> {
        let process = self.nodes[node].processes.borrow().last().cloned()?;
        (!self.has_ended(node, &process) && !process.is_ending.get()).then_some(process)
    }

    /// Ends all processes; nodes by SIGKILL, as all requests that are due have been answered by now.
    fn end(&self) -> RunSummary {
        for (number, node) in self.nodes.iter().enumerate() {
            for process in node.processes.borrow().iter() {
                if !self.has_ended(number, process) {
                    process.is_ending.set(true);
                    self.recorder.write(&Record::Kill {
                        node: number,
                        process: process.number,
                        at: clock::now(),
                    });
                    self.signal(process, Signal::CONT);
                    self.signal(process, Signal::KILL);
                    let _ = process.child.borrow_mut().wait();
                }
            }
        }
        let mut role_processes: Vec<RoleProcess> = self.clients.borrow_mut().drain(..).collect();
        role_processes.extend(self.servers.borrow_mut().drain(..).flatten());
        for role_process in &mut role_processes {
            let _ = role_process.child.kill();
            let _ = role_process.child.wait();
        }
        for role_process in [&self.relay, &self.discovery] {
            let _ = role_process.borrow_mut().child.kill();
            let _ = role_process.borrow_mut().child.wait();
        }
        let mut faults = self.counts.borrow().clone();
        for node in &self.nodes {
            let counts = node.control.as_ref().map(Control::counts).unwrap_or_default();
            for ((_, name), count) in FAULTS.iter().zip(counts).filter(|(_, count)| *count > 0) {
                *faults.entry(name).or_default() += count;
            }
        }
        RunSummary { processes: self.processes.get(), faults, violations: violations(&self.setup.folder) }
    }
}

/// The number of violations in the logs of the nodes.
fn violations(folder: &Path) -> u64 {
    let logs = std::fs::read_dir(folder).into_iter().flatten().flatten().map(|entry| entry.path());
    let texts = logs.filter(|path| path.extension().is_some_and(|it| it == "log"));
    texts
        .filter_map(|path| std::fs::read_to_string(path).ok())
        .map(|text| text.matches("violation:").count() as u64)
        .sum()
}

fn loopback_address(network: [u8; 2], host: usize, port: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, network[0], network[1], host as u8), port)
}

/// The address at which a process of a node calls discovery: the first one, or the second once discovery has moved.
fn subscriber_address(network: [u8; 2], subscriber: usize, second: bool) -> SocketAddrV4 {
    loopback_address(network, subscriber % 200 + 1, 7100 + (subscriber / 200) as u16 * 10 + u16::from(second))
}
