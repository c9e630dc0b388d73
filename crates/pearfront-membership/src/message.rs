//! The wire format: one packet per datagram or frame. Incoming bytes pass through `decode`, which validates
//! them.

use crate::member::{Card, Update};
use crate::times::{MAX_NAME_BYTES, MAX_ZONE_BYTES};
use serde::{Deserialize, Serialize};

/// Largest datagram, bytes; small enough to pass every path without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Largest frame on a stream, bytes; fits the whole view of the largest installation with the longest names.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;
/// Identifies a packet and the version of its format.
const MAGIC: [u8; 3] = [b'p', b'm', 1];
/// Magic bytes and checksum.
const HEADER_BYTES: usize = MAGIC.len() + 4;

/// Message of a packet. `request_id` ties a response to its request; a process never uses one twice.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Body {
    Ping {
        request_id: u64,
    },
    Ack {
        request_id: u64,
    },
    /// Asks the receiver to probe this member on behalf of the sender.
    PingRequest {
        request_id: u64,
        card: Card,
    },
    /// Reply to a ping request, sent at once: no acknowledgement yet. `heard_ago` is the time since the sender
    /// last heard the target, ms, if ever.
    Nack {
        request_id: u64,
        heard_ago: Option<u32>,
    },
    /// Asks to join; sent as a frame.
    Join {
        request_id: u64,
    },
    /// Refuses a join: the name belongs to this process.
    NameTaken {
        by: Card,
    },
    /// Another process has claimed the receiver's name, with this card.
    NameClaimed {
        by: Card,
    },
    /// Asks whether the receiver's view has this checksum; sent as a frame.
    CompareViews {
        request_id: u64,
        sum: u32,
    },
    ViewsEqual {
        request_id: u64,
    },
    /// The sender's whole view, in response to that request or unsolicited; `back` asks for the receiver's
    /// view. Request IDs of different processes are unrelated, so an unsolicited view must not pass for a
    /// response.
    View {
        answers: Option<u64>,
        back: bool,
        members: Vec<Update>,
    },
    Leave,
}

/// What a datagram or frame carries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Packet {
    pub installation: String,
    pub from: Card,
    /// Rises with each packet of a process.
    pub sequence: u64,
    pub body: Body,
    pub updates: Vec<Update>,
}

/// Why bytes were dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecodeError {
    /// Not of this protocol, or of another version.
    Foreign,
    /// Truncated, changed on the way, or not a valid packet.
    Corrupt,
    /// Of another installation.
    OtherInstallation,
}

/// A decoded packet; opaque to other crates.
#[derive(Debug)]
pub struct Decoded(pub(crate) Packet);

impl Packet {
    /// All cards in the packet, for validation.
    fn cards(&self) -> impl Iterator<Item = &Card> {
        let (members, single): (&[Update], Option<&Card>) = match &self.body {
            Body::View { members, .. } => (members, None),
            Body::PingRequest { card, .. } => (&[], Some(card)),
            Body::NameTaken { by } | Body::NameClaimed { by } => (&[], Some(by)),
            _ => (&[], None),
        };
        let cards = self.updates.iter().chain(members).map(|update| &update.card);
        cards.chain(single).chain([&self.from])
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEADER_BYTES];
        bytes[..MAGIC.len()].copy_from_slice(&MAGIC);
        // Encoding plain data can't fail.
        bytes.extend(postcard::to_stdvec(self).unwrap_or_default());
        let sum = crc32c::crc32c(&bytes[HEADER_BYTES..]);
        bytes[MAGIC.len()..HEADER_BYTES].copy_from_slice(&sum.to_le_bytes());
        bytes
    }
}

/// Encoded size of an update, bytes.
pub(crate) fn encoded_size(update: &Update) -> usize {
    postcard::experimental::serialized_size(update).unwrap_or(MAX_DATAGRAM_BYTES)
}

/// Decodes one datagram or frame.
///
/// # Errors
/// Why it is dropped. Nothing of a dropped packet is used.
pub fn decode(bytes: &[u8], installation: &str) -> Result<Decoded, DecodeError> {
    if bytes.len() < HEADER_BYTES || bytes[..MAGIC.len()] != MAGIC {
        return Err(DecodeError::Foreign);
    }
    let (sum, rest) = bytes[MAGIC.len()..].split_at(4);
    if crc32c::crc32c(rest).to_le_bytes() != sum {
        return Err(DecodeError::Corrupt);
    }
    let (packet, left): (Packet, _) = postcard::take_from_bytes(rest).map_err(|_| DecodeError::Corrupt)?;
    if !left.is_empty() || !packet.cards().all(is_valid) {
        return Err(DecodeError::Corrupt);
    }
    if packet.installation != installation {
        return Err(DecodeError::OtherInstallation);
    }
    Ok(Decoded(packet))
}

fn is_valid(card: &Card) -> bool {
    !card.name.is_empty() && card.name.len() <= MAX_NAME_BYTES && card.zone.len() <= MAX_ZONE_BYTES
}
