//! Checks of the parts of a member's response: the description of one column, a row with one value and the
//! end of the command. A part that fails a check is never forwarded to a client.

use super::framing::{message_length, split_c_string, Framing, TAGGED_HEADER_BYTES};
use super::member_response::ProtocolError;

/// The maximum length of a row from a member, in bytes. Values reach 4 MiB; a length far above that is
/// invalid data, and the reader must not wait for its rest.
pub const MAX_ROW_BYTES: usize = 16 * 1024 * 1024;

/// The maximum length of a buffered row, in bytes. Such a row is checked to the end of its response before
/// any of it is forwarded, so that the request can be retried on another member if the response is malformed.
/// A longer row is streamed from its first byte on.
pub const MAX_BUFFERED_ROW_BYTES: usize = 64 * 1024;

/// The size of a row's header before its value, in bytes: the tag, the length, the number of columns and the
/// length of the value.
pub const ROW_HEADER_BYTES: usize = TAGGED_HEADER_BYTES + 2 + 4;

/// The number of columns of an accepted row, as encoded in the message.
const ONE_COLUMN: [u8; 2] = [0, 1];

/// The size of a column description after the name, in bytes: table, column, type, size, modifier and format.
const COLUMN_DESCRIPTION_BYTES: usize = 18;

/// The SQLSTATE that is assumed for an error without a valid code.
const INTERNAL_ERROR: [u8; 5] = *b"XX000";

/// Returns the length of the row message that `bytes` starts with, or `None` while its header is incomplete.
/// The row must have one column, and the lengths of the message and the value must be consistent.
pub fn row_length(bytes: &[u8]) -> Result<Option<usize>, ProtocolError> {
    let length = message_length(bytes, Framing::Tagged, MAX_ROW_BYTES).map_err(|_| ProtocolError)?;
    let header = bytes.get(TAGGED_HEADER_BYTES..ROW_HEADER_BYTES);
    let (Some(length), Some(header)) = (length, header) else { return Ok(None) };
    let (columns, value_length) = header.split_at(ONE_COLUMN.len());
    let value_length = value_length.iter().fold(0, |value, byte| value << 8 | usize::from(*byte));
    if columns != ONE_COLUMN || length != ROW_HEADER_BYTES + value_length {
        return Err(ProtocolError);
    }
    Ok(Some(length))
}

/// Returns whether the body of a row description describes exactly one column.
pub fn describes_one_column(body: &[u8]) -> bool {
    let [0, 1, column @ ..] = body else { return false };
    split_c_string(column).is_some_and(|(_, fields)| {
        fields.len() == COLUMN_DESCRIPTION_BYTES && matches!(fields, [.., 0, 0 | 1])
    })
}

/// Returns whether a body is one zero-terminated string of printable ASCII characters.
pub fn is_printable_c_string(body: &[u8]) -> bool {
    split_c_string(body)
        .is_some_and(|(text, rest)| rest.is_empty() && text.iter().all(|byte| (b' '..=b'~').contains(byte)))
}

/// Returns the SQLSTATE in the body of an error message.
pub fn sqlstate(mut fields: &[u8]) -> [u8; 5] {
    while let [field, rest @ ..] = fields {
        let Some((value, rest)) = split_c_string(rest) else { break };
        if *field == b'C' {
            return value.try_into().unwrap_or(INTERNAL_ERROR);
        }
        fields = rest;
    }
    INTERNAL_ERROR
}
