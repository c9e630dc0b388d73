//! A voter's records on disk, on a thread of their own: a sync that takes seconds must hold up nothing but promises.

use crate::link::Event;
use pearfront_consensus::{PersistentState, Record, decode_record, decode_records, encode_records, recover};
use pearfront_store::{Folder, Recovered, Store, check};
use std::path::Path;
use tokio::sync::mpsc::{Sender, UnboundedReceiver};
use tokio::task::spawn_blocking;

/// Bytes of the log after which everything is put into a snapshot.
const COMPACT: usize = 4 * 1024 * 1024;

fn put_together(recovered: Recovered) -> PersistentState {
    let old = recovered.snapshot.into_iter().flat_map(|entry| decode_records(&entry.bytes));
    let new = recovered.entries.into_iter().filter_map(|entry| decode_record(&entry.bytes));
    recover(old.chain(new))
}

/// Opens a voter's folder; what it had.
///
/// # Errors
/// What is wrong with it, file and place named: a voter that can't know what it promised must not begin as if it had
/// promised nothing.
pub(crate) fn open(folder: &Path) -> Result<(Store<Folder>, PersistentState), String> {
    let told = |problem: String| format!("{}: {problem}", folder.display());
    let disk = Folder::open(folder).map_err(|error| told(error.to_string()))?;
    let (store, recovered) = Store::open(disk).map_err(|error| told(error.to_string()))?;
    if recovered.torn_bytes > 0 {
        log::warn!("cluster: event=torn-end bytes={} folder={}", recovered.torn_bytes, folder.display());
    }
    Ok((store, put_together(recovered)))
}

/// One group of records and its number.
pub(crate) type Group = (u64, Vec<Record>);

/// Stores groups in their order; one sync takes along all that came while the one before it was under way. Ends with the
/// first failure: nothing that was promised on this disk may be relied on any more.
pub(crate) async fn keep(
    mut store: Store<Folder>,
    mut groups: UnboundedReceiver<Group>,
    events: Sender<Event>,
) {
    while let Some((mut number, mut records)) = groups.recv().await {
        while let Ok((later, more)) = groups.try_recv() {
            number = later;
            records.extend(more);
        }
        let done = spawn_blocking(move || {
            let done = write(&mut store, &records);
            (store, done)
        });
        let stored = match done.await {
            Ok((back, done)) => {
                store = back;
                done.map(|()| number)
            }
            Err(error) => {
                let _ = events.send(Event::Stored(Err(error.to_string()))).await;
                return;
            }
        };
        let failed = stored.is_err();
        if events.send(Event::Stored(stored)).await.is_err() || failed {
            return;
        }
    }
}

fn write(store: &mut Store<Folder>, records: &[Record]) -> Result<(), String> {
    let encoded: Vec<Vec<u8>> = records.iter().map(Record::encode).collect();
    let encoded: Vec<&[u8]> = encoded.iter().map(Vec::as_slice).collect();
    store.append(&encoded).and_then(|_| store.sync()).map_err(|error| error.to_string())?;
    if store.log_bytes() > COMPACT {
        let upto = store.synced_index();
        let found = check(store.disk()).map_err(|error| error.to_string())?;
        let bytes = encode_records(&put_together(found).into_records());
        store.snapshot(upto, &bytes).map_err(|error| error.to_string())?;
    }
    Ok(())
}
