//! Several node processes of one installation, connected by the test cluster. The tests wait for events; the judge compares
//! faults and each node's view on one clock. Runs on a machine that was late are void and repeated.

use pearfront_emulator::processes::judge::judge;
use pearfront_emulator::processes::relay::Weather;
use pearfront_emulator::processes::test_cluster::{View, wait};
use pearfront_emulator::processes::trial::{self, event};
use pearfront_emulator::processes::{Program, Start, TestCluster, run};
use pearfront_emulator::void_plays::{PLAYS, Play, in_time};
use serde_json::{Value, json};
use std::rc::Rc;
use std::time::Duration;

fn program(what: &str, count: usize, cluster: Value) -> Program {
    trial::program(env!("CARGO_BIN_EXE_pearfront-node"), what, count, cluster)
}

/// Runs `script` on this many processes that agree, until the machine was in time for it.
fn played<F: Future<Output = Result<(), String>>>(
    what: &str,
    count: usize,
    cuts_excuse: bool,
    script: impl Fn(Rc<TestCluster>) -> F,
) {
    let program = program(what, count, json!({}));
    let (done, verdict) = trial::play(&program, cuts_excuse, script).unwrap();
    let logs = program.command.folder.display();
    assert_eq!((done, &verdict.broken), (Ok(()), &vec![]), "logs in {logs}");
    drop(std::fs::remove_dir_all(&program.command.folder));
}

fn all_but(count: usize, who: usize) -> Vec<usize> {
    (0..count).filter(|other| *other != who).collect()
}

fn held(test_cluster: &TestCluster, by: &[usize], of: usize, state: &str) -> bool {
    by.iter().all(|at| test_cluster.standing(*at, of).is_some_and(|standing| standing == state))
}

#[test]
fn a_killed_process_is_known_to_have_ended_and_comes_back_as_the_same_member() {
    played("killed", 5, false, async |test_cluster| {
        test_cluster.kill(3).await;
        event(&test_cluster, "all know that n3 ended", |test_cluster| {
            held(test_cluster, &all_but(5, 3), 3, "ended")
        })
        .await?;
        test_cluster.start(3, Start::Kept).await?;
        event(&test_cluster, "all agree again", TestCluster::agreed).await?;
        let incarnation = test_cluster.view(3).map(|view| view.incarnation);
        if incarnation.is_none_or(|incarnation| incarnation < 2) {
            return Err(format!("came back under {incarnation:?}"));
        }
        test_cluster.terminate(2).await;
        event(&test_cluster, "all know that n2 left", |test_cluster| {
            held(test_cluster, &all_but(5, 2), 2, "left")
        })
        .await
    });
}

// Silence without proof of an end: connections stay open, as after a power loss, and the process sends nothing.
#[test]
fn one_that_stands_still_is_silent_not_ended_and_finds_out_when_it_goes_on() {
    played("still", 5, false, async |test_cluster| {
        test_cluster.stop(1);
        event(&test_cluster, "all hold n1 silent", |test_cluster| {
            held(test_cluster, &all_but(5, 1), 1, "silent")
        })
        .await?;
        // Another process dies meanwhile: n1's outdated view must not revive it.
        test_cluster.kill(4).await;
        event(&test_cluster, "n4 has ended", |test_cluster| held(test_cluster, &[0, 2, 3], 4, "ended"))
            .await?;
        // Messages sent to it meanwhile fill its buffers by now.
        wait(15_000.0).await;
        test_cluster.go_on(1);
        event(&test_cluster, "all agree again", TestCluster::agreed).await?;
        let refuted = test_cluster.view(1).is_some_and(|view| view.counts["refutations"] > 0);
        if refuted { Ok(()) } else { Err("n1 did not find out".into()) }
    });
}

#[test]
fn a_pause_of_two_seconds_costs_nobody_its_place() {
    played("pause", 5, false, async |test_cluster| {
        for who in [1, 3] {
            test_cluster.stop(who);
            wait(2000.0).await;
            test_cluster.go_on(who);
            event(&test_cluster, "all agree again", TestCluster::agreed).await?;
        }
        Ok(())
    });
}

#[test]
fn a_link_that_is_cut_one_way_costs_nobody_its_place() {
    played("one-way", 5, false, async |test_cluster| {
        test_cluster.cut(&[0], &[1]);
        // Longer than any suspicion lasts.
        wait(12_000.0).await;
        test_cluster.heal();
        event(&test_cluster, "all agree again", TestCluster::agreed).await
    });
}

#[test]
fn a_ring_of_one_way_links_costs_nobody_its_place() {
    played("ring", 5, false, async |test_cluster| {
        (0..5).for_each(|place| test_cluster.cut(&[place], &[(place + 1) % 5]));
        wait(12_000.0).await;
        test_cluster.heal();
        event(&test_cluster, "all agree again", TestCluster::agreed).await
    });
}

