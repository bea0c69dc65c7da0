//! PostgreSQL's version 3 protocol from the server's side: what a client connection is read by and
//! answered with. Simple queries only.

use super::buffer::{frame, message, text, until_zero, Buffer, Malformed};
use super::pipeline::Answer;

/// The longest startup message and query that are taken: a value of 1 MiB is twice that in hex.
const STARTUP_MOST: usize = 10_000;
const QUERY_MOST: usize = 2 * 1024 * 1024 + 64 * 1024;

const VERSION_3: u32 = 3 << 16;
const CANCEL_REQUEST: u32 = 80_877_102;
const SSL_REQUEST: u32 = 80_877_103;
const GSS_REQUEST: u32 = 80_877_104;

/// What names a connection to those who would cancel its queries: the greeting tells it to the client alone, and a
/// cancel request has to name both.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Key {
    /// The connection's number, as PostgreSQL gives its process's.
    pub process: u32,
    /// Drawn at random.
    pub secret: u32,
}

/// What a client asks.
#[derive(Debug, PartialEq, Eq)]
pub enum Command<'a> {
    /// The startup is done: the greeting is in the output.
    Started,
    /// A query with nothing in it.
    Empty,
    /// A query.
    Query(&'a str),
    /// The client ends the connection.
    Terminate,
    /// The connection was for a cancel request, which gets no answer; `None` where it is malformed and names nothing.
    Cancel(Option<Key>),
}

/// Input that ends the connection, with the error that the client is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The SQLSTATE.
    pub code: &'static str,
    /// In words.
    pub what: &'static str,
}

/// One client's side of the protocol.
#[derive(Debug, Default)]
pub struct Server {
    /// The bytes of the connection.
    pub buffer: Buffer,
    /// What is to be written to the client.
    pub out: Vec<u8>,
    started: bool,
    key: Key,
}

impl Server {
    /// A connection that has said nothing yet, and the key that its greeting is to tell.
    pub fn new(key: Key) -> Self {
        Server { key, ..Server::default() }
    }

    /// The next thing that the client asks, once it is whole.
    pub fn advance(&mut self) -> Result<Option<Command<'_>>, Violation> {
        if !self.started {
            return self.startup();
        }
        let Some(length) = framed(&self.buffer, true, QUERY_MOST)? else { return Ok(None) };
        let range = self.buffer.take(length);
        let (tag, body) = match self.buffer.at(range) {
            [tag, _, _, _, _, body @ ..] => (*tag, body),
            _ => return Err(Violation { code: "08P01", what: "invalid message length" }),
        };
        match tag {
            b'Q' => {
                let query = until_zero(body).filter(|(_, rest)| rest.is_empty());
                let (query, _) = query.ok_or(Violation { code: "08P01", what: "invalid query message" })?;
                let query = std::str::from_utf8(query);
                let query = query.map_err(|_| Violation { code: "22021", what: "the query is not UTF-8" })?;
                let blank = query.bytes().all(|b| b.is_ascii_whitespace() || b == b';');
                Ok(Some(if blank { Command::Empty } else { Command::Query(query) }))
            }
            b'X' => Ok(Some(Command::Terminate)),
            b'P' | b'B' | b'D' | b'E' | b'C' | b'S' | b'H' | b'F' => {
                Err(Violation { code: "0A000", what: "only simple queries are supported" })
            }
            _ => Err(Violation { code: "08P01", what: "unknown message type" }),
        }
    }

    fn startup(&mut self) -> Result<Option<Command<'_>>, Violation> {
        loop {
            let Some(length) = framed(&self.buffer, false, STARTUP_MOST)? else { return Ok(None) };
            let range = self.buffer.take(length);
            let body = self.buffer.at(range);
            let Some(Ok(code)) = body.get(4..8).map(<[u8; 4]>::try_from) else {
                return Err(Violation { code: "08P01", what: "invalid startup message" });
            };
            match u32::from_be_bytes(code) {
                SSL_REQUEST | GSS_REQUEST => self.out.push(b'N'),
                CANCEL_REQUEST => return Ok(Some(Command::Cancel(named(&body[8..])))),
                version if version >> 16 == 3 => {
                    let options = options(&body[8..]);
                    let options =
                        options.ok_or(Violation { code: "08P01", what: "invalid startup message" })?;
                    if version != VERSION_3 || !options.is_empty() {
                        negotiate(&mut self.out, &options);
                    }
                    self.started = true;
                    greet(&mut self.out, self.key);
                    return Ok(Some(Command::Started));
                }
                _ => return Err(Violation { code: "0A000", what: "unsupported protocol version" }),
            }
        }
    }

    /// Answers an empty query.
    pub fn empty(&mut self) {
        message(&mut self.out, b'I', |_| {});
        self.ready();
    }

    /// Writes the final answer to a request. An error of these leaves the connection in use.
    pub fn answer(&mut self, answer: Answer) {
        let out = &mut self.out;
        match answer {
            Answer::Served(messages) if out.is_empty() => *out = messages,
            Answer::Served(messages) => out.extend_from_slice(&messages),
            Answer::Refused(after_ms) => {
                let detail = (after_ms > 0).then(|| after_ms.to_string());
                error(out, "ERROR", "53300", "refused: trying again is harmless", detail.as_deref());
            }
            Answer::Failed => error(out, "ERROR", "58000", "failed: it may have run", None),
            Answer::Cancelled => error(out, "ERROR", "57014", "cancelled on request: it may have run", None),
            Answer::Malformed(what) => error(out, "ERROR", "08P01", what, None),
        }
        self.ready();
    }

    /// The length of the command at the front of the buffer, once it is whole.
    pub fn length(&self) -> Option<usize> {
        framed(&self.buffer, self.started, if self.started { QUERY_MOST } else { STARTUP_MOST }).ok()?
    }

    /// Tells the client why the connection ends.
    pub fn fatal(&mut self, violation: Violation) {
        error(&mut self.out, "FATAL", violation.code, violation.what, None);
    }

    /// Ends an answer.
    pub fn ready(&mut self) {
        message(&mut self.out, b'Z', |out| out.push(b'I'));
    }
}

