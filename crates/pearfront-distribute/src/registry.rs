//! The voters' side: while it leads, a voter feeds distributors with committed change sets, proposes submitted changes, and
//! computes which version is in force everywhere. Of this state only the set of distributors is in the log.

use crate::catalog::{Applied, Catalog, Command};
use crate::in_force::{InForceTracker, LaggingProcess};
use crate::message::{DistributionStatus, FromVoter, ProcessId, Rejection, Report, ToVoter};
use crate::service::ChangeSet;
use crate::times::{MAX_FEED_BYTES, MAX_FEED_SETS, MAX_SETS_PER_MESSAGE, Times};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What the owner of the registry has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Propose that entry to the replicated log.
    Propose(Vec<u8>),
    Send {
        link: u64,
        message: FromVoter,
    },
    Close {
        link: u64,
    },
}

/// A distributor that is fed.
struct Follower {
    process: ProcessId,
    /// The version that it acknowledged.
    acknowledged: Option<u64>,
    /// The version that it was sent and has not acknowledged yet.
    in_flight: Option<u64>,
    last_received: f64,
}

/// State of one term as leader.
struct Leadership {
    term: u64,
    since: f64,
    followers: BTreeMap<u64, Follower>,
    /// Links that wait for the outcome of a change, by its number and checksum.
    pending_submits: BTreeMap<(String, u32), Vec<u64>>,
    /// Number of each recent heartbeat, and when it was sent.
    heartbeats: VecDeque<(u64, f64)>,
    next_heartbeat: f64,
    tracker: InForceTracker,
    /// By link: a report that is accepted once the log names its distributor.
    unregistered: BTreeMap<u64, u64>,
    /// The last proposal on each distributor (present or not), and when it was made.
    proposed: BTreeMap<ProcessId, (bool, f64)>,
    /// The version that is in force everywhere, and the processes that lag.
    in_force: (Option<u64>, Vec<LaggingProcess>),
}

/// A voter's state for distribution; messages, applied entries and the time come in, `Action`s go out.
pub struct Registry {
    installation: String,
    times: Times,
    /// The latest change sets with their versions and encoded lengths.
    feed: VecDeque<(u64, ChangeSet, usize)>,
    feed_bytes: usize,
    leadership: Option<Leadership>,
    actions: Vec<Action>,
}

impl Registry {
    /// A voter that does not lead yet.
    pub fn new(installation: &str, times: Times) -> Self {
        let (feed, actions) = (VecDeque::new(), Vec::new());
        Self { installation: installation.into(), times, feed, feed_bytes: 0, leadership: None, actions }
    }

    /// Actions since the last call, to be done in this order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// When `tick` has to be called at the latest, ms.
    pub fn due(&self) -> f64 {
        self.leadership.as_ref().map_or(f64::INFINITY, |leadership| leadership.next_heartbeat)
    }

    /// The version that is in force everywhere, if this voter leads and knows it.
    pub fn in_force(&self) -> Option<u64> {
        self.leadership.as_ref().and_then(|leadership| leadership.in_force.0)
    }

    fn send(&mut self, link: u64, message: FromVoter) {
        self.actions.push(Action::Send { link, message });
    }

    // ---- the log ----

    /// `term`: the term in which this voter leads, having applied everything committed before it; none if it does not lead.
    pub fn set_leading_term(&mut self, term: Option<u64>, now: f64) {
        if self.leadership.as_ref().map(|leadership| leadership.term) == term {
            return;
        }
        if let Some(leadership) = self.leadership.take() {
            let writers = leadership.pending_submits.into_values().flatten();
            for link in leadership.followers.into_keys().chain(writers).collect::<BTreeSet<_>>() {
                self.send(link, FromVoter::NotLeader { leader: None });
            }
        }
        self.leadership = term.map(|term| Leadership {
            term,
            since: now,
            followers: BTreeMap::new(),
            pending_submits: BTreeMap::new(),
            heartbeats: VecDeque::new(),
            next_heartbeat: now,
            tracker: InForceTracker::default(),
            unregistered: BTreeMap::new(),
            proposed: BTreeMap::new(),
            in_force: (None, Vec::new()),
        });
    }

