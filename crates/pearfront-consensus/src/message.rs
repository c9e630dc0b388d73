//! Messages between voters, and the records that each voter keeps on disk. Incoming bytes pass through
//! `decode`, which validates them.

use serde::{Deserialize, Serialize};

/// One log entry. A leader starts its term with an entry that has no bytes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub index: u64,
    pub term: u64,
    pub bytes: Vec<u8>,
}

/// The position of a log entry. Ordered by term, then by index, as Raft compares logs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct LogPosition {
    pub term: u64,
    pub index: u64,
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Body {
    /// Asks whether the receiver would vote for the sender in the next term. Changes no state.
    PreVoteRequest {
        last: LogPosition,
    },
    PreVoteResponse {
        granted: bool,
    },
    VoteRequest {
        last: LogPosition,
    },
    VoteResponse {
        granted: bool,
    },
    /// Log entries that follow `previous`. `round` matches the response to the time of this request.
    AppendRequest {
        previous: LogPosition,
        entries: Vec<Entry>,
        leader_commit: u64,
        committed_in_term: bool,
        round: u64,
    },
    /// If accepted, the log matches and is stored up to `index`. If not, the receiver has nothing in common
    /// with the leader after `index`.
    AppendResponse {
        accepted: bool,
        index: u64,
        round: u64,
    },
    /// Part of the snapshot that covers the log up to `last_included`.
    SnapshotChunk {
        last_included: LogPosition,
        offset: u64,
        total_bytes: u64,
        bytes: Vec<u8>,
        round: u64,
    },
    /// Confirms the bytes of the snapshot up to `next_offset`.
    SnapshotChunkResponse {
        index: u64,
        next_offset: u64,
        round: u64,
    },
    /// Sent by a voter that has just started: how far is the receiver's log?
    StatusRequest,
    /// The sender's last log position, in the term of this message; `empty` if it has no state at all.
    StatusResponse {
        last: LogPosition,
        empty: bool,
    },
}

/// A message between voters.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Message {
    pub from: String,
    pub to: String,
    pub(crate) term: u64,
    pub(crate) body: Body,
}

impl Message {
    /// Encodes the message, with a checksum in front.
    pub fn encode(&self) -> Vec<u8> {
        pearfront_codec::encode(self)
    }
}

/// Decodes a message; `None` if the bytes are not one complete, intact message.
pub fn decode(bytes: &[u8]) -> Option<Message> {
    pearfront_codec::decode(bytes)
}

/// What a voter keeps on disk. Records are replayed in order; later ones override earlier ones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The current term, and the candidate that this voter voted for in it.
    Term {
        term: u64,
        voted_for: Option<String>,
    },
    Entry(Entry),
    /// Removes all entries from this index on.
    Truncate {
        from: u64,
    },
    /// State up to `index`; replaces all entries up to it.
    Snapshot {
        index: u64,
        term: u64,
        bytes: Vec<u8>,
    },
}

impl Record {
    /// Encodes the record for the disk; `decode_record` reads it.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }
}

/// Decodes one record; `None` if the bytes are not one.
pub fn decode_record(bytes: &[u8]) -> Option<Record> {
    postcard::from_bytes(bytes).ok()
}

/// Encodes records as one block of bytes, for a store that compacts everything into a snapshot.
pub fn encode_records(records: &[Record]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for record in records {
        let record = record.encode();
        bytes.extend((record.len() as u32).to_le_bytes());
        bytes.extend(record);
    }
    bytes
}

/// Decodes the records of such a block.
pub fn decode_records(bytes: &[u8]) -> Vec<Record> {
    let (mut records, mut rest) = (Vec::new(), bytes);
    while let Some((length, more)) = rest.split_first_chunk::<4>() {
        let (one, more) = more.split_at((u32::from_le_bytes(*length) as usize).min(more.len()));
        records.extend(decode_record(one));
        rest = more;
    }
    records
}
