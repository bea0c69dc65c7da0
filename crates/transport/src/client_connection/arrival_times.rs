//! When the bytes of a connection arrived: the time of a command counts from its last byte, however long it stands in
//! the buffer.

use std::collections::VecDeque;
use std::time::Instant;

/// Reads whose time is remembered. Further ones count as being as old as the last of them.
const MAX_MARKS: usize = 64;

/// The bytes up to an offset in the connection's input have arrived by this time.
struct Mark {
    end: u64,
    at: Instant,
}

/// The arrival times of a connection's input.
#[derive(Default)]
pub(super) struct ArrivalTimes {
    bytes_read: u64,
    marks: VecDeque<Mark>,
}

impl ArrivalTimes {
    /// Records that `count` bytes were read now.
    pub(super) fn record(&mut self, count: usize) {
        self.bytes_read += count as u64;
        if self.marks.len() < MAX_MARKS {
            self.marks.push_back(Mark { end: self.bytes_read, at: Instant::now() });
        } else if let Some(last) = self.marks.back_mut() {
            last.end = self.bytes_read;
        }
    }

    /// When the first `length` of the last `buffered` bytes had arrived. Earlier times are forgotten.
    pub(super) fn arrival_of(&mut self, buffered: usize, length: usize) -> Option<Instant> {
        let end = self.bytes_read - buffered as u64 + length as u64;
        while self.marks.front().is_some_and(|mark| mark.end < end) {
            self.marks.pop_front();
        }
        self.marks.front().map(|mark| mark.at)
    }
}
