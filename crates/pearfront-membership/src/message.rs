//! The wire: one packet a datagram or frame. `decode` is the only way in, and takes nothing on trust.

use crate::member::{Card, Update};
use crate::times::{MAX_NAME_BYTES, MAX_ZONE_BYTES};
use serde::{Deserialize, Serialize};

/// Bytes of a datagram at the most: under what every path carries whole.
pub const MAX_DATAGRAM_BYTES: usize = 1200;
/// Bytes of a frame on a stream at the most: the whole view of the largest installation, with the longest names.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;
/// In front of each packet: what it is, and the version of its form.
const MARK: [u8; 3] = [b'p', b'm', 1];
/// Mark, check sum.
const HEAD: usize = MARK.len() + 4;

/// What a packet is for. Numbers (`question`) tie an answer to its question; they are never used twice in a life.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Body {
    Ping {
        question: u64,
    },
    Ack {
        question: u64,
    },
    /// Try this one for me.
    Ask {
        question: u64,
        card: Card,
    },
    /// It did not answer me yet; so many ms ago I heard it, if I did.
    NotYet {
        question: u64,
        heard_ago: Option<u32>,
    },
    /// I am new; a frame.
    Join {
        question: u64,
    },
    /// You are not new: another holds your name, there.
    Taken {
        by: Card,
    },
    /// One has come under your name, with this card.
    Claimed {
        by: Card,
    },
    /// Does your view have this sum? A frame.
    Compare {
        question: u64,
        sum: u32,
    },
    Same {
        question: u64,
    },
    /// My whole view, in answer to that question of yours or unasked; `back` asks for the other's. The numbers of two
    /// processes have nothing to do with each other: an unasked one must not pass for an answer.
    View {
        answers: Option<u64>,
        back: bool,
        members: Vec<Update>,
    },
    Bye,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Packet {
    pub installation: String,
    pub from: Card,
    /// Rises with each packet of a life.
    pub number: u64,
    pub body: Body,
    pub news: Vec<Update>,
}

/// Why bytes were dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecodeError {
    /// Not ours, or another version.
    Foreign,
    /// Cut, changed on the way, or no packet.
    Garbled,
    /// Of another installation.
    Elsewhere,
}

/// A packet that was read; opaque outside.
#[derive(Debug)]
pub struct Decoded(pub(crate) Packet);

impl Packet {
    /// All cards in it.
    fn cards(&self) -> impl Iterator<Item = &Card> {
        let body: (&[Update], Option<&Card>) = match &self.body {
            Body::View { members, .. } => (members, None),
            Body::Ask { card, .. } => (&[], Some(card)),
            Body::Taken { by } | Body::Claimed { by } => (&[], Some(by)),
            _ => (&[], None),
        };
        let told = self.news.iter().chain(body.0).map(|news| &news.card);
        told.chain(body.1).chain([&self.from])
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEAD];
        bytes[..MARK.len()].copy_from_slice(&MARK);
        // A packet is plain data: there is nothing in it that can't be written.
        bytes.extend(postcard::to_stdvec(self).unwrap_or_default());
        let sum = crc32c::crc32c(&bytes[HEAD..]);
        bytes[MARK.len()..HEAD].copy_from_slice(&sum.to_le_bytes());
        bytes
    }
}

/// Bytes that a piece of news takes in a packet.
pub(crate) fn size(news: &Update) -> usize {
    postcard::experimental::serialized_size(news).unwrap_or(MAX_DATAGRAM_BYTES)
}

/// Reads one datagram or frame.
///
/// # Errors
/// Why it is dropped; nothing of it counts then.
pub fn decode(bytes: &[u8], installation: &str) -> Result<Decoded, DecodeError> {
    if bytes.len() < HEAD || bytes[..MARK.len()] != MARK {
        return Err(DecodeError::Foreign);
    }
    let (sum, rest) = bytes[MARK.len()..].split_at(4);
    if crc32c::crc32c(rest).to_le_bytes() != sum {
        return Err(DecodeError::Garbled);
    }
    let (packet, left): (Packet, _) = postcard::take_from_bytes(rest).map_err(|_| DecodeError::Garbled)?;
    if !left.is_empty() || !packet.cards().all(fits) {
        return Err(DecodeError::Garbled);
    }
    if packet.installation != installation {
        return Err(DecodeError::Elsewhere);
    }
    Ok(Decoded(packet))
}

fn fits(card: &Card) -> bool {
    !card.name.is_empty() && card.name.len() <= MAX_NAME_BYTES && card.zone.len() <= MAX_ZONE_BYTES
}