#[test]
fn a_third_killed_at_once_is_found_after_a_release_of_all() {
    played("release", 9, false, async |test_cluster| {
        for who in 0..9 {
            test_cluster.terminate(who).await;
            test_cluster.start(who, Start::Kept).await?;
        }
        event(&test_cluster, "all agree after the release", TestCluster::agreed).await?;
        for who in [1, 4, 7] {
            test_cluster.kill(who).await;
        }
        event(&test_cluster, "the rest agrees", TestCluster::agreed).await?;
        event(&test_cluster, "all three are known to have ended", |test_cluster| {
            [1, 4, 7].iter().all(|gone| held(test_cluster, &[0, 2, 3, 5, 6, 8], *gone, "ended"))
        })
        .await
    });
}

#[test]
fn one_that_hears_nobody_buries_nobody_for_the_others() {
    played("deaf", 5, true, async |test_cluster| {
        let others = all_but(5, 2);
        test_cluster.cut(&others, &[2]);
        event(&test_cluster, "n2 knows that it is deaf", |test_cluster| {
            test_cluster.view(2).is_some_and(|view| view.deaf_s.is_some())
        })
        .await?;
        wait(6000.0).await;
        for at in &others {
            for of in others.iter().filter(|of| *of != at) {
                if test_cluster
                    .standing(*at, *of)
                    .is_none_or(|standing| standing != "alive" && standing != "suspect")
                {
                    return Err(format!("n{at} holds n{of} to be {:?}", test_cluster.standing(*at, *of)));
                }
            }
        }
        test_cluster.heal();
        event(&test_cluster, "all agree again", TestCluster::agreed).await
    });
}

#[test]
fn halves_that_were_cut_come_together_again() {
    played("halves", 6, true, async |test_cluster| {
        let (here, there) = ([0, 1, 2], [3, 4, 5]);
        test_cluster.cut(&here, &there);
        test_cluster.cut(&there, &here);
        event(&test_cluster, "each half holds the other to be silent", |test_cluster| {
            there.iter().all(|of| held(test_cluster, &here, *of, "silent"))
                && here.iter().all(|of| held(test_cluster, &there, *of, "silent"))
        })
        .await?;
        test_cluster.kill(5).await;
        event(&test_cluster, "n5 has ended", |test_cluster| held(test_cluster, &[3, 4], 5, "ended")).await?;
        test_cluster.heal();
        event(&test_cluster, "all agree again", TestCluster::agreed).await
    });
}

// Streams that stall while datagrams pass, the reverse, and streams that are reset: none of these is a death.
#[test]
fn a_way_that_carries_half_of_what_it_should_costs_nobody_its_place() {
    played("stalled", 4, false, async |test_cluster| {
        let all = [0, 1, 2, 3];
        test_cluster.weather(&[0], &all, |weather| weather.no_streams = true);
        event(&test_cluster, "a link is seen to be stalled", |test_cluster| {
            test_cluster
                .view(0)
                .is_some_and(|view| view.members.iter().any(|member| member.link == "stalled"))
        })
        .await?;
        test_cluster.heal();
        test_cluster.weather(&[1], &all, |weather| weather.no_datagrams = true);
        wait(8000.0).await;
        test_cluster.heal();
        test_cluster.reset(&all, &all);
        event(&test_cluster, "all agree, by links that are up", |test_cluster| {
            let up = |view: View| view.members.iter().all(|member| member.link == "up");
            test_cluster.agreed() && all.iter().all(|who| test_cluster.view(*who).is_some_and(up))
        })
        .await
    });
}

#[test]
fn loss_copies_and_delays_cost_nobody_its_place() {
    played("weather", 8, false, async |test_cluster| {
        let all: Vec<usize> = (0..8).collect();
        test_cluster.weather(&all, &all, |weather| {
            *weather = Weather { loss: 0.2, doubled: 0.1, delay: (1.0, 60.0), ..Weather::FINE };
        });
        wait(15_000.0).await;
        test_cluster.heal();
        event(&test_cluster, "all agree again", TestCluster::agreed).await
    });
}

#[test]
fn a_name_may_come_back_at_another_address() {
    played("moved", 4, false, async |test_cluster| {
        test_cluster.kill(3).await;
        test_cluster.move_to_new_address(3);
        test_cluster.start(3, Start::Empty).await?;
        event(&test_cluster, "all agree again", TestCluster::agreed).await?;
        let (address, wanted) = (test_cluster.view(0), test_cluster.cluster(3).to_string());
        match address.and_then(|view| view.member("n3").map(|member| member.address.clone())) {
            Some(address) if address == wanted => Ok(()),
            other => Err(format!("n0 knows it at {other:?}, not {wanted}")),
        }
    });
}

