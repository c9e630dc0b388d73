//! Measures the cost of the decision module: by servers of a service, services that a node calls, lines of a server list, and
//! clients of a service.

use super::client::{Client, PROBE_PRICE_HIGH, PROBE_PRICE_LOW, server, settings};
use crate::Point;
use crate::clock::{memory_mb, thread_cpu};
use pearfront::interface::Address;
use std::collections::BTreeMap;

/// Requests per second at a node: 2.4 million over 22,000 nodes.
const REQUEST_RATE: f64 = 109.0;
/// Time before figures are taken, ms: the windows of a module's measurements span 10 s.
const WARM_UP_MS: f64 = 12_000.0;
/// Servers per service in `by_services`: 22,000 servers in 4,200 services.
const SERVERS_PER_SERVICE: usize = 5;
/// Servers of the service in `by_clients`.
const SHARED_SERVICE_SERVERS: usize = 100;
/// Requests per second from each client to that service: a node calls some ten services.
const RATE_PER_CLIENT: f64 = 11.0;
/// Copies of a module whose memory is measured together, so that page granularity does not distort the result.
const MODULE_COPIES: usize = 16;
/// Single-line list updates that are applied one after another.
const LINE_UPDATES: usize = 200;

/// Cost by servers of a service. Each server sends as many requests as it receives, so a service whose clients call nothing
/// else has as many clients as servers.
pub fn by_servers(point: &mut Point, servers: usize, probes_first: bool, seconds: f64, seed: u64) {
    let price = if probes_first { PROBE_PRICE_LOW } else { PROBE_PRICE_HIGH };
    let mut client = Client::new(settings(servers, price, 0), servers, REQUEST_RATE, seed);
    client.run_to(WARM_UP_MS);
    let (before, cpu) = (client.counts, thread_cpu());
    client.run_to(WARM_UP_MS + seconds * 1000.0);
    let (after, cpu) = (client.counts, thread_cpu() - cpu);
    let requests = (after.requests - before.requests).max(1) as f64;
    point.set("cpu_us_a_job", cpu * 1e6 / requests);
    point.set("cpu_share", cpu / seconds * 100.0);
    point.set("probes_a_second", (after.probes - before.probes) as f64 / seconds);
    point.set("probes_a_job", (after.probes - before.probes) as f64 / requests);
    point.set("rounds_a_second", (after.rounds - before.rounds) as f64 / seconds);
    point.set("attempts_a_job", (after.attempts - before.attempts) as f64 / requests);
    point.set("given_up", (after.given_up - before.given_up) as f64);
    point.set("connections", client.connected() as f64);
    drop(client);
    let before = memory_mb().0;
    let mut copies: Vec<Client> = (0..MODULE_COPIES)
        .map(|copy| Client::new(settings(servers, price, 0), servers, REQUEST_RATE, copy as u64))
        .collect();
    copies.iter_mut().for_each(|copy| copy.run_to(1000.0));
    point.set("memory_kb", ((memory_mb().0 - before) * 1024.0 / MODULE_COPIES as f64).max(0.0));
}

/// Cost by number of services that one node calls.
pub fn by_services(point: &mut Point, services: usize, seconds: f64, seed: u64) {
    let rate = REQUEST_RATE / services as f64;
    let before = memory_mb().0;
    let start_client = |service: usize| {
        Client::new(
            settings(SERVERS_PER_SERVICE * services, PROBE_PRICE_HIGH, 0),
            SERVERS_PER_SERVICE,
            rate,
            seed.wrapping_add(service as u64),
        )
    };
    let mut clients: Vec<Client> = (0..services).map(start_client).collect();
    clients.iter_mut().for_each(|client| client.run_to(WARM_UP_MS));
    let sum = |clients: &[Client], value: fn(&Client) -> f64| clients.iter().map(value).sum::<f64>();
    let probes = |client: &Client| client.counts.probes as f64;
    let rounds = |client: &Client| client.counts.rounds as f64;
    let (probes_before, rounds_before, cpu) = (sum(&clients, probes), sum(&clients, rounds), thread_cpu());
    clients.iter_mut().for_each(|client| client.run_to(WARM_UP_MS + seconds * 1000.0));
    let cpu = thread_cpu() - cpu;
    point.set("cpu_share", cpu / seconds * 100.0);
    point.set("probes_a_second", (sum(&clients, probes) - probes_before) / seconds);
    point.set("rounds_a_second", (sum(&clients, rounds) - rounds_before) / seconds);
    point.set("connections", sum(&clients, |client| client.connected() as f64));
    point.set("memory_kb", ((memory_mb().0 - before) * 1024.0).max(0.0));
}

