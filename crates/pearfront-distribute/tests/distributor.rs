//! A distributor: at most one update in flight to each node, restrictions first, the rate limit, and reports to the voters.

use pearfront_distribute::{
    Catalog, Command, Distributor, DistributorAction, FromVoter, NodeStatus, Peer, ProcessId, Rejection,
    Report, RestrictionKind, Times, ToDistributor, ToSubscriber, ToVoter, Update, decode, parse,
};
use std::collections::BTreeSet;

/// A distributor, the catalog of the voter that feeds it, and everything that it sent.
struct Harness {
    core: Distributor,
    catalog: Catalog,
    upstream_link: u64,
    sent: Vec<(u64, ToSubscriber, usize, bool)>,
    reports: Vec<Report>,
    closed: Vec<u64>,
    now: f64,
    answers: bool,
    heartbeats: u64,
}

fn process_id(name: &str) -> ProcessId {
    ProcessId { name: name.into(), incarnation: 1 }
}

impl Harness {
    fn new(times: Times) -> Self {
        let voters = [Peer { name: "v1".into(), zone: "z1".into(), region: "r1".into() }];
        let core = Distributor::new("shop", process_id("d1"), ("z1", "r1"), &voters, times, (1, 0.0));
        let (sent, reports, closed) = (Vec::new(), Vec::new(), Vec::new());
        let catalog = Catalog::default();
        Self {
            core,
            catalog,
            upstream_link: 0,
            sent,
            reports,
            closed,
            now: 0.0,
            answers: true,
            heartbeats: 0,
        }
    }

