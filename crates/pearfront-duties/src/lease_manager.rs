//! The leader's side: candidates, lease expiry, and what to propose. Used by each voter in `pearfront-cluster`.
//!
//! None of this is in the log, so renewing a lease costs a round among the voters but no write. A new leader
//! starts all leases over, counted from after its election, so they never end before what an earlier leader has
//! promised.

use crate::message::{
    DutyInfo, HeldLease, HolderInfo, LeaseRequest, LeaseResponse, Order, Rank, Release, ResponseBody,
    WaitStatus, Want,
};
use crate::state::{Change, Command, Duties, Entry, Grantee, Holder, ProcessId};
use crate::times::{REQUESTS_PER_LEASE, RESPONSE_LOSS_GRACE, Times};
use std::collections::{BTreeMap, BTreeSet};

/// What the caller has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Request a linearizable read with this number from the log; the outcome goes to `read_result`.
    Read(u64),
    /// Propose this entry to the log.
    Propose(Vec<u8>),
    /// Send this response.
    Respond(LeaseResponse),
}

/// A process that wants a duty.
struct Candidate {
    who: ProcessId,
    want: Want,
    /// Number of its latest request.
    number: u64,
    last_request_at: f64,
    /// Since when it has been present without a gap, at this rank or a better one.
    steady_since: f64,
    /// Since when it has been present without holding the duty.
    waiting_since: f64,
}

/// A grant that has been proposed and is not committed yet.
struct PendingGrant {
    duty: String,
    who: ProcessId,
    /// The grantee's latest request at that time. Its lease counts from that one: a later request may arrive
    /// when another leader has been elected, unknown to this one, and that leader counts leases from its own
    /// election.
    number: u64,
}

/// A holder that has been asked to hand its duty over.
struct PendingMove {
    requested_at: f64,
    to: Option<String>,
}

/// The oldest response that a process has not confirmed. A process whose requests arrive may not receive the
/// responses; it does not act then, and must not keep the duty from others.
struct UnconfirmedResponse {
    life: u64,
    number: u64,
    sent_at: f64,
}

/// State that only exists while this voter leads.
struct Leadership {
    term: u64,
    /// When the lease of each token expires.
    expiries: BTreeMap<u64, (String, f64)>,
    /// Tokens whose end has been proposed.
    ending_tokens: BTreeSet<u64>,
    pending_grants: Vec<PendingGrant>,
    pending_moves: BTreeMap<u64, PendingMove>,
    candidates: BTreeMap<String, BTreeMap<String, Candidate>>,
    /// Duties named in the latest request of each process.
    wanted_duties: BTreeMap<String, Vec<String>>,
    /// By duty and process: operators have moved the duty away, and it does not return there before this time.
    blocked_until: BTreeMap<(String, String), f64>,
    /// The first response to each process that it has not confirmed.
    unconfirmed: BTreeMap<String, UnconfirmedResponse>,
    queued_requests: Vec<LeaseRequest>,
    read_in_flight: Option<(u64, Vec<LeaseRequest>)>,
}

/// Grants and renews leases while this voter leads, and redirects requests otherwise.
pub struct LeaseManager {
    own_name: String,
    times: Times,
    /// The log's time, and the local time that corresponds to it.
    log_clock: (f64, f64),
    last_read_id: u64,
    leadership: Option<Leadership>,
    actions: Vec<Action>,
}

impl LeaseManager {
    /// The lease manager of a voter that does not lead.
    pub fn new(own_name: &str, times: Times) -> Self {
        Self {
            own_name: own_name.into(),
            times,
            log_clock: (0.0, 0.0),
            last_read_id: 0,
            leadership: None,
            actions: Vec::new(),
        }
    }

    /// Takes the actions that are pending.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Does this voter lead?
    pub fn is_leading(&self) -> bool {
        self.leadership.is_some()
    }

    fn log_now(&self, now: f64) -> f64 {
        self.log_clock.0 + (now - self.log_clock.1).max(0.0)
    }

    // ---- log ----

