//! Time spans for which a proxy's records are missing or incomplete.

use crate::record::Micros;

/// The reason why records are missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum GapCause {
    /// The process shut down gracefully and started again.
    Restart,
    /// The process was killed and started again.
    Killed,
    /// Records could not be stored.
    Lost,
    /// A block of the store cannot be read.
    Damaged,
    /// The clock was set back between two runs, so the same times occur twice.
    ClockBack,
}

impl GapCause {
    /// Returns the name of the cause in reports.
    pub fn name(self) -> &'static str {
        match self {
            GapCause::Restart => "restart",
            GapCause::Killed => "killed and started again",
            GapCause::Lost => "records lost",
            GapCause::Damaged => "records damaged",
            GapCause::ClockBack => "the clock went back",
        }
    }
}

/// A time span for which a proxy's records are missing or incomplete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gap {
    /// The name of the proxy.
    pub proxy: String,
    /// The start of the span.
    pub from: Micros,
    /// The end of the span.
    pub to: Micros,
    /// The reason why records are missing.
    pub cause: GapCause,
    /// The number of missing records; `None` if they were not counted.
    pub count: Option<u64>,
}
