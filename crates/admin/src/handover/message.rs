//! What the two processes of a hand-over send each other.
//!
//! The serialised names are those of earlier versions: a process of one version may replace a process of another, as
//! long as both have the same [`PROTOCOL_VERSION`].

use super::{CommandId, ConnectionCounts};
use serde::{Deserialize, Serialize};
use wharfplank_routing::{LearnedTraits, Micros};

/// The version of [`HandoverState`] and [`HandoverMessage`]; processes of different versions do not exchange them.
pub const PROTOCOL_VERSION: u32 = 1;

/// The largest concurrency limit of a member that a successor accepts.
pub const MAX_CONCURRENCY_LIMIT: f64 = 64.0;
/// Bounds of the other [`MemberTraits`] that a successor accepts.
const MAX_RELATIVE_LATENCY: f64 = 8.0;
const MAX_RATE_PER_SECOND: f64 = 1e5;
const MICROS_PER_SECOND: f64 = 1e6;

/// What a successor starts from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HandoverState {
    /// See [`PROTOCOL_VERSION`].
    pub version: u32,
    /// The endpoint list as the predecessor uses it, in discovery's JSON form.
    #[serde(rename = "list")]
    pub endpoint_list: serde_json::Value,
    /// The ids of cordoned members.
    #[serde(rename = "out")]
    pub cordoned: Vec<String>,
    /// The ids of uncordoned members, and when each was uncordoned.
    #[serde(rename = "back")]
    pub uncordoned_at: Vec<(String, Micros)>,
    /// What the predecessor has learned of members.
    #[serde(rename = "learned")]
    pub members: Vec<MemberKnowledge>,
    /// The connections that the predecessor holds.
    #[serde(rename = "holds")]
    pub connections: ConnectionCounts,
}

/// What a predecessor has learned of a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberKnowledge {
    /// Its id.
    pub id: String,
    /// The latest log position that it reported itself.
    pub position: Micros,
    /// Since when it has been suspected; 0 where it is not.
    pub suspected_at: Micros,
    /// How it answers; missing from predecessors that are older than this field.
    #[serde(default, rename = "ways")]
    pub traits: Option<MemberTraits>,
}

/// How a member answers one process. Times are of a clock that both processes share.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberTraits {
    /// The concurrency limit: how many requests of this process it may have in flight.
    #[serde(rename = "limit")]
    pub concurrency_limit: f64,
    /// The mean latency of its answers relative to the usual one.
    #[serde(rename = "slowness")]
    pub relative_latency: f64,
    /// Its answers to this process per second.
    #[serde(rename = "rate")]
    pub answer_rate: f64,
    /// When it was last known to be the primary of its group; 0 where it never was.
    pub primary_at: Micros,
    /// When it was last known to be a replica; 0 where it never was.
    pub replica_at: Micros,
}

impl From<LearnedTraits> for MemberTraits {
    fn from(traits: LearnedTraits) -> Self {
        MemberTraits {
            concurrency_limit: traits.concurrency_limit,
            relative_latency: traits.relative_latency,
            answer_rate: traits.answer_rate * MICROS_PER_SECOND,
            primary_at: traits.primary_at,
            replica_at: traits.replica_at,
        }
    }
}

impl MemberTraits {
    /// The traits that the router starts from at `now`. Values of another process are clamped to plausible ones: finite
    /// numbers within bounds, and no time in the future.
    pub fn to_learned(self, now: Micros) -> LearnedTraits {
        LearnedTraits {
            concurrency_limit: clamp_finite(self.concurrency_limit, 1.0, MAX_CONCURRENCY_LIMIT),
            relative_latency: clamp_finite(self.relative_latency, 0.0, MAX_RELATIVE_LATENCY),
            answer_rate: clamp_finite(self.answer_rate, 0.0, MAX_RATE_PER_SECOND) / MICROS_PER_SECOND,
            primary_at: self.primary_at.clamp(0, now),
            replica_at: self.replica_at.clamp(0, now),
        }
    }
}

fn clamp_finite(value: f64, min: f64, max: f64) -> f64 {
    if value.is_finite() {
        value.clamp(min, max)
    } else {
        min
    }
}

/// What the two processes send each other after the state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandoverMessage {
    /// An operator's command on a member was carried out by the sender.
    Cordon {
        /// Identifies the command in the other's [`HandoverMessage::CordonApplied`].
        number: CommandId,
        /// The member.
        id: String,
        /// Whether the member was cordoned; `false` where it was uncordoned.
        #[serde(rename = "out")]
        is_cordoned: bool,
        /// When the command was carried out.
        at: Micros,
    },
    /// The command of this id is in force at the sender too.
    #[serde(rename = "Heard")]
    CordonApplied(CommandId),
    /// The successor accepts connections from now on.
    Serving,
    /// The connections that the predecessor holds now.
    #[serde(rename = "Holds")]
    Connections(ConnectionCounts),
}
