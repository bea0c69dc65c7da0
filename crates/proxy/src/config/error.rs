//! Why a configuration cannot be used.

use serde_json::Value;
use std::io;
use std::path::PathBuf;
use thiserror::Error;
use wharfplank_protocol::endpoint_list::EndpointListError;
use wharfplank_routing::settings::FieldError;

/// Why the configuration that the environment names cannot be used.
#[derive(Debug, Error)]
pub enum EnvironmentError {
    /// The variable that names the file is missing.
    #[error("BALANCER_CONFIG is not set")]
    NotSet,
    /// The named file cannot be used.
    #[error("BALANCER_CONFIG {0}")]
    Unusable(#[from] ReadError),
}

/// Why a configuration file cannot be used.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file.
        path: PathBuf,
        /// What the system reported.
        source: io::Error,
    },
    /// The text of the file is not a configuration.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The file.
        path: PathBuf,
        /// What is wrong with its text.
        source: ParseError,
    },
}

/// Why a text is not a configuration.
#[derive(Debug, Error)]
pub enum ParseError {
    /// The text is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// A required address is missing.
    #[error("{0} is missing")]
    MissingAddress(&'static str),
    /// An address is given as something other than a string.
    #[error("{field} {value} is no address")]
    AddressNotText {
        /// The key.
        field: &'static str,
        /// Its value.
        value: Value,
    },
    /// A string is not `IP:PORT`.
    #[error("{field} '{text}' is no address")]
    InvalidAddress {
        /// The key.
        field: &'static str,
        /// Its value, or that of the environment variable in its place.
        text: String,
    },
    /// There is no group of settings.
    #[error("settings are missing")]
    MissingSettings,
    /// The seed is neither a whole number nor a hexadecimal string.
    #[error("seed is no number")]
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
    #[error("limits are no group of fields")]
    LimitsNotObject,
    /// The limit of descriptors is invalid.
    #[error("limits: field sockets: is no whole number from 1 on")]
    InvalidDescriptorLimit,
    /// The limit of memory is invalid.
    #[error("limits: field memory_mb: is no number above 0 and up to 1e9")]
    InvalidMemoryLimit,
}
