//! The leader's side: who wants what, whose lease runs how long, and what to propose. Nothing of it is in the log, so a
//! renewal costs a round among the voters and no write: a new leader counts every lease anew, from after its election,
//! and so never shorter than any leader before it has promised.

use crate::message::{
    DutyInfo, HeldLease, HolderInfo, LeaseRequest, LeaseResponse, Order, Rank, Release, ResponseBody,
    WaitStatus, Want,
};
use crate::state::{Change, Command, Duties, Entry, Grantee, Holder, ProcessId};
use crate::times::{ASKS, DEAF, Times};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Ask the log for a linearizable read of that number; `read` then says what came of it.
    Read(u64),
    Propose(Vec<u8>),
    Respond(LeaseResponse),
}

/// One that wants a duty.
struct Candidate {
    who: ProcessId,
    want: Want,
    /// Its last ask that came.
    number: u64,
    heard: f64,
    /// Since when it has been there without a gap, in this standing or a better one.
    since: f64,
    /// Since when it has been there without having the duty.
    waits: f64,
}

/// A grant that was proposed.
struct Granting {
    duty: String,
    who: ProcessId,
    /// The asker's ask that had come by then. Its lease counts from that one: a later ask may come while this leader does
    /// not know yet that another was elected, which counts from its election.
    number: u64,
}

/// A holder that is to leave.
struct Going {
    asked: f64,
    to: Option<String>,
}

/// One whose asks come may not hear the answers: it does not act then, and must not keep others from it.
struct Unheard {
    life: u64,
    number: u64,
    at: f64,
}

struct Lead {
    term: u64,
    /// When each token's lease is over.
    until: BTreeMap<u64, (String, f64)>,
    /// Tokens whose end is proposed.
    ending: BTreeSet<u64>,
    granting: Vec<Granting>,
    going: BTreeMap<u64, Going>,
    candidates: BTreeMap<String, BTreeMap<String, Candidate>>,
    /// What each process wanted last.
    wanted: BTreeMap<String, Vec<String>>,
    /// Operators took it from them: not theirs again before then.
    taken: BTreeMap<(String, String), f64>,
    /// The first answer to each process that it has not said it heard.
    unheard: BTreeMap<String, Unheard>,
    collecting: Vec<LeaseRequest>,
    reading: Option<(u64, Vec<LeaseRequest>)>,
}

pub struct LeaseManager {
    me: String,
    times: Times,
    /// The log's time, and when that was here.
    clock: (f64, f64),
    reads: u64,
    lead: Option<Lead>,
    out: Vec<Action>,
}

