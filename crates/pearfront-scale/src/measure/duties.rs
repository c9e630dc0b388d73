//! What duties cost whoever leads, by holders: renewals, syncs, bytes, processor time. Three voters and all processes in
//! one thread, the network at once.

use crate::Point;
use crate::clock::{Meter, memory_mb};
use pearfront_consensus::{Action, Message, PersistentState, Times, Voter};
use pearfront_duties::{
    Agent, AgentAction, Duties, LeaseManager, LeaseRequest, LeaseResponse, ManagerAction, ProcessId, Rank,
    Want, encode,
};
use std::collections::VecDeque;

const VOTERS: usize = 3;
/// Processes that want each duty.
const WANT: usize = 3;
const LEASE: f64 = 10_000.0;
/// Simulated time before the figures, in which duties go to the best placed, ms.
const BEFORE: f64 = 80_000.0;

enum Word {
    Log(Message),
    Ask(LeaseRequest),
    Told(LeaseResponse),
}

struct Seat {
    voter: Voter,
    desk: LeaseManager,
    duties: Duties,
}

#[derive(Default, Clone, Copy)]
struct Counts {
    asks: u64,
    renewed: u64,
    syncs: u64,
    log_bytes: u64,
    duty_bytes: u64,
}

/// Voters and processes that want duties.
pub struct World {
    seats: Vec<Seat>,
    agents: Vec<Agent>,
    words: VecDeque<(usize, Word)>,
    now: f64,
    counts: Counts,
    meter: Meter,
}

impl World {
    /// So many duties, each wanted by three of so many processes.
    pub fn new(duties: usize, processes: usize) -> Self {
        let names: Vec<String> = (0..VOTERS).map(|place| format!("v{place}")).collect();
        let seat = |place: usize| Seat {
            voter: Voter::new(
                &names[place],
                &names,
                PersistentState::default(),
                Times::default(),
                place as u64,
                0.0,
            ),
            desk: LeaseManager::new(&names[place], pearfront_duties::Times::default()),
            duties: Duties::default(),
        };
        let agent = |place: usize| {
            let me = ProcessId { name: format!("n{place}"), life: place as u64 };
            Agent::new(me, &names, pearfront_duties::Times::default())
        };
        let mut world = Self {
            seats: (0..VOTERS).map(seat).collect(),
            agents: (0..processes).map(agent).collect(),
            words: VecDeque::new(),
            now: 0.0,
            counts: Counts::default(),
            meter: Meter::default(),
        };
        for duty in 0..duties {
            for next in 0..WANT.min(processes) {
                let standing = Rank { zone: next as u8, load: 0, preference: 0 };
                let name = format!("duty{duty}");
                let want = Want {
                    duty: name,
                    max_holders: 1,
                    lease: LEASE,
                    outlives_process: false,
                    min_interval: 0.0,
                    rank: standing,
                };
                // Not all at one instant.
                world.agents[(duty + next) % processes].want(want, (duty % 97) as f64);
            }
        }
        world
    }

    /// One voter's turn: what it wants done is done, and the time is the leader's if it leads.
    fn turn(&mut self, place: usize, call: impl FnOnce(&mut Seat, f64)) {
        let (now, leads) = (self.now, self.seats[place].desk.is_leading());
        let (seat, counts) = (&mut self.seats[place], &mut self.counts);
        let work = || {
            call(seat, now);
            settle(seat, counts, now)
        };
        let sent = if leads { self.meter.measure(work) } else { work() };
        sent.into_iter().for_each(|word| self.send(word));
    }

    fn send(&mut self, word: Word) {
        let number = |name: &str| name[1..].parse::<usize>().unwrap_or(0);
        let to = match &word {
            Word::Log(message) => {
                self.counts.log_bytes += message.encode().len() as u64;
                number(&message.to)
            }
            Word::Ask(ask) => {
                self.counts.asks += 1;
                self.counts.renewed += ask.held.len() as u64;
                self.counts.duty_bytes += encode(ask).len() as u64;
                return;
            }
            Word::Told(told) => {
                self.counts.duty_bytes += encode(told).len() as u64;
                number(&told.to.name)
            }
        };
        self.words.push_back((to, word));
    }

    fn agent(&mut self, place: usize, call: impl FnOnce(&mut Agent, f64)) {
        let agent = &mut self.agents[place];
        call(agent, self.now);
        agent.tick(self.now);
        for out in agent.take_actions() {
            match out {
                AgentAction::Send { to, request: ask } => {
                    let voter = to[1..].parse().unwrap_or(0);
                    self.send(Word::Ask(ask.clone()));
                    self.words.push_back((voter, Word::Ask(ask)));
                }
                AgentAction::Leave { duty, .. } => self.agents[place].give_up(&duty, false, self.now),
                _ => {}
            }
        }
    }

