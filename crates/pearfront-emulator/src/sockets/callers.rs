//! The callers' side of a play on sockets: the nodes of the first tier, the front that deals jobs out among them, and
//! one task for each ask.

use super::client::{Asked, Client, Heard};
use super::processes::{Process, Signal, says_up};
use super::{Clock, NodeCommand, Places, SEAT, SEAT_CLUSTER, SEAT_DISCOVERY, Seen, config_among, lateness};
use crate::asks::{Asks, Drawn, weighted};
use crate::list::{Line, address};
use crate::platform;
use crate::record::{Answer, Answered, Ask, Job, NodeEnd, NodeLife, Records};
use crate::scenario::{Scenario, Trouble, What};
use hdrhistogram::Histogram;
use pearfront::interface::ServerState;
use rand::prelude::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

/// How long callers still come to a node after SIGTERM.
const COMES_ON: Duration = Duration::from_millis(300);
/// When a node that was told to end is killed, after its jobs' longest limit (3 s at most).
const KILLED_AFTER: Duration = Duration::from_millis(700);
const LIMIT_MOST: f64 = 3000.0;
/// Time between two looks whether a node is up again.
const LOOK: Duration = Duration::from_millis(50);

struct Seat {
    number: usize,
    zone: usize,
    client: RefCell<Rc<Client>>,
    process: RefCell<Option<Process>>,
    weight: Cell<f64>,
    dealt: Cell<bool>,
    life: Cell<usize>,
    starts: Cell<u64>,
}

pub struct Front {
    scenario: Rc<Scenario>,
    seed: u64,
    command: NodeCommand,
    places: Places,
    clock: Cell<Option<Clock>>,
    seats: RefCell<Vec<Rc<Seat>>>,
    records: RefCell<Records>,
    late: RefCell<Histogram<u64>>,
    chance: RefCell<ChaCha8Rng>,
    open: Cell<usize>,
    /// Troubles that still act on nodes here: one told to end is started again only when it has.
    striking: Cell<usize>,
    over: Notify,
    traces: Cell<u64>,
}

impl Front {
    /// Starts the nodes and waits until all are up.
    pub async fn start(
        scenario: Rc<Scenario>,
        seed: u64,
        command: &NodeCommand,
        places: Places,
    ) -> Result<Rc<Self>, String> {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        chance.set_stream(6);
        let front = Rc::new(Self {
            seed,
            command: command.clone(),
            places,
            clock: Cell::new(None),
            seats: RefCell::default(),
            records: RefCell::default(),
            late: RefCell::new(lateness()),
            chance: RefCell::new(chance),
            open: Cell::new(0),
            striking: Cell::new(0),
            over: Notify::new(),
            traces: Cell::new(1),
            scenario: scenario.clone(),
        });
        for number in 0..scenario.nodes.count {
            let seat = Rc::new(Seat {
                number,
                zone: number % scenario.zones.len(),
                client: RefCell::new(Client::new(scenario.clone(), places.at(SEAT, number))),
                process: RefCell::default(),
                weight: Cell::new(1.0),
                dealt: Cell::new(true),
                life: Cell::new(0),
                starts: Cell::new(0),
            });
            front.start_node(&seat)?;
            front.seats.borrow_mut().push(seat);
        }
        let seats = front.seats.borrow().clone();
        for seat in seats {
            let process = seat.process.take();
            if let Some(mut process) = process {
                let up = process.up().await;
                *seat.process.borrow_mut() = Some(process);
                up?;
            }
        }
        Ok(front)
    }

    fn now(&self) -> f64 {
        self.clock.get().map_or(f64::NEG_INFINITY, |clock| clock.now())
    }

    /// A node's file knows the fleet as it was at the start of the play, however often it is started.
    fn start_node(&self, seat: &Seat) -> Result<(), String> {
        let scenario = &self.scenario;
        let settings = platform::settings(scenario, 0, seat.zone, scenario.nodes.count);
        let lines = self.first_list();
        let known: Vec<_> = lines.iter().map(|line| line.json(scenario, 0.0)).collect();
        let seed = self.seed ^ 0x5ea7 ^ (seat.number as u64) << 32 ^ seat.starts.get() << 16;
        let name = format!("n{}", seat.number);
        let (at, discovery) =
            (self.places.at(SEAT, seat.number), self.places.at(SEAT_DISCOVERY, seat.number));
        let among = (self.places, self.places.at(SEAT_CLUSTER, seat.number));
        let config = config_among(scenario, &settings, &known, seed, among);
        *seat.process.borrow_mut() = Some(Process::start(&self.command, &name, at, discovery, &config)?);
        seat.starts.set(seat.starts.get() + 1);
        let mut records = self.records.borrow_mut();
        seat.life.set(records.nodes.len());
        let from = self.now();
        records.nodes.push(NodeLife { name, tier: 0, from, ended: None });
        let node = seat.life.get();
        // Lives of servers are numbered in the order in which they were first started.
        for line in &lines {
            let (server, standing) = (line.life, ServerState::Ready);
            records.told.push(crate::record::Told { node, server, standing, at: from });
        }
        Ok(())
    }

