//! Operators' commands as texts.

use wharfplank_rollout::OperatorCommand;

#[test]
fn commands_are_parsed_completely_or_not_at_all() {
    assert_eq!("start 7 6\n".parse(), Ok(OperatorCommand::Start { target: 7, previous: 6 }));
    assert_eq!(" undo ".parse(), Ok(OperatorCommand::Undo));
    for bad in ["", "start 7", "start 7 7", "start 7 six", "halt now", "start 7 6 5"] {
        assert!(bad.parse::<OperatorCommand>().is_err(), "{bad:?}");
    }
}
