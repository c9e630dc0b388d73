//! Measures what duties cost the leader, by number of holders: lease renewals, disk syncs, bytes and processor time. Three voters
//! and all processes run in one thread in simulated time, over a network without delay. Also used by the `duties` bench.

use crate::Point;
use crate::clock::{Meter, memory_mb};
use pearfront_consensus::{Action, Message, PersistentState, Times, Voter};
use pearfront_duties::{
    Agent, AgentAction, Duties, LeaseManager, LeaseRequest, LeaseResponse, ManagerAction, ProcessId, Rank,
    Want, encode,
};
use std::collections::VecDeque;

/// Number of voters.
const VOTERS: usize = 3;
/// Processes that are candidates for each duty.
const CANDIDATES: usize = 3;
/// Lease duration, ms.
const LEASE_MS: f64 = 10_000.0;
/// Simulated time before figures are taken, ms, in which duties move to the candidates with the best rank.
const WARM_UP_MS: f64 = 80_000.0;

enum Envelope {
    Consensus(Message),
    LeaseRequest(LeaseRequest),
    LeaseResponse(LeaseResponse),
}

struct Member {
    voter: Voter,
    manager: LeaseManager,
    duties: Duties,
}

/// Traffic and disk syncs since the start.
#[derive(Default, Clone, Copy)]
struct Counts {
    lease_requests: u64,
    renewed: u64,
    syncs: u64,
    log_bytes: u64,
    duty_bytes: u64,
}

/// Voters, and processes that are candidates for duties.
pub struct World {
    members: Vec<Member>,
    agents: Vec<Agent>,
    /// Messages in delivery, with the index of the receiver.
    in_flight: VecDeque<(usize, Envelope)>,
    now: f64,
    counts: Counts,
    meter: Meter,
}

impl World {
    /// Creates a number of duties, each with three candidates among the processes.
    pub fn new(duties: usize, processes: usize) -> Self {
        let names: Vec<String> = (0..VOTERS).map(|index| format!("v{index}")).collect();
        let member = |index: usize| Member {
            voter: Voter::new(
                &names[index],
                &names,
                PersistentState::default(),
                Times::default(),
                index as u64,
                0.0,
            ),
            manager: LeaseManager::new(&names[index], pearfront_duties::Times::default()),
            duties: Duties::default(),
        };
        let agent = |index: usize| {
            let me = ProcessId { name: format!("n{index}"), life: index as u64 };
            Agent::new(me, &names, pearfront_duties::Times::default())
        };
        let mut world = Self {
            members: (0..VOTERS).map(member).collect(),
            agents: (0..processes).map(agent).collect(),
            in_flight: VecDeque::new(),
            now: 0.0,
            counts: Counts::default(),
            meter: Meter::default(),
        };
        for duty in 0..duties {
            for candidate in 0..CANDIDATES.min(processes) {
                let rank = Rank { zone: candidate as u8, load: 0, preference: 0 };
                let name = format!("duty{duty}");
                let want = Want {
                    duty: name,
                    max_holders: 1,
                    lease: LEASE_MS,
                    outlives_process: false,
                    min_interval: 0.0,
                    rank,
                };
                // Spread over time, so that the candidates do not all ask at one instant.
                world.agents[(duty + candidate) % processes].want(want, (duty % 97) as f64);
            }
        }
        world
    }

    /// Runs a call on one voter and executes its actions. The processor time counts as the leader's if the voter leads.
    fn run_member(&mut self, index: usize, call: impl FnOnce(&mut Member, f64)) {
        let (now, is_leader) = (self.now, self.members[index].manager.is_leading());
        let (member, counts) = (&mut self.members[index], &mut self.counts);
        let work = || {
            call(member, now);
            execute_actions(member, counts, now)
        };
        let sent = if is_leader { self.meter.measure(work) } else { work() };
        sent.into_iter().for_each(|envelope| self.send(envelope));
    }

    fn send(&mut self, envelope: Envelope) {
        let number = |name: &str| name[1..].parse::<usize>().unwrap_or(0);
        let to = match &envelope {
            Envelope::Consensus(message) => {
                self.counts.log_bytes += message.encode().len() as u64;
                number(&message.to)
            }
            Envelope::LeaseRequest(request) => {
                self.counts.lease_requests += 1;
                self.counts.renewed += request.held.len() as u64;
                self.counts.duty_bytes += encode(request).len() as u64;
                return;
            }
            Envelope::LeaseResponse(response) => {
                self.counts.duty_bytes += encode(response).len() as u64;
                number(&response.to.name)
            }
        };
        self.in_flight.push_back((to, envelope));
    }

