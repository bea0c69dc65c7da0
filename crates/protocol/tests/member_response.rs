//! Answers fed in pieces of any size: what passes through, what is checked whole, and what is broken.

use wharfplank_protocol::framing::{write_c_string, write_message};
use wharfplank_protocol::member_response::{
    MemberResponse, ProtocolError, ResponseEvent, ResponseKind, ResponseReader,
};
use wharfplank_protocol::row::{MAX_BUFFERED_ROW_BYTES, ROW_HEADER_BYTES};

fn described(out: &mut Vec<u8>) {
    write_message(out, b'T', |out| {
        out.extend_from_slice(&[0, 1]);
        write_c_string(out, "payload");
        out.extend_from_slice(&[0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 255, 255, 255, 255, 255, 255, 0, 1]);
    });
}

fn row(out: &mut Vec<u8>, value: usize) {
    write_message(out, b'D', |out| {
        out.extend_from_slice(&[0, 1]);
        out.extend_from_slice(&(value as u32).to_be_bytes());
        out.extend((0..value).map(|at| at as u8));
    });
}

fn ended(out: &mut Vec<u8>) {
    write_message(out, b'C', |out| write_c_string(out, "SELECT 1"));
}

fn ready(out: &mut Vec<u8>) {
    write_message(out, b'S', |out| {
        write_c_string(out, "applied_ms");
        write_c_string(out, "1767225600123.9");
    });
    write_message(out, b'Z', |out| out.push(b'I'));
}

/// An answer with a value of this length, up to its last message but one, and whole.
fn answer(value: usize) -> (Vec<u8>, Vec<u8>) {
    let mut wanted = Vec::new();
    described(&mut wanted);
    row(&mut wanted, value);
    ended(&mut wanted);
    let mut given = wanted.clone();
    ready(&mut given);
    (wanted, given)
}

/// Feeds bytes in pieces of a length: the steps in their order, up to what is broken.
fn feed(
    reader: &mut ResponseReader,
    bytes: &[u8],
    piece: usize,
) -> Result<Vec<ResponseEvent>, ProtocolError> {
    let mut steps = Vec::new();
    for mut part in bytes.chunks(piece) {
        while !part.is_empty() {
            let space = reader.buffer.spare();
            let count = space.len().min(part.len());
            space[..count].copy_from_slice(&part[..count]);
            reader.buffer.commit(count);
            part = &part[count..];
            while let Some(step) = reader.advance(false)? {
                steps.push(step);
            }
        }
    }
    Ok(steps)
}

/// All that is passed on, and how many steps before the last were parts of a row.
fn passed(steps: Vec<ResponseEvent>) -> (Vec<u8>, usize, Option<MemberResponse>) {
    let (mut out, mut parts, mut last) = (Vec::new(), 0, None);
    for step in steps {
        match step {
            ResponseEvent::StreamStarted { bytes, .. } | ResponseEvent::StreamChunk(bytes) => {
                parts += 1;
                out.extend(bytes);
            }
            ResponseEvent::Complete(answer) => {
                out.extend_from_slice(&answer.messages);
                last = Some(answer);
            }
        }
    }
    (out, parts, last)
}

/// Guards against values that change on their way, whatever the pieces, and against long ones held whole in memory.
#[test]
fn a_value_passes_unchanged_in_pieces_of_any_size() {
    for value in [0, 1, MAX_BUFFERED_ROW_BYTES, MAX_BUFFERED_ROW_BYTES + 1, 3 * MAX_BUFFERED_ROW_BYTES] {
        for piece in [1, 7, 4096, usize::MAX] {
            let (wanted, given) = answer(value);
            let mut reader = ResponseReader::default();
            let (out, parts, last) = passed(feed(&mut reader, &given, piece).expect("well formed"));
            assert!(out == wanted, "{value} in pieces of {piece}");
            assert_eq!(parts > 0, value > MAX_BUFFERED_ROW_BYTES, "{value} in pieces of {piece}");
            let last = last.expect("whole");
            assert_eq!((last.kind, last.applied_ms), (ResponseKind::Row, Some(1_767_225_600_123)));
            assert!(reader.buffer.capacity() <= 2 * MAX_BUFFERED_ROW_BYTES + 4096);
            assert!(!reader.has_partial_response() && !reader.is_streaming());
        }
    }
}

