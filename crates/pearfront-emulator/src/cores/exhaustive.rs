//! Bounded model checking of three voters: every order of messages, each delivered never, once or again, and every
//! time-out, sync and crash, up to a depth. It drives the production cores, not a model of them, and visits each state
//! once. Used by `pearfront prove` and the tests.

use pearfront_consensus::{Action, Message, PersistentState, Record, Role, Times, Voter, decode, recover};
use pearfront_duties::{Command, Duties, Entry, Grantee, ProcessId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// A time step after which every time-out has expired, ms.
const LONG: f64 = 10_000.0;

#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Most steps from the initial state.
    pub depth: usize,
    /// Most states visited, whatever the depth.
    pub states: usize,
    /// Most terms that may begin.
    pub terms: u64,
    /// Most grants that may be proposed: of two duties in turn, to two processes.
    pub proposals: u8,
    /// Most crashes of voters; unsynced data is lost. Without crashes a sync completes at once, since a later sync is
    /// equivalent to a later message.
    pub crashes: u8,
    /// Begin with an elected leader that has proposed its grants.
    pub led: bool,
    /// A faulty driver: reports records as stored, and loses all of them in a crash.
    pub forgets: bool,
    /// Begin after all voters lost all data: more than the protocol tolerates, which the check has to find.
    pub all_forgot: bool,
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Found {
    pub states: usize,
    /// Number of steps up to which all states were visited.
    pub depth: usize,
    /// First violation of an invariant, and the steps that lead to it.
    pub broken: Option<(String, Vec<String>)>,
}

#[derive(Clone)]
struct Node {
    voter: Voter,
    now: f64,
    /// Groups of records not yet synced, and the synced records.
    waiting: VecDeque<(u64, Vec<Record>)>,
    stable: Vec<Record>,
    applied: u64,
    duties: Duties,
}

#[derive(Clone)]
struct World {
    nodes: Vec<Node>,
    /// Every message ever sent: the network may lose, delay and duplicate each.
    sent: BTreeSet<Vec<u8>>,
    leaders: BTreeMap<u64, usize>,
    committed: BTreeMap<u64, (u64, Vec<u8>)>,
    proposals: u8,
    crashes: u8,
    broken: Option<String>,
}

#[derive(Debug, Clone)]
enum Step {
    Deliver(Vec<u8>),
    TimeOut(usize),
    Beat(usize),
    Propose(usize),
    Sync(usize),
    Crash(usize),
}

impl Step {
    fn shown(&self) -> String {
        match self {
            Self::Deliver(bytes) => match decode(bytes) {
                Some(message) => format!("{message:?}"),
                None => "nothing".into(),
            },
            other => format!("{other:?}"),
        }
    }
}

fn names() -> Vec<String> {
    ["v0", "v1", "v2"].map(str::to_string).to_vec()
}

impl World {
    fn new(bounds: &Bounds) -> Self {
        let node = |place: usize| {
            let names = names();
            let voter =
                Voter::new(&names[place], &names, PersistentState::default(), Times::default(), 1, 0.0);
            let (waiting, stable, duties) = (VecDeque::new(), Vec::new(), Duties::default());
            Node { voter, now: 0.0, waiting, stable, applied: 0, duties }
        };
        let mut world = Self {
            nodes: (0..3).map(node).collect(),
            sent: BTreeSet::new(),
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            proposals: bounds.proposals,
            crashes: bounds.crashes,
            broken: None,
        };
        // All voters have reported to one another that they hold nothing; from here on any step may follow.
        (0..3).for_each(|place| world.act(place, true, |voter, now| voter.tick(now)));
        world.deliver_all();
        if bounds.led {
            world.nodes[0].now += LONG;
            world.act(0, true, |voter, now| voter.tick(now));
            world.deliver_all();
        }
        if bounds.all_forgot {
            world.sent.clear();
            world.crashes += 3;
            (0..3).for_each(|who| world.crash(who, true));
            world.deliver_all();
        }
        world.sent.clear();
        world
    }

    fn deliver_all(&mut self) {
        let mut seen = BTreeSet::new();
        while let Some(bytes) = self.sent.iter().find(|bytes| !seen.contains(*bytes)).cloned() {
            seen.insert(bytes.clone());
            self.deliver(&bytes, true);
        }
    }

    fn deliver(&mut self, bytes: &[u8], syncs: bool) {
        let Some(message) = decode(bytes) else { return };
        let Some(to) = names().iter().position(|name| *name == message.to) else { return };
        self.act(to, syncs, |voter, now| voter.receive(message, now));
    }

    /// Carries out the voter's actions and checks the invariants.
    fn act(&mut self, who: usize, syncs: bool, call: impl FnOnce(&mut Voter, f64)) {
        let now = self.nodes[who].now;
        call(&mut self.nodes[who].voter, now);
        loop {
            let out = self.nodes[who].voter.take_actions();
            if out.is_empty() {
                break;
            }
            out.into_iter().for_each(|out| self.carry(who, out));
            if syncs {
                self.sync(who);
            }
        }
        let voter = &self.nodes[who].voter;
        if voter.role() == Role::Leader && *self.leaders.entry(voter.term()).or_insert(who) != who {
            self.broken = Some(format!("two leaders in term {}", voter.term()));
        }
    }

    fn carry(&mut self, who: usize, out: Action) {
        match out {
            Action::Store { number, records } => self.nodes[who].waiting.push_back((number, records)),
            Action::Send(message) => self.send(&message),
            Action::Commit(entry) => {
                let node = &mut self.nodes[who];
                node.duties.apply(&entry.bytes);
                let follows = entry.index == node.applied + 1;
                node.applied = entry.index;
                let is = (entry.term, entry.bytes);
                let known = self.committed.entry(entry.index).or_insert(is.clone());
                if *known != is || !follows {
                    self.broken = Some(format!("v{who} commits another entry at {}", entry.index));
                }
            }
            Action::Restore { .. } | Action::ReadReady { .. } | Action::ReadFailed { .. } => {}
        }
    }

    fn send(&mut self, message: &Message) {
        self.sent.insert(message.encode());
    }

    /// Completes the sync of the next group.
    fn sync(&mut self, who: usize) {
        let node = &mut self.nodes[who];
        let Some((number, records)) = node.waiting.pop_front() else { return };
        node.stable.extend(records);
        self.act(who, false, |voter, now| voter.on_stored(number, now));
    }

    fn crash(&mut self, who: usize, forgets: bool) {
        self.crashes -= 1;
        let names = names();
        let node = &mut self.nodes[who];
        node.waiting.clear();
        if forgets {
            node.stable.clear();
        }
        let kept = recover(node.stable.iter().cloned());
        node.now += LONG;
        node.voter = Voter::new(&names[who], &names, kept, Times::default(), 1, node.now);
        (node.applied, node.duties) = (0, Duties::default());
        self.act(who, false, |voter, now| voter.tick(now));
    }

    fn propose(&mut self, who: usize) {
        self.proposals -= 1;
        let number = u64::from(self.proposals);
        let to = Grantee {
            who: ProcessId { name: format!("n{}", number / 2 % 2), life: 1 },
            lease: 1000.0,
            outlives_process: false,
            max_holders: 1,
        };
        let command = Command::Grant { duty: format!("d{}", number % 2), to };
        let bytes = Entry { at: 0.0, command }.encode();
        self.act(who, self.crashes == 0, |voter, now| {
            voter.propose(bytes, now);
        });
    }

    fn steps(&self, bounds: &Bounds) -> Vec<Step> {
        let mut steps: Vec<Step> = self.sent.iter().cloned().map(Step::Deliver).collect();
        for (who, node) in self.nodes.iter().enumerate() {
            if node.voter.role() == Role::Leader {
                steps.push(Step::Beat(who));
                if self.proposals > 0 {
                    steps.push(Step::Propose(who));
                }
            } else if node.voter.term() < bounds.terms && node.voter.may_stand() {
                steps.push(Step::TimeOut(who));
            }
            if !node.waiting.is_empty() {
                steps.push(Step::Sync(who));
            }
            if self.crashes > 0 {
                steps.push(Step::Crash(who));
            }
        }
        steps
    }

    fn after(&self, step: &Step, bounds: &Bounds) -> Self {
        let mut next = self.clone();
        let syncs = bounds.crashes == 0;
        match step {
            Step::Deliver(bytes) => next.deliver(bytes, syncs),
            Step::TimeOut(who) => {
                next.nodes[*who].now += LONG;
                next.act(*who, syncs, |voter, now| voter.tick(now));
            }
            Step::Beat(who) => {
                next.nodes[*who].now += Times::default().heartbeat;
                next.act(*who, syncs, |voter, now| voter.tick(now));
            }
            Step::Propose(who) => next.propose(*who),
            Step::Sync(who) => next.sync(*who),
            Step::Crash(who) => next.crash(*who, bounds.forgets),
        }
        next.look();
        next
    }

    /// Voters with the same applied index must hold the same state, and no duty may have two holders.
    fn look(&mut self) {
        for one in &self.nodes {
            for other in &self.nodes {
                if one.applied == other.applied && one.duties != other.duties {
                    self.broken = Some(format!("two voters differ at entry {}", one.applied));
                }
            }
            if one.duties.all().any(|(_, duty)| duty.holders.len() > 1) {
                self.broken = Some("a duty has two holders".into());
            }
        }
    }

    /// Encoding that distinguishes this state from others.
    fn key(&self) -> u128 {
        let half = |salt: u8| {
            let mut hasher = DefaultHasher::new();
            salt.hash(&mut hasher);
            for node in &self.nodes {
                node.voter.fingerprint(node.now).hash(&mut hasher);
                format!("{:?}{:?}", node.waiting, node.stable).hash(&mut hasher);
            }
            self.sent.hash(&mut hasher);
            self.leaders.hash(&mut hasher);
            self.committed.hash(&mut hasher);
            (self.proposals, self.crashes).hash(&mut hasher);
            hasher.finish()
        };
        u128::from(half(0)) << 64 | u128::from(half(1))
    }
}

/// Visits all states, breadth first, until a bound on depth or number of states is reached or an invariant is violated.
pub fn check(bounds: &Bounds) -> Found {
    let begin = World::new(bounds);
    let mut seen = BTreeSet::from([begin.key()]);
    // Predecessor of each state, and the step from it.
    let mut ways: Vec<(usize, String)> = vec![(0, String::new())];
    let mut open = VecDeque::from([(begin, 0, 0)]);
    let mut found = Found { states: 1, ..Found::default() };
    while let Some((world, place, depth)) = open.pop_front() {
        found.depth = depth;
        if depth == bounds.depth || found.states >= bounds.states {
            return found;
        }
        for step in world.steps(bounds) {
            let next = world.after(&step, bounds);
            if !seen.insert(next.key()) {
                continue;
            }
            found.states += 1;
            ways.push((place, step.shown()));
            if let Some(what) = &next.broken {
                found.broken = Some((what.clone(), way(&ways)));
                return found;
            }
            open.push_back((next, ways.len() - 1, depth + 1));
        }
    }
    // No states are left.
    found.depth = bounds.depth;
    found
}

/// The steps that lead to the last state.
fn way(ways: &[(usize, String)]) -> Vec<String> {
    let (mut steps, mut at) = (Vec::new(), ways.len() - 1);
    while at > 0 {
        steps.push(ways[at].1.clone());
        at = ways[at].0;
    }
    steps.reverse();
    steps
}
