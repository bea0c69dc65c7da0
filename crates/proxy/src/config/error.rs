//! Configuration errors.

use serde_json::Value;
use std::io;
use std::path::PathBuf;
use thiserror::Error;
use wharfplank_protocol::endpoint_list::EndpointListError;
use wharfplank_routing::settings::FieldError;

/// An error in the configuration named by the environment.
#[derive(Debug, Error)]
pub enum EnvironmentError {
    /// The variable that names the file is missing.
    #[error("BALANCER_CONFIG is not set")]
    NotSet,
    /// The named file cannot be used.
    #[error("BALANCER_CONFIG {0}")]
    Unusable(#[from] ReadError),
}

/// An error in a configuration file.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// The error reported by the system.
        source: io::Error,
    },
    /// The text of the file is not a valid configuration.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The error in its text.
        source: ParseError,
    },
}

/// An error in the text of a configuration.
#[derive(Debug, Error)]
pub enum ParseError {
    /// The text is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// A required address is missing.
    #[error("{0} is missing")]
    MissingAddress(&'static str),
    /// The value of an address is not a string.
    #[error("{field} {value} is not a string with an IP:PORT address")]
    AddressNotText {
        /// The key.
        field: &'static str,
        /// Its value.
        value: Value,
    },
    /// An address string is not of the form `IP:PORT`.
    #[error("{field} '{text}' is not an IP:PORT address")]
    InvalidAddress {
        /// The key.
        field: &'static str,
        /// Its value, or the value of the environment variable that overrides it.
        text: String,
    },
    /// There is no settings object.
    #[error("settings are missing")]
    MissingSettings,
    /// The seed is neither a whole number nor a hexadecimal string.
    #[error("seed is neither a whole number nor a hexadecimal string")]
    InvalidSeed,
    /// A field of the settings is invalid.
    #[error("settings: {0}")]
    InvalidSettings(FieldError),
    /// The settings name no classes.
    #[error("settings: field Classes: is missing or empty")]
    NoClasses,
    /// The last known endpoint list is invalid.
    #[error("known: {0}")]
    InvalidEndpointList(#[from] EndpointListError),
    /// The limits are not a JSON object.
    #[error("limits are not a JSON object")]
    LimitsNotObject,
    /// The descriptor limit is invalid.
    #[error("limits: field sockets: must be a whole number of at least 1")]
    InvalidDescriptorLimit,
    /// The memory limit is invalid.
    #[error("limits: field memory_mb: must be a number above 0 and at most 1e9")]
    InvalidMemoryLimit,
}