/// Guards against a long value whose first byte waits for others, and against one that is announced before its
/// lengths are known to agree.
#[test]
fn a_long_value_begins_with_its_first_byte() {
    let (_, given) = answer(MAX_BUFFERED_ROW_BYTES + 1);
    let mut described_only = Vec::new();
    described(&mut described_only);
    let first = described_only.len() + ROW_HEADER_BYTES + 1;
    let mut reader = ResponseReader::default();
    assert!(feed(&mut reader, &given[..first - 1], 1).expect("well formed").is_empty());
    let steps = feed(&mut reader, &given[first - 1..first], 1).expect("well formed");
    assert!(
        matches!(&steps[..], [ResponseEvent::StreamStarted { bytes, remaining: MAX_BUFFERED_ROW_BYTES }] if bytes == &given[..first]),
        "{steps:?}"
    );
}

/// Guards against noise that is taken for a value: lengths that disagree or are past all values, a second row, and
/// an answer that goes on without the end of its command.
#[test]
fn what_is_spoilt_never_ends_whole() {
    let mut head = Vec::new();
    described(&mut head);
    let long = |length: u32, value: u32| {
        let mut out = head.clone();
        out.push(b'D');
        out.extend_from_slice(&length.to_be_bytes());
        out.extend_from_slice(&[0, 1]);
        out.extend_from_slice(&value.to_be_bytes());
        out
    };
    for (length, value) in [(3_000_000_000, 2_999_999_990), (100_010, 100_001), (100_010, u32::MAX)] {
        assert!(feed(&mut ResponseReader::default(), &long(length, value), 1).is_err(), "{length} {value}");
    }
    let mut twice = head.clone();
    row(&mut twice, MAX_BUFFERED_ROW_BYTES + 1);
    row(&mut twice, MAX_BUFFERED_ROW_BYTES + 1);
    assert!(feed(&mut ResponseReader::default(), &twice, 4096).is_err());
    let mut endless = head;
    row(&mut endless, MAX_BUFFERED_ROW_BYTES + 1);
    ready(&mut endless);
    assert!(feed(&mut ResponseReader::default(), &endless, 4096).is_err());
}

/// Guards against an answer that fails, or grows on, where memory is short: its row passes through from there.
#[test]
fn without_memory_a_short_row_passes_too() {
    let (wanted, given) = answer(1000);
    let mut reader = ResponseReader::default();
    assert!(feed(&mut reader, &given[..500], 100).expect("well formed").is_empty());
    assert!(reader.stream_any_row() && !reader.stream_any_row());
    let (out, parts, last) = passed(feed(&mut reader, &given[500..], 100).expect("well formed"));
    assert!(out == wanted && parts > 1);
    assert_eq!(last.expect("whole").kind, ResponseKind::Row);
    assert!(reader.stream_any_row(), "the next answer is not hurried");
}

/// Guards against an answer that lost its row and looks like one without, and against a taste for answers without a
/// row where nobody asked for it.
#[test]
fn no_row_is_an_answer_only_where_it_is_said_and_asked_for() {
    let given = |end: &str| {
        let mut bytes = Vec::new();
        described(&mut bytes);
        write_message(&mut bytes, b'C', |out| write_c_string(out, end));
        let wanted = bytes.clone();
        ready(&mut bytes);
        (wanted, bytes)
    };
    let (wanted, bytes) = given("SELECT 0");
    for piece in [1, 7, 1000] {
        let mut reader = ResponseReader::default();
        reader.accepts_no_row = true;
        // Of the second answer too: what it takes stays as it was set.
        for _ in 0..2 {
            let (messages, left, end) = passed(feed(&mut reader, &bytes, piece).expect("whole"));
            let end = end.expect("an end");
            assert_eq!((messages, left), (wanted.clone(), 0));
            assert_eq!((end.kind, end.applied_ms), (ResponseKind::NoRow, Some(1_767_225_600_123)));
        }
    }
    assert!(feed(&mut ResponseReader::default(), &bytes, 9).is_err());
    let mut reader = ResponseReader::default();
    reader.accepts_no_row = true;
    assert!(feed(&mut reader, &given("SELECT 1").1, 9).is_err());
}
