//! `Membership`: state, inputs and queries of one process. The protocol itself is in the modules below, and in
//! `probe` for probes and suspicions.

mod anti_entropy;
mod interface;
mod joining;
mod receiving;
mod sending;
mod view;

pub use self::interface::{Action, Change, Counts, Destination, Identity, State};

use crate::gossip::GossipQueue;
use crate::isolation::Isolation;
use crate::member::{Card, Member, Status, Update};
use crate::message::{Body, DecodeError, Decoded, decode};
use crate::probe::{IndirectProbe, Probe, Suspicion};
use crate::table::MemberTable;
use crate::times::{
    JOIN_DELAY_MS, LATE_TIMER_SHARE, MAX_HEALTH_SCORE, MAX_NAME_BYTES, MAX_ZONE_BYTES, STALL_MS, Times,
};
use rand::prelude::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Members that are told directly when this process leaves; the others learn it from these.
const MAX_LEAVE_MESSAGES: usize = 64;

/// Set after a stall, until another process confirms the view.
pub(crate) struct PendingConfirmation {
    /// Responses to requests from this one on count.
    min_request_id: u64,
    next_request_at: f64,
}

/// Group membership as seen by one process.
pub struct Membership {
    installation: String,
    seeds: Vec<SocketAddr>,
    pub(crate) own_card: Card,
    pub(crate) state: State,
    pub(crate) times: Times,
    pub(crate) table: MemberTable,
    pub(crate) gossip: GossipQueue,
    pub(crate) suspicions: BTreeMap<String, Suspicion>,
    /// By request ID. A probe may outlast its period where responses are slow; the next one starts on time, or
    /// slow responses would slow all detection down.
    pub(crate) probes: BTreeMap<u64, Probe>,
    /// Members still to be probed in this round.
    pub(crate) probe_round: Vec<String>,
    pub(crate) indirect_probes: BTreeMap<u64, IndirectProbe>,
    pub(crate) next_probe: f64,
    next_sync: f64,
    next_reconnect: f64,
    next_join: f64,
    join_delay: f64,
    /// Lowest request ID whose response admits this process. An older response may come from before its name
    /// was taken.
    join_min_request: u64,
    /// Another process that claims this name; reported once.
    claimed_by: Option<u64>,
    last_sequence: u64,
    last_request_id: u64,
    pub(crate) health: u32,
    pub(crate) isolation: Isolation,
    confirmation: Option<PendingConfirmation>,
    /// Smoothed round-trip time over all members and its deviation, ms.
    pub(crate) round_trip: Option<(f64, f64)>,
    pub(crate) rng: ChaCha8Rng,
    actions: Vec<Action>,
    pub(crate) counts: Counts,
    /// When the next call was due, and when the last one came.
    expected_call: f64,
    last_call: f64,
}

impl Membership {
    /// Creates a process that knows nobody yet. `seeds` are addresses to contact; its own address among them
    /// does no harm.
    ///
    /// # Errors
    /// An empty name, or a name or zone that is too long.
    pub fn new(
        identity: Identity,
        seeds: Vec<SocketAddr>,
        times: Times,
        seed: u64,
        now: f64,
    ) -> Result<Self, String> {
        if identity.name.is_empty() || identity.name.len() > MAX_NAME_BYTES {
            return Err(format!("a name has 1 to {MAX_NAME_BYTES} bytes"));
        }
        if identity.zone.len() > MAX_ZONE_BYTES {
            return Err(format!("a zone has at most {MAX_ZONE_BYTES} bytes"));
        }
        let Identity { installation, name, zone, address, life, last_incarnation } = identity;
        let own_card = Card { name, zone, address, incarnation: last_incarnation + 1, life };
        let seeds: Vec<SocketAddr> = seeds.into_iter().filter(|seed| *seed != address).collect();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // Random first times, so that processes started together don't send in step.
        let mut random_start = |span: f64| now + rng.random::<f64>() * span;
        let (next_probe, next_sync) = (random_start(times.probe_period), random_start(times.sync_interval));
        let next_reconnect = random_start(times.reconnect_interval);
        let state = if seeds.is_empty() { State::Member } else { State::Joining };
        let persist = Action::PersistIncarnation(own_card.incarnation);
        Ok(Self {
            installation,
            seeds,
            own_card,
            state,
            times,
            table: MemberTable::default(),
            gossip: GossipQueue::default(),
            suspicions: BTreeMap::new(),
            probes: BTreeMap::new(),
            probe_round: Vec::new(),
            indirect_probes: BTreeMap::new(),
            next_probe,
            next_sync,
            next_reconnect,
            next_join: now,
            join_delay: JOIN_DELAY_MS,
            join_min_request: 0,
            claimed_by: None,
            last_sequence: 0,
            last_request_id: 0,
            health: 0,
            isolation: Isolation::default(),
            confirmation: None,
            round_trip: None,
            rng,
            actions: vec![persist],
            counts: Counts::default(),
            expected_call: now,
            last_call: now,
        })
    }

    /// The card of this process.
    pub fn me(&self) -> &Card {
        &self.own_card
    }

