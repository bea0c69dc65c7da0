//! A token bucket that limits bytes a second.

use crate::Micros;

/// A bucket of bytes that refills with time and holds a second's worth at most. It may be overdrawn by one message.
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

    /// Refills the bucket, and returns how many bytes may be sent now.
    pub fn available(&mut self, now: Micros) -> usize {
        let gained = (now - self.refilled_at).max(0) as f64 / 1e6 * self.bytes_per_second;
        self.available = (self.available + gained).min(self.bytes_per_second);
        self.refilled_at = self.refilled_at.max(now);
        self.available.max(0.0) as usize
    }

    /// Takes out the bytes that were sent.
    pub fn consume(&mut self, bytes: usize) {
        self.available -= bytes as f64;
    }
}
