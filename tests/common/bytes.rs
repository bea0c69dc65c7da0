//! The text form of bytes in recorded exchanges.

use std::io::Read;

/// A byte to send or to expect.
#[derive(Clone, Copy)]
pub enum Byte {
    Is(u8),
    /// Any digit.
    Digit,
    /// Any byte at all.
    Any,
}

impl Byte {
    fn allows(self, got: u8) -> bool {
        match self {
            Byte::Is(byte) => byte == got,
            Byte::Digit => got.is_ascii_digit(),
            Byte::Any => true,
        }
    }
}

/// Bytes to send or to expect.
pub fn bytes(text: &str) -> Vec<Byte> {
    let mut out = Vec::new();
    let mut frame: Option<usize> = None;
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        rest = tail;
        match (*first, tail) {
            (b'{', [tag, b' ', inner @ ..]) if frame.is_none() => {
                if *tag != b'_' {
                    out.push(Byte::Is(*tag));
                }
                frame = Some(out.len());
                out.extend([Byte::Is(0); 4]);
                rest = inner;
            }
            (b'}', _) if frame.is_some() => {
                let at = frame.take().expect("an open frame");
                let length = (out.len() - at) as u32;
                length.to_be_bytes().iter().enumerate().for_each(|(i, b)| out[at + i] = Byte::Is(*b));
            }
            // A long value: \l300000; writes so many bytes, and \z300000; so many zeros.
            (b'\\', [kind @ (b'l' | b'z'), inner @ ..]) => {
                let end = inner.iter().position(|b| *b == b';').expect("its end");
                let count = std::str::from_utf8(&inner[..end]).expect("digits").parse().expect("digits");
                out.extend(std::iter::repeat_n(Byte::Is(if *kind == b'l' { b'v' } else { 0 }), count));
                rest = &inner[end + 1..];
            }
            (b'\\', [b'x', high, low, inner @ ..]) => {
                let digits = String::from_utf8(vec![*high, *low]).expect("hex digits");
                out.push(Byte::Is(u8::from_str_radix(&digits, 16).expect("hex digits")));
                rest = inner;
            }
            (b'\\', [escape, inner @ ..]) => {
                out.push(match escape {
                    b'n' => Byte::Is(b'\n'),
                    b'r' => Byte::Is(b'\r'),
                    b'0' => Byte::Is(0),
                    b'd' => Byte::Digit,
                    b'?' => Byte::Any,
                    other => Byte::Is(*other),
                });
                rest = inner;
            }
            (plain, _) => out.push(Byte::Is(plain)),
        }
    }
    out
}

pub fn plain(text: &str) -> Vec<u8> {
    let plain = |byte| match byte {
        Byte::Is(byte) => byte,
        Byte::Digit | Byte::Any => panic!("a wildcard in what is sent"),
    };
    bytes(text).into_iter().map(plain).collect()
}

/// Reads exactly what is expected, or up to where it differs; and gives what it read.
pub fn expect(who: &str, stream: &mut impl Read, wanted: &str) -> Vec<u8> {
    let wanted = bytes(wanted);
    let mut got = vec![0; wanted.len()];
    let same = |(w, g): (&Byte, &u8)| w.allows(*g);
    let mut count = 0;
    while count < got.len() {
        match stream.read(&mut got[count..]) {
            Ok(0) | Err(_) => break,
            Ok(more) => {
                count += more;
                if !wanted[count - more..].iter().zip(&got[count - more..count]).all(same) {
                    break;
                }
            }
        }
    }
    let show = |b: &[u8]| b.escape_ascii().to_string();
    let shown = |w: &Byte| match w {
        Byte::Is(byte) => *byte,
        Byte::Digit => b'#',
        Byte::Any => b'?',
    };
    let shown: Vec<u8> = wanted.iter().map(shown).collect();
    let same = count == wanted.len() && wanted.iter().zip(&got).all(same);
    assert!(same, "{who} wants\n{}\ngot\n{}", show(&shown), show(&got[..count]));
    got
}
