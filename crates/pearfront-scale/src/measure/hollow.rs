//! Measures membership on real sockets with hollow members: they run the real membership core with real connections and
//! datagrams, many in one process, but handle no requests. Two real nodes take part, so that the difference can be measured;
//! one of them is killed at the end to measure failure detection.

use super::rig::{Node, descriptors_of, lateness, loopback_address, on_one_thread};
use crate::Point;
use crate::clock::{memory_mb, process_cpu};
use pearfront_cluster::{Cluster, Settings, View};
use serde_json::{Value, json};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Real nodes among the hollow members.
const REAL_NODES: usize = 2;
/// Hollow members whose view is read.
const OBSERVED_MEMBERS: usize = 8;
/// Pause between two starts.
const START_INTERVAL: Duration = Duration::from_millis(100);
/// Time within which all members must agree after the start.
const JOIN_TIMEOUT: Duration = Duration::from_secs(120);
/// Pause after the join until traffic is back to the steady state.
const SETTLE_TIME: Duration = Duration::from_secs(15);
/// Interval at which views are read.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time within which the loss of the killed node must be detected.
const LOSS_TIMEOUT: Duration = Duration::from_secs(20);
/// Lateness at the 99th percentile, ms, above which the point is void: a core that was stalled for longer doubts its own health.
const MAX_LATENESS_P99_MS: f64 = 250.0;

/// Minimal configuration file of a node.
const NODE_CONFIG: &str = r#"{"seed": "8c1f30d27a5be964", "limits": {"memory_mb": 192, "sockets": 1024},
"known": {"generation": 1, "reset": true, "instances": []},
"settings": {"siblings": 1, "tier": 0, "locality": 0, "round": 4000000, "discovery": "on_request",
"azs": ["a"], "host_types": ["m1"], "customers": [{"name": "acme", "quota_per_s": 100.0}],
"profiles": [{"name": "read", "effect": "safe", "contract_time": 1000000000, "outer_limit": 3000000000, "gain": 1.0}],
"limits": {"most_shots": 3, "cancel": true, "probes": true, "parallel_tries": true, "retry_after": true,
"max_retry_after": 2000000000, "connect_timeout": 120000000, "conn_idle": 30000000000},
"deductions": {"probe": 0.03}, "objective_mix": {"whole": 1.0}, "report": {"fields": ["utilization"], "via": "probe"},
"rules": {"ask_within": 10000000000, "cold": 9000000000, "cold_from": 0.3, "tip_multiple": 4.0,
"overload_for": 2000000000}}}"#;

/// Port groups, distinct from those of other measurements: cluster addresses of members, request addresses of real nodes, and
/// discovery, where nothing listens.
const MEMBER: u16 = 1;
const REQUESTS: u16 = 20;
const DISCOVERY: u16 = 21;

fn settings(number: usize) -> Value {
    json!({"installation": format!("scale-{}", std::process::id()), "name": format!("n{number:05}"),
        "zone": format!("z{}", number % 12), "listen": loopback_address(MEMBER, number),
        "seeds": [loopback_address(MEMBER, 0), loopback_address(MEMBER, 1)]})
}

/// Measures a cluster of `members` hollow members and two real nodes.
///
/// # Errors
/// A member or node that does not start, or members that do not agree in time.
pub fn by_members(point: &mut Point, members: usize, seconds: f64, program: &Path) -> Result<(), String> {
    on_one_thread(measure(point, members, seconds, program))
}

