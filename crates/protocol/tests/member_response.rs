//! Member responses that arrive in pieces of any size: streamed, checked completely, and malformed ones.

use wharfplank_protocol::framing::{write_c_string, write_message};
use wharfplank_protocol::member_response::{
    MemberResponse, ProtocolError, ResponseEvent, ResponseKind, ResponseReader, StatedState,
};
use wharfplank_protocol::row::{MAX_BUFFERED_ROW_BYTES, ROW_HEADER_BYTES};

fn write_row_description(out: &mut Vec<u8>) {
    write_message(out, b'T', |out| {
        out.extend_from_slice(&[0, 1]);
        write_c_string(out, "payload");
        out.extend_from_slice(&[0, 0, 0, 0, 0, 0, 0, 0, 0, 17, 255, 255, 255, 255, 255, 255, 0, 1]);
    });
}

fn write_row(out: &mut Vec<u8>, value_length: usize) {
    write_message(out, b'D', |out| {
        out.extend_from_slice(&[0, 1]);
        out.extend_from_slice(&(value_length as u32).to_be_bytes());
        out.extend((0..value_length).map(|at| at as u8));
    });
}

fn write_command_complete(out: &mut Vec<u8>) {
    write_message(out, b'C', |out| write_c_string(out, "SELECT 1"));
}

/// Writes the log position of the member and the end of the response.
fn write_ready(out: &mut Vec<u8>) {
    write_message(out, b'S', |out| {
        write_c_string(out, "applied_ms");
        write_c_string(out, "1767225600123.9");
    });
    write_message(out, b'Z', |out| out.push(b'I'));
}

/// Returns the messages to forward of a response with a value of this length, and the complete response.
fn response(value_length: usize) -> (Vec<u8>, Vec<u8>) {
    let mut forwarded = Vec::new();
    write_row_description(&mut forwarded);
    write_row(&mut forwarded, value_length);
    write_command_complete(&mut forwarded);
    let mut input = forwarded.clone();
    write_ready(&mut input);
    (forwarded, input)
}

/// Feeds bytes to the reader in pieces of a length, and returns the events in order, or the first error.
fn feed(
    reader: &mut ResponseReader,
    bytes: &[u8],
    piece_length: usize,
) -> Result<Vec<ResponseEvent>, ProtocolError> {
    let mut events = Vec::new();
    for mut part in bytes.chunks(piece_length) {
        while !part.is_empty() {
            let space = reader.buffer.spare();
            let count = space.len().min(part.len());
            space[..count].copy_from_slice(&part[..count]);
            reader.buffer.commit(count);
            part = &part[count..];
            while let Some(event) = reader.advance(false)? {
                events.push(event);
            }
        }
    }
    Ok(events)
}

/// Returns the forwarded bytes, the number of streamed parts, and the complete response.
fn collect(events: Vec<ResponseEvent>) -> (Vec<u8>, usize, Option<MemberResponse>) {
    let (mut out, mut parts, mut complete) = (Vec::new(), 0, None);
    for event in events {
        match event {
            ResponseEvent::StreamStarted { bytes, .. } | ResponseEvent::StreamChunk(bytes) => {
                parts += 1;
                out.extend(bytes);
            }
            ResponseEvent::Complete(response) => {
                out.extend_from_slice(&response.messages);
                complete = Some(response);
            }
        }
    }
    (out, parts, complete)
}

/// Guards against values that are altered, for any size of the pieces, and against buffering long values
/// completely.
#[test]
fn values_are_forwarded_unchanged() {
    for value in [0, 1, MAX_BUFFERED_ROW_BYTES, MAX_BUFFERED_ROW_BYTES + 1, 3 * MAX_BUFFERED_ROW_BYTES] {
        for piece in [1, 7, 4096, usize::MAX] {
            let (forwarded, input) = response(value);
            let mut reader = ResponseReader::default();
            let (out, parts, complete) = collect(feed(&mut reader, &input, piece).expect("well formed"));
            assert!(out == forwarded, "{value} in pieces of {piece}");
            assert_eq!(parts > 0, value > MAX_BUFFERED_ROW_BYTES, "{value} in pieces of {piece}");
            let complete = complete.expect("complete");
            assert_eq!(
                (complete.kind, complete.stated.applied_ms),
                (ResponseKind::Row, Some(1_767_225_600_123))
            );
            assert!(reader.buffer.capacity() <= 2 * MAX_BUFFERED_ROW_BYTES + 4096);
            assert!(!reader.has_partial_response() && !reader.is_streaming());
        }
    }
}

