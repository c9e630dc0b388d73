//! Probes, and what follows from those that fail: suspicion, the last call, silence.
//!
//! A process is probed by one other in each period on the mean, whatever the size. A suspicion is a question that many
//! ask; only those whose own probe failed answer it, and each asks a last time before it does. So a process that stood
//! still for as long as a suspicion lasts is found out to be there by the last call, not buried by a clock.

use crate::core::{Change, Destination, Membership, State, smoothed};
use crate::member::{Card, Status, Update};
use crate::message::Body;
use crate::times::{CONFIRMATIONS, HELPERS, UNSHARED};
use rand::seq::SliceRandom;
use std::collections::BTreeSet;

/// How long a question asked for another is remembered, in the longest waits for an answer.
const RELAY_WAITS: f64 = 4.0;
/// Own probes on their way at a time.
const MOST_PROBES: usize = 64;
/// Questions for others at a time: more are not taken on.
const MOST_RELAYS: usize = 512;

/// An own question to one member, and what became of it so far.
pub(crate) struct Probe {
    name: String,
    began: f64,
    /// When others are asked, and when it has failed.
    helpers_at: f64,
    ends: f64,
    asked: usize,
    not_yet: usize,
}

impl Probe {
    pub fn due(&self) -> f64 {
        if self.asked == 0 { self.helpers_at.min(self.ends) } else { self.ends }
    }
}

/// A question asked for another.
pub(crate) struct Relay {
    asker: Destination,
    question: u64,
    until: f64,
}

pub(crate) struct Suspicion {
    /// From when its time runs.
    began: f64,
    accusers: BTreeSet<String>,
    /// Did an own probe fail? Only then is there a verdict from here soon.
    own: bool,
    call: Option<Call>,
}

/// The last question before a verdict.
#[derive(Clone, Copy)]
struct Call {
    question: u64,
    began: f64,
    ends: f64,
}

impl Suspicion {
    /// This process stood still for so long: none of that time counts.
    pub fn put_off(&mut self, by: f64) {
        self.began += by;
        self.call = None;
    }
}

impl Membership {
    /// How long an answer is waited for: a usual round trip with room, as TCP has it.
    pub(crate) fn wait(&self) -> f64 {
        let usual = self.trip.map_or(0.0, |(mean, deviation)| mean + 4.0 * deviation);
        self.times.probe_timeout.max(usual)
    }

    /// How long a probe takes at the most.
    fn span(&self) -> f64 {
        self.times.probe_period.max(2.5 * self.wait()) * (1.0 + f64::from(self.health) / 4.0)
    }

    /// The shortest time that a suspicion lasts, by the weather and by own health.
    pub(crate) fn shortest(&self) -> f64 {
        let weather = 4.0 * (self.wait() - self.times.probe_timeout);
        self.times.suspicion * (1.0 + f64::from(self.health) / 8.0) + weather
    }

    /// How long this one lasts: the shortest time if enough others share it, else longer.
    fn lasts(&self, suspicion: &Suspicion) -> f64 {
        let shortest = self.shortest();
        let most = CONFIRMATIONS.min(self.table.size().saturating_sub(3)) as f64;
        let shared = suspicion.accusers.len().saturating_sub(1) as f64;
        let part = if most > 0.0 { ((shared + 1.0).ln() / (most + 1.0).ln()).min(1.0) } else { 1.0 };
        let lasts = shortest * (UNSHARED - (UNSHARED - 1.0) * part);
        if suspicion.own { lasts } else { lasts * UNSHARED }
    }

    /// Who suspects it, and from when on its time runs and how long, ms; none if nobody does.
    pub fn suspicion(&self, name: &str) -> Option<(Vec<&str>, f64, f64)> {
        let suspicion = self.suspicions.get(name)?;
        let accusers = suspicion.accusers.iter().map(String::as_str).collect();
        Some((accusers, suspicion.began, self.lasts(suspicion)))
    }

    pub(crate) fn suspicion_due(&self) -> f64 {
        let hold = self.deafness.holds_back_until(self.shortest()).unwrap_or(f64::NEG_INFINITY);
        let due = |suspicion: &Suspicion| match suspicion.call {
            Some(call) => call.ends,
            None => (suspicion.began + self.lasts(suspicion)).max(hold),
        };
        self.suspicions.values().map(due).fold(f64::INFINITY, f64::min)
    }

    // ---- probes ----

