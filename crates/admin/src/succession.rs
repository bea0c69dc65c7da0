//! Two processes that form one proxy while the younger replaces the older: who takes connections, how much each may hold,
//! and when a cordon is in force at both. No I/O; times are microseconds on the caller's clock.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use wharfplank_routing::{LearnedTraits, Micros};

/// The version of [`State`] and [`Word`]; processes of different ones do not talk.
pub const VERSION: u32 = 1;
/// How long a cordon's answer waits for the other process: a yes is due within 1 s.
pub const AGREE_WAIT: Micros = 500_000;
/// Calls on members that may wait for the other process.
pub const WAITS_MOST: usize = 64;
/// Connections that the younger may hold of each kind, however much the older holds: with none it serves nobody.
const LEAST: usize = 4;
/// Connections to members that the older may open beyond those that it held: what it has taken needs some.
const SLACK: usize = 4;

/// The most that a younger process believes of a member: requests in flight, usual times an answer, answers a second.
const LIMIT_MOST: f64 = 64.0;
const SLOWNESS_MOST: f64 = 8.0;
const RATE_MOST: f64 = 1e5;
/// In microseconds.
const SECOND: f64 = 1e6;

/// Connections held, or that may be held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holds {
    /// To clients.
    pub clients: usize,
    /// To members.
    pub members: usize,
}

/// What an older process knows of a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Learned {
    /// Its id.
    pub id: String,
    /// A position that it has told itself.
    pub position: Micros,
    /// When it came to be suspected; 0: it is not.
    pub suspected_at: Micros,
    /// How it answers; one that is older than this field tells nothing of it.
    #[serde(default)]
    pub ways: Option<Ways>,
}

/// How a member answers one process. Times are of a clock that both share.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ways {
    /// Requests of this process in flight that it may hold.
    pub limit: f64,
    /// The mean time of its answers, in usual times.
    pub slowness: f64,
    /// Its answers to this process each second.
    pub rate: f64,
    /// When it was last known to be its group's primary; 0: never.
    pub primary_at: Micros,
    /// When it was last known to be a replica; 0: never.
    pub replica_at: Micros,
}

impl Ways {
    /// The traits of a member as they are handed over.
    pub fn of(traits: LearnedTraits) -> Self {
        Ways {
            limit: traits.concurrency_limit,
            slowness: traits.relative_latency,
            rate: traits.answer_rate * SECOND,
            primary_at: traits.primary_at,
            replica_at: traits.replica_at,
        }
    }

    /// The traits to start from at this time. What another process says is held to what can be: no number that is
    /// none, no time that is to come.
    pub fn traits(self, now: Micros) -> LearnedTraits {
        let within = |value: f64, least: f64, most: f64| match value.is_finite() {
            true => value.clamp(least, most),
            false => least,
        };
        LearnedTraits {
            concurrency_limit: within(self.limit, 1.0, LIMIT_MOST),
            relative_latency: within(self.slowness, 0.0, SLOWNESS_MOST),
            answer_rate: within(self.rate, 0.0, RATE_MOST) / SECOND,
            primary_at: self.primary_at.clamp(0, now),
            replica_at: self.replica_at.clamp(0, now),
        }
    }
}

/// What a younger process starts from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// See [`VERSION`].
    pub version: u32,
    /// The list as it is believed, in discovery's form.
    pub list: serde_json::Value,
    /// Members that are out by hand.
    pub out: Vec<String>,
    /// When others were called back.
    pub back: Vec<(String, Micros)>,
    /// What is known of members.
    pub learned: Vec<Learned>,
    /// What the older one holds.
    pub holds: Holds,
}

/// What the two tell each other after that.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Word {
    /// An operator's call on a member.
    Cordon {
        /// Numbers it, for [`Word::Heard`].
        number: u64,
        /// The member.
        id: String,
        /// Out, or back.
        out: bool,
        /// When it was called back.
        at: Micros,
    },
    /// The call of this number is in force here too.
    Heard(u64),
    /// The younger takes connections from now on.
    Serving,
    /// What the older holds now.
    Holds(Holds),
}

