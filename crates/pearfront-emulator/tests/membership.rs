//! Simulation of many membership cores: the hard cases of membership with their expected results. Also tests that the
//! invariant checks find a misconfigured core.

use pearfront_emulator::cores::membership::{Findings, Plan, Trouble, Weather, World, play};
use pearfront_membership::{Membership, State, Status, Times};
use test_case::test_case;

/// Seeds of each case; `make prove-membership` runs many more.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=4;

fn plan(instances: usize, length_s: f64, troubles: Vec<(f64, Trouble)>) -> Plan {
    let troubles = troubles.into_iter().map(|(at_s, trouble)| (at_s * 1000.0, trouble)).collect();
    let (length, times) = (length_s * 1000.0, Times::default());
    Plan { instances, length, weather: Weather::CALM, links: false, times, troubles }
}

fn play_unbroken(plan: Plan, seed: u64) -> (Findings, World) {
    let (found, world) = World::new(plan, seed).play(&mut |_, _| {});
    assert_eq!(found.broken, None, "seed {seed}");
    (found, world)
}

fn all_but(count: usize, who: usize) -> Vec<usize> {
    (0..count).filter(|place| *place != who).collect()
}

fn standing(core: &Membership, name: &str) -> Option<Status> {
    core.member(name).map(|member| member.status)
}

#[test]
fn under_bad_conditions_no_running_process_is_reported_gone_and_all_kills_are_detected() {
    for seed in SEEDS {
        let found = play(Plan::storm(10, seed), seed);
        assert_eq!((found.broken, found.not_found), (None, 0), "seed {seed}");
        assert_eq!(found.found.len(), 1);
    }
}

#[test]
fn the_checks_find_a_core_with_too_short_a_suspicion_time() {
    let mut plan = Plan::storm(10, 1);
    plan.times = Times { suspicion: 20.0, ..Times::default() };
    plan.weather = Weather { delay: (0.1, 0.5), loss: 0.0, ..plan.weather };
    let found = play(plan, 1);
    assert!(found.false_deaths > 0, "{found:?}");
    assert!(found.broken.is_some_and(|what| what.contains("which runs")));
}

#[test_case(5)]
#[test_case(16)]
fn a_killed_process_is_found_by_all_in_the_stated_time(instances: usize) {
    for seed in SEEDS {
        let (found, _) = play_unbroken(plan(instances, 30.0, vec![(10.0, kill(instances - 1))]), seed);
        let (first, _, last) = found.found[0];
        assert!(first > Times::default().suspicion && last < 6000.0, "seed {seed}: {:?}", found.found);
    }
}

fn kill(who: usize) -> Trouble {
    Trouble::Kill { who, proof: false }
}

#[test]
fn where_the_kernel_gives_proof_it_is_known_at_once() {
    let mut plan = plan(16, 20.0, vec![(10.0, Trouble::Kill { who: 9, proof: true })]);
    plan.links = true;
    let (found, world) = play_unbroken(plan, 1);
    assert!(found.found[0].2 < 1000.0, "{:?}", found.found);
    assert_eq!(standing(world.core(0), "n9"), Some(Status::Ended));
}

// A link cut in one direction: indirect probes through other members still succeed, so no member may be reported as gone.
#[test]
fn a_link_that_is_cut_one_way_costs_nobody_its_place() {
    for seed in SEEDS {
        let cut = Trouble::Cut { from: vec![0], to: vec![1] };
        let (found, _) = play_unbroken(plan(5, 40.0, vec![(10.0, cut), (30.0, Trouble::Heal)]), seed);
        assert_eq!(found.deaths_in_cuts, 0, "seed {seed}");
        assert!(found.agreed);
    }
}

#[test]
fn a_ring_of_one_way_links_costs_nobody_its_place() {
    for seed in SEEDS {
        let cut = |place: usize| (10.0, Trouble::Cut { from: vec![place], to: vec![(place + 1) % 6] });
        let mut troubles: Vec<_> = (0..6).map(cut).collect();
        troubles.push((30.0, Trouble::Heal));
        let (found, _) = play_unbroken(plan(6, 40.0, troubles), seed);
        assert_eq!(found.deaths_in_cuts, 0, "seed {seed}");
        assert!(found.agreed);
    }
}

