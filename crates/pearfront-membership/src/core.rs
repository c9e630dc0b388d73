//! The state machine: its state, what comes in and what may be read. What it does with that is in the modules below, and
//! in `probe` for probes and suspicions.

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

/// Others that hear a goodbye from itself; the rest hears it from these.
const MAX_LEAVE_MESSAGES: usize = 64;

/// Doubt in the own view, from a standstill until another confirms it.
pub(crate) struct PendingConfirmation {
    /// Answers to questions from this one on count.
    min_request_id: u64,
    next_request_at: f64,
}

/// The state of one process.
pub struct Membership {
    installation: String,
    seeds: Vec<SocketAddr>,
    pub(crate) own_card: Card,
    pub(crate) state: State,
    pub(crate) times: Times,
    pub(crate) table: MemberTable,
    pub(crate) gossip: GossipQueue,
    pub(crate) suspicions: BTreeMap<String, Suspicion>,
    /// By their questions. A probe outlasts the period where answers are slow; the next does not wait for it, or bad
    /// weather would make all detection slow by as much.
    pub(crate) probes: BTreeMap<u64, Probe>,
    /// Names that are still to be probed in this round.
    pub(crate) probe_round: Vec<String>,
    pub(crate) indirect_probes: BTreeMap<u64, IndirectProbe>,
    pub(crate) next_probe: f64,
    next_sync: f64,
    next_reconnect: f64,
    next_join: f64,
    join_delay: f64,
    /// Answers to questions from this one on take it in: an older one may lie in a buffer from before its name was
    /// another's.
    join_min_request: u64,
    /// Another process seen under our name, told once.
    claimed_by: Option<u64>,
    last_sequence: u64,
    last_request_id: u64,
    pub(crate) health: u32,
    pub(crate) isolation: Isolation,
    confirmation: Option<PendingConfirmation>,
    /// Smoothed round trip and its deviation over all others, ms.
    pub(crate) round_trip: Option<(f64, f64)>,
    pub(crate) rng: ChaCha8Rng,
    actions: Vec<Action>,
    pub(crate) counts: Counts,
    /// When the next call was due as told last, and when the last came.
    expected_call: f64,
    last_call: f64,
}

impl Membership {
    /// A process that knows nobody yet; `seeds` are addresses to ask, its own among them does no harm.
    ///
    /// # Errors
    /// A name or zone that is empty or too long.
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
        // Processes that are started at one time need not ask at one time ever after.
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

    /// What this process is to the others.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Everyone else that is known, in the order of names.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.all()
    }

    /// The member of that name, if it is known.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.table.get(name)
    }

    /// What was sent, heard and dropped so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Doubt in its own health, 0 to 8: answers are waited for longer by it.
    pub fn health(&self) -> u32 {
        self.health
    }

    /// How long it waits for an answer, and the shortest time that a suspicion lasts as things are, ms.
    pub fn timeouts(&self) -> (f64, f64) {
        (self.probe_timeout(), self.min_suspicion())
    }

    /// Since when it has heard nobody, if it is deaf.
    pub fn isolated_since(&self) -> Option<f64> {
        self.isolation.since()
    }

    /// May it act on its view? Not before it has joined, not after it stood still until another has confirmed its view,
    /// not while it hears nobody.
    pub fn is_view_confirmed(&self) -> bool {
        self.state == State::Member && self.confirmation.is_none() && self.isolation.since().is_none()
    }

    /// The sum of its view: equal at two processes that agree on who is here.
    pub fn view_checksum(&self) -> u32 {
        self.table.checksum(&self.own_card, self.state == State::Member)
    }

    /// Was another process seen under its name?
    pub fn was_claimed(&self) -> bool {
        self.claimed_by.is_some()
    }

    /// When it wants to be called at the latest, ms.
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

    /// What has to be done outside now.
    pub fn take_actions(&mut self) -> Vec<Action> {
        // What was due before the last call and is not done yet is no later for that: counted once.
        self.expected_call = self.due().max(self.last_call);
        std::mem::take(&mut self.actions)
    }

    /// The time has come, or some other time has.
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

    /// A datagram or a frame came.
    ///
    /// # Errors
    /// Why it was dropped; that is counted.
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

    /// The kernel of that life says that nothing listens there any more.
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

    /// A link brought something fresh from that life; with a round trip, ms, if it was an answer to us.
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

    /// Says goodbye; nothing else is said after.
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

    /// Before anything else: did this process itself stand still? What it waited for meanwhile says nothing of others.
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

/// One more figure in a mean that forgets: an eighth counts anew, as TCP has it.
pub(crate) fn smoothed(mean: f64, sample: f64) -> f64 {
    if mean == 0.0 { sample } else { mean + (sample - mean) / 8.0 }
}
