//! Starts the node processes, relays the traffic between them and injects the faults that a scenario or test requests.
//! Everything runs on one thread with its own runtime; the processes are ended with it.

use super::relay::{Relay, Way, Weather};
use crate::operators;
use crate::sockets::NodeCommand;
use hdrhistogram::Histogram;
use rand::prelude::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use serde::Deserialize;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::process::Child;
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Interval at which each process's view is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time-out of a call to an admin address.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Time-out for a process to come up, and to end after SIGTERM.
const START_STOP_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of ports used on each IP address.
const PORTS: usize = 200;
/// Largest number of processes in a test cluster.
pub const MOST: usize = 32;

/// Node configuration without `cluster`; the test cluster sends no requests for its services.
const FILE: &str = include_str!("../../../../deploy/example.json");

/// Kinds of addresses; each has its own port range.
const CLUSTER: usize = 0;
const MOVED: usize = 1;
const ADMIN: usize = 2;
const LISTEN: usize = 3;
const DISCOVERY: usize = 4;
const RELAY: usize = 5;

/// State of the data folder with which a process is started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// The folder as the process left it.
    Kept,
    /// The folder as it was when `TestCluster::copy_folder` was called.
    Older,
    /// An empty folder.
    Empty,
}

/// The processes of a test cluster: command, number and configuration.
#[derive(Debug, Clone)]
pub struct Program {
    pub command: NodeCommand,
    pub count: usize,
    pub zones: usize,
    /// Overrides `cluster` in each process's configuration file.
    pub cluster: Value,
}

/// One member in one process's view, as `/_members` reports it.
#[derive(Debug, Clone, Deserialize, PartialEq)]
pub struct Member {
    pub name: String,
    pub address: String,
    pub state: String,
    pub incarnation: u64,
    pub life: String,
    pub link: String,
}

impl Member {
    pub fn is_here(&self) -> bool {
        self.state == "alive" || self.state == "suspect"
    }
}

#[derive(Debug, Clone, Deserialize, PartialEq)]
pub struct View {
    pub name: String,
    pub life: String,
    pub state: String,
    pub barred_by: Option<String>,
    pub sure: bool,
    pub deaf_s: Option<f64>,
    pub sum: String,
    pub incarnation: u64,
    pub members: Vec<Member>,
    pub counts: std::collections::BTreeMap<String, u64>,
}

impl View {
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.iter().find(|member| member.name == name)
    }

    /// Names of the members that it regards as present, with its own.
    pub fn here(&self) -> Vec<&str> {
        let mut names: Vec<&str> = self
            .members
            .iter()
            .filter(|member| member.is_here())
            .map(|member| member.name.as_str())
            .collect();
        names.push(&self.name);
        names.sort_unstable();
        names
    }
}

/// One action of the test cluster on a process or link.
#[derive(Debug, Clone, PartialEq)]
pub enum Act {
    Started {
        who: usize,
        life: String,
    },
    Killed {
        who: usize,
    },
    Ended {
        who: usize,
    },
    Stopped {
        who: usize,
    },
    Continued {
        who: usize,
    },
    /// The network conditions of a link direction have changed.
    Way {
        from: usize,
        to: usize,
        weather: Weather,
    },
    Note(String),
}

#[derive(Debug, Clone, Default)]
pub struct Records {
    pub names: Vec<String>,
    pub acts: Vec<(f64, Act)>,
    /// Time in ms, process and its view; only changed views are recorded.
    pub views: Vec<(f64, usize, View)>,
    /// Scheduling delay of the test cluster itself, us.
    pub late: Option<Histogram<u64>>,
    pub length: f64,
}

struct Process {
    name: String,
    child: RefCell<Option<Child>>,
    /// Id of the node process itself, not of a shell that started it.
    pid: Cell<u32>,
    running: watch::Sender<bool>,
    /// Its real cluster address, behind the relays.
    cluster: Rc<Cell<SocketAddr>>,
    stopped: Cell<bool>,
    /// Name that its configuration file gives it, if not its own.
    called: RefCell<Option<String>>,
    view: RefCell<Option<View>>,
}