    /// The catalog was replaced by a snapshot, which leaves a gap in the feed.
    pub fn snapshot_restored(&mut self) {
        self.feed.clear();
        self.feed_bytes = 0;
    }

    /// A log entry was applied with that result.
    pub fn entry_applied(&mut self, bytes: &[u8], applied: &Applied, catalog: &Catalog) {
        match applied {
            Applied::Change { number, checksum, outcome, version } => {
                if let Some(version) = version
                    && let Some(Command::Change(set)) = Command::decode(bytes)
                {
                    self.push_feed(*version, set, bytes.len());
                }
                let waiting = self
                    .leadership
                    .as_mut()
                    .and_then(|leadership| leadership.pending_submits.remove(&(number.clone(), *checksum)));
                for link in waiting.into_iter().flatten() {
                    let (number, outcome) = (number.clone(), outcome.clone());
                    self.send(link, FromVoter::Outcome { number, outcome });
                }
                self.feed_all(catalog);
            }
            Applied::Distributors => self.accept_registered(catalog),
            Applied::Nothing => {}
        }
    }

    fn push_feed(&mut self, version: u64, set: ChangeSet, bytes: usize) {
        self.feed.push_back((version, set, bytes));
        self.feed_bytes += bytes;
        while self.feed.len() > MAX_FEED_SETS || self.feed_bytes > MAX_FEED_BYTES {
            let Some((.., bytes)) = self.feed.pop_front() else { return };
            self.feed_bytes -= bytes;
        }
    }

    /// Accepts reports of distributors that the log names by now.
    fn accept_registered(&mut self, catalog: &Catalog) {
        let Some(leadership) = &mut self.leadership else { return };
        let is_registered = |link: &u64| {
            let process = leadership.followers.get(link).map(|follower| &follower.process);
            process.is_some_and(|process| catalog.distributors().contains(process))
        };
        let accepted: Vec<(u64, u64)> = leadership
            .unregistered
            .iter()
            .filter(|(link, _)| is_registered(link))
            .map(|(link, number)| (*link, *number))
            .collect();
        for (link, number) in accepted {
            leadership.unregistered.remove(&link);
            self.actions.push(Action::Send { link, message: FromVoter::ReportAccepted { number } });
        }
    }

    // ---- distributors ----

    fn feed_all(&mut self, catalog: &Catalog) {
        let links: Vec<u64> =
            self.leadership.iter().flat_map(|leadership| leadership.followers.keys().copied()).collect();
        links.into_iter().for_each(|link| self.feed_one(link, catalog));
    }

    /// Sends what the follower lacks, unless something is in flight to it.
    fn feed_one(&mut self, link: u64, catalog: &Catalog) {
        let Some(leadership) = &mut self.leadership else { return };
        let Some(follower) =
            leadership.followers.get_mut(&link).filter(|follower| follower.in_flight.is_none())
        else {
            return;
        };
        let version = catalog.version();
        if follower.acknowledged == Some(version) {
            return;
        }
        let feed_covers =
            |acknowledged: u64| self.feed.front().is_some_and(|(first, ..)| *first <= acknowledged + 1);
        let message = match follower.acknowledged {
            Some(acknowledged) if feed_covers(acknowledged) => {
                let skip = self.feed.partition_point(|(version, ..)| *version <= acknowledged);
                let sets: Vec<_> = self
                    .feed
                    .iter()
                    .skip(skip)
                    .take(MAX_SETS_PER_MESSAGE)
                    .map(|(_, set, _)| set.clone())
                    .collect();
                FromVoter::ChangeSets { to: acknowledged + sets.len() as u64, sets }
            }
            _ => FromVoter::Snapshot { catalog: catalog.encode() },
        };
        follower.in_flight =
            Some(if let FromVoter::ChangeSets { to, .. } = &message { *to } else { version });
        self.send(link, message);
    }

