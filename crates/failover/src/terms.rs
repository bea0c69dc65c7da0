//! The thresholds and spans of the failover decision.

use crate::Micros;

/// The thresholds and spans of the failover decision. Those of the recovery ramp come from the platform's settings
/// (`cold_from`, `cold_span`); the others are this crate's, with their reasons beside them.
#[derive(Clone, Debug, PartialEq)]
pub struct FailoverTerms {
    /// The span over which a zone's outcomes count together.
    pub window: Micros,
    /// Silent outcomes (no connection, no answer in time) within the window that make this proxy vote Down, from at
    /// least `min_silent_members` members, with not one answer from the zone in that window.
    pub min_silent_outcomes: u32,
    /// See `min_silent_outcomes`: one silent member is that member's fault, not its zone's.
    pub min_silent_members: usize,
    /// How long a vote is valid without a new outcome that confirms it. An evacuated zone gets no reads, so the Down
    /// votes on it expire by themselves, and it is tried again.
    pub vote_ttl: Micros,
    /// How long an Up vote is valid without an answer that confirms it, and without silence that contradicts it. A far
    /// zone may see few requests of this proxy; a vote that flipped each time would be published each time, and notes to
    /// all proxies from each of them grow with the fleet.
    pub up_vote_ttl: Micros,
    /// The least time a zone stays evacuated; it doubles with each recovery that fails, up to `max_hold`.
    pub min_hold: Micros,
    /// See `min_hold`.
    pub max_hold: Micros,
    /// A zone that has not been evacuated for this long has its failed recoveries forgotten.
    pub hold_reset_after: Micros,
    /// The part of its reads that a recovering zone gets at first, and the span in which that grows to all of them: a
    /// member that starts cold has `ramp_start` of its capacity and all of it after `ramp_duration`.
    pub ramp_start: f64,
    /// See `ramp_start`.
    pub ramp_duration: Micros,
    /// A proxy that was not called for longer than this was stalled.
    pub max_call_gap: Micros,
    /// The least part of the live proxies (this one among them) that must vote on a zone before their majority counts: a
    /// handful that saw something are no quorum of hundreds that saw nothing.
    pub min_voter_fraction: f64,
}

impl Default for FailoverTerms {
    fn default() -> Self {
        FailoverTerms {
            window: 1_000_000,
            min_silent_outcomes: 3,
            min_silent_members: 2,
            vote_ttl: 4_000_000,
            up_vote_ttl: 30_000_000,
            min_hold: 2_000_000,
            max_hold: 30_000_000,
            hold_reset_after: 60_000_000,
            ramp_start: 0.24,
            ramp_duration: 15_000_000,
            max_call_gap: 2_000_000,
            min_voter_fraction: 1.0 / 3.0,
        }
    }
}
