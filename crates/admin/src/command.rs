//! Operator commands: one line of text per connection, parsed from reads of any size.

use thiserror::Error;

/// The maximum line length in bytes, without the line feed. Command names and member ids are far shorter.
pub const MAX_LINE_BYTES: usize = 512;

/// An operator command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Reports whether this process is ready to serve.
    Health,
    /// Reports the metrics.
    Counters,
    /// Takes the member with this id out of service.
    Cordon(String),
    /// Puts the member with this id back into service.
    Uncordon(String),
}

/// The reason why a line is not a command. The displayed text is part of the operator protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CommandError {
    /// The line exceeds [`MAX_LINE_BYTES`].
    #[error("the line is longer than any call")]
    LineTooLong,
    /// The connection was closed before the line feed arrived.
    #[error("the line has no end")]
    UnterminatedLine,
    /// The line is not UTF-8, or contains control characters.
    #[error("the line is no text")]
    NotText,
    /// The line is blank.
    #[error("the line is empty")]
    EmptyLine,
    /// The first word is not a command name.
    #[error("no such call: health, counters, cordon ID, uncordon ID")]
    UnknownCommand,
    /// The command takes exactly one member id.
    #[error("the call wants the id of one member")]
    MemberIdExpected,
    /// The command takes no arguments.
    #[error("the call takes nothing behind its name")]
    UnexpectedArgument,
}

/// Reads the command line of one connection.
#[derive(Debug, Default)]
pub struct CommandReader {
    buffer: Vec<u8>,
}

impl CommandReader {
    /// Processes the bytes of one read. Returns the command or an error once the line is complete or too
    /// long, and `None` while more bytes are needed. Bytes after the line feed are ignored: a connection
    /// carries one command.
    pub fn feed(&mut self, bytes: &[u8]) -> Option<Result<Command, CommandError>> {
        let line_end = bytes.iter().position(|byte| *byte == b'\n');
        let line_part = &bytes[..line_end.unwrap_or(bytes.len())];
        if self.buffer.len() + line_part.len() > MAX_LINE_BYTES {
            return Some(Err(CommandError::LineTooLong));
        }
        self.buffer.extend_from_slice(line_part);
        line_end.map(|_| parse(&self.buffer))
    }

    /// The number of buffered bytes, at most [`MAX_LINE_BYTES`].
    pub fn buffered_len(&self) -> usize {
        self.buffer.len()
    }
}

fn parse(line: &[u8]) -> Result<Command, CommandError> {
    let text = std::str::from_utf8(line).map_err(|_| CommandError::NotText)?;
    if text.trim_end_matches('\r').contains(|c: char| c.is_control() && c != '\t') {
        return Err(CommandError::NotText);
    }
    let mut words = text.split_whitespace();
    let name = words.next().ok_or(CommandError::EmptyLine)?;
    let arguments: Vec<&str> = words.collect();
    match name {
        "health" => without_arguments(Command::Health, &arguments),
        "counters" => without_arguments(Command::Counters, &arguments),
        "cordon" => member_id(&arguments).map(Command::Cordon),
        "uncordon" => member_id(&arguments).map(Command::Uncordon),
        _ => Err(CommandError::UnknownCommand),
    }
}

fn without_arguments(command: Command, arguments: &[&str]) -> Result<Command, CommandError> {
    match arguments {
        [] => Ok(command),
        _ => Err(CommandError::UnexpectedArgument),
    }
}

fn member_id(arguments: &[&str]) -> Result<String, CommandError> {
    match arguments {
        [id] => Ok((*id).to_string()),
        _ => Err(CommandError::MemberIdExpected),
    }
}
