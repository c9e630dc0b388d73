//! The form of records: mark, length, index, up to which record all was synced when it was written, sum of itself, and a
//! chain value that takes in the one before. The own sum tells a record wherever it lies; the chain tells that none was left
//! out, doubled or taken from elsewhere. How far all was synced tells damage from a torn end: a disk may keep the end of
//! what was being written and lose its beginning, so whole records behind a spoilt one prove nothing by themselves.

/// Bytes of one record at the most.
pub const MAX_RECORD_BYTES: usize = 1024 * 1024;
/// In front of each record.
const MARK: [u8; 4] = *b"pfr1";
/// Mark, length, index, synced, own sum, chain.
const HEAD: usize = 4 + 4 + 8 + 8 + 4 + 4;

/// One record; indices rise by one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    pub index: u64,
    pub bytes: Vec<u8>,
}

/// Where a log's text ends to make sense, and why.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogEnd {
    /// To its end.
    Whole,
    /// What follows was being written when everything stopped: nobody was told that it stands.
    Torn { at: usize },
    /// What follows is spoilt, and a record after it was written when it was synced already.
    Damaged { at: usize, index: u64, what: &'static str },
}

fn own_sum(index: u64, synced: u64, bytes: &[u8]) -> u32 {
    let sum = crc32c::crc32c_append(crc32c::crc32c(&index.to_le_bytes()), &synced.to_le_bytes());
    crc32c::crc32c_append(sum, bytes)
}

fn chained(before: u32, own: u32) -> u32 {
    crc32c::crc32c_append(before, &own.to_le_bytes())
}

/// Writes a record behind others, whose chain value is `chain`, with all up to `synced` synced; the new chain value.
pub(crate) fn write(to: &mut Vec<u8>, (index, synced): (u64, u64), bytes: &[u8], chain: u32) -> u32 {
    let own = own_sum(index, synced, bytes);
    let chain = chained(chain, own);
    to.extend(MARK);
    to.extend((bytes.len() as u32).to_le_bytes());
    to.extend(index.to_le_bytes());
    to.extend(synced.to_le_bytes());
    to.extend(own.to_le_bytes());
    to.extend(chain.to_le_bytes());
    to.extend(bytes);
    chain
}

struct Head {
    length: usize,
    index: u64,
    synced: u64,
    own: u32,
    chain: u32,
}

fn number<const N: usize>(text: &[u8], at: usize) -> Option<[u8; N]> {
    text.get(at..at + N)?.try_into().ok()
}

/// The record at that place, if its own sum is right.
fn whole_at(text: &[u8], at: usize) -> Option<(Head, &[u8])> {
    if number::<4>(text, at)? != MARK {
        return None;
    }
    let head = Head {
        length: u32::from_le_bytes(number(text, at + 4)?) as usize,
        index: u64::from_le_bytes(number(text, at + 8)?),
        synced: u64::from_le_bytes(number(text, at + 16)?),
        own: u32::from_le_bytes(number(text, at + 24)?),
        chain: u32::from_le_bytes(number(text, at + 28)?),
    };
    let bytes = text.get(at + HEAD..at + HEAD + head.length).filter(|_| head.length <= MAX_RECORD_BYTES)?;
    (own_sum(head.index, head.synced, bytes) == head.own).then_some((head, bytes))
}

/// The index that a record says it has.
pub(crate) fn index_at(text: &[u8]) -> Option<u64> {
    number(text, 8).map(u64::from_le_bytes).filter(|index| *index > 0)
}

/// Reads a log that goes on behind `index` and `chain`: its records, the chain value at their end, and how it ends.
pub(crate) fn read(text: &[u8], index: u64, chain: u32) -> (Vec<Entry>, u32, LogEnd) {
    let (mut at, mut index, mut chain) = (0, index, chain);
    let mut entries = Vec::new();
    while at < text.len() {
        let what = match whole_at(text, at) {
            None => "a record whose sum is wrong",
            Some((head, _)) if head.index != index + 1 => "a record that is not the next",
            Some((head, _)) if head.chain != chained(chain, head.own) => "a record that follows another one",
            Some((head, bytes)) => {
                entries.push(Entry { index: head.index, bytes: bytes.to_vec() });
                (index, chain, at) = (head.index, head.chain, at + HEAD + head.length);
                continue;
            }
        };
        // Written when this one was synced already: then it is damage, not a torn end.
        let knows = |place| whole_at(text, place).is_some_and(|(head, _)| head.synced > index);
        let torn = what == "a record whose sum is wrong" && !(at + 1..text.len()).any(knows);
        let found = if torn { LogEnd::Torn { at } } else { LogEnd::Damaged { at, index: index + 1, what } };
        return (entries, chain, found);
    }
    (entries, chain, LogEnd::Whole)
}
