//! Seeded simulation of the replicated log: 3 or 5 voters, each with a simulated disk that can lose data, report false
//! syncs, stall or come back in an older state; a network that delays, loses, duplicates and cuts; voters that are killed
//! or paused. Invariants are checked after every step. Used by `pearfront prove consensus` and the tests.

use super::duties::{Happens, Upper};
use crate::event_queue::EventQueue;
use pearfront_consensus::{
    Action, Entry, Message, Record, Role, Times, Voter, decode, decode_record, decode_records,
    encode_records, recover,
};
use pearfront_duties::{Duties, LeaseManager, ManagerAction};
use pearfront_store::{Fault, SimDisk, Store, StoreError};
use rand::prelude::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

/// Applied entries after which a voter takes a snapshot, and bytes of the store's log after which it is compacted.
const SNAPSHOT: u64 = 40;
const LOG_BYTES: usize = 64 * 1024;
/// Interval between two proposals, and between two reads, ms.
const PROPOSE: f64 = 20.0;
const READ: f64 = 50.0;
/// Duration range of a sync, ms, and duration on a stalled disk, ms.
const SYNC: (f64, f64) = (0.2, 3.0);
const STALLED: f64 = 5000.0;
/// Interval at which the leader is checked, ms.
const LOOK: f64 = 5.0;
/// Rounding tolerance, ms: a time converted to a node's clock and back may be this much late.
pub(super) const ROUNDING: f64 = 1e-6;
/// Period without faults at the end, ms, after which there must be one leader and all voters must be up to date.
pub const QUIET: f64 = 8000.0;
/// Delay until the kernels notify the others that a process has ended, ms.
const PROOF: (f64, f64) = (1.0, 100.0);

#[derive(Debug, Clone)]
pub struct Plan {
    pub voters: usize,
    /// Length of the run, ms; faults are injected up to `QUIET` before the end.
    pub length: f64,
    /// Mean time between two faults, ms; no faults if 0.
    pub every: f64,
    pub loss: f64,
    pub delay: (f64, f64),
    /// Whether disks lose data that they reported as synced and come back older or empty, one at a time.
    pub disks: bool,
    /// Whether kernels notify the others that a voter was killed.
    pub proofs: bool,
    /// A faulty driver, to check that the invariant checks find it.
    pub fault: Option<Faulty>,
}

/// A driver with one deliberate fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Faulty {
    /// Reports records as stored before they are synced.
    TellsStoredAtOnce,
    /// All disks report syncs that did not happen: several voters lose data at a time.
    AllDisksLie,
    /// A new leader regards all leases granted before its term as expired.
    CountsNoLeaseAnew,
}

impl Plan {
    pub fn storm(voters: usize, disks: bool) -> Self {
        Self {
            voters,
            length: 40_000.0,
            every: 900.0,
            loss: 0.05,
            delay: (0.2, 15.0),
            disks,
            proofs: true,
            fault: None,
        }
    }
}

#[derive(Debug, Clone, Default)]
pub struct Findings {
    pub broken: Option<String>,
    pub proposed: u64,
    pub committed: u64,
    pub reads: u64,
    pub terms: u64,
    pub snapshots_sent: u64,
    /// Periods without a leader that a majority follows, ms; and the part of each in which a majority could have had one:
    /// running, not paused, disks not stalled, connected to one another.
    pub leaderless: Vec<f64>,
    pub able: Vec<f64>,
    pub forgot: u64,
}

pub(super) enum Event {
    Deliver { to: usize, message: Received },
    Wake { who: usize, life: u64, due: f64 },
    Stored { who: usize, life: u64, number: u64 },
    Propose,
    Read,
    Trouble,
    Start { who: usize, with: Disk },
    Resume { who: usize },
    Heal(u64),
    Mend { who: usize },
    Look,
    Proof { of: usize },
    Above(Happens),
}

/// Disk with which a voter restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Disk {
    Own,
    Older,
    Empty,
}