impl LeaseManager {
    pub fn new(me: &str, times: Times) -> Self {
        Self { me: me.into(), times, clock: (0.0, 0.0), reads: 0, lead: None, out: Vec::new() }
    }

    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.out)
    }

    pub fn is_leading(&self) -> bool {
        self.lead.is_some()
    }

    fn log_now(&self, now: f64) -> f64 {
        self.clock.0 + (now - self.clock.1).max(0.0)
    }

    // ---- the log ----

    /// This voter leads in that term and has applied all that was committed before it, or it does not lead.
    pub fn set_leadership(&mut self, term: Option<u64>, duties: &Duties, now: f64) {
        if self.lead.as_ref().map(|lead| lead.term) == term {
            return;
        }
        if let Some(lead) = self.lead.take() {
            let reading = lead.reading.into_iter().flat_map(|(_, requests)| requests);
            reading.chain(lead.collecting).for_each(|request| self.elsewhere(&request, None));
        }
        let Some(term) = term else { return };
        let holders = duties.all().flat_map(|(name, duty)| duty.holders.iter().map(move |one| (name, one)));
        let until = holders.map(|(name, one)| (one.token, (name.clone(), now + one.lease))).collect();
        self.lead = Some(Lead {
            term,
            until,
            ending: BTreeSet::new(),
            granting: Vec::new(),
            going: BTreeMap::new(),
            candidates: BTreeMap::new(),
            wanted: BTreeMap::new(),
            taken: BTreeMap::new(),
            unheard: BTreeMap::new(),
            collecting: Vec::new(),
            reading: None,
        });
    }

    /// A snapshot has taken the place of what was applied.
    pub fn restored(&mut self, duties: &Duties, now: f64) {
        self.clock = (duties.log_time(), now);
    }

    /// An entry was applied, and these came of it.
    pub fn applied(&mut self, changes: Vec<Change>, duties: &Duties, now: f64) {
        if duties.log_time() > self.clock.0 {
            self.clock = (duties.log_time(), now);
        }
        for change in changes {
            match change {
                Change::Granted { duty, holder } => self.granted(duty, &holder, now),
                Change::Ended { duty, holder } => {
                    let Some(lead) = &mut self.lead else { continue };
                    lead.until.remove(&holder.token);
                    lead.ending.remove(&holder.token);
                    lead.going.remove(&holder.token);
                    let own = lead.candidates.get_mut(&duty).and_then(|all| all.get_mut(&holder.who.name));
                    if let Some(own) = own {
                        own.waits = now;
                    }
                    self.fill(&duty, duties, now);
                }
                Change::Refused { duty, who } => {
                    self.no_more_granting(&duty, &who);
                }
            }
        }
    }

    fn no_more_granting(&mut self, duty: &str, who: &ProcessId) -> Option<u64> {
        let lead = self.lead.as_mut()?;
        let place = lead.granting.iter().position(|one| one.duty == duty && one.who == *who)?;
        Some(lead.granting.remove(place).number)
    }

    fn granted(&mut self, duty: String, holder: &Holder, now: f64) {
        let number = self.no_more_granting(&duty, &holder.who);
        let Some(lead) = &mut self.lead else { return };
        lead.until.insert(holder.token, (duty.clone(), now + holder.lease));
        if let Some(number) = number {
            let (token, lease) = (holder.token, holder.lease);
            let held = HeldLease { duty, token, lease, renewed: true, give_up: false };
            self.tell(&holder.who, number, ResponseBody::Granted(held));
        }
    }

    fn propose(&mut self, command: Command, now: f64) {
        let entry = Entry { at: self.log_now(now), command };
        self.out.push(Action::Propose(entry.encode()));
    }

    fn tell(&mut self, to: &ProcessId, number: u64, body: ResponseBody) {
        self.out.push(Action::Respond(LeaseResponse { from: self.me.clone(), to: to.clone(), number, body }));
    }

    fn elsewhere(&mut self, request: &LeaseRequest, leader: Option<&str>) {
        let leader = leader.map(str::to_string);
        self.tell(&request.from, request.number, ResponseBody::NotLeader { leader });
    }

    // ---- asks ----

    /// An ask came; `leader` is who leads as far as this voter knows.
    pub fn receive(&mut self, request: LeaseRequest, leader: Option<&str>, now: f64) {
        let Some(lead) = &mut self.lead else { return self.elsewhere(&request, leader) };
        lead.note(&request, now);
        lead.collecting.push(request);
        self.read_on();
    }

    /// One read for all asks that came while the one before it was under way.
    fn read_on(&mut self) {
        let Some(lead) = self.lead.as_mut().filter(|lead| lead.reading.is_none()) else { return };
        if lead.collecting.is_empty() {
            return;
        }
        self.reads += 1;
        lead.reading = Some((self.reads, std::mem::take(&mut lead.collecting)));
        self.out.push(Action::Read(self.reads));
    }

    /// That read may be answered, or can't be.
    pub fn read_result(&mut self, read: u64, may: bool, duties: &Duties, now: f64) {
        let Some(lead) = &mut self.lead else { return };
        let Some((_, requests)) = lead.reading.take_if(|(number, _)| *number == read) else { return };
        for request in requests {
            if may { self.answer(&request, duties, now) } else { self.elsewhere(&request, None) }
        }
        self.read_on();
    }

    fn answer(&mut self, request: &LeaseRequest, duties: &Duties, now: f64) {
        for Release { duty, token, succeeded } in &request.over {
            if duties.holder(duty, *token).is_some_and(|holder| holder.who == request.from) {
                self.end(duty, *token, *succeeded, duties, now);
            }
        }
        let orders = request.orders.iter().map(|order| self.order(order, duties, now)).collect();
        for want in &request.wants {
            self.fill(&want.duty, duties, now);
            self.move_on(&want.duty, duties, now);
        }
        let held = self.renew(&request.from, duties, now);
        let waits = request.wants.iter().filter(|want| !held.iter().any(|held| held.duty == want.duty));
        let waits = waits.map(|want| self.waits(&want.duty, duties, now)).collect();
        let list = request.list.then(|| self.list(duties, now));
        if let Some(lead) = &mut self.lead {
            let unheard = Unheard { life: request.from.life, number: request.number, at: now };
            lead.unheard.entry(request.from.name.clone()).or_insert(unheard);
        }
        self.tell(&request.from, request.number, ResponseBody::Status { held, waits, list, orders });
    }

    /// All that it holds, renewed but for what it has to leave.
    fn renew(&mut self, who: &ProcessId, duties: &Duties, now: f64) -> Vec<HeldLease> {
        let Some(lead) = &mut self.lead else { return Vec::new() };
        let mut all = Vec::new();
        for (name, duty) in duties.all() {
            let Some(holder) = duty.holders.iter().find(|holder| holder.who == *who) else { continue };
            let (token, lease) = (holder.token, holder.lease);
            let going = lead.going.get(&token);
            let hears = !lead.is_deaf(&who.name, lease, now);
            // One that is told to leave has a lease's time for that, or it would never have to.
            let stays = going.is_none_or(|going| now < going.asked + lease);
            let renewed = hears && stays && !lead.ending.contains(&token);
            if renewed {
                lead.until.insert(token, (name.clone(), now + lease));
            }
            let give_up = going.is_some();
            all.push(HeldLease { duty: name.clone(), token, lease, renewed, give_up });
        }
        all
    }

    fn taken(&self, holders: &[Holder], now: f64) -> Vec<HolderInfo> {
        let until =
            |token| self.lead.as_ref().and_then(|lead| lead.until.get(&token)).map(|(_, until)| *until);
        let taken = |one: &Holder| HolderInfo {
            name: one.who.name.clone(),
            token: one.token,
            left: until(one.token).map_or(0.0, |until| (until - now).max(0.0)),
        };
        holders.iter().map(taken).collect()
    }

    fn waits(&self, duty: &str, duties: &Duties, now: f64) -> WaitStatus {
        let holders = self.taken(duties.holders(duty), now);
        let ran = duties.get(duty).and_then(|duty| duty.ran.as_ref());
        WaitStatus {
            duty: duty.into(),
            holders,
            ran_ago: ran.map(|ran| (self.log_now(now) - ran.at).max(0.0)),
        }
    }

    fn list(&self, duties: &Duties, now: f64) -> Vec<DutyInfo> {
        let Some(lead) = &self.lead else { return Vec::new() };
        let names: BTreeSet<&String> =
            duties.all().map(|(name, _)| name).chain(lead.candidates.keys()).collect();
        let listed = |name: &String| {
            let WaitStatus { duty, holders, ran_ago } = self.waits(name, duties, now);
            let ran_by = duties.get(name).and_then(|duty| duty.ran.as_ref()).map(|ran| ran.by.clone());
            let mut waiting: Vec<(Rank, String)> =
                lead.here(name, now).map(|one| (one.want.rank, one.who.name.clone())).collect();
            waiting.sort();
            let candidates = waiting.into_iter().map(|(_, name)| name).collect();
            DutyInfo { duty, holders, candidates, ran_ago, ran_by }
        };
        names.into_iter().map(listed).collect()
    }

    fn order(&mut self, order: &Order, duties: &Duties, now: f64) -> String {
        let Order::Move { duty, token, to } = order;
        let Some(holder) = duties.holder(duty, *token) else {
            return format!("{duty} is not held under token {token}");
        };
        let Some(lead) = &mut self.lead else { return String::new() };
        if let Some(name) = to
            && !lead.here(duty, now).any(|one| one.who.name == *name && one.who != holder.who)
        {
            return format!("{name} does not want {duty}");
        }
        let name = holder.who.name.clone();
        lead.going.entry(*token).or_insert(Going { asked: now, to: to.clone() });
        lead.taken.insert((duty.clone(), name.clone()), now + holder.lease + self.times.stability);
        format!("{name} is told to leave {duty}")
    }

    // ---- who has it next ----

    /// Grants what is free to those who are best placed.
    fn fill(&mut self, duty: &str, duties: &Duties, now: f64) {
        let log_now = self.log_now(now);
        while let Some(lead) = &self.lead {
            let Some(best) = lead.best(duty, None, None, duties, (now, log_now)) else { return };
            let granting = lead.granting.iter().filter(|one| one.duty == duty).count();
            if duties.holders(duty).len() + granting >= best.want.max_holders as usize {
                return;
            }
            let to = self.begin_granting(duty, None, None, duties, now);
            let Some(to) = to else { return };
            self.propose(Command::Grant { duty: duty.into(), to }, now);
        }
    }

    fn begin_granting(
        &mut self,
        duty: &str,
        but: Option<&ProcessId>,
        to: Option<&str>,
        duties: &Duties,
        now: f64,
    ) -> Option<Grantee> {
        let log_now = self.log_now(now);
        let lead = self.lead.as_mut()?;
        let best = lead.best(duty, but, to, duties, (now, log_now))?;
        let (who, number, want) = (best.who.clone(), best.number, &best.want);
        let to = Grantee {
            who: who.clone(),
            lease: want.lease,
            outlives_process: want.outlives_process,
            max_holders: want.max_holders,
        };
        lead.granting.push(Granting { duty: duty.into(), who, number });
        Some(to)
    }

    /// Proposes the end of a token, and whoever is best placed after it.
    fn end(&mut self, duty: &str, token: u64, succeeded: bool, duties: &Duties, now: f64) {
        let Some(lead) = self.lead.as_mut() else { return };
        let Some(holder) = duties.holder(duty, token).filter(|_| lead.ending.insert(token)) else { return };
        let to = lead.going.get(&token).and_then(|going| going.to.clone());
        let once = |one: &Candidate| one.want.min_interval > 0.0;
        // The run that ends here is not remembered yet: whoever wants it once in a while is asked after it is.
        let waits = succeeded && lead.candidates.get(duty).is_some_and(|all| all.values().any(once));
        let next = if waits {
            None
        } else {
            self.begin_granting(duty, Some(&holder.who), to.as_deref(), duties, now)
        };
        self.propose(Command::End { duty: duty.into(), token, next, succeeded }, now);
    }

    /// A better candidate that has been there for long is to have it.
    fn move_on(&mut self, duty: &str, duties: &Duties, now: f64) {
        let (steady, log_now) = (self.times.stability, self.log_now(now));
        let Some(lead) = self.lead.as_mut() else { return };
        let holders = duties.holders(duty);
        if holders.iter().any(|one| lead.going.contains_key(&one.token) || lead.ending.contains(&one.token)) {
            return;
        }
        let rank = |one: &Holder| {
            let own = lead.candidates.get(duty).and_then(|all| all.get(&one.who.name));
            own.map(|own| own.want.rank)
        };
        let held = holders.iter().filter(|one| log_now - one.since >= steady);
        let worst = held.filter_map(|one| rank(one).map(|rank| (rank, one.token))).max();
        let Some((worst, token)) = worst else { return };
        let Some(best) = lead.best(duty, None, None, duties, (now, log_now)) else { return };
        if best.want.rank < worst && now - best.since >= steady {
            let to = Some(best.who.name.clone());
            lead.going.insert(token, Going { asked: now, to });
        }
    }

    /// That life of a process is over for certain: what it held and what can't go on without it is free.
    pub fn process_ended(&mut self, who: &ProcessId, duties: &Duties, now: f64) {
        let Some(lead) = &mut self.lead else { return };
        lead.forget(who);
        let mut over = Vec::new();
        for (name, duty) in duties.all() {
            let gone = duty.holders.iter().filter(|one| one.who == *who && !one.outlives_process);
            over.extend(gone.map(|one| (name.clone(), one.token)));
        }
        over.iter().for_each(|(duty, token)| self.end(duty, *token, false, duties, now));
    }

    // ---- time ----

    pub fn due(&self) -> f64 {
        let Some(lead) = &self.lead else { return f64::INFINITY };
        let open = lead.until.iter().filter(|(token, _)| !lead.ending.contains(token));
        open.map(|(_, (_, until))| *until).fold(self.clock.1 + self.times.time_interval, f64::min)
    }

    pub fn tick(&mut self, duties: &Duties, now: f64) {
        let Some(lead) = &mut self.lead else { return };
        let over =
            lead.until.iter().filter(|(token, (_, until))| *until <= now && !lead.ending.contains(token));
        let over: Vec<(String, u64)> = over.map(|(token, (duty, _))| (duty.clone(), *token)).collect();
        lead.taken.retain(|_, until| now < *until);
        over.iter().for_each(|(duty, token)| self.end(duty, *token, false, duties, now));
        if now >= self.clock.1 + self.times.time_interval {
            let remembers = duties.all().any(|(_, duty)| duty.ran.is_some());
            // Counted from here on in any case: nothing is to be proposed at each call.
            let at = self.log_now(now);
            if remembers {
                self.propose(Command::Time, now);
            }
            self.clock = (at, now);
        }
    }
}

