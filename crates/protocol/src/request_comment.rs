//! The comment at the start of a client's statement, which states the class, deadline and group of the
//! request.

use std::ops::Range;
use std::str::FromStr;
use thiserror::Error;

/// The maximum length of a request id, in bytes. The rest of the 36 bytes of a routing id distinguishes
/// requests with the same id.
pub const MAX_ID_BYTES: usize = 20;
/// The maximum deadline: one day.
const MAX_DEADLINE_MS: u32 = 86_400_000;

/// The parsed comment of a statement and the session key, as slices of the statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestComment<'a> {
    /// The id of the request (`id`).
    pub id: &'a str,
    /// The name of the request class (`c`).
    pub class: &'a str,
    /// The deadline in milliseconds from now (`d`); 0 if it has passed.
    pub deadline_ms: u32,
    /// The range of the value of `d` in the statement.
    pub deadline_range: Range<usize>,
    /// The replicated group (`cluster`).
    pub group: u64,
    /// The minimum log position for a session read, in Unix milliseconds (`after`).
    pub min_position_ms: Option<i64>,
    /// Whether the client marks the request as a retry (`r=1`).
    pub is_retry: bool,
    /// The first quoted value of the statement, which identifies the session.
    pub session_key: Option<&'a str>,
}

/// The reason why the comment of a statement is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("{}", self.message())]
pub enum CommentError {
    /// The statement does not start with a comment.
    NoComment,
    /// The comment has no end.
    Unterminated,
    /// `id` is absent or empty.
    NoId,
    /// `id` is longer than [`MAX_ID_BYTES`].
    IdTooLong,
    /// `d` is absent.
    NoDeadline,
    /// `d` is not a number of milliseconds, or exceeds one day.
    InvalidDeadline,
    /// `after` is not a log position.
    InvalidPosition,
    /// `c` is absent.
    NoClass,
    /// `cluster` is absent.
    NoGroup,
    /// `cluster` is not a number.
    InvalidGroup,
}

impl CommentError {
    /// Returns the error message that is sent to the client.
    pub fn message(self) -> &'static str {
        match self {
            CommentError::NoComment => "the statement does not start with a comment",
            CommentError::Unterminated => "the comment does not end",
            CommentError::NoId => "the comment has no id",
            CommentError::IdTooLong => "the id is too long",
            CommentError::NoDeadline => "the comment has no d",
            CommentError::InvalidDeadline => "d is no number of milliseconds",
            CommentError::InvalidPosition => "after is not a position",
            CommentError::NoClass => "the comment has no c",
            CommentError::NoGroup => "the comment has no cluster",
            CommentError::InvalidGroup => "cluster is not a number",
        }
    }
}

/// The `name=value` pairs of a comment, with unparsed values.
#[derive(Default)]
struct Fields<'a> {
    id: Option<&'a str>,
    class: Option<&'a str>,
    deadline: Option<(&'a str, Range<usize>)>,
    group: Option<&'a str>,
    position: Option<&'a str>,
    is_retry: bool,
}

impl<'a> Fields<'a> {
    /// Splits the comment at `range` of `statement`. Unknown names are ignored; the last of repeated names is
    /// used.
    fn split(statement: &'a str, range: Range<usize>) -> Self {
        let mut fields = Fields::default();
        let mut start = range.start;
        for pair in statement[range].split(',') {
            if let Some((name, value)) = pair.split_once('=') {
                let leading_spaces = value.len() - value.trim_start().len();
                let value_start = start + name.len() + 1 + leading_spaces;
                fields.set(name.trim(), value.trim(), value_start);
            }
            start += pair.len() + 1;
        }
        fields
    }

    fn set(&mut self, name: &str, value: &'a str, value_start: usize) {
        match name {
            "id" => self.id = Some(value),
            "c" => self.class = Some(value),
            "d" => self.deadline = Some((value, value_start..value_start + value.len())),
            "cluster" => self.group = Some(value),
            "after" => self.position = Some(value),
            "r" => self.is_retry = value == "1",
            _ => {}
        }
    }
}

/// Parses the comment at the start of a statement.
pub fn parse(statement: &str) -> Result<RequestComment<'_>, CommentError> {
    let comment = comment_range(statement)?;
    let rest = &statement[comment.end + "*/".len()..];
    let fields = Fields::split(statement, comment);
    let id = fields.id.filter(|id| !id.is_empty()).ok_or(CommentError::NoId)?;
    if id.len() > MAX_ID_BYTES {
        return Err(CommentError::IdTooLong);
    }
    let (deadline, deadline_range) = fields.deadline.ok_or(CommentError::NoDeadline)?;
    let min_position_ms = fields.position.map(parse_position).transpose()?.filter(|ms| *ms > 0);
    let class = fields.class.ok_or(CommentError::NoClass)?;
    let deadline_ms = parse_digits(deadline).filter(|ms| *ms <= MAX_DEADLINE_MS);
    let deadline_ms = deadline_ms.ok_or(CommentError::InvalidDeadline)?;
    let group = fields.group.ok_or(CommentError::NoGroup)?;
    Ok(RequestComment {
        id,
        class,
        deadline_ms,
        deadline_range,
        group: parse_digits(group).ok_or(CommentError::InvalidGroup)?,
        min_position_ms,
        is_retry: fields.is_retry,
        session_key: first_quoted(rest),
    })
}

/// Returns the range of the text between `/*` and `*/` in the statement.
fn comment_range(statement: &str) -> Result<Range<usize>, CommentError> {
    let leading_spaces = statement.len() - statement.trim_start().len();
    let text = statement[leading_spaces..].strip_prefix("/*").ok_or(CommentError::NoComment)?;
    let length = text.find("*/").ok_or(CommentError::Unterminated)?;
    let start = leading_spaces + "/*".len();
    Ok(start..start + length)
}

/// Parses a number that consists of digits only, without a sign.
fn parse_digits<T: FromStr>(text: &str) -> Option<T> {
    text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse().ok())?
}

/// Parses a log position in milliseconds, rounded up, so that a read never sees a state before the position.
fn parse_position(text: &str) -> Result<i64, CommentError> {
    let (integer, fraction) = text.split_once('.').unwrap_or((text, ""));
    if !fraction.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(CommentError::InvalidPosition);
    }
    let round_up = i64::from(fraction.bytes().any(|byte| byte != b'0'));
    let position = parse_digits::<i64>(integer).and_then(|integer| integer.checked_add(round_up));
    position.ok_or(CommentError::InvalidPosition)
}

fn first_quoted(text: &str) -> Option<&str> {
    let (_, rest) = text.split_once('\'')?;
    let (quoted, _) = rest.split_once('\'')?;
    Some(quoted)
}

/// Appends the statement to `out` with another value of `d`, and otherwise unchanged.
pub fn write_with_deadline(
    out: &mut Vec<u8>,
    statement: &[u8],
    deadline_range: Range<usize>,
    deadline_ms: i64,
) {
    out.extend_from_slice(&statement[..deadline_range.start]);
    out.extend_from_slice(deadline_ms.to_string().as_bytes());
    out.extend_from_slice(&statement[deadline_range.end..]);
}
