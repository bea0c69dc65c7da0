//! Discovery's HTTP/1.1, from the asking side: one answer at a time, by length or in chunks.

use super::buffer::Buffer;

/// The longest head and body that are taken.
const HEAD_MOST: usize = 16 * 1024;
const BODY_MOST: usize = 4 * 1024 * 1024;

/// Why an answer cannot be used.
pub type Flaw = &'static str;

/// A whole answer.
#[derive(Debug, PartialEq, Eq)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// Its body.
    pub body: Vec<u8>,
    /// Whether the connection can be used again.
    pub keep: bool,
}

#[derive(Clone, Copy, Debug)]
enum Body {
    Length(usize),
    Chunked,
    UntilEnd,
}

/// Reads answers out of the bytes of a connection.
#[derive(Debug, Default)]
pub struct Reader {
    /// The bytes of the connection.
    pub buffer: Buffer,
    head: Option<(u16, Body, bool)>,
    body: Vec<u8>,
}

/// The request line and head of a GET.
pub fn get(target: &str, host: &str) -> Vec<u8> {
    format!("GET {target} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n").into_bytes()
}

impl Reader {
    /// The next answer, once it is whole; `ended` says that no more bytes will come.
    pub fn advance(&mut self, ended: bool) -> Result<Option<Answer>, Flaw> {
        if self.head.is_none() && !self.read_head()? {
            return Ok(None);
        }
        let Some((status, body, keep)) = self.head else { return Ok(None) };
        let whole = match body {
            Body::Length(length) => {
                if length > BODY_MOST {
                    return Err("the body is too long");
                }
                let have = self.buffer.bytes().len();
                if have >= length {
                    self.move_body(length);
                }
                have >= length
            }
            Body::UntilEnd => {
                let have = self.buffer.bytes().len();
                self.move_body(have);
                ended
            }
            Body::Chunked => self.read_chunks()?,
        };
        if self.body.len() > BODY_MOST || self.buffer.bytes().len() > BODY_MOST {
            return Err("the body is too long");
        }
        if !whole {
            return Ok(None);
        }
        self.head = None;
        Ok(Some(Answer { status, body: std::mem::take(&mut self.body), keep }))
    }

    fn move_body(&mut self, length: usize) {
        let range = self.buffer.take(length);
        self.body.extend_from_slice(self.buffer.at(range));
    }

    fn read_head(&mut self) -> Result<bool, Flaw> {
        let bytes = self.buffer.bytes();
        let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n") else {
            return if bytes.len() > HEAD_MOST { Err("the head is too long") } else { Ok(false) };
        };
        let head = std::str::from_utf8(&bytes[..end]).map_err(|_| "the head is not text")?;
        let mut lines = head.split("\r\n");
        let mut first = lines.next().unwrap_or_default().split(' ');
        let version = first.next().unwrap_or_default();
        if !version.starts_with("HTTP/1.") {
            return Err("the answer is not HTTP/1.1");
        }
        let status = first.next().and_then(|s| s.parse().ok()).ok_or("the answer has no status")?;
        let (mut body, mut keep) = (Body::UntilEnd, version != "HTTP/1.0");
        for line in lines {
            let Some((name, value)) = line.split_once(':') else { continue };
            let value = value.trim();
            if name.eq_ignore_ascii_case("content-length") && !matches!(body, Body::Chunked) {
                body = Body::Length(value.parse().map_err(|_| "the length is not a number")?);
            } else if name.eq_ignore_ascii_case("transfer-encoding") && value.eq_ignore_ascii_case("chunked")
            {
                body = Body::Chunked;
            } else if name.eq_ignore_ascii_case("connection") {
                keep = !value.eq_ignore_ascii_case("close");
            }
        }
        self.buffer.take(end + 4);
        self.head = Some((status, body, keep && !matches!(body, Body::UntilEnd)));
        Ok(true)
    }

    /// Moves whole chunks to the body; true at the last one.
    fn read_chunks(&mut self) -> Result<bool, Flaw> {
        loop {
            let bytes = self.buffer.bytes();
            let Some(line) = bytes.windows(2).position(|w| w == b"\r\n") else {
                return if bytes.len() > HEAD_MOST { Err("a chunk has no size") } else { Ok(false) };
            };
            let size = std::str::from_utf8(&bytes[..line]).unwrap_or_default();
            let size = size.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| "a chunk has no size")?;
            if size > BODY_MOST || self.body.len() + size > BODY_MOST {
                return Err("the body is too long");
            }
            if bytes.len() < line + 2 + size + 2 {
                return Ok(false);
            }
            self.buffer.take(line + 2);
            self.move_body(size);
            self.buffer.take(2);
            if size == 0 {
                return Ok(true);
            }
        }
    }
}
