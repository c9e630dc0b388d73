//! The store: a snapshot and the log behind it. What `sync` has acknowledged is there after any kill, on a disk that does
//! what it says; what a disk did otherwise is noticed when it is read, or shows as less than was acknowledged, which is
//! for those to see who remember how much that was.

use crate::disk::Disk;
use crate::log::{self, Entry, LogEnd, MAX_RECORD_BYTES};
use std::io::ErrorKind;

const LOG: &str = "log";
const SNAPSHOT: &str = "snapshot";
const NEW: &str = ".new";

/// Why nothing is stored, or nothing more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// A file is spoilt at a place that whole records follow. Nothing is read from it: whoever stored them has to be
    /// helped by others.
    Damaged { file: &'static str, at: usize, index: u64, what: &'static str },
    /// A folder that can't be read.
    Unreadable(String),
    /// There is no room; what was there before stands, and nothing of this was taken.
    Full,
    /// A record that is too long.
    TooLong(usize),
    /// A write or a sync failed. What is on the disk now nobody knows, and a sync that is tried again would say yes to what
    /// the kernel has dropped: this store takes nothing more until it is opened anew.
    Failed(String),
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, to: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Self::Damaged { file, at, index, what } => {
                write!(to, "{file} is damaged at byte {at}, where record {index} should be: {what}")
            }
            Self::Unreadable(what) => write!(to, "can't be read: {what}"),
            Self::Full => write!(to, "no room is left"),
            Self::TooLong(length) => write!(to, "a record of {length} bytes, more than {MAX_RECORD_BYTES}"),
            Self::Failed(what) => write!(to, "takes nothing more since {what}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// What was found when it was opened.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The last snapshot and the index of the last record in it.
    pub snapshot: Option<Entry>,
    /// Records behind it.
    pub entries: Vec<Entry>,
    /// Bytes at the end that were being written when everything stopped, cut off.
    pub torn_bytes: usize,
}

impl Recovered {
    /// Index of the last record; 0 if there is none.
    pub fn last_index(&self) -> u64 {
        let snapshot = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        self.entries.last().map_or(snapshot, |entry| entry.index)
    }
}

/// What a folder has, and where the store goes on.
struct Read {
    recovered: Recovered,
    /// The record behind which the log begins.
    start: u64,
    base: (u64, u32),
    last: u64,
    chain: u32,
    length: usize,
}

fn read(disk: &mut impl Disk) -> Result<Read, StoreError> {
    let unreadable = |error: std::io::Error| StoreError::Unreadable(error.to_string());
    let snapshot = disk.read(SNAPSHOT).map_err(unreadable)?;
    let (snapshot, base) = snapshot.map_or(Ok((None, (0, 0))), |text| read_snapshot(&text))?;
    let text = disk.read(LOG).map_err(unreadable)?.unwrap_or_default();
    let (offset, start) = log_start(&text, base)?;
    let (entries, chain, found) = log::read(&text[offset..], start.0, start.1);
    let length = match found {
        LogEnd::Whole => text.len(),
        LogEnd::Torn { at } => offset + at,
        LogEnd::Damaged { at, index, what } => {
            return Err(StoreError::Damaged { file: LOG, at: offset + at, index, what });
        }
    };
    let last = entries.last().map_or(start.0, |entry| entry.index);
    // Everything up to the snapshot is in it, however far the log came.
    let (last, chain) = if last < base.0 { base } else { (last, chain) };
    let entries = entries.into_iter().filter(|entry| entry.index > base.0).collect();
    let recovered = Recovered { snapshot, entries, torn_bytes: text.len() - length };
    Ok(Read { recovered, start: start.0, base, last, chain, length })
}

/// Looks at a folder and changes nothing.
///
/// # Errors
/// As `Store::open`.
pub fn check(disk: &mut impl Disk) -> Result<Recovered, StoreError> {
    read(disk).map(|read| read.recovered)
}

/// The chain value behind a snapshot: the log that goes on from it goes with no other.
fn behind(snapshot: &[u8]) -> u32 {
    crc32c::crc32c(snapshot)
}

