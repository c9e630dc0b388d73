//! Load that all nodes together send to cold servers: `rehearsals/cold-starts.toml` with 2 to 100 nodes, even and uneven
//! traffic, one or many servers starting at once, small and large requests, reports of utilisation, of requests held, and
//! of requests held probed before each choice, ten seeds each. Run by
//! `cargo bench -p pearfront-emulator --bench cold`; not part of the tests.

use pearfront_emulator::judge::{ColdLoad, cold_loads};
use pearfront_emulator::model::{Options, play};
use pearfront_emulator::scenario::{Scenario, Trouble};

const FILE: &str = include_str!("../../../rehearsals/cold-starts.toml");
/// With uneven traffic, one node in this many gets ten times the mean.
const HOT: usize = 20;
const TIMES: f64 = 10.0;
/// No server fails in these plays: a failed server gets no more load, which would make its sum meaningless.
const NEVER: f64 = 1e6;
const SEEDS: u64 = 10;

fn scenario(nodes: usize, hot: bool, many: bool, work: f64, reports: &str) -> Scenario {
    let mut scenario = Scenario::parse(FILE).unwrap_or_else(|mistake| panic!("{mistake}"));
    scenario.nodes.count = nodes;
    scenario.rules.tip_chance = NEVER;
    scenario.enlarge_requests(work / scenario.profiles[0].work_ms);
    if !many {
        (scenario.troubles[0].part, scenario.troubles[0].count) = (None, Some(1));
    }
    scenario.nodes.told_held = reports != "utilisation";
    if reports == "asked" {
        scenario.nodes.probe_price = 0.002;
    }
    if hot {
        scenario.troubles.push(hot_nodes(nodes, scenario.length_s));
    }
    scenario
}

/// Weighted so that each of them gets ten times the mean, if there are enough nodes.
fn hot_nodes(nodes: usize, length_s: f64) -> Trouble {
    let hot = (nodes / HOT).max(1);
    let (all, some) = (nodes as f64, hot as f64);
    let by = if all > TIMES * some { TIMES * (all - some) / (all - TIMES * some) } else { TIMES };
    let part = some / all;
    let text = format!("what = \"hot-node\"\nat_s = 0\nfor_s = {length_s}\npart = {part}\nby = {by}\n");
    let text = format!("{FILE}[[troubles]]\n{text}");
    let read = Scenario::parse(&text).unwrap_or_else(|mistake| panic!("{mistake}"));
    read.troubles.last().cloned().expect("it was added")
}

fn row(name: &str, scenario: &Scenario) {
    let mut loads: Vec<ColdLoad> = Vec::new();
    let mut service = 0.0;
    for seed in 1..=SEEDS {
        let records = play(scenario, Options::new(seed), &mut |_| {});
        service += pearfront_emulator::judge::judge(scenario, &records).service / SEEDS as f64;
        loads.extend(cold_loads(scenario, &records));
    }
    let worst = loads.iter().max_by(|a, b| a.of_limit().total_cmp(&b.of_limit())).expect("some start cold");
    let over = |limit: fn(&ColdLoad) -> f64| loads.iter().filter(|load| load.sent > limit(load)).count();
    let mean = loads.iter().map(|load| load.mean_share).sum::<f64>() / loads.len() as f64;
    println!(
        "| {name} | {:.1} | {:.1} | {:.0} | {:.2} | {} | {} of {} | {mean:.2} | {service:.3} |",
        worst.may,
        worst.limit(),
        worst.sent,
        worst.of_limit(),
        over(|load| load.may),
        over(ColdLoad::limit),
        loads.len(),
    );
}

fn main() {
    let wanted: Vec<String> =
        std::env::args().skip(1).filter(|argument| !argument.starts_with('-')).collect();
    println!(
        "| reports | request, ms | nodes | traffic | starts | N | limit | sent | of the limit | over N | over the limit | mean of N | service |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for reports in ["utilisation", "held", "asked"] {
        for work in [40.0, 400.0] {
            for nodes in [2, 8, 20, 30, 100] {
                for hot in [false, true] {
                    for many in [false, true] {
                        let name = format!(
                            "{reports} | {work} | {nodes} | {} | {}",
                            if hot { "uneven" } else { "even" },
                            if many { "four" } else { "one" }
                        );
                        if wanted.iter().all(|argument| name.contains(argument.as_str())) {
                            row(&name, &scenario(nodes, hot, many, work, reports));
                        }
                    }
                }
            }
        }
    }
}
