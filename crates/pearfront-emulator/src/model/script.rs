//! The script of troubles in the model play: selects the targets, and begins and ends each trouble.

use super::hosts::Host;
use super::nodes::NodeHost;
use super::{Event, World};
use crate::active_troubles::State;
use crate::decide::Input;
use crate::record::NodeEnd;
use crate::scenario::{Trouble, What};
use crate::server::Server;
use pearfront::interface::{AttemptOutcome, ServerState};
use rand::seq::SliceRandom;
use std::rc::Rc;

/// How long, ms, clients still send to a node after SIGTERM.
const SEND_AFTER_SIGTERM_MS: f64 = 300.0;
/// Longest time, ms, that a node may take to end after SIGTERM.
const MAX_SHUTDOWN_MS: f64 = 3400.0;

impl World {
    pub fn begin_trouble(&mut self, place: usize) {
        let trouble = self.scenario.troubles[place].clone();
        let lasts = trouble.for_s * 1000.0;
        match trouble.what {
            What::DiscoveryDown => {
                self.directory.down += 1;
                self.end_watches();
            }
            What::DiscoveryOld => self.directory.old += 1,
            What::KillNodes | What::RestartNodes | What::HotNode | What::Sighup => {
                self.apply_to_nodes(&trouble)
            }
            _ => self.apply_to_hosts(place, &trouble),
        }
        if trouble.with_nodes {
            self.kill_zone(&trouble);
        }
        self.event_queue.put(self.now + lasts, Event::End(place));
    }

    pub fn end_trouble(&mut self, place: usize) {
        let trouble = self.scenario.troubles[place].clone();
        match trouble.what {
            What::DiscoveryDown => {
                self.directory.down -= 1;
                self.catch_up_list();
            }
            What::DiscoveryOld => {
                self.directory.old -= 1;
                self.catch_up_list();
            }
            What::HotNode => self.node_hosts.iter().for_each(|node_host| node_host.weight.set(1.0)),
            What::KillNodes | What::RestartNodes | What::Sighup | What::Release | What::Drain => {}
            _ => self.spare_hosts(place, &trouble),
        }
        self.note(format!("{:?} is over", trouble.what));
    }

    /// Targets of a trouble: a random choice of as many matching servers as the script states.
    fn targets(&mut self, trouble: &Trouble) -> Vec<Rc<Host>> {
        let tier = trouble.tier.as_ref().and_then(|name| self.scenario.tier(name));
        let zone = self.scenario.zone_of(trouble);
        let kind = trouble.kind.as_ref();
        let kinds = &self.scenario.kinds;
        let fits = |host: &&Rc<Host>| {
            tier.is_none_or(|tier| host.tier == tier)
                && zone.is_none_or(|zone| usize::from(host.zone) == zone)
                && kind.is_none_or(|kind| kinds[host.kind].name == *kind)
                && host.is_up()
                && !host.draining.get()
        };
        let mut hosts: Vec<Rc<Host>> = self.fleet.hosts.borrow().iter().filter(fits).cloned().collect();
        hosts.shuffle(&mut self.troubles);
        hosts.truncate(trouble.how_many(hosts.len()));
        hosts
    }

    fn apply_to_hosts(&mut self, place: usize, trouble: &Trouble) {
        let hosts = self.targets(trouble);
        let names: Vec<String> = hosts.iter().take(8).map(|host| host.id.borrow().clone()).collect();
        self.note(format!(
            "{:?} begins at {} servers, among them {}",
            trouble.what,
            hosts.len(),
            names.join(" ")
        ));
        if trouble.what == What::Release {
            return self.release(trouble, &hosts);
        }
        for host in hosts {
            self.catch_up(&host);
            host.active_troubles.apply_trouble(place, trouble.what, trouble.by());
            match trouble.what {
                What::Silent => self.silence(&host),
                What::Stall => host.server.borrow_mut().stall_until(self.now + trouble.for_s * 1000.0),
                What::Slow => host.server.borrow_mut().speed_factor = host.active_troubles.speed_factor(),
                What::Drain => self.drain(&host),
                _ => {}
            }
            self.watch_host(&host);
        }
    }

    fn spare_hosts(&mut self, place: usize, trouble: &Trouble) {
        let hosts: Vec<Rc<Host>> = self.fleet.hosts.borrow().iter().cloned().collect();
        for host in hosts {
            if !host.active_troubles.end_trouble(place) {
                continue;
            }
            if trouble.what == What::Slow {
                self.catch_up(&host);
                host.server.borrow_mut().speed_factor = host.active_troubles.speed_factor();
                self.watch_host(&host);
            }
            if trouble.what == What::Silent {
                self.come_back(&host, trouble.new_ids);
            }
        }
    }

    fn silence(&mut self, host: &Rc<Host>) {
        host.state.set(State::Silent);
        self.announce(host, ServerState::Gone, self.scenario.discovery.silent_s * 1000.0);
        if let Some(node) = host.node.take() {
            self.stop_node(&node, NodeEnd::Killed);
        }
    }

    /// An unresponsive machine starts again, cold.
    fn come_back(&mut self, host: &Rc<Host>, new_id: bool) {
        if host.state.get() != State::Silent {
            return;
        }
        self.lose_all(host, AttemptOutcome::ConnectionLost);
        if new_id {
            self.announce(host, ServerState::Gone, 0.0);
            let id = format!("{}'", host.id.borrow());
            *host.id.borrow_mut() = id;
        }
        self.start_host(host);
    }

