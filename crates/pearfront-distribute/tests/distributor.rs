//! A distributor: one update under way to each node, the newest; what narrows first; a bounded rate; what the voters are told.

use pearfront_distribute::{
    Catalog, Command, Distributor, DistributorAction, FromVoter, NodeStatus, Peer, ProcessId, Rejection,
    Report, RestrictionKind, Times, ToDistributor, ToSubscriber, ToVoter, Update, decode, parse,
};
use std::collections::BTreeSet;

/// One distributor, the voter that feeds it, and what it sent.
struct Rig {
    core: Distributor,
    catalog: Catalog,
    above: u64,
    sent: Vec<(u64, ToSubscriber, usize, bool)>,
    reports: Vec<Report>,
    closed: Vec<u64>,
    now: f64,
    answers: bool,
    beats: u64,
}

fn process(name: &str) -> ProcessId {
    ProcessId { name: name.into(), incarnation: 1 }
}

impl Rig {
    fn new(times: Times) -> Self {
        let voters = [Peer { name: "v1".into(), zone: "z1".into(), region: "r1".into() }];
        let core = Distributor::new("shop", process("d1"), ("z1", "r1"), &voters, times, (1, 0.0));
        let (sent, reports, closed) = (Vec::new(), Vec::new(), Vec::new());
        let catalog = Catalog::default();
        Self { core, catalog, above: 0, sent, reports, closed, now: 0.0, answers: true, beats: 0 }
    }

