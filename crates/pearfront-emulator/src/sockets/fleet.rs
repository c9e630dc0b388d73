//! The fleet side of a play on sockets: servers, their own nodes, discovery, and the troubles of these.

use super::discovery::Directory;
use super::processes::{Process, Signal};
use super::servers::Host;
use super::{
    AddressPlan, Clock, EndCondition, FRONT_NODE_DISCOVERY, NodeCommand, POLL_INTERVAL, SERVER, SIDECAR,
    SIDECAR_CLUSTER, SIDECAR_DISCOVERY, SideRecords, config_among, lateness,
};
use crate::active_troubles::{ActiveTroubles, State};
use crate::dedup::DedupGroups;
use crate::list::{Line, address};
use crate::platform;
use crate::record::{AttemptEnd, ListUpdate, NodeEnd, NodeLife, Records};
use crate::scenario::{Scenario, Trouble, What};
use crate::server::Server;
use hdrhistogram::Histogram;
use pearfront::interface::ServerState;
use rand::prelude::{Rng, SeedableRng};
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

pub struct Side {
    pub scenario: Rc<Scenario>,
    pub clock: Cell<Clock>,
    pub records: RefCell<Records>,
    pub late: RefCell<Histogram<u64>>,
    pub rng: RefCell<ChaCha8Rng>,
    pub hosts: RefCell<Vec<Rc<Host>>>,
    pub repeats: RefCell<DedupGroups>,
    pub directory: Directory,
    /// Answers that were lost on the way: their connections stay open without an answer.
    pub unanswered: RefCell<Vec<oneshot::Sender<AttemptEnd>>>,
    /// List updates sent to nodes of the first tier; their lives are recorded by the client side.
    pub node_host_updates: RefCell<Vec<(usize, ListUpdate)>>,
    troubles: RefCell<ChaCha8Rng>,
    command: NodeCommand,
    address_plan: AddressPlan,
    traces: Cell<u64>,
    seed: u64,
}

pub struct FleetRecords {
    pub seen: SideRecords,
    pub node_host_updates: Vec<(usize, ListUpdate)>,
}

/// Channels between the fleet's thread and the clients' thread.
pub struct Signals {
    pub ready: oneshot::Sender<Result<(), String>>,
    pub start_signal: oneshot::Receiver<Clock>,
    /// Signalled once the play has shown enough, if there is a condition for that.
    pub enough: Option<(EndCondition, oneshot::Sender<()>)>,
    pub stop_signal: oneshot::Receiver<()>,
}

/// Runs the fleet, from before the nodes of the first tier start until it is stopped.
pub async fn side(
    scenario: Rc<Scenario>,
    seed: u64,
    command: NodeCommand,
    address_plan: AddressPlan,
    signals: Signals,
) -> Result<FleetRecords, String> {
    let side = Side::new(scenario, seed, command, address_plan);
    let built = side.build().await;
    let failed = built.is_err();
    if signals.ready.send(built).is_err() || failed {
        return Err("the fleet did not start".into());
    }
    let clock = signals.start_signal.await.map_err(|_| "the nodes did not start".to_string())?;
    side.clock.set(clock);
    side.hosts.borrow().iter().for_each(|host| host.due_changed.notify_one());
    for place in 0..side.scenario.troubles.len() {
        spawn_local(side.clone().trouble(place));
    }
    if let Some((enough, shown)) = signals.enough {
        spawn_local(side.clone().watch(enough, shown));
    }
    // The receiver may have ended already.
    let _ = signals.stop_signal.await;
    Ok(side.close().await)
}

impl Side {
    fn new(scenario: Rc<Scenario>, seed: u64, command: NodeCommand, address_plan: AddressPlan) -> Rc<Self> {
        let stream = |number: u64| {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            rng.set_stream(number);
            RefCell::new(rng)
        };
        Rc::new(Self {
            clock: Cell::new(Clock::starting_in(std::time::Duration::from_secs(3600))),
            records: RefCell::default(),
            late: RefCell::new(lateness()),
            rng: stream(4),
            hosts: RefCell::default(),
            repeats: RefCell::default(),
            directory: Directory::default(),
            unanswered: RefCell::default(),
            node_host_updates: RefCell::default(),
            troubles: stream(3),
            command,
            address_plan,
            traces: Cell::new(2),
            seed,
            scenario,
        })
    }

    /// Ids of calls are even, those of client requests odd.
    pub fn next_trace(&self) -> u64 {
        self.traces.replace(self.traces.get() + 2)
    }

    pub fn note(&self, line: String) {
        let at = self.clock.get().now() / 1000.0;
        log::info!(at_s = at; "{line}");
        self.records.borrow_mut().script.push((at, line));
    }

