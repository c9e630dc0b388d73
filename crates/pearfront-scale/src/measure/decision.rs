//! What decisions cost: by servers of a service, services that a node calls, lines of a list, callers of a service.

use super::caller::{Caller, PROBES_CHEAP, PROBES_DEAR, server, settings};
use crate::Point;
use crate::clock::{memory_mb, thread_cpu};
use pearfront::interface::Address;
use std::collections::BTreeMap;

/// Calls a second at a node: 2.4 million over 22,000.
const RATE: f64 = 109.0;
/// Time before the figures, ms: a module's measurements span 10 s.
const WARM_UP: f64 = 12_000.0;
/// Servers of each of the services that one node calls: 22,000 in 4,200.
const EACH: usize = 5;
/// Servers of the service that many call, and calls a second of each caller to it: a node calls some ten services.
const CALLED: usize = 100;
const RATE_EACH: f64 = 11.0;
/// Copies of a module whose memory is taken together, so that pages don't blur it.
const COPIES: usize = 16;
/// Single lines that are told one after another.
const LINES: usize = 200;

/// Each server makes as many calls as it gets, so a service whose callers call nothing else has as many callers as servers.
pub fn by_servers(point: &mut Point, servers: usize, asked: bool, seconds: f64, seed: u64) {
    let price = if asked { PROBES_CHEAP } else { PROBES_DEAR };
    let mut caller = Caller::new(settings(servers, price, 0), servers, RATE, seed);
    caller.run_to(WARM_UP);
    let (before, cpu) = (caller.counts, thread_cpu());
    caller.run_to(WARM_UP + seconds * 1000.0);
    let (after, cpu) = (caller.counts, thread_cpu() - cpu);
    let jobs = (after.jobs - before.jobs).max(1) as f64;
    point.set("cpu_us_a_job", cpu * 1e6 / jobs);
    point.set("cpu_share", cpu / seconds * 100.0);
    point.set("probes_a_second", (after.probes - before.probes) as f64 / seconds);
    point.set("probes_a_job", (after.probes - before.probes) as f64 / jobs);
    point.set("rounds_a_second", (after.rounds - before.rounds) as f64 / seconds);
    point.set("attempts_a_job", (after.attempts - before.attempts) as f64 / jobs);
    point.set("given_up", (after.given_up - before.given_up) as f64);
    point.set("connections", caller.connected() as f64);
    drop(caller);
    let before = memory_mb().0;
    let mut copies: Vec<Caller> = (0..COPIES)
        .map(|copy| Caller::new(settings(servers, price, 0), servers, RATE, copy as u64))
        .collect();
    copies.iter_mut().for_each(|copy| copy.run_to(1000.0));
    point.set("memory_kb", ((memory_mb().0 - before) * 1024.0 / COPIES as f64).max(0.0));
}

pub fn by_services(point: &mut Point, services: usize, seconds: f64, seed: u64) {
    let rate = RATE / services as f64;
    let before = memory_mb().0;
    let one = |service: usize| {
        Caller::new(settings(EACH * services, PROBES_DEAR, 0), EACH, rate, seed.wrapping_add(service as u64))
    };
    let mut all: Vec<Caller> = (0..services).map(one).collect();
    all.iter_mut().for_each(|caller| caller.run_to(WARM_UP));
    let sum = |all: &[Caller], of: fn(&Caller) -> f64| all.iter().map(of).sum::<f64>();
    let probes = |caller: &Caller| caller.counts.probes as f64;
    let rounds = |caller: &Caller| caller.counts.rounds as f64;
    let (had, rounds_had, cpu) = (sum(&all, probes), sum(&all, rounds), thread_cpu());
    all.iter_mut().for_each(|caller| caller.run_to(WARM_UP + seconds * 1000.0));
    let cpu = thread_cpu() - cpu;
    point.set("cpu_share", cpu / seconds * 100.0);
    point.set("probes_a_second", (sum(&all, probes) - had) / seconds);
    point.set("rounds_a_second", (sum(&all, rounds) - rounds_had) / seconds);
    point.set("connections", sum(&all, |caller| caller.connected() as f64));
    point.set("memory_kb", ((memory_mb().0 - before) * 1024.0).max(0.0));
}

/// The list as such: the first whole one, the same once more, and single lines.
pub fn lists(point: &mut Point, servers: usize, seed: u64) {
    let all: Vec<_> = (0..servers).map(server).collect();
    let cpu = thread_cpu();
    let mut caller = Caller::new(settings(servers, PROBES_DEAR, 0), servers, RATE, seed);
    point.set("cpu_ms_first_list", (thread_cpu() - cpu) * 1000.0);
    let cpu = thread_cpu();
    caller.listed(true, &all);
    point.set("cpu_ms_whole_list", (thread_cpu() - cpu) * 1000.0);
    let cpu = thread_cpu();
    for number in 0..LINES {
        let mut line = all[number % servers];
        line.started_at = 1.0 + number as f64;
        caller.listed(false, &[line]);
    }
    point.set("cpu_us_a_line", (thread_cpu() - cpu) * 1e6 / LINES as f64);
    let text = |number: usize| {
        let [a, b, c, d, high, low] = server(number).address;
        let port = u16::from_be_bytes([high, low]);
        serde_json::json!({"instanceId": format!("service-17-{number}"), "hostPort": format!("{a}.{b}.{c}.{d}:{port}"),
            "zone": "region-a-1", "machineType": "standard", "cell": 0, "lifecycle": "Ready", "weight": 1.0,
            "startedAtMs": 1_764_640_000_000u64})
    };
    let bytes: usize = (0..servers).map(|number| text(number).to_string().len() + 1).sum();
    point.set("list_bytes", bytes as f64);
}

/// All callers of one service: what its servers get of them.
pub fn by_callers(point: &mut Point, callers: usize, seconds: f64, seed: u64) {
    let (mut probes, mut connections, mut attempts) = (0u64, BTreeMap::<Address, u64>::new(), 0u64);
    let (mut given_up, mut own) = (0, 0);
    for number in 0..callers {
        let settings = settings(callers, PROBES_DEAR, (number % 3) as u16);
        let mut caller =
            Caller::new(settings, CALLED, RATE_EACH, seed.wrapping_mul(1000).wrapping_add(number as u64));
        caller.run_to(WARM_UP);
        let before = caller.counts;
        caller.run_to(WARM_UP + seconds * 1000.0);
        probes += caller.counts.probes - before.probes;
        attempts += caller.counts.attempts - before.attempts;
        given_up += caller.counts.given_up - before.given_up;
        own += caller.connected();
        let now = WARM_UP + seconds * 1000.0;
        for (server, used) in &caller.used {
            if now - used < super::caller::KEPT {
                *connections.entry(*server).or_default() += 1;
            }
        }
    }
    let servers = CALLED as f64;
    point.set("probes_a_second_at_a_server", probes as f64 / seconds / servers);
    point.set("attempts_a_second_at_a_server", attempts as f64 / seconds / servers);
    point.set("connections_at_a_server", connections.values().sum::<u64>() as f64 / servers);
    point.set("most_connections_at_a_server", connections.values().copied().max().unwrap_or(0) as f64);
    point.set("connections_of_a_caller", own as f64 / callers as f64);
    point.set("given_up", given_up as f64);
}