pub(super) struct Node {
    pub(super) name: String,
    pub(super) voter: Option<Voter>,
    /// State machine applied from the log, and the leader's lease handling.
    pub(super) duties: Duties,
    pub(super) lease_manager: LeaseManager,
    /// Clock rate.
    pub(super) rate: f64,
    store: Option<Store<SimDisk>>,
    /// The disk while the voter is down.
    disk: Option<SimDisk>,
    older: Option<SimDisk>,
    life: u64,
    /// End of the current pause, and the messages that arrived during it.
    pub(super) until: f64,
    waiting: Vec<Received>,
    woken: f64,
    /// Time until which the disk is busy.
    busy: f64,
    sync: (f64, f64),
    /// Last applied index and a checksum over all applied entries.
    applied: (u64, u32),
    snapshot_at: u64,
    /// It restarted with lost data and has not caught up since.
    forgot: bool,
}

/// A message from another voter, or from a process that requests duties.
pub(super) enum Received {
    Log(Vec<u8>),
    LeaseRequest(Vec<u8>),
}

pub struct World {
    pub(super) plan: Plan,
    pub(super) nodes: Vec<Node>,
    events: EventQueue<Event>,
    /// Number of cuts so far; identifies each cut.
    cut: u64,
    pub(super) chance: ChaCha8Rng,
    pub(super) now: f64,
    pub(super) cuts: Vec<(u64, BTreeSet<usize>, BTreeSet<usize>)>,
    leaders: BTreeMap<u64, usize>,
    /// By index: term of the committed entry, and checksum over all entries up to it.
    committed: BTreeMap<u64, (u64, u32)>,
    /// Pending reads, with the commit index at the time of each request.
    asked: BTreeMap<u64, u64>,
    numbers: u64,
    without: Option<f64>,
    pub(super) findings: Findings,
    able_since: f64,
    /// Processes that request duties, in simulations of duties.
    pub(super) upper: Option<Upper>,
}

impl World {
    pub fn new(plan: Plan, seed: u64) -> Self {
        let node = |place: usize| Node {
            name: format!("v{place}"),
            voter: None,
            duties: Duties::default(),
            lease_manager: LeaseManager::new("", pearfront_duties::Times::default()),
            rate: 1.0,
            store: None,
            disk: Some(SimDisk::new(seed ^ (place as u64) << 32)),
            older: None,
            life: 0,
            until: 0.0,
            waiting: Vec::new(),
            woken: f64::INFINITY,
            busy: 0.0,
            sync: SYNC,
            applied: (0, 0),
            snapshot_at: 0,
            forgot: false,
        };
        let mut world = Self {
            nodes: (0..plan.voters).map(node).collect(),
            events: EventQueue::default(),
            cut: 0,
            chance: ChaCha8Rng::seed_from_u64(seed),
            now: 0.0,
            cuts: Vec::new(),
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            asked: BTreeMap::new(),
            numbers: 0,
            without: None,
            findings: Findings::default(),
            able_since: 0.0,
            upper: None,
            plan,
        };
        for who in 0..world.plan.voters {
            world.put(0.0, Event::Start { who, with: Disk::Own });
        }
        for (at, event) in
            [(1.0, Event::Propose), (2.0, Event::Read), (3000.0, Event::Trouble), (5.0, Event::Look)]
        {
            world.put(at, event);
        }
        world
    }

    pub(super) fn put(&mut self, at: f64, event: Event) {
        self.events.put(at, event);
    }

    pub(super) fn broken(&mut self, what: String) {
        let at = self.now / 1000.0;
        self.findings.broken.get_or_insert_with(|| format!("at {at:.3} s: {what}"));
    }

    pub(super) fn quiet(&self) -> bool {
        self.now > self.plan.length - QUIET
    }

    // ---- voters ----

