//! Messages of a client, and the responses to them.

use std::io::{self, Read};

pub fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    [&[tag][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

pub fn query(text: &str) -> Vec<u8> {
    message(b'Q', &[text.as_bytes(), b"\0"].concat())
}

pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0web\0database\0orders\0\0";
    [&(body.len() as u32 + 4).to_be_bytes()[..], body].concat()
}

/// Reads messages up to and with `ReadyForQuery` and returns their tags; `None` if the connection ends first.
/// The error that ended it is printed, which a failing test shows.
pub fn read_response(stream: &mut impl Read) -> Option<String> {
    let mut tags = String::new();
    while !tags.ends_with('Z') {
        match read_message_tag(stream) {
            Ok(tag) => tags.push(tag),
            Err(error) => {
                eprintln!("response ended after the messages {tags:?}: {error} ({:?})", error.kind());
                return None;
            }
        }
    }
    Some(tags)
}

/// Reads one message and returns its tag.
fn read_message_tag(stream: &mut impl Read) -> io::Result<char> {
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    stream.read_exact(&mut vec![0; length - 4])?;
    Ok(char::from(head[0]))
}