// A member that receives nothing while its own messages arrive must doubt its own view and not make others report the rest
// as gone.
#[test]
fn a_member_that_receives_nothing_makes_nobody_gone_for_others() {
    for seed in SEEDS {
        let cut = Trouble::Cut { from: all_but(5, 2), to: vec![2] };
        let mut world = World::new(plan(5, 40.0, vec![(10.0, cut), (30.0, Trouble::Heal)]), seed);
        let mut deaf = false;
        let mut gone = 0;
        while world.step(&mut |_, _| {}) {
            deaf |= world.core(2).isolated_since().is_some();
            let others = [0, 1, 3, 4];
            let held = |place: &usize| others.iter().filter(|of| gone_at(world.core(*place), **of)).count();
            gone = gone.max(others.iter().map(held).sum::<usize>());
        }
        assert!(deaf, "seed {seed}");
        assert_eq!(gone, 0, "seed {seed}: it buried others in the eyes of others");
        assert!(world.core(2).is_view_confirmed());
    }
}

fn gone_at(core: &Membership, of: usize) -> bool {
    standing(core, &format!("n{of}")).is_some_and(|standing| !standing.is_present())
}

#[test]
fn after_a_cut_all_agree_again_and_no_storm_follows() {
    for seed in SEEDS {
        let (here, there): (Vec<usize>, Vec<usize>) = ((0..8).collect(), (8..16).collect());
        let cuts = [(here.clone(), there.clone()), (there, here)];
        let mut troubles: Vec<_> =
            cuts.into_iter().map(|(from, to)| (10.0, Trouble::Cut { from, to })).collect();
        // One process of each half is killed meanwhile, and one of them restarts.
        troubles.extend([(15.0, kill(3)), (16.0, kill(12))]);
        troubles.push((22.0, Trouble::Start { who: 12, kept: true, moved: false }));
        troubles.push((30.0, Trouble::Heal));
        let (found, _) = play_unbroken(plan(16, 60.0, troubles), seed);
        assert!(found.deaths_in_cuts > 0);
        let after = found.agreed_after.unwrap_or(f64::INFINITY);
        assert!(after < 10_000.0, "seed {seed}: agreed after {after}");
        // Five probes a second, each with requests to and answers from three helpers: independent of the cluster's size.
        assert!(found.most_datagrams < 100.0, "seed {seed}: {} a second", found.most_datagrams);
    }
}

// After a pause a process's view and the datagrams in its buffers are outdated. It must not act on them, nor report a member
// as alive that was killed meanwhile.
#[test_case(2.0)]
#[test_case(20.0)]
fn one_that_stood_still_doubts_its_view_and_brings_back_no_dead(lasts_s: f64) {
    for seed in SEEDS {
        let troubles = vec![(10.0, Trouble::Pause { who: 4, lasts: lasts_s * 1000.0 }), (11.0, kill(2))];
        let mut world = World::new(plan(6, 50.0, troubles), seed);
        let (mut doubted, mut back) = (false, false);
        let mut now = 0.0;
        while world.step(&mut |at, _| now = at) {
            doubted |= now > 10_000.0 && !world.core(4).is_view_confirmed();
            let known = gone_at(world.core(0), 2) && now > 20_000.0;
            back |= known && [1, 3, 5].iter().any(|place| !gone_at(world.core(*place), 2));
        }
        assert!(now > 49_000.0, "seed {seed}: it ended early");
        assert!(doubted && !back, "seed {seed}: doubted {doubted}, brought back {back}");
        assert!(world.core(4).is_view_confirmed() && gone_at(world.core(4), 2));
        assert_eq!(standing(world.core(0), "n4"), Some(Status::Alive));
    }
}

#[test]
fn a_name_that_comes_back_is_the_same_member_under_a_higher_incarnation() {
    for (kept, moved) in [(true, false), (false, false), (true, true), (false, true)] {
        let start = Trouble::Start { who: 3, kept, moved };
        let (found, world) = play_unbroken(plan(5, 60.0, vec![(10.0, kill(3)), (20.0, start)]), 1);
        let card = &world.core(0).member("n3").expect("known").card;
        assert_eq!(world.core(3).me(), card, "kept {kept}, moved {moved}");
        assert!(card.incarnation > 1 && found.agreed);
    }
}

// A machine is lost and its process is started under the same name elsewhere before the loss is detected.
#[test]
fn a_name_at_a_new_address_is_taken_in_once_its_holder_is_known_to_be_gone() {
    let start = Trouble::Start { who: 3, kept: false, moved: true };
    let (found, world) = play_unbroken(plan(5, 60.0, vec![(10.0, kill(3)), (10.1, start)]), 1);
    assert_eq!(world.core(3).state(), &State::Member);
    assert!(found.agreed);
}