    /// With one service of two servers, fed and registered.
    fn fed(times: Times) -> Self {
        let mut rig = Self::new(times);
        rig.core.tick(0.0);
        rig.out();
        rig.commit(r#"{"cart": {"limit": 9, "servers": {"a": {"address": "1"}, "b": {"address": "2"}}}}"#);
        rig.whole();
        rig.at(1.0);
        assert!(!rig.reports.is_empty());
        rig
    }

    fn whole(&mut self) {
        let message = FromVoter::Snapshot { catalog: self.catalog.encode() };
        self.core.receive_from_voter(self.above, message, self.now);
        self.out();
    }

    fn out(&mut self) {
        loop {
            let out = self.core.take_actions();
            if out.is_empty() {
                return;
            }
            for out in out {
                match out {
                    DistributorAction::OpenVoter { link, .. } => self.above = link,
                    DistributorAction::SendVoter { message: ToVoter::Report(report), .. } => {
                        let number = report.number;
                        self.reports.push(report);
                        if self.answers {
                            self.core.receive_from_voter(
                                self.above,
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

    /// Lets time pass; the voter beats, if it answers.
    fn at(&mut self, now: f64) {
        while self.now < now {
            self.now = self.core.due().max(self.now + 1.0).min(now).min(self.now + 100.0);
            if self.answers {
                self.beats += 1;
                let (number, version) = (self.beats, self.catalog.version());
                self.core.receive_from_voter(
                    self.above,
                    FromVoter::Heartbeat { number, version, in_force: None },
                    self.now,
                );
            }
            self.core.tick(self.now);
            self.out();
        }
    }

    fn commit(&mut self, services: &str) {
        let number = self.catalog.version() + 1;
        let set = parse(format!(r#"{{"number": "{number}", "services": {services}}}"#).as_bytes()).unwrap();
        self.catalog.apply(&Command::Change(set.clone()).encode());
        assert_eq!(self.catalog.version(), number);
        self.core.receive_from_voter(
            self.above,
            FromVoter::ChangeSets { to: number, sets: vec![set] },
            self.now,
        );
        self.out();
    }

    fn subscribe(&mut self, link: u64, name: &str, held: Option<u64>) {
        let new_services = BTreeSet::from_iter(held.is_none().then(|| "cart".to_string()));
        let services = vec!["cart".into()];
        let message = ToDistributor::Subscribe {
            installation: "shop".into(),
            process: process(name),
            session: 1,
            held,
            services,
            new_services,
        };
        self.say(link, message);
    }

    fn say(&mut self, link: u64, message: ToDistributor) {
        self.core.receive(link, message, self.now);
        self.out();
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
        self.say(link, ToDistributor::Acknowledge { session: 1, version });
    }

    fn line(&self, node: &str) -> Option<NodeStatus> {
        self.reports.iter().rev().find_map(|report| report.nodes.get(node)).cloned().flatten()
    }
}

#[test]
fn a_slow_node_has_one_update_under_way_and_then_the_newest_not_all() {
    let mut rig = Rig::fed(Times::default());
    rig.subscribe(1, "n1", None);
    rig.at(300.0);
    assert_eq!(rig.updates(1).len(), 1);
    for limit in 10..60 {
        rig.commit(&format!(r#"{{"cart": {{"limit": {limit}}}}}"#));
    }
    assert_eq!(rig.updates(1).len(), 1);
    rig.acknowledge(1);
    let all: Vec<_> = rig.updates(1).iter().map(|update| (update.from, update.to)).collect();
    assert_eq!(all, [(None, 1), (Some(1), 51)]);
    rig.acknowledge(1);
    assert_eq!(rig.updates(1).len(), 2);
}

#[test]
fn what_narrows_goes_ahead_of_what_is_under_way_and_only_that() {
    let mut rig = Rig::fed(Times::default());
    rig.subscribe(1, "n1", Some(1));
    rig.commit(r#"{"cart": {"limit": 20}}"#);
    rig.commit(r#"{"cart": {"limit": 30, "servers": {"a": null}}}"#);
    let before = rig.sent.len();
    rig.commit(r#"{"cart": {"servers": {"b": {"address": "2", "state": "draining"}}}}"#);
    let [(1, ToSubscriber::Restrict { to: 4, all, .. }, _, true)] = &rig.sent[before..] else {
        panic!("{:?}", &rig.sent[before..])
    };
    assert_eq!(all.iter().map(|one| one.kind).collect::<Vec<_>>(), [RestrictionKind::Drain]);
    // The next waits until that one is there, and says no more than is new.
    rig.commit(r#"{"cart": {"limit": 3}}"#);
    assert_eq!(rig.sent.len(), before + 1);
    rig.say(1, ToDistributor::AcknowledgeRestrictions { session: 1, version: 4 });
    let Some((1, ToSubscriber::Restrict { to: 5, all, .. }, ..)) = rig.sent.last() else { panic!() };
    assert_eq!(all.iter().map(|one| one.kind).collect::<Vec<_>>(), [RestrictionKind::Limit(3)]);
}

#[test]
fn what_narrows_goes_first_where_the_pipe_is_full() {
    let times = Times { bytes_per_s: 1000.0, burst_bytes: 400.0, ..Times::default() };
    let mut rig = Rig::fed(times);
    for node in 1..=30 {
        rig.subscribe(node, &format!("n{node}"), Some(1));
    }
    rig.commit(&format!(r#"{{"cart": {{"settings": "{}"}}}}"#, "x".repeat(300)));
    let got = |rig: &Rig| (1..=30).filter(|node| !rig.updates(*node).is_empty()).count();
    assert!((1..4).contains(&got(&rig)));
    rig.commit(r#"{"cart": {"servers": {"a": null}}}"#);
    let told = |node: u64| {
        rig.sent
            .iter()
            .any(|(to, message, ..)| *to == node && matches!(message, ToSubscriber::Restrict { .. }))
    };
    assert!((1..=30).all(told));
    assert!(got(&rig) < 4);
}

#[test]
fn those_who_hold_a_version_come_before_those_who_hold_none_and_all_at_a_bounded_rate() {
    let times = Times { bytes_per_s: 20_000.0, burst_bytes: 4000.0, ..Times::default() };
    let mut rig = Rig::fed(times);
    rig.commit(&format!(r#"{{"cart": {{"settings": "{}"}}}}"#, "x".repeat(1000)));
    rig.commit(r#"{"cart": {"limit": 3}}"#);
    (1..=200).for_each(|node| rig.subscribe(node, &format!("n{node}"), None));
    (201..=400).for_each(|node| rig.subscribe(node, &format!("n{node}"), Some(2)));
    let start = (rig.now, rig.sent.len());
    let mut last = 0;
    for step in 1..=60 {
        rig.at(start.0 + 200.0 * f64::from(step));
        let new: Vec<u64> = rig.sent[last..]
            .iter()
            .filter(|(_, message, ..)| matches!(message, ToSubscriber::Update { .. }))
            .map(|(link, ..)| *link)
            .collect();
        last = rig.sent.len();
        // Bytes beside beats: what was there at once, and the rate since.
        let bytes: usize = rig
            .sent
            .iter()
            .filter(|(_, message, ..)| matches!(message, ToSubscriber::Update { .. }))
            .map(|(.., bytes, _)| bytes)
            .sum();
        assert!(
            bytes as f64 <= 4000.0 + 1200.0 + (rig.now - start.0 + 2.0) * 20.0,
            "{bytes} bytes after {step} steps"
        );
        new.iter().for_each(|link| rig.acknowledge(*link));
        (1..=400).for_each(|node| rig.say(node, ToDistributor::Heartbeat { session: 1 }));
    }
    let place = |node: u64| {
        rig.sent
            .iter()
            .position(|(link, message, ..)| *link == node && matches!(message, ToSubscriber::Update { .. }))
    };
    let last_delta = (201..=400).map(|node| place(node).expect("a delta")).max();
    assert!((1..=200).filter(|node| place(*node) < last_delta).count() < 5);
    assert!((1..=200).all(|node| place(node).is_some()));
    assert!(rig.updates(300)[0].from == Some(2) && rig.updates(300).len() == 1);
}

#[test]
fn a_node_from_the_future_and_another_installations_are_not_served() {
    let mut rig = Rig::fed(Times::default());
    rig.subscribe(1, "n1", Some(9));
    assert!(matches!(
        rig.sent.last(),
        Some((1, ToSubscriber::Rejected { reason: Rejection::Behind { version: 1 }, .. }, ..))
    ));
    let subscribe = ToDistributor::Subscribe {
        installation: "other".into(),
        process: process("n2"),
        session: 1,
        held: Some(1),
        services: Vec::new(),
        new_services: BTreeSet::new(),
    };
    rig.say(2, subscribe);
    assert!(matches!(
        rig.sent.last(),
        Some((2, ToSubscriber::Rejected { reason: Rejection::WrongInstallation, .. }, ..))
    ));
    assert_eq!(rig.core.connected_nodes(), 0);
    // One that has nothing itself serves nobody.
    let mut empty = Rig::new(Times::default());
    empty.subscribe(1, "n1", None);
    assert!(matches!(
        empty.sent.last(),
        Some((1, ToSubscriber::Rejected { reason: Rejection::Behind { version: 0 }, .. }, ..))
    ));
}

#[test]
fn a_refusal_is_told_to_the_voters_and_the_next_change_leads_from_what_the_node_has() {
    let mut rig = Rig::fed(Times::default());
    rig.subscribe(1, "n1", Some(1));
    rig.commit(r#"{"cart": {"settings": "bad"}}"#);
    rig.say(1, ToDistributor::Refuse { session: 1, version: 2, reason: "settings: no".into() });
    rig.at(1000.0);
    assert_eq!(rig.updates(1).len(), 1, "what was refused is not sent again");
    let line = rig.line("n1").unwrap();
    assert_eq!((line.lagging_version, line.refused), (Some(1), Some((2, "settings: no".into()))));
    rig.say(1, ToDistributor::Heartbeat { session: 1 });
    rig.commit(r#"{"cart": {"settings": "good"}}"#);
    assert_eq!(rig.updates(1).last().map(|update| (update.from, update.to)), Some((Some(1), 3)));
    rig.acknowledge(1);
    rig.at(2000.0);
    let line = rig.line("n1").unwrap();
    assert_eq!((line.lagging_version, line.refused), (None, None));
}

#[test]
fn what_concerns_a_node_not_costs_it_beats_alone_and_its_version_goes_on() {
    let mut rig = Rig::fed(Times::default());
    rig.subscribe(1, "n1", Some(1));
    (0..50).for_each(|n| rig.commit(&format!(r#"{{"other": {{"limit": {n}}}}}"#)));
    rig.at(600.0);
    assert!(rig.updates(1).is_empty());
    let unchanged = rig.sent.iter().rev().find_map(|(_, message, ..)| match message {
        ToSubscriber::Heartbeat { unchanged, .. } => Some(*unchanged),
        _ => None,
    });
    assert_eq!(unchanged, Some(Some((1, 51))));
    rig.commit(r#"{"cart": {"limit": 1}}"#);
    assert_eq!(rig.updates(1).last().map(|update| (update.from, update.to)), Some((Some(51), 52)));
}

#[test]
fn a_node_that_has_nothing_is_served_once_the_voters_know_of_it() {
    let mut rig = Rig::fed(Times::default());
    rig.answers = false;
    rig.subscribe(1, "n1", None);
    rig.at(1500.0);
    rig.say(1, ToDistributor::Heartbeat { session: 1 });
    rig.at(2500.0);
    assert!(rig.updates(1).is_empty());
    rig.say(1, ToDistributor::Heartbeat { session: 1 });
    // All voters gone: after the stated time it is served all the same.
    rig.at(3900.0);
    assert!(rig.updates(1).is_empty());
    rig.say(1, ToDistributor::Heartbeat { session: 1 });
    rig.at(5100.0);
    assert_eq!(rig.updates(1).len(), 1);
    assert!(rig.core.age(rig.now).is_some_and(|age| age > 5000.0));
}

#[test]
fn a_silent_node_is_lost_after_two_seconds_and_counts_until_it_is_gone() {
    let mut rig = Rig::fed(Times { gone_after_ms: 10_000.0, ..Times::default() });
    rig.subscribe(1, "n1", Some(1));
    rig.at(2600.0);
    assert_eq!((rig.closed.as_slice(), rig.core.connected_nodes()), ([1].as_slice(), 0));
    rig.commit(r#"{"cart": {"limit": 1}}"#);
    rig.at(9000.0);
    assert_eq!(rig.line("n1").map(|line| (line.linked, line.lagging_version)), Some((false, Some(1))));
    rig.at(13_500.0);
    assert_eq!(rig.reports.iter().rev().find_map(|report| report.nodes.get("n1")), Some(&None));
}
