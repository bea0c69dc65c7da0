//! Messages that a member sends.

/// The body of a row description with one column.
const ROW_DESCRIPTION: &[u8] = b"\0\x01payload\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";

/// Encodes a message.
pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    [&[tag][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

/// Returns the messages that complete the startup.
pub fn startup_response() -> Vec<u8> {
    [message(b'R', &[0; 4]), message(b'Z', b"I")].concat()
}

/// Returns a complete response with a value of one byte.
pub fn row(value: u8) -> Vec<u8> {
    let row = message(b'D', &[0, 1, 0, 0, 0, 1, value]);
    [message(b'T', ROW_DESCRIPTION), row, message(b'C', b"SELECT 1\0"), message(b'Z', b"I")].concat()
}

/// Returns the response to an empty query.
pub fn empty_query_response() -> Vec<u8> {
    [message(b'I', b""), message(b'Z', b"I")].concat()
}

/// Returns an error message with this code.
pub fn error(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes())
}
