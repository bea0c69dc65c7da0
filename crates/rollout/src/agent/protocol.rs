//! The protocol between a proxy and the agent on a member's machine: one JSON object per datagram, since
//! agents are independent programs. An agent answers every request with an [`AgentStatus`] that has the
//! request's number.

use crate::{Incarnation, Version};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The maximum size of a datagram from an agent, in bytes.
const MAX_STATUS_BYTES: usize = 1024;

/// A request to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentRequest {
    /// The sequence number, which the agent repeats in its status.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// The command to the agent.
    #[serde(flatten)]
    pub command: AgentCommand,
}

/// A command to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "kebab-case")]
pub enum AgentCommand {
    /// Only report the status.
    Status,
    /// End this incarnation and start that version. At any other incarnation the agent does nothing.
    #[serde(rename = "leave")]
    Restart {
        /// The incarnation to end.
        #[serde(rename = "launch")]
        incarnation: Incarnation,
        /// The version to start.
        version: Version,
        /// Whether to restart only while the member does not serve.
        #[serde(rename = "down")]
        only_if_down: bool,
    },
    /// Hand over the group of this primary, at this incarnation of it, to a healthy replica.
    HandOver {
        /// The incarnation of the primary.
        #[serde(rename = "launch")]
        incarnation: Incarnation,
    },
}

/// An agent's reply: the current state of its member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentStatus {
    /// The sequence number of the request.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// The member's incarnation, as service discovery reports it (`born_ms`).
    #[serde(rename = "launch")]
    pub incarnation: Incarnation,
    /// The version that the member runs.
    pub version: Version,
    /// Whether the member serves.
    pub ready: bool,
}

/// The reason why a datagram is rejected.
#[derive(Debug, Error)]
pub enum InvalidDatagram {
    /// The datagram is longer than any valid status.
    #[error("agent status is too long: {0} bytes")]
    TooLong(usize),
    /// The datagram is not the expected JSON object.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

impl AgentRequest {
    /// Encodes the request.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a request, as an agent does.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram is malformed.
    pub fn from_bytes(bytes: &[u8]) -> Result<AgentRequest, InvalidDatagram> {
        Ok(serde_json::from_slice(bytes)?)
    }
}

impl AgentStatus {
    /// Encodes the status, as an agent does.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes a status, which is untrusted input.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram is too long or malformed.
    pub fn from_bytes(bytes: &[u8]) -> Result<AgentStatus, InvalidDatagram> {
        if bytes.len() > MAX_STATUS_BYTES {
            return Err(InvalidDatagram::TooLong(bytes.len()));
        }
        Ok(serde_json::from_slice(bytes)?)
    }
}
