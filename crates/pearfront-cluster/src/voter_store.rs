//! A voter's records on disk. Writes run on a blocking thread: a sync that takes seconds may only delay
//! messages that wait for it.

use crate::link::Event;
use pearfront_consensus::{PersistentState, Record, decode_record, decode_records, encode_records, recover};
use pearfront_store::{Folder, Recovered, Store, check};
use std::path::Path;
use tokio::sync::mpsc::{Sender, UnboundedReceiver};
use tokio::task::spawn_blocking;

/// Size of the log, bytes, above which it is compacted into a snapshot.
const COMPACT_AT_BYTES: usize = 4 * 1024 * 1024;

fn replay(recovered: Recovered) -> PersistentState {
    let from_snapshot = recovered.snapshot.into_iter().flat_map(|entry| decode_records(&entry.bytes));
    let from_log = recovered.entries.into_iter().filter_map(|entry| decode_record(&entry.bytes));
    recover(from_snapshot.chain(from_log))
}

/// Opens a voter's folder and returns its stored state.
///
/// # Errors
/// The file, the place and what is wrong. A voter that can't know what it promised must not start as if it had
/// promised nothing.
pub(crate) fn open(folder: &Path) -> Result<(Store<Folder>, PersistentState), String> {
    let describe = |problem: String| format!("{}: {problem}", folder.display());
    let disk = Folder::open(folder).map_err(|error| describe(error.to_string()))?;
    let (store, recovered) = Store::open(disk).map_err(|error| describe(error.to_string()))?;
    if recovered.torn_bytes > 0 {
        log::warn!("cluster: event=torn-end bytes={} folder={}", recovered.torn_bytes, folder.display());
    }
    Ok((store, replay(recovered)))
}

/// Number of a group of records, and the records.
pub(crate) type RecordGroup = (u64, Vec<Record>);

/// Stores groups in order; one sync covers all that arrived during the previous one. It ends with the first
/// failure, since promises based on this disk can't be relied on any more.
pub(crate) async fn store_groups(
    mut store: Store<Folder>,
    mut groups: UnboundedReceiver<RecordGroup>,
    events: Sender<Event>,
) {
    while let Some((mut number, mut records)) = groups.recv().await {
        while let Ok((later, more)) = groups.try_recv() {
            number = later;
            records.extend(more);
        }
        let task = spawn_blocking(move || {
            let result = write(&mut store, &records);
            (store, result)
        });
        let stored = match task.await {
            Ok((returned, result)) => {
                store = returned;
                result.map(|()| number)
            }
            Err(error) => {
                let _ = events.send(Event::RecordsStored(Err(error.to_string()))).await;
                return;
            }
        };
        let failed = stored.is_err();
        if events.send(Event::RecordsStored(stored)).await.is_err() || failed {
            return;
        }
    }
}

fn write(store: &mut Store<Folder>, records: &[Record]) -> Result<(), String> {
    let encoded: Vec<Vec<u8>> = records.iter().map(Record::encode).collect();
    let encoded: Vec<&[u8]> = encoded.iter().map(Vec::as_slice).collect();
    store.append(&encoded).and_then(|_| store.sync()).map_err(|error| error.to_string())?;
    if store.log_bytes() > COMPACT_AT_BYTES {
        let last_included = store.synced_index();
        let recovered = check(store.disk()).map_err(|error| error.to_string())?;
        let bytes = encode_records(&replay(recovered).into_records());
        store.snapshot(last_included, &bytes).map_err(|error| error.to_string())?;
    }
    Ok(())
}
