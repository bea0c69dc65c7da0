//! The state machine of one zone.

use crate::recovery::{hold_duration, ramp_share};
use crate::votes::DISTANT_PAST;
use crate::{FailoverConfig, Micros};

/// The state of a zone with regard to this proxy's reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneState {
    /// The zone gets all of its reads.
    InService,
    /// The zone gets no reads.
    Evacuated {
        /// The time of the evacuation.
        since: Micros,
    },
    /// The zone gets a growing fraction of its reads.
    Recovering {
        /// The time at which the recovery started.
        since: Micros,
    },
}

impl ZoneState {
    /// Returns the fraction of its reads that the zone gets now.
    pub(crate) fn read_share(self, now: Micros, config: &FailoverConfig) -> f64 {
        match self {
            ZoneState::InService => 1.0,
            ZoneState::Evacuated { .. } => 0.0,
            ZoneState::Recovering { since } => ramp_share(since, now, config),
        }
    }
}

/// The verdict of the quorum on a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QuorumVerdict {
    /// The zone is not down.
    NotDown,
    /// The zone is down.
    Down,
    /// The zone is down by votes that may be outdated because this proxy read them late. A zone in service
    /// is not evacuated on them.
    PossiblyOutdatedDown,
}

/// The state of a zone and the history that its next state depends on.
#[derive(Clone, Debug)]
pub(crate) struct ZoneStatus {
    state: ZoneState,
    /// The number of failed recoveries since the zone was last stable. Each one doubles the hold.
    failed_recoveries: u32,
    evacuated_at: Micros,
}

impl Default for ZoneStatus {
    fn default() -> Self {
        ZoneStatus { state: ZoneState::InService, failed_recoveries: 0, evacuated_at: DISTANT_PAST }
    }
}

impl ZoneStatus {
    pub fn state(&self) -> ZoneState {
        self.state
    }

    /// Moves to the next state. Returns whether the state changed.
    pub fn update(&mut self, now: Micros, verdict: QuorumVerdict, config: &FailoverConfig) -> bool {
        if now - self.evacuated_at > config.hold_reset_after {
            self.failed_recoveries = 0;
        }
        let next = self.next_state(now, verdict, config);
        if next == self.state {
            return false;
        }
        if matches!(next, ZoneState::Evacuated { .. }) {
            self.evacuated_at = now;
            self.failed_recoveries += u32::from(matches!(self.state, ZoneState::Recovering { .. }));
        }
        self.state = next;
        true
    }

    fn next_state(&self, now: Micros, verdict: QuorumVerdict, config: &FailoverConfig) -> ZoneState {
        let is_down = verdict != QuorumVerdict::NotDown;
        let hold = hold_duration(self.failed_recoveries, config);
        match self.state {
            ZoneState::InService if verdict == QuorumVerdict::Down => ZoneState::Evacuated { since: now },
            ZoneState::Recovering { .. } if is_down => ZoneState::Evacuated { since: now },
            ZoneState::Evacuated { since } if !is_down && now - since >= hold => {
                ZoneState::Recovering { since: now }
            }
            ZoneState::Recovering { since } if now - since >= config.ramp_duration => ZoneState::InService,
            state => state,
        }
    }
}
