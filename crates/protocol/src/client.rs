//! PostgreSQL's version 3 protocol from the client's side: how a member is asked and what it answers.

use super::buffer::{frame, message, text, untagged, until_zero, Buffer};
use std::ops::Range;

/// The longest row that is taken from a member, the longest of the other messages, and all the bytes of one
/// answer: noise must not be waited for as if it were a message.
const ROW_MOST: usize = 1024 * 1024;
const MESSAGE_MOST: usize = 16 * 1024;
const ANSWER_MOST: usize = ROW_MOST + 64 * 1024;

/// A member broke the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broken;

/// How a member answered a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// With a row.
    Row,
    /// Turned away untouched: not the primary, or too far behind.
    Miss,
    /// Turned away unseen: full, draining, or too many connections.
    Full,
    /// Not ready.
    NotReady,
    /// Without a row and without an error.
    Done,
    /// With anything else; it may have run.
    Error,
}

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    /// What it says.
    pub verdict: Verdict,
    /// The messages to pass on: the row's description, the row and the end of the command.
    pub messages: Vec<u8>,
    /// The value of the row's one column.
    pub value: Range<usize>,
    /// Whether the member is the primary, where it said so.
    pub primary: Option<bool>,
    /// Its position or the commit of a write, in Unix milliseconds.
    pub applied_ms: Option<i64>,
}

/// One member connection's side of the protocol.
#[derive(Debug, Default)]
pub struct Client {
    /// The bytes of the connection.
    pub buffer: Buffer,
    messages: Vec<u8>,
    /// The bytes of the present answer that were used.
    taken: usize,
    described: bool,
    rows: u32,
    completed: bool,
    value: Range<usize>,
    code: Option<[u8; 5]>,
    primary: Option<bool>,
    applied_ms: Option<i64>,
}

/// The startup message.
pub fn startup(user: &str, database: &str) -> Vec<u8> {
    let mut out = Vec::new();
    untagged(&mut out, |out| {
        out.extend_from_slice(&(3_u32 << 16).to_be_bytes());
        for part in ["user", user, "database", database] {
            text(out, part);
        }
        out.push(0);
    });
    out
}

/// A query message whose text `body` writes.
pub fn query(body: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut out = Vec::new();
    message(&mut out, b'Q', |out| {
        body(out);
        out.push(0);
    });
    out
}

impl Client {
    /// The answer to the startup message or to a query, once the member is ready for the next; `ended`
    /// says that no more bytes will come, when an error is an answer without that.
    ///
    /// The whole answer is checked before any of it is passed on: what a member spoilt must not reach a
    /// client as a value.
    pub fn advance(&mut self, ended: bool) -> Result<Option<Answer>, Broken> {
        loop {
            let most = match self.buffer.bytes().first() {
                Some(b'D') => ROW_MOST,
                Some(b'T' | b'C' | b'E' | b'S' | b'Z' | b'N' | b'A' | b'I' | b'R' | b'K' | b'v') => {
                    MESSAGE_MOST
                }
                Some(_) => return Err(Broken),
                None => 0,
            };
            let length = frame(self.buffer.bytes(), true, most).map_err(|_| Broken)?;
            let Some(length) = length.filter(|length| self.buffer.bytes().len() >= *length) else {
                return Ok((ended && self.code.is_some()).then(|| self.finish()));
            };
            let range = self.buffer.take(length);
            self.taken += length;
            let whole = self.buffer.at(range);
            let (tag, body) = (whole[0], &whole[5..]);
            let wrong = match tag {
                b'T' => std::mem::replace(&mut self.described, true) || !describes_one(body),
                b'D' => !self.described || self.completed || self.rows > 0,
                b'C' => std::mem::replace(&mut self.completed, true) || !is_text(body),
                b'R' => body != [0; 4],
                b'Z' => !matches!(body, [b'I' | b'T' | b'E']) || (self.described && !self.closed()),
                _ => false,
            };
            if wrong || self.taken > ANSWER_MOST {
                return Err(Broken);
            }
            match tag {
                b'T' | b'C' => self.messages.extend_from_slice(whole),
                b'D' => {
                    self.rows += 1;
                    self.value = column(body).ok_or(Broken)?;
                    let shift = self.messages.len() + 5;
                    self.value = self.value.start + shift..self.value.end + shift;
                    self.messages.extend_from_slice(whole);
                }
                b'E' => self.code = self.code.or(Some(code(body))),
                b'S' => {
                    let (name, rest) = until_zero(body).ok_or(Broken)?;
                    let (value, _) = until_zero(rest).ok_or(Broken)?;
                    let value = std::str::from_utf8(value).unwrap_or_default();
                    match (name, value) {
                        (b"role", "primary") => self.primary = Some(true),
                        (b"role", "replica") => self.primary = Some(false),
                        // A position is rounded down.
                        (b"applied_ms", _) => {
                            self.applied_ms = value.split('.').next().and_then(|v| v.parse().ok())
                        }
                        _ => {}
                    }
                }
                b'Z' => return Ok(Some(self.finish())),
                _ => {}
            }
        }
    }

