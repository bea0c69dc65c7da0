//! The records. None holds a client's key or a statement.
//!
//! Stores hold records in a positional encoding: fields and variants keep their order, and new variants go to the end.

use crate::outcome::Outcome;
use serde::{Deserialize, Serialize};

/// A time or a span of time, in microseconds; times since the Unix epoch.
pub type Micros = i64;

/// A record with the time at which it was made.
pub type TimedRecord = (Micros, Record);

/// The state of a member as one proxy sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberState {
    /// The member's number.
    pub member: u32,
    /// Its group.
    pub group: u64,
    /// Whether the proxy takes it for the primary.
    pub primary: bool,
    /// Whether it is active on the endpoint list.
    pub active: bool,
    /// The newest known log position, or 0.
    pub position: Micros,
    /// When the position was learned, or 0.
    #[serde(rename = "heard")]
    pub position_seen_at: Micros,
    /// Since when the proxy suspects it.
    #[serde(rename = "suspected")]
    pub suspected_since: Option<Micros>,
    /// This proxy's requests in flight there.
    pub in_flight: u32,
    /// The mean latency of its answers in per cent of the usual one.
    #[serde(rename = "slowness")]
    pub relative_latency_percent: u32,
}

/// How stale the data was for a read that was rejected as too stale.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Staleness {
    /// The log position that the read needed.
    pub needed: Micros,
    /// The newest known log position.
    pub known: Micros,
}

/// Something that the program decided or observed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The number that stands for a class in the records of this run.
    Class {
        /// The number.
        class: u16,
        /// The name.
        name: String,
        /// The latency objective.
        #[serde(rename = "aim")]
        latency_objective: Micros,
    },
    /// The proxy's own place.
    Proxy {
        /// Its zone.
        zone: String,
    },
    /// The number that stands for a member in the records of this run.
    #[serde(rename = "Name")]
    Member {
        /// The number.
        member: u32,
        /// The name.
        name: String,
        /// The zone.
        zone: String,
    },
    /// A request got its final answer.
    Answer {
        /// Its class.
        class: u16,
        /// Its group.
        group: u64,
        /// The member that served it.
        member: Option<u32>,
        /// How many attempts were sent.
        attempts: u16,
        /// The time since the request's last byte arrived.
        took: Micros,
        /// How it was answered.
        outcome: Outcome,
        /// For a read that was rejected as too stale.
        #[serde(rename = "stale")]
        staleness: Option<Staleness>,
    },
    /// The state of a member.
    #[serde(rename = "Seen")]
    MemberState(MemberState),
    /// The endpoint list names a member.
    #[serde(rename = "Listed")]
    EndpointListed {
        /// The version of the list.
        #[serde(rename = "seq")]
        version: u64,
        /// The member.
        member: u32,
        /// `active`, `leaving` or `left`.
        health: String,
        /// When it last started; 0: long ago.
        #[serde(rename = "born")]
        started_at: Micros,
    },
    /// The staleness of the endpoint list, or an answer of discovery that is suspect.
    #[serde(rename = "List")]
    EndpointListState {
        /// The name of the staleness.
        #[serde(rename = "age")]
        staleness: Option<String>,
        /// Why an answer is suspect.
        #[serde(rename = "doubt")]
        suspect: Option<String>,
    },
    /// A health check has ended.
    #[serde(rename = "Probe")]
    HealthCheck {
        /// The member.
        member: u32,
        /// Whether the member answered.
        #[serde(rename = "ok")]
        answered: bool,
    },
    /// The configuration was read again.
    Reload {
        /// Whether it was applied.
        #[serde(rename = "ok")]
        applied: bool,
    },
    /// The process was asked to end.
    #[serde(rename = "Stopping")]
    ShuttingDown,
    /// Records were lost; the span ends at the time of this record.
    Lost {
        /// How many.
        count: u64,
        /// When the span begins.
        since: Micros,
    },
    /// Something was done in a rollout that this proxy drives.
    #[serde(rename = "Release")]
    Rollout {
        /// The rollout's name.
        #[serde(rename = "release")]
        rollout: String,
        /// What was done.
        #[serde(rename = "what")]
        action: String,
        /// The member to which it was done; `-`: none.
        member: String,
        /// Further detail: a launch, a wave, or a reason.
        detail: String,
    },
}
