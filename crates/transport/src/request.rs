//! Client requests and their statements, independent of the wire protocol.

use crate::client_connection::ResponseWriter;
use std::ops::Range;
use std::rc::Rc;
use std::time::Instant;
use wharfplank_protocol::pipeline::RequestNumber;
use wharfplank_protocol::request_comment;

/// The text of a client's statement, shared by all attempts of its request.
#[derive(Debug)]
pub struct Statement {
    bytes: Vec<u8>,
    /// The range in `bytes` of the value of the comment's `d` field (the remaining time).
    timeout_range: Range<usize>,
}

impl Statement {
    /// Creates a statement from its bytes and the range of the value of `d`.
    pub fn new(bytes: Vec<u8>, timeout_range: Range<usize>) -> Self {
        Statement { bytes, timeout_range }
    }

    /// Returns the statement without its leading comment and surrounding white space.
    pub fn body(&self) -> &[u8] {
        let comment_end = self.bytes.windows(2).position(|pair| pair == b"*/");
        self.bytes[comment_end.map_or(0, |at| at + 2)..].trim_ascii()
    }

    /// Appends the statement to `out`, with `remaining_ms` milliseconds as its remaining time.
    pub(crate) fn write_with_timeout(&self, out: &mut Vec<u8>, remaining_ms: i64) {
        request_comment::write_with_deadline(out, &self.bytes, self.timeout_range.clone(), remaining_ms);
    }
}

/// A request that a client connection sends to the broker.
#[derive(Debug)]
pub struct ClientRequest {
    /// The number of the request, unique in this process.
    pub number: RequestNumber,
    /// The request ID that the client assigned.
    pub id: String,
    /// The name of the request's class.
    pub class: String,
    /// When the last byte of the request was read.
    pub arrived_at: Instant,
    /// The time for which the client waits after `arrived_at`, in milliseconds.
    pub timeout_ms: u32,
    /// The group that the request is for.
    pub group: u64,
    /// The minimum log position that a read must reflect, in Unix milliseconds.
    pub min_position_ms: Option<i64>,
    /// The key of the client's session.
    pub session_key: Option<String>,
    /// The statement that is forwarded to members.
    pub statement: Rc<Statement>,
    /// The writer that receives the single final response.
    pub response_writer: Rc<ResponseWriter>,
}
