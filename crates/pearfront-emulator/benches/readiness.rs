//! Start-up time of a node: from the call that starts the process to the first 200 of `/up` and of a request, by the
//! behaviour of discovery, for a single process, thirty at once, after a kill, and in a hand-over.
//! Run by `make bench-readiness`; not part of the tests.
//!
//! The thirty processes share six cores by affinity: a fifth of a core each while all are busy. A process in a
//! hand-over is asked for `/_ready`, as `/up` may be answered by its predecessor.

use pearfront_emulator::scenario::Scenario;
use pearfront_emulator::{platform, sockets};
use rustix::process::Pid;
use rustix::thread::{CpuSet, sched_setaffinity};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Cores that the measured processes share, and number of processes started at once: a fifth of a core each.
const CORES: usize = 6;
const CROWD: u16 = 30;
/// Number of single starts per row.
const SINGLE: u16 = 5;
/// Poll interval, and time-out of the wait.
const LOOK: Duration = Duration::from_millis(5);
const PATIENCE: Duration = Duration::from_secs(30);
/// Required time for nine of ten starts.
const WANTED: Duration = Duration::from_secs(10);
/// Answer time of slow discovery.
const SLOW: Duration = Duration::from_secs(1);
/// Number of connections that a killed process leaves in TIME_WAIT.
const LEFT: usize = 100;

const SCENARIO: &str = r#"
name = "bench"
length_s = 1
zones = ["a"]
[[kinds]]
name = "m"
cores = 8
[[tiers]]
name = "only"
servers = 1
[[profiles]]
name = "read"
effect = "idempotent"
latency_target_ms = 1000
deadline_ms = 3000
gain = 1
share = 1
work_ms = 1
[[customers]]
name = "acme"
share = 1
quota_per_s = 1e6
[callers]
rate = 1
[nodes]
count = 1
"#;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Discovery {
    There,
    /// Nothing listens at its address.
    Down,
    /// Connections are accepted, and nothing is ever sent.
    Silent,
    /// Each answer takes `SLOW`.
    Slow,
    /// Each call is answered 503.
    Refusing,
}

const DISCOVERIES: [Discovery; 5] =
    [Discovery::There, Discovery::Down, Discovery::Silent, Discovery::Slow, Discovery::Refusing];

/// How the process gets its listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Alone,
    /// At the address of a process that was killed with connections in TIME_WAIT.
    BehindKill,
    /// An inherited listener that no process serves.
    Inherited,
    /// An inherited listener that another process serves already.
    HandOver,
}

fn place(port: u16) -> SocketAddrV4 {
    let own = std::process::id().to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(127, 232 | own[2] & 7, own[3], 1), port)
}

/// Serves every connection at an address with one answer per message, after a delay.
fn answer_at(at: SocketAddrV4, after: Duration, answer: Option<&'static str>) {
    let listener = TcpListener::bind(at).expect("a loopback address of our own");
    spawn(move || {
        let mut kept = Vec::new();
        for stream in listener.incoming().flatten() {
            let Some(answer) = answer else {
                kept.push(stream);
                continue;
            };
            spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().expect("a descriptor"));
                let mut writer = stream;
                while head(&mut reader).is_some() {
                    sleep(after);
                    if writer.write_all(answer.as_bytes()).is_err() {
                        break;
                    }
                }
            });
        }
    });
}

/// Reads the head of a message; no body is read here.
fn head(from: &mut impl BufRead) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if from.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    Some(head)
}

const NOTHING_NEW: &str = concat!(
    "HTTP/1.1 200 OK\r\nContent-Length: 47\r\n\r\n",
    r#"{"generation": 1,"reset": false,"instances":[]}"#
);

fn start_discovery(kind: Discovery) -> SocketAddrV4 {
    let at = place(23_100 + kind as u16);
    match kind {
        // Holds a watch for a moment without changes.
        Discovery::There => answer_at(at, Duration::from_millis(50), Some(NOTHING_NEW)),
        Discovery::Slow => answer_at(at, SLOW, Some(NOTHING_NEW)),
        Discovery::Refusing => {
            answer_at(at, Duration::ZERO, Some("HTTP/1.1 503 Not Now\r\nContent-Length: 0\r\n\r\n"));
        }
        Discovery::Silent => answer_at(at, Duration::ZERO, None),
        Discovery::Down => {}
    }
    at
}

struct Started {
    child: Child,
    begun: Instant,
    address: SocketAddrV4,
    admin: SocketAddrV4,
}