    pub(crate) fn probe_on(&mut self, now: f64) {
        let due = |probe: &Probe| probe.due() <= now;
        let questions: Vec<u64> =
            self.probes.iter().filter(|(_, probe)| due(probe)).map(|(question, _)| *question).collect();
        for question in questions {
            if self.probes.get(&question).is_some_and(|probe| now >= probe.ends) {
                self.failed(question, now);
            } else {
                self.ask_helpers(question);
            }
        }
        if now >= self.next_probe {
            self.next_probe = now + self.times.probe_period * (1.0 + f64::from(self.health) / 4.0);
            self.begin_probe(now);
        }
    }

    /// In rounds of random order: each is asked once a round, so the longest wait is bounded.
    fn next_target(&mut self) -> Option<Card> {
        for _ in 0..2 {
            while let Some(name) = self.round.pop() {
                if let Some(member) = self.table.get(&name).filter(|member| member.is_present()) {
                    return Some(member.card.clone());
                }
            }
            self.round = self.table.here().map(|member| member.card.name.clone()).collect();
            self.round.shuffle(&mut self.chance);
        }
        None
    }

    fn begin_probe(&mut self, now: f64) {
        let Some(card) = self.next_target() else { return };
        if self.probes.len() >= MOST_PROBES {
            return;
        }
        let question = self.next_question();
        let (helpers_at, ends) = (now + self.wait(), now + self.span());
        let name = card.name.clone();
        self.probes.insert(question, Probe { name, began: now, helpers_at, ends, asked: 0, not_yet: 0 });
        self.send_about(&Destination::card(&card), Body::Ping { question }, Some(&card.name));
    }

    fn ask_helpers(&mut self, question: u64) {
        let Some(name) = self.probes.get(&question).map(|probe| probe.name.clone()) else { return };
        let asked = self.ask_others(&name, question);
        if let Some(probe) = self.probes.get_mut(&question) {
            // Nobody to ask counts as asked, too.
            probe.asked = asked.max(1);
        }
    }

    fn ask_others(&mut self, name: &str, question: u64) -> usize {
        let Some(card) = self.table.get(name).map(|member| member.card.clone()) else { return 0 };
        let fits = |member: &crate::Member| member.status == Status::Alive && member.card.name != name;
        let helpers = self.table.some(&mut self.chance, HELPERS, fits);
        for helper in &helpers {
            self.send(&Destination::card(helper), Body::Ask { question, card: card.clone() });
        }
        helpers.len()
    }

    fn failed(&mut self, question: u64, now: f64) {
        let Some(probe) = self.probes.remove(&question) else { return };
        // A link may have brought its answer where datagrams don't pass, or another probe.
        if self.table.get(&probe.name).is_some_and(|member| member.answered >= probe.began) {
            return;
        }
        self.counts.probes_failed += 1;
        // Helpers that did not even say "not yet" were not heard: that speaks against this process.
        if probe.not_yet < probe.asked.max(1) {
            self.worsen_local_health();
        }
        if self.deafness.missed(probe.began, now) {
            self.changed(Change::Deaf);
        }
        self.accuse(&probe.name, now);
    }

    pub(crate) fn acked(&mut self, from: &Card, question: u64, now: f64) {
        if let Some(Relay { asker, question, .. }) = self.relays.remove(&question) {
            self.send(&asker, Body::Ack { question });
        }
        if let Some(member) = self.called(question).and_then(|name| self.table.get_mut(&name)) {
            member.answered = now;
        }
        let Some(probe) = self.probes.remove(&question) else { return };
        let direct = from.name == probe.name;
        if let Some(member) = self.table.get_mut(&probe.name) {
            member.answered = now;
            if direct {
                member.round_trip = smoothed(member.round_trip, now - probe.began);
            }
        }
        if direct {
            self.measure(now - probe.began);
        }
        self.health = self.health.saturating_sub(1);
    }

    fn measure(&mut self, trip: f64) {
        let (mean, deviation) = self.trip.unwrap_or((trip, trip / 2.0));
        let off = (trip - mean).abs();
        self.trip = Some((smoothed(mean, trip), deviation + (off - deviation) / 4.0));
    }

    /// Tries one for another, and says at once that it was asked and when it last heard that one.
    pub(crate) fn try_for(&mut self, asker: Destination, question: u64, card: Card, now: f64) {
        let heard = self.table.get(&card.name).map_or(f64::NEG_INFINITY, |member| member.heard);
        let ago = (now - heard).clamp(0.0, f64::from(u32::MAX));
        let heard_ago = heard.is_finite().then_some(ago as u32);
        self.send(&asker, Body::NotYet { question, heard_ago });
        self.relays.retain(|_, relay| relay.until > now);
        if card.name == self.me.name || self.relays.len() >= MOST_RELAYS {
            return;
        }
        let own = self.next_question();
        let until = now + RELAY_WAITS * self.span();
        self.relays.insert(own, Relay { asker, question, until });
        self.send_about(&Destination::card(&card), Body::Ping { question: own }, Some(&card.name));
    }