fn framed(buffer: &Buffer, tagged: bool, most: usize) -> Result<Option<usize>, Violation> {
    let length = frame(buffer.bytes(), tagged, most).map_err(|malformed| match malformed {
        Malformed::Length => Violation { code: "08P01", what: "invalid message length" },
        Malformed::TooLong => Violation { code: "54000", what: "message too long" },
    })?;
    Ok(length.filter(|length| buffer.bytes().len() >= *length))
}

/// What a cancel request names.
fn named(body: &[u8]) -> Option<Key> {
    let word = |at: usize| body.get(at..at + 4)?.try_into().ok().map(u32::from_be_bytes);
    let key = Key { process: word(0)?, secret: word(4)? };
    (body.len() == 8).then_some(key)
}

/// The protocol options that a startup message asks for; `None` when it is not well formed.
fn options(mut body: &[u8]) -> Option<Vec<String>> {
    let mut options = Vec::new();
    loop {
        let (name, rest) = until_zero(body)?;
        if name.is_empty() {
            return rest.is_empty().then_some(options);
        }
        let (_, rest) = until_zero(rest)?;
        if name.starts_with(b"_pq_.") {
            options.push(String::from_utf8_lossy(name).into_owned());
        }
        body = rest;
    }
}

fn negotiate(out: &mut Vec<u8>, options: &[String]) {
    message(out, b'v', |out| {
        out.extend_from_slice(&VERSION_3.to_be_bytes());
        out.extend_from_slice(&(options.len() as u32).to_be_bytes());
        options.iter().for_each(|name| text(out, name));
    });
}

fn greet(out: &mut Vec<u8>, key: Key) {
    message(out, b'R', |out| out.extend_from_slice(&[0; 4]));
    let parameters = [
        ("server_version", "15.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ];
    for (name, value) in parameters {
        message(out, b'S', |out| {
            text(out, name);
            text(out, value);
        });
    }
    message(out, b'K', |out| {
        out.extend_from_slice(&key.process.to_be_bytes());
        out.extend_from_slice(&key.secret.to_be_bytes());
    });
    message(out, b'Z', |out| out.push(b'I'));
}

fn error(out: &mut Vec<u8>, severity: &str, code: &str, what: &str, detail: Option<&str>) {
    message(out, b'E', |out| {
        let fields = [(b'S', severity), (b'V', severity), (b'C', code), (b'M', what)];
        for (field, value) in fields.into_iter().chain(detail.map(|d| (b'D', d))) {
            out.push(field);
            text(out, value);
        }
        out.push(0);
    });
}
