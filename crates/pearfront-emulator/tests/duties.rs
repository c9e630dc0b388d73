//! Duties among simulated processes, above voters on disks that fail: checks the invariants, and that the checks find
//! drivers with one deliberate fault each.

use pearfront_emulator::cores::consensus;
use pearfront_emulator::cores::duties::{Fault, Findings, Only, Plan, play};
use test_case::test_case;

/// Seeds of each case; `make prove-duties` runs many more.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=25;

fn play_all_seeds(plan: &Plan) -> Vec<Findings> {
    let play = |seed| {
        let found = play(plan, seed);
        assert_eq!(found.log.broken, None, "seed {seed}");
        found
    };
    SEEDS.map(play).collect()
}

#[test_case(3, false; "three voters")]
#[test_case(5, false; "five voters")]
#[test_case(3, true; "three voters, one of which may forget at a time")]
fn one_acts_at_a_time_and_each_history_is_that_of_one_place(voters: usize, disks: bool) {
    let all = play_all_seeds(&Plan::storm(voters, 6, disks));
    let sum = |part: fn(&Findings) -> u64| all.iter().map(part).sum::<u64>();
    assert!(sum(|found| found.granted) > 400 && sum(|found| found.renewed) > 2500);
    assert!(sum(|found| found.acts) > 20_000 && sum(|found| found.calls as u64) > 1500);
    // Some holder was paused between its clock check and its act, and the act was refused by its token.
    assert!(sum(|found| found.refused) > 0);
}

// Goals: 5 ms after a release, 1 s after an end that kernels report, a lease and 1 s after silence.
#[test_case(Only::Word, 50.0; "by word")]
#[test_case(Only::Kill, 1000.0; "killed")]
#[test_case(Only::Silence, 2500.0; "silent")]
// Its requests arrive, but it receives no answers: the leader must not renew a lease for ever that nobody acts on.
#[test_case(Only::Deaf, 3500.0; "heard, and deaf")]
fn the_next_holder_acts_soon(only: Only, most: f64) {
    let mut all: Vec<f64> =
        play_all_seeds(&Plan::handover(3, 6, only)).into_iter().flat_map(|found| found.without).collect();
    all.sort_by(f64::total_cmp);
    assert!(all.len() >= 8, "{} times", all.len());
    assert!(all[all.len() / 2] <= most, "{all:?}");
}

#[test_case(Fault::NeverLooks; "a holder that never looks at the clock")]
#[test_case(Fault::CountsFromTheAnswer; "a holder that counts its lease from the answer")]
#[test_case(Fault::ClockStops; "a holder whose clock stands still with it")]
#[test_case(Fault::CountsNoLeaseAnew; "a leader that forgets the leases before it")]
fn the_checks_find_a_driver_with_a_fault(fault: Fault) {
    let plan = Plan { fault: Some(fault), ..Plan::storm(3, 6, false) };
    assert!((1..=100).any(|seed| play(&plan, seed).log.broken.is_some()));
}

#[test]
fn voters_that_forget_give_a_token_twice() {
    let fault = Some(consensus::Faulty::AllDisksLie);
    let mut plan = Plan::storm(3, 6, false);
    plan.log = consensus::Plan { fault, every: 250.0, ..plan.log };
    assert!((1..=100).any(|seed| play(&plan, seed).log.broken.is_some()));
}
