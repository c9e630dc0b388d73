//! The single upstream link of a node (to a distributor) or of a distributor (to a voter): which peer to connect to, and
//! when. A silent link is probed and then closed. Reconnects are delayed by full jitter, so that many clients that lost the
//! same peer do not return at the same moment.

use crate::times::{MAX_REDIRECTS, Times};
use rand::prelude::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// A process that may be connected to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    pub name: String,
    pub zone: String,
    pub region: String,
}

/// Peers in order of preference: same zone, same region, any. Ties are ordered by rendezvous hashing, so that the loss of a
/// peer moves only the clients it served, and spreads them evenly over the others.
pub fn rank_peers<'a>(own_name: &str, zone: &str, region: &str, peers: &'a [Peer]) -> Vec<&'a Peer> {
    let rank = |peer: &Peer| {
        let distance = if peer.zone == zone && peer.region == region {
            0
        } else {
            1 + usize::from(peer.region != region)
        };
        (distance, std::cmp::Reverse(xxh3_64(format!("{own_name}\n{}", peer.name).as_bytes())))
    };
    let mut ranked: Vec<&Peer> = peers.iter().collect();
    ranked.sort_by_cached_key(|peer| rank(peer));
    ranked
}

struct Link {
    peer: String,
    id: u64,
    last_received: f64,
    next_heartbeat: f64,
    probed: bool,
}

/// What the owner of the connector has to do.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum ConnectorAction {
    Open { link: u64, to: String },
    Close { link: u64 },
    Heartbeat,
}

/// Chooses the peer to connect to, and watches the link to it.
pub(crate) struct Connector {
    times: Times,
    rng: ChaCha8Rng,
    /// Names in order of preference.
    peers: Vec<String>,
    link: Option<Link>,
    /// Number of the most recent link.
    last_link: u64,
    /// When the next link may be opened.
    retry_at: f64,
    /// Links that failed in a row.
    failures: u32,
    /// By peer: until when it is avoided, and the length of that span, which doubles with the next failure.
    avoided: BTreeMap<String, (f64, f64)>,
    /// Redirects followed in a row without a pause.
    redirects: u32,
    /// The peer that the last one redirected to.
    hint: Option<String>,
}

impl Connector {
    pub fn new(peers: Vec<String>, times: Times, seed: u64, now: f64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let (link, hint, redirects, avoided) = (None, None, 0, BTreeMap::new());
        Self { times, rng, peers, link, last_link: 0, retry_at: now, failures: 0, avoided, redirects, hint }
    }

    /// Number of the current link, and the peer's name.
    pub fn current_link(&self) -> Option<(u64, &str)> {
        self.link.as_ref().map(|link| (link.id, link.peer.as_str()))
    }

    pub fn is_current(&self, id: u64) -> bool {
        self.link.as_ref().is_some_and(|link| link.id == id)
    }

    /// Has the link been silent for so long that the peer may be gone?
    pub fn is_suspect(&self, now: f64) -> bool {
        self.link.as_ref().is_some_and(|link| now >= link.last_received + self.times.suspect_after_ms)
    }

    /// When `tick` has to be called at the latest.
    pub fn due(&self) -> f64 {
        self.link.as_ref().map_or(self.retry_at, |link| {
            let probe_at =
                if link.probed { f64::INFINITY } else { link.last_received + self.times.suspect_after_ms };
            link.next_heartbeat.min(probe_at).min(link.last_received + self.times.close_after_ms)
        })
    }

    /// A valid message came over the link.
    pub fn message_received(&mut self, now: f64) {
        if let Some(link) = &mut self.link {
            (link.last_received, link.probed) = (now, false);
        }
    }

    /// The peer does its work: it is no longer avoided, and earlier failures no longer lengthen the pause.
    pub fn mark_healthy(&mut self) {
        (self.failures, self.redirects) = (0, 0);
        if let Some(link) = &self.link {
            self.avoided.remove(&link.peer);
        }
    }

    /// The link has ended, or the peer can't serve. `avoid_peer` is false where the peer is not at fault.
    pub fn drop_link(&mut self, id: u64, avoid_peer: bool, now: f64) {
        if !self.is_current(id) {
            return;
        }
        if let Some(link) = self.link.take()
            && avoid_peer
        {
            let (min, max) = self.times.avoid_ms;
            let last_wait = self.avoided.get(&link.peer).map_or(0.0, |(_, last_wait)| *last_wait);
            let wait = (2.0 * last_wait).clamp(min, max);
            self.avoided.insert(link.peer, (now + wait * (0.5 + 0.5 * self.rng.random::<f64>()), wait));
        }
        let (first, max) = self.times.reconnect_pause_ms;
        let pause = (first * f64::from(1u32 << self.failures.min(16))).min(max);
        self.failures += 1;
        self.retry_at = now + pause * self.rng.random::<f64>();
    }

    /// The peer named another one to connect to. A redirect is followed without a pause, up to `MAX_REDIRECTS` in a row.
    pub fn redirect(&mut self, name: Option<String>, now: f64) {
        self.redirects += 1;
        if name.is_some() && self.redirects <= MAX_REDIRECTS {
            self.retry_at = now;
        } else {
            self.redirects = 0;
        }
        self.hint = name;
    }

    /// Opens, probes or closes the link as the time requires.
    pub fn tick(&mut self, now: f64) -> Vec<ConnectorAction> {
        let Some(link) = &mut self.link else { return self.open(now) };
        if now >= link.last_received + self.times.close_after_ms {
            let id = link.id;
            self.drop_link(id, true, now);
            return vec![ConnectorAction::Close { link: id }];
        }
        let suspect = now >= link.last_received + self.times.suspect_after_ms && !link.probed;
        if now < link.next_heartbeat && !suspect {
            return Vec::new();
        }
        link.probed |= suspect;
        link.next_heartbeat = now + self.times.heartbeat_ms;
        vec![ConnectorAction::Heartbeat]
    }

    fn open(&mut self, now: f64) -> Vec<ConnectorAction> {
        if now < self.retry_at || self.peers.is_empty() {
            return Vec::new();
        }
        let hint = self.hint.take().filter(|name| self.peers.contains(name));
        let available = |name: &&String| self.avoided.get(*name).is_none_or(|(until, _)| now >= *until);
        // If all are avoided, the one whose span ends first.
        let avoided_until = |name: &&String| self.avoided.get(*name).map_or(0.0, |(until, _)| *until);
        let next = self.peers.iter().find(available);
        let next =
            next.or_else(|| self.peers.iter().min_by(|a, b| avoided_until(a).total_cmp(&avoided_until(b))));
        let Some(to) = hint.or_else(|| next.cloned()) else { return Vec::new() };
        self.last_link += 1;
        let id = self.last_link;
        let next_heartbeat = now + self.times.heartbeat_ms;
        self.link = Some(Link { peer: to.clone(), id, last_received: now, next_heartbeat, probed: false });
        vec![ConnectorAction::Open { link: id, to }]
    }
}