async fn measure(point: &mut Point, members: usize, seconds: f64, program: &Path) -> Result<(), String> {
    let (memory, descriptors, begin) = (memory_mb().0, descriptors_of("self"), Instant::now());
    let start_hollow = |number: usize| {
        let settings: Settings =
            serde_json::from_value(settings(number)).map_err(|error| error.to_string())?;
        Cluster::start(settings, &format!("n{number:05}"))
    };
    let mut clusters = Vec::new();
    for number in 0..members {
        clusters.push(start_hollow(number)?);
        // Starting all at once, they would share one core and doubt their own health: a limit of the machine, not of the members.
        sleep(START_INTERVAL).await;
    }
    let nodes = (members..members + REAL_NODES).map(|number| start_node(program, number));
    let mut nodes = nodes.collect::<Result<Vec<_>, String>>()?;
    while !views_agree(&clusters, members + REAL_NODES) {
        if begin.elapsed() > JOIN_TIMEOUT {
            return Err(format!("{members} members do not agree within {} s", JOIN_TIMEOUT.as_secs()));
        }
        sleep(POLL_INTERVAL).await;
    }
    point.set("join_ms", begin.elapsed().as_secs_f64() * 1000.0);
    sleep(SETTLE_TIME).await;
    let counted = |clusters: &[Rc<Cluster>]| {
        let bytes = |view: View| (view.counts.bytes_out as f64, view.counts.datagrams_out as f64);
        clusters
            .iter()
            .take(OBSERVED_MEMBERS)
            .map(|cluster| bytes(cluster.view()))
            .fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    };
    let (sent, cpu) = (counted(&clusters), process_cpu());
    let real_cpu: Vec<f64> = nodes.iter().map(Node::cpu).collect();
    let end = Instant::now() + Duration::from_secs_f64(seconds);
    let lateness_us = spawn_local(lateness(end)).await.map_err(|error| error.to_string())??;
    let (sent_after, cpu_after) = (counted(&clusters), process_cpu());
    let share = |spent: f64| spent / seconds * 100.0;
    let (all, observed) = (members as f64, OBSERVED_MEMBERS.min(members) as f64);
    let mean_of_nodes = |value: &dyn Fn(usize, &Node) -> f64| {
        nodes.iter().enumerate().map(|(index, node)| value(index, node)).sum::<f64>() / REAL_NODES as f64
    };
    point.set("hollow_cpu_share", share(cpu_after - cpu) / all);
    point.set("hollow_memory_kb", ((memory_mb().0 - memory) * 1024.0 / all).max(0.0));
    point.set("hollow_descriptors", (descriptors_of("self") - descriptors) as f64 / all);
    point.set("bytes_a_second", (sent_after.0 - sent.0) / seconds / observed);
    point.set("datagrams_a_second", (sent_after.1 - sent.1) / seconds / observed);
    point.set("real_cpu_share", share(mean_of_nodes(&|index, node| node.cpu() - real_cpu[index])));
    point.set("real_memory_mb", mean_of_nodes(&|_, node| node.memory_mb()));
    point.set("real_descriptors", mean_of_nodes(&|_, node| node.descriptors() as f64));
    let late_ms = lateness_us.value_at_quantile(0.99) as f64 / 1000.0;
    point.set("rig_late_ms_p99", late_ms);
    if late_ms > MAX_LATENESS_P99_MS {
        point.void = Some(format!("the rig was {late_ms:.0} ms late at the hundredth"));
    }
    measure_loss(point, &clusters, &mut nodes, members).await;
    Ok(())
}

fn start_node(program: &Path, number: usize) -> Result<Node, String> {
    let mut file: Value = serde_json::from_str(NODE_CONFIG).map_err(|error| error.to_string())?;
    file["cluster"] = settings(number);
    Node::start(
        program,
        &format!("n{number:05}"),
        loopback_address(REQUESTS, number),
        loopback_address(DISCOVERY, number),
        &file,
    )
}

/// Whether all observed members see `total` members present and have identical views.
fn views_agree(clusters: &[Rc<Cluster>], total: usize) -> bool {
    let views: Vec<View> = clusters.iter().take(OBSERVED_MEMBERS).map(|cluster| cluster.view()).collect();
    let present_count =
        |view: &View| view.members.iter().filter(|one| ["alive", "suspect"].contains(&one.state)).count() + 1;
    views.iter().all(|view| present_count(view) == total && view.sum == views[0].sum)
}

/// Kills a real node and measures the time until the first and until all of the observed members have detected it.
async fn measure_loss(point: &mut Point, clusters: &[Rc<Cluster>], nodes: &mut [Node], members: usize) {
    let Some(node) = nodes.last_mut() else { return };
    let name = format!("n{:05}", members + REAL_NODES - 1);
    node.kill();
    let begin = Instant::now();
    let has_detected = |cluster: &Rc<Cluster>| {
        let view = cluster.view();
        let state = view.members.iter().find(|one| one.name == name).map(|one| one.state);
        !matches!(state, Some("alive" | "suspect"))
    };
    let mut first = None;
    while begin.elapsed() < LOSS_TIMEOUT {
        let detected_count =
            clusters.iter().take(OBSERVED_MEMBERS).filter(|cluster| has_detected(cluster)).count();
        let ms = begin.elapsed().as_secs_f64() * 1000.0;
        if detected_count > 0 {
            first.get_or_insert(ms);
        }
        if detected_count == OBSERVED_MEMBERS.min(clusters.len()) {
            point.set("killed_known_first_ms", first.unwrap_or(ms));
            point.set("killed_known_all_ms", ms);
            return;
        }
        sleep(POLL_INTERVAL).await;
    }
}
