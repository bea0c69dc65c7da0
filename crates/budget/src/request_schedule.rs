//! When the next lease request to each allocator is due.

use crate::Micros;

/// An allocator that will have more soon is sent the next request after this fraction of the usual interval.
const SHORT_INTERVAL_DIVISOR: Micros = 4;

/// When the next request to each allocator is due.
#[derive(Clone, Debug)]
pub(crate) struct RequestSchedule {
    interval: Micros,
    next_at: Vec<Micros>,
}

impl RequestSchedule {
    /// A schedule by which a request to each of so many allocators is due now.
    pub fn new(interval: Micros, allocators: usize, now: Micros) -> RequestSchedule {
        RequestSchedule { interval, next_at: vec![now; allocators] }
    }

    /// How many allocators there are.
    pub fn allocators(&self) -> usize {
        self.next_at.len()
    }

    /// Whether a request to an allocator is due. If so, the next one is due an interval from now.
    pub fn take_due(&mut self, now: Micros, allocator: usize) -> bool {
        let is_due = now >= self.next_at[allocator];
        if is_due {
            self.next_at[allocator] = now + self.interval;
        }
        is_due
    }

    /// Makes a request to an allocator due now.
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

    /// When the next request is due.
    pub fn next_due(&self) -> Micros {
        self.next_at.iter().copied().min().unwrap_or(Micros::MAX)
    }
}
