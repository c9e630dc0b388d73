//! The state machine: its state, what comes in and what may be read. What it does with that is in the modules below, and
//! in `probe` for probes and suspicions.

mod anti_entropy;
mod interface;
mod joining;
mod receiving;
mod sending;
mod view;

pub use self::interface::{Action, Change, Counts, Destination, Identity, State};

use crate::deafness::Deafness;
use crate::member::{Card, Member, Status, Update};
use crate::message::{Body, DecodeError, Decoded, decode};
use crate::probe::{Probe, Relay, Suspicion};
use crate::spread::Spread;
use crate::table::Table;
use crate::times::{HEALTH_WORST, JOIN_AGAIN, LATE, MAX_NAME_BYTES, MAX_ZONE_BYTES, STOOD_STILL, Times};
use rand::prelude::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Others that hear a goodbye from itself; the rest hears it from these.
const GOODBYES: usize = 64;

/// Doubt in the own view, from a standstill until another confirms it.
pub(crate) struct Doubt {
    /// Answers to questions from this one on count.
    question: u64,
    next: f64,
}

/// The state of one process.
pub struct Membership {
    installation: String,
    seeds: Vec<SocketAddr>,
    pub(crate) me: Card,
    pub(crate) state: State,
    pub(crate) times: Times,
    pub(crate) table: Table,
    pub(crate) spread: Spread,
    pub(crate) suspicions: BTreeMap<String, Suspicion>,
    /// By their questions. A probe outlasts the period where answers are slow; the next does not wait for it, or bad
    /// weather would make all detection slow by as much.
    pub(crate) probes: BTreeMap<u64, Probe>,
    /// Names that are still to be probed in this round.
    pub(crate) round: Vec<String>,
    pub(crate) relays: BTreeMap<u64, Relay>,
    pub(crate) next_probe: f64,
    next_compare: f64,
    next_ask_again: f64,
    next_join: f64,
    join_pause: f64,
    /// Answers to questions from this one on take it in: an older one may lie in a buffer from before its name was
    /// another's.
    join_from: u64,
    /// Another process seen under our name, told once.
    claimed_by: Option<u64>,
    number: u64,
    questions: u64,
    pub(crate) health: u32,
    pub(crate) deafness: Deafness,
    doubt: Option<Doubt>,
    /// Smoothed round trip and its deviation over all others, ms.
    pub(crate) trip: Option<(f64, f64)>,
    pub(crate) chance: ChaCha8Rng,
    out: Vec<Action>,
    pub(crate) counts: Counts,
    /// When the next call was due as told last, and when the last came.
    expected: f64,
    called: f64,
}

impl Membership {
    /// A process that knows nobody yet; `seeds` are addresses to ask, its own among them does no harm.
    ///
    /// # Errors
    /// A name or zone that is empty or too long.
    pub fn new(
        who: Identity,
        seeds: Vec<SocketAddr>,
        times: Times,
        seed: u64,
        now: f64,
    ) -> Result<Self, String> {
        if who.name.is_empty() || who.name.len() > MAX_NAME_BYTES {
            return Err(format!("a name has 1 to {MAX_NAME_BYTES} bytes"));
        }
        if who.zone.len() > MAX_ZONE_BYTES {
            return Err(format!("a zone has at most {MAX_ZONE_BYTES} bytes"));
        }
        let Identity { installation, name, zone, address, life, last_incarnation } = who;
        let me = Card { name, zone, address, incarnation: last_incarnation + 1, life };
        let seeds: Vec<SocketAddr> = seeds.into_iter().filter(|seed| *seed != address).collect();
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        // Processes that are started at one time need not ask at one time ever after.
        let mut first = |span: f64| now + chance.random::<f64>() * span;
        let (next_probe, next_compare) = (first(times.probe_period), first(times.sync_interval));
        let next_ask_again = first(times.reconnect_interval);
        let state = if seeds.is_empty() { State::Member } else { State::Joining };
        let keep = Action::PersistIncarnation(me.incarnation);
        Ok(Self {
            installation,
            seeds,
            me,
            state,
            times,
            table: Table::default(),
            spread: Spread::default(),
            suspicions: BTreeMap::new(),
            probes: BTreeMap::new(),
            round: Vec::new(),
            relays: BTreeMap::new(),
            next_probe,
            next_compare,
            next_ask_again,
            next_join: now,
            join_pause: JOIN_AGAIN,
            join_from: 0,
            claimed_by: None,
            number: 0,
            questions: 0,
            health: 0,
            deafness: Deafness::default(),
            doubt: None,
            trip: None,
            chance,
            out: vec![keep],
            counts: Counts::default(),
            expected: now,
            called: now,
        })
    }

    /// The card of this process.
    pub fn me(&self) -> &Card {
        &self.me
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
        (self.wait(), self.shortest())
    }

