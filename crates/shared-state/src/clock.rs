//! A hybrid logical clock: stamps that follow the wall clock where it runs, and never go back where it does not, so
//! that of two words on one matter the later one wins on every proxy alike.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// How far ahead of this proxy's clock a stamp may be before what it stamps is refused: clocks of one installation
/// differ by less, and a stamp from further ahead would win over every word for that long.
pub const AHEAD_MOST: Micros = 2_000_000;

/// When something was said, and by whom: ordered by time, then by count within it, then by the proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// The wall clock in µs, or that of the newest stamp seen if it was ahead.
    pub wall: Micros,
    /// Counts stamps of one `wall`.
    pub count: u32,
    /// The proxy.
    pub by: u64,
}

/// One proxy's clock.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Clock {
    last: Stamp,
}

impl Clock {
    /// The clock of a proxy.
    pub fn new(by: u64) -> Clock {
        Clock { last: Stamp { by, ..Stamp::default() } }
    }

    /// A stamp for something said now: later than all that was said or seen before.
    pub fn stamp(&mut self, now: Micros) -> Stamp {
        self.last = if now > self.last.wall {
            Stamp { wall: now, count: 0, ..self.last }
        } else {
            Stamp { count: self.last.count.saturating_add(1), ..self.last }
        };
        self.last
    }

    /// A stamp of another proxy has been seen. False where it is too far ahead to be believed: nothing changes then.
    pub fn saw(&mut self, stamp: Stamp, now: Micros) -> bool {
        if stamp.wall > now.saturating_add(AHEAD_MOST) {
            return false;
        }
        if (stamp.wall, stamp.count) > (self.last.wall, self.last.count) {
            (self.last.wall, self.last.count) = (stamp.wall, stamp.count);
        }
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn stamps_only_grow_whatever_the_wall_clock_does_and_pass_all_that_was_seen() {
        let mut clock = Clock::new(1);
        let mut last = clock.stamp(100);
        for now in [100, 50, 101, 101, 0] {
            let next = clock.stamp(now);
            assert!(next > last);
            last = next;
        }
        let seen = Stamp { wall: 500, count: 7, by: 2 };
        assert!(clock.saw(seen, 100));
        assert!(clock.stamp(100) > seen);
        let ahead = Stamp { wall: 101 + AHEAD_MOST, count: 0, by: 2 };
        assert!(!clock.saw(ahead, 100), "believed a stamp from too far ahead");
        assert!(clock.stamp(100).wall < ahead.wall);
    }
}
