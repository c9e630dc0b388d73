//! Both sides of a duty together: a lease manager whose log applies every proposal at once, and agents that
//! want the duty. Responses may be lost.

use pearfront_duties::{
    Agent, AgentAction, Duties, LeaseManager, ManagerAction, Order, ProcessId, Rank, Times, Want,
};
use std::collections::VecDeque;
use test_case::test_case;

const LEASE: f64 = 4000.0;
const STEADY: f64 = 10_000.0;

struct Simulation {
    manager: LeaseManager,
    duties: Duties,
    agents: Vec<Agent>,
    /// Whether each agent receives responses.
    receives: Vec<bool>,
    /// Whether each agent runs.
    runs: Vec<bool>,
    now: f64,
    events: Vec<String>,
}

fn name(index: usize) -> String {
    format!("n{index}")
}

impl Simulation {
    fn new(count: usize) -> Self {
        let times = Times { stability: STEADY, ..Times::default() };
        let agent = |index: usize| {
            Agent::new(ProcessId { name: name(index), life: index as u64 }, &["v0".to_string()], times)
        };
        let mut manager = LeaseManager::new("v0", times);
        manager.set_leadership(Some(1), &Duties::default(), 0.0);
        let (receives, runs) = (vec![true; count], vec![true; count]);
        let agents = (0..count).map(agent).collect();
        Self { manager, duties: Duties::default(), agents, receives, runs, now: 0.0, events: Vec::new() }
    }

    fn add_want(&mut self, who: usize, zone: u8, min_interval: f64) {
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
        self.deliver_all();
    }

    /// Lets time pass.
    fn advance(&mut self, ms: f64) {
        let end = self.now + ms;
        while self.now < end {
            let running = self.agents.iter().zip(&self.runs).filter(|(_, runs)| **runs);
            let due = running.map(|(agent, _)| agent.due()).fold(self.manager.due(), f64::min);
            self.now = due.clamp(self.now + 1.0, end);
            self.manager.tick(&self.duties, self.now);
            self.deliver_all();
        }
    }

    fn deliver_all(&mut self) {
        let now = self.now;
        loop {
            let mut requests = VecDeque::new();
            for (index, agent) in self.agents.iter_mut().enumerate().filter(|(index, _)| self.runs[*index]) {
                agent.tick(now);
                for action in agent.take_actions() {
                    match action {
                        AgentAction::Send { request, .. } => requests.push_back(request),
                        AgentAction::Leave { duty, .. } => agent.give_up(&duty, false, now),
                        AgentAction::OrderResults(results) => self.events.extend(results),
                        AgentAction::Acquired { token, .. } => self.events.push(format!("n{index} {token}")),
                        _ => {}
                    }
                }
            }
            let idle = requests.is_empty();
            requests.into_iter().for_each(|request| self.manager.receive(request, None, now));
            if self.run_manager() && idle {
                return;
            }
        }
    }

    /// Carries out the manager's actions; true if there were none.
    fn run_manager(&mut self) -> bool {
        let actions = self.manager.take_actions();
        let idle = actions.is_empty();
        for action in actions {
            match action {
                ManagerAction::Propose(bytes) => {
                    let changes = self.duties.apply(&bytes);
                    self.manager.applied(changes, &self.duties, self.now);
                }
                ManagerAction::Read(read) => self.manager.read_result(read, true, &self.duties, self.now),
                ManagerAction::Respond(response) => {
                    let to = response.to.life as usize;
                    if self.receives[to] && self.runs[to] {
                        self.agents[to].receive(response, self.now);
                    }
                }
            }
        }
        idle
    }

    fn holder(&self) -> Option<usize> {
        let acts =
            |index: &usize| self.runs[*index] && self.agents[*index].may_act("export", self.now).is_some();
        let all: Vec<usize> = (0..self.agents.len()).filter(acts).collect();
        assert!(all.len() <= 1, "{all:?} at once");
        all.first().copied()
    }
}

#[test]
fn first_candidate_is_granted_at_once_and_the_next_on_release() {
    let mut simulation = Simulation::new(2);
    simulation.add_want(0, 0, 0.0);
    simulation.add_want(1, 0, 0.0);
    assert_eq!(simulation.holder(), Some(0));
    simulation.advance(5.0 * LEASE);
    assert_eq!(simulation.holder(), Some(0));
    let now = simulation.now;
    simulation.agents[0].unwant("export", now);
    simulation.deliver_all();
    assert_eq!((simulation.holder(), simulation.now), (Some(1), now));
}

// Guards against a lease that is renewed for ever by the requests of a process that receives no responses.
#[test]
fn holder_without_responses_loses_the_duty_until_it_receives_again() {
    let mut simulation = Simulation::new(2);
    simulation.add_want(0, 0, 0.0);
    simulation.add_want(1, 1, 0.0);
    simulation.advance(1000.0);
    simulation.receives[0] = false;
    simulation.advance(2.0 * LEASE);
    assert_eq!(simulation.holder(), Some(1));
    simulation.advance(5.0 * STEADY);
    assert_eq!(simulation.holder(), Some(1));
    // Better ranked, and steady only from now on.
    simulation.receives[0] = true;
    simulation.advance(STEADY - LEASE);
    assert_eq!(simulation.holder(), Some(1));
    simulation.advance(2.0 * LEASE);
    assert_eq!(simulation.holder(), Some(0));
}

