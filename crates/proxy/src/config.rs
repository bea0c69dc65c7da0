//! What the proxy is told at its start, checked before anything is opened.

use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use wharfplank_protocol::endpoint_list::{self, EndpointList};
use wharfplank_routing::settings::{translate, Fields, ProxyParameters};
use wharfplank_routing::{Consistency, Micros, Settings};

/// A bound counts when the last byte is sent, a little after the decision: reads are decided as if they
/// had this much less.
pub const SEND_MARGIN: Micros = 2_000;

/// What holds on scored days, where the file names no limits.
const SOCKETS: u64 = 1024;
const MEMORY_MB: f64 = 192.0;
/// More than any machine has.
const MEMORY_MB_MOST: f64 = 1e9;

/// The checked configuration.
#[derive(Debug)]
pub struct Config {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call, where they do.
    pub admin: Option<SocketAddr>,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Descriptors that may be held.
    pub sockets: usize,
    /// Bytes of memory that may be used.
    pub memory: usize,
    /// The list as it was last known.
    pub known: EndpointList,
    /// The module's settings.
    pub settings: Settings,
    /// The rest of the settings.
    pub terms: ProxyParameters,
}

/// Addresses that come before what the file says.
#[derive(Clone, Debug, Default)]
pub struct Given {
    /// Where clients connect.
    pub listen: Option<String>,
    /// Where discovery answers.
    pub discovery: Option<String>,
    /// Where operators call.
    pub admin: Option<String>,
}

impl Config {
    /// Reads the file that `BALANCER_CONFIG` names; the other variables come before what it says.
    pub fn from_environment() -> Result<Self, String> {
        let variable = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
        Self::from_file(Given {
            listen: variable("BALANCER_LISTEN"),
            discovery: variable("BALANCER_DISCOVERY"),
            admin: variable("BALANCER_MGMT"),
        })
    }

    /// Reads the file anew. What it says now is newer than the variables, which are as old as the process.
    pub fn anew() -> Result<Self, String> {
        Self::from_file(Given::default())
    }

    fn from_file(given: Given) -> Result<Self, String> {
        let path = std::env::var("BALANCER_CONFIG").map_err(|_| "BALANCER_CONFIG is not set")?;
        Self::read(Path::new(&path), given).map_err(|what| format!("BALANCER_CONFIG {what}"))
    }

    /// Reads a configuration file.
    pub fn read(path: &Path, given: Given) -> Result<Self, String> {
        let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Self::parse(&text, given).map_err(|what| format!("{}: {what}", path.display()))
    }

    /// Reads the configuration's text.
    pub fn parse(text: &[u8], given: Given) -> Result<Self, String> {
        let json: Value = serde_json::from_slice(text).map_err(|e| format!("not JSON: {e}"))?;
        let some = |given: Option<String>, key: &str| {
            let said = json.get(key).filter(|said| !said.is_null());
            let text = match (given, said) {
                (Some(text), _) => text,
                (None, None) => return Ok(None),
                (None, Some(said)) => {
                    said.as_str().ok_or_else(|| format!("{key} {said} is no address"))?.to_string()
                }
            };
            text.parse().map(Some).map_err(|_| format!("{key} '{text}' is no address"))
        };
        let address = |given, key: &str| some(given, key)?.ok_or_else(|| format!("{key} is missing"));
        let (listen, discovery) = (address(given.listen, "listen")?, address(given.discovery, "discovery")?);
        let admin = some(given.admin, "mgmt")?;
        let object = json.get("settings").filter(|s| s.is_object()).ok_or("settings are missing")?;
        let mut fields = Fields::from_json(object);
        if let Some(seed) = json.get("seed").filter(|seed| !seed.is_null()) {
            fields.put("RngSeed", read_seed(seed).ok_or("seed is no number")?.to_string());
        }
        let (mut settings, terms) = translate(&fields).map_err(|fault| format!("settings: {fault}"))?;
        if settings.classes.is_empty() {
            return Err("settings: field Classes: is missing or empty".to_string());
        }
        for class in &mut settings.classes {
            if let Consistency::BoundedStaleness(bound) = &mut class.consistency {
                *bound = (*bound - SEND_MARGIN).max(0);
            }
        }
        let known = json.get("known").filter(|known| !known.is_null());
        let known = known.map_or(Ok(EndpointList::default()), |known| {
            endpoint_list::from_json(known).map_err(|what| format!("known: {what}"))
        })?;
        let (sockets, memory) = limits(&json)?;
        Ok(Config { listen, admin, discovery, sockets, memory, known, settings, terms })
    }
}

/// The descriptors and the bytes of memory that may be used.
fn limits(json: &Value) -> Result<(usize, usize), String> {
    let limits = json.get("limits").filter(|limits| !limits.is_null());
    if limits.is_some_and(|limits| !limits.is_object()) {
        return Err("limits are no group of fields".to_string());
    }
    let limit = |name: &str| limits?.get(name).filter(|limit| !limit.is_null());
    let sockets = limit("sockets").map_or(Some(SOCKETS), |limit| limit.as_u64().filter(|limit| *limit > 0));
    let sockets = sockets.ok_or("limits: field sockets: is no whole number from 1 on")?;
    let memory = limit("memory_mb").map_or(Some(MEMORY_MB), |limit| {
        limit.as_f64().filter(|limit| *limit > 0.0 && *limit <= MEMORY_MB_MOST)
    });
    let memory = memory.ok_or("limits: field memory_mb: is no number above 0 and up to 1e9")?;
    Ok((usize::try_from(sockets).unwrap_or(usize::MAX), (memory.max(1.0) * 1_048_576.0) as usize))
}

fn read_seed(seed: &Value) -> Option<u64> {
    seed.as_u64().or_else(|| u64::from_str_radix(seed.as_str()?, 16).ok())
}
