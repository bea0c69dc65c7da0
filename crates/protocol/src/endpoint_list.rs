//! The endpoint list of service discovery, read from and written as JSON.
//!
//! The JSON comes from outside the process, so every field is checked. The keys of the JSON (`seq`, `whole`,
//! `hosts`, `dial`, ...) are part of the platform's protocol; the types and fields here have names of their
//! own.

use serde_json::{json, Value};
use std::net::SocketAddr;
use thiserror::Error;

/// The health of an endpoint, as stated by the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointHealth {
    /// The member accepts requests (`active`).
    Active,
    /// The member finishes its open requests and accepts no new ones (`leaving`).
    Draining,
    /// The member has been removed (`left`).
    Removed,
}

impl EndpointHealth {
    fn from_json(text: &str) -> Option<Self> {
        match text {
            "active" => Some(EndpointHealth::Active),
            "leaving" => Some(EndpointHealth::Draining),
            "left" => Some(EndpointHealth::Removed),
            _ => None,
        }
    }

    fn as_json(self) -> &'static str {
        match self {
            EndpointHealth::Active => "active",
            EndpointHealth::Draining => "leaving",
            EndpointHealth::Removed => "left",
        }
    }
}

/// An entry of the endpoint list, which describes one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointRecord {
    /// The name of the member, which is the same for every proxy.
    pub name: String,
    /// The address at which this proxy reaches the member. Only a removed member may have none.
    pub address: Option<SocketAddr>,
    /// The zone in which the member runs.
    pub zone: String,
    /// The replicated group to which the member belongs.
    pub group: u64,
    /// The health of the member.
    pub health: EndpointHealth,
    /// The time of the member's last start, in Unix milliseconds; 0 if it was long ago or is not stated.
    pub started_at_ms: i64,
    /// Whether the list states that the member is the primary of its group.
    pub primary: bool,
}

/// The endpoint list, or the changed entries of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointList {
    /// The version of the list, which increases with each change.
    pub version: u64,
    /// Whether this is the complete list rather than a set of changed entries.
    pub complete: bool,
    /// The entries.
    pub endpoints: Vec<EndpointRecord>,
}

/// The reason why JSON is not a valid endpoint list.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum EndpointListError {
    /// The body is not JSON.
    #[error("not JSON: {0}")]
    NotJson(String),
    /// A required key of the list is absent or has the wrong type.
    #[error("{0} is missing or has the wrong type")]
    MissingKey(&'static str),
    /// An entry has no name.
    #[error("endpoint without a name (host)")]
    UnnamedEndpoint,
    /// An entry states a health that the protocol does not define.
    #[error("host {name}: unknown health {health:?}")]
    UnknownHealth {
        /// The name of the member.
        name: String,
        /// The stated health, if any.
        health: Option<String>,
    },
    /// The entry of a member that is not removed has no valid address.
    #[error("host {name}: dial is not an IP:PORT address")]
    InvalidAddress {
        /// The name of the member.
        name: String,
    },
}

/// Parses an endpoint list from the body of a response.
pub fn parse(body: &[u8]) -> Result<EndpointList, EndpointListError> {
    let value =
        serde_json::from_slice(body).map_err(|error| EndpointListError::NotJson(error.to_string()))?;
    from_json(&value)
}

/// Reads an endpoint list from JSON.
pub fn from_json(value: &Value) -> Result<EndpointList, EndpointListError> {
    let version = value.get("seq").and_then(Value::as_u64).ok_or(EndpointListError::MissingKey("seq"))?;
    let complete =
        value.get("whole").and_then(Value::as_bool).ok_or(EndpointListError::MissingKey("whole"))?;
    let hosts = value.get("hosts").and_then(Value::as_array).ok_or(EndpointListError::MissingKey("hosts"))?;
    let endpoints = hosts.iter().map(endpoint_from_json).collect::<Result<_, _>>()?;
    Ok(EndpointList { version, complete, endpoints })
}

/// Encodes an endpoint list in the form that [`from_json`] reads.
pub fn to_json(list: &EndpointList) -> Value {
    let hosts: Vec<Value> = list.endpoints.iter().map(endpoint_to_json).collect();
    json!({"seq": list.version, "whole": list.complete, "hosts": hosts})
}

fn endpoint_to_json(endpoint: &EndpointRecord) -> Value {
    let role = if endpoint.primary { "primary" } else { "replica" };
    json!({
        "host": endpoint.name,
        "dial": endpoint.address.map(|address| address.to_string()),
        "site": endpoint.zone,
        "block": endpoint.group,
        "health": endpoint.health.as_json(),
        "born_ms": endpoint.started_at_ms,
        "role": role,
    })
}

fn endpoint_from_json(value: &Value) -> Result<EndpointRecord, EndpointListError> {
    let text = |key: &str| value.get(key).and_then(Value::as_str);
    let name = text("host").ok_or(EndpointListError::UnnamedEndpoint)?;
    let health = text("health");
    let health = health.and_then(EndpointHealth::from_json).ok_or_else(|| {
        EndpointListError::UnknownHealth { name: name.to_string(), health: health.map(str::to_string) }
    })?;
    let address = text("dial").and_then(|dial| dial.parse().ok());
    if address.is_none() && health != EndpointHealth::Removed {
        return Err(EndpointListError::InvalidAddress { name: name.to_string() });
    }
    Ok(EndpointRecord {
        name: name.to_string(),
        address,
        zone: text("site").unwrap_or_default().to_string(),
        group: value.get("block").and_then(Value::as_u64).unwrap_or(0),
        health,
        started_at_ms: value.get("born_ms").and_then(Value::as_f64).map_or(0, |ms| ms as i64),
        primary: text("role") == Some("primary"),
    })
}
