//! Probes and what follows from failed ones: suspicion, a final probe, and the status `Silent`.
//!
//! On average each process is probed by one other per period, whatever the group size. Many processes may share
//! a suspicion, but only those whose own probe failed conclude it, each after a final probe of its own. So a
//! process that stalled for as long as a suspicion lasts is found alive by the final probe instead of being
//! declared silent by a clock.

use crate::core::{Change, Destination, Membership, State, smoothed};
use crate::member::{Card, Status, Update};
use crate::message::Body;
use crate::times::{CONFIRMATIONS, INDIRECT_PROBES, MAX_SUSPICION_FACTOR};
use rand::seq::SliceRandom;
use std::collections::BTreeSet;

/// How long an indirect probe is remembered, in probe durations.
const INDIRECT_PROBE_DURATIONS: f64 = 4.0;
/// Most own probes in flight.
const MAX_PROBES: usize = 64;
/// Most indirect probes in flight; further requests are not served.
const MAX_INDIRECT_PROBES: usize = 512;

/// A probe of one member, in flight.
pub(crate) struct Probe {
    name: String,
    started_at: f64,
    /// When indirect probes start, and when the probe has failed.
    indirect_at: f64,
    deadline: f64,
    helpers_asked: usize,
    nacks: usize,
}

impl Probe {
    pub fn due(&self) -> f64 {
        if self.helpers_asked == 0 { self.indirect_at.min(self.deadline) } else { self.deadline }
    }
}

/// A probe on behalf of another process.
pub(crate) struct IndirectProbe {
    requester: Destination,
    request_id: u64,
    expires_at: f64,
}

/// A suspicion of one member.
pub(crate) struct Suspicion {
    /// Start of its duration.
    started_at: f64,
    suspectors: BTreeSet<String>,
    /// Did an own probe fail? Otherwise this process concludes the suspicion much later.
    own_probe_failed: bool,
    final_probe: Option<FinalProbe>,
}

/// The final probe before a suspicion is concluded.
#[derive(Clone, Copy)]
struct FinalProbe {
    request_id: u64,
    started_at: f64,
    deadline: f64,
}

impl Suspicion {
    /// Leaves out a stall of this process.
    pub fn postpone(&mut self, by: f64) {
        self.started_at += by;
        self.final_probe = None;
    }
}

impl Membership {
    /// Time-out of a direct probe: the usual round trip plus a margin, computed as in TCP.
    pub(crate) fn probe_timeout(&self) -> f64 {
        let usual = self.round_trip.map_or(0.0, |(mean, deviation)| mean + 4.0 * deviation);
        self.times.probe_timeout.max(usual)
    }

    /// Longest duration of a probe, including indirect ones.
    fn probe_duration(&self) -> f64 {
        self.times.probe_period.max(2.5 * self.probe_timeout()) * (1.0 + f64::from(self.health) / 4.0)
    }

    /// Shortest duration of a suspicion, adjusted to current latency and own health.
    pub(crate) fn min_suspicion(&self) -> f64 {
        let latency_allowance = 4.0 * (self.probe_timeout() - self.times.probe_timeout);
        self.times.suspicion * (1.0 + f64::from(self.health) / 8.0) + latency_allowance
    }

    /// Duration of this suspicion: shortest if enough others share it.
    fn suspicion_duration(&self, suspicion: &Suspicion) -> f64 {
        let shortest = self.min_suspicion();
        let most = CONFIRMATIONS.min(self.table.size().saturating_sub(3)) as f64;
        let shared = suspicion.suspectors.len().saturating_sub(1) as f64;
        let shared_part = if most > 0.0 { ((shared + 1.0).ln() / (most + 1.0).ln()).min(1.0) } else { 1.0 };
        let duration = shortest * (MAX_SUSPICION_FACTOR - (MAX_SUSPICION_FACTOR - 1.0) * shared_part);
        if suspicion.own_probe_failed { duration } else { duration * MAX_SUSPICION_FACTOR }
    }

