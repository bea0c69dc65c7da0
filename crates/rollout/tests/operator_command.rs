//! Parsing of operators' commands.

use wharfplank_rollout::OperatorCommand;

#[test]
fn incomplete_or_invalid_commands_are_rejected() {
    assert_eq!("start 7 6\n".parse(), Ok(OperatorCommand::Start { target: 7, previous: 6 }));
    assert_eq!(" undo ".parse(), Ok(OperatorCommand::Undo));
    for bad in ["", "start 7", "start 7 7", "start 7 six", "halt now", "start 7 6 5"] {
        assert!(bad.parse::<OperatorCommand>().is_err(), "{bad:?}");
    }
}