    fn run_agent(&mut self, index: usize, call: impl FnOnce(&mut Agent, f64)) {
        let agent = &mut self.agents[index];
        call(agent, self.now);
        agent.tick(self.now);
        for action in agent.take_actions() {
            match action {
                AgentAction::Send { to, request } => {
                    let voter = to[1..].parse().unwrap_or(0);
                    self.send(Envelope::LeaseRequest(request.clone()));
                    self.in_flight.push_back((voter, Envelope::LeaseRequest(request)));
                }
                AgentAction::Leave { duty, .. } => self.agents[index].give_up(&duty, false, self.now),
                _ => {}
            }
        }
    }

    /// Advances simulated time to `end`, ms.
    pub fn run_to(&mut self, end: f64) {
        while self.now < end {
            while let Some((to, envelope)) = self.in_flight.pop_front() {
                match envelope {
                    Envelope::Consensus(message) => {
                        self.run_member(to, |member, now| member.voter.receive(message, now))
                    }
                    Envelope::LeaseRequest(request) => self.run_member(to, |member, now| {
                        member.manager.receive(request, member.voter.leader(), now)
                    }),
                    Envelope::LeaseResponse(response) => {
                        self.run_agent(to, |agent, now| agent.receive(response, now))
                    }
                }
            }
            let voters_due = self.members.iter().map(|member| member.voter.due().min(member.manager.due()));
            let due = voters_due.chain(self.agents.iter().map(Agent::due)).fold(end, f64::min);
            self.now = due.max(self.now + 0.01).min(end);
            for index in 0..self.members.len() {
                let member = &self.members[index];
                if member.voter.due().min(member.manager.due()) <= self.now {
                    self.run_member(index, |member, now| {
                        member.manager.tick(&member.duties, now);
                        member.voter.tick(now);
                    });
                }
            }
            for index in 0..self.agents.len() {
                if self.agents[index].due() <= self.now {
                    self.run_agent(index, |agent, now| agent.tick(now));
                }
            }
        }
    }

    /// Number of leases held now.
    pub fn held(&self) -> usize {
        self.agents.iter().map(|agent| agent.held(self.now).len()).sum()
    }
}

/// Executes the actions of a voter and its lease manager until neither has more; disks store at once.
fn execute_actions(member: &mut Member, counts: &mut Counts, now: f64) -> Vec<Envelope> {
    let (mut sent, mut is_idle) = (Vec::new(), false);
    while !is_idle {
        let actions = member.voter.take_actions();
        is_idle = actions.is_empty();
        for action in actions {
            match action {
                Action::Store { number, .. } => {
                    counts.syncs += 1;
                    member.voter.on_stored(number, now);
                }
                Action::Send(message) => sent.push(Envelope::Consensus(message)),
                Action::Commit(entry) => {
                    let changes = member.duties.apply(&entry.bytes);
                    member.manager.applied(changes, &member.duties, now);
                }
                Action::ReadReady { read_id: read, .. } => {
                    member.manager.read_result(read, true, &member.duties, now)
                }
                Action::ReadFailed { read_id: read } => {
                    member.manager.read_result(read, false, &member.duties, now)
                }
                Action::Restore { .. } => {}
            }
        }
        let term = member.voter.has_committed_in_term().then(|| member.voter.term());
        member.manager.set_leadership(term, &member.duties, now);
        for action in member.manager.take_actions() {
            is_idle = false;
            match action {
                ManagerAction::Propose(bytes) => drop(member.voter.propose(bytes, now)),
                ManagerAction::Read(read) => member.voter.request_read(read, now),
                ManagerAction::Respond(response) => sent.push(Envelope::LeaseResponse(response)),
            }
        }
    }
    sent
}

/// Measures as many duties as processes, once all duties are at their best-ranked candidates.
pub fn by_holders(point: &mut Point, holders: usize, seconds: f64, _: u64) {
    measure(point, World::new(holders, holders), seconds, holders as f64);
}

/// Measures the figures of a world over a number of simulated seconds.
pub fn measure(point: &mut Point, mut world: World, seconds: f64, processes: f64) {
    let memory = memory_mb().0;
    world.run_to(WARM_UP_MS);
    let (before, spent) = (world.counts, world.meter.spent());
    world.run_to(WARM_UP_MS + seconds * 1000.0);
    let rate = |of: fn(&Counts) -> u64| (of(&world.counts) - of(&before)) as f64 / seconds;
    let request_rate = rate(|counts| counts.lease_requests);
    let cpu = (world.meter.spent() - spent) / seconds;
    point.set("held", world.held() as f64);
    point.set("asks_a_second", request_rate);
    point.set("renewals_a_second", rate(|counts| counts.renewed));
    point.set("syncs_a_second", rate(|counts| counts.syncs));
    point.set("voters_bytes_a_second", rate(|counts| counts.log_bytes));
    point.set("bytes_a_second", rate(|counts| counts.duty_bytes) / processes);
    point.set("leader_cpu_share", cpu * 100.0);
    point.set("leader_cpu_us_an_ask", if request_rate > 0.0 { cpu * 1e6 / request_rate } else { 0.0 });
    point.set("memory_kb", ((memory_mb().0 - memory) * 1024.0).max(0.0));
}
