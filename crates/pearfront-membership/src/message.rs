//! The wire: one packet a datagram or frame. `decode` is the only way in, and takes nothing on trust.

use crate::member::{Card, Update};
use crate::times::{MAX_NAME_BYTES, MAX_ZONE_BYTES};
use serde::{Deserialize, Serialize};

/// Bytes of a datagram at the most: under what every path carries whole.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Bytes of a frame on a stream at the most: the whole view of the largest installation, with the longest names.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;
/// In front of each packet: what it is, and the version of its form.
const MAGIC: [u8; 3] = [b'p', b'm', 1];
/// Mark, check sum.
const HEADER_BYTES: usize = MAGIC.len() + 4;

/// What a packet is for. Numbers (`question`) tie an answer to its question; they are never used twice in a life.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Body {
    Ping {
        request_id: u64,
    },
    Ack {
        request_id: u64,
    },
    /// Try this one for me.
    PingRequest {
        request_id: u64,
        card: Card,
    },
    /// It did not answer me yet; so many ms ago I heard it, if I did.
    Nack {
        request_id: u64,
        heard_ago: Option<u32>,
    },
    /// I am new; a frame.
    Join {
        request_id: u64,
    },
    /// You are not new: another holds your name, there.
    NameTaken {
        by: Card,
    },
    /// One has come under your name, with this card.
    NameClaimed {
        by: Card,
    },
    /// Does your view have this sum? A frame.
    CompareViews {
        request_id: u64,
        sum: u32,
    },
    ViewsEqual {
        request_id: u64,
    },
    /// My whole view, in answer to that question of yours or unasked; `back` asks for the other's. The numbers of two
    /// processes have nothing to do with each other: an unasked one must not pass for an answer.
    View {
        answers: Option<u64>,
        back: bool,
        members: Vec<Update>,
    },
    Leave,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Packet {
    pub installation: String,
    pub from: Card,
    /// Rises with each packet of a life.
    pub sequence: u64,
    pub body: Body,
    pub updates: Vec<Update>,
}

/// Why bytes were dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecodeError {
    /// Not ours, or another version.
    Foreign,
    /// Cut, changed on the way, or no packet.
    Corrupt,
    /// Of another installation.
    OtherInstallation,
}

/// A packet that was read; opaque outside.
#[derive(Debug)]
pub struct Decoded(pub(crate) Packet);

impl Packet {
    /// All cards in it.
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
        // A packet is plain data: there is nothing in it that can't be written.
        bytes.extend(postcard::to_stdvec(self).unwrap_or_default());
        let sum = crc32c::crc32c(&bytes[HEADER_BYTES..]);
        bytes[MAGIC.len()..HEADER_BYTES].copy_from_slice(&sum.to_le_bytes());
        bytes
    }
}

/// Bytes that a piece of news takes in a packet.
pub(crate) fn encoded_size(update: &Update) -> usize {
    postcard::experimental::serialized_size(update).unwrap_or(MAX_DATAGRAM_BYTES)
}

/// Reads one datagram or frame.
///
/// # Errors
/// Why it is dropped; nothing of it counts then.
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
