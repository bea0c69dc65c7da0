//! Parses and matches the byte notation of recorded exchanges.

use std::io::Read;

/// A byte to send, or a pattern for a received byte.
#[derive(Clone, Copy)]
pub enum BytePattern {
    Exact(u8),
    /// Any digit.
    Digit,
    /// Any byte.
    Any,
}

impl BytePattern {
    fn accepts(self, received: u8) -> bool {
        match self {
            BytePattern::Exact(byte) => byte == received,
            BytePattern::Digit => received.is_ascii_digit(),
            BytePattern::Any => true,
        }
    }
}

/// Parses bytes to send or to expect: `{T body}` is a message with tag `T` and its length (`_`: no tag), `\\`
/// starts an escape.
pub fn parse_bytes(text: &str) -> Vec<BytePattern> {
    let mut out = Vec::new();
    let mut length_at: Option<usize> = None;
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        rest = tail;
        match (*first, tail) {
            (b'{', [tag, b' ', inner @ ..]) if length_at.is_none() => {
                if *tag != b'_' {
                    out.push(BytePattern::Exact(*tag));
                }
                length_at = Some(out.len());
                out.extend([BytePattern::Exact(0); 4]);
                rest = inner;
            }
            (b'}', _) if length_at.is_some() => {
                let start = length_at.take().expect("an open message");
                let length = (out.len() - start) as u32;
                length
                    .to_be_bytes()
                    .iter()
                    .enumerate()
                    .for_each(|(i, b)| out[start + i] = BytePattern::Exact(*b));
            }
            // A long value: \l300000; stands for 300,000 bytes `v`, and \z300000; for 300,000 zero bytes.
            (b'\\', [kind @ (b'l' | b'z'), inner @ ..]) => {
                let end = inner.iter().position(|b| *b == b';').expect("a closing semicolon");
                let count = std::str::from_utf8(&inner[..end]).expect("digits").parse().expect("digits");
                out.extend(std::iter::repeat_n(
                    BytePattern::Exact(if *kind == b'l' { b'v' } else { 0 }),
                    count,
                ));
                rest = &inner[end + 1..];
            }
            (b'\\', [b'x', high, low, inner @ ..]) => {
                let digits = String::from_utf8(vec![*high, *low]).expect("hex digits");
                out.push(BytePattern::Exact(u8::from_str_radix(&digits, 16).expect("hex digits")));
                rest = inner;
            }
            (b'\\', [escape, inner @ ..]) => {
                out.push(match escape {
                    b'n' => BytePattern::Exact(b'\n'),
                    b'r' => BytePattern::Exact(b'\r'),
                    b'0' => BytePattern::Exact(0),
                    b'd' => BytePattern::Digit,
                    b'?' => BytePattern::Any,
                    other => BytePattern::Exact(*other),
                });
                rest = inner;
            }
            (literal, _) => out.push(BytePattern::Exact(literal)),
        }
    }
    out
}

/// Parses bytes to send, which must not contain wildcards.
pub fn parse_literal(text: &str) -> Vec<u8> {
    let literal = |byte| match byte {
        BytePattern::Exact(byte) => byte,
        BytePattern::Digit | BytePattern::Any => panic!("wildcard in bytes to send"),
    };
    parse_bytes(text).into_iter().map(literal).collect()
}

/// Reads the expected bytes and returns them; panics with both texts at the first difference.
pub fn expect_bytes(peer: &str, stream: &mut impl Read, expected: &str) -> Vec<u8> {
    let expected = parse_bytes(expected);
    let mut received = vec![0; expected.len()];
    let matches = |(w, g): (&BytePattern, &u8)| w.accepts(*g);
    let mut count = 0;
    while count < received.len() {
        match stream.read(&mut received[count..]) {
            Ok(0) | Err(_) => break,
            Ok(more) => {
                count += more;
                if !expected[count - more..].iter().zip(&received[count - more..count]).all(matches) {
                    break;
                }
            }
        }
    }
    let to_text = |b: &[u8]| b.escape_ascii().to_string();
    let shown = |w: &BytePattern| match w {
        BytePattern::Exact(byte) => *byte,
        BytePattern::Digit => b'#',
        BytePattern::Any => b'?',
    };
    let shown: Vec<u8> = expected.iter().map(shown).collect();
    let is_equal = count == expected.len() && expected.iter().zip(&received).all(matches);
    assert!(is_equal, "{peer}: expected\n{}\nreceived\n{}", to_text(&shown), to_text(&received[..count]));
    received
}
