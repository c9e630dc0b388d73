//! The fault shim: a small library in front of the C library of one node process, and the shared file that tells it what to do.

use rand::Rng;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Its source, compiled when a soak begins.
const SOURCE: &str = include_str!("../shim/fault_shim.c");

/// The faults that it knows, in the order of its control file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    Socket,
    Connect,
    Accept,
    Interrupted,
    Short,
    NoBuffers,
    Delay,
}

/// All of them.
pub const FAULTS: [(Fault, &str); 7] = [
    (Fault::Socket, "socket() failed"),
    (Fault::Connect, "connect() failed"),
    (Fault::Accept, "accept4() failed"),
    (Fault::Interrupted, "a call was interrupted (EINTR)"),
    (Fault::Short, "a short read or write"),
    (Fault::NoBuffers, "a send without buffers (ENOBUFS, ENOMEM)"),
    (Fault::Delay, "held up 0.15 s at a system call"),
];

/// How long one hold-up lasts, us.
pub const DELAY_US: u32 = 150_000;

const WALL_OFFSET: u64 = 0;
const SEED: u64 = 8;
const PER_MILLION: u64 = 16;
const DELAY: u64 = PER_MILLION + 4 * FAULTS.len() as u64;
const COUNTS: u64 = DELAY + 4;
const LENGTH: u64 = COUNTS + 8 * FAULTS.len() as u64;

/// Compiles the library into this folder.
///
/// # Errors
/// Where there is no C compiler (`cc`), or the file can't be written.
pub fn build(folder: &Path) -> io::Result<PathBuf> {
    let (source, library) = (folder.join("fault_shim.c"), folder.join("fault_shim.so"));
    std::fs::write(&source, SOURCE)?;
    let mut compiler = Command::new("cc");
    compiler.args(["-shared", "-fPIC", "-O1", "-o"]).arg(&library).arg(&source).arg("-ldl");
    match compiler.status()?.success() {
        true => Ok(library),
        false => Err(io::Error::other("the fault shim does not compile")),
    }
}

/// What one process's shim is told.
pub struct Control {
    file: File,
    pub path: PathBuf,
}

impl Control {
    /// # Errors
    /// Where the file can't be written.
    pub fn new(path: PathBuf, seed: u64) -> io::Result<Self> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(&path)?;
        file.set_len(LENGTH)?;
        file.write_all_at(&seed.to_ne_bytes(), SEED)?;
        file.write_all_at(&DELAY_US.to_ne_bytes(), DELAY)?;
        Ok(Self { file, path })
    }

    /// From now on this happens to so many calls in a million.
    ///
    /// # Errors
    /// Where the file can't be written.
    pub fn set(&self, fault: Fault, per_million: u32) -> io::Result<()> {
        self.file.write_all_at(&per_million.to_ne_bytes(), PER_MILLION + 4 * fault as u64)
    }

    /// Steps the wall clock to so far from the machine's, ns.
    ///
    /// # Errors
    /// Where the file can't be written.
    pub fn step_wall_clock(&self, offset_ns: i64) -> io::Result<()> {
        self.file.write_all_at(&offset_ns.to_ne_bytes(), WALL_OFFSET)
    }

    /// How often each fault happened so far.
    pub fn counts(&self) -> [u64; FAULTS.len()] {
        let mut counts = [0; FAULTS.len()];
        for (at, count) in counts.iter_mut().enumerate() {
            let mut bytes = [0; 8];
            if self.file.read_exact_at(&mut bytes, COUNTS + 8 * at as u64).is_ok() {
                *count = u64::from_ne_bytes(bytes);
            }
        }
        counts
    }
}

/// A step of the wall clock: seconds or an hour, either way.
pub fn draw_wall_clock_step(rng: &mut impl Rng) -> i64 {
    const SECOND: i64 = 1_000_000_000;
    let size = if rng.random_bool(0.5) { 3600 * SECOND } else { rng.random_range(1..20) * SECOND };
    if rng.random_bool(0.5) { size } else { -size }
}
