//! The commits that each session's reads must see. Used where clients do not carry session tokens.

use super::{Micros, SessionKey};
use std::collections::BTreeMap;

/// The maximum number of sessions whose commits are stored; beyond it the older half is replaced by a common
/// floor.
const MAX_SESSIONS: usize = 100_000;

/// The latest commit of each session, in bounded memory.
#[derive(Default)]
pub(super) struct SessionCommits {
    latest: BTreeMap<SessionKey, Micros>,
    /// The newest commit that is no longer stored by session, so that any session may have made it.
    floor: Option<Micros>,
}

impl SessionCommits {
    /// Records that a write of the session committed at this time.
    pub(super) fn record(&mut self, session: SessionKey, commit: Micros) {
        self.latest.entry(session).and_modify(|known| *known = commit.max(*known)).or_insert(commit);
        if self.latest.len() > MAX_SESSIONS {
            self.forget_older_half();
        }
    }

    /// The commit that a read of the session must see, if any.
    pub(super) fn required_by(&self, session: Option<SessionKey>) -> Option<Micros> {
        let own = session.and_then(|session| self.latest.get(&session).copied());
        own.max(self.floor)
    }

    /// Records that any session may have committed until this time.
    pub(super) fn raise_floor(&mut self, until: Micros) {
        self.floor = self.floor.max(Some(until));
    }

    fn forget_older_half(&mut self) {
        let mut times: Vec<Micros> = self.latest.values().copied().collect();
        times.sort_unstable();
        let floor = times[times.len() / 2];
        self.latest.retain(|_, at| *at > floor);
        self.raise_floor(floor);
    }
}
