//! Throughput of a node: requests per second and CPU time per request through one node on one core, compared with a
//! plain relay (hyper in, hyper out, no decisions) and a direct call, in one run. Run by `make bench-node`; not part of
//! the tests.
//!
//! Server, clients and the process in the middle have one core each. Clients send again as soon as they are answered.

use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use pearfront_emulator::scenario::Scenario;
use pearfront_emulator::{platform, sockets};
use rustix::process::Pid;
use rustix::thread::{CpuSet, sched_setaffinity};
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

/// Cores for the server, the process in the middle, and the clients.
const SERVER_CORE: usize = 0;
const MIDDLE_CORE: usize = 1;
const CALLERS_CORE: usize = 2;
/// Measuring time of each figure, after a warm-up.
const WARM_UP: Duration = Duration::from_secs(1);
const MEASURE: Duration = Duration::from_secs(3);
/// Number of servers that the node knows, all in one process: with few, the module's limit of about eight
/// requests per server would limit the rate.
const SERVERS: u8 = 32;
/// Number of rounds of measurements; the median is reported.
const ROUNDS: usize = 3;
/// Number of cluster nodes for the measurement within a cluster; the others run on the cores from this one on.
const MEMBERS: u16 = 16;
const MEMBERS_CORE: usize = 3;
/// Set for a process that acts as the plain relay: its listen address and its target.
const RELAY: &str = "PEARFRONT_BENCH_RELAY";

const SCENARIO: &str = r#"
name = "bench"
length_s = 1
zones = ["a"]
[[kinds]]
name = "m"
cores = 8
[[tiers]]
name = "only"
servers = 32
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

#[derive(Debug, Clone)]
struct Figures {
    rate: f64,
    cpu_us: f64,
    p50_us: f64,
    p99_us: f64,
}

fn main() {
    if let Ok(relay) = std::env::var(RELAY) {
        return run_relay(&relay);
    }
    let built = concat!(env!("CARGO_MANIFEST_DIR"), "/../../target/release/pearfront-node");
    let program = std::env::var("PEARFRONT_NODE").unwrap_or_else(|_| built.into());
    let own = std::process::id().to_be_bytes();
    let place = |port| SocketAddrV4::new(Ipv4Addr::new(127, 200 | own[2] & 31, own[3], 1), port);
    let (server, relay, node, discovery) = (place(22_001), place(22_002), place(22_003), place(22_004));
    std::thread::spawn(move || on_core(SERVER_CORE, serve(server)));
    std::thread::spawn(move || on_core(SERVER_CORE, no_discovery(discovery)));
    let file = std::env::temp_dir().join(format!("pearfront-bench-{}.json", std::process::id()));
    let mut node_process = start_node(&program, "bench", node, discovery, server, &file, None);
    let member = place(22_100);
    let mut members: Vec<Child> =
        (0..MEMBERS).map(|number| start_member(&program, &place, number, server)).collect();
    let mut relay_process = start_relay(relay, server);
    wait_for(server);
    wait_for(relay);
    wait_for(node);
    wait_for(member);
    println!(
        "{:>8} {:>8} {:>10} {:>12} {:>10} {:>10} {:>12}",
        "callers", "way", "jobs/s", "CPU us/job", "p50 us", "p99 us", "node/relay"
    );
    for callers in [1, 16, 128] {
        let ways = [
            ("direct", server, None),
            ("relay", relay, Some(relay_process.id())),
            ("node", node, Some(node_process.id())),
            ("member", member, Some(members[0].id())),
        ];
        let mut all: Vec<Vec<Figures>> = vec![Vec::new(); ways.len()];
        for _ in 0..ROUNDS {
            for (way, (_, address, process)) in ways.iter().enumerate() {
                all[way].push(measure(*address, callers, *process));
            }
        }
        let middle: Vec<Figures> = all.into_iter().map(middle).collect();
        for ((name, ..), figures) in ways.iter().zip(&middle) {
            let ratio = if ["node", "member"].contains(name) {
                format!("{:.3}", figures.rate / middle[1].rate)
            } else {
                String::new()
            };
            println!(
                "{callers:>8} {name:>8} {:>10.0} {:>12.1} {:>10.0} {:>10.0} {ratio:>12}",
                figures.rate, figures.cpu_us, figures.p50_us, figures.p99_us
            );
        }
        println!(
            "{callers:>8} callers: the node adds {:.0} us at p50 and {:.0} us at p99",
            middle[2].p50_us - middle[0].p50_us,
            middle[2].p99_us - middle[0].p99_us
        );
        println!(
            "{callers:>8} callers: as one of {MEMBERS} it carries {:.3} of what it does alone",
            middle[3].rate / middle[2].rate
        );
    }
    let used = |process: &Child| (cpu(process.id()), memory_mb(process.id()));
    println!("alone: {:?} s of CPU and MB; as a member: {:?}", used(&node_process), used(&members[0]));
    println!("another member, without jobs, for all this time: {:?}", used(&members[1]));
    for process in [&mut relay_process, &mut node_process].into_iter().chain(&mut members) {
        process.kill().expect("our own process");
        process.wait().expect("our own process");
    }
    std::fs::remove_file(file).expect("our own file");
    for number in 0..MEMBERS {
        std::fs::remove_file(member_file(number)).expect("our own file");
    }
}

