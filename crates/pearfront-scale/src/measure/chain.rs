//! Measures the latency and processor time that each hop adds: requests pass through a chain of real nodes, at the target rate
//! of one node, to a server that answers at once. The latency of the same requests without any node is subtracted.

use super::rig::{Node, lateness, loopback_address, on_one_thread};
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

/// Requests per second: the rate of one node at the target.
const REQUEST_RATE: f64 = 109.0;
/// Time before requests are measured.
const WARM_UP: Duration = Duration::from_secs(2);
/// Time within which a node must listen.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Connections, each with one request at a time.
const CONNECTIONS: usize = 8;
/// Lateness of the measuring process, ms, at the 99th percentile and at the median, above which the figures at that quantile
/// reflect the machine and the point is void. The runtime's timers have a resolution of 1 ms, so 1 ms of lateness is always
/// there; requests are timed from when they were sent, not from when they were due.
const MAX_LATENESS_P99_MS: f64 = 2.5;
const MAX_LATENESS_MEDIAN_MS: f64 = 1.5;

/// Port groups, distinct from those of other measurements.
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

/// Which latency quantile a point is about, and at which its lateness is checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Quantile {
    /// The median, which a late machine distorts little.
    Median,
    /// The 99th percentile.
    P99,
}

/// Measures a chain of `depth` nodes; the point gets the added latency at one quantile.
///
/// # Errors
/// A node that does not start or listen, or a connection that can't be opened.
pub fn by_depth(
    point: &mut Point,
    depth: usize,
    seconds: f64,
    seed: u64,
    judged: Quantile,
    program: &Path,
) -> Result<(), String> {
    on_one_thread(measure(point, depth, seconds, seed, judged, program))
}

async fn measure(
    point: &mut Point,
    depth: usize,
    seconds: f64,
    seed: u64,
    judged: Quantile,
    program: &Path,
) -> Result<(), String> {
    let server = loopback_address(SERVER, 0);
    serve(server).await?;
    let next = |number: usize| if number + 1 < depth { loopback_address(NODES, number + 1) } else { server };
    let start = |number: usize| {
        let config = config(next(number), number);
        Node::start(
            program,
            &format!("hop{number}"),
            loopback_address(NODES, number),
            loopback_address(DISCOVERY, 0),
            &config,
        )
    };
    let nodes = (0..depth).map(start).collect::<Result<Vec<_>, String>>()?;
    for number in 0..depth {
        wait_until_listening(loopback_address(NODES, number)).await?;
    }
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let direct = send_requests(server, seconds / 2.0, &mut rng).await?;
    let cpu: f64 = nodes.iter().map(Node::cpu).sum();
    let through_chain = send_requests(loopback_address(NODES, 0), seconds, &mut rng).await?;
    let cpu = nodes.iter().map(Node::cpu).sum::<f64>() - cpu;
    let added = |quantile: f64| {
        let ms = |latency: &Histogram<u64>| latency.value_at_quantile(quantile) as f64 / 1000.0;
        ms(&through_chain.latency) - ms(&direct.latency)
    };
    match judged {
        Quantile::Median => point.set("added_ms_p50", added(0.5)),
        Quantile::P99 => point.set("added_ms_p99", added(0.99)),
    }
    point.set("direct_ms_p99", direct.latency.value_at_quantile(0.99) as f64 / 1000.0);
    point.set("failed", (direct.failed + through_chain.failed) as f64);
    point.set("calls", through_chain.latency.len() as f64);
    point.set("cpu_us_a_hop", cpu * 1e6 / (through_chain.sent_count as f64 * depth as f64));
    let lateness_at = |quantile: f64| through_chain.lateness_us.value_at_quantile(quantile) as f64 / 1000.0;
    point.set("rig_late_ms_p50", lateness_at(0.5));
    point.set("rig_late_ms_p99", lateness_at(0.99));
    let (judged_at, max_lateness_ms, description) = match judged {
        Quantile::Median => (0.5, MAX_LATENESS_MEDIAN_MS, "in the middle"),
        Quantile::P99 => (0.99, MAX_LATENESS_P99_MS, "at the hundredth"),
    };
    if lateness_at(judged_at) > max_lateness_ms {
        point.void = Some(format!("the rig was {:.1} ms late {description}", lateness_at(judged_at)));
    }
    Ok(())
}

