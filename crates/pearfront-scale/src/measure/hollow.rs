//! Hollow processes: the real core of membership on real links and datagrams, many in one process, without jobs. Two real
//! nodes are among them, so that the difference is measured; one of these is killed in the end.

use super::rig::{Node, descriptors_of, lateness, on_one_thread, place};
use crate::Point;
use crate::clock::{memory_mb, process_cpu};
use pearfront_cluster::{Cluster, Settings, View};
use serde_json::{Value, json};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// Real nodes among the hollow ones.
const REAL: usize = 2;
/// Hollow processes whose view is read.
const READ: usize = 8;
/// Pause between two starts.
const STAGGER: Duration = Duration::from_millis(100);
/// How long the join is waited for, and the pause until it is quiet.
const JOIN: Duration = Duration::from_secs(120);
const SETTLE: Duration = Duration::from_secs(15);
/// How often views are looked at, and how long a loss is waited for.
const LOOK: Duration = Duration::from_millis(50);
const LOSS: Duration = Duration::from_secs(20);
/// Lateness at the hundredth, ms, from which on the point is void: a core that stood still for longer doubts itself.
const LATE: f64 = 250.0;

/// A node's file, with the least that it asks for.
const FILE: &str = r#"{"seed": "8c1f30d27a5be964", "limits": {"memory_mb": 192, "sockets": 1024},
"known": {"generation": 1, "reset": true, "instances": []},
"settings": {"siblings": 1, "tier": 0, "locality": 0, "round": 4000000, "discovery": "on_request",
"azs": ["a"], "host_types": ["m1"], "customers": [{"name": "acme", "quota_per_s": 100.0}],
"profiles": [{"name": "read", "effect": "safe", "contract_time": 1000000000, "outer_limit": 3000000000, "gain": 1.0}],
"limits": {"most_shots": 3, "cancel": true, "probes": true, "parallel_tries": true, "retry_after": true,
"max_retry_after": 2000000000, "connect_timeout": 120000000, "conn_idle": 30000000000},
"deductions": {"probe": 0.03}, "objective_mix": {"whole": 1.0}, "report": {"fields": ["utilization"], "via": "probe"},
"rules": {"ask_within": 10000000000, "cold": 9000000000, "cold_from": 0.3, "tip_multiple": 4.0,
"overload_for": 2000000000}}}"#;

/// Kinds of places, none that another measurement has: a member's address, a real node's for jobs, discovery that is not there.
const MEMBER: u16 = 1;
const JOBS: u16 = 20;
const DISCOVERY: u16 = 21;

fn settings(number: usize) -> Value {
    json!({"installation": format!("scale-{}", std::process::id()), "name": format!("n{number:05}"),
        "zone": format!("z{}", number % 12), "listen": place(MEMBER, number),
        "seeds": [place(MEMBER, 0), place(MEMBER, 1)]})
}

pub fn by_members(point: &mut Point, members: usize, seconds: f64, program: &Path) -> Result<(), String> {
    on_one_thread(measure(point, members, seconds, program))
}

