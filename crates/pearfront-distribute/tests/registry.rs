//! The leader's side: distributors are fed without gaps, changes are applied once, and the version in force is computed.

use pearfront_distribute::{
    Catalog, ChangeSet, DistributionStatus, FromVoter, NodeStatus, Outcome, ProcessId, Registry,
    RegistryAction, Rejection, Report, Times, ToVoter, parse,
};
use std::collections::BTreeMap;

struct Harness {
    core: Registry,
    catalog: Catalog,
    sent: Vec<(u64, FromVoter)>,
    now: f64,
    reports: BTreeMap<u64, u64>,
}

fn distributor_id(name: &str, incarnation: u64) -> ProcessId {
    ProcessId { name: name.into(), incarnation }
}

fn change_set(number: &str, limit: u32) -> ChangeSet {
    parse(format!(r#"{{"number": "{number}", "services": {{"cart": {{"limit": {limit}}}}}}}"#).as_bytes())
        .unwrap()
}

fn node_status(session: u64, lagging_version: Option<u64>, linked: bool) -> NodeStatus {
    NodeStatus { incarnation: 1, session, lagging_version, refused: None, linked }
}

impl Harness {
    fn leading() -> Self {
        let mut core = Registry::new("shop", Times::default());
        core.set_leading_term(Some(1), 0.0);
        Self { core, catalog: Catalog::default(), sent: Vec::new(), now: 0.0, reports: BTreeMap::new() }
    }

    /// Commits proposals at once.
    fn run_actions(&mut self) {
        loop {
            let out = self.core.take_actions();
            if out.is_empty() {
                return;
            }
            for out in out {
                match out {
                    RegistryAction::Propose(bytes) => {
                        let applied = self.catalog.apply(&bytes);
                        self.core.entry_applied(&bytes, &applied, &self.catalog);
                    }
                    RegistryAction::Send { link, message } => self.sent.push((link, message)),
                    RegistryAction::Close { .. } => {}
                }
            }
        }
    }

    fn receive(&mut self, link: u64, message: ToVoter) {
        self.core.receive(link, message, None, &self.catalog, self.now);
        self.run_actions();
    }

    fn follow(&mut self, link: u64, process: ProcessId, version: Option<u64>) {
        self.receive(link, ToVoter::Follow { installation: "shop".into(), process, version });
    }

    fn report(&mut self, link: u64, version: u64, nodes: &[(&str, Option<NodeStatus>)]) {
        let base = self.reports.get(&link).copied();
        let number = base.unwrap_or(100 * link) + 1;
        self.reports.insert(link, number);
        let heartbeat_echo = self.sent.iter().rev().find_map(|(_, message)| match message {
            FromVoter::Heartbeat { number, .. } => Some(*number),
            _ => None,
        });
        let nodes = nodes.iter().map(|(name, status)| (name.to_string(), status.clone())).collect();
        self.receive(
            link,
            ToVoter::Report(Report {
                number,
                base,
                heartbeat_echo: heartbeat_echo.unwrap_or_default(),
                version,
                nodes,
            }),
        );
    }

    fn advance_to(&mut self, now: f64) {
        self.now = now;
        self.core.tick(&self.catalog, now);
        self.run_actions();
    }

    fn last_message(&self, link: u64) -> Option<&FromVoter> {
        let is_heartbeat = |message: &FromVoter| matches!(message, FromVoter::Heartbeat { .. });
        self.sent
            .iter()
            .rev()
            .find(|(to, message)| *to == link && !is_heartbeat(message))
            .map(|(_, message)| message)
    }

    fn query_status(&mut self) -> DistributionStatus {
        self.receive(99, ToVoter::QueryStatus);
        let Some(FromVoter::Status(status)) = self.last_message(99) else { panic!() };
        status.clone()
    }

    /// Two distributors at version 1 with one node each.
    fn with_two_distributors() -> Self {
        let mut harness = Self::leading();
        harness.receive(50, ToVoter::Submit(change_set("1", 1)));
        for (link, name, node) in [(1, "d1", "n1"), (2, "d2", "n2")] {
            harness.follow(link, distributor_id(name, 1), None);
            harness.receive(link, ToVoter::Acknowledge { version: 1 });
            harness.report(link, 1, &[(node, Some(node_status(1, None, true)))]);
        }
        harness.advance_to(500.0);
        assert_eq!(harness.core.in_force(), Some(1));
        harness
    }
}

#[test]
fn a_distributor_gets_a_snapshot_then_change_sets_one_message_at_a_time() {
    let mut harness = Harness::leading();
    harness.receive(50, ToVoter::Submit(change_set("1", 1)));
    harness.follow(1, distributor_id("d1", 1), None);
    assert!(matches!(harness.last_message(1), Some(FromVoter::Snapshot { .. })));
    (2..70).for_each(|n| harness.receive(50, ToVoter::Submit(change_set(&n.to_string(), n))));
    assert!(matches!(harness.last_message(1), Some(FromVoter::Snapshot { .. })));
    harness.receive(1, ToVoter::Acknowledge { version: 1 });
    assert!(
        matches!(harness.last_message(1), Some(FromVoter::ChangeSets { to: 65, sets }) if sets.len() == 64)
    );
    harness.receive(1, ToVoter::Acknowledge { version: 65 });
    assert!(
        matches!(harness.last_message(1), Some(FromVoter::ChangeSets { to: 69, sets }) if sets.len() == 4)
    );
    // A returning distributor continues from its version; one with a newer version is rejected.
    harness.follow(2, distributor_id("d2", 1), Some(67));
    assert!(
        matches!(harness.last_message(2), Some(FromVoter::ChangeSets { to: 69, sets }) if sets.len() == 2)
    );
    harness.follow(3, distributor_id("d3", 1), Some(70));
    assert_eq!(
        harness.last_message(3),
        Some(&FromVoter::Rejected { reason: Rejection::Behind { version: 69 } })
    );
}

#[test]
fn a_change_is_answered_by_its_number_and_a_retry_is_not_applied_again() {
    let mut harness = Harness::leading();
    harness.receive(50, ToVoter::Submit(change_set("x", 1)));
    harness.receive(51, ToVoter::Submit(change_set("x", 1)));
    let accepted = FromVoter::Outcome { number: "x".into(), outcome: Outcome::Accepted(1) };
    assert_eq!((harness.last_message(50), harness.last_message(51)), (Some(&accepted), Some(&accepted)));
    harness.receive(52, ToVoter::Submit(change_set("x", 2)));
    assert!(matches!(
        harness.last_message(52),
        Some(FromVoter::Outcome { outcome: Outcome::Refused(_), .. })
    ));
    assert_eq!(harness.catalog.version(), 1);
    // A voter that does not lead names the leader.
    harness.core.set_leading_term(None, 1.0);
    harness.core.receive(53, ToVoter::Submit(change_set("y", 1)), Some("v2"), &harness.catalog, 1.0);
    harness.run_actions();
    assert_eq!(harness.last_message(53), Some(&FromVoter::NotLeader { leader: Some("v2".into()) }));
}

#[test]
fn a_version_is_in_force_everywhere_only_with_the_last_node_which_is_listed_until_then() {
    let mut harness = Harness::with_two_distributors();
    harness.receive(50, ToVoter::Submit(change_set("2", 2)));
    harness.report(1, 2, &[("n1", Some(node_status(1, None, true)))]);
    harness.report(2, 2, &[("n2", Some(node_status(1, Some(1), true)))]);
    harness.advance_to(1000.0);
    let status = harness.query_status();
    assert_eq!((status.version, status.in_force, status.nodes), (2, Some(1), 2));
    assert_eq!(
        status.lagging.iter().map(|process| process.node.as_deref()).collect::<Vec<_>>(),
        [Some("n2")]
    );
    harness.report(2, 2, &[("n2", Some(node_status(1, None, true)))]);
    harness.advance_to(1500.0);
    assert_eq!(harness.query_status().in_force, Some(2));
}

#[test]
fn a_lost_node_counts_until_it_is_with_another_distributor_or_gone() {
    let mut harness = Harness::with_two_distributors();
    harness.receive(50, ToVoter::Submit(change_set("2", 2)));
    harness.report(2, 2, &[]);
    harness.report(1, 2, &[("n1", Some(node_status(1, Some(1), false)))]);
    harness.advance_to(1000.0);
    assert_eq!(harness.core.in_force(), Some(1));
    // Its later session is with the other distributor, which supersedes the first one's report.
    harness.report(2, 2, &[("n1", Some(node_status(2, None, true)))]);
    harness.advance_to(1500.0);
    assert_eq!(harness.core.in_force(), Some(2));
    harness.receive(50, ToVoter::Submit(change_set("3", 3)));
    harness.report(1, 3, &[]);
    harness.report(2, 3, &[("n1", Some(node_status(2, Some(2), false)))]);
    harness.advance_to(2000.0);
    assert_eq!(harness.core.in_force(), Some(2));
    harness.report(1, 3, &[("n1", None)]);
    harness.report(2, 3, &[("n1", None)]);
    harness.advance_to(2500.0);
    assert_eq!(harness.core.in_force(), Some(3));
}

#[test]
fn nodes_of_an_ended_distributor_count_until_they_are_with_another_one() {
    let mut harness = Harness::with_two_distributors();
    harness.core.link_closed(1);
    harness.core.distributor_ended(&distributor_id("d1", 1), 600.0);
    harness.receive(50, ToVoter::Submit(change_set("2", 2)));
    harness.report(2, 2, &[]);
    harness.advance_to(1100.0);
    assert_eq!(harness.core.in_force(), Some(1));
    let status = harness.query_status();
    assert_eq!((status.lagging[0].node.as_deref(), status.lagging[0].linked), (Some("n1"), false));
    harness.report(2, 2, &[("n1", Some(node_status(2, None, true)))]);
    harness.advance_to(1600.0);
    assert_eq!(harness.core.in_force(), Some(2));
    // The log no longer names the ended distributor.
    assert_eq!(
        harness.catalog.distributors().iter().map(|process| process.name.as_str()).collect::<Vec<_>>(),
        ["d2"]
    );
}

#[test]
fn a_distributor_that_was_cut_off_before_it_ended_is_still_waited_for() {
    let mut harness = Harness::with_two_distributors();
    for step in 2..20 {
        harness.report(2, 1, &[]);
        harness.advance_to(500.0 * f64::from(step));
    }
    // It may have served unregistered nodes since its last report.
    harness.core.distributor_ended(&distributor_id("d1", 1), harness.now);
    harness.report(2, 1, &[("n1", Some(node_status(2, None, true)))]);
    harness.receive(50, ToVoter::Submit(change_set("2", 2)));
    harness.report(2, 2, &[]);
    harness.advance_to(harness.now + 500.0);
    assert_eq!(harness.core.in_force(), Some(1));
    harness.advance_to(harness.now + 61_000.0);
    harness.report(2, 2, &[]);
    harness.advance_to(harness.now + 500.0);
    assert_eq!(harness.core.in_force(), Some(2));
}

#[test]
fn a_new_leader_needs_full_reports_of_all_distributors() {
    let mut harness = Harness::with_two_distributors();
    harness.core.set_leading_term(None, 600.0);
    harness.core.set_leading_term(Some(2), 700.0);
    harness.advance_to(1200.0);
    assert_eq!(harness.core.in_force(), None);
    harness.reports.clear();
    harness.follow(1, distributor_id("d1", 1), Some(1));
    harness.report(1, 1, &[("n1", Some(node_status(1, None, true)))]);
    harness.advance_to(1700.0);
    assert_eq!(harness.core.in_force(), None);
    // A report based on one to a former leader is not enough.
    harness.follow(2, distributor_id("d2", 1), Some(1));
    harness.receive(
        2,
        ToVoter::Report(Report {
            number: 9,
            base: Some(8),
            heartbeat_echo: 0,
            version: 1,
            nodes: BTreeMap::new(),
        }),
    );
    assert_eq!(harness.last_message(2), Some(&FromVoter::FullReportNeeded));
    harness.report(2, 1, &[("n2", Some(node_status(1, None, true)))]);
    harness.advance_to(2200.0);
    assert_eq!(harness.core.in_force(), Some(1));
}
