//! The settings of the log (`<log>`).

use serde::Deserialize;

/// The log on standard error.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// The format of a log line.
    #[serde(default, rename = "@format")]
    pub format: LogFormat,
    /// The minimum level that is logged.
    #[serde(default, rename = "@level")]
    pub level: LogLevel,
}

/// The format of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Plain text with `name=value` pairs.
    #[default]
    Text,
    /// A JSON object.
    Json,
}

/// The severity level of an event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// An operation failed.
    Error,
    /// A condition that an operator should examine.
    Warn,
    /// Normal events.
    #[default]
    Info,
    /// Counters logged every second.
    Debug,
}
