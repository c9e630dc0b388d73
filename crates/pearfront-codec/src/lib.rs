//! Messages between processes as bytes: a CRC-32C in front, then the message by postcard. What comes in is taken whole
//! or not at all.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// A message that tells whether its parts are within what its receiver takes.
pub trait Bounded {
    fn is_bounded(&self) -> bool;
}

/// Bytes of a message, with a sum in front.
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    let body = postcard::to_stdvec(message).unwrap_or_default();
    let mut bytes = crc32c::crc32c(&body).to_le_bytes().to_vec();
    bytes.extend(body);
    bytes
}

/// A message of that kind from its bytes; none if they are not one, whole.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (sum, body) = bytes.split_first_chunk::<4>()?;
    if crc32c::crc32c(body) != u32::from_le_bytes(*sum) {
        return None;
    }
    let (message, left) = postcard::take_from_bytes(body).ok()?;
    left.is_empty().then_some(message)
}

/// The same; none either if it is not within bounds.
pub fn decode_bounded<T: DeserializeOwned + Bounded>(bytes: &[u8]) -> Option<T> {
    decode(bytes).filter(T::is_bounded)
}
