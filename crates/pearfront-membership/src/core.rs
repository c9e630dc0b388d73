//! The state machine: what comes in, and all ways from one state of this process to the next. Probes and suspicions are
//! in `probe`.

use crate::deafness::Deafness;
use crate::member::{Card, Member, News, Standing};
use crate::message::{Body, Decoded, LONGEST_DATAGRAM, LONGEST_FRAME, Packet, Refusal, decode, size};
use crate::probe::{Probe, Relay, Suspicion};
use crate::spread::Spread;
use crate::table::Table;
use crate::times::{
    HEALTH_WORST, JOIN_AGAIN, JOIN_SELDOM, LATE, LONGEST_NAME, LONGEST_ZONE, STOOD_STILL, Times,
};
use rand::prelude::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Others that a process which stood still asks at once whether it is still one of them.
const ASKED_IN_DOUBT: usize = 3;
/// Others that hear a goodbye from itself; the rest hears it from these.
const GOODBYES: usize = 64;

/// Who this process is, from its file and folder.
#[derive(Debug, Clone)]
pub struct Identity {
    pub installation: String,
    pub name: String,
    pub zone: String,
    pub address: SocketAddr,
    /// Drawn at this start, from outside: two processes of one name must not draw alike.
    pub life: u64,
    /// The highest incarnation that the folder says was used; 0 if there is none.
    pub kept: u64,
}

/// What this process is to the others.
#[derive(Debug, Clone, PartialEq)]
pub enum State {
    /// Nobody has taken it in yet, nor has it taken in anyone.
    Joining,
    Member,
    /// Another process has its name: it takes no part, and asks again now and then.
    Barred {
        by: Card,
    },
    Left,
}

/// Where something goes. A name may have an address of its own at the sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct To {
    pub name: Option<String>,
    /// The process that is meant, if it is known: two may claim one name.
    pub life: Option<u64>,
    pub address: SocketAddr,
}

impl To {
    pub(crate) fn card(card: &Card) -> Self {
        Self { name: Some(card.name.clone()), life: Some(card.life), address: card.address }
    }
}

/// What is to be done outside, in this order.
#[derive(Debug, Clone, PartialEq)]
pub enum Out {
    Datagram {
        to: To,
        bytes: Vec<u8>,
    },
    /// One frame on a stream.
    Frame {
        to: To,
        bytes: Vec<u8>,
    },
    /// The incarnation that is used from now on, for the folder.
    Keep(u64),
    Changed(Change),
}

/// What the log, the counters and the rest of the program hear.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    Joined,
    /// New, or back: a name that was not held to be there is.
    Here {
        name: String,
        incarnation: u64,
    },
    /// The same name is another process now.
    Restarted {
        name: String,
        incarnation: u64,
    },
    Suspected {
        name: String,
        by: String,
    },
    /// It had been suspected, and said that it is there.
    Cleared {
        name: String,
        incarnation: u64,
    },
    Silent {
        name: String,
        told_by: Option<String>,
    },
    Ended {
        name: String,
        told_by: Option<String>,
    },
    Left {
        name: String,
    },
    /// This process was held to be this, and has said otherwise under a higher incarnation.
    Refuted {
        was: Standing,
        incarnation: u64,
    },
    /// It stood still for so long, ms: what it believes is old.
    Doubts {
        stood: f64,
    },
    /// Another has confirmed its view since.
    Sure,
    /// It hears nobody.
    Deaf,
    Hears,
    Barred {
        by: Card,
    },
    /// Another process claims its name, there.
    Claimed {
        by: Card,
    },
}

/// What was sent, heard and dropped; all only grow.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    pub datagrams_out: u64,
    pub datagrams_in: u64,
    pub frames_out: u64,
    pub frames_in: u64,
    pub bytes_out: u64,
    pub bytes_in: u64,
    pub foreign: u64,
    pub garbled: u64,
    pub elsewhere: u64,
    /// Packets of a life that is over, or copies.
    pub outdated: u64,
    pub no_room: u64,
    pub probes_failed: u64,
    pub suspicions: u64,
    pub refutations: u64,
}

