use super::*;
use test_case::test_case;

fn old() -> Value {
    json!({"seed": "8c1f", "admin": "127.0.0.1:15000", "known": {"generation": 1, "reset": true, "instances": [
            {"instanceId": "s-1", "hostPort": "127.0.0.1:9001", "zone": "north"},
            {"instanceId": "s-2", "hostPort": "127.0.0.1:9002", "zone": "old-room"}]},
        "settings": {"siblings": 4, "round": 4e6, "discovery": "on_request", "azs": ["old-room"], "me": 2,
            "profiles": [{"name": "read", "effect": "safe", "contract_time": 1e9, "outer_limit": 3e9, "gain": 1.0}],
            "limits": {"most_shots": 3, "parallel_tries": true}, "deductions": {"probe": 0.03},
            "objective_mix": {"whole": 1.0}, "report": {"fields": ["utilization"], "via": "probe"},
            "rules": {"ask_within": 1e10, "cold": 9e9, "cold_from": 0.3, "tip_multiple": 4.0, "overload_for": 2e9}}})
}

fn target() -> SidecarTarget {
    let zones = ["north", "middle", "south"].map(str::to_string).to_vec();
    SidecarTarget { nodes: 300, zones, zone: "middle".into(), streams: 100, seed: "1f".into() }
}

#[test]
fn the_new_file_is_for_a_node_of_its_own_and_tells_what_stays_behind() {
    let sidecar = to_sidecar(&old(), &target()).unwrap();
    let settings = decode(&JsonField::root(&sidecar.file["settings"], "settings")).unwrap();
    assert!(!settings.discovery_on_request && !settings.may_hedge);
    assert_eq!((settings.node_count, settings.zone), (300.0, 1));
    assert_eq!((&sidecar.file["seed"], sidecar.file.get("admin")), (&json!("1f"), None));
    assert_eq!(sidecar.file["known"]["instances"].as_array().unwrap().len(), 1);
    for key in [
        "seed",
        "admin",
        "me",
        "ask_within",
        "parallel_tries",
        "azs",
        "config.known.instances[1]",
        "deductions.probe",
    ] {
        assert!(
            sidecar.not_carried_over.iter().any(|line| line.contains(key)),
            "{key} is not told: {:?}",
            sidecar.not_carried_over
        );
    }
}

#[test]
fn a_file_moved_once_is_refused() {
    let once = to_sidecar(&old(), &target()).unwrap().file;
    let problem = to_sidecar(&once, &target()).err().unwrap();
    assert_eq!(problem, "config.settings.discovery is \"pushed\": the file has been moved already");
}

#[test_case("/settings/limits/hedge", json!(1), "config.settings.limits.hedge is unknown"; "unknown key")]
#[test_case("/known/instances/0/colour", json!(1), "config.known.instances.*.colour is unknown"; "in a list")]
#[test_case("/settings/siblings", json!("four"), "config.settings.siblings is no number of at least 0"; "text")]
#[test_case("/settings/tier", json!(1), "config.settings.tier is not 0: only nodes that clients call move"; "inner tier")]
#[test_case("/settings/rules", json!(3), "config.settings.rules is no object"; "no object")]
#[test_case("/seed", json!(null), "config.seed is missing"; "no seed")]
fn the_faulty_key_is_named(path: &str, value: Value, problem: &str) {
    let mut file = old();
    let (parent, key) = path.rsplit_once('/').unwrap();
    file.pointer_mut(parent).unwrap()[key] = value;
    assert_eq!(to_sidecar(&file, &target()).err().unwrap(), problem);
}
