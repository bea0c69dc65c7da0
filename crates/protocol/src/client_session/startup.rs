//! The first messages of a client connection: startup, encryption and cancel requests, and the greeting.

use super::{CancelKey, ProtocolViolation, INVALID_STARTUP, UNSUPPORTED_VERSION};
use crate::framing::{split_c_string, write_c_string, write_message};

/// Protocol version 3.0, as encoded in the startup message.
pub(super) const PROTOCOL_VERSION_3: u32 = 3 << 16;
const CANCEL_REQUEST: u32 = 80_877_102;
const SSL_REQUEST: u32 = 80_877_103;
const GSS_REQUEST: u32 = 80_877_104;

/// The name prefix of protocol options; other parameters are ignored.
const OPTION_PREFIX: &[u8] = b"_pq_.";

/// The parameters that are reported in the greeting.
const SERVER_PARAMETERS: [(&str, &str); 6] = [
    ("server_version", "15.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// A message from a client before the startup is complete.
pub(super) enum StartupRequest {
    /// A request for TLS or GSS encryption.
    Encryption,
    /// A cancel request; `None` if it is malformed.
    Cancel(Option<CancelKey>),
    /// The startup message, with the names of the requested protocol options.
    Start { version: u32, options: Vec<String> },
}

impl StartupRequest {
    /// Parses a complete message, including its length field.
    pub(super) fn parse(message: &[u8]) -> Result<Self, ProtocolViolation> {
        let code = read_u32(message, 4).ok_or(INVALID_STARTUP)?;
        let body = &message[8..];
        match code {
            SSL_REQUEST | GSS_REQUEST => Ok(StartupRequest::Encryption),
            CANCEL_REQUEST => Ok(StartupRequest::Cancel(parse_cancel_key(body))),
            version if version >> 16 == 3 => {
                let options = parse_options(body).ok_or(INVALID_STARTUP)?;
                Ok(StartupRequest::Start { version, options })
            }
            _ => Err(UNSUPPORTED_VERSION),
        }
    }
}

fn read_u32(bytes: &[u8], at: usize) -> Option<u32> {
    bytes.get(at..at + 4)?.try_into().ok().map(u32::from_be_bytes)
}

fn parse_cancel_key(body: &[u8]) -> Option<CancelKey> {
    let key = CancelKey { process_id: read_u32(body, 0)?, secret: read_u32(body, 4)? };
    (body.len() == 8).then_some(key)
}

/// Returns the names of the protocol options among the parameters of a startup message; `None` if it is
/// malformed.
fn parse_options(mut body: &[u8]) -> Option<Vec<String>> {
    let mut options = Vec::new();
    loop {
        let (name, rest) = split_c_string(body)?;
        if name.is_empty() {
            return rest.is_empty().then_some(options);
        }
        let (_value, rest) = split_c_string(rest)?;
        if name.starts_with(OPTION_PREFIX) {
            options.push(String::from_utf8_lossy(name).into_owned());
        }
        body = rest;
    }
}

/// Writes a message that the session uses version 3.0 and supports none of the protocol options.
pub(super) fn write_version_negotiation(out: &mut Vec<u8>, options: &[String]) {
    write_message(out, b'v', |out| {
        out.extend_from_slice(&PROTOCOL_VERSION_3.to_be_bytes());
        out.extend_from_slice(&(options.len() as u32).to_be_bytes());
        options.iter().for_each(|name| write_c_string(out, name));
    });
}

/// Writes the greeting: authentication without a password, the parameters and the cancel key.
pub(super) fn write_greeting(out: &mut Vec<u8>, key: CancelKey) {
    write_message(out, b'R', |out| out.extend_from_slice(&[0; 4]));
    for (name, value) in SERVER_PARAMETERS {
        write_message(out, b'S', |out| {
            write_c_string(out, name);
            write_c_string(out, value);
        });
    }
    write_message(out, b'K', |out| {
        out.extend_from_slice(&key.process_id.to_be_bytes());
        out.extend_from_slice(&key.secret.to_be_bytes());
    });
}