async fn serve(at: SocketAddrV4) -> Result<(), String> {
    let listener = TcpListener::bind(at).await.map_err(|error| format!("{at}: {error}"))?;
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            // Without it, Nagle's algorithm delays answers until the client's acknowledgement.
            let _ = stream.set_nodelay(true);
            let service = service_fn(async |_: Request<Incoming>| {
                Ok::<_, Infallible>(Response::new(Full::new(Bytes::from_static(b"ok"))))
            });
            spawn_local(async move {
                // The end of a connection is not an error here; the next request detects it.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    Ok(())
}

/// Waits until the address accepts connections.
async fn wait_until_listening(at: SocketAddrV4) -> Result<(), String> {
    let listens = async {
        while TcpStream::connect(at).await.is_err() {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(START_TIMEOUT, listens)
        .await
        .map_err(|_| format!("{at}: not listening after {} s", START_TIMEOUT.as_secs()))
}

/// Latency of requests in microseconds, and lateness of the measuring process.
struct Requests {
    latency: Histogram<u64>,
    lateness_us: Histogram<u64>,
    sent_count: u64,
    failed: u64,
}

async fn connect(to: SocketAddrV4) -> Result<SendRequest<Empty<Bytes>>, String> {
    let with_address = |message: String| format!("{to}: {message}");
    let stream = TcpStream::connect(to).await.map_err(|error| with_address(error.to_string()))?;
    stream.set_nodelay(true).map_err(|error| with_address(error.to_string()))?;
    let (sender, connection) =
        handshake(TokioIo::new(stream)).await.map_err(|error| with_address(error.to_string()))?;
    spawn_local(async move {
        let _ = connection.await;
    });
    Ok(sender)
}

/// Sends requests at random times at the rate of one node, one after another on each connection.
async fn send_requests(to: SocketAddrV4, seconds: f64, rng: &mut ChaCha8Rng) -> Result<Requests, String> {
    let begin = Instant::now();
    let (measure_from, end) = (begin + WARM_UP, begin + WARM_UP + Duration::from_secs_f64(seconds));
    let lateness_us = spawn_local(lateness(end));
    let connections: Vec<_> = (0..CONNECTIONS)
        .map(|number| {
            let seed = rng.random();
            spawn_local(run_connection(to, number, seed, measure_from, end))
        })
        .collect();
    let mut total = Requests { latency: histogram()?, lateness_us: histogram()?, sent_count: 0, failed: 0 };
    for connection in connections {
        let (latency, sent_count, failed) = connection.await.map_err(|error| error.to_string())??;
        total.latency.add(&latency).map_err(|error| error.to_string())?;
        total.sent_count += sent_count;
        total.failed += failed;
    }
    total.lateness_us = lateness_us.await.map_err(|error| error.to_string())??;
    Ok(total)
}

fn histogram() -> Result<Histogram<u64>, String> {
    Histogram::new_with_bounds(1, 60_000_000, 3).map_err(|error| error.to_string())
}

async fn run_connection(
    to: SocketAddrV4,
    number: usize,
    seed: u64,
    measure_from: Instant,
    end: Instant,
) -> Result<(Histogram<u64>, u64, u64), String> {
    let (mut rng, mut latency) = (ChaCha8Rng::seed_from_u64(seed), histogram()?);
    let (mut sent_count, mut failed) = (0, 0);
    let mut sender = connect(to).await?;
    let mut next = Instant::now();
    loop {
        let pause = -(CONNECTIONS as f64 / REQUEST_RATE) * (1.0 - rng.random::<f64>()).ln();
        next = (next + Duration::from_secs_f64(pause)).max(Instant::now());
        if next >= end {
            return Ok((latency, sent_count, failed));
        }
        sleep_until(next).await;
        if sender.is_closed() {
            sender = connect(to).await?;
        }
        sent_count += 1;
        let id = number as u64 * 100_000_000 + sent_count;
        let request = Request::get("/read/it")
            .header("Host", "origin.svc")
            .header("X-Trace-Id", id.to_string())
            .header("X-Customer", "acme")
            .header("X-Expires-In", "3")
            .body(Empty::new())
            .map_err(|error| error.to_string())?;
        let sent = Instant::now();
        let succeeded = match sender.send_request(request).await {
            Ok(answer) => answer.status() == 200 && answer.into_body().collect().await.is_ok(),
            Err(_) => false,
        };
        failed += u64::from(!succeeded);
        if succeeded && sent >= measure_from {
            latency.saturating_record(sent.elapsed().as_micros() as u64);
        }
    }
}
