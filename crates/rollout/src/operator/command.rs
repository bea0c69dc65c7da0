//! An operator's command for a rollout, as written to the signal file.

use crate::Version;
use std::str::FromStr;
use thiserror::Error;

/// An operator's command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// `start TARGET PREVIOUS`: upgrade all members from the previous version to the target version.
    Start {
        /// The version that the members are to run.
        target: Version,
        /// The version that the members run now.
        previous: Version,
    },
    /// `halt`: halt the newest unfinished rollout.
    Halt,
    /// `resume`: continue the newest unfinished rollout.
    Resume,
    /// `undo`: roll back the newest rollout.
    Undo,
}

/// The reason why a text is not a command.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ParseCommandError {
    /// This word is not a version number.
    #[error("{0:?} is not a version number")]
    InvalidVersion(String),
    /// The text is none of the commands.
    #[error("expected one of: start TARGET PREVIOUS with different versions, halt, resume, undo")]
    UnknownCommand,
}

impl FromStr for OperatorCommand {
    type Err = ParseCommandError;

    fn from_str(text: &str) -> Result<OperatorCommand, ParseCommandError> {
        let words: Vec<&str> = text.split_whitespace().collect();
        match words[..] {
            ["start", target, previous] if target != previous => Ok(OperatorCommand::Start {
                target: parse_version(target)?,
                previous: parse_version(previous)?,
            }),
            ["halt"] => Ok(OperatorCommand::Halt),
            ["resume"] => Ok(OperatorCommand::Resume),
            ["undo"] => Ok(OperatorCommand::Undo),
            _ => Err(ParseCommandError::UnknownCommand),
        }
    }
}

fn parse_version(word: &str) -> Result<Version, ParseCommandError> {
    word.parse().map_err(|_| ParseCommandError::InvalidVersion(word.to_string()))
}
