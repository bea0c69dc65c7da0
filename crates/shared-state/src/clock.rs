//! A hybrid logical clock. Its timestamps follow the wall clock, never decrease, and are greater than every
//! timestamp observed from other processes, so that all processes agree on which of two writes to one key
//! came last.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// The maximum by which the wall-clock part of a timestamp may be ahead of the local clock, in microseconds.
///
/// The clocks within one installation differ by less. A timestamp further ahead is rejected, since it would
/// win over every other write until the clocks have caught up.
pub const MAX_CLOCK_SKEW: Micros = 2_000_000;

/// A timestamp of a [`HybridClock`], ordered by wall clock, then by counter, then by process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HybridTimestamp {
    /// The wall clock in microseconds, or the wall-clock part of the greatest observed timestamp if that is
    /// later.
    pub wall: Micros,
    /// The position among timestamps with the same `wall`.
    #[serde(rename = "count")]
    pub counter: u32,
    /// The process that issued the timestamp.
    #[serde(rename = "by")]
    pub process: u64,
}

/// A timestamp was rejected: it is more than [`MAX_CLOCK_SKEW`] ahead of the local clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("timestamp at {wall} µs is too far ahead of the local clock at {now} µs")]
pub struct ClockSkewError {
    /// The wall-clock part of the rejected timestamp, in microseconds.
    pub wall: Micros,
    /// The local clock, in microseconds.
    pub now: Micros,
}

/// The hybrid logical clock of one process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct HybridClock {
    last: HybridTimestamp,
}

impl HybridClock {
    /// Creates the clock of a process.
    pub fn new(process: u64) -> HybridClock {
        HybridClock { last: HybridTimestamp { process, ..HybridTimestamp::default() } }
    }

    /// Issues a timestamp that is greater than all previously issued or observed ones.
    pub fn issue(&mut self, now: Micros) -> HybridTimestamp {
        if now > self.last.wall {
            self.last.wall = now;
            self.last.counter = 0;
        } else {
            self.last.counter = self.last.counter.saturating_add(1);
        }
        self.last
    }

    /// Advances the clock past a timestamp of another process.
    ///
    /// # Errors
    ///
    /// Returns [`ClockSkewError`] and leaves the clock unchanged if the timestamp is too far ahead of `now`.
    pub fn observe(&mut self, timestamp: HybridTimestamp, now: Micros) -> Result<(), ClockSkewError> {
        if timestamp.wall > now.saturating_add(MAX_CLOCK_SKEW) {
            return Err(ClockSkewError { wall: timestamp.wall, now });
        }
        if (timestamp.wall, timestamp.counter) > (self.last.wall, self.last.counter) {
            self.last.wall = timestamp.wall;
            self.last.counter = timestamp.counter;
        }
        Ok(())
    }
}
