//! A client's request and its statement, independent of the protocol that carried them.

use crate::client_connection::ResponseWriter;
use std::ops::Range;
use std::rc::Rc;
use std::time::Instant;
use wharfplank_protocol::pipeline::RequestNumber;
use wharfplank_protocol::request_comment;

/// The text of a client's statement. It is stored once and shared by all attempts of its request.
#[derive(Debug)]
pub struct Statement {
    bytes: Vec<u8>,
    /// Where the value of the comment's `d` field (the remaining time) stands in `bytes`.
    timeout_range: Range<usize>,
}

impl Statement {
    /// Creates a statement from its bytes and the range of the value of `d` in them.
    pub fn new(bytes: Vec<u8>, timeout_range: Range<usize>) -> Self {
        Statement { bytes, timeout_range }
    }

    /// The statement without its leading comment and without surrounding white space.
    pub fn body(&self) -> &[u8] {
        let comment_end = self.bytes.windows(2).position(|pair| pair == b"*/");
        self.bytes[comment_end.map_or(0, |at| at + 2)..].trim_ascii()
    }

    /// Appends the statement to `out`, with `remaining_ms` milliseconds as its remaining time.
    pub(crate) fn write_with_timeout(&self, out: &mut Vec<u8>, remaining_ms: i64) {
        request_comment::write_with_deadline(out, &self.bytes, self.timeout_range.clone(), remaining_ms);
    }
}

/// A request as a client connection hands it to the broker.
#[derive(Debug)]
pub struct ClientRequest {
    /// The number of the request, unique in this process.
    pub number: RequestNumber,
    /// The id that the client gave the request.
    pub id: String,
    /// The name of the request's class.
    pub class: String,
    /// When the last byte of the request was read.
    pub arrived_at: Instant,
    /// How long the client waits from then on, in milliseconds.
    pub timeout_ms: u32,
    /// The group that the request is for.
    pub group: u64,
    /// The log position that a read must at least reflect, in Unix milliseconds.
    pub min_position_ms: Option<i64>,
    /// The key of the client's session.
    pub session_key: Option<String>,
    /// The statement that is forwarded to members.
    pub statement: Rc<Statement>,
    /// Where the one final response goes.
    pub response_writer: Rc<ResponseWriter>,
}
