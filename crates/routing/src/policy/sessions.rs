//! The writes that each session's reads must see. Used where clients do not carry session tokens.

use super::member::AttemptInFlight;
use super::{AttemptOutcome, AttemptResult, ClassId, Consistency, Micros, Router, SessionKey};
use std::collections::BTreeMap;

/// The maximum number of sessions whose writes are stored; beyond it the older half is replaced by a common
/// floor.
const MAX_SESSIONS: usize = 100_000;
/// The maximum time after its deadline for which a write that was begun before may commit.
const LATE_COMMIT_TIME: Micros = 500_000;

/// What is known of the writes of one session.
#[derive(Clone, Copy, Default)]
struct Writes {
    /// The latest known commit.
    commit: Option<Micros>,
    /// The time until which a write whose outcome is unknown may have committed.
    possible_until: Option<Micros>,
}

impl Writes {
    /// The position that includes all writes.
    fn position(self) -> Option<Micros> {
        self.commit.max(self.possible_until)
    }
}

/// The writes of each session, in bounded memory.
#[derive(Default)]
pub(super) struct SessionWrites {
    /// The writes that have ended.
    ended: BTreeMap<SessionKey, Writes>,
    /// The number of each session's writes in flight.
    in_flight: BTreeMap<SessionKey, usize>,
    /// The newest position that is no longer stored by session, so that any session may have written up to
    /// it.
    floor: Option<Micros>,
}

impl SessionWrites {
    /// Records that a write of the session was sent.
    pub(super) fn begin(&mut self, session: SessionKey) {
        *self.in_flight.entry(session).or_default() += 1;
    }

    /// Records that a write of the session is no longer in flight.
    pub(super) fn end(&mut self, session: SessionKey) {
        if let Some(count) = self.in_flight.get_mut(&session) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(&session);
            }
        }
    }

    /// Records that a write of the session committed at this time.
    pub(super) fn record_commit(&mut self, session: SessionKey, commit: Micros) {
        let writes = self.ended.entry(session).or_default();
        writes.commit = writes.commit.max(Some(commit));
        self.limit_sessions();
    }

    /// Records that a write of the session may commit, or may have committed, until this time.
    pub(super) fn record_possible_commit(&mut self, session: SessionKey, until: Micros) {
        let writes = self.ended.entry(session).or_default();
        writes.possible_until = writes.possible_until.max(Some(until));
        self.limit_sessions();
    }

    /// The position that a read of the session needs that arrived at this time, if any. Writes that may
    /// commit after its arrival need not be seen.
    pub(super) fn required_by(&self, session: Option<SessionKey>, arrived_at: Micros) -> Option<Micros> {
        let own = session.and_then(|session| self.ended.get(&session).copied()).unwrap_or_default();
        let in_flight = session.filter(|session| self.in_flight.contains_key(session)).map(|_| arrived_at);
        let possible = own.possible_until.map(|until| until.min(arrived_at));
        own.commit.max(possible).max(in_flight).max(self.floor)
    }

    /// Records that any session may have committed until this time.
    pub(super) fn raise_floor(&mut self, until: Micros) {
        self.floor = self.floor.max(Some(until));
    }

    fn limit_sessions(&mut self) {
        if self.ended.len() > MAX_SESSIONS {
            self.forget_older_half();
        }
    }

    fn forget_older_half(&mut self) {
        let mut positions: Vec<_> = self.ended.values().map(|writes| writes.position()).collect();
        positions.sort_unstable();
        let floor = positions[positions.len() / 2];
        self.ended.retain(|_, writes| writes.position() > floor);
        self.floor = self.floor.max(floor);
    }
}

impl Router {
    /// The session whose later reads must see a request of this class; `None` if it is no write, or clients
    /// carry session tokens.
    pub(super) fn remembered_session(
        &self,
        class: ClassId,
        session: Option<SessionKey>,
    ) -> Option<SessionKey> {
        let is_write = self.settings.classes[class.0].consistency == Consistency::Write;
        session.filter(|_| is_write && !self.settings.sessions_carry_tokens)
    }

    /// Stores what the later reads of the attempt's session must see.
    pub(super) fn record_session_write(&mut self, attempt: &AttemptInFlight, result: &AttemptResult) {
        let Some(session) = self.remembered_session(attempt.class, attempt.session) else { return };
        self.session_writes.end(session);
        match result.outcome {
            // An answer that does not state the commit yet, or states a wrong one, still follows it.
            AttemptOutcome::Ok => {
                let commit = result.position.unwrap_or(self.now);
                self.session_writes.record_commit(session, commit);
            }
            AttemptOutcome::Error => self.session_writes.record_possible_commit(session, self.now),
            // The member may still run it, until the deadline that it was told.
            AttemptOutcome::Timeout | AttemptOutcome::Reset | AttemptOutcome::Cancelled => {
                let until = self.now.max(attempt.deadline + LATE_COMMIT_TIME);
                self.session_writes.record_possible_commit(session, until);
            }
            AttemptOutcome::Overloaded
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::NotSent
            | AttemptOutcome::Misrouted => {}
        }
    }
}
