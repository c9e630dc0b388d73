//! The leader's side: feeds distributors with what is committed, takes changes, and counts what is in force everywhere.
//! Nothing of it is in the log but which distributors there are.

use crate::catalog::{Applied, Catalog, Command};
use crate::message::{FromVoter, No, Report, ToVoter, View, Who};
use crate::service::ChangeSet;
use crate::tally::{Lag, Tally};
use crate::times::{FEED, FEED_BYTES, SETS_AT_ONCE, Times};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[derive(Debug, Clone, PartialEq)]
pub enum Out {
    Propose(Vec<u8>),
    Send { link: u64, message: FromVoter },
    Close { link: u64 },
}

/// A distributor that follows.
struct Follower {
    who: Who,
    /// What it has, and what it was sent, if it has not said yet that it has it.
    has: Option<u64>,
    sent: Option<u64>,
    heard: f64,
}

struct Lead {
    term: u64,
    since: f64,
    followers: BTreeMap<u64, Follower>,
    /// Who waits for the outcome of which change, by its number and sum.
    waiting: BTreeMap<(String, u32), Vec<u64>>,
    /// When each beat was sent.
    beats: VecDeque<(u64, f64)>,
    beat_at: f64,
    tally: Tally,
    /// Reports that are taken once the log names their distributors.
    unnamed: BTreeMap<u64, u64>,
    /// What the log was last asked to say of each, and when.
    asked: BTreeMap<Who, (bool, f64)>,
    in_force: (Option<u64>, Vec<Lag>),
}

pub struct Registry {
    installation: String,
    times: Times,
    /// The last sets with their versions, and bytes of them.
    feed: VecDeque<(u64, ChangeSet, usize)>,
    feed_bytes: usize,
    lead: Option<Lead>,
    out: Vec<Out>,
}

impl Registry {
    pub fn new(installation: &str, times: Times) -> Self {
        let (feed, out) = (VecDeque::new(), Vec::new());
        Self { installation: installation.into(), times, feed, feed_bytes: 0, lead: None, out }
    }

    pub fn take_out(&mut self) -> Vec<Out> {
        std::mem::take(&mut self.out)
    }

    pub fn due(&self) -> f64 {
        self.lead.as_ref().map_or(f64::INFINITY, |lead| lead.beat_at)
    }

    /// The version that is in force everywhere, if this voter leads and knows.
    pub fn in_force(&self) -> Option<u64> {
        self.lead.as_ref().and_then(|lead| lead.in_force.0)
    }

    fn send(&mut self, link: u64, message: FromVoter) {
        self.out.push(Out::Send { link, message });
    }

    // ---- the log ----

