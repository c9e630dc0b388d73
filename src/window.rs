//! How many jobs a node of the clients' own tier may have out; the modules of `policy` tell it of answers and jobs out.
//!
//! A server has in hand what it would have if nobody waited there, its rate times the time that jobs take
//! by themselves, and a few that wait. The first differs by deployment: servers hold jobs for inner tiers.

use crate::sliding_window::{DEFAULT_SPAN_MS, SlidingWindow, TimeWeightedLevel};

const LATENESS_TARGET: f64 = 0.35; // Share of the latency target beyond their plain one that jobs take in the mean.
const SLACK_SHARE_MIN: f64 = 0.2; // Share of the latency target that counts as beyond it at the least.
const SHRINK_SHARE: f64 = 0.02; // The window shrinks by this share for each answer while they take more.
const SHRINK_MIN: f64 = 0.4; // Jobs it shrinks by at the least: a late answer must close one of a job.
const GROWTH_MAX: f64 = 0.1; // Jobs by which it grows at the limit for each answer, likewise.
const WORTH_SPREAD: f64 = 0.5; // Deviations between the means of jobs out for jobs above mean worth and others.
const LATENESS_SPAN_MS: f64 = 1000.0; // Span, ms, over which jobs out and lateness count: a jam takes a second.
const MIN_PER_SERVER: f64 = 5.0; // Jobs a server let in at the least and first: with fewer it grows slowly.
pub const MAX_PER_SERVER: f64 = 8.0; // Jobs a server let in at the limit while nothing tells that they don't crowd it.
const QUEUED_PER_SERVER: f64 = 5.0; // Jobs a server that may wait beyond the uncrowded ones: enough to keep it at work.
const IDLE_UTILIZATION: f64 = 0.2; // Utilisation above which servers gain less and less by more jobs in hand, and
const BUSY_UTILIZATION: f64 = 0.6; // from which on nothing.
const UNCROWDED_MEMORY_MS: f64 = 300_000.0; // Memory, ms, of the least durations: longer than any jam.
const UNCROWDED_SAMPLES: f64 = 12.0; // Samples that a mean duration needs to be told.
const SLOW_PROFILE_STRETCH: f64 = 0.6; // Stretch, as a logarithm, from which a profile is slow by itself beside others.
const LOG_DEVIATION: f64 = 1.0; // Deviation of a duration's logarithm: what so few samples may show by chance.
const CROWDING_MAX: f64 = 4.0; // Most that crowding is busy_time to lengthen jobs by: beyond it something fails.

/// Durations of one profile's served attempts.
struct ProfileDurations {
    times: SlidingWindow<10>,
    logs: SlidingWindow<10>,
    /// The least mean logarithm of late.
    min_log_mean: f64,
}

#[derive(Default)]
pub struct AdmissionWindow {
    size: f64,
    pub in_flight: TimeWeightedLevel<10>,
    lateness: SlidingWindow<10>,
    durations: Vec<ProfileDurations>,
    learned_at: f64,
}

impl AdmissionWindow {
    pub fn new() -> Self {
        let (in_flight, lateness) =
            (TimeWeightedLevel::new(LATENESS_SPAN_MS), SlidingWindow::new(LATENESS_SPAN_MS));
        Self { size: f64::INFINITY, in_flight, lateness, ..Self::default() }
    }

    pub fn add_profile(&mut self) {
        self.durations.push(ProfileDurations {
            times: SlidingWindow::default(),
            logs: SlidingWindow::default(),
            min_log_mean: f64::INFINITY,
        });
    }

    pub fn size(&self) -> f64 {
        self.size
    }

    /// A node that begins with so many servers as its part.
    pub fn start(&mut self, servers: f64) {
        self.size = MAX_PER_SERVER * servers;
    }

    /// Usual duration of a profile's attempt, ms, beside one that took `unseen`.
    pub fn usual_duration(&mut self, profile: usize, now: f64, default: f64) -> f64 {
        self.durations[profile].times.mean_with_prior(now, 1.0, default)
    }

    pub fn record_served(&mut self, profile: usize, now: f64, duration: f64) {
        let durations = &mut self.durations[profile];
        durations.times.add(now, duration);
        durations.logs.add(now, duration.max(1.0).ln());
    }