    /// Handles a message that came over a link; `leader` is the leader as far as this voter knows.
    pub fn receive(
        &mut self,
        link: u64,
        message: ToVoter,
        leader: Option<&str>,
        catalog: &Catalog,
        now: f64,
    ) {
        let Some(leadership) = &mut self.leadership else {
            return self.send(link, FromVoter::NotLeader { leader: leader.map(str::to_string) });
        };
        if let Some(follower) = leadership.followers.get_mut(&link) {
            follower.last_received = now;
        }
        match message {
            ToVoter::Follow { installation, process, version } => {
                self.follow(link, (&installation, process, version), catalog, now)
            }
            ToVoter::Acknowledge { version } => {
                if let Some(follower) = leadership.followers.get_mut(&link)
                    && follower.in_flight.take_if(|sent| *sent == version).is_some()
                {
                    follower.acknowledged = Some(version);
                    self.feed_one(link, catalog);
                }
            }
            ToVoter::Report(report) => self.report(link, report, catalog, now),
            ToVoter::Submit(set) => self.submit(link, set),
            ToVoter::QueryStatus => {
                let status = self.status(catalog);
                self.send(link, FromVoter::Status(status));
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
        let ahead = version.is_some_and(|version| version > catalog.version());
        if installation != self.installation || ahead {
            let reason = if ahead {
                Rejection::Behind { version: catalog.version() }
            } else {
                Rejection::WrongInstallation
            };
            return self.send(link, FromVoter::Rejected { reason });
        }
        let times = self.times;
        let Some(leadership) = &mut self.leadership else { return };
        leadership.tracker.end_other_incarnations(&process, &times, now);
        // A late message over an older link of the distributor would override newer state.
        leadership.followers.retain(|_, follower| follower.process.name != process.name);
        leadership
            .followers
            .insert(link, Follower { process, acknowledged: version, in_flight: None, last_received: now });
        self.feed_one(link, catalog);
        self.send_heartbeat(link, catalog);
    }

    fn report(&mut self, link: u64, report: Report, catalog: &Catalog, now: f64) {
        let Some(leadership) = &mut self.leadership else { return };
        let Some(process) = leadership.followers.get(&link).map(|follower| follower.process.clone()) else {
            return;
        };
        let sent = leadership
            .heartbeats
            .iter()
            .find(|(number, _)| *number == report.heartbeat_echo)
            .map_or(leadership.since, |(_, at)| *at);
        let number = report.number;
        if !leadership.tracker.report(&process, report, sent) {
            return self.send(link, FromVoter::FullReportNeeded);
        }
        if catalog.distributors().contains(&process) {
            self.send(link, FromVoter::ReportAccepted { number });
        } else {
            leadership.unregistered.insert(link, number);
            self.propose_distributor(process, true, now);
        }
    }

    /// Proposes to add or remove a distributor in the log, unless the same proposal is in flight.
    fn propose_distributor(&mut self, process: ProcessId, present: bool, now: f64) {
        let Some(leadership) = &mut self.leadership else { return };
        let in_flight = leadership
            .proposed
            .get(&process)
            .is_some_and(|(proposed, at)| *proposed == present && now - at < self.times.close_after_ms);
        if !in_flight {
            leadership.proposed.insert(process.clone(), (present, now));
            self.actions.push(Action::Propose(Command::Distributor { process, present }.encode()));
        }
    }

    /// That incarnation of a distributor has certainly ended.
    pub fn distributor_ended(&mut self, process: &ProcessId, now: f64) {
        let times = self.times;
        if let Some(leadership) = &mut self.leadership {
            leadership.tracker.ended(process, &times, now);
        }
    }

    /// A link to this voter has ended.
    pub fn link_closed(&mut self, link: u64) {
        if let Some(leadership) = &mut self.leadership {
            leadership.followers.remove(&link);
            leadership.unregistered.remove(&link);
            leadership.pending_submits.values_mut().for_each(|links| links.retain(|other| *other != link));
        }
    }

    // ---- changes ----

    fn submit(&mut self, link: u64, set: ChangeSet) {
        let Some(leadership) = &mut self.leadership else { return };
        let number = set.number.clone();
        let bytes = Command::Change(set).encode();
        let links = leadership.pending_submits.entry((number, crc32c::crc32c(&bytes))).or_default();
        if !links.contains(&link) {
            links.push(link);
        }
        // An earlier proposal of it may be committed, lost or in flight: the number makes a repeated one harmless.
        self.actions.push(Action::Propose(bytes));
    }

    // ---- time ----

    /// Sends heartbeats, closes silent links and recomputes what is in force, if a heartbeat is due.
    pub fn tick(&mut self, catalog: &Catalog, now: f64) {
        let times = self.times;
        let Some(leadership) = &mut self.leadership else { return };
        if now < leadership.next_heartbeat {
            return;
        }
        leadership.next_heartbeat = now + times.heartbeat_ms;
        let number = leadership.heartbeats.back().map_or(1, |(number, _)| number + 1);
        leadership.heartbeats.push_back((number, now));
        while leadership.heartbeats.front().is_some_and(|(_, at)| now - at > 2.0 * times.isolated_after_ms) {
            leadership.heartbeats.pop_front();
        }
        let is_silent = |follower: &Follower| now - follower.last_received >= times.close_after_ms;
        let silent: Vec<u64> = leadership
            .followers
            .iter()
            .filter(|(_, follower)| is_silent(follower))
            .map(|(link, _)| *link)
            .collect();
        for link in silent {
            self.link_closed(link);
            self.actions.push(Action::Close { link });
        }
        // Earlier proposals to register these may have been lost.
        let Some(leadership) = &self.leadership else { return };
        let unregistered: Vec<ProcessId> = leadership
            .unregistered
            .keys()
            .filter_map(|link| leadership.followers.get(link))
            .map(|follower| follower.process.clone())
            .collect();
        unregistered.into_iter().for_each(|process| self.propose_distributor(process, true, now));
        self.update_in_force(catalog, now);
        let links: Vec<u64> =
            self.leadership.iter().flat_map(|leadership| leadership.followers.keys().copied()).collect();
        links.into_iter().for_each(|link| self.send_heartbeat(link, catalog));
    }

    fn send_heartbeat(&mut self, link: u64, catalog: &Catalog) {
        let Some(leadership) = &self.leadership else { return };
        let number = leadership.heartbeats.back().map_or(0, |(number, _)| *number);
        let (version, in_force) = (catalog.version(), leadership.in_force.0);
        self.send(link, FromVoter::Heartbeat { number, version, in_force });
    }

    /// Recomputes what is in force everywhere, and drops distributors that no longer need to be waited for.
    fn update_in_force(&mut self, catalog: &Catalog, now: f64) {
        let times = self.times;
        let Some(leadership) = &mut self.leadership else { return };
        let mut finished = leadership.tracker.finished(&times, now);
        finished.iter().for_each(|process| leadership.tracker.remove(process));
        let unreported: Vec<&ProcessId> = catalog
            .distributors()
            .iter()
            .filter(|process| !leadership.tracker.has_reports_of(process))
            .collect();
        let may_wait = now - leadership.since < times.gone_after_ms;
        if !may_wait {
            finished.extend(unreported.iter().map(|process| (*process).clone()));
        }
        // The log still names distributors that were dropped just now; they are not waited for.
        let dropped = |process: &ProcessId| {
            leadership.proposed.get(process).is_some_and(|(present, _)| !present)
                || finished.contains(process)
        };
        let all_known = unreported.iter().all(|process| dropped(process));
        let (least, lagging) = leadership.tracker.in_force(catalog.version());
        leadership.in_force = (all_known.then_some(least), lagging);
        let gone: Vec<ProcessId> = catalog
            .distributors()
            .iter()
            .filter(|process| dropped(process) && !leadership.tracker.has_reports_of(process))
            .cloned()
            .collect();
        gone.into_iter().for_each(|process| self.propose_distributor(process, false, now));
    }

    fn status(&self, catalog: &Catalog) -> DistributionStatus {
        let Some(leadership) = &self.leadership else { return DistributionStatus::default() };
        let version = |process: &ProcessId| (process.name.clone(), leadership.tracker.version(process));
        DistributionStatus {
            version: catalog.version(),
            in_force: leadership.in_force.0,
            nodes: leadership.tracker.nodes(),
            lagging: leadership.in_force.1.clone(),
            distributors: catalog.distributors().iter().map(version).collect(),
        }
    }
}
