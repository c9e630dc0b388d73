//! Short plays in simulated time: each trouble has its stated effect, the same seed gives the same result, and
//! the judge detects each injected fault.

use pearfront_emulator::decide::{Fault, Policy};
use pearfront_emulator::judge::{Verdict, judge};
use pearfront_emulator::model::{Options, play};
use pearfront_emulator::record::{Answer, AttemptEnd, Records};
use pearfront_emulator::report::Outcome;
use pearfront_emulator::scenario::{Rate, Scenario};
use std::collections::{BTreeMap, BTreeSet};
use test_case::test_case;

const SMALL: &str = r#"
name = "small"
length_s = 20
zones = ["east", "west"]
[[kinds]]
name = "m"
cores = 2
[[tiers]]
name = "front"
servers = 6
work = 0.5
calls = 1
[[tiers]]
name = "core"
servers = 6
work = 0.5
[[profiles]]
name = "search"
effect = "idempotent"
latency_target_ms = 400
deadline_ms = 1200
gain = 1
share = 0.6
work_ms = 20
[[profiles]]
name = "booking-in"
effect = "keyed"
group = "cell"
window_s = 1
latency_target_ms = 800
deadline_ms = 2500
gain = 8
share = 0.2
work_ms = 30
[[profiles]]
name = "cancel-refund"
effect = "non-idempotent"
latency_target_ms = 800
deadline_ms = 2000
gain = 3
share = 0.2
work_ms = 30
[[customers]]
name = "desks"
share = 1
quota_per_s = 500
[nodes]
count = 2
[callers]
rate = 150
retries = 2
"#;

fn scenario(troubles: &str) -> Scenario {
    Scenario::parse(&format!("{SMALL}{troubles}")).unwrap_or_else(|mistake| panic!("{mistake}"))
}

fn run(scenario: &Scenario, policy: Policy, fault: Option<Fault>) -> (Records, Verdict) {
    let records = play(scenario, Options { seed: 7, policy, fault }, &mut |_| {});
    let verdict = judge(scenario, &records);
    (records, verdict)
}

fn broken(verdict: &Verdict) -> Vec<&str> {
    verdict.broken.iter().map(|finding| finding.rule.as_str()).collect()
}

#[test]
fn one_seed_gives_one_result_to_the_byte_and_another_seed_another() {
    let scenario = scenario("[[troubles]]\nwhat = \"silent\"\nat_s = 5\nfor_s = 5\npart = 0.3\n");
    let result = |seed| {
        let verdict = judge(&scenario, &play(&scenario, Options::new(seed), &mut |_| {}));
        Outcome::new(&scenario, "model", "module", seed, verdict).json()
    };
    assert_eq!(result(1), result(1));
    assert_ne!(result(1), result(2));
}

#[test]
fn all_policies_meet_the_same_asks() {
    let scenario = scenario("");
    let asks = |policy| {
        let records = run(&scenario, policy, None).0;
        records.asks.iter().map(|ask| (ask.at.to_bits(), ask.profile, ask.customer)).collect::<Vec<_>>()
    };
    let of_module = asks(Policy::Module);
    assert!(Policy::ALL.iter().all(|(_, policy)| asks(*policy) == of_module));
}

#[test]
fn nothing_is_missing_on_a_calm_stretch_whoever_decides() {
    for (name, policy) in Policy::ALL {
        let verdict = run(&scenario(""), policy, None).1;
        assert!(broken(&verdict).is_empty(), "{name}: {:?}", verdict.broken);
        assert!(verdict.service > 0.99, "{name}: {}", verdict.line());
    }
}