/// The snapshot's text: one record, behind nothing.
fn read_snapshot(text: &[u8]) -> Result<(Option<Entry>, (u64, u32)), StoreError> {
    let spoilt = |what| StoreError::Damaged { file: SNAPSHOT, at: 0, index: 0, what };
    let index = log::index_at(text).ok_or(spoilt("it is cut short"))?;
    match log::read(text, index - 1, 0) {
        (mut entries, _, LogEnd::Whole) if entries.len() == 1 => {
            let snapshot = entries.pop();
            let base = snapshot.as_ref().map_or((0, 0), |entry| (entry.index, behind(&entry.bytes)));
            Ok((snapshot, base))
        }
        _ => Err(spoilt("its sum is wrong")),
    }
}

/// In front of a log that goes on behind a snapshot: mark, index, chain value, sum of these.
const START: [u8; 4] = *b"pfl1";
const START_LENGTH: usize = 4 + 8 + 4 + 4;

fn start_line((index, chain): (u64, u32)) -> Vec<u8> {
    let mut line = START.to_vec();
    line.extend(index.to_le_bytes());
    line.extend(chain.to_le_bytes());
    line.extend(crc32c::crc32c(&line).to_le_bytes());
    line
}

/// Where the records begin, and behind which index and chain value.
fn log_start(text: &[u8], base: (u64, u32)) -> Result<(usize, (u64, u32)), StoreError> {
    let spoilt = |what| StoreError::Damaged { file: LOG, at: 0, index: base.0 + 1, what };
    if text.is_empty() {
        return Ok((0, base));
    }
    if !text.starts_with(&START) {
        // The first log has none; what is wrong with it its records tell.
        return if text.starts_with(b"pfr1") || base.0 == 0 {
            Ok((0, (0, 0)))
        } else {
            Err(spoilt("no log begins here"))
        };
    }
    let line = text.get(..START_LENGTH).ok_or(spoilt("its first line is cut short"))?;
    let number = |at: usize| line[at..].first_chunk::<4>().map_or(0, |bytes| u32::from_le_bytes(*bytes));
    let index = line[4..].first_chunk::<8>().map_or(0, |bytes| u64::from_le_bytes(*bytes));
    if crc32c::crc32c(&line[..16]) != number(16) {
        return Err(spoilt("the sum of its first line is wrong"));
    }
    if index > base.0 {
        return Err(StoreError::Damaged {
            file: SNAPSHOT,
            at: 0,
            index,
            what: "the one that the log goes on from is gone",
        });
    }
    if index == base.0 && number(12) != base.1 {
        return Err(spoilt("it goes on from another snapshot"));
    }
    Ok((START_LENGTH, (index, number(12))))
}

pub struct Store<D: Disk> {
    disk: D,
    /// Index and chain value of the last record that was appended.
    last: u64,
    chain: u32,
    synced: u64,
    /// Bytes of the log file.
    length: usize,
    /// Records since the snapshot, to be written anew behind the next.
    since: Vec<Entry>,
    /// The snapshot's index, and the chain value behind it.
    base: (u64, u32),
    failure: Option<String>,
}

impl<D: Disk> Store<D> {
    /// Reads what is there; a torn end is cut off.
    ///
    /// # Errors
    /// Damage, with file and place, or a folder that can't be read. Nothing is changed then.
    pub fn open(mut disk: D) -> Result<(Self, Recovered), StoreError> {
        let read = read(&mut disk)?;
        let Read { recovered, start, base, last, chain, length } = read;
        let (since, failure) = (recovered.entries.clone(), None);
        let mut store = Self { disk, last, chain, synced: last, length, since, base, failure };
        let unreadable = |error: std::io::Error| StoreError::Unreadable(error.to_string());
        if recovered.torn_bytes > 0 {
            let cut = store.disk.truncate(LOG, length).and_then(|()| store.disk.sync(LOG));
            cut.map_err(unreadable)?;
        }
        // The log begins before the snapshot: everything had stopped between the two.
        if start != base.0 {
            store.begin_log().map_err(unreadable)?;
        }
        Ok((store, recovered))
    }

    /// Index of the last record that was appended.
    pub fn last_index(&self) -> u64 {
        self.last
    }

    /// Index of the last record that is acknowledged.
    pub fn synced_index(&self) -> u64 {
        self.synced
    }

    /// Bytes of the log: what a snapshot would free.
    pub fn log_bytes(&self) -> usize {
        self.length
    }

    /// Why it takes nothing more, if so.
    pub fn failure(&self) -> Option<&str> {
        self.failure.as_deref()
    }