    /// A distributor with one service of two servers, whose first report was accepted.
    fn fed_and_registered(times: Times) -> Self {
        let mut harness = Self::new(times);
        harness.core.tick(0.0);
        harness.run_actions();
        harness
            .commit(r#"{"cart": {"limit": 9, "servers": {"a": {"address": "1"}, "b": {"address": "2"}}}}"#);
        harness.send_snapshot();
        harness.advance_to(1.0);
        assert!(!harness.reports.is_empty());
        harness
    }

    fn send_snapshot(&mut self) {
        let message = FromVoter::Snapshot { catalog: self.catalog.encode() };
        self.core.receive_from_voter(self.upstream_link, message, self.now);
        self.run_actions();
    }

    fn run_actions(&mut self) {
        loop {
            let out = self.core.take_actions();
            if out.is_empty() {
                return;
            }
            for out in out {
                match out {
                    DistributorAction::OpenVoter { link, .. } => self.upstream_link = link,
                    DistributorAction::SendVoter { message: ToVoter::Report(report), .. } => {
                        let number = report.number;
                        self.reports.push(report);
                        if self.answers {
                            self.core.receive_from_voter(
                                self.upstream_link,
                                FromVoter::ReportAccepted { number },
                                self.now,
                            );
                        }
                    }
                    DistributorAction::Send { link, bytes, urgent } => {
                        let message = decode(&bytes).expect("a message");
                        self.sent.push((link, message, bytes.len(), urgent));
                    }
                    DistributorAction::Close { link } => self.closed.push(link),
                    DistributorAction::CloseVoter { .. } | DistributorAction::SendVoter { .. } => {}
                }
            }
        }
    }

    /// Advances the time; the voter sends heartbeats while `answers` is set.
    fn advance_to(&mut self, now: f64) {
        while self.now < now {
            self.now = self.core.due().max(self.now + 1.0).min(now).min(self.now + 100.0);
            if self.answers {
                self.heartbeats += 1;
                let (number, version) = (self.heartbeats, self.catalog.version());
                self.core.receive_from_voter(
                    self.upstream_link,
                    FromVoter::Heartbeat { number, version, in_force: None },
                    self.now,
                );
            }
            self.core.tick(self.now);
            self.run_actions();
        }
    }

    fn commit(&mut self, services: &str) {
        let number = self.catalog.version() + 1;
        let set = parse(format!(r#"{{"number": "{number}", "services": {services}}}"#).as_bytes()).unwrap();
        self.catalog.apply(&Command::Change(set.clone()).encode());
        assert_eq!(self.catalog.version(), number);
        self.core.receive_from_voter(
            self.upstream_link,
            FromVoter::ChangeSets { to: number, sets: vec![set] },
            self.now,
        );
        self.run_actions();
    }

    fn subscribe(&mut self, link: u64, name: &str, held: Option<u64>) {
        let new_services = BTreeSet::from_iter(held.is_none().then(|| "cart".to_string()));
        let services = vec!["cart".into()];
        let message = ToDistributor::Subscribe {
            installation: "shop".into(),
            process: process_id(name),
            session: 1,
            held,
            services,
            new_services,
        };
        self.receive(link, message);
    }

    fn receive(&mut self, link: u64, message: ToDistributor) {
        self.core.receive(link, message, self.now);
        self.run_actions();
    }

    fn updates(&self, link: u64) -> Vec<&Update> {
        self.sent
            .iter()
            .filter_map(|(to, message, ..)| match message {
                ToSubscriber::Update { update, .. } if *to == link => Some(update),
                _ => None,
            })
            .collect()
    }

    fn acknowledge(&mut self, link: u64) {
        let version = self.updates(link).last().unwrap().to;
        self.receive(link, ToDistributor::Acknowledge { session: 1, version });
    }

    fn reported_status(&self, node: &str) -> Option<NodeStatus> {
        self.reports.iter().rev().find_map(|report| report.nodes.get(node)).cloned().flatten()
    }
}

#[test]
fn a_slow_node_has_one_update_in_flight_and_then_gets_only_the_newest_state() {
    let mut harness = Harness::fed_and_registered(Times::default());
    harness.subscribe(1, "n1", None);
    harness.advance_to(300.0);
    assert_eq!(harness.updates(1).len(), 1);
    for limit in 10..60 {
        harness.commit(&format!(r#"{{"cart": {{"limit": {limit}}}}}"#));
    }
    assert_eq!(harness.updates(1).len(), 1);
    harness.acknowledge(1);
    let all: Vec<_> = harness.updates(1).iter().map(|update| (update.from, update.to)).collect();
    assert_eq!(all, [(None, 1), (Some(1), 51)]);
    harness.acknowledge(1);
    assert_eq!(harness.updates(1).len(), 2);
}

#[test]
fn only_restrictions_are_sent_ahead_of_an_update_in_flight() {
    let mut harness = Harness::fed_and_registered(Times::default());
    harness.subscribe(1, "n1", Some(1));
    harness.commit(r#"{"cart": {"limit": 20}}"#);
    harness.commit(r#"{"cart": {"limit": 30, "servers": {"a": null}}}"#);
    let before = harness.sent.len();
    harness.commit(r#"{"cart": {"servers": {"b": {"address": "2", "state": "draining"}}}}"#);
    let [(1, ToSubscriber::Restrict { to: 4, all, .. }, _, true)] = &harness.sent[before..] else {
        panic!("{:?}", &harness.sent[before..])
    };
    assert_eq!(all.iter().map(|one| one.kind).collect::<Vec<_>>(), [RestrictionKind::Drain]);
    // The next restriction waits for the acknowledgement, and contains only what is new.
    harness.commit(r#"{"cart": {"limit": 3}}"#);
    assert_eq!(harness.sent.len(), before + 1);
    harness.receive(1, ToDistributor::AcknowledgeRestrictions { session: 1, version: 4 });
    let Some((1, ToSubscriber::Restrict { to: 5, all, .. }, ..)) = harness.sent.last() else { panic!() };
    assert_eq!(all.iter().map(|one| one.kind).collect::<Vec<_>>(), [RestrictionKind::Limit(3)]);
}

#[test]
fn restrictions_are_sent_although_the_rate_limit_is_used_up() {
    let times = Times { bytes_per_s: 1000.0, burst_bytes: 400.0, ..Times::default() };
    let mut harness = Harness::fed_and_registered(times);
    for node in 1..=30 {
        harness.subscribe(node, &format!("n{node}"), Some(1));
    }
    harness.commit(&format!(r#"{{"cart": {{"settings": "{}"}}}}"#, "x".repeat(300)));
    let served = |harness: &Harness| (1..=30).filter(|node| !harness.updates(*node).is_empty()).count();
    assert!((1..4).contains(&served(&harness)));
    harness.commit(r#"{"cart": {"servers": {"a": null}}}"#);
    let received_restriction = |node: u64| {
        harness
            .sent
            .iter()
            .any(|(to, message, ..)| *to == node && matches!(message, ToSubscriber::Restrict { .. }))
    };
    assert!((1..=30).all(received_restriction));
    assert!(served(&harness) < 4);
}

#[test]
fn deltas_are_sent_before_snapshots_and_all_within_the_rate_limit() {
    let times = Times { bytes_per_s: 20_000.0, burst_bytes: 4000.0, ..Times::default() };
    let mut harness = Harness::fed_and_registered(times);
    harness.commit(&format!(r#"{{"cart": {{"settings": "{}"}}}}"#, "x".repeat(1000)));
    harness.commit(r#"{"cart": {"limit": 3}}"#);
    (1..=200).for_each(|node| harness.subscribe(node, &format!("n{node}"), None));
    (201..=400).for_each(|node| harness.subscribe(node, &format!("n{node}"), Some(2)));
    let start = (harness.now, harness.sent.len());
    let mut last = 0;
    for step in 1..=60 {
        harness.advance_to(start.0 + 200.0 * f64::from(step));
        let new: Vec<u64> = harness.sent[last..]
            .iter()
            .filter(|(_, message, ..)| matches!(message, ToSubscriber::Update { .. }))
            .map(|(link, ..)| *link)
            .collect();
        last = harness.sent.len();
        // Bytes of updates: at most the burst, one message, and the rate since the start.
        let bytes: usize = harness
            .sent
            .iter()
            .filter(|(_, message, ..)| matches!(message, ToSubscriber::Update { .. }))
            .map(|(.., bytes, _)| bytes)
            .sum();
        assert!(
            bytes as f64 <= 4000.0 + 1200.0 + (harness.now - start.0 + 2.0) * 20.0,
            "{bytes} bytes after {step} steps"
        );
        new.iter().for_each(|link| harness.acknowledge(*link));
        (1..=400).for_each(|node| harness.receive(node, ToDistributor::Heartbeat { session: 1 }));
    }
    let place = |node: u64| {
        harness
            .sent
            .iter()
            .position(|(link, message, ..)| *link == node && matches!(message, ToSubscriber::Update { .. }))
    };
    let last_delta = (201..=400).map(|node| place(node).expect("a delta")).max();
    assert!((1..=200).filter(|node| place(*node) < last_delta).count() < 5);
    assert!((1..=200).all(|node| place(node).is_some()));
    assert!(harness.updates(300)[0].from == Some(2) && harness.updates(300).len() == 1);
}

#[test]
fn a_node_with_a_newer_version_or_of_another_installation_is_rejected() {
    let mut harness = Harness::fed_and_registered(Times::default());
    harness.subscribe(1, "n1", Some(9));
    assert!(matches!(
        harness.sent.last(),
        Some((1, ToSubscriber::Rejected { reason: Rejection::Behind { version: 1 }, .. }, ..))
    ));
    let subscribe = ToDistributor::Subscribe {
        installation: "other".into(),
        process: process_id("n2"),
        session: 1,
        held: Some(1),
        services: Vec::new(),
        new_services: BTreeSet::new(),
    };
    harness.receive(2, subscribe);
    assert!(matches!(
        harness.sent.last(),
        Some((2, ToSubscriber::Rejected { reason: Rejection::WrongInstallation, .. }, ..))
    ));
    assert_eq!(harness.core.connected_nodes(), 0);
    // A distributor without a catalog serves nobody.
    let mut unfed = Harness::new(Times::default());
    unfed.subscribe(1, "n1", None);
    assert!(matches!(
        unfed.sent.last(),
        Some((1, ToSubscriber::Rejected { reason: Rejection::Behind { version: 0 }, .. }, ..))
    ));
}

#[test]
fn a_refused_version_is_reported_and_the_next_update_starts_from_the_nodes_version() {
    let mut harness = Harness::fed_and_registered(Times::default());
    harness.subscribe(1, "n1", Some(1));
    harness.commit(r#"{"cart": {"settings": "bad"}}"#);
    harness.receive(1, ToDistributor::Refuse { session: 1, version: 2, reason: "settings: no".into() });
    harness.advance_to(1000.0);
    assert_eq!(harness.updates(1).len(), 1, "a refused version is not sent again");
    let status = harness.reported_status("n1").unwrap();
    assert_eq!((status.lagging_version, status.refused), (Some(1), Some((2, "settings: no".into()))));
    harness.receive(1, ToDistributor::Heartbeat { session: 1 });
    harness.commit(r#"{"cart": {"settings": "good"}}"#);
    assert_eq!(harness.updates(1).last().map(|update| (update.from, update.to)), Some((Some(1), 3)));
    harness.acknowledge(1);
    harness.advance_to(2000.0);
    let status = harness.reported_status("n1").unwrap();
    assert_eq!((status.lagging_version, status.refused), (None, None));
}

#[test]
fn changes_to_other_services_only_advance_the_version_by_heartbeats() {
    let mut harness = Harness::fed_and_registered(Times::default());
    harness.subscribe(1, "n1", Some(1));
    (0..50).for_each(|n| harness.commit(&format!(r#"{{"other": {{"limit": {n}}}}}"#)));
    harness.advance_to(600.0);
    assert!(harness.updates(1).is_empty());
    let unchanged = harness.sent.iter().rev().find_map(|(_, message, ..)| match message {
        ToSubscriber::Heartbeat { unchanged, .. } => Some(*unchanged),
        _ => None,
    });
    assert_eq!(unchanged, Some(Some((1, 51))));
    harness.commit(r#"{"cart": {"limit": 1}}"#);
    assert_eq!(harness.updates(1).last().map(|update| (update.from, update.to)), Some((Some(51), 52)));
}

#[test]
fn a_node_without_a_version_is_served_once_it_is_registered_with_the_voters() {
    let mut harness = Harness::fed_and_registered(Times::default());
    harness.answers = false;
    harness.subscribe(1, "n1", None);
    harness.advance_to(1500.0);
    harness.receive(1, ToDistributor::Heartbeat { session: 1 });
    harness.advance_to(2500.0);
    assert!(harness.updates(1).is_empty());
    harness.receive(1, ToDistributor::Heartbeat { session: 1 });
    // No voter answers: after `isolated_after_ms` the node is served without being registered.
    harness.advance_to(3900.0);
    assert!(harness.updates(1).is_empty());
    harness.receive(1, ToDistributor::Heartbeat { session: 1 });
    harness.advance_to(5100.0);
    assert_eq!(harness.updates(1).len(), 1);
    assert!(harness.core.age(harness.now).is_some_and(|age| age > 5000.0));
}

#[test]
fn a_silent_node_is_disconnected_after_two_seconds_and_reported_until_it_is_gone() {
    let mut harness = Harness::fed_and_registered(Times { gone_after_ms: 10_000.0, ..Times::default() });
    harness.subscribe(1, "n1", Some(1));
    harness.advance_to(2600.0);
    assert_eq!((harness.closed.as_slice(), harness.core.connected_nodes()), ([1].as_slice(), 0));
    harness.commit(r#"{"cart": {"limit": 1}}"#);
    harness.advance_to(9000.0);
    assert_eq!(
        harness.reported_status("n1").map(|status| (status.linked, status.lagging_version)),
        Some((false, Some(1)))
    );
    harness.advance_to(13_500.0);
    assert_eq!(harness.reports.iter().rev().find_map(|report| report.nodes.get("n1")), Some(&None));
}