    /// Its state in the installation.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// All other known members, by name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.all()
    }

    /// The member of that name, if it is known.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.table.get(name)
    }

    /// Counters of traffic and events.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Doubt in its own health, 0 to 8; lengthens its time-outs.
    pub fn health(&self) -> u32 {
        self.health
    }

    /// Current time-out of a probe, and the shortest duration of a suspicion, ms.
    pub fn timeouts(&self) -> (f64, f64) {
        (self.probe_timeout(), self.min_suspicion())
    }

    /// Since when it has heard nobody, if it is isolated.
    pub fn isolated_since(&self) -> Option<f64> {
        self.isolation.since()
    }

    /// May this process act on its view? Only as a member, not after a stall until another process has
    /// confirmed the view, and not while isolated.
    pub fn is_view_confirmed(&self) -> bool {
        self.state == State::Member && self.confirmation.is_none() && self.isolation.since().is_none()
    }

    /// Checksum of the view; equal on two processes that agree on who is present.
    pub fn view_checksum(&self) -> u32 {
        self.table.checksum(&self.own_card, self.state == State::Member)
    }

    /// Has another process claimed this name?
    pub fn was_claimed(&self) -> bool {
        self.claimed_by.is_some()
    }

    /// Latest time at which `tick` must be called, ms.
    pub fn due(&self) -> f64 {
        match self.state {
            State::Left => f64::INFINITY,
            State::Joining | State::Barred { .. } => self.next_join,
            State::Member => {
                let pending =
                    self.confirmation.as_ref().map_or(f64::INFINITY, |pending| pending.next_request_at);
                let probing = self.probes.values().map(Probe::due).fold(self.next_probe, f64::min);
                let suspicions = self.suspicion_due();
                [self.next_sync, self.next_reconnect, pending, suspicions].into_iter().fold(probing, f64::min)
            }
        }
    }

    /// Takes the actions that are pending; the caller has to carry them out in this order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        // An overdue time is not counted as late a second time.
        self.expected_call = self.due().max(self.last_call);
        std::mem::take(&mut self.actions)
    }

    /// Runs everything that is due.
    pub fn tick(&mut self, now: f64) {
        self.detect_stall(now);
        match self.state {
            State::Left => {}
            State::Joining | State::Barred { .. } => {
                if now >= self.next_join {
                    self.send_join_requests(now);
                }
            }
            State::Member => self.run_due(now),
        }
    }

    /// Handles a datagram or a frame.
    ///
    /// # Errors
    /// Why it was dropped; the counters include it.
    pub fn receive_bytes(&mut self, bytes: &[u8], now: f64) -> Result<(), DecodeError> {
        self.detect_stall(now);
        let decoded = decode(bytes, &self.installation);
        match decoded {
            Ok(Decoded(packet)) => {
                self.counts.bytes_in += bytes.len() as u64;
                self.receive(packet, now);
                Ok(())
            }
            Err(error) => {
                *match error {
                    DecodeError::Foreign => &mut self.counts.foreign,
                    DecodeError::Corrupt => &mut self.counts.garbled,
                    DecodeError::OtherInstallation => &mut self.counts.elsewhere,
                } += 1;
                Err(error)
            }
        }
    }

    /// The kernel of that process says that nothing listens there any more.
    pub fn process_ended(&mut self, name: &str, life: u64, now: f64) {
        self.detect_stall(now);
        let matches = |member: &&Member| member.card.life == life && member.status < Status::Ended;
        if self.state == State::Member
            && let Some(member) = self.table.get(name).filter(matches)
        {
            let update = Update::new(&member.card, Status::Ended);
            self.learn(update, None, now);
        }
    }

    /// A link brought a message of that process; with the round-trip time, ms, if it was a response.
    pub fn link_active(&mut self, name: &str, life: u64, round_trip: Option<f64>, now: f64) {
        self.detect_stall(now);
        let Some(member) = self.table.get_mut(name).filter(|member| member.card.life == life) else { return };
        member.last_heard = now;
        if let Some(trip) = round_trip {
            member.last_answered = now;
            member.round_trip = smoothed(member.round_trip, trip);
        }
        self.on_heard(now);
    }

    /// Announces that this process leaves. Nothing is sent after that.
    pub fn leave(&mut self, now: f64) {
        self.detect_stall(now);
        if self.state == State::Member {
            self.gossip.push(Update::new(&self.own_card, Status::Left), self.table.size());
            for card in self.table.sample(&mut self.rng, MAX_LEAVE_MESSAGES, Member::is_present) {
                self.send(&Destination::card(&card), Body::Leave);
            }
        }
        self.state = State::Left;
    }

    /// Runs before every input: if this process itself stalled, what it waited for meanwhile says nothing about
    /// others.
    fn detect_stall(&mut self, now: f64) {
        let late = now - self.expected_call;
        if late > STALL_MS && self.state == State::Member {
            self.probes.clear();
            self.next_probe = now;
            self.indirect_probes.clear();
            self.suspicions.values_mut().for_each(|suspicion| suspicion.postpone(late));
            self.worsen_local_health();
            if self.table.present().next().is_some() {
                self.actions.push(Action::Changed(Change::Doubts { stood: late }));
                self.confirmation = Some(PendingConfirmation {
                    min_request_id: self.last_request_id + 1,
                    next_request_at: now,
                });
            }
        } else if late > LATE_TIMER_SHARE * self.times.probe_period && self.state == State::Member {
            self.worsen_local_health();
        }
        self.expected_call = f64::INFINITY;
        self.last_call = now;
    }

    /// Raises the doubt in its own health (the local health multiplier of Lifeguard).
    pub(crate) fn worsen_local_health(&mut self) {
        self.health = (self.health + 1).min(MAX_HEALTH_SCORE);
    }
}

/// Exponentially weighted mean; a new sample counts for an eighth, as in TCP.
pub(crate) fn smoothed(mean: f64, sample: f64) -> f64 {
    if mean == 0.0 { sample } else { mean + (sample - mean) / 8.0 }
}
