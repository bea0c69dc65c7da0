//! Parsing of operator command lines.

use proptest::prelude::*;
use wharfplank_admin::command::MAX_LINE_BYTES;
use wharfplank_admin::{Command, CommandError, CommandReader};

fn parse(line: &[u8]) -> Option<Result<Command, CommandError>> {
    CommandReader::default().feed(line)
}

#[test]
fn parses_commands_and_rejects_other_lines() {
    assert_eq!(parse(b"health\n"), Some(Ok(Command::Health)));
    assert_eq!(parse(b"counters\r\n"), Some(Ok(Command::Counters)));
    assert_eq!(parse(b"cordon s-1\nhealth\n"), Some(Ok(Command::Cordon("s-1".to_string()))));
    assert_eq!(parse(b"  uncordon   s-1 \n"), Some(Ok(Command::Uncordon("s-1".to_string()))));
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
        assert_eq!(parse(line), Some(Err(error)), "{}", line.escape_ascii());
    }
    assert_eq!(parse(b"health"), None, "incomplete line");
}

proptest! {
    /// Guards against unbounded buffering of a line without an end, and against a command that parses
    /// differently when it arrives in several reads.
    #[test]
    fn split_reads_parse_alike(line in "[a-z -~]{0,600}", cuts in prop::collection::vec(1_usize..9, 1..40)) {
        let full_line = [line.as_bytes(), b"\n"].concat();
        let mut reader = CommandReader::default();
        let (mut start, mut result, mut lengths) = (0, None, cuts.iter().cycle());
        while result.is_none() && start < full_line.len() {
            let end = (start + lengths.next().copied().unwrap_or(1)).min(full_line.len());
            result = reader.feed(&full_line[start..end]);
            start = end;
            prop_assert!(reader.buffered_len() <= MAX_LINE_BYTES);
        }
        prop_assert_eq!(result, parse(&full_line));
    }
}
