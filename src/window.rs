//! Admission window: how many requests a node of the tier that clients call may have in flight. The modules of
//! `policy` report answers and requests in flight to it.
//!
//! What a server holds without crowding is its rate times the uncrowded duration of its requests, and a few that wait. The
//! first differs by deployment: servers hold requests while they wait for inner tiers.

use crate::sliding_window::{DEFAULT_SPAN_MS, SlidingWindow, TimeWeightedLevel};

/// Mean lateness above which the window shrinks. A request's lateness is its time beyond the uncrowded duration, as a
/// share of what the latency target leaves beyond that.
const LATENESS_TARGET: f64 = 0.35;
/// Share of the latency target that counts as lying beyond the uncrowded duration at the least.
const SLACK_SHARE_MIN: f64 = 0.2;
/// Share by which the window shrinks with each answer while lateness is above its target.
const SHRINK_SHARE: f64 = 0.02;
/// Requests by which it shrinks at the least: a late answer must also close a window of one request.
const SHRINK_MIN: f64 = 0.4;
/// Requests by which it grows at the most with each answer, for the same reason.
const GROWTH_MAX: f64 = 0.1;
/// Distance between the limits on the mean in flight for requests above mean worth and for others, in standard
/// deviations (the square root of the window).
const WORTH_SPREAD: f64 = 0.5;
/// Span over which lateness and requests in flight are averaged, ms: a congestion builds up within a second.
const LATENESS_SPAN_MS: f64 = 1000.0;
/// Requests per server that are always admitted: with fewer the window would grow too slowly.
const MIN_PER_SERVER: f64 = 5.0;
/// Requests per server at the start, and at the most while nothing shows that more do not crowd the server.
pub const MAX_PER_SERVER: f64 = 8.0;
/// Requests per server that may wait beyond the uncrowded ones: enough to keep it busy.
const QUEUED_PER_SERVER: f64 = 5.0;
/// Utilization above which servers gain less and less from more requests in flight.
const IDLE_UTILIZATION: f64 = 0.2;
/// Utilization from which on they gain nothing.
const BUSY_UTILIZATION: f64 = 0.6;
/// Time over which the least mean durations are forgotten, ms: longer than any congestion.
const UNCROWDED_MEMORY_MS: f64 = 300_000.0;
/// Samples that a mean duration must have to be used.
const UNCROWDED_SAMPLES: f64 = 12.0;
/// Difference of the logarithm of the stretch, compared with the least stretched profile, above which a profile is
/// slow by itself.
const SLOW_PROFILE_STRETCH: f64 = 0.6;
/// Standard deviation of a duration's logarithm: what so few samples may show by chance.
const LOG_DEVIATION: f64 = 1.0;
/// Factor by which crowding is taken to lengthen requests at the most: beyond it something fails.
const CROWDING_MAX: f64 = 4.0;

/// Durations of one profile's served attempts, and their logarithms.
struct ProfileDurations {
    times: SlidingWindow<10>,
    logs: SlidingWindow<10>,
    /// The least recent mean of the logarithms, slowly forgotten.
    min_log_mean: f64,
}

/// The window and what it is adjusted by.
#[derive(Default)]
pub struct AdmissionWindow {
    size: f64,
    /// Requests in flight that count for the window.
    pub in_flight: TimeWeightedLevel<10>,
    lateness: SlidingWindow<10>,
    durations: Vec<ProfileDurations>,
    learned_at: f64,
}

impl AdmissionWindow {
    /// A window without limit; `start` sets one.
    pub fn new() -> Self {
        let (in_flight, lateness) =
            (TimeWeightedLevel::new(LATENESS_SPAN_MS), SlidingWindow::new(LATENESS_SPAN_MS));
        Self { size: f64::INFINITY, in_flight, lateness, ..Self::default() }
    }

    /// Adds a profile; profiles have consecutive numbers from 0.
    pub fn add_profile(&mut self) {
        self.durations.push(ProfileDurations {
            times: SlidingWindow::default(),
            logs: SlidingWindow::default(),
            min_log_mean: f64::INFINITY,
        });
    }

    /// Requests that may be in flight.
    pub fn size(&self) -> f64 {
        self.size
    }

    /// Sets the window for a node whose share is this many servers.
    pub fn start(&mut self, servers: f64) {
        self.size = MAX_PER_SERVER * servers;
    }

    /// Usual duration of a profile's attempt, ms: the mean of recent ones and one of `default` ms.
    pub fn usual_duration(&mut self, profile: usize, now: f64, default: f64) -> f64 {
        self.durations[profile].times.mean_with_prior(now, 1.0, default)
    }

    /// Records the duration of a served attempt, ms.
    pub fn record_served(&mut self, profile: usize, now: f64, duration: f64) {
        let durations = &mut self.durations[profile];
        durations.times.add(now, duration);
        durations.logs.add(now, duration.max(1.0).ln());
    }

    /// Shrinks the window while recent requests use much of the time that their latency target leaves beyond their
    /// uncrowded duration, and grows it as requests are answered. Only what crowding adds counts: a request that is
    /// long by itself is no sign of it.
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

    /// Limits the window to what this node's share of the servers can hold. With far more nodes than servers that is
    /// less than one request; one may always be in flight. `utilization` is the servers' mean, if they report it: more
    /// requests in flight gain a busy server nothing.
    pub fn limit_to_share(&mut self, now: f64, own_share: f64, utilization: Option<f64>) {
        let headroom = utilization.map_or(1.0, |utilization| {
            ((BUSY_UTILIZATION - utilization) / (BUSY_UTILIZATION - IDLE_UTILIZATION)).clamp(0.0, 1.0)
        });
        let limit = (self.uncrowded_in_flight(now) + QUEUED_PER_SERVER * own_share) * headroom;
        self.size =
            self.size.clamp(MIN_PER_SERVER * own_share, limit.max(MAX_PER_SERVER * own_share)).max(1.0);
    }

    /// Whether one more request may be sent. With more nodes than servers a share is a request or two, and whole
    /// numbers would admit far more; so the mean in flight is limited too. Few wait at a time: requests above mean
    /// worth may exceed the limit a little, others stay below it.
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

    /// Factor by which requests take longer than when nothing crowds them. A profile that is slow compared with the
    /// others is slow by itself, on all servers, and says nothing about crowding.
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

    /// What a profile's requests take when nothing crowds them, ms.
    fn uncrowded_duration(&mut self, profile: usize, now: f64) -> f64 {
        let crowding = self.crowding(now);
        let durations = &mut self.durations[profile];
        let stretch = (durations.logs.mean(now) - durations.min_log_mean).exp().clamp(1.0, crowding);
        durations.times.mean(now) / stretch
    }

    /// Requests in flight when nothing crowds them: as many as are answered within their uncrowded duration.
    fn uncrowded_in_flight(&mut self, now: f64) -> f64 {
        let crowding = self.crowding(now);
        let busy_time: f64 = self.durations.iter_mut().map(|durations| durations.times.total(now).1).sum();
        busy_time / crowding / now.clamp(1000.0, DEFAULT_SPAN_MS)
    }
}
