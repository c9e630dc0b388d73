//! Rules on numbers of attempts and on memory: the retries of a node, the attempts on a server that has come back cold, and what a
//! node's processes hold.

use super::history::History;
use super::{Break, DELAY_SLACK_MS, Rule, SLACK_MS};
use crate::client::mean_requests_per_arrival;
use crate::node_file::{
    BUDGET_FREE, BUDGET_RATIO, BUDGET_SPAN_MS, COLD_FROM, COLD_MS, OVERLOAD_FOR_MS, TIP_MULTIPLE,
};
use crate::plan::Plan;
use crate::record::Record;
use std::collections::BTreeMap;

/// Checks the retries of each node against its retry budget, in each window that ends with a retry.
pub(super) fn check_retry_budget(history: &History, breaks: &mut Vec<Break>) {
    let mut retries: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
    let mut requests: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
    for (id, request) in &history.requests {
        requests.entry(request.node).or_default().push(request.at);
        let attempts = history.attempts.get(id).map_or(&[][..], Vec::as_slice);
        retries.entry(request.node).or_default().extend(attempts.iter().skip(1).map(|attempt| attempt.at));
    }
    for (node, times) in &mut retries {
        times.sort_by(f64::total_cmp);
        let within = |times: &[f64], from: f64, to: f64| {
            times.iter().filter(|at| (from..=to).contains(*at)).count() as f64
        };
        for at in times.iter() {
            let from = at - BUDGET_SPAN_MS;
            let lifetimes = history
                .lifetimes
                .iter()
                .filter(|lifetime| lifetime.node == *node && lifetime.start < *at && lifetime.end > from)
                .count();
            let allowed = BUDGET_FREE * lifetimes.max(1) as f64
                + BUDGET_RATIO * within(&requests[node], from - DELAY_SLACK_MS, *at);
            let used = within(times, from + SLACK_MS, *at);
            if used > allowed {
                let description = format!(
                    "node {node}: {used} further attempts in {BUDGET_SPAN_MS} ms, {allowed:.1} allowed"
                );
                breaks.push(Break { rule: Rule::Budget, at: *at, description });
                return;
            }
        }
    }
}

/// Checks the attempts of all nodes together on a server that has come back cold. Its warm capacity is taken to be three times
/// the mean load of a server.
pub(super) fn check_cold_start(plan: &Plan, history: &History, breaks: &mut Vec<Break>) {
    let fleet = &plan.fleet;
    let arrivals = fleet.rate * mean_requests_per_arrival() * fleet.nodes as f64;
    let capacity = 3.0 * arrivals / fleet.servers as f64 / 1000.0;
    for (server, start) in &history.server_starts {
        let mut times: Vec<f64> = history
            .attempts
            .values()
            .flatten()
            .filter(|attempt| attempt.server == *server)
            .map(|attempt| attempt.at)
            .collect();
        times.retain(|at| (*start..start + COLD_MS).contains(at));
        times.sort_by(f64::total_cmp);
        for at in &times {
            let warm_share = (COLD_FROM + (1.0 - COLD_FROM) * (at - start) / COLD_MS).min(1.0);
            let expected = TIP_MULTIPLE * capacity * warm_share * OVERLOAD_FOR_MS;
            let spread =
                if expected < 30.0 { 3.0 * expected.sqrt() + 3.0 } else { 2.0 * expected.sqrt() + 2.0 };
            let count =
                times.iter().filter(|other| (at - OVERLOAD_FOR_MS..=*at).contains(*other)).count() as f64;
            if count > expected + spread {
                let description = format!(
                    "server {server}, cold for {:.0} ms: {count} attempts in {OVERLOAD_FOR_MS} ms, {:.1} allowed",
                    at - start,
                    expected + spread
                );
                breaks.push(Break { rule: Rule::Failback, at: *at, description });
                break;
            }
        }
    }
}

/// Checks that the processes of each node stay within its memory limit together; the highest peak of each node counts.
pub(super) fn check_memory(plan: &Plan, records: &[Record], breaks: &mut Vec<Break>) {
    let limit_kib = plan.fleet.memory_mb * 1024;
    let mut highest = BTreeMap::new();
    for record in records {
        if let Record::Memory { node, kib, at } = record
            && *kib > limit_kib
        {
            highest.insert(*node, (*kib, *at));
        }
    }
    for (node, (kib, at)) in highest {
        let description = format!("node {node}: {kib} KiB resident, {limit_kib} allowed");
        breaks.push(Break { rule: Rule::Memory, at, description });
    }
}