    /// Sets whether this voter leads: the term if it does and has applied everything committed before it, else
    /// `None`.
    pub fn set_leadership(&mut self, term: Option<u64>, duties: &Duties, now: f64) {
        if self.leadership.as_ref().map(|leadership| leadership.term) == term {
            return;
        }
        if let Some(leadership) = self.leadership.take() {
            let in_flight = leadership.read_in_flight.into_iter().flat_map(|(_, requests)| requests);
            in_flight
                .chain(leadership.queued_requests)
                .for_each(|request| self.respond_not_leader(&request, None));
        }
        let Some(term) = term else { return };
        let holders = duties.all().flat_map(|(name, duty)| duty.holders.iter().map(move |one| (name, one)));
        let expiries = holders.map(|(name, one)| (one.token, (name.clone(), now + one.lease))).collect();
        self.leadership = Some(Leadership {
            term,
            expiries,
            ending_tokens: BTreeSet::new(),
            pending_grants: Vec::new(),
            pending_moves: BTreeMap::new(),
            candidates: BTreeMap::new(),
            wanted_duties: BTreeMap::new(),
            blocked_until: BTreeMap::new(),
            unconfirmed: BTreeMap::new(),
            queued_requests: Vec::new(),
            read_in_flight: None,
        });
    }

    /// A snapshot has replaced the applied state.
    pub fn restored(&mut self, duties: &Duties, now: f64) {
        self.log_clock = (duties.log_time(), now);
    }

    /// An entry has been applied, with these changes.
    pub fn applied(&mut self, changes: Vec<Change>, duties: &Duties, now: f64) {
        if duties.log_time() > self.log_clock.0 {
            self.log_clock = (duties.log_time(), now);
        }
        for change in changes {
            match change {
                Change::Granted { duty, holder } => self.on_granted(duty, &holder, now),
                Change::Ended { duty, holder } => {
                    let Some(leadership) = &mut self.leadership else { continue };
                    leadership.expiries.remove(&holder.token);
                    leadership.ending_tokens.remove(&holder.token);
                    leadership.pending_moves.remove(&holder.token);
                    let own =
                        leadership.candidates.get_mut(&duty).and_then(|all| all.get_mut(&holder.who.name));
                    if let Some(own) = own {
                        own.waiting_since = now;
                    }
                    self.grant_free(&duty, duties, now);
                }
                Change::Refused { duty, who } => {
                    self.remove_pending_grant(&duty, &who);
                }
            }
        }
    }

    fn remove_pending_grant(&mut self, duty: &str, who: &ProcessId) -> Option<u64> {
        let leadership = self.leadership.as_mut()?;
        let index = leadership.pending_grants.iter().position(|one| one.duty == duty && one.who == *who)?;
        Some(leadership.pending_grants.remove(index).number)
    }

    fn on_granted(&mut self, duty: String, holder: &Holder, now: f64) {
        let number = self.remove_pending_grant(&duty, &holder.who);
        let Some(leadership) = &mut self.leadership else { return };
        leadership.expiries.insert(holder.token, (duty.clone(), now + holder.lease));
        if let Some(number) = number {
            let (token, lease) = (holder.token, holder.lease);
            let held = HeldLease { duty, token, lease, renewed: true, give_up: false };
            self.respond(&holder.who, number, ResponseBody::Granted(held));
        }
    }

    fn propose(&mut self, command: Command, now: f64) {
        let entry = Entry { at: self.log_now(now), command };
        self.actions.push(Action::Propose(entry.encode()));
    }

    fn respond(&mut self, to: &ProcessId, number: u64, body: ResponseBody) {
        self.actions.push(Action::Respond(LeaseResponse {
            from: self.own_name.clone(),
            to: to.clone(),
            number,
            body,
        }));
    }

    fn respond_not_leader(&mut self, request: &LeaseRequest, leader: Option<&str>) {
        let leader = leader.map(str::to_string);
        self.respond(&request.from, request.number, ResponseBody::NotLeader { leader });
    }

    // ---- requests ----

