//! Cold servers under the combined load of all nodes: beyond the N requests that the settings allow, only 2 x
//! sqrt(N) + 2 are attributed to random variation. `benches/cold.rs` sweeps the same rehearsal.

use pearfront_emulator::judge::{cold_loads, judge};
use pearfront_emulator::model::{Options, play};
use pearfront_emulator::scenario::Scenario;
use test_case::test_case;

const FILE: &str = include_str!("../../../rehearsals/cold-starts.toml");

/// The rehearsal with the given number of nodes, which probe servers for the number of requests held before
/// each choice; ends after the first windows of the cold servers.
fn scenario(nodes: usize, probe_price: f64) -> Scenario {
    let mut scenario = Scenario::parse(FILE).unwrap_or_else(|mistake| panic!("{mistake}"));
    scenario.length_s = 15.0;
    scenario.nodes.count = nodes;
    scenario.nodes.told_held = true;
    scenario.nodes.probe_price = probe_price;
    scenario
}

// With few nodes, each has many waiting requests, and all see the same idle server.
#[test_case(2; "two nodes")]
#[test_case(8; "eight nodes")]
#[test_case(20; "twenty nodes")]
#[test_case(100; "a hundred nodes")]
fn large_requests_that_wait_at_nodes_that_ask_first_keep_within_it_too(nodes: usize) {
    let mut scenario = scenario(nodes, 0.002);
    scenario.enlarge_requests(10.0);
    for seed in 1..=5 {
        let records = play(&scenario, Options::new(seed), &mut |_| {});
        for load in &cold_loads(&scenario, &records) {
            assert!(load.sent <= load.limit(), "{:.1} sent, N is {:.1}: {load:?}", load.sent, load.may);
        }
    }
}

// Guards against overload of a cold server that all nodes see as idle at the same moment, although each alone
// stays within its own limit.
#[test_case(100, 0.002; "a hundred nodes that ask first")]
#[test_case(30, 0.002; "thirty nodes that ask first")]
#[test_case(30, 0.03; "thirty nodes that do not ask")]
fn all_nodes_together_keep_within_what_cold_servers_bear(nodes: usize, probe_price: f64) {
    let scenario = scenario(nodes, probe_price);
    let records = play(&scenario, Options::new(1), &mut |_| {});
    let loads = cold_loads(&scenario, &records);
    assert_eq!(loads.len(), 4);
    for load in &loads {
        assert!(load.sent <= load.limit(), "{:.1} sent, N is {:.1}: {load:?}", load.sent, load.may);
        // With immediate reports of requests held, idle servers must also not be left idle.
        assert!(probe_price > 0.01 || load.mean_share > 0.05, "{load:?}");
    }
    let verdict = judge(&scenario, &records);
    assert!(verdict.broken.is_empty(), "{:?}", verdict.broken);
    assert!(records.servers.iter().all(|life| life.fell.is_none()));
}

// The judge and the server must use the same budget: N alone, or N plus the scenario's allowance for random
// variation.
#[test]
fn what_counts_as_chance_is_added_to_what_the_settings_allow() {
    let mut rules = scenario(2, 0.03).rules;
    // Two cores at a share of 0.3 tolerate 2 x 0.6 x 1500 ms of work: 45 requests of 40 ms.
    assert!((rules.cold_budget(0.6, 40.0) - (1800.0 + 2.0 * (45f64.sqrt() + 1.0) * 40.0)).abs() < 1e-6);
    rules.tip_chance = 0.0;
    assert!((rules.cold_budget(0.6, 40.0) - 1800.0).abs() < 1e-6);
}