#[test]
fn unstable_better_candidate_does_not_take_the_duty() {
    let mut simulation = Simulation::new(2);
    simulation.add_want(0, 1, 0.0);
    for _ in 0..10 {
        simulation.add_want(1, 0, 0.0);
        simulation.advance(0.6 * STEADY);
        let now = simulation.now;
        simulation.agents[1].unwant("export", now);
        simulation.deliver_all();
        assert_eq!(simulation.holder(), Some(0));
    }
    assert_eq!(simulation.events, ["n0 1"]);
    simulation.add_want(1, 0, 0.0);
    simulation.advance(STEADY + LEASE);
    assert_eq!(simulation.holder(), Some(1));
}

#[test]
fn moved_duty_does_not_return_at_once() {
    let mut simulation = Simulation::new(3);
    (0..3).for_each(|who| simulation.add_want(who, who as u8, 0.0));
    simulation.advance(1000.0);
    let now = simulation.now;
    let order = |to: &str| Order::Move { duty: "export".into(), token: 1, to: Some(to.into()) };
    simulation.agents[1].order(order("n9"), now);
    simulation.agents[1].order(order("n2"), now);
    simulation.deliver_all();
    simulation.advance(LEASE);
    assert_eq!(simulation.holder(), Some(2));
    assert_eq!(simulation.events, ["n0 1", "n9 does not want export", "n0 is told to leave export", "n2 2"]);
    // The repeated order names a token that has ended, so nothing moves.
    simulation.agents[1].order(order("n1"), simulation.now);
    simulation.advance(LEASE);
    assert_eq!(simulation.events.last().map(String::as_str), Some("export is not held under token 1"));
    assert_eq!(simulation.holder(), Some(2));
}

#[test]
fn successful_run_is_not_repeated_within_its_interval() {
    let mut simulation = Simulation::new(2);
    (0..2).for_each(|who| simulation.add_want(who, 0, 60_000.0));
    let now = simulation.now;
    simulation.agents[0].give_up("export", true, now);
    simulation.deliver_all();
    assert_eq!(simulation.holder(), None);
    simulation.advance(59_000.0);
    assert_eq!(simulation.holder(), None);
    simulation.advance(3000.0);
    assert!(simulation.holder().is_some());
}

// A process that ended by proof frees its duty at once; a silent one frees it after its lease.
#[test_case(true, 1.0; "proof")]
#[test_case(false, LEASE + 1.0; "silence")]
fn next_holder_begins_after(proof: bool, soonest: f64) {
    let mut simulation = Simulation::new(2);
    simulation.add_want(0, 0, 0.0);
    simulation.add_want(1, 1, 0.0);
    simulation.advance(100.0);
    simulation.runs[0] = false;
    if proof {
        simulation.manager.process_ended(
            &ProcessId { name: name(0), life: 0 },
            &simulation.duties,
            simulation.now,
        );
    }
    simulation.advance(soonest);
    assert_eq!(simulation.holder(), Some(1));
}

#[test]
fn new_leader_honours_the_leases_of_its_predecessor() {
    let mut simulation = Simulation::new(2);
    simulation.add_want(0, 0, 0.0);
    simulation.advance(1000.0);
    simulation.runs[0] = false;
    // The new leader has the log, and knows of no lease.
    simulation.manager.set_leadership(Some(2), &simulation.duties, simulation.now);
    simulation.add_want(1, 0, 0.0);
    simulation.advance(LEASE - 10.0);
    assert_eq!(simulation.holder(), None);
    simulation.advance(20.0);
    assert_eq!(simulation.holder(), Some(1));
}

#[test]
fn failing_holder_gives_the_duty_up() {
    let mut simulation = Simulation::new(2);
    (0..2).for_each(|who| simulation.add_want(who, 0, 0.0));
    let now = simulation.now;
    simulation.agents[0].record_outcome("export", false, now);
    simulation.advance(5000.0);
    assert_eq!(simulation.holder(), Some(0));
    simulation.advance(6000.0);
    assert_eq!(simulation.holder(), Some(1));
}

// Each holder that gives the duty up wants it again at once. Chosen by name alone, the first two would
// alternate for ever.
#[test]
fn longest_waiting_of_equal_candidates_is_next() {
    let mut simulation = Simulation::new(5);
    (0..5).for_each(|who| simulation.add_want(who, 0, 0.0));
    let mut turns = Vec::new();
    for _ in 0..10 {
        simulation.advance(1.0);
        let holder = simulation.holder().unwrap();
        turns.push(holder);
        simulation.agents[holder].give_up("export", false, simulation.now);
        simulation.deliver_all();
        simulation.add_want(holder, 0, 0.0);
    }
    assert_eq!(turns, [0, 1, 2, 3, 4, 0, 1, 2, 3, 4]);
}

// A longer wait does not make up for a worse rank.
#[test]
fn better_rank_beats_a_longer_wait() {
    let mut simulation = Simulation::new(4);
    simulation.add_want(3, 0, 0.0);
    simulation.add_want(2, 1, 0.0);
    simulation.advance(1.0);
    simulation.add_want(1, 0, 0.0);
    simulation.advance(1.0);
    simulation.add_want(0, 0, 0.0);
    simulation.agents[3].give_up("export", false, simulation.now);
    simulation.deliver_all();
    assert_eq!(simulation.holder(), Some(1));
}
