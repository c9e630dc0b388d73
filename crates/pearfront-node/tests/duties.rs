//! Duties among real processes: three of five or seven decide, and those who hold something act at one place, which keeps
//! the order in which acts came. It refuses an act under an old token, and only acts that were made late on purpose may be
//! refused: any other is one of two that held the duty at one instant.

use pearfront_emulator::processes::ground::{call, call_with, wait};
use pearfront_emulator::processes::holders::{Act, Holder, Receiver};
use pearfront_emulator::processes::trial::{self, event};
use pearfront_emulator::processes::{Ground, Start};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

const DUTY: &str = "export";
const LEASE: f64 = 2000.0;

type Place = Rc<RefCell<Receiver>>;

/// So many nodes drain at once, and how long one may be away, ms.
const AWAY: f64 = 3000.0;

/// Plays a script, and what came to the receiver must be in order; so many acts may be refused.
fn played<F: Future<Output = Result<(), String>>>(
    what: &str,
    count: usize,
    refused: u64,
    script: impl Fn(Rc<Ground>, Place) -> F,
) {
    let cluster = json!({
        "zone": "a", "drain_permit": {"restart_ms": AWAY},
        "voters": ["n0", "n1", "n2"], "duties": {DUTY: {"lease_ms": LEASE}}, "times": {"steady_ms": 60_000},
    });
    let program =
        trial::program(env!("CARGO_BIN_EXE_pearfront-node"), &format!("duty-{what}"), count, cluster);
    let place = RefCell::new(Place::default());
    let done = trial::play(&program, true, |ground| {
        let receiver = Place::default();
        place.replace(receiver.clone());
        script(ground, receiver)
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

async fn acts(ground: &Rc<Ground>, place: &Place, who: usize) -> Result<(), String> {
    event(ground, &format!("n{who} acts"), |_| last(place).0 == who).await
}

/// Another than that one acts from now on; how long it took, ms.
async fn another(ground: &Rc<Ground>, place: &Place, who: usize) -> Result<f64, String> {
    let since = ground.now();
    event(ground, &format!("another than n{who} acts"), |_| {
        let (acts, at) = last(place);
        acts != who && at > since
    })
    .await?;
    Ok(place.borrow().gap_after(since).unwrap_or(f64::INFINITY))
}

async fn view(ground: &Ground, who: usize) -> Value {
    let told = call(ground.operators(who), "GET", "/_duties").await;
    told.and_then(|text| serde_json::from_str(&text).ok()).unwrap_or_default()
}

/// The voter that leads.
async fn leader(ground: &Rc<Ground>) -> Result<usize, String> {
    for _ in 0..600 {
        for who in 0..3 {
            if ground.runs(who) && view(ground, who).await["voter"]["role"] == "leader" {
                return Ok(who);
            }
        }
        wait(100.0).await;
    }
    Err("nobody leads".into())
}

#[test]
fn a_duty_goes_from_one_to_the_next_by_word() {
    played("word", 5, 0, async |ground, place| {
        let first = Holder::start(&ground, DUTY, 3, &place, true);
        acts(&ground, &place, 3).await?;
        let second = Holder::start(&ground, DUTY, 4, &place, true);
        // It waits, and the one that has it goes on.
        wait(2.0 * LEASE).await;
        if last(&place).0 != 3 {
            return Err("the second did not wait".into());
        }
        first.give_up().await;
        let took = another(&ground, &place, 3).await?;
        second.end();
        // Nothing is waited for but the word itself.
        if took < LEASE / 2.0 { Ok(()) } else { Err(format!("{took:.0} ms after the word")) }
    });
}

/// Takes the duty and gives it up, again and again, until it has changed hands so often.
async fn contends(ground: Rc<Ground>, who: usize, place: Place, turns: usize) {
    let (hold, over) =
        (format!("/_duties/{DUTY}/hold?client=c"), format!("/_duties/{DUTY}/give-up?client=c"));
    while place.borrow().turns.len() < turns {
        let told = call(ground.operators(who), "PUT", &hold).await.unwrap_or_default();
        let told: Value = serde_json::from_str(&told).unwrap_or_default();
        if let Some(token) = told["held"]["token"].as_u64() {
            place.borrow_mut().take(Act { at: ground.now(), who, token });
            call(ground.operators(who), "PUT", &over).await;
        }
    }
}

#[test]
fn candidates_at_once_get_it_one_by_one_hundreds_of_times() {
    played("contend", 5, 0, async |ground, place| {
        let all =
            (0..5).map(|who| tokio::task::spawn_local(contends(ground.clone(), who, place.clone(), 300)));
        let all: Vec<_> = all.collect();
        event(&ground, "it changed hands 300 times", |_| place.borrow().turns.len() >= 300).await?;
        for one in all {
            one.await.map_err(|error| error.to_string())?;
        }
        let turns = &place.borrow().turns;
        let shares = (0..5).map(|who| turns.iter().filter(|act| act.who == who).count());
        let shares: Vec<usize> = shares.collect();
        // By name alone two of them would have all but a few turns.
        let fair = shares.iter().all(|share| 10 * share >= turns.len());
        if fair { Ok(()) } else { Err(format!("turns of each: {shares:?}")) }
    });
}

// It looks, stands still for longer than its lease, and acts: the clock can't tell, the token does.
#[test]
fn an_act_that_comes_after_the_lease_is_refused_by_its_token() {
    played("late", 5, 1, async |ground, place| {
        let first = Holder::start(&ground, DUTY, 3, &place, true);
        acts(&ground, &place, 3).await?;
        let second = Holder::start(&ground, DUTY, 4, &place, true);
        first.be_late(3.0 * LEASE);
        // It says nothing meanwhile either: its node stands still with it.
        wait(20.0).await;
        ground.stop(3);
        another(&ground, &place, 3).await?;
        event(&ground, "the late act came", |_| place.borrow().refused > 0).await?;
        ground.go_on(3);
        second.end();
        event(&ground, "all agree again", Ground::agreed).await
    });
}

// Its node can't say anything, and nobody can say anything to it: it stops by itself before another begins.
#[test]
fn a_holder_whose_node_stands_still_or_is_cut_off_stops_before_the_next_one_begins() {
    played("still", 5, 0, async |ground, place| {
        let holders: Vec<_> = [3, 4].map(|who| Holder::start(&ground, DUTY, who, &place, true)).into();
        for round in 0..3 {
            event(&ground, "somebody acts", |_| ground.now() - last(&place).1 < 100.0).await?;
            let who = last(&place).0;
            match round {
                0 => ground.stop(who),
                1 => ground.cut(&[who], &[0, 1, 2]),
                _ => ground.cut(&[0, 1, 2], &[who]),
            }
            let took = another(&ground, &place, who).await?;
            if round == 0 {
                ground.go_on(who)
            } else {
                ground.heal()
            }
            if took < 0.5 * LEASE {
                return Err(format!("the next one began after {took:.0} ms, within the lease"));
            }
            event(&ground, "all agree again", Ground::agreed).await?;
        }
        holders.iter().for_each(|holder| holder.end());
        Ok(())
    });
}

#[test]
fn a_leader_that_is_killed_stopped_or_cut_off_costs_no_holder_its_duty_and_no_token_its_order() {
    played("leader", 5, 0, async |ground, place| {
        let holders: Vec<_> = [3, 4].map(|who| Holder::start(&ground, DUTY, who, &place, true)).into();
        event(&ground, "somebody acts", |_| last(&place).0 < 5).await?;
        for round in 0..4 {
            let who = leader(&ground).await?;
            match round {
                0 => ground.kill(who).await,
                1 => ground.stop(who),
                2 => ground.cut(&[who], &[0, 1, 2, 3, 4]),
                _ => ground.cut(&[0, 1, 2, 3, 4], &[who]),
            }
            wait(3000.0).await;
            match round {
                0 => ground.start(who, Start::Kept).await?,
                1 => ground.go_on(who),
                _ => ground.heal(),
            }
            event(&ground, "all agree again", Ground::agreed).await?;
        }
        event(&ground, "somebody acts", |_| ground.now() - last(&place).1 < 100.0).await?;
        // With a new leader a word is still one round.
        let who = last(&place).0;
        holders[who - 3].give_up().await;
        another(&ground, &place, who).await?;
        holders.iter().for_each(|holder| holder.end());
        Ok(())
    });
}

#[test]
fn tokens_grow_over_an_end_of_all_processes_and_voters_that_lost_their_folders() {
    played("all", 4, 0, async |ground, place| {
        let holder = Holder::start(&ground, DUTY, 3, &place, true);
        acts(&ground, &place, 3).await?;
        for who in 0..3 {
            ground.copy_folder(who)?;
        }
        holder.give_up().await;
        let holder = Holder::start(&ground, DUTY, 3, &place, true);
        event(&ground, "it acts under a new token", |_| place.borrow().turns.len() == 2).await?;
        holder.end();
        for who in 0..4 {
            ground.kill(who).await;
        }
        for who in 0..4 {
            ground.start(who, Start::Kept).await?;
        }
        let holder = Holder::start(&ground, DUTY, 3, &place, true);
        event(&ground, "it acts after the end of all", |_| place.borrow().turns.len() == 3).await?;
        // One voter after another forgets, and has to catch up before the next one does.
        for (who, with) in [(0, Start::Older), (1, Start::Empty)] {
            ground.kill(who).await;
            ground.start(who, with).await?;
            event(&ground, "all agree again", Ground::agreed).await?;
            for _ in 0..600 {
                if view(&ground, who).await["voter"]["may_stand"] == true {
                    break;
                }
                wait(100.0).await;
            }
        }
        holder.give_up().await;
        let holder = Holder::start(&ground, DUTY, 3, &place, true);
        event(&ground, "it acts after voters forgot", |_| place.borrow().turns.len() >= 4).await?;
        holder.end();
        Ok(())
    });
}

#[test]
fn a_voter_whose_folder_is_damaged_does_not_start_and_says_where() {
    played("damaged", 3, 0, async |ground, place| {
        let holder = Holder::start(&ground, DUTY, 0, &place, true);
        acts(&ground, &place, 0).await?;
        holder.end();
        ground.kill(1).await;
        ground.spoil_folder(1, "voter/log", 40)?;
        let up = tokio::time::timeout(Duration::from_secs(3), ground.start(1, Start::Kept)).await;
        let log = ground.log(1);
        if matches!(up, Ok(Ok(())))
            || !log.contains("config.cluster.folder: ")
            || !log.contains("log is damaged at byte")
        {
            return Err(format!("started: {up:?}; {log}"));
        }
        // Operators give it an empty one.
        ground.kill(1).await;
        ground.start(1, Start::Empty).await?;
        event(&ground, "all agree again", Ground::agreed).await
    });
}

// Two of three voters are lost with all they had: what the third has becomes the beginning of all.
#[test]
fn a_majority_that_is_lost_for_good_has_a_way_back_and_no_token_is_given_again() {
    played("lost", 4, 0, async |ground, place| {
        let holder = Holder::start(&ground, DUTY, 3, &place, true);
        acts(&ground, &place, 3).await?;
        for who in 0..3 {
            ground.kill(who).await;
        }
        event(&ground, "it stops by itself", |_| holder.may_act().is_none()).await?;
        let new = ground.folder(2).join("rescued");
        let found = pearfront_cluster::rescue(&ground.folder(2).join("voter"), &new)?;
        for who in 0..3 {
            let voter = ground.folder(who).join("voter");
            let told = |error: std::io::Error| error.to_string();
            std::fs::remove_dir_all(&voter).map_err(told)?;
            std::fs::create_dir_all(&voter).map_err(told)?;
            std::fs::copy(new.join("log"), voter.join("log")).map_err(told)?;
        }
        for who in 0..3 {
            ground.start(who, Start::Kept).await?;
        }
        event(&ground, "it acts again", |_| holder.may_act().is_some()).await?;
        holder.give_up().await;
        let holder = Holder::start(&ground, DUTY, 3, &place, true);
        let next = found.next_token;
        event(&ground, "a token far above", |_| holder.may_act().is_some_and(|token| token >= next)).await?;
        holder.end();
        Ok(())
    });
}

async fn drains(ground: &Ground, who: usize) -> bool {
    call(ground.operators(who), "PUT", "/_lameduck/on").await.is_some()
}

async fn is_ready(ground: &Ground, who: usize) -> bool {
    call(ground.operators(who), "GET", "/_ready").await.is_some()
}

/// The first of these that is let drain, each asked in turn until one is.
async fn one_drains(ground: &Ground, of: &[usize]) -> Result<usize, String> {
    for round in 0..600 {
        let who = of[round % of.len()];
        if drains(ground, who).await {
            return Ok(who);
        }
        wait(50.0).await;
    }
    Err("none of them may drain".into())
}

#[test]
fn of_a_zone_only_one_drains_at_a_time_and_one_that_loses_its_permit_takes_jobs_again() {
    played("drain", 4, 0, async |ground, _| {
        let first = one_drains(&ground, &[0, 1, 2, 3]).await?;
        let others = |who: usize| (0..4).filter(|other| *other != who).collect::<Vec<_>>();
        for who in others(first) {
            if drains(&ground, who).await || !is_ready(&ground, who).await {
                return Err(format!("n{who} drains beside n{first}"));
            }
        }
        // By force it goes without.
        let forced = others(first)[0];
        let force = "X-Force: yes\r\n";
        call_with(ground.operators(forced), "PUT", "/_lameduck/on", force)
            .await
            .ok_or("force was refused")?;
        call(ground.operators(forced), "PUT", "/_lameduck/off").await.ok_or("it stays away")?;
        // Cut off, it can't know who is away: before another may go it is back.
        let rest = others(first);
        ground.cut(&[first], &rest);
        ground.cut(&rest, &[first]);
        let second = one_drains(&ground, &rest).await?;
        if !is_ready(&ground, first).await {
            return Err(format!("n{first} and n{second} are away at once"));
        }
        ground.heal();
        event(&ground, "all agree again", Ground::agreed).await?;
        // Back by word, the next may go at once; ended, it is away for as long as a restart may take.
        call(ground.operators(second), "PUT", "/_lameduck/off").await.ok_or("it stays away")?;
        let third = one_drains(&ground, &others(second)).await?;
        ground.kill(third).await;
        let since = ground.now();
        let left = others(third);
        one_drains(&ground, &left).await?;
        let took = ground.now() - since;
        if took > 0.5 * AWAY { Ok(()) } else { Err(format!("the next one went {took:.0} ms after a kill")) }
    });
}

// The receiver has to find a holder that does not look at its clock, or it says nothing of the others.
#[test]
fn a_holder_that_never_looks_is_found() {
    let found = std::panic::catch_unwind(|| {
        played("blind", 5, 0, async |ground, place| {
            let first = Holder::start(&ground, DUTY, 3, &place, false);
            acts(&ground, &place, 3).await?;
            let second = Holder::start(&ground, DUTY, 4, &place, true);
            ground.stop(3);
            event(&ground, "the second acts", |_| place.borrow().turns.iter().any(|act| act.who == 4))
                .await?;
            event(&ground, "the first goes on acting", |_| place.borrow().refused > 0).await?;
            ground.go_on(3);
            first.end();
            second.end();
            event(&ground, "all agree again", Ground::agreed).await
        });
    });
    assert!(found.is_err());
}
