//! The framing of PostgreSQL messages: an optional tag of one byte, a length that includes its own field, and
//! a body.

use thiserror::Error;

/// The size of the length field, in bytes.
const LENGTH_BYTES: usize = 4;

/// The size of the header before the body of a tagged message, in bytes.
pub const TAGGED_HEADER_BYTES: usize = 1 + LENGTH_BYTES;

/// Whether a message starts with a tag. Only a client's messages up to the startup message have none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// A tag of one byte precedes the length.
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

/// The reason why bytes are not a valid message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The length is smaller than the length field itself.
    #[error("message length is smaller than its own field")]
    InvalidLength,
    /// The length is greater than the reader accepts.
    #[error("message exceeds the maximum length")]
    TooLong,
}

/// Returns the length in bytes, tag included, of the message that `bytes` starts with, or `None` while the
/// length field is incomplete.
///
/// A length field above `max_length` is an error at once, so that the reader does not wait for the rest of
/// invalid data.
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

/// Appends a tagged message whose body is written by `write_body`.
pub fn write_message(out: &mut Vec<u8>, tag: u8, write_body: impl FnOnce(&mut Vec<u8>)) {
    out.push(tag);
    write_untagged_message(out, write_body);
}

/// Appends a message without a tag, whose body is written by `write_body`.
pub fn write_untagged_message(out: &mut Vec<u8>, write_body: impl FnOnce(&mut Vec<u8>)) {
    let start = out.len();
    out.extend_from_slice(&[0; LENGTH_BYTES]);
    write_body(out);
    let length = (out.len() - start) as u32;
    out[start..start + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
}

/// Appends a zero-terminated string.
pub fn write_c_string(out: &mut Vec<u8>, text: &str) {
    out.extend_from_slice(text.as_bytes());
    out.push(0);
}

/// Splits `bytes` at the first zero into the string before it and the bytes after it; `None` if there is no
/// zero.
pub fn split_c_string(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let zero = bytes.iter().position(|byte| *byte == 0)?;
    Some((&bytes[..zero], &bytes[zero + 1..]))
}
