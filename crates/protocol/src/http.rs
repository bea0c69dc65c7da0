//! The client side of HTTP/1.1 for service discovery. Reads one response at a time, whose body is delimited
//! by its length, by chunks or by the end of the connection.

use super::read_buffer::ReadBuffer;
use thiserror::Error;

/// The maximum length of a head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The maximum length of a body, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

const LINE_END: &[u8] = b"\r\n";
const HEAD_END: &[u8] = b"\r\n\r\n";

/// The reason why a response is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HttpError {
    /// The head exceeds the maximum length.
    #[error("HTTP response head exceeds the maximum length")]
    HeadTooLong,
    /// The head is not UTF-8.
    #[error("HTTP response head is not UTF-8")]
    HeadNotUtf8,
    /// The status line states another protocol.
    #[error("response is not HTTP/1.x")]
    NotHttp,
    /// The status line has no status code.
    #[error("HTTP response has no status code")]
    NoStatus,
    /// `Content-Length` is not a number.
    #[error("HTTP response has an invalid Content-Length")]
    InvalidLength,
    /// A chunk does not start with its size.
    #[error("HTTP response has an invalid chunk size")]
    InvalidChunkSize,
    /// The body exceeds the maximum length.
    #[error("HTTP response body exceeds the maximum length")]
    BodyTooLong,
}

/// A complete response.
#[derive(Debug, PartialEq, Eq)]
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the connection can be reused.
    pub keep_alive: bool,
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug)]
enum BodyFraming {
    Length(usize),
    Chunked,
    UntilClose,
}

/// The parsed head of a response.
#[derive(Clone, Copy, Debug)]
struct Head {
    status: u16,
    framing: BodyFraming,
    keep_alive: bool,
}

/// Reads responses from the bytes of a connection.
#[derive(Debug, Default)]
pub struct HttpResponseReader {
    /// The bytes of the connection.
    pub buffer: ReadBuffer,
    head: Option<Head>,
    body: Vec<u8>,
}

/// Encodes a GET request.
pub fn get_request(target: &str, host: &str) -> Vec<u8> {
    format!("GET {target} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n").into_bytes()
}

impl HttpResponseReader {
    /// Returns the next response once it is complete. `is_closed` states that no more bytes will come.
    pub fn advance(&mut self, is_closed: bool) -> Result<Option<HttpResponse>, HttpError> {
        if self.head.is_none() {
            self.head = self.read_head()?;
        }
        let Some(head) = self.head else { return Ok(None) };
        let is_complete = match head.framing {
            BodyFraming::Length(length) => self.read_sized_body(length)?,
            BodyFraming::UntilClose => {
                let available = self.buffer.unread().len();
                self.move_to_body(available);
                is_closed
            }
            BodyFraming::Chunked => self.read_chunks()?,
        };
        if self.body.len() > MAX_BODY_BYTES || self.buffer.unread().len() > MAX_BODY_BYTES {
            return Err(HttpError::BodyTooLong);
        }
        if !is_complete {
            return Ok(None);
        }
        self.head = None;
        let body = std::mem::take(&mut self.body);
        Ok(Some(HttpResponse { status: head.status, body, keep_alive: head.keep_alive }))
    }

    /// Moves `length` bytes from the buffer to the body.
    fn move_to_body(&mut self, length: usize) {
        let range = self.buffer.consume(length);
        self.body.extend_from_slice(self.buffer.get(range));
    }

    /// Reads a body of a known length once all of it has arrived.
    fn read_sized_body(&mut self, length: usize) -> Result<bool, HttpError> {
        if length > MAX_BODY_BYTES {
            return Err(HttpError::BodyTooLong);
        }
        let is_complete = self.buffer.unread().len() >= length;
        if is_complete {
            self.move_to_body(length);
        }
        Ok(is_complete)
    }

    /// Reads the head once it is complete.
    fn read_head(&mut self) -> Result<Option<Head>, HttpError> {
        let bytes = self.buffer.unread();
        let Some(end) = find(bytes, HEAD_END) else {
            return if bytes.len() > MAX_HEAD_BYTES { Err(HttpError::HeadTooLong) } else { Ok(None) };
        };
        let text = std::str::from_utf8(&bytes[..end]).map_err(|_| HttpError::HeadNotUtf8)?;
        let head = Head::parse(text)?;
        self.buffer.consume(end + HEAD_END.len());
        Ok(Some(head))
    }

    /// Moves complete chunks to the body. Returns true after the last one.
    fn read_chunks(&mut self) -> Result<bool, HttpError> {
        loop {
            let bytes = self.buffer.unread();
            let Some(line) = find(bytes, LINE_END) else {
                let is_too_long = bytes.len() > MAX_HEAD_BYTES;
                return if is_too_long { Err(HttpError::InvalidChunkSize) } else { Ok(false) };
            };
            let size = chunk_size(&bytes[..line])?;
            if size > MAX_BODY_BYTES || self.body.len() + size > MAX_BODY_BYTES {
                return Err(HttpError::BodyTooLong);
            }
            if bytes.len() < line + LINE_END.len() + size + LINE_END.len() {
                return Ok(false);
            }
            self.buffer.consume(line + LINE_END.len());
            self.move_to_body(size);
            self.buffer.consume(LINE_END.len());
            if size == 0 {
                return Ok(true);
            }
        }
    }
}

impl Head {
    fn parse(text: &str) -> Result<Head, HttpError> {
        let mut lines = text.split("\r\n");
        let mut status_line = lines.next().unwrap_or_default().split(' ');
        let version = status_line.next().unwrap_or_default();
        if !version.starts_with("HTTP/1.") {
            return Err(HttpError::NotHttp);
        }
        let status = status_line.next().and_then(|status| status.parse().ok()).ok_or(HttpError::NoStatus)?;
        let mut framing = BodyFraming::UntilClose;
        let mut keep_alive = version != "HTTP/1.0";
        for line in lines {
            let Some((name, value)) = line.split_once(':') else { continue };
            let value = value.trim();
            let is_header = |header: &str| name.eq_ignore_ascii_case(header);
            if is_header("content-length") && !matches!(framing, BodyFraming::Chunked) {
                let length = value.parse().map_err(|_| HttpError::InvalidLength)?;
                framing = BodyFraming::Length(length);
            } else if is_header("transfer-encoding") && value.eq_ignore_ascii_case("chunked") {
                framing = BodyFraming::Chunked;
            } else if is_header("connection") {
                keep_alive = !value.eq_ignore_ascii_case("close");
            }
        }
        // After a body that ends with the connection there is no connection to reuse.
        keep_alive &= !matches!(framing, BodyFraming::UntilClose);
        Ok(Head { status, framing, keep_alive })
    }
}

/// Parses the line before a chunk; extensions after a semicolon are ignored.
fn chunk_size(line: &[u8]) -> Result<usize, HttpError> {
    let text = std::str::from_utf8(line).unwrap_or_default();
    let size = text.split(';').next().unwrap_or_default().trim();
    usize::from_str_radix(size, 16).map_err(|_| HttpError::InvalidChunkSize)
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}
