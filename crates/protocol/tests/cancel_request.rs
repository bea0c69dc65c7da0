//! Encoded cancel requests, and the cancel key in the greeting.

use wharfplank_protocol::client_session::{CancelKey, ClientSession, Command};

const KEY: CancelKey = CancelKey { process_id: 0x0102_0304, secret: 0xa1b2_c3d4 };

/// Creates a session that has read these bytes.
fn session(bytes: &[u8]) -> ClientSession {
    let mut session = ClientSession::new(KEY);
    session.buffer.spare()[..bytes.len()].copy_from_slice(bytes);
    session.buffer.commit(bytes.len());
    session
}

/// Guards against a greeting with a key that does not identify the connection.
#[test]
fn greeting_contains_the_key() {
    let mut session = session(b"\0\0\0\x09\0\x03\0\0\0");
    assert_eq!(session.advance(), Ok(Some(Command::Started)));
    let expected = b"K\0\0\0\x0c\x01\x02\x03\x04\xa1\xb2\xc3\xd4";
    assert!(session.output.windows(expected.len()).any(|part| part == expected));
}

/// Guards against a response to a cancel request, and against parsing an incomplete one.
#[test]
fn cancel_request_is_parsed_without_response() {
    let complete = b"\0\0\0\x10\x04\xd2\x16\x2e\x01\x02\x03\x04\xa1\xb2\xc3\xd4";
    for prefix_length in 0..complete.len() {
        assert_eq!(session(&complete[..prefix_length]).advance(), Ok(None), "{prefix_length} bytes");
    }
    let mut session = session(complete);
    assert_eq!(session.advance(), Ok(Some(Command::Cancel(Some(KEY)))));
    assert!(session.output.is_empty());
}

/// Guards against a cancel request of the wrong length that is accepted because its first bytes are valid.
#[test]
fn cancel_request_of_wrong_length_has_no_key() {
    for extra in [-8_i32, -4, -1, 1, 4, 28] {
        let length = 16 + extra;
        let mut bytes = length.to_be_bytes().to_vec();
        bytes.extend(80_877_102_u32.to_be_bytes());
        bytes.extend([1, 2, 3, 4, 0xa1, 0xb2, 0xc3, 0xd4]);
        bytes.resize(length as usize, 0);
        assert_eq!(session(&bytes).advance(), Ok(Some(Command::Cancel(None))), "{length} bytes");
    }
}
