//! The store: a snapshot and the log after it. What `sync` has acknowledged survives every crash, provided the
//! disk keeps its guarantees. If it does not, that is detected on reading, or shows as fewer records than
//! acknowledged, which only processes that remember the acknowledged index can notice.

use crate::disk::Disk;
use crate::log::{self, Entry, LogEnd, MAX_RECORD_BYTES};
use std::io::ErrorKind;

const LOG: &str = "log";
const SNAPSHOT: &str = "snapshot";
const NEW_SUFFIX: &str = ".new";

/// Why an operation of the store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// A file is damaged in front of intact records. Nothing is read from it; the owner has to recover from
    /// other processes.
    Damaged { file: &'static str, offset: usize, index: u64, reason: &'static str },
    /// The folder can't be read.
    Unreadable(String),
    /// No space is left. What was stored before is intact, and nothing of this operation was stored.
    Full,
    /// The record is too long.
    TooLong(usize),
    /// A write or a sync failed. The state of the disk is unknown, and a repeated sync could succeed although
    /// the kernel has dropped the data, so the store refuses everything until it is opened again.
    Failed(String),
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, to: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Self::Damaged { file, offset, index, reason } => {
                write!(to, "{file} is damaged at byte {offset}, where record {index} should be: {reason}")
            }
            Self::Unreadable(what) => write!(to, "can't be read: {what}"),
            Self::Full => write!(to, "no room is left"),
            Self::TooLong(length) => write!(to, "a record of {length} bytes, more than {MAX_RECORD_BYTES}"),
            Self::Failed(what) => write!(to, "takes nothing more since {what}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// What was found on opening.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The last snapshot, with the index of the last record that it covers.
    pub snapshot: Option<Entry>,
    /// Records after the snapshot.
    pub entries: Vec<Entry>,
    /// Bytes at the end that were being written at the crash; they are cut off.
    pub torn_bytes: usize,
}

impl Recovered {
    /// Index of the last record; 0 if there is none.
    pub fn last_index(&self) -> u64 {
        let snapshot = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        self.entries.last().map_or(snapshot, |entry| entry.index)
    }
}

/// Contents of a folder, and where the store continues.
struct Loaded {
    recovered: Recovered,
    /// Index of the record before the first one in the log.
    start: u64,
    snapshot_base: (u64, u32),
    last_index: u64,
    chain: u32,
    log_bytes: usize,
}

fn load(disk: &mut impl Disk) -> Result<Loaded, StoreError> {
    let unreadable = |error: std::io::Error| StoreError::Unreadable(error.to_string());
    let snapshot = disk.read(SNAPSHOT).map_err(unreadable)?;
    let (snapshot, snapshot_base) = snapshot.map_or(Ok((None, (0, 0))), |bytes| read_snapshot(&bytes))?;
    let bytes = disk.read(LOG).map_err(unreadable)?.unwrap_or_default();
    let (offset, start) = parse_log_start(&bytes, snapshot_base)?;
    let (entries, chain, end) = log::read(&bytes[offset..], start.0, start.1);
    let log_bytes = match end {
        LogEnd::Whole => bytes.len(),
        LogEnd::Torn { at } => offset + at,
        LogEnd::Damaged { at, index, reason } => {
            return Err(StoreError::Damaged { file: LOG, offset: offset + at, index, reason });
        }
    };
    let last = entries.last().map_or(start.0, |entry| entry.index);
    // The snapshot covers everything up to its index, even if the log ends earlier.
    let (last, chain) = if last < snapshot_base.0 { snapshot_base } else { (last, chain) };
    let entries = entries.into_iter().filter(|entry| entry.index > snapshot_base.0).collect();
    let recovered = Recovered { snapshot, entries, torn_bytes: bytes.len() - log_bytes };
    Ok(Loaded { recovered, start: start.0, snapshot_base, last_index: last, chain, log_bytes })
}

/// Reads and checks a folder without changing it.
///
/// # Errors
/// As `Store::open`.
pub fn check(disk: &mut impl Disk) -> Result<Recovered, StoreError> {
    load(disk).map(|loaded| loaded.recovered)
}

/// The chain value after a snapshot; only the log that continues this snapshot starts with it.
fn chain_after(snapshot: &[u8]) -> u32 {
    crc32c::crc32c(snapshot)
}

/// Reads the snapshot file, which is a single record.
fn read_snapshot(bytes: &[u8]) -> Result<(Option<Entry>, (u64, u32)), StoreError> {
    let damaged = |reason| StoreError::Damaged { file: SNAPSHOT, offset: 0, index: 0, reason };
    let index = log::index_at(bytes).ok_or(damaged("it is cut short"))?;
    match log::read(bytes, index - 1, 0) {
        (mut entries, _, LogEnd::Whole) if entries.len() == 1 => {
            let snapshot = entries.pop();
            let snapshot_base =
                snapshot.as_ref().map_or((0, 0), |entry| (entry.index, chain_after(&entry.bytes)));
            Ok((snapshot, snapshot_base))
        }
        _ => Err(damaged("its sum is wrong")),
    }
}

