//! The values of the replicated state. The order of each type is its merge rule: the greater value wins. A maximum of a
//! total order is commutative, associative and idempotent, so copies may arrive late, twice or in any order.

use crate::clock::HybridTimestamp;
use crate::Micros;
use serde::{Deserialize, Serialize};
use wharfplank_health::HealthObservation;

/// Whether a member is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberStatus {
    /// It answers.
    #[serde(rename = "Clear")]
    Alive,
    /// It fell silent at the proxy that says so.
    Suspected,
}

/// What is known of a write whose client got no answer. The order is the merge rule: to know more wins, and that the
/// write was executed wins over a report that it was not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum WriteOutcome {
    /// The write is in doubt: it may have been executed.
    #[serde(rename = "Open")]
    InDoubt,
    /// It was not executed: it may be sent again.
    #[serde(rename = "NotRun")]
    NotExecuted,
    /// It was executed.
    #[serde(rename = "Ran")]
    Executed,
}

impl WriteOutcome {
    /// Whether the write was or may have been executed, and so must not be sent again.
    pub fn may_have_executed(self) -> bool {
        matches!(self, WriteOutcome::InDoubt | WriteOutcome::Executed)
    }
}

/// The value of an entry. Copies merge to the greater one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Value {
    /// A maximum within an epoch. A newer epoch wins whatever its position: a member that restarted may have lost data
    /// that the old process had.
    Position {
        /// When the member's process started, in Unix milliseconds as the endpoint list has it; 0 if unknown.
        epoch: i64,
        /// The log position in microseconds.
        #[serde(rename = "at")]
        position: Micros,
    },
    /// The last writer wins, by the hybrid clock. Of equal timestamps, which no correct proxy issues, a suspicion wins.
    #[serde(rename = "Mark")]
    MemberStatus {
        /// When the status was set, and by which process.
        #[serde(rename = "stamp")]
        timestamp: HybridTimestamp,
        /// The status.
        #[serde(rename = "mark")]
        status: MemberStatus,
    },
    /// What one process has counted; it only grows. The counter's value is the sum over all processes.
    #[serde(rename = "Count")]
    Counter(u64),
    /// What is known of a write.
    #[serde(rename = "Doubt")]
    WriteOutcome(WriteOutcome),
    /// The observation of the newer launch of the member wins, then that of the newer window.
    Health(HealthObservation),
}
