//! The log: one line an entry on standard error, with the seconds since the start in front. `Seldom` keeps what
//! callers or servers can cause at will from filling it. Nobody waits for whoever reads it: lines that are not taken at once
//! are left out.

use log::{Level, LevelFilter, Log, Metadata, Record};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::fs::{FileType, fstat};
use std::cell::Cell;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// A pipe that takes anything takes so many bytes at once.
const MAX_LINE_BYTES: usize = 4096;

/// Lines of one sort at most one in this time: enough to see that it goes on.
const LIMIT_INTERVAL: Duration = Duration::from_secs(1);

struct Logger {
    started: Instant,
    /// Is it read by another process, which may stand still?
    is_pipe: bool,
    /// Lines since the last that was written.
    omitted: AtomicU64,
}

impl Logger {
    fn new() -> Self {
        let kind = fstat(std::io::stderr()).map(|status| FileType::from_raw_mode(status.st_mode));
        let is_pipe = matches!(kind, Ok(FileType::Fifo | FileType::Socket));
        Self { started: Instant::now(), is_pipe, omitted: AtomicU64::new(0) }
    }

    /// Would a line be taken at once?
    fn is_writable(&self) -> bool {
        let stderr = std::io::stderr();
        let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
        !self.is_pipe || poll(&mut [PollFd::new(&stderr, PollFlags::OUT)], Some(&at_once)).unwrap_or(1) > 0
    }

    fn write(&self, mut line: String) {
        if !self.is_writable() {
            self.omitted.fetch_add(1, Ordering::Relaxed);
            return;
        }
        if self.is_pipe {
            line.truncate(line.floor_char_boundary(MAX_LINE_BYTES - 1));
        }
        line.push('\n');
        // Whoever reads the log may be gone; that must not end the node.
        let _ = std::io::stderr().write_all(line.as_bytes());
    }
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record) {
        if self.enabled(record.metadata()) {
            let level_prefix = match record.level() {
                Level::Error => "error ",
                Level::Warn => "warning ",
                _ => "",
            };
            let seconds = self.started.elapsed().as_secs_f64();
            let omitted = self.omitted.load(Ordering::Relaxed);
            if omitted > 0 && self.is_writable() {
                self.omitted.store(0, Ordering::Relaxed);
                self.write(format!("{seconds:.3} warning {omitted} lines were not taken, and are left out"));
            }
            self.write(format!("{seconds:.3} {level_prefix}{}", record.args()));
        }
    }

    fn flush(&self) {}
}

/// Installs the logger; a second call changes nothing.
pub fn start() {
    let logger = Box::new(Logger::new());
    if log::set_boxed_logger(logger).is_ok() {
        log::set_max_level(LevelFilter::Info);
    }
}

/// One sort of line that a busy node may write often: so many a second at most, and then how many were left out.
pub struct InfoLimiter {
    max_per_s: u32,
    interval_start: Cell<Option<Instant>>,
    written: Cell<u32>,
    omitted: Cell<u64>,
}

impl InfoLimiter {
    pub fn new(max_per_s: u32) -> Self {
        Self { max_per_s, interval_start: Cell::new(None), written: Cell::new(0), omitted: Cell::new(0) }
    }

    /// Writes a line unless there were too many in this second; it is made only if it is written.
    pub fn info(&self, line: impl FnOnce() -> String) {
        let now = Instant::now();
        if self.interval_start.get().is_none_or(|begun| now - begun >= LIMIT_INTERVAL) {
            self.interval_start.set(Some(now));
            self.written.set(0);
        }
        if self.written.get() >= self.max_per_s {
            self.omitted.set(self.omitted.get() + 1);
            return;
        }
        self.written.set(self.written.get() + 1);
        match self.omitted.take() {
            0 => log::info!("{}", line()),
            more => log::info!("{} ({more} lines like it left out before)", line()),
        }
    }
}

/// One sort of warning, written at most once in `SELDOM` with the number left out since.
#[derive(Default)]
pub struct WarnLimiter {
    last: Cell<Option<Instant>>,
    omitted: Cell<u64>,
}

impl WarnLimiter {
    pub fn warn(&self, line: impl std::fmt::Display) {
        let now = Instant::now();
        if self.last.get().is_some_and(|last| now - last < LIMIT_INTERVAL) {
            self.omitted.set(self.omitted.get() + 1);
            return;
        }
        self.last.set(Some(now));
        match self.omitted.take() {
            0 => log::warn!("{line}"),
            more => log::warn!("{line} ({more} more like it since the last)"),
        }
    }
}
