//! An estimate of the time on the members' clock, derived from their log positions. A router that started
//! while its host's clock was stepped has the wrong time of day and must not compare it with the members'
//! start times.

use super::Micros;

/// The offset by which the router's clock may be ahead of the members' clock.
#[derive(Default)]
pub(super) struct MemberClock {
    /// An upper bound of the offset: the minimum over all reported positions. `None` before the first one,
    /// while the router trusts its own clock.
    max_ahead: Option<Micros>,
}

impl MemberClock {
    /// Records a log position that a member reported: a time that has passed on the members' clock.
    pub(super) fn observe(&mut self, position: Option<Micros>, now: Micros) {
        let Some(position) = position else { return };
        let ahead = (now - position).max(0);
        self.max_ahead = Some(self.max_ahead.map_or(ahead, |known| known.min(ahead)));
    }

    /// The earliest possible current time on the members' clock.
    pub(super) fn earliest_now(&self, now: Micros) -> Micros {
        now - self.max_ahead.unwrap_or(0)
    }
}
