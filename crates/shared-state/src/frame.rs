//! Framing: how a message of the replicated state shares a datagram with one of the membership.
//!
//! A frame is a zero byte, the length of the membership's message in two bytes (big-endian), that message, and the
//! message of the replicated state. A datagram that does not begin with a zero byte is the membership's alone: none of
//! its messages begins so.

/// How many bytes a frame adds to its messages.
pub const FRAME_OVERHEAD: usize = 3;

/// The first byte of a frame.
const FRAME_MARKER: u8 = 0;

/// The messages of one datagram; each may be empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// The membership's message.
    pub membership: &'a [u8],
    /// The message of the replicated state.
    pub shared_state: &'a [u8],
}

/// A frame cannot be decoded: it ends before the membership's message does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("truncated frame")]
pub struct TruncatedFrame;

impl<'a> Frame<'a> {
    /// Encodes the messages as one datagram.
    pub fn encode(&self) -> Vec<u8> {
        let mut datagram =
            Vec::with_capacity(FRAME_OVERHEAD + self.membership.len() + self.shared_state.len());
        datagram.push(FRAME_MARKER);
        datagram.extend_from_slice(&(self.membership.len() as u16).to_be_bytes());
        datagram.extend_from_slice(self.membership);
        datagram.extend_from_slice(self.shared_state);
        datagram
    }

    /// Decodes a datagram, framed or of the membership alone.
    ///
    /// # Errors
    ///
    /// Returns [`TruncatedFrame`] if the datagram begins as a frame does and ends too early.
    pub fn decode(datagram: &'a [u8]) -> Result<Frame<'a>, TruncatedFrame> {
        let Some((&FRAME_MARKER, rest)) = datagram.split_first() else {
            return Ok(Frame { membership: datagram, shared_state: &[] });
        };
        let (length, rest) = rest.split_first_chunk::<2>().ok_or(TruncatedFrame)?;
        let length = usize::from(u16::from_be_bytes(*length));
        let (membership, shared_state) = rest.split_at_checked(length).ok_or(TruncatedFrame)?;
        Ok(Frame { membership, shared_state })
    }
}
