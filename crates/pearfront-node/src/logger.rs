//! The log: one line per entry on standard error, starting with the seconds since the start. `WarnLimiter`
//! and `InfoLimiter` keep clients and servers from flooding it. Writing never blocks: lines that the reader
//! does not take at once are omitted and counted.

use log::{Level, LevelFilter, Log, Metadata, Record};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::fs::{FileType, fstat};
use std::cell::Cell;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// A writable pipe accepts at least this many bytes at once.
const MAX_LINE_BYTES: usize = 4096;

/// Interval of the rate limits: one line of a kind per second is enough to see that it persists.
const LIMIT_INTERVAL: Duration = Duration::from_secs(1);

struct Logger {
    started: Instant,
    /// Is standard error read by another process, which may be stalled?
    is_pipe: bool,
    /// Lines omitted since the last one that was written.
    omitted: AtomicU64,
}

impl Logger {
    fn new() -> Self {
        let kind = fstat(std::io::stderr()).map(|status| FileType::from_raw_mode(status.st_mode));
        let is_pipe = matches!(kind, Ok(FileType::Fifo | FileType::Socket));
        Self { started: Instant::now(), is_pipe, omitted: AtomicU64::new(0) }
    }

    /// Can a line be written without blocking?
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
        // The reader of the log may be gone; that must not end the node.
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

/// Limits one kind of info line to a number per second, and reports how many were omitted.
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

    /// Writes a line unless the limit of this second is reached; the text is only built if it is written.
    pub fn info(&self, line: impl FnOnce() -> String) {
        let now = Instant::now();
        if self.interval_start.get().is_none_or(|began| now - began >= LIMIT_INTERVAL) {
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
            more => log::info!("{} ({more} similar lines omitted before)", line()),
        }
    }
}

/// Limits one kind of warning to one per `LIMIT_INTERVAL`, and reports how many were omitted.
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
            more => log::warn!("{line} ({more} similar ones since the last)"),
        }
    }
}
