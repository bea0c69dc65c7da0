//! The values of the replicated state. The ordering of each type is its merge rule: the greater value wins.
//! The maximum under a total order is commutative, associative and idempotent, so copies may be delayed,
//! duplicated or reordered.

use crate::clock::HybridTimestamp;
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use wharfplank_health::HealthObservation;

/// Whether a member is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberStatus {
    /// The member answers.
    #[serde(rename = "Clear")]
    Alive,
    /// The member stopped answering the proxy that reports the suspicion.
    Suspected,
}

/// The known outcome of a write whose client received no answer. The ordering is the merge rule.
///
/// A write may have been sent several times under its id. That one of these sends was not executed says
/// nothing of the others, so a doubt wins over it, in whichever order they were reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WriteOutcome {
    /// The write is in doubt: it may have been executed.
    #[serde(rename = "Open")]
    InDoubt,
    /// One of its sends was not executed. Only proxies of earlier versions report this.
    #[serde(rename = "NotRun")]
    NotExecuted,
    /// The write was executed.
    #[serde(rename = "Ran")]
    Executed,
}

impl WriteOutcome {
    /// Returns the place in the ordering. The order of the variants is part of their encoding.
    fn rank(self) -> u8 {
        match self {
            WriteOutcome::NotExecuted => 0,
            WriteOutcome::InDoubt => 1,
            WriteOutcome::Executed => 2,
        }
    }

    /// Returns whether the write was or may have been executed and so must not be sent again.
    pub fn may_have_executed(self) -> bool {
        matches!(self, WriteOutcome::InDoubt | WriteOutcome::Executed)
    }
}

impl Ord for WriteOutcome {
    fn cmp(&self, other: &Self) -> Ordering {
        self.rank().cmp(&other.rank())
    }
}

impl PartialOrd for WriteOutcome {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// The value of an entry. Of two copies, the greater one is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Value {
    /// The highest known log position within an epoch. A newer epoch wins whatever its position, since a
    /// restarted member may have lost data of its previous process.
    Position {
        /// The start time of the member's process from the endpoint list, in Unix milliseconds; 0 if unknown.
        epoch: i64,
        /// The log position in microseconds.
        #[serde(rename = "at")]
        position: Micros,
    },
    /// The last write by the hybrid clock wins. Correct proxies issue no equal timestamps; should two be
    /// equal, the suspicion wins.
    #[serde(rename = "Mark")]
    MemberStatus {
        /// The time at which the status was set, and the process that set it.
        #[serde(rename = "stamp")]
        timestamp: HybridTimestamp,
        /// The status.
        #[serde(rename = "mark")]
        status: MemberStatus,
    },
    /// The count of one process, which never decreases. The counter's value is the sum over all processes.
    #[serde(rename = "Count")]
    Counter(u64),
    /// The known outcome of a write.
    #[serde(rename = "Doubt")]
    WriteOutcome(WriteOutcome),
    /// A health observation. That of the member's newer incarnation wins, then that of the newer window.
    Health(HealthObservation),
}