pub struct TestCluster {
    program: Program,
    network: (u8, u8),
    start: Instant,
    processes: Vec<Rc<Process>>,
    /// Indexed by sender, then by receiver.
    ways: Vec<Vec<Rc<Way>>>,
    records: RefCell<Records>,
    late: RefCell<Histogram<u64>>,
}

static TEST_CLUSTERS: AtomicU32 = AtomicU32::new(0);

/// Runs a future that needs a test cluster on a runtime of its own.
///
/// # Errors
/// The runtime could not be built, or the future's own error.
pub fn run<T>(work: impl Future<Output = Result<T, String>>) -> Result<T, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.map_err(|error| format!("runtime: {error}"))?, work)
}

impl TestCluster {
    /// Starts the relays between all processes; starts no process yet.
    ///
    /// # Errors
    /// An address could not be bound or the folder not created.
    pub fn new(program: Program, seed: u64) -> Result<Rc<Self>, String> {
        if !(2..=MOST).contains(&program.count) {
            return Err(format!("{} processes, not 2 to {MOST}", program.count));
        }
        let number = TEST_CLUSTERS.fetch_add(1, Ordering::Relaxed);
        let mixed = std::process::id().wrapping_mul(0x9e37_79b1) ^ number.wrapping_mul(0x85eb_ca6b);
        let [.., high, low] = mixed.to_be_bytes();
        let network = (64 | (high & 0x3f), low);
        let chance = Rc::new(RefCell::new(ChaCha8Rng::seed_from_u64(seed)));
        let process = |place: usize| {
            Rc::new(Process {
                name: format!("n{place}"),
                child: RefCell::default(),
                pid: Cell::new(0),
                running: watch::Sender::new(false),
                cluster: Rc::new(Cell::new(place_at(network, CLUSTER, place))),
                stopped: Cell::new(false),
                called: RefCell::default(),
                view: RefCell::default(),
            })
        };
        let ways = || (0..program.count).map(|_| Way::new()).collect();
        let late = Histogram::new_with_bounds(1, 60_000_000, 3).map_err(|error| error.to_string())?;
        let test_cluster = Rc::new(Self {
            network,
            start: Instant::now(),
            processes: (0..program.count).map(process).collect(),
            ways: (0..program.count).map(|_| ways()).collect(),
            records: RefCell::default(),
            late: RefCell::new(late),
            program,
        });
        let names = test_cluster.processes.iter().map(|process| process.name.clone()).collect();
        test_cluster.records.borrow_mut().names = names;
        std::fs::create_dir_all(&test_cluster.program.command.folder)
            .map_err(|error| format!("{}: {error}", test_cluster.program.command.folder.display()))?;
        for from in 0..test_cluster.count() {
            for to in (0..test_cluster.count()).filter(|to| *to != from) {
                let relay = Relay {
                    at: test_cluster.place(RELAY, from * MOST + to),
                    target: test_cluster.processes[to].cluster.clone(),
                    there: test_cluster.ways[from][to].clone(),
                    back: test_cluster.ways[to][from].clone(),
                    running: test_cluster.processes[to].running.subscribe(),
                    chance: chance.clone(),
                };
                relay.start()?;
            }
        }
        for place in 0..test_cluster.count() {
            spawn_local(test_cluster.clone().watch(place));
        }
        Ok(test_cluster)
    }