    async fn build(self: &Rc<Self>) -> Result<(), String> {
        for (tier, place) in self.scenario.machines() {
            let id = format!("{}-{}", self.scenario.tiers[tier].name, place.number);
            let host = self.add_host(tier, (place.zone, place.cell, place.kind), id);
            host.state.set(State::Up);
            self.record_life(&host);
            self.listen(&host)?;
            self.directory.put(&line(&host, ServerState::Ready));
        }
        for number in 0..self.scenario.nodes.count {
            let at = self.address_plan.at(FRONT_NODE_DISCOVERY, number);
            self.serve_directory(at, 0, super::discovery::Asker::NodeHost(number))?;
        }
        let calling: Vec<Rc<Host>> =
            self.hosts.borrow().iter().filter(|host| self.calls(host)).cloned().collect();
        for host in &calling {
            let at = self.address_plan.at(SIDECAR_DISCOVERY, host.place);
            self.serve_directory(at, host.tier + 1, super::discovery::Asker::Sidecar(host.clone()))?;
            self.start_node(host)?;
        }
        for host in &calling {
            self.node_up(host).await?;
        }
        Ok(())
    }

    fn calls(&self, host: &Host) -> bool {
        host.tier + 1 < self.scenario.tiers.len()
    }

    fn add_host(self: &Rc<Self>, tier: usize, (zone, cell, kind): (u16, u16, usize), id: String) -> Rc<Host> {
        let scenario = &self.scenario;
        let behaviour = &scenario.tiers[tier].server;
        let server =
            Server::new(&scenario.kinds[kind], behaviour, &scenario.rules, f64::NEG_INFINITY, f64::MIN);
        let place = self.hosts.borrow().len();
        let host = Rc::new(Host {
            address: address(self.address_plan.at(SERVER, place)),
            tier,
            zone,
            cell,
            kind,
            id: RefCell::new(id),
            state: Cell::new(State::Down),
            draining: Cell::new(false),
            life: Cell::new(0),
            started: Cell::new(f64::NEG_INFINITY),
            server: RefCell::new(server),
            active_troubles: ActiveTroubles::default(),
            due_changed: Notify::new(),
            starts: watch::Sender::new(0),
            listening: RefCell::default(),
            node: RefCell::default(),
            node_life: Cell::new(0),
            client: RefCell::default(),
            held: RefCell::default(),
            place,
        });
        self.hosts.borrow_mut().push(host.clone());
        spawn_local(self.clone().drive(host.clone()));
        spawn_local(self.clone().pauses(host.clone()));
        host
    }

    async fn pauses(self: Rc<Self>, host: Rc<Host>) {
        let behaviour = &self.scenario.tiers[host.tier].server;
        let Ok(waits) = Exp::new(1.0 / (behaviour.pause_every_s * 1000.0)) else { return };
        if behaviour.pause_every_s <= 0.0 {
            return;
        }
        let mut at = 0.0;
        loop {
            at += waits.sample(&mut *self.rng.borrow_mut());
            while self.clock.get().now() < at {
                sleep_until(self.clock.get().at(at)).await;
            }
            self.catch_up(&host);
            host.server.borrow_mut().stall_until(at + behaviour.pause_ms);
            host.due_changed.notify_one();
        }
    }

    /// Starts a server's own node; `node_up` shows when it may be used.
    fn start_node(&self, host: &Rc<Host>) -> Result<(), String> {
        let scenario = &self.scenario;
        let tier = host.tier + 1;
        let settings =
            platform::settings(scenario, tier, usize::from(host.zone), scenario.tiers[host.tier].servers);
        let began = self.clock.get().began;
        let lines: Vec<Line> = self.directory.lines(tier);
        let known: Vec<_> = lines.iter().map(|line| line.json(scenario, began)).collect();
        let seed = self.seed ^ (host.place as u64) << 32 ^ *host.starts.borrow();
        let name = format!("by-{}", host.place);
        let listen = self.address_plan.at(SIDECAR, host.place);
        let discovery = self.address_plan.at(SIDECAR_DISCOVERY, host.place);
        let among = (self.address_plan, self.address_plan.at(SIDECAR_CLUSTER, host.place));
        let config = config_among(scenario, &settings, &known, seed, among);
        let process = Process::start(&self.command, &name, listen, discovery, &config)?;
        *host.node.borrow_mut() = Some(process);
        let mut records = self.records.borrow_mut();
        host.node_life.set(records.nodes.len());
        let from = self.clock.get().now();
        records.nodes.push(NodeLife { name, tier, from, ended: None });
        let node = host.node_life.get();
        for line in &lines {
            records.list_updates.push(ListUpdate {
                node,
                server: line.life,
                standing: line.standing,
                at: from,
            });
        }
        Ok(())
    }

