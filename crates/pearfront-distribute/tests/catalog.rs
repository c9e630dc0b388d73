//! The log's state machine: change sets whole or not at all, versions, retries, and what subscribers are sent of it.

use pearfront_distribute::{
    Applied, Catalog, ChangeSet, Command, MAX_CHANGE_SET_BYTES, Outcome, RestrictionKind, Server,
    ServerState, Service, ServiceChange, ServiceUpdate, parse,
};
use std::collections::{BTreeMap, BTreeSet};
use test_case::test_case;

fn apply(catalog: &mut Catalog, text: &str) -> Outcome {
    let set = parse(text.as_bytes()).expect("a change set");
    match catalog.apply(&Command::Change(set).encode()) {
        Applied::Change { outcome, .. } => outcome,
        other => panic!("{other:?}"),
    }
}

fn cart() -> Catalog {
    let mut catalog = Catalog::default();
    let text = r#"{"number": "1", "services": {"cart": {"expected": 0, "settings": "a", "limit": 9, "servers": {
        "a": {"address": "127.0.0.1:1", "zone": "x"}, "b": {"address": "127.0.0.1:2"}}}}}"#;
    assert_eq!(apply(&mut catalog, text), Outcome::Accepted(1));
    catalog
}

fn wants(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

/// What one that had `before` has after that update.
fn updated(
    before: &BTreeMap<String, Service>,
    update: BTreeMap<String, ServiceUpdate>,
) -> BTreeMap<String, Service> {
    let mut after = before.clone();
    for (name, update) in update {
        match update {
            ServiceUpdate::Full(whole) => drop(after.insert(name, whole)),
            ServiceUpdate::Removed => drop(after.remove(&name)),
            ServiceUpdate::Changed { limit, settings, servers } => {
                let service = after.get_mut(&name).expect("a service to change");
                service.options.limit = limit.unwrap_or(service.options.limit);
                service.options.settings = settings.unwrap_or(service.options.settings.clone());
                for (name, server) in servers {
                    match server {
                        Some(server) => drop(service.servers.insert(name, server)),
                        None => drop(service.servers.remove(&name)),
                    }
                }
            }
        }
    }
    after
}

#[test]
fn a_change_set_over_several_services_is_one_version_or_none() {
    let mut catalog = cart();
    let both =
        r#"{"number": "2", "services": {"cart": {"expected": 1, "limit": 5}, "user": {"expected": 7}}}"#;
    let before = catalog.clone();
    let refused = Outcome::Refused("services.user.expected is 7, and its version 0".into());
    assert_eq!(apply(&mut catalog, both), refused);
    assert_eq!((catalog.version(), catalog.get("cart")), (1, before.get("cart")));
    let both =
        r#"{"number": "3", "services": {"cart": {"expected": 1, "limit": 5}, "user": {"expected": 0}}}"#;
    assert_eq!(apply(&mut catalog, both), Outcome::Accepted(2));
    assert_eq!((catalog.version_of("cart"), catalog.version_of("user")), (2, 2));
}

#[test]
fn of_two_writers_who_saw_the_same_version_one_is_refused() {
    let mut catalog = cart();
    let write = |number: &str, limit: u32| {
        format!(r#"{{"number": "{number}", "services": {{"cart": {{"expected": 1, "limit": {limit}}}}}}}"#)
    };
    assert_eq!(apply(&mut catalog, &write("x", 3)), Outcome::Accepted(2));
    let refused = Outcome::Refused("services.cart.expected is 1, and its version 2".into());
    assert_eq!(apply(&mut catalog, &write("y", 4)), refused);
    assert_eq!(catalog.get("cart").unwrap().options.limit, Some(3));
}

#[test]
fn a_change_that_is_said_again_under_its_number_is_the_same_change() {
    let mut catalog = cart();
    let limit = |limit: u32| format!(r#"{{"number": "2", "services": {{"cart": {{"limit": {limit}}}}}}}"#);
    assert_eq!(apply(&mut catalog, &limit(4)), Outcome::Accepted(2));
    assert_eq!(
        apply(&mut catalog, r#"{"number": "3", "services": {"cart": {"limit": 8}}}"#),
        Outcome::Accepted(3)
    );
    assert_eq!(apply(&mut catalog, &limit(4)), Outcome::Accepted(2));
    assert_eq!((catalog.version(), catalog.get("cart").unwrap().options.limit), (3, Some(8)));
    // Another one under that number is not it.
    assert_eq!(apply(&mut catalog, &limit(5)), Outcome::Refused("number is that of another change".into()));
    // Nor is one taken later that was refused.
    let late = r#"{"number": "4", "services": {"cart": {"expected": 9, "limit": 1}}}"#;
    assert!(matches!(apply(&mut catalog, late), Outcome::Refused(_)));
    (5..10).for_each(|n| {
        apply(&mut catalog, &format!(r#"{{"number": "{n}", "services": {{"cart": {{"limit": {n}}}}}}}"#));
    });
    assert!(matches!(apply(&mut catalog, late), Outcome::Refused(_)));
}

#[test_case(r#"{"number": "1", "service": {}}"#, "service: unknown field `service`, expected `number` or `services`"; "top")]
#[test_case(r#"{"number": "1", "services": {"cart": {"limits": 3}}}"#, "services.cart.limits: unknown field `limits`"; "service")]
#[test_case(r#"{"number": "1", "services": {"cart": {"servers": {"a": {"address": "x", "port": 3}}}}}"#, "services.cart.servers.a.port: unknown field `port`"; "server")]
#[test_case(r#"{"number": "1", "services": {"cart": {"servers": {"a": {"address": "x", "state": "off"}}}}}"#, "services.cart.servers.a.state: unknown variant `off`"; "state")]
#[test_case(r#"{"number": "1", "services": {"cart": {"servers": {"a": {"address": ""}}}}}"#, "services.cart.servers.a.address has 0 bytes, not 1 to 128"; "no address")]
#[test_case(r#"{"number": "", "services": {"cart": {}}}"#, "number has 0 bytes, not 1 to 64"; "no number")]
#[test_case(r#"{"number": "1", "services": {}}"#, "services names 0 services and servers, not 1 to 4096"; "nothing")]
#[test_case(r#"{"number": "1", "services": {"cart": {"remove": true, "limit": 3}}}"#, "services.cart.remove stands beside what is to be there"; "remove and more")]
fn what_can_not_be_is_refused_by_its_key(text: &str, wanted: &str) {
    let told = parse(text.as_bytes()).unwrap_err();
    assert!(told.starts_with(wanted), "{told}");
}

#[test]
fn a_change_that_is_too_large_is_refused_before_the_log_and_on_it() {
    let text = format!(r#"{{"number": "{}", "services": {{}}}}"#, "x".repeat(MAX_CHANGE_SET_BYTES));
    assert!(parse(text.as_bytes()).unwrap_err().contains("not up to"));
    let server =
        Server { address: "x".repeat(100), zone: String::new(), state: ServerState::Serving, limit: None };
    let servers = (0..4000).map(|place| (format!("a{place}"), Some(server.clone()))).collect();
    let change = ServiceChange { servers, ..ServiceChange::default() };
    let set = ChangeSet { number: "1".into(), services: BTreeMap::from([("cart".into(), change)]) };
    let mut catalog = Catalog::default();
    let Applied::Change { outcome: Outcome::Refused(told), version: None, .. } =
        catalog.apply(&Command::Change(set).encode())
    else {
        panic!("taken")
    };
    assert!(told.starts_with("the change has "), "{told}");
    assert_eq!(catalog.version(), 0);
}

#[test]
fn a_service_has_no_more_servers_than_may_be_and_those_that_are_replaced_count_once() {
    let mut catalog = Catalog::default();
    let fill = |from: usize, count: usize, number: &str| {
        let servers: Vec<String> =
            (from..from + count).map(|place| format!(r#""a{place}": {{"address": "x"}}"#)).collect();
        format!(
            r#"{{"number": "{number}", "services": {{"cart": {{"servers": {{{}}}}}}}}}"#,
            servers.join(",")
        )
    };
    for (place, number) in ["1", "2", "3", "4"].iter().enumerate() {
        assert!(matches!(apply(&mut catalog, &fill(place * 2048, 2048, number)), Outcome::Accepted(_)));
    }
    let refused = Outcome::Refused("services.cart.servers would be 8193, not up to 8192".into());
    assert_eq!(apply(&mut catalog, &fill(8192, 1, "5")), refused);
    assert!(matches!(apply(&mut catalog, &fill(8000, 2, "6")), Outcome::Accepted(_)));
}

#[test]
fn what_is_no_entry_changes_nothing_and_a_snapshot_brings_all_back() {
    let mut catalog = cart();
    let before = catalog.clone();
    assert_eq!(catalog.apply(&[]), Applied::Nothing);
    assert_eq!(catalog.apply(&[255; 9]), Applied::Nothing);
    assert_eq!(catalog, before);
    assert_eq!(Catalog::decode(&catalog.encode()), Some(before));
    assert_eq!(Catalog::decode(b"no"), None);
}

#[test]
fn one_that_follows_comes_to_the_same_and_takes_no_set_out_of_turn() {
    let mut catalog = cart();
    let set = parse(br#"{"number": "2", "services": {"cart": {"servers": {"a": null}}}}"#).unwrap();
    let mut follows = catalog.clone();
    assert!(!follows.apply_accepted(set.clone(), 3) && follows.version() == 1);
    assert!(follows.apply_accepted(set.clone(), 2));
    catalog.apply(&Command::Change(set).encode());
    assert_eq!(follows.get("cart"), catalog.get("cart"));
    assert_eq!(
        follows.updates_for(&wants(&["cart"]), Some(1), &BTreeSet::new()),
        catalog.updates_for(&wants(&["cart"]), Some(1), &BTreeSet::new())
    );
}

#[test]
fn a_delta_holds_what_changed_and_leads_to_the_same_as_everything() {
    let mut catalog = cart();
    let all = wants(&["cart", "user", "none"]);
    let none = BTreeSet::new();
    let mut held = vec![(1, updated(&BTreeMap::new(), catalog.updates_for(&all, None, &none)))];
    for text in [
        r#"{"number": "2", "services": {"cart": {"servers": {"a": null}}}}"#,
        r#"{"number": "3", "services": {"cart": {"limit": null}, "user": {"servers": {"u": {"address": "1"}}}}}"#,
        r#"{"number": "4", "services": {"user": {"remove": true}, "other": {}}}"#,
        r#"{"number": "5", "services": {"user": {"settings": "new"}}}"#,
        r#"{"number": "6", "services": {"cart": {"servers": {"a": {"address": "5", "state": "draining"}}}}}"#,
    ] {
        let Outcome::Accepted(version) = apply(&mut catalog, text) else { panic!("{text}") };
        let whole = updated(&BTreeMap::new(), catalog.updates_for(&all, None, &none));
        for (from, had) in &held {
            assert_eq!(
                updated(had, catalog.updates_for(&all, Some(*from), &none)),
                whole,
                "{from} to {version}"
            );
        }
        held.push((version, whole));
    }
    assert_eq!(catalog.updates_for(&all, Some(6), &none), BTreeMap::new());
    // One server of two, and nothing else of the service.
    let delta = catalog.updates_for(&all, Some(5), &none);
    assert!(
        matches!(&delta["cart"], ServiceUpdate::Changed { limit: None, settings: None, servers } if servers.len() == 1)
    );
}

#[test]
fn where_the_way_is_forgotten_a_service_is_sent_whole_and_others_are_not() {
    let mut catalog = cart();
    apply(&mut catalog, r#"{"number": "2", "services": {"user": {"settings": "x"}}}"#);
    for n in 3..400 {
        apply(
            &mut catalog,
            &format!(
                r#"{{"number": "{n}", "services": {{"cart": {{"servers": {{"a": {{"address": "{n}"}}}}}}}}}}"#
            ),
        );
    }
    let (all, none) = (wants(&["cart", "user"]), BTreeSet::new());
    assert!(catalog.needs_full(&all, Some(2), &none));
    let update = catalog.updates_for(&all, Some(2), &none);
    assert!(matches!(update["cart"], ServiceUpdate::Full(_)) && !update.contains_key("user"));
    assert!(!catalog.needs_full(&all, Some(390), &none));
    // Of one that is new to the subscriber it is whole, whatever version it has.
    let new_services = BTreeSet::from(["user".to_string()]);
    assert!(matches!(catalog.updates_for(&all, Some(399), &new_services)["user"], ServiceUpdate::Full(_)));
}

#[test_case(r#"{"cart": {"servers": {"a": null}}}"#, &[(Some("a"), RestrictionKind::Removed)]; "gone")]
#[test_case(r#"{"cart": {"servers": {"a": {"address": "127.0.0.1:1", "zone": "x", "state": "draining"}}}}"#, &[(Some("a"), RestrictionKind::Drain)]; "drain")]
#[test_case(r#"{"cart": {"servers": {"a": {"address": "127.0.0.1:1", "zone": "x", "limit": 3}}}}"#, &[(Some("a"), RestrictionKind::Limit(3))]; "limit of a server")]
#[test_case(r#"{"cart": {"limit": 3}}"#, &[(None, RestrictionKind::Limit(3))]; "lower limit")]
#[test_case(r#"{"cart": {"remove": true}}"#, &[(None, RestrictionKind::Removed)]; "a service goes")]
#[test_case(r#"{"cart": {"limit": 12}}"#, &[]; "higher limit")]
#[test_case(r#"{"cart": {"limit": null}}"#, &[]; "no limit")]
#[test_case(r#"{"cart": {"settings": "b"}}"#, &[]; "settings")]
#[test_case(r#"{"cart": {"servers": {"a": null, "c": {"address": "1"}}}}"#, &[]; "one for another")]
#[test_case(r#"{"cart": {"servers": {"a": null}}, "user": {}}"#, &[]; "beside a new service")]
fn only_a_set_that_does_nothing_but_narrow_may_go_ahead(
    services: &str,
    wanted: &[(Option<&str>, RestrictionKind)],
) {
    let mut catalog = cart();
    apply(&mut catalog, &format!(r#"{{"number": "2", "services": {services}}}"#));
    let found = catalog.restrictions(&BTreeSet::from(["cart".to_string()]), 1);
    let found: Vec<_> = found.iter().map(|one| (one.server.as_deref(), one.kind)).collect();
    assert_eq!(found, wanted);
    assert_eq!(catalog.is_restricting(2), !wanted.is_empty());
    assert_eq!(catalog.restrictions(&BTreeSet::from(["user".to_string()]), 1), []);
}

#[test]
fn versions_go_on_above_those_that_others_may_have_seen() {
    let mut catalog = cart();
    catalog.skip_versions(1000);
    assert_eq!(
        apply(&mut catalog, r#"{"number": "2", "services": {"cart": {"limit": 2}}}"#),
        Outcome::Accepted(1002)
    );
}
