//! Errors of commands, and the exit codes of the process.

use std::process::ExitCode;

/// The exit codes other than 0. They are documented in [`super`].
#[derive(Clone, Copy)]
enum FailureKind {
    Failed = 1,
    Usage = 2,
    InvalidSettings = 3,
}

/// An error that ends a command.
pub struct CommandError {
    messages: Vec<String>,
    kind: FailureKind,
}

impl CommandError {
    /// Creates the error of a command that ran and failed.
    pub fn failed(message: impl ToString) -> Self {
        CommandError { messages: vec![message.to_string()], kind: FailureKind::Failed }
    }

    /// Creates the error of a command that ran and failed for several reasons.
    pub fn failed_for(messages: Vec<String>) -> Self {
        CommandError { messages, kind: FailureKind::Failed }
    }

    /// Creates an error about the command line.
    pub fn usage(message: impl ToString) -> Self {
        CommandError { messages: vec![message.to_string()], kind: FailureKind::Usage }
    }

    /// Creates an error about invalid settings or an invalid configuration, with which nothing was started.
    pub fn invalid_settings(errors: impl IntoIterator<Item = impl ToString>) -> Self {
        let messages = errors.into_iter().map(|error| error.to_string()).collect();
        CommandError { messages, kind: FailureKind::InvalidSettings }
    }

    /// Prints the messages to standard error and returns the exit code.
    pub fn report(self) -> ExitCode {
        for message in &self.messages {
            eprintln!("wharfplank: {message}");
        }
        ExitCode::from(self.kind as u8)
    }
}
