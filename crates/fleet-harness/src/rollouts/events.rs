//! The events of members in a run, as their agents recorded them.

use serde::Serialize;
use wharfplank_lab::member_model::Micros;

/// The reason why a member stopped serving. The encoded names are those of the run's files.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum StopCause {
    /// A rollout ordered the restart.
    #[serde(rename = "Order")]
    Ordered,
    /// The member crashed.
    #[serde(rename = "Fell")]
    Crashed,
    /// Service discovery drained the member.
    Drained,
}

/// An event of a member.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MemberEvent {
    /// The time of the event.
    pub at: Micros,
    /// The member's number.
    pub member: usize,
    /// The kind of event.
    #[serde(rename = "what")]
    pub kind: MemberEventKind,
}

/// A kind of member event.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum MemberEventKind {
    /// The member stopped serving.
    #[serde(rename = "Out")]
    Stopped {
        /// The reason.
        #[serde(rename = "why")]
        cause: StopCause,
        /// The incarnation that ended.
        #[serde(rename = "launch")]
        incarnation: u64,
        /// Whether it was its group's primary.
        #[serde(rename = "primary")]
        was_primary: bool,
        /// Whether it served before.
        #[serde(rename = "served")]
        was_serving: bool,
    },
    /// The member serves again.
    #[serde(rename = "Back")]
    Started {
        /// Its new incarnation.
        #[serde(rename = "launch")]
        incarnation: u64,
        /// The version that it runs.
        version: u64,
    },
}
