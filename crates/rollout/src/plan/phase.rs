//! The phase of a rollout: whether it goes forward, is halted or rolls back.

use crate::{NodeId, Version};
use serde::{Deserialize, Serialize};

/// The phase of a rollout. Of two phases with the same revision number the later of these variants wins: the one that
/// does less harm. The order of the variants is part of the encoding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// It goes on to the next members and waves.
    Forward,
    /// No further member goes out; members that are out come back.
    Halted(HaltReason),
    /// The upgraded members go back to the previous version, the newest first. This can't be reverted.
    RollingBack(HaltReason),
}

/// Why a rollout halts or rolls back. The order of the variants is part of the encoding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum HaltReason {
    /// An operator's command.
    Operator,
    /// The upgraded members fail more attempts than the others.
    Failures,
    /// The upgraded members answer late more often than the others.
    Latency,
    /// This member was not back and healthy in time.
    NotReady(NodeId),
    /// An older rollout has precedence: the members go on to its version.
    OtherRollout(Version),
}

/// The newest change of a rollout's phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PhaseRevision {
    /// Grows with each change.
    pub number: u64,
    /// The phase.
    pub phase: Phase,
}
