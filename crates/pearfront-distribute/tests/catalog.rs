//! The replicated catalog: change sets apply as a whole or not at all, versions, retries, deltas and restrictions.

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

fn catalog_with_cart() -> Catalog {
    let mut catalog = Catalog::default();
    let text = r#"{"number": "1", "services": {"cart": {"expected": 0, "settings": "a", "limit": 9, "servers": {
        "a": {"address": "127.0.0.1:1", "zone": "x"}, "b": {"address": "127.0.0.1:2"}}}}}"#;
    assert_eq!(apply(&mut catalog, text), Outcome::Accepted(1));
    catalog
}

fn service_names(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

/// `before` with that update applied, as a subscriber does it.
fn apply_updates(
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
fn a_change_set_over_several_services_makes_one_version_or_none() {
    let mut catalog = catalog_with_cart();
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
fn of_two_writers_expecting_the_same_version_one_is_refused() {
    let mut catalog = catalog_with_cart();
    let write = |number: &str, limit: u32| {
        format!(r#"{{"number": "{number}", "services": {{"cart": {{"expected": 1, "limit": {limit}}}}}}}"#)
    };
    assert_eq!(apply(&mut catalog, &write("x", 3)), Outcome::Accepted(2));
    let refused = Outcome::Refused("services.cart.expected is 1, and its version 2".into());
    assert_eq!(apply(&mut catalog, &write("y", 4)), refused);
    assert_eq!(catalog.get("cart").unwrap().options.limit, Some(3));
}

#[test]
fn a_change_retried_under_its_number_is_applied_once() {
    let mut catalog = catalog_with_cart();
    let limit = |limit: u32| format!(r#"{{"number": "2", "services": {{"cart": {{"limit": {limit}}}}}}}"#);
    assert_eq!(apply(&mut catalog, &limit(4)), Outcome::Accepted(2));
    assert_eq!(
        apply(&mut catalog, r#"{"number": "3", "services": {"cart": {"limit": 8}}}"#),
        Outcome::Accepted(3)
    );
    assert_eq!(apply(&mut catalog, &limit(4)), Outcome::Accepted(2));
    assert_eq!((catalog.version(), catalog.get("cart").unwrap().options.limit), (3, Some(8)));
    // Another change under the same number is refused.
    assert_eq!(apply(&mut catalog, &limit(5)), Outcome::Refused("number is that of another change".into()));
    // A refused change stays refused when it is retried, whatever was committed since.
    let rejected_change = r#"{"number": "4", "services": {"cart": {"expected": 9, "limit": 1}}}"#;
    assert!(matches!(apply(&mut catalog, rejected_change), Outcome::Refused(_)));
    (5..10).for_each(|n| {
        apply(&mut catalog, &format!(r#"{{"number": "{n}", "services": {{"cart": {{"limit": {n}}}}}}}"#));
    });
    assert!(matches!(apply(&mut catalog, rejected_change), Outcome::Refused(_)));
}

#[test_case(r#"{"number": "1", "service": {}}"#, "service: unknown field `service`, expected `number` or `services`"; "top")]
#[test_case(r#"{"number": "1", "services": {"cart": {"limits": 3}}}"#, "services.cart.limits: unknown field `limits`"; "service")]
#[test_case(r#"{"number": "1", "services": {"cart": {"servers": {"a": {"address": "x", "port": 3}}}}}"#, "services.cart.servers.a.port: unknown field `port`"; "server")]
#[test_case(r#"{"number": "1", "services": {"cart": {"servers": {"a": {"address": "x", "state": "off"}}}}}"#, "services.cart.servers.a.state: unknown variant `off`"; "state")]
#[test_case(r#"{"number": "1", "services": {"cart": {"servers": {"a": {"address": ""}}}}}"#, "services.cart.servers.a.address has 0 bytes, not 1 to 128"; "no address")]
#[test_case(r#"{"number": "", "services": {"cart": {}}}"#, "number has 0 bytes, not 1 to 64"; "no number")]
#[test_case(r#"{"number": "1", "services": {}}"#, "services names 0 services and servers, not 1 to 4096"; "nothing")]
#[test_case(r#"{"number": "1", "services": {"cart": {"remove": true, "limit": 3}}}"#, "services.cart.remove can't be combined with limit, settings or servers"; "remove and more")]
fn an_invalid_change_set_is_refused_with_its_key(text: &str, wanted: &str) {
    let error = parse(text.as_bytes()).unwrap_err();
    assert!(error.starts_with(wanted), "{error}");
}

#[test]
fn a_change_set_that_is_too_large_is_refused_by_parse_and_by_apply() {
    let text = format!(r#"{{"number": "{}", "services": {{}}}}"#, "x".repeat(MAX_CHANGE_SET_BYTES));
    assert!(parse(text.as_bytes()).unwrap_err().contains("not up to"));
    let server =
        Server { address: "x".repeat(100), zone: String::new(), state: ServerState::Serving, limit: None };
    let servers = (0..4000).map(|place| (format!("a{place}"), Some(server.clone()))).collect();
    let change = ServiceChange { servers, ..ServiceChange::default() };
    let set = ChangeSet { number: "1".into(), services: BTreeMap::from([("cart".into(), change)]) };
    let mut catalog = Catalog::default();
    let Applied::Change { outcome: Outcome::Refused(error), version: None, .. } =
        catalog.apply(&Command::Change(set).encode())
    else {
        panic!("taken")
    };
    assert!(error.starts_with("the change has "), "{error}");
    assert_eq!(catalog.version(), 0);
}

#[test]
fn the_limit_on_servers_of_a_service_counts_replaced_servers_once() {
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
fn bytes_that_are_no_command_change_nothing_and_a_snapshot_restores_everything() {
    let mut catalog = catalog_with_cart();
    let before = catalog.clone();
    assert_eq!(catalog.apply(&[]), Applied::Nothing);
    assert_eq!(catalog.apply(&[255; 9]), Applied::Nothing);
    assert_eq!(catalog, before);
    assert_eq!(Catalog::decode(&catalog.encode()), Some(before));
    assert_eq!(Catalog::decode(b"no"), None);
}

#[test]
fn apply_accepted_gives_the_same_state_and_takes_no_set_out_of_order() {
    let mut catalog = catalog_with_cart();
    let set = parse(br#"{"number": "2", "services": {"cart": {"servers": {"a": null}}}}"#).unwrap();
    let mut replica = catalog.clone();
    assert!(!replica.apply_accepted(set.clone(), 3) && replica.version() == 1);
    assert!(replica.apply_accepted(set.clone(), 2));
    catalog.apply(&Command::Change(set).encode());
    assert_eq!(replica.get("cart"), catalog.get("cart"));
    assert_eq!(
        replica.updates_for(&service_names(&["cart"]), Some(1), &BTreeSet::new()),
        catalog.updates_for(&service_names(&["cart"]), Some(1), &BTreeSet::new())
    );
}

#[test]
fn a_delta_contains_only_changes_and_gives_the_same_state_as_a_snapshot() {
    let mut catalog = catalog_with_cart();
    let all = service_names(&["cart", "user", "none"]);
    let none = BTreeSet::new();
    let mut held = vec![(1, apply_updates(&BTreeMap::new(), catalog.updates_for(&all, None, &none)))];
    for text in [
        r#"{"number": "2", "services": {"cart": {"servers": {"a": null}}}}"#,
        r#"{"number": "3", "services": {"cart": {"limit": null}, "user": {"servers": {"u": {"address": "1"}}}}}"#,
        r#"{"number": "4", "services": {"user": {"remove": true}, "other": {}}}"#,
        r#"{"number": "5", "services": {"user": {"settings": "new"}}}"#,
        r#"{"number": "6", "services": {"cart": {"servers": {"a": {"address": "5", "state": "draining"}}}}}"#,
    ] {
        let Outcome::Accepted(version) = apply(&mut catalog, text) else { panic!("{text}") };
        let whole = apply_updates(&BTreeMap::new(), catalog.updates_for(&all, None, &none));
        for (from, held_services) in &held {
            assert_eq!(
                apply_updates(held_services, catalog.updates_for(&all, Some(*from), &none)),
                whole,
                "{from} to {version}"
            );
        }
        held.push((version, whole));
    }
    assert_eq!(catalog.updates_for(&all, Some(6), &none), BTreeMap::new());
    // Only the one changed server of two, and nothing else of the service.
    let delta = catalog.updates_for(&all, Some(5), &none);
    assert!(
        matches!(&delta["cart"], ServiceUpdate::Changed { limit: None, settings: None, servers } if servers.len() == 1)
    );
}

#[test]
fn only_a_service_whose_history_is_forgotten_is_sent_in_full() {
    let mut catalog = catalog_with_cart();
    apply(&mut catalog, r#"{"number": "2", "services": {"user": {"settings": "x"}}}"#);
    for n in 3..400 {
        apply(
            &mut catalog,
            &format!(
                r#"{{"number": "{n}", "services": {{"cart": {{"servers": {{"a": {{"address": "{n}"}}}}}}}}}}"#
            ),
        );
    }
    let (all, none) = (service_names(&["cart", "user"]), BTreeSet::new());
    assert!(catalog.needs_full(&all, Some(2), &none));
    let update = catalog.updates_for(&all, Some(2), &none);
    assert!(matches!(update["cart"], ServiceUpdate::Full(_)) && !update.contains_key("user"));
    assert!(!catalog.needs_full(&all, Some(390), &none));
    // A service that is new to the subscriber is sent in full, whatever version it holds.
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
#[test_case(r#"{"cart": {"servers": {"a": null, "c": {"address": "1"}}}}"#, &[]; "one server replaced by another")]
#[test_case(r#"{"cart": {"servers": {"a": null}}, "user": {}}"#, &[]; "beside a new service")]
fn only_a_change_set_that_only_restricts_makes_restrictions(
    services: &str,
    wanted: &[(Option<&str>, RestrictionKind)],
) {
    let mut catalog = catalog_with_cart();
    apply(&mut catalog, &format!(r#"{{"number": "2", "services": {services}}}"#));
    let found = catalog.restrictions(&BTreeSet::from(["cart".to_string()]), 1);
    let found: Vec<_> = found.iter().map(|one| (one.server.as_deref(), one.kind)).collect();
    assert_eq!(found, wanted);
    assert_eq!(catalog.is_restricting(2), !wanted.is_empty());
    assert_eq!(catalog.restrictions(&BTreeSet::from(["user".to_string()]), 1), []);
}

#[test]
fn skipped_versions_are_not_used_again() {
    let mut catalog = catalog_with_cart();
    catalog.skip_versions(1000);
    assert_eq!(
        apply(&mut catalog, r#"{"number": "2", "services": {"cart": {"limit": 2}}}"#),
        Outcome::Accepted(1002)
    );
}
