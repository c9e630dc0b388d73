//! How many attempts there may be: further ones of a node, and those on a server that has come back cold.

use super::history::Records;
use super::{Break, HELD_UP, Rule, SLACK};
use crate::client::requests_at_a_time;
use crate::node_file::{BUDGET_FREE, BUDGET_RATIO, BUDGET_SPAN, COLD, COLD_FROM, OVERLOAD_FOR, TIP_MULTIPLE};
use crate::plan::Plan;
use std::collections::BTreeMap;

/// Further attempts of a node, in each span that ends with one.
pub(super) fn budget(all: &Records, breaks: &mut Vec<Break>) {
    let mut further: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
    let mut taken: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
    for (id, request) in &all.requests {
        taken.entry(request.node).or_default().push(request.at);
        let attempts = all.attempts.get(id).map_or(&[][..], Vec::as_slice);
        further.entry(request.node).or_default().extend(attempts.iter().skip(1).map(|attempt| attempt.at));
    }
    for (node, times) in &mut further {
        times.sort_by(f64::total_cmp);
        let within = |times: &[f64], from: f64, to: f64| {
            times.iter().filter(|at| (from..=to).contains(*at)).count() as f64
        };
        for at in times.iter() {
            let from = at - BUDGET_SPAN;
            let lives = all
                .lives
                .iter()
                .filter(|life| life.node == *node && life.start < *at && life.end > from)
                .count();
            let allowed =
                BUDGET_FREE * lives.max(1) as f64 + BUDGET_RATIO * within(&taken[node], from - HELD_UP, *at);
            let used = within(times, from + SLACK, *at);
            if used > allowed {
                let what =
                    format!("node {node}: {used} further attempts in {BUDGET_SPAN} ms, {allowed:.1} allowed");
                breaks.push(Break { rule: Rule::Budget, at: *at, what });
                return;
            }
        }
    }
}

/// Attempts on a server that has come back cold, from all nodes together. Its warm capacity is taken to be three times what
/// comes to a server in the mean.
pub(super) fn failback(plan: &Plan, all: &Records, breaks: &mut Vec<Break>) {
    let fleet = &plan.fleet;
    let comes = fleet.rate * requests_at_a_time() * fleet.nodes as f64;
    let capacity = 3.0 * comes / fleet.servers as f64 / 1000.0;
    for (server, start) in &all.starts {
        let mut times: Vec<f64> = all
            .attempts
            .values()
            .flatten()
            .filter(|attempt| attempt.server == *server)
            .map(|attempt| attempt.at)
            .collect();
        times.retain(|at| (*start..start + COLD).contains(at));
        times.sort_by(f64::total_cmp);
        for at in &times {
            let grown = (COLD_FROM + (1.0 - COLD_FROM) * (at - start) / COLD).min(1.0);
            let expected = TIP_MULTIPLE * capacity * grown * OVERLOAD_FOR;
            let spread =
                if expected < 30.0 { 3.0 * expected.sqrt() + 3.0 } else { 2.0 * expected.sqrt() + 2.0 };
            let got = times.iter().filter(|other| (at - OVERLOAD_FOR..=*at).contains(*other)).count() as f64;
            if got > expected + spread {
                let what = format!(
                    "server {server}, cold for {:.0} ms: {got} attempts in {OVERLOAD_FOR} ms, {:.1} allowed",
                    at - start,
                    expected + spread
                );
                breaks.push(Break { rule: Rule::Failback, at: *at, what });
                break;
            }
        }
    }
}