    /// Handles a request; `leader` is the leader known to this voter, for redirects.
    pub fn receive(&mut self, request: LeaseRequest, leader: Option<&str>, now: f64) {
        let Some(leadership) = &mut self.leadership else { return self.respond_not_leader(&request, leader) };
        leadership.record_request(&request, now);
        leadership.queued_requests.push(request);
        self.start_read();
    }

    /// Starts one read for all requests that arrived while the previous one was in flight.
    fn start_read(&mut self) {
        let Some(leadership) =
            self.leadership.as_mut().filter(|leadership| leadership.read_in_flight.is_none())
        else {
            return;
        };
        if leadership.queued_requests.is_empty() {
            return;
        }
        self.last_read_id += 1;
        leadership.read_in_flight =
            Some((self.last_read_id, std::mem::take(&mut leadership.queued_requests)));
        self.actions.push(Action::Read(self.last_read_id));
    }

    /// The read is confirmed, or this voter can't answer it.
    pub fn read_result(&mut self, read: u64, allowed: bool, duties: &Duties, now: f64) {
        let Some(leadership) = &mut self.leadership else { return };
        let Some((_, requests)) = leadership.read_in_flight.take_if(|(number, _)| *number == read) else {
            return;
        };
        for request in requests {
            if allowed { self.answer(&request, duties, now) } else { self.respond_not_leader(&request, None) }
        }
        self.start_read();
    }

    fn answer(&mut self, request: &LeaseRequest, duties: &Duties, now: f64) {
        for Release { duty, token, succeeded } in &request.releases {
            if duties.holder(duty, *token).is_some_and(|holder| holder.who == request.from) {
                self.propose_end(duty, *token, *succeeded, duties, now);
            }
        }
        let order_results = request.orders.iter().map(|order| self.apply_order(order, duties, now)).collect();
        for want in &request.wants {
            self.grant_free(&want.duty, duties, now);
            self.move_to_better(&want.duty, duties, now);
        }
        let held = self.renew(&request.from, duties, now);
        let waiting = request.wants.iter().filter(|want| !held.iter().any(|held| held.duty == want.duty));
        let waiting = waiting.map(|want| self.wait_status(&want.duty, duties, now)).collect();
        let list = request.list.then(|| self.list_duties(duties, now));
        if let Some(leadership) = &mut self.leadership {
            let unconfirmed =
                UnconfirmedResponse { life: request.from.life, number: request.number, sent_at: now };
            leadership.unconfirmed.entry(request.from.name.clone()).or_insert(unconfirmed);
        }
        self.respond(
            &request.from,
            request.number,
            ResponseBody::Status { held, waiting, list, order_results },
        );
    }

    /// All leases of a process, renewed unless it has to hand the duty over.
    fn renew(&mut self, who: &ProcessId, duties: &Duties, now: f64) -> Vec<HeldLease> {
        let Some(leadership) = &mut self.leadership else { return Vec::new() };
        let mut all = Vec::new();
        for (name, duty) in duties.all() {
            let Some(holder) = duty.holders.iter().find(|holder| holder.who == *who) else { continue };
            let (token, lease) = (holder.token, holder.lease);
            let pending_move = leadership.pending_moves.get(&token);
            let receives = !leadership.misses_responses(&who.name, lease, now);
            // A holder that is asked to leave has one lease's time for it. Without a limit it could stay for
            // ever.
            let stays = pending_move.is_none_or(|pending| now < pending.requested_at + lease);
            let renewed = receives && stays && !leadership.ending_tokens.contains(&token);
            if renewed {
                leadership.expiries.insert(token, (name.clone(), now + lease));
            }
            let give_up = pending_move.is_some();
            all.push(HeldLease { duty: name.clone(), token, lease, renewed, give_up });
        }
        all
    }

    fn holder_infos(&self, holders: &[Holder], now: f64) -> Vec<HolderInfo> {
        let expires_at = |token| {
            self.leadership
                .as_ref()
                .and_then(|leadership| leadership.expiries.get(&token))
                .map(|(_, expires_at)| *expires_at)
        };
        let info = |one: &Holder| HolderInfo {
            name: one.who.name.clone(),
            token: one.token,
            remaining: expires_at(one.token).map_or(0.0, |expires_at| (expires_at - now).max(0.0)),
        };
        holders.iter().map(info).collect()
    }