// The address of an ended member goes to another one, which must not revive the old member.
#[test]
fn a_new_name_at_anothers_old_address_is_a_member_of_its_own() {
    played("address", 4, false, async |test_cluster| {
        test_cluster.kill(3).await;
        event(&test_cluster, "n3 has ended", |test_cluster| held(test_cluster, &[0, 1, 2], 3, "ended"))
            .await?;
        test_cluster.call_as(3, "new");
        test_cluster.start(3, Start::Empty).await?;
        event(&test_cluster, "the new one is seen by all", |test_cluster| {
            let here = |view: View| view.member("new").is_some_and(|member| member.state == "alive");
            (0..3).all(|who| test_cluster.view(who).is_some_and(here))
                && test_cluster.view(3).is_some_and(|view| view.sure)
        })
        .await?;
        if held(&test_cluster, &[0, 1, 2], 3, "ended") { Ok(()) } else { Err("n3 came to life".into()) }
    });
}

#[test]
fn of_two_with_one_name_the_later_takes_no_part_and_both_are_told() {
    played("double", 4, false, async |test_cluster| {
        test_cluster.terminate(3).await;
        event(&test_cluster, "n3 has left", |test_cluster| held(test_cluster, &[0, 1, 2], 3, "left")).await?;
        test_cluster.call_as(3, "n1");
        test_cluster.start(3, Start::Empty).await?;
        event(&test_cluster, "the later one is barred", |test_cluster| {
            test_cluster.view(3).is_some_and(|view| view.state == "barred" && !view.sure)
        })
        .await?;
        let by = test_cluster.view(3).and_then(|view| view.barred_by);
        let holder = test_cluster.cluster(1).to_string();
        if by.as_ref() != Some(&holder) {
            return Err(format!("told of {by:?}, not of {holder}"));
        }
        // Once its holder has ended, the name is free.
        test_cluster.kill(1).await;
        event(&test_cluster, "it takes part now", |test_cluster| {
            test_cluster.view(3).is_some_and(|view| view.sure)
        })
        .await?;
        // n3 now has another process's name; the judge identifies processes by their lives.
        event(&test_cluster, "the others see it", |test_cluster| held(test_cluster, &[0, 2], 1, "alive"))
            .await
    });
}

// Seeds may be down: the running processes join one another, and the others join later.
#[test]
fn processes_that_are_asked_first_may_be_down() {
    let program = program("seeds", 4, json!({}));
    let shown = in_time(PLAYS, |number| {
        drop(std::fs::remove_dir_all(&program.command.folder));
        run(async {
            let test_cluster = TestCluster::new(program.clone(), number as u64)?;
            test_cluster.start(3, Start::Kept).await?;
            test_cluster.start(2, Start::Kept).await?;
            event(&test_cluster, "two come together", TestCluster::agreed).await?;
            test_cluster.start(0, Start::Kept).await?;
            test_cluster.start(1, Start::Kept).await?;
            event(&test_cluster, "all come together", TestCluster::agreed).await?;
            Ok(Play::InTime(judge(&test_cluster.end().await, false).broken))
        })
    });
    assert_eq!(shown, Ok(vec![]));
    drop(std::fs::remove_dir_all(&program.command.folder));
}

/// CPU time that a process has used, s.
fn cpu_s(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after = stat.rsplit_once(')').map_or("", |(_, after)| after);
    let ticks: f64 =
        after.split_whitespace().skip(11).take(2).filter_map(|word| word.parse::<f64>().ok()).sum();
    ticks / rustix::param::clock_ticks_per_second() as f64
}

// Fifty thousand invalid datagrams a second must not take the CPU from the rest of the node.
#[test]
fn a_flood_costs_a_bounded_part_of_the_processor_and_nobody_its_place() {
    const FLOOD: Duration = Duration::from_secs(4);
    played("flood", 3, false, async |test_cluster| {
        let (at, before) = (test_cluster.cluster(0), cpu_s(test_cluster.pid(0)));
        let flood = std::thread::spawn(move || {
            let socket = std::net::UdpSocket::bind("127.0.0.1:0").expect("a socket");
            let (start, mut sent) = (std::time::Instant::now(), 0u64);
            while start.elapsed() < FLOOD {
                let wanted = start.elapsed().as_micros() as u64 / 20;
                while sent < wanted {
                    sent += 1;
                    // Every other one starts with a packet's magic bytes.
                    let garbage =
                        [if sent.is_multiple_of(2) { b'p' } else { 0 }, b'm', 1, 2, 3, 4, 5, 6, 7, 8];
                    let _ = socket.send_to(&garbage, at);
                }
                std::thread::sleep(Duration::from_millis(1));
            }
            sent
        });
        wait(FLOOD.as_secs_f64() * 1000.0).await;
        let sent = flood.join().map_err(|_| "the flood ended early".to_string())?;
        let used = (cpu_s(test_cluster.pid(0)) - before) / FLOOD.as_secs_f64();
        event(&test_cluster, "all agree", TestCluster::agreed).await?;
        let counts = test_cluster.view(0).map(|view| view.counts).unwrap_or_default();
        if counts["over_budget"] == 0 || counts["garbled"] + counts["foreign"] == 0 {
            return Err(format!("{sent} were sent, and reading was not bounded: {counts:?}"));
        }
        // Without the budget each of them is read, and nothing says how much that may cost.
        if used < 0.15 { Ok(()) } else { Err(format!("{used:.2} of a core went into the flood")) }
    });
}

