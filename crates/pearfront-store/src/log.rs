//! The record format: magic bytes, length, index, the highest index that was synced when the record was
//! written, a checksum of the record, and a chain value that includes that of the record before.
//!
//! The checksum verifies a record by itself; the chain shows that none was left out, duplicated or taken from
//! another log. The synced index distinguishes damage from a torn end: a disk may keep the end of an unsynced
//! write and lose its beginning, so intact records after a broken one prove nothing by themselves.

/// Largest record, bytes.
pub const MAX_RECORD_BYTES: usize = 1024 * 1024;
/// In front of each record.
const MAGIC: [u8; 4] = *b"pfr1";
/// Magic bytes, length, index, synced index, checksum, chain.
const HEADER_BYTES: usize = 4 + 4 + 8 + 8 + 4 + 4;

/// One record; indices rise by one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    pub index: u64,
    pub bytes: Vec<u8>,
}

/// How the readable part of a log ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogEnd {
    /// The log is intact to its end.
    Whole,
    /// The rest was being written at the crash and had not been acknowledged.
    Torn { at: usize },
    /// The record here is broken, and a later one shows that it had been synced.
    Damaged { at: usize, index: u64, reason: &'static str },
}

fn record_checksum(index: u64, synced_index: u64, bytes: &[u8]) -> u32 {
    let sum = crc32c::crc32c_append(crc32c::crc32c(&index.to_le_bytes()), &synced_index.to_le_bytes());
    crc32c::crc32c_append(sum, bytes)
}

fn next_chain(previous: u32, checksum: u32) -> u32 {
    crc32c::crc32c_append(previous, &checksum.to_le_bytes())
}

/// Appends a record to `output`. `chain` is the chain value of the record before, and everything up to
/// `synced_index` is synced. Returns the new chain value.
pub(crate) fn write(
    output: &mut Vec<u8>,
    (index, synced_index): (u64, u64),
    bytes: &[u8],
    chain: u32,
) -> u32 {
    let checksum = record_checksum(index, synced_index, bytes);
    let chain = next_chain(chain, checksum);
    output.extend(MAGIC);
    output.extend((bytes.len() as u32).to_le_bytes());
    output.extend(index.to_le_bytes());
    output.extend(synced_index.to_le_bytes());
    output.extend(checksum.to_le_bytes());
    output.extend(chain.to_le_bytes());
    output.extend(bytes);
    chain
}

struct Header {
    length: usize,
    index: u64,
    synced_index: u64,
    checksum: u32,
    chain: u32,
}

fn field<const N: usize>(log: &[u8], at: usize) -> Option<[u8; N]> {
    log.get(at..at + N)?.try_into().ok()
}

/// The record at this offset, if its checksum is right.
fn intact_record_at(log: &[u8], at: usize) -> Option<(Header, &[u8])> {
    if field::<4>(log, at)? != MAGIC {
        return None;
    }
    let header = Header {
        length: u32::from_le_bytes(field(log, at + 4)?) as usize,
        index: u64::from_le_bytes(field(log, at + 8)?),
        synced_index: u64::from_le_bytes(field(log, at + 16)?),
        checksum: u32::from_le_bytes(field(log, at + 24)?),
        chain: u32::from_le_bytes(field(log, at + 28)?),
    };
    let bytes = log
        .get(at + HEADER_BYTES..at + HEADER_BYTES + header.length)
        .filter(|_| header.length <= MAX_RECORD_BYTES)?;
    (record_checksum(header.index, header.synced_index, bytes) == header.checksum).then_some((header, bytes))
}

/// The index in the header of the first record.
pub(crate) fn index_at(log: &[u8]) -> Option<u64> {
    field(log, 8).map(u64::from_le_bytes).filter(|index| *index > 0)
}

/// Reads a log that follows `index` and `chain`. Returns its records, their last chain value, and how it ends.
pub(crate) fn read(log: &[u8], index: u64, chain: u32) -> (Vec<Entry>, u32, LogEnd) {
    let (mut at, mut index, mut chain) = (0, index, chain);
    let mut entries = Vec::new();
    while at < log.len() {
        let reason = match intact_record_at(log, at) {
            None => "a record whose sum is wrong",
            Some((header, _)) if header.index != index + 1 => "a record that is not the next",
            Some((header, _)) if header.chain != next_chain(chain, header.checksum) => {
                "a record that follows another one"
            }
            Some((header, bytes)) => {
                entries.push(Entry { index: header.index, bytes: bytes.to_vec() });
                (index, chain, at) = (header.index, header.chain, at + HEADER_BYTES + header.length);
                continue;
            }
        };
        // A later record that was written when this one was synced already means damage, not a torn end.
        let known_synced =
            |offset| intact_record_at(log, offset).is_some_and(|(header, _)| header.synced_index > index);
        let torn = reason == "a record whose sum is wrong" && !(at + 1..log.len()).any(known_synced);
        let end = if torn { LogEnd::Torn { at } } else { LogEnd::Damaged { at, index: index + 1, reason } };
        return (entries, chain, end);
    }
    (entries, chain, LogEnd::Whole)
}
