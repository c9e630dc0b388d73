//! The client side of a play on sockets: the nodes of the first tier, the front that distributes requests over
//! them, and one task per ask.

use super::http_client::{Client, Reply, RequestData};
use super::processes::{Process, Signal, reports_up};
use super::{
    AddressPlan, Clock, FRONT_NODE, FRONT_NODE_CLUSTER, FRONT_NODE_DISCOVERY, NodeCommand, SideRecords,
    config_among, lateness,
};
use crate::list::{Line, address};
use crate::platform;
use crate::record::{Answer, Answered, Ask, NodeEnd, NodeLife, Records, RequestRecord};
use crate::scenario::{Scenario, Trouble, What};
use crate::workload::{PlannedAsk, Workload, weighted};
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

/// How long clients still send to a node after SIGTERM.
const SEND_AFTER_SIGTERM: Duration = Duration::from_millis(300);
/// Margin after the longest deadline of its requests (3 s at most) after which a node that got SIGTERM is
/// killed.
const KILL_MARGIN: Duration = Duration::from_millis(700);
const MAX_DEADLINE_MS: f64 = 3000.0;
/// Poll interval while waiting for a node to be up again.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

struct NodeHost {
    number: usize,
    zone: usize,
    http_client: RefCell<Rc<Client>>,
    process: RefCell<Option<Process>>,
    weight: Cell<f64>,
    in_rotation: Cell<bool>,
    life: Cell<usize>,
    starts: Cell<u64>,
}

pub struct Front {
    scenario: Rc<Scenario>,
    seed: u64,
    command: NodeCommand,
    address_plan: AddressPlan,
    clock: Cell<Option<Clock>>,
    node_hosts: RefCell<Vec<Rc<NodeHost>>>,
    records: RefCell<Records>,
    late: RefCell<Histogram<u64>>,
    rng: RefCell<ChaCha8Rng>,
    open: Cell<usize>,
    /// Number of troubles still acting on nodes; a node that got SIGTERM is started again only after it has
    /// ended.
    active_node_troubles: Cell<usize>,
    over: Notify,
    traces: Cell<u64>,
}

