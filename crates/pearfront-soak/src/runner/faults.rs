//! Carries out the events of a plan.

use super::{MAX_PROCESSES_PER_NODE, Process, Runner, pid};
use crate::clock;
use crate::plan::{CrowdSpec, Event, KILL_AFTER_MS};
use crate::record::{DiscoveryMode, Lifecycle, Record};
use crate::role::{Order, RelayMode};
use rustix::process::{Signal, kill_process};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// How long after SIGTERM clients go on to open new connections, ms.
const CONNECTIONS_AFTER_TERM_MS: u64 = 400;
/// How long both processes of a node run in a hand-over: the new one reports ready within 2.5 s whatever discovery does, and
/// only then the old one gets SIGTERM.
const HANDOVER_OVERLAP: Duration = Duration::from_millis(3000);
/// How often the runner checks whether a process has ended or is up.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// How long a server drains before it is gone, ms.
const SERVER_DRAIN_MS: u64 = 9000;

impl Runner {
    /// Carries out one event; what lasts goes on in a task.
    pub(super) fn apply(self: Rc<Self>, event: Event) {
        match event {
            Event::Term { node, pressing_clients } => {
                self.change_processes(node, event, move |runner| async move {
                    runner.clients.borrow()[0]
                        .order(&Order::SendBackToBack { node, count: pressing_clients });
                    runner.restart(node).await
                })
            }
            Event::SignalSeries { node, ms } => {
                self.change_processes(node, event, move |runner| async move {
                    runner.signal_in_series(node, ms);
                    runner.restart(node).await
                })
            }
            Event::Crowd { node, index, ms } => self.bring_crowd(event, node, index, ms),
            Event::FillDescriptors { node, ms } => self.fill_descriptors(event, node, ms),
            Event::DrainNode { node, ms } => self.drain_by_operator(event, node, ms),
            Event::Kill { node } => {
                self.change_processes(node, event, |runner| async move { runner.kill(node).await })
            }
            Event::HandOver { node } if self.nodes[node].listener.is_some() => {
                self.change_processes(node, event, |runner| async move { runner.hand_over(node).await });
            }
            Event::HandOver { .. } => {}
            Event::Stop { node, ms } => {
                self.change_processes(
                    node,
                    event,
                    move |runner| async move { runner.pause_node(node, ms).await },
                )
            }
            Event::Reload { node } => self.reload(node, event),
            Event::MoveDiscovery { node } => self.move_discovery(node, event),
            Event::Discovery { mode, ms } => self.set_discovery_mode(event, mode, ms),
            Event::DrainServer { server } => self.drain_server(event, server),
            Event::RestartServer { server, ms } => self.restart_server(event, server, ms),
            Event::PauseServer { server, ms } => self.pause_server(event, server, ms),
            Event::Relay { server, relay_mode, ms } => self.set_relay_mode(event, server, relay_mode, ms),
            Event::SlowBodies { relay_mode, ms } => {
                self.count(event.name());
                (0..self.fleet.servers)
                    .for_each(|server| self.clone().change_relay_mode(server, relay_mode, ms));
            }
            Event::Flood { node, count } => {
                self.count(event.name());
                self.clients.borrow()[0].order(&Order::Flood { node, count });
            }
            Event::Stall { node } => {
                self.count(event.name());
                self.clients.borrow()[0].order(&Order::Stall { node });
            }
            Event::WallClockStep { node, ns } => {
                if let Some(control) = &self.nodes[node].control {
                    let _ = control.step_wall_clock(ns);
                    self.count(event.name());
                }
            }
            Event::FailSystemCalls { node, fault, per_million, ms } => {
                let runner = self.clone();
                let set = move |per_million| {
                    let control = runner.nodes[node].control.as_ref()?;
                    control.set(fault, per_million).ok()
                };
                if set(per_million).is_some() {
                    spawn_local(async move {
                        sleep(Duration::from_millis(ms)).await;
                        set(0)
                    });
                }
            }
        }
    }

