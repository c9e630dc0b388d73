//! A disk for tests: what was synced stands, the rest may be lost, torn or come out of order at a crash, and by seed it
//! fails, lies, turns bits, stalls and fills up. No program that is built for use is made with it.

use crate::disk::Disk;
use rand::prelude::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};

/// Bytes that a real disk writes as one.
const SECTOR: usize = 512;

/// What the disk does wrong from now on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The next write fails in its midst.
    WriteFails,
    /// The next sync fails, and what was to be synced is dropped, as kernels do.
    SyncFails,
    /// Syncs say that all is well and do nothing, until the fault is taken away.
    SyncIgnored,
    /// No more than so many bytes in all.
    Full(usize),
}

#[derive(Debug, Clone, Default)]
struct Kept {
    /// What stands after a crash.
    synced: Vec<u8>,
    /// What reads see.
    seen: Vec<u8>,
}

#[derive(Debug, Clone)]
pub struct SimDisk {
    files: BTreeMap<String, Kept>,
    /// Names as they are, and as they stand after a crash, each with the content that it stands for.
    live: BTreeMap<String, String>,
    names: BTreeMap<String, String>,
    /// Contents have numbers, so that a name can be given to another content and taken back.
    contents: u64,
    faults: Vec<Fault>,
    chance: ChaCha8Rng,
    /// Time that its calls have taken, ms; each takes `slow`.
    pub time: f64,
    pub slow: f64,
    pub syncs: u64,
}

impl SimDisk {
    pub fn new(seed: u64) -> Self {
        Self {
            files: BTreeMap::new(),
            live: BTreeMap::new(),
            names: BTreeMap::new(),
            contents: 0,
            faults: Vec::new(),
            chance: ChaCha8Rng::seed_from_u64(seed),
            time: 0.0,
            slow: 0.05,
            syncs: 0,
        }
    }

    pub fn inject(&mut self, fault: Fault) {
        self.faults.push(fault);
    }

    /// Takes away all faults that last.
    pub fn clear_faults(&mut self) {
        self.faults.clear();
    }

    fn takes(&mut self, fault: Fault) -> bool {
        let place = self.faults.iter().position(|one| *one == fault);
        place.is_some_and(|place| {
            self.faults.remove(place);
            true
        })
    }

    fn room(&self) -> usize {
        let full = self.faults.iter().find_map(|fault| match fault {
            Fault::Full(bytes) => Some(*bytes),
            _ => None,
        });
        let used: usize = self
            .live
            .values()
            .filter_map(|content| self.files.get(content))
            .map(|kept| kept.seen.len())
            .sum();
        full.map_or(usize::MAX, |bytes| bytes.saturating_sub(used))
    }

    /// The power goes: what was not synced is lost, kept or torn by sectors, in no order.
    pub fn crash(&mut self) {
        for kept in self.files.values_mut() {
            if kept.seen == kept.synced {
                continue;
            }
            let mut left = kept.synced.clone();
            // A file that grew may have its length and not its bytes.
            if kept.seen.len() > left.len() && self.chance.random::<f64>() < 0.7 {
                let grown = self.chance.random_range(left.len()..=kept.seen.len());
                left.resize(grown, 0);
            } else if kept.seen.len() < left.len() && self.chance.random::<bool>() {
                left.truncate(kept.seen.len());
            }
            for sector in (0..left.len()).step_by(SECTOR) {
                let end = (sector + SECTOR).min(left.len()).min(kept.seen.len());
                if sector < end && self.chance.random::<bool>() {
                    left[sector..end].copy_from_slice(&kept.seen[sector..end]);
                }
            }
            kept.synced.clone_from(&left);
            kept.seen = left;
        }
        // Names that were not synced may be the old or the new ones.
        let kept_new = self.chance.random::<bool>();
        if kept_new {
            self.names.clone_from(&self.live);
        } else {
            self.live.clone_from(&self.names);
        }
    }

    /// Turns one bit of what is kept under that name; false if there is none.
    pub fn flip_bit(&mut self, name: &str) -> bool {
        let Some(kept) = self.live.get(name).and_then(|content| self.files.get_mut(content)) else {
            return false;
        };
        if kept.seen.is_empty() {
            return false;
        }
        let at = self.chance.random_range(0..kept.seen.len());
        let bit = 1 << self.chance.random_range(0..8);
        kept.seen[at] ^= bit;
        if let Some(byte) = kept.synced.get_mut(at) {
            *byte ^= bit;
        }
        true
    }

    fn called(&mut self) {
        self.time += self.slow;
    }

    fn kept(&mut self, name: &str) -> &mut Kept {
        let contents = &mut self.contents;
        let content = self.live.entry(name.into()).or_insert_with(|| {
            *contents += 1;
            format!("{name} {contents}")
        });
        self.files.entry(content.clone()).or_default()
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.called();
        let room = self.room();
        let fails = self.takes(Fault::WriteFails);
        let most = if fails { self.chance.random_range(0..=bytes.len()) } else { bytes.len().min(room) };
        self.kept(name).seen.extend(&bytes[..most]);
        if fails {
            return Err(Error::other("the disk failed"));
        }
        if most < bytes.len() { Err(Error::from(ErrorKind::StorageFull)) } else { Ok(()) }
    }
}

impl Disk for SimDisk {
    fn read(&mut self, name: &str) -> Result<Option<Vec<u8>>> {
        self.called();
        let content = self.live.get(name).and_then(|content| self.files.get(content));
        Ok(content.map(|kept| kept.seen.clone()))
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.write(name, bytes)
    }

    fn truncate(&mut self, name: &str, length: usize) -> Result<()> {
        self.called();
        self.kept(name).seen.truncate(length);
        Ok(())
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        // The name stands for a new content; the old one stays until names are synced.
        self.live.remove(name);
        self.write(name, bytes)
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        self.called();
        self.syncs += 1;
        if self.faults.contains(&Fault::SyncIgnored) {
            return Ok(());
        }
        let fails = self.takes(Fault::SyncFails);
        let kept = self.kept(name);
        if fails {
            kept.seen.clone_from(&kept.synced);
            return Err(Error::other("the disk failed"));
        }
        kept.synced.clone_from(&kept.seen);
        // A file that is synced is found again, as journals do it.
        if let Some(content) = self.live.get(name).cloned() {
            self.names.entry(name.into()).or_insert(content);
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.called();
        match self.live.remove(from) {
            Some(content) => {
                self.live.insert(to.into(), content);
                Ok(())
            }
            None => Err(Error::from(ErrorKind::NotFound)),
        }
    }

    fn sync_folder(&mut self) -> Result<()> {
        self.called();
        if !self.faults.contains(&Fault::SyncIgnored) {
            self.names.clone_from(&self.live);
        }
        Ok(())
    }
}
