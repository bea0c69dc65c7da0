//! The messages between the two processes of a hand-over.
//!
//! The serialized names stay the same across releases: a process may replace one of another release as long
//! as both have the same [`PROTOCOL_VERSION`].

use super::{CommandId, ConnectionCounts};
use serde::{Deserialize, Serialize};
use wharfplank_routing::{LearnedTraits, Micros};

/// The version of [`HandoverState`] and [`HandoverMessage`]. Processes with different versions do not
/// exchange them.
pub const PROTOCOL_VERSION: u32 = 1;

/// The largest concurrency limit of a member that a successor accepts.
pub const MAX_CONCURRENCY_LIMIT: f64 = 64.0;
/// The largest values of the other [`MemberTraits`] that a successor accepts.
const MAX_RELATIVE_LATENCY: f64 = 8.0;
const MAX_RATE_PER_SECOND: f64 = 1e5;
const MICROS_PER_SECOND: f64 = 1e6;

/// The state that a successor takes over from its predecessor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HandoverState {
    /// The version of the format, see [`PROTOCOL_VERSION`].
    pub version: u32,
    /// The endpoint list that the predecessor uses, in discovery's JSON format.
    #[serde(rename = "list")]
    pub endpoint_list: serde_json::Value,
    /// The ids of cordoned members.
    #[serde(rename = "out")]
    pub cordoned: Vec<String>,
    /// The ids of uncordoned members, each with its uncordon time.
    #[serde(rename = "back")]
    pub uncordoned_at: Vec<(String, Micros)>,
    /// The state of the members as the predecessor observed it.
    #[serde(rename = "learned")]
    pub members: Vec<MemberKnowledge>,
    /// The connections that the predecessor holds open.
    #[serde(rename = "holds")]
    pub connections: ConnectionCounts,
}

/// The state of a member as the predecessor observed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberKnowledge {
    /// The id of the member.
    pub id: String,
    /// The latest log position that the member itself reported.
    pub position: Micros,
    /// The time at which the member became suspected; 0 if it is not suspected.
    pub suspected_at: Micros,
    /// The measured behavior of the member; missing if the predecessor's release does not have this field.
    #[serde(default, rename = "ways")]
    pub traits: Option<MemberTraits>,
}

/// The behavior of a member as one process measured it. Times are on a clock that both processes share.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberTraits {
    /// The concurrency limit: how many requests this process may have in flight on the member.
    #[serde(rename = "limit")]
    pub concurrency_limit: f64,
    /// The mean latency of the member's answers relative to the usual latency.
    #[serde(rename = "slowness")]
    pub relative_latency: f64,
    /// The number of answers to this process per second.
    #[serde(rename = "rate")]
    pub answer_rate: f64,
    /// The last time at which the member was known to be the primary of its group; 0 if never.
    pub primary_at: Micros,
    /// The last time at which the member was known to be a replica; 0 if never.
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
    /// Returns the traits that the router starts with at `now`. Values from another process are clamped to
    /// plausible ones: finite numbers within bounds, and no times in the future.
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

/// A message between the two processes after the [`HandoverState`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HandoverMessage {
    /// The sender has applied an operator command on a member.
    Cordon {
        /// The id of the command, which the receiver repeats in [`HandoverMessage::CordonApplied`].
        number: CommandId,
        /// The member.
        id: String,
        /// Whether the member was cordoned; `false` if it was uncordoned.
        #[serde(rename = "out")]
        is_cordoned: bool,
        /// The time at which the command was applied.
        at: Micros,
    },
    /// The sender has applied the command with this id too.
    #[serde(rename = "Heard")]
    CordonApplied(CommandId),
    /// The successor accepts connections from now on.
    Serving,
    /// The connections that the predecessor currently holds open.
    #[serde(rename = "Holds")]
    Connections(ConnectionCounts),
}
