//! The clock of the process: Unix time read once at startup, and monotonic time from then on.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use wharfplank_routing::Micros;

/// A clock in [`Micros`] of Unix time that never goes back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix_start: Micros,
    start: Instant,
}

impl Clock {
    /// Starts the clock at the current time of day, which is not read again.
    pub fn start() -> Self {
        let start = Instant::now();
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let unix_start = since_epoch.map_or(0, |span| span.as_micros() as Micros);
        Clock { unix_start, start }
    }

    /// Returns the current time.
    pub fn now(&self) -> Micros {
        self.to_micros(Instant::now())
    }

    /// Converts an instant to a time; an instant before the start is converted to the start.
    pub fn to_micros(&self, instant: Instant) -> Micros {
        self.unix_start + instant.saturating_duration_since(self.start).as_micros() as Micros
    }

    /// Converts a time to an instant; a time before the start is converted to the start.
    pub fn to_instant(&self, time: Micros) -> Instant {
        self.start + Duration::from_micros((time - self.unix_start).max(0) as u64)
    }
}