/// Numbers of sockets and threads of a node with this addition to its configuration.
fn held_open(what: &str, cluster: Option<Value>) -> (usize, usize) {
    let mut file: Value = serde_json::from_str(include_str!("../../../deploy/example.json")).unwrap();
    let free = || std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let (listen, admin) = (free(), free());
    file["admin"] = json!(admin);
    if let Some(mut cluster) = cluster {
        cluster["listen"] = json!(free());
        file["cluster"] = cluster;
    }
    let path = std::env::temp_dir().join(format!("pearfront-open-{what}-{}.json", std::process::id()));
    std::fs::write(&path, file.to_string()).unwrap();
    let mut node = std::process::Command::new(env!("CARGO_BIN_EXE_pearfront-node"))
        .envs([("ROUTER_NAME", "n0"), ("ROUTER_DISCOVERY", "127.0.0.1:1")])
        .envs([("ROUTER_LISTEN", listen.to_string()), ("ROUTER_CONFIG", path.display().to_string())])
        .stderr(std::process::Stdio::null())
        .spawn()
        .unwrap();
    while std::net::TcpStream::connect(listen).is_err() {
        assert!(node.try_wait().unwrap().is_none(), "it ended");
        std::thread::sleep(Duration::from_millis(10));
    }
    let entries = |what: &str| std::fs::read_dir(format!("/proc/{}/{what}", node.id())).unwrap().flatten();
    let is_listening = |entry: &std::fs::DirEntry| {
        std::fs::read_link(entry.path()).is_ok_and(|link| link.to_string_lossy().starts_with("socket:"))
    };
    // The connection of the readiness check may still be open: only sockets that existed before it count.
    let mut sockets = usize::MAX;
    for _ in 0..20 {
        sockets = sockets.min(entries("fd").filter(is_listening).count());
        std::thread::sleep(Duration::from_millis(10));
    }
    let threads = entries("task").count();
    node.kill().unwrap();
    node.wait().unwrap();
    std::fs::remove_file(path).unwrap();
    (sockets, threads)
}

#[test]
fn without_the_key_nothing_of_it_is_there() {
    let (without, threads) = held_open("without", None);
    let (with, threads_with) = held_open("with", Some(json!({"installation": "shop"})));
    assert_eq!((with - without, threads, threads_with), (2, 1, 1), "{without} sockets without");
}

// Cross-check: the judge must fail a program that declares members dead too early, or its passes mean nothing.
#[test]
fn the_judge_finds_processes_that_bury_after_a_moment() {
    let hasty = program("hasty", 4, json!({"times": {"suspicion_ms": 250.0}}));
    let folder = hasty.command.folder.clone();
    let broken = in_time(PLAYS, |_| {
        run(async {
            let test_cluster = TestCluster::new(hasty.clone(), 1)?;
            test_cluster.start_all().await?;
            // A process that is stopped before it has joined is not declared dead by anyone.
            event(&test_cluster, "all come together", TestCluster::agreed).await?;
            test_cluster.stop(1);
            // Within the time that must be tolerated, or the judge excuses it.
            let silent = |test_cluster: &TestCluster| (0..4).any(|at| held(test_cluster, &[at], 1, "silent"));
            let buried = test_cluster.until(Duration::from_secs(2), silent).await;
            test_cluster.go_on(1);
            event(&test_cluster, "all agree again", TestCluster::agreed).await?;
            if !buried {
                test_cluster.end().await;
                return Ok(Play::Void("nobody held it to be silent within 2 s".into()));
            }
            Ok(Play::InTime(judge(&test_cluster.end().await, false).broken))
        })
    });
    let broken = broken.unwrap();
    assert!(
        broken.iter().any(|finding| finding.what.ends_with("holds n1, which runs, to be silent")),
        "{broken:?}"
    );
    drop(std::fs::remove_dir_all(folder));
}