    fn wait_status(&self, duty: &str, duties: &Duties, now: f64) -> WaitStatus {
        let holders = self.holder_infos(duties.holders(duty), now);
        let ran = duties.get(duty).and_then(|duty| duty.last_run.as_ref());
        WaitStatus {
            duty: duty.into(),
            holders,
            last_run_ago: ran.map(|ran| (self.log_now(now) - ran.at).max(0.0)),
        }
    }

    fn list_duties(&self, duties: &Duties, now: f64) -> Vec<DutyInfo> {
        let Some(leadership) = &self.leadership else { return Vec::new() };
        let names: BTreeSet<&String> =
            duties.all().map(|(name, _)| name).chain(leadership.candidates.keys()).collect();
        let info = |name: &String| {
            let WaitStatus { duty, holders, last_run_ago } = self.wait_status(name, duties, now);
            let last_run_by =
                duties.get(name).and_then(|duty| duty.last_run.as_ref()).map(|ran| ran.by.clone());
            let mut waiting: Vec<(Rank, String)> = leadership
                .active_candidates(name, now)
                .map(|one| (one.want.rank, one.who.name.clone()))
                .collect();
            waiting.sort();
            let candidates = waiting.into_iter().map(|(_, name)| name).collect();
            DutyInfo { duty, holders, candidates, last_run_ago, last_run_by }
        };
        names.into_iter().map(info).collect()
    }

    fn apply_order(&mut self, order: &Order, duties: &Duties, now: f64) -> String {
        let Order::Move { duty, token, to } = order;
        let Some(holder) = duties.holder(duty, *token) else {
            return format!("{duty} is not held under token {token}");
        };
        let Some(leadership) = &mut self.leadership else { return String::new() };
        if let Some(name) = to
            && !leadership
                .active_candidates(duty, now)
                .any(|one| one.who.name == *name && one.who != holder.who)
        {
            return format!("{name} does not want {duty}");
        }
        let name = holder.who.name.clone();
        leadership.pending_moves.entry(*token).or_insert(PendingMove { requested_at: now, to: to.clone() });
        leadership
            .blocked_until
            .insert((duty.clone(), name.clone()), now + holder.lease + self.times.stability);
        format!("{name} is told to leave {duty}")
    }

    // ---- choice of the next holder ----

    /// Grants free places to the best candidates.
    fn grant_free(&mut self, duty: &str, duties: &Duties, now: f64) {
        let log_now = self.log_now(now);
        while let Some(leadership) = &self.leadership {
            let Some(best) = leadership.best_candidate(duty, None, None, duties, (now, log_now)) else {
                return;
            };
            let pending = leadership.pending_grants.iter().filter(|one| one.duty == duty).count();
            if duties.holders(duty).len() + pending >= best.want.max_holders as usize {
                return;
            }
            let to = self.choose_grantee(duty, None, None, duties, now);
            let Some(to) = to else { return };
            self.propose(Command::Grant { duty: duty.into(), to }, now);
        }
    }

    fn choose_grantee(
        &mut self,
        duty: &str,
        except: Option<&ProcessId>,
        to: Option<&str>,
        duties: &Duties,
        now: f64,
    ) -> Option<Grantee> {
        let log_now = self.log_now(now);
        let leadership = self.leadership.as_mut()?;
        let best = leadership.best_candidate(duty, except, to, duties, (now, log_now))?;
        let (who, number, want) = (best.who.clone(), best.number, &best.want);
        let to = Grantee {
            who: who.clone(),
            lease: want.lease,
            outlives_process: want.outlives_process,
            max_holders: want.max_holders,
        };
        leadership.pending_grants.push(PendingGrant { duty: duty.into(), who, number });
        Some(to)
    }