async fn measure(point: &mut Point, members: usize, seconds: f64, program: &Path) -> Result<(), String> {
    let (memory, descriptors, begin) = (memory_mb().0, descriptors_of("self"), Instant::now());
    let hollow = |number: usize| {
        let settings: Settings =
            serde_json::from_value(settings(number)).map_err(|error| error.to_string())?;
        Cluster::start(settings, &format!("n{number:05}"))
    };
    let mut clusters = Vec::new();
    for number in 0..members {
        clusters.push(hollow(number)?);
        // All at once they would have one core between them, and doubt their own health: the machine's limit, not theirs.
        sleep(STAGGER).await;
    }
    let nodes = (members..members + REAL).map(|number| node(program, number));
    let mut nodes = nodes.collect::<Result<Vec<_>, String>>()?;
    while !agreed(&clusters, members + REAL) {
        if begin.elapsed() > JOIN {
            return Err(format!("{members} members do not agree within {} s", JOIN.as_secs()));
        }
        sleep(LOOK).await;
    }
    point.set("join_ms", begin.elapsed().as_secs_f64() * 1000.0);
    sleep(SETTLE).await;
    let counted = |clusters: &[Rc<Cluster>]| {
        let bytes = |view: View| (view.counts.bytes_out as f64, view.counts.datagrams_out as f64);
        clusters
            .iter()
            .take(READ)
            .map(|cluster| bytes(cluster.view()))
            .fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    };
    let (sent, cpu) = (counted(&clusters), process_cpu());
    let real_cpu: Vec<f64> = nodes.iter().map(Node::cpu).collect();
    let over = Instant::now() + Duration::from_secs_f64(seconds);
    let late = spawn_local(lateness(over)).await.map_err(|error| error.to_string())??;
    let (sent_then, cpu_then) = (counted(&clusters), process_cpu());
    let share = |spent: f64| spent / seconds * 100.0;
    let (all, read) = (members as f64, READ.min(members) as f64);
    let of_nodes = |of: &dyn Fn(usize, &Node) -> f64| {
        nodes.iter().enumerate().map(|(place, node)| of(place, node)).sum::<f64>() / REAL as f64
    };
    point.set("hollow_cpu_share", share(cpu_then - cpu) / all);
    point.set("hollow_memory_kb", ((memory_mb().0 - memory) * 1024.0 / all).max(0.0));
    point.set("hollow_descriptors", (descriptors_of("self") - descriptors) as f64 / all);
    point.set("bytes_a_second", (sent_then.0 - sent.0) / seconds / read);
    point.set("datagrams_a_second", (sent_then.1 - sent.1) / seconds / read);
    point.set("real_cpu_share", share(of_nodes(&|place, node| node.cpu() - real_cpu[place])));
    point.set("real_memory_mb", of_nodes(&|_, node| node.memory_mb()));
    point.set("real_descriptors", of_nodes(&|_, node| node.descriptors() as f64));
    let late_ms = late.value_at_quantile(0.99) as f64 / 1000.0;
    point.set("rig_late_ms_p99", late_ms);
    if late_ms > LATE {
        point.void = Some(format!("the rig was {late_ms:.0} ms late at the hundredth"));
    }
    lost(point, &clusters, &mut nodes, members).await;
    Ok(())
}

fn node(program: &Path, number: usize) -> Result<Node, String> {
    let mut file: Value = serde_json::from_str(FILE).map_err(|error| error.to_string())?;
    file["cluster"] = settings(number);
    Node::start(program, &format!("n{number:05}"), place(JOBS, number), place(DISCOVERY, number), &file)
}

/// Do those that are read hold so many to be here, all alike?
fn agreed(clusters: &[Rc<Cluster>], all: usize) -> bool {
    let views: Vec<View> = clusters.iter().take(READ).map(|cluster| cluster.view()).collect();
    let here =
        |view: &View| view.members.iter().filter(|one| ["alive", "suspect"].contains(&one.state)).count() + 1;
    views.iter().all(|view| here(view) == all && view.sum == views[0].sum)
}

/// A real node is killed: how long until the first and until all of those that are read know?
async fn lost(point: &mut Point, clusters: &[Rc<Cluster>], nodes: &mut [Node], members: usize) {
    let Some(node) = nodes.last_mut() else { return };
    let name = format!("n{:05}", members + REAL - 1);
    node.kill();
    let begin = Instant::now();
    let knows = |cluster: &Rc<Cluster>| {
        let view = cluster.view();
        let state = view.members.iter().find(|one| one.name == name).map(|one| one.state);
        !matches!(state, Some("alive" | "suspect"))
    };
    let mut first = None;
    while begin.elapsed() < LOSS {
        let knowing = clusters.iter().take(READ).filter(|cluster| knows(cluster)).count();
        let ms = begin.elapsed().as_secs_f64() * 1000.0;
        if knowing > 0 {
            first.get_or_insert(ms);
        }
        if knowing == READ.min(clusters.len()) {
            point.set("killed_known_first_ms", first.unwrap_or(ms));
            point.set("killed_known_all_ms", ms);
            return;
        }
        sleep(LOOK).await;
    }
}
