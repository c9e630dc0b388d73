//! Disk faults by seed, and what must hold for a store in spite of them: acknowledged records are there in
//! order or the loss is visible; nothing is read that was never stored; a disk that failed is not used again.

use pearfront_store::{Disk, Fault, Folder, Recovered, SimDisk, Store, StoreError, check};
use rand::prelude::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use test_case::test_case;

/// Seeds per kind of fault; higher numbers find rarer cases.
const SEEDS: u64 = 500;

fn record(index: u64) -> Vec<u8> {
    let length = (index * 37 % 700) as usize;
    let mut bytes = index.to_le_bytes().to_vec();
    bytes.extend(std::iter::repeat_n(index as u8, length));
    bytes
}

fn index_sum(from: u64, to: u64) -> u64 {
    (from..=to).sum()
}

/// Checks all records by index. A snapshot in these tests is the sum of the indices that it covers.
fn first_mismatch(recovered: &Recovered) -> Option<String> {
    let mut next = 1;
    if let Some(snapshot) = &recovered.snapshot {
        if snapshot.bytes != index_sum(1, snapshot.index).to_le_bytes() {
            return Some(format!("the snapshot at {} is another", snapshot.index));
        }
        next = snapshot.index + 1;
    }
    for entry in &recovered.entries {
        if entry.index != next || entry.bytes != record(next) {
            return Some(format!("record {} stands where {next} should", entry.index));
        }
        next += 1;
    }
    None
}

/// Faults injected between two crashes.
#[derive(Debug, Clone, Copy, PartialEq)]
enum FaultKind {
    None,
    Failures,
    Full,
    IgnoredSyncs,
}

/// Runs several crashes on one disk; an error if acknowledged data is lost or wrong data is read.
fn run_crashes(seed: u64, fault_kind: FaultKind) -> Result<(), String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut disk = SimDisk::new(seed);
    let mut acknowledged = 0;
    for _ in 0..6 {
        let (mut store, recovered) = Store::open(disk).map_err(|error| error.to_string())?;
        if let Some(what) = first_mismatch(&recovered) {
            return Err(what);
        }
        if recovered.last_index() < acknowledged {
            return Err(format!("{acknowledged} was acknowledged, {} is there", recovered.last_index()));
        }
        for _ in 0..rng.random_range(0..20) {
            match (fault_kind, rng.random_range(0..12)) {
                (FaultKind::Failures, 0) => store.disk().inject(Fault::WriteFails),
                (FaultKind::Failures, 1) => store.disk().inject(Fault::SyncFails),
                (FaultKind::Full, 0) => store.disk().inject(Fault::Full(rng.random_range(0..8000))),
                (FaultKind::Full, 1) => store.disk().clear_faults(),
                (FaultKind::IgnoredSyncs, 0) => store.disk().inject(Fault::SyncIgnored),
                _ => {}
            }
            let group: Vec<Vec<u8>> =
                (1..=rng.random_range(1..4)).map(|step| record(store.last_index() + step)).collect();
            let group: Vec<&[u8]> = group.iter().map(Vec::as_slice).collect();
            let before = store.last_index();
            match store.append(&group) {
                Ok(last) if last == before + group.len() as u64 => {}
                Err(StoreError::Full) if fault_kind == FaultKind::Full && store.last_index() == before => {}
                Err(StoreError::Failed(_)) if fault_kind == FaultKind::Failures => break,
                other => return Err(format!("an append came to {other:?}")),
            }
            if rng.random::<f64>() < 0.6 {
                match store.sync() {
                    Ok(synced) => acknowledged = synced,
                    Err(StoreError::Failed(_)) if fault_kind == FaultKind::Failures => break,
                    Err(error) => return Err(error.to_string()),
                }
            }
            if rng.random::<f64>() < 0.15 {
                let index = store.synced_index();
                match store.snapshot(index, &index_sum(1, index).to_le_bytes()) {
                    Ok(()) => {}
                    Err(StoreError::Full) if fault_kind == FaultKind::Full => {}
                    Err(StoreError::Failed(_))
                        if [FaultKind::Failures, FaultKind::Full].contains(&fault_kind) =>
                    {
                        break;
                    }
                    Err(error) => return Err(error.to_string()),
                }
            }
        }
        disk = store.disk().clone();
        disk.clear_faults();
        disk.crash();
    }
    Ok(())
}

#[test_case(FaultKind::None; "power cuts at any time")]
#[test_case(FaultKind::Failures; "failing writes and syncs")]
#[test_case(FaultKind::Full; "full disk")]
fn acknowledged_records_survive_crashes(fault_kind: FaultKind) {
    for seed in 0..SEEDS {
        assert_eq!(run_crashes(seed, fault_kind), Ok(()), "seed {seed}");
    }
}

