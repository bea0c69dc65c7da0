//! Discovery as one service that answers calls one after the other.

use std::collections::VecDeque;

pub const MS: i64 = 1_000;
pub const SECOND: i64 = 1_000 * MS;
/// How long the service lets a call wait in its line, and how soon a watch must be asked again to keep its place.
const LINE: i64 = 2_300 * MS;
const AGAIN: i64 = 200 * MS;
/// The whole list takes so many turns.
const WHOLE: i64 = 4;
/// What turning a call away costs the service.
const REFUSAL: i64 = MS;

pub struct Line {
    proxy: usize,
    since: i64,
    whole: bool,
    /// The call still waits, or its place is kept until then.
    until: i64,
}

pub struct Service {
    pub turn: i64,
    pub line: VecDeque<Line>,
    pub busy_until: i64,
    pub refused: usize,
    pub wasted: usize,
}

impl Service {
    /// Whether the call stands in the line now.
    pub fn ask(&mut self, proxy: usize, now: i64, whole: bool, until: i64) -> bool {
        if let Some(place) = self.line.iter_mut().find(|l| l.proxy == proxy && !whole && !l.whole) {
            if now <= place.until + AGAIN {
                (place.until, place.since) = (until, now);
                return true;
            }
        }
        if (self.line.len() as i64) * self.turn >= LINE {
            self.refused += 1;
            self.busy_until = self.busy_until.max(now) + REFUSAL;
            return false;
        }
        self.line.push_back(Line { proxy, since: now, whole, until });
        true
    }

    /// Who is answered now. What comes too late has cost its work all the same.
    pub fn tick(&mut self, now: i64) -> Option<(usize, bool)> {
        if now < self.busy_until {
            return None;
        }
        let place = self.line.pop_front()?;
        self.busy_until = now + self.turn * if place.whole { WHOLE } else { 1 };
        let good = now <= place.until && now - place.since <= LINE;
        self.wasted += usize::from(!good);
        good.then_some((place.proxy, place.whole))
    }
}
