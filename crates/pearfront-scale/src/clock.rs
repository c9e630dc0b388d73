//! Processor time and memory of this process as the kernel reports them; used by all measurements.

use rustix::time::{ClockId, clock_gettime};

/// Clock reads over which a meter averages the cost of one read.
const CALIBRATION_READS: u32 = 2000;

/// Processor time that this thread has used, s.
pub fn thread_cpu() -> f64 {
    seconds(ClockId::ThreadCPUTime)
}

/// Processor time that this process has used, s.
pub fn process_cpu() -> f64 {
    seconds(ClockId::ProcessCPUTime)
}

fn seconds(clock: ClockId) -> f64 {
    let time = clock_gettime(clock);
    time.tv_sec as f64 + time.tv_nsec as f64 / 1e9
}

/// Current and peak resident memory of this process, MB; NaN where the kernel does not report it.
pub fn memory_mb() -> (f64, f64) {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let value_mb = |key: &str| {
        let line = text.lines().find_map(|line| line.strip_prefix(key));
        let kb = line.and_then(|line| line.split_whitespace().next()).and_then(|field| field.parse().ok());
        kb.map_or(f64::NAN, |kb: f64| kb / 1024.0)
    };
    (value_mb("VmRSS:"), value_mb("VmHWM:"))
}

/// Sums the processor time of selected calls within a longer run, minus the cost of reading the clock.
#[derive(Debug, Clone)]
pub struct Meter {
    /// Cost of one clock read, s.
    clock_read_cost: f64,
    spent: f64,
    calls: u64,
}

impl Default for Meter {
    fn default() -> Self {
        let begin = thread_cpu();
        for _ in 0..CALIBRATION_READS {
            std::hint::black_box(thread_cpu());
        }
        Self { clock_read_cost: (thread_cpu() - begin) / f64::from(CALIBRATION_READS), spent: 0.0, calls: 0 }
    }
}

impl Meter {
    /// Runs a call and adds its processor time.
    pub fn measure<T>(&mut self, call: impl FnOnce() -> T) -> T {
        let begin = thread_cpu();
        let value = call();
        self.spent += thread_cpu() - begin - self.clock_read_cost;
        self.calls += 1;
        value
    }

    /// Processor time of all measured calls, s.
    pub fn spent(&self) -> f64 {
        self.spent.max(0.0)
    }
}