    pub fn count(&self) -> usize {
        self.processes.len()
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    fn place(&self, kind: usize, number: usize) -> SocketAddr {
        place_at(self.network, kind, number)
    }

    /// Admin address of a process.
    pub fn operators(&self, who: usize) -> SocketAddr {
        self.place(ADMIN, who)
    }

    /// Address at which a process takes requests.
    pub fn listens(&self, who: usize) -> SocketAddr {
        self.place(LISTEN, who)
    }

    /// Its real cluster address, behind the relays.
    pub fn cluster(&self, who: usize) -> SocketAddr {
        self.processes[who].cluster.get()
    }

    fn act(&self, act: Act) {
        let at = self.now();
        self.records.borrow_mut().acts.push((at, act));
    }

    pub fn note(&self, what: impl Into<String>) {
        self.act(Act::Note(what.into()));
    }

    // ---- processes ----

    /// Its folder.
    pub fn folder(&self, who: usize) -> PathBuf {
        self.program.command.folder.join(format!("{}.folder", self.processes[who].name))
    }

    fn file(&self, who: usize) -> Result<Value, String> {
        let mut file: Value = serde_json::from_str(FILE).map_err(|error| error.to_string())?;
        let peers = (0..self.count()).filter(|other| *other != who);
        let peers =
            peers.map(|other| (self.processes[other].name.clone(), json!(self.reached_by(who, other))));
        let peers: serde_json::Map<String, Value> = peers.collect();
        let mut cluster = json!({
            "installation": "test-cluster", "zone": format!("z{}", who % self.program.zones.max(1)),
            "listen": self.cluster(who), "peers": peers, "folder": self.folder(who),
        });
        if let (Some(cluster), Some(over)) = (cluster.as_object_mut(), self.program.cluster.as_object()) {
            cluster.extend(over.clone());
        }
        if let Some(name) = self.processes[who].called.borrow().as_ref() {
            cluster["name"] = json!(name);
        }
        file["admin"] = json!(self.operators(who));
        file["cluster"] = cluster;
        file["known"]["instances"] = json!([]);
        Ok(file)
    }

    fn reached_by(&self, who: usize, other: usize) -> SocketAddr {
        self.place(RELAY, who * MOST + other)
    }

    /// Starts a process and waits until it reports its view.
    ///
    /// # Errors
    /// The process could not be started, or did not come up in time.
    pub async fn start(self: &Rc<Self>, who: usize, with: Start) -> Result<(), String> {
        let process = &self.processes[who];
        let folder = self.folder(who);
        let told = |error: std::io::Error| format!("{}: {error}", folder.display());
        match with {
            Start::Kept => {}
            Start::Empty => drop(std::fs::remove_dir_all(&folder)),
            Start::Older => {
                drop(std::fs::remove_dir_all(&folder));
                copy(&folder.with_extension("older"), &folder).map_err(told)?;
            }
        }
        let (listen, discovery) = (self.listens(who), self.place(DISCOVERY, who));
        let child = self.program.command.spawn(&process.name, listen, discovery, &self.file(who)?)?;
        process.pid.set(child.id().unwrap_or(0));
        process.child.replace(Some(child));
        process.stopped.set(false);
        *process.view.borrow_mut() = None;
        process.running.send_replace(true);
        let up = self.until(START_STOP_TIMEOUT, |test_cluster| test_cluster.view(who).is_some()).await;
        if !up {
            return Err(format!("{} did not come up", process.name));
        }
        let life = self.view(who).map(|view| view.life).unwrap_or_default();
        self.act(Act::Started { who, life });
        Ok(())
    }

    /// Starts all processes at once.
    ///
    /// # Errors
    /// The first process that did not come up.
    pub async fn start_all(self: &Rc<Self>) -> Result<(), String> {
        let starts: Vec<_> = (0..self.count())
            .map(|who| {
                let test_cluster = self.clone();
                spawn_local(async move { test_cluster.start(who, Start::Kept).await })
            })
            .collect();
        for start in starts {
            start.await.map_err(|error| error.to_string())??;
        }
        Ok(())
    }

    /// Keeps a copy of a process's folder for `Start::Older`.
    ///
    /// # Errors
    /// A file could not be read or written.
    pub fn copy_folder(&self, who: usize) -> Result<(), String> {
        let folder = self.folder(who);
        copy(&folder, &folder.with_extension("older"))
            .map_err(|error| format!("{}: {error}", folder.display()))
    }

    /// Flips a bit of a file in a process's folder.
    ///
    /// # Errors
    /// The file could not be read or written, or is too short.
    pub fn spoil_folder(&self, who: usize, file: &str, at: usize) -> Result<(), String> {
        let path = self.folder(who).join(file);
        let told = |error: std::io::Error| format!("{}: {error}", path.display());
        let mut bytes = std::fs::read(&path).map_err(told)?;
        *bytes.get_mut(at).ok_or_else(|| format!("{} has no byte {at}", path.display()))? ^= 1;
        std::fs::write(&path, bytes).map_err(told)
    }

    /// Log of a process over all its runs.
    pub fn log(&self, who: usize) -> String {
        let log = self.program.command.folder.join(format!("{}.log", self.processes[who].name));
        std::fs::read_to_string(log).unwrap_or_default()
    }

    pub async fn kill(&self, who: usize) {
        let child = self.processes[who].child.take();
        if let Some(mut child) = child {
            // Recorded before the kill, so that no process can detect it earlier than the record says.
            self.act(Act::Killed { who });
            if let Err(error) = child.kill().await {
                log::warn!("{}: kill: {error}", self.processes[who].name);
            }
            self.mark_ended(who);
        }
    }

    /// Sends SIGTERM and waits for the end; kills the process after the time-out.
    pub async fn terminate(&self, who: usize) {
        let child = self.processes[who].child.take();
        if let Some(mut child) = child {
            self.act(Act::Ended { who });
            self.signal(who, Signal::TERM);
            if timeout(START_STOP_TIMEOUT, child.wait()).await.is_err() {
                drop(child.kill().await);
            }
            self.mark_ended(who);
        }
    }

    fn mark_ended(&self, who: usize) {
        let process = &self.processes[who];
        process.running.send_replace(false);
        process.pid.set(0);
        *process.view.borrow_mut() = None;
    }

    pub fn stop(&self, who: usize) {
        self.processes[who].stopped.set(true);
        self.act(Act::Stopped { who });
        self.signal(who, Signal::STOP);
    }

    pub fn go_on(&self, who: usize) {
        self.signal(who, Signal::CONT);
        self.processes[who].stopped.set(false);
        self.act(Act::Continued { who });
    }

    fn signal(&self, who: usize, signal: Signal) {
        let pid = rustix::process::Pid::from_raw(self.processes[who].pid.get() as i32);
        if let Some(Err(error)) = pid.map(|pid| rustix::process::kill_process(pid, signal)) {
            log::warn!("{}: signal: {error}", self.processes[who].name);
        }
    }

    pub fn runs(&self, who: usize) -> bool {
        self.processes[who].child.borrow().is_some()
    }

    /// Process id; 0 if it does not run.
    pub fn pid(&self, who: usize) -> u32 {
        self.processes[who].pid.get()
    }

    /// Sets the name in its configuration file, from its next start on.
    pub fn call_as(&self, who: usize, name: &str) {
        *self.processes[who].called.borrow_mut() = Some(name.into());
    }

    /// Gives it another cluster address from its next start on; the relays use that as their target.
    pub fn move_to_new_address(&self, who: usize) {
        self.processes[who].cluster.set(self.place(MOVED, who));
    }

    // ---- network ----

    /// Changes the network conditions of all links from `from` to `to`.
    pub fn weather(&self, from: &[usize], to: &[usize], change: impl Fn(&mut Weather)) {
        for (from, to) in from.iter().flat_map(|from| to.iter().map(move |to| (*from, *to))) {
            if from != to {
                let mut weather = self.ways[from][to].weather();
                change(&mut weather);
                self.ways[from][to].set(weather);
                self.act(Act::Way { from, to, weather });
            }
        }
    }

    /// Drops all traffic from `from` to `to`; the opposite direction is unaffected.
    pub fn cut(&self, from: &[usize], to: &[usize]) {
        self.weather(from, to, |weather| *weather = Weather::CUT);
    }

    /// Restores all links.
    pub fn heal(&self) {
        let all: Vec<usize> = (0..self.count()).collect();
        self.weather(&all, &all, |weather| *weather = Weather::FINE);
    }

    /// Resets all streams from `from` to `to`, while the processes go on.
    pub fn reset(&self, from: &[usize], to: &[usize]) {
        for (from, to) in from.iter().flat_map(|from| to.iter().map(move |to| (*from, *to))) {
            if from != to {
                self.ways[from][to].reset();
            }
        }
        self.note("streams reset");
    }

    // ---- observation ----

    /// Last view that a running process reported.
    pub fn view(&self, who: usize) -> Option<View> {
        self.processes[who].view.borrow().clone()
    }

    /// State of member `of` in the view of `at`, if known.
    pub fn standing(&self, at: usize, of: usize) -> Option<String> {
        let view = self.processes[at].view.borrow();
        view.as_ref()?.member(&self.processes[of].name).map(|member| member.state.clone())
    }

    /// Whether every running process is settled and regards exactly the running processes as present, with the same
    /// incarnations.
    pub fn agreed(&self) -> bool {
        let running: Vec<usize> = (0..self.count()).filter(|who| self.runs(*who)).collect();
        let names: Vec<&str> = running.iter().map(|who| self.processes[*who].name.as_str()).collect();
        let mut sums = Vec::new();
        for who in &running {
            let view = self.processes[*who].view.borrow();
            let Some(view) = view.as_ref().filter(|view| view.sure && view.state == "member") else {
                return false;
            };
            let mut here = view.here();
            here.sort_unstable();
            let mut wanted = names.clone();
            wanted.sort_unstable();
            if here != wanted {
                return false;
            }
            sums.push(view.sum.clone());
        }
        sums.windows(2).all(|pair| pair[0] == pair[1])
    }

    /// Waits for an event; false if it did not occur before the time-out.
    pub async fn until(self: &Rc<Self>, patience: Duration, event: impl Fn(&Self) -> bool) -> bool {
        let end = Instant::now() + patience;
        while !event(self) {
            if Instant::now() >= end {
                return false;
            }
            let due = Instant::now() + Duration::from_millis(20);
            sleep_until(due).await;
            self.record_delay(due);
        }
        true
    }

    fn record_delay(&self, due: Instant) {
        let late = Instant::now().saturating_duration_since(due).as_micros() as u64;
        self.late.borrow_mut().saturating_record(late);
    }

    async fn watch(self: Rc<Self>, who: usize) {
        loop {
            let due = Instant::now() + POLL_INTERVAL;
            sleep_until(due).await;
            self.record_delay(due);
            let process = &self.processes[who];
            if !self.runs(who) || process.stopped.get() {
                continue;
            }
            let pid = process.pid.get();
            let Some(text) = call(self.operators(who), "GET", "/_members").await else { continue };
            let Ok(view) = serde_json::from_str::<View>(&text) else { continue };
            // The process may have been restarted while the call was under way.
            if process.pid.get() != pid {
                continue;
            }
            let at = self.now();
            let mut last = process.view.borrow_mut();
            let same = last.as_ref().is_some_and(|last| same_state(last, &view));
            if !same {
                self.records.borrow_mut().views.push((at, who, view.clone()));
            }
            *last = Some(view);
        }
    }

    /// Ends all processes and returns the records.
    pub async fn end(&self) -> Records {
        // Taken first: processes that are ended last would report those ended before them as gone.
        let mut records = self.records.take();
        records.length = self.now();
        for who in 0..self.count() {
            let child = self.processes[who].child.take();
            if let Some(mut child) = child {
                drop(child.kill().await);
            }
            self.mark_ended(who);
        }
        records.late = Some(self.late.borrow().clone());
        records
    }
}

fn place_at((high, low): (u8, u8), kind: usize, number: usize) -> SocketAddr {
    let last = 1 + (number / PORTS) as u8;
    let port = 22_000 + (kind * PORTS + number % PORTS) as u16;
    SocketAddr::from((Ipv4Addr::new(127, high, low, last), port))
}

/// Whether two views differ in nothing but times and counts.
fn same_state(one: &View, other: &View) -> bool {
    let key = |view: &View| {
        (view.life.clone(), view.state.clone(), view.sure, view.deaf_s.is_some(), view.incarnation)
    };
    key(one) == key(other) && one.members == other.members
}

fn copy(from: &std::path::Path, to: &std::path::Path) -> std::io::Result<()> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        let (from, to) = (entry.path(), to.join(entry.file_name()));
        if from.is_dir() {
            copy(&from, &to)?;
        } else {
            std::fs::copy(from, to)?;
        }
    }
    Ok(())
}

/// Sends one call to an admin address; returns the body if the answer was 200 and in time.
pub async fn call(address: SocketAddr, method: &str, path: &str) -> Option<String> {
    call_with(address, method, path, "").await
}

/// As `call`, with further header lines, each with its line end.
pub async fn call_with(address: SocketAddr, method: &str, path: &str, lines: &str) -> Option<String> {
    let told = operators::ask(address, method, path, lines, CALL_TIMEOUT).await.ok();
    told.filter(|(status, _)| *status == 200).map(|(_, body)| body)
}

/// Sleeps for `ms` milliseconds; not at all if negative.
pub async fn wait(ms: f64) {
    sleep(Duration::from_secs_f64(ms.max(0.0) / 1000.0)).await;
}
