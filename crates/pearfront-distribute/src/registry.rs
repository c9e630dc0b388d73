//! The leader's side: feeds distributors with what is committed, takes changes, and counts what is in force everywhere.
//! Nothing of it is in the log but which distributors there are.

use crate::catalog::{Applied, Catalog, Command};
use crate::message::{DistributionStatus, FromVoter, ProcessId, Rejection, Report, ToVoter};
use crate::service::ChangeSet;
use crate::tally::{LaggingProcess, Tally};
use crate::times::{FEED, FEED_BYTES, SETS_AT_ONCE, Times};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    Propose(Vec<u8>),
    Send { link: u64, message: FromVoter },
    Close { link: u64 },
}

/// A distributor that follows.
struct Follower {
    process: ProcessId,
    /// What it has, and what it was sent, if it has not said yet that it has it.
    has: Option<u64>,
    sent: Option<u64>,
    heard: f64,
}

struct Lead {
    term: u64,
    since: f64,
    followers: BTreeMap<u64, Follower>,
    /// ProcessId waits for the outcome of which change, by its number and sum.
    waiting: BTreeMap<(String, u32), Vec<u64>>,
    /// When each beat was sent.
    beats: VecDeque<(u64, f64)>,
    beat_at: f64,
    tally: Tally,
    /// Reports that are taken once the log names their distributors.
    unnamed: BTreeMap<u64, u64>,
    /// What the log was last asked to say of each, and when.
    asked: BTreeMap<ProcessId, (bool, f64)>,
    in_force: (Option<u64>, Vec<LaggingProcess>),
}

pub struct Registry {
    installation: String,
    times: Times,
    /// The last sets with their versions, and bytes of them.
    feed: VecDeque<(u64, ChangeSet, usize)>,
    feed_bytes: usize,
    lead: Option<Lead>,
    actions: Vec<Action>,
}

impl Registry {
    pub fn new(installation: &str, times: Times) -> Self {
        let (feed, actions) = (VecDeque::new(), Vec::new());
        Self { installation: installation.into(), times, feed, feed_bytes: 0, lead: None, actions }
    }

    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    pub fn due(&self) -> f64 {
        self.lead.as_ref().map_or(f64::INFINITY, |lead| lead.beat_at)
    }

    /// The version that is in force everywhere, if this voter leads and knows.
    pub fn in_force(&self) -> Option<u64> {
        self.lead.as_ref().and_then(|lead| lead.in_force.0)
    }

    fn send(&mut self, link: u64, message: FromVoter) {
        self.actions.push(Action::Send { link, message });
    }

    // ---- the log ----

    /// This voter leads in that term and has applied all that was committed before it, or it does not lead.
    pub fn set_leading_term(&mut self, term: Option<u64>, now: f64) {
        if self.lead.as_ref().map(|lead| lead.term) == term {
            return;
        }
        if let Some(lead) = self.lead.take() {
            let waiting = lead.waiting.into_values().flatten();
            for link in lead.followers.into_keys().chain(waiting).collect::<BTreeSet<_>>() {
                self.send(link, FromVoter::NotLeader { leader: None });
            }
        }
        self.lead = term.map(|term| Lead {
            term,
            since: now,
            followers: BTreeMap::new(),
            waiting: BTreeMap::new(),
            beats: VecDeque::new(),
            beat_at: now,
            tally: Tally::default(),
            unnamed: BTreeMap::new(),
            asked: BTreeMap::new(),
            in_force: (None, Vec::new()),
        });
    }

    /// A snapshot has taken the place of what was applied.
    pub fn snapshot_restored(&mut self) {
        self.feed.clear();
        self.feed_bytes = 0;
    }

    /// An entry was applied, and this came of it.
    pub fn entry_applied(&mut self, bytes: &[u8], applied: &Applied, catalog: &Catalog) {
        match applied {
            Applied::Change { number, checksum, outcome, version } => {
                if let Some(version) = version
                    && let Some(Command::Change(set)) = Command::decode(bytes)
                {
                    self.keep(*version, set, bytes.len());
                }
                let waiting =
                    self.lead.as_mut().and_then(|lead| lead.waiting.remove(&(number.clone(), *checksum)));
                for link in waiting.into_iter().flatten() {
                    let (number, outcome) = (number.clone(), outcome.clone());
                    self.send(link, FromVoter::Outcome { number, outcome });
                }
                self.feed_all(catalog);
            }
            Applied::Distributors => self.named(catalog),
            Applied::Nothing => {}
        }
    }

    fn keep(&mut self, version: u64, set: ChangeSet, bytes: usize) {
        self.feed.push_back((version, set, bytes));
        self.feed_bytes += bytes;
        while self.feed.len() > FEED || self.feed_bytes > FEED_BYTES {
            let Some((.., bytes)) = self.feed.pop_front() else { return };
            self.feed_bytes -= bytes;
        }
    }

