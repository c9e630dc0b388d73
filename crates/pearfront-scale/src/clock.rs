//! Processor time and memory of this process, from the kernel.

use rustix::time::{ClockId, clock_gettime};

/// Reads by which a meter learns what it costs itself.
const CALIBRATION: u32 = 2000;

/// Processor time of this thread so far, s.
pub fn thread_cpu() -> f64 {
    seconds(ClockId::ThreadCPUTime)
}

/// Processor time of this process so far, s.
pub fn process_cpu() -> f64 {
    seconds(ClockId::ProcessCPUTime)
}

fn seconds(clock: ClockId) -> f64 {
    let time = clock_gettime(clock);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

/// Resident memory of this process now, and the most that it ever was, MB; not a number where the kernel does not tell.
pub fn memory_mb() -> (f64, f64) {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let of = |key: &str| {
        let line = text.lines().find_map(|line| line.strip_prefix(key));
        let kb = line.and_then(|line| line.split_whitespace().next()).and_then(|word| word.parse().ok());
        kb.map_or(f64::NAN, |kb: f64| kb / 1024.0)
    };
    (of("VmRSS:"), of("VmHWM:"))
}

/// Sums the processor time of calls that are taken out of a longer run, less what reading the clock costs.
#[derive(Debug, Clone)]
pub struct Meter {
    own: f64,
    spent: f64,
    calls: u64,
}

impl Default for Meter {
    fn default() -> Self {
        let begin = thread_cpu();
        for _ in 0..CALIBRATION {
            std::hint::black_box(thread_cpu());
        }
        Self { own: (thread_cpu() - begin) / f64::from(CALIBRATION), spent: 0.0, calls: 0 }
    }
}

impl Meter {
    /// Counts what this call takes.
    pub fn take<T>(&mut self, call: impl FnOnce() -> T) -> T {
        let begin = thread_cpu();
        let value = call();
        self.spent += thread_cpu() - begin - self.own;
        self.calls += 1;
        value
    }

    /// Processor time so far, s.
    pub fn spent(&self) -> f64 {
        self.spent.max(0.0)
    }
}