impl Front {
    /// Starts the nodes and waits until all are up.
    pub async fn start(
        scenario: Rc<Scenario>,
        seed: u64,
        command: &NodeCommand,
        address_plan: AddressPlan,
    ) -> Result<Rc<Self>, String> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        rng.set_stream(6);
        let front = Rc::new(Self {
            seed,
            command: command.clone(),
            address_plan,
            clock: Cell::new(None),
            node_hosts: RefCell::default(),
            records: RefCell::default(),
            late: RefCell::new(lateness()),
            rng: RefCell::new(rng),
            open: Cell::new(0),
            active_node_troubles: Cell::new(0),
            over: Notify::new(),
            traces: Cell::new(1),
            scenario: scenario.clone(),
        });
        for number in 0..scenario.nodes.count {
            let node_host = Rc::new(NodeHost {
                number,
                zone: number % scenario.zones.len(),
                http_client: RefCell::new(Client::new(scenario.clone(), address_plan.at(FRONT_NODE, number))),
                process: RefCell::default(),
                weight: Cell::new(1.0),
                in_rotation: Cell::new(true),
                life: Cell::new(0),
                starts: Cell::new(0),
            });
            front.start_node(&node_host)?;
            front.node_hosts.borrow_mut().push(node_host);
        }
        let node_hosts = front.node_hosts.borrow().clone();
        for node_host in node_hosts {
            let process = node_host.process.take();
            if let Some(mut process) = process {
                let up = process.up().await;
                *node_host.process.borrow_mut() = Some(process);
                up?;
            }
        }
        Ok(front)
    }

    fn now(&self) -> f64 {
        self.clock.get().map_or(f64::NEG_INFINITY, |clock| clock.now())
    }

    /// A node's configuration file lists the fleet as at the start of the play, also on later starts.
    fn start_node(&self, node_host: &NodeHost) -> Result<(), String> {
        let scenario = &self.scenario;
        let settings = platform::settings(scenario, 0, node_host.zone, scenario.nodes.count);
        let lines = self.first_list();
        let known: Vec<_> = lines.iter().map(|line| line.json(scenario, 0.0)).collect();
        let seed = self.seed ^ 0x5ea7 ^ (node_host.number as u64) << 32 ^ node_host.starts.get() << 16;
        let name = format!("n{}", node_host.number);
        let (at, discovery) = (
            self.address_plan.at(FRONT_NODE, node_host.number),
            self.address_plan.at(FRONT_NODE_DISCOVERY, node_host.number),
        );
        let among = (self.address_plan, self.address_plan.at(FRONT_NODE_CLUSTER, node_host.number));
        let config = config_among(scenario, &settings, &known, seed, among);
        *node_host.process.borrow_mut() = Some(Process::start(&self.command, &name, at, discovery, &config)?);
        node_host.starts.set(node_host.starts.get() + 1);
        let mut records = self.records.borrow_mut();
        node_host.life.set(records.nodes.len());
        let from = self.now();
        records.nodes.push(NodeLife { name, tier: 0, from, ended: None });
        let node = node_host.life.get();
        // Server lives are numbered in the order in which they were first started.
        for line in &lines {
            let (server, standing) = (line.life, ServerState::Ready);
            records.list_updates.push(crate::record::ListUpdate { node, server, standing, at: from });
        }
        Ok(())
    }

    fn first_list(&self) -> Vec<Line> {
        let machines = self.scenario.machines().enumerate().filter(|(_, (tier, _))| *tier == 0);
        let line = |(place, (tier, machine)): (usize, (usize, crate::scenario::Machine))| Line {
            id: format!("{}-{}", self.scenario.tiers[tier].name, machine.number),
            address: address(self.address_plan.at(super::SERVER, place)),
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

    /// Plays all asks, or only those until `shown` signals that the rest is not needed, and waits until each
    /// has ended.
    pub async fn play(
        self: Rc<Self>,
        clock: Clock,
        mut shown: oneshot::Receiver<()>,
        progress: &mut dyn FnMut(f64),
    ) -> SideRecords {
        self.clock.set(Some(clock));
        for trouble in self.scenario.troubles.clone() {
            spawn_local(self.clone().trouble(trouble));
        }
        let length = self.scenario.length();
        let (mut last_progress, mut enough) = (0.0, false);
        for ask in Workload::new(self.scenario.clone(), self.seed) {
            sleep_until(clock.at(ask.at)).await;
            enough |= shown.try_recv().is_ok();
            if enough && self.active_node_troubles.get() == 0 {
                break;
            }
            let late = (clock.now() - ask.at).max(0.0) * 1000.0;
            self.late.borrow_mut().saturating_record(late as u64);
            if ask.at - last_progress >= 1000.0 {
                last_progress = ask.at;
                progress(ask.at / length);
            }
            self.open.set(self.open.get() + 1);
            spawn_local(self.clone().ask(ask));
        }
        while self.open.get() > 0 {
            self.over.notified().await;
        }
        let node_hosts = self.node_hosts.borrow().clone();
        for node_host in node_hosts {
            let process = node_host.process.take();
            if let Some(mut process) = process {
                process.kill().await;
            }
        }
        SideRecords { records: self.records.take(), late: self.late.borrow().clone() }
    }

    async fn ask(self: Rc<Self>, ask: PlannedAsk) {
        let place = {
            let mut records = self.records.borrow_mut();
            records.asks.push(Ask { at: ask.at, profile: ask.profile, customer: ask.customer });
            records.asks.len() - 1
        };
        let mut tries = 0;
        loop {
            tries += 1;
            let (wait, harmless) = match self.try_once(&ask, place).await {
                Some(Reply::Answer { answer: Answer::Served, .. }) | None => break,
                Some(Reply::Answer { answer, wait, .. }) => (wait, answer == Answer::Rejected),
                Some(Reply::Refused | Reply::Cut) => (0.0, false),
            };
            let next = ask.next_try(&self.scenario, self.now(), tries, wait, harmless);
            let (Some(at), Some(clock)) = (next, self.clock.get()) else { break };
            sleep_until(clock.at(at)).await;
        }
        self.open.set(self.open.get() - 1);
        self.over.notify_one();
    }

    /// Makes one try; returns none if its client left.
    async fn try_once(&self, ask: &PlannedAsk, place: usize) -> Option<Reply> {
        let clock = self.clock.get()?;
        let Some(node_host) = self.deal(ask.zone) else { return Some(Reply::Refused) };
        let trace = self.traces.replace(self.traces.get() + 2);
        let asked = RequestData {
            profile: ask.profile,
            customer: ask.customer,
            key: ask.key,
            work: ask.work,
            fan: 1.0,
            root: trace,
        };
        let sent = clock.now();
        let request = Cell::new(None);
        let accepted = || {
            if request.get().is_none() {
                let mut records = self.records.borrow_mut();
                request.set(Some(records.requests.len()));
                records.requests.push(RequestRecord {
                    trace,
                    root: trace,
                    ask: Some(place),
                    node: node_host.life.get(),
                    tier: 0,
                    profile: ask.profile,
                    key: ask.key,
                    sent,
                    deadline: ask.deadline,
                    left: None,
                    answers: Vec::new(),
                    cut: false,
                });
            }
        };
        let http_client = node_host.http_client.borrow().clone();
        let until = clock.at(ask.leaves(&self.scenario, sent));
        let asking = http_client.ask(trace, &asked, ask.deadline - sent, accepted);
        let heard = tokio::time::timeout_at(until, asking).await;
        let at = clock.now();
        if let Some(request) = request.get() {
            let request = &mut self.records.borrow_mut().requests[request];
            match heard {
                Ok(Reply::Answer { answer, body, .. }) => request.answers.push(Answered { at, answer, body }),
                Ok(Reply::Cut) => request.cut = true,
                // Written to a reused connection just as it was closed, and then refused on a new one: the
                // request was never accepted.
                Ok(Reply::Refused) | Err(_) => request.left = Some(at),
            }
        }
        heard.ok()
    }

    /// Chooses among the nodes of the client's zone that the front considers up, otherwise among all that are
    /// up.
    fn deal(&self, zone: usize) -> Option<Rc<NodeHost>> {
        let node_hosts = self.node_hosts.borrow();
        let at = |home: bool| {
            let fits =
                |node_host: &&Rc<NodeHost>| node_host.in_rotation.get() && (!home || node_host.zone == zone);
            node_hosts.iter().filter(fits).cloned().collect::<Vec<_>>()
        };
        let home = at(true);
        let node_hosts = if home.is_empty() { at(false) } else { home };
        if node_hosts.is_empty() {
            return None;
        }
        let weights = node_hosts.iter().map(|node_host| node_host.weight.get());
        let place = weighted(&mut self.rng.borrow_mut(), weights);
        Some(node_hosts[place].clone())
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
        let fits = |node_host: &&Rc<NodeHost>| zone.is_none_or(|zone| node_host.zone == zone);
        let mut node_hosts: Vec<Rc<NodeHost>> =
            self.node_hosts.borrow().iter().filter(fits).cloned().collect();
        if nodes {
            node_hosts.shuffle(&mut *self.rng.borrow_mut());
            let one = trouble.what == What::HotNode && trouble.part.is_none();
            node_hosts.truncate(trouble.how_many(if one { 1 } else { node_hosts.len() }));
        }
        let names: Vec<String> =
            node_hosts.iter().map(|node_host| format!("n{}", node_host.number)).collect();
        self.note(format!("{:?} strikes nodes {}", trouble.what, names.join(" ")));
        for node_host in node_hosts {
            self.active_node_troubles.set(self.active_node_troubles.get() + 1);
            let (front, trouble) = (self.clone(), trouble.clone());
            spawn_local(async move {
                front.clone().apply_trouble(trouble, node_host).await;
                front.active_node_troubles.set(front.active_node_troubles.get() - 1);
            });
        }
    }

    async fn apply_trouble(self: Rc<Self>, trouble: Trouble, node_host: Rc<NodeHost>) {
        let lasts = Duration::from_secs_f64(trouble.for_s);
        match trouble.what {
            What::HotNode => {
                node_host.weight.set(trouble.by());
                sleep(lasts).await;
                node_host.weight.set(1.0);
            }
            What::Sighup => {
                if let Some(process) = node_host.process.borrow().as_ref() {
                    process.signal(Signal::Hup);
                }
            }
            What::RestartNodes => {
                self.terminate(&node_host).await;
                sleep(lasts).await;
                self.start_again(&node_host).await;
            }
            // Killed alone or together with its zone.
            _ => {
                let process = node_host.process.take();
                if let Some(mut process) = process {
                    self.ended(&node_host, NodeEnd::Killed);
                    process.kill().await;
                }
                sleep(Duration::from_secs_f64(self.scenario.clients.notice_s).min(lasts)).await;
                node_host.in_rotation.set(false);
                sleep(lasts.saturating_sub(Duration::from_secs_f64(self.scenario.clients.notice_s))).await;
                self.start_again(&node_host).await;
            }
        }
    }

    fn ended(&self, node_host: &NodeHost, how: NodeEnd) {
        self.records.borrow_mut().nodes[node_host.life.get()].ended = Some((self.now(), how));
    }

    async fn terminate(&self, node_host: &NodeHost) {
        let process = node_host.process.take();
        let Some(mut process) = process else { return };
        process.signal(Signal::Term);
        sleep(SEND_AFTER_SIGTERM).await;
        node_host.in_rotation.set(false);
        let longest =
            self.scenario.profiles.iter().fold(0.0, |most: f64, profile| most.max(profile.deadline_ms));
        let patience = Duration::from_secs_f64(longest.min(MAX_DEADLINE_MS) / 1000.0) + KILL_MARGIN;
        if tokio::time::timeout(patience, process.ended()).await.is_err() {
            process.kill().await;
        }
        self.ended(node_host, NodeEnd::Terminated);
        node_host.http_client.borrow().end();
    }

    async fn start_again(&self, node_host: &Rc<NodeHost>) {
        if let Err(problem) = self.start_node(node_host) {
            return log::warn!("{problem}");
        }
        let address = self.address_plan.at(FRONT_NODE, node_host.number);
        *node_host.http_client.borrow_mut() = Client::new(self.scenario.clone(), address);
        while !reports_up(address).await {
            sleep(POLL_INTERVAL).await;
        }
        node_host.in_rotation.set(true);
    }
}
