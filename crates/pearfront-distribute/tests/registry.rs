//! The leader's side: distributors are fed without a gap, changes answered once, and what is in force is counted.

use pearfront_distribute::{
    Catalog, ChangeSet, DistributionStatus, FromVoter, NodeStatus, Outcome, ProcessId, Registry,
    RegistryAction, Rejection, Report, Times, ToVoter, parse,
};
use std::collections::BTreeMap;

struct Rig {
    core: Registry,
    catalog: Catalog,
    sent: Vec<(u64, FromVoter)>,
    now: f64,
    reports: BTreeMap<u64, u64>,
}

fn process(name: &str, incarnation: u64) -> ProcessId {
    ProcessId { name: name.into(), incarnation }
}

fn set(number: &str, limit: u32) -> ChangeSet {
    parse(format!(r#"{{"number": "{number}", "services": {{"cart": {{"limit": {limit}}}}}}}"#).as_bytes())
        .unwrap()
}

fn line(session: u64, lagging_version: Option<u64>, linked: bool) -> NodeStatus {
    NodeStatus { incarnation: 1, session, lagging_version, refused: None, linked }
}

impl Rig {
    fn leading() -> Self {
        let mut core = Registry::new("shop", Times::default());
        core.set_leading_term(Some(1), 0.0);
        Self { core, catalog: Catalog::default(), sent: Vec::new(), now: 0.0, reports: BTreeMap::new() }
    }

    /// Commits at once what is proposed.
    fn out(&mut self) {
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

    fn hears(&mut self, link: u64, message: ToVoter) {
        self.core.receive(link, message, None, &self.catalog, self.now);
        self.out();
    }

    fn follow(&mut self, link: u64, process: ProcessId, version: Option<u64>) {
        self.hears(link, ToVoter::Follow { installation: "shop".into(), process, version });
    }

    fn report(&mut self, link: u64, version: u64, nodes: &[(&str, Option<NodeStatus>)]) {
        let base = self.reports.get(&link).copied();
        let number = base.unwrap_or(100 * link) + 1;
        self.reports.insert(link, number);
        let heartbeat_echo = self.sent.iter().rev().find_map(|(_, message)| match message {
            FromVoter::Heartbeat { number, .. } => Some(*number),
            _ => None,
        });
        let nodes = nodes.iter().map(|(name, line)| (name.to_string(), line.clone())).collect();
        self.hears(
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

    fn at(&mut self, now: f64) {
        self.now = now;
        self.core.tick(&self.catalog, now);
        self.out();
    }

    fn last(&self, link: u64) -> Option<&FromVoter> {
        let beat = |message: &FromVoter| matches!(message, FromVoter::Heartbeat { .. });
        self.sent.iter().rev().find(|(to, message)| *to == link && !beat(message)).map(|(_, message)| message)
    }

    fn view(&mut self) -> DistributionStatus {
        self.hears(99, ToVoter::QueryStatus);
        let Some(FromVoter::Status(view)) = self.last(99) else { panic!() };
        view.clone()
    }

    /// Two distributors at version 1 with a node each.
    fn two() -> Self {
        let mut rig = Self::leading();
        rig.hears(50, ToVoter::Submit(set("1", 1)));
        for (link, name, node) in [(1, "d1", "n1"), (2, "d2", "n2")] {
            rig.follow(link, process(name, 1), None);
            rig.hears(link, ToVoter::Acknowledge { version: 1 });
            rig.report(link, 1, &[(node, Some(line(1, None, true)))]);
        }
        rig.at(500.0);
        assert_eq!(rig.core.in_force(), Some(1));
        rig
    }
}

#[test]
fn a_follower_gets_everything_then_what_came_since_one_message_at_a_time() {
    let mut rig = Rig::leading();
    rig.hears(50, ToVoter::Submit(set("1", 1)));
    rig.follow(1, process("d1", 1), None);
    assert!(matches!(rig.last(1), Some(FromVoter::Snapshot { .. })));
    (2..70).for_each(|n| rig.hears(50, ToVoter::Submit(set(&n.to_string(), n))));
    assert!(matches!(rig.last(1), Some(FromVoter::Snapshot { .. })));
    rig.hears(1, ToVoter::Acknowledge { version: 1 });
    assert!(matches!(rig.last(1), Some(FromVoter::ChangeSets { to: 65, sets }) if sets.len() == 64));
    rig.hears(1, ToVoter::Acknowledge { version: 65 });
    assert!(matches!(rig.last(1), Some(FromVoter::ChangeSets { to: 69, sets }) if sets.len() == 4));
    // One that comes back goes on where it was; one from the future is none of this log's.
    rig.follow(2, process("d2", 1), Some(67));
    assert!(matches!(rig.last(2), Some(FromVoter::ChangeSets { to: 69, sets }) if sets.len() == 2));
    rig.follow(3, process("d3", 1), Some(70));
    assert_eq!(rig.last(3), Some(&FromVoter::Rejected { reason: Rejection::Behind { version: 69 } }));
}

#[test]
fn a_change_is_answered_by_its_number_and_said_again_it_is_not_done_again() {
    let mut rig = Rig::leading();
    rig.hears(50, ToVoter::Submit(set("x", 1)));
    rig.hears(51, ToVoter::Submit(set("x", 1)));
    let accepted = FromVoter::Outcome { number: "x".into(), outcome: Outcome::Accepted(1) };
    assert_eq!((rig.last(50), rig.last(51)), (Some(&accepted), Some(&accepted)));
    rig.hears(52, ToVoter::Submit(set("x", 2)));
    assert!(matches!(rig.last(52), Some(FromVoter::Outcome { outcome: Outcome::Refused(_), .. })));
    assert_eq!(rig.catalog.version(), 1);
    // One that does not lead says so, and who does.
    rig.core.set_leading_term(None, 1.0);
    rig.core.receive(53, ToVoter::Submit(set("y", 1)), Some("v2"), &rig.catalog, 1.0);
    rig.out();
    assert_eq!(rig.last(53), Some(&FromVoter::NotLeader { leader: Some("v2".into()) }));
}

#[test]
fn in_force_everywhere_waits_for_the_last_node_and_names_it() {
    let mut rig = Rig::two();
    rig.hears(50, ToVoter::Submit(set("2", 2)));
    rig.report(1, 2, &[("n1", Some(line(1, None, true)))]);
    rig.report(2, 2, &[("n2", Some(line(1, Some(1), true)))]);
    rig.at(1000.0);
    let view = rig.view();
    assert_eq!((view.version, view.in_force, view.nodes), (2, Some(1), 2));
    assert_eq!(view.lagging.iter().map(|lag| lag.node.as_deref()).collect::<Vec<_>>(), [Some("n2")]);
    rig.report(2, 2, &[("n2", Some(line(1, None, true)))]);
    rig.at(1500.0);
    assert_eq!(rig.view().in_force, Some(2));
}

#[test]
fn a_node_that_was_lost_counts_until_it_is_elsewhere_or_gone() {
    let mut rig = Rig::two();
    rig.hears(50, ToVoter::Submit(set("2", 2)));
    rig.report(2, 2, &[]);
    rig.report(1, 2, &[("n1", Some(line(1, Some(1), false)))]);
    rig.at(1000.0);
    assert_eq!(rig.core.in_force(), Some(1));
    // Under a later session it is elsewhere: what the first says of it is over.
    rig.report(2, 2, &[("n1", Some(line(2, None, true)))]);
    rig.at(1500.0);
    assert_eq!(rig.core.in_force(), Some(2));
    rig.hears(50, ToVoter::Submit(set("3", 3)));
    rig.report(1, 3, &[]);
    rig.report(2, 3, &[("n1", Some(line(2, Some(2), false)))]);
    rig.at(2000.0);
    assert_eq!(rig.core.in_force(), Some(2));
    rig.report(1, 3, &[("n1", None)]);
    rig.report(2, 3, &[("n1", None)]);
    rig.at(2500.0);
    assert_eq!(rig.core.in_force(), Some(3));
}

#[test]
fn the_nodes_of_a_distributor_that_ended_count_until_they_are_elsewhere() {
    let mut rig = Rig::two();
    rig.core.link_closed(1);
    rig.core.distributor_ended(&process("d1", 1), 600.0);
    rig.hears(50, ToVoter::Submit(set("2", 2)));
    rig.report(2, 2, &[]);
    rig.at(1100.0);
    assert_eq!(rig.core.in_force(), Some(1));
    let view = rig.view();
    assert_eq!((view.lagging[0].node.as_deref(), view.lagging[0].linked), (Some("n1"), false));
    rig.report(2, 2, &[("n1", Some(line(2, None, true)))]);
    rig.at(1600.0);
    assert_eq!(rig.core.in_force(), Some(2));
    // The log names it no more.
    assert_eq!(
        rig.catalog.distributors().iter().map(|process| process.name.as_str()).collect::<Vec<_>>(),
        ["d2"]
    );
}

#[test]
fn one_that_was_cut_off_before_it_ended_is_waited_for() {
    let mut rig = Rig::two();
    for step in 2..20 {
        rig.report(2, 1, &[]);
        rig.at(500.0 * f64::from(step));
    }
    // It may have begun to serve others since it was heard last.
    rig.core.distributor_ended(&process("d1", 1), rig.now);
    rig.report(2, 1, &[("n1", Some(line(2, None, true)))]);
    rig.hears(50, ToVoter::Submit(set("2", 2)));
    rig.report(2, 2, &[]);
    rig.at(rig.now + 500.0);
    assert_eq!(rig.core.in_force(), Some(1));
    rig.at(rig.now + 61_000.0);
    rig.report(2, 2, &[]);
    rig.at(rig.now + 500.0);
    assert_eq!(rig.core.in_force(), Some(2));
}

#[test]
fn a_new_leader_knows_nothing_until_all_have_told_it_all() {
    let mut rig = Rig::two();
    rig.core.set_leading_term(None, 600.0);
    rig.core.set_leading_term(Some(2), 700.0);
    rig.at(1200.0);
    assert_eq!(rig.core.in_force(), None);
    rig.reports.clear();
    rig.follow(1, process("d1", 1), Some(1));
    rig.report(1, 1, &[("n1", Some(line(1, None, true)))]);
    rig.at(1700.0);
    assert_eq!(rig.core.in_force(), None);
    // A part of what a former leader was told is no use to this one.
    rig.follow(2, process("d2", 1), Some(1));
    rig.hears(
        2,
        ToVoter::Report(Report {
            number: 9,
            base: Some(8),
            heartbeat_echo: 0,
            version: 1,
            nodes: BTreeMap::new(),
        }),
    );
    assert_eq!(rig.last(2), Some(&FromVoter::FullReportNeeded));
    rig.report(2, 1, &[("n2", Some(line(1, None, true)))]);
    rig.at(2200.0);
    assert_eq!(rig.core.in_force(), Some(1));
}
