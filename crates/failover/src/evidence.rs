//! What this proxy has seen of one zone's members, and what it makes of it.

use crate::{Micros, Terms};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Outcomes of a zone kept at most: past that the oldest go, which only shortens the window under a flood.
pub const OUTCOMES_MOST: usize = 256;

/// What a proxy holds of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Opinion {
    /// Nothing recent enough to tell.
    #[default]
    Unknown,
    /// Its members answer.
    Up,
    /// Its members fell silent.
    Down,
}

/// One zone's recent outcomes at this proxy.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// When, which member, and whether it answered.
    outcomes: VecDeque<(Micros, u32, bool)>,
    opinion: Opinion,
    /// When the opinion was last borne out.
    borne_at: Micros,
    /// When the zone last answered.
    answered_at: Option<Micros>,
}

impl Evidence {
    /// Notes an outcome: an answer of any kind (a value, an error, a miss, full) is the member speaking; no
    /// connection or no answer in time is silence.
    pub fn observe(&mut self, now: Micros, member: u32, answered: bool, terms: &Terms) {
        if answered {
            self.answered_at = Some(now);
        }
        if self.outcomes.len() >= OUTCOMES_MOST {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back((now, member, answered));
        self.judge(now, terms);
    }

    /// Notes that a send of `sent` has met silence by now. One that went before the zone's last answer tells of a time
    /// that the answer has overtaken: a long wait that began while the zone was lost ends after its return.
    pub fn silence(&mut self, now: Micros, sent: Micros, member: u32, terms: &Terms) {
        if self.answered_at.is_none_or(|at| at < sent) {
            self.observe(now, member, false, terms);
        }
    }

    /// The opinion as of now.
    pub fn opinion(&mut self, now: Micros, terms: &Terms) -> Opinion {
        self.judge(now, terms);
        self.opinion
    }

    fn judge(&mut self, now: Micros, terms: &Terms) {
        while self.outcomes.front().is_some_and(|(at, _, _)| now - at > terms.window) {
            self.outcomes.pop_front();
        }
        if self.outcomes.iter().any(|(_, _, answered)| *answered) {
            (self.opinion, self.borne_at) = (Opinion::Up, now);
            return;
        }
        let silent = self.outcomes.len() as u32;
        let mut members: Vec<u32> = self.outcomes.iter().map(|(_, member, _)| *member).collect();
        members.sort_unstable();
        members.dedup();
        if silent >= terms.silent_least && members.len() >= terms.members_least {
            (self.opinion, self.borne_at) = (Opinion::Down, now);
        } else if silent > 0 && self.opinion == Opinion::Up {
            // Silence since the last answer: the zone is no longer known to answer, nor yet known not to.
            self.opinion = Opinion::Unknown;
        } else {
            let life = if self.opinion == Opinion::Up { terms.up_life } else { terms.life };
            if self.opinion != Opinion::Unknown && now - self.borne_at > life {
                self.opinion = Opinion::Unknown;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn silence_of_two_members_with_no_answer_is_down_and_one_answer_is_up() {
        let terms = Terms::default();
        let mut zone = Evidence::default();
        zone.observe(0, 1, false, &terms);
        zone.observe(10, 1, false, &terms);
        zone.observe(20, 1, false, &terms);
        assert_eq!(zone.opinion(20, &terms), Opinion::Unknown, "one member alone is its own matter");
        zone.observe(30, 2, false, &terms);
        assert_eq!(zone.opinion(30, &terms), Opinion::Down);
        zone.observe(40, 3, true, &terms);
        assert_eq!(zone.opinion(40, &terms), Opinion::Up, "one answer in the window speaks for the zone");
    }

    #[test]
    fn silence_of_sends_from_before_the_last_answer_does_not_speak_against_the_zone() {
        let terms = Terms::default();
        let mut zone = Evidence::default();
        let back = 5_000_000;
        zone.observe(back, 3, true, &terms);
        let late = back + terms.window + 10;
        (0..9).for_each(|i| zone.silence(late + i, back - 1_000_000, i as u32 % 3, &terms));
        assert_eq!(
            zone.opinion(late + 9, &terms),
            Opinion::Up,
            "sent while it was lost, ended after its return"
        );
        (0..9).for_each(|i| zone.silence(late + 20 + i, back + 1, i as u32 % 3, &terms));
        assert_eq!(zone.opinion(late + 30, &terms), Opinion::Down, "sent after its last answer");
    }

    #[test]
    fn an_opinion_that_nothing_bears_out_grows_old() {
        let terms = Terms::default();
        let mut zone = Evidence::default();
        for (at, member) in [(0, 1), (1, 2), (2, 1)] {
            zone.observe(at, member, false, &terms);
        }
        assert_eq!(zone.opinion(terms.life, &terms), Opinion::Down);
        assert_eq!(zone.opinion(terms.life + 3, &terms), Opinion::Unknown);
        zone.observe(terms.life + 4, 3, true, &terms);
        let quiet = terms.life + 4 + terms.window + terms.life + 1;
        assert_eq!(zone.opinion(quiet, &terms), Opinion::Up, "an Up opinion holds longer: quiet is no news");
        assert_eq!(zone.opinion(terms.life + 5 + terms.up_life, &terms), Opinion::Unknown);
    }

    #[test]
    fn what_is_kept_of_a_zone_is_bounded() {
        let terms = Terms::default();
        let mut zone = Evidence::default();
        (0..10_000).for_each(|i| zone.observe(0, i, false, &terms));
        assert_eq!(zone.outcomes.len(), OUTCOMES_MOST);
    }
}
