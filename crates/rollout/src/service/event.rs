//! What the service reports to the log.

use crate::{CommandError, ControllerAction, ParseCommandError, RolloutId};
use thiserror::Error;

/// What the service reports to the log.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceEvent {
    /// What was done in a rollout that this proxy leads, or a change of a rollout's phase, which each proxy reports.
    Action(RolloutId, ControllerAction),
    /// An operator's command, and its result.
    Command {
        /// The command's text, shortened.
        text: String,
        /// The rollout that it applied to.
        result: Result<RolloutId, CommandFailure>,
    },
    /// Whether the permit server is open: it has a ledger.
    PermitServerOpen(bool),
    /// Whether this proxy leads.
    Leader(bool),
}

/// Why an operator's command failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum CommandFailure {
    /// It is not a command.
    #[error(transparent)]
    Invalid(#[from] ParseCommandError),
    /// It had no effect.
    #[error(transparent)]
    NoEffect(#[from] CommandError),
}
