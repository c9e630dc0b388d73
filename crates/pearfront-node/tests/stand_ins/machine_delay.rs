//! Repeats time-dependent tests that failed while the machine was short of CPU: such a failure says nothing about the node.
//! Used by all tests of the `node` target that assert on times.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Interval between two checks of the machine's delay.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(5);
/// Window over which a node's waits for a CPU are summed.
const WAIT_WINDOW: Duration = Duration::from_millis(100);
/// Delays that most tests tolerate.
const DEFAULT_MAX_DELAYS: MaxDelays =
    MaxDelays { sleep: Duration::from_millis(40), node: Duration::from_millis(50) };
/// Maximum number of runs of one test.
const MAX_PLAYS: usize = 20;

/// Largest delays caused by the machine, not the node, at which a failed run still counts.
#[derive(Clone, Copy)]
struct MaxDelays {
    /// How much longer than requested a sleep may take.
    sleep: Duration,
    /// How long a runnable node may wait for a CPU per window.
    node: Duration,
}

/// Process ids of one run.
type Watched = Arc<Mutex<Vec<u32>>>;

thread_local! {
    /// Processes of the run on this thread.
    static WATCHED: RefCell<Watched> = RefCell::default();
}

/// Registers a process that was started by the current run.
pub fn watch_process(process: u32) {
    WATCHED.with_borrow(|watched| watched.lock().unwrap().push(process));
}

/// Total time that the process has waited for a CPU, if the kernel reports it.
fn cpu_wait(process: u32) -> Option<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{process}/schedstat")).ok()?;
    text.split(' ').nth(1)?.parse().ok().map(Duration::from_nanos)
}

/// Monitors the machine's delays until `end`.
struct Monitor {
    is_stopped: Arc<Mutex<bool>>,
    thread: thread::JoinHandle<bool>,
}

impl Monitor {
    fn start(watched: Watched, most: MaxDelays) -> Self {
        let is_stopped = Arc::new(Mutex::new(false));
        let ends = is_stopped.clone();
        Self { is_stopped, thread: thread::spawn(move || monitor_delays(&watched, most, &ends)) }
    }

    /// Stops monitoring; returns whether the machine was late.
    fn end(self) -> bool {
        *self.is_stopped.lock().unwrap() = true;
        self.thread.join().unwrap()
    }
}

/// Monitors until stopped; returns whether the machine was late.
fn monitor_delays(watched: &Watched, most: MaxDelays, is_stopped: &Mutex<bool>) -> bool {
    let mut was_late = false;
    let mut span = (Instant::now(), BTreeMap::new());
    while !*is_stopped.lock().unwrap() {
        let begun = Instant::now();
        thread::sleep(SAMPLE_INTERVAL);
        was_late |= begun.elapsed() > SAMPLE_INTERVAL + most.sleep;
        let (begun, before) = &span;
        if begun.elapsed() < WAIT_WINDOW {
            continue;
        }
        let processes = watched.lock().unwrap().clone();
        let now: BTreeMap<_, _> = processes.iter().filter_map(|id| Some((*id, cpu_wait(*id)?))).collect();
        let waited_too_long =
            |id: &u32, now: &Duration| before.get(id).is_some_and(|before| *now - *before > most.node);
        was_late |= now.iter().any(|(id, now)| waited_too_long(id, now));
        span = (Instant::now(), now);
    }
    was_late
}

/// Runs a time-dependent check. A run that fails while the machine was late, or that reports that a stand-in was late, is void
/// and repeated.
pub fn in_time_unless_late(play: impl Fn() -> (Result<(), String>, bool)) {
    play_until_in_time(DEFAULT_MAX_DELAYS, play);
}

/// Like `in_time_unless_late`, for stand-ins that do not depend on time.
pub fn in_time(play: impl Fn() -> Result<(), String>) {
    in_time_unless_late(|| (play(), false));
}

/// Like `in_time`, for checks with a tight margin: a machine that was late by `margin` makes the run void.
pub fn in_time_by(margin: Duration, play: impl Fn() -> Result<(), String>) {
    play_until_in_time(MaxDelays { sleep: margin, node: margin }, || (play(), false));
}

fn play_until_in_time(most: MaxDelays, play: impl Fn() -> (Result<(), String>, bool)) {
    for _ in 0..MAX_PLAYS {
        let watched = Watched::default();
        WATCHED.set(watched.clone());
        let monitor = Monitor::start(watched, most);
        let (verdict, was_late) = play();
        let machine_was_late = monitor.end();
        match verdict {
            Ok(()) => return,
            Err(problem) => assert!(was_late || machine_was_late, "{problem}"),
        }
        println!("void: the machine was late");
    }
    panic!("void {MAX_PLAYS} times: the machine was late in each");
}