// The judge must detect each injected fault in the records of servers and clients, under the right rule.
#[test_case(Fault::SendsTwice, "no-effect-twice", ""; "a non-idempotent job goes out twice")]
#[test_case(Fault::AnswersTwice, "no-job-lost", ""; "a job is answered twice")]
#[test_case(Fault::LosesRequests, "no-job-lost", ""; "a job is lost")]
#[test_case(Fault::AnswersLate, "no-job-lost", "[[troubles]]\nwhat = \"stall\"\nat_s = 5\nfor_s = 6\n"; "a job is answered after its limit")]
#[test_case(Fault::SwapsAnswers, "no-job-lost", ""; "another job's answer is given")]
#[test_case(Fault::SendsToDrained, "drains", "[[troubles]]\nwhat = \"drain\"\nat_s = 5\ntier = \"front\"\ncount = 1\n"; "a drained server gets jobs")]
#[test_case(Fault::FloodsCold, "cold-servers", "[[troubles]]\nwhat = \"silent\"\nat_s = 3\nfor_s = 6\ntier = \"front\"\ncount = 1\n"; "a cold server gets all")]
#[test_case(Fault::RejectsWhatRan, "no-effect-twice", "[[troubles]]\nwhat = \"fast-errors\"\nat_s = 5\nfor_s = 5\ntier = \"front\"\n"; "what may have run is rejected")]
fn a_driver_with_one_fault_is_caught_by_the_name_of_its_rule(fault: Fault, rule: &str, troubles: &str) {
    // The grace period is short, so that a drained server is still up when it ends.
    let text = format!(
        "{troubles}\n[rules]\ndrain_grace_s = 1.0\ntip_multiple = 1.0\n[discovery]\nlate_ms = [100.0, 3000.0]\n"
    );
    let scenario = scenario(&text);
    let sound = run(&scenario, Policy::LeastHeld, None).1;
    assert_eq!(broken(&sound), Vec::<&str>::new(), "{:?}", sound.broken);
    let faulty = run(&scenario, Policy::LeastHeld, Some(fault)).1;
    assert_eq!(broken(&faulty), [rule], "{:?}", faulty.broken);
}

// If servers do not drop cancelled requests, their work continues: slots stay occupied, and the wasted work is
// counted.
#[test]
fn work_that_nobody_waits_for_any_more_is_counted_as_waste() {
    let scenario =
        scenario("impatient = 1.0\n[[troubles]]\nwhat = \"slow\"\nat_s = 5\nfor_s = 5\nby = 0.05\n");
    let (records, verdict) = run(&scenario, Policy::LeastHeld, None);
    let went_on = |attempt: &&pearfront_emulator::record::Attempt| match (attempt.called_off, attempt.ended) {
        (Some(off), Some((ended, AttemptEnd::Served))) => ended > off,
        _ => false,
    };
    let went_on: f64 = records.attempts.iter().filter(went_on).map(|attempt| attempt.work).sum();
    let done: f64 = records
        .attempts
        .iter()
        .filter(|attempt| matches!(attempt.ended, Some((_, AttemptEnd::Served | AttemptEnd::Error))))
        .map(|attempt| attempt.work)
        .sum();
    assert!(went_on > 0.0 && verdict.wasted >= went_on / done, "{went_on} of {done}: {}", verdict.line());
}

// A client's own retry carries the same key: the group deduplicates it within the window, not after it.
#[test_case(60.0, true; "within the window, across a restart")]
#[test_case(0.02, false; "after the window")]
fn a_group_drops_repeats_of_a_key(window: f64, dropped: bool) {
    // Nodes are killed repeatedly while servers process their attempts, so that clients retry with the same
    // keys.
    let kills: String = (2..9)
        .map(|at| format!("[[troubles]]\nwhat = \"kill-nodes\"\nat_s = {at}\nfor_s = 0.05\n"))
        .collect();
    let silent = "[[troubles]]\nwhat = \"silent\"\nat_s = 4\nfor_s = 2\ntier = \"front\"\ncount = 2\n";
    let text = format!("{SMALL}notice_s = 0.1\n{kills}{silent}")
        .replace("group = \"cell\"\nwindow_s = 1", &format!("group = \"all\"\nwindow_s = {window}"))
        .replace("share = 0.2\nwork_ms = 30\n[[profiles]]", "share = 0.2\nwork_ms = 150\n[[profiles]]");
    let scenario = Scenario::parse(&text).unwrap();
    let (records, verdict) = run(&scenario, Policy::LeastHeld, None);
    // By key: number of completed runs at the first tier, and how often the effect took place.
    let keys: BTreeMap<u64, u64> =
        records.requests.iter().map(|request| (request.trace, request.key)).collect();
    let mut by_key: BTreeMap<u64, (usize, usize)> = BTreeMap::new();
    for attempt in records.attempts.iter().filter(|attempt| records.servers[attempt.server].tier == 0) {
        let seen = by_key.entry(keys[&attempt.trace]).or_default();
        seen.0 += usize::from(matches!(attempt.ended, Some((_, AttemptEnd::Served))));
        seen.1 += usize::from(attempt.effect);
    }
    by_key.remove(&0);
    let repeated = by_key.values().filter(|seen| seen.0 > 1).count();
    let twice = by_key.values().filter(|seen| seen.1 > 1).count();
    assert!(repeated > 10, "{repeated} repeats are too few to tell");
    assert_eq!((twice == 0, verdict.repeats_by_clients == 0), (dropped, dropped), "{twice} of {repeated}");
}

