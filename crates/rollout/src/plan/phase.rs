//! The phase of a rollout: whether it goes forward, is halted or rolls back.

use crate::{NodeId, Version};
use serde::{Deserialize, Serialize};

/// The phase of a rollout. If two phases have the same revision number, the later of these variants wins,
/// which is the one that does less harm. The order of the variants is part of the encoding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// The rollout continues with the next members and waves.
    Forward,
    /// No further member is restarted. Members that are restarting are completed.
    Halted(HaltReason),
    /// The upgraded members return to the previous version, the most recently upgraded first. This can't
    /// be reverted.
    RollingBack(HaltReason),
}

/// The reason why a rollout is halted or rolled back. The order of the variants is part of the encoding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum HaltReason {
    /// An operator gave the command.
    Operator,
    /// The upgraded members fail more attempts than the others.
    Failures,
    /// The upgraded members answer late more often than the others.
    Latency,
    /// This member was not healthy again in time.
    NotReady(NodeId),
    /// An older rollout has precedence, and the members change to its version.
    OtherRollout(Version),
}

/// The newest change of a rollout's phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PhaseRevision {
    /// The revision number, which increases with each change.
    pub number: u64,
    /// The phase.
    pub phase: Phase,
}
