//! What goes between those that drive a release, the banks and the members.

use crate::{Id, Launch, PlanId, Version};
use serde::{Deserialize, Serialize};

/// A driver asks a bank for permits. One without wants asks what the plan holds there.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ask {
    /// For which release.
    pub plan: PlanId,
    /// The newest word on the release's course that the driver knows: one that knows less than the bank gets nothing new.
    pub control: u64,
    /// The driver's [`crate::Roster::digest`].
    pub roster: u64,
    /// The driver's process: a number that no other process has, nor had.
    pub holder: u64,
    /// Grows with each ask of this holder to this bank.
    pub number: u64,
    /// Who is to go out, each at the launch it was seen at, the most wanted first.
    pub wants: Vec<(Id, Launch)>,
}

/// Leave for one launch of one member to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Permit {
    /// Who may go out.
    pub id: Id,
    /// At which launch.
    pub launch: Launch,
    /// Grows with each permit of the bank.
    pub number: u64,
    /// Given since it is out by itself: it may not go out where it serves again.
    pub down: bool,
    /// Whether it can't be returned: a process other than the one that it was given to was told of it, or it moved on
    /// from an earlier launch.
    pub shared: bool,
}

/// A bank's answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// For which release.
    pub plan: PlanId,
    /// To which process.
    pub holder: u64,
    /// The ask that it answers.
    pub ask: u64,
    /// All permits of the release at this bank.
    pub held: Vec<Permit>,
    /// What is wanted and may not go yet.
    pub refused: Vec<(Id, Refusal)>,
}

/// Why one may not go out yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// As many of its group are out as may be.
    Group,
    /// As many of its zone.
    Zone,
    /// As many of the fleet.
    Fleet,
    /// It is the last replica that can serve its group's reads.
    LastReplica,
    /// It is its group's primary: that is to be handed over first.
    Primary,
    /// No sound primary is seen in its group: it may have to become that.
    NoPrimary,
    /// Another release holds a permit for it.
    Held,
    /// The driver has another roster, or another allowance.
    Roster,
    /// The launch is over, or the release has taken another course since.
    Stale,
    /// The bank doesn't watch over it, or lost its ledger and waits for an operator.
    Closed,
}

/// A permit given back by the one process that it was given to, which never ordered anything by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Return {
    /// Who doesn't go out.
    pub id: Id,
    /// Which permit.
    pub number: u64,
    /// The process that it was given to.
    pub holder: u64,
}

/// An order to a member: end this launch and start as that version. At any other launch it is not followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// To whom.
    pub id: Id,
    /// The launch that is to end.
    pub launch: Launch,
    /// What is to start.
    pub version: Version,
    /// Only where it doesn't serve.
    pub down: bool,
}
