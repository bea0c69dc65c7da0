//! The failure detector of one zone: outcomes of its members as seen by this proxy, and this proxy's own
//! vote on the zone.

use crate::votes::Vote;
use crate::{FailoverConfig, Micros};
use std::collections::VecDeque;

/// The maximum number of outcomes kept per zone. Beyond it the oldest are dropped, which only shortens the
/// window under a flood of outcomes.
pub const MAX_OUTCOMES: usize = 256;

/// The outcome of a request to a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberOutcome {
    /// The member answered in any way: with a value, an error, or a rejection as ineligible or overloaded.
    Answered,
    /// The connection failed, or no answer arrived in time.
    Silent,
}

#[derive(Clone, Copy, Debug)]
struct Observation {
    at: Micros,
    member: u32,
    outcome: MemberOutcome,
}

/// Detects that the members of a zone have stopped answering one proxy.
#[derive(Clone, Debug, Default)]
pub struct ZoneFailureDetector {
    observations: VecDeque<Observation>,
    vote: Vote,
    /// The time at which the vote was last confirmed.
    confirmed_at: Micros,
    /// The time of the zone's last answer.
    answered_at: Option<Micros>,
}

impl ZoneFailureDetector {
    /// Records an outcome of a member.
    pub fn record(&mut self, now: Micros, member: u32, outcome: MemberOutcome, config: &FailoverConfig) {
        if outcome == MemberOutcome::Answered {
            self.answered_at = Some(now);
        }
        if self.observations.len() >= MAX_OUTCOMES {
            self.observations.pop_front();
        }
        self.observations.push_back(Observation { at: now, member, outcome });
        self.update_vote(now, config);
    }

    /// Records the timeout, at `now`, of a request sent at `sent_at`. A request sent before the zone's last
    /// answer is ignored because it is no newer evidence: a request with a long timeout that was sent while
    /// the zone was lost may end after the zone has returned.
    pub fn record_timeout(&mut self, now: Micros, sent_at: Micros, member: u32, config: &FailoverConfig) {
        if self.answered_at.is_none_or(|answered_at| answered_at < sent_at) {
            self.record(now, member, MemberOutcome::Silent, config);
        }
    }

    /// Returns the vote as of `now`.
    pub fn vote(&mut self, now: Micros, config: &FailoverConfig) -> Vote {
        self.update_vote(now, config);
        self.vote
    }

    /// Returns the number of stored outcomes.
    pub fn outcome_count(&self) -> usize {
        self.observations.len()
    }

    fn update_vote(&mut self, now: Micros, config: &FailoverConfig) {
        self.expire_observations(now, config.window);
        if self.has_answer() {
            self.confirm(now, Vote::Up);
        } else if self.is_silent(config) {
            self.confirm(now, Vote::Down);
        } else if !self.observations.is_empty() && self.vote == Vote::Up {
            // No answer since the last one: the zone is no longer known to answer, but not yet known to be
            // silent.
            self.vote = Vote::Unknown;
        } else {
            self.expire_vote(now, config);
        }
    }

    fn expire_observations(&mut self, now: Micros, window: Micros) {
        while self.observations.front().is_some_and(|observation| now - observation.at > window) {
            self.observations.pop_front();
        }
    }

    fn has_answer(&self) -> bool {
        self.observations.iter().any(|observation| observation.outcome == MemberOutcome::Answered)
    }

    /// Returns whether there are enough silent outcomes from enough members. The caller has checked that no
    /// outcome in the window is an answer.
    fn is_silent(&self, config: &FailoverConfig) -> bool {
        let mut members: Vec<u32> = self.observations.iter().map(|observation| observation.member).collect();
        members.sort_unstable();
        members.dedup();
        self.observations.len() as u32 >= config.min_silent_outcomes
            && members.len() >= config.min_silent_members
    }

    fn confirm(&mut self, now: Micros, vote: Vote) {
        self.vote = vote;
        self.confirmed_at = now;
    }

    fn expire_vote(&mut self, now: Micros, config: &FailoverConfig) {
        let ttl = if self.vote == Vote::Up { config.up_vote_ttl } else { config.vote_ttl };
        if now - self.confirmed_at > ttl {
            self.vote = Vote::Unknown;
        }
    }
}
