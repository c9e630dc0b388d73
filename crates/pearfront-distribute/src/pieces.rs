//! Messages in pieces: a link carries two lanes, and what narrows goes between two pieces of what does not.

use crate::times::{LONGEST, PIECE};

/// The frames of one message: a byte that is 1 in the last, then the piece.
pub fn split_frames(message: &[u8]) -> Vec<Vec<u8>> {
    let count = message.len().div_ceil(PIECE).max(1);
    let piece = |place: usize| {
        let upto = message.len().min((place + 1) * PIECE);
        let mut frame = vec![u8::from(place + 1 == count)];
        frame.extend(&message[place * PIECE..upto]);
        frame
    };
    (0..count).map(piece).collect()
}

/// Puts the frames of one lane together again.
#[derive(Debug, Default)]
pub struct FrameAssembler {
    coming: Vec<u8>,
}

impl FrameAssembler {
    /// A frame came; a message, if it was the last of one.
    ///
    /// # Errors
    /// It is none, or the message is too long: the link is of no use any more.
    pub fn push(&mut self, frame: &[u8]) -> Result<Option<Vec<u8>>, String> {
        let Some((last, piece)) = frame.split_first() else { return Err("an empty frame".into()) };
        if self.coming.len() + piece.len() > LONGEST {
            return Err(format!("a message of more than {LONGEST} bytes"));
        }
        self.coming.extend(piece);
        match last {
            0 => Ok(None),
            1 => Ok(Some(std::mem::take(&mut self.coming))),
            other => Err(format!("a frame of kind {other}")),
        }
    }
}
