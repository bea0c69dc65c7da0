//! The clock of the process: Unix time read once at the start, and monotonic time since.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use wharfplank_routing::Micros;

/// Converts the system's clocks to [`Micros`] of Unix time that never go back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    unix_start: Micros,
    start: Instant,
}

impl Clock {
    /// Reads the time of day, for the only time.
    pub fn start() -> Self {
        let start = Instant::now();
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let unix_start = since_epoch.map_or(0, |span| span.as_micros() as Micros);
        Clock { unix_start, start }
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.to_micros(Instant::now())
    }

    /// The time of an instant; the start for an earlier one.
    pub fn to_micros(&self, instant: Instant) -> Micros {
        self.unix_start + instant.saturating_duration_since(self.start).as_micros() as Micros
    }

    /// The instant of a time; the start for an earlier one.
    pub fn to_instant(&self, time: Micros) -> Instant {
        self.start + Duration::from_micros((time - self.unix_start).max(0) as u64)
    }
}
