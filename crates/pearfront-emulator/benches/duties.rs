//! What a thousand duties cost that three hundred processes hold and want: renewals, syncs, bytes, and the processor's time
//! of whoever leads. Three voters and all processes in one thread, the network at once; `make bench-duties`.

use pearfront_consensus::{Kept, Message, Out, Times, Voter};
use pearfront_duties::{Agent, AgentOut, Ask, Desk, DeskOut, Duties, Standing, Told, Want, Who, encode};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

const DUTIES: usize = 1000;
const PROCESSES: usize = 300;
/// Processes that want each duty.
const WANT: usize = 3;
const LEASE: f64 = 10_000.0;
/// Simulated time before the figures, in which duties go to the best placed, and that they are of, ms.
const BEFORE: f64 = 80_000.0;
const LENGTH: f64 = 120_000.0;

enum Word {
    Log(Message),
    Ask(Ask),
    Told(Told),
}

struct Seat {
    voter: Voter,
    desk: Desk,
    duties: Duties,
}

#[derive(Default, Clone)]
struct Counts {
    asks: u64,
    renewed: u64,
    syncs: u64,
    log_bytes: u64,
    duty_bytes: u64,
    spent: Duration,
}

struct World {
    seats: Vec<Seat>,
    agents: Vec<Agent>,
    words: VecDeque<(usize, Word)>,
    now: f64,
    counts: Counts,
}

impl World {
    fn new() -> Self {
        let names: Vec<String> = (0..3).map(|place| format!("v{place}")).collect();
        let seat = |place: usize| Seat {
            voter: Voter::new(&names[place], &names, Kept::default(), Times::default(), place as u64, 0.0),
            desk: Desk::new(&names[place], pearfront_duties::Times::default()),
            duties: Duties::default(),
        };
        let agent = |place: usize| {
            let me = Who { name: format!("n{place}"), life: place as u64 };
            Agent::new(me, &names, pearfront_duties::Times::default())
        };
        let (seats, agents) = ((0..3).map(seat).collect(), (0..PROCESSES).map(agent).collect());
        let mut world = Self { seats, agents, words: VecDeque::new(), now: 0.0, counts: Counts::default() };
        for duty in 0..DUTIES {
            for next in 0..WANT {
                let standing = Standing { zone: next as u8, load: 0, wish: 0 };
                let duty_name = format!("duty{duty}");
                let want =
                    Want { duty: duty_name, most: 1, lease: LEASE, outlives: false, once_per: 0.0, standing };
                // Not all at one instant.
                world.agents[(duty + next) % PROCESSES].want(want, (duty % 97) as f64);
            }
        }
        world
    }

    /// One voter's turn: what it wants done is done, and the time is the leader's if it leads.
    fn turn(&mut self, place: usize, call: impl FnOnce(&mut Seat, f64)) {
        let (now, begin) = (self.now, Instant::now());
        call(&mut self.seats[place], now);
        let mut sent = Vec::new();
        let mut quiet = false;
        while !quiet {
            let seat = &mut self.seats[place];
            let out = seat.voter.take_out();
            quiet = out.is_empty();
            for out in out {
                match out {
                    Out::Store { number, .. } => {
                        self.counts.syncs += 1;
                        seat.voter.stored(number, now);
                    }
                    Out::Send(message) => sent.push(Word::Log(message)),
                    Out::Commit(entry) => {
                        let changes = seat.duties.apply(&entry.bytes);
                        seat.desk.applied(changes, &seat.duties, now);
                    }
                    Out::Read { read, .. } => seat.desk.read(read, true, &seat.duties, now),
                    Out::NoRead { read } => seat.desk.read(read, false, &seat.duties, now),
                    Out::Restore { .. } => {}
                }
            }
            let term = seat.voter.settled().then(|| seat.voter.term());
            seat.desk.leads(term, &seat.duties, now);
            for out in seat.desk.take_out() {
                quiet = false;
                match out {
                    DeskOut::Propose(bytes) => drop(seat.voter.propose(bytes, now)),
                    DeskOut::Read(read) => seat.voter.read(read, now),
                    DeskOut::Tell(told) => sent.push(Word::Told(told)),
                }
            }
        }
        if self.seats[place].desk.leading() {
            self.counts.spent += begin.elapsed();
        }
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
                self.counts.renewed += ask.holds.len() as u64;
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
        for out in agent.take_out() {
            match out {
                AgentOut::Send { to, ask } => {
                    let voter = to[1..].parse().unwrap_or(0);
                    self.send(Word::Ask(ask.clone()));
                    self.words.push_back((voter, Word::Ask(ask)));
                }
                AgentOut::Leave { duty, .. } => self.agents[place].give_up(&duty, false, self.now),
                _ => {}
            }
        }
    }

    fn run_to(&mut self, end: f64) {
        while self.now < end {
            while let Some((to, word)) = self.words.pop_front() {
                match word {
                    Word::Log(message) => self.turn(to, |seat, now| seat.voter.heard(message, now)),
                    Word::Ask(ask) => {
                        self.turn(to, |seat, now| seat.desk.asked(ask, seat.voter.leader(), now))
                    }
                    Word::Told(told) => self.agent(to, |agent, now| agent.heard(told, now)),
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
}

fn main() {
    let mut world = World::new();
    world.run_to(BEFORE);
    let held: usize = world.agents.iter().map(|agent| agent.held(world.now).len()).sum();
    let before = world.counts.clone();
    world.run_to(BEFORE + LENGTH);
    let (after, seconds) = (world.counts, LENGTH / 1000.0);
    let rate = |now: u64, then: u64| (now - then) as f64 / seconds;
    println!("duties={DUTIES} processes={PROCESSES} lease_ms={LEASE} held={held}");
    println!(
        "a second: asks={:.1} renewals={:.1} syncs={:.2} bytes among voters={:.0}, of each process={:.0}",
        rate(after.asks, before.asks),
        rate(after.renewed, before.renewed),
        rate(after.syncs, before.syncs),
        rate(after.log_bytes, before.log_bytes),
        rate(after.duty_bytes, before.duty_bytes) / PROCESSES as f64
    );
    let spent = (after.spent - before.spent).as_secs_f64();
    println!(
        "the leader's core: {:.2} %, {:.1} us an ask",
        100.0 * spent / seconds,
        1e6 * spent / (after.asks - before.asks) as f64
    );
}
