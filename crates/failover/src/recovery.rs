//! The recovery ramp of a zone that comes back, and how long it is held back before.

use crate::{FailoverTerms, Micros};

/// Doublings of the hold are not counted past this, which is far past the longest hold.
const MAX_DOUBLINGS: u32 = 16;

/// How long a zone stays evacuated after so many failed recoveries: exponential backoff.
pub(crate) fn hold(failed_recoveries: u32, terms: &FailoverTerms) -> Micros {
    let factor = 1 << failed_recoveries.min(MAX_DOUBLINGS);
    terms.min_hold.saturating_mul(factor).min(terms.max_hold)
}

/// The part of its reads that a zone gets which has been recovering since `since`: it grows as a cold member's capacity
/// does.
pub(crate) fn ramp_share(since: Micros, now: Micros, terms: &FailoverTerms) -> f64 {
    let elapsed_part = (now - since).max(0) as f64 / terms.ramp_duration.max(1) as f64;
    (terms.ramp_start + (1.0 - terms.ramp_start) * elapsed_part).min(1.0)
}
