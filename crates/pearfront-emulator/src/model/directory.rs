//! Discovery in the model play: the published list, calls that are processed sequentially, and watching nodes.

use super::hosts::{Fleet, Host};
use super::nodes::Node;
use super::{Event, World};
use crate::decide::Input;
use crate::list::Line;
use crate::scenario::Scenario;
use pearfront::interface::ServerState;
use rand::prelude::Rng;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

#[derive(Default)]
pub struct Directory {
    published: BTreeMap<String, Line>,
    pub watchers: Vec<Rc<Node>>,
    busy_until: f64,
    /// Number of active troubles that keep it down or stale, and updates held back until they end.
    pub down: u32,
    pub old: u32,
    held_back: VecDeque<Line>,
    lines_per_ms: f64,
}

impl Directory {
    pub fn new(scenario: &Scenario) -> Self {
        Self { lines_per_ms: scenario.discovery.lines_per_s / 1000.0, ..Self::default() }
    }

    pub fn publish_all(&mut self, fleet: &Fleet) {
        for host in fleet.hosts.borrow().iter() {
            let line = line(host, ServerState::Ready);
            self.published.insert(line.id.clone(), line);
        }
    }

    /// The published list of a tier.
    pub fn lines(&self, tier: usize) -> Vec<Line> {
        self.published.values().filter(|line| line.tier == tier).cloned().collect()
    }

    /// When a call that arrives now is answered; none if it would time out.
    fn turn(&mut self, now: f64, lines: f64, timeout: f64) -> Option<f64> {
        let begins = now.max(self.busy_until);
        if begins - now > timeout {
            return None;
        }
        self.busy_until = begins + lines / self.lines_per_ms;
        Some(self.busy_until)
    }
}

pub fn line(host: &Host, standing: ServerState) -> Line {
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

impl World {
    /// A server's state has changed; discovery publishes it after a delay.
    pub fn announce(&mut self, host: &Host, standing: ServerState, after: f64) {
        let (soonest, latest) = self.scenario.discovery.late_ms;
        let late = soonest + (latest - soonest) * self.net.random::<f64>();
        self.event_queue.put(self.now + after + late, Event::Publish(line(host, standing)));
    }

    pub fn publish(&mut self, line: Line) {
        if self.directory.old > 0 || self.scenario.discovery.pushed && self.directory.down > 0 {
            return self.directory.held_back.push_back(line);
        }
        let known = self.directory.published.get(&line.id);
        // A line of an earlier life may arrive after one of a later life.
        if known.is_some_and(|known| known.life > line.life) {
            return;
        }
        if line.standing == ServerState::Gone {
            self.directory.published.remove(&line.id);
        } else {
            self.directory.published.insert(line.id.clone(), line.clone());
        }
        let watchers: Vec<Rc<Node>> = self.directory.watchers.clone();
        for node in watchers.into_iter().filter(|node| node.tier == line.tier && node.watching.get()) {
            let at = self.directory.turn(self.now, 1.0, f64::INFINITY).unwrap_or(self.now);
            let hop = self.hop(node.zone, line.zone);
            self.event_queue.put(at + hop, Event::ListUpdate(node, vec![line.clone()], false));
        }
    }

    /// Publishes the updates that were held back while the list was stale.
    pub fn catch_up_list(&mut self) {
        while let Some(line) = self.directory.held_back.pop_front() {
            self.publish(line);
        }
    }

    /// A node requests the list and its changes.
    pub fn watch(&mut self, node: &Rc<Node>) {
        let hop = self.hop(node.zone, node.zone);
        let discovery = &self.scenario.discovery;
        let lines = self.directory.lines(node.tier).len() as f64 + discovery.call_lines;
        let timeout = discovery.timeout_ms;
        let turn =
            if self.directory.down > 0 { None } else { self.directory.turn(self.now + hop, lines, timeout) };
        let (at, good) = turn.map_or((self.now + timeout, false), |at| (at, true));
        self.event_queue.put(at + hop, Event::WatchAnswered(node.clone(), good));
    }

    pub fn watch_answered(&mut self, node: &Rc<Node>, good: bool) {
        if !node.alive.get() {
            return;
        }
        if !good || self.directory.down > 0 {
            return self.queue_input(node, Input::ListFailed);
        }
        node.watching.set(true);
        let lines = self.directory.lines(node.tier);
        self.list_received(node, lines, true, false);
    }

    /// Discovery is down: all watches end.
    pub fn end_watches(&mut self) {
        if self.scenario.discovery.pushed {
            return;
        }
        let watchers: Vec<Rc<Node>> = self.directory.watchers.clone();
        for node in watchers.into_iter().filter(|node| node.watching.replace(false)) {
            self.queue_input(&node, Input::ListFailed);
        }
    }
}
