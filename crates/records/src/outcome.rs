//! The outcomes of requests.

use serde::{Deserialize, Serialize};

/// The code of [`Outcome::Rejected`] with the first reason; the other reasons follow in order.
const REJECTED_CODES: i64 = 100;
/// The code of [`Outcome::Failed`] with the first reason; the other reasons follow in order.
const FAILED_CODES: i64 = 200;

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// Answered with a value, within the latency objective of its class.
    Served,
    /// Answered with a value, later than the latency objective of its class.
    Late,
    /// Rejected without having run, so a retry is safe.
    #[serde(rename = "Refused")]
    Rejected(FailureReason),
    /// Failed, and may have run.
    Failed(FailureReason),
}

impl Outcome {
    /// Returns the code of the outcome in a store's summaries: 0 served, 1 late, 100 to 199 rejected, 200 to
    /// 299 failed.
    pub fn code(self) -> i64 {
        match self {
            Outcome::Served => 0,
            Outcome::Late => 1,
            Outcome::Rejected(reason) => REJECTED_CODES + reason.index(),
            Outcome::Failed(reason) => FAILED_CODES + reason.index(),
        }
    }

    /// Returns the outcome with this code, or `None` if this version does not know the code.
    pub fn from_code(code: i64) -> Option<Outcome> {
        match code {
            0 => Some(Outcome::Served),
            1 => Some(Outcome::Late),
            100..=199 => FailureReason::from_index(code - REJECTED_CODES).map(Outcome::Rejected),
            200..=299 => FailureReason::from_index(code - FAILED_CODES).map(Outcome::Failed),
            _ => None,
        }
    }

    /// Returns whether the request was rejected or failed.
    pub fn is_failure(self) -> bool {
        matches!(self, Outcome::Rejected(_) | Outcome::Failed(_))
    }
}

/// The reason why a request was rejected or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum FailureReason {
    /// No replica was fresh enough for the read, and the primary did not take it.
    TooStale,
    /// The group had no usable primary.
    NoPrimary,
    /// The group has no members.
    NoMember,
    /// The request was shed because answers were late.
    #[serde(rename = "Shed")]
    LoadShed,
    /// The request waited in the queue for too long and was never sent to a member.
    #[serde(rename = "Held")]
    QueuedTooLong,
    /// The deadline of the request passed.
    #[serde(rename = "OutOfTime")]
    DeadlineExceeded,
    /// All attempts were used up.
    #[serde(rename = "Spent")]
    AttemptsExhausted,
    /// An attempt may have run, and the request must not be repeated.
    MayHaveRun,
    /// The proxy shut down.
    #[serde(rename = "Closing")]
    ShuttingDown,
    /// The class of the request is not configured.
    #[serde(rename = "Unusable")]
    UnknownClass,
    /// A fleet-wide quota was used up.
    #[serde(rename = "OverBudget")]
    OverQuota,
    /// The other proxies did not confirm in time that they have not sent the write.
    ClaimUnavailable,
}

impl FailureReason {
    /// All reasons in the order of their codes.
    pub const ALL: [FailureReason; 12] = [
        FailureReason::TooStale,
        FailureReason::NoPrimary,
        FailureReason::NoMember,
        FailureReason::LoadShed,
        FailureReason::QueuedTooLong,
        FailureReason::DeadlineExceeded,
        FailureReason::AttemptsExhausted,
        FailureReason::MayHaveRun,
        FailureReason::ShuttingDown,
        FailureReason::UnknownClass,
        FailureReason::OverQuota,
        FailureReason::ClaimUnavailable,
    ];

    /// Returns the name of the reason in reports.
    pub fn name(self) -> &'static str {
        match self {
            FailureReason::TooStale => "too stale",
            FailureReason::NoPrimary => "no primary",
            FailureReason::NoMember => "no member",
            FailureReason::LoadShed => "shed",
            FailureReason::QueuedTooLong => "held too long",
            FailureReason::DeadlineExceeded => "out of time",
            FailureReason::AttemptsExhausted => "attempts spent",
            FailureReason::MayHaveRun => "may have run",
            FailureReason::ShuttingDown => "closing",
            FailureReason::UnknownClass => "unusable",
            FailureReason::OverQuota => "over budget",
            FailureReason::ClaimUnavailable => "claim unavailable",
        }
    }

    fn index(self) -> i64 {
        FailureReason::ALL.iter().position(|reason| *reason == self).unwrap_or(0) as i64
    }

    fn from_index(index: i64) -> Option<FailureReason> {
        FailureReason::ALL.get(usize::try_from(index).ok()?).copied()
    }
}
