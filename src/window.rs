//! How many jobs a node of the clients' own tier may have out; the modules of `policy` tell it of answers and jobs out.
//!
//! A server has in hand what it would have if nobody waited there, its rate times the time that jobs take
//! by themselves, and a few that wait. The first differs by deployment: servers hold jobs for inner tiers.

use crate::ring::{Level, Ring, SPAN};

const TARGET: f64 = 0.35; // Share of the latency target beyond their plain one that jobs take in the mean.
const ROOM_LEAST: f64 = 0.2; // Share of the latency target that counts as beyond it at the least.
const SHRINK: f64 = 0.02; // The window shrinks by this share for each answer while they take more.
const SHRINK_LEAST: f64 = 0.4; // Jobs it shrinks by at the least: a late answer must close one of a job.
const GROW_MOST: f64 = 0.1; // Jobs by which it grows at the most for each answer, likewise.
const SPREAD: f64 = 0.5; // Deviations between the means of jobs out for jobs above mean worth and others.
const LATE_SPAN: f64 = 1000.0; // Span, ms, over which jobs out and lateness count: a jam takes a second.
const LEAST: f64 = 5.0; // Jobs a server let in at the least and first: with fewer it grows slowly.
pub const MOST: f64 = 8.0; // Jobs a server let in at the most while nothing tells that they don't crowd it.
const WAITING: f64 = 5.0; // Jobs a server that may wait beyond the uncrowded ones: enough to keep it at work.
const IDLE: f64 = 0.2; // Utilisation above which servers gain less and less by more jobs in hand, and
const BUSY: f64 = 0.6; // from which on nothing.
const EASE_MEMORY: f64 = 300_000.0; // Memory, ms, of the least durations: longer than any jam.
const EASE_SAMPLES: f64 = 12.0; // Samples that a mean duration needs to be told.
const SLOWDOWN: f64 = 0.6; // Stretch, as a logarithm, from which a profile is slow by itself beside others.
const SCATTER: f64 = 1.0; // Deviation of a duration's logarithm: what so few samples may show by chance.
const CROWDING_MOST: f64 = 4.0; // Most that crowding is held to lengthen jobs by: beyond it something fails.

/// Durations of one profile's served attempts.
struct Pace {
    times: Ring<10>,
    logs: Ring<10>,
    /// The least mean logarithm of late.
    ease: f64,
}

#[derive(Default)]
pub struct Window {
    size: f64,
    pub out: Level<10>,
    lateness: Ring<10>,
    paces: Vec<Pace>,
    eased: f64,
}

impl Window {
    pub fn new() -> Self {
        let (out, lateness) = (Level::new(LATE_SPAN), Ring::new(LATE_SPAN));
        Self { size: f64::INFINITY, out, lateness, ..Self::default() }
    }

    pub fn add_profile(&mut self) {
        self.paces.push(Pace { times: Ring::default(), logs: Ring::default(), ease: f64::INFINITY });
    }

    pub fn size(&self) -> f64 {
        self.size
    }

    /// A node that begins with so many servers as its part.
    pub fn begin(&mut self, servers: f64) {
        self.size = MOST * servers;
    }

    /// Usual duration of a profile's attempt, ms, beside one that took `unseen`.
    pub fn usual(&mut self, profile: usize, now: f64, unseen: f64) -> f64 {
        self.paces[profile].times.mean_beside(now, 1.0, unseen)
    }

    pub fn served(&mut self, profile: usize, now: f64, took: f64) {
        let pace = &mut self.paces[profile];
        pace.times.add(now, took);
        pace.logs.add(now, took.max(1.0).ln());
    }

    /// Closes while recent jobs take much of what their latency target leaves beside their own, opens as they
    /// are answered. Only what crowding adds counts: a job that is long by itself is no sign of it.
    pub fn follow(&mut self, profile: usize, now: f64, took: f64, target: f64) {
        self.learn_ease(now);
        let plain = self.plain(profile, now);
        self.lateness.add(now, (took - plain) / (target - plain).max(target * ROOM_LEAST));
        if self.lateness.mean(now) > TARGET {
            self.size -= (SHRINK * self.size).max(SHRINK_LEAST);
        } else if self.out.value > self.size / 2.0 {
            self.size += (1.0 / self.size).min(GROW_MOST);
        }
    }

    /// Keeps the window to what this node's part of the servers, `part`, bears. With far more nodes than
    /// servers that is nothing at all: one job may always be out. `busy` is what servers report of their
    /// utilisation, if they do: more in hand gains a busy one nothing.
    pub fn bound(&mut self, now: f64, part: f64, busy: Option<f64>) {
        let idle = busy.map_or(1.0, |busy| ((BUSY - busy) / (BUSY - IDLE)).clamp(0.0, 1.0));
        let most = (self.uncrowded(now) + WAITING * part) * idle;
        self.size = self.size.clamp(LEAST * part, most.max(MOST * part)).max(1.0);
    }

    /// With more nodes than servers a part is a job or two: whole numbers would let in far more, so the
    /// mean is held to it too. Few wait at a time: better ones may pass it a little, others stay below.
    pub fn has_room(&mut self, now: f64, better: bool) -> bool {
        let better = f64::from(u8::from(better));
        let most = self.size + (better - 0.5) * SPREAD * self.size.sqrt();
        self.out.value < self.size + better / self.size.max(1.0) && self.out.mean(now) < most
    }

    /// Keeps the least mean duration of each profile; it is forgotten slowly, as loads and mixes change.
    fn learn_ease(&mut self, now: f64) {
        let forgets = ((now - self.eased) / EASE_MEMORY).min(1.0);
        self.eased = now;
        for pace in &mut self.paces {
            let (count, sum) = pace.logs.total(now);
            if count >= EASE_SAMPLES {
                pace.ease = pace.ease.min(sum / count);
                pace.ease += (sum / count - pace.ease) * forgets;
            }
        }
    }

    /// By how much jobs take longer than at their easiest. A profile that is slow beside the others is so by
    /// itself, at all servers: it says nothing of crowding.
    fn crowding(&mut self, now: f64) -> f64 {
        let stretch = |pace: &mut Pace| {
            let (count, sum) = pace.logs.total(now);
            (count > 0.0 && pace.ease.is_finite()).then_some((count, sum - count * pace.ease))
        };
        let known: Vec<_> = self.paces.iter_mut().filter_map(stretch).collect();
        let least = known.iter().map(|(count, sum)| sum / count).fold(f64::INFINITY, f64::min);
        let alike = known.iter().filter(|(count, sum)| sum / count <= least + SLOWDOWN);
        let (count, sum) = alike.fold((0.0, 0.0), |all, one| (all.0 + one.0, all.1 + one.1));
        let shown = sum - SCATTER * f64::sqrt(count);
        if count > 0.0 { (shown / count).exp().clamp(1.0, CROWDING_MOST) } else { 1.0 }
    }

    /// What a profile's jobs take by themselves, ms.
    fn plain(&mut self, profile: usize, now: f64) -> f64 {
        let crowding = self.crowding(now);
        let pace = &mut self.paces[profile];
        let stretch = (pace.logs.mean(now) - pace.ease).exp().clamp(1.0, crowding);
        pace.times.mean(now) / stretch
    }

    /// Jobs out that nothing crowds: as many as are answered in the time that they take by themselves.
    fn uncrowded(&mut self, now: f64) -> f64 {
        let crowding = self.crowding(now);
        let held: f64 = self.paces.iter_mut().map(|pace| pace.times.total(now).1).sum();
        held / crowding / now.clamp(1000.0, SPAN)
    }
}
