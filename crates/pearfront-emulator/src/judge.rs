//! Judges a play by the records of servers, clients and discovery only: the four rules, the gain served in
//! time, and wasted work. It does not depend on the nodes or their decisions. Used by `pearfront rehearse` and
//! tests.

use crate::record::{
    Answer, Answered, Ask, Attempt, AttemptEnd, NodeEnd, Records, RequestRecord, ServerLife,
};
use crate::scenario::{Effect, Group, Scenario};
use crate::server::warm_share;
use hdrhistogram::Histogram;
use pearfront::interface::ServerState;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Length, s, of the window for the worst-window figure.
const WORST_WINDOW: usize = 10;
/// Smallest gain asked for in such a window, as a share of the mean: an almost empty window is not meaningful.
const MIN_WINDOW_SHARE: f64 = 0.2;
/// Largest 99th-percentile lateness of the emulator itself, as a share of the rules' slack. Beyond it a
/// real-time play is void, as it shows nothing about the nodes. Amounts to 5 ms of the usual 66 ms.
const MAX_LATE_SHARE: f64 = 0.076;
/// Share of a cold server's work that must come from nodes that knew of its start for rule 4 to count as broken
/// by them.
const MIN_INFORMED_SHARE: f64 = 2.0 / 3.0;
/// Upper bound of the latency histogram, us: one hour.
const MAX_LATENCY_US: u64 = 3_600_000_000;
/// Factor on (sqrt(N) + 1) by which a cold server's load may exceed N by random variation.
const CHANCE_FACTOR: f64 = 2.0;
/// Number of cases described in words for each broken rule.
const MAX_EXAMPLES: usize = 5;

pub const RULES: [&str; 4] = ["no-job-lost", "no-effect-twice", "drains", "cold-servers"];

#[derive(Debug, Clone, Default, Serialize, Deserialize, PartialEq)]
pub struct Finding {
    pub rule: String,
    pub cases: usize,
    /// Descriptions of the first cases.
    pub examples: Vec<String>,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize, PartialEq)]
pub struct Share {
    pub name: String,
    pub asked: f64,
    pub served: f64,
}

impl Share {
    pub fn service(&self) -> f64 {
        if self.asked > 0.0 { self.served / self.asked } else { 1.0 }
    }
}

/// Figures of one second of the play, by the time of the request or attempt.
#[derive(Debug, Clone, Default, Serialize, Deserialize, PartialEq)]
pub struct Second {
    pub asked: f64,
    pub served: f64,
    #[serde(rename = "jobs")]
    pub requests: u64,
    pub attempts: u64,
    pub attempts_served: u64,
    pub errors: u64,
    pub turned_away: u64,
    pub unanswered: u64,
    /// Mean and highest number of attempts per server of the first tier.
    pub attempts_mean: f64,
    pub attempts_most: u64,
}

#[derive(Debug, Clone, Default, Serialize, Deserialize, PartialEq)]
pub struct Verdict {
    /// Gain served within the latency target divided by gain asked for.
    pub service: f64,
    pub worst_10s: f64,
    pub profiles: Vec<Share>,
    pub customers: Vec<Share>,
    /// The rules that were broken.
    pub broken: Vec<Finding>,
    pub asks: usize,
    pub tries: usize,
    pub served: usize,
    pub rejected: usize,
    pub failed: usize,
    pub unanswered: usize,
    /// Attempts at the first tier per request.
    #[serde(rename = "attempts_a_job")]
    pub attempts_per_request: f64,
    /// Share of the work of all tiers that was done for answers nobody received. An immediate error counts with
    /// the full work that was requested.
    pub wasted: f64,
    pub attempts: usize,
    pub probes: u64,
    pub connections: u64,
    /// Effects that occurred again through a client's own retry; no node could know of it.
    #[serde(rename = "repeats_by_callers")]
    pub repeats_by_clients: usize,
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// The emulator itself was too late for the play to be meaningful.
    pub void: bool,
    pub late_p99_us: u64,
    pub seconds: Vec<Second>,
    pub script: Vec<(f64, String)>,
}

