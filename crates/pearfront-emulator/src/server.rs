//! An emulated server: cores, slots, a bounded queue, warm-up, crowding and failure under overload. Without I/O
//! or clocks: the time and arrivals are passed in, and it returns the events up to then. Used by both plays.

use crate::scenario::{Kind, Rules, ServerBehaviour};
use std::collections::VecDeque;

/// Remaining work, ms, below which a part counts as done; below the resolution of every clock used here.
const DONE_WORK_MS: f64 = 1e-7;
/// Interval, ms, at which the capacity of a busy cold server is recomputed.
const COLD_STEP_MS: f64 = 25.0;
/// Work, ms, of an immediate error or a deduplicated repeat.
const QUICK_WORK_MS: f64 = 0.1;

/// What one request requires of this server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Need {
    /// Work at this server, ms, in `calls` + 1 equal parts.
    pub work: f64,
    pub calls: u32,
    /// The request fails immediately instead.
    pub fails: bool,
    /// The key is already known: answered without running the effect.
    pub repeat: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    Began,
    Waits,
    /// The queue was full: the request never runs.
    TurnedAway,
    /// The request overloaded a cold server, which failed and lost all requests it held.
    Fell,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerEvent {
    /// A waiting request got a slot.
    Began,
    /// The request calls the next tier and continues after `call_ended`.
    Calls,
    Done,
    Failed,
}

/// Values of the load report.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Report {
    pub utilisation: f64,
    pub held: f64,
    pub waiting: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Waiting,
    Own,
    Calling,
}

#[derive(Debug)]
struct Held<T> {
    ticket: T,
    need: Need,
    state: State,
    left: f64,
    calls_left: u32,
}

/// `T` identifies a request held; it is returned unchanged in events.
pub struct Server<T> {
    cores: f64,
    speed: f64,
    slots: usize,
    behaviour: ServerBehaviour,
    rules: Rules,
    /// Mean work of a request, ms, from which the rules' allowance for random variation is computed.
    pub mean_work: f64,
    /// Negative infinity for a server that is warm from the beginning.
    started: f64,
    now: f64,
    held: Vec<Held<T>>,
    crowded: bool,
    fallen: bool,
    /// Injected troubles: the remaining share of the speed, and until when processing is stalled.
    pub speed_factor: f64,
    stalled_until: f64,
    connections: usize,
    /// Work received while cold, with arrival times.
    sent: VecDeque<(f64, f64)>,
    /// Core time used since the last refresh of the report, ms, and the time of that refresh.
    used: f64,
    used_since: f64,
    report: Report,
}

impl<T: Clone + PartialEq> Server<T> {
    pub fn new(kind: &Kind, behaviour: &ServerBehaviour, rules: &Rules, started: f64, now: f64) -> Self {
        Self {
            cores: kind.cores,
            speed: kind.speed,
            slots: (kind.cores * behaviour.slots).ceil() as usize,
            behaviour: behaviour.clone(),
            rules: rules.clone(),
            mean_work: 0.0,
            started,
            now,
            held: Vec::new(),
            crowded: false,
            fallen: false,
            speed_factor: 1.0,
            stalled_until: f64::NEG_INFINITY,
            connections: 0,
            sent: VecDeque::new(),
            used: 0.0,
            used_since: now,
            report: Report::default(),
        }
    }

    /// Share of the full capacity available at a time.
    pub fn warm_share(&self, at: f64) -> f64 {
        warm_share(self.started, &self.behaviour, at)
    }

    /// Work, ms, done per millisecond when all cores are busy, in the current state.
    pub fn capacity(&self, at: f64) -> f64 {
        if self.fallen || at < self.stalled_until {
            return 0.0;
        }
        let crowded = if self.crowded { self.behaviour.crowded_speed } else { 1.0 };
        self.cores * self.speed * self.speed_factor * self.warm_share(at) * crowded
    }

    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Remaining work at this server, ms, of all requests held.
    pub fn work_left(&self) -> f64 {
        let part = |held: &Held<T>| held.need.work / f64::from(held.need.calls + 1);
        self.held.iter().map(|held| held.left + part(held) * f64::from(held.calls_left)).sum()
    }