    /// This voter leads in that term and has applied all that was committed before it, or it does not lead.
    pub fn leads(&mut self, term: Option<u64>, now: f64) {
        if self.lead.as_ref().map(|lead| lead.term) == term {
            return;
        }
        if let Some(lead) = self.lead.take() {
            let waiting = lead.waiting.into_values().flatten();
            for link in lead.followers.into_keys().chain(waiting).collect::<BTreeSet<_>>() {
                self.send(link, FromVoter::Elsewhere { leader: None });
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
    pub fn restored(&mut self) {
        self.feed.clear();
        self.feed_bytes = 0;
    }

    /// An entry was applied, and this came of it.
    pub fn applied(&mut self, bytes: &[u8], applied: &Applied, catalog: &Catalog) {
        match applied {
            Applied::Change { number, sum, outcome, version } => {
                if let Some(version) = version
                    && let Some(Command::Change(set)) = Command::decode(bytes)
                {
                    self.keep(*version, set, bytes.len());
                }
                let waiting =
                    self.lead.as_mut().and_then(|lead| lead.waiting.remove(&(number.clone(), *sum)));
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
            let who = lead.followers.get(link).map(|follower| &follower.who);
            who.is_some_and(|who| catalog.distributors().contains(who))
        };
        let taken: Vec<(u64, u64)> = lead
            .unnamed
            .iter()
            .filter(|(link, _)| is_named(link))
            .map(|(link, number)| (*link, *number))
            .collect();
        for (link, number) in taken {
            lead.unnamed.remove(&link);
            self.out.push(Out::Send { link, message: FromVoter::ReportTaken { number } });
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
                FromVoter::Sets { to: has + sets.len() as u64, sets }
            }
            _ => FromVoter::Whole { catalog: catalog.encode() },
        };
        follower.sent = Some(if let FromVoter::Sets { to, .. } = &message { *to } else { version });
        self.send(link, message);
    }

    /// A message came over that link; `leader` is who leads as far as this voter knows.
    pub fn heard(&mut self, link: u64, message: ToVoter, leader: Option<&str>, catalog: &Catalog, now: f64) {
        let Some(lead) = &mut self.lead else {
            return self.send(link, FromVoter::Elsewhere { leader: leader.map(str::to_string) });
        };
        if let Some(follower) = lead.followers.get_mut(&link) {
            follower.heard = now;
        }
        match message {
            ToVoter::Follow { installation, who, version } => {
                self.follow(link, (&installation, who, version), catalog, now)
            }
            ToVoter::Followed { version } => {
                if let Some(follower) = lead.followers.get_mut(&link)
                    && follower.sent.take_if(|sent| *sent == version).is_some()
                {
                    follower.has = Some(version);
                    self.feed_one(link, catalog);
                }
            }
            ToVoter::Report(report) => self.report(link, report, catalog, now),
            ToVoter::Submit(set) => self.submit(link, set),
            ToVoter::Look => {
                let view = self.view(catalog);
                self.send(link, FromVoter::View(view));
            }
        }
    }

    fn follow(
        &mut self,
        link: u64,
        (installation, who, version): (&str, Who, Option<u64>),
        catalog: &Catalog,
        now: f64,
    ) {
        let behind = version.is_some_and(|version| version > catalog.version());
        if installation != self.installation || behind {
            let why = if behind { No::Behind { version: catalog.version() } } else { No::Installation };
            return self.send(link, FromVoter::No { why });
        }
        let times = self.times;
        let Some(lead) = &mut self.lead else { return };
        lead.tally.only_life(&who, &times, now);
        // What comes late over an older link of it would take the place of what it said since.
        lead.followers.retain(|_, follower| follower.who.name != who.name);
        lead.followers.insert(link, Follower { who, has: version, sent: None, heard: now });
        self.feed_one(link, catalog);
        self.beat(link, catalog);
    }

    fn report(&mut self, link: u64, report: Report, catalog: &Catalog, now: f64) {
        let Some(lead) = &mut self.lead else { return };
        let Some(who) = lead.followers.get(&link).map(|follower| follower.who.clone()) else { return };
        let sent =
            lead.beats.iter().find(|(number, _)| *number == report.echo).map_or(lead.since, |(_, at)| *at);
        let number = report.number;
        if !lead.tally.report(&who, report, sent) {
            return self.send(link, FromVoter::ReportAll);
        }
        if catalog.distributors().contains(&who) {
            self.send(link, FromVoter::ReportTaken { number });
        } else {
            lead.unnamed.insert(link, number);
            self.name(who, true, now);
        }
    }

    /// Has the log say that a distributor is there, or is not; not again while that is under way.
    fn name(&mut self, who: Who, here: bool, now: f64) {
        let Some(lead) = &mut self.lead else { return };
        let under_way =
            lead.asked.get(&who).is_some_and(|(asked, at)| *asked == here && now - at < self.times.give_up);
        if !under_way {
            lead.asked.insert(who.clone(), (here, now));
            self.out.push(Out::Propose(Command::Distributor { who, here }.encode()));
        }
    }

    /// That life of a distributor is over, for certain.
    pub fn ended(&mut self, who: &Who, now: f64) {
        let times = self.times;
        if let Some(lead) = &mut self.lead {
            lead.tally.ended(who, &times, now);
        }
    }

    pub fn closed(&mut self, link: u64) {
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
        self.out.push(Out::Propose(bytes));
    }

    // ---- time ----

    pub fn tick(&mut self, catalog: &Catalog, now: f64) {
        let times = self.times;
        let Some(lead) = &mut self.lead else { return };
        if now < lead.beat_at {
            return;
        }
        lead.beat_at = now + times.beat;
        let number = lead.beats.back().map_or(1, |(number, _)| number + 1);
        lead.beats.push_back((number, now));
        while lead.beats.front().is_some_and(|(_, at)| now - at > 2.0 * times.alone) {
            lead.beats.pop_front();
        }
        let silent = |follower: &Follower| now - follower.heard >= times.give_up;
        let over: Vec<u64> =
            lead.followers.iter().filter(|(_, one)| silent(one)).map(|(link, _)| *link).collect();
        for link in over {
            self.closed(link);
            self.out.push(Out::Close { link });
        }
        // What the log was to say of them may have been lost.
        let Some(lead) = &self.lead else { return };
        let unnamed: Vec<Who> = lead
            .unnamed
            .keys()
            .filter_map(|link| lead.followers.get(link))
            .map(|one| one.who.clone())
            .collect();
        unnamed.into_iter().for_each(|who| self.name(who, true, now));
        self.count(catalog, now);
        let links: Vec<u64> = self.lead.iter().flat_map(|lead| lead.followers.keys().copied()).collect();
        links.into_iter().for_each(|link| self.beat(link, catalog));
    }

    fn beat(&mut self, link: u64, catalog: &Catalog) {
        let Some(lead) = &self.lead else { return };
        let number = lead.beats.back().map_or(0, |(number, _)| *number);
        let (version, in_force) = (catalog.version(), lead.in_force.0);
        self.send(link, FromVoter::Beat { number, version, in_force });
    }

    /// Counts what is in force everywhere, and drops those that nothing is waited for of any more.
    fn count(&mut self, catalog: &Catalog, now: f64) {
        let times = self.times;
        let Some(lead) = &mut self.lead else { return };
        let mut over = lead.tally.over(&times, now);
        over.iter().for_each(|who| lead.tally.remove(who));
        let unheard: Vec<&Who> = catalog.distributors().iter().filter(|who| !lead.tally.knows(who)).collect();
        let waits = now - lead.since < times.silence;
        if !waits {
            over.extend(unheard.iter().map(|who| (*who).clone()));
        }
        // Those that were dropped just now are not waited for, though the log names them yet.
        let dropped = |who: &Who| lead.asked.get(who).is_some_and(|(here, _)| !here) || over.contains(who);
        let known = unheard.iter().all(|who| dropped(who));
        let (least, lags) = lead.tally.in_force(catalog.version());
        lead.in_force = (known.then_some(least), lags);
        let gone: Vec<Who> = catalog
            .distributors()
            .iter()
            .filter(|who| dropped(who) && !lead.tally.knows(who))
            .cloned()
            .collect();
        gone.into_iter().for_each(|who| self.name(who, false, now));
    }

    fn view(&self, catalog: &Catalog) -> View {
        let Some(lead) = &self.lead else { return View::default() };
        let version = |who: &Who| (who.name.clone(), lead.tally.version(who));
        View {
            version: catalog.version(),
            in_force: lead.in_force.0,
            nodes: lead.tally.nodes(),
            lags: lead.in_force.1.clone(),
            distributors: catalog.distributors().iter().map(version).collect(),
        }
    }
}
