//! Distribution of configuration among simulated processes: invariants, and bounds on recovery time and rate after faults.

use pearfront_emulator::cores::distribute::{Findings, Plan, Script, play};
use test_case::test_case;

fn play_all_seeds(plan: &Plan, seeds: std::ops::RangeInclusive<u64>) -> Vec<Findings> {
    let one = |seed| {
        let found = play(plan.clone(), seed);
        assert_eq!(found.broken, None, "seed {seed}");
        found
    };
    seeds.map(one).collect()
}

#[test_case(3, false; "three voters")]
#[test_case(5, false; "five voters")]
#[test_case(3, true; "three voters, one of which comes back with an older folder at a time")]
fn no_node_has_a_mixture_or_an_older_version_and_what_is_in_force_is_so(voters: usize, disks: bool) {
    let all = play_all_seeds(&Plan { voters, ..Plan::storm(disks) }, 1..=10);
    let sum = |part: fn(&Findings) -> u64| all.iter().map(part).sum::<u64>();
    assert!(sum(|found| found.versions) > 1000 && sum(|found| found.updates) > 5000);
    assert!(sum(|found| found.restricts) > 0 && sum(|found| found.node_refusals) > 0);
    assert!(sum(|found| found.refused_sets) > 0 && sum(|found| found.said_again) > 0);
    assert!(!disks || sum(|found| found.forgot) > 0);
}

#[test]
fn one_seed_gives_one_run() {
    let figures = |found: Findings| (found.versions, found.updates, found.in_force, found.known);
    let plan = Plan::storm(false);
    assert_eq!(figures(play(plan.clone(), 3)), figures(play(plan, 3)));
}

#[test]
fn after_the_loss_of_a_distributor_a_change_is_in_force_within_five_seconds() {
    for found in play_all_seeds(&Plan::of(Script::Distributors, 6, 30), 1..=4) {
        let most = found.in_force.iter().copied().fold(0.0, f64::max);
        assert!(most < 5000.0, "{most}");
    }
}

#[test]
fn a_region_that_was_cut_off_comes_back_without_a_storm() {
    for found in play_all_seeds(&Plan::of(Script::Region, 6, 30), 1..=2) {
        let after = found.whole_after.expect("all whole");
        assert!(after < 5000.0, "{after}");
        assert!(found.most_distributor_bytes < 2_300_000, "{}", found.most_distributor_bytes);
    }
}

#[test]
fn without_voters_everything_goes_on_and_a_node_that_begins_is_served() {
    for found in play_all_seeds(&Plan::of(Script::Voters, 6, 30), 1..=3) {
        assert!(found.whole_after.is_some());
    }
}

#[test_case(Script::Cold, 30_000.0; "all begin")]
#[test_case(Script::Warm, 5000.0; "all lost their links")]
fn those_who_come_at_once_are_whole_soon_at_a_bounded_rate(script: Script, most: f64) {
    for found in play_all_seeds(&Plan::of(script, 3, 300), 1..=1) {
        let after = found.whole_after.expect("all whole");
        assert!(after < most, "{after}");
        assert!(found.most_distributor_bytes < 2_300_000, "{}", found.most_distributor_bytes);
    }
}