/// This process's part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Part {
    /// There is no other.
    #[default]
    Alone,
    /// Another replaces this one; what this one held when asked, and whether the other serves.
    Older { held: Holds, relieved: bool },
    /// This one replaces another, which holds so much.
    Younger { other: Holds },
}

/// The state of a replacement.
#[derive(Debug, Default)]
pub struct Succession {
    part: Part,
    numbers: u64,
    /// Calls that the other has not confirmed, and until when that is waited for.
    waits: VecDeque<(u64, Micros)>,
}

impl Succession {
    /// This process replaces one that holds so much.
    pub fn younger(other: Holds) -> Self {
        Succession { part: Part::Younger { other }, ..Succession::default() }
    }

    /// Whether there is another process.
    pub fn linked(&self) -> bool {
        self.part != Part::Alone
    }

    /// Whether this one is to tell the other what it holds.
    pub fn tells_holds(&self) -> bool {
        matches!(self.part, Part::Older { .. })
    }

    /// Another process asks to replace this one, which holds so much; false where one has asked before, or this one
    /// replaces another itself.
    pub fn asked(&mut self, held: Holds) -> bool {
        let free = self.part == Part::Alone;
        if free {
            self.part = Part::Older { held, relieved: false };
        }
        free
    }

    /// The other serves.
    pub fn relieved(&mut self) {
        if let Part::Older { relieved, .. } = &mut self.part {
            *relieved = true;
        }
    }

    /// The other holds so much now.
    pub fn holds(&mut self, holds: Holds) {
        if let Part::Younger { other } = &mut self.part {
            *other = holds;
        }
    }

    /// The other is gone; the calls that waited for it.
    pub fn lost(&mut self) -> Vec<u64> {
        self.part = Part::Alone;
        self.waits.drain(..).map(|(number, _)| number).collect()
    }

    /// Whether this process takes new connections; `ready` says whether it can serve them. One that starts alone takes
    /// them before: their first answer waits.
    pub fn takes(&self, ready: bool) -> bool {
        match self.part {
            Part::Alone => true,
            Part::Older { relieved, .. } => !relieved,
            Part::Younger { .. } => ready,
        }
    }

    /// What this process may hold, where both together may hold `all`.
    pub fn most(&self, all: Holds) -> Holds {
        match self.part {
            Part::Alone => all,
            Part::Older { held, .. } => Holds {
                clients: held.clients.max(LEAST).min(all.clients),
                members: (held.members + SLACK).min(all.members),
            },
            Part::Younger { other } => Holds {
                clients: all.clients.saturating_sub(other.clients).max(LEAST),
                members: all.members.saturating_sub(other.members + SLACK).max(LEAST),
            },
        }
    }

    /// A call on a member that the other has to hear of: its number; `None` where the answer waits for nobody.
    pub fn call(&mut self, now: Micros) -> Option<u64> {
        if !self.linked() || self.waits.len() >= WAITS_MOST {
            return None;
        }
        self.numbers += 1;
        self.waits.push_back((self.numbers, now + AGREE_WAIT));
        Some(self.numbers)
    }

    /// The other has it in force; whether that was waited for.
    pub fn heard(&mut self, number: u64) -> bool {
        let before = self.waits.len();
        self.waits.retain(|(n, _)| *n != number);
        self.waits.len() < before
    }

    /// Calls that have waited long enough.
    pub fn overdue(&mut self, now: Micros) -> Vec<u64> {
        let late = self.waits.iter().take_while(|(_, until)| *until <= now).count();
        self.waits.drain(..late).map(|(number, _)| number).collect()
    }

    /// When [`Succession::overdue`] has something to tell.
    pub fn due(&self) -> Option<Micros> {
        self.waits.front().map(|(_, until)| *until)
    }
}

#[cfg(test)]
mod tests;
