//! Tests that server lists are encoded and decoded correctly.

use super::*;
use serde_json::json;

fn node_settings() -> NodeSettings {
    let names = |names: &[&str]| names.iter().map(|name| name.to_string()).collect();
    NodeSettings { zones: names(&["a", "b"]), machine_types: names(&["m1", "m2"]), ..NodeSettings::default() }
}

// A process must pass on to the next one exactly what it knows.
#[test]
fn a_list_is_decoded_as_it_was_encoded() {
    let entry = |id: &str, state, started| ServerEntry {
        id: id.into(),
        address: "127.0.0.1:8443".parse().unwrap(),
        state,
        cell: 3,
        zone: 1,
        machine_type: 2,
        weight: 0.5,
        started,
    };
    let entries = [entry("a", ServerState::Ready, Some(1500.5)), entry("b", ServerState::Draining, None)];
    let list = encode_list(41, entries.iter(), &node_settings());
    let list = decode_list_json(&JsonField::root(&list, "list"), &node_settings()).unwrap();
    assert_eq!((list.version, list.is_full, list.entries.as_slice()), (41, true, entries.as_slice()));
}

#[test]
fn entries_are_decoded_and_invalid_ones_dropped() {
    let entry = json!({"instanceId": "s-1", "hostPort": "10.1.0.18:8443", "zone": "b", "machineType": "m9",
        "cell": 3, "lifecycle": "Ready", "weight": 1.0, "startedAtMs": 5});
    let mut bad = entry.clone();
    bad["lifecycle"] = json!("Asleep");
    let list = json!({"generation": 41, "reset": true, "instances": [entry, bad]}).to_string();
    let list = decode_list(list.as_bytes(), &node_settings()).unwrap();
    assert_eq!((list.version, list.is_full), (41, true));
    let address = "10.1.0.18:8443".parse().unwrap();
    // A machine type that the settings lack gets one more index.
    let (state, started) = (ServerState::Ready, Some(5.0));
    assert_eq!(
        list.entries,
        [ServerEntry {
            id: "s-1".into(),
            address,
            state,
            cell: 3,
            zone: 1,
            machine_type: 2,
            weight: 1.0,
            started
        }]
    );
    let problem = "list.instances[1].lifecycle \"Asleep\" is unknown".to_string();
    assert_eq!(list.invalid, [(Some("s-1".to_string()), problem)]);
    let error = decode_list(b"{\"instances\": []}", &node_settings()).unwrap_err();
    assert_eq!(error, "list.generation is missing");
}
