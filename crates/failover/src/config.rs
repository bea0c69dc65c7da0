//! The thresholds and time spans of the failover decision.

use crate::Micros;

/// The thresholds and time spans of the failover decision. Those of the recovery ramp come from the
/// platform's settings (`Rules.ColdFrom`, `Rules.ColdUs`); the others are defined by this crate.
#[derive(Clone, Debug, PartialEq)]
pub struct FailoverConfig {
    /// The length of the window within which outcomes of a zone are evaluated together.
    pub window: Micros,
    /// The number of silent outcomes (failed connections and missing answers) within the window at which
    /// this proxy votes Down. They must come from at least `min_silent_members` members, without a single
    /// answer from the zone in that window.
    pub min_silent_outcomes: u32,
    /// The number of members that silent outcomes must come from for a Down vote. A single silent member is
    /// a fault of that member and not of its zone.
    pub min_silent_members: usize,
    /// The validity of a vote without a new outcome that confirms it. An evacuated zone gets no reads, so
    /// the Down votes on it expire by time and the zone is tried again.
    pub vote_ttl: Micros,
    /// The validity of an Up vote without an answer that confirms it or silence that contradicts it. It is
    /// longer because a remote zone may get few requests from this proxy: a vote that changed every time
    /// would be published every time, and the notes from every proxy to all others grow with the fleet.
    pub up_vote_ttl: Micros,
    /// The minimum time for which a zone stays evacuated. It doubles with each failed recovery, up to
    /// `max_hold`.
    pub min_hold: Micros,
    /// The maximum time for which a zone is held evacuated; see `min_hold`.
    pub max_hold: Micros,
    /// The time after a zone's last evacuation at which its failed recoveries are forgotten.
    pub hold_reset_after: Micros,
    /// The fraction of its reads that a recovering zone gets at first. It grows to all reads within
    /// `ramp_duration`, because a cold member starts with `ramp_start` of its capacity and has all of it
    /// after `ramp_duration`.
    pub ramp_start: f64,
    /// The duration of the recovery ramp; see `ramp_start`.
    pub ramp_duration: Micros,
    /// The longest gap between calls. A proxy that was not called for longer was stalled.
    pub max_call_gap: Micros,
    /// The minimum fraction of the live proxies, including this one, that must vote on a zone before a
    /// majority of the votes counts. A few proxies that saw something are not a quorum of hundreds that saw
    /// nothing.
    pub min_voter_fraction: f64,
}

impl Default for FailoverConfig {
    fn default() -> Self {
        FailoverConfig {
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
