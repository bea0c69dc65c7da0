//! Arrival times of input bytes. A request's deadline counts from the arrival of its last byte, no matter how
//! long the request then waits in the read buffer.

use std::collections::VecDeque;
use std::time::Instant;

/// The maximum number of recorded read times. Later reads are merged into the last one and count as equally
/// old.
const MAX_READ_TIMES: usize = 64;

/// The time by which the input up to an offset had arrived.
struct ReadTime {
    end: u64,
    at: Instant,
}

/// The arrival times of a connection's input.
#[derive(Default)]
pub(super) struct ArrivalTimes {
    bytes_read: u64,
    read_times: VecDeque<ReadTime>,
}

impl ArrivalTimes {
    /// Records that `count` bytes were just read.
    pub(super) fn record(&mut self, count: usize) {
        self.bytes_read += count as u64;
        if self.read_times.len() < MAX_READ_TIMES {
            self.read_times.push_back(ReadTime { end: self.bytes_read, at: Instant::now() });
        } else if let Some(last) = self.read_times.back_mut() {
            last.end = self.bytes_read;
        }
    }

    /// Returns when the first `length` of the last `buffered` bytes had arrived. Drops the times of earlier
    /// bytes.
    pub(super) fn arrival_of(&mut self, buffered: usize, length: usize) -> Option<Instant> {
        let end = self.bytes_read - buffered as u64 + length as u64;
        while self.read_times.front().is_some_and(|read_time| read_time.end < end) {
            self.read_times.pop_front();
        }
        self.read_times.front().map(|read_time| read_time.at)
    }
}