// A node's own retry after the window breaks a rule, which the judge must report.
#[test]
fn a_repeat_that_a_node_sends_after_the_window_breaks_the_rule() {
    let troubles = "[[troubles]]\nwhat = \"fast-errors\"\nat_s = 2\nfor_s = 8\ntier = \"front\"\nby = 0.9\n\
        [[troubles]]\nwhat = \"slow\"\nat_s = 2\nfor_s = 8\ntier = \"front\"\nby = 0.1\n";
    let text = format!("{SMALL}{troubles}")
        .replace("group = \"cell\"\nwindow_s = 1", "group = \"all\"\nwindow_s = 0.001");
    let scenario = Scenario::parse(&text).unwrap();
    assert_eq!(broken(&run(&scenario, Policy::LeastHeld, None).1), Vec::<&str>::new());
    let late = run(&scenario, Policy::LeastHeld, Some(Fault::RepeatsLate)).1;
    assert_eq!(broken(&late), ["no-effect-twice"]);
    assert!(late.broken[0].examples[0].contains("after its window"), "{:?}", late.broken);
}

#[test]
fn a_silent_server_comes_back_cold_at_its_address_under_a_new_id() {
    let scenario = scenario(
        "[[troubles]]\nwhat = \"silent\"\nat_s = 3\nfor_s = 6\ntier = \"core\"\ncount = 1\nnew_ids = true\n",
    );
    let (records, verdict) = run(&scenario, Policy::Module, None);
    assert!(broken(&verdict).is_empty(), "{:?}", verdict.broken);
    let back = records.servers.iter().position(|life| life.started.is_finite()).expect("one that came back");
    assert!(records.servers[back].id.ends_with('\''));
    let attempts: Vec<f64> = records
        .attempts
        .iter()
        .filter(|attempt| attempt.server == back)
        .map(|attempt| attempt.came)
        .collect();
    assert!(!attempts.is_empty() && attempts.iter().all(|came| *came > 9000.0));
    // No answer came from the old process while it was unresponsive.
    let old =
        records.servers.iter().position(|life| format!("{}'", life.id) == records.servers[back].id).unwrap();
    let ended = records.attempts.iter().filter(|attempt| attempt.server == old);
    assert!(
        ended.filter_map(|attempt| attempt.ended).all(|(at, how)| at <= 3000.0 || how == AttemptEnd::Lost)
    );
}

#[test]
fn a_killed_node_loses_what_it_held_and_that_is_no_fault_of_its_own() {
    let scenario = scenario("[[troubles]]\nwhat = \"kill-nodes\"\nat_s = 8\nfor_s = 2\ncount = 1\n");
    let (records, verdict) = run(&scenario, Policy::Module, None);
    assert!(broken(&verdict).is_empty(), "{:?}", verdict.broken);
    assert!(records.requests.iter().any(|request| request.cut && request.answers.is_empty()), "it held none");
    assert_eq!(records.nodes.iter().filter(|life| life.name == "n0" || life.name == "n1").count(), 3);
}