    /// The suspectors, the start of the suspicion and its duration, ms; none if there is no suspicion.
    pub fn suspicion(&self, name: &str) -> Option<(Vec<&str>, f64, f64)> {
        let suspicion = self.suspicions.get(name)?;
        let suspectors = suspicion.suspectors.iter().map(String::as_str).collect();
        Some((suspectors, suspicion.started_at, self.suspicion_duration(suspicion)))
    }

    pub(crate) fn suspicion_due(&self) -> f64 {
        let suspended_until =
            self.isolation.verdicts_suspended_until(self.min_suspicion()).unwrap_or(f64::NEG_INFINITY);
        let due = |suspicion: &Suspicion| match suspicion.final_probe {
            Some(final_probe) => final_probe.deadline,
            None => (suspicion.started_at + self.suspicion_duration(suspicion)).max(suspended_until),
        };
        self.suspicions.values().map(due).fold(f64::INFINITY, f64::min)
    }

    // ---- probes ----

    pub(crate) fn run_probes(&mut self, now: f64) {
        let due = |probe: &Probe| probe.due() <= now;
        let due_probes: Vec<u64> =
            self.probes.iter().filter(|(_, probe)| due(probe)).map(|(request_id, _)| *request_id).collect();
        for request_id in due_probes {
            if self.probes.get(&request_id).is_some_and(|probe| now >= probe.deadline) {
                self.on_probe_failed(request_id, now);
            } else {
                self.start_indirect_probes(request_id);
            }
        }
        if now >= self.next_probe {
            self.next_probe = now + self.times.probe_period * (1.0 + f64::from(self.health) / 4.0);
            self.start_probe(now);
        }
    }

    /// Probes in rounds of random order: each member is probed once per round, which bounds the time until a
    /// failure is noticed.
    fn next_target(&mut self) -> Option<Card> {
        for _ in 0..2 {
            while let Some(name) = self.probe_round.pop() {
                if let Some(member) = self.table.get(&name).filter(|member| member.is_present()) {
                    return Some(member.card.clone());
                }
            }
            self.probe_round = self.table.present().map(|member| member.card.name.clone()).collect();
            self.probe_round.shuffle(&mut self.rng);
        }
        None
    }

    fn start_probe(&mut self, now: f64) {
        let Some(card) = self.next_target() else { return };
        if self.probes.len() >= MAX_PROBES {
            return;
        }
        let request_id = self.next_request_id();
        let (indirect_at, deadline) = (now + self.probe_timeout(), now + self.probe_duration());
        let name = card.name.clone();
        self.probes.insert(
            request_id,
            Probe { name, started_at: now, indirect_at, deadline, helpers_asked: 0, nacks: 0 },
        );
        self.send_about(&Destination::card(&card), Body::Ping { request_id }, Some(&card.name));
    }

    fn start_indirect_probes(&mut self, request_id: u64) {
        let Some(name) = self.probes.get(&request_id).map(|probe| probe.name.clone()) else { return };
        let asked = self.send_ping_requests(&name, request_id);
        if let Some(probe) = self.probes.get_mut(&request_id) {
            // Marks the step as done even if there was nobody to ask.
            probe.helpers_asked = asked.max(1);
        }
    }

    fn send_ping_requests(&mut self, name: &str, request_id: u64) -> usize {
        let Some(card) = self.table.get(name).map(|member| member.card.clone()) else { return 0 };
        let fits = |member: &crate::Member| member.status == Status::Alive && member.card.name != name;
        let helpers = self.table.sample(&mut self.rng, INDIRECT_PROBES, fits);
        for helper in &helpers {
            self.send(&Destination::card(helper), Body::PingRequest { request_id, card: card.clone() });
        }
        helpers.len()
    }

