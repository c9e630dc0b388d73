//! Both sides of a duty at one table: a leader whose log takes everything at once, and processes that want duties. What is
//! said may not arrive.

use pearfront_duties::{
    Agent, AgentAction, Duties, LeaseManager, ManagerAction, Order, ProcessId, Rank, Times, Want,
};
use std::collections::VecDeque;
use test_case::test_case;

const LEASE: f64 = 4000.0;
const STEADY: f64 = 10_000.0;

struct Table {
    desk: LeaseManager,
    duties: Duties,
    agents: Vec<Agent>,
    /// Which of them hear what they are told.
    hears: Vec<bool>,
    /// Which of them run.
    runs: Vec<bool>,
    now: f64,
    told: Vec<String>,
}

fn name(place: usize) -> String {
    format!("n{place}")
}

impl Table {
    fn new(count: usize) -> Self {
        let times = Times { stability: STEADY, ..Times::default() };
        let agent = |place: usize| {
            Agent::new(ProcessId { name: name(place), life: place as u64 }, &["v0".to_string()], times)
        };
        let mut desk = LeaseManager::new("v0", times);
        desk.set_leadership(Some(1), &Duties::default(), 0.0);
        let (hears, runs) = (vec![true; count], vec![true; count]);
        let agents = (0..count).map(agent).collect();
        Self { desk, duties: Duties::default(), agents, hears, runs, now: 0.0, told: Vec::new() }
    }

    fn wants(&mut self, who: usize, zone: u8, min_interval: f64) {
        let rank = Rank { zone, load: 0, preference: 0 };
        let want = Want {
            duty: "export".into(),
            max_holders: 1,
            lease: LEASE,
            outlives_process: false,
            min_interval,
            rank,
        };
        self.agents[who].want(want, self.now);
        self.pump();
    }

    /// Lets so much time pass.
    fn pass(&mut self, ms: f64) {
        let end = self.now + ms;
        while self.now < end {
            let running = self.agents.iter().zip(&self.runs).filter(|(_, runs)| **runs);
            let due = running.map(|(agent, _)| agent.due()).fold(self.desk.due(), f64::min);
            self.now = due.clamp(self.now + 1.0, end);
            self.desk.tick(&self.duties, self.now);
            self.pump();
        }
    }

    fn pump(&mut self) {
        let now = self.now;
        loop {
            let mut asks = VecDeque::new();
            for (place, agent) in self.agents.iter_mut().enumerate().filter(|(place, _)| self.runs[*place]) {
                agent.tick(now);
                for out in agent.take_actions() {
                    match out {
                        AgentAction::Send { request, .. } => asks.push_back(request),
                        AgentAction::Leave { duty, .. } => agent.give_up(&duty, false, now),
                        AgentAction::OrderResults(told) => self.told.extend(told),
                        AgentAction::Acquired { token, .. } => self.told.push(format!("n{place} {token}")),
                        _ => {}
                    }
                }
            }
            let quiet = asks.is_empty();
            asks.into_iter().for_each(|ask| self.desk.receive(ask, None, now));
            if self.answer() && quiet {
                return;
            }
        }
    }

    /// Does what the leader wants done; true if it wanted nothing.
    fn answer(&mut self) -> bool {
        let out = self.desk.take_actions();
        let quiet = out.is_empty();
        for out in out {
            match out {
                ManagerAction::Propose(bytes) => {
                    let changes = self.duties.apply(&bytes);
                    self.desk.applied(changes, &self.duties, self.now);
                }
                ManagerAction::Read(read) => self.desk.read_result(read, true, &self.duties, self.now),
                ManagerAction::Respond(told) => {
                    let to = told.to.life as usize;
                    if self.hears[to] && self.runs[to] {
                        self.agents[to].receive(told, self.now);
                    }
                }
            }
        }
        quiet
    }

    fn holder(&self) -> Option<usize> {
        let acts =
            |place: &usize| self.runs[*place] && self.agents[*place].may_act("export", self.now).is_some();
        let all: Vec<usize> = (0..self.agents.len()).filter(acts).collect();
        assert!(all.len() <= 1, "{all:?} at once");
        all.first().copied()
    }
}

#[test]
fn the_first_gets_it_at_once_and_the_next_by_word() {
    let mut table = Table::new(2);
    table.wants(0, 0, 0.0);
    table.wants(1, 0, 0.0);
    assert_eq!(table.holder(), Some(0));
    table.pass(5.0 * LEASE);
    assert_eq!(table.holder(), Some(0));
    let now = table.now;
    table.agents[0].unwant("export", now);
    table.pump();
    assert_eq!((table.holder(), table.now), (Some(1), now));
}

// It would be renewed for ever by asks that come from one that hears nothing.
#[test]
fn one_that_hears_no_answer_loses_it_and_gets_it_back_only_when_it_hears() {
    let mut table = Table::new(2);
    table.wants(0, 0, 0.0);
    table.wants(1, 1, 0.0);
    table.pass(1000.0);
    table.hears[0] = false;
    table.pass(2.0 * LEASE);
    assert_eq!(table.holder(), Some(1));
    table.pass(5.0 * STEADY);
    assert_eq!(table.holder(), Some(1));
    // Better placed, and steady from now on.
    table.hears[0] = true;
    table.pass(STEADY - LEASE);
    assert_eq!(table.holder(), Some(1));
    table.pass(2.0 * LEASE);
    assert_eq!(table.holder(), Some(0));
}

