//! The way back where a majority of voters is lost for good: what one of them has becomes the beginning of all.

use crate::voter_store;
use pearfront_consensus::{PersistentState, Record};
use pearfront_duties::Duties;
use std::path::Path;

/// How far index and tokens go ahead of what is known here: further than whatever the lost ones can have given out since.
const SKIPPED: u64 = 1_000_000;

/// What a rescue has found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rescued {
    pub last_index: u64,
    pub term: u64,
    /// The last token known here, and the one above which all goes on.
    pub last_token: u64,
    pub next_token: u64,
    pub duties: usize,
}

/// Makes the folder of a voter that all voters begin anew from, out of one that a voter has left. What only the lost ones
/// knew is gone; no token is given again.
///
/// # Errors
/// A folder that is damaged or held by a process, or one to be made that has something in it.
pub fn rescue(from: &Path, to: &Path) -> Result<Rescued, String> {
    let (_held, stored_state) = voter_store::open(from)?;
    let PersistentState { term, snapshot, entries, .. } = stored_state;
    let mut duties = match &snapshot {
        Some((.., bytes)) => Duties::decode(bytes)
            .ok_or_else(|| format!("{}: its snapshot does not hold duties", from.display()))?,
        None => Duties::default(),
    };
    for entry in &entries {
        duties.apply(&entry.bytes);
    }
    let last = entries.last().map(|entry| entry.index).or(snapshot.map(|(index, ..)| index)).unwrap_or(0);
    let last_token = duties.last_token();
    duties.skip_tokens(SKIPPED);
    let (mut store, existing) = voter_store::open(to)?;
    if existing != PersistentState::default() {
        return Err(format!("{}: is not empty", to.display()));
    }
    // The next term: nobody who follows a leader of the old one goes on with it.
    let term = term + 1;
    let records = [
        Record::Term { term, voted_for: None },
        Record::Snapshot { index: last + SKIPPED, term, bytes: duties.encode() },
    ];
    let bytes = records.map(|record| record.encode());
    let bytes: Vec<&[u8]> = bytes.iter().map(Vec::as_slice).collect();
    store.append(&bytes).and_then(|_| store.sync()).map_err(|error| error.to_string())?;
    let next_token = duties.last_token() + 1;
    Ok(Rescued { last_index: last, term, last_token, next_token, duties: duties.all().count() })
}
