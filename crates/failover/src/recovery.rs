//! The recovery of an evacuated zone: the hold before it and the ramp of its read share.

use crate::{FailoverConfig, Micros};

/// The maximum number of times the hold is doubled. It is far beyond what the longest hold needs.
const MAX_DOUBLINGS: u32 = 16;

/// Returns how long a zone stays evacuated after `failed_recoveries` failed recoveries, with exponential
/// backoff.
pub(crate) fn hold_duration(failed_recoveries: u32, config: &FailoverConfig) -> Micros {
    let factor = 1 << failed_recoveries.min(MAX_DOUBLINGS);
    config.min_hold.saturating_mul(factor).min(config.max_hold)
}

/// Returns the fraction of its reads that a zone gets which has been recovering since `since`. It grows
/// like the capacity of a cold member.
pub(crate) fn ramp_share(since: Micros, now: Micros, config: &FailoverConfig) -> f64 {
    let elapsed_fraction = (now - since).max(0) as f64 / config.ramp_duration.max(1) as f64;
    (config.ramp_start + (1.0 - config.ramp_start) * elapsed_fraction).min(1.0)
}
