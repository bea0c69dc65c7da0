//! Spans about which a proxy's records say nothing, or not everything.

use crate::record::Micros;

/// Why records are missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum GapCause {
    /// The process shut down in order and started again.
    Restart,
    /// The process was killed and started again.
    Killed,
    /// Records could not be stored.
    Lost,
    /// A block of the store cannot be read.
    Damaged,
    /// The clock went back between two runs: the same times occur twice.
    ClockBack,
}

impl GapCause {
    /// The name that reports show.
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

/// A span about which a proxy's records say nothing, or not everything.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gap {
    /// The proxy.
    pub proxy: String,
    /// Its start.
    pub from: Micros,
    /// Its end.
    pub to: Micros,
    /// Why records are missing.
    pub cause: GapCause,
    /// How many records are missing; `None` if they were not counted.
    pub count: Option<u64>,
}