    fn start(&mut self, who: usize, with: Disk) {
        let names: Vec<String> = self.nodes.iter().map(|node| node.name.clone()).collect();
        let (now, seed) = (self.now, self.chance.random());
        let node = &mut self.nodes[who];
        let Some(own) = node.disk.take() else { return };
        let disk = match with {
            Disk::Own => own,
            Disk::Older => node.older.clone().unwrap_or(own),
            Disk::Empty => SimDisk::new(seed),
        };
        if with != Disk::Own {
            node.forgot = true;
            self.findings.forgot += 1;
        }
        let (mut store, recovered) = match Store::open(disk) {
            Ok(opened) => opened,
            // The voter reports the damaged file and offset, and operators give it an empty folder.
            Err(StoreError::Damaged { .. }) => {
                node.disk = Some(SimDisk::new(seed));
                return self.put(now + 500.0, Event::Start { who, with: Disk::Empty });
            }
            Err(error) => return self.broken(format!("{names:?} {who}: {error}")),
        };
        let records = recovered.snapshot.into_iter().flat_map(|entry| decode_records(&entry.bytes));
        let behind = recovered.entries.into_iter().filter_map(|entry| decode_record(&entry.bytes));
        let kept = recover(records.chain(behind));
        if self.plan.fault == Some(Faulty::AllDisksLie) {
            store.disk().inject(Fault::SyncIgnored);
        }
        node.life += 1;
        node.store = Some(store);
        node.applied = (0, 0);
        node.snapshot_at = 0;
        node.busy = now;
        node.woken = f64::INFINITY;
        node.until = 0.0;
        let own = now * node.rate;
        node.duties = Duties::default();
        node.lease_manager =
            LeaseManager::new(&names[who], self.upper.as_ref().map(|upper| upper.times).unwrap_or_default());
        node.voter = Some(Voter::new(&names[who], &names, kept, Times::default(), seed, own));
        self.act(who, |voter, now| voter.tick(now));
    }

    pub(super) fn kill(&mut self, who: usize) {
        let node = &mut self.nodes[who];
        let (Some(_), Some(mut store)) = (node.voter.take(), node.store.take()) else { return };
        let mut disk = store.disk().clone();
        disk.crash();
        disk.clear_faults();
        node.disk = Some(disk);
        node.waiting.clear();
        node.sync = SYNC;
        if self.plan.proofs {
            let (least, most) = PROOF;
            let at = self.now + least + (most - least) * self.chance.random::<f64>();
            self.put(at, Event::Proof { of: who });
        }
    }

    /// Kernels notify the running voters that a voter has ended; if it restarted meanwhile, that is another run.
    fn proof(&mut self, of: usize) {
        let name = self.nodes[of].name.clone();
        for who in (0..self.nodes.len()).filter(|who| *who != of) {
            if self.nodes[who].until <= self.now && self.nodes[of].voter.is_none() {
                self.act(who, |voter, now| voter.process_ended(&name, now));
            }
        }
    }

    /// Time on the voter's own clock.
    pub(super) fn own_now(&self, who: usize) -> f64 {
        self.now * self.nodes[who].rate
    }

    pub(super) fn act(&mut self, who: usize, call: impl FnOnce(&mut Voter, f64)) {
        let now = self.own_now(who);
        let Some(voter) = &mut self.nodes[who].voter else { return };
        call(voter, now);
        self.done(who);
        self.settle(who);
        self.look_at(who);
    }

    /// Carries out the voter's actions.
    fn done(&mut self, who: usize) {
        let out = self.nodes[who].voter.as_mut().map(Voter::take_actions).unwrap_or_default();
        for out in out {
            if self.nodes[who].voter.is_some() {
                self.carry(who, out);
            }
        }
    }

    /// Carries out the actions of the leader's lease handling until there are none left.
    pub(super) fn settle(&mut self, who: usize) {
        let now = self.own_now(who);
        let hasty = self.plan.fault == Some(Faulty::CountsNoLeaseAnew);
        loop {
            let node = &mut self.nodes[who];
            let Some(voter) = &mut node.voter else { return };
            let term = voter.has_committed_in_term().then(|| voter.term());
            // Far in the past, so that every lease granted before counts as expired.
            let since = if hasty { now - 1e9 } else { now };
            node.lease_manager.set_leadership(term, &node.duties, since);
            let out = node.lease_manager.take_actions();
            if out.is_empty() {
                return;
            }
            for out in out {
                let Some(voter) = &mut self.nodes[who].voter else { return };
                match out {
                    ManagerAction::Propose(bytes) => drop(voter.propose(bytes, now)),
                    ManagerAction::Read(read) => voter.request_read(read, now),
                    ManagerAction::Respond(response) => self.send_response(who, &response),
                }
            }
            self.done(who);
        }
    }

