//! Duties among real processes with three voters. Holders act at one receiver, which checks the order of acts and refuses those
//! under an old token. Only acts delayed on purpose may be refused: any other refusal means that two processes held the duty at
//! once.

use pearfront_emulator::processes::holders::{Act, Holder, Receiver};
use pearfront_emulator::processes::test_cluster::{call, call_with, wait};
use pearfront_emulator::processes::trial::{self, event};
use pearfront_emulator::processes::{Start, TestCluster};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

const DUTY: &str = "export";
const LEASE: f64 = 2000.0;

type Place = Rc<RefCell<Receiver>>;

/// How long a node with a drain permit may be away, ms.
const AWAY: f64 = 3000.0;

/// Runs a script; acts must reach the receiver in order, and exactly `refused` of them are refused.
fn played<F: Future<Output = Result<(), String>>>(
    what: &str,
    count: usize,
    refused: u64,
    script: impl Fn(Rc<TestCluster>, Place) -> F,
) {
    let cluster = json!({
        "zone": "a", "drain_permit": {"restart_ms": AWAY},
        "voters": ["n0", "n1", "n2"], "duties": {DUTY: {"lease_ms": LEASE}}, "times": {"steady_ms": 60_000},
    });
    let program =
        trial::program(env!("CARGO_BIN_EXE_pearfront-node"), &format!("duty-{what}"), count, cluster);
    let place = RefCell::new(Place::default());
    let done = trial::play(&program, true, |test_cluster| {
        let receiver = Place::default();
        place.replace(receiver.clone());
        script(test_cluster, receiver)
    });
    let (done, verdict) = done.unwrap();
    let logs = program.command.folder.display();
    assert_eq!((done, &verdict.broken), (Ok(()), &vec![]), "logs in {logs}");
    let receiver = place.into_inner();
    let receiver = receiver.borrow();
    assert_eq!((receiver.refused, &receiver.broken), (refused, &vec![]), "logs in {logs}");
    drop(std::fs::remove_dir_all(&program.command.folder));
}

/// Who acted last, and when.
fn last(place: &Place) -> (usize, f64) {
    place.borrow().last.map_or((usize::MAX, 0.0), |act| (act.who, act.at))
}

async fn acts(test_cluster: &Rc<TestCluster>, place: &Place, who: usize) -> Result<(), String> {
    event(test_cluster, &format!("n{who} acts"), |_| last(place).0 == who).await
}

/// Waits until another process acts; returns how long nobody acted, ms.
async fn another(test_cluster: &Rc<TestCluster>, place: &Place, who: usize) -> Result<f64, String> {
    let since = test_cluster.now();
    event(test_cluster, &format!("another than n{who} acts"), |_| {
        let (acts, at) = last(place);
        acts != who && at > since
    })
    .await?;
    Ok(place.borrow().gap_after(since).unwrap_or(f64::INFINITY))
}

async fn view(test_cluster: &TestCluster, who: usize) -> Value {
    let told = call(test_cluster.operators(who), "GET", "/_duties").await;
    told.and_then(|text| serde_json::from_str(&text).ok()).unwrap_or_default()
}

/// The voter that leads.
async fn leader(test_cluster: &Rc<TestCluster>) -> Result<usize, String> {
    for _ in 0..600 {
        for who in 0..3 {
            if test_cluster.runs(who) && view(test_cluster, who).await["voter"]["role"] == "leader" {
                return Ok(who);
            }
        }
        wait(100.0).await;
    }
    Err("nobody leads".into())
}

#[test]
fn a_duty_goes_from_one_to_the_next_by_word() {
    played("word", 5, 0, async |test_cluster, place| {
        let first = Holder::start(&test_cluster, DUTY, 3, &place, true);
        acts(&test_cluster, &place, 3).await?;
        let second = Holder::start(&test_cluster, DUTY, 4, &place, true);
        // The second one waits, and the holder continues.
        wait(2.0 * LEASE).await;
        if last(&place).0 != 3 {
            return Err("the second did not wait".into());
        }
        first.give_up().await;
        let took = another(&test_cluster, &place, 3).await?;
        second.end();
        // The hand-over waits for nothing but the release itself.
        if took < LEASE / 2.0 { Ok(()) } else { Err(format!("{took:.0} ms after the word")) }
    });
}

