//! A simulated disk for tests. At a crash it keeps what was synced, and loses, tears or reorders the rest by
//! seed; faults can be injected and bits flipped. No released program uses it.

use crate::disk::Disk;
use rand::prelude::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};

/// Bytes that a real disk writes atomically.
const SECTOR: usize = 512;

/// A fault of the disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The next write fails half-way.
    WriteFails,
    /// The next sync fails, and the data is dropped, as kernels do.
    SyncFails,
    /// Syncs report success and do nothing until the fault is cleared.
    SyncIgnored,
    /// Total capacity, bytes.
    Full(usize),
}

/// Contents of one file.
#[derive(Debug, Clone, Default)]
struct FileContent {
    /// Contents after a crash.
    synced: Vec<u8>,
    /// Contents as read.
    current: Vec<u8>,
}

/// A disk with injected faults.
#[derive(Debug, Clone)]
pub struct SimDisk {
    files: BTreeMap<String, FileContent>,
    /// Names now, and names after a crash, each with the ID of its contents.
    names: BTreeMap<String, String>,
    synced_names: BTreeMap<String, String>,
    /// Contents have IDs, so that a name can be given to other contents and revert at a crash.
    last_content_id: u64,
    faults: Vec<Fault>,
    rng: ChaCha8Rng,
    /// Time taken by all calls, ms; each takes `latency_ms`.
    pub elapsed_ms: f64,
    pub latency_ms: f64,
    /// Calls of `sync`.
    pub syncs: u64,
}

impl SimDisk {
    /// An empty disk whose faults follow this seed.
    pub fn new(seed: u64) -> Self {
        Self {
            files: BTreeMap::new(),
            names: BTreeMap::new(),
            synced_names: BTreeMap::new(),
            last_content_id: 0,
            faults: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            elapsed_ms: 0.0,
            latency_ms: 0.05,
            syncs: 0,
        }
    }

    /// Adds a fault.
    pub fn inject(&mut self, fault: Fault) {
        self.faults.push(fault);
    }

    /// Clears all faults.
    pub fn clear_faults(&mut self) {
        self.faults.clear();
    }

    fn take_fault(&mut self, fault: Fault) -> bool {
        let index = self.faults.iter().position(|active| *active == fault);
        index.is_some_and(|index| {
            self.faults.remove(index);
            true
        })
    }

    fn free_bytes(&self) -> usize {
        let limit = self.faults.iter().find_map(|fault| match fault {
            Fault::Full(bytes) => Some(*bytes),
            _ => None,
        });
        let used: usize = self
            .names
            .values()
            .filter_map(|content| self.files.get(content))
            .map(|content| content.current.len())
            .sum();
        limit.map_or(usize::MAX, |bytes| bytes.saturating_sub(used))
    }

    /// Power cut: unsynced data is lost, kept or torn by sectors, in any order.
    pub fn crash(&mut self) {
        for content in self.files.values_mut() {
            if content.current == content.synced {
                continue;
            }
            let mut remaining = content.synced.clone();
            // A file that grew may have its new length without the bytes.
            if content.current.len() > remaining.len() && self.rng.random::<f64>() < 0.7 {
                let grown = self.rng.random_range(remaining.len()..=content.current.len());
                remaining.resize(grown, 0);
            } else if content.current.len() < remaining.len() && self.rng.random::<bool>() {
                remaining.truncate(content.current.len());
            }
            for sector in (0..remaining.len()).step_by(SECTOR) {
                let end = (sector + SECTOR).min(remaining.len()).min(content.current.len());
                if sector < end && self.rng.random::<bool>() {
                    remaining[sector..end].copy_from_slice(&content.current[sector..end]);
                }
            }
            content.synced.clone_from(&remaining);
            content.current = remaining;
        }
        // Unsynced names may be the old or the new ones.
        let keep_new_names = self.rng.random::<bool>();
        if keep_new_names {
            self.synced_names.clone_from(&self.names);
        } else {
            self.names.clone_from(&self.synced_names);
        }
    }

    /// Flips one bit of the file; false if there is none or it is empty.
    pub fn flip_bit(&mut self, name: &str) -> bool {
        let Some(content) = self.names.get(name).and_then(|content| self.files.get_mut(content)) else {
            return false;
        };
        if content.current.is_empty() {
            return false;
        }
        let at = self.rng.random_range(0..content.current.len());
        let bit = 1 << self.rng.random_range(0..8);
        content.current[at] ^= bit;
        if let Some(byte) = content.synced.get_mut(at) {
            *byte ^= bit;
        }
        true
    }

    fn count_call(&mut self) {
        self.elapsed_ms += self.latency_ms;
    }

    fn content_mut(&mut self, name: &str) -> &mut FileContent {
        let last_content_id = &mut self.last_content_id;
        let content = self.names.entry(name.into()).or_insert_with(|| {
            *last_content_id += 1;
            format!("{name} {last_content_id}")
        });
        self.files.entry(content.clone()).or_default()
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.count_call();
        let free = self.free_bytes();
        let fails = self.take_fault(Fault::WriteFails);
        let most = if fails { self.rng.random_range(0..=bytes.len()) } else { bytes.len().min(free) };
        self.content_mut(name).current.extend(&bytes[..most]);
        if fails {
            return Err(Error::other("the disk failed"));
        }
        if most < bytes.len() { Err(Error::from(ErrorKind::StorageFull)) } else { Ok(()) }
    }
}

impl Disk for SimDisk {
    fn read(&mut self, name: &str) -> Result<Option<Vec<u8>>> {
        self.count_call();
        let content = self.names.get(name).and_then(|content| self.files.get(content));
        Ok(content.map(|content| content.current.clone()))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.write(name, bytes)
    }

    fn truncate(&mut self, name: &str, length: usize) -> Result<()> {
        self.count_call();
        self.content_mut(name).current.truncate(length);
        Ok(())
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        // The name gets new contents; the old ones remain until names are synced.
        self.names.remove(name);
        self.write(name, bytes)
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        self.count_call();
        self.syncs += 1;
        if self.faults.contains(&Fault::SyncIgnored) {
            return Ok(());
        }
        let fails = self.take_fault(Fault::SyncFails);
        let content = self.content_mut(name);
        if fails {
            content.current.clone_from(&content.synced);
            return Err(Error::other("the disk failed"));
        }
        content.synced.clone_from(&content.current);
        // Syncing a new file also makes its name durable, as on journaling file systems.
        if let Some(content) = self.names.get(name).cloned() {
            self.synced_names.entry(name.into()).or_insert(content);
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.count_call();
        match self.names.remove(from) {
            Some(content) => {
                self.names.insert(to.into(), content);
                Ok(())
            }
            None => Err(Error::from(ErrorKind::NotFound)),
        }
    }

    fn sync_folder(&mut self) -> Result<()> {
        self.count_call();
        if !self.faults.contains(&Fault::SyncIgnored) {
            self.synced_names.clone_from(&self.names);
        }
        Ok(())
    }
}