    /// Checks the invariants of a voter and schedules its next wake-up.
    fn look_at(&mut self, who: usize) {
        let node = &mut self.nodes[who];
        let Some(voter) = &mut node.voter else { return };
        let (role, term) = (voter.role(), voter.term());
        if node.forgot && voter.may_stand() && voter.commit_index() > 0 {
            node.forgot = false;
        }
        let due = (voter.due().min(node.lease_manager.due()) / node.rate).max(self.now) + ROUNDING;
        let life = node.life;
        if due < node.woken {
            node.woken = due;
            self.put(due, Event::Wake { who, life, due });
        }
        if role == Role::Leader {
            self.findings.terms = self.findings.terms.max(term);
            if *self.leaders.entry(term).or_insert(who) != who {
                self.broken(format!("two leaders in term {term}"));
            }
        }
    }

    fn carry(&mut self, who: usize, out: Action) {
        match out {
            Action::Store { number, records } => self.store(who, number, &records),
            Action::Send(message) => self.send(who, &message),
            Action::Commit(entry) => self.commit(who, &entry),
            Action::Restore { index, bytes } => {
                let sum = bytes.first_chunk::<4>().map_or(0, |bytes| u32::from_le_bytes(*bytes));
                self.nodes[who].applied = (index, sum);
                self.nodes[who].snapshot_at = index;
                if self.committed.get(&index).is_some_and(|(_, known)| *known != sum)
                    || self.committed.len() < index as usize
                {
                    self.broken(format!("v{who} restores {index} as something else"));
                }
                let (now, node) = (self.own_now(who), &mut self.nodes[who]);
                node.duties = bytes.get(4..).and_then(Duties::decode).unwrap_or_default();
                node.lease_manager.restored(&node.duties, now);
            }
            Action::ReadReady { read_id: read, .. } if self.upper.is_some() => self.read(who, read, true),
            Action::ReadFailed { read_id: read } if self.upper.is_some() => self.read(who, read, false),
            Action::ReadReady { read_id: read, index } => {
                self.findings.reads += 1;
                if self.asked.remove(&read).is_some_and(|seen| index < seen) {
                    self.broken(format!("a read at v{who} sees {index}, and more was committed before it"));
                }
            }
            Action::ReadFailed { read_id: read } => drop(self.asked.remove(&read)),
        }
    }

    fn read(&mut self, who: usize, read: u64, may: bool) {
        self.findings.reads += 1;
        let (now, node) = (self.own_now(who), &mut self.nodes[who]);
        node.lease_manager.read_result(read, may, &node.duties, now);
    }

    /// Its disk failed: it has to stop being a voter, and is restarted later.
    fn disk_failed(&mut self, who: usize) {
        self.kill(who);
        self.put(self.now + 500.0, Event::Start { who, with: Disk::Own });
    }

    fn store(&mut self, who: usize, number: u64, records: &[Record]) {
        let encoded: Vec<Vec<u8>> = records.iter().map(Record::encode).collect();
        let encoded: Vec<&[u8]> = encoded.iter().map(Vec::as_slice).collect();
        let took = {
            let node = &mut self.nodes[who];
            let (least, most) = node.sync;
            let sync = least + (most - least) * self.chance.random::<f64>();
            // A sync covers everything written before it.
            node.busy = node.busy.max(self.now + sync);
            node.store.as_mut().map(|store| store.append(&encoded))
        };
        match took {
            Some(Ok(_)) => {}
            _ => return self.disk_failed(who),
        }
        let (at, life) = (self.nodes[who].busy, self.nodes[who].life);
        let at = if self.plan.fault == Some(Faulty::TellsStoredAtOnce) { self.now } else { at };
        self.put(at, Event::Stored { who, life, number });
    }