    /// Since when it has heard nobody, if it is deaf.
    pub fn isolated_since(&self) -> Option<f64> {
        self.deafness.since()
    }

    /// May it act on its view? Not before it has joined, not after it stood still until another has confirmed its view,
    /// not while it hears nobody.
    pub fn is_view_confirmed(&self) -> bool {
        self.state == State::Member && self.doubt.is_none() && self.deafness.since().is_none()
    }

    /// The sum of its view: equal at two processes that agree on who is here.
    pub fn view_checksum(&self) -> u32 {
        self.table.sum(&self.me, self.state == State::Member)
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
                let doubt = self.doubt.as_ref().map_or(f64::INFINITY, |doubt| doubt.next);
                let probing = self.probes.values().map(Probe::due).fold(self.next_probe, f64::min);
                let suspicions = self.suspicion_due();
                [self.next_compare, self.next_ask_again, doubt, suspicions]
                    .into_iter()
                    .fold(probing, f64::min)
            }
        }
    }

    /// What has to be done outside now.
    pub fn take_actions(&mut self) -> Vec<Action> {
        // What was due before the last call and is not done yet is no later for that: counted once.
        self.expected = self.due().max(self.called);
        std::mem::take(&mut self.out)
    }

    /// The time has come, or some other time has.
    pub fn tick(&mut self, now: f64) {
        self.notice_standstill(now);
        match self.state {
            State::Left => {}
            State::Joining | State::Barred { .. } => {
                if now >= self.next_join {
                    self.ask_to_join(now);
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
        self.notice_standstill(now);
        let decoded = decode(bytes, &self.installation);
        match decoded {
            Ok(Decoded(packet)) => {
                self.counts.bytes_in += bytes.len() as u64;
                self.receive(packet, now);
                Ok(())
            }
            Err(refusal) => {
                *match refusal {
                    DecodeError::Foreign => &mut self.counts.foreign,
                    DecodeError::Garbled => &mut self.counts.garbled,
                    DecodeError::Elsewhere => &mut self.counts.elsewhere,
                } += 1;
                Err(refusal)
            }
        }
    }

    /// The kernel of that life says that nothing listens there any more.
    pub fn process_ended(&mut self, name: &str, life: u64, now: f64) {
        self.notice_standstill(now);
        let fits = |member: &&Member| member.card.life == life && member.status < Status::Ended;
        if self.state == State::Member
            && let Some(member) = self.table.get(name).filter(fits)
        {
            let news = Update::of(&member.card, Status::Ended);
            self.learn(news, None, now);
        }
    }

    /// A link brought something fresh from that life; with a round trip, ms, if it was an answer to us.
    pub fn link_active(&mut self, name: &str, life: u64, round_trip: Option<f64>, now: f64) {
        self.notice_standstill(now);
        let Some(member) = self.table.get_mut(name).filter(|member| member.card.life == life) else { return };
        member.heard = now;
        if let Some(trip) = round_trip {
            member.answered = now;
            member.round_trip = smoothed(member.round_trip, trip);
        }
        self.note_heard(now);
    }

    /// Says goodbye; nothing else is said after.
    pub fn leave(&mut self, now: f64) {
        self.notice_standstill(now);
        if self.state == State::Member {
            self.spread.put(Update::of(&self.me, Status::Left), self.table.size());
            for card in self.table.some(&mut self.chance, GOODBYES, Member::is_present) {
                self.send(&Destination::card(&card), Body::Bye);
            }
        }
        self.state = State::Left;
    }

    /// Before anything else: did this process itself stand still? What it waited for meanwhile says nothing of others.
    fn notice_standstill(&mut self, now: f64) {
        let late = now - self.expected;
        if late > STOOD_STILL && self.state == State::Member {
            self.probes.clear();
            self.next_probe = now;
            self.relays.clear();
            self.suspicions.values_mut().for_each(|suspicion| suspicion.put_off(late));
            self.worsen_local_health();
            if self.table.here().next().is_some() {
                self.out.push(Action::Changed(Change::Doubts { stood: late }));
                self.doubt = Some(Doubt { question: self.questions + 1, next: now });
            }
        } else if late > LATE * self.times.probe_period && self.state == State::Member {
            self.worsen_local_health();
        }
        self.expected = f64::INFINITY;
        self.called = now;
    }

    /// Raises the doubt in its own health (the local health multiplier of Lifeguard).
    pub(crate) fn worsen_local_health(&mut self) {
        self.health = (self.health + 1).min(HEALTH_WORST);
    }
}

/// One more figure in a mean that forgets: an eighth counts anew, as TCP has it.
pub(crate) fn smoothed(mean: f64, figure: f64) -> f64 {
    if mean == 0.0 { figure } else { mean + (figure - mean) / 8.0 }
}