/// Takes and releases the duty repeatedly until it has changed hands this often.
async fn contends(test_cluster: Rc<TestCluster>, who: usize, place: Place, turns: usize) {
    let (hold, over) =
        (format!("/_duties/{DUTY}/hold?client=c"), format!("/_duties/{DUTY}/give-up?client=c"));
    while place.borrow().turns.len() < turns {
        let told = call(test_cluster.operators(who), "PUT", &hold).await.unwrap_or_default();
        let told: Value = serde_json::from_str(&told).unwrap_or_default();
        if let Some(token) = told["held"]["token"].as_u64() {
            place.borrow_mut().take(Act { at: test_cluster.now(), who, token });
            call(test_cluster.operators(who), "PUT", &over).await;
        }
    }
}

#[test]
fn candidates_at_once_get_it_one_by_one_hundreds_of_times() {
    played("contend", 5, 0, async |test_cluster, place| {
        let all = (0..5)
            .map(|who| tokio::task::spawn_local(contends(test_cluster.clone(), who, place.clone(), 300)));
        let all: Vec<_> = all.collect();
        event(&test_cluster, "it changed hands 300 times", |_| place.borrow().turns.len() >= 300).await?;
        for one in all {
            one.await.map_err(|error| error.to_string())?;
        }
        let turns = &place.borrow().turns;
        let shares = (0..5).map(|who| turns.iter().filter(|act| act.who == who).count());
        let shares: Vec<usize> = shares.collect();
        // If the order of names decided, two of them would get almost all turns.
        let fair = shares.iter().all(|share| 10 * share >= turns.len());
        if fair { Ok(()) } else { Err(format!("turns of each: {shares:?}")) }
    });
}

// A holder checks its lease, is stopped for longer than the lease, and then acts: its clock cannot prevent that, the token
// does.
#[test]
fn an_act_that_comes_after_the_lease_is_refused_by_its_token() {
    played("late", 5, 1, async |test_cluster, place| {
        let first = Holder::start(&test_cluster, DUTY, 3, &place, true);
        acts(&test_cluster, &place, 3).await?;
        let second = Holder::start(&test_cluster, DUTY, 4, &place, true);
        first.be_late(3.0 * LEASE);
        // Its node is stopped as well, so that it renews nothing.
        wait(20.0).await;
        test_cluster.stop(3);
        another(&test_cluster, &place, 3).await?;
        event(&test_cluster, "the late act came", |_| place.borrow().refused > 0).await?;
        test_cluster.go_on(3);
        second.end();
        event(&test_cluster, "all agree again", TestCluster::agreed).await
    });
}

// The holder's node can neither send nor receive: the holder must stop by itself before the next one begins.
#[test]
fn a_holder_whose_node_stands_still_or_is_cut_off_stops_before_the_next_one_begins() {
    played("still", 5, 0, async |test_cluster, place| {
        let holders: Vec<_> = [3, 4].map(|who| Holder::start(&test_cluster, DUTY, who, &place, true)).into();
        for round in 0..3 {
            event(&test_cluster, "somebody acts", |_| test_cluster.now() - last(&place).1 < 100.0).await?;
            let who = last(&place).0;
            match round {
                0 => test_cluster.stop(who),
                1 => test_cluster.cut(&[who], &[0, 1, 2]),
                _ => test_cluster.cut(&[0, 1, 2], &[who]),
            }
            let took = another(&test_cluster, &place, who).await?;
            if round == 0 {
                test_cluster.go_on(who)
            } else {
                test_cluster.heal()
            }
            if took < 0.5 * LEASE {
                return Err(format!("the next one began after {took:.0} ms, within the lease"));
            }
            event(&test_cluster, "all agree again", TestCluster::agreed).await?;
        }
        holders.iter().for_each(|holder| holder.end());
        Ok(())
    });
}