    fn first_list(&self) -> Vec<Line> {
        let machines = self.scenario.machines().enumerate().filter(|(_, (tier, _))| *tier == 0);
        let line = |(place, (tier, machine)): (usize, (usize, crate::scenario::Machine))| Line {
            id: format!("{}-{}", self.scenario.tiers[tier].name, machine.number),
            address: address(self.places.at(super::SERVER, place)),
            tier,
            zone: machine.zone,
            cell: machine.cell,
            make: machine.kind,
            standing: ServerState::Ready,
            started: f64::NEG_INFINITY,
            life: place,
        };
        machines.map(line).collect()
    }

    /// Plays all asks, or those until `shown` hears that the rest isn't needed, and waits until each is over.
    pub async fn play(
        self: Rc<Self>,
        clock: Clock,
        mut shown: oneshot::Receiver<()>,
        progress: &mut dyn FnMut(f64),
    ) -> Seen {
        self.clock.set(Some(clock));
        for trouble in self.scenario.troubles.clone() {
            spawn_local(self.clone().trouble(trouble));
        }
        let length = self.scenario.length();
        let (mut told, mut enough) = (0.0, false);
        for ask in Asks::new(self.scenario.clone(), self.seed) {
            sleep_until(clock.at(ask.at)).await;
            enough |= shown.try_recv().is_ok();
            if enough && self.striking.get() == 0 {
                break;
            }
            let late = (clock.now() - ask.at).max(0.0) * 1000.0;
            self.late.borrow_mut().saturating_record(late as u64);
            if ask.at - told >= 1000.0 {
                told = ask.at;
                progress(ask.at / length);
            }
            self.open.set(self.open.get() + 1);
            spawn_local(self.clone().ask(ask));
        }
        while self.open.get() > 0 {
            self.over.notified().await;
        }
        let seats = self.seats.borrow().clone();
        for seat in seats {
            let process = seat.process.take();
            if let Some(mut process) = process {
                process.kill().await;
            }
        }
        Seen { records: self.records.take(), late: self.late.borrow().clone() }
    }

    async fn ask(self: Rc<Self>, ask: Drawn) {
        let place = {
            let mut records = self.records.borrow_mut();
            records.asks.push(Ask { at: ask.at, profile: ask.profile, customer: ask.customer });
            records.asks.len() - 1
        };
        let mut tries = 0;
        loop {
            tries += 1;
            let (wait, harmless) = match self.try_once(&ask, place).await {
                Some(Heard::Answer { answer: Answer::Served, .. }) | None => break,
                Some(Heard::Answer { answer, wait, .. }) => (wait, answer == Answer::Rejected),
                Some(Heard::Refused | Heard::Cut) => (0.0, false),
            };
            let next = ask.next_try(&self.scenario, self.now(), tries, wait, harmless);
            let (Some(at), Some(clock)) = (next, self.clock.get()) else { break };
            sleep_until(clock.at(at)).await;
        }
        self.open.set(self.open.get() - 1);
        self.over.notify_one();
    }

    /// One try; nothing if its caller left.
    async fn try_once(&self, ask: &Drawn, place: usize) -> Option<Heard> {
        let clock = self.clock.get()?;
        let Some(seat) = self.deal(ask.zone) else { return Some(Heard::Refused) };
        let trace = self.traces.replace(self.traces.get() + 2);
        let asked = Asked {
            profile: ask.profile,
            customer: ask.customer,
            key: ask.key,
            work: ask.work,
            fan: 1.0,
            root: trace,
        };
        let sent = clock.now();
        let job = Cell::new(None);
        let accepted = || {
            if job.get().is_none() {
                let mut records = self.records.borrow_mut();
                job.set(Some(records.jobs.len()));
                records.jobs.push(Job {
                    trace,
                    root: trace,
                    ask: Some(place),
                    node: seat.life.get(),
                    tier: 0,
                    profile: ask.profile,
                    key: ask.key,
                    sent,
                    limit: ask.limit,
                    left: None,
                    answers: Vec::new(),
                    cut: false,
                });
            }
        };
        let client = seat.client.borrow().clone();
        let until = clock.at(ask.leaves(&self.scenario, sent));
        let asking = client.ask(trace, &asked, ask.limit - sent, accepted);
        let heard = tokio::time::timeout_at(until, asking).await;
        let at = clock.now();
        if let Some(job) = job.get() {
            let job = &mut self.records.borrow_mut().jobs[job];
            match heard {
                Ok(Heard::Answer { answer, body, .. }) => job.answers.push(Answered { at, answer, body }),
                Ok(Heard::Cut) => job.cut = true,
                // Written to a kept connection just as that was closed, and then to nobody: it was never taken.
                Ok(Heard::Refused) | Err(_) => job.left = Some(at),
            }
        }
        heard.ok()
    }

