//! The messages of the PostgreSQL protocol that a member answers with.

use wharfplank_protocol::framing::{write_c_string, write_message};

/// The type id of `bytea`.
const BYTEA_TYPE: u32 = 17;
/// The SQLSTATE of a write at a member that is read-only.
const READ_ONLY_TRANSACTION: &str = "25006";
/// The SQLSTATE of a request that is rejected for overload.
const TOO_MANY_CONNECTIONS: &str = "53300";

/// The reason why a member rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rejection {
    /// A write came to a replica.
    NotPrimary,
    /// The member is overloaded or draining.
    Overloaded,
}

impl Rejection {
    fn sql_state(self) -> &'static str {
        match self {
            Rejection::NotPrimary => READ_ONLY_TRANSACTION,
            Rejection::Overloaded => TOO_MANY_CONNECTIONS,
        }
    }
}

/// The state that a member reports with each answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct MemberStatus {
    /// `primary` or `replica`.
    pub(super) role: &'static str,
    /// The position in Unix milliseconds.
    pub(super) position_ms: i64,
}

/// Writes a result of one row with one value.
pub(super) fn write_row(out: &mut Vec<u8>, value: &[u8], status: MemberStatus) {
    write_message(out, b'T', |out| {
        out.extend_from_slice(&1_u16.to_be_bytes());
        write_c_string(out, "payload");
        out.extend_from_slice(&[0; 6]);
        out.extend_from_slice(&BYTEA_TYPE.to_be_bytes());
        out.extend_from_slice(&(-1_i16).to_be_bytes());
        out.extend_from_slice(&(-1_i32).to_be_bytes());
        out.extend_from_slice(&1_u16.to_be_bytes());
    });
    write_message(out, b'D', |out| {
        out.extend_from_slice(&1_u16.to_be_bytes());
        out.extend_from_slice(&(value.len() as u32).to_be_bytes());
        out.extend_from_slice(value);
    });
    write_message(out, b'C', |out| write_c_string(out, "SELECT 1"));
    write_status(out, status);
}

/// Writes an error for a rejected request.
pub(super) fn write_rejection(out: &mut Vec<u8>, rejection: Rejection, status: MemberStatus) {
    write_message(out, b'E', |out| {
        for (field, value) in [(b'S', "ERROR"), (b'C', rejection.sql_state()), (b'M', "turned away")] {
            out.push(field);
            write_c_string(out, value);
        }
        out.push(0);
    });
    write_status(out, status);
}

fn write_status(out: &mut Vec<u8>, status: MemberStatus) {
    for (name, value) in [("role", status.role), ("applied_ms", &status.position_ms.to_string())] {
        write_message(out, b'S', |out| {
            write_c_string(out, name);
            write_c_string(out, value);
        });
    }
    write_message(out, b'Z', |out| out.push(b'I'));
}
