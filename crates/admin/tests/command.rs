//! Parsing of operators' command lines.

use proptest::prelude::*;
use wharfplank_admin::command::MAX_LINE_BYTES;
use wharfplank_admin::{Command, CommandError, CommandReader};

fn read(line: &[u8]) -> Option<Result<Command, CommandError>> {
    CommandReader::default().feed(line)
}

#[test]
fn commands_are_parsed_and_other_lines_rejected() {
    assert_eq!(read(b"health\n"), Some(Ok(Command::Health)));
    assert_eq!(read(b"counters\r\n"), Some(Ok(Command::Counters)));
    assert_eq!(read(b"cordon s-1\nhealth\n"), Some(Ok(Command::Cordon("s-1".to_string()))));
    assert_eq!(read(b"  uncordon   s-1 \n"), Some(Ok(Command::Uncordon("s-1".to_string()))));
    let rejected: [(&[u8], CommandError); 7] = [
        (b"\n", CommandError::EmptyLine),
        (b"cordon\n", CommandError::MemberIdExpected),
        (b"uncordon a b\n", CommandError::MemberIdExpected),
        (b"health now\n", CommandError::UnexpectedArgument),
        (b"HEALTH\n", CommandError::UnknownCommand),
        (b"cordon \xff\n", CommandError::NotText),
        (b"cordon s\x001\n", CommandError::NotText),
    ];
    for (line, error) in rejected {
        assert_eq!(read(line), Some(Err(error)), "{}", line.escape_ascii());
    }
    assert_eq!(read(b"health"), None, "half a command");
}

proptest! {
    /// Guards against a caller who fills memory with a line that does not end, and against a command that parses
    /// differently when it arrives in pieces.
    #[test]
    fn pieces_make_no_difference(line in "[a-z -~]{0,600}", cuts in prop::collection::vec(1_usize..9, 1..40)) {
        let whole = [line.as_bytes(), b"\n"].concat();
        let mut reader = CommandReader::default();
        let (mut at, mut got, mut turn) = (0, None, cuts.iter().cycle());
        while got.is_none() && at < whole.len() {
            let to = (at + turn.next().copied().unwrap_or(1)).min(whole.len());
            got = reader.feed(&whole[at..to]);
            at = to;
            prop_assert!(reader.buffered_len() <= MAX_LINE_BYTES);
        }
        prop_assert_eq!(got, read(&whole));
    }
}
