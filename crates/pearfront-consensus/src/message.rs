//! What goes between voters, and what each keeps on disk. `decode` is the only way in, and takes nothing on trust.

use serde::{Deserialize, Serialize};

/// One entry of the log; empty bytes are what a leader begins its term with.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub index: u64,
    pub term: u64,
    pub bytes: Vec<u8>,
}

/// The last entry of a log: the higher term is further on, then the higher index.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) struct LogPosition {
    pub term: u64,
    pub index: u64,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Body {
    /// Would you vote for me in the next term? Changes nothing.
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
    /// Entries behind that place. `round` ties the answer to when this was sent.
    AppendRequest {
        previous: LogPosition,
        entries: Vec<Entry>,
        leader_commit: u64,
        committed_in_term: bool,
        round: u64,
    },
    /// All up to `index` is stored here; or, if not taken, nothing behind `index` fits.
    AppendResponse {
        accepted: bool,
        index: u64,
        round: u64,
    },
    /// Part of the snapshot up to that place.
    SnapshotChunk {
        last_included: LogPosition,
        offset: u64,
        total_bytes: u64,
        bytes: Vec<u8>,
        round: u64,
    },
    /// So much of it is here.
    SnapshotChunkResponse {
        index: u64,
        next_offset: u64,
        round: u64,
    },
    /// I have just started: how far are you?
    StatusRequest,
    /// My log goes up to there, in the term of this message; or I have nothing either.
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
    /// Its bytes, with a sum in front.
    pub fn encode(&self) -> Vec<u8> {
        pearfront_codec::encode(self)
    }
}

/// A message from its bytes; none if they are not one, whole.
pub fn decode(bytes: &[u8]) -> Option<Message> {
    pearfront_codec::decode(bytes)
}

/// What a voter keeps on disk, in this order; later ones count.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The term, and for whom it voted in it.
    Term {
        term: u64,
        voted_for: Option<String>,
    },
    Entry(Entry),
    /// All entries from this index on are void.
    Truncate {
        from: u64,
    },
    /// All up to there is in this; entries up to it are void.
    Snapshot {
        index: u64,
        term: u64,
        bytes: Vec<u8>,
    },
}

impl Record {
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }
}

pub fn decode_record(bytes: &[u8]) -> Option<Record> {
    postcard::from_bytes(bytes).ok()
}

/// Records in one piece, for a store that puts all it has into a snapshot.
pub fn encode_records(records: &[Record]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for record in records {
        let record = record.encode();
        bytes.extend((record.len() as u32).to_le_bytes());
        bytes.extend(record);
    }
    bytes
}

/// The records of such a piece.
pub fn decode_records(bytes: &[u8]) -> Vec<Record> {
    let (mut records, mut rest) = (Vec::new(), bytes);
    while let Some((length, more)) = rest.split_first_chunk::<4>() {
        let (one, more) = more.split_at((u32::from_le_bytes(*length) as usize).min(more.len()));
        records.extend(decode_record(one));
        rest = more;
    }
    records
}
