//! How requests are answered, as records name it.

use serde::{Deserialize, Serialize};

/// The code of [`Outcome::Rejected`] with the first reason; those of the others follow.
const REJECTED_CODES: i64 = 100;
/// The code of [`Outcome::Failed`] with the first reason; those of the others follow.
const FAILED_CODES: i64 = 200;

/// How a request was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// With a value, within the latency objective of its class.
    Served,
    /// With a value, later than that.
    Late,
    /// Rejected without having run: a retry is harmless.
    #[serde(rename = "Refused")]
    Rejected(FailureReason),
    /// Failed: it may have run.
    Failed(FailureReason),
}

impl Outcome {
    /// The code of the outcome in a store's summaries: 0 served, 1 late, from 100 on rejected, from 200 on failed.
    pub fn code(self) -> i64 {
        match self {
            Outcome::Served => 0,
            Outcome::Late => 1,
            Outcome::Rejected(reason) => REJECTED_CODES + reason.index(),
            Outcome::Failed(reason) => FAILED_CODES + reason.index(),
        }
    }

    /// The outcome of a code; `None` for a code that this version does not know.
    pub fn from_code(code: i64) -> Option<Outcome> {
        match code {
            0 => Some(Outcome::Served),
            1 => Some(Outcome::Late),
            100..=199 => FailureReason::from_index(code - REJECTED_CODES).map(Outcome::Rejected),
            200..=299 => FailureReason::from_index(code - FAILED_CODES).map(Outcome::Failed),
            _ => None,
        }
    }

    /// Whether the request got no value.
    pub fn is_failure(self) -> bool {
        matches!(self, Outcome::Rejected(_) | Outcome::Failed(_))
    }
}

/// Why a request was rejected or failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum FailureReason {
    /// No replica was new enough for the read, and the primary did not take it.
    TooStale,
    /// The group had no usable primary.
    NoPrimary,
    /// The group has no members.
    NoMember,
    /// It was shed because answers came late.
    #[serde(rename = "Shed")]
    LoadShed,
    /// It was queued for too long without having reached a member.
    #[serde(rename = "Held")]
    QueuedTooLong,
    /// Its deadline passed.
    #[serde(rename = "OutOfTime")]
    DeadlineExceeded,
    /// All attempts were used up.
    #[serde(rename = "Spent")]
    AttemptsExhausted,
    /// An attempt may have run and must not be repeated.
    MayHaveRun,
    /// The process shut down.
    #[serde(rename = "Closing")]
    ShuttingDown,
    /// Its class is not known.
    #[serde(rename = "Unusable")]
    UnknownClass,
    /// A quota of the whole fleet was used up.
    #[serde(rename = "OverBudget")]
    OverQuota,
}

impl FailureReason {
    /// All reasons in the order of their codes.
    pub const ALL: [FailureReason; 11] = [
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
    ];

    /// The name that reports show.
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
        }
    }

    fn index(self) -> i64 {
        FailureReason::ALL.iter().position(|reason| *reason == self).unwrap_or(0) as i64
    }

    fn from_index(index: i64) -> Option<FailureReason> {
        FailureReason::ALL.get(usize::try_from(index).ok()?).copied()
    }
}
