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
const LONGEST_LINE: usize = 4096;

/// Lines of one sort at most one in this time: enough to see that it goes on.
const SELDOM: Duration = Duration::from_secs(1);

struct Logger {
    started: Instant,
    /// Is it read by another process, which may stand still?
    is_pipe: bool,
    /// Lines since the last that was written.
    left_out: AtomicU64,
}

impl Logger {
    fn new() -> Self {
        let kind = fstat(std::io::stderr()).map(|status| FileType::from_raw_mode(status.st_mode));
        let is_pipe = matches!(kind, Ok(FileType::Fifo | FileType::Socket));
        Self { started: Instant::now(), is_pipe, left_out: AtomicU64::new(0) }
    }

    /// Would a line be taken at once?
    fn is_taken(&self) -> bool {
        let stderr = std::io::stderr();
        let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
        !self.is_pipe || poll(&mut [PollFd::new(&stderr, PollFlags::OUT)], Some(&at_once)).unwrap_or(1) > 0
    }

    fn write(&self, mut line: String) {
        if !self.is_taken() {
            self.left_out.fetch_add(1, Ordering::Relaxed);
            return;
        }
        if self.is_pipe {
            line.truncate(line.floor_char_boundary(LONGEST_LINE - 1));
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
            let word = match record.level() {
                Level::Error => "error ",
                Level::Warn => "warning ",
                _ => "",
            };
            let seconds = self.started.elapsed().as_secs_f64();
            let left_out = self.left_out.load(Ordering::Relaxed);
            if left_out > 0 && self.is_taken() {
                self.left_out.store(0, Ordering::Relaxed);
                self.write(format!("{seconds:.3} warning {left_out} lines were not taken, and are left out"));
            }
            self.write(format!("{seconds:.3} {word}{}", record.args()));
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
    most: u32,
    second: Cell<Option<Instant>>,
    written: Cell<u32>,
    left_out: Cell<u64>,
}

impl InfoLimiter {
    pub fn new(most: u32) -> Self {
        Self { most, second: Cell::new(None), written: Cell::new(0), left_out: Cell::new(0) }
    }

    /// Writes a line unless there were too many in this second; it is made only if it is written.
    pub fn info(&self, line: impl FnOnce() -> String) {
        let now = Instant::now();
        if self.second.get().is_none_or(|begun| now - begun >= SELDOM) {
            self.second.set(Some(now));
            self.written.set(0);
        }
        if self.written.get() >= self.most {
            self.left_out.set(self.left_out.get() + 1);
            return;
        }
        self.written.set(self.written.get() + 1);
        match self.left_out.take() {
            0 => log::info!("{}", line()),
            more => log::info!("{} ({more} lines like it left out before)", line()),
        }
    }
}

/// One sort of warning, written at most once in `SELDOM` with the number left out since.
#[derive(Default)]
pub struct WarnLimiter {
    last: Cell<Option<Instant>>,
    left_out: Cell<u64>,
}

impl WarnLimiter {
    pub fn warn(&self, line: impl std::fmt::Display) {
        let now = Instant::now();
        if self.last.get().is_some_and(|last| now - last < SELDOM) {
            self.left_out.set(self.left_out.get() + 1);
            return;
        }
        self.last.set(Some(now));
        match self.left_out.take() {
            0 => log::warn!("{line}"),
            more => log::warn!("{line} ({more} more like it since the last)"),
        }
    }
}
