//! The settings of the log (`<log>`).

use serde::Deserialize;

/// The log on standard error.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// The format of a line.
    #[serde(default, rename = "@format")]
    pub format: LogFormat,
    /// The least severe level that is written.
    #[serde(default, rename = "@level")]
    pub level: LogLevel,
}

/// The format of a line of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Words and `name=value` pairs.
    #[default]
    Text,
    /// A JSON object.
    Json,
}

/// The severity of an event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// The program cannot do something.
    Error,
    /// An operator should look at it.
    Warn,
    /// Ordinary events.
    #[default]
    Info,
    /// Counts by the second.
    Debug,
}