    /// Reports of those that the log names now are taken.
    fn named(&mut self, catalog: &Catalog) {
        let Some(lead) = &mut self.lead else { return };
        let is_named = |link: &u64| {
            let process = lead.followers.get(link).map(|follower| &follower.process);
            process.is_some_and(|process| catalog.distributors().contains(process))
        };
        let taken: Vec<(u64, u64)> = lead
            .unnamed
            .iter()
            .filter(|(link, _)| is_named(link))
            .map(|(link, number)| (*link, *number))
            .collect();
        for (link, number) in taken {
            lead.unnamed.remove(&link);
            self.actions.push(Action::Send { link, message: FromVoter::ReportAccepted { number } });
        }
    }

    // ---- distributors ----

    fn feed_all(&mut self, catalog: &Catalog) {
        let links: Vec<u64> = self.lead.iter().flat_map(|lead| lead.followers.keys().copied()).collect();
        links.into_iter().for_each(|link| self.feed_one(link, catalog));
    }

    /// Sends what is missing there, unless something is under way.
    fn feed_one(&mut self, link: u64, catalog: &Catalog) {
        let Some(lead) = &mut self.lead else { return };
        let Some(follower) = lead.followers.get_mut(&link).filter(|follower| follower.sent.is_none()) else {
            return;
        };
        let version = catalog.version();
        if follower.has == Some(version) {
            return;
        }
        let reaches = |has: u64| self.feed.front().is_some_and(|(first, ..)| *first <= has + 1);
        let message = match follower.has {
            Some(has) if reaches(has) => {
                let skip = self.feed.partition_point(|(version, ..)| *version <= has);
                let sets: Vec<_> =
                    self.feed.iter().skip(skip).take(SETS_AT_ONCE).map(|(_, set, _)| set.clone()).collect();
                FromVoter::ChangeSets { to: has + sets.len() as u64, sets }
            }
            _ => FromVoter::Snapshot { catalog: catalog.encode() },
        };
        follower.sent = Some(if let FromVoter::ChangeSets { to, .. } = &message { *to } else { version });
        self.send(link, message);
    }

    /// A message came over that link; `leader` is who leads as far as this voter knows.
    pub fn receive(
        &mut self,
        link: u64,
        message: ToVoter,
        leader: Option<&str>,
        catalog: &Catalog,
        now: f64,
    ) {
        let Some(lead) = &mut self.lead else {
            return self.send(link, FromVoter::NotLeader { leader: leader.map(str::to_string) });
        };
        if let Some(follower) = lead.followers.get_mut(&link) {
            follower.heard = now;
        }
        match message {
            ToVoter::Follow { installation, process, version } => {
                self.follow(link, (&installation, process, version), catalog, now)
            }
            ToVoter::Acknowledge { version } => {
                if let Some(follower) = lead.followers.get_mut(&link)
                    && follower.sent.take_if(|sent| *sent == version).is_some()
                {
                    follower.has = Some(version);
                    self.feed_one(link, catalog);
                }
            }
            ToVoter::Report(report) => self.report(link, report, catalog, now),
            ToVoter::Submit(set) => self.submit(link, set),
            ToVoter::QueryStatus => {
                let view = self.view(catalog);
                self.send(link, FromVoter::Status(view));
            }
        }
    }

    fn follow(
        &mut self,
        link: u64,
        (installation, process, version): (&str, ProcessId, Option<u64>),
        catalog: &Catalog,
        now: f64,
    ) {
        let behind = version.is_some_and(|version| version > catalog.version());
        if installation != self.installation || behind {
            let reason = if behind {
                Rejection::Behind { version: catalog.version() }
            } else {
                Rejection::WrongInstallation
            };
            return self.send(link, FromVoter::Rejected { reason });
        }
        let times = self.times;
        let Some(lead) = &mut self.lead else { return };
        lead.tally.only_life(&process, &times, now);
        // What comes late over an older link of it would take the place of what it said since.
        lead.followers.retain(|_, follower| follower.process.name != process.name);
        lead.followers.insert(link, Follower { process, has: version, sent: None, heard: now });
        self.feed_one(link, catalog);
        self.beat(link, catalog);
    }

    fn report(&mut self, link: u64, report: Report, catalog: &Catalog, now: f64) {
        let Some(lead) = &mut self.lead else { return };
        let Some(process) = lead.followers.get(&link).map(|follower| follower.process.clone()) else {
            return;
        };
        let sent = lead
            .beats
            .iter()
            .find(|(number, _)| *number == report.heartbeat_echo)
            .map_or(lead.since, |(_, at)| *at);
        let number = report.number;
        if !lead.tally.report(&process, report, sent) {
            return self.send(link, FromVoter::FullReportNeeded);
        }
        if catalog.distributors().contains(&process) {
            self.send(link, FromVoter::ReportAccepted { number });
        } else {
            lead.unnamed.insert(link, number);
            self.name(process, true, now);
        }
    }