/// Start of a log that continues a snapshot: magic bytes, index, chain value, checksum of these.
const LOG_START_MAGIC: [u8; 4] = *b"pfl1";
const LOG_START_BYTES: usize = 4 + 8 + 4 + 4;

fn encode_log_start((index, chain): (u64, u32)) -> Vec<u8> {
    let mut line = LOG_START_MAGIC.to_vec();
    line.extend(index.to_le_bytes());
    line.extend(chain.to_le_bytes());
    line.extend(crc32c::crc32c(&line).to_le_bytes());
    line
}

/// Offset of the first record, and the index and chain value before it.
fn parse_log_start(bytes: &[u8], snapshot_base: (u64, u32)) -> Result<(usize, (u64, u32)), StoreError> {
    let damaged = |reason| StoreError::Damaged { file: LOG, offset: 0, index: snapshot_base.0 + 1, reason };
    if bytes.is_empty() {
        return Ok((0, snapshot_base));
    }
    if !bytes.starts_with(&LOG_START_MAGIC) {
        // The first log has no start line; its records show what is wrong with it.
        return if bytes.starts_with(b"pfr1") || snapshot_base.0 == 0 {
            Ok((0, (0, 0)))
        } else {
            Err(damaged("no log begins here"))
        };
    }
    let line = bytes.get(..LOG_START_BYTES).ok_or(damaged("its first line is cut short"))?;
    let number = |at: usize| line[at..].first_chunk::<4>().map_or(0, |bytes| u32::from_le_bytes(*bytes));
    let index = line[4..].first_chunk::<8>().map_or(0, |bytes| u64::from_le_bytes(*bytes));
    if crc32c::crc32c(&line[..16]) != number(16) {
        return Err(damaged("the sum of its first line is wrong"));
    }
    if index > snapshot_base.0 {
        return Err(StoreError::Damaged {
            file: SNAPSHOT,
            offset: 0,
            index,
            reason: "the one that the log goes on from is gone",
        });
    }
    if index == snapshot_base.0 && number(12) != snapshot_base.1 {
        return Err(damaged("it goes on from another snapshot"));
    }
    Ok((LOG_START_BYTES, (index, number(12))))
}

/// A log of records with snapshots, on a disk.
pub struct Store<D: Disk> {
    disk: D,
    /// Index and chain value of the last appended record.
    last_index: u64,
    chain: u32,
    synced_index: u64,
    /// Size of the log file.
    log_bytes: usize,
    /// Records after the snapshot, which are rewritten after the next one.
    entries_since_snapshot: Vec<Entry>,
    /// Index of the snapshot, and the chain value after it.
    snapshot_base: (u64, u32),
    failure: Option<String>,
}

impl<D: Disk> Store<D> {
    /// Opens a store and cuts off a torn end.
    ///
    /// # Errors
    /// Damage, with file and offset, or an unreadable folder. Nothing is changed in these cases.
    pub fn open(mut disk: D) -> Result<(Self, Recovered), StoreError> {
        let loaded = load(&mut disk)?;
        let Loaded { recovered, start, snapshot_base, last_index: last, chain, log_bytes } = loaded;
        let (entries_since_snapshot, failure) = (recovered.entries.clone(), None);
        let mut store = Self {
            disk,
            last_index: last,
            chain,
            synced_index: last,
            log_bytes,
            entries_since_snapshot,
            snapshot_base,
            failure,
        };
        let unreadable = |error: std::io::Error| StoreError::Unreadable(error.to_string());
        if recovered.torn_bytes > 0 {
            let cut = store.disk.truncate(LOG, log_bytes).and_then(|()| store.disk.sync(LOG));
            cut.map_err(unreadable)?;
        }
        // The log begins before the snapshot: the process stopped between writing the two.
        if start != snapshot_base.0 {
            store.begin_log().map_err(unreadable)?;
        }
        Ok((store, recovered))
    }

    /// Index of the last appended record.
    pub fn last_index(&self) -> u64 {
        self.last_index
    }

    /// Index of the last acknowledged record.
    pub fn synced_index(&self) -> u64 {
        self.synced_index
    }

    /// Size of the log, bytes; a snapshot frees this space.
    pub fn log_bytes(&self) -> usize {
        self.log_bytes
    }

    /// Why the store has stopped, if it has.
    pub fn failure(&self) -> Option<&str> {
        self.failure.as_deref()
    }