impl Verdict {
    pub fn worst(shares: &[Share]) -> f64 {
        shares.iter().map(Share::service).fold(1.0, f64::min)
    }

    /// The machine-readable summary line.
    pub fn line(&self) -> String {
        let rules: Vec<&str> = self.broken.iter().map(|finding| finding.rule.as_str()).collect();
        let rules = if rules.is_empty() { "kept".into() } else { rules.join(",") };
        format!(
            "service={:.3} worst_10s={:.3} worst_profile={:.3} worst_customer={:.3} rules={rules} p50_ms={:.0} \
             p99_ms={:.0} asks={} attempts_a_job={:.3} wasted={:.3} void={}",
            self.service,
            self.worst_10s,
            Self::worst(&self.profiles),
            Self::worst(&self.customers),
            self.p50_ms,
            self.p99_ms,
            self.asks,
            self.attempts_per_request,
            self.wasted,
            self.void
        )
    }
}

/// Attempts of each request in order of arrival, by request id.
type AttemptsOf<'a> = BTreeMap<u64, Vec<&'a Attempt>>;

struct Judgement<'a> {
    scenario: &'a Scenario,
    records: &'a Records,
    attempts: AttemptsOf<'a>,
    /// The node life that accepted each request.
    nodes: BTreeMap<u64, usize>,
    cases: [Vec<String>; 4],
}

/// Worst load that all nodes together sent to a cold server, in requests of mean work.
#[derive(Debug, Clone, Copy)]
pub struct ColdLoad {
    /// Load sent within the rules' window, and the N that the rules allow at that time.
    pub sent: f64,
    pub may: f64,
    /// Total load while cold, as a share of the total allowed.
    pub mean_share: f64,
}

impl ColdLoad {
    /// N + 2 x sqrt(N) + 2: the excess over N that is attributed to random variation.
    pub fn limit(&self) -> f64 {
        self.may + CHANCE_FACTOR * (self.may.sqrt() + 1.0)
    }

    pub fn of_limit(&self) -> f64 {
        self.sent / self.limit()
    }
}

/// The worst window of each server that started cold.
pub fn cold_loads(scenario: &Scenario, records: &Records) -> Vec<ColdLoad> {
    let lives = records.servers.iter().enumerate().filter(|(_, life)| life.started.is_finite());
    lives.map(|(server, life)| cold_load(scenario, life, server, records)).collect()
}

fn cold_load(scenario: &Scenario, life: &ServerLife, server: usize, records: &Records) -> ColdLoad {
    let behaviour = &scenario.tiers[life.tier].server;
    let (warm_up, window) = (behaviour.warm_up_s * 1000.0, scenario.rules.tip_window_s * 1000.0);
    let mean_work = scenario.mean_work_at(life.tier);
    let may = |at: f64| {
        scenario.rules.tip_multiple
            * life.cores
            * life.speed
            * warm_share(life.started, behaviour, at)
            * window
            / mean_work
    };
    let of_it = |attempt: &&Attempt| attempt.server == server && attempt.came < life.started + warm_up;
    let mut attempts: Vec<&Attempt> = records.attempts.iter().filter(of_it).collect();
    attempts.sort_by(|a, b| a.came.total_cmp(&b.came));
    let mut worst = ColdLoad { sent: 0.0, may: may(life.started), mean_share: 0.0 };
    let (mut sent, mut first) = (0.0, 0);
    for attempt in &attempts {
        sent += attempt.work / mean_work;
        while attempts[first].came < attempt.came - window {
            sent -= attempts[first].work / mean_work;
            first += 1;
        }
        let load = ColdLoad { sent, may: may(attempt.came), ..worst };
        worst = if load.of_limit() > worst.of_limit() { load } else { worst };
    }
    let all = attempts.iter().map(|attempt| attempt.work).sum::<f64>() / mean_work;
    let mean_may = (may(life.started) + may(life.started + warm_up)) / 2.0 * warm_up / window;
    ColdLoad { mean_share: all / mean_may, ..worst }
}