/// Guards against a long value whose first byte is delayed until more bytes arrive, and against one that is
/// streamed before its lengths are checked.
#[test]
fn long_value_is_streamed_from_its_first_byte() {
    let (_, input) = response(MAX_BUFFERED_ROW_BYTES + 1);
    let mut description_only = Vec::new();
    write_row_description(&mut description_only);
    let first = description_only.len() + ROW_HEADER_BYTES + 1;
    let mut reader = ResponseReader::default();
    assert!(feed(&mut reader, &input[..first - 1], 1).expect("well formed").is_empty());
    let events = feed(&mut reader, &input[first - 1..first], 1).expect("well formed");
    assert!(
        matches!(&events[..],
        [ResponseEvent::StreamStarted { bytes, remaining: MAX_BUFFERED_ROW_BYTES, stated }]
        if bytes == &input[..first] && *stated == StatedState::default()),
        "{events:?}"
    );
}

/// Guards against a role that a member states before a long value and that is known only once the value has
/// been read to its end.
#[test]
fn a_role_before_a_long_value_is_stated_at_its_start() {
    let (_, input) = response(MAX_BUFFERED_ROW_BYTES + 1);
    let role = [&b"S\0\0\0\x11"[..], b"role\0replica\0"].concat();
    let mut reader = ResponseReader::default();
    let events = feed(&mut reader, &[role, input].concat(), usize::MAX).expect("well formed");
    let started = events.iter().find_map(|event| match event {
        ResponseEvent::StreamStarted { stated, .. } => Some(*stated),
        _ => None,
    });
    assert_eq!(started, Some(StatedState { primary: Some(false), applied_ms: None }));
}

/// Guards against invalid data that is forwarded as a value: lengths that are inconsistent or exceed the
/// maximum, a second row, and a response without the end of its command.
#[test]
fn malformed_response_never_completes() {
    let mut description = Vec::new();
    write_row_description(&mut description);
    let with_lengths = |length: u32, value: u32| {
        let mut out = description.clone();
        out.push(b'D');
        out.extend_from_slice(&length.to_be_bytes());
        out.extend_from_slice(&[0, 1]);
        out.extend_from_slice(&value.to_be_bytes());
        out
    };
    for (length, value) in [(3_000_000_000, 2_999_999_990), (100_010, 100_001), (100_010, u32::MAX)] {
        assert!(
            feed(&mut ResponseReader::default(), &with_lengths(length, value), 1).is_err(),
            "{length} {value}"
        );
    }
    let mut two_rows = description.clone();
    write_row(&mut two_rows, MAX_BUFFERED_ROW_BYTES + 1);
    write_row(&mut two_rows, MAX_BUFFERED_ROW_BYTES + 1);
    assert!(feed(&mut ResponseReader::default(), &two_rows, 4096).is_err());
    let mut without_end = description;
    write_row(&mut without_end, MAX_BUFFERED_ROW_BYTES + 1);
    write_ready(&mut without_end);
    assert!(feed(&mut ResponseReader::default(), &without_end, 4096).is_err());
}

/// Guards against a response that fails or continues to be buffered when memory is short: its row is streamed
/// instead.
#[test]
fn short_row_is_streamed_without_memory() {
    let (forwarded, input) = response(1000);
    let mut reader = ResponseReader::default();
    assert!(feed(&mut reader, &input[..500], 100).expect("well formed").is_empty());
    assert!(reader.stream_any_row() && !reader.stream_any_row());
    let (out, parts, complete) = collect(feed(&mut reader, &input[500..], 100).expect("well formed"));
    assert!(out == forwarded && parts > 1);
    assert_eq!(complete.expect("complete").kind, ResponseKind::Row);
    assert!(reader.stream_any_row(), "the setting must not apply to the next response");
}

/// Guards against a response that lost its row and is accepted as one without a row, and against accepting a
/// response without a row when that is not enabled.
#[test]
fn response_without_row_must_be_stated_and_enabled() {
    let response_with_end = |end: &str| {
        let mut bytes = Vec::new();
        write_row_description(&mut bytes);
        write_message(&mut bytes, b'C', |out| write_c_string(out, end));
        let forwarded = bytes.clone();
        write_ready(&mut bytes);
        (forwarded, bytes)
    };
    let (forwarded, bytes) = response_with_end("SELECT 0");
    for piece in [1, 7, 1000] {
        let mut reader = ResponseReader::default();
        reader.accepts_no_row = true;
        // `accepts_no_row` stays set for the second response.
        for _ in 0..2 {
            let (messages, streamed, end) = collect(feed(&mut reader, &bytes, piece).expect("well formed"));
            let end = end.expect("complete");
            assert_eq!((messages, streamed), (forwarded.clone(), 0));
            assert_eq!((end.kind, end.stated.applied_ms), (ResponseKind::NoRow, Some(1_767_225_600_123)));
        }
    }
    assert!(feed(&mut ResponseReader::default(), &bytes, 9).is_err());
    let mut reader = ResponseReader::default();
    reader.accepts_no_row = true;
    assert!(feed(&mut reader, &response_with_end("SELECT 1").1, 9).is_err());
}
