//! Fixed buckets of time, used again in a ring.

/// Span of measurements, ms, where nothing else is said: some dozen jobs on a server at usual rates.
pub const DEFAULT_SPAN_MS: f64 = 10_000.0;

/// Counts and sums over the last `SLOTS` buckets; all times in milliseconds.
#[derive(Debug, Clone)]
pub struct SlidingWindow<const SLOTS: usize> {
    bucket_width: f64,
    buckets: [(f64, f64); SLOTS],
    newest: i64,
}

impl<const SLOTS: usize> SlidingWindow<SLOTS> {
    /// A ring whose buckets together span `span` milliseconds.
    pub fn new(span: f64) -> Self {
        Self { bucket_width: span / SLOTS as f64, buckets: [(0.0, 0.0); SLOTS], newest: 0 }
    }

    /// Books one count and `amount` at `now`.
    pub fn add(&mut self, now: f64, amount: f64) {
        self.advance(now);
        let slot = &mut self.buckets[self.newest.rem_euclid(SLOTS as i64) as usize];
        slot.0 += 1.0;
        slot.1 += amount;
    }

    /// Count and sum of what was booked within the span.
    pub fn total(&mut self, now: f64) -> (f64, f64) {
        self.advance(now);
        self.buckets.iter().fold((0.0, 0.0), |sum, slot| (sum.0 + slot.0, sum.1 + slot.1))
    }

    /// Mean of what was booked within the span; not a number if nothing was.
    pub fn mean(&mut self, now: f64) -> f64 {
        self.mean_with_prior(now, 0.0, 0.0)
    }

    /// The same, beside `prior` more that were `like`.
    pub fn mean_with_prior(&mut self, now: f64, prior: f64, like: f64) -> f64 {
        let (count, sum) = self.total(now);
        (sum + prior * like) / (count + prior)
    }

    fn advance(&mut self, now: f64) {
        let bucket = (now / self.bucket_width).floor() as i64;
        let stale = (bucket - self.newest).clamp(0, SLOTS as i64);
        for step in 0..stale {
            self.buckets[(bucket - step).rem_euclid(SLOTS as i64) as usize] = (0.0, 0.0);
        }
        self.newest = self.newest.max(bucket);
    }
}

impl<const SLOTS: usize> Default for SlidingWindow<SLOTS> {
    fn default() -> Self {
        Self::new(DEFAULT_SPAN_MS)
    }
}

/// A level that changes now and then, and its mean over time.
#[derive(Debug, Clone, Default)]
pub struct TimeWeightedLevel<const SLOTS: usize> {
    pub value: f64,
    since: f64,
    integral: SlidingWindow<SLOTS>,
}

impl<const SLOTS: usize> TimeWeightedLevel<SLOTS> {
    pub fn new(span: f64) -> Self {
        Self { value: 0.0, since: 0.0, integral: SlidingWindow::new(span) }
    }

    /// What lasted belongs to all buckets that it lasted through: booked to the last one, jobs that are stuck for
    /// seconds counted as many times as many.
    pub fn change(&mut self, now: f64, by: f64) {
        let width = self.integral.bucket_width;
        let mut at = self.since.max(now - width * SLOTS as f64);
        let mut bucket = (at / width).floor();
        while at < now {
            bucket += 1.0;
            let end = (bucket * width).min(now);
            self.integral.add(at, self.value * (end - at));
            at = end;
        }
        self.since = now;
        self.value += by;
    }

    /// Mean over the span.
    pub fn mean(&mut self, now: f64) -> f64 {
        self.change(now, 0.0);
        self.integral.total(now).1 / (self.integral.bucket_width * SLOTS as f64)
    }
}

#[cfg(test)]
mod tests;
