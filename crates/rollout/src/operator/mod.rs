//! Operators' commands, and the signal file that contains them.

mod command;
mod signal_file;

pub use command::{OperatorCommand, ParseCommandError};
pub use signal_file::{FileStamp, SignalFileWatcher};