#[test]
fn a_better_one_that_comes_and_goes_takes_nothing_with_it() {
    let mut table = Table::new(2);
    table.wants(0, 1, 0.0);
    for _ in 0..10 {
        table.wants(1, 0, 0.0);
        table.pass(0.6 * STEADY);
        let now = table.now;
        table.agents[1].unwant("export", now);
        table.pump();
        assert_eq!(table.holder(), Some(0));
    }
    assert_eq!(table.told, ["n0 1"]);
    table.wants(1, 0, 0.0);
    table.pass(STEADY + LEASE);
    assert_eq!(table.holder(), Some(1));
}

#[test]
fn operators_move_it_and_it_does_not_come_back_at_once() {
    let mut table = Table::new(3);
    (0..3).for_each(|who| table.wants(who, who as u8, 0.0));
    table.pass(1000.0);
    let now = table.now;
    let order = |to: &str| Order::Move { duty: "export".into(), token: 1, to: Some(to.into()) };
    table.agents[1].order(order("n9"), now);
    table.agents[1].order(order("n2"), now);
    table.pump();
    table.pass(LEASE);
    assert_eq!(table.holder(), Some(2));
    assert_eq!(table.told, ["n0 1", "n9 does not want export", "n0 is told to leave export", "n2 2"]);
    // The same order again means a token that is over: nothing is moved.
    table.agents[1].order(order("n1"), table.now);
    table.pass(LEASE);
    assert_eq!(table.told.last().map(String::as_str), Some("export is not held under token 1"));
    assert_eq!(table.holder(), Some(2));
}

#[test]
fn what_ran_well_is_not_given_again_within_its_time() {
    let mut table = Table::new(2);
    (0..2).for_each(|who| table.wants(who, 0, 60_000.0));
    let now = table.now;
    table.agents[0].give_up("export", true, now);
    table.pump();
    assert_eq!(table.holder(), None);
    table.pass(59_000.0);
    assert_eq!(table.holder(), None);
    table.pass(3000.0);
    assert!(table.holder().is_some());
}

// A process that ended for certain frees it at once; one that says nothing, after its lease.
#[test_case(true, 1.0; "proof")]
#[test_case(false, LEASE + 1.0; "silence")]
fn the_next_one_begins_after(proof: bool, soonest: f64) {
    let mut table = Table::new(2);
    table.wants(0, 0, 0.0);
    table.wants(1, 1, 0.0);
    table.pass(100.0);
    table.runs[0] = false;
    if proof {
        table.desk.process_ended(&ProcessId { name: name(0), life: 0 }, &table.duties, table.now);
    }
    table.pass(soonest);
    assert_eq!(table.holder(), Some(1));
}

#[test]
fn a_new_leader_counts_what_the_one_before_it_has_promised() {
    let mut table = Table::new(2);
    table.wants(0, 0, 0.0);
    table.pass(1000.0);
    table.runs[0] = false;
    // It leads with what the log has, and knows of no lease.
    table.desk.set_leadership(Some(2), &table.duties, table.now);
    table.wants(1, 0, 0.0);
    table.pass(LEASE - 10.0);
    assert_eq!(table.holder(), None);
    table.pass(20.0);
    assert_eq!(table.holder(), Some(1));
}

#[test]
fn what_is_held_and_not_done_goes_to_another() {
    let mut table = Table::new(2);
    (0..2).for_each(|who| table.wants(who, 0, 0.0));
    let now = table.now;
    table.agents[0].record_outcome("export", false, now);
    table.pass(5000.0);
    assert_eq!(table.holder(), Some(0));
    table.pass(6000.0);
    assert_eq!(table.holder(), Some(1));
}

// Each that gives it up wants it again at once: by name alone the first two would have it in turn for ever.
#[test]
fn of_equal_candidates_the_one_that_waits_longest_is_next() {
    let mut table = Table::new(5);
    (0..5).for_each(|who| table.wants(who, 0, 0.0));
    let mut turns = Vec::new();
    for _ in 0..10 {
        table.pass(1.0);
        let holder = table.holder().unwrap();
        turns.push(holder);
        table.agents[holder].give_up("export", false, table.now);
        table.pump();
        table.wants(holder, 0, 0.0);
    }
    assert_eq!(turns, [0, 1, 2, 3, 4, 0, 1, 2, 3, 4]);
}

// Waiting does not make up for a worse standing.
#[test]
fn a_better_standing_comes_before_a_longer_wait() {
    let mut table = Table::new(4);
    table.wants(3, 0, 0.0);
    table.wants(2, 1, 0.0);
    table.pass(1.0);
    table.wants(1, 0, 0.0);
    table.pass(1.0);
    table.wants(0, 0, 0.0);
    table.agents[3].give_up("export", false, table.now);
    table.pump();
    assert_eq!(table.holder(), Some(1));
}
