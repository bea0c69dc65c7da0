//! The clock of the members, as far as their log positions tell it. A router that started while its machine's
//! clock was stepped has the wrong time of day, which it must not compare with the times at which members
//! started.

use super::Micros;

/// How far the router's clock may be ahead of the members' clock.
#[derive(Default)]
pub(super) struct MemberClock {
    /// The least that any position has shown; `None` before the first one, while the router trusts its clock.
    most_ahead: Option<Micros>,
}

impl MemberClock {
    /// A member reported a log position. It is a time that has passed on the members' clock.
    pub(super) fn observe(&mut self, position: Option<Micros>, now: Micros) {
        let Some(position) = position else { return };
        let ahead = (now - position).max(0);
        self.most_ahead = Some(self.most_ahead.map_or(ahead, |known| known.min(ahead)));
    }

    /// The earliest time that it may be on the members' clock.
    pub(super) fn earliest_now(&self, now: Micros) -> Micros {
        now - self.most_ahead.unwrap_or(0)
    }
}