    /// Starts a new process at the host's address, cold and without any state.
    pub fn start_host(&mut self, host: &Rc<Host>) {
        let scenario = self.scenario.clone();
        // A host that was unresponsive has its pauses scheduled already.
        if host.state.get() != State::Silent {
            self.next_pause(host);
        }
        host.started.set(self.now);
        host.starts.set(host.starts.get() + 1);
        host.draining.set(false);
        host.state.set(State::Up);
        let behaviour = &scenario.tiers[host.tier].server;
        let mut server =
            Server::new(&scenario.kinds[host.kind], behaviour, &scenario.rules, self.now, self.now);
        server.speed_factor = host.active_troubles.speed_factor();
        server.mean_work = scenario.mean_work_at(host.tier);
        *host.server.borrow_mut() = server;
        self.record_life(host);
        if host.tier + 1 < scenario.tiers.len() {
            self.start_sidecar(host);
        }
        self.announce(host, ServerState::Ready, 0.0);
    }

    fn drain(&mut self, host: &Rc<Host>) {
        host.draining.set(true);
        self.announce(host, ServerState::Draining, 0.0);
        let ends = self.scenario.drains_for();
        self.event_queue.put(self.now + ends, Event::EndHost(host.clone(), host.starts.get()));
    }

    pub fn end_host(&mut self, host: &Rc<Host>, starts: u64) {
        if host.starts.get() != starts || !host.is_up() {
            return;
        }
        self.catch_up(host);
        host.state.set(State::Down);
        self.lose_all(host, AttemptOutcome::ConnectionLost);
        if let Some(node) = host.node.take() {
            self.stop_node(&node, NodeEnd::Killed);
        }
        self.announce(host, ServerState::Gone, 0.0);
    }

    /// A rolling release: batches of servers drain, end, and are replaced at new addresses.
    fn release(&mut self, trouble: &Trouble, hosts: &[Rc<Host>]) {
        let at_once = trouble.by().max(1.0) as usize;
        for (step, hosts) in hosts.chunks(at_once).enumerate() {
            let wait = step as f64 * trouble.for_s * 1000.0;
            for host in hosts {
                self.event_queue.put(self.now + wait, Event::StartHost(self.replacement(host)));
                self.event_queue.put(self.now + wait, Event::DrainHost(host.clone()));
            }
        }
    }

    /// A machine that is not up yet, to replace another one.
    fn replacement(&self, host: &Host) -> Rc<Host> {
        let new = host.successor(&self.scenario, self.fleet.fresh_address());
        self.fleet.at.borrow_mut().insert(new.address, new.clone());
        self.fleet.hosts.borrow_mut().push(new.clone());
        new
    }

    pub fn drain_host(&mut self, host: &Rc<Host>) {
        if host.is_up() && !host.draining.get() {
            self.drain(host);
        }
    }

    fn apply_to_nodes(&mut self, trouble: &Trouble) {
        let zone = self.scenario.zone_of(trouble);
        let fits = |node_host: &&Rc<NodeHost>| zone.is_none_or(|zone| usize::from(node_host.zone) == zone);
        let mut node_hosts: Vec<Rc<NodeHost>> = self.node_hosts.iter().filter(fits).cloned().collect();
        node_hosts.shuffle(&mut self.troubles);
        let all = if trouble.what == What::HotNode && trouble.part.is_none() { 1 } else { node_hosts.len() };
        node_hosts.truncate(trouble.how_many(all));
        let names: Vec<&str> = node_hosts.iter().map(|node_host| node_host.name.as_str()).collect();
        self.note(format!("{:?} strikes nodes {}", trouble.what, names.join(" ")));
        for node_host in node_hosts {
            match trouble.what {
                What::KillNodes => {
                    self.take_down(&node_host, NodeEnd::Killed);
                    self.event_queue.put(self.now + trouble.for_s * 1000.0, Event::StartNode(node_host));
                }
                What::RestartNodes => self.terminate(&node_host, trouble.for_s * 1000.0),
                What::HotNode => node_host.weight.set(node_host.weight.get() * trouble.by()),
                // The settings are unchanged, so a reload has no effect in simulated time.
                _ => {}
            }
        }
    }

    fn terminate(&mut self, node_host: &Rc<NodeHost>, down: f64) {
        let Some(node) = node_host.node.borrow().clone() else { return };
        let longest =
            self.scenario.profiles.iter().fold(0.0, |most: f64, profile| most.max(profile.deadline_ms));
        let ends = longest.min(MAX_SHUTDOWN_MS - SEND_AFTER_SIGTERM_MS) + SEND_AFTER_SIGTERM_MS;
        self.event_queue.put(self.now + SEND_AFTER_SIGTERM_MS, Event::FrontDrops(node_host.clone()));
        let at = self.now + ends - node.started;
        self.queue_input(&node, Input::Closing { at });
        self.event_queue
            .put(self.now + ends + 10.0, Event::EndNode(node_host.clone(), node_host.starts.get()));
        self.event_queue.put(self.now + ends + 10.0 + down, Event::StartNode(node_host.clone()));
    }

    fn kill_zone(&mut self, trouble: &Trouble) {
        let zone = self.scenario.zone_of(trouble);
        let node_hosts: Vec<Rc<NodeHost>> = self.node_hosts.clone();
        for node_host in node_hosts
            .into_iter()
            .filter(|node_host| zone.is_none_or(|zone| usize::from(node_host.zone) == zone))
        {
            self.take_down(&node_host, NodeEnd::Killed);
            self.event_queue.put(self.now + trouble.for_s * 1000.0, Event::StartNode(node_host));
        }
    }
}
