//! Calls through a chain of real nodes, one before the other, with a server that answers at once behind the last: what a
//! hop adds, at the target's rate of a node. The same calls without any node are what is taken off.

use super::rig::{Node, lateness, on_one_thread, place};
use crate::Point;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Empty, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use rand::prelude::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::path::Path;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Calls a second: a node's at the target.
const RATE: f64 = 109.0;
/// Time before figures count, and how long a node may take to listen.
const WARM_UP: Duration = Duration::from_secs(2);
const START: Duration = Duration::from_secs(20);
/// Connections that calls are made on in turn.
const CONNECTIONS: usize = 8;
/// Lateness of the rig, ms, at the hundredth and in the middle, from which on figures there are the machine's. Timers of the
/// runtime go by whole ms, so 1 of it is always there; calls are timed from when they were sent, not from when they were due.
const LATE: f64 = 2.5;
const LATE_MIDDLE: f64 = 1.5;

/// Kinds of places, none that another measurement has.
const SERVER: u16 = 30;
const NODES: u16 = 31;
const DISCOVERY: u16 = 32;

fn config(next: SocketAddrV4, number: usize) -> Value {
    json!({"seed": format!("{number:016x}"), "limits": {"memory_mb": 192, "sockets": 1024},
        "known": {"generation": 1, "reset": true, "instances": [
            {"instanceId": "next", "hostPort": next.to_string(), "zone": "a", "machineType": "m1", "cell": 0,
             "lifecycle": "Ready", "weight": 1.0, "startedAtMs": 0}]},
        "settings": {"siblings": 1, "tier": 0, "locality": 0, "round": 4_000_000, "discovery": "on_request",
            "azs": ["a"], "host_types": ["m1"], "customers": [{"name": "acme", "quota_per_s": 1e6}],
            "profiles": [{"name": "read", "effect": "safe", "contract_time": 1_000_000_000u64,
                "outer_limit": 3_000_000_000u64, "gain": 1.0}],
            "limits": {"most_shots": 3, "cancel": true, "probes": false, "parallel_tries": true, "retry_after": true,
                "max_retry_after": 2_000_000_000u64, "connect_timeout": 120_000_000, "conn_idle": 30_000_000_000u64},
            "deductions": {"probe": 0.03}, "objective_mix": {"whole": 1.0},
            "report": {"fields": ["utilization"], "via": "none"},
            "rules": {"ask_within": 10_000_000_000u64, "cold": 9_000_000_000u64, "cold_from": 0.3, "tip_multiple": 4.0,
                "overload_for": 2_000_000_000u64}}})
}

/// What is asked of a chain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Asked {
    /// Half of the calls: a late machine spoils little of it.
    Middle,
    /// Ninety-nine in a hundred.
    Hundredth,
}

pub fn by_depth(
    point: &mut Point,
    depth: usize,
    seconds: f64,
    seed: u64,
    asked: Asked,
    program: &Path,
) -> Result<(), String> {
    on_one_thread(measure(point, depth, seconds, seed, asked, program))
}

async fn measure(
    point: &mut Point,
    depth: usize,
    seconds: f64,
    seed: u64,
    asked: Asked,
    program: &Path,
) -> Result<(), String> {
    let server = place(SERVER, 0);
    serve(server).await?;
    let next = |number: usize| if number + 1 < depth { place(NODES, number + 1) } else { server };
    let start = |number: usize| {
        let config = config(next(number), number);
        Node::start(program, &format!("hop{number}"), place(NODES, number), place(DISCOVERY, 0), &config)
    };
    let nodes = (0..depth).map(start).collect::<Result<Vec<_>, String>>()?;
    for number in 0..depth {
        up(place(NODES, number)).await?;
    }
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let direct = calls(server, seconds / 2.0, &mut chance).await?;
    let cpu: f64 = nodes.iter().map(Node::cpu).sum();
    let through = calls(place(NODES, 0), seconds, &mut chance).await?;
    let cpu = nodes.iter().map(Node::cpu).sum::<f64>() - cpu;
    let added = |quantile: f64| {
        let ms = |took: &Histogram<u64>| took.value_at_quantile(quantile) as f64 / 1000.0;
        ms(&through.took) - ms(&direct.took)
    };
    match asked {
        Asked::Middle => point.set("added_ms_p50", added(0.5)),
        Asked::Hundredth => point.set("added_ms_p99", added(0.99)),
    }
    point.set("direct_ms_p99", direct.took.value_at_quantile(0.99) as f64 / 1000.0);
    point.set("failed", (direct.failed + through.failed) as f64);
    point.set("calls", through.took.len() as f64);
    point.set("cpu_us_a_hop", cpu * 1e6 / (through.made as f64 * depth as f64));
    let late = |quantile: f64| through.late.value_at_quantile(quantile) as f64 / 1000.0;
    point.set("rig_late_ms_p50", late(0.5));
    point.set("rig_late_ms_p99", late(0.99));
    let (where_asked, most, what) = match asked {
        Asked::Middle => (0.5, LATE_MIDDLE, "in the middle"),
        Asked::Hundredth => (0.99, LATE, "at the hundredth"),
    };
    if late(where_asked) > most {
        point.void = Some(format!("the rig was {:.1} ms late {what}", late(where_asked)));
    }
    Ok(())
}