    /// Has the log say that a distributor is there, or is not; not again while that is under way.
    fn name(&mut self, process: ProcessId, present: bool, now: f64) {
        let Some(lead) = &mut self.lead else { return };
        let under_way = lead
            .asked
            .get(&process)
            .is_some_and(|(asked, at)| *asked == present && now - at < self.times.close_after_ms);
        if !under_way {
            lead.asked.insert(process.clone(), (present, now));
            self.actions.push(Action::Propose(Command::Distributor { process, present }.encode()));
        }
    }

    /// That life of a distributor is over, for certain.
    pub fn distributor_ended(&mut self, process: &ProcessId, now: f64) {
        let times = self.times;
        if let Some(lead) = &mut self.lead {
            lead.tally.ended(process, &times, now);
        }
    }

    pub fn link_closed(&mut self, link: u64) {
        if let Some(lead) = &mut self.lead {
            lead.followers.remove(&link);
            lead.unnamed.remove(&link);
            lead.waiting.values_mut().for_each(|links| links.retain(|one| *one != link));
        }
    }

    // ---- changes ----

    fn submit(&mut self, link: u64, set: ChangeSet) {
        let Some(lead) = &mut self.lead else { return };
        let number = set.number.clone();
        let bytes = Command::Change(set).encode();
        let waiting = lead.waiting.entry((number, crc32c::crc32c(&bytes))).or_default();
        if !waiting.contains(&link) {
            waiting.push(link);
        }
        // It may be in the log already, lost or under way: the log knows the number.
        self.actions.push(Action::Propose(bytes));
    }

    // ---- time ----

    pub fn tick(&mut self, catalog: &Catalog, now: f64) {
        let times = self.times;
        let Some(lead) = &mut self.lead else { return };
        if now < lead.beat_at {
            return;
        }
        lead.beat_at = now + times.heartbeat_ms;
        let number = lead.beats.back().map_or(1, |(number, _)| number + 1);
        lead.beats.push_back((number, now));
        while lead.beats.front().is_some_and(|(_, at)| now - at > 2.0 * times.isolated_after_ms) {
            lead.beats.pop_front();
        }
        let silent = |follower: &Follower| now - follower.heard >= times.close_after_ms;
        let over: Vec<u64> =
            lead.followers.iter().filter(|(_, one)| silent(one)).map(|(link, _)| *link).collect();
        for link in over {
            self.link_closed(link);
            self.actions.push(Action::Close { link });
        }
        // What the log was to say of them may have been lost.
        let Some(lead) = &self.lead else { return };
        let unnamed: Vec<ProcessId> = lead
            .unnamed
            .keys()
            .filter_map(|link| lead.followers.get(link))
            .map(|one| one.process.clone())
            .collect();
        unnamed.into_iter().for_each(|process| self.name(process, true, now));
        self.count(catalog, now);
        let links: Vec<u64> = self.lead.iter().flat_map(|lead| lead.followers.keys().copied()).collect();
        links.into_iter().for_each(|link| self.beat(link, catalog));
    }

    fn beat(&mut self, link: u64, catalog: &Catalog) {
        let Some(lead) = &self.lead else { return };
        let number = lead.beats.back().map_or(0, |(number, _)| *number);
        let (version, in_force) = (catalog.version(), lead.in_force.0);
        self.send(link, FromVoter::Heartbeat { number, version, in_force });
    }

    /// Counts what is in force everywhere, and drops those that nothing is waited for of any more.
    fn count(&mut self, catalog: &Catalog, now: f64) {
        let times = self.times;
        let Some(lead) = &mut self.lead else { return };
        let mut over = lead.tally.over(&times, now);
        over.iter().for_each(|process| lead.tally.remove(process));
        let unheard: Vec<&ProcessId> =
            catalog.distributors().iter().filter(|process| !lead.tally.knows(process)).collect();
        let waits = now - lead.since < times.gone_after_ms;
        if !waits {
            over.extend(unheard.iter().map(|process| (*process).clone()));
        }
        // Those that were dropped just now are not waited for, though the log names them yet.
        let dropped = |process: &ProcessId| {
            lead.asked.get(process).is_some_and(|(present, _)| !present) || over.contains(process)
        };
        let known = unheard.iter().all(|process| dropped(process));
        let (least, lagging) = lead.tally.in_force(catalog.version());
        lead.in_force = (known.then_some(least), lagging);
        let gone: Vec<ProcessId> = catalog
            .distributors()
            .iter()
            .filter(|process| dropped(process) && !lead.tally.knows(process))
            .cloned()
            .collect();
        gone.into_iter().for_each(|process| self.name(process, false, now));
    }

    fn view(&self, catalog: &Catalog) -> DistributionStatus {
        let Some(lead) = &self.lead else { return DistributionStatus::default() };
        let version = |process: &ProcessId| (process.name.clone(), lead.tally.version(process));
        DistributionStatus {
            version: catalog.version(),
            in_force: lead.in_force.0,
            nodes: lead.tally.nodes(),
            lagging: lead.in_force.1.clone(),
            distributors: catalog.distributors().iter().map(version).collect(),
        }
    }
}
