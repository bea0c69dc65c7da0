//! What members did in a run, as their agents recorded it.

use serde::Serialize;
use wharfplank_lab::fleet::Micros;

/// Why a member stopped serving. The encoded names are those of the run's files.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum StopCause {
    /// A release ordered it.
    #[serde(rename = "Order")]
    Ordered,
    /// It crashed.
    #[serde(rename = "Fell")]
    Crashed,
    /// Discovery drained it.
    Drained,
}

/// Something that a member did.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MemberEvent {
    /// When.
    pub at: Micros,
    /// The member's number.
    pub member: usize,
    /// What it did.
    #[serde(rename = "what")]
    pub kind: MemberEventKind,
}

/// What a member did.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum MemberEventKind {
    /// It stopped serving.
    #[serde(rename = "Out")]
    Stopped {
        /// Why.
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
    /// It serves again.
    #[serde(rename = "Back")]
    Started {
        /// Its new incarnation.
        #[serde(rename = "launch")]
        incarnation: u64,
        /// The version that it runs.
        version: u64,
    },
}
