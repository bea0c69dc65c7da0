//! The events that the service reports to the log.

use crate::{CommandError, ControllerAction, ParseCommandError, RolloutId};
use thiserror::Error;

/// An event that the service reports to the log.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceEvent {
    /// An action in a rollout that this proxy leads, or a phase change of a rollout, which each proxy
    /// reports.
    Action(RolloutId, ControllerAction),
    /// An operator's command and its result.
    Command {
        /// The text of the command, truncated.
        text: String,
        /// The rollout to which it applied.
        result: Result<RolloutId, CommandFailure>,
    },
    /// Whether the permit server is open, which means that it has a ledger.
    PermitServerOpen(bool),
    /// Whether this proxy leads.
    Leader(bool),
}

/// The reason why an operator's command failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum CommandFailure {
    /// The text is not a command.
    #[error(transparent)]
    Invalid(#[from] ParseCommandError),
    /// The command had no effect.
    #[error(transparent)]
    NoEffect(#[from] CommandError),
}
