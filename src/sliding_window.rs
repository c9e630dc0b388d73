//! Sliding windows over fixed buckets of time that are reused in a ring: counts and sums of samples, and the mean of
//! a level over time. Used throughout the decision module. All times are milliseconds.

/// Span of measurements, ms, where no other is given: at usual rates a server gets some dozen requests in it.
pub const DEFAULT_SPAN_MS: f64 = 10_000.0;

/// Counts and sums over the last `SLOTS` buckets.
#[derive(Debug, Clone)]
pub struct SlidingWindow<const SLOTS: usize> {
    bucket_width: f64,
    buckets: [(f64, f64); SLOTS],
    newest: i64,
}

impl<const SLOTS: usize> SlidingWindow<SLOTS> {
    /// A window whose buckets together span `span` milliseconds.
    pub fn new(span: f64) -> Self {
        Self { bucket_width: span / SLOTS as f64, buckets: [(0.0, 0.0); SLOTS], newest: 0 }
    }

    /// Adds one sample of `amount` at `now`.
    pub fn add(&mut self, now: f64, amount: f64) {
        self.advance(now);
        let slot = &mut self.buckets[self.newest.rem_euclid(SLOTS as i64) as usize];
        slot.0 += 1.0;
        slot.1 += amount;
    }

    /// Count and sum of the samples within the span.
    pub fn total(&mut self, now: f64) -> (f64, f64) {
        self.advance(now);
        self.buckets.iter().fold((0.0, 0.0), |sum, slot| (sum.0 + slot.0, sum.1 + slot.1))
    }

    /// Mean of the samples within the span; NaN if there are none.
    pub fn mean(&mut self, now: f64) -> f64 {
        self.mean_with_prior(now, 0.0, 0.0)
    }

    /// The mean of the samples within the span and `prior` more of the value `like`.
    pub fn mean_with_prior(&mut self, now: f64, prior: f64, like: f64) -> f64 {
        let (count, sum) = self.total(now);
        (sum + prior * like) / (count + prior)
    }

    /// Clears the buckets that have fallen out of the span.
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

/// A level that changes at times, and its mean over time.
#[derive(Debug, Clone, Default)]
pub struct TimeWeightedLevel<const SLOTS: usize> {
    pub value: f64,
    since: f64,
    integral: SlidingWindow<SLOTS>,
}

impl<const SLOTS: usize> TimeWeightedLevel<SLOTS> {
    /// A level of 0 whose mean is taken over `span` milliseconds.
    pub fn new(span: f64) -> Self {
        Self { value: 0.0, since: 0.0, integral: SlidingWindow::new(span) }
    }

    /// Changes the level by `by`. The time that the level lasted is spread over all buckets that it lasted through:
    /// added to the last one alone, requests that are stuck for seconds would count many times over.
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

    /// Mean of the level over the span.
    pub fn mean(&mut self, now: f64) -> f64 {
        self.change(now, 0.0);
        self.integral.total(now).1 / (self.integral.bucket_width * SLOTS as f64)
    }
}

#[cfg(test)]
mod tests;
