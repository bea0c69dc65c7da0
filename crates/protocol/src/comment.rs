//! The comment that a client's statement starts with, and what it says of the request.

use std::ops::Range;
use std::str::FromStr;

/// The longest id that is taken; the rest of the module's 36 bytes keep ids apart.
pub const ID_MOST: usize = 20;
/// The longest wait that is taken: a day.
const WAIT_MOST_MS: u32 = 86_400_000;

/// What the comment and the statement say of a request, as slices of the statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Comment<'a> {
    /// The request's id.
    pub id: &'a str,
    /// The name of its class.
    pub class: &'a str,
    /// Milliseconds that the client waits; 0 where its time is over already.
    pub wait_ms: u32,
    /// Where the value of `d` stands in the statement.
    pub wait_at: Range<usize>,
    /// The group.
    pub group: u64,
    /// The position that a session's read must see, in Unix milliseconds.
    pub after_ms: Option<i64>,
    /// Whether the client marks it as a retry.
    pub retry: bool,
    /// The first quoted value of the statement, which names the session.
    pub key: Option<&'a str>,
}

/// What is missing or wrong in a statement.
pub type Flaw = &'static str;

/// Reads the comment at the front of a statement. Names that are not known are passed over.
pub fn read(statement: &str) -> Result<Comment<'_>, Flaw> {
    let lead = statement.len() - statement.trim_start().len();
    let inner = statement[lead..].strip_prefix("/*").ok_or("the statement does not start with a comment")?;
    let from = lead + 2;
    let length = inner.find("*/").ok_or("the comment does not end")?;
    let (mut id, mut class, mut wait, mut group, mut after, mut retry) =
        (None, None, None, None, None, false);
    let mut at = from;
    for part in statement[from..from + length].split(',') {
        let next = at + part.len() + 1;
        if let Some((name, value)) = part.split_once('=') {
            let start = at + name.len() + 1 + (value.len() - value.trim_start().len());
            let value = value.trim();
            match name.trim() {
                "id" => id = Some(value),
                "c" => class = Some(value),
                "d" => wait = Some((value, start..start + value.len())),
                "cluster" => group = Some(value),
                "after" => after = Some(value),
                "r" => retry = value == "1",
                _ => {}
            }
        }
        at = next;
    }
    let id = id.filter(|id| !id.is_empty()).ok_or("the comment has no id")?;
    if id.len() > ID_MOST {
        return Err("the id is too long");
    }
    let (wait, wait_at) = wait.ok_or("the comment has no d")?;
    let after_ms = match after {
        Some(text) => Some(whole_up(text).ok_or("after is not a position")?).filter(|ms| *ms > 0),
        None => None,
    };
    Ok(Comment {
        id,
        class: class.ok_or("the comment has no c")?,
        wait_ms: number(wait).filter(|ms| *ms <= WAIT_MOST_MS).ok_or("d is no number of milliseconds")?,
        wait_at,
        group: number(group.ok_or("the comment has no cluster")?).ok_or("cluster is not a number")?,
        after_ms,
        retry,
        key: quoted(&statement[from + length + 2..]),
    })
}

/// Digits and nothing else: a sign is no part of a number here.
fn number<T: FromStr>(text: &str) -> Option<T> {
    text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse().ok())?
}

/// A need is rounded up: a part of a millisecond counts as a whole one.
fn whole_up(text: &str) -> Option<i64> {
    let (whole, part) = text.split_once('.').unwrap_or((text, ""));
    if !part.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    let up = i64::from(part.bytes().any(|b| b != b'0'));
    number::<i64>(whole)?.checked_add(up)
}

fn quoted(text: &str) -> Option<&str> {
    let rest = &text[text.find('\'')? + 1..];
    Some(&rest[..rest.find('\'')?])
}

/// The statement with another value of `d`, and all else byte for byte.
pub fn rewrite(out: &mut Vec<u8>, statement: &[u8], wait_at: Range<usize>, wait_ms: i64) {
    out.extend_from_slice(&statement[..wait_at.start]);
    out.extend_from_slice(wait_ms.to_string().as_bytes());
    out.extend_from_slice(&statement[wait_at.end..]);
}
