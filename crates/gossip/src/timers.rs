//! The timers requested by foca.

use crate::{Micros, Peer};
use foca::Timer;
use std::collections::BTreeMap;

/// The maximum number of scheduled timers. foca requests a few for each peer that it is currently pinging.
const MAX_TIMERS: usize = 4096;

/// A timer was not scheduled because [`MAX_TIMERS`] are already scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("timer queue is full: {MAX_TIMERS} timers are scheduled")]
pub(crate) struct TimersFull;

/// The scheduled timers, ordered by due time and then by the order in which they were scheduled.
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

    /// Takes the earliest timer if it is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<Timer<Peer>> {
        let first = self.timers.first_entry()?;
        let (due_at, _) = *first.key();
        (due_at <= now).then(|| first.remove())
    }

    /// Returns the time at which the next timer is due.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.first_key_value().map(|((due_at, _), _)| *due_at)
    }
}
