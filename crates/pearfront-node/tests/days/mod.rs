//! The operators' days on loopback: calls at the operators' address, a drain, an upgrade under load.

use crate::stand_ins::{Act, Node, Platform, Server, config, head, run_faulty};
use serde_json::json;
use test_case::test_case;

const UP: &str = "GET /up HTTP/1.1\r\n\r\n";

// Each call can be repeated, and what is none changes nothing.
#[test]
fn operators_are_answered_and_what_is_no_call_changes_nothing() {
    let node = Node::start_for_operators(config(&[]));
    for (call, status) in [
        ("GET /_ready", 200),
        ("GET /_lameduck/on", 405),
        ("PUT /_ready", 405),
        ("DELETE /_lameduck/on", 405),
        ("GET /up", 404),
        ("PUT /_lameduck", 404),
        ("PUT /_lameduck/off", 200),
        ("what do you mean?", 400),
        ("GET /_ready", 200),
        ("PUT /_lameduck/on", 200),
        ("PUT /_lameduck/on", 200),
        ("GET /_ready", 503),
        ("PUT /_lameduck/off", 200),
        ("PUT /_lameduck/on", 200),
        ("PUT /_lameduck/off", 200),
        ("GET /_ready", 200),
    ] {
        assert_eq!(node.call(call), status, "{call}");
    }
}

// Callers that connect and finish no call, and clients that hold all descriptors, keep no operator waiting.
#[test]
fn an_operator_gets_in_beside_callers_that_never_finish_and_a_crowd_of_clients() {
    let server = Server::start(Act::Silence);
    let mut config = config(&[server.address]);
    config["limits"]["sockets"] = json!(80);
    let node = Node::start_for_operators(config);
    let clients: Vec<_> = (0..60)
        .map(|_| {
            let mut client = node.caller();
            client.send(&head("pay", "60", 0), b"");
            client
        })
        .collect();
    let stuck: Vec<_> = (0..20).map(|_| node.operator()).collect();
    assert_eq!(node.call("GET /_ready"), 200);
    // They are closed without an answer, the first ones to make room.
    for mut stuck in stuck {
        assert!(stuck.answer().is_none());
    }
    drop(clients);
}

// Nothing of a drain is lost: idle clients are let go, what is under way is answered, whoever still comes is served.
#[test]
fn a_drained_node_lets_its_clients_go_and_runs_on() {
    let server = Server::start(Act::Honour(b"fine".to_vec()));
    let node = Node::start_for_operators(config(&[server.address]));
    let (mut idle, mut used) = (node.caller(), node.caller());
    assert_eq!(used.ask(&head("read", "5", 0), b"").status(), 200);
    assert_eq!(node.call("PUT /_lameduck/on"), 200);
    assert_eq!(idle.ask(UP, b"").status(), 503);
    assert!(idle.answer().is_none() && used.answer().is_none());
    // Now each answer is the last on its connection.
    let mut late = node.caller();
    let answer = late.ask(&head("read", "5", 0), b"");
    assert_eq!((answer.status(), answer.headers["connection"].as_str()), (200, "close"));
    assert!(late.answer().is_none());
    assert_eq!(node.call("PUT /_lameduck/off"), 200);
    let mut back = node.caller();
    assert_eq!(back.ask(UP, b"").status(), 200);
    assert_eq!(back.ask(&head("read", "5", 0), b"").status(), 200);
    assert_eq!(node.call("PUT /_lameduck/on"), 200);
    // An end on top of a drain is an end, and a drain on top of that no error.
    node.signal("-TERM");
    assert_eq!(node.ended()["honoured"], 3);
}

// Two processes on one inherited socket: the new one says yes, the old one ends, no client meets a closed door.
#[test]
fn an_upgrade_loses_no_job_and_only_the_old_process_exits() {
    let server = Server::start(Act::Honour(b"fine".to_vec()));
    let (platform, config) = (Platform::new(), config(&[server.address]));
    let old = platform.start(&config);
    old.wait_for_call("GET /_ready", 200);
    let mut client = old.caller();
    assert_eq!(client.ask(&head("read", "5", 0), b"").status(), 200);
    let new = platform.start(&config);
    new.wait_for_call("GET /_ready", 200);
    old.signal("-TERM");
    // The client goes on with what it has until it is told that this was the last on it, and comes again.
    let mut asked = 1;
    loop {
        let answer = client.ask(&head("read", "5", 0), b"");
        assert_eq!(answer.status(), 200);
        asked += 1;
        if answer.headers.contains_key("connection") {
            break;
        }
    }
    assert!(client.answer().is_none());
    let old = old.ended();
    assert_eq!(new.call("GET /_ready"), 200);
    assert_eq!(new.caller().ask(&head("read", "5", 0), b"").status(), 200);
    assert_eq!((old["honoured"], new.end()["honoured"]), (asked, 1));
}

