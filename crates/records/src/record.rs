//! The record types. No record contains a client's key or a statement.
//!
//! Stores hold records in a positional encoding: fields and variants keep their order, and new variants are
//! appended.

use crate::outcome::Outcome;
use serde::{Deserialize, Serialize};

/// A time or a duration in microseconds. Times count from the Unix epoch.
pub type Micros = i64;

/// A record with its time.
pub type TimedRecord = (Micros, Record);

/// The state of a member as one proxy sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberState {
    /// The member's number.
    pub member: u32,
    /// The member's group.
    pub group: u64,
    /// Whether the proxy regards the member as the primary.
    pub primary: bool,
    /// Whether the member is active in the endpoint list.
    pub active: bool,
    /// The newest known log position, or 0 if unknown.
    pub position: Micros,
    /// The time at which the position became known, or 0.
    #[serde(rename = "heard")]
    pub position_seen_at: Micros,
    /// The time at which the proxy began to suspect the member, if it does.
    #[serde(rename = "suspected")]
    pub suspected_since: Option<Micros>,
    /// The number of this proxy's requests in flight on the member.
    pub in_flight: u32,
    /// The mean latency of the member's answers, in percent of the usual latency.
    #[serde(rename = "slowness")]
    pub relative_latency_percent: u32,
}

/// The staleness of the data for a read that was rejected as too stale.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Staleness {
    /// The log position that the read needed.
    pub needed: Micros,
    /// The newest known log position.
    pub known: Micros,
}

/// A decision or an observation of the proxy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Assigns a number to a class for the records of this run.
    Class {
        /// The number.
        class: u16,
        /// The name.
        name: String,
        /// The latency objective.
        #[serde(rename = "aim")]
        latency_objective: Micros,
    },
    /// The location of the proxy itself.
    Proxy {
        /// The zone of the proxy.
        zone: String,
    },
    /// Assigns a number to a member for the records of this run.
    #[serde(rename = "Name")]
    Member {
        /// The number.
        member: u32,
        /// The name.
        name: String,
        /// The zone.
        zone: String,
    },
    /// The final answer to a request.
    Answer {
        /// The class of the request.
        class: u16,
        /// The group of the request.
        group: u64,
        /// The member that served the request.
        member: Option<u32>,
        /// The number of attempts that were sent.
        attempts: u16,
        /// The time from the arrival of the request's last byte to the answer.
        took: Micros,
        /// The outcome of the request.
        outcome: Outcome,
        /// The staleness of the data, for a read that was rejected as too stale.
        #[serde(rename = "stale")]
        staleness: Option<Staleness>,
    },
    /// The state of a member.
    #[serde(rename = "Seen")]
    MemberState(MemberState),
    /// An entry of the endpoint list.
    #[serde(rename = "Listed")]
    EndpointListed {
        /// The version of the list.
        #[serde(rename = "seq")]
        version: u64,
        /// The member.
        member: u32,
        /// `active`, `leaving` or `left`.
        health: String,
        /// The time of the last start; 0 if it was long ago.
        #[serde(rename = "born")]
        started_at: Micros,
    },
    /// The staleness of the endpoint list, or a suspect answer from discovery.
    #[serde(rename = "List")]
    EndpointListState {
        /// The name of the staleness level.
        #[serde(rename = "age")]
        staleness: Option<String>,
        /// The reason why an answer is suspect.
        #[serde(rename = "doubt")]
        suspect: Option<String>,
    },
    /// The result of a health check.
    #[serde(rename = "Probe")]
    HealthCheck {
        /// The member.
        member: u32,
        /// Whether the member answered.
        #[serde(rename = "ok")]
        answered: bool,
    },
    /// A reload of the configuration.
    Reload {
        /// Whether the new configuration was applied.
        #[serde(rename = "ok")]
        applied: bool,
    },
    /// The process was asked to shut down.
    #[serde(rename = "Stopping")]
    ShuttingDown,
    /// Records were lost. The span ends at the time of this record.
    Lost {
        /// The number of lost records.
        count: u64,
        /// The start of the span.
        since: Micros,
    },
    /// An action in a rollout that this proxy leads.
    #[serde(rename = "Release")]
    Rollout {
        /// The name of the rollout.
        #[serde(rename = "release")]
        rollout: String,
        /// The action.
        #[serde(rename = "what")]
        action: String,
        /// The member that the action is about, or `-` for none.
        member: String,
        /// Further detail, such as a process start, a wave or a reason.
        detail: String,
    },
}