    async fn node_up(&self, host: &Rc<Host>) -> Result<(), String> {
        let Some(mut process) = host.node.take() else { return Ok(()) };
        let up = process.up().await;
        *host.node.borrow_mut() = Some(process);
        let http_client =
            super::http_client::Client::new(self.scenario.clone(), self.address_plan.at(SIDECAR, host.place));
        *host.client.borrow_mut() = Some(http_client);
        up
    }

    async fn stop_node(&self, host: &Host) {
        if let Some(http_client) = host.client.take() {
            http_client.end();
        }
        let process = host.node.take();
        if let Some(mut process) = process {
            let now = self.clock.get().now();
            self.records.borrow_mut().nodes[host.node_life.get()].ended = Some((now, NodeEnd::Killed));
            process.kill().await;
        }
    }

    /// Signals once the script has ended and the records meet the condition of the play.
    async fn watch(self: Rc<Self>, enough: EndCondition, shown: oneshot::Sender<()>) {
        let ends = self.scenario.troubles.iter().map(|trouble| trouble.at_s + trouble.for_s);
        let over = ends.fold(0.0, f64::max) * 1000.0;
        sleep_until(self.clock.get().at(over)).await;
        while !enough(&self.records.borrow()) {
            sleep(POLL_INTERVAL).await;
        }
        // The other side may have ended already.
        let _ = shown.send(());
    }

    // ---- the script ----

    async fn trouble(self: Rc<Self>, place: usize) {
        let trouble = self.scenario.troubles[place].clone();
        sleep_until(self.clock.get().at(trouble.at_s * 1000.0)).await;
        match trouble.what {
            What::DiscoveryDown => self.directory.go_down(true),
            What::DiscoveryOld => self.directory.become_stale(true),
            What::Sighup => self.hup(),
            // Troubles of these nodes are applied by the client side.
            What::KillNodes | What::RestartNodes | What::HotNode => return,
            _ => self.apply_trouble(place, &trouble).await,
        }
        sleep_until(self.clock.get().at((trouble.at_s + trouble.for_s) * 1000.0)).await;
        match trouble.what {
            What::DiscoveryDown => self.directory.go_down(false),
            What::DiscoveryOld => self.directory.become_stale(false),
            What::Release | What::Drain | What::Sighup => {}
            _ => self.end_trouble(place, &trouble).await,
        }
        self.note(format!("{:?} is over", trouble.what));
    }

    fn hup(&self) {
        for host in self.hosts.borrow().iter() {
            if let Some(process) = host.node.borrow().as_ref() {
                process.signal(Signal::Hup);
            }
        }
    }

    fn targets(&self, trouble: &Trouble) -> Vec<Rc<Host>> {
        let scenario = &self.scenario;
        let tier = trouble.tier.as_ref().and_then(|name| scenario.tier(name));
        let zone = scenario.zone_of(trouble);
        let fits = |host: &&Rc<Host>| {
            tier.is_none_or(|tier| host.tier == tier)
                && zone.is_none_or(|zone| usize::from(host.zone) == zone)
                && trouble.kind.as_ref().is_none_or(|kind| scenario.kinds[host.kind].name == *kind)
                && host.is_up()
                && !host.draining.get()
        };
        let mut hosts: Vec<Rc<Host>> = self.hosts.borrow().iter().filter(fits).cloned().collect();
        hosts.shuffle(&mut *self.troubles.borrow_mut());
        hosts.truncate(trouble.how_many(hosts.len()));
        hosts
    }

    async fn apply_trouble(self: &Rc<Self>, place: usize, trouble: &Trouble) {
        let hosts = self.targets(trouble);
        self.note(format!("{:?} begins at {} servers", trouble.what, hosts.len()));
        if trouble.what == What::Release {
            spawn_local(self.clone().release(trouble.clone(), hosts));
            return;
        }
        let now = self.clock.get().now();
        for host in hosts {
            self.catch_up(&host);
            host.active_troubles.apply_trouble(place, trouble.what, trouble.by());
            match trouble.what {
                What::Silent => {
                    host.state.set(State::Silent);
                    self.announce(&host, ServerState::Gone, self.scenario.discovery.silent_s * 1000.0);
                    self.stop_node(&host).await;
                }
                What::Stall => host.server.borrow_mut().stall_until(now + trouble.for_s * 1000.0),
                What::Drain => self.drain(&host),
                _ => {}
            }
            host.server.borrow_mut().speed_factor = host.active_troubles.speed_factor();
            host.due_changed.notify_one();
        }
    }

