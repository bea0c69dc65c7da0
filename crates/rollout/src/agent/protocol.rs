//! The protocol between a proxy and the agent on a member's machine: one JSON object in a datagram, since agents are
//! programs of others. An agent answers every request with an [`AgentStatus`] that has the request's number.

use crate::{Incarnation, Version};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The largest datagram that is accepted from an agent, in bytes.
const MAX_STATUS_BYTES: usize = 1024;

/// A request to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentRequest {
    /// The status that answers it has the same number.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// What the agent is to do.
    #[serde(flatten)]
    pub command: AgentCommand,
}

/// What an agent is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "kebab-case")]
pub enum AgentCommand {
    /// Nothing but report its status.
    Status,
    /// End this incarnation and start that version: at any other incarnation nothing is done.
    #[serde(rename = "leave")]
    Restart {
        /// The incarnation that is to end.
        #[serde(rename = "launch")]
        incarnation: Incarnation,
        /// The version that is to start.
        version: Version,
        /// Whether to do so only while the member does not serve.
        #[serde(rename = "down")]
        only_if_down: bool,
    },
    /// Hand the group of this primary, at this incarnation of it, over to a healthy replica.
    HandOver {
        /// The incarnation.
        #[serde(rename = "launch")]
        incarnation: Incarnation,
    },
}

/// An agent's answer: the current state of its member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentStatus {
    /// The number of the request.
    #[serde(rename = "number")]
    pub sequence: u64,
    /// The member's incarnation, as service discovery reports it (`born_ms`).
    #[serde(rename = "launch")]
    pub incarnation: Incarnation,
    /// The version that it runs.
    pub version: Version,
    /// Whether it serves.
    pub ready: bool,
}

/// Why a datagram is rejected.
#[derive(Debug, Error)]
pub enum InvalidDatagram {
    /// It is longer than any status.
    #[error("{0} bytes are too long")]
    TooLong(usize),
    /// It is not the expected JSON object.
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
    /// If it is malformed.
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
    /// If it is too long or malformed.
    pub fn from_bytes(bytes: &[u8]) -> Result<AgentStatus, InvalidDatagram> {
        if bytes.len() > MAX_STATUS_BYTES {
            return Err(InvalidDatagram::TooLong(bytes.len()));
        }
        Ok(serde_json::from_slice(bytes)?)
    }
}
