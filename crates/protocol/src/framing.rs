//! The framing of PostgreSQL messages: an optional tag of one byte, a length that counts itself, and a body.

use thiserror::Error;

/// The bytes of the length field.
const LENGTH_BYTES: usize = 4;

/// The bytes before the body of a tagged message.
pub const TAGGED_HEADER_BYTES: usize = 1 + LENGTH_BYTES;

/// Whether a message starts with a tag; only the first message of a connection has none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// A tag of one byte stands before the length.
    Tagged,
    /// The message starts with its length.
    Untagged,
}

impl Framing {
    fn tag_bytes(self) -> usize {
        match self {
            Framing::Tagged => 1,
            Framing::Untagged => 0,
        }
    }
}

/// Why bytes cannot be a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The length is smaller than the length field itself.
    #[error("the message length is impossible")]
    InvalidLength,
    /// The length is greater than what the reader accepts.
    #[error("the message is too long")]
    TooLong,
}

/// Returns the length in bytes, tag included, of the message that `bytes` starts with, or `None` while the length
/// field is incomplete.
///
/// A length field above `max_length` is an error at once, so that noise is not waited for as if it were a message.
pub fn message_length(
    bytes: &[u8],
    framing: Framing,
    max_length: usize,
) -> Result<Option<usize>, FrameError> {
    let tag_bytes = framing.tag_bytes();
    let field = bytes.get(tag_bytes..tag_bytes + LENGTH_BYTES).map(<[u8; LENGTH_BYTES]>::try_from);
    let Some(Ok(field)) = field else { return Ok(None) };
    let length = u32::from_be_bytes(field) as usize;
    if length < LENGTH_BYTES {
        return Err(FrameError::InvalidLength);
    }
    if length > max_length {
        return Err(FrameError::TooLong);
    }
    Ok(Some(length + tag_bytes))
}

/// Appends a tagged message whose body `write_body` writes.
pub fn write_message(out: &mut Vec<u8>, tag: u8, write_body: impl FnOnce(&mut Vec<u8>)) {
    out.push(tag);
    write_untagged_message(out, write_body);
}

/// Appends a message without a tag whose body `write_body` writes.
pub fn write_untagged_message(out: &mut Vec<u8>, write_body: impl FnOnce(&mut Vec<u8>)) {
    let start = out.len();
    out.extend_from_slice(&[0; LENGTH_BYTES]);
    write_body(out);
    let length = (out.len() - start) as u32;
    out[start..start + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
}

/// Appends a string with its terminating zero.
pub fn write_c_string(out: &mut Vec<u8>, text: &str) {
    out.extend_from_slice(text.as_bytes());
    out.push(0);
}

/// Splits `bytes` at its first zero into a string and the bytes after the zero; `None` if there is no zero.
pub fn split_c_string(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let zero = bytes.iter().position(|byte| *byte == 0)?;
    Some((&bytes[..zero], &bytes[zero + 1..]))
}
