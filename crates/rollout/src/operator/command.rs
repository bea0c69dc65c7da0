//! An operator's command on a rollout, as it is written to the signal file.

use crate::Version;
use std::str::FromStr;
use thiserror::Error;

/// A command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorCommand {
    /// `start TARGET PREVIOUS`: upgrade all members from one version to another.
    Start {
        /// The version that they are to run.
        target: Version,
        /// The version that they run.
        previous: Version,
    },
    /// `halt`.
    Halt,
    /// `resume`.
    Resume,
    /// `undo`.
    Undo,
}

/// Why a text is not a command.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ParseCommandError {
    /// This word should be a version number.
    #[error("{0:?} is no version")]
    InvalidVersion(String),
    /// It is none of the commands.
    #[error("wants one of: start TARGET BACK, halt, resume, undo")]
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