    pub fn run_to(&mut self, end: f64) {
        while self.now < end {
            while let Some((to, word)) = self.words.pop_front() {
                match word {
                    Word::Log(message) => self.turn(to, |seat, now| seat.voter.receive(message, now)),
                    Word::Ask(ask) => {
                        self.turn(to, |seat, now| seat.desk.receive(ask, seat.voter.leader(), now))
                    }
                    Word::Told(told) => self.agent(to, |agent, now| agent.receive(told, now)),
                }
            }
            let seats = self.seats.iter().map(|seat| seat.voter.due().min(seat.desk.due()));
            let due = seats.chain(self.agents.iter().map(Agent::due)).fold(end, f64::min);
            self.now = due.max(self.now + 0.01).min(end);
            for place in 0..self.seats.len() {
                let seat = &self.seats[place];
                if seat.voter.due().min(seat.desk.due()) <= self.now {
                    self.turn(place, |seat, now| {
                        seat.desk.tick(&seat.duties, now);
                        seat.voter.tick(now);
                    });
                }
            }
            for place in 0..self.agents.len() {
                if self.agents[place].due() <= self.now {
                    self.agent(place, |agent, now| agent.tick(now));
                }
            }
        }
    }

    /// Duties that somebody holds now.
    pub fn held(&self) -> usize {
        self.agents.iter().map(|agent| agent.held(self.now).len()).sum()
    }
}

/// Does what both sides of a voter want done until neither wants more; disks store at once.
fn settle(seat: &mut Seat, counts: &mut Counts, now: f64) -> Vec<Word> {
    let (mut sent, mut quiet) = (Vec::new(), false);
    while !quiet {
        let out = seat.voter.take_actions();
        quiet = out.is_empty();
        for out in out {
            match out {
                Action::Store { number, .. } => {
                    counts.syncs += 1;
                    seat.voter.on_stored(number, now);
                }
                Action::Send(message) => sent.push(Word::Log(message)),
                Action::Commit(entry) => {
                    let changes = seat.duties.apply(&entry.bytes);
                    seat.desk.applied(changes, &seat.duties, now);
                }
                Action::ReadReady { read_id: read, .. } => {
                    seat.desk.read_result(read, true, &seat.duties, now)
                }
                Action::ReadFailed { read_id: read } => seat.desk.read_result(read, false, &seat.duties, now),
                Action::Restore { .. } => {}
            }
        }
        let term = seat.voter.has_committed_in_term().then(|| seat.voter.term());
        seat.desk.set_leadership(term, &seat.duties, now);
        for out in seat.desk.take_actions() {
            quiet = false;
            match out {
                ManagerAction::Propose(bytes) => drop(seat.voter.propose(bytes, now)),
                ManagerAction::Read(read) => seat.voter.request_read(read, now),
                ManagerAction::Respond(told) => sent.push(Word::Told(told)),
            }
        }
    }
    sent
}

/// As many duties as processes; all figures a second, once all is where it belongs.
pub fn by_holders(point: &mut Point, holders: usize, seconds: f64, _: u64) {
    measure(point, World::new(holders, holders), seconds, holders as f64);
}

/// Figures of a world over so many seconds.
pub fn measure(point: &mut Point, mut world: World, seconds: f64, processes: f64) {
    let memory = memory_mb().0;
    world.run_to(BEFORE);
    let (before, spent) = (world.counts, world.meter.spent());
    world.run_to(BEFORE + seconds * 1000.0);
    let rate = |of: fn(&Counts) -> u64| (of(&world.counts) - of(&before)) as f64 / seconds;
    let asks = rate(|counts| counts.asks);
    let cpu = (world.meter.spent() - spent) / seconds;
    point.set("held", world.held() as f64);
    point.set("asks_a_second", asks);
    point.set("renewals_a_second", rate(|counts| counts.renewed));
    point.set("syncs_a_second", rate(|counts| counts.syncs));
    point.set("voters_bytes_a_second", rate(|counts| counts.log_bytes));
    point.set("bytes_a_second", rate(|counts| counts.duty_bytes) / processes);
    point.set("leader_cpu_share", cpu * 100.0);
    point.set("leader_cpu_us_an_ask", if asks > 0.0 { cpu * 1e6 / asks } else { 0.0 });
    point.set("memory_kb", ((memory_mb().0 - memory) * 1024.0).max(0.0));
}