    /// Number of requests it can hold without becoming crowded or turning any away.
    pub fn uncrowded_capacity(&self) -> f64 {
        (self.behaviour.crowded_at * self.cores)
            .min((self.slots + self.behaviour.queue) as f64)
            .floor()
            .max(1.0)
    }

    pub fn is_crowded(&self) -> bool {
        self.crowded
    }

    pub fn has_fallen(&self) -> bool {
        self.fallen
    }

    /// Stalls processing until the given time.
    pub fn stall_until(&mut self, until: f64) {
        self.stalled_until = self.stalled_until.max(until);
    }

    /// Opens a connection; false if the connection limit is reached. The handshake costs work.
    pub fn connect(&mut self) -> bool {
        if self.fallen || self.connections >= self.behaviour.connections {
            return false;
        }
        self.connections += 1;
        true
    }

    pub fn disconnect(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// A request has been received completely. Call `advance` to the same time first.
    pub fn arrive(&mut self, ticket: T, need: Need) -> Arrival {
        if self.overloads_while_cold(need.work) {
            self.fallen = true;
            self.held.clear();
            return Arrival::Fell;
        }
        let working = self.working();
        let waiting = self.held.len() - working;
        if working >= self.slots && waiting >= self.behaviour.queue {
            return Arrival::TurnedAway;
        }
        let quick = need.fails || need.repeat;
        let need = if quick { Need { work: QUICK_WORK_MS, calls: 0, ..need } } else { need };
        let begins = working < self.slots;
        let state = if begins { State::Own } else { State::Waiting };
        let left = need.work / f64::from(need.calls + 1);
        self.held.push(Held { ticket, need, state, left, calls_left: need.calls });
        self.update_crowded();
        if begins { Arrival::Began } else { Arrival::Waits }
    }

    /// Adds work other than requests, such as a probe or a handshake; it delays a running request.
    pub fn add_work(&mut self, work: f64) {
        if let Some(held) = self.held.iter_mut().find(|held| held.state == State::Own) {
            held.left += work;
        }
    }

    /// Cancels a request: true if it was still queued and is dropped, so that it never runs.
    pub fn call_off(&mut self, ticket: &T) -> bool {
        let place = self.held.iter().position(|held| held.ticket == *ticket);
        let Some(place) = place.filter(|at| self.held[*at].state == State::Waiting) else { return false };
        if self.behaviour.drops_waiting {
            self.held.remove(place);
            self.update_crowded();
        }
        self.behaviour.drops_waiting
    }

    /// The call that a request was waiting for has ended.
    pub fn call_ended(&mut self, ticket: &T, good: bool) -> Option<ServerEvent> {
        let place = self.held.iter().position(|held| held.ticket == *ticket)?;
        let held = &mut self.held[place];
        if !good {
            self.held.remove(place);
            self.update_crowded();
            return Some(ServerEvent::Failed);
        }
        held.state = State::Own;
        held.left = held.need.work / f64::from(held.need.calls + 1);
        None
    }

    /// Advances to `now` and returns the events in order.
    pub fn advance(&mut self, now: f64) -> Vec<(T, ServerEvent)> {
        let mut events = Vec::new();
        loop {
            self.begin_waiting(&mut events);
            let at = self.due().min(now).max(self.now);
            self.work_until(at);
            let mut place = 0;
            while place < self.held.len() {
                let held = &mut self.held[place];
                if held.state != State::Own || held.left > DONE_WORK_MS {
                    place += 1;
                } else if held.calls_left > 0 && !held.need.fails {
                    held.calls_left -= 1;
                    held.state = State::Calling;
                    events.push((held.ticket.clone(), ServerEvent::Calls));
                    place += 1;
                } else {
                    let ended = self.held.remove(place);
                    let how = if ended.need.fails { ServerEvent::Failed } else { ServerEvent::Done };
                    events.push((ended.ticket, how));
                }
            }
            self.update_crowded();
            if at >= now && !self.can_begin() {
                return events;
            }
        }
    }

    /// Time of the next event if nothing arrives; infinity if there is none.
    pub fn due(&self) -> f64 {
        let own = || self.held.iter().filter(|held| held.state == State::Own);
        if self.fallen || own().next().is_none() {
            return f64::INFINITY;
        }
        if self.now < self.stalled_until {
            return self.stalled_until;
        }
        let least = own().map(|held| held.left).fold(f64::INFINITY, f64::min);
        let done = self.now + (least / self.rate_per_request()).max(0.0);
        if self.warm_share(self.now) < 1.0 { done.min(self.now + COLD_STEP_MS) } else { done }
    }

    /// The load report, refreshed first if it is due.
    pub fn report(&mut self) -> Report {
        let since = self.now - self.used_since;
        if since >= self.behaviour.report_ms {
            self.report = Report {
                utilisation: (self.used / since / self.cores).min(1.0),
                held: self.held.len() as f64,
                waiting: (self.held.len() - self.working()) as f64,
            };
            self.used = 0.0;
            self.used_since = self.now;
        }
        self.report
    }

    /// The load report without refreshing it.
    pub fn old_report(&self) -> Report {
        self.report
    }

    fn working(&self) -> usize {
        self.held.iter().filter(|held| held.state != State::Waiting).count()
    }

    fn can_begin(&self) -> bool {
        !self.fallen
            && self.working() < self.slots
            && self.held.iter().any(|held| held.state == State::Waiting)
    }

    fn begin_waiting(&mut self, events: &mut Vec<(T, ServerEvent)>) {
        while self.can_begin() {
            if let Some(next) = self.held.iter_mut().find(|held| held.state == State::Waiting) {
                next.state = State::Own;
                events.push((next.ticket.clone(), ServerEvent::Began));
            }
        }
    }

    /// Work per millisecond for each running request.
    fn rate_per_request(&self) -> f64 {
        let active = self.held.iter().filter(|held| held.state == State::Own).count() as f64;
        self.capacity(self.now) / self.cores * (self.cores / active.max(1.0)).min(1.0)
    }

    fn work_until(&mut self, at: f64) {
        let rate_per_request = self.rate_per_request();
        let time = at - self.now;
        let mut active = 0.0;
        for held in self.held.iter_mut().filter(|held| held.state == State::Own) {
            held.left -= rate_per_request * time;
            active += 1.0;
        }
        let used = if self.fallen { 0.0 } else { f64::min(active, self.cores) * time };
        self.used += used;
        self.now = at;
    }

    fn update_crowded(&mut self) {
        let held = self.held.len() as f64 / self.cores;
        self.crowded = held > if self.crowded { self.behaviour.calm_at } else { self.behaviour.crowded_at };
    }

    /// Whether this work exceeds the budget of a cold server.
    fn overloads_while_cold(&mut self, work: f64) -> bool {
        let warm_share = self.warm_share(self.now);
        if warm_share >= 1.0 {
            self.sent.clear();
            return false;
        }
        self.sent.push_back((self.now, work));
        let window = self.rules.tip_window_s * 1000.0;
        while self.sent.front().is_some_and(|sent| sent.0 < self.now - window) {
            self.sent.pop_front();
        }
        let sent: f64 = self.sent.iter().map(|sent| sent.1).sum();
        sent > self.rules.cold_budget(self.cores * self.speed * warm_share, self.mean_work)
    }
}

/// Share of its full capacity that a server started at `started` has at a time.
pub fn warm_share(started: f64, behaviour: &ServerBehaviour, at: f64) -> f64 {
    let warm_up = behaviour.warm_up_s * 1000.0;
    if warm_up <= 0.0 || at - started >= warm_up {
        return 1.0;
    }
    behaviour.cold_from + (1.0 - behaviour.cold_from) * ((at - started) / warm_up).max(0.0)
}

#[cfg(test)]
mod tests;