#[test]
fn of_two_with_one_name_the_later_takes_no_part_and_both_are_told() {
    for seed in SEEDS {
        let (mut told, mut world) =
            (false, World::new(plan(5, 30.0, vec![(10.0, Trouble::Double { of: 3 })]), seed));
        while world.step(&mut |_, _| {}) {
            told |= world.core(3).was_claimed();
        }
        assert!(told, "seed {seed}: its holder was not told");
        assert!(
            matches!(world.core(5).state(), State::Barred { by } if by.address == world.core(3).me().address)
        );
        assert!(!world.core(5).is_view_confirmed() && world.core(3).is_view_confirmed());
        assert_eq!(world.core(0).member("n3").expect("known").card, *world.core(3).me());
    }
}

// A process was paused for so long that another one got its name: when it resumes, it is the later claimant and is barred.
#[test]
fn one_whose_name_was_given_away_while_it_stood_still_takes_no_part() {
    for seed in SEEDS {
        let pause = Trouble::Pause { who: 3, lasts: 20_000.0 };
        let (_, world) =
            play_unbroken(plan(5, 60.0, vec![(10.0, pause), (12.0, Trouble::Double { of: 3 })]), seed);
        assert_eq!(world.core(5).state(), &State::Member, "seed {seed}");
        assert!(matches!(world.core(3).state(), State::Barred { .. }), "seed {seed}");
        assert_eq!(world.core(0).member("n3").expect("known").card, *world.core(5).me());
    }
}

#[test]
fn seeds_that_are_down_at_the_start_only_make_it_later() {
    let start = |who| Trouble::Start { who, kept: false, moved: false };
    let one = vec![(0.0, kill(0)), (15.0, start(0))];
    let (found, _) = play_unbroken(plan(5, 30.0, one), 1);
    assert!(found.agreed, "one seed down");
    let all = vec![(0.0, kill(0)), (0.0, kill(1)), (20.0, start(0)), (25.0, start(1))];
    let (found, _) = play_unbroken(plan(5, 40.0, all), 1);
    assert!(found.agreed, "all seeds down");
}

#[test]
fn a_member_that_leaves_is_gone_at_once_and_not_suspected() {
    let (found, world) = play_unbroken(plan(8, 15.0, vec![(10.0, Trouble::Leave { who: 5 })]), 1);
    assert_eq!(standing(world.core(0), "n5"), Some(Status::Left));
    assert!(found.suspicions == 0 && found.agreed_after.is_some_and(|after| after < 1000.0), "{found:?}");
}

#[test]
fn a_third_killed_at_once_is_found_and_nobody_else_is_lost() {
    let troubles = (10..15).map(|who| (10.0, kill(who))).collect();
    let (found, _) = play_unbroken(plan(15, 30.0, troubles), 1);
    assert_eq!((found.found.len(), found.false_deaths, found.agreed), (5, 0, true));
}

#[test]
fn one_seed_gives_one_run() {
    let one = |seed| format!("{:?}", play(Plan::storm(8, seed), seed));
    assert_eq!(one(3), one(3));
    assert_ne!(one(3), one(4));
}

// Processes that start at the same instant can join one another in separate pairs, and no member contacts a process that it
// does not know, unless seeds are asked again. Four node processes started at once stayed two pairs for good.
#[test]
fn groups_that_joined_separately_find_one_another() {
    let (here, there) = (vec![0, 2], vec![1, 3]);
    let cut = |from: &Vec<usize>, to: &Vec<usize>| (2.0, Trouble::Cut { from: from.clone(), to: to.clone() });
    for seed in SEEDS {
        let mut troubles: Vec<_> = (0..4).map(|who| (1.0, kill(who))).collect();
        troubles.extend([cut(&here, &there), cut(&there, &here), (8.0, Trouble::Heal)]);
        troubles.extend((0..4).map(|who| (3.0, Trouble::Start { who, kept: false, moved: false })));
        let (found, world) = play_unbroken(plan(4, 30.0, troubles), seed);
        assert_eq!(found.false_deaths, 0);
        for place in 0..4 {
            let here = world.core(place).members().filter(|member| member.is_present()).count();
            assert_eq!(here, 3, "seed {seed}: p{place}");
        }
    }
}
