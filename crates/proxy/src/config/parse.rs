//! Parses the JSON text of a configuration.

use super::{AddressOverrides, Config, ParseError};
use serde_json::Value;
use std::net::SocketAddr;
use wharfplank_protocol::endpoint_list::{self, EndpointList};
use wharfplank_routing::settings::{translate, Fields, ProxyParameters};
use wharfplank_routing::{Consistency, Micros, Settings};

/// The amount by which staleness bounds are tightened for routing decisions, in microseconds. The bound
/// applies when the last byte of a read is sent, which is slightly after the decision.
pub const SEND_MARGIN: Micros = 2_000;

/// The default of `limits.sockets`: the limit in the platform's scored runs.
const DEFAULT_DESCRIPTORS: u64 = 1024;
/// The default of `limits.memory_mb`: the limit in the platform's scored runs.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// The maximum of `limits.memory_mb`, more than the memory of any machine.
const MAX_MEMORY_MB: f64 = 1e9;
const BYTES_PER_MB: f64 = 1_048_576.0;

pub(super) fn parse(text: &[u8], overrides: AddressOverrides) -> Result<Config, ParseError> {
    let json: Value = serde_json::from_slice(text)?;
    let listen = required_address(&json, "listen", overrides.listen)?;
    let discovery = required_address(&json, "discovery", overrides.discovery)?;
    let admin = optional_address(&json, "mgmt", overrides.admin)?;
    let (settings, parameters) = parse_settings(&json)?;
    let initial_endpoints = parse_known_endpoints(&json)?;
    let limits = non_null(&json, "limits");
    if limits.is_some_and(|limits| !limits.is_object()) {
        return Err(ParseError::LimitsNotObject);
    }
    let max_descriptors = parse_max_descriptors(limits)?;
    let max_memory_bytes = parse_max_memory(limits)?;
    Ok(Config {
        listen,
        admin,
        discovery,
        max_descriptors,
        max_memory_bytes,
        initial_endpoints,
        settings,
        parameters,
    })
}

/// Returns the value of a key; `null` counts as missing.
fn non_null<'a>(json: &'a Value, key: &str) -> Option<&'a Value> {
    json.get(key).filter(|value| !value.is_null())
}

fn required_address(
    json: &Value,
    field: &'static str,
    override_text: Option<String>,
) -> Result<SocketAddr, ParseError> {
    optional_address(json, field, override_text)?.ok_or(ParseError::MissingAddress(field))
}

fn optional_address(
    json: &Value,
    field: &'static str,
    override_text: Option<String>,
) -> Result<Option<SocketAddr>, ParseError> {
    let text = match (override_text, non_null(json, field)) {
        (Some(text), _) => text,
        (None, Some(Value::String(text))) => text.clone(),
        (None, Some(value)) => return Err(ParseError::AddressNotText { field, value: value.clone() }),
        (None, None) => return Ok(None),
    };
    match text.parse() {
        Ok(address) => Ok(Some(address)),
        Err(_) => Err(ParseError::InvalidAddress { field, text }),
    }
}

fn parse_settings(json: &Value) -> Result<(Settings, ProxyParameters), ParseError> {
    let object = json.get("settings").filter(|settings| settings.is_object());
    let mut fields = Fields::from_json(object.ok_or(ParseError::MissingSettings)?);
    if let Some(seed) = non_null(json, "seed") {
        let seed = parse_seed(seed).ok_or(ParseError::InvalidSeed)?;
        fields.put("RngSeed", seed.to_string());
    }
    let (mut settings, parameters) = translate(&fields).map_err(ParseError::InvalidSettings)?;
    if settings.classes.is_empty() {
        return Err(ParseError::NoClasses);
    }
    for class in &mut settings.classes {
        if let Consistency::BoundedStaleness(bound) = &mut class.consistency {
            *bound = (*bound - SEND_MARGIN).max(0);
        }
    }
    Ok((settings, parameters))
}

/// Parses a whole number or a string of hexadecimal digits.
fn parse_seed(seed: &Value) -> Option<u64> {
    seed.as_u64().or_else(|| u64::from_str_radix(seed.as_str()?, 16).ok())
}

fn parse_known_endpoints(json: &Value) -> Result<EndpointList, ParseError> {
    match non_null(json, "known") {
        Some(known) => Ok(endpoint_list::from_json(known)?),
        None => Ok(EndpointList::default()),
    }
}

fn parse_max_descriptors(limits: Option<&Value>) -> Result<usize, ParseError> {
    let descriptors = match limits.and_then(|limits| non_null(limits, "sockets")) {
        Some(limit) => limit.as_u64().filter(|limit| *limit > 0),
        None => Some(DEFAULT_DESCRIPTORS),
    };
    let descriptors = descriptors.ok_or(ParseError::InvalidDescriptorLimit)?;
    Ok(usize::try_from(descriptors).unwrap_or(usize::MAX))
}

/// Parses the memory limit, in bytes.
fn parse_max_memory(limits: Option<&Value>) -> Result<usize, ParseError> {
    let megabytes = match limits.and_then(|limits| non_null(limits, "memory_mb")) {
        Some(limit) => limit.as_f64().filter(|limit| *limit > 0.0 && *limit <= MAX_MEMORY_MB),
        None => Some(DEFAULT_MEMORY_MB),
    };
    let megabytes = megabytes.ok_or(ParseError::InvalidMemoryLimit)?;
    Ok((megabytes.max(1.0) * BYTES_PER_MB) as usize)
}
