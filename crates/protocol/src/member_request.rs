//! The messages that the proxy sends to a member: the startup message and queries.

use super::framing::{write_c_string, write_message, write_untagged_message};

/// Version 3.0 of the PostgreSQL protocol, as encoded in the startup message.
const PROTOCOL_VERSION_3: u32 = 3 << 16;

/// Encodes the startup message.
pub fn startup_message(user: &str, database: &str) -> Vec<u8> {
    let mut out = Vec::new();
    write_untagged_message(&mut out, |out| {
        out.extend_from_slice(&PROTOCOL_VERSION_3.to_be_bytes());
        for part in ["user", user, "database", database] {
            write_c_string(out, part);
        }
        out.push(0);
    });
    out
}

/// Encodes a query message whose text is written by `write_text`.
pub fn query_message(write_text: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut out = Vec::new();
    write_message(&mut out, b'Q', |out| {
        write_text(out);
        out.push(0);
    });
    out
}
