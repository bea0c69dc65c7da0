//! The clock of a run.

use crate::member_model::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Returns the current Unix time in µs.
pub fn now() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as Micros)
}

/// Returns the time from now until `at`; zero if it has passed.
pub(crate) fn time_until(at: Micros) -> Duration {
    Duration::from_micros((at - now()).max(0) as u64)
}