    /// Closes while recent jobs take much of what their latency target leaves beside their own, opens as they
    /// are answered. Only what crowding adds counts: a job that is long by itself is no sign of it.
    pub fn adjust(&mut self, profile: usize, now: f64, duration: f64, target: f64) {
        self.learn_uncrowded(now);
        let plain = self.uncrowded_duration(profile, now);
        self.lateness.add(now, (duration - plain) / (target - plain).max(target * SLACK_SHARE_MIN));
        if self.lateness.mean(now) > LATENESS_TARGET {
            self.size -= (SHRINK_SHARE * self.size).max(SHRINK_MIN);
        } else if self.in_flight.value > self.size / 2.0 {
            self.size += (1.0 / self.size).min(GROWTH_MAX);
        }
    }

    /// Keeps the window to what this node's part of the servers, `part`, bears. With far more nodes than
    /// servers that is nothing at all: one job may always be out. `busy` is what servers report of their
    /// utilisation, if they do: more in hand gains a busy one nothing.
    pub fn limit_to_share(&mut self, now: f64, own_share: f64, utilization: Option<f64>) {
        let headroom = utilization.map_or(1.0, |utilization| {
            ((BUSY_UTILIZATION - utilization) / (BUSY_UTILIZATION - IDLE_UTILIZATION)).clamp(0.0, 1.0)
        });
        let limit = (self.uncrowded_in_flight(now) + QUEUED_PER_SERVER * own_share) * headroom;
        self.size =
            self.size.clamp(MIN_PER_SERVER * own_share, limit.max(MAX_PER_SERVER * own_share)).max(1.0);
    }

    /// With more nodes than servers a part is a job or two: whole numbers would let in far more, so the
    /// mean is held to it too. Few wait at a time: better ones may pass it a little, others stay below.
    pub fn has_room(&mut self, now: f64, above_mean: bool) -> bool {
        let above_mean = f64::from(u8::from(above_mean));
        let limit = self.size + (above_mean - 0.5) * WORTH_SPREAD * self.size.sqrt();
        self.in_flight.value < self.size + above_mean / self.size.max(1.0) && self.in_flight.mean(now) < limit
    }

    /// Keeps the least mean duration of each profile; it is forgotten slowly, as loads and mixes change.
    fn learn_uncrowded(&mut self, now: f64) {
        let decay = ((now - self.learned_at) / UNCROWDED_MEMORY_MS).min(1.0);
        self.learned_at = now;
        for durations in &mut self.durations {
            let (count, sum) = durations.logs.total(now);
            if count >= UNCROWDED_SAMPLES {
                durations.min_log_mean = durations.min_log_mean.min(sum / count);
                durations.min_log_mean += (sum / count - durations.min_log_mean) * decay;
            }
        }
    }

    /// By how much jobs take longer than at their easiest. A profile that is slow beside the others is so by
    /// itself, at all servers: it says nothing of crowding.
    fn crowding(&mut self, now: f64) -> f64 {
        let stretch = |durations: &mut ProfileDurations| {
            let (count, sum) = durations.logs.total(now);
            (count > 0.0 && durations.min_log_mean.is_finite())
                .then_some((count, sum - count * durations.min_log_mean))
        };
        let stretches: Vec<_> = self.durations.iter_mut().filter_map(stretch).collect();
        let least = stretches.iter().map(|(count, sum)| sum / count).fold(f64::INFINITY, f64::min);
        let similar = stretches.iter().filter(|(count, sum)| sum / count <= least + SLOW_PROFILE_STRETCH);
        let (count, sum) = similar.fold((0.0, 0.0), |all, one| (all.0 + one.0, all.1 + one.1));
        let shown = sum - LOG_DEVIATION * f64::sqrt(count);
        if count > 0.0 { (shown / count).exp().clamp(1.0, CROWDING_MAX) } else { 1.0 }
    }

    /// What a profile's jobs take by themselves, ms.
    fn uncrowded_duration(&mut self, profile: usize, now: f64) -> f64 {
        let crowding = self.crowding(now);
        let durations = &mut self.durations[profile];
        let stretch = (durations.logs.mean(now) - durations.min_log_mean).exp().clamp(1.0, crowding);
        durations.times.mean(now) / stretch
    }

    /// Jobs out that nothing crowds: as many as are answered in the time that they take by themselves.
    fn uncrowded_in_flight(&mut self, now: f64) -> f64 {
        let crowding = self.crowding(now);
        let busy_time: f64 = self.durations.iter_mut().map(|durations| durations.times.total(now).1).sum();
        busy_time / crowding / now.clamp(1000.0, DEFAULT_SPAN_MS)
    }
}
