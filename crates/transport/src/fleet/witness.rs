//! The broker's side of the driver: what it saw goes in here, without waiting.

use super::heard::Heard;
use super::Turns;
use crate::worker::RingSender;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use wharfplank_health::Outcome;
use wharfplank_routing::Micros;
use wharfplank_shared_state::{MemberStatus, WriteOutcome};

/// What a member did, as the broker saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The member's zone.
    pub zone: Arc<str>,
    /// The member.
    pub member: u32,
    /// When what it was sent went out.
    pub sent: Micros,
    /// Whether it spoke at all: any answer, a miss or an error; false where there was no connection or no answer in time.
    pub answered: bool,
}

/// What the broker tells the fleet's thread. Members and writes are named by the numbers that all proxies share, and the
/// first time of each is the broker's.
#[derive(Clone, Debug)]
pub enum Fact {
    /// What a member did, for its zone.
    Seen(Seen),
    /// A member told its position itself, in the epoch of its launch.
    Position(Micros, u64, i64, Micros),
    /// Whether this proxy suspects a member.
    Suspects(Micros, u64, MemberStatus),
    /// One more of one of the fleet's counters.
    Count(Micros, u32),
    /// What is known of a write whose client got no success.
    Doubt(Micros, u64, WriteOutcome),
    /// A member as the list has it: its name, its zone and its launch.
    Listed(u64, Box<(String, String)>, i64),
    /// The members that are still on the list.
    Retain(BTreeSet<u64>),
    /// How something that a member was sent ended, for its health.
    Outcome(Micros, u64, Outcome),
    /// How far a member's log is behind.
    Lags(Micros, u64, Micros),
}

/// Where the broker's facts go; where the ring is full they are dropped and counted.
pub struct Witness {
    pub(super) facts: RefCell<RingSender<Fact>>,
    /// What the fleet's thread tells, where the replicated state is on.
    pub(super) heard: Option<Rc<RefCell<Heard>>>,
    pub(super) turns: Arc<Turns>,
    /// What the fleet's clock is ahead of the broker's.
    pub(super) skew: Micros,
    pub(super) judged: bool,
}

impl Witness {
    /// Passes an outcome on. Silence wakes the thread; the many answers wait until it is awake.
    pub fn saw(&self, seen: Seen) {
        if seen.answered {
            self.leave(Fact::Seen(seen));
        } else {
            self.push(Fact::Seen(seen));
        }
    }

    /// A member told its position itself, in the epoch of its launch.
    pub fn position(&self, now: Micros, member: u64, epoch: i64, at: Micros) {
        if self.heard.is_some() {
            self.leave(Fact::Position(now, member, epoch, at));
        }
    }

    /// Whether this proxy suspects a member: while it does, and once when it no longer does.
    pub fn suspects(&self, now: Micros, member: u64, status: MemberStatus) {
        if self.heard.is_some() {
            self.push(Fact::Suspects(now, member, status));
        }
    }

    /// Adds to one of the fleet's counters.
    pub fn count(&self, now: Micros, counter: u32) {
        if self.heard.is_some() {
            self.leave(Fact::Count(now, counter));
        }
    }

    /// What is known of a write whose client got no success. It holds here from now on, whatever the thread does.
    pub fn doubt(&self, now: Micros, write: u64, outcome: WriteOutcome) {
        if let Some(heard) = &self.heard {
            heard.borrow_mut().doubt(now + self.skew, write, outcome);
            self.push(Fact::Doubt(now, write, outcome));
        }
    }

    /// Whether this write may have run as far as any proxy said, or the fleet's thread is behind and cannot tell.
    pub fn in_doubt(&self, now: Micros, write: u64) -> bool {
        let Some(heard) = &self.heard else { return false };
        let behind = self.turns.behind(now + self.skew) && !self.facts.borrow().is_closed();
        behind || heard.borrow_mut().in_doubt(write)
    }

    /// A member as the list has it: its name, its zone and its launch.
    pub fn listed(&self, member: u64, name: &str, zone: &str, born_ms: i64) {
        if self.judged {
            let names = Box::new((name.to_string(), zone.to_string()));
            self.push(Fact::Listed(member, names, born_ms));
        }
    }

    /// Forgets members that are on the list no more.
    pub fn retain(&self, known: impl Iterator<Item = u64>) {
        if self.judged {
            self.push(Fact::Retain(known.collect()));
        }
    }

    /// How something that a member was sent ended, for its health.
    pub fn outcome(&self, now: Micros, member: u64, outcome: Outcome) {
        if self.judged {
            self.leave(Fact::Outcome(now, member, outcome));
        }
    }

    /// How far a member's log is behind.
    pub fn lags(&self, now: Micros, member: u64, lag: Micros) {
        if self.judged {
            self.leave(Fact::Lags(now, member, lag));
        }
    }

    fn push(&self, fact: Fact) {
        self.facts.borrow_mut().send(fact);
    }

    fn leave(&self, fact: Fact) {
        self.facts.borrow_mut().send_lazy(fact);
    }
}
