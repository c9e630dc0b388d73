//! Whom one turns to, and when: the one link upward of a node or a distributor. Links that are silent are doubted and given
//! up; pauses between two are by chance, so that many that lost the same one don't come back in one instant.

use crate::times::{SENT_ON, Times};
use rand::prelude::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// One that may be turned to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    pub name: String,
    pub zone: String,
    pub region: String,
}

/// All of them, the best for that one first: of its zone, of its region, any; among those alike by rendezvous hashing, so that
/// the loss of one moves only those whom it served, and to all others alike.
pub fn rank_peers<'a>(me: &str, zone: &str, region: &str, peers: &'a [Peer]) -> Vec<&'a Peer> {
    let rank = |peer: &Peer| {
        let near = if peer.zone == zone && peer.region == region {
            0
        } else {
            1 + usize::from(peer.region != region)
        };
        (near, std::cmp::Reverse(xxh3_64(format!("{me}\n{}", peer.name).as_bytes())))
    };
    let mut all: Vec<&Peer> = peers.iter().collect();
    all.sort_by_cached_key(|peer| rank(peer));
    all
}

struct Link {
    to: String,
    number: u64,
    heard: f64,
    beat_at: f64,
    asked: bool,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Step {
    Open { link: u64, to: String },
    Close { link: u64 },
    Beat,
}

pub(crate) struct Dial {
    times: Times,
    chance: ChaCha8Rng,
    /// Names, the best first.
    order: Vec<String>,
    link: Option<Link>,
    numbers: u64,
    /// When it is to be tried next, and how many failed in a row.
    at: f64,
    failed: u32,
    /// Until when each is avoided, and for how long last.
    avoided: BTreeMap<String, (f64, f64)>,
    /// How often in a row it was sent on without a pause.
    sent_on: u32,
    /// Named by another as the one.
    hint: Option<String>,
}

impl Dial {
    pub fn new(order: Vec<String>, times: Times, seed: u64, now: f64) -> Self {
        let chance = ChaCha8Rng::seed_from_u64(seed);
        let (link, hint, sent_on, avoided) = (None, None, 0, BTreeMap::new());
        Self { times, chance, order, link, numbers: 0, at: now, failed: 0, avoided, sent_on, hint }
    }

    /// The number of the link, and whose it is.
    pub fn link(&self) -> Option<(u64, &str)> {
        self.link.as_ref().map(|link| (link.number, link.to.as_str()))
    }

    pub fn is(&self, number: u64) -> bool {
        self.link.as_ref().is_some_and(|link| link.number == number)
    }

    pub fn is_doubted(&self, now: f64) -> bool {
        self.link.as_ref().is_some_and(|link| now >= link.heard + self.times.suspect_after_ms)
    }

    pub fn due(&self) -> f64 {
        self.link.as_ref().map_or(self.at, |link| {
            let doubt = if link.asked { f64::INFINITY } else { link.heard + self.times.suspect_after_ms };
            link.beat_at.min(doubt).min(link.heard + self.times.close_after_ms)
        })
    }

    /// A word came over the link, and it was of use.
    pub fn heard(&mut self, now: f64) {
        if let Some(link) = &mut self.link {
            (link.heard, link.asked) = (now, false);
        }
    }

    /// The one at the other end does what it is there for: it is forgiven, and so are failures before it.
    pub fn serves(&mut self) {
        (self.failed, self.sent_on) = (0, 0);
        if let Some(link) = &self.link {
            self.avoided.remove(&link.to);
        }
    }

    /// The link is over, or the other of no use. One that is not at fault is not avoided.
    pub fn over(&mut self, number: u64, at_fault: bool, now: f64) {
        if !self.is(number) {
            return;
        }
        if let Some(link) = self.link.take()
            && at_fault
        {
            let (least, most) = self.times.avoid_ms;
            let last = self.avoided.get(&link.to).map_or(0.0, |(_, last)| *last);
            let wait = (2.0 * last).clamp(least, most);
            self.avoided.insert(link.to, (now + wait * (0.5 + 0.5 * self.chance.random::<f64>()), wait));
        }
        let (first, most) = self.times.reconnect_pause_ms;
        let pause = (first * f64::from(1u32 << self.failed.min(16))).min(most);
        self.failed += 1;
        self.at = now + pause * self.chance.random::<f64>();
    }

    /// The one to turn to next is named by another, and there is no need to wait.
    pub fn hint(&mut self, name: Option<String>, now: f64) {
        self.sent_on += 1;
        if name.is_some() && self.sent_on <= SENT_ON {
            self.at = now;
        } else {
            self.sent_on = 0;
        }
        self.hint = name;
    }

    pub fn tick(&mut self, now: f64) -> Vec<Step> {
        let Some(link) = &mut self.link else { return self.open(now) };
        if now >= link.heard + self.times.close_after_ms {
            let number = link.number;
            self.over(number, true, now);
            return vec![Step::Close { link: number }];
        }
        let doubted = now >= link.heard + self.times.suspect_after_ms && !link.asked;
        if now < link.beat_at && !doubted {
            return Vec::new();
        }
        link.asked |= doubted;
        link.beat_at = now + self.times.heartbeat_ms;
        vec![Step::Beat]
    }

    fn open(&mut self, now: f64) -> Vec<Step> {
        if now < self.at || self.order.is_empty() {
            return Vec::new();
        }
        let hint = self.hint.take().filter(|name| self.order.contains(name));
        let free = |name: &&String| self.avoided.get(*name).is_none_or(|(until, _)| now >= *until);
        // If all are avoided, the one that has been so for longest.
        let until = |name: &&String| self.avoided.get(*name).map_or(0.0, |(until, _)| *until);
        let next = self.order.iter().find(free);
        let next = next.or_else(|| self.order.iter().min_by(|a, b| until(a).total_cmp(&until(b))));
        let Some(to) = hint.or_else(|| next.cloned()) else { return Vec::new() };
        self.numbers += 1;
        let number = self.numbers;
        let beat_at = now + self.times.heartbeat_ms;
        self.link = Some(Link { to: to.clone(), number, heard: now, beat_at, asked: false });
        vec![Step::Open { link: number, to }]
    }
}