#[test]
fn a_leader_that_is_killed_stopped_or_cut_off_costs_no_holder_its_duty_and_no_token_its_order() {
    played("leader", 5, 0, async |test_cluster, place| {
        let holders: Vec<_> = [3, 4].map(|who| Holder::start(&test_cluster, DUTY, who, &place, true)).into();
        event(&test_cluster, "somebody acts", |_| last(&place).0 < 5).await?;
        for round in 0..4 {
            let who = leader(&test_cluster).await?;
            match round {
                0 => test_cluster.kill(who).await,
                1 => test_cluster.stop(who),
                2 => test_cluster.cut(&[who], &[0, 1, 2, 3, 4]),
                _ => test_cluster.cut(&[0, 1, 2, 3, 4], &[who]),
            }
            wait(3000.0).await;
            match round {
                0 => test_cluster.start(who, Start::Kept).await?,
                1 => test_cluster.go_on(who),
                _ => test_cluster.heal(),
            }
            event(&test_cluster, "all agree again", TestCluster::agreed).await?;
        }
        event(&test_cluster, "somebody acts", |_| test_cluster.now() - last(&place).1 < 100.0).await?;
        // With a new leader, a release still takes one round.
        let who = last(&place).0;
        holders[who - 3].give_up().await;
        another(&test_cluster, &place, who).await?;
        holders.iter().for_each(|holder| holder.end());
        Ok(())
    });
}

#[test]
fn tokens_grow_over_an_end_of_all_processes_and_voters_that_lost_their_folders() {
    played("all", 4, 0, async |test_cluster, place| {
        let holder = Holder::start(&test_cluster, DUTY, 3, &place, true);
        acts(&test_cluster, &place, 3).await?;
        for who in 0..3 {
            test_cluster.copy_folder(who)?;
        }
        holder.give_up().await;
        let holder = Holder::start(&test_cluster, DUTY, 3, &place, true);
        event(&test_cluster, "it acts under a new token", |_| place.borrow().turns.len() == 2).await?;
        holder.end();
        for who in 0..4 {
            test_cluster.kill(who).await;
        }
        for who in 0..4 {
            test_cluster.start(who, Start::Kept).await?;
        }
        let holder = Holder::start(&test_cluster, DUTY, 3, &place, true);
        event(&test_cluster, "it acts after the end of all", |_| place.borrow().turns.len() == 3).await?;
        // One voter after another loses its state, and must catch up before the next one does.
        for (who, with) in [(0, Start::Older), (1, Start::Empty)] {
            test_cluster.kill(who).await;
            test_cluster.start(who, with).await?;
            event(&test_cluster, "all agree again", TestCluster::agreed).await?;
            for _ in 0..600 {
                if view(&test_cluster, who).await["voter"]["may_stand"] == true {
                    break;
                }
                wait(100.0).await;
            }
        }
        holder.give_up().await;
        let holder = Holder::start(&test_cluster, DUTY, 3, &place, true);
        event(&test_cluster, "it acts after voters forgot", |_| place.borrow().turns.len() >= 4).await?;
        holder.end();
        Ok(())
    });
}

#[test]
fn a_voter_whose_folder_is_damaged_does_not_start_and_says_where() {
    played("damaged", 3, 0, async |test_cluster, place| {
        let holder = Holder::start(&test_cluster, DUTY, 0, &place, true);
        acts(&test_cluster, &place, 0).await?;
        holder.end();
        test_cluster.kill(1).await;
        test_cluster.spoil_folder(1, "voter/log", 40)?;
        let up = tokio::time::timeout(Duration::from_secs(3), test_cluster.start(1, Start::Kept)).await;
        let log = test_cluster.log(1);
        if matches!(up, Ok(Ok(())))
            || !log.contains("config.cluster.folder: ")
            || !log.contains("log is damaged at byte")
        {
            return Err(format!("started: {up:?}; {log}"));
        }
        // Operators give it an empty folder.
        test_cluster.kill(1).await;
        test_cluster.start(1, Start::Empty).await?;
        event(&test_cluster, "all agree again", TestCluster::agreed).await
    });
}

// Two of three voters lose their data for good: the third one's state becomes the start of all.
#[test]
fn a_majority_that_is_lost_for_good_has_a_way_back_and_no_token_is_given_again() {
    played("lost", 4, 0, async |test_cluster, place| {
        let holder = Holder::start(&test_cluster, DUTY, 3, &place, true);
        acts(&test_cluster, &place, 3).await?;
        for who in 0..3 {
            test_cluster.kill(who).await;
        }
        event(&test_cluster, "it stops by itself", |_| holder.may_act().is_none()).await?;
        let new = test_cluster.folder(2).join("rescued");
        let found = pearfront_cluster::rescue(&test_cluster.folder(2).join("voter"), &new)?;
        for who in 0..3 {
            let voter = test_cluster.folder(who).join("voter");
            let told = |error: std::io::Error| error.to_string();
            std::fs::remove_dir_all(&voter).map_err(told)?;
            std::fs::create_dir_all(&voter).map_err(told)?;
            std::fs::copy(new.join("log"), voter.join("log")).map_err(told)?;
        }
        for who in 0..3 {
            test_cluster.start(who, Start::Kept).await?;
        }
        event(&test_cluster, "it acts again", |_| holder.may_act().is_some()).await?;
        holder.give_up().await;
        let holder = Holder::start(&test_cluster, DUTY, 3, &place, true);
        let next = found.next_token;
        event(&test_cluster, "a token far above", |_| holder.may_act().is_some_and(|token| token >= next))
            .await?;
        holder.end();
        Ok(())
    });
}