/// The round with the median rate.
fn middle(mut rounds: Vec<Figures>) -> Figures {
    rounds.sort_by(|a, b| a.rate.total_cmp(&b.rate));
    rounds.swap_remove(rounds.len() / 2)
}

fn pin(process: Option<u32>, core: usize) {
    let mut cores = CpuSet::new();
    cores.set(core);
    let process = process.and_then(|id| Pid::from_raw(id as i32));
    if let Err(error) = sched_setaffinity(process, &cores) {
        eprintln!("core {core} can't be had: {error}");
    }
}

fn on_core<T>(core: usize, work: impl Future<Output = T>) -> T {
    pin(None, core);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, work)
}

fn wait_for(address: SocketAddrV4) {
    while std::net::TcpStream::connect(address).is_err() {
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Addresses of the servers: consecutive from the first one's.
fn servers(first: SocketAddrV4) -> impl Iterator<Item = SocketAddrV4> {
    let [a, b, c, _] = first.ip().octets();
    (1..=SERVERS).map(move |host| SocketAddrV4::new(Ipv4Addr::new(a, b, c, host), first.port()))
}

async fn serve(first: SocketAddrV4) {
    let all: Vec<_> = servers(first).map(|at| spawn_local(serve_at(at))).collect();
    for one in all {
        one.await.expect("it serves as long as this process");
    }
}

async fn serve_at(at: SocketAddrV4) {
    let listener = TcpListener::bind(at).await.expect("a loopback address of our own");
    while let Ok((stream, _)) = listener.accept().await {
        stream.set_nodelay(true).expect("a TCP option");
        let service = service_fn(async |request: Request<Incoming>| {
            let body = if request.uri().path() == "/metrics/load" { "TEXT util=0.1" } else { "ok" };
            Ok::<_, Infallible>(Response::new(Full::new(Bytes::from_static(body.as_bytes()))))
        });
        spawn_local(async move {
            drop(http1::Builder::new().serve_connection(TokioIo::new(stream), service).await)
        });
    }
}

/// Accepts calls and never answers: the node continues with the list from its file.
async fn no_discovery(at: SocketAddrV4) {
    let listener = TcpListener::bind(at).await.expect("a loopback address of our own");
    let mut open = Vec::new();
    while let Ok((stream, _)) = listener.accept().await {
        open.push(stream);
    }
}

fn start_relay(at: SocketAddrV4, to: SocketAddrV4) -> Child {
    let own = std::env::current_exe().expect("this program");
    let process = Command::new(own).env(RELAY, format!("{at} {to}")).spawn().expect("this program again");
    pin(Some(process.id()), MIDDLE_CORE);
    process
}

fn member_file(number: u16) -> std::path::PathBuf {
    std::env::temp_dir().join(format!("pearfront-bench-{}-{number}.json", std::process::id()))
}

/// One node of the cluster; the first one is measured and runs on the core of the process in the middle.
fn start_member(
    program: &str,
    place: &impl Fn(u16) -> SocketAddrV4,
    number: u16,
    server: SocketAddrV4,
) -> Child {
    let file = member_file(number);
    let cluster = serde_json::json!({"installation": "bench", "listen": place(22_200 + number),
        "seeds": [place(22_200), place(22_201)]});
    let (name, at) = (format!("m{number}"), place(22_100 + number));
    let process = start_node(program, &name, at, place(22_004), server, &file, Some(cluster));
    if number > 0 {
        pin(Some(process.id()), MEMBERS_CORE + usize::from(number) % 4);
    }
    process
}

fn start_node(
    program: &str,
    name: &str,
    at: SocketAddrV4,
    discovery: SocketAddrV4,
    server: SocketAddrV4,
    file: &std::path::Path,
    cluster: Option<serde_json::Value>,
) -> Child {
    let scenario = Scenario::parse(SCENARIO).unwrap_or_else(|mistake| panic!("{mistake}"));
    let settings = platform::settings(&scenario, 0, 0, 1);
    let line = |(number, at): (usize, SocketAddrV4)| {
        serde_json::json!({"instanceId": format!("s{number}"), "hostPort": at.to_string(), "zone": "a",
            "machineType": "m", "cell": 0, "lifecycle": "Ready", "weight": 1.0, "startedAtMs": 0})
    };
    let known: Vec<_> = servers(server).enumerate().map(line).collect();
    let mut config = sockets::config(&scenario, &settings, &known, 7);
    if let Some(cluster) = cluster {
        config["cluster"] = cluster;
    }
    std::fs::write(file, config.to_string()).expect("a file in the temporary folder");
    let process = Command::new(program)
        .env("ROUTER_NAME", name)
        .env("ROUTER_LISTEN", at.to_string())
        .env("ROUTER_DISCOVERY", discovery.to_string())
        .env("ROUTER_CONFIG", file)
        .stderr(Stdio::null())
        .spawn()
        .unwrap_or_else(|error| {
            panic!("{program}: {error} (built in release? PEARFRONT_NODE names another)")
        });
    pin(Some(process.id()), MIDDLE_CORE);
    process
}

/// A plain relay (hyper in, hyper out) that makes no decisions and only pools connections.
fn run_relay(places: &str) {
    let (at, to) = places.split_once(' ').expect("two places");
    let (at, to): (SocketAddrV4, SocketAddrV4) = (at.parse().expect("a place"), to.parse().expect("a place"));
    on_core(MIDDLE_CORE, async move {
        let listener = TcpListener::bind(at).await.expect("a loopback address of our own");
        let idle: Rc<RefCell<Vec<SendRequest<Full<Bytes>>>>> = Rc::default();
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).expect("a TCP option");
            let idle = idle.clone();
            let service = service_fn(move |request| relay(request, idle.clone(), to));
            spawn_local(async move {
                drop(http1::Builder::new().serve_connection(TokioIo::new(stream), service).await)
            });
        }
    });
}

