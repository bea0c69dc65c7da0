//! A hybrid logical clock. Its timestamps follow the wall clock, never go back, and are greater than every timestamp
//! observed from other processes, so that all processes agree on which of two writes to one key is the last.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// How far the wall-clock part of a timestamp may be ahead of the local clock, in microseconds.
///
/// The clocks of one installation differ by less. A timestamp from further ahead would win over every other write
/// until the clocks have caught up, so it is rejected.
pub const MAX_CLOCK_SKEW: Micros = 2_000_000;

/// A timestamp of a [`HybridClock`], ordered by wall clock, then by counter, then by process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HybridTimestamp {
    /// The wall clock in microseconds, or the wall-clock part of the greatest timestamp observed if that is ahead.
    pub wall: Micros,
    /// Orders the timestamps that share one `wall`.
    #[serde(rename = "count")]
    pub counter: u32,
    /// The process that issued the timestamp.
    #[serde(rename = "by")]
    pub process: u64,
}

/// A timestamp was rejected: it is more than [`MAX_CLOCK_SKEW`] ahead of the local clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a timestamp at {wall} µs is too far ahead of the local clock at {now} µs")]
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

    /// Issues a timestamp that is greater than all timestamps issued or observed before.
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
    /// Returns [`ClockSkewError`], and leaves the clock as it is, if the timestamp is too far ahead of `now`.
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