    /// A helper heard us. If it heard the other a moment ago, so much is known of that one: it can't be silent.
    pub(crate) fn not_yet(&mut self, question: u64, heard_ago: Option<u32>, now: f64) {
        let mut name = self.called(question);
        if let Some(probe) = self.probes.get_mut(&question) {
            probe.not_yet += 1;
            name = Some(probe.name.clone());
        }
        let Some(name) = name else { return };
        if let (Some(ago), Some(member)) = (heard_ago, self.table.get_mut(&name)) {
            member.vouched = member.vouched.max(now - f64::from(ago));
        }
    }

    // ---- suspicion ----

    /// An own probe of it failed. A process that hears nobody accuses nobody.
    fn accuse(&mut self, name: &str, now: f64) {
        if self.deafness.since().is_some() {
            return;
        }
        let me = self.me.name.clone();
        let Some(member) = self.table.get(name).filter(|member| member.is_present()) else { return };
        let news = Update { card: member.card.clone(), status: Status::Suspect, by: Some(me.clone()) };
        if member.status == Status::Alive {
            self.counts.suspicions += 1;
            self.apply(news.clone(), None, now);
        } else if self.suspicions.get(name).is_some_and(|suspicion| !suspicion.accusers.contains(&me)) {
            self.disseminate(news);
        }
        if let Some(suspicion) = self.suspicions.get_mut(name) {
            suspicion.accusers.insert(me);
            suspicion.own = true;
        }
    }

    pub(crate) fn suspect_told(&mut self, news: &Update, now: f64) {
        let accusers = news.by.iter().cloned().collect();
        let suspicion = Suspicion { began: now, accusers, own: false, call: None };
        self.suspicions.insert(news.card.name.clone(), suspicion);
    }

    /// One more who suspects it; passed on, as far as that shortens anything.
    pub(crate) fn shared(&mut self, news: Update) {
        let (Some(by), Some(suspicion)) = (&news.by, self.suspicions.get_mut(&news.card.name)) else {
            return;
        };
        if suspicion.accusers.len() <= CONFIRMATIONS && suspicion.accusers.insert(by.clone()) {
            self.disseminate(news);
        }
    }

    /// Looks at all suspicions whose time is over.
    pub(crate) fn judge(&mut self, now: f64) {
        if self.state != State::Member || self.suspicions.is_empty() {
            return;
        }
        let hold = self.deafness.holds_back_until(self.shortest());
        if hold.is_some_and(|until| now < until) {
            return;
        }
        let names: Vec<String> = self.suspicions.keys().cloned().collect();
        for name in names {
            let Some(suspicion) = self.suspicions.get(&name) else { continue };
            match suspicion.call {
                None if now >= suspicion.began + self.lasts(suspicion) => self.call(&name, now),
                Some(call) if now >= call.ends => self.verdict(&name, call.began, now),
                _ => {}
            }
        }
    }

    /// Whose last call that question is.
    fn called(&self, question: u64) -> Option<String> {
        let fits =
            |suspicion: &Suspicion| suspicion.call.as_ref().is_some_and(|call| call.question == question);
        self.suspicions.iter().find(|(_, suspicion)| fits(suspicion)).map(|(name, _)| name.clone())
    }

    /// Asks a last time, by all ways that there are; it hears what is held of it.
    fn call(&mut self, name: &str, now: f64) {
        let Some(card) = self.table.get(name).map(|member| member.card.clone()) else { return };
        let (question, ends) = (self.next_question(), now + self.span());
        if let Some(suspicion) = self.suspicions.get_mut(name) {
            suspicion.call = Some(Call { question, began: now, ends });
        }
        self.send_about(&Destination::card(&card), Body::Ping { question }, Some(name));
        self.send_view(&Destination::card(&card), None, true);
        self.ask_others(name, question);
    }

    /// Silent, if nothing at all was heard of it; else all begins anew from when it was.
    fn verdict(&mut self, name: &str, called: f64, now: f64) {
        let Some(member) = self.table.get(name) else { return };
        let heard = member.heard.max(member.answered).max(member.vouched);
        let card = member.card.clone();
        if heard >= called || now - heard < self.shortest() {
            if let Some(suspicion) = self.suspicions.get_mut(name) {
                suspicion.began = heard;
                suspicion.call = None;
            }
            return;
        }
        self.apply(Update::of(&card, Status::Silent), None, now);
        if self.deafness.since().is_some() {
            // What a deaf process takes from the silence is its own affair.
            self.spread.withdraw(name);
        }
    }
}