    async fn end_trouble(self: &Rc<Self>, place: usize, trouble: &Trouble) {
        let hosts: Vec<Rc<Host>> = self.hosts.borrow().iter().cloned().collect();
        for host in hosts.into_iter().filter(|host| host.active_troubles.end_trouble(place)) {
            self.catch_up(&host);
            host.server.borrow_mut().speed_factor = host.active_troubles.speed_factor();
            host.due_changed.notify_one();
            if trouble.what == What::Silent && host.state.get() == State::Silent {
                self.lose_all(&host);
                if trouble.new_ids {
                    self.announce(&host, ServerState::Gone, 0.0);
                    let id = format!("{}'", host.id.borrow());
                    *host.id.borrow_mut() = id;
                }
                self.start_host(&host).await;
            }
        }
    }

    /// Starts a new process at the host's address, cold and without any state.
    async fn start_host(self: &Rc<Self>, host: &Rc<Host>) {
        let now = self.clock.get().now();
        let scenario = &self.scenario;
        let behaviour = &scenario.tiers[host.tier].server;
        host.started.set(now);
        host.draining.set(false);
        let mut server = Server::new(&scenario.kinds[host.kind], behaviour, &scenario.rules, now, now);
        server.speed_factor = host.active_troubles.speed_factor();
        server.mean_work = scenario.mean_work_at(host.tier);
        *host.server.borrow_mut() = server;
        self.record_life(host);
        let was_down = host.state.replace(State::Up) == State::Down;
        if was_down && let Err(problem) = self.listen(host) {
            log::warn!("{problem}");
        }
        if self.calls(host) {
            let (side, of) = (self.clone(), host.clone());
            let started = self.start_node(host);
            spawn_local(async move {
                if let Err(problem) = started.and(side.node_up(&of).await) {
                    log::warn!("{problem}");
                }
                side.announce(&of, ServerState::Ready, 0.0);
            });
        } else {
            self.announce(host, ServerState::Ready, 0.0);
        }
        host.due_changed.notify_one();
    }

    fn drain(self: &Rc<Self>, host: &Rc<Host>) {
        host.draining.set(true);
        self.announce(host, ServerState::Draining, 0.0);
        let ends = self.clock.get().now() + self.scenario.drains_for();
        let (side, host) = (self.clone(), host.clone());
        spawn_local(async move {
            sleep_until(side.clock.get().at(ends)).await;
            side.catch_up(&host);
            host.state.set(State::Down);
            if let Some(listening) = host.listening.take() {
                listening.abort();
            }
            side.lose_all(&host);
            side.stop_node(&host).await;
            side.announce(&host, ServerState::Gone, 0.0);
        });
    }

    async fn release(self: Rc<Self>, trouble: Trouble, hosts: Vec<Rc<Host>>) {
        let at_once = trouble.by().max(1.0) as usize;
        for (step, hosts) in hosts.chunks(at_once).enumerate() {
            let at = (trouble.at_s + step as f64 * trouble.for_s) * 1000.0;
            sleep_until(self.clock.get().at(at)).await;
            for host in hosts.iter().filter(|host| host.is_up() && !host.draining.get()) {
                let id = format!("{}+", host.id.borrow());
                let new = self.add_host(host.tier, (host.zone, host.cell, host.kind), id);
                if self.calls(&new) {
                    let at = self.address_plan.at(SIDECAR_DISCOVERY, new.place);
                    let asker = super::discovery::Asker::Sidecar(new.clone());
                    if let Err(problem) = self.serve_directory(at, new.tier + 1, asker) {
                        log::warn!("{problem}");
                    }
                }
                self.start_host(&new).await;
                self.drain(host);
            }
        }
    }

    /// A server's state has changed; discovery publishes it after a delay.
    fn announce(self: &Rc<Self>, host: &Host, standing: ServerState, after: f64) {
        let (soonest, latest) = self.scenario.discovery.late_ms;
        let late = soonest + (latest - soonest) * self.rng.borrow_mut().random::<f64>();
        let at = self.clock.get().now() + after + late;
        let line = line(host, standing);
        let side = self.clone();
        spawn_local(async move {
            sleep_until(side.clock.get().at(at)).await;
            side.directory.publish(line);
        });
    }

    async fn close(self: Rc<Self>) -> FleetRecords {
        let hosts: Vec<Rc<Host>> = self.hosts.borrow().iter().cloned().collect();
        for host in hosts {
            let process = host.node.take();
            if let Some(mut process) = process {
                process.kill().await;
            }
        }
        FleetRecords {
            seen: SideRecords { records: self.records.take(), late: self.late.borrow().clone() },
            node_host_updates: self.node_host_updates.take(),
        }
    }
}

fn line(host: &Host, standing: ServerState) -> Line {
    Line {
        id: host.id.borrow().clone(),
        address: host.address,
        tier: host.tier,
        zone: host.zone,
        cell: host.cell,
        make: host.kind,
        standing,
        started: host.started.get(),
        life: host.life.get(),
    }
}
