//! Cost of the model play by size: 100, 333 and 1,000 servers with a tenth as many nodes, 60 s at 5 requests
//! per second per server, on one core. Run by `make bench-model`; not part of the tests.

use pearfront_emulator::judge::judge;
use pearfront_emulator::model::{Options, play};
use pearfront_emulator::scenario::Scenario;
use std::time::Instant;

fn scenario(servers: usize) -> Scenario {
    let (nodes, rate) = (servers / 10, servers * 5);
    let text = format!(
        r#"
name = "size"
length_s = 60
zones = ["a", "b", "c"]
[[kinds]]
name = "m"
cores = 2
[[tiers]]
name = "only"
servers = {servers}
[[profiles]]
name = "read"
effect = "idempotent"
latency_target_ms = 1000
deadline_ms = 3000
gain = 1
share = 0.8
work_ms = 100
[[profiles]]
name = "pay"
effect = "non-idempotent"
latency_target_ms = 1000
deadline_ms = 3000
gain = 4
share = 0.2
work_ms = 100
[[customers]]
name = "acme"
share = 1
quota_per_s = 1e6
[callers]
rate = {rate}
retries = 1
[nodes]
count = {nodes}
[[troubles]]
what = "silent"
at_s = 20
for_s = 15
part = 0.1
"#
    );
    Scenario::parse(&text).unwrap_or_else(|mistake| panic!("{mistake}"))
}

fn main() {
    // One process per size; otherwise the memory peak would be that of the largest size.
    if let Some(servers) = std::env::args().skip(1).find_map(|argument| argument.parse().ok()) {
        let scenario = scenario(servers);
        let started = Instant::now();
        let records = play(&scenario, Options::new(1), &mut |_| {});
        let played = started.elapsed().as_secs_f64();
        let verdict = judge(&scenario, &records);
        let judged = started.elapsed().as_secs_f64() - played;
        println!(
            "{servers:>5} servers {:>4} nodes {:>7} jobs: played in {played:.1} s, judged in {judged:.1} s, {:.0} MB, service {:.3}",
            servers / 10,
            records.requests.len(),
            peak_mb(),
            verdict.service
        );
        return;
    }
    let own = std::env::current_exe().expect("this program");
    for servers in [100, 333, 1000] {
        let ended =
            std::process::Command::new(&own).arg(servers.to_string()).status().expect("this program again");
        assert!(ended.success());
    }
}

fn peak_mb() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("it runs");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).expect("a peak");
    peak.trim().trim_end_matches(" kB").parse::<f64>().expect("a figure") / 1024.0
}
