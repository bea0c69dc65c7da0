//! Framing of a membership message and a message of the replicated state in one datagram.
//!
//! A frame consists of a zero byte, the length of the membership message in two bytes (big-endian), that
//! message, and the message of the replicated state. A datagram that does not begin with a zero byte holds
//! only a membership message: no membership message begins with a zero byte.

/// The number of bytes that a frame adds to its messages.
pub const FRAME_OVERHEAD: usize = 3;

/// The first byte of a frame.
const FRAME_MARKER: u8 = 0;

/// The messages of one datagram. Either may be empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// The membership message.
    pub membership: &'a [u8],
    /// The message of the replicated state.
    pub shared_state: &'a [u8],
}

/// A frame cannot be decoded because it ends within its header or the membership message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("frame ends within its header or the membership message")]
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

    /// Decodes a datagram that is a frame or a bare membership message.
    ///
    /// # Errors
    ///
    /// Returns [`TruncatedFrame`] if the datagram begins like a frame and ends too early.
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
