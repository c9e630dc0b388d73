//! The fault shim: a small library that is preloaded into a node process, wraps system calls and injects faults, and the shared
//! file that controls it. Used by the runner and by the node's own tests.

use rand::Rng;
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Source of the shim, compiled when a soak begins.
const SOURCE: &str = include_str!("../shim/fault_shim.c");

/// The faults that the shim injects, in the order of the control file.
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

/// All faults, with their names in reports.
pub const FAULTS: [(Fault, &str); 7] = [
    (Fault::Socket, "socket() failed"),
    (Fault::Connect, "connect() failed"),
    (Fault::Accept, "accept4() failed"),
    (Fault::Interrupted, "a call was interrupted (EINTR)"),
    (Fault::Short, "a short read or write"),
    (Fault::NoBuffers, "a send without buffers (ENOBUFS, ENOMEM)"),
    (Fault::Delay, "held up 0.15 s at a system call"),
];

/// Length of one injected delay, us.
pub const DELAY_US: u32 = 150_000;

// Offsets in the control file, bytes: the same layout as `struct control` of fault_shim.c.
const WALL_OFFSET: u64 = 0;
const SEED: u64 = 8;
const PER_MILLION: u64 = 16;
const DELAY: u64 = PER_MILLION + 4 * FAULTS.len() as u64;
const COUNTS: u64 = DELAY + 4;
const LENGTH: u64 = COUNTS + 8 * FAULTS.len() as u64;

/// Compiles the shim into this folder and returns the library's path.
///
/// # Errors
/// If there is no C compiler (`cc`), or the source can't be written or compiled.
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

/// The control file of one node's shim.
pub struct Control {
    file: File,
    pub path: PathBuf,
}

impl Control {
    /// Creates the file, with no faults.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn new(path: PathBuf, seed: u64) -> io::Result<Self> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(&path)?;
        file.set_len(LENGTH)?;
        file.write_all_at(&seed.to_ne_bytes(), SEED)?;
        file.write_all_at(&DELAY_US.to_ne_bytes(), DELAY)?;
        Ok(Self { file, path })
    }

    /// Sets how many calls in a million meet this fault.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn set(&self, fault: Fault, per_million: u32) -> io::Result<()> {
        self.file.write_all_at(&per_million.to_ne_bytes(), PER_MILLION + 4 * fault as u64)
    }

    /// Sets the offset of the process's wall clock from the machine's, ns.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn step_wall_clock(&self, offset_ns: i64) -> io::Result<()> {
        self.file.write_all_at(&offset_ns.to_ne_bytes(), WALL_OFFSET)
    }

    /// How often each fault has been injected so far.
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

/// Draws a step of the wall clock, ns: seconds or an hour, forwards or backwards.
pub fn draw_wall_clock_step(rng: &mut impl Rng) -> i64 {
    const SECOND: i64 = 1_000_000_000;
    let size = if rng.random_bool(0.5) { 3600 * SECOND } else { rng.random_range(1..20) * SECOND };
    if rng.random_bool(0.5) { size } else { -size }
}