    fn on_probe_failed(&mut self, request_id: u64, now: f64) {
        let Some(probe) = self.probes.remove(&request_id) else { return };
        // The response may have arrived over a link where datagrams fail, or to another probe.
        if self.table.get(&probe.name).is_some_and(|member| member.last_answered >= probe.started_at) {
            return;
        }
        self.counts.probes_failed += 1;
        // Helpers that did not even send a nack were not heard either, which speaks against this process.
        if probe.nacks < probe.helpers_asked.max(1) {
            self.worsen_local_health();
        }
        if self.isolation.on_probe_failed(probe.started_at, now) {
            self.report(Change::Deaf);
        }
        self.suspect(&probe.name, now);
    }

    pub(crate) fn on_ack(&mut self, from: &Card, request_id: u64, now: f64) {
        if let Some(IndirectProbe { requester, request_id, .. }) = self.indirect_probes.remove(&request_id) {
            self.send(&requester, Body::Ack { request_id });
        }
        if let Some(member) = self.final_probe_target(request_id).and_then(|name| self.table.get_mut(&name)) {
            member.last_answered = now;
        }
        let Some(probe) = self.probes.remove(&request_id) else { return };
        let direct = from.name == probe.name;
        if let Some(member) = self.table.get_mut(&probe.name) {
            member.last_answered = now;
            if direct {
                member.round_trip = smoothed(member.round_trip, now - probe.started_at);
            }
        }
        if direct {
            self.record_round_trip(now - probe.started_at);
        }
        self.health = self.health.saturating_sub(1);
    }

    fn record_round_trip(&mut self, trip: f64) {
        let (mean, deviation) = self.round_trip.unwrap_or((trip, trip / 2.0));
        let off = (trip - mean).abs();
        self.round_trip = Some((smoothed(mean, trip), deviation + (off - deviation) / 4.0));
    }

    /// Probes a member for another process. The nack, sent at once, says when the member was last heard.
    pub(crate) fn on_ping_request(&mut self, requester: Destination, request_id: u64, card: Card, now: f64) {
        let heard = self.table.get(&card.name).map_or(f64::NEG_INFINITY, |member| member.last_heard);
        let ago = (now - heard).clamp(0.0, f64::from(u32::MAX));
        let heard_ago = heard.is_finite().then_some(ago as u32);
        self.send(&requester, Body::Nack { request_id, heard_ago });
        self.indirect_probes.retain(|_, indirect| indirect.expires_at > now);
        if card.name == self.own_card.name || self.indirect_probes.len() >= MAX_INDIRECT_PROBES {
            return;
        }
        let own_request_id = self.next_request_id();
        let expires_at = now + INDIRECT_PROBE_DURATIONS * self.probe_duration();
        self.indirect_probes.insert(own_request_id, IndirectProbe { requester, request_id, expires_at });
        self.send_about(
            &Destination::card(&card),
            Body::Ping { request_id: own_request_id },
            Some(&card.name),
        );
    }

    /// A helper responded. If it heard the member recently, the member can't be silent.
    pub(crate) fn on_nack(&mut self, request_id: u64, heard_ago: Option<u32>, now: f64) {
        let mut name = self.final_probe_target(request_id);
        if let Some(probe) = self.probes.get_mut(&request_id) {
            probe.nacks += 1;
            name = Some(probe.name.clone());
        }
        let Some(name) = name else { return };
        if let (Some(ago), Some(member)) = (heard_ago, self.table.get_mut(&name)) {
            member.last_vouched = member.last_vouched.max(now - f64::from(ago));
        }
    }

    // ---- suspicion ----

    /// An own probe has failed. An isolated process suspects nobody.
    fn suspect(&mut self, name: &str, now: f64) {
        if self.isolation.since().is_some() {
            return;
        }
        let own_name = self.own_card.name.clone();
        let Some(member) = self.table.get(name).filter(|member| member.is_present()) else { return };
        let update =
            Update { card: member.card.clone(), status: Status::Suspect, suspector: Some(own_name.clone()) };
        if member.status == Status::Alive {
            self.counts.suspicions += 1;
            self.apply(update.clone(), None, now);
        } else if self.suspicions.get(name).is_some_and(|suspicion| !suspicion.suspectors.contains(&own_name))
        {
            self.disseminate(update);
        }
        if let Some(suspicion) = self.suspicions.get_mut(name) {
            suspicion.suspectors.insert(own_name);
            suspicion.own_probe_failed = true;
        }
    }