pub(crate) struct Doubt {
    /// Answers to questions from this one on count.
    question: u64,
    next: f64,
}

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
    out: Vec<Out>,
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
        if who.name.is_empty() || who.name.len() > LONGEST_NAME {
            return Err(format!("a name has 1 to {LONGEST_NAME} bytes"));
        }
        if who.zone.len() > LONGEST_ZONE {
            return Err(format!("a zone has at most {LONGEST_ZONE} bytes"));
        }
        let Identity { installation, name, zone, address, life, kept } = who;
        let me = Card { name, zone, address, incarnation: kept + 1, life };
        let seeds: Vec<SocketAddr> = seeds.into_iter().filter(|seed| *seed != address).collect();
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        // Processes that are started at one time need not ask at one time ever after.
        let mut first = |span: f64| now + chance.random::<f64>() * span;
        let (next_probe, next_compare) = (first(times.period), first(times.compare));
        let next_ask_again = first(times.ask_again);
        let state = if seeds.is_empty() { State::Member } else { State::Joining };
        let keep = Out::Keep(me.incarnation);
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

    // ---- what may be read ----

    pub fn me(&self) -> &Card {
        &self.me
    }

    pub fn state(&self) -> &State {
        &self.state
    }

    /// Everyone else that is known, in the order of names.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.all()
    }

    pub fn member(&self, name: &str) -> Option<&Member> {
        self.table.get(name)
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Doubt in its own health, 0 to 8: answers are waited for longer by it.
    pub fn health(&self) -> u32 {
        self.health
    }

    /// How long it waits for an answer, and the shortest time that a suspicion lasts as things are, ms.
    pub fn weather(&self) -> (f64, f64) {
        (self.wait(), self.shortest())
    }

    /// Since when it has heard nobody, if it is deaf.
    pub fn deaf_since(&self) -> Option<f64> {
        self.deafness.since()
    }

    /// May it act on its view? Not before it has joined, not after it stood still until another has confirmed its view,
    /// not while it hears nobody.
    pub fn is_sure(&self) -> bool {
        self.state == State::Member && self.doubt.is_none() && self.deafness.since().is_none()
    }

    /// The sum of its view: equal at two processes that agree on who is here.
    pub fn sum(&self) -> u32 {
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
    pub fn take_out(&mut self) -> Vec<Out> {
        // What was due before the last call and is not done yet is no later for that: counted once.
        self.expected = self.due().max(self.called);
        std::mem::take(&mut self.out)
    }

    // ---- what comes in ----

    /// The time has come, or some other time has.
    pub fn tick(&mut self, now: f64) {
        self.awake(now);
        match self.state {
            State::Left => {}
            State::Joining | State::Barred { .. } => {
                if now >= self.next_join {
                    self.ask_to_join(now);
                }
            }
            State::Member => self.work(now),
        }
    }

    /// A datagram or a frame came.
    ///
    /// # Errors
    /// Why it was dropped; that is counted.
    pub fn heard(&mut self, bytes: &[u8], now: f64) -> Result<(), Refusal> {
        self.awake(now);
        let decoded = decode(bytes, &self.installation);
        match decoded {
            Ok(Decoded(packet)) => {
                self.counts.bytes_in += bytes.len() as u64;
                self.read(packet, now);
                Ok(())
            }
            Err(refusal) => {
                *match refusal {
                    Refusal::Foreign => &mut self.counts.foreign,
                    Refusal::Garbled => &mut self.counts.garbled,
                    Refusal::Elsewhere => &mut self.counts.elsewhere,
                } += 1;
                Err(refusal)
            }
        }
    }

    /// The kernel of that life says that nothing listens there any more.
    pub fn ended(&mut self, name: &str, life: u64, now: f64) {
        self.awake(now);
        let fits = |member: &&Member| member.card.life == life && member.standing < Standing::Ended;
        if self.state == State::Member
            && let Some(member) = self.table.get(name).filter(fits)
        {
            let news = News::of(&member.card, Standing::Ended);
            self.learn(news, None, now);
        }
    }

    /// A link brought something fresh from that life; with a round trip, ms, if it was an answer to us.
    pub fn link_heard(&mut self, name: &str, life: u64, round_trip: Option<f64>, now: f64) {
        self.awake(now);
        let Some(member) = self.table.get_mut(name).filter(|member| member.card.life == life) else { return };
        member.heard = now;
        if let Some(trip) = round_trip {
            member.answered = now;
            member.round_trip = smoothed(member.round_trip, trip);
        }
        self.hears(now);
    }

    /// Says goodbye; nothing else is said after.
    pub fn leave(&mut self, now: f64) {
        self.awake(now);
        if self.state == State::Member {
            self.spread.put(News::of(&self.me, Standing::Left), self.table.size());
            for card in self.table.some(&mut self.chance, GOODBYES, Member::is_here) {
                self.send(&To::card(&card), Body::Bye);
            }
        }
        self.state = State::Left;
    }

    /// Before anything else: did this process itself stand still? What it waited for meanwhile says nothing of others.
    fn awake(&mut self, now: f64) {
        let late = now - self.expected;
        if late > STOOD_STILL && self.state == State::Member {
            self.probes.clear();
            self.next_probe = now;
            self.relays.clear();
            self.suspicions.values_mut().for_each(|suspicion| suspicion.put_off(late));
            self.worse();
            if self.table.here().next().is_some() {
                self.out.push(Out::Changed(Change::Doubts { stood: late }));
                self.doubt = Some(Doubt { question: self.questions + 1, next: now });
            }
        } else if late > LATE * self.times.period && self.state == State::Member {
            self.worse();
        }
        self.expected = f64::INFINITY;
        self.called = now;
    }

    pub(crate) fn worse(&mut self) {
        self.health = (self.health + 1).min(HEALTH_WORST);
    }

    /// Everything that is due for a member.
    fn work(&mut self, now: f64) {
        if self.doubt.as_ref().is_some_and(|doubt| now >= doubt.next) {
            self.confirm(now);
        }
        self.probe_on(now);
        self.judge(now);
        if now >= self.next_compare {
            self.next_compare = now + self.times.compare * (0.75 + 0.5 * self.chance.random::<f64>());
            self.table.forget(now - self.times.remember);
            if let Some(card) = self.table.some(&mut self.chance, 1, Member::is_here).pop() {
                self.compare(&card);
            }
            self.ask_a_seed();
        }
        if now >= self.next_ask_again {
            self.next_ask_again = now + self.times.ask_again * (0.75 + 0.5 * self.chance.random::<f64>());
            self.ask_again();
        }
    }

    /// Compares with one of the seeds, whoever that is: of several that begin at once, or behind a cut, some may have taken
    /// in one another and know nothing of the rest. Nobody asks those whom nobody knows.
    fn ask_a_seed(&mut self) {
        if self.seeds.is_empty() {
            return;
        }
        let address = self.seeds[self.chance.random_range(0..self.seeds.len())];
        let (question, sum) = (self.next_question(), self.sum());
        self.send_frame(&To { name: None, life: None, address }, Body::Compare { question, sum });
    }

    /// Asks one of those gone: a cut may be over, or a word about it may have been wrong. It hears what is held of it.
    /// Whoever is held silent is asked before those of whom there is proof, or the word.
    fn ask_again(&mut self) {
        let silent = |member: &Member| member.standing == Standing::Silent;
        let mut card = self.table.some(&mut self.chance, 1, silent).pop();
        if card.is_none() {
            card = self.table.some(&mut self.chance, 1, |member| member.standing == Standing::Ended).pop();
        }
        if let Some(card) = card {
            let question = self.next_question();
            self.send_about(&To::card(&card), Body::Ping { question }, Some(&card.name));
        }
    }

    fn confirm(&mut self, now: f64) {
        for card in self.table.some(&mut self.chance, ASKED_IN_DOUBT, Member::is_here) {
            self.compare(&card);
        }
        if let Some(doubt) = &mut self.doubt {
            doubt.next = now + 2.0 * self.times.period;
        }
    }

    fn confirmed(&mut self, question: u64) {
        if self.doubt.as_ref().is_some_and(|doubt| question >= doubt.question) {
            self.doubt = None;
            self.out.push(Out::Changed(Change::Sure));
        }
    }

    fn compare(&mut self, card: &Card) {
        let (question, sum) = (self.next_question(), self.sum());
        self.send_frame(&To::card(card), Body::Compare { question, sum });
    }

    pub(crate) fn next_question(&mut self) -> u64 {
        self.questions += 1;
        self.questions
    }

    // ---- joining ----

    fn ask_to_join(&mut self, now: f64) {
        self.next_join = now + self.join_pause * (0.75 + 0.5 * self.chance.random::<f64>());
        self.join_pause = (self.join_pause * 1.5).min(JOIN_SELDOM);
        for address in self.seeds.clone() {
            let question = self.next_question();
            self.send_frame(&To { name: None, life: None, address }, Body::Join { question });
        }
    }

    /// One that is new asks to be taken in. Its name may be held by a process that is there, as far as is known here: only
    /// when that one is gone may another have it.
    fn take_in(&mut self, card: Card, question: u64, now: f64) {
        if card.name == self.me.name {
            self.claimed(&card);
            let by = self.me.clone();
            return self.send_frame(&To::card(&card), Body::Taken { by });
        }
        let known = self.table.get(&card.name).map(|member| (member.card.clone(), member.is_here()));
        if let Some((holder, here)) = &known
            && holder.life != card.life
        {
            if *here && holder.address != card.address {
                self.send(&To::card(holder), Body::Claimed { by: card.clone() });
                return self.send_frame(&To::card(&card), Body::Taken { by: holder.clone() });
            }
            // What is over must not count more than what is new: it goes on above it.
            let incarnation = card.incarnation.max(holder.incarnation + 1);
            self.learn(News::of(&Card { incarnation, ..card.clone() }, Standing::Alive), None, now);
        } else {
            self.learn(News::of(&card, Standing::Alive), None, now);
        }
        self.become_member();
        self.send_view(&To::card(&card), Some(question), false);
    }

    fn become_member(&mut self) {
        if matches!(self.state, State::Joining | State::Barred { .. }) {
            self.state = State::Member;
            self.join_pause = JOIN_AGAIN;
            self.out.push(Out::Changed(Change::Joined));
            self.spread.put(News::of(&self.me, Standing::Alive), self.table.size());
        }
    }

    fn bar(&mut self, by: Card, now: f64) {
        if !matches!(&self.state, State::Barred { by: known } if known.life == by.life) {
            self.out.push(Out::Changed(Change::Barred { by: by.clone() }));
            self.join_from = self.questions + 1;
        }
        self.state = State::Barred { by };
        self.probes.clear();
        self.doubt = None;
        self.next_join = self.next_join.max(now + JOIN_AGAIN);
    }

    fn claimed(&mut self, by: &Card) {
        if self.claimed_by != Some(by.life) {
            self.claimed_by = Some(by.life);
            self.out.push(Out::Changed(Change::Claimed { by: by.clone() }));
        }
    }

    // ---- reading ----

    fn read(&mut self, packet: Packet, now: f64) {
        let Packet { from, number, body, news, .. } = packet;
        // A seed may name this process itself.
        if self.state == State::Left || (from.name == self.me.name && from.life == self.me.life) {
            return;
        }
        match &body {
            Body::Join { .. }
            | Body::Taken { .. }
            | Body::View { .. }
            | Body::Compare { .. }
            | Body::Same { .. } => {
                self.counts.frames_in += 1;
            }
            _ => self.counts.datagrams_in += 1,
        }
        match (&self.state, &body) {
            (State::Joining, Body::Join { .. }) | (State::Member, _) => {}
            (State::Joining | State::Barred { .. }, Body::Taken { by }) => return self.bar(by.clone(), now),
            (State::Joining | State::Barred { .. }, Body::View { answers: Some(question), .. })
                if *question >= self.join_from => {}
            // Not one of them yet, or no longer: nothing that is said to its name is said to it.
            _ => return,
        }
        let known = self.sender(&from, number, &body, now);
        for news in news {
            self.learn(news, Some(&from.name), now);
        }
        if known {
            self.answer(from, body, now);
        }
    }

    /// What the sender's card says of itself; false if it speaks for a life that is over.
    fn sender(&mut self, from: &Card, number: u64, body: &Body, now: f64) -> bool {
        if matches!(body, Body::Join { .. } | Body::Taken { .. }) {
            return true;
        }
        if from.name == self.me.name {
            self.about_me(News::of(from, Standing::Alive), now);
            return false;
        }
        if !matches!(body, Body::Bye) {
            self.learn(News::of(from, Standing::Alive), None, now);
        }
        let Some(member) = self.table.get_mut(&from.name) else { return true };
        let held = member.card.clone();
        if held.life != from.life {
            self.counts.outdated += 1;
            self.send(&To::card(from), Body::Claimed { by: held });
            return false;
        }
        if number > member.number {
            member.number = number;
            member.heard = now;
            self.hears(now);
        } else {
            self.counts.outdated += 1;
        }
        true
    }

    pub(crate) fn hears(&mut self, now: f64) {
        if self.deafness.hears(now) {
            self.out.push(Out::Changed(Change::Hears));
        }
    }

    fn answer(&mut self, from: Card, body: Body, now: f64) {
        let to = To::card(&from);
        match body {
            Body::Ping { question } => self.send_about(&to, Body::Ack { question }, Some(&from.name)),
            Body::Ack { question } => self.acked(&from, question, now),
            Body::Ask { question, card } => self.try_for(to, question, card, now),
            Body::NotYet { question, heard_ago } => self.not_yet(question, heard_ago, now),
            Body::Join { question } => self.take_in(from, question, now),
            Body::Taken { .. } => {}
            Body::Claimed { by } => self.about_me(News::of(&by, Standing::Alive), now),
            Body::Compare { question, sum } if sum == self.sum() => {
                self.send_frame(&to, Body::Same { question });
            }
            Body::Compare { question, .. } => self.send_view(&to, Some(question), true),
            Body::Same { question } => self.confirmed(question),
            Body::View { answers, back, members } => {
                if matches!(self.state, State::Barred { .. }) {
                    self.state = State::Joining;
                }
                if let Some(question) = answers {
                    self.confirmed(question);
                }
                for news in members {
                    self.learn(news, Some(&from.name), now);
                }
                // It may have heard in there that its name is another's.
                if !matches!(self.state, State::Barred { .. }) {
                    self.become_member();
                }
                if back {
                    self.send_view(&to, None, false);
                }
            }
            Body::Bye => self.learn(News::of(&from, Standing::Left), None, now),
        }
    }

    // ---- what is believed ----

    /// News about anyone, told by another or seen here (`told_by` is none).
    pub(crate) fn learn(&mut self, news: News, told_by: Option<&str>, now: f64) {
        if news.card.name == self.me.name {
            return self.about_me(news, now);
        }
        let Some(member) = self.table.get(&news.card.name) else { return self.meet(news, told_by, now) };
        let same = member.card.life == news.card.life && member.card.incarnation == news.card.incarnation;
        if same && news.standing == Standing::Suspect && member.standing == Standing::Suspect {
            return self.shared(news);
        }
        if !news.beats(&member.card, member.standing) {
            return;
        }
        // Others hold it silent, and it was heard here just now: it has to hear of that, and is not given up.
        let fresh = now - member.heard < self.times.suspicion / 2.0 && member.card.life == news.card.life;
        if news.standing == Standing::Silent && told_by.is_some() && fresh {
            let (to, name) = (To::card(&member.card), member.card.name.clone());
            let question = self.next_question();
            return self.send_with(&to, Body::Ping { question }, vec![news], Some(&name));
        }
        self.set(news, told_by, now);
    }

    /// Somebody who was not known. Of those gone nothing is taken up: whoever forgot them would be told without end.
    fn meet(&mut self, news: News, told_by: Option<&str>, now: f64) {
        if !news.standing.is_here() {
            return;
        }
        let mut member = Member::new(news.card.clone(), news.standing, now);
        member.told_by = told_by.map(str::to_string);
        if !self.table.add(member) {
            self.counts.no_room += 1;
            return;
        }
        let (name, incarnation) = (news.card.name.clone(), news.card.incarnation);
        self.out.push(Out::Changed(Change::Here { name, incarnation }));
        if news.standing == Standing::Suspect {
            self.suspect_told(&news, now);
        }
        self.tell(news);
    }

    /// Takes over what counts more than what was known.
    pub(crate) fn set(&mut self, news: News, told_by: Option<&str>, now: f64) {
        let name = news.card.name.clone();
        let Some(member) = self.table.get_mut(&name) else { return };
        let (was, incarnation) = (member.standing, news.card.incarnation);
        let another = member.card.life != news.card.life;
        if another {
            *member = Member::new(news.card.clone(), news.standing, now);
        }
        if was != news.standing {
            member.since = now;
        }
        member.card = news.card.clone();
        member.standing = news.standing;
        member.told_by = told_by.map(str::to_string);
        self.suspicions.remove(&name);
        let told_by = told_by.map(str::to_string);
        let change = match news.standing {
            Standing::Alive if another => Some(Change::Restarted { name, incarnation }),
            Standing::Alive if was == Standing::Suspect => Some(Change::Cleared { name, incarnation }),
            Standing::Alive if was == Standing::Alive => None,
            Standing::Alive => Some(Change::Here { name, incarnation }),
            Standing::Suspect => {
                self.suspect_told(&news, now);
                let by = news.by.clone().unwrap_or_default();
                Some(Change::Suspected { name, by })
            }
            Standing::Silent => Some(Change::Silent { name, told_by }),
            Standing::Ended => Some(Change::Ended { name, told_by }),
            Standing::Left => Some(Change::Left { name }),
        };
        self.out.extend(change.map(Out::Changed));
        self.tell(news);
    }

    /// Passes news on.
    pub(crate) fn tell(&mut self, news: News) {
        self.spread.put(news, self.table.size());
    }

    /// What others say about this process, or about another of its name.
    fn about_me(&mut self, news: News, now: f64) {
        if news.card.life == self.me.life {
            if news.standing == Standing::Alive {
                // Whoever took it in has put it above what was known of its name.
                if news.card.incarnation > self.me.incarnation {
                    self.rise(news.card.incarnation);
                }
            } else if self.doubt.is_some() {
                // It stood still: its name may be another's by now, which would be stepped over. The view that it has
                // asked for says so, or says this again.
            } else if news.card.incarnation >= self.me.incarnation && self.state == State::Member {
                self.rise(news.card.incarnation + 1);
                self.counts.refutations += 1;
                let (was, incarnation) = (news.standing, self.me.incarnation);
                self.out.push(Out::Changed(Change::Refuted { was, incarnation }));
                self.worse();
            }
            return;
        }
        // Another life of its name: one that is over, or that can't be, as this one has its address, is stepped over.
        let over = !news.standing.is_here() || news.card.address == self.me.address;
        if !over && self.doubt.is_some() {
            // It stood still, and its name is another's: what it last called itself, others may never have heard. Asking
            // to be taken in again tells.
            return self.bar(news.card, now);
        }
        if news.card.incarnation < self.me.incarnation {
            if !over {
                self.claimed(&news.card);
            }
            self.tell(News::of(&self.me, Standing::Alive));
        } else if over || (news.card.incarnation == self.me.incarnation && self.me.life < news.card.life) {
            self.rise(news.card.incarnation + 1);
        } else {
            self.bar(news.card, now);
        }
    }

    fn rise(&mut self, incarnation: u64) {
        self.me.incarnation = incarnation;
        self.out.push(Out::Keep(incarnation));
        self.tell(News::of(&self.me, Standing::Alive));
    }

    // ---- writing ----

    /// A datagram with as much news as fits.
    pub(crate) fn send(&mut self, to: &To, body: Body) {
        self.send_with(to, body, Vec::new(), None);
    }

    /// The same, first of all with what is held of the receiver, if that is not that it is alive: nobody else needs to
    /// hear it as soon (Lifeguard's buddy).
    pub(crate) fn send_about(&mut self, to: &To, body: Body, name: Option<&str>) {
        let held = name.and_then(|name| self.table.get(name));
        let held = held.filter(|member| member.standing != Standing::Alive).map(Member::news);
        self.send_with(to, body, held.into_iter().collect(), name);
    }

    fn send_with(&mut self, to: &To, body: Body, mut first: Vec<News>, name: Option<&str>) {
        let mut packet = self.packet(body);
        let room = LONGEST_DATAGRAM.saturating_sub(packet.encode().len() + 2);
        let used: usize = first.iter().map(size).sum();
        let told = first.iter().any(|news| name.is_some_and(|name| news.card.name == name));
        let more = self.spread.take(room.saturating_sub(used));
        first.extend(more.into_iter().filter(|news| !told || name.is_none_or(|name| news.card.name != name)));
        packet.news = first;
        let bytes = packet.encode();
        self.counts.datagrams_out += 1;
        self.counts.bytes_out += bytes.len() as u64;
        self.out.push(Out::Datagram { to: to.clone(), bytes });
    }

    fn packet(&mut self, body: Body) -> Packet {
        self.number += 1;
        let (installation, from) = (self.installation.clone(), self.me.clone());
        Packet { installation, from, number: self.number, body, news: Vec::new() }
    }

    pub(crate) fn send_frame(&mut self, to: &To, body: Body) {
        let bytes = self.packet(body).encode();
        // A view that does not fit is not sent: the bound on members keeps it from being.
        if bytes.len() <= LONGEST_FRAME {
            self.counts.frames_out += 1;
            self.counts.bytes_out += bytes.len() as u64;
            self.out.push(Out::Frame { to: to.clone(), bytes });
        }
    }

    pub(crate) fn send_view(&mut self, to: &To, answers: Option<u64>, back: bool) {
        let members = self.table.view(&self.me, Standing::Alive);
        self.send_frame(to, Body::View { answers, back, members });
    }

    pub(crate) fn changed(&mut self, change: Change) {
        self.out.push(Out::Changed(change));
    }
}

/// One more figure in a mean that forgets: an eighth counts anew, as TCP has it.
pub(crate) fn smoothed(mean: f64, figure: f64) -> f64 {
    if mean == 0.0 { figure } else { mean + (figure - mean) / 8.0 }
}
