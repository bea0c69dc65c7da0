//! Why a command ends early, and the exit code of the process.

use std::process::ExitCode;

/// The exit codes other than 0, as the table of [`super`] documents them.
#[derive(Clone, Copy)]
enum FailureKind {
    Failed = 1,
    Usage = 2,
    UnusableSettings = 3,
}

/// Why a command ends early.
pub struct CommandError {
    messages: Vec<String>,
    kind: FailureKind,
}

impl CommandError {
    /// The command ran and failed.
    pub fn failed(message: impl ToString) -> Self {
        CommandError { messages: vec![message.to_string()], kind: FailureKind::Failed }
    }

    /// The command ran and failed for several reasons.
    pub fn failed_for(messages: Vec<String>) -> Self {
        CommandError { messages, kind: FailureKind::Failed }
    }

    /// The command line cannot be used.
    pub fn usage(message: impl ToString) -> Self {
        CommandError { messages: vec![message.to_string()], kind: FailureKind::Usage }
    }

    /// Settings or a configuration cannot be used; nothing was started.
    pub fn unusable_settings(faults: impl IntoIterator<Item = impl ToString>) -> Self {
        let messages = faults.into_iter().map(|fault| fault.to_string()).collect();
        CommandError { messages, kind: FailureKind::UnusableSettings }
    }

    /// Prints the messages on standard error and returns the exit code.
    pub fn report(self) -> ExitCode {
        for message in &self.messages {
            eprintln!("wharfplank: {message}");
        }
        ExitCode::from(self.kind as u8)
    }
}
