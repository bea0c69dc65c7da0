//! The schedule of lease requests to the allocators.

use crate::Micros;

/// Divides the usual interval to get the delay of the next request to an allocator that expects to grant
/// more soon.
const SHORT_INTERVAL_DIVISOR: Micros = 4;

/// The times at which the next request to each allocator is due.
#[derive(Clone, Debug)]
pub(crate) struct RequestSchedule {
    interval: Micros,
    next_at: Vec<Micros>,
}

impl RequestSchedule {
    /// Creates a schedule in which a request to each of `allocators` allocators is due at `now`.
    pub fn new(interval: Micros, allocators: usize, now: Micros) -> RequestSchedule {
        RequestSchedule { interval, next_at: vec![now; allocators] }
    }

    /// Returns the number of allocators.
    pub fn allocators(&self) -> usize {
        self.next_at.len()
    }

    /// Returns whether a request to an allocator is due. If so, schedules the next one an interval from
    /// now.
    pub fn take_due(&mut self, now: Micros, allocator: usize) -> bool {
        let is_due = now >= self.next_at[allocator];
        if is_due {
            self.next_at[allocator] = now + self.interval;
        }
        is_due
    }

    /// Schedules a request to an allocator for now.
    pub fn request_now(&mut self, now: Micros, allocator: usize) {
        self.next_at[allocator] = now;
    }

    /// Brings the next request to an allocator forward to a fraction of the interval.
    pub fn request_soon(&mut self, now: Micros, allocator: usize) {
        let soon = now + self.interval / SHORT_INTERVAL_DIVISOR;
        self.next_at[allocator] = self.next_at[allocator].min(soon);
    }

    /// Brings the next request to each allocator forward to a fraction of the interval.
    pub fn request_soon_from_all(&mut self, now: Micros) {
        (0..self.allocators()).for_each(|allocator| self.request_soon(now, allocator));
    }

    /// Returns the time at which the next request to any allocator is due.
    pub fn next_due(&self) -> Micros {
        self.next_at.iter().copied().min().unwrap_or(Micros::MAX)
    }
}