#[test]
fn a_node_that_is_told_to_end_in_a_burst_answers_all_that_it_holds() {
    let mut scenario = scenario("[[troubles]]\nwhat = \"restart-nodes\"\nat_s = 8\nfor_s = 2\n");
    scenario.clients.rate = Rate::Curve(vec![(7.0, 150.0), (7.5, 900.0), (9.0, 900.0), (9.5, 150.0)]);
    let (records, verdict) = run(&scenario, Policy::Module, None);
    assert!(broken(&verdict).is_empty(), "{:?}", verdict.broken);
    let held = records
        .requests
        .iter()
        .filter(|request| request.ask.is_some() && (7500.0..8000.0).contains(&request.sent));
    assert!(held.clone().count() > 200 && held.clone().all(|request| request.answers.len() == 1));
}

#[test]
fn a_release_replaces_every_server_and_keeps_drains() {
    let scenario =
        scenario("[[troubles]]\nwhat = \"release\"\nat_s = 2\nfor_s = 1\nby = 2\ntier = \"core\"\n");
    let (records, verdict) = run(&scenario, Policy::Module, None);
    assert!(broken(&verdict).is_empty(), "{:?}", verdict.broken);
    let new: BTreeSet<&str> =
        records.servers.iter().filter(|life| life.id.ends_with('+')).map(|life| life.id.as_str()).collect();
    assert_eq!(new.len(), 6);
    let last = records
        .attempts
        .iter()
        .filter(|attempt| attempt.came > 15_000.0 && records.servers[attempt.server].tier == 1);
    assert!(
        last.clone().count() > 100
            && last.clone().all(|attempt| new.contains(records.servers[attempt.server].id.as_str()))
    );
    assert!(verdict.service > 0.97, "{}", verdict.line());
}

#[test_case("what = \"fast-errors\"\ntier = \"core\"\ncount = 1\nby = 0.95"; "errors at once")]
#[test_case("what = \"stall\"\ntier = \"core\"\ncount = 1"; "a stall")]
#[test_case("what = \"lost-answers\"\ntier = \"front\"\ncount = 1\nby = 0.5"; "answers lost")]
#[test_case("what = \"short-idle\"\nby = 0.05"; "idle connections closed unannounced")]
#[test_case("what = \"lost-reports\""; "probes that fail")]
#[test_case("what = \"stale-reports\""; "stale reports")]
#[test_case("what = \"discovery-down\""; "discovery down")]
#[test_case("what = \"discovery-old\""; "an old list")]
#[test_case("what = \"hot-node\""; "a hot node")]
#[test_case("what = \"slow\"\nby = 0.5"; "all slow")]
#[test_case("what = \"sighup\""; "settings read again")]
#[test_case("what = \"silent\"\nzone = \"west\"\nwith_nodes = true"; "a zone lost with its nodes")]
fn the_module_keeps_the_rules_through(trouble: &str) {
    let scenario = scenario(&format!("[[troubles]]\nat_s = 5\nfor_s = 6\n{trouble}\n"));
    let (records, verdict) = run(&scenario, Policy::Module, None);
    assert!(broken(&verdict).is_empty(), "{:?}", verdict.broken);
    assert!(verdict.service > 0.5, "{}", verdict.line());
    let served = records
        .requests
        .iter()
        .flat_map(|request| &request.answers)
        .filter(|answered| answered.answer == Answer::Served);
    assert!(served.count() > 1000);
}

// Three hundred nodes with few requests each, with default settings: the effects of the individual nodes add up
// over the fleet.
#[test_case(include_str!("../../../rehearsals/fleet-zone-cut.toml"), 0.97; "a zone cut off for six seconds")]
#[test_case(include_str!("../../../rehearsals/fleet-release.toml"), 0.95; "front nodes killed, inner servers replaced cold")]
fn a_fleet_of_three_hundred_nodes_keeps_the_rules_and_most_of_its_service(file: &str, service: f64) {
    let scenario = Scenario::parse(file).unwrap();
    let verdict = run(&scenario, Policy::Module, None).1;
    assert!(broken(&verdict).is_empty(), "{:?}", verdict.broken);
    assert!(verdict.service > service, "{}", verdict.line());
}