    /// Proposes the end of a token, with the best candidate as its successor.
    fn propose_end(&mut self, duty: &str, token: u64, succeeded: bool, duties: &Duties, now: f64) {
        let Some(leadership) = self.leadership.as_mut() else { return };
        let Some(holder) = duties.holder(duty, token).filter(|_| leadership.ending_tokens.insert(token))
        else {
            return;
        };
        let to = leadership.pending_moves.get(&token).and_then(|pending| pending.to.clone());
        let repeats = |one: &Candidate| one.want.min_interval > 0.0;
        // This run is only recorded when the entry is applied, so candidates with a minimum interval are chosen
        // after that.
        let defer = succeeded && leadership.candidates.get(duty).is_some_and(|all| all.values().any(repeats));
        let next = if defer {
            None
        } else {
            self.choose_grantee(duty, Some(&holder.who), to.as_deref(), duties, now)
        };
        self.propose(Command::End { duty: duty.into(), token, next, succeeded }, now);
    }

    /// Asks a holder to leave if a better candidate has been present for long enough.
    fn move_to_better(&mut self, duty: &str, duties: &Duties, now: f64) {
        let (stability, log_now) = (self.times.stability, self.log_now(now));
        let Some(leadership) = self.leadership.as_mut() else { return };
        let holders = duties.holders(duty);
        if holders.iter().any(|one| {
            leadership.pending_moves.contains_key(&one.token) || leadership.ending_tokens.contains(&one.token)
        }) {
            return;
        }
        let rank = |one: &Holder| {
            let own = leadership.candidates.get(duty).and_then(|all| all.get(&one.who.name));
            own.map(|own| own.want.rank)
        };
        let held = holders.iter().filter(|one| log_now - one.granted_at >= stability);
        let worst = held.filter_map(|one| rank(one).map(|rank| (rank, one.token))).max();
        let Some((worst, token)) = worst else { return };
        let Some(best) = leadership.best_candidate(duty, None, None, duties, (now, log_now)) else { return };
        if best.want.rank < worst && now - best.steady_since >= stability {
            let to = Some(best.who.name.clone());
            leadership.pending_moves.insert(token, PendingMove { requested_at: now, to });
        }
    }

    /// That process has ended, by proof. Its duties are freed, apart from those whose work may outlive it.
    pub fn process_ended(&mut self, who: &ProcessId, duties: &Duties, now: f64) {
        let Some(leadership) = &mut self.leadership else { return };
        leadership.forget_process(who);
        let mut freed = Vec::new();
        for (name, duty) in duties.all() {
            let gone = duty.holders.iter().filter(|one| one.who == *who && !one.outlives_process);
            freed.extend(gone.map(|one| (name.clone(), one.token)));
        }
        freed.iter().for_each(|(duty, token)| self.propose_end(duty, *token, false, duties, now));
    }

    // ---- time ----

    /// Latest time at which `tick` must be called, ms.
    pub fn due(&self) -> f64 {
        let Some(leadership) = &self.leadership else { return f64::INFINITY };
        let active =
            leadership.expiries.iter().filter(|(token, _)| !leadership.ending_tokens.contains(token));
        active
            .map(|(_, (_, expires_at))| *expires_at)
            .fold(self.log_clock.1 + self.times.time_interval, f64::min)
    }

    /// Ends leases that have expired, and records the log's time at intervals.
    pub fn tick(&mut self, duties: &Duties, now: f64) {
        let Some(leadership) = &mut self.leadership else { return };
        let expired = leadership.expiries.iter().filter(|(token, (_, expires_at))| {
            *expires_at <= now && !leadership.ending_tokens.contains(token)
        });
        let expired: Vec<(String, u64)> = expired.map(|(token, (duty, _))| (duty.clone(), *token)).collect();
        leadership.blocked_until.retain(|_, until| now < *until);
        expired.iter().for_each(|(duty, token)| self.propose_end(duty, *token, false, duties, now));
        if now >= self.log_clock.1 + self.times.time_interval {
            let has_last_run = duties.all().any(|(_, duty)| duty.last_run.is_some());
            // Advanced even without a proposal, or it would be due on every call.
            let at = self.log_now(now);
            if has_last_run {
                self.propose(Command::Time, now);
            }
            self.log_clock = (at, now);
        }
    }
}

