//! Messages in frames. A link carries two lanes, one of them urgent: a restriction can go between two frames of a long update.

use crate::times::{FRAME_BYTES, MAX_MESSAGE_BYTES};

/// The frames of one message: a flag byte, 1 in the last frame and 0 in the others, then a part of the message.
pub fn split_frames(message: &[u8]) -> Vec<Vec<u8>> {
    let count = message.len().div_ceil(FRAME_BYTES).max(1);
    let frame_at = |index: usize| {
        let end = message.len().min((index + 1) * FRAME_BYTES);
        let mut frame = vec![u8::from(index + 1 == count)];
        frame.extend(&message[index * FRAME_BYTES..end]);
        frame
    };
    (0..count).map(frame_at).collect()
}

/// Puts the frames of one lane together again.
#[derive(Debug, Default)]
pub struct FrameAssembler {
    buffer: Vec<u8>,
}

impl FrameAssembler {
    /// Takes a frame; returns the message if it was the last of one.
    ///
    /// # Errors
    /// The frame is malformed, or the message too long: the link has to be closed.
    pub fn push(&mut self, frame: &[u8]) -> Result<Option<Vec<u8>>, String> {
        let Some((last, payload)) = frame.split_first() else { return Err("empty frame".into()) };
        if self.buffer.len() + payload.len() > MAX_MESSAGE_BYTES {
            return Err(format!("message longer than {MAX_MESSAGE_BYTES} bytes"));
        }
        self.buffer.extend(payload);
        match last {
            0 => Ok(None),
            1 => Ok(Some(std::mem::take(&mut self.buffer))),
            other => Err(format!("unknown frame kind {other}")),
        }
    }
}