// A disk that ignores syncs loses acknowledged data. That must show as loss or damage, never as other data. It
// also validates the test itself: a store that did not sync would fail in the same way.
#[test]
fn ignored_syncs_show_as_loss_and_never_as_other_data() {
    let losses: Vec<String> =
        (0..SEEDS).filter_map(|seed| run_crashes(seed, FaultKind::IgnoredSyncs).err()).collect();
    assert!(losses.len() > 20, "only {} of {SEEDS} seeds lost anything", losses.len());
    let reports_loss = |what: &String| what.contains("was acknowledged") || what.contains("damaged");
    assert!(losses.iter().all(reports_loss), "{:?}", losses.iter().find(|what| !reports_loss(what)));
}

fn filled_disk(seed: u64) -> SimDisk {
    let (mut store, _) = Store::open(SimDisk::new(seed)).unwrap();
    for index in 1..=20 {
        store.append(&[&record(index)]).unwrap();
        store.sync().unwrap();
        if index == 8 {
            store.snapshot(8, &index_sum(1, 8).to_le_bytes()).unwrap();
        }
    }
    store.disk().clone()
}

// A flipped bit in the last record looks like an unfinished write, and the whole record must be dropped.
// Everywhere else the store must refuse to open, with file and offset.
#[test]
fn flipped_bit_is_located_or_drops_the_last_record() {
    let (mut damaged, mut shorter) = (0, 0);
    for seed in 0..1000 {
        let file = if seed % 4 == 0 { "snapshot" } else { "log" };
        let mut disk = filled_disk(seed);
        assert!(disk.flip_bit(file));
        match check(&mut disk) {
            Ok(recovered) => {
                assert_eq!(first_mismatch(&recovered), None, "seed {seed}");
                assert_eq!(
                    (file, recovered.last_index()),
                    ("log", 19),
                    "seed {seed}: more than the last is gone"
                );
                shorter += 1;
            }
            Err(StoreError::Damaged { file: reported, .. }) => {
                assert_eq!(reported, file, "seed {seed}");
                damaged += 1;
            }
            Err(other) => panic!("seed {seed}: {other}"),
        }
    }
    assert!(damaged > 800 && shorter > 0, "{damaged} found, {shorter} shorter");
}

#[test]
fn failed_sync_is_not_retried() {
    let (mut store, _) = Store::open(SimDisk::new(1)).unwrap();
    store.append(&[b"one"]).unwrap();
    store.disk().inject(Fault::SyncFails);
    assert!(matches!(store.sync(), Err(StoreError::Failed(_))));
    let syncs = store.disk().syncs;
    assert!(matches!(store.sync(), Err(StoreError::Failed(_))) && store.append(&[b"two"]).is_err());
    assert_eq!((store.disk().syncs, store.synced_index()), (syncs, 0));
}

// An older copy of the folder is intact but shorter; only other processes can notice that.
#[test]
fn older_copy_is_intact_and_reports_its_last_index() {
    let mut older = filled_disk(3);
    let (mut store, _) = Store::open(older.clone()).unwrap();
    store.append(&[&record(21)]).unwrap();
    store.sync().unwrap();
    assert_eq!(
        (check(&mut older).unwrap().last_index(), check(store.disk()).unwrap().last_index()),
        (20, 21)
    );
}

#[test]
fn missing_snapshot_is_not_an_empty_store() {
    let mut disk = filled_disk(5);
    disk.rename("snapshot", "elsewhere").unwrap();
    assert!(matches!(check(&mut disk), Err(StoreError::Damaged { file: "snapshot", index: 8, .. })));
}

#[test]
fn folder_is_exclusive_and_can_be_reopened() {
    let path = std::env::temp_dir().join(format!("pearfront-store-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&path);
    let (mut store, _) = Store::open(Folder::open(&path).unwrap()).unwrap();
    assert!(Folder::open(&path).is_err(), "two hold one folder");
    for index in 1..=10 {
        store.append(&[&record(index)]).unwrap();
    }
    store.sync().unwrap();
    store.snapshot(6, &index_sum(1, 6).to_le_bytes()).unwrap();
    store.append(&[&record(11)]).unwrap();
    store.sync().unwrap();
    drop(store);
    // Half a record at the end, as left by a kill.
    let intact = std::fs::read(path.join("log")).unwrap();
    std::fs::write(path.join("log"), [intact.as_slice(), b"pfr1\x40"].concat()).unwrap();
    let (_, recovered) = Store::open(Folder::open(&path).unwrap()).unwrap();
    assert_eq!((first_mismatch(&recovered), recovered.last_index(), recovered.torn_bytes), (None, 11, 5));
    assert_eq!(std::fs::read(path.join("log")).unwrap(), intact);
    std::fs::remove_dir_all(&path).unwrap();
}