    /// The nodes of the caller's zone that the front knows to be up, else any.
    fn deal(&self, zone: usize) -> Option<Rc<Seat>> {
        let seats = self.seats.borrow();
        let at = |home: bool| {
            let fits = |seat: &&Rc<Seat>| seat.dealt.get() && (!home || seat.zone == zone);
            seats.iter().filter(fits).cloned().collect::<Vec<_>>()
        };
        let home = at(true);
        let seats = if home.is_empty() { at(false) } else { home };
        if seats.is_empty() {
            return None;
        }
        let weights = seats.iter().map(|seat| seat.weight.get());
        let place = weighted(&mut self.chance.borrow_mut(), weights);
        Some(seats[place].clone())
    }

    // ---- the script ----

    fn note(&self, line: String) {
        let at = self.now() / 1000.0;
        log::info!(at_s = at; "{line}");
        self.records.borrow_mut().script.push((at, line));
    }

    async fn trouble(self: Rc<Self>, trouble: Trouble) {
        let Some(clock) = self.clock.get() else { return };
        sleep_until(clock.at(trouble.at_s * 1000.0)).await;
        let nodes =
            matches!(trouble.what, What::KillNodes | What::RestartNodes | What::HotNode | What::Sighup);
        if !nodes && !trouble.with_nodes {
            return;
        }
        let zone = self.scenario.zone_of(&trouble);
        let fits = |seat: &&Rc<Seat>| zone.is_none_or(|zone| seat.zone == zone);
        let mut seats: Vec<Rc<Seat>> = self.seats.borrow().iter().filter(fits).cloned().collect();
        if nodes {
            seats.shuffle(&mut *self.chance.borrow_mut());
            let one = trouble.what == What::HotNode && trouble.part.is_none();
            seats.truncate(trouble.how_many(if one { 1 } else { seats.len() }));
        }
        let names: Vec<String> = seats.iter().map(|seat| format!("n{}", seat.number)).collect();
        self.note(format!("{:?} strikes nodes {}", trouble.what, names.join(" ")));
        for seat in seats {
            self.striking.set(self.striking.get() + 1);
            let (front, trouble) = (self.clone(), trouble.clone());
            spawn_local(async move {
                front.clone().strike(trouble, seat).await;
                front.striking.set(front.striking.get() - 1);
            });
        }
    }

    async fn strike(self: Rc<Self>, trouble: Trouble, seat: Rc<Seat>) {
        let lasts = Duration::from_secs_f64(trouble.for_s);
        match trouble.what {
            What::HotNode => {
                seat.weight.set(trouble.by());
                sleep(lasts).await;
                seat.weight.set(1.0);
            }
            What::Sighup => {
                if let Some(process) = seat.process.borrow().as_ref() {
                    process.signal(Signal::Hup);
                }
            }
            What::RestartNodes => {
                self.terminate(&seat).await;
                sleep(lasts).await;
                self.start_again(&seat).await;
            }
            // Killed alone, or with its zone.
            _ => {
                let process = seat.process.take();
                if let Some(mut process) = process {
                    self.ended(&seat, NodeEnd::Killed);
                    process.kill().await;
                }
                sleep(Duration::from_secs_f64(self.scenario.callers.notice_s).min(lasts)).await;
                seat.dealt.set(false);
                sleep(lasts.saturating_sub(Duration::from_secs_f64(self.scenario.callers.notice_s))).await;
                self.start_again(&seat).await;
            }
        }
    }

    fn ended(&self, seat: &Seat, how: NodeEnd) {
        self.records.borrow_mut().nodes[seat.life.get()].ended = Some((self.now(), how));
    }

    async fn terminate(&self, seat: &Seat) {
        let process = seat.process.take();
        let Some(mut process) = process else { return };
        process.signal(Signal::Term);
        sleep(COMES_ON).await;
        seat.dealt.set(false);
        let longest =
            self.scenario.profiles.iter().fold(0.0, |most: f64, profile| most.max(profile.deadline_ms));
        let patience = Duration::from_secs_f64(longest.min(LIMIT_MOST) / 1000.0) + KILLED_AFTER;
        if tokio::time::timeout(patience, process.ended()).await.is_err() {
            process.kill().await;
        }
        self.ended(seat, NodeEnd::Terminated);
        seat.client.borrow().end();
    }

    async fn start_again(&self, seat: &Rc<Seat>) {
        if let Err(problem) = self.start_node(seat) {
            return log::warn!("{problem}");
        }
        let address = self.places.at(SEAT, seat.number);
        *seat.client.borrow_mut() = Client::new(self.scenario.clone(), address);
        while !says_up(address).await {
            sleep(LOOK).await;
        }
        seat.dealt.set(true);
    }
}
