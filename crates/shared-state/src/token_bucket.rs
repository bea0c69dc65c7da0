//! A token bucket that limits the bytes sent per second.

use crate::Micros;

/// A token bucket of bytes with a capacity of one second's rate. One message may overdraw it.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    bytes_per_second: f64,
    available: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(bytes_per_second: u64, now: Micros) -> TokenBucket {
        TokenBucket {
            bytes_per_second: bytes_per_second as f64,
            available: bytes_per_second as f64,
            refilled_at: now,
        }
    }

    /// Refills the bucket and returns the number of bytes that may be sent now.
    pub fn available(&mut self, now: Micros) -> usize {
        let refilled_bytes = (now - self.refilled_at).max(0) as f64 / 1e6 * self.bytes_per_second;
        self.available = (self.available + refilled_bytes).min(self.bytes_per_second);
        self.refilled_at = self.refilled_at.max(now);
        self.available.max(0.0) as usize
    }

    /// Removes the bytes that were sent.
    pub fn consume(&mut self, bytes: usize) {
        self.available -= bytes as f64;
    }
}
