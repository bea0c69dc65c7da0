//! The read buffer of a connection.

use std::ops::Range;

/// The initial capacity of a buffer, in bytes. It grows only when a message does not fit.
const INITIAL_CAPACITY: usize = 4 * 1024;

/// The maximum capacity, in bytes, that is kept between messages. The memory of a larger buffer is released.
pub const MAX_RETAINED_CAPACITY: usize = 16 * 1024;

/// The bytes that were read from a connection and not yet consumed. Messages are slices of the buffer.
#[derive(Debug, Default)]
pub struct ReadBuffer {
    data: Vec<u8>,
    start: usize,
    end: usize,
}

impl ReadBuffer {
    /// Returns the bytes that were read and not yet consumed.
    pub fn unread(&self) -> &[u8] {
        &self.data[self.start..self.end]
    }

    /// Returns spare space of at least one byte to read into. May move the unread bytes to the front of the
    /// buffer.
    pub fn spare(&mut self) -> &mut [u8] {
        self.spare_with_capacity(0)
    }

    /// Like [`ReadBuffer::spare`], in a buffer with a capacity of at least `min_capacity` bytes.
    pub fn spare_with_capacity(&mut self, min_capacity: usize) -> &mut [u8] {
        self.shrink(min_capacity);
        if self.end == self.data.len() && self.start > 0 {
            self.data.copy_within(self.start..self.end, 0);
            self.end -= self.start;
            self.start = 0;
        }
        let capacity = self.next_capacity(min_capacity);
        if capacity > self.data.len() {
            self.data.resize(capacity, 0);
        }
        &mut self.data[self.end..]
    }

    /// Returns the capacity in bytes that the buffer will have after [`ReadBuffer::spare_with_capacity`].
    pub fn next_capacity(&self, min_capacity: usize) -> usize {
        let unread = self.end - self.start;
        let shrinks = unread == 0 && self.data.len() > MAX_RETAINED_CAPACITY.max(min_capacity);
        let current = if shrinks { 0 } else { self.data.len() };
        let is_full = unread == current;
        let next = if is_full { (current * 2).max(INITIAL_CAPACITY) } else { current };
        next.max(min_capacity)
    }

    /// Releases the memory of a large message if all bytes are consumed.
    pub fn release_memory(&mut self) {
        self.shrink(0);
    }

    fn shrink(&mut self, min_capacity: usize) {
        if self.start != self.end {
            return;
        }
        self.start = 0;
        self.end = 0;
        if self.data.len() > MAX_RETAINED_CAPACITY.max(min_capacity) {
            self.data = Vec::new();
        }
    }

    /// Returns the capacity in bytes.
    pub fn capacity(&self) -> usize {
        self.data.len()
    }

    /// Marks `count` bytes of the spare space as read.
    pub fn commit(&mut self, count: usize) {
        self.end = (self.end + count).min(self.data.len());
    }

    /// Consumes up to `count` bytes from the front. The returned range stays valid until the next call of
    /// [`ReadBuffer::spare`].
    pub fn consume(&mut self, count: usize) -> Range<usize> {
        let from = self.start;
        self.start = (self.start + count).min(self.end);
        from..self.start
    }

    /// Returns the bytes of a range that [`ReadBuffer::consume`] returned.
    pub fn get(&self, range: Range<usize>) -> &[u8] {
        &self.data[range]
    }
}