impl Drop for Started {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

struct Stage {
    program: String,
    file: PathBuf,
    folder: PathBuf,
}

impl Stage {
    fn new(pushed: bool, server: SocketAddrV4) -> Self {
        let built = concat!(env!("CARGO_MANIFEST_DIR"), "/../../target/release/pearfront-node");
        let program = std::env::var("PEARFRONT_NODE").unwrap_or_else(|_| built.into());
        let folder =
            std::env::temp_dir().join(format!("pearfront-readiness-{}-{pushed}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder of our own");
        let scenario = Scenario::parse(SCENARIO).unwrap_or_else(|mistake| panic!("{mistake}"));
        let mut settings = platform::settings(&scenario, 0, 0, 1);
        settings["discovery"] = json!(if pushed { "pushed" } else { "on_request" });
        let known: Vec<Value> = vec![json!({"instanceId": "s0", "hostPort": server.to_string(), "zone": "a",
            "machineType": "m", "cell": 0, "lifecycle": "Ready", "weight": 1.0, "startedAtMs": 0})];
        let file = folder.join("node.json");
        std::fs::write(&file, sockets::config(&scenario, &settings, &known, 7).to_string())
            .expect("a file in the temporary folder");
        Self { program, file, folder }
    }

    fn address(&self, number: u16) -> SocketAddrV4 {
        place(24_000 + number)
    }

    fn start(
        &self,
        number: u16,
        second: bool,
        discovery: SocketAddrV4,
        inherited: Option<&TcpListener>,
    ) -> Started {
        // Both processes of a hand-over need an admin address of their own.
        let (address, admin) = (self.address(number), place(27_000 + 2 * number + u16::from(second)));
        let mut command = match inherited {
            None => Command::new(&self.program),
            Some(listener) => {
                let mut shell = Command::new("sh");
                shell.args(["-c", "exec \"$0\" 7<&0 </dev/null", &self.program]);
                shell.env("ROUTER_INHERITED_FD", "7").env("TMPDIR", &self.folder);
                shell.stdin(OwnedFd::from(listener.try_clone().expect("a descriptor")));
                shell
            }
        };
        let address = inherited.map_or(address, |listener| match listener.local_addr() {
            Ok(std::net::SocketAddr::V4(at)) => at,
            other => panic!("{other:?}"),
        });
        command.env("ROUTER_NAME", format!("n{number}")).env("ROUTER_LISTEN", address.to_string());
        command.env("ROUTER_ADMIN", admin.to_string()).env("ROUTER_DISCOVERY", discovery.to_string());
        command.env("ROUTER_CONFIG", &self.file).stdout(Stdio::null()).stderr(Stdio::null());
        let begun = Instant::now();
        let child = command.spawn().unwrap_or_else(|error| panic!("{}: {error} (built?)", self.program));
        pin(child.id());
        Started { child, begun, address, admin }
    }
}

fn pin(process: u32) {
    let mut cores = CpuSet::new();
    (0..CORES).for_each(|core| cores.set(core));
    if let Err(error) = sched_setaffinity(Pid::from_raw(process as i32), &cores) {
        eprintln!("six cores can't be had: {error}");
    }
}

/// Status of a call on its own connection; none without an answer.
fn call(at: SocketAddrV4, message: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(at).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    stream.write_all(message.as_bytes()).ok()?;
    let mut start = [0; 12];
    stream.read_exact(&mut start).ok()?;
    std::str::from_utf8(&start[9..]).ok()?.parse().ok()
}

/// A call whose connection the process closes first: its port stays in TIME_WAIT.
fn leave_behind(at: SocketAddrV4) {
    let mut stream = TcpStream::connect(at).expect("it is ready");
    stream.write_all(b"GET /up HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n").expect("it reads");
    stream.read_to_end(&mut Vec::new()).expect("it ends the connection");
}

/// How many connections to this address the kernel keeps in TIME_WAIT.
fn in_time_wait(at: SocketAddrV4) -> usize {
    let line = format!(": {:08X}:{:04X} ", u32::from_le_bytes(at.ip().octets()), at.port());
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the kernel's table");
    table.lines().filter(|connection| connection.contains(&line) && connection.contains(" 06 ")).count()
}

/// Time from the start of a process to its first 200; none within `PATIENCE`.
fn first(begun: Instant, at: SocketAddrV4, message: impl Fn() -> String) -> Option<Duration> {
    while begun.elapsed() < PATIENCE {
        if call(at, &message()) == Some(200) {
            return Some(begun.elapsed());
        }
        sleep(LOOK);
    }
    None
}

fn job() -> String {
    static COUNT: AtomicU32 = AtomicU32::new(1);
    let id = COUNT.fetch_add(1, Ordering::Relaxed);
    format!(
        "GET /read/it HTTP/1.1\r\nHost: a\r\nX-Trace-Id: {id}\r\nX-Customer: acme\r\nX-Expires-In: 3\r\n\r\n"
    )
}

/// Times until it was ready and until its first request was served.
type Times = (Option<Duration>, Option<Duration>);

fn times(started: &Started, way: Way) -> Times {
    if way == Way::HandOver {
        let ready = || "GET /_ready HTTP/1.1\r\nHost: a\r\n\r\n".to_string();
        return (first(started.begun, started.admin, ready), None);
    }
    let up = || "GET /up HTTP/1.1\r\nHost: a\r\n\r\n".to_string();
    let ready = first(started.begun, started.address, up);
    (ready, first(started.begun, started.address, job))
}

/// Starts one process in this way and waits until it is ready.
fn play(stage: &Stage, way: Way, number: u16, discovery: SocketAddrV4, there: SocketAddrV4) -> Times {
    match way {
        Way::Alone => times(&stage.start(number, false, discovery, None), way),
        Way::BehindKill => {
            let before = stage.start(number, false, there, None);
            times(&before, Way::Alone);
            // The answer ends with the connection, which the process closes first.
            for _ in 0..LEFT {
                leave_behind(before.address);
            }
            drop(before);
            assert!(
                in_time_wait(stage.address(number)) >= LEFT,
                "connections in TIME_WAIT are what this is about"
            );
            times(&stage.start(number, true, discovery, None), way)
        }
        Way::Inherited | Way::HandOver => {
            let listener = TcpListener::bind(place(26_000 + number)).expect("a loopback address of our own");
            let before = (way == Way::HandOver).then(|| {
                let before = stage.start(number, false, there, Some(&listener));
                times(&before, Way::HandOver);
                before
            });
            let started = stage.start(number, true, discovery, Some(&listener));
            let times = times(&started, way);
            drop((before, started));
            times
        }
    }
}

fn at_share(sorted: &[Duration], share: f64) -> String {
    let at = ((sorted.len() as f64 * share).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted.get(at).map_or("-".into(), |time| format!("{:.3}", time.as_secs_f64()))
}

fn row(name: &str, all: &[Times]) {
    let sorted = |what: fn(&Times) -> Option<Duration>| {
        let mut times: Vec<_> = all.iter().filter_map(what).collect();
        times.sort();
        times
    };
    let (ready, served) = (sorted(|times| times.0), sorted(|times| times.1));
    let within = ready.iter().filter(|time| **time <= WANTED).count();
    println!(
        "| {name} | {} | {} | {} | {} | {} | {} | {} | {within} |",
        all.len(),
        at_share(&ready, 0.5),
        at_share(&ready, 0.9),
        at_share(&ready, 1.0),
        at_share(&served, 0.5),
        at_share(&served, 0.9),
        at_share(&served, 1.0)
    );
}

fn main() {
    let server = place(23_001);
    answer_at(server, Duration::ZERO, Some("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"));
    let discoveries: Vec<_> = DISCOVERIES.iter().map(|kind| (*kind, start_discovery(*kind))).collect();
    let there = discoveries[0].1;
    println!(
        "| way, discovery, lists | starts | ready p50 s | p90 | most | job p50 s | p90 | most | ready in 10 s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    // One way alone, as in `cargo bench ... -- BehindKill`.
    let only = std::env::args().skip(1).find(|word| !word.starts_with('-'));
    let ways = [Way::Alone, Way::BehindKill, Way::Inherited, Way::HandOver];
    let ways: Vec<Way> =
        ways.into_iter().filter(|way| only.as_ref().is_none_or(|only| *only == format!("{way:?}"))).collect();
    let mut number = 0;
    for pushed in [true, false] {
        let stage = Stage::new(pushed, server);
        let lists = if pushed { "pushed" } else { "asked for" };
        for way in ways.iter().copied() {
            for (kind, discovery) in &discoveries {
                let mut all = Vec::new();
                for _ in 0..SINGLE {
                    number = (number + 1) % 900;
                    all.push(play(&stage, way, number, *discovery, there));
                }
                row(&format!("{way:?}, {kind:?}, {lists}"), &all);
            }
        }
        for way in ways.iter().copied() {
            for (kind, discovery) in &discoveries {
                let all: Vec<Times> = std::thread::scope(|scope| {
                    let one = |number| {
                        let (stage, discovery) = (&stage, *discovery);
                        scope.spawn(move || play(stage, way, 900 + number, discovery, there))
                    };
                    let all: Vec<_> = (0..CROWD).map(one).collect();
                    all.into_iter().map(|one| one.join().expect("a play")).collect()
                });
                row(&format!("{CROWD} at once, {way:?}, {kind:?}, {lists}"), &all);
            }
        }
        std::fs::remove_dir_all(&stage.folder).expect("our own folder");
    }
}