    fn stored(&mut self, who: usize, number: u64) {
        let reported_at_once = self.plan.fault == Some(Faulty::TellsStoredAtOnce);
        let node = &mut self.nodes[who];
        let Some(store) = &mut node.store else { return };
        if !reported_at_once && store.sync().is_err() {
            return self.disk_failed(who);
        }
        if !reported_at_once && store.log_bytes() > LOG_BYTES {
            compact(store);
        }
        self.act(who, |voter, now| voter.on_stored(number, now));
    }

    fn commit(&mut self, who: usize, entry: &Entry) {
        let node = &mut self.nodes[who];
        let sum = crc32c::crc32c_append(node.applied.1, &entry.bytes);
        let follows = entry.index == node.applied.0 + 1;
        node.applied = (entry.index, sum);
        if !follows {
            return self.broken(format!("v{who} applies {} out of turn", entry.index));
        }
        let known = *self.committed.entry(entry.index).or_insert((entry.term, sum));
        if known != (entry.term, sum) {
            return self.broken(format!("v{who} commits another entry at {}", entry.index));
        }
        let (now, node) = (self.own_now(who), &mut self.nodes[who]);
        let changes = node.duties.apply(&entry.bytes);
        node.lease_manager.applied(changes.clone(), &node.duties, now);
        if entry.index >= node.snapshot_at + SNAPSHOT {
            node.snapshot_at = entry.index;
            if let Some(voter) = &mut node.voter {
                // Larger than one snapshot chunk, so that it is sent in several.
                let mut bytes = sum.to_le_bytes().to_vec();
                bytes.extend(node.duties.encode());
                bytes.resize(100_000, 7);
                voter.compact(entry.index, bytes);
            }
        }
        self.granted(&changes);
    }

    fn send(&mut self, from: usize, message: &Message) {
        let Some(to) = self.nodes.iter().position(|node| node.name == message.to) else { return };
        for at in self.arrivals(from, to) {
            self.put(at, Event::Deliver { to, message: Received::Log(message.encode()) });
        }
    }

