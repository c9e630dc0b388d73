//! Encodes messages between processes: a CRC-32C checksum, then the message as postcard. Incoming messages are
//! accepted as a whole or not at all. Used by the crates of consensus, duties and distribution.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// A message that can check whether its parts are within the bounds that receivers accept.
pub trait Bounded {
    /// Are all parts within bounds?
    fn is_bounded(&self) -> bool;
}

/// Encodes a message, with a checksum in front.
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    let body = postcard::to_stdvec(message).unwrap_or_default();
    let mut bytes = crc32c::crc32c(&body).to_le_bytes().to_vec();
    bytes.extend(body);
    bytes
}

/// Decodes a message; `None` if the bytes are not one complete, intact message.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (checksum, body) = bytes.split_first_chunk::<4>()?;
    if crc32c::crc32c(body) != u32::from_le_bytes(*checksum) {
        return None;
    }
    let (message, rest) = postcard::take_from_bytes(body).ok()?;
    rest.is_empty().then_some(message)
}

/// Like `decode`; also `None` if the message is out of bounds.
pub fn decode_bounded<T: DeserializeOwned + Bounded>(bytes: &[u8]) -> Option<T> {
    decode(bytes).filter(T::is_bounded)
}