// An address or a descriptor that can't be had is one line, and no client is let in.
#[test_case("ROUTER_ADMIN", "here", "ROUTER_ADMIN: \"here\" is no address and port"; "malformed")]
#[test_case("ROUTER_ADMIN", "192.0.2.1:1", "admin: 192.0.2.1:1: Cannot assign requested address (os error 99)"; "not ours")]
#[test_case("ROUTER_INHERITED_FD", "seven", "ROUTER_INHERITED_FD: \"seven\" is no descriptor"; "no number")]
#[test_case("ROUTER_INHERITED_FD", "900", "ROUTER_INHERITED_FD: descriptor 900 is not open"; "not open")]
#[test_case("ROUTER_INHERITED_FD", "2", "ROUTER_INHERITED_FD: \"2\" is no descriptor"; "a standard stream")]
fn what_operators_need_is_checked_before_a_client_is_let_in(key: &str, value: &str, problem: &str) {
    let (output, bound) = run_faulty(&config(&[]).to_string(), |command| {
        command.env(key, value);
    });
    let said = String::from_utf8(output.stderr).unwrap();
    assert_eq!((output.status.code(), bound), (Some(1), false));
    assert_eq!(said, format!("pearfront-node: {problem}\n"));
}

// Jobs end under the settings that they came under, and those that come after are taken by the new ones.
#[test]
fn new_settings_hold_for_new_jobs_and_old_ones_for_open_jobs() {
    let server = Server::start(Act::Hold(b"fine".to_vec()));
    let mut config = config(&[server.address]);
    let node = Node::start(&config);
    let (mut dropped, mut changed) = (node.caller(), node.caller());
    // Half of its body comes after the settings have changed.
    let half = head("pay", "60", 8);
    dropped.send(&head("read", "60", 0), b"");
    server.wait_for("job 1");
    changed.send(&half, b"half");
    // Another job's answer shows that what came before it has been read.
    assert_eq!(node.caller().ask(UP, b"").status(), 200);
    let profiles = config["settings"]["profiles"].as_array_mut().unwrap();
    profiles.remove(0);
    profiles[1]["effect"] = json!("safe");
    profiles
        .push(json!({"name": "look", "effect": "safe", "group": "cell", "window": 5e9, "contract_time": 3e9,
        "outer_limit": 6e9, "gain": 1.0}));
    config["settings"]["limits"]["most_shots"] = json!(1);
    node.reload(&config.to_string());
    // Its time is over: pushed back while the profile is there, turned down once it has gone.
    node.wait_until(&head("read", "0", 0), 400);
    let mut asked = node.caller();
    // A POST of what is now safe does not fit any more, but the job that came before ends as it began.
    assert_eq!(asked.ask(&head("pay", "5", 0), b"").status(), 400);
    changed.send("", b"done");
    server.wait_for("job 2");
    let mut new = node.caller();
    new.send(&head("read", "60", 0).replace("/read/", "/look/"), b"");
    server.wait_for("job 3");
    server.go_on();
    for caller in [&mut dropped, &mut changed, &mut new] {
        assert_eq!(caller.answer().unwrap().status(), 200);
    }
    let counters = node.end();
    assert_eq!((counters["taken"], counters["honoured"]), (3, 3));
}

// Whatever is wrong with a file, nothing of it is taken over, and one line names the key.
#[test_case("", "", "EOF while parsing a value"; "empty")]
#[test_case("\"settings\":{", "...", "EOF while parsing"; "cut in the middle")]
#[test_case("\"most_shots\":3", "\"most_shots\":0", "config.settings.limits.most_shots is not above 0"; "no attempts")]
#[test_case("\"most_shots\":3", "\"most_shots\":-1", "config.settings.limits.most_shots is no number of at least 0"; "fewer than none")]
#[test_case("\"outer_limit\":6000000000.0", "\"outer_limit\":0", "config.settings.profiles[0].outer_limit is not above 0"; "no limit")]
#[test_case("\"outer_limit\":6000000000.0", "\"outer_limit\":\"6\"", "config.settings.profiles[0].outer_limit is no number"; "wrong type")]
#[test_case("\"cancel\":true,", "", "config.settings.limits.cancel is missing"; "short of a key that has a default")]
#[test_case("\"gain\":1.0,", "", "config.settings.profiles[0].gain is missing"; "short of a profile's key")]
#[test_case("\"tip_multiple\":4.0", "\"tip\":4.0", "config.settings.rules.tip_multiple is missing"; "short of a rule")]
#[test_case("\"sockets\":1024", "\"sockets\":0", "config.limits.sockets is not above 0"; "no descriptors")]
fn a_broken_file_changes_nothing(was: &str, is: &str, problem: &str) {
    let server = Server::start(Act::Honour(Vec::new()));
    let config = config(&[server.address]);
    let text = config.to_string();
    assert!(text.contains(was), "{text}");
    let node = Node::start(&config);
    // Beside the fault it drops a profile.
    let broken = match is {
        "..." => text.split(was).next().unwrap().to_string(),
        _ if was.is_empty() => String::new(),
        _ => text.replacen(was, is, 1),
    };
    node.reload(&broken.replace("\"read\"", "\"other\""));
    node.reload(&broken.replace("\"read\"", "\"other\""));
    for _ in 0..20 {
        assert_eq!(node.caller().ask(&head("read", "5", 0), b"").status(), 200);
    }
    node.signal("-TERM");
    let log = node.log();
    assert!(log.contains("configuration stays as it was: ") && log.contains(problem), "{log}");
}