impl Lead {
    /// It has been answered for longer than from one ask to the next, and has not said that it heard.
    fn is_deaf(&self, name: &str, lease: f64, now: f64) -> bool {
        self.unheard.get(name).is_some_and(|unheard| now - unheard.at > lease / ASKS + DEAF)
    }

    /// What one wants now.
    fn note(&mut self, request: &LeaseRequest, now: f64) {
        let name = &request.from.name;
        let wants = request.wants.iter().map(|want| want.lease);
        let was_deaf = self.is_deaf(name, wants.fold(0.0, f64::max), now);
        let heard =
            |unheard: &Unheard| unheard.life != request.from.life || request.answered >= unheard.number;
        if self.unheard.get(name).is_some_and(heard) {
            self.unheard.remove(name);
        }
        let names: Vec<String> = request.wants.iter().map(|want| want.duty.clone()).collect();
        let before = self.wanted.insert(name.clone(), names.clone()).unwrap_or_default();
        for duty in before.iter().filter(|duty| !names.contains(duty)) {
            if let Some(all) = self.candidates.get_mut(duty) {
                all.remove(name);
                if all.is_empty() {
                    self.candidates.remove(duty);
                }
            }
        }
        for want in &request.wants {
            let all = self.candidates.entry(want.duty.clone()).or_default();
            let before = all.get(name).filter(|one| one.who == request.from);
            if before.is_some_and(|one| one.number > request.number) {
                continue;
            }
            let steady = before
                .filter(|one| !was_deaf && now - one.heard <= one.want.lease)
                .filter(|one| want.rank <= one.want.rank)
                .map_or(now, |one| one.since);
            let waits = before.map_or(now, |one| one.waits.max(steady));
            let (who, want, number) = (request.from.clone(), want.clone(), request.number);
            all.insert(name.clone(), Candidate { who, want, number, heard: now, since: steady, waits });
        }
    }