pub fn judge(scenario: &Scenario, records: &Records) -> Verdict {
    let mut attempts = AttemptsOf::new();
    for attempt in &records.attempts {
        attempts.entry(attempt.trace).or_default().push(attempt);
    }
    attempts.values_mut().for_each(|attempts| attempts.sort_by(|a, b| a.came.total_cmp(&b.came)));
    let nodes = records.requests.iter().map(|request| (request.trace, request.node)).collect();
    let mut judgement = Judgement { scenario, records, attempts, nodes, cases: Default::default() };
    records.requests.iter().for_each(|request| judgement.check_request(request));
    judgement.check_drains();
    judgement.check_cold_servers();
    let cases = std::mem::take(&mut judgement.cases);
    let broken = RULES.iter().zip(cases).filter(|(_, cases)| !cases.is_empty());
    let mut verdict = judgement.figures();
    verdict.broken = broken
        .map(|(rule, cases)| Finding {
            rule: rule.to_string(),
            cases: cases.len(),
            examples: cases.into_iter().take(MAX_EXAMPLES).collect(),
        })
        .collect();
    verdict
}

impl Judgement<'_> {
    fn check_request(&mut self, request: &RequestRecord) {
        let describe =
            |what: &str| format!("job {} at {:.3} s: {what}", request.trace, request.sent / 1000.0);
        if let Some(what) = self.check_answers(request) {
            self.cases[0].push(describe(&what));
        }
        if let Some(what) = self.check_effects(request) {
            self.cases[1].push(describe(&what));
        }
    }

    /// Rule 1: exactly one complete answer, in time.
    fn check_answers(&self, request: &RequestRecord) -> Option<String> {
        if request.answers.len() > 1 {
            return Some(format!("{} answers", request.answers.len()));
        }
        let Some(answered) = request.answers.first() else {
            let node = &self.records.nodes[request.node];
            let killed = node.ended.is_some_and(|(at, how)| how == NodeEnd::Killed && at <= request.deadline);
            let excused = killed || request.left.is_some_and(|at| at < request.deadline);
            return (!excused).then(|| if request.cut { "cut off".into() } else { "no answer".into() });
        };
        if answered.at > request.deadline + self.scenario.rules.slack_ms {
            return Some(format!("answered {:.0} ms after its limit", answered.at - request.deadline));
        }
        if answered.answer != Answer::Served {
            return None;
        }
        let served = |attempt: &&Attempt| attempt.ended.is_some_and(|(_, how)| how == AttemptEnd::Served);
        let made = self.attempts.get(&request.trace).is_some_and(|attempts| attempts.iter().any(served));
        match answered.body {
            body if body != request.trace => Some(format!("got what was made for job {body}")),
            _ if !made => Some("served with what no server made".into()),
            _ => None,
        }
    }

    /// Rule 2: a request that may have run is retried or rejected only where that is harmless.
    fn check_effects(&self, request: &RequestRecord) -> Option<String> {
        let profile = &self.scenario.profiles[request.profile];
        let attempts = self.attempts.get(&request.trace)?;
        let proven = |attempt: &Attempt, by: f64| {
            attempt.ended.is_some_and(|(at, how)| how == AttemptEnd::TurnedAway && at <= by)
        };
        let effects = attempts.iter().filter(|attempt| attempt.effect).count();
        if effects > 1 && profile.effect != Effect::Idempotent {
            return Some(format!("its effect was had {effects} times"));
        }
        for (at, attempt) in attempts.iter().enumerate().skip(1) {
            let Some(first) = attempts[..at].iter().find(|earlier| !proven(earlier, attempt.came)) else {
                continue;
            };
            match profile.effect {
                Effect::Idempotent => {}
                Effect::NonIdempotent => return Some("sent again though it may have run".into()),
                Effect::Keyed if !self.same_group(profile.group, first, attempt) => {
                    return Some("its repeat went outside its group".into());
                }
                Effect::Keyed if attempt.sent > first.came + profile.window_s * 1000.0 => {
                    return Some("its repeat went after its window".into());
                }
                Effect::Keyed => {}
            }
        }
        let rejected = request.answers.iter().find(|answered| answered.answer == Answer::Rejected)?;
        let harmless = match profile.effect {
            Effect::Idempotent => true,
            Effect::Keyed if profile.group == Group::All => true,
            _ => attempts.iter().all(|attempt| attempt.came > rejected.at || proven(attempt, rejected.at)),
        };
        (!harmless).then(|| "rejected though it may have run".into())
    }

    fn same_group(&self, group: Group, one: &Attempt, other: &Attempt) -> bool {
        let [one, other] = [one, other].map(|attempt| &self.records.servers[attempt.server]);
        match group {
            Group::All => true,
            Group::Zone => one.zone == other.zone,
            Group::Cell => one.cell == other.cell,
        }
    }

    /// Rule 3: no new attempts to a server that the node knows to be draining or gone.
    fn check_drains(&mut self) {
        let mut ends: BTreeMap<(usize, usize), f64> = BTreeMap::new();
        for update in self.records.list_updates.iter().filter(|update| update.standing != ServerState::Ready)
        {
            let at = ends.entry((update.node, update.server)).or_insert(update.at);
            *at = at.min(update.at);
        }
        if ends.is_empty() {
            return;
        }
        let grace = self.scenario.rules.drain_grace_s * 1000.0;
        for attempt in &self.records.attempts {
            let told = self.nodes.get(&attempt.trace).and_then(|node| ends.get(&(*node, attempt.server)));
            if let Some(at) = told.filter(|at| attempt.sent > **at + grace) {
                let server = &self.records.servers[attempt.server].id;
                self.cases[2].push(format!(
                    "job {} went to {server} {:.1} s after its node was told that it drains or is gone",
                    attempt.trace,
                    (attempt.sent - at) / 1000.0
                ));
            }
        }
    }

    /// Rule 4: nodes that know of a server's start do not overload it while it is cold.
    fn check_cold_servers(&mut self) {
        let cold: Vec<usize> = (0..self.records.servers.len())
            .filter(|server| self.records.servers[*server].started.is_finite())
            .collect();
        if cold.is_empty() {
            return;
        }
        let mut knows: BTreeMap<(usize, usize), f64> = BTreeMap::new();
        for update in &self.records.list_updates {
            let at = knows.entry((update.node, update.server)).or_insert(update.at);
            *at = at.min(update.at);
        }
        let mut by_server: BTreeMap<usize, Vec<&Attempt>> = BTreeMap::new();
        for attempt in &self.records.attempts {
            by_server.entry(attempt.server).or_default().push(attempt);
        }
        for server in cold {
            let mut attempts = by_server.remove(&server).unwrap_or_default();
            attempts.sort_by(|a, b| a.came.total_cmp(&b.came));
            let knowing = |attempt: &Attempt| {
                let node = self.nodes.get(&attempt.trace);
                node.is_some_and(|node| knows.get(&(*node, server)).is_some_and(|at| *at <= attempt.sent))
            };
            if let Some(what) = self.overloaded_by_informed_nodes(server, &attempts, knowing) {
                self.cases[3].push(what);
            }
        }
    }

    fn overloaded_by_informed_nodes(
        &self,
        server: usize,
        attempts: &[&Attempt],
        knowing: impl Fn(&Attempt) -> bool,
    ) -> Option<String> {
        let life = &self.records.servers[server];
        let behaviour = &self.scenario.tiers[life.tier].server;
        let window = self.scenario.rules.tip_window_s * 1000.0;
        let mean_work = self.scenario.mean_work_at(life.tier);
        let (mut sum, mut known, mut first) = (0.0, 0.0, 0);
        for attempt in attempts {
            let share = warm_share(life.started, behaviour, attempt.came);
            if share >= 1.0 {
                return None;
            }
            sum += attempt.work;
            known += if knowing(attempt) { attempt.work } else { 0.0 };
            while attempts[first].came < attempt.came - window {
                sum -= attempts[first].work;
                known -= if knowing(attempts[first]) { attempts[first].work } else { 0.0 };
                first += 1;
            }
            let budget = self.scenario.rules.cold_budget(life.cores * life.speed * share, mean_work);
            if sum > budget && known >= MIN_INFORMED_SHARE * sum {
                let since = (attempt.came - life.started) / 1000.0;
                return Some(format!(
                    "{} was sent {sum:.0} ms of work within {:.1} s, {since:.1} s after its start, and bears {budget:.0}",
                    life.id,
                    window / 1000.0
                ));
            }
        }
        None
    }

    fn figures(&self) -> Verdict {
        let scenario = self.scenario;
        let mut verdict = Verdict { script: self.records.script.clone(), ..Verdict::default() };
        let named = |name: &String| Share { name: name.clone(), ..Share::default() };
        verdict.profiles = scenario.profiles.iter().map(|profile| named(&profile.name)).collect();
        verdict.customers = scenario.customers.iter().map(|customer| named(&customer.name)).collect();
        verdict.seconds = vec![Second::default(); scenario.length_s.ceil() as usize];
        // When each ask was served: the earliest over all its tries.
        let mut served = vec![f64::INFINITY; self.records.asks.len()];
        let mut latency = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3).expect("bounds that fit");
        for request in &self.records.requests {
            let Some(ask) = request.ask else { continue };
            verdict.tries += 1;
            let last = verdict.seconds.len() - 1;
            verdict.seconds[((request.sent / 1000.0) as usize).min(last)].requests += 1;
            match request.answers.first() {
                Some(Answered { answer: Answer::Served, at, .. }) => {
                    verdict.served += 1;
                    served[ask] = served[ask].min(*at);
                    latency.saturating_record(((at - request.sent) * 1000.0).max(0.0) as u64);
                }
                Some(Answered { answer: Answer::Rejected, .. }) => verdict.rejected += 1,
                Some(Answered { answer: Answer::Failed, .. }) => verdict.failed += 1,
                None => verdict.unanswered += 1,
            }
        }
        let mut quotas = Quotas::new(scenario);
        for (ask, served) in self.records.asks.iter().zip(&served) {
            let profile = &scenario.profiles[ask.profile];
            let asked = profile.gain * if quotas.take(ask) { 1.0 } else { scenario.goal.excess_gain };
            let gain = if served - ask.at <= profile.latency_target_ms { asked } else { 0.0 };
            let last = verdict.seconds.len() - 1;
            let second = &mut verdict.seconds[((ask.at / 1000.0) as usize).min(last)];
            second.asked += asked;
            second.served += gain;
            for share in [&mut verdict.profiles[ask.profile], &mut verdict.customers[ask.customer]] {
                share.asked += asked;
                share.served += gain;
            }
        }
        let sum = |part: fn(&Second) -> f64| verdict.seconds.iter().map(part).sum::<f64>();
        let (asked, gained) = (sum(|second| second.asked), sum(|second| second.served));
        verdict.service = if asked > 0.0 { gained / asked } else { 1.0 };
        verdict.worst_10s = worst_window(&verdict.seconds);
        verdict.asks = self.records.asks.len();
        verdict.p50_ms = latency.value_at_quantile(0.5) as f64 / 1000.0;
        verdict.p99_ms = latency.value_at_quantile(0.99) as f64 / 1000.0;
        verdict.probes = self.records.probes;
        verdict.connections = self.records.connections;
        if let Some(late) = &self.records.late {
            verdict.late_p99_us = late.value_at_quantile(0.99);
            verdict.void = verdict.late_p99_us as f64 / 1000.0 > MAX_LATE_SHARE * scenario.rules.slack_ms;
        }
        self.attempt_figures(&mut verdict);
        verdict
    }

    fn attempt_figures(&self, verdict: &mut Verdict) {
        let records = self.records;
        let served = |request: &&RequestRecord| {
            request.ask.is_some()
                && request.answers.first().is_some_and(|answered| answered.answer == Answer::Served)
        };
        let useful: BTreeSet<u64> =
            records.requests.iter().filter(served).map(|request| request.trace).collect();
        let roots: BTreeMap<u64, u64> =
            records.requests.iter().map(|request| (request.trace, request.root)).collect();
        let last = verdict.seconds.len() - 1;
        let mut loads: Vec<BTreeMap<usize, u64>> = vec![BTreeMap::new(); verdict.seconds.len()];
        let (mut done, mut wasted, mut outer) = (0.0, 0.0, 0usize);
        for attempt in &records.attempts {
            let at = ((attempt.came / 1000.0) as usize).min(last);
            let second = &mut verdict.seconds[at];
            second.attempts += 1;
            match attempt.ended {
                Some((_, AttemptEnd::Served)) => second.attempts_served += 1,
                Some((_, AttemptEnd::Error)) => second.errors += 1,
                Some((_, AttemptEnd::TurnedAway)) => second.turned_away += 1,
                Some((_, AttemptEnd::Dropped | AttemptEnd::Lost)) | None => second.unanswered += 1,
            }
            if records.servers[attempt.server].tier == 0 {
                outer += 1;
                *loads[at].entry(attempt.server).or_default() += 1;
            }
            if matches!(attempt.ended, Some((_, AttemptEnd::Served | AttemptEnd::Error))) {
                done += attempt.work;
                let answered =
                    matches!(attempt.ended, Some((_, AttemptEnd::Served))) && attempt.called_off.is_none();
                let used = answered && roots.get(&attempt.trace).is_some_and(|root| useful.contains(root));
                wasted += if used { 0.0 } else { attempt.work };
            }
        }
        let servers = self.scenario.tiers[0].servers as f64;
        for (second, load) in verdict.seconds.iter_mut().zip(&loads) {
            second.attempts_mean = load.values().sum::<u64>() as f64 / servers;
            second.attempts_most = load.values().copied().max().unwrap_or(0);
        }
        verdict.attempts = records.attempts.len();
        verdict.attempts_per_request = outer as f64 / (verdict.tries as f64).max(1.0);
        verdict.wasted = if done > 0.0 { wasted / done } else { 0.0 };
        verdict.repeats_by_clients = self.repeats_by_clients();
    }

    /// Number of repeated effects of the same key that are due to different requests.
    fn repeats_by_clients(&self) -> usize {
        let keys: BTreeMap<u64, u64> =
            self.records.requests.iter().map(|request| (request.trace, request.key)).collect();
        let mut had: BTreeMap<(u64, usize), BTreeMap<u64, ()>> = BTreeMap::new();
        for attempt in self.records.attempts.iter().filter(|attempt| attempt.effect) {
            if let Some(key) = keys.get(&attempt.trace).filter(|key| **key > 0) {
                let tier = self.records.servers[attempt.server].tier;
                had.entry((*key, tier)).or_default().insert(attempt.trace, ());
            }
        }
        had.values().map(|traces| traces.len() - 1).sum()
    }
}