    /// The underlying disk.
    pub fn disk(&mut self) -> &mut D {
        &mut self.disk
    }

    fn check_running(&self) -> Result<(), StoreError> {
        self.failure.as_ref().map_or(Ok(()), |why| Err(StoreError::Failed(why.clone())))
    }

    fn fail(&mut self, what: &str, error: &std::io::Error) -> StoreError {
        let why = format!("{what} failed: {error}");
        self.failure = Some(why.clone());
        StoreError::Failed(why)
    }

    /// Appends a group of records and returns the index of the last one. They are acknowledged only after
    /// `sync`.
    ///
    /// # Errors
    /// Too long or no space: nothing was stored, and the store continues. Any other error stops it.
    pub fn append(&mut self, records: &[&[u8]]) -> Result<u64, StoreError> {
        self.check_running()?;
        if let Some(long) = records.iter().find(|record| record.len() > MAX_RECORD_BYTES) {
            return Err(StoreError::TooLong(long.len()));
        }
        let (mut bytes, mut chain) = (Vec::new(), self.chain);
        for (index, record) in (self.last_index + 1..).zip(records) {
            chain = log::write(&mut bytes, (index, self.synced_index), record, chain);
        }
        if let Err(error) = self.disk.append(LOG, &bytes) {
            return Err(self.not_appended(&error));
        }
        for (index, record) in (self.last_index + 1..).zip(records) {
            self.entries_since_snapshot.push(Entry { index, bytes: record.to_vec() });
        }
        self.last_index += records.len() as u64;
        self.chain = chain;
        self.log_bytes += bytes.len();
        Ok(self.last_index)
    }

    /// Removes what was written of a group; later records could not be distinguished from it.
    fn not_appended(&mut self, error: &std::io::Error) -> StoreError {
        let full = matches!(error.kind(), ErrorKind::StorageFull | ErrorKind::QuotaExceeded);
        if !full {
            return self.fail("a write", error);
        }
        match self.disk.truncate(LOG, self.log_bytes) {
            Ok(()) => StoreError::Full,
            Err(error) => self.fail("cutting what did not fit", &error),
        }
    }

    /// Makes all appended records durable and returns the acknowledged index.
    ///
    /// # Errors
    /// The store has stopped; a failed sync is never repeated.
    pub fn sync(&mut self) -> Result<u64, StoreError> {
        self.check_running()?;
        if self.synced_index < self.last_index {
            if let Err(error) = self.disk.sync(LOG) {
                return Err(self.fail("a sync", &error));
            }
            self.synced_index = self.last_index;
        }
        Ok(self.synced_index)
    }

    /// Replaces all records up to `index`, which must be synced, by `bytes`.
    ///
    /// # Errors
    /// No space: the previous snapshot stays, and the store continues. Any other error stops it.
    pub fn snapshot(&mut self, index: u64, bytes: &[u8]) -> Result<(), StoreError> {
        self.check_running()?;
        if index <= self.snapshot_base.0 || index > self.synced_index {
            return Ok(());
        }
        let mut encoded = Vec::new();
        log::write(&mut encoded, (index, index), bytes, 0);
        let new = format!("{SNAPSHOT}{NEW_SUFFIX}");
        match self.disk.replace(&new, &encoded) {
            Err(error) if error.kind() == ErrorKind::StorageFull => return Err(StoreError::Full),
            Err(error) => return Err(self.fail("writing a snapshot", &error)),
            Ok(()) => {}
        }
        let stands = self.disk.sync(&new).and_then(|()| self.disk.rename(&new, SNAPSHOT));
        if let Err(error) = stands.and_then(|()| self.disk.sync_folder()) {
            return Err(self.fail("keeping a snapshot", &error));
        }
        self.snapshot_base = (index, chain_after(bytes));
        self.entries_since_snapshot.retain(|entry| entry.index > index);
        // If this fails, the old log still fits the new snapshot.
        self.begin_log().map_err(|error| self.fail("beginning a log", &error))
    }

    /// Rewrites the log with the records after the snapshot.
    fn begin_log(&mut self) -> std::io::Result<()> {
        let mut bytes = encode_log_start(self.snapshot_base);
        let mut chain = self.snapshot_base.1;
        for entry in &self.entries_since_snapshot {
            chain = log::write(&mut bytes, (entry.index, self.synced_index), &entry.bytes, chain);
        }
        let new = format!("{LOG}{NEW_SUFFIX}");
        self.disk.replace(&new, &bytes)?;
        self.disk.sync(&new)?;
        self.disk.rename(&new, LOG)?;
        self.disk.sync_folder()?;
        self.log_bytes = bytes.len();
        self.chain = chain;
        Ok(())
    }
}