impl Leadership {
    /// Has this process been sent responses for longer than a request interval without confirming one?
    fn misses_responses(&self, name: &str, lease: f64, now: f64) -> bool {
        self.unconfirmed.get(name).is_some_and(|unconfirmed| {
            now - unconfirmed.sent_at > lease / REQUESTS_PER_LEASE + RESPONSE_LOSS_GRACE
        })
    }

    /// Updates candidates with what a process wants now.
    fn record_request(&mut self, request: &LeaseRequest, now: f64) {
        let name = &request.from.name;
        let wants = request.wants.iter().map(|want| want.lease);
        let missed_responses = self.misses_responses(name, wants.fold(0.0, f64::max), now);
        let confirmed = |unconfirmed: &UnconfirmedResponse| {
            unconfirmed.life != request.from.life || request.last_answered >= unconfirmed.number
        };
        if self.unconfirmed.get(name).is_some_and(confirmed) {
            self.unconfirmed.remove(name);
        }
        let names: Vec<String> = request.wants.iter().map(|want| want.duty.clone()).collect();
        let before = self.wanted_duties.insert(name.clone(), names.clone()).unwrap_or_default();
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
            let steady_since = before
                .filter(|one| !missed_responses && now - one.last_request_at <= one.want.lease)
                .filter(|one| want.rank <= one.want.rank)
                .map_or(now, |one| one.steady_since);
            let waiting_since = before.map_or(now, |one| one.waiting_since.max(steady_since));
            let (who, want, number) = (request.from.clone(), want.clone(), request.number);
            all.insert(
                name.clone(),
                Candidate { who, want, number, last_request_at: now, steady_since, waiting_since },
            );
        }
    }

    fn forget_process(&mut self, who: &ProcessId) {
        self.unconfirmed.remove(&who.name);
        self.candidates.values_mut().for_each(|all| all.retain(|_, one| one.who != *who));
        self.candidates.retain(|_, all| !all.is_empty());
    }

    /// Candidates that sent a request within their lease and receive the responses.
    fn active_candidates(&self, duty: &str, now: f64) -> impl Iterator<Item = &Candidate> {
        let all = self.candidates.get(duty).into_iter().flat_map(|all| all.values());
        all.filter(move |one| now - one.last_request_at <= one.want.lease)
            .filter(move |one| !self.misses_responses(&one.who.name, one.want.lease, now))
    }

    /// The best candidate that may get the duty: the one named by `to` if it is present, else by rank. Among
    /// equal ranks the longest waiting one wins; otherwise two candidates could pass the duty to each other for
    /// ever.
    fn best_candidate(
        &self,
        duty: &str,
        except: Option<&ProcessId>,
        to: Option<&str>,
        duties: &Duties,
        (now, log_now): (f64, f64),
    ) -> Option<&Candidate> {
        let has = |who: &ProcessId| duties.holders(duty).iter().any(|holder| holder.who == *who);
        let pending =
            |who: &ProcessId| self.pending_grants.iter().any(|one| one.duty == duty && one.who == *who);
        let blocked =
            |who: &ProcessId| self.blocked_until.contains_key(&(duty.to_string(), who.name.clone()));
        let ran = duties.get(duty).and_then(|duty| duty.last_run.as_ref());
        let due = |want: &Want| ran.is_none_or(|ran| log_now - ran.at >= want.min_interval);
        let order = |one: &&Candidate| (to != Some(one.who.name.as_str()), one.want.rank);
        self.active_candidates(duty, now)
            .filter(|one| {
                Some(&one.who) != except && !has(&one.who) && !pending(&one.who) && !blocked(&one.who)
            })
            .filter(|one| due(&one.want))
            .min_by(|a, b| {
                let waited = a.waiting_since.total_cmp(&b.waiting_since);
                order(a).cmp(&order(b)).then(waited).then_with(|| a.who.name.cmp(&b.who.name))
            })
    }
}