/// Token bucket of each customer's quota, with a capacity of one second's quota.
struct Quotas {
    rates: Vec<f64>,
    left: Vec<(f64, f64)>,
}

impl Quotas {
    fn new(scenario: &Scenario) -> Self {
        let rates: Vec<f64> = scenario.customers.iter().map(|customer| customer.quota_per_s).collect();
        Self { left: rates.iter().map(|rate| (rate.max(1.0), 0.0)).collect(), rates }
    }

    fn take(&mut self, ask: &Ask) -> bool {
        let rate = self.rates[ask.customer];
        let (left, since) = &mut self.left[ask.customer];
        *left = (*left + rate * (ask.at - *since) / 1000.0).min(rate.max(1.0));
        *since = ask.at;
        let within = *left >= 1.0;
        *left -= if within { 1.0 } else { 0.0 };
        within
    }
}

fn worst_window(seconds: &[Second]) -> f64 {
    let window = WORST_WINDOW.min(seconds.len());
    let sums = |part: fn(&Second) -> f64| -> Vec<f64> {
        seconds.windows(window).map(|seconds| seconds.iter().map(part).sum()).collect()
    };
    let (asked, served) = (sums(|second| second.asked), sums(|second| second.served));
    let mean = asked.iter().sum::<f64>() / asked.len() as f64;
    let full = asked.iter().zip(&served).filter(|(asked, _)| **asked > MIN_WINDOW_SHARE * mean);
    full.map(|(asked, served)| served / asked).fold(1.0, f64::min)
}