    pub(super) fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.iter().any(|(_, froms, tos)| froms.contains(&from) && tos.contains(&to))
    }

    /// Arrival times of a message: none, one or two.
    pub(super) fn arrivals(&mut self, from: usize, to: usize) -> Vec<f64> {
        let loss = if self.quiet() { 0.0 } else { self.plan.loss };
        if self.is_cut(from, to) || self.chance.random::<f64>() < loss {
            return Vec::new();
        }
        let copies = 1 + usize::from(self.chance.random::<f64>() < loss);
        let (least, most) = self.plan.delay;
        (0..copies).map(|_| self.now + least + (most - least) * self.chance.random::<f64>()).collect()
    }

    // ---- time ----

    pub fn step(&mut self) -> bool {
        let Some((at, event)) = self.events.next(self.plan.length) else {
            return false;
        };
        self.now = at;
        match event {
            Event::Deliver { to, message } => self.deliver(to, message),
            Event::Wake { who, life, due } => {
                let node = &mut self.nodes[who];
                if node.woken == due && node.life == life {
                    node.woken = f64::INFINITY;
                }
                if node.life == life && node.until <= at {
                    self.tick(who);
                }
            }
            Event::Stored { who, life, number } => {
                if self.nodes[who].life == life {
                    self.stored(who, number);
                }
            }
            Event::Propose => {
                self.put(at + PROPOSE, Event::Propose);
                self.propose();
            }
            Event::Read => {
                self.put(at + READ, Event::Read);
                self.ask();
            }
            Event::Trouble => self.trouble(),
            Event::Start { who, with } => self.start(who, with),
            Event::Resume { who } => self.resume(who),
            Event::Heal(number) => self.cuts.retain(|(one, ..)| *one != number),
            Event::Mend { who } => self.nodes[who].sync = SYNC,
            Event::Look => self.look(),
            Event::Proof { of } => self.proof(of),
            Event::Above(what) => self.happens(what),
        }
        self.look_above();
        self.findings.broken.is_none()
    }

    fn deliver(&mut self, to: usize, message: Received) {
        if self.nodes[to].until > self.now {
            return self.nodes[to].waiting.push(message);
        }
        match message {
            Received::Log(bytes) => {
                if let Some(message) = decode(&bytes) {
                    self.act(to, |voter, now| voter.receive(message, now));
                }
            }
            Received::LeaseRequest(bytes) => self.asked(to, &bytes),
        }
    }

    pub(super) fn resume(&mut self, who: usize) {
        let waiting = std::mem::take(&mut self.nodes[who].waiting);
        waiting.into_iter().for_each(|message| self.deliver(who, message));
        self.tick(who);
    }

    fn tick(&mut self, who: usize) {
        let (now, node) = (self.own_now(who), &mut self.nodes[who]);
        if node.voter.is_some() {
            node.lease_manager.tick(&node.duties, now);
        }
        self.act(who, |voter, now| voter.tick(now));
    }

    /// Voters that regard themselves as leader; there may be two.
    pub(super) fn leading(&self) -> Vec<usize> {
        let leads = |node: &Node| node.voter.as_ref().is_some_and(|voter| voter.role() == Role::Leader);
        (0..self.nodes.len())
            .filter(|who| leads(&self.nodes[*who]) && self.nodes[*who].until <= self.now)
            .collect()
    }

    fn propose(&mut self) {
        if self.upper.is_some() {
            return;
        }
        for who in self.leading() {
            self.findings.proposed += 1;
            let bytes = self.findings.proposed.to_le_bytes().to_vec();
            self.act(who, |voter, now| {
                voter.propose(bytes, now);
            });
        }
    }

    fn ask(&mut self) {
        if self.upper.is_some() {
            return;
        }
        let seen = self.committed.last_key_value().map_or(0, |(index, _)| *index);
        for who in self.leading() {
            self.numbers += 1;
            let number = self.numbers;
            self.asked.insert(number, seen);
            self.act(who, |voter, now| voter.request_read(number, now));
        }
    }

    fn trouble(&mut self) {
        if self.plan.every <= 0.0 || self.now > self.plan.length - QUIET - 1000.0 {
            return;
        }
        let next = self.now - self.plan.every * (1.0 - self.chance.random::<f64>()).ln();
        self.put(next, Event::Trouble);
        // Data that one voter lost must still be known to another: with three voters a second fault is one too many.
        if self.nodes.iter().any(|node| node.forgot) {
            return;
        }
        if self.trouble_above() {
            return;
        }
        // Leaders are hit more often than other voters.
        let leader = self.leading().first().copied().filter(|_| self.chance.random::<bool>());
        let who = leader.unwrap_or_else(|| self.chance.random_range(0..self.nodes.len()));
        let lasts = 100.0 + 2500.0 * self.chance.random::<f64>();
        // Faults end before the period without faults.
        let until = (self.now + lasts).min(self.plan.length - QUIET);
        match self.chance.random_range(0..10) {
            0..=2 => {
                self.kill(who);
                self.put(until, Event::Start { who, with: Disk::Own });
            }
            3 if self.plan.disks && self.all_well() => {
                let with = if self.chance.random::<bool>() { Disk::Empty } else { Disk::Older };
                self.kill(who);
                self.nodes[who].forgot = true;
                self.put(until, Event::Start { who, with });
            }
            3 => {
                let disk = self.nodes[who].store.as_mut().map(|store| store.disk().clone());
                self.nodes[who].older = disk.map(|mut disk| {
                    disk.crash();
                    disk
                });
            }
            4 | 5 => {
                self.nodes[who].until = until;
                self.put(until, Event::Resume { who });
            }
            6 => {
                self.nodes[who].sync = (STALLED, STALLED);
                self.put(until, Event::Mend { who });
            }
            7 => {
                if let Some(store) = &mut self.nodes[who].store {
                    store.disk().inject(Fault::SyncFails);
                }
            }
            _ => self.cut_off(who, until),
        }
    }

    /// Drops all traffic from `from` to `to` until then.
    pub(super) fn cut_way(&mut self, from: BTreeSet<usize>, to: BTreeSet<usize>, until: f64) {
        self.cut += 1;
        self.cuts.push((self.cut, from, to));
        self.put(until, Event::Heal(self.cut));
    }

    /// Cuts a process off from all others until then, in one direction or both.
    pub(super) fn cut_off(&mut self, who: usize, until: f64) {
        let above = self.upper.as_ref().map_or(0, |upper| upper.nodes.len());
        let all = 0..self.nodes.len() + above;
        let (one, rest): (BTreeSet<usize>, BTreeSet<usize>) = all.partition(|node| *node == who);
        let sides = match self.chance.random_range(0..3) {
            0 => vec![(one, rest)],
            1 => vec![(rest, one)],
            _ => vec![(one.clone(), rest.clone()), (rest, one)],
        };
        sides.into_iter().for_each(|(from, to)| self.cut_way(from, to, until));
    }

    fn all_well(&self) -> bool {
        let well = |node: &Node| node.voter.is_some() && node.until <= self.now && node.sync == SYNC;
        self.cuts.is_empty() && self.nodes.iter().all(well)
    }

    /// Measures the periods without a leader that a majority follows.
    fn look(&mut self) {
        self.put(self.now + LOOK, Event::Look);
        let follows = |node: &Node, name: &str| {
            let voter = node.voter.as_ref().filter(|_| node.until <= self.now);
            voter.is_some_and(|voter| voter.leader() == Some(name))
        };
        let led = self.leading().into_iter().any(|leader| {
            let name = &self.nodes[leader].name;
            self.nodes.iter().filter(|node| follows(node, name)).count() * 2 > self.nodes.len()
        });
        if !led && self.is_able() {
            self.able_since += LOOK;
        }
        match (led, self.without) {
            (false, None) => self.without = Some(self.now),
            (true, Some(since)) => {
                self.without = None;
                self.findings.leaderless.push(self.now - since);
                self.findings.able.push(std::mem::take(&mut self.able_since));
            }
            _ => {}
        }
    }

    /// Whether a majority of voters run, have working disks and are connected to one another.
    fn is_able(&self) -> bool {
        let count = self.nodes.len();
        let well = |who: usize| {
            let node = &self.nodes[who];
            node.voter.is_some()
                && node.until <= self.now
                && node.sync == SYNC
                && node.busy < self.now + SYNC.1
        };
        (0u32..1 << count).any(|set| {
            let all: Vec<usize> = (0..count).filter(|who| set & 1 << who != 0).collect();
            let hear = |a: &usize, b: &usize| a == b || !self.is_cut(*a, *b);
            all.len() * 2 > count
                && all.iter().all(|who| well(*who))
                && all.iter().all(|a| all.iter().all(|b| hear(a, b)))
        })
    }

    pub fn play(mut self) -> Findings {
        self.play_through();
        self.findings
    }

    pub(super) fn play_through(&mut self) {
        while self.step() {}
        self.findings.committed = self.committed.len() as u64;
        if self.findings.broken.is_none() {
            self.at_the_end();
        }
    }

    fn at_the_end(&mut self) {
        if self.leading().len() != 1 {
            return self.broken(format!("{} lead after {QUIET} ms without trouble", self.leading().len()));
        }
        let last = self.committed.last_key_value().map_or(0, |(index, _)| *index);
        for who in 0..self.nodes.len() {
            let applied = self.nodes[who].applied.0;
            // Entries in flight at the end are tolerated.
            if applied + 50 < last {
                self.broken(format!("v{who} has {applied} of {last} after {QUIET} ms without trouble"));
            }
        }
    }
}

/// Compacts a store: replaces its synced records with one snapshot.
fn compact(store: &mut Store<SimDisk>) {
    let upto = store.synced_index();
    let Ok(found) = pearfront_store::check(store.disk()) else { return };
    let old = found.snapshot.iter().flat_map(|entry| decode_records(&entry.bytes));
    let new = found
        .entries
        .iter()
        .filter(|entry| entry.index <= upto)
        .filter_map(|entry| decode_record(&entry.bytes));
    let bytes = encode_records(&recover(old.chain(new)).into_records());
    // A store that failed here is dead, which the next sync reports.
    let _ = store.snapshot(upto, &bytes);
}

/// Runs one plan under one seed.
pub fn play(plan: Plan, seed: u64) -> Findings {
    World::new(plan, seed).play()
}
