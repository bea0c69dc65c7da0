//! The timers that foca asked for.

use crate::{Micros, Peer};
use foca::Timer;
use std::collections::BTreeMap;

/// The most timers that may be scheduled; foca asks for a few per peer that it pings at a time.
const MAX_TIMERS: usize = 4096;

/// Too many timers are scheduled already.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no more than {MAX_TIMERS} timers are scheduled")]
pub(crate) struct TimersFull;

/// Scheduled timers, by when they are due; those due at the same time in the order in which they were scheduled.
#[derive(Default)]
pub(crate) struct TimerQueue {
    timers: BTreeMap<(Micros, u64), Timer<Peer>>,
    scheduled: u64,
}

impl TimerQueue {
    /// Schedules a timer.
    pub fn schedule(&mut self, due_at: Micros, timer: Timer<Peer>) -> Result<(), TimersFull> {
        if self.timers.len() >= MAX_TIMERS {
            return Err(TimersFull);
        }
        self.scheduled += 1;
        self.timers.insert((due_at, self.scheduled), timer);
        Ok(())
    }

    /// Takes the next timer that is due by now.
    pub fn pop_due(&mut self, now: Micros) -> Option<Timer<Peer>> {
        let first = self.timers.first_entry()?;
        let (due_at, _) = *first.key();
        (due_at <= now).then(|| first.remove())
    }

    /// When the next timer is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.first_key_value().map(|((due_at, _), _)| *due_at)
    }
}
