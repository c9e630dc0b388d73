//! Recovery after the permanent loss of a majority of voters, for `pearfront store rescue`: the state of one
//! survivor becomes the new beginning of all.

use crate::voter_store;
use pearfront_consensus::{PersistentState, Record};
use pearfront_duties::Duties;
use std::path::Path;

/// How far log index and tokens skip ahead: further than anything that the lost voters can have given out
/// since.
const SKIPPED: u64 = 1_000_000;

/// Result of a rescue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rescued {
    /// Index of the survivor's last log entry.
    pub last_index: u64,
    /// The term of the new state.
    pub term: u64,
    /// The last token known to the survivor, and the first one given out after the rescue.
    pub last_token: u64,
    pub next_token: u64,
    /// Number of duties in the new state.
    pub duties: usize,
}

/// Creates, from the folder of a surviving voter, the folder that all voters restart from. State that only the
/// lost voters had is gone; no token is given out twice.
///
/// # Errors
/// A source folder that is damaged or in use, or a target folder that is not empty.
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
    // A new term, so that no follower of the old one continues with its leader.
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
