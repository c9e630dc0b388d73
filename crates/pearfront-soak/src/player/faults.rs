//! The faults of a plan, each as it happens.

use super::{LIVES, Player, Process, pid};
use crate::clock;
use crate::plan::{Event, KILL_AFTER};
use crate::record::{DiscoveryMode, Record, Standing};
use crate::role::{Order, Way};
use rustix::process::{Signal, kill_process};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// How long after SIGTERM new connections go on coming, ms.
const STILL_COMING: u64 = 400;
/// How long two processes of a node are there beside each other in a hand-over: the new one says that it is ready within 2.5 s
/// whatever discovery does, and only then the old one is told to end.
const TOGETHER: Duration = Duration::from_millis(3000);
/// How often the player looks whether a process has ended.
const LOOK: Duration = Duration::from_millis(5);
/// How long a server drains before it goes, ms.
const DRAINS: u64 = 9000;

impl Player {
    pub(super) fn happen(self: Rc<Self>, event: Event) {
        match event {
            Event::Term { node, pressed_by } => self.begin(node, event, move |player| async move {
                player.clients.borrow()[0].order(&Order::Press { node, count: pressed_by });
                player.restart(node).await
            }),
            Event::Series { node, ms } => self.begin(node, event, move |player| async move {
                player.signal_in_series(node, ms);
                player.restart(node).await
            }),
            Event::Crowd { node, ms } => self.crowd(event, node, ms),
            Event::DrainNode { node, ms } => self.drain_by_operator(event, node, ms),
            Event::Kill { node } => self.begin(node, event, |player| async move { player.kill(node).await }),
            Event::HandOver { node } if self.nodes[node].listener.is_some() => {
                self.begin(node, event, |player| async move { player.hand_over(node).await });
            }
            Event::HandOver { .. } => {}
            Event::Stop { node, ms } => {
                self.begin(node, event, move |player| async move { player.stop(node, ms).await })
            }
            Event::Reload { node } => self.reload(node, event),
            Event::Move { node } => self.relocate(node, event),
            Event::Discovery { mode, ms } => self.set_mode(event, mode, ms),
            Event::Drain { server } => self.drain(event, server),
            Event::Restart { server, ms } => self.restart_server(event, server, ms),
            Event::Hang { server, ms } => self.hang(event, server, ms),
            Event::Way { server, way, ms } => self.set_way(event, server, way, ms),
            Event::Bodies { way, ms } => {
                self.count(event.name());
                (0..self.fleet.servers).for_each(|server| self.clone().change_way(server, way, ms));
            }
            Event::Flood { node, count } => {
                self.count(event.name());
                self.clients.borrow()[0].order(&Order::Flood { node, count });
            }
            Event::Stall { node } => {
                self.count(event.name());
                self.clients.borrow()[0].order(&Order::Stall { node });
            }
            Event::WallStep { node, ns } => {
                if let Some(control) = &self.nodes[node].control {
                    let _ = control.step_wall_clock(ns);
                    self.count(event.name());
                }
            }
            Event::Calls { node, fault, per_million, ms } => {
                let player = self.clone();
                let set = move |per_million| {
                    let control = player.nodes[node].control.as_ref()?;
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

    /// Lets something happen to a node's processes, unless something does already.
    fn begin<F: Future<Output = ()> + 'static>(
        self: Rc<Self>,
        node: usize,
        event: Event,
        what: impl FnOnce(Rc<Self>) -> F,
    ) {
        let lives = self.nodes[node].lives.get() < LIVES;
        if lives && self.current(node).is_some() && !self.nodes[node].busy.replace(true) {
            self.count(event.name());
            let (player, done) = (self.clone(), what(self));
            spawn_local(async move {
                done.await;
                player.nodes[node].busy.set(false);
            });
        }
    }

    pub(super) fn connects(&self, node: usize, yes: bool) {
        self.clients.borrow().iter().for_each(|client| client.order(&Order::Connects { node, yes }));
    }

    /// SIGTERM, and SIGKILL as early as it may come.
    async fn term(&self, node: usize, process: &Process, last: bool) {
        process.is_ending.set(true);
        self.recorder.write(&Record::Term { node, process: process.number, at: clock::now() });
        self.signal(process, Signal::TERM);
        let kill = Instant::now() + Duration::from_secs_f64((self.fleet.deadlines.1 + KILL_AFTER) / 1000.0);
        if last {
            sleep(Duration::from_millis(STILL_COMING)).await;
            self.connects(node, false);
        }
        while !self.has_ended(node, process) && Instant::now() < kill {
            sleep(LOOK).await;
        }
        if !self.has_ended(node, process) {
            self.recorder.write(&Record::Kill { node, process: process.number, at: clock::now() });
            self.signal(process, Signal::KILL);
        }
        while !self.has_ended(node, process) {
            sleep(LOOK).await;
        }
    }

    async fn come_back(&self, node: usize) {
        if let Err(problem) = self.start_process(node) {
            eprintln!("node {node} was not started: {problem}");
        }
        let up = async || tokio::net::TcpStream::connect(self.nodes[node].listen).await.is_ok();
        while self.current(node).is_some() && !up().await {
            sleep(LOOK).await;
        }
        self.connects(node, true);
    }

    async fn restart(&self, node: usize) {
        let Some(process) = self.current(node) else { return };
        self.term(node, &process, true).await;
        self.come_back(node).await;
    }

    /// Signals together, twice, the second time right behind the SIGCONT of the first.
    fn signal_in_series(self: &Rc<Self>, node: usize, ms: u64) {
        let Some(process) = self.current(node) else { return };
        let player = self.clone();
        spawn_local(async move {
            for _ in 0..2 {
                let from = clock::now();
                for signal in [Signal::TERM, Signal::HUP, Signal::STOP] {
                    player.signal(&process, signal);
                }
                sleep(Duration::from_millis(ms)).await;
                player.signal(&process, Signal::CONT);
                player.recorder.write(&Record::Stop { node, from, to: clock::now() });
            }
        });
    }

    /// An operator's drain, whatever else happens to the node's processes.
    fn drain_by_operator(self: Rc<Self>, event: Event, node: usize, ms: u64) {
        if self.current(node).is_none() || self.nodes[node].drains.replace(true) {
            return;
        }
        self.count(event.name());
        spawn_local(async move {
            self.drain_node(node, Duration::from_millis(ms)).await;
            self.nodes[node].drains.set(false);
        });
    }

    fn crowd(&self, event: Event, node: usize, ms: u64) {
        self.count(event.name());
        let from = clock::now();
        self.clients.borrow()[0].order(&Order::Crowd { node, count: self.fleet.sockets, ms });
        self.recorder.write(&Record::Crowd { node, from, to: from + ms as f64 });
    }

    async fn kill(&self, node: usize) {
        let Some(process) = self.current(node) else { return };
        process.is_ending.set(true);
        self.recorder.write(&Record::Kill { node, process: process.number, at: clock::now() });
        self.signal(&process, Signal::KILL);
        while !self.has_ended(node, &process) {
            sleep(LOOK).await;
        }
        self.come_back(node).await;
    }

    async fn hand_over(&self, node: usize) {
        let Some(old) = self.current(node) else { return };
        if self.start_process(node).is_ok() {
            sleep(TOGETHER).await;
            self.term(node, &old, false).await;
        }
    }

    async fn stop(&self, node: usize, ms: u64) {
        let Some(process) = self.current(node) else { return };
        let from = clock::now();
        self.signal(&process, Signal::STOP);
        sleep(Duration::from_millis(ms)).await;
        self.signal(&process, Signal::CONT);
        self.recorder.write(&Record::Stop { node, from, to: clock::now() });
    }

    fn write_file(&self, node: usize, process: &Process) {
        let text = self.config(node, process.caller).to_string();
        if std::fs::write(&process.file, text).is_ok() {
            self.signal(process, Signal::HUP);
        }
    }

    fn reload(&self, node: usize, event: Event) {
        let state = &self.nodes[node];
        let Some(process) = self.current(node).filter(|_| !state.busy.get()) else { return };
        self.count(event.name());
        // To a longer grace and back: what was worked out under the longer one must not go on.
        let grace =
            if state.grace.get() > self.fleet.grace { self.fleet.grace } else { self.fleet.grace * 2.0 };
        state.grace.set(grace);
        self.write_file(node, &process);
        self.recorder.write(&Record::Reloaded { node, grace, at: clock::now() });
    }

    fn relocate(&self, node: usize, event: Event) {
        let state = &self.nodes[node];
        let Some(process) = self.current(node).filter(|_| !state.busy.get() && !state.moved.get()) else {
            return;
        };
        self.count(event.name());
        state.moved.set(true);
        self.discovery.borrow().order(&Order::Moved { caller: process.caller });
        self.write_file(node, &process);
        self.recorder.write(&Record::Moved { node, at: clock::now() });
    }

    fn set_mode(self: Rc<Self>, event: Event, mode: DiscoveryMode, ms: u64) {
        self.count(event.name());
        let number = self.modes.get() + 1;
        self.modes.set(number);
        self.tell_mode(mode);
        spawn_local(async move {
            sleep(Duration::from_millis(ms)).await;
            if self.modes.get() == number {
                self.tell_mode(DiscoveryMode::Normal);
            }
        });
    }

    fn tell_mode(&self, mode: DiscoveryMode) {
        self.recorder.write(&Record::Discovery { mode, at: clock::now() });
        self.discovery.borrow().order(&Order::Discovery { mode });
    }

    fn drain(self: Rc<Self>, event: Event, server: usize) {
        let is_ready = self.states.borrow()[server].standing == Standing::Ready;
        if !is_ready || self.servers.borrow()[server].is_none() {
            return;
        }
        self.count(event.name());
        if let Some(helper) = &self.servers.borrow()[server] {
            helper.order(&Order::Drain);
        }
        self.publish(server, Standing::Draining, 0.0);
        spawn_local(async move {
            sleep(Duration::from_millis(DRAINS)).await;
            self.publish(server, Standing::Gone, 0.0);
        });
    }

    fn restart_server(self: Rc<Self>, event: Event, server: usize, ms: u64) {
        if self.states.borrow()[server].standing != Standing::Ready {
            return;
        }
        let Some(mut helper) = self.servers.borrow_mut()[server].take() else { return };
        self.count(event.name());
        let _ = helper.child.kill();
        let _ = helper.child.wait();
        self.recorder.write(&Record::ServerKill { server, at: clock::now() });
        spawn_local(async move {
            sleep(Duration::from_millis(ms)).await;
            if let Ok(helper) = self.start_server(server) {
                self.servers.borrow_mut()[server] = Some(helper);
                self.recorder.write(&Record::ServerStart { server, at: clock::now() });
                self.publish(server, Standing::Ready, clock::unix_now());
            }
        });
    }

    fn hang(self: Rc<Self>, event: Event, server: usize, ms: u64) {
        let process = self.servers.borrow()[server].as_ref().and_then(|helper| pid(&helper.child));
        let Some(process) = process else { return };
        self.count(event.name());
        let _ = kill_process(process, Signal::STOP);
        spawn_local(async move {
            sleep(Duration::from_millis(ms)).await;
            // Another process may have that number only once this one was waited for.
            let same =
                self.servers.borrow()[server].as_ref().and_then(|helper| pid(&helper.child)) == Some(process);
            if same {
                let _ = kill_process(process, Signal::CONT);
            }
        });
    }

    fn set_way(self: Rc<Self>, event: Event, server: usize, way: Way, ms: u64) {
        self.count(event.name());
        self.change_way(server, way, ms);
    }

    fn change_way(self: Rc<Self>, server: usize, way: Way, ms: u64) {
        self.relay.borrow().order(&Order::Way { server, way });
        spawn_local(async move {
            sleep(Duration::from_millis(ms)).await;
            self.relay.borrow().order(&Order::Way { server, way: Way::Open });
        });
    }
}