/// Cost of server lists: the first full list, the same list again, and single-line updates.
pub fn lists(point: &mut Point, servers: usize, seed: u64) {
    let lines: Vec<_> = (0..servers).map(server).collect();
    let cpu = thread_cpu();
    let mut client = Client::new(settings(servers, PROBE_PRICE_HIGH, 0), servers, REQUEST_RATE, seed);
    point.set("cpu_ms_first_list", (thread_cpu() - cpu) * 1000.0);
    let cpu = thread_cpu();
    client.update_list(true, &lines);
    point.set("cpu_ms_whole_list", (thread_cpu() - cpu) * 1000.0);
    let cpu = thread_cpu();
    for number in 0..LINE_UPDATES {
        let mut line = lines[number % servers];
        line.started_at = 1.0 + number as f64;
        client.update_list(false, &[line]);
    }
    point.set("cpu_us_a_line", (thread_cpu() - cpu) * 1e6 / LINE_UPDATES as f64);
    let line_text = |number: usize| {
        let [a, b, c, d, high, low] = server(number).address;
        let port = u16::from_be_bytes([high, low]);
        serde_json::json!({"instanceId": format!("service-17-{number}"), "hostPort": format!("{a}.{b}.{c}.{d}:{port}"),
            "zone": "region-a-1", "machineType": "standard", "cell": 0, "lifecycle": "Ready", "weight": 1.0,
            "startedAtMs": 1_764_640_000_000u64})
    };
    let bytes: usize = (0..servers).map(|number| line_text(number).to_string().len() + 1).sum();
    point.set("list_bytes", bytes as f64);
}

/// Load that all clients of one service put on its servers: probes, attempts and connections.
pub fn by_clients(point: &mut Point, clients: usize, seconds: f64, seed: u64) {
    let (mut probes, mut connections, mut attempts) = (0u64, BTreeMap::<Address, u64>::new(), 0u64);
    let (mut given_up, mut open_connections) = (0, 0);
    for number in 0..clients {
        let settings = settings(clients, PROBE_PRICE_HIGH, (number % 3) as u16);
        let mut client = Client::new(
            settings,
            SHARED_SERVICE_SERVERS,
            RATE_PER_CLIENT,
            seed.wrapping_mul(1000).wrapping_add(number as u64),
        );
        client.run_to(WARM_UP_MS);
        let before = client.counts;
        client.run_to(WARM_UP_MS + seconds * 1000.0);
        probes += client.counts.probes - before.probes;
        attempts += client.counts.attempts - before.attempts;
        given_up += client.counts.given_up - before.given_up;
        open_connections += client.connected();
        let now = WARM_UP_MS + seconds * 1000.0;
        for (server, last_used) in &client.last_used {
            if now - last_used < super::client::IDLE_CONNECTION_MS {
                *connections.entry(*server).or_default() += 1;
            }
        }
    }
    let servers = SHARED_SERVICE_SERVERS as f64;
    point.set("probes_a_second_at_a_server", probes as f64 / seconds / servers);
    point.set("attempts_a_second_at_a_server", attempts as f64 / seconds / servers);
    point.set("connections_at_a_server", connections.values().sum::<u64>() as f64 / servers);
    point.set("most_connections_at_a_server", connections.values().copied().max().unwrap_or(0) as f64);
    point.set("connections_of_a_caller", open_connections as f64 / clients as f64);
    point.set("given_up", given_up as f64);
}