    /// The disk below, for whoever has to tell what it went through.
    pub fn disk(&mut self) -> &mut D {
        &mut self.disk
    }

    fn alive(&self) -> Result<(), StoreError> {
        self.failure.as_ref().map_or(Ok(()), |why| Err(StoreError::Failed(why.clone())))
    }

    fn die(&mut self, what: &str, error: &std::io::Error) -> StoreError {
        let why = format!("{what} failed: {error}");
        self.failure = Some(why.clone());
        StoreError::Failed(why)
    }

    /// Appends a group of records; the index of the last. Not acknowledged before `sync`.
    ///
    /// # Errors
    /// Too long or no room: nothing was taken, and it goes on. Any other: it is dead.
    pub fn append(&mut self, records: &[&[u8]]) -> Result<u64, StoreError> {
        self.alive()?;
        if let Some(long) = records.iter().find(|record| record.len() > MAX_RECORD_BYTES) {
            return Err(StoreError::TooLong(long.len()));
        }
        let (mut text, mut chain) = (Vec::new(), self.chain);
        for (index, record) in (self.last + 1..).zip(records) {
            chain = log::write(&mut text, (index, self.synced), record, chain);
        }
        if let Err(error) = self.disk.append(LOG, &text) {
            return Err(self.not_appended(&error));
        }
        for (index, record) in (self.last + 1..).zip(records) {
            self.since.push(Entry { index, bytes: record.to_vec() });
        }
        self.last += records.len() as u64;
        self.chain = chain;
        self.length += text.len();
        Ok(self.last)
    }

    /// Part of a group may stand there: it goes, or no later record could be told from it.
    fn not_appended(&mut self, error: &std::io::Error) -> StoreError {
        let full = matches!(error.kind(), ErrorKind::StorageFull | ErrorKind::QuotaExceeded);
        if !full {
            return self.die("a write", error);
        }
        match self.disk.truncate(LOG, self.length) {
            Ok(()) => StoreError::Full,
            Err(error) => self.die("cutting what did not fit", &error),
        }
    }

    /// Makes all that was appended durable; the index that is acknowledged.
    ///
    /// # Errors
    /// It is dead: a sync that failed is never tried again.
    pub fn sync(&mut self) -> Result<u64, StoreError> {
        self.alive()?;
        if self.synced < self.last {
            if let Err(error) = self.disk.sync(LOG) {
                return Err(self.die("a sync", &error));
            }
            self.synced = self.last;
        }
        Ok(self.synced)
    }

    /// Replaces all records up to `index`, which must be synced, by `bytes`.
    ///
    /// # Errors
    /// No room: the one before stands, and it goes on. Any other: it is dead.
    pub fn snapshot(&mut self, index: u64, bytes: &[u8]) -> Result<(), StoreError> {
        self.alive()?;
        if index <= self.base.0 || index > self.synced {
            return Ok(());
        }
        let mut text = Vec::new();
        log::write(&mut text, (index, index), bytes, 0);
        let new = format!("{SNAPSHOT}{NEW}");
        match self.disk.replace(&new, &text) {
            Err(error) if error.kind() == ErrorKind::StorageFull => return Err(StoreError::Full),
            Err(error) => return Err(self.die("writing a snapshot", &error)),
            Ok(()) => {}
        }
        let stands = self.disk.sync(&new).and_then(|()| self.disk.rename(&new, SNAPSHOT));
        if let Err(error) = stands.and_then(|()| self.disk.sync_folder()) {
            return Err(self.die("keeping a snapshot", &error));
        }
        self.base = (index, behind(bytes));
        self.since.retain(|entry| entry.index > index);
        // Should this fail, the old log still goes with the new snapshot.
        self.begin_log().map_err(|error| self.die("beginning a log", &error))
    }

    /// Writes the log anew, with what came behind the snapshot.
    fn begin_log(&mut self) -> std::io::Result<()> {
        let mut text = start_line(self.base);
        let mut chain = self.base.1;
        for entry in &self.since {
            chain = log::write(&mut text, (entry.index, self.synced), &entry.bytes, chain);
        }
        let new = format!("{LOG}{NEW}");
        self.disk.replace(&new, &text)?;
        self.disk.sync(&new)?;
        self.disk.rename(&new, LOG)?;
        self.disk.sync_folder()?;
        self.length = text.len();
        self.chain = chain;
        Ok(())
    }
}