async fn drains(test_cluster: &TestCluster, who: usize) -> bool {
    call(test_cluster.operators(who), "PUT", "/_lameduck/on").await.is_some()
}

async fn is_ready(test_cluster: &TestCluster, who: usize) -> bool {
    call(test_cluster.operators(who), "GET", "/_ready").await.is_some()
}

/// Asks these nodes in turn until one may drain; returns it.
async fn one_drains(test_cluster: &TestCluster, of: &[usize]) -> Result<usize, String> {
    for round in 0..600 {
        let who = of[round % of.len()];
        if drains(test_cluster, who).await {
            return Ok(who);
        }
        wait(50.0).await;
    }
    Err("none of them may drain".into())
}

#[test]
fn of_a_zone_only_one_drains_at_a_time_and_one_that_loses_its_permit_takes_jobs_again() {
    played("drain", 4, 0, async |test_cluster, _| {
        let first = one_drains(&test_cluster, &[0, 1, 2, 3]).await?;
        let others = |who: usize| (0..4).filter(|other| *other != who).collect::<Vec<_>>();
        for who in others(first) {
            if drains(&test_cluster, who).await || !is_ready(&test_cluster, who).await {
                return Err(format!("n{who} drains beside n{first}"));
            }
        }
        // With force it drains without a permit.
        let forced = others(first)[0];
        let force = "X-Force: yes\r\n";
        call_with(test_cluster.operators(forced), "PUT", "/_lameduck/on", force)
            .await
            .ok_or("force was refused")?;
        call(test_cluster.operators(forced), "PUT", "/_lameduck/off").await.ok_or("it stays away")?;
        // A node that is cut off cannot know who else drains: it must be back before another one may drain.
        let rest = others(first);
        test_cluster.cut(&[first], &rest);
        test_cluster.cut(&rest, &[first]);
        let second = one_drains(&test_cluster, &rest).await?;
        if !is_ready(&test_cluster, first).await {
            return Err(format!("n{first} and n{second} are away at once"));
        }
        test_cluster.heal();
        event(&test_cluster, "all agree again", TestCluster::agreed).await?;
        // After an explicit return the next one may drain at once; after a kill only when the restart time has passed.
        call(test_cluster.operators(second), "PUT", "/_lameduck/off").await.ok_or("it stays away")?;
        let third = one_drains(&test_cluster, &others(second)).await?;
        test_cluster.kill(third).await;
        let since = test_cluster.now();
        let left = others(third);
        one_drains(&test_cluster, &left).await?;
        let took = test_cluster.now() - since;
        if took > 0.5 * AWAY { Ok(()) } else { Err(format!("the next one went {took:.0} ms after a kill")) }
    });
}

// Cross-check: the receiver must detect a holder that ignores its clock, or its passes mean nothing.
#[test]
fn a_holder_that_never_looks_is_found() {
    let found = std::panic::catch_unwind(|| {
        played("blind", 5, 0, async |test_cluster, place| {
            let first = Holder::start(&test_cluster, DUTY, 3, &place, false);
            acts(&test_cluster, &place, 3).await?;
            let second = Holder::start(&test_cluster, DUTY, 4, &place, true);
            test_cluster.stop(3);
            event(&test_cluster, "the second acts", |_| place.borrow().turns.iter().any(|act| act.who == 4))
                .await?;
            event(&test_cluster, "the first goes on acting", |_| place.borrow().refused > 0).await?;
            test_cluster.go_on(3);
            first.end();
            second.end();
            event(&test_cluster, "all agree again", TestCluster::agreed).await
        });
    });
    assert!(found.is_err());
}
