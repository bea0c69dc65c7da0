//! What members did, as their agents logged it.

use serde::Serialize;
use wharfplank_lab::fleet::Micros;

/// Why a member went out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum OutageCause {
    /// It followed an order.
    Order,
    /// It crashed.
    #[serde(rename = "Fell")]
    Crash,
    /// Service discovery drained it.
    #[serde(rename = "Drained")]
    Drain,
}

/// What a member did.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct MemberEvent {
    /// When.
    pub at: Micros,
    /// The member's index.
    pub member: usize,
    /// What it did.
    #[serde(rename = "what")]
    pub kind: MemberEventKind,
}

/// What a member did.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub enum MemberEventKind {
    /// It went out.
    #[serde(rename = "Out")]
    WentOut {
        /// Why.
        #[serde(rename = "why")]
        cause: OutageCause,
        /// The incarnation that ended.
        #[serde(rename = "launch")]
        incarnation: u64,
        /// Whether it was its group's primary.
        #[serde(rename = "primary")]
        was_primary: bool,
        /// Whether it served before.
        #[serde(rename = "served")]
        did_serve: bool,
    },
    /// It serves again.
    #[serde(rename = "Back")]
    CameBack {
        /// The new incarnation.
        #[serde(rename = "launch")]
        incarnation: u64,
        /// The version that it runs.
        version: u64,
    },
}

impl MemberEventKind {
    /// Whether it followed an order.
    pub fn is_followed_order(&self) -> bool {
        matches!(self, MemberEventKind::WentOut { cause: OutageCause::Order, .. })
    }
}