    /// Runs a fault that changes a node's processes, unless one is under way or the node has had all its processes.
    fn change_processes<F: Future<Output = ()> + 'static>(
        self: Rc<Self>,
        node: usize,
        event: Event,
        what: impl FnOnce(Rc<Self>) -> F,
    ) {
        let may_restart = self.nodes[node].processes_started.get() < MAX_PROCESSES_PER_NODE;
        if may_restart && self.current(node).is_some() && !self.nodes[node].busy.replace(true) {
            self.count(event.name());
            let (runner, done) = (self.clone(), what(self));
            spawn_local(async move {
                done.await;
                runner.nodes[node].busy.set(false);
            });
        }
    }

    /// Lets clients open new connections to a node, or forbids it.
    pub(super) fn allow_connections(&self, node: usize, allowed: bool) {
        self.clients
            .borrow()
            .iter()
            .for_each(|client| client.order(&Order::AllowConnections { node, allowed }));
    }

    /// SIGTERM, and SIGKILL as early as it may come; clients stop connecting if no other process of the node serves (`is_last`).
    async fn term(&self, node: usize, process: &Process, is_last: bool) {
        process.is_ending.set(true);
        self.recorder.write(&Record::Term { node, process: process.number, at: clock::now() });
        self.signal(process, Signal::TERM);
        let kill =
            Instant::now() + Duration::from_secs_f64((self.fleet.deadlines.1 + KILL_AFTER_MS) / 1000.0);
        if is_last {
            sleep(Duration::from_millis(CONNECTIONS_AFTER_TERM_MS)).await;
            self.allow_connections(node, false);
        }
        while !self.has_ended(node, process) && Instant::now() < kill {
            sleep(POLL_INTERVAL).await;
        }
        if !self.has_ended(node, process) {
            self.recorder.write(&Record::Kill { node, process: process.number, at: clock::now() });
            self.signal(process, Signal::KILL);
        }
        while !self.has_ended(node, process) {
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn start_again(&self, node: usize) {
        if let Err(problem) = self.start_process(node) {
            eprintln!("node {node} could not be started: {problem}");
        }
        let is_up = async || tokio::net::TcpStream::connect(self.nodes[node].listen).await.is_ok();
        while self.current(node).is_some() && !is_up().await {
            sleep(POLL_INTERVAL).await;
        }
        self.allow_connections(node, true);
    }

    async fn restart(&self, node: usize) {
        let Some(process) = self.current(node) else { return };
        self.term(node, &process, true).await;
        self.start_again(node).await;
    }

    /// Sends the signals together, twice, the second time right after the first SIGCONT.
    fn signal_in_series(self: &Rc<Self>, node: usize, ms: u64) {
        let Some(process) = self.current(node) else { return };
        let runner = self.clone();
        spawn_local(async move {
            for _ in 0..2 {
                let from = clock::now();
                for signal in [Signal::TERM, Signal::HUP, Signal::STOP] {
                    runner.signal(&process, signal);
                }
                sleep(Duration::from_millis(ms)).await;
                runner.signal(&process, Signal::CONT);
                runner.recorder.write(&Record::Stop { node, from, to: clock::now() });
            }
        });
    }

    /// A drain by an operator, whatever other faults of the node's processes are under way.
    fn drain_by_operator(self: Rc<Self>, event: Event, node: usize, ms: u64) {
        if self.current(node).is_none() || self.nodes[node].operator_drain.replace(true) {
            return;
        }
        self.count(event.name());
        spawn_local(async move {
            self.drain_node(node, Duration::from_millis(ms)).await;
            self.nodes[node].operator_drain.set(false);
        });
    }

    fn fill_descriptors(&self, event: Event, node: usize, ms: u64) {
        self.count(event.name());
        let from = clock::now();
        self.clients.borrow()[0].order(&Order::FillDescriptors { node, count: self.fleet.sockets, ms });
        self.recorder.write(&Record::FillDescriptors { node, from, to: from + ms as f64 });
    }

    fn bring_crowd(&self, event: Event, node: usize, index: usize, ms: u64) {
        self.count(event.name());
        let CrowdSpec { kinds, clients } = self.crowds[index].clone();
        let from = clock::now();
        self.clients.borrow()[0].order(&Order::Crowd { node, kinds, clients, ms });
        self.recorder.write(&Record::FillDescriptors { node, from, to: from + ms as f64 });
    }

    async fn kill(&self, node: usize) {
        let Some(process) = self.current(node) else { return };
        process.is_ending.set(true);
        self.recorder.write(&Record::Kill { node, process: process.number, at: clock::now() });
        self.signal(&process, Signal::KILL);
        while !self.has_ended(node, &process) {
            sleep(POLL_INTERVAL).await;
        }
        self.start_again(node).await;
    }

    async fn hand_over(&self, node: usize) {
        let Some(old) = self.current(node) else { return };
        if self.start_process(node).is_ok() {
            sleep(HANDOVER_OVERLAP).await;
            self.term(node, &old, false).await;
        }
    }

    async fn pause_node(&self, node: usize, ms: u64) {
        let Some(process) = self.current(node) else { return };
        let from = clock::now();
        self.signal(&process, Signal::STOP);
        sleep(Duration::from_millis(ms)).await;
        self.signal(&process, Signal::CONT);
        self.recorder.write(&Record::Stop { node, from, to: clock::now() });
    }

    fn write_file(&self, node: usize, process: &Process) {
        let text = self.config(node, process.subscriber).to_string();
        if std::fs::write(&process.file, text).is_ok() {
            self.signal(process, Signal::HUP);
        }
    }

    fn reload(&self, node: usize, event: Event) {
        let state = &self.nodes[node];
        let Some(process) = self.current(node).filter(|_| !state.busy.get()) else { return };
        self.count(event.name());
        // To a longer grace and back: times computed with the longer grace must not stay in force.
        let grace =
            if state.grace.get() > self.fleet.grace { self.fleet.grace } else { self.fleet.grace * 2.0 };
        state.grace.set(grace);
        self.write_file(node, &process);
        self.recorder.write(&Record::Reloaded { node, grace, at: clock::now() });
    }

    fn move_discovery(&self, node: usize, event: Event) {
        let state = &self.nodes[node];
        let Some(process) = self.current(node).filter(|_| !state.busy.get() && !state.has_moved.get()) else {
            return;
        };
        self.count(event.name());
        state.has_moved.set(true);
        self.discovery.borrow().order(&Order::Moved { subscriber: process.subscriber });
        self.write_file(node, &process);
        self.recorder.write(&Record::Moved { node, at: clock::now() });
    }

    fn set_discovery_mode(self: Rc<Self>, event: Event, mode: DiscoveryMode, ms: u64) {
        self.count(event.name());
        let number = self.mode_changes.get() + 1;
        self.mode_changes.set(number);
        self.send_discovery_mode(mode);
        spawn_local(async move {
            sleep(Duration::from_millis(ms)).await;
            if self.mode_changes.get() == number {
                self.send_discovery_mode(DiscoveryMode::Normal);
            }
        });
    }

    fn send_discovery_mode(&self, mode: DiscoveryMode) {
        self.recorder.write(&Record::Discovery { mode, at: clock::now() });
        self.discovery.borrow().order(&Order::Discovery { mode });
    }

    fn drain_server(self: Rc<Self>, event: Event, server: usize) {
        let is_ready = self.states.borrow()[server].lifecycle == Lifecycle::Ready;
        if !is_ready || self.servers.borrow()[server].is_none() {
            return;
        }
        self.count(event.name());
        if let Some(role_process) = &self.servers.borrow()[server] {
            role_process.order(&Order::Drain);
        }
        self.publish(server, Lifecycle::Draining, 0.0);
        spawn_local(async move {
            sleep(Duration::from_millis(SERVER_DRAIN_MS)).await;
            self.publish(server, Lifecycle::Gone, 0.0);
        });
    }

    fn restart_server(self: Rc<Self>, event: Event, server: usize, ms: u64) {
        if self.states.borrow()[server].lifecycle != Lifecycle::Ready {
            return;
        }
        let Some(mut role_process) = self.servers.borrow_mut()[server].take() else { return };
        self.count(event.name());
        let _ = role_process.child.kill();
        let _ = role_process.child.wait();
        self.recorder.write(&Record::ServerKill { server, at: clock::now() });
        spawn_local(async move {
            sleep(Duration::from_millis(ms)).await;
            if let Ok(role_process) = self.start_server(server) {
                self.servers.borrow_mut()[server] = Some(role_process);
                self.recorder.write(&Record::ServerStart { server, at: clock::now() });
                self.publish(server, Lifecycle::Ready, clock::unix_now());
            }
        });
    }

    fn pause_server(self: Rc<Self>, event: Event, server: usize, ms: u64) {
        let process =
            self.servers.borrow()[server].as_ref().and_then(|role_process| pid(&role_process.child));
        let Some(process) = process else { return };
        self.count(event.name());
        let _ = kill_process(process, Signal::STOP);
        spawn_local(async move {
            sleep(Duration::from_millis(ms)).await;
            // The pid is reused only after this process was waited for.
            let same =
                self.servers.borrow()[server].as_ref().and_then(|role_process| pid(&role_process.child))
                    == Some(process);
            if same {
                let _ = kill_process(process, Signal::CONT);
            }
        });
    }

    fn set_relay_mode(self: Rc<Self>, event: Event, server: usize, relay_mode: RelayMode, ms: u64) {
        self.count(event.name());
        self.change_relay_mode(server, relay_mode, ms);
    }

    fn change_relay_mode(self: Rc<Self>, server: usize, relay_mode: RelayMode, ms: u64) {
        self.relay.borrow().order(&Order::RelayMode { server, relay_mode });
        spawn_local(async move {
            sleep(Duration::from_millis(ms)).await;
            self.relay.borrow().order(&Order::RelayMode { server, relay_mode: RelayMode::Forward });
        });
    }
}