async fn relay(
    request: Request<Incoming>,
    idle: Rc<RefCell<Vec<SendRequest<Full<Bytes>>>>>,
    to: SocketAddrV4,
) -> Result<Response<Full<Bytes>>, hyper::Error> {
    let kept = idle.borrow_mut().pop();
    let mut sender = match kept {
        Some(sender) => sender,
        None => {
            let stream = TcpStream::connect(to).await.expect("the server is there");
            stream.set_nodelay(true).expect("a TCP option");
            let (sender, connection) = handshake(TokioIo::new(stream)).await?;
            spawn_local(async move { drop(connection.await) });
            sender
        }
    };
    let (head, body) = request.into_parts();
    let body = body.collect().await?.to_bytes();
    let answer = sender.send_request(Request::from_parts(head, Full::new(body))).await?;
    let (head, body) = answer.into_parts();
    let body = body.collect().await?.to_bytes();
    idle.borrow_mut().push(sender);
    Ok(Response::from_parts(head, Full::new(body)))
}

fn measure(to: SocketAddrV4, callers: usize, process: Option<u32>) -> Figures {
    let measured = std::thread::spawn(move || on_core(CALLERS_CORE, call(to, callers, process)));
    measured.join().expect("callers that end")
}

async fn call(to: SocketAddrV4, callers: usize, process: Option<u32>) -> Figures {
    let over = Instant::now() + WARM_UP + MEASURE;
    let counts = Rc::new(Cell::new(false));
    let latencies =
        Rc::new(RefCell::new(Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds")));
    let tasks: Vec<_> = (0..callers)
        .map(|caller| spawn_local(ask_on(to, caller, over, counts.clone(), latencies.clone())))
        .collect();
    tokio::time::sleep(WARM_UP).await;
    counts.set(true);
    let (from, used) = (Instant::now(), process.map(cpu));
    tokio::time::sleep(MEASURE).await;
    counts.set(false);
    let (took, used) = (from.elapsed().as_secs_f64(), used.zip(process).map(|(used, id)| cpu(id) - used));
    for task in tasks {
        task.await.expect("a caller that ends");
    }
    let latencies = latencies.borrow();
    let jobs = latencies.len() as f64;
    Figures {
        rate: jobs / took,
        cpu_us: used.map_or(0.0, |used| used * 1e6 / jobs),
        p50_us: latencies.value_at_quantile(0.5) as f64 / 1000.0,
        p99_us: latencies.value_at_quantile(0.99) as f64 / 1000.0,
    }
}

async fn ask_on(
    to: SocketAddrV4,
    caller: usize,
    over: Instant,
    counts: Rc<Cell<bool>>,
    latencies: Rc<RefCell<Histogram<u64>>>,
) {
    let mut stream = TcpStream::connect(to).await.expect("it listens");
    stream.set_nodelay(true).expect("a TCP option");
    let mut number = caller as u64 * 1_000_000_000;
    let mut answer = vec![0; 4096];
    while Instant::now() < over {
        number += 1;
        let head = format!(
            "GET /read/it HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: {number}\r\nX-Customer: acme\r\nX-Expires-In: 3\r\n\r\n"
        );
        let sent = Instant::now();
        stream.write_all(head.as_bytes()).await.expect("an open connection");
        let mut got = 0;
        // All answers here are short and end with a two-byte body.
        while !answer[..got].ends_with(b"\r\n\r\nok") {
            let more = stream.read(&mut answer[got..]).await.expect("an open connection");
            assert!(more > 0 && got + more < answer.len(), "{}", String::from_utf8_lossy(&answer[..got]));
            got += more;
        }
        if counts.get() {
            // Nanoseconds, as needed to resolve the duration of a direct call.
            latencies.borrow_mut().saturating_record(sent.elapsed().as_nanos() as u64);
        }
    }
}

/// Peak memory of a process, MB.
fn memory_mb(process: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).expect("it runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap_or("0");
    line.split_whitespace().next().and_then(|word| word.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
}

/// CPU time used by a process, s.
fn cpu(process: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).expect("it runs");
    let after = stat.rsplit_once(") ").expect("a name in brackets").1;
    let ticks = |place: usize| after.split(' ').nth(place).and_then(|field| field.parse::<f64>().ok());
    let ticks = ticks(11).zip(ticks(12)).expect("user and system time");
    (ticks.0 + ticks.1) / rustix::param::clock_ticks_per_second() as f64
}
