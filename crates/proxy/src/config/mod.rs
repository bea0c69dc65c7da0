//! The configuration of one process, validated before any socket is opened.

mod error;
mod parse;

pub use error::{EnvironmentError, ParseError, ReadError};
pub use parse::SEND_MARGIN;

use std::net::SocketAddr;
use std::path::Path;
use wharfplank_protocol::endpoint_list::EndpointList;
use wharfplank_routing::settings::ProxyParameters;
use wharfplank_routing::Settings;

/// A validated configuration.
#[derive(Debug)]
pub struct Config {
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// The address at which operators connect, if enabled.
    pub admin: Option<SocketAddr>,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The maximum number of file descriptors of the process.
    pub max_descriptors: usize,
    /// The maximum memory use of the process, in bytes.
    pub max_memory_bytes: usize,
    /// The last known endpoint list.
    pub initial_endpoints: EndpointList,
    /// The settings of the routing policy.
    pub settings: Settings,
    /// The settings of everything outside the routing policy.
    pub parameters: ProxyParameters,
}

/// Addresses that override those of the file.
#[derive(Clone, Debug, Default)]
pub struct AddressOverrides {
    /// The address at which clients connect.
    pub listen: Option<String>,
    /// The address of the discovery service.
    pub discovery: Option<String>,
    /// The address at which operators connect.
    pub admin: Option<String>,
}

impl AddressOverrides {
    /// Returns the overrides from environment variables; an empty variable counts as unset.
    fn from_environment() -> Self {
        let variable = |name: &str| std::env::var(name).ok().filter(|value| !value.is_empty());
        AddressOverrides {
            listen: variable("BALANCER_LISTEN"),
            discovery: variable("BALANCER_DISCOVERY"),
            admin: variable("BALANCER_MGMT"),
        }
    }
}

impl Config {
    /// Reads the file named by `BALANCER_CONFIG`. Addresses in other environment variables override those of
    /// the file.
    pub fn from_environment() -> Result<Self, EnvironmentError> {
        Self::read_named_file(AddressOverrides::from_environment())
    }

    /// Reads the file named by `BALANCER_CONFIG` again. The address variables are ignored, since they date
    /// from the start of the process and the file is newer.
    pub fn reload() -> Result<Self, EnvironmentError> {
        Self::read_named_file(AddressOverrides::default())
    }

    fn read_named_file(overrides: AddressOverrides) -> Result<Self, EnvironmentError> {
        let path = std::env::var("BALANCER_CONFIG").map_err(|_| EnvironmentError::NotSet)?;
        Ok(Self::read(Path::new(&path), overrides)?)
    }

    /// Reads a configuration file.
    pub fn read(path: &Path, overrides: AddressOverrides) -> Result<Self, ReadError> {
        let text =
            std::fs::read(path).map_err(|source| ReadError::Io { path: path.to_path_buf(), source })?;
        Self::parse(&text, overrides)
            .map_err(|source| ReadError::Invalid { path: path.to_path_buf(), source })
    }

    /// Parses the JSON text of a configuration.
    pub fn parse(text: &[u8], overrides: AddressOverrides) -> Result<Self, ParseError> {
        parse::parse(text, overrides)
    }
}