    fn forget(&mut self, who: &ProcessId) {
        self.unheard.remove(&who.name);
        self.candidates.values_mut().for_each(|all| all.retain(|_, one| one.who != *who));
        self.candidates.retain(|_, all| !all.is_empty());
    }

    /// Those that want it and were heard of lately.
    fn here(&self, duty: &str, now: f64) -> impl Iterator<Item = &Candidate> {
        let all = self.candidates.get(duty).into_iter().flat_map(|all| all.values());
        all.filter(move |one| now - one.heard <= one.want.lease)
            .filter(move |one| !self.is_deaf(&one.who.name, one.want.lease, now))
    }

    /// Who is best placed of those that could have it: the one named, if it is there, else by standing; of equals the one
    /// that has waited longest, or two of them would give it to each other and nobody else had it.
    fn best(
        &self,
        duty: &str,
        but: Option<&ProcessId>,
        to: Option<&str>,
        duties: &Duties,
        (now, log_now): (f64, f64),
    ) -> Option<&Candidate> {
        let has = |who: &ProcessId| duties.holders(duty).iter().any(|holder| holder.who == *who);
        let gets = |who: &ProcessId| self.granting.iter().any(|one| one.duty == duty && one.who == *who);
        let taken = |who: &ProcessId| self.taken.contains_key(&(duty.to_string(), who.name.clone()));
        let ran = duties.get(duty).and_then(|duty| duty.ran.as_ref());
        let due = |want: &Want| ran.is_none_or(|ran| log_now - ran.at >= want.min_interval);
        let place = |one: &&Candidate| (to != Some(one.who.name.as_str()), one.want.rank);
        self.here(duty, now)
            .filter(|one| Some(&one.who) != but && !has(&one.who) && !gets(&one.who) && !taken(&one.who))
            .filter(|one| due(&one.want))
            .min_by(|a, b| {
                let waited = a.waits.total_cmp(&b.waits);
                place(a).cmp(&place(b)).then(waited).then_with(|| a.who.name.cmp(&b.who.name))
            })
    }
}
