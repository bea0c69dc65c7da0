//! Cancel requests as bytes: what a greeting tells, and what a cancel request names.

use wharfplank_protocol::client_session::{CancelKey, ClientSession, Command};

const KEY: CancelKey = CancelKey { process_id: 0x0102_0304, secret: 0xa1b2_c3d4 };

fn server(bytes: &[u8]) -> ClientSession {
    let mut server = ClientSession::new(KEY);
    server.buffer.spare()[..bytes.len()].copy_from_slice(bytes);
    server.buffer.commit(bytes.len());
    server
}

/// Guards against a greeting whose key names nothing.
#[test]
fn the_greeting_tells_the_key() {
    let mut server = server(b"\0\0\0\x09\0\x03\0\0\0");
    assert_eq!(server.advance(), Ok(Some(Command::Started)));
    let wanted = b"K\0\0\0\x0c\x01\x02\x03\x04\xa1\xb2\xc3\xd4";
    assert!(server.output.windows(wanted.len()).any(|part| part == wanted));
}

/// Guards against a cancel request that is answered, or read in part.
#[test]
fn a_cancel_request_names_a_key() {
    let whole = b"\0\0\0\x10\x04\xd2\x16\x2e\x01\x02\x03\x04\xa1\xb2\xc3\xd4";
    for cut in 0..whole.len() {
        assert_eq!(server(&whole[..cut]).advance(), Ok(None), "{cut} bytes");
    }
    let mut server = server(whole);
    assert_eq!(server.advance(), Ok(Some(Command::Cancel(Some(KEY)))));
    assert!(server.output.is_empty());
}

/// Guards against a cancel request of another length that is taken for what its first bytes name.
#[test]
fn a_malformed_cancel_request_names_nothing() {
    for extra in [-8_i32, -4, -1, 1, 4, 28] {
        let length = 16 + extra;
        let mut bytes = length.to_be_bytes().to_vec();
        bytes.extend(80_877_102_u32.to_be_bytes());
        bytes.extend([1, 2, 3, 4, 0xa1, 0xb2, 0xc3, 0xd4]);
        bytes.resize(length as usize, 0);
        assert_eq!(server(&bytes).advance(), Ok(Some(Command::Cancel(None))), "{length} bytes");
    }
}
