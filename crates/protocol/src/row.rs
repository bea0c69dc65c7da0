//! The parts that the response of a member consists of: the description of one column, a row of one value and the
//! end of the command. What fails a check here never reaches a client.

use super::framing::{message_length, split_c_string, Framing, TAGGED_HEADER_BYTES};
use super::member_response::ProtocolError;

/// The longest row, in bytes, that is accepted from a member. Values reach 4 MiB; a length far past that is noise
/// and must not be waited for.
pub const MAX_ROW_BYTES: usize = 16 * 1024 * 1024;

/// A row of up to this many bytes is checked to the end of its response before any of it is forwarded, so that a
/// malformed one can be retried elsewhere. A longer row is streamed from its first byte on.
pub const MAX_BUFFERED_ROW_BYTES: usize = 64 * 1024;

/// The bytes of the message of a row before its value: the tag, the length, the number of columns and the length of the
/// value.
pub const ROW_HEADER_BYTES: usize = TAGGED_HEADER_BYTES + 2 + 4;

/// The number of columns of an accepted row, as the message encodes it.
const ONE_COLUMN: [u8; 2] = [0, 1];

/// The fields of a column description after its name: table, column, type, size, modifier and format.
const COLUMN_DESCRIPTION_BYTES: usize = 18;

/// The SQLSTATE of an error that carries no usable code.
const INTERNAL_ERROR: [u8; 5] = *b"XX000";

/// Returns the length of the whole message of the row that `bytes` starts with, or `None` while its header is
/// incomplete. The row must have one column, and its lengths must agree.
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

/// Whether the body of a row description describes just one column.
pub fn describes_one_column(body: &[u8]) -> bool {
    let [0, 1, column @ ..] = body else { return false };
    split_c_string(column).is_some_and(|(_, fields)| {
        fields.len() == COLUMN_DESCRIPTION_BYTES && matches!(fields, [.., 0, 0 | 1])
    })
}

/// Whether a body is one zero-terminated string of printable ASCII characters.
pub fn is_printable_c_string(body: &[u8]) -> bool {
    split_c_string(body)
        .is_some_and(|(text, rest)| rest.is_empty() && text.iter().all(|byte| (b' '..=b'~').contains(byte)))
}

/// The SQLSTATE in the body of an error message.
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