async fn serve(at: SocketAddrV4) -> Result<(), String> {
    let listener = TcpListener::bind(at).await.map_err(|error| format!("{at}: {error}"))?;
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            // Without it answers wait for the other end's acknowledgement.
            let _ = stream.set_nodelay(true);
            let service = service_fn(async |_: Request<Incoming>| {
                Ok::<_, Infallible>(Response::new(Full::new(Bytes::from_static(b"ok"))))
            });
            spawn_local(async move {
                // A connection may end in any way: the next call shows it.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    Ok(())
}

/// Waits until something listens there.
async fn up(at: SocketAddrV4) -> Result<(), String> {
    let listens = async {
        while TcpStream::connect(at).await.is_err() {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(START, listens).await.map_err(|_| format!("{at}: nothing listens after {} s", START.as_secs()))
}

struct Calls {
    took: Histogram<u64>,
    late: Histogram<u64>,
    made: u64,
    failed: u64,
}

async fn connect(to: SocketAddrV4) -> Result<SendRequest<Empty<Bytes>>, String> {
    let told = |what: String| format!("{to}: {what}");
    let stream = TcpStream::connect(to).await.map_err(|error| told(error.to_string()))?;
    stream.set_nodelay(true).map_err(|error| told(error.to_string()))?;
    let (sender, connection) =
        handshake(TokioIo::new(stream)).await.map_err(|error| told(error.to_string()))?;
    spawn_local(async move {
        let _ = connection.await;
    });
    Ok(sender)
}

/// Calls at random times, one after another on each connection, at the rate of a node.
async fn calls(to: SocketAddrV4, seconds: f64, chance: &mut ChaCha8Rng) -> Result<Calls, String> {
    let begin = Instant::now();
    let (counts_from, over) = (begin + WARM_UP, begin + WARM_UP + Duration::from_secs_f64(seconds));
    let late = spawn_local(lateness(over));
    let callers: Vec<_> = (0..CONNECTIONS)
        .map(|number| {
            let seed = chance.random();
            spawn_local(caller(to, number, seed, counts_from, over))
        })
        .collect();
    let mut all = Calls { took: histogram()?, late: histogram()?, made: 0, failed: 0 };
    for caller in callers {
        let (took, made, failed) = caller.await.map_err(|error| error.to_string())??;
        all.took.add(&took).map_err(|error| error.to_string())?;
        all.made += made;
        all.failed += failed;
    }
    all.late = late.await.map_err(|error| error.to_string())??;
    Ok(all)
}

fn histogram() -> Result<Histogram<u64>, String> {
    Histogram::new_with_bounds(1, 60_000_000, 3).map_err(|error| error.to_string())
}

async fn caller(
    to: SocketAddrV4,
    number: usize,
    seed: u64,
    counts_from: Instant,
    over: Instant,
) -> Result<(Histogram<u64>, u64, u64), String> {
    let (mut chance, mut took) = (ChaCha8Rng::seed_from_u64(seed), histogram()?);
    let (mut made, mut failed) = (0, 0);
    let mut sender = connect(to).await?;
    let mut next = Instant::now();
    loop {
        let pause = -(CONNECTIONS as f64 / RATE) * (1.0 - chance.random::<f64>()).ln();
        next = (next + Duration::from_secs_f64(pause)).max(Instant::now());
        if next >= over {
            return Ok((took, made, failed));
        }
        sleep_until(next).await;
        if sender.is_closed() {
            sender = connect(to).await?;
        }
        made += 1;
        let id = number as u64 * 100_000_000 + made;
        let request = Request::get("/read/it")
            .header("Host", "origin.svc")
            .header("X-Trace-Id", id.to_string())
            .header("X-Customer", "acme")
            .header("X-Expires-In", "3")
            .body(Empty::new())
            .map_err(|error| error.to_string())?;
        let sent = Instant::now();
        let well = match sender.send_request(request).await {
            Ok(answer) => answer.status() == 200 && answer.into_body().collect().await.is_ok(),
            Err(_) => false,
        };
        failed += u64::from(!well);
        if well && sent >= counts_from {
            took.saturating_record(sent.elapsed().as_micros() as u64);
        }
    }
}