    pub(crate) fn add_suspicion(&mut self, update: &Update, now: f64) {
        let suspectors = update.suspector.iter().cloned().collect();
        let suspicion = Suspicion { started_at: now, suspectors, own_probe_failed: false, final_probe: None };
        self.suspicions.insert(update.card.name.clone(), suspicion);
    }

    /// Adds a suspector, and passes that on as long as it shortens the suspicion.
    pub(crate) fn add_suspector(&mut self, update: Update) {
        let (Some(suspector), Some(suspicion)) =
            (&update.suspector, self.suspicions.get_mut(&update.card.name))
        else {
            return;
        };
        if suspicion.suspectors.len() <= CONFIRMATIONS && suspicion.suspectors.insert(suspector.clone()) {
            self.disseminate(update);
        }
    }

    /// Advances all suspicions whose time is over.
    pub(crate) fn check_suspicions(&mut self, now: f64) {
        if self.state != State::Member || self.suspicions.is_empty() {
            return;
        }
        let suspended_until = self.isolation.verdicts_suspended_until(self.min_suspicion());
        if suspended_until.is_some_and(|until| now < until) {
            return;
        }
        let names: Vec<String> = self.suspicions.keys().cloned().collect();
        for name in names {
            let Some(suspicion) = self.suspicions.get(&name) else { continue };
            match suspicion.final_probe {
                None if now >= suspicion.started_at + self.suspicion_duration(suspicion) => {
                    self.start_final_probe(&name, now)
                }
                Some(final_probe) if now >= final_probe.deadline => {
                    self.conclude_suspicion(&name, final_probe.started_at, now)
                }
                _ => {}
            }
        }
    }

    /// The member whose final probe has this request ID.
    fn final_probe_target(&self, request_id: u64) -> Option<String> {
        let matches = |suspicion: &Suspicion| {
            suspicion.final_probe.as_ref().is_some_and(|final_probe| final_probe.request_id == request_id)
        };
        self.suspicions.iter().find(|(_, suspicion)| matches(suspicion)).map(|(name, _)| name.clone())
    }

    /// Probes a last time, directly and indirectly, and sends the view so that the member can refute it.
    fn start_final_probe(&mut self, name: &str, now: f64) {
        let Some(card) = self.table.get(name).map(|member| member.card.clone()) else { return };
        let (request_id, deadline) = (self.next_request_id(), now + self.probe_duration());
        if let Some(suspicion) = self.suspicions.get_mut(name) {
            suspicion.final_probe = Some(FinalProbe { request_id, started_at: now, deadline });
        }
        self.send_about(&Destination::card(&card), Body::Ping { request_id }, Some(name));
        self.send_view(&Destination::card(&card), None, true);
        self.send_ping_requests(name, request_id);
    }

    /// Declares the member silent if nothing was heard of it; otherwise the suspicion starts over from when it
    /// was last heard.
    fn conclude_suspicion(&mut self, name: &str, probed_at: f64, now: f64) {
        let Some(member) = self.table.get(name) else { return };
        let heard = member.last_heard.max(member.last_answered).max(member.last_vouched);
        let card = member.card.clone();
        if heard >= probed_at || now - heard < self.min_suspicion() {
            if let Some(suspicion) = self.suspicions.get_mut(name) {
                suspicion.started_at = heard;
                suspicion.final_probe = None;
            }
            return;
        }
        self.apply(Update::new(&card, Status::Silent), None, now);
        if self.isolation.since().is_some() {
            // An isolated process keeps its conclusions to itself.
            self.gossip.remove(name);
        }
    }
}