    /// Whether the answer has begun to arrive and is not whole yet.
    pub fn begun(&self) -> bool {
        self.taken > 0 || !self.buffer.bytes().is_empty()
    }

    /// Whether a described answer came to its end: with its row, or with an error.
    fn closed(&self) -> bool {
        self.code.is_some() || (self.rows == 1 && self.completed)
    }

    fn finish(&mut self) -> Answer {
        let verdict = match self.code.as_ref().map(|code| &code[..]) {
            None if self.rows == 1 && self.completed => Verdict::Row,
            None if self.rows == 0 => Verdict::Done,
            Some(b"25006" | b"72000") => Verdict::Miss,
            Some(b"53300") => Verdict::Full,
            Some(b"57P03") => Verdict::NotReady,
            _ => Verdict::Error,
        };
        let client = std::mem::take(self);
        self.buffer = client.buffer;
        let (messages, value) = (client.messages, client.value);
        Answer { verdict, messages, value, primary: client.primary, applied_ms: client.applied_ms }
    }
}

/// Where the value of a row of one column stands in the body of its message.
fn column(body: &[u8]) -> Option<Range<usize>> {
    let length = u32::from_be_bytes(body.get(2..6)?.try_into().ok()?) as usize;
    (body[..2] == [0, 1] && body.len() == 6 + length).then_some(6..body.len())
}

/// Whether a description tells of one column.
fn describes_one(body: &[u8]) -> bool {
    let [0, 1, column @ ..] = body else { return false };
    until_zero(column).is_some_and(|(_, rest)| matches!(rest, [.., 0, 0 | 1] if rest.len() == 18))
}

fn is_text(body: &[u8]) -> bool {
    until_zero(body)
        .is_some_and(|(text, rest)| rest.is_empty() && text.iter().all(|b| (b' '..=b'~').contains(b)))
}

fn code(mut fields: &[u8]) -> [u8; 5] {
    while let [field, rest @ ..] = fields {
        let Some((value, rest)) = until_zero(rest) else { break };
        if *field == b'C' {
            return value.try_into().unwrap_or(*b"XX000");
        }
        fields = rest;
    }
    *b"XX000"
}

/// A load report: its values by name; positions are counted in seconds there. `None` where it cannot be
/// read, which is as if there were none: each of `columns` is there once, as a number, and nothing else.
pub fn report<'a>(text: &'a str, columns: &[String]) -> Option<Vec<(&'a str, &'a str)>> {
    let pair = |part: &'a str| {
        let (name, value) = part.split_once('=').map(|(name, value)| (name.trim(), value.trim()))?;
        value.parse().ok().filter(|v: &f64| v.is_finite()).map(|_| (name, value))
    };
    let values: Vec<_> = text.split(',').map(pair).collect::<Option<_>>()?;
    let once = |column: &String| values.iter().filter(|(name, _)| name == column).count() == 1;
    (values.len() == columns.len() && columns.iter().all(once)).then_some(values)
}

/// Seconds as microseconds, rounded down, without the detour of a floating number.
pub fn seconds(text: &str) -> Option<i64> {
    let (whole, part) = text.split_once('.').unwrap_or((text, ""));
    let mut micros: i64 = whole.parse::<i64>().ok()?.checked_mul(1_000_000)?;
    let mut unit = 100_000;
    for digit in part.bytes().take(6) {
        micros += i64::from(digit.checked_sub(b'0').filter(|d| *d <= 9)?) * unit;
        unit /= 10;
    }
    Some(micros)
}
